package gateway

import (
	"io"
	"syscall"
	"testing"
	"time"

	"foldslip/example/standin"
)

// changedSettings is the example's settings with a change.
func changedSettings(change func(settings map[string]any)) map[string]any {
	config := settingsWithPurgeGrace(300000)
	change(config["settings"].(map[string]any))
	return config
}

// The kill comes 0.7 s after the longest deadline, and a deadline past 3 s counts as 3 s: what has no response by then is given up before
// it, each lookup as its object kind allows.
func TestUnansweredLookupsAreGivenUpBeforeTheKill(t *testing.T) {
	for name, c := range map[string]struct {
		deadlineMS int // of the kinds that are looked up
		kill       time.Duration
	}{"a long deadline": {5000, 3700 * time.Millisecond}, "a short one": {1000, 1700 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received := make(chan standin.Request, 9)
			g := startGateway(t, func(_ int, request standin.Request) { received <- request }, changedSettings(func(settings map[string]any) {
				for _, kind := range settings["classes"].([]any) {
					kind.(map[string]any)["deadline"] = c.deadlineMS * 1000
				}
				settings["classes"].([]any)[1].(map[string]any)["effect"] = "at_most_once"
			}))
			g.signal(syscall.SIGTERM)
			signalledAt := time.Now()
			time.Sleep(550 * time.Millisecond) // as late as lookups come on open connections
			idempotent := g.dial()
			withSideEffects := g.dial()
			io.WriteString(idempotent, g.lookup("segment", "o"))
			io.WriteString(withSideEffects, g.lookup("page", "o"))
			mustReceive(t, received)
			mustReceive(t, received)
			g.signal(syscall.SIGTERM) // a second one changes nothing
			response, _ := idempotent.response(t)
			g.expectStatus(503, response)
			if response.Header.Get("X-Wait-Ms") == "" {
				t.Error("rejected without a time to come back")
			}
			response, _ = withSideEffects.response(t)
			g.expectStatus(502, response)
			select {
			case err := <-g.ended:
				if elapsed := time.Since(signalledAt); err != nil || elapsed > c.kill {
					t.Errorf("ended after %v with %v; the kill comes after %v", elapsed, err, c.kill)
				}
			case <-time.After(5 * time.Second):
				t.Error("still running")
			}
		})
	}
}

// A request on an open connection 0.66 s after SIGTERM, past the last that the platform sends: answered all the same.
func TestRequestJustBeforeTheListenerCloses(t *testing.T) {
	t.Parallel()
	g := startGateway(t, answerHit)
	c := g.dial()
	io.WriteString(c, g.lookup("segment", "o"))
	c.response(t)
	g.signal(syscall.SIGTERM)
	g.waitLogged("event=stopping")
	time.Sleep(660 * time.Millisecond)
	io.WriteString(c, g.lookup("segment", "o"))
	response, _ := c.response(t)
	g.expectStatus(200, response)
}

// SIGTERM as the list loses its last edges: a lookup gets its response, whichever of the two comes first, and the gateway ends well.
func TestTerminateWhileTheEndpointListEmpties(t *testing.T) {
	t.Parallel()
	g := startGateway(t, answerHit)
	c := g.dial()
	removed := [2]standin.Endpoint{g.endpoints[0], g.endpoints[1]}
	removed[0].Phase = "removed"
	removed[1].Phase = "removed"
	g.discovery.Announce(standin.EndpointList(false, removed[0], removed[1]))
	g.signal(syscall.SIGTERM)
	g.waitLogged("event=stopping")
	g.signal(syscall.SIGHUP) // a reload amid the shutdown
	io.WriteString(c, g.lookup("segment", "o"))
	if response, _ := c.response(t); response.StatusCode != 503 && response.StatusCode != 200 {
		t.Errorf("status %d", response.StatusCode)
	}
	g.expectEnd(6 * time.Second)
}

// Discovery falls silent right before an event: the drain that it does not bring is asked for within its grace.
func TestDiscoveryWatchThatFallsSilent(t *testing.T) {
	for name, silence := range map[string]func(d *standin.Discovery){
		"and stays open":     func(d *standin.Discovery) { d.SetSilent(true) },
		"amid half a line":   func(d *standin.Discovery) { d.WriteRaw(`{"no":2,"ro`); d.SetSilent(true) },
		"in a trickle of it": func(d *standin.Discovery) { d.SetSilent(true); d.Trickle(`{"no":2,"roster":{"revision":1,`) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startGateway(t, answerHit, changedSettings(func(settings map[string]any) {
				settings["rules"].(map[string]any)["stop_sending_within"] = 2000000
			}))
			if after := mustReceive(t, g.discovery.Subscribed); after != 1 {
				t.Fatal("asked after", after)
			}
			silentAt := time.Now()
			silence(g.discovery)
			draining := g.endpoints[0]
			draining.Phase = "draining"
			g.discovery.Announce(standin.EndpointList(false, draining))
			select {
			case <-g.discovery.Subscribed:
			case <-time.After(6 * time.Second):
				t.Fatal("not asked again")
			}
			if elapsed := time.Since(silentAt); elapsed > 2*time.Second {
				t.Errorf("asked again after %v, past the grace of 2 s", elapsed)
			}
		})
	}
}

// Sessions that are silent from their first moment on do not follow each other without end: each waits twice as long as the one before.
func TestSilentDiscoverySessionsBackOff(t *testing.T) {
	t.Parallel()
	g := startGateway(t, answerHit)
	g.discovery.SetSilent(true)
	for range 3 { // the first is the start's
		mustReceive(t, g.discovery.Subscribed)
	}
	startedAt := time.Now()
	mustReceive(t, g.discovery.Subscribed)
	if elapsed := time.Since(startedAt); elapsed < 2*time.Second {
		t.Errorf("the second silent session waited %v", elapsed)
	}
}
