package broadcast

import (
	"flag"
	"testing"
)

var (
	gatewaysFlag = flag.Int("broadcast.gateways", 65, "number of gateways in the fleet tests; CI runs the default, docs/fleet-broadcast.md lists other sizes")
	missedFlag   = flag.Int64("broadcast.missed", 300, "seconds of purges that the site without purges lacks in TestLongMissed")
	seedFlag     = flag.Uint64("broadcast.seed", 1, "random seed of the fleet tests")
)

const (
	spreadTarget      = 4_500_000 // microseconds within which a purge must reach all gateways
	maxBytesPerSecond = 9_000     // sent and received by the busiest node
)

// membersOfSize returns n members. Their localities approximate those of the users' fleet, which has 13 gateways per
// site, 12 sites per zone and two zones per region.
func membersOfSize(n int) []Member {
	sites := max(4, n*300/3900)
	zones := max(4, n*25/3900)
	return testMembers(n, sites, zones, max(3, min(12, n*12/3900)))
}

// recordEverywhere returns a function that lets the discovery watch of each gateway bring a purge, within 300 ms.
func recordEverywhere(f *fleet) func(Purge) {
	return func(p Purge) {
		for i := range f.nodes {
			f.schedule(f.now+f.rng.Int64N(300_000), func() { f.recordOwn(i, p) })
		}
	}
}

// recordAt returns a function that lets the discovery watches of the given gateways bring a purge at once.
func recordAt(f *fleet, indices ...int) func(Purge) {
	return func(p Purge) {
		for _, i := range indices {
			f.recordOwn(i, p)
		}
	}
}

// startPurgeStream returns a fleet that has run for 2 s, with 100 purges per second scheduled for the given number of
// seconds from then on.
func startPurgeStream(t *testing.T, loss float64, seconds int64, publish func(f *fleet) func(Purge)) *fleet {
	t.Helper()
	f := newFleet(t, *seedFlag, membersOfSize(*gatewaysFlag), testSettings())
	f.loss = loss
	f.run(2_000_000)
	f.measure()
	f.stream(f.now, f.now+seconds*microsPerSecond, 100, publish(f))
	return f
}

// TestAllReceiveInTime checks that all purges reach all gateways in time, wherever the discovery watches bring them,
// without loss and with 1% or 5% of frames lost.
func TestAllReceiveInTime(t *testing.T) {
	last := *gatewaysFlag - 1
	for _, c := range []struct {
		name    string
		loss    float64
		publish func(f *fleet) func(Purge)
	}{
		{"at the root", 0, func(f *fleet) func(Purge) { return recordAt(f, 0) }},
		{"at the last", 0, func(f *fleet) func(Purge) { return recordAt(f, last) }},
		{"at all", 0, recordEverywhere},
		{"at the root, 1% lost", 0.01, func(f *fleet) func(Purge) { return recordAt(f, 0) }},
		{"at the root, 5% lost", 0.05, func(f *fleet) func(Purge) { return recordAt(f, 0) }},
		{"at the last, 5% lost", 0.05, func(f *fleet) func(Purge) { return recordAt(f, last) }},
		{"at all, 5% lost", 0.05, recordEverywhere},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startPurgeStream(t, c.loss, 10, c.publish)
			f.run(f.now + 10_000_000)
			loaded := f.traffic()
			byType := f.byType
			f.run(f.now + 8_000_000)
			checkSpread(t, f.result().withLoadOf(loaded))
			t.Log("frames and bytes by type:", byType)
		})
	}
}

// withLoadOf returns the result with the bytes per second of loaded. These cover only the time in which purges were
// issued, not the whole run.
func (r result) withLoadOf(loaded result) result {
	r.busiest = loaded.busiest
	r.mean = loaded.mean
	return r
}

// checkSpread checks that all purges reached all gateways in time, and that the busiest node kept to the bound on
// bytes per second.
func checkSpread(t *testing.T, r result) {
	t.Helper()
	t.Log(r)
	if r.missing > 0 || r.maxLatency > spreadTarget {
		t.Error("not every purge reached every gateway within spreadTarget")
	}
	if r.busiest > maxBytesPerSecond {
		t.Errorf("the busiest node exceeded %d bytes per second", maxBytesPerSecond)
	}
}

// without returns the members that do not match.
func without(members []Member, matches func(Member) bool) (left []Member) {
	for _, m := range members {
		if !matches(m) {
			left = append(left, m)
		}
	}
	return left
}

