package policy

import (
	"fmt"
	"testing"
)

// A queued miss is given up once its answer is expected after the end of its latency budget.
func TestQueuedMisses(t *testing.T) {
	t.Run("the wait for the source does not grow with the size of a miss", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		for i := range 20 {
			lookup := f.lookUpSized(0, fmt.Sprint("o", i), 20)
			s := f.lastAttempt()
			f.router.AttemptEnded(f.now, lookup, AttemptReport{Attempt: s.number, Outcome: OutcomeSatisfied, Detail: DetailFilled, Latency: 120 * millisecond, SourceWait: 100 * millisecond, LookupEnded: true})
		}
		large := f.lookUpSized(0, "large", 200)
		large.missedAt = caches[0]
		if latency := large.kind.expectedLatency(f.now, large); latency < 280*millisecond || latency > 320*millisecond {
			t.Errorf("got an expected latency of %d us, want 280 to 320 ms", latency)
		}
	})
	t.Run("a queued miss is given up if recent fills take longer than its remaining budget", func(t *testing.T) {
		for _, latency := range []Micros{100 * millisecond, 400 * millisecond} {
			f, _ := newFixture(t, nil)
			for i := range 5 {
				f.lookUp(0, fmt.Sprint("x", i))
				f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, latency)
			}
			f.endAttempt(f.attempts[0], OutcomeRejected, DetailNoFillSlot, millisecond)
			f.router.fills.limit, f.router.fills.nextAt = 0, 0
			lookup := f.lookUp(0, "b")
			f.endAttempt(f.lastAttempt(), OutcomeMiss, DetailNone, millisecond)
			f.advance(250 * millisecond)
			if lookup.Ended() != (latency > 100*millisecond) {
				t.Fatalf("recent fills of %d us: ended %v, want true only for the slow fills", latency, lookup.Ended())
			}
		}
	})
}

// Before a miss is given up, a stale copy within its grace period is accepted.
func TestStaleObjects(t *testing.T) {
	t.Run("one attempt accepts a copy within its grace period, unless a purge excludes it", func(t *testing.T) {
		for _, purged := range []bool{false, true} {
			f, _ := newFixture(t, func(s *Settings) { s.Kinds[1].StaleGrace = 20 * second })
			x := f.lookUp(1, "x")
			f.endAttempt(f.lastAttempt(), OutcomeRejected, DetailNoFillSlot, millisecond)
			f.router.ClientGone(f.now, x)
			f.router.fills.limit = 0
			if purged {
				f.router.ApplyPurge(f.now, "", 3, 0)
			}
			lookup := f.lookUp(1, "a")
			f.endAttempt(f.lastAttempt(), OutcomeMiss, DetailNone, millisecond)
			n := len(f.attempts)
			f.advance(600 * millisecond)
			s := f.lastAttempt()
			if len(f.attempts) != n+1 || s.lookup != lookup || s.Source != s.Cache || purged && s.MaxAge > second ||
				!purged && s.MaxAge != 28*second {
				t.Fatalf("got %d further attempts, the last with a maximum age of %d us, want 1 without a fill and with the right maximum age", len(f.attempts)-n, s.MaxAge)
			}
			if f.endAttempt(s, OutcomeMiss, DetailNone, millisecond); !lookup.Ended() || len(f.attempts) != n+1 {
				t.Fatal("the lookup was not given up after the stale attempt missed")
			}
		}
	})
}

// Queued lookups are ordered by utility per work.
func TestRepeatsWaitBehindNewLookups(t *testing.T) {
	t.Run("a repeat has less utility per work than a new lookup", func(t *testing.T) {
		f, _ := newFixture(t, func(s *Settings) { s.Kinds[0].LateUtilityShare = 0.2 })
		old := f.router.StartLookup(f.now, Arrival{ID: "old", Object: "a", Group: 3, SizeKB: 100, Deadline: f.now + 3*second, IsRepeat: true})
		fresh := f.router.StartLookup(f.now, Arrival{ID: "new", Object: "b", Group: 3, SizeKB: 100, Deadline: f.now + 3*second})
		if old.utilityDensity() >= fresh.utilityDensity() {
			t.Fatal(old.utilityDensity(), fresh.utilityDensity())
		}
	})
}
