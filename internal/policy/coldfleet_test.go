package policy

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"testing"
)

var coldSeeds = flag.Int("cold.seeds", 0, "seeds of each fleet before a cold cache; 1000 take some minutes (0: a short run that judges)")

// The central limiter that a fleet is held against: a bucket that fills at limiterRate of what the cache surely bears, as deep as
// limiterBurst of the rule's multiple above 1.
const limiterRate, limiterBurst = 1.4, 0.4

// coldFleetCase is one case: many routers before one edge cache or parent that has just started.
type coldFleetCase struct {
	routerCount   int
	coldParent    bool    // a parent has started; else an edge cache
	knowsThird    bool    // the settings name a third of the routers
	countsMembers bool    // and Router.FleetSize all of them
	hardMultiple  float64 // the rule's multiple in a hard case (hardfleet_test.go); 0: none
}

func (c coldFleetCase) String() string {
	kind, variant := "edge", "told"
	if c.coldParent {
		kind = "parent"
	}
	switch {
	case c.hardMultiple > 0:
		variant = fmt.Sprintf("unequal, multiple %g", c.hardMultiple)
	case c.countsMembers:
		variant = "told a third, view on"
	case c.knowsThird:
		variant = "told a third"
	}
	return fmt.Sprintf("%s %d routers %s", kind, c.routerCount, variant)
}

// tally adds up runs: windows (one every 50 ms) and those of them over the rule's limit, of the fleet and of two ideals at the same rate: one
// central bucket before the same kind of demand, and arrivals at random (Poisson). Work is in microseconds.
type tally struct {
	windows, overLimit, centralOver, poissonOver int
	runs, runsOver                               int     // runs with any window over the limit
	sent                                         float64 // by the fleet
	allowed                                      float64 // by the central bucket's rate
	centralSent                                  float64 // by the central bucket
	requested                                    float64 // by a limiter before the fills that a hard case's parent is really asked for
}

func (t *tally) add(o tally) {
	t.windows += o.windows
	t.overLimit += o.overLimit
	t.centralOver += o.centralOver
	t.poissonOver += o.poissonOver
	t.runs += o.runs
	t.runsOver += o.runsOver
	t.sent += o.sent
	t.allowed += o.allowed
	t.centralSent += o.centralSent
	t.requested += o.requested
}

func (t tally) String() string {
	percent := func(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }
	text := fmt.Sprintf("windows over %7.4f%%  central %7.4f%%  chance %7.4f%%  runs over %5.2f%%  used %.2f, central %.2f",
		percent(t.overLimit, t.windows), percent(t.centralOver, t.windows), percent(t.poissonOver, t.windows), percent(t.runsOver, t.runs),
		t.sent/max(t.allowed, 1), t.centralSent/max(t.allowed, 1))
	if t.requested > 0 {
		text += fmt.Sprintf("  of what is really asked %.2f", t.sent/t.requested)
	}
	return text
}

// runs plays seeds from 1 on, a few at a time.
func (c coldFleetCase) runs(seeds int) tally {
	var all tally
	var mu sync.Mutex
	var workers sync.WaitGroup
	next := make(chan uint64)
	for range min(4, runtime.NumCPU()) {
		workers.Go(func() {
			for seed := range next {
				t := newColdFleetRun(c, seed).play()
				mu.Lock()
				all.add(t)
				mu.Unlock()
			}
		})
	}
	for seed := range seeds {
		next <- uint64(seed + 1)
	}
	close(next)
	workers.Wait()
	return all
}

// coldFleetCases are the cases of TestColdFleet, and how many seeds of each are played.
func coldFleetCases() (cases []coldFleetCase, seeds int) {
	cases, seeds = []coldFleetCase{{routerCount: 30}, {routerCount: 30, coldParent: true}}, 20
	hardCounts, multiples := []int{12, 30}, []float64{2, 4}
	if *coldSeeds > 0 {
		cases, seeds = nil, *coldSeeds
		for _, parent := range []bool{false, true} {
			for _, n := range []int{1, 4, 12, 20, 30} {
				cases = append(cases, coldFleetCase{routerCount: n, coldParent: parent})
			}
			cases = append(cases,
				coldFleetCase{routerCount: 30, coldParent: parent, knowsThird: true},
				coldFleetCase{routerCount: 30, coldParent: parent, knowsThird: true, countsMembers: true})
		}
		cases = append(cases, coldFleetCase{routerCount: 300}, coldFleetCase{routerCount: 300, coldParent: true})
		hardCounts, multiples = []int{1, 4, 12, 30, 100, 350}, []float64{2, 2.5, 3, 4}
	}
	for _, n := range hardCounts {
		for _, m := range multiples {
			cases = append(cases, coldFleetCase{routerCount: n, hardMultiple: m}, coldFleetCase{routerCount: n, hardMultiple: m, coldParent: true})
		}
	}
	return cases, seeds
}

// TestColdFleet checks rule 4 for the sum of all routers: no more windows over the limit than arrivals at random give at the central limiter's
// rate, and at thirty routers before an edge cache 0.8 of that rate used.
func TestColdFleet(t *testing.T) {
	cases, seeds := coldFleetCases()
	for _, c := range cases {
		t.Run(c.String(), func(t *testing.T) {
			got := c.runs(seeds)
			t.Log(got)
			if got.overLimit > got.poissonOver {
				t.Errorf("%d windows over the limit, at random %d", got.overLimit, got.poissonOver)
			}
			if used := got.sent / got.allowed; c.routerCount == 30 && c.hardMultiple == 0 && !c.coldParent && used < 0.8 {
				t.Errorf("%.2f of the rate used, want 0.8", used)
			}
		})
	}
}

// useSeeds is how many seeds TestColdFleetUse judges by: runs with large links make up most of the sums, and twenty seeds hold only a few.
const useSeeds = 100

// TestColdFleetUse checks that a fleet that does not know the link of a cold cache does not starve it: 0.8 at an edge cache and 0.5 at a
// parent of what a central limiter that knows the link would send, where there is demand.
func TestColdFleetUse(t *testing.T) {
	for _, c := range []coldFleetCase{
		{routerCount: 30, hardMultiple: 2},
		{routerCount: 30, hardMultiple: 4},
		{routerCount: 30, hardMultiple: 2, coldParent: true},
		{routerCount: 30, hardMultiple: 4, coldParent: true},
	} {
		t.Run(c.String(), func(t *testing.T) {
			got, want := c.runs(max(useSeeds, *coldSeeds)), 0.8
			if c.coldParent {
				want = 0.5
			}
			t.Log(got)
			if used := got.sent / got.allowed; used < want {
				t.Errorf("%.2f of the rate used, want %.1f", used, want)
			}
		})
	}
}
