package broadcast

import "testing"

// A region is cut off for 15 s, with a watch on both sides, and is back. What both missed comes by and by; what is told from then on must
// be everywhere in time, also where the gateways of the tree are loaded most.
func TestNewPurgesAreInTimeAfterAHeal(t *testing.T) {
	f := newFleet(t, *seedFlag, membersOfSize(*gatewaysFlag), testSettings())
	n, region := len(f.nodes), f.members[len(f.members)-1].Locality.Region
	inside := func(m Member) bool { return m.Locality.Region == region }
	parted := func(out bool) {
		for i, m := range f.members {
			see := f.members
			if out {
				see = without(f.members, func(o Member) bool { return inside(o) != inside(m) })
			}
			f.nodes[i].SetMembers(see, f.now)
		}
	}
	f.run(2_000_000)
	turn := 0
	f.stream(f.now, f.now+30_000_000, 100, func(p Purge) {
		turn++
		f.recordOwn([2]int{1, n - 1}[turn%2], p)
	})
	f.schedule(5_000_000, func() { f.cut = func(a, b Member) bool { return inside(a) != inside(b) } })
	f.schedule(12_000_000, func() { parted(true) })
	f.schedule(20_000_000, func() { f.cut = func(a, b Member) bool { return false } })
	f.schedule(21_000_000, func() {
		parted(false)
		f.measure()
	})
	f.run(80_000_000)
	late := 0
	for p, at := range f.issued {
		for i := range f.nodes {
			if heard, had := f.receivedAt[i][p]; at >= 21_000_000 && (!had || heard-at > spreadTarget) {
				late++
			}
		}
	}
	r := f.result()
	t.Log(r)
	if late > 0 || r.missing > 0 {
		t.Errorf("%d told after the heal were late, %d missing in the end", late, r.missing)
	}
}
