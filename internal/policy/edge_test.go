package policy

import (
	"fmt"
	"testing"
)

// TestEdgeLimits checks the concurrency limit of edge caches. Without a limit that follows latencies and rejections,
// lookups would overload a slow cache.
func TestEdgeLimits(t *testing.T) {
	t.Run("a full home cache spills to the second cache in rendezvous order, never to a third", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		order := f.router.rendezvousOrder(mixHash(hashString("a"), 1), f.router.edges)
		order[0].attemptLimit, order[1].attemptLimit = 1, 1
		for range 4 {
			f.lookUp(0, "a")
		}
		if len(f.attempts) != 2 || f.attempts[0].Cache != order[0] || f.attempts[1].Cache != order[1] {
			t.Fatalf("%d attempts, the last to %s; want one at each of the first two caches",
				len(f.attempts), f.lastAttempt().Cache.Name)
		}
	})
	t.Run("many routers of one slow cache pause between attempts, each with a limit below one", func(t *testing.T) {
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
			t.Fatalf("limit %.2f, want it below 1 and at least a router's part of minOpen", home.attemptLimit)
		}
		n := len(f.attempts)
		home.pausedUntil = f.now + second
		if f.lookUp(0, "a"); len(f.attempts) > n && f.lastAttempt().Cache == home {
			t.Fatal("an attempt started at a paused cache")
		}
	})
	t.Run("a rejection cuts the limit of the cache immediately", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "a")
		s := f.lastAttempt()
		before := s.Cache.attemptLimit
		f.endAttempt(s, OutcomeRejected, DetailNone, millisecond)
		if s.Cache.attemptLimit > rejectedCut*before {
			t.Fatalf("limit %.1f after the rejection, %.1f before", s.Cache.attemptLimit, before)
		}
	})
}

// TestLimitsWithoutReports checks concurrency limits where caches report neither hits nor first bytes. Long transfers
// of large objects must not be taken for slow hits.
func TestLimitsWithoutReports(t *testing.T) {
	t.Run("responses that are slow because of their size do not cut the limit", func(t *testing.T) {
		f, caches := newFixture(t, withoutReports)
		for i := range 100 {
			lookup := f.lookUpSized(0, fmt.Sprint("o", i), 2000) // 2 s of transfer at full pace
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailNone, lookup.work+lookup.work/2)
			f.advance(100 * millisecond)
		}
		for _, c := range caches[:3] {
			if c.attemptLimit < initialLimit {
				t.Fatalf("%s: limit %.1f, want at least the initial limit", c.Name, c.attemptLimit)
			}
		}
	})
}

// TestEdgeErrors checks that a cache that fails every lookup is avoided and ejected. Its errors are quick, so it
// would otherwise attract more lookups.
func TestEdgeErrors(t *testing.T) {
	t.Run("a cache that fails every lookup is avoided after some errors and then ejected", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "o")
		bad := f.lastAttempt().Cache
		for range errorsToEject {
			f.lookUp(0, "o")
			if s := f.lastAttempt(); s.Cache != bad {
				t.Fatalf("the first attempt went to %s instead of the home cache", s.Cache.Name)
			}
			few := bad.errorsInRow < errorsToAvoid-1 // few errors are weak evidence, and this cache holds the copy
			if f.endAttempt(f.lastAttempt(), OutcomeError, DetailNone, millisecond); (f.lastAttempt().Cache == bad) != few {
				t.Fatalf("retried at %s after %d consecutive errors", f.lastAttempt().Cache.Name, bad.errorsInRow)
			}
		}
		if f.lookUp(0, "o"); !bad.ejected || f.lastAttempt().Cache == bad {
			t.Error("the failing cache is still in use")
		}
	})
	t.Run("errors and resets are counted separately, and a success clears both counts", func(t *testing.T) {
		for _, mixed := range [][]AttemptOutcome{{OutcomeError, OutcomeReset}, {OutcomeReset, OutcomeError}, {OutcomeError, OutcomeError, OutcomeError, OutcomeError, OutcomeError}} {
			f, _ := newFixture(t, nil)
			f.lookUp(0, "o")
			home := f.lastAttempt().Cache
			for _, e := range mixed {
				f.advance(10 * millisecond) // a reset counts only if the attempt started after the previous reset
				f.lookUp(0, "o")
				s := f.lastAttempt()
				if s.Cache != home {
					t.Fatalf("%v: the home cache is avoided", mixed)
				}
				// The client is gone, so there is no retry.
				f.router.AttemptEnded(f.now, s.lookup, AttemptReport{Attempt: s.number, Outcome: e, Latency: 5 * millisecond, LookupEnded: true})
			}
			if home.ejected {
				t.Errorf("%v: the home cache is ejected", mixed)
			}
			f.lookUp(0, "o")
			if f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 5*millisecond); home.errorsInRow+home.failuresInRow > 0 {
				t.Errorf("%v: a failure count is not 0 after a success", mixed)
			}
		}
	})
}

// TestEdgeDisconnection checks that one broken connection does not eject its cache. Many attempts share a connection,
// so one break ends them all.
func TestEdgeDisconnection(t *testing.T) {
	t.Run("a connection that breaks under many attempts is one failure, and its attempts are retried there", func(t *testing.T) {
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
				t.Fatalf("%s was retried at %s after a reset at %s; ejected %v",
					s.lookup.ID, again.Cache.Name, s.Cache.Name, s.Cache.ejected)
			}
		}
		f.now += 10 * millisecond
		again := f.lastAttempt()
		if f.endAttempt(again, OutcomeReset, DetailNone, 10*millisecond); !again.Cache.ejected {
			t.Error("the cache is in use after two breaks without a response in between")
		}
		if again.Cache.restartsCold {
			t.Error("the cache would begin a slow start although no connection was refused")
		}
	})
}
