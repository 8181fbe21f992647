package discovery

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"foldslip/internal/cacheregistry"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/lab/cost"
	"foldslip/internal/purgelog"
	"foldslip/internal/settings"
)

var costs = cost.NewProbes("./wire")

// fixedClock is a ground whose time is set.
type fixedClock struct {
	env.Environment
	now time.Time
}

func (a *fixedClock) Now() time.Time { return a.now }

// newLoadedWatch is a reader of the watch, with all behind it, that holds a list of n caches: those of its own location, two parents in each other
// one, an origin, and other edges.
func newLoadedWatch(t testing.TB, n, edges int, keep time.Duration) (*Watch, *fixedClock) {
	var areas []string
	for i := range 25 {
		areas = append(areas, fmt.Sprintf(`"zone-%02d"`, i))
	}
	terms, err := settings.Parse([]byte(`{"areas":[` + strings.Join(areas, ",") + `],"az":0,"machine_types":["std","parent","origin"],"classes":[{"name":"a","aim":4,"deadline":9,` +
		`"effect":"idempotent"}],"specifics":{"cleared_within":6000000,"parent_kind":1,"source_kind":2}}`))
	if err != nil {
		t.Fatal(err)
	}
	g := &fixedClock{env.NewSystem(io.Discard, 0), time.Unix(1_764_576_000, 0)}
	b := NewWatch(g, "", terms, dispatch.New(g, 1, terms.Router, nil), &cacheregistry.Registry{}, &purgelog.Log{Retention: keep, Grace: time.Second, Clock: g})
	var line strings.Builder
	line.WriteString(`{"no":1,"roster":{"revision":1,"complete":true,"members":[`)
	for i := range n {
		if i > 0 {
			line.WriteByte(',')
		}
		line.WriteString(endpointJSON(i, edges, "up"))
	}
	line.WriteString(`]}}`)
	if err := b.handleLine([]byte(line.String()), false); err != nil {
		t.Fatal(err)
	}
	if b.Registry.Len() != n {
		t.Fatalf("%d caches taken of %d", b.Registry.Len(), n)
	}
	return b, g
}

// endpointJSON is the i-th cache of the list as the watch tells it.
func endpointJSON(i, edges int, phase string) string {
	flavor, zone := "std", 1+i%24
	switch {
	case i == 0:
		flavor = "origin"
	case i <= 50:
		flavor = "parent"
	case i <= 50+edges:
		zone = 0
	}
	return fmt.Sprintf(`{"id":"s-%08x","host_port":"10.%d.%d.%d:10080","locality":"zone-%02d","flavor":"%s","cell":%d,"phase":"%s","size":4,"up_since_ms":0}`,
		uint32(i)*2654435761, 1+i/65536, i/256%256, i%256, zone, flavor, i%300, phase)
}

func purgeEvent(no int64, at time.Time) []byte {
	return fmt.Appendf(nil, `{"no":%d,"recall":{"item":"%016x","issued":%d}}`, no, uint64(no)*0x9e3779b97f4a7c15, at.UnixMilli())
}

// advancePastRetention takes a purge, 10 ms after the last.
func (a *fixedClock) advancePastRetention(t testing.TB, b *Watch) {
	a.now = a.now.Add(10 * time.Millisecond)
	if err := b.handleLine(purgeEvent(b.LastEvent+1, a.now), false); err != nil {
		t.Fatal(err)
	}
}

// A purge, from the line to the router: by purges kept, 1,800 caches listed of which 6 are edges of the own location.
func TestCostPurgeLine(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "wire-purge", Title: "watch: processor time of a purge, from the line to the router", XLabel: "purges kept", YLabel: "us of a core", Budget: 80,
		BudgetOf: "a purge, 0.8% of a core at 100/s", PlanSize: 1100}, []int{100, 600, 1100, 2200, 4400, 20000}, func(kept int) float64 {
		b, g := newLoadedWatch(t, 1800, 6, time.Duration(kept)*10*time.Millisecond)
		for range kept {
			g.advancePastRetention(t, b)
		}
		return costs.MicrosPerCall(func(int) { g.advancePastRetention(t, b) })
	})
}

// A change of one cache, from the line to the router.
func TestCostChangeLine(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "wire-change", Title: "watch: processor time of a change of one cache, from the line to the router", XLabel: "caches in the list", YLabel: "us of a core",
		Budget: 1000, BudgetOf: "a change, 0.1% of a core at one a second", PlanSize: 1800}, []int{225, 450, 900, 1800, 3600, 7200, 14400}, func(n int) float64 {
		b, _ := newLoadedWatch(t, n, 6, 11*time.Second)
		return costs.MicrosPerCall(func(i int) {
			line := fmt.Appendf(nil, `{"no":%d,"roster":{"revision":%d,"complete":false,"members":[%s]}}`, b.LastEvent+1, b.LastEvent+1,
				endpointJSON(60+i/2%100, 6, []string{"draining", "up"}[i%2]))
			if err := b.handleLine(line, false); err != nil {
				t.Fatal(err)
			}
		})
	})
}

// The whole list, as a start or a resync takes it.
func TestCostCompleteList(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "wire-list", Title: "watch: processor time of a whole list", XLabel: "caches in the list", YLabel: "us of a core", Budget: 210000,
		BudgetOf: "2.1% of a core for 10 s", PlanSize: 1800}, []int{225, 450, 900, 1800, 3600, 7200, 14400}, func(n int) float64 {
		b, _ := newLoadedWatch(t, n, 6, 11*time.Second)
		var members []string
		for i := range n {
			members = append(members, endpointJSON(i, 6, "up"))
		}
		rest := strings.Join(members, ",")
		return costs.MicrosPerCall(func(int) {
			if err := b.handleLine(fmt.Appendf(nil, `{"no":%d,"roster":{"revision":%d,"complete":true,"members":[%s]}}`, b.LastEvent+1, b.LastEvent+1, rest), false); err != nil {
				t.Fatal(err)
			}
		})
	})
}

// A line that holds only the last number, one a second.
func TestCostNumberLine(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "wire-number", Title: "watch: processor time of a line with a number only", XLabel: "caches in the list", YLabel: "us of a core", Budget: 100,
		BudgetOf: "a line, 0.01% of a core at 1/s", PlanSize: 1800}, []int{225, 1800, 7200}, func(n int) float64 {
		b, _ := newLoadedWatch(t, n, 6, 11*time.Second)
		return costs.MicrosPerCall(func(int) {
			if err := b.handleLine([]byte("1"), false); err != nil {
				t.Fatal(err)
			}
		})
	})
}

// Heap of all that a list leaves behind: reader, caches, router.
func TestCostListHeap(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "wire-list-heap", Title: "watch, caches and router: heap of the list", XLabel: "caches in the list", YLabel: "bytes", Budget: 4 << 20, BudgetOf: "the list, 4 MB of 128", PlanSize: 1800},
		[]int{225, 450, 900, 1800, 3600, 7200}, func(n int) float64 {
			return cost.HeapBytes(func() any { b, _ := newLoadedWatch(t, n, 6, 11*time.Second); return b })
		})
}

// Bytes of a purge as the watch tells it today.
func TestBytesOfAPurgeLine(t *testing.T) {
	at := time.UnixMilli(1_764_576_000_123)
	for _, of := range []struct {
		no    int64
		bytes int
	}{{1, 69}, {100_000, 74}, {8_640_000, 75}} {
		if n := len(purgeEvent(of.no, at)) + 1; n != of.bytes { // with its line feed
			t.Errorf("purge %d: a line of %d bytes", of.no, n)
		}
	}
}
