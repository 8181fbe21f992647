package policy

import (
	"fmt"
	"testing"
)

// Fills are limited after one found no slot.
func TestFillsWithoutSlots(t *testing.T) {
	t.Run("hits go on and misses are filled a few at a time", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "a")
		f.endAttempt(f.lastAttempt(), OutcomeRejected, DetailNoFillSlot, millisecond)
		f.router.fills.limit = 1
		f.lookUp(0, "b")
		copyOnly := f.lastAttempt()
		if copyOnly.Source != copyOnly.Cache {
			t.Fatalf("not asked for its copy alone but filled from %s", copyOnly.Source.Name)
		}
		f.endAttempt(copyOnly, OutcomeMiss, DetailNone, millisecond)
		if fill := f.lastAttempt(); fill.lookup != copyOnly.lookup || fill.Source == fill.Cache {
			t.Fatal("the miss was not filled")
		}
		n := len(f.attempts)
		for i := range 20 {
			f.lookUp(0, fmt.Sprint("c", i))
			if s := f.lastAttempt(); s.Source == s.Cache {
				f.endAttempt(s, OutcomeMiss, DetailNone, millisecond)
			}
		}
		if len(f.attempts) != n+20 {
			t.Fatalf("%d attempts for 20 lookups", len(f.attempts)-n)
		}
		for _, s := range f.attempts[n:] {
			if s.Source != s.Cache {
				t.Fatal("a second fill started")
			}
		}
	})
	t.Run("a lookup that missed asks no second cache for its copy alone", func(t *testing.T) {
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
				t.Fatal("asked for its copy alone twice")
			}
		}
	})
}

// The limit of fills follows how many are late.
func TestFillLimit(t *testing.T) {
	t.Run("routers of one zone together raise the limit as one, and cut it when fills are late", func(t *testing.T) {
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
				t.Fatalf("a late fill left the limit at %.1f", f.router.fills.limit)
			}
		}
		if grown[4] <= 0 || grown[1] < 3.9*grown[4] {
			t.Fatal(grown)
		}
	})
	t.Run("among hundreds of fills a few late ones do not limit, a tenth does", func(t *testing.T) {
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
			t.Fatal("limited by a few late fills")
		}
		if !fill(400, 5) {
			t.Fatal("not limited by a fifth of late fills")
		}
		f.now, pace = f.now+fillLimitTime, 18*millisecond // some eighty recent ones
		if fill(200, 1000) || fill(200, 40) {
			t.Fatal("limited by one late fill in forty")
		}
	})
}

// Where caches report nothing but success, an attempt may be a fill.
func TestFillLimitWithoutReports(t *testing.T) {
	t.Run("attempts that end overdue and unanswered limit fills, late answers do not", func(t *testing.T) {
		f, _ := newFixture(t, withoutReports)
		for i := range 100 {
			f.lookUp(0, fmt.Sprint("o", i))
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailNone, 2*second) // a slow transfer of a hit, maybe
			f.advance(10 * millisecond)
		}
		if f.router.fills.limitedUntil > f.now {
			t.Fatal("fills are limited by late answers")
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
			t.Fatal("fills are not limited")
		}
	})
}
