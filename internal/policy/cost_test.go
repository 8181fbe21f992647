package policy

import (
	"fmt"
	"testing"

	"foldslip/internal/lab/cost"
)

var costs = cost.NewProbes("./logic")

// members is a list of n caches as one gateway of the large fleet sees it: its own edges, two parents in each of 25 zones, an origin, and
// edges of other locations.
func members(n, edges int) (rows []Endpoint) {
	for i := range n {
		row := Endpoint{Cache: NewCache(fmt.Sprintf("s-%08x", uint32(i)*2654435761)), Cell: i, Zone: 1 + i%24, Weight: 1}
		switch {
		case i == 0:
			row.Kind = 2
		case i <= 50:
			row.Kind = 1
		case i <= 50+edges:
			row.Zone = 0
		}
		rows = append(rows, row)
	}
	return rows
}

// large starts a router with such a list.
func large(t *testing.T, n, edges int) (*fake, []Endpoint) {
	f, _ := play(t, nil)
	rows := members(n, edges)
	f.r.UpdateEndpoints(f.now, UpdateFull, rows)
	if len(f.r.caches) != n || len(f.r.edges) != edges || len(f.r.parents) != 50 || f.r.origin == nil {
		t.Fatalf("%d caches, %d edges, %d parents", len(f.r.caches), len(f.r.edges), len(f.r.parents))
	}
	return f, rows
}

// A change of one cache, by the length of the list.
func TestCostListed(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "logic-change", Title: "logic.Router.Listed: processor time of a change of one cache", XLabel: "caches in the list", YLabel: "us of a core",
		Budget: 1000, BudgetOf: "a change, 0.1% of a core at one a second", PlanSize: 1800}, []int{225, 450, 900, 1800, 3600, 7200, 14400}, func(n int) float64 {
		f, rows := large(t, n, 6)
		return costs.MicrosPerCall(func(i int) {
			row := rows[60+i%100]
			row.State = EndpointState(i / 100 % 2) // drains, then is ready again
			f.r.UpdateEndpoints(f.now, UpdateDelta, []Endpoint{row})
		})
	})
}

// A list held: heap, caches and rows with it.
func TestCostListHeld(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "logic-list-heap", Title: "logic.Router: heap of the list", XLabel: "caches in the list", YLabel: "bytes", Budget: 4 << 20, BudgetOf: "the list, 4 MB of 128", PlanSize: 1800},
		[]int{225, 450, 900, 1800, 3600, 7200}, func(n int) float64 {
			f, _ := play(t, nil)
			return cost.HeapBytes(func() any {
				f.r.UpdateEndpoints(f.now, UpdateFull, members(n, 6))
				return f.r
			})
		})
}

// The sweep, each 10 ms, by the edges of the own location: with nothing open, and with what 564 lookups a second of 200 ms hold open. Six
// edges of which nothing is known yet bear 96 at once: 17 are held and looked at anew in each sweep.
func TestCostSweep(t *testing.T) {
	for _, open := range []int{0, 113} {
		costs.Measure(t, cost.Figure{Name: fmt.Sprint("logic-sweep-", open), Title: fmt.Sprintf("logic.Router.Woken: processor time of a sweep, %d lookups open", open),
			XLabel: "edges of the own location", YLabel: "us of a core", Budget: 15, BudgetOf: "a sweep, 0.15% of a core at 100/s", PlanSize: 6}, []int{6, 12, 24, 72, 144, 288}, func(edges int) float64 {
			f, _ := large(t, 1800, edges)
			for i := range open {
				f.r.StartLookup(f.now, fmt.Sprint(i), 0, fmt.Sprint("object-", i), 0, 3, 449, f.now+3600*second, false, false)
			}
			if held := max(0, open-int(initialLimit)*edges); len(f.r.openAttempts) != open-held || len(f.r.queued) != held {
				t.Fatalf("%d open, %d held of %d: expected %d held", len(f.r.openAttempts), len(f.r.queued), open, held)
			}
			return costs.MicrosPerCall(func(int) { f.r.TimerFired(f.now, timerSweep) })
		})
	}
}

