package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"foldslip/internal/lab/cost"
)

var costs = cost.NewProbes("./internal/lab/fleet")

// trafficAtRest returns the bytes per second of one gateway in a settled fleet of n gateways, as the mean
// over all gateways and five virtual minutes (one minute without -cost.out). datagrams counts sent and
// received datagrams. streams counts the bytes written to streams, on which the detector exchanges its
// full state. Headers of UDP, TCP and IP are not counted. The detector's random numbers are not seeded.
func trafficAtRest(t *testing.T, n int) (datagrams, streams float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		v := NewVirtualFleet(n, 1, DefaultSettings())
		defer v.Close()
		if err := v.Start(v.names...); err != nil {
			t.Fatal(err)
		}
		if took, ok := v.WaitForAgreement(true, 2*time.Minute); !ok {
			t.Fatalf("%d gateways did not settle within %v", n, took)
		}
		time.Sleep(40 * time.Second) // until gossip about the start has ended
		count := func() (packets, bytes uint64) {
			for _, name := range v.names {
				c := v.byName[name].counts
				packets += c.BytesOut.Load() + c.BytesIn.Load()
				bytes += c.StreamBytes.Load()
			}
			return packets, bytes
		}
		packetsBefore, streamsBefore := count()
		span := time.Minute
		if costs.AllSizes() {
			span = 5 * time.Minute // full state exchanges are 30 s to 90 s apart at these sizes
		}
		time.Sleep(span)
		packetsAfter, streamsAfter := count()
		datagrams = float64(packetsAfter-packetsBefore) / float64(n) / span.Seconds()
		streams = float64(streamsAfter-streamsBefore) / float64(n) / span.Seconds()
	})
	return datagrams, streams
}

// TestCostAtRest measures the membership traffic of a settled fleet at several sizes.
func TestCostAtRest(t *testing.T) {
	streamsBySize := map[int][]float64{} // stream bytes of each run that the second figure has yet to report
	costs.Measure(t, cost.Figure{Name: "membership-datagrams", Title: "fleet/membership at rest: bytes of datagrams, in and out, heads left out", XLabel: "gateways", YLabel: "bytes a second", Budget: 2000,
		BudgetOf: "the view, 2 KB a second", PlanSize: 100}, []int{12, 25, 50, 100}, func(n int) float64 {
		datagrams, streams := trafficAtRest(t, n)
		streamsBySize[n] = append(streamsBySize[n], streams)
		return datagrams
	})
	costs.Measure(t, cost.Figure{Name: "membership-streams", Title: "fleet/membership at rest: bytes of whole exchanges, in and out, heads left out", XLabel: "gateways", YLabel: "bytes a second", Budget: 2000,
		BudgetOf: "the view, 2 KB a second", PlanSize: 100}, []int{12, 25, 50, 100}, func(n int) float64 {
		bytes := streamsBySize[n][0]
		streamsBySize[n] = append(streamsBySize[n][1:], bytes)
		if bytes <= 0 {
			t.Errorf("%d gateways: no full state exchange was measured", n)
		}
		return bytes
	})
}
