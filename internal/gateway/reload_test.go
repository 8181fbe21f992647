package gateway

import (
	"fmt"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"foldslip/example/standin"
)

// At SIGHUP the gateway connects to the new discovery address
// at once, resumes after the last event and drops no lookup.
func TestReload(t *testing.T) {
	received := make(chan standin.Request, 9)
	g := startGateway(t, func(_ int, request standin.Request) { received <- request })
	c := g.dial()
	io.WriteString(c, g.lookup("segment", "before"))
	request := mustReceive(t, received)
	g.discovery.Announce(`{"recall":{"item":"x","issued":1764576000123}}`)
	next := must(standin.NewDiscovery("127.0.0.1:0", 1))
	next.Announce(`{"recall":{"item":"x","issued":1764576000123}}`)
	draining := g.endpoints[0]
	draining.Phase = "draining"
	next.Announce(standin.EndpointList(false, draining))
	time.Sleep(100 * time.Millisecond) // for the first event to arrive
	must(0, os.WriteFile(g.configPath, []byte(`{"bulletin":`), 0o600))
	g.signal(syscall.SIGHUP)
	g.waitLogged("event=reload_failed")
	old := g.discovery
	g.discovery = next
	must(0, os.Rename(g.writeConfig(), g.configPath))
	for range 3 { // several signals in a row are handled as one
		g.signal(syscall.SIGHUP)
	}
	select {
	case after := <-next.Subscribed:
		if after != 2 {
			t.Errorf("resumed after event %d, expected 2", after)
		}
	case <-time.After(2 * time.Second):
		t.Fatal("the gateway did not connect to the new discovery within 2 s")
	}
	old.Disconnect("")
	if len(old.Subscribed) > 1 {
		t.Error("the gateway reconnected to the old discovery")
	}
	time.Sleep(100 * time.Millisecond) // for the second event to arrive
	request.Hit(time.Now(), "hit", "complete")
	if response, body := c.response(t); response.StatusCode != 200 || body != "complete" {
		t.Errorf("status %d, body %q, expected 200 and complete", response.StatusCode, body)
	}
	for i := range 8 {
		io.WriteString(c, g.lookup("segment", fmt.Sprint("o", i)))
		request := mustReceive(t, received)
		request.Hit(time.Now(), "hit", "")
		if request.Conn.LocalAddr().String() == g.edges[0].Addr {
			t.Error("an attempt was sent to a cache that drains according to the new discovery")
		}
		c.response(t)
	}
}
