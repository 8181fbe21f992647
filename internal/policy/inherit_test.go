package policy

import (
	"fmt"
	"testing"
)

// The first seconds after a change of settings: what is inherited keeps the rules, the rest is new.
func TestInherit(t *testing.T) {
	old, oldCaches := newFixture(t, nil)
	old.router.ApplyPurge(old.now, "a", 3, 0)
	old.updateEndpoint(oldCaches[0], Ready, old.now) // warming up
	old.router.eject(oldCaches[1], "test")
	oldCaches[2].attemptLimit = 2
	for range 5 {
		old.lookUp(0, "b")
	}
	f, caches := newFixture(t, withoutReports) // other settings, and new caches under the same names
	f.now = old.now + 100*millisecond
	f.router.InheritFrom(old.router)
	f.lookUp(0, "a")
	if s := f.lastAttempt(); s.MaxAge == 0 || s.MaxAge > 200*millisecond {
		t.Fatalf("the first attempt takes a copy %d us old, the purge was 100 ms ago", s.MaxAge)
	}
	if caches[0].warmingSince == 0 || !caches[1].ejected || caches[2].attemptLimit != initialLimit || f.router.lookupCounts[mixHash(hashString("b"), 1)] < 5 {
		t.Fatalf("warming from %d, ejected %v, limit %.1f, count %.0f", caches[0].warmingSince, caches[1].ejected, caches[2].attemptLimit,
			f.router.lookupCounts[mixHash(hashString("b"), 1)])
	}
	for i := range 50 { // the cache that warms up gets no more in the first second than before
		f.lookUp(0, fmt.Sprint(i))
		if f.lastAttempt().Cache != caches[0] { // what it has not answered shows nothing of what it bears
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
		t.Fatalf("%d attempts to a cache that started a second ago", count)
	}
}

// A start that only the new list has is not starved by what the earlier router knew of the cache: nothing.
func TestInheritKeepsUnknownSlowStart(t *testing.T) {
	old, _ := newFixture(t, nil)
	f, caches := newFixture(t, nil)
	f.updateEndpoint(caches[0], Ready, f.now)
	f.router.InheritFrom(old.router)
	if caches[0].warmingSince == 0 || caches[0].slowStartScale != 1 {
		t.Fatalf("warming since %d, its budget at %.2f", caches[0].warmingSince, caches[0].slowStartScale)
	}
}
