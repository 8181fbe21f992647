package memory

import (
	"fmt"
	"testing"
	"time"

	"foldslip/internal/lab/cost"
)

var costs = cost.NewProbes("./memory")

// Heap of the purges kept, by number kept (docs/CAPACITY.md).
func TestCostRetainedPurges(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "memory-purges-heap", Title: "memory.Purges: heap of the purges kept", XLabel: "purges kept", YLabel: "bytes", Budget: 2 << 20,
		BudgetOf: "purges kept, 2 MB of 128", PlanSize: 1100}, []int{600, 1100, 6000, 60000, 360000}, func(kept int) float64 {
		return cost.HeapBytes(func() any {
			s := &fixedClock{now: time.Unix(1_764_576_000, 0)}
			p := &Log{Retention: time.Hour, Grace: time.Second, Clock: s}
			for i := range kept {
				p.Record(fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15), 0, s.now)
			}
			if len(p.objects) != kept {
				t.Errorf("%d kept of %d", len(p.objects), kept)
			}
			return p
		})
	})
}

// One Note where so many are kept, purges coming 10 ms apart.
func TestCostRecord(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "memory-note", Title: "memory.Purges.Note: processor time of one purge", XLabel: "purges kept", YLabel: "us of a core", Budget: 40,
		BudgetOf: "a purge, 0.4% of a core at 100/s", PlanSize: 1100}, []int{600, 1100, 2200, 6000, 20000, 60000, 360000}, func(kept int) float64 {
		s := &fixedClock{now: time.Unix(1_764_576_000, 0)}
		p := &Log{Retention: time.Duration(kept) * 10 * time.Millisecond, Grace: time.Second, Clock: s}
		note := func(i int) {
			p.Record(fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15), 0, s.now)
			s.now = s.now.Add(10 * time.Millisecond)
		}
		for i := range kept {
			note(i)
		}
		us := costs.MicrosPerCall(func(i int) { note(kept + i) })
		if n := len(p.objects); n < kept || n > kept+2 {
			t.Errorf("%d kept, not %d: the probe measures another number", n, kept)
		}
		return us
	})
}
