package policy

import (
	"fmt"
	"testing"

	"foldslip/internal/lab/cost"
)

var costs = cost.NewProbes("./internal/policy")

// endpointList returns an endpoint list of n caches as one gateway of the large fleet sees it. The list holds an
// origin, two parents in each of 25 zones, the given number of edge caches in the gateway's zone, and edge caches of
// other zones.
func endpointList(n, edges int) (endpoints []Endpoint) {
	for i := range n {
		endpoint := Endpoint{Cache: NewCache(fmt.Sprintf("s-%08x", uint32(i)*2654435761)), Cell: i, Zone: 1 + i%24, Weight: 1}
		switch {
		case i == 0:
			endpoint.Kind = 2
		case i <= 50:
			endpoint.Kind = 1
		case i <= 50+edges:
			endpoint.Zone = 0
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// newLargeFixture creates a router with a list made by endpointList.
func newLargeFixture(t *testing.T, n, edges int) (*fixture, []Endpoint) {
	t.Helper()
	f, _ := newFixture(t, nil)
	endpoints := endpointList(n, edges)
	f.router.UpdateEndpoints(f.now, UpdateFull, endpoints)
	if len(f.router.caches) != n || len(f.router.edges) != edges || len(f.router.parents) != 50 || f.router.origin == nil {
		t.Fatalf("%d caches, %d edge caches of the zone, %d parents; want all listed caches, 50 parents and an origin",
			len(f.router.caches), len(f.router.edges), len(f.router.parents))
	}
	return f, endpoints
}

// TestCostListed measures the processor time of a change of one cache, by the length of the endpoint list.
func TestCostListed(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "logic-change", Title: "policy.Router.UpdateEndpoints: processor time of a change of one cache", XLabel: "caches in the list", YLabel: "us of a core",
		Budget: 1000, BudgetOf: "a change, 0.1% of a core at one a second", PlanSize: 1800}, []int{225, 450, 900, 1800, 3600, 7200, 14400}, func(n int) float64 {
		f, endpoints := newLargeFixture(t, n, 6)
		return costs.MicrosPerCall(func(i int) {
			endpoint := endpoints[60+i%100]
			endpoint.State = EndpointState(i / 100 % 2) // alternates between Ready and Draining
			f.router.UpdateEndpoints(f.now, UpdateDelta, []Endpoint{endpoint})
		})
	})
}

// TestCostListHeap measures the heap of an endpoint list, including the caches and endpoints, by its length.
func TestCostListHeap(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "logic-list-heap", Title: "policy.Router: heap of the list", XLabel: "caches in the list", YLabel: "bytes", Budget: 4 << 20, BudgetOf: "the list, 4 MB of 128", PlanSize: 1800},
		[]int{225, 450, 900, 1800, 3600, 7200}, func(n int) float64 {
			f, _ := newFixture(t, nil)
			return cost.HeapBytes(func() any {
				f.router.UpdateEndpoints(f.now, UpdateFull, endpointList(n, 6))
				return f.router
			})
		})
}

// TestCostSweep measures the processor time of a sweep, which runs every 10 ms, by the number of edge caches in the
// zone. It measures a sweep without open lookups, and one with the 113 lookups that are open at 564 lookups a second
// of 200 ms each. At their initial limits, 6 edge caches accept 96 of them. The other 17 are queued and routed again
// in each sweep.
func TestCostSweep(t *testing.T) {
	for _, open := range []int{0, 113} {
		costs.Measure(t, cost.Figure{Name: fmt.Sprint("logic-sweep-", open), Title: fmt.Sprintf("policy.Router.TimerFired: processor time of a sweep, %d lookups open", open),
			XLabel: "edge caches of the own zone", YLabel: "us of a core", Budget: 15, BudgetOf: "a sweep, 0.15% of a core at 100/s", PlanSize: 6}, []int{6, 12, 24, 72, 144, 288}, func(edges int) float64 {
			f, _ := newLargeFixture(t, 1800, edges)
			for i := range open {
				f.router.StartLookup(f.now, Arrival{ID: fmt.Sprint(i), Object: fmt.Sprint("object-", i), Group: 3, SizeKB: 449, Deadline: f.now + 3600*second})
			}
			if queued := max(0, open-int(initialLimit)*edges); len(f.router.openAttempts) != open-queued || len(f.router.queued) != queued {
				t.Fatalf("%d attempts open and %d lookups queued of %d lookups, want %d queued",
					len(f.router.openAttempts), len(f.router.queued), open, queued)
			}
			return costs.MicrosPerCall(func(int) { f.router.TimerFired(f.now, timerSweep) })
		})
	}
}

