package policy

import (
	"fmt"
	"testing"
)

// A queued miss is given up once its answer would come too late.
func TestQueuedMisses(t *testing.T) {
	t.Run("a large miss waits for its source as long as a small one, not in proportion", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		for i := range 20 {
			lookup := f.lookUpSized(0, fmt.Sprint("o", i), 20)
			s := f.lastAttempt()
			f.router.AttemptEnded(f.now, lookup, AttemptReport{Attempt: s.number, Outcome: OutcomeSatisfied, Detail: DetailFilled, Latency: 120 * millisecond, SourceWait: 100 * millisecond, LookupEnded: true})
		}
		large := f.lookUpSized(0, "large", 200)
		large.missedAt = caches[0]
		if latency := large.kind.expectedLatency(f.now, large); latency < 280*millisecond || latency > 320*millisecond {
			t.Errorf("expected to take %d us", latency)
		}
	})
	t.Run("a queued miss is given up once recent fills take longer than it has left", func(t *testing.T) {
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
				t.Fatalf("fills of %d: ended %v", latency, lookup.Ended())
			}
		}
	})
}

// A stale copy is better than none.
func TestStaleObjects(t *testing.T) {
	t.Run("before a miss is given up one attempt takes a copy within its grace, past no purge", func(t *testing.T) {
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
				t.Fatalf("%d attempts, the last for copies of %d", len(f.attempts)-n, s.MaxAge)
			}
			if f.endAttempt(s, OutcomeMiss, DetailNone, millisecond); !lookup.Ended() || len(f.attempts) != n+1 {
				t.Fatal("neither answered nor given up")
			}
		}
	})
}

// Queued lookups are ordered by utility for their work.
func TestRepeatsWaitBehindNewLookups(t *testing.T) {
	t.Run("a repeat has less utility for its work", func(t *testing.T) {
		f, _ := newFixture(t, func(s *Settings) { s.Kinds[0].LateUtilityShare = 0.2 })
		old := f.router.StartLookup(f.now, Arrival{ID: "old", Object: "a", Group: 3, SizeKB: 100, Deadline: f.now + 3*second, IsRepeat: true})
		fresh := f.router.StartLookup(f.now, Arrival{ID: "new", Object: "b", Group: 3, SizeKB: 100, Deadline: f.now + 3*second})
		if old.utilityDensity() >= fresh.utilityDensity() {
			t.Fatal(old.utilityDensity(), fresh.utilityDensity())
		}
	})
}
