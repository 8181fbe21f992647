package scale

import (
	"slices"
	"time"
)

// faultCase is a named scenario: it schedules the faults that are injected while purges are published.
type faultCase struct {
	name, help string
	source     string // one of Sources, used if the options name none
	schedule   func(r *broadcastRun)
}

// faultCases lists all cases in the order in which tables show them.
var faultCases = []*faultCase{
	{"none", "no fault", "one", func(*broadcastRun) {}},
	{"loss1", "each datagram is lost with a probability of 1%", "one", func(r *broadcastRun) { r.net.SetLoss(0.01) }},
	{"loss5", "each datagram is lost with a probability of 5%", "one", func(r *broadcastRun) { r.net.SetLoss(0.05) }},
	{"heads", "every 8 s one of the most loaded gateways is killed (the root, a region head, a zone head, in turn) and starts again 3 to 6 s later", "one", scheduleHeads},
	{"rack", "half of a site's gateways are killed at once and start again 20 s later", "one", func(r *broadcastRun) {
		site := r.otherGroup(func(p Location) int { return p.Site })
		r.takeDown(site[:(len(site)+1)/2], 20*time.Second)
	}},
	{"zone", "a zone's gateways are killed at once and start again after a third of the duration", "one", func(r *broadcastRun) {
		r.takeDown(r.otherGroup(func(p Location) int { return p.Zone }), r.options.Duration/3)
	}},
	{"cut", "a region is cut off (for half the duration, or --fault) until the cut heals; purges are published on both sides", "two", scheduleCut},
	{"release", "gateways are restarted one after the other, evenly over the duration; each is down for 2 s", "one", scheduleRelease},
	{"control", "all gateways receive purges from their own watches; the watches on one of 14 control machines deliver nothing for 30 s (or --fault)", "all", func(r *broadcastRun) {
		r.silenceWatches(30*time.Second, func(i int) bool { return i%FullControls == 5 })
	}},
	{"region", "all gateways receive purges from their own watches; the watches of one region deliver nothing for half the duration (or --fault)", "all", func(r *broadcastRun) {
		region := r.locations[r.sources[0]].Region
		r.silenceWatches(r.options.Duration/2, func(i int) bool { return r.locations[i].Region == region })
	}},
	{"watches", "all gateways receive purges from their own watches; no fault", "all", func(*broadcastRun) {}},
}

// Cases returns the names of the fault cases of Broadcast.
func Cases() (names []string) {
	for _, c := range faultCases {
		names = append(names, c.name)
	}
	return names
}

// CaseHelp returns the description of a case, or "" if there is no case of that name.
func CaseHelp(name string) string {
	if c := findCase(name); c != nil {
		return c.help
	}
	return ""
}

func findCase(name string) *faultCase {
	for _, c := range faultCases {
		if c.name == name {
			return c
		}
	}
	return nil
}

// hasWatch reports whether a gateway has a discovery watch.
func (r *broadcastRun) hasWatch(i int) bool {
	return r.options.Source == "all" || slices.Contains(r.sources, i)
}

// isWatchEvent reports whether purge k is published to the watch of gateway i. The watch may be silent; see
// watchDelivers.
func (r *broadcastRun) isWatchEvent(i, k int) bool {
	return r.options.Source == "all" || r.sources[k%len(r.sources)] == i
}

// watchDelivers reports whether the watch of gateway i was not silent when purge k was issued.
func (r *broadcastRun) watchDelivers(i, k int) bool {
	return r.isWatchSilent == nil || !r.isWatchSilent(i, r.purges[k].at)
}

// side returns the side of the cut that a gateway is on: 1 for the region that is cut off, 2 for the rest, 0 if the
// case has no cut.
func (r *broadcastRun) side(i int) int8 {
	switch {
	case r.cutRegion == nil:
		return 0
	case r.cutRegion.has(i):
		return 1
	}
	return 2
}

// isCut reports whether the cut is in force.
func (r *broadcastRun) isCut() bool { return r.cut != nil }

// otherGroup returns the gateways of a random site, zone or region other than that of the first source. The function
// group returns the number of the site, zone or region of a location. If there is only one group, otherGroup returns
// the gateways of that group. Sources are left out.
func (r *broadcastRun) otherGroup(group func(Location) int) (gateways []int) {
	groups, own := 0, group(r.locations[r.sources[0]])
	for _, p := range r.locations {
		groups = max(groups, group(p)+1)
	}
	chosen := own
	if groups > 1 {
		chosen = (own + 1 + r.rng.IntN(groups-1)) % groups
	}
	for i, p := range r.locations {
		if group(p) == chosen && !r.protected.has(i) {
			gateways = append(gateways, i)
		}
	}
	return gateways
}

