package view

import (
	"fmt"
	"testing"

	"foldslip/internal/lab/cost"
)

var costs = cost.NewProbes("./internal/fleet/view")

var sizes = []int{12, 50, 200, 500, 1000, 2000, 3900}

func gateway(i int) ID {
	return ID{Name: fmt.Sprintf("r%02d-z%02d-s%03d-g%02d", i/325, i/156, i/13, i%13), Addr: fmt.Sprintf("10.%d.%d.%d:7946", i>>16, i>>8&255, i&255), Incarnation: uint64(i) + 1}
}

// viewOfSize returns a view of n gateways, self included.
func viewOfSize(t testing.TB, n int) *View {
	t.Helper()
	v := New(gateway(0), Settings{MaxMembers: 4096, ReapAfter: 3600 * second, SettleAfter: second, EvidenceMaxAge: 30 * second}, 1)
	for i := 1; i < n; i++ {
		v.Join(gateway(i), gateway(i).Name, 1)
	}
	if v.LiveCount() != n {
		t.Fatalf("the view has %d live members, want %d", v.LiveCount(), n)
	}
	return v
}

// TestCostMembers measures the heap that a view uses.
func TestCostMembers(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "view-heap", Title: "fleet/view: heap of the view alone", XLabel: "gateways", YLabel: "bytes", Budget: 8 << 20, BudgetOf: "the view, 8 MB of 128", PlanSize: 3900}, sizes,
		func(n int) float64 { return cost.HeapBytes(func() any { return viewOfSize(t, n) }) })
}

// TestCostJoins measures the processor time of adding all members, which a gateway does after its start.
func TestCostJoins(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "view-joins", Title: "fleet/view: processor time of the join of all", XLabel: "gateways", YLabel: "us of a core", Budget: 210000,
		BudgetOf: "2.1% of a core for 10 s", PlanSize: 3900}, sizes, func(n int) float64 { return costs.MicrosPerCall(func(int) { viewOfSize(t, n) }) })
}

// TestCostChange measures the processor time of one death or return of a member and of the computation of the digest
// that follows.
func TestCostChange(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "view-change", Title: "fleet/view: processor time of a member's change with the digest after it", XLabel: "gateways", YLabel: "us of a core",
		Budget: 4000, BudgetOf: "a change, 0.4% of a core at one a second", PlanSize: 3900}, sizes, func(n int) float64 {
		v := viewOfSize(t, n)
		return costs.MicrosPerCall(func(i int) {
			if m := gateway(1 + i/2%(n-1)); i%2 == 0 {
				v.MarkGone(m.Name, false, int64(i+2))
			} else {
				v.Join(m, m.Name, int64(i+2))
			}
			v.Digest()
		})
	})
}

// TestCostHeartbeatFrames measures the processor time of encoding a heartbeat frame and of merging one, in a fleet
// without changes.
func TestCostHeartbeatFrames(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "view-words", Title: "fleet/view: processor time of a heartbeat frame written", XLabel: "gateways", YLabel: "us of a core", Budget: 800,
		BudgetOf: "a frame, 0.4% of a core at 5/s", PlanSize: 3900}, sizes, func(n int) float64 {
		v := viewOfSize(t, n)
		return costs.MicrosPerCall(func(int) {
			if len(v.HeartbeatFrame(1400, 2)) < headerSize+n/8 {
				t.Fatal("the frame is missing or too short for the header and the agreed bits")
			}
		})
	})
	costs.Measure(t, cost.Figure{Name: "view-take", Title: "fleet/view: processor time of a heartbeat frame merged", XLabel: "gateways", YLabel: "us of a core", Budget: 800,
		BudgetOf: "a frame, 0.4% of a core at 5/s", PlanSize: 3900}, sizes, func(n int) float64 {
		v := viewOfSize(t, n)
		other := New(gateway(1), v.settings, 1)
		for i := range n {
			if i != 1 {
				other.Join(gateway(i), gateway(i).Name, 1)
			}
		}
		var frames [64][]byte
		for i := range frames {
			frames[i] = other.HeartbeatFrame(1400, 2)
		}
		return costs.MicrosPerCall(func(i int) {
			if _, err := v.MergeHeartbeat(frames[i%len(frames)], int64(i+3)); err != nil {
				t.Fatal(err)
			}
		})
	})
}

// TestCostLook measures the processor time of what package gossip reads from the view in each step, four times a
// second: the sorted names of the live members, the number of alive members, the fleet size and the rank of this
// gateway.
func TestCostLook(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "view-look", Title: "fleet/view: processor time of a look at the live members, their number and the own rank", XLabel: "gateways",
		YLabel: "us of a core", Budget: 500, BudgetOf: "a look, 0.2% of a core at 4/s", PlanSize: 3900}, sizes, func(n int) float64 {
		v := viewOfSize(t, n)
		return costs.MicrosPerCall(func(int) {
			if alive, _ := v.Size(); len(v.LiveNames()) != n || alive != n || v.Rank() >= n {
				t.Fatal("the names, the number of alive members or the rank do not match a fleet in which all members are alive")
			}
		})
	})
}
