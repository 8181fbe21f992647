package broadcast

import (
	"flag"
	"testing"
)

var (
	gatewaysFlag = flag.Int("broadcast.gateways", 65, "gateways of the fleet cases; CI runs the default, docs/fleet-broadcast.md has others")
	missedFlag   = flag.Int64("broadcast.missed", 300, "seconds of purges that TestLongMissed misses")
	seedFlag     = flag.Uint64("broadcast.seed", 1, "seed of the fleet cases")
)

const (
	spreadTarget      = 4_500_000 // microseconds in which a purge is to reach all
	maxBytesPerSecond = 9_000     // in and out, of the busiest node
)

// membersOfSize returns members of the users' shape: 13 a site, 12 sites a zone and two zones a region, as near as it goes.
func membersOfSize(n int) []Member {
	sites := max(4, n*300/3900)
	zones := max(4, n*25/3900)
	return testMembers(n, sites, zones, max(3, min(12, n*12/3900)))
}

// recordEverywhere has the watch of each gateway bring a purge, up to 300 ms later.
func recordEverywhere(f *fleet) func(Purge) {
	return func(p Purge) {
		for i := range f.nodes {
			f.schedule(f.now+f.rng.Int64N(300_000), func() { f.recordOwn(i, p) })
		}
	}
}

// recordAt has the watches of some gateways bring a purge.
func recordAt(f *fleet, indices ...int) func(Purge) {
	return func(p Purge) {
		for _, i := range indices {
			f.recordOwn(i, p)
		}
	}
}

// startPurgeStream makes a fleet that has run for 2 s, and schedules 100 purges per second for some seconds.
func startPurgeStream(t *testing.T, loss float64, seconds int64, publish func(f *fleet) func(Purge)) *fleet {
	t.Helper()
	f := newFleet(t, *seedFlag, membersOfSize(*gatewaysFlag), testSettings())
	f.loss = loss
	f.run(2_000_000)
	f.measure()
	f.stream(f.now, f.now+seconds*microsPerSecond, 100, publish(f))
	return f
}

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

// withLoadOf has the load of the time in which purges were issued in place of the whole run's.
func (r result) withLoadOf(loaded result) result {
	r.busiest = loaded.busiest
	r.mean = loaded.mean
	return r
}

// checkSpread expects all purges to have reached all gateways in time, and within the bound of bytes.
func checkSpread(t *testing.T, r result) {
	t.Helper()
	t.Log(r)
	if r.missing > 0 || r.maxLatency > spreadTarget {
		t.Error("not all purges everywhere in time")
	}
	if r.busiest > maxBytesPerSecond {
		t.Errorf("more than %d bytes per second", maxBytesPerSecond)
	}
}

// without returns the members except those that match.
func without(members []Member, matches func(Member) bool) (left []Member) {
	for _, m := range members {
		if !matches(m) {
			left = append(left, m)
		}
	}
	return left
}

// TestHeadsKilled kills heads whose death the view tells 8 s later; until then lazy push and grafts serve their subtrees.
func TestHeadsKilled(t *testing.T) {
	for _, c := range []struct {
		name string
		loss float64
		all  bool // all watches bring the purges
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

// headIndices are the first members of each region, zone or site, by distance, without the root.
func headIndices(members []Member, level int) (indices []int) {
	for i := 1; i < len(members); i++ {
		if distance(members[i-1].Locality, members[i].Locality) >= level {
			indices = append(indices, i)
		}
	}
	return indices
}

// partition cuts the members that match off from the others.
func (f *fleet) partition(matches func(Member) bool) {
	f.isPartitioned = func(a, b Member) bool { return matches(a) != matches(b) }
}

// splitViews has members that match and others see their own side only.
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

// mergeViews has all members see all.
func (f *fleet) mergeViews() {
	for _, n := range f.nodes {
		n.SetMembers(f.members, f.now)
	}
}

// TestCutHealed cuts off a region whose watches bring nothing; the views drop the other side 10 s after the cut and have it again 2 s after
// the heal. What was missed comes by reconciliation, which does not delay new purges.
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
	t.Logf("the 30 s after: %.0f B/s at the busiest, %.0f mean", loaded.busiest, loaded.mean)
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
	t.Logf("outside and before the cut within %.2f s; of %d missed inside all there %.1f s after the heal; purges after it within %.2f s",
		float64(before)/1e6, during, float64(last-healAt)/1e6, float64(after)/1e6)
	if r.missing > 0 || before > spreadTarget || after > spreadTarget {
		t.Error("not all purges everywhere")
	}
	if loaded.busiest > 9_500 {
		t.Error("reconciliation spent more than the rate")
	}
	for i, n := range f.nodes {
		if lag := n.Stats().Behind; lag != (Lag{}) {
			t.Errorf("%s still reports a lag: %+v", f.members[i].Name, lag)
		}
	}
}

// TestLongMissed starts a site with nothing while the others keep minutes of 100 purges per second; an hour is -broadcast.missed 3600.
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
			isComplete = isComplete && n.kept.count >= missed+issued-500 // those of the last seconds are under way
		}
	}
	t.Logf("%d purges missed by 13 are there after %.0f s; %.0f B/s at the busiest in any 10 s, %.0f mean", missed, float64(f.now)/1e6, busiest, meanSum/samples)
	if f.now >= end {
		t.Error("not all purges were reconciled")
	}
	if busiest > 10_000 {
		t.Error("more than the rate limit and the burst of a second")
	}
	for i, n := range f.nodes {
		if s := n.Stats(); s.Shed > 0 || s.Dropped > 0 {
			t.Errorf("%s shed %d and dropped %d", f.members[i].Name, s.Shed, s.Dropped)
		}
	}
}

// TestViewsDiffer runs gateways whose views each lack three others, so that no two trees are alike, with 1% of datagrams lost.
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