// TestCostPurged measures the processor time of one purge and the heap of all purges, by the number of recorded
// purges.
func TestCostPurged(t *testing.T) {
	sizes := []int{1100, 6700, 60000, 360000}
	costs.Measure(t, cost.Figure{Name: "logic-purged", Title: "policy.Router.ApplyPurge: processor time of one purge", XLabel: "purges", YLabel: "us of a core", Budget: 40,
		BudgetOf: "a purge, 0.4% of a core at 100/s", PlanSize: 6700}, sizes, func(n int) float64 {
		f, _ := newFixture(t, nil)
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
			f.router.ApplyPurge(f.now, names[i], 0, 0)
		}
		return costs.MicrosPerCall(func(i int) { f.router.ApplyPurge(f.now, names[i%n], 0, 0) })
	})
	costs.Measure(t, cost.Figure{Name: "logic-purged-heap", Title: "policy.Router: heap of the purges", XLabel: "purges", YLabel: "bytes", Budget: 2 << 20, BudgetOf: "purges, 2 MB of 128", PlanSize: 6700},
		sizes, func(n int) float64 {
			f, _ := newFixture(t, nil)
			return cost.HeapBytes(func() any {
				for i := range n {
					f.router.ApplyPurge(f.now, fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15), 0, 0)
				}
				if len(f.router.purges) != n {
					t.Errorf("%d purges are recorded, want %d", len(f.router.purges), n)
				}
				return f.router
			})
		})
}

// TestCostCounts measures the heap of the lookup counts and the processor time of halving all of them, which happens
// once a minute. There are never more than maxCounts of them for longer than a sweep interval.
func TestCostCounts(t *testing.T) {
	sizes := []int{7500, 15000, 30000, maxCounts}
	fill := func(f *fixture, n int) {
		for i := range n {
			f.router.lookupCounts[mixHash(uint64(i), 1)] = 0x1p1000 // large enough to last for 1,000 halvings
		}
	}
	costs.Measure(t, cost.Figure{Name: "logic-counts-heap", Title: "policy.Router: heap of the counts", XLabel: "counts", YLabel: "bytes", Budget: 4 << 20, BudgetOf: "counts, 4 MB of 128", PlanSize: maxCounts},
		sizes, func(n int) float64 {
			f, _ := newFixture(t, nil)
			return cost.HeapBytes(func() any { fill(f, n); return f.router })
		})
	costs.Measure(t, cost.Figure{Name: "logic-halve", Title: "policy.Router: processor time of halving the counts, once a minute", XLabel: "counts", YLabel: "us of a core", Budget: 60000,
		BudgetOf: "0.1% of a core, once a minute", PlanSize: maxCounts}, sizes, func(n int) float64 {
		f, _ := newFixture(t, nil)
		fill(f, n)
		us := costs.MicrosPerCall(func(i int) {
			if f.router.decayCounts(); i%900 == 899 {
				fill(f, n)
			}
		})
		if len(f.router.lookupCounts) != n {
			t.Errorf("%d counts are left, want %d", len(f.router.lookupCounts), n)
		}
		return us
	})
}

// TestLookupCountsAtFleetSize checks the lookup counts of one gateway of the large fleet, at 564 lookups a second.
// One object is looked up once a second and another one once a minute. Each of the remaining lookups is for a
// different object. The counts of these objects must not exceed maxCounts, which would halve all counts early.
func TestLookupCountsAtFleetSize(t *testing.T) {
	f, _ := newFixture(t, nil)
	const perSecond = 564
	firstDecayAt := f.router.nextDecayAt
	for s, n := 0, 0; s < 300; s++ {
		for range perSecond - 2 {
			f.router.lookupCounts[mixHash(uint64(n), 7)]++
			n++
		}
		f.router.lookupCounts[1]++ // once a second
		if s%60 == 30 {
			f.router.lookupCounts[2]++ // once a minute
		}
		f.advance(second)
		if len(f.router.lookupCounts) > maxCounts {
			t.Fatalf("%d counts, want at most maxCounts", len(f.router.lookupCounts))
		}
	}
	if f.router.nextDecayAt != firstDecayAt+5*countDecayInterval {
		t.Errorf("the next halving moved by %d us in 5 minutes: the counts were full and halved early",
			f.router.nextDecayAt-firstDecayAt)
	}
	if got := f.router.lookupCounts[1]; got < 58 || got > 60.1 { // 120 just before a halving and 60 just after it
		t.Errorf("an object with one lookup a second has a count of %.1f after a halving, want 58 to 60.1", got)
	}
	if got, kept := f.router.lookupCounts[2]; kept {
		t.Errorf("an object with one lookup a minute has a count of %.1f after a halving, want none", got)
	}
}
