package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"foldslip/internal/lab/cost"
)

var costs = cost.NewProbes("./fleet/limits")

var fleetSizes = []int{12, 100, 500, 1500, 3900}

// ledgerWithRequests is a book with one limit that all peers asked something of and told what they use.
func ledgerWithRequests(t testing.TB, n int) (*Ledger, []string) {
	b := New(Settings{LoanDuration: 4 * second, MaxLentFraction: 0.8, RequestInterval: second / 4, MaxSettleWait: 15 * second}, rand.New(rand.NewPCG(1, 2)), 1)
	b.SetLimits(map[string]Limit{"l": {Total: 1e6}})
	b.UpdateFleet(FleetState{Size: n, Settled: true}, 1)
	now := 5 * second
	var peers []string
	for i := 1; i < n; i++ {
		peers = append(peers, fmt.Sprintf("r%02d-z%02d-s%03d-g%02d", i/325, i/156, i/13, i%13))
		b.HandleRequest(peers[i-1], Request{Limit: "l", ID: uint64(i), Amount: max(0.7e6/float64(n)/float64(n), 1.01), Demand: 1, Used: 1}, now) // a loan is a millionth of the limit at least
	}
	l := b.limits["l"]
	if len(l.peerUsage) != n-1 {
		t.Fatalf("%d peers of %d", len(l.peerUsage), n-1)
	}
	return b, peers
}

// What a limit holds where each peer has asked this gateway: the most that it comes to.
func TestCostLedger(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "limits-heap", Title: "fleet/limits: heap of one limit that all peers asked for", XLabel: "gateways", YLabel: "bytes", Budget: 1 << 20, BudgetOf: "a limit, 1 MB", PlanSize: 3900}, fleetSizes,
		func(n int) float64 { return cost.HeapBytes(func() any { b, _ := ledgerWithRequests(t, n); return b }) })
}

// A turn of a gateway that wants more than it has, four a second.
func TestCostRequests(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "limits-asks", Title: "fleet/limits: processor time of a turn that asks", XLabel: "gateways", YLabel: "us of a core", Budget: 500,
		BudgetOf: "a turn, 0.2% of a core at 4/s", PlanSize: 3900}, fleetSizes, func(n int) float64 {
		b, peers := ledgerWithRequests(t, n)
		b.RecordUsage("l", 1e6, 1)
		now := 10 * second
		return costs.MicrosPerCall(func(int) {
			now += second / 4
			if len(b.Requests(peers, now)) == 0 {
				t.Fatal("nothing asked")
			}
		})
	})
}
