package scale

import (
	"slices"
	"time"
)

// gateway is a simulated gateway: its spreader of purges, its list of live gateways and its discovery watch.
type gateway struct {
	run         *broadcastRun
	index       int
	incarnation int32 // number of its start, from 1
	started     time.Duration
	spreader    spreader
	view        gatewaySet
	joined      bool
	viewedAt    time.Duration
	nextView    time.Duration
	nextWatch   time.Duration // never: it has no watch
	watchLag    time.Duration // delay of its watch
	nextPurge   int           // number of purges that its watch has read
	lastEvent   int64         // number of the last event of its watch
}

const (
	watchInterval  = 50 * time.Millisecond // between reads of a watch
	clockStart     = int64(1_000_000)      // microseconds of a gateway's clock when the Network's clock is 0: some fields mean "never" by 0
	maxWatchEvents = 1000                  // events read from a watch at once
)

// clockMicros is a gateway's clock at a time of the Network's clock.
func clockMicros(now time.Duration) int64 { return clockStart + now.Microseconds() }

// newGateway starts a gateway: at time 0 with all gateways in its list, later with the list of another.
func (r *broadcastRun) newGateway(i int) Node {
	g := &r.gateways[i]
	now := r.net.Now()
	*g = gateway{run: r, index: i, incarnation: g.incarnation + 1, started: now, view: g.view, nextWatch: never, lastEvent: 0}
	if g.view == nil {
		g.view = newGatewaySet(len(r.gateways))
	}
	if now == 0 {
		for j := range r.gateways {
			g.view.put(j, true)
		}
		g.joined = true
	} else {
		r.views.join(g)
		r.views.record(membershipEvent{gateway: int32(i), incarnation: g.incarnation, up: true})
	}
	g.viewedAt = now
	random := func(purpose uint64) float64 {
		return hashUnit(r.options.Seed, uint64(i)<<32|uint64(g.incarnation), purpose)
	}
	g.nextView = now + time.Duration(random(1)*float64(viewInterval))
	if r.hasWatch(i) {
		g.nextWatch = now + time.Duration(random(2)*float64(watchInterval))
		g.watchLag = r.options.WatchLag/10 + time.Duration(random(3)*0.9*float64(r.options.WatchLag))
		g.nextPurge = len(r.purges)
	}
	g.spreader = r.newSpreader(g, clockMicros(now))
	g.spreader.membersChanged(clockMicros(now))
	return g
}

func (g *gateway) send(to int, b []byte) { g.run.net.Send(g.index, to, b) }

// Datagram delivers a datagram of another gateway.
func (g *gateway) Datagram(now time.Duration, from int, b []byte) {
	for _, p := range g.spreader.receive(from, b, clockMicros(now)) {
		g.run.purgeReceived(g, p, false)
	}
	g.setTimer()
}

// TimerFired updates the list of live gateways, reads the watch and steps the spreader, as far as each is due.
func (g *gateway) TimerFired(now time.Duration) {
	if now >= g.nextView {
		if g.run.views.update(g, g.viewedAt, now) {
			g.spreader.membersChanged(clockMicros(now))
		}
		g.viewedAt, g.nextView = now, g.nextView+viewInterval
	}
	if now >= g.nextWatch {
		g.readWatch(now)
		g.nextWatch += watchInterval
	}
	if clockMicros(now) >= g.spreader.nextStep() {
		g.spreader.step(clockMicros(now))
	}
	g.setTimer()
}

func (g *gateway) setTimer() {
	due := time.Duration(max(g.spreader.nextStep()-clockStart, 0))
	if due < never/time.Microsecond {
		due *= time.Microsecond
	} else {
		due = never
	}
	g.run.net.SetTimer(g.index, min(g.nextView, g.nextWatch, due))
}

// readWatch reads the events that the watch has by now. They are numbered from 1 at the gateway's start; those of a silent watch count.
func (g *gateway) readWatch(now time.Duration) {
	r := g.run
	var numbers []int64
	var purges []watchPurge
	for g.nextPurge < len(r.purges) && len(purges) < maxWatchEvents && r.purges[g.nextPurge].at+g.watchLag <= now {
		k := g.nextPurge
		g.nextPurge++
		if !r.isWatchEvent(g.index, k) {
			continue
		}
		g.lastEvent++
		if r.watchDelivers(g.index, k) {
			numbers = append(numbers, g.lastEvent)
			purges = append(purges, r.purges[k].watchPurge)
		}
	}
	if len(purges) == 0 {
		return
	}
	for _, p := range purges {
		r.purgeReceived(g, p, true)
	}
	g.spreader.publish(g.lastEvent, numbers, slices.Clone(purges), clockMicros(now))
}
