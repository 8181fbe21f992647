package gateway

import (
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"foldslip/example/standin"
)

// changedSettings is the example's settings with changes by top-level key of the settings.
func changedSettings(change func(settings map[string]any)) map[string]any {
	s := settingsWithGrace(300000)
	change(s["settings"].(map[string]any))
	return s
}

// The kill comes 0.7 s after the longest deadline, and a deadline past 3 s counts as 3 s: what nothing has answered by then is given
// up before it, each lookup as its object kind allows.
func TestUnansweredLookupsAreGivenUpBeforeTheKill(t *testing.T) {
	for name, story := range map[string]struct {
		deadline int // of the kind that is asked for, in ms
		kill     time.Duration
	}{"a long deadline": {5000, 3700 * time.Millisecond}, "a short one": {1000, 1700 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			came := make(chan standin.Request, 9)
			s := startGateway(t, func(_ int, d standin.Request) { came <- d }, changedSettings(func(settings map[string]any) {
				for _, k := range settings["classes"].([]any) {
					k.(map[string]any)["deadline"] = story.deadline * 1000
				}
				settings["classes"].([]any)[1].(map[string]any)["effect"] = "at_most_once"
			}))
			s.cmd.Process.Signal(syscall.SIGTERM)
			told := time.Now()
			time.Sleep(550 * time.Millisecond) // as late as lookups come on open connections
			safe, once := s.dial(), s.dial()
			io.WriteString(safe, s.lookup("segment", "o"))
			io.WriteString(once, s.lookup("page", "o"))
			receiveSoon(t, came)
			receiveSoon(t, came)
			s.cmd.Process.Signal(syscall.SIGTERM) // a second one changes nothing
			got, _ := safe.answer(t)
			if s.expect(503, got); got.Header.Get("X-Wait-Ms") == "" {
				t.Error("nacked without a time to come back")
			}
			got, _ = once.answer(t)
			s.expect(502, got)
			select {
			case err := <-s.ended:
				if took := time.Since(told); err != nil || took > story.kill {
					t.Errorf("ended after %v with %v; the kill comes after %v", took, err, story.kill)
				}
			case <-time.After(5 * time.Second):
				t.Error("still running")
			}
		})
	}
}

// A request on an open connection 0.66 s after SIGTERM, past the last that the platform sends: answered all the same.
func TestLastClientBeforeTheListenerCloses(t *testing.T) {
	t.Parallel()
	s := startGateway(t, answerHit)
	c := s.dial()
	io.WriteString(c, s.lookup("segment", "o"))
	c.answer(t)
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.waitFor("word of stopping", func() bool { return strings.Contains(s.out.String(), "event=stopping") })
	time.Sleep(660 * time.Millisecond)
	io.WriteString(c, s.lookup("segment", "o"))
	got, _ := c.answer(t)
	s.expect(200, got)
}

// SIGTERM as the list loses its last edges: a lookup has its answer, whichever of the two is heard first, and the gateway ends well.
func TestTerminateWhileTheEndpointListEmpties(t *testing.T) {
	t.Parallel()
	s := startGateway(t, answerHit)
	c := s.dial()
	gone := s.members[0]
	other := s.members[1]
	gone.Phase, other.Phase = "removed", "removed"
	s.bulletin.Announce(standin.EndpointList(false, gone, other))
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.waitFor("word of stopping", func() bool { return strings.Contains(s.out.String(), "event=stopping") })
	s.cmd.Process.Signal(syscall.SIGHUP) // a reread amid the end
	io.WriteString(c, s.lookup("segment", "o"))
	if got, _ := c.answer(t); got.StatusCode != 503 && got.StatusCode != 200 {
		t.Errorf("status %d", got.StatusCode)
	}
	select {
	case err := <-s.ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(6 * time.Second):
		t.Error("still running")
	}
}

// A list that falls silent right after an event's predecessor: the drain it does not tell is heard within its grace.
func TestDiscoveryWatchThatFallsSilent(t *testing.T) {
	for name, quiet := range map[string]func(b *standin.Discovery){
		"and stays open":     func(b *standin.Discovery) { b.SetSilent(true) },
		"amid half a line":   func(b *standin.Discovery) { b.WriteRaw(`{"no":2,"ro`); b.SetSilent(true) },
		"in a trickle of it": func(b *standin.Discovery) { b.SetSilent(true); b.Trickle(`{"no":2,"roster":{"revision":1,`) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startGateway(t, answerHit, changedSettings(func(settings map[string]any) {
				settings["rules"].(map[string]any)["stop_sending_within"] = 2000000
			}))
			if after := receiveSoon(t, s.bulletin.Subscribed); after != 1 {
				t.Fatal("asked after", after)
			}
			told := time.Now()
			quiet(s.bulletin)
			m := s.members[0]
			m.Phase = "draining"
			s.bulletin.Announce(standin.EndpointList(false, m))
			select {
			case <-s.bulletin.Subscribed:
			case <-time.After(6 * time.Second):
				t.Fatal("not asked again")
			}
			if took := time.Since(told); took > 2*time.Second {
				t.Errorf("asked again after %v, past the grace of 2 s", took)
			}
		})
	}
}

// Sessions that are silent from their first moment on are not asked in an endless row: each waits twice as long as the one before.
func TestDiscoverySessionsThatBringNothing(t *testing.T) {
	t.Parallel()
	s := startGateway(t, answerHit)
	s.bulletin.SetSilent(true)
	for range 3 { // the first is the start's
		receiveSoon(t, s.bulletin.Subscribed)
	}
	began := time.Now()
	receiveSoon(t, s.bulletin.Subscribed)
	if took := time.Since(began); took < 2*time.Second {
		t.Errorf("the second silent session waited %v", took)
	}
}