// TestHeadsKilled kills the heads of subtrees. The views drop them 8 s later. Until then lazy push and grafts must
// supply their subtrees.
func TestHeadsKilled(t *testing.T) {
	for _, c := range []struct {
		name string
		loss float64
		all  bool // the watches of all gateways bring each purge
		kill func(members []Member) []int
	}{
		{"the root", 0, false, func([]Member) []int { return []int{0} }},
		{"a head of a region", 0, false, func(all []Member) []int { return headIndices(all, acrossRegions)[:1] }},
		{"all heads of regions but the root", 0, false, func(all []Member) []int { return headIndices(all, acrossRegions) }},
		{"the root, 5% lost", 0.05, false, func([]Member) []int { return []int{0} }},
		{"a zone, 1% lost, purges at all", 0.01, true, func(all []Member) (zone []int) {
			for i, m := range all {
				if m.Locality.Zone == all[len(all)/2].Locality.Zone {
					zone = append(zone, i)
				}
			}
			return zone
		}},
		{"the root, 5% lost, purges at all", 0.05, true, func([]Member) []int { return []int{0} }},
		{"the root, 1% lost, purges at all", 0.01, true, func([]Member) []int { return []int{0} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, *seedFlag, membersOfSize(*gatewaysFlag), testSettings())
			f.loss = c.loss
			n := len(f.nodes)
			f.run(2_000_000)
			f.measure()
			publish := recordAt(f, 0, n/5, n/2, n-2)
			if c.all {
				publish = recordEverywhere(f)
			}
			f.stream(f.now, f.now+20_000_000, 100, publish)
			killed := c.kill(f.members)
			f.schedule(6_000_000, func() {
				for _, i := range killed {
					f.dead[i] = true
				}
			})
			f.schedule(14_000_000, func() {
				left := without(f.members, func(m Member) bool { return f.dead[f.index[m.Name]] })
				for i := range f.nodes {
					if !f.dead[i] {
						f.nodes[i].SetMembers(left, f.now)
					}
				}
			})
			f.run(f.now + 20_000_000)
			loaded := f.traffic()
			f.run(f.now + 10_000_000)
			checkSpread(t, f.result().withLoadOf(loaded))
		})
	}
}

// headIndices returns the indices of the first member of each region, zone or site, without the root. level is the
// distance between members on the two sides of the boundary.
func headIndices(members []Member, level int) (indices []int) {
	for i := 1; i < len(members); i++ {
		if distance(members[i-1].Locality, members[i].Locality) >= level {
			indices = append(indices, i)
		}
	}
	return indices
}

// partition drops all frames between the members that match and the others.
func (f *fleet) partition(matches func(Member) bool) {
	f.isPartitioned = func(a, b Member) bool { return matches(a) != matches(b) }
}

// splitViews limits each node's view to its own side: the members that match, or the others.
func (f *fleet) splitViews(matches func(Member) bool) {
	inside := without(f.members, func(m Member) bool { return !matches(m) })
	outside := without(f.members, matches)
	for i, m := range f.members {
		if matches(m) {
			f.nodes[i].SetMembers(inside, f.now)
		} else {
			f.nodes[i].SetMembers(outside, f.now)
		}
	}
}

// mergeViews gives every node a view of all members.
func (f *fleet) mergeViews() {
	for _, n := range f.nodes {
		n.SetMembers(f.members, f.now)
	}
}

