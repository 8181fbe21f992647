package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"foldslip/internal/lab/cost"
)

var costs = cost.NewProbes("./internal/lab/fleet")

// trafficAtRest is what one gateway of a settled fleet sends and gets a second over five virtual minutes (one in the short form), without heads of UDP, TCP and IP: in
// datagrams, and on streams (whole exchanges of the detector). The detector's own chance isn't seeded.
func trafficAtRest(t *testing.T, n int) (datagrams, streams float64) {
	synctest.Test(t, func(t *testing.T) {
		v := NewVirtualFleet(n, 1, DefaultSettings())
		defer v.Close()
		if err := v.Start(v.names...); err != nil {
			t.Fatal(err)
		}
		if took, ok := v.WaitForAgreement(true, 2*time.Minute); !ok {
			t.Fatalf("%d gateways have not settled after %v", n, took)
		}
		time.Sleep(40 * time.Second) // what follows a change is over
		count := func() (packets, bytes uint64) {
			for _, name := range v.names {
				c := v.byName[name].counts
				packets += c.BytesOut.Load() + c.BytesIn.Load()
				bytes += c.StreamBytes.Load()
			}
			return packets, bytes
		}
		p, s := count()
		span := time.Minute
		if costs.AllSizes() {
			span = 5 * time.Minute // whole exchanges are 30 s to 90 s apart at these sizes
		}
		time.Sleep(span)
		q, r := count()
		datagrams, streams = float64(q-p)/float64(n)/span.Seconds(), float64(r-s)/float64(n)/span.Seconds()
	})
	return datagrams, streams
}

func TestCostAtRest(t *testing.T) {
	by := map[int][]float64{}
	costs.Measure(t, cost.Figure{Name: "membership-datagrams", Title: "fleet/membership at rest: bytes of datagrams, in and out, heads left out", XLabel: "gateways", YLabel: "bytes a second", Budget: 2000,
		BudgetOf: "the view, 2 KB a second", PlanSize: 100}, []int{12, 25, 50, 100}, func(n int) float64 {
		datagrams, streams := trafficAtRest(t, n)
		by[n] = append(by[n], streams)
		return datagrams
	})
	costs.Measure(t, cost.Figure{Name: "membership-streams", Title: "fleet/membership at rest: bytes of whole exchanges, in and out, heads left out", XLabel: "gateways", YLabel: "bytes a second", Budget: 2000,
		BudgetOf: "the view, 2 KB a second", PlanSize: 100}, []int{12, 25, 50, 100}, func(n int) float64 {
		bytes := by[n][0]
		by[n] = append(by[n][1:], bytes)
		if bytes <= 0 {
			t.Errorf("%d gateways: no whole exchange", n)
		}
		return bytes
	})
}