// Purges noted in the module: one more where so many are kept, and their heap.
func TestCostPurged(t *testing.T) {
	sizes := []int{1100, 6700, 60000, 360000}
	costs.Measure(t, cost.Figure{Name: "logic-purged", Title: "logic.Router.Purged: processor time of one purge", XLabel: "purges kept", YLabel: "us of a core", Budget: 40,
		BudgetOf: "a purge, 0.4% of a core at 100/s", PlanSize: 6700}, sizes, func(n int) float64 {
		f, _ := play(t, nil)
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
			f.r.ApplyPurge(f.now, names[i], 0, 0)
		}
		return costs.MicrosPerCall(func(i int) { f.r.ApplyPurge(f.now, names[i%n], 0, 0) })
	})
	costs.Measure(t, cost.Figure{Name: "logic-purged-heap", Title: "logic.Router: heap of the purges", XLabel: "purges kept", YLabel: "bytes", Budget: 2 << 20, BudgetOf: "purges, 2 MB of 128", PlanSize: 6700},
		sizes, func(n int) float64 {
			f, _ := play(t, nil)
			return cost.HeapBytes(func() any {
				for i := range n {
					f.r.ApplyPurge(f.now, fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15), 0, 0)
				}
				if len(f.r.purges) != n {
					t.Errorf("%d kept of %d", len(f.r.purges), n)
				}
				return f.r
			})
		})
}

// The table of counts: its heap, and the halving of all of it, once a minute. It is never larger than tableBound for longer than a sweep.
func TestCostCounts(t *testing.T) {
	sizes := []int{7500, 15000, 30000, maxCounts}
	fill := func(f *fake, n int) {
		for i := range n {
			f.r.lookupCounts[mixHash(uint64(i), 1)] = 0x1p1000 // none is gone before the thousandth halving
		}
	}
	costs.Measure(t, cost.Figure{Name: "logic-counts-heap", Title: "logic.Router: heap of the counts", XLabel: "counts", YLabel: "bytes", Budget: 4 << 20, BudgetOf: "counts, 4 MB of 128", PlanSize: maxCounts},
		sizes, func(n int) float64 {
			f, _ := play(t, nil)
			return cost.HeapBytes(func() any { fill(f, n); return f.r })
		})
	costs.Measure(t, cost.Figure{Name: "logic-halve", Title: "logic.Router: processor time of halving the counts, once a minute", XLabel: "counts", YLabel: "us of a core", Budget: 60000,
		BudgetOf: "0.1% of a core, once a minute", PlanSize: maxCounts}, sizes, func(n int) float64 {
		f, _ := play(t, nil)
		fill(f, n)
		us := costs.MicrosPerCall(func(i int) {
			if f.r.decayCounts(); i%900 == 899 {
				fill(f, n)
			}
		})
		if len(f.r.lookupCounts) != n {
			t.Errorf("%d counts of %d are left", len(f.r.lookupCounts), n)
		}
		return us
	})
}

// What the counts tell of objects: an object asked for k times a minute at one gateway, evenly, among 564 lookups a second of which each
// other names an object of its own. Told: the count just before a halving, over what endless memory at the same halving would give.
func TestCountsAtTheSize(t *testing.T) {
	f, _ := play(t, nil)
	const perSecond = 564
	was := f.r.nextDecayAt
	for s, n := 0, 0; s < 300; s++ {
		for range perSecond - 2 {
			f.r.lookupCounts[mixHash(uint64(n), 7)]++
			n++
		}
		f.r.lookupCounts[1]++ // each second
		if s%60 == 30 {
			f.r.lookupCounts[2]++ // once a minute
		}
		f.pass(second)
		if len(f.r.lookupCounts) > maxCounts {
			t.Fatalf("%d counts", len(f.r.lookupCounts))
		}
	}
	if f.r.nextDecayAt != was+5*countDecayInterval {
		t.Errorf("halved %v later than five times a minute: the table was full before its time", f.r.nextDecayAt-was)
	}
	if got := f.r.lookupCounts[1]; got < 58 || got > 60.1 { // 120 just before a halving, half of it after
		t.Errorf("an object of one lookup a second has %.1f after a halving", got)
	}
	if got, kept := f.r.lookupCounts[2]; kept {
		t.Errorf("an object of one lookup a minute has %.1f after a halving: it would be told apart", got)
	}
}
