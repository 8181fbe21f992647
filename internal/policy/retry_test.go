package policy

import (
	"testing"
)

// deduplicated makes lookups of kind 0 deduplicated at all caches for 6 s.
func deduplicated(settings *Settings) {
	settings.Kinds[0].Effect = Deduplicated
	settings.Kinds[0].DedupScope = AllCaches
	settings.Kinds[0].DedupWindow = 6 * second
}

// TestRepeats checks rule 2, which forbids a retry that could repeat a side effect.
func TestRepeats(t *testing.T) {
	t.Run("a side-effecting lookup that may have run fails and is not retried", func(t *testing.T) {
		f, _ := newFixture(t, func(s *Settings) { s.Kinds[0].Effect = SideEffecting })
		f.lookUp(0, "a")
		f.endAttempt(f.lastAttempt(), OutcomeRejected, DetailNone, millisecond)
		f.advance(100 * millisecond)
		if len(f.attempts) != 2 {
			t.Fatalf("%d attempts after a rejected first attempt, want 2", len(f.attempts))
		}
		f.endAttempt(f.lastAttempt(), OutcomeReset, DetailNone, millisecond)
		f.advance(100 * millisecond)
		if len(f.attempts) != 2 || len(f.calls) != 1 || !f.lastCallIs("fail") {
			t.Fatal(len(f.attempts), f.calls)
		}
	})
	t.Run("a deduplicated lookup stays in its deduplication scope", func(t *testing.T) {
		f, _ := newFixture(t, func(s *Settings) { s.Kinds[0].Effect, s.Kinds[0].DedupScope = Deduplicated, SameCell })
		f.lookUp(0, "a")
		first := f.lastAttempt().Cache
		f.endAttempt(f.lastAttempt(), OutcomeReset, DetailNone, millisecond)
		f.advance(100 * millisecond)
		if len(f.attempts) != 2 || f.lastAttempt().Cache != first {
			t.Fatalf("%d attempts, the last to %s; want 2 attempts to %s",
				len(f.attempts), f.lastAttempt().Cache.Name, first.Name)
		}
		f.updateEndpoint(first, Gone, 0)
		f.endAttempt(f.lastAttempt(), OutcomeReset, DetailNone, millisecond)
		f.advance(100 * millisecond)
		if len(f.attempts) != 2 || len(f.calls) != 1 || !f.lastCallIs("fail") {
			t.Fatal(len(f.attempts), f.calls)
		}
	})
	t.Run("a deduplicated lookup that may have run fails if its window ends before its deadline", func(t *testing.T) {
		f, caches := newFixture(t, func(s *Settings) { s.Kinds[0].Effect, s.Kinds[0].DedupWindow = Deduplicated, second })
		f.lookUp(0, "a")
		for _, c := range caches[:3] {
			f.updateEndpoint(c, Gone, 0)
		}
		f.endAttempt(f.lastAttempt(), OutcomeReset, DetailNone, millisecond)
		f.advance(100 * millisecond)
		if len(f.calls) != 1 || !f.lastCallIs("fail") {
			t.Fatal(f.calls)
		}
	})
}

// TestDeduplicationWindow checks that a deduplicated lookup is not retried after its deduplication window. Caches no
// longer recognize the lookup then, so a retry would repeat its side effect, which rule 2 forbids.
func TestDeduplicationWindow(t *testing.T) {
	t.Run("a deduplicated lookup has one attempt at a time, and a retry only inside its window", func(t *testing.T) {
		f, _ := newFixture(t, deduplicated)
		lookup := f.lookUp(0, "a")
		f.advance(2 * second) // the first attempt is overdue and silent, but a hedge is not allowed while it is open
		if len(f.attempts) != 1 {
			t.Fatalf("%d attempts while the first is open", len(f.attempts))
		}
		f.endAttempt(f.attempts[0], OutcomeReset, DetailNone, millisecond) // the attempt may have run, but caches recognize a retry
		f.advance(100 * millisecond)
		if len(f.attempts) != 2 || lookup.Ended() {
			t.Fatalf("%d attempts, ended %v; want 2 attempts of an open lookup", len(f.attempts), lookup.Ended())
		}
		g, _ := newFixture(t, func(s *Settings) { deduplicated(s); s.Kinds[0].DedupWindow = second }) // a window of 1 s
		g.lookUp(0, "a")
		g.advance(1100 * millisecond)
		g.endAttempt(g.attempts[0], OutcomeReset, DetailNone, millisecond) // a retry would start after the window
		g.advance(100 * millisecond)
		if len(g.attempts) != 1 || len(g.calls) != 1 || !g.lastCallIs("fail") {
			t.Fatalf("%d attempts past the window, calls %v; want 1 attempt and one fail", len(g.attempts), g.calls)
		}
	})
}