// takeDown kills gateways after a quarter of the run's duration and starts them again after the duration down.
// FaultDuration of the options, if set, takes the place of down.
func (r *broadcastRun) takeDown(gateways []int, down time.Duration) {
	if r.options.FaultDuration > 0 {
		down = r.options.FaultDuration
	}
	r.net.Schedule(r.options.Warmup+r.options.Duration/4, func() { r.restart(gateways, down) })
}

// silenceWatches makes watches silent after a quarter of the run's duration, for the time span or until the duration
// ends. FaultDuration of the options, if set, takes the place of span. isSilenced reports whether the watch of a
// gateway is affected.
func (r *broadcastRun) silenceWatches(span time.Duration, isSilenced func(int) bool) {
	if r.options.FaultDuration > 0 {
		span = r.options.FaultDuration
	}
	from := r.options.Warmup + r.options.Duration/4
	to := min(from+span, r.options.Warmup+r.options.Duration)
	r.isWatchSilent = func(i int, at time.Duration) bool { return at >= from && at < to && isSilenced(i) }
}

// scheduleHeads restarts an inner node of the broadcast tree every 8 s, or every quarter of the run's duration if that
// is shorter. It uses the tree of the new mechanism in runs of the old mechanism too.
func scheduleHeads(r *broadcastRun) {
	turn := 0
	var next func()
	next = func() {
		now := r.net.Now()
		if now >= r.options.Warmup+r.options.Duration {
			return
		}
		heads := r.heads()
		if level := heads[turn%len(heads)]; len(level) > 0 {
			r.restart([]int{level[r.rng.IntN(len(level))]}, 3*time.Second+time.Duration(r.rng.Int64N(int64(3*time.Second))))
		}
		turn++
		r.net.Schedule(now+min(8*time.Second, r.options.Duration/4), next)
	}
	r.net.Schedule(r.options.Warmup+min(4*time.Second, r.options.Duration/8), next)
}

// scheduleCut schedules a cut between the region of the first source and all other regions, and the heal of the cut.
func scheduleCut(r *broadcastRun) {
	region := r.locations[r.sources[0]].Region
	inside := NodesWhere(r.locations, func(p Location) bool { return p.Region == region })
	if len(inside) == len(r.locations) { // there is only one region: cut off the site of the source
		site := r.locations[r.sources[0]].Site
		inside = NodesWhere(r.locations, func(p Location) bool { return p.Site == site })
	}
	r.cutRegion = newGatewaySet(len(r.locations))
	var outside []int
	for i := range r.locations {
		if slices.Contains(inside, i) {
			r.cutRegion.put(i, true)
		} else {
			outside = append(outside, i)
		}
	}
	span := r.options.Duration / 2
	if r.options.FaultDuration > 0 {
		span = r.options.FaultDuration
	}
	r.cutAt = r.options.Warmup + r.options.Duration/6
	r.healAt = r.cutAt + span
	recordForAll := func(up bool) {
		for i := range r.locations {
			r.views.record(membershipEvent{gateway: int32(i), up: up, cutSide: 3 - r.side(i)})
		}
	}
	r.net.Schedule(r.cutAt, func() {
		r.cut = r.net.Cut(inside, outside)
		recordForAll(false)
	})
	r.net.Schedule(r.healAt, func() {
		r.cut.Heal()
		r.cut = nil
		recordForAll(true)
	})
}

// scheduleRelease schedules the restart of a part of the fleet, one gateway after the other, evenly over the duration
// of the run.
func scheduleRelease(r *broadcastRun) {
	count := r.options.Restarts
	if count == 0 {
		count = (len(r.locations)*1900 + FullGateways - 1) / FullGateways
	}
	order := r.rng.Perm(len(r.locations))
	for k := range count {
		i := order[k%len(order)]
		r.net.Schedule(r.options.Warmup+time.Duration(float64(r.options.Duration)*(float64(k)+0.5)/float64(count)), func() { r.restart([]int{i}, 2*time.Second) })
	}
}

// broadcastLayout returns the layout of the planned fleet scaled to a size. If there are enough gateways, it has at
// least three regions, five zones and nine sites, because the tree and the fault cases need several of each.
func broadcastLayout(gateways int) []Location {
	scaled := func(full, lower, upper int) int { return min(upper, max(lower, gateways*full/FullGateways)) }
	sites := scaled(FullSites, 9, max(1, gateways/3))
	zones := scaled(FullZones, 5, sites)
	return Layout(gateways, sites, zones, scaled(FullRegions, 3, zones))
}
