package discovery

import (
	"fmt"
	"io"
	"testing"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/lab/cost"
	"foldslip/internal/purgelog"
)

var costs = cost.NewProbes("./internal/discovery")

const (
	localEdges     = 6                // number of edge caches in the gateway's own zone
	usualRetention = 11 * time.Second // retention of purges in probes whose result does not depend on it
)

// fixedClock is an environment whose current time is set by the test.
type fixedClock struct {
	env.Environment
	now time.Time
}

// Now returns the time that was set.
func (c *fixedClock) Now() time.Time { return c.now }

// newLoadedWatch returns a watch that has applied a list of n endpoints: an origin, two parents in each other zone, and
// edge caches in the gateway's own zone and in other zones.
func newLoadedWatch(t testing.TB, n int, retention time.Duration) (*Watch, *fixedClock) {
	t.Helper()
	parsed := parseSettings(t, `{"areas":[`+manyZones()+`],"az":0,"machine_types":["std","parent","origin"],"classes":[{"name":"a","aim":4,"deadline":9,`+
		`"effect":"idempotent"}],"specifics":{"cleared_within":6000000,"parent_kind":1,"source_kind":2}}`)
	clock := &fixedClock{env.NewSystem(io.Discard, 0), time.Unix(1_764_576_000, 0)}
	w := newWatchWith(clock, parsed, &purgelog.Log{Retention: retention, Grace: time.Second, Clock: clock})
	if err := w.handleLine(endpointsEvent(1, true, mixedEndpoints(n)...), newTestSession(w)); err != nil {
		t.Fatal(err)
	}
	if w.registry.Len() != n {
		t.Fatalf("%d caches are registered, expected %d", w.registry.Len(), n)
	}
	return w, clock
}

// mixedEndpoints returns the endpoints of newLoadedWatch as JSON.
func mixedEndpoints(n int) []string {
	var list []string
	for i := range n {
		list = append(list, mixedEndpoint(i, phaseUp))
	}
	return list
}

func mixedEndpoint(i int, phase string) string {
	machineType, zone := "std", 1+i%24
	switch {
	case i == 0:
		machineType = "origin"
	case i <= 50:
		machineType = "parent"
	case i <= 50+localEdges:
		zone = 0
	}
	return endpointJSON(i, zone, machineType, phase)
}

func purgeEvent(number int64, at time.Time) []byte {
	return fmt.Appendf(nil, `{"no":%d,"recall":{"item":"%016x","issued":%d}}`, number, uint64(number)*0x9e3779b97f4a7c15, at.UnixMilli())
}

// handleNextPurge advances the clock by 10 ms and handles a purge.
func (c *fixedClock) handleNextPurge(t testing.TB, w *Watch) {
	t.Helper()
	c.now = c.now.Add(10 * time.Millisecond)
	if err := w.handleLine(purgeEvent(w.LastEvent+1, c.now), newTestSession(w)); err != nil {
		t.Fatal(err)
	}
}

// TestCostPurgeLine measures the processor time of a purge, from its line to the dispatcher, by the number of retained
// purges. The list has 1,800 caches, of which 6 are edge caches in the gateway's own zone.
func TestCostPurgeLine(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "wire-purge", Title: "watch: processor time of a purge, from the line to the router", XLabel: "purges kept", YLabel: "us of a core", Budget: 80,
		BudgetOf: "a purge, 0.8% of a core at 100/s", PlanSize: 1100}, []int{100, 600, 1100, 2200, 4400, 20000}, func(kept int) float64 {
		w, clock := newLoadedWatch(t, 1800, time.Duration(kept)*10*time.Millisecond)
		for range kept {
			clock.handleNextPurge(t, w)
		}
		return costs.MicrosPerCall(func(int) { clock.handleNextPurge(t, w) })
	})
}

// TestCostChangeLine measures the processor time of a change of one endpoint, from its line to the dispatcher.
func TestCostChangeLine(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "wire-change", Title: "watch: processor time of a change of one cache, from the line to the router", XLabel: "caches in the list", YLabel: "us of a core",
		Budget: 1000, BudgetOf: "a change, 0.1% of a core at one a second", PlanSize: 1800}, []int{225, 450, 900, 1800, 3600, 7200, 14400}, func(n int) float64 {
		w, _ := newLoadedWatch(t, n, usualRetention)
		return costs.MicrosPerCall(func(i int) {
			line := endpointsEvent(w.LastEvent+1, false, mixedEndpoint(60+i/2%100, alternatingPhase(i)))
			if err := w.handleLine(line, newTestSession(w)); err != nil {
				t.Fatal(err)
			}
		})
	})
}

// TestCostCompleteList measures the processor time of a complete list, which a gateway receives at a start or a resync.
func TestCostCompleteList(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "wire-list", Title: "watch: processor time of a whole list", XLabel: "caches in the list", YLabel: "us of a core", Budget: 210000,
		BudgetOf: "2.1% of a core for 10 s", PlanSize: 1800}, []int{225, 450, 900, 1800, 3600, 7200, 14400}, func(n int) float64 {
		w, _ := newLoadedWatch(t, n, usualRetention)
		list := mixedEndpoints(n)
		return costs.MicrosPerCall(func(int) {
			if err := w.handleLine(endpointsEvent(w.LastEvent+1, true, list...), newTestSession(w)); err != nil {
				t.Fatal(err)
			}
		})
	})
}

// TestCostNumberLine measures the processor time of a line that contains only the number of the
// last event. Discovery sends one a second.
func TestCostNumberLine(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "wire-number", Title: "watch: processor time of a line with a number only", XLabel: "caches in the list", YLabel: "us of a core", Budget: 100,
		BudgetOf: "a line, 0.01% of a core at 1/s", PlanSize: 1800}, []int{225, 1800, 7200}, func(n int) float64 {
		w, _ := newLoadedWatch(t, n, usualRetention)
		return costs.MicrosPerCall(func(int) {
			if err := w.handleLine([]byte("1"), newTestSession(w)); err != nil {
				t.Fatal(err)
			}
		})
	})
}

// TestCostListHeap measures the heap that the watch, the registry and the dispatcher need for a list.
func TestCostListHeap(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "wire-list-heap", Title: "watch, caches and router: heap of the list", XLabel: "caches in the list", YLabel: "bytes", Budget: 4 << 20, BudgetOf: "the list, 4 MB of 128", PlanSize: 1800},
		[]int{225, 450, 900, 1800, 3600, 7200}, func(n int) float64 {
			return cost.HeapBytes(func() any { w, _ := newLoadedWatch(t, n, usualRetention); return w })
		})
}

// TestBytesOfAPurgeLine checks the size of a purge line in the current wire format.
func TestBytesOfAPurgeLine(t *testing.T) {
	at := time.UnixMilli(1_764_576_000_123)
	for _, c := range []struct {
		number int64
		bytes  int
	}{{1, 69}, {100_000, 74}, {8_640_000, 75}} {
		if n := len(purgeEvent(c.number, at)) + len("\n"); n != c.bytes {
			t.Errorf("purge %d: unexpected line size of %d bytes", c.number, n)
		}
	}
}
