package policy

import (
	"fmt"
	"testing"
)

// TestInherit checks the first second of a router that replaces another after a change of settings. Without the
// inherited state it would accept purged copies and overload a cache in slow start. The state that depends on the old
// settings must not be inherited.
func TestInherit(t *testing.T) {
	old, oldCaches := newFixture(t, nil)
	old.router.ApplyPurge(old.now, "a", 3, 0)
	old.updateEndpoint(oldCaches[0], Ready, old.now) // begins a slow start
	old.router.eject(oldCaches[1], "test")
	oldCaches[2].attemptLimit = 2
	for range 5 {
		old.lookUp(0, "b")
	}
	f, caches := newFixture(t, withoutReports) // other settings and new caches with the same names
	f.now = old.now + 100*millisecond
	f.router.InheritFrom(old.router)
	f.lookUp(0, "a")
	if s := f.lastAttempt(); s.MaxAge == 0 || s.MaxAge > 200*millisecond {
		t.Fatalf("the first attempt accepts copies up to %d us old, but the purge was 100 ms ago", s.MaxAge)
	}
	if caches[0].warmingSince == 0 || !caches[1].ejected || caches[2].attemptLimit != initialLimit || f.router.lookupCounts[mixHash(hashString("b"), 1)] < 5 {
		t.Fatalf("slow start at %d, ejected %v, limit %.1f, lookup count %.0f",
			caches[0].warmingSince, caches[1].ejected, caches[2].attemptLimit,
			f.router.lookupCounts[mixHash(hashString("b"), 1)])
	}
	for i := range 50 { // the warming cache receives no more in the first second than it would have before
		f.lookUp(0, fmt.Sprint(i))
		if f.lastAttempt().Cache != caches[0] { // an unanswered attempt does not raise the known capacity of the warming cache
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailNone, 10*millisecond)
		}
		f.advance(20 * millisecond)
	}
	count := 0
	for _, s := range f.attempts {
		if s.Cache == caches[0] {
			count++
		}
	}
	if count > 3 {
		t.Fatalf("%d attempts at a cache that started a second ago, want at most 3", count)
	}
}

// TestInheritKeepsUnknownSlowStart checks a slow start that only the new list shows. The earlier router has no slow
// start scale for that cache, and inheriting a scale of 0 would leave the cache without load.
func TestInheritKeepsUnknownSlowStart(t *testing.T) {
	old, _ := newFixture(t, nil)
	f, caches := newFixture(t, nil)
	f.updateEndpoint(caches[0], Ready, f.now)
	f.router.InheritFrom(old.router)
	if caches[0].warmingSince == 0 || caches[0].slowStartScale != 1 {
		t.Fatalf("slow start at %d with a scale of %.2f, want a scale of 1",
			caches[0].warmingSince, caches[0].slowStartScale)
	}
}
