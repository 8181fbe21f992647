package gateway

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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

// At SIGHUP the gateway moves to the new discovery address even if another part of the configuration cannot be used:
// the operators' routes, their whole file or the platform's other settings. Guards against purges that are missed
// because the gateway stays at an address that discovery has left.
func TestReloadMovesDiscoveryBesideRefusedSettings(t *testing.T) {
	const routes = "{ routing: { pools: { some: { names: ['%s'] } }, routes: [{ name: 'all', to: [{ pool: 'some' }] }] } }"
	for name, refused := range map[string]struct {
		operators string         // the operators' file at SIGHUP
		platform  map[string]any // changes of the platform's file
		logged    string
	}{
		"routes":                {operators: fmt.Sprintf(routes, "c7"), logged: "c7 is not in the list"},
		"the operators' file":   {operators: "{ routing: ", logged: "operators.jsonnet"},
		"the platform's seed":   {operators: fmt.Sprintf(routes, "c0"), platform: map[string]any{"seed": "zz"}, logged: "seed is not hex digits"},
		"the platform's limits": {operators: fmt.Sprintf(routes, "c0"), platform: map[string]any{"limits": "none"}, logged: "limits"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "operators.jsonnet")
			must(0, os.WriteFile(path, fmt.Appendf(nil, routes, "c0"), 0o600))
			t.Setenv("FOLDSLIP_SETTINGS", path)
			g := startGateway(t, answerHit)
			g.discovery = must(standin.NewDiscovery("127.0.0.1:0", 1))
			must(0, os.WriteFile(path, []byte(refused.operators), 0o600))
			must(0, os.Rename(g.writeConfig(refused.platform), g.configPath))
			g.signal(syscall.SIGHUP)
			if after := mustReceive(t, g.discovery.Subscribed); after != 1 {
				t.Errorf("resumed after event %d, expected 1", after)
			}
			g.waitLogged("event=reload_failed")
			g.waitLogged(refused.logged)
		})
	}
}

// The gateway moves to the new discovery address before it reads the operators' file, whose evaluation may take long.
// Guards against purges that are missed meanwhile.
func TestReloadMovesDiscoveryBeforeItReadsTheOperatorsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operators.jsonnet")
	must(0, os.WriteFile(path, []byte("{}"), 0o600))
	t.Setenv("FOLDSLIP_SETTINGS", path)
	g := startGateway(t, answerHit)
	g.discovery = must(standin.NewDiscovery("127.0.0.1:0", 1))
	must(0, os.Rename(g.writeConfig(), g.configPath))
	must(0, os.Remove(path))
	must(0, syscall.Mkfifo(path, 0o600)) // reading it waits for a writer
	g.signal(syscall.SIGHUP)
	mustReceive(t, g.discovery.Subscribed)
	must(0, os.WriteFile(path, []byte("{ routing: "), 0o600))
	g.waitLogged("event=reload_failed")
}

// An operators' file that did not change leaves the routes that operators changed by hand, even if it names a cache that
// has left the endpoint list since. Guards against a comparison of the file with the confirmed routes, where the file as
// it was last read is meant.
func TestReloadOfAnUnchangedFileKeepsRoutesChangedByHand(t *testing.T) {
	dir := t.TempDir()
	socket := filepath.Join(dir, "admin")
	file := func(name, cache string) string {
		path := filepath.Join(dir, name)
		must(0, os.WriteFile(path, fmt.Appendf(nil, `{ routing: { folder: %q, socket: %q, pools: { some: { names: ['%s'] } },
routes: [{ name: 'all', to: [{ pool: 'some' }] }] } }`, filepath.Join(dir, "versions"), socket, cache), 0o600))
		return path
	}
	t.Setenv("FOLDSLIP_SETTINGS", file("operators.jsonnet", "c0"))
	var counts edgeCounts
	g := startGateway(t, counts.handle)
	for _, args := range [][]string{
		{"propose", file("changed.jsonnet", "c1"), "--author", "ada", "--reason", "c0 goes"}, {"apply", "2", "--within", "10m"}, {"confirm", "2"},
	} {
		command := exec.Command(program, append(append([]string{"config"}, args...), "--socket", socket)...)
		if out, err := command.CombinedOutput(); err != nil {
			t.Fatalf("foldslip config %s: %v: %s", args[0], err, out)
		}
	}
	g.signal(syscall.SIGHUP)
	g.waitLogged("event=reloaded")
	counts.expectAllAt(g, 1)
	gone := g.endpoints[0]
	gone.Phase = "removed"
	g.discovery.Announce(standin.EndpointList(false, gone))
	g.discovery.Announce(`{"recall":{"item":"x","issued":1764576000123}}`)
	g.discovery = must(standin.NewDiscovery("127.0.0.1:0", 3))
	time.Sleep(100 * time.Millisecond) // for the events to arrive
	must(0, os.Rename(g.writeConfig(), g.configPath))
	g.signal(syscall.SIGHUP)
	if after := mustReceive(t, g.discovery.Subscribed); after != 3 {
		t.Errorf("resumed after event %d, expected 3", after)
	}
	counts.expectAllAt(g, 1)
	if strings.Contains(g.log.String(), "event=reload_failed") || strings.Contains(g.log.String(), "version=3") {
		t.Errorf("the unchanged file counts as a change:\n%s", g.log.String())
	}
}
