package purgelog

import (
	"fmt"
	"testing"
	"time"

	"foldslip/internal/lab/cost"
)

var costs = cost.NewProbes("./internal/purgelog")

// objectName returns an object name for a number. The names are spread widely, as the names of objects are.
func objectName(i int) string { return fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15) }

// TestCostRetainedPurges measures the heap that the purges held occupy, by their number (docs/CAPACITY.md).
func TestCostRetainedPurges(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "memory-purges-heap", Title: "purgelog.Log: heap of the purges held", XLabel: "purges held", YLabel: "bytes", Budget: 2 << 20,
		BudgetOf: "purges held, 2 MB of 128", PlanSize: 1100}, []int{600, 1100, 6000, 60000, 360000}, func(held int) float64 {
		return cost.HeapBytes(func() any {
			clock := &adjustableClock{now: time.Unix(1_764_576_000, 0)}
			l := &Log{Retention: time.Hour, Grace: time.Second, Clock: clock}
			for i := range held {
				l.Record(objectName(i), 0, clock.now)
			}
			if len(l.objects) != held {
				t.Errorf("%d purges held, want %d", len(l.objects), held)
			}
			return l
		})
	})
}

// TestCostRecord measures the CPU time of one Record, by the number of purges held. The purges arrive 10 ms apart.
func TestCostRecord(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "memory-note", Title: "purgelog.Log.Record: processor time of one purge", XLabel: "purges held", YLabel: "us of a core", Budget: 40,
		BudgetOf: "a purge, 0.4% of a core at 100/s", PlanSize: 1100}, []int{600, 1100, 2200, 6000, 20000, 60000, 360000}, func(held int) float64 {
		clock := &adjustableClock{now: time.Unix(1_764_576_000, 0)}
		l := &Log{Retention: time.Duration(held) * 10 * time.Millisecond, Grace: time.Second, Clock: clock}
		record := func(i int) {
			l.Record(objectName(i), 0, clock.now)
			clock.now = clock.now.Add(10 * time.Millisecond)
		}
		for i := range held {
			record(i)
		}
		us := costs.MicrosPerCall(func(i int) { record(held + i) })
		if n := len(l.objects); n < held || n > held+2 {
			t.Errorf("%d purges held, want %d: the cost was measured at a different number", n, held)
		}
		return us
	})
}
