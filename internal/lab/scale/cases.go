package scale

import (
	"slices"
	"time"
)

// faultCase is a scenario: what happens while purges are told.
type faultCase struct {
	name, help string
	told       string // who is told, unless asked for otherwise
	play       func(r *broadcastRun)
}

// faultCases are all, in the order of tables.
var faultCases = []*faultCase{
	{"none", "no fault", "one", func(*broadcastRun) {}},
	{"loss1", "each datagram is lost with a chance of 1%", "one", func(r *broadcastRun) { r.net.Loss(0.01) }},
	{"loss5", "each datagram is lost with a chance of 5%", "one", func(r *broadcastRun) { r.net.Loss(0.05) }},
	{"heads", "a most loaded gateway is killed each 8 s (the root, a region's head, a zone's head, in turn) and starts again 3 to 6 s later", "one", playHeads},
	{"rack", "half of a site's gateways are killed at once and start again 20 s later", "one", func(r *broadcastRun) {
		site := r.other(func(p Place) int { return p.Site })
		r.lose(site[:(len(site)+1)/2], 20*time.Second)
	}},
	{"zone", "a zone's gateways are killed at once and start again a third of the time later", "one", func(r *broadcastRun) {
		r.lose(r.other(func(p Place) int { return p.Zone }), r.o.For/3)
	}},
	{"cut", "a region is cut off (for half the time, or --fault) and healed; purges are told on both sides", "two", playCut},
	{"release", "gateways are restarted one after the other, evenly over the time, each down for 2 s", "one", playRelease},
	{"control", "all are told by their own watches; those of one of 14 control machines tell nothing for 30 s (or --fault)", "all", func(r *broadcastRun) {
		r.deafen(30*time.Second, func(i int) bool { return i%FullControls == 5 })
	}},
	{"region", "all are told by their own watches; those of a region tell nothing for half the time (or --fault)", "all", func(r *broadcastRun) {
		region := r.places[r.tellers[0]].Region
		r.deafen(r.o.For/2, func(i int) bool { return r.places[i].Region == region })
	}},
	{"watches", "all are told by their own watches, no fault", "all", func(*broadcastRun) {}},
}

// Cases are the names of scenarios of Broadcast.
func Cases() (names []string) {
	for _, c := range faultCases {
		names = append(names, c.name)
	}
	return names
}

// CaseHelp tells what a case is.
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

// watches tells whether a gateway has a discovery watch at all.
func (r *broadcastRun) watches(i int) bool { return r.o.Told == "all" || slices.Contains(r.tellers, i) }

// counts tells whether a purge is an event of a gateway's watch.
func (r *broadcastRun) counts(i, k int) bool {
	return r.o.Told == "all" || r.tellers[k%len(r.tellers)] == i
}

// tells tells whether the watch tells the gateway of it.
func (r *broadcastRun) tells(i, k int) bool { return r.deaf == nil || !r.deaf(i, r.purges[k].at) }

// side is which side of the cut a gateway is on: 1 the region, 2 the others; 0 without a cut.
func (r *broadcastRun) side(i int) int8 {
	switch {
	case r.sides == nil:
		return 0
	case r.sides.has(i):
		return 1
	}
	return 2
}

func (r *broadcastRun) cutNow() bool { return r.cut != nil }

// other is all that share a place's part, not the first teller's; the teller's own without itself where there is no other.
func (r *broadcastRun) other(of func(Place) int) (who []int) {
	most, own := 0, of(r.places[r.tellers[0]])
	for _, p := range r.places {
		most = max(most, of(p)+1)
	}
	part := own
	if most > 1 {
		part = (own + 1 + r.chance.IntN(most-1)) % most
	}
	for i, p := range r.places {
		if of(p) == part && !r.guarded.has(i) {
			who = append(who, i)
		}
	}
	return who
}

// lose kills some when a quarter of the time is over, for a time (or what was asked for).
func (r *broadcastRun) lose(who []int, down time.Duration) {
	if r.o.Fault > 0 {
		down = r.o.Fault
	}
	r.net.At(r.o.Warm+r.o.For/4, func() { r.restart(who, down) })
}

// deafen has watches tell nothing for a time, from a quarter of the time on.
func (r *broadcastRun) deafen(span time.Duration, who func(int) bool) {
	if r.o.Fault > 0 {
		span = r.o.Fault
	}
	from := r.o.Warm + r.o.For/4
	to := min(from+span, r.o.Warm+r.o.For)
	r.deaf = func(i int, at time.Duration) bool { return at >= from && at < to && who(i) }
}

// playHeads kills heads of the tree that the new mechanism would build, whichever mechanism runs.
func playHeads(r *broadcastRun) {
	turn := 0
	var next func()
	next = func() {
		now := r.net.Now()
		if now >= r.o.Warm+r.o.For {
			return
		}
		heads := r.heads()
		if level := heads[turn%len(heads)]; len(level) > 0 {
			r.restart([]int{level[r.chance.IntN(len(level))]}, 3*time.Second+time.Duration(r.chance.Int64N(int64(3*time.Second))))
		}
		turn++
		r.net.At(now+min(8*time.Second, r.o.For/4), next)
	}
	r.net.At(r.o.Warm+min(4*time.Second, r.o.For/8), next)
}

// playCut cuts off the region of the first teller.
func playCut(r *broadcastRun) {
	region := r.places[r.tellers[0]].Region
	in := In(r.places, func(p Place) bool { return p.Region == region })
	if len(in) == len(r.places) { // a fleet of one region: the site
		site := r.places[r.tellers[0]].Site
		in = In(r.places, func(p Place) bool { return p.Site == site })
	}
	r.sides = newSet(len(r.places))
	var out []int
	for i := range r.places {
		if slices.Contains(in, i) {
			r.sides.put(i, true)
		} else {
			out = append(out, i)
		}
	}
	span := r.o.For / 2
	if r.o.Fault > 0 {
		span = r.o.Fault
	}
	r.cutAt = r.o.Warm + r.o.For/6
	r.healAt = r.cutAt + span
	tell := func(up bool) {
		for i := range r.places {
			r.views.note(sighting{who: int32(i), up: up, cut: 3 - r.side(i)})
		}
	}
	r.net.At(r.cutAt, func() {
		r.cut = r.net.Cut(in, out)
		tell(false)
	})
	r.net.At(r.healAt, func() {
		r.cut.Heal()
		r.cut = nil
		tell(true)
	})
}

// playRelease restarts a part of the fleet, one after the other.
func playRelease(r *broadcastRun) {
	count := r.o.Restarts
	if count == 0 {
		count = (len(r.places)*1900 + FullGateways - 1) / FullGateways
	}
	order := r.chance.Perm(len(r.places))
	for k := range count {
		i := order[k%len(order)]
		r.net.At(r.o.Warm+time.Duration(float64(r.o.For)*(float64(k)+0.5)/float64(count)), func() { r.restart([]int{i}, 2*time.Second) })
	}
}

// spreadPlaces is the users' shape where there are enough gateways, and else three regions, five zones and nine sites, or as near as it
// goes: a tree over places and the loss of one need some.
func spreadPlaces(gateways int) []Place {
	of := func(full, least, most int) int { return min(most, max(least, gateways*full/FullGateways)) }
	sites := of(FullSites, 9, max(1, gateways/3))
	zones := of(FullZones, 5, sites)
	return Layout(gateways, sites, zones, of(FullRegions, 3, zones))
}
