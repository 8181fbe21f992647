package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"foldslip/internal/lab/cost"
)

var costs = cost.NewProbes("./internal/fleet/limits")

var fleetSizes = []int{12, 100, 500, 1500, 3900}

// ledgerWithRequests returns the ledger of a gateway in a fleet of n gateways, and the names of its peers. The ledger
// has one limit, and every peer has requested a loan of it.
func ledgerWithRequests(t testing.TB, n int) (ledger *Ledger, peers []string) {
	t.Helper()
	ledger = New(Settings{LoanDuration: 4 * second, MaxLentFraction: 0.8, RequestInterval: second / 4, MaxSettleWait: 15 * second}, rand.New(rand.NewPCG(1, 2)), 1)
	ledger.SetLimits(map[string]Limit{limitName: {Total: 1e6}})
	ledger.UpdateFleet(FleetState{Size: n, Settled: true}, 1)
	now := 5 * second
	for i := 1; i < n; i++ {
		peers = append(peers, fmt.Sprintf("r%02d-z%02d-s%03d-g%02d", i/325, i/156, i/13, i%13))
		amount := max(0.7e6/float64(n)/float64(n), 1.01) // the minimum loan is a millionth of the limit
		ledger.HandleRequest(peers[i-1], Request{Limit: limitName, ID: uint64(i), Amount: amount, Demand: 1, Used: 1}, now)
	}
	if known := len(ledger.limits[limitName].peerUsage); known != n-1 {
		t.Fatalf("the ledger knows the usage of %d peers, want %d", known, n-1)
	}
	return ledger, peers
}

// TestCostLedger measures the heap that one limit uses after every peer requested a loan of it. This is the maximum
// that a limit uses.
func TestCostLedger(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "limits-heap", Title: "fleet/limits: heap of one limit that all peers asked for", XLabel: "gateways", YLabel: "bytes", Budget: 1 << 20, BudgetOf: "a limit, 1 MB", PlanSize: 3900}, fleetSizes,
		func(n int) float64 {
			return cost.HeapBytes(func() any {
				ledger, _ := ledgerWithRequests(t, n)
				return ledger
			})
		})
}

// TestCostRequests measures the processor time of one round of requests at a gateway whose demand exceeds its quota. A
// gateway runs four rounds per second.
func TestCostRequests(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "limits-asks", Title: "fleet/limits: processor time of a turn that asks", XLabel: "gateways", YLabel: "us of a core", Budget: 500,
		BudgetOf: "a turn, 0.2% of a core at 4/s", PlanSize: 3900}, fleetSizes, func(n int) float64 {
		ledger, peers := ledgerWithRequests(t, n)
		ledger.RecordUsage(limitName, 1e6, 1)
		now := 10 * second
		return costs.MicrosPerCall(func(int) {
			now += second / 4
			if len(ledger.Requests(peers, now)) == 0 {
				t.Fatal("a round returned no requests although the demand exceeds the quota")
			}
		})
	})
}
