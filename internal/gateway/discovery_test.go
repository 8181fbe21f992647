package gateway

import (
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"foldslip/example/standin"
)

// Past its grace a purge holds for copies of any attempt; within it, for attempts that were sent after it.
func TestPurges(t *testing.T) {
	for name, tc := range map[string]struct {
		grace int
		want  string
	}{
		"a copy older than a purge is not passed on past the grace": {1000, "new"},
		"within the grace it is, if its attempt was sent before":    {9000000, "old"},
	} {
		t.Run(name, func(t *testing.T) {
			oldCopy := time.Now().Add(-time.Minute)
			received := make(chan string, 9) // the max age of each attempt
			gate := make(chan bool)
			g := startGateway(t, func(_ int, request standin.Request) {
				received <- request.Fields["oldest"]
				if request.Fields["oldest"] == "" { // as caches do: the old copy, unless asked for a newer one
					<-gate
					request.Hit(oldCopy, "hit", "old")
				} else {
					request.Hit(time.Now(), "filled", "new")
				}
			}, settingsWithPurgeGrace(tc.grace))
			c := g.dial()
			io.WriteString(c, g.lookup("segment", "o"))
			<-received
			g.discovery.Announce(fmt.Sprintf(`{"recall":{"lot":17,"issued":%d}}`, time.Now().UnixMilli()))
			time.Sleep(300 * time.Millisecond) // for the event to arrive
			close(gate)
			if response, body := c.response(t); response.StatusCode != 200 || body != tc.want {
				t.Errorf("status %d, %q", response.StatusCode, body)
			}
			if response, body := g.sendLookup("segment", "o"); response.StatusCode != 200 || body != "new" {
				t.Errorf("status %d, %q after the purge", response.StatusCode, body)
			}
		})
	}
}

// A draining cache gets nothing new.
func TestDrainingCacheGetsNoAttempts(t *testing.T) {
	var mu sync.Mutex
	attempts := map[int]int{}
	g := startGateway(t, func(edge int, request standin.Request) {
		mu.Lock()
		attempts[edge]++
		mu.Unlock()
		answerHit(0, request)
	})
	draining := g.endpoints[0]
	draining.Phase = "draining"
	g.discovery.Announce(standin.EndpointList(false, draining))
	time.Sleep(200 * time.Millisecond)
	for i := range 20 {
		g.sendLookup("segment", fmt.Sprint("o", i))
	}
	mu.Lock()
	defer mu.Unlock()
	if attempts[0] > 0 || attempts[1] != 20 {
		t.Errorf("attempts by edge: %v", attempts)
	}
}

// After a cut or a silence discovery is resumed after the last complete event; none takes effect twice.
func TestDiscoveryIsResumedAfterTheLastEvent(t *testing.T) {
	g := startGateway(t, answerHit)
	expectSubscription := func(after int) {
		t.Helper()
		select {
		case got := <-g.discovery.Subscribed:
			if got != after {
				t.Fatalf("after %d, expected %d", got, after)
			}
		case <-time.After(8 * time.Second):
			t.Fatal("not connected again")
		}
	}
	expectSubscription(1)
	g.discovery.Announce(`{"recall":{"item":"o","issued":1764576000123}}`)
	g.discovery.Disconnect(`{"no":3,"recall":{"item":"half`)
	expectSubscription(2)
	g.discovery.Announce(`{"recall":{"lot":"no number"}}`) // unusable: asked for again, and skipped when it comes again
	expectSubscription(2)
	g.discovery.Announce(`{"recall":{"item":"p","issued":1764576000123}}`)
	g.discovery.SetSilent(true)
	expectSubscription(4)
}
