package policy

import (
	"fmt"
	"testing"
)

// A fill that finds no fill slot puts the limit of concurrent fills in force.
func TestFillsWithoutSlots(t *testing.T) {
	t.Run("hits are still served and misses are filled within the limit", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "a")
		f.endAttempt(f.lastAttempt(), OutcomeRejected, DetailNoFillSlot, millisecond)
		f.router.fills.limit = 1
		f.lookUp(0, "b")
		copyOnly := f.lastAttempt()
		if copyOnly.Source != copyOnly.Cache {
			t.Fatalf("the attempt has source %s, want an attempt without a fill", copyOnly.Source.Name)
		}
		f.endAttempt(copyOnly, OutcomeMiss, DetailNone, millisecond)
		if fill := f.lastAttempt(); fill.lookup != copyOnly.lookup || fill.Source == fill.Cache {
			t.Fatal("the miss was not followed by a fill")
		}
		n := len(f.attempts)
		for i := range 20 {
			f.lookUp(0, fmt.Sprint("c", i))
			if s := f.lastAttempt(); s.Source == s.Cache {
				f.endAttempt(s, OutcomeMiss, DetailNone, millisecond)
			}
		}
		if len(f.attempts) != n+20 {
			t.Fatalf("got %d attempts for 20 lookups, want 20", len(f.attempts)-n)
		}
		for _, s := range f.attempts[n:] {
			if s.Source != s.Cache {
				t.Fatal("a second fill started above the limit of 1")
			}
		}
	})
	t.Run("a lookup that missed makes no second attempt without a fill", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		f.lookUp(0, "a")
		f.endAttempt(f.lastAttempt(), OutcomeRejected, DetailNoFillSlot, millisecond)
		f.router.fills.limit = 1
		for i := range 4 {
			f.lookUp(0, fmt.Sprint("c", i))
			f.endAttempt(f.lastAttempt(), OutcomeMiss, DetailNone, millisecond)
		}
		f.updateEndpoint(caches[0], Draining, 0)
		f.advance(50 * millisecond)
		copyOnlyAttempts := map[*Lookup]int{}
		for _, s := range f.attempts {
			if s.Source == s.Cache {
				copyOnlyAttempts[s.lookup]++
			}
			if copyOnlyAttempts[s.lookup] > 1 {
				t.Fatal("a lookup made two attempts without a fill")
			}
		}
	})
}

// The fill limit grows with fills in time and is cut when too many are late.
func TestFillLimit(t *testing.T) {
	t.Run("the sum of the limits in a zone grows as that of a single router, and a late fill cuts the limit", func(t *testing.T) {
		grown := map[int]float64{}
		for _, gateways := range []int{1, 4} {
			f, _ := newFixture(t, func(s *Settings) { s.ZoneGateways = []int{gateways} })
			f.lookUp(0, "a")
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, 100*millisecond)
			grown[gateways] = f.router.fills.limit - initialLimit
			f.lookUp(0, "b")
			f.now += 2 * second
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, 2*second)
			if f.router.fills.limit >= initialLimit || f.router.fills.limitedUntil <= f.now {
				t.Fatalf("after a late fill the limit is %.1f, want it cut and in force", f.router.fills.limit)
			}
		}
		if grown[4] <= 0 || grown[1] < 3.9*grown[4] {
			t.Fatal(grown)
		}
	})
	t.Run("among hundreds of fills a few late ones do not put the limit in force, a fifth does", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		pace := 3 * millisecond
		fill := func(n, lateEach int) bool {
			for i := range n {
				f.lookUp(0, fmt.Sprint(f.now))
				f.now += pace
				latency := 100 * millisecond
				if i%lateEach == lateEach-1 {
					latency = 2 * second
				}
				f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, latency)
			}
			return f.router.fills.limitedUntil > f.now
		}
		if fill(400, 1000) || fill(400, 25) {
			t.Fatal("fills are limited after a few late ones")
		}
		if !fill(400, 5) {
			t.Fatal("fills are not limited although a fifth of them were late")
		}
		f.now, pace = f.now+fillLimitTime, 18*millisecond // about 80 recent fills
		if fill(200, 1000) || fill(200, 40) {
			t.Fatal("fills are limited although only one in forty was late")
		}
	})
}

// If caches report nothing but success, any attempt may be a fill.
func TestFillLimitWithoutReports(t *testing.T) {
	t.Run("unanswered overdue attempts put the limit in force, late answers do not", func(t *testing.T) {
		f, _ := newFixture(t, withoutReports)
		for i := range 100 {
			f.lookUp(0, fmt.Sprint("o", i))
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailNone, 2*second) // possibly a hit with a slow transfer
			f.advance(10 * millisecond)
		}
		if f.router.fills.limitedUntil > f.now {
			t.Fatal("late answers put the fill limit in force")
		}
		n := len(f.attempts)
		for i := range 10 {
			f.lookUp(0, fmt.Sprint("n", i))
		}
		f.advance(2 * second)
		for _, s := range f.attempts[n:] {
			f.endAttempt(s, OutcomeTimeout, DetailNone, 2*second)
		}
		if f.router.fills.limitedUntil <= f.now {
			t.Fatal("unanswered overdue attempts did not put the fill limit in force")
		}
	})
}
