package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestOtherHardCasesAtSize guards against a fleet that does not settle after a fault. At each size of
// -fleet.sizes it runs the hard cases that TestLargerFleetsSettleAtEqualCostPerGateway leaves out: half of the
// fleet restarts, a gateway flaps, a link is cut one way, and one gateway bridges the three sides of a split.
func TestOtherHardCasesAtSize(t *testing.T) {
	for _, n := range fleetSizes(t) {
		synctest.Test(t, func(t *testing.T) {
			v := NewVirtualFleet(n, 1, DefaultSettings())
			defer v.Close()
			if err := v.Start(v.names...); err != nil {
				t.Fatal(err)
			}
			waitSettled(t, v, fmt.Sprint(n, " gateways, start"), 2*time.Minute)
			restart := func(names []string) {
				t.Helper()
				if err := v.Restart(names...); err != nil {
					t.Fatal(err)
				}
			}
			restart(v.names[n/2:])
			waitSettled(t, v, fmt.Sprint(n, " gateways, restart of half the fleet"), 2*time.Minute)
			for range 5 {
				restart(v.names[n-1:])
				time.Sleep(2 * time.Second)
			}
			waitSettled(t, v, fmt.Sprint(n, " gateways, flapping gateway"), 2*time.Minute)
			v.Links.Set(v.names[3:4], v.names[6:7], LinkFault{Cut: true})
			time.Sleep(30 * time.Second)
			waitSettled(t, v, fmt.Sprint(n, " gateways, one-way cut"), 2*time.Minute)
			v.Links.Heal()
			bridge := v.names[0]
			v.Links.Split([][]string{
				v.names[:n/3+1],
				append([]string{bridge}, v.names[n/3+1:2*n/3]...),
				append([]string{bridge}, v.names[2*n/3:]...),
			})
			time.Sleep(40 * time.Second)
			v.Links.Heal()
			waitSettled(t, v, fmt.Sprint(n, " gateways, bridge after a split"), 2*time.Minute)
		})
	}
}
