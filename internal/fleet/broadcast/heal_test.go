package broadcast

import "testing"

// A network partition cuts off a region for 15 s, with a discovery watch that brings purges on each side. What each
// side missed arrives gradually after the heal. From then on new purges must reach all gateways in time, including
// those with the highest load in the tree.
func TestNewPurgesAreInTimeAfterAHeal(t *testing.T) {
	f := newFleet(t, *seedFlag, membersOfSize(*gatewaysFlag), testSettings())
	last := len(f.nodes) - 1
	region := f.members[last].Locality.Region
	inside := func(m Member) bool { return m.Locality.Region == region }
	f.run(2_000_000)
	sources := [2]int{1, last} // indices of the gateways whose watches bring the purges, in turn
	published := 0
	f.stream(f.now, f.now+30_000_000, 100, func(p Purge) {
		published++
		f.recordOwn(sources[published%2], p)
	})
	const healSeenAt = 21_000_000
	f.schedule(5_000_000, func() { f.partition(inside) })
	f.schedule(12_000_000, func() { f.splitViews(inside) })
	f.schedule(20_000_000, func() { f.isPartitioned = noPartition })
	f.schedule(healSeenAt, func() {
		f.mergeViews()
		f.measure()
	})
	f.run(80_000_000)
	late := 0
	for p, issuedAt := range f.issued {
		for i := range f.nodes {
			receivedAt, received := f.receivedAt[i][p]
			if issuedAt >= healSeenAt && (!received || receivedAt-issuedAt > spreadTarget) {
				late++
			}
		}
	}
	r := f.result()
	t.Log(r)
	if late > 0 || r.missing > 0 {
		t.Errorf("%d pairs of a purge from after the heal and a gateway were late or missing; %d pairs of any purge are missing at the end", late, r.missing)
	}
}