// TestRetryCheckedAtFirstByte checks that rule 2, which forbids repeated side effects, is enforced again before the
// first byte of a retry. The retry may wait for its connection after it was decided. Its deduplication window can
// pass in the meantime, or its cache can leave the deduplication scope.
func TestRetryCheckedAtFirstByte(t *testing.T) {
	t.Run("a retry does not start past its window or at a cache that has left its scope", func(t *testing.T) {
		for _, x := range []struct {
			scope   DedupScope
			elapsed Micros   // since the start of the first attempt
			update  Endpoint // of the second attempt's cache, listed while the attempt waits
			allowed bool
			next    string // expected event if the second attempt is not allowed
		}{
			{AllCaches, 900 * millisecond, Endpoint{Zone: 7, Cell: 7}, true, ""},
			{AllCaches, 1000 * millisecond, Endpoint{}, false, "failed"},
			{SameZone, 900 * millisecond, Endpoint{Cell: 7}, true, ""},
			{SameZone, 900 * millisecond, Endpoint{Zone: 7}, false, "third attempt"},
			{SameZone, 1000 * millisecond, Endpoint{}, false, "failed"},
			{SameCell, 900 * millisecond, Endpoint{Cell: 7}, false, "third attempt"},
		} {
			f, caches := newFixture(t, func(s *Settings) { deduplicated(s); s.Kinds[0].DedupWindow, s.Kinds[0].DedupScope = second, x.scope })
			for _, c := range caches[:3] { // all edge caches are in one cell
				c.Cell = 0
			}
			first := f.now
			lookup := f.lookUp(0, "a")
			if !f.router.MayStartAttempt(f.now, lookup, 0) {
				t.Fatal("the first attempt is not allowed to start")
			}
			f.updateEndpoint(f.attempts[0].Cache, Draining, 0)
			f.endAttempt(f.attempts[0], OutcomeReset, DetailNone, millisecond)
			if len(f.attempts) != 2 || f.attempts[1].Cache == f.attempts[0].Cache {
				t.Fatalf("%+v: %d attempts, want a second one at another cache", x, len(f.attempts))
			}
			x.update.Cache = f.attempts[1].Cache
			f.router.UpdateEndpoints(f.now, UpdateDelta, []Endpoint{x.update})
			f.now = first + x.elapsed
			if allowed := f.router.MayStartAttempt(f.now, lookup, 1); allowed != x.allowed {
				t.Fatalf("%+v: MayStartAttempt returned %v", x, allowed)
			}
			if !x.allowed {
				f.endAttempt(f.attempts[1], OutcomeNotSent, DetailNone, 0)
				f.advance(100 * millisecond)
				third := len(f.attempts) == 3 && f.lastAttempt().Cache != f.attempts[0].Cache && f.lastAttempt().Cache != f.attempts[1].Cache && len(f.calls) == 0
				failed := len(f.attempts) == 2 && len(f.calls) == 1 && f.lastCallIs("fail")
				if x.next == "failed" && !failed || x.next != "failed" && !third {
					t.Fatalf("%+v: %d attempts, calls %v", x, len(f.attempts), f.calls)
				}
			}
		}
	})
}

// TestErrorsOfALookup checks that a lookup that fails at every cache is ended and not retried at each of them.
func TestErrorsOfALookup(t *testing.T) {
	t.Run("three unexplained errors end a lookup, three failed fills do not", func(t *testing.T) {
		for detail, wantAttempts := range map[OutcomeDetail]int{DetailNone: 3, DetailOriginFailed: 4} {
			f, _ := newFixture(t, nil)
			lookup := f.lookUp(0, "unknown")
			for range 3 {
				f.now += 5 * millisecond
				f.endAttempt(f.lastAttempt(), OutcomeError, detail, 5*millisecond)
			}
			f.advance(40 * millisecond)
			if len(f.attempts) != wantAttempts || lookup.ended != (wantAttempts == 3) {
				t.Errorf("detail %d: %d attempts, ended %v, calls %v", detail, len(f.attempts), lookup.ended, f.calls)
			}
		}
	})
}
