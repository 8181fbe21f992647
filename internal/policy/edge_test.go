package policy

import (
	"fmt"
	"testing"
)

// Edge caches have a limit of open attempts, which follows how they answer.
func TestEdgeLimits(t *testing.T) {
	t.Run("a crowded home spills to the second cache in rendezvous order, never to a third", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		order := f.router.rendezvousOrder(mixHash(hashString("a"), 1), f.router.edges)
		order[0].attemptLimit, order[1].attemptLimit = 1, 1
		for range 4 {
			f.lookUp(0, "a")
		}
		if len(f.attempts) != 2 || f.attempts[0].Cache != order[0] || f.attempts[1].Cache != order[1] {
			t.Fatalf("%d attempts, last to %s", len(f.attempts), f.lastAttempt().Cache.Name)
		}
	})
	t.Run("many routers before one slow cache take turns, each below one open attempt", func(t *testing.T) {
		f, _ := newFixture(t, func(s *Settings) { s.ZoneGateways = []int{20} })
		home := f.router.rendezvousOrder(mixHash(hashString("a"), 1), f.router.edges)[0]
		for range 40 {
			f.lookUp(0, "a")
			if s := f.lastAttempt(); s.Cache == home {
				f.now += 2 * second
				f.endAttempt(s, OutcomeSatisfied, DetailHit, 2*second)
				if home.attemptLimit < 0.9 && home.pausedUntil <= f.now {
					t.Fatalf("no pause at a limit of %.2f", home.attemptLimit)
				}
			}
			f.advance(100 * millisecond)
		}
		if home.attemptLimit >= 1 || home.attemptLimit < minOpen/20 {
			t.Fatalf("limit %.2f", home.attemptLimit)
		}
		n := len(f.attempts)
		home.pausedUntil = f.now + second
		if f.lookUp(0, "a"); len(f.attempts) > n && f.lastAttempt().Cache == home {
			t.Fatal("an attempt out of turn")
		}
	})
	t.Run("a cache that rejects an attempt as full gets fewer at once", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "a")
		s := f.lastAttempt()
		before := s.Cache.attemptLimit
		f.endAttempt(s, OutcomeRejected, DetailNone, millisecond)
		if s.Cache.attemptLimit > rejectedCut*before {
			t.Fatalf("limit %.1f after full, %.1f before", s.Cache.attemptLimit, before)
		}
	})
}

// Where caches report nothing but success.
func TestLimitsWithoutReports(t *testing.T) {
	t.Run("answers that take their own transfer time cut no limit", func(t *testing.T) {
		f, caches := newFixture(t, withoutReports)
		for i := range 100 {
			lookup := f.lookUpSized(0, fmt.Sprint("o", i), 2000) // 2 s to send at full pace
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailNone, lookup.work+lookup.work/2)
			f.advance(100 * millisecond)
		}
		for _, c := range caches[:3] {
			if c.attemptLimit < initialLimit {
				t.Fatalf("%s: limit %.1f", c.Name, c.attemptLimit)
			}
		}
	})
}

// Errors are quick, so that a cache that fails all lookups would attract more of them.
func TestEdgeErrors(t *testing.T) {
	t.Run("a cache that fails all lookups is avoided after some errors and then ejected", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "o")
		bad := f.lastAttempt().Cache
		for range errorsToEject {
			f.lookUp(0, "o")
			if s := f.lastAttempt(); s.Cache != bad {
				t.Fatalf("sent to %s first", s.Cache.Name)
			}
			few := bad.errorsInRow < errorsToAvoid-1 // they say little: the copy is there
			if f.endAttempt(f.lastAttempt(), OutcomeError, DetailNone, millisecond); (f.lastAttempt().Cache == bad) != few {
				t.Fatalf("retried at %s after %d in a row", f.lastAttempt().Cache.Name, bad.errorsInRow)
			}
		}
		if f.lookUp(0, "o"); !bad.ejected || f.lastAttempt().Cache == bad {
			t.Error("in use")
		}
	})
	t.Run("errors and resets are counted apart, and a good answer resets both", func(t *testing.T) {
		for _, mixed := range [][]AttemptOutcome{{OutcomeError, OutcomeReset}, {OutcomeReset, OutcomeError}, {OutcomeError, OutcomeError, OutcomeError, OutcomeError, OutcomeError}} {
			f, _ := newFixture(t, nil)
			f.lookUp(0, "o")
			home := f.lastAttempt().Cache
			for _, e := range mixed {
				f.advance(10 * millisecond) // a reset counts for attempts that started after the last one only
				f.lookUp(0, "o")
				s := f.lastAttempt()
				if s.Cache != home {
					t.Fatalf("%v: home is avoided", mixed)
				}
				f.router.AttemptEnded(f.now, s.lookup, AttemptReport{Attempt: s.number, Outcome: e, Latency: 5 * millisecond, LookupEnded: true}) // its client is gone: no retry
			}
			if home.ejected {
				t.Errorf("%v eject home", mixed)
			}
			f.lookUp(0, "o")
			if f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 5*millisecond); home.errorsInRow+home.failuresInRow > 0 {
				t.Errorf("%v: a good answer leaves a count", mixed)
			}
		}
	})
}

// A broken connection says little of its cache.
func TestEdgeDisconnection(t *testing.T) {
	t.Run("a connection that breaks under many attempts is one failure, and they go to the same cache again", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		var out []startedAttempt
		for i := range 8 {
			f.lookUp(0, fmt.Sprint("o", i))
			out = append(out, f.lastAttempt())
		}
		f.now += 10 * millisecond
		for _, s := range out {
			f.endAttempt(s, OutcomeReset, DetailNone, 10*millisecond)
			if again := f.lastAttempt(); again.lookup != s.lookup || again.Cache != s.Cache || s.Cache.ejected || s.Cache.restartsCold {
				t.Fatalf("%s went to %s after %s; ejected %v", s.lookup.ID, again.Cache.Name, s.Cache.Name, s.Cache.ejected)
			}
		}
		f.now += 10 * millisecond
		again := f.lastAttempt()
		if f.endAttempt(again, OutcomeReset, DetailNone, 10*millisecond); !again.Cache.ejected {
			t.Error("in use after a second break without an answer between")
		}
		if again.Cache.restartsCold {
			t.Error("it would restart cold though nothing was refused")
		}
	})
}
