package gateway

import (
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"foldslip/example/standin"
)

// settingsOf is the example's settings with changes by top-level key of the settings.
func settingsOf(change func(settings map[string]any)) map[string]any {
	s := graceOf(300000)
	change(s["settings"].(map[string]any))
	return s
}

// The kill comes 0.7 s after the longest deadline, and a deadline past 3 s counts as 3 s: what nothing has answered by then is given
// up before it, each lookup as its object kind allows.
func TestWhatNothingAnsweredIsGivenUpBeforeTheKill(t *testing.T) {
	for name, story := range map[string]struct {
		deadline int // of the kind that is asked for, in ms
		kill     time.Duration
	}{"a long deadline": {5000, 3700 * time.Millisecond}, "a short one": {1000, 1700 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			came := make(chan standin.Do, 9)
			s := begin(t, func(_ int, d standin.Do) { came <- d }, settingsOf(func(settings map[string]any) {
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
			soon(t, came)
			soon(t, came)
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
func TestTheLastToCome(t *testing.T) {
	t.Parallel()
	s := begin(t, hit)
	c := s.dial()
	io.WriteString(c, s.lookup("segment", "o"))
	c.answer(t)
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.until("word of stopping", func() bool { return strings.Contains(s.out.String(), "event=stopping") })
	time.Sleep(660 * time.Millisecond)
	io.WriteString(c, s.lookup("segment", "o"))
	got, _ := c.answer(t)
	s.expect(200, got)
}

// SIGTERM as the list loses its last edges: a lookup has its answer, whichever of the two is heard first, and the gateway ends well.
func TestStopAsTheListEmpties(t *testing.T) {
	t.Parallel()
	s := begin(t, hit)
	c := s.dial()
	gone := s.members[0]
	other := s.members[1]
	gone.Phase, other.Phase = "removed", "removed"
	s.bulletin.Tell(standin.Roster(false, gone, other))
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.until("word of stopping", func() bool { return strings.Contains(s.out.String(), "event=stopping") })
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
func TestAListThatFallsSilent(t *testing.T) {
	for name, quiet := range map[string]func(b *standin.Bulletin){
		"and stays open":     func(b *standin.Bulletin) { b.Mute(true) },
		"amid half a line":   func(b *standin.Bulletin) { b.Half(`{"no":2,"ro`); b.Mute(true) },
		"in a trickle of it": func(b *standin.Bulletin) { b.Mute(true); b.Trickle(`{"no":2,"roster":{"revision":1,`) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := begin(t, hit, settingsOf(func(settings map[string]any) {
				settings["rules"].(map[string]any)["stop_sending_within"] = 2000000
			}))
			if after := soon(t, s.bulletin.After); after != 1 {
				t.Fatal("asked after", after)
			}
			told := time.Now()
			quiet(s.bulletin)
			m := s.members[0]
			m.Phase = "draining"
			s.bulletin.Tell(standin.Roster(false, m))
			select {
			case <-s.bulletin.After:
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
func TestSessionsThatSayNothing(t *testing.T) {
	t.Parallel()
	s := begin(t, hit)
	s.bulletin.Mute(true)
	for range 3 { // the first is the start's
		soon(t, s.bulletin.After)
	}
	began := time.Now()
	soon(t, s.bulletin.After)
	if took := time.Since(began); took < 2*time.Second {
		t.Errorf("the second silent session waited %v", took)
	}
}
