package policy

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"testing"
)

var coldSeeds = flag.Int("cold.seeds", 0, "number of seeds per case of TestColdFleet; 1000 take some minutes (0: a short run)")

// A fleet is compared with a central limiter, which is a token bucket. Its rate is
// limiterRate times the guaranteed capacity of the cold cache. Its depth is that rate over
// a break window, times limiterBurst, times the part of the break multiple above 1.
const limiterRate, limiterBurst = 1.4, 0.4

// coldFleetCase is one case of TestColdFleet: a number of routers that share one edge cache or parent in slow start.
type coldFleetCase struct {
	routerCount   int
	coldParent    bool    // a parent is cold, otherwise an edge cache
	knowsThird    bool    // the settings count only a third of the routers
	countsMembers bool    // Router.FleetSize counts all routers
	hardMultiple  float64 // break multiple of a hard case (hardfleet_test.go); 0: not a hard case
}

func (c coldFleetCase) String() string {
	kind, variant := "edge", "all known"
	if c.coldParent {
		kind = "parent"
	}
	switch {
	case c.hardMultiple > 0:
		variant = fmt.Sprintf("unequal, multiple %g", c.hardMultiple)
	case c.countsMembers:
		variant = "a third known, members counted"
	case c.knowsThird:
		variant = "a third known"
	}
	return fmt.Sprintf("%s %d routers %s", kind, c.routerCount, variant)
}

// tally sums up runs. It counts the windows, one every 50 ms, and the windows whose work exceeds the limit of
// rule 4 (the load on a warming cache). It counts those of the fleet and of two references at the same rate: a
// central limiter with the same kind of demand, and random (Poisson) arrivals. Work is in microseconds.
type tally struct {
	windows, overLimit, centralOver, poissonOver int
	runs, runsOver                               int     // runs, and runs with any window of the fleet over the limit
	sent                                         float64 // work sent by the fleet
	allowed                                      float64 // work at the central limiter's rate, or the demand if less
	centralSent                                  float64 // work sent by the central limiter
	requested                                    float64 // work admitted by requestLimiter in a hard case
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
	text := fmt.Sprintf("windows over %7.4f%%  central %7.4f%%  random %7.4f%%  runs over %5.2f%%  used %.2f, central %.2f",
		percent(t.overLimit, t.windows), percent(t.centralOver, t.windows), percent(t.poissonOver, t.windows), percent(t.runsOver, t.runs),
		t.sent/max(t.allowed, 1), t.centralSent/max(t.allowed, 1))
	if t.requested > 0 {
		text += fmt.Sprintf("  of requested fills %.2f", t.sent/t.requested)
	}
	return text
}

// runs plays the given number of seeds, starting at 1, with up to 4 in parallel.
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

// coldFleetCases returns the cases of TestColdFleet and the number of seeds per case.
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

// TestColdFleet checks rule 4, which limits the load on a cache in slow start, for the sum of all
// routers. The fleet must not have more windows over the limit than random arrivals at the rate of
// the central limiter. Thirty routers with a cold edge cache must use 0.8 of that rate.
func TestColdFleet(t *testing.T) {
	cases, seeds := coldFleetCases()
	for _, c := range cases {
		t.Run(c.String(), func(t *testing.T) {
			got := c.runs(seeds)
			t.Log(got)
			if got.overLimit > got.poissonOver {
				t.Errorf("%d windows are over the limit, want at most the %d of random arrivals", got.overLimit, got.poissonOver)
			}
			if used := got.sent / got.allowed; c.routerCount == 30 && c.hardMultiple == 0 && !c.coldParent && used < 0.8 {
				t.Errorf("%.2f of the rate was used, want 0.8", used)
			}
		})
	}
}

// useSeeds is the number of seeds of TestColdFleetUse. Runs with large links
// make up most of the sums, and twenty seeds contain only a few of them.
const useSeeds = 100

// TestColdFleetUse checks that a fleet does not starve a cold cache whose link capacity it
// does not know. Where there is demand, the fleet must send an edge cache 0.8, and a
// parent 0.5, of the work that a central limiter with knowledge of the link would send.
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
				t.Errorf("%.2f of the rate was used, want %.1f", used, want)
			}
		})
	}
}