// TestCutHealed partitions the network for 60 s. The region that is cut off has no discovery watch that brings
// purges. The views drop the other side 10 s after the partition begins and include it again 2 s after the heal.
// Reconciliation must bring the purges that the region missed, and must not delay new purges.
func TestCutHealed(t *testing.T) {
	f := newFleet(t, *seedFlag, membersOfSize(*gatewaysFlag), testSettings())
	region := f.members[len(f.members)-1].Locality.Region
	inside := func(m Member) bool { return m.Locality.Region == region }
	const partitionAt, healAt = 5_000_000, 65_000_000
	var before, during, after int64
	f.stream(2_000_000, 100_000_000, 100, recordAt(f, 0, len(f.members)/4))
	f.schedule(partitionAt, func() { f.partition(inside) })
	f.schedule(partitionAt+10_000_000, func() { f.splitViews(inside) })
	f.schedule(healAt, func() { f.isPartitioned = noPartition })
	f.schedule(healAt+2_000_000, func() { f.mergeViews() })
	f.run(healAt + 3_000_000)
	f.measure()
	f.run(healAt + 33_000_000)
	loaded := f.traffic()
	f.run(160_000_000)
	r := f.result()
	t.Log(r)
	t.Logf("in the 30 s from 3 s after the heal: %.0f B/s at the busiest gateway, %.0f mean", loaded.busiest, loaded.mean)
	last := int64(0)
	for i, m := range f.members {
		for p, issuedAt := range f.issued {
			receivedAt := f.receivedAt[i][p]
			latency := receivedAt - issuedAt
			switch {
			case issuedAt > healAt+3_000_000:
				after = max(after, latency)
			case issuedAt < partitionAt-2_000_000 || !inside(m):
				before = max(before, latency)
			case issuedAt > partitionAt:
				during++
				last = max(last, receivedAt)
			}
		}
	}
	t.Logf("latency outside and before the partition up to %.2f s; %d pairs of a purge and a gateway missed inside, the last one made up %.1f s after the heal; latency after the heal up to %.2f s",
		float64(before)/1e6, during, float64(last-healAt)/1e6, float64(after)/1e6)
	if r.missing > 0 || before > spreadTarget || after > spreadTarget {
		t.Error("purges are missing, or purges from outside the partition or after the heal were late")
	}
	if loaded.busiest > 9_500 {
		t.Error("the busiest gateway exceeded 9,500 bytes per second during reconciliation")
	}
	for i, n := range f.nodes {
		if lag := n.Stats().Behind; lag != (Lag{}) {
			t.Errorf("%s still reports a lag: %+v", f.members[i].Name, lag)
		}
	}
}

// TestLongMissed starts a site without purges while the others keep minutes of them, at 100 per second.
// Reconciliation must bring them to the site within the rate limit. The flag -broadcast.missed 3600 makes it an hour
// of purges.
func TestLongMissed(t *testing.T) {
	f := newFleet(t, *seedFlag, testMembers(39, 3, 3, 3), testSettings())
	missed, issued := int(*missedFlag)*100, 0
	for i := range missed {
		p := Purge{Object: hexString(f.rng.Uint64()), Issued: epoch - int64(missed-i)*10}
		for j := 13; j < 39; j++ {
			f.nodes[j].kept.add(p)
		}
	}
	const end = 1_800_000_000
	f.stream(1_000_000, end, 100, func(p Purge) {
		delete(f.issued, p)
		issued++
		f.nodes[20].RecordOwn([]Purge{p}, f.now)
		f.arm(20)
	})
	f.run(2_000_000)
	f.measure()
	busiest, meanSum, samples := 0.0, 0.0, 0.0
	for isComplete := false; !isComplete && f.now < end; {
		f.run(f.now + 10_000_000)
		sample := f.traffic()
		busiest = max(busiest, sample.busiest)
		meanSum += sample.mean
		samples++
		f.measure()
		isComplete = true
		for _, n := range f.nodes {
			// The purges of the last seconds are still in flight.
			isComplete = isComplete && n.kept.count >= missed+issued-500
		}
	}
	t.Logf("the %d purges that 13 gateways lacked were reconciled after %.0f s; %.0f B/s at the busiest gateway in any 10 s, %.0f mean", missed, float64(f.now)/1e6, busiest, meanSum/samples)
	if f.now >= end {
		t.Error("the site did not get all purges within 1,800 s")
	}
	if busiest > 10_000 {
		t.Error("the busiest gateway exceeded the rate limit and a burst of one second")
	}
	for i, n := range f.nodes {
		if s := n.Stats(); s.Shed > 0 || s.Dropped > 0 {
			t.Errorf("%s shed %d copies of batches and dropped %d kept purges, want none", f.members[i].Name, s.Shed, s.Dropped)
		}
	}
}

// TestViewsDiffer runs gateways whose views each lack up to three others, so that their trees differ, with 1% of
// datagrams lost. All purges must still reach all gateways in time.
func TestViewsDiffer(t *testing.T) {
	f := newFleet(t, *seedFlag, membersOfSize(*gatewaysFlag), testSettings())
	f.loss = 0.01
	for i, n := range f.nodes {
		isMissing := map[int]bool{}
		for range 3 {
			if j := f.rng.IntN(len(f.nodes)); j != i {
				isMissing[j] = true
			}
		}
		n.SetMembers(without(f.members, func(m Member) bool { return isMissing[f.index[m.Name]] }), 0)
		f.arm(i)
	}
	f.run(2_000_000)
	f.measure()
	f.stream(f.now, f.now+10_000_000, 100, recordAt(f, 0, len(f.nodes)/2))
	f.run(f.now + 10_000_000)
	loaded := f.traffic()
	f.run(f.now + 8_000_000)
	checkSpread(t, f.result().withLoadOf(loaded))
}
