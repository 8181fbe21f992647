package policy

import (
	"fmt"
	"testing"
)

// TestHomeOfAnObject checks that rendezvous hashing assigns a home cache to each part of an object. A home that
// changed without need would cause fills of copies that are cached elsewhere.
func TestHomeOfAnObject(t *testing.T) {
	t.Run("an object keeps its edge cache and its parent, and its fill is cached and coalesced", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "a")
		first := f.lastAttempt()
		f.endAttempt(first, OutcomeSatisfied, DetailFilled, 120*millisecond)
		f.lookUp(0, "a")
		if again := f.lastAttempt(); again.Cache != first.Cache || again.Source != first.Source || again.Mode&ModeCoalesce == 0 {
			t.Fatalf("cache %s first and %s then: want the same cache and source, with coalescing",
				first.Cache.Name, again.Cache.Name)
		}
		if first.Rank != 1 || first.Source.Kind != 1 {
			t.Fatalf("first attempt has rank %d and source %s, want rank 1 and a parent", first.Rank, first.Source.Name)
		}
	})
	t.Run("the removal of a cache from the list moves only the objects of that cache", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		home := map[int]*Cache{}
		for i := range 40 {
			f.lookUp(1, fmt.Sprint(i))
			home[i] = f.lastAttempt().Cache
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
		}
		f.updateEndpoint(caches[0], Gone, 0)
		for i := range 40 {
			f.lookUp(1, fmt.Sprint(i))
			if to := f.lastAttempt().Cache; to == caches[0] || home[i] != caches[0] && to != home[i] {
				t.Fatalf("object %d moved from %s to %s after the removal of a cache", i, home[i].Name, to.Name)
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
		}
	})
	t.Run("the parts of one object spread over the caches of the zone", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		at := map[*Cache]bool{}
		for part := range 12 {
			f.router.StartLookup(f.now, Arrival{ID: fmt.Sprint("p", part), Object: "a", Part: part, Group: 3, SizeKB: 100, Deadline: f.now + 3*second})
			at[f.lastAttempt().Cache] = true
		}
		if len(at) < 2 {
			t.Fatalf("12 parts went to %d cache, want at least 2", len(at))
		}
	})
	t.Run("listed sizes weight the choice of home caches, even if they are rough", func(t *testing.T) {
		f, caches := newFixture(t, func(s *Settings) { s.WeightIsSize = true })
		caches[0].Weight = 10
		big := 0
		for part := range 100 {
			f.router.StartLookup(f.now, Arrival{ID: fmt.Sprint("p", part), Object: "a", Part: part, Group: 3, SizeKB: 100, Deadline: f.now + 3*second})
			if f.lastAttempt().Cache == caches[0] {
				big++
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 10*millisecond)
		}
		if big < 70 {
			t.Fatalf("the cache of ten times the size is home to %d of 100 parts, want at least 70", big)
		}
	})
}

// TestOneResult checks rule 1, which gives each lookup exactly one result.
func TestOneResult(t *testing.T) {
	t.Run("no attempt and no second result follow a result", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		lookup := f.lookUp(0, "a")
		s := f.lastAttempt()
		f.router.ClientGone(f.now, lookup)
		f.endAttempt(s, OutcomeCancelled, DetailNone, millisecond)
		f.advance(4 * second)
		if len(f.attempts) != 1 || len(f.calls) != 1 || !lookup.Ended() {
			t.Fatal(len(f.attempts), f.calls)
		}
	})
	t.Run("a timeout at the deadline ends the lookup immediately", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		lookup := f.lookUp(0, "a")
		f.now += 3 * second
		f.endAttempt(f.lastAttempt(), OutcomeTimeout, DetailNone, 3*second)
		if !lookup.Ended() || len(f.calls) != 1 {
			t.Fatal(f.calls)
		}
	})
}

// TestRouterCount checks the number of routers of a zone. A number that is too low would let all routers together
// overload a cache, as each of them uses its share of the cache's capacity.
func TestRouterCount(t *testing.T) {
	t.Run("the fleet's size raises the number of routers and never lowers it", func(t *testing.T) {
		zoneCount := func(configured, fleet int) float64 {
			f, _ := newFixture(t, func(s *Settings) { s.ZoneGateways, s.Gateways, s.Zone = []int{configured / 2}, configured, 0 })
			f.router.FleetSize = fleet
			return f.router.zoneRouterCount()
		}
		if zoneCount(12, 0) != 6 || zoneCount(12, 12) != 6 || zoneCount(12, 5) != 6 || zoneCount(12, 24) != 12 {
			t.Fatal(zoneCount(12, 0), zoneCount(12, 12), zoneCount(12, 5), zoneCount(12, 24))
		}
	})
}

// TestBareSettings runs lookups with settings that lack most values. A missing value must not cause a panic, a lookup
// that stays queued or an attempt that stays open.
func TestBareSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no transfer pace":       func(s *Settings) { s.TransferKBPerSecond = 0 },
		"no router counts":       func(s *Settings) { s.ZoneGateways, s.Gateways = nil, 0 },
		"no parents":             func(s *Settings) { s.ParentKind = -1 },
		"no slow start settings": func(s *Settings) { s.SlowStartTime, s.BreakWindow, s.BreakMultiple, s.SlowStartShare = 0, 0, 0, 0 },
		"one weight of 0":        func(s *Settings) { s.WeightIsCapacity, s.WeightIsSize = true, true },
		"no optional features":   func(s *Settings) { s.CoalescesFills, s.ReportsFirstByte, s.MaxRetryAfter = false, false, 0 },
	} {
		t.Run(name, func(t *testing.T) {
			f, caches := newFixture(t, change)
			caches[0].Weight = 0
			f.updateEndpoint(caches[1], Ready, f.now)
			for i := range 30 {
				lookup := f.lookUpSized(i%2, fmt.Sprint(i), float64(i*50))
				if s := f.lastAttempt(); s.lookup == lookup {
					f.endAttempt(s, []AttemptOutcome{OutcomeSatisfied, OutcomeRejected, OutcomeError, OutcomeMiss}[i%4], DetailNone, 0)
				}
				f.advance(120 * millisecond)
			}
			for range 20 { // attempts that are still open time out
				for _, s := range f.attempts {
					if f.isOpen(s) {
						f.endAttempt(s, OutcomeTimeout, DetailNone, second)
					}
				}
				f.advance(200 * millisecond)
			}
			if len(f.attempts) < 30 || len(f.router.queued) > 0 || len(f.router.openAttempts) > 0 {
				t.Fatalf("%d attempts, %d lookups queued, %d attempts open; want at least 30, 0 and 0",
					len(f.attempts), len(f.router.queued), len(f.router.openAttempts))
			}
		})
	}
}
