package policy

import (
	"fmt"
	"testing"

	"foldslip/internal/lab/cost"
)

var costs = cost.NewProbes("./internal/policy")

// endpointList is a list of n caches as one gateway of the large fleet sees it: edge caches of its zone, two parents in each of 25 zones, an
// origin, and edge caches of other zones.
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

// newLargeFixture starts a router with such a list.
func newLargeFixture(t *testing.T, n, edges int) (*fixture, []Endpoint) {
	t.Helper()
	f, _ := newFixture(t, nil)
	endpoints := endpointList(n, edges)
	f.router.UpdateEndpoints(f.now, UpdateFull, endpoints)
	if len(f.router.caches) != n || len(f.router.edges) != edges || len(f.router.parents) != 50 || f.router.origin == nil {
		t.Fatalf("%d caches, %d edges, %d parents", len(f.router.caches), len(f.router.edges), len(f.router.parents))
	}
	return f, endpoints
}

// A change of one cache, by the length of the list.
func TestCostListed(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "logic-change", Title: "policy.Router.UpdateEndpoints: processor time of a change of one cache", XLabel: "caches in the list", YLabel: "us of a core",
		Budget: 1000, BudgetOf: "a change, 0.1% of a core at one a second", PlanSize: 1800}, []int{225, 450, 900, 1800, 3600, 7200, 14400}, func(n int) float64 {
		f, endpoints := newLargeFixture(t, n, 6)
		return costs.MicrosPerCall(func(i int) {
			endpoint := endpoints[60+i%100]
			endpoint.State = EndpointState(i / 100 % 2) // drains, then is ready again
			f.router.UpdateEndpoints(f.now, UpdateDelta, []Endpoint{endpoint})
		})
	})
}

// A list: its heap, with caches and endpoints.
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

// The sweep, each 10 ms, by the edge caches of the own zone: with nothing open, and with what 564 lookups a second of 200 ms hold open. Six
// edge caches of which nothing is known yet take 96 at once: 17 are queued and tried again in each sweep.
func TestCostSweep(t *testing.T) {
	for _, open := range []int{0, 113} {
		costs.Measure(t, cost.Figure{Name: fmt.Sprint("logic-sweep-", open), Title: fmt.Sprintf("policy.Router.TimerFired: processor time of a sweep, %d lookups open", open),
			XLabel: "edge caches of the own zone", YLabel: "us of a core", Budget: 15, BudgetOf: "a sweep, 0.15% of a core at 100/s", PlanSize: 6}, []int{6, 12, 24, 72, 144, 288}, func(edges int) float64 {
			f, _ := newLargeFixture(t, 1800, edges)
			for i := range open {
				f.router.StartLookup(f.now, Arrival{ID: fmt.Sprint(i), Object: fmt.Sprint("object-", i), Group: 3, SizeKB: 449, Deadline: f.now + 3600*second})
			}
			if queued := max(0, open-int(initialLimit)*edges); len(f.router.openAttempts) != open-queued || len(f.router.queued) != queued {
				t.Fatalf("%d open, %d queued of %d: expected %d queued", len(f.router.openAttempts), len(f.router.queued), open, queued)
			}
			return costs.MicrosPerCall(func(int) { f.router.TimerFired(f.now, timerSweep) })
		})
	}
}

// Purges: one more beside so many, and their heap.
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
					t.Errorf("%d purges of %d", len(f.router.purges), n)
				}
				return f.router
			})
		})
}

// The table of counts: its heap, and the halving of all of it, once a minute. It is never larger than maxCounts for longer than a sweep.
func TestCostCounts(t *testing.T) {
	sizes := []int{7500, 15000, 30000, maxCounts}
	fill := func(f *fixture, n int) {
		for i := range n {
			f.router.lookupCounts[mixHash(uint64(i), 1)] = 0x1p1000 // none is gone before the thousandth halving
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
			t.Errorf("%d counts of %d are left", len(f.router.lookupCounts), n)
		}
		return us
	})
}

// The counts at the size of the large fleet: objects looked up once a second and once a minute at one gateway, among 564 lookups a second of
// which each other one names an object of its own.
func TestLookupCountsAtFleetSize(t *testing.T) {
	f, _ := newFixture(t, nil)
	const perSecond = 564
	was := f.router.nextDecayAt
	for s, n := 0, 0; s < 300; s++ {
		for range perSecond - 2 {
			f.router.lookupCounts[mixHash(uint64(n), 7)]++
			n++
		}
		f.router.lookupCounts[1]++ // each second
		if s%60 == 30 {
			f.router.lookupCounts[2]++ // once a minute
		}
		f.advance(second)
		if len(f.router.lookupCounts) > maxCounts {
			t.Fatalf("%d counts", len(f.router.lookupCounts))
		}
	}
	if f.router.nextDecayAt != was+5*countDecayInterval {
		t.Errorf("halved %v later than five times a minute: the table was full before its time", f.router.nextDecayAt-was)
	}
	if got := f.router.lookupCounts[1]; got < 58 || got > 60.1 { // 120 just before a halving, half of it after
		t.Errorf("an object of one lookup a second has %.1f after a halving", got)
	}
	if got, kept := f.router.lookupCounts[2]; kept {
		t.Errorf("an object of one lookup a minute has %.1f after a halving: it stands out", got)
	}
}
