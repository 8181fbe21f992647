package policy

import (
	"testing"
)

// deduplicated has every cache recognize repeats of lookups of kind 0 for 6 s.
func deduplicated(settings *Settings) {
	settings.Kinds[0].Effect = Deduplicated
	settings.Kinds[0].DedupScope = AllCaches
	settings.Kinds[0].DedupWindow = 6 * second
}

// Where a lookup may run again (rule 2).
func TestRepeats(t *testing.T) {
	t.Run("a side-effecting lookup that may have run fails and is not repeated", func(t *testing.T) {
		f, _ := newFixture(t, func(s *Settings) { s.Kinds[0].Effect = SideEffecting })
		f.lookUp(0, "a")
		f.endAttempt(f.lastAttempt(), OutcomeRejected, DetailNone, millisecond)
		f.advance(100 * millisecond)
		if len(f.attempts) != 2 {
			t.Fatalf("%d attempts after one that never ran", len(f.attempts))
		}
		f.endAttempt(f.lastAttempt(), OutcomeReset, DetailNone, millisecond)
		f.advance(100 * millisecond)
		if len(f.attempts) != 2 || len(f.calls) != 1 || !f.lastCallIs("fail") {
			t.Fatal(len(f.attempts), f.calls)
		}
	})
	t.Run("a deduplicated lookup stays in its scope", func(t *testing.T) {
		f, _ := newFixture(t, func(s *Settings) { s.Kinds[0].Effect, s.Kinds[0].DedupScope = Deduplicated, SameCell })
		f.lookUp(0, "a")
		first := f.lastAttempt().Cache
		f.endAttempt(f.lastAttempt(), OutcomeReset, DetailNone, millisecond)
		f.advance(100 * millisecond)
		if len(f.attempts) != 2 || f.lastAttempt().Cache != first {
			t.Fatalf("%d attempts, last to %s after %s", len(f.attempts), f.lastAttempt().Cache.Name, first.Name)
		}
		f.updateEndpoint(first, Gone, 0)
		f.endAttempt(f.lastAttempt(), OutcomeReset, DetailNone, millisecond)
		f.advance(100 * millisecond)
		if len(f.attempts) != 2 || len(f.calls) != 1 || !f.lastCallIs("fail") {
			t.Fatal(len(f.attempts), f.calls)
		}
	})
	t.Run("a deduplicated lookup that may have run fails where its window ends before its deadline", func(t *testing.T) {
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

// Caches recognize a deduplicated lookup for some time only (rule 2).
func TestDeduplicationWindow(t *testing.T) {
	t.Run("a deduplicated lookup has one attempt at a time, and a retry only inside its window", func(t *testing.T) {
		f, _ := newFixture(t, deduplicated)
		lookup := f.lookUp(0, "a")
		f.advance(2 * second) // overdue and silent: no hedge while the first is open
		if len(f.attempts) != 1 {
			t.Fatalf("%d attempts while the first is open", len(f.attempts))
		}
		f.endAttempt(f.attempts[0], OutcomeReset, DetailNone, millisecond) // it may have run: a retry, as caches recognize it
		f.advance(100 * millisecond)
		if len(f.attempts) != 2 || lookup.Ended() {
			t.Fatalf("%d attempts, ended %v", len(f.attempts), lookup.Ended())
		}
		g, _ := newFixture(t, func(s *Settings) { deduplicated(s); s.Kinds[0].DedupWindow = second }) // a window of 1 s
		g.lookUp(0, "a")
		g.advance(1100 * millisecond)
		g.endAttempt(g.attempts[0], OutcomeReset, DetailNone, millisecond) // a retry would come after its window
		g.advance(100 * millisecond)
		if len(g.attempts) != 1 || len(g.calls) != 1 || !g.lastCallIs("fail") {
			t.Fatalf("%d attempts past the window, %v", len(g.attempts), g.calls)
		}
	})
}

// An attempt may wait for its connection between its decision and its first byte.
func TestRetryCheckedAtFirstByte(t *testing.T) {
	t.Run("not past its window, nor where its scope has changed", func(t *testing.T) {
		for _, x := range []struct {
			circle DedupScope
			late   Micros
			row    Endpoint // of the second attempt's cache, listed while it waits
			may    bool
			then   string // where it may not
		}{
			{AllCaches, 900 * millisecond, Endpoint{Zone: 7, Cell: 7}, true, ""},
			{AllCaches, 1000 * millisecond, Endpoint{}, false, "failed"},
			{SameZone, 900 * millisecond, Endpoint{Cell: 7}, true, ""},
			{SameZone, 900 * millisecond, Endpoint{Zone: 7}, false, "third attempt"},
			{SameZone, 1000 * millisecond, Endpoint{}, false, "failed"},
			{SameCell, 900 * millisecond, Endpoint{Cell: 7}, false, "third attempt"},
		} {
			f, caches := newFixture(t, func(s *Settings) { deduplicated(s); s.Kinds[0].DedupWindow, s.Kinds[0].DedupScope = second, x.circle })
			for _, c := range caches[:3] { // in one cell
				c.Cell = 0
			}
			first := f.now
			lookup := f.lookUp(0, "a")
			if !f.router.MayStartAttempt(f.now, lookup, 0) {
				t.Fatal("the first attempt may not start")
			}
			f.updateEndpoint(f.attempts[0].Cache, Draining, 0)
			f.endAttempt(f.attempts[0], OutcomeReset, DetailNone, millisecond)
			if len(f.attempts) != 2 || f.attempts[1].Cache == f.attempts[0].Cache {
				t.Fatalf("%+v: %d attempts", x, len(f.attempts))
			}
			x.row.Cache = f.attempts[1].Cache
			f.router.UpdateEndpoints(f.now, UpdateDelta, []Endpoint{x.row})
			f.now = first + x.late
			if may := f.router.MayStartAttempt(f.now, lookup, 1); may != x.may {
				t.Fatalf("%+v: may start %v", x, may)
			}
			if !x.may {
				f.endAttempt(f.attempts[1], OutcomeNotSent, DetailNone, 0)
				f.advance(100 * millisecond)
				third := len(f.attempts) == 3 && f.lastAttempt().Cache != f.attempts[0].Cache && f.lastAttempt().Cache != f.attempts[1].Cache && len(f.calls) == 0
				failed := len(f.attempts) == 2 && len(f.calls) == 1 && f.lastCallIs("fail")
				if x.then == "failed" && !failed || x.then != "failed" && !third {
					t.Fatalf("%+v: %d attempts, %v", x, len(f.attempts), f.calls)
				}
			}
		}
	})
}

// A lookup may be at fault itself.
func TestErrorsOfALookup(t *testing.T) {
	t.Run("three unexplained errors end a lookup, failed fills do not", func(t *testing.T) {
		for detail, sends := range map[OutcomeDetail]int{DetailNone: 3, DetailOriginFailed: 4} {
			f, _ := newFixture(t, nil)
			lookup := f.lookUp(0, "unknown")
			for range 3 {
				f.now += 5 * millisecond
				f.endAttempt(f.lastAttempt(), OutcomeError, detail, 5*millisecond)
			}
			f.advance(40 * millisecond)
			if len(f.attempts) != sends || lookup.ended != (sends == 3) {
				t.Errorf("detail %d: %d attempts, ended %v, %v", detail, len(f.attempts), lookup.ended, f.calls)
			}
		}
	})
}
