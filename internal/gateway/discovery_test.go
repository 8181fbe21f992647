package gateway

import (
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"foldslip/example/standin"
)

// After its grace period a purge applies to the copies of all attempts. Within
// the grace period it applies only to attempts that were sent after the purge.
func TestPurges(t *testing.T) {
	for name, tc := range map[string]struct {
		grace int
		want  string
	}{
		"after the grace period, a copy older than the purge is not served":              {1000, "new"},
		"within the grace period, it is served if its attempt was sent before the purge": {9000000, "old"},
	} {
		t.Run(name, func(t *testing.T) {
			oldCopy := time.Now().Add(-time.Minute)
			received := make(chan string, 9) // the maximum age in each attempt
			gate := make(chan bool)
			g := startGateway(t, func(_ int, request standin.Request) {
				received <- request.Fields["oldest"]
				if request.Fields["oldest"] == "" { // like a real cache: the old copy, unless a newer one is requested
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
				t.Errorf("status %d, body %q", response.StatusCode, body)
			}
			if response, body := g.sendLookup("segment", "o"); response.StatusCode != 200 || body != "new" {
				t.Errorf("status %d, body %q after the purge, expected 200 and new", response.StatusCode, body)
			}
		})
	}
}

// A draining cache gets no new attempts.
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
		t.Errorf("attempts by edge: %v, expected 20 at edge 1 only", attempts)
	}
}

// When the connection to discovery is cut or falls silent, the gateway
// resumes after the last complete event. No event takes effect twice.
func TestDiscoveryIsResumedAfterTheLastEvent(t *testing.T) {
	g := startGateway(t, answerHit)
	expectSubscription := func(after int) {
		t.Helper()
		select {
		case got := <-g.discovery.Subscribed:
			if got != after {
				t.Fatalf("resumed after event %d, expected %d", got, after)
			}
		case <-time.After(8 * time.Second):
			t.Fatal("the gateway did not reconnect to discovery within 8 s")
		}
	}
	expectSubscription(1)
	g.discovery.Announce(`{"recall":{"item":"o","issued":1764576000123}}`)
	g.discovery.Disconnect(`{"no":3,"recall":{"item":"half`)
	expectSubscription(2)
	g.discovery.Announce(`{"recall":{"lot":"no number"}}`) // unusable: requested again, and skipped when it arrives again
	expectSubscription(2)
	g.discovery.Announce(`{"recall":{"item":"p","issued":1764576000123}}`)
	g.discovery.SetSilent(true)
	expectSubscription(4)
}
