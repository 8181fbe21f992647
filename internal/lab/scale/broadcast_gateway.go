package scale

import (
	"slices"
	"time"
)

// gateway is a simulated gateway with its spreader of purges, its list of live gateways and its discovery watch.
type gateway struct {
	run         *broadcastRun
	index       int
	incarnation int32         // 1 at the first start, one more at each later one
	started     time.Duration // time of the last start
	spreader    spreader
	view        gatewaySet    // gateways that it considers live
	joined      bool          // its view is complete, and a gateway that starts may copy it
	viewedAt    time.Duration // time of the last update of the view
	nextView    time.Duration // time of the next update of the view
	nextWatch   time.Duration // time of the next read of the watch; never: it has no watch
	watchLag    time.Duration // delay with which the watch delivers an event
	nextPurge   int           // index of the first purge that has not been read from the watch
	lastEvent   int64         // number of the last event of the watch that was due, delivered or not
}

const (
	watchInterval = 50 * time.Millisecond // time between reads of a watch
	// clockStart is the time of a gateway's clock, in microseconds, at which the Network's clock is 0. It is not 0,
	// because 0 means "never" in some fields.
	clockStart     = int64(1_000_000)
	maxWatchEvents = 1000 // events that one read of a watch returns at most
)

// clockMicros returns a gateway's clock, in microseconds, at a time of the Network's clock.
func clockMicros(now time.Duration) int64 { return clockStart + now.Microseconds() }

// newGateway creates the program of gateway i, which starts now. A gateway that starts at time 0 has all gateways in
// its list. A gateway that starts later copies the list of another one.
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

// send sends a datagram to another gateway.
func (g *gateway) send(to int, b []byte) { g.run.net.Send(g.index, to, b) }

// Datagram passes a datagram from another gateway to the spreader and records the purges that were new in it.
func (g *gateway) Datagram(now time.Duration, from int, b []byte) {
	for _, p := range g.spreader.receive(from, b, clockMicros(now)) {
		g.run.purgeReceived(g, p, false)
	}
	g.setTimer()
}

// TimerFired updates the list of live gateways, reads the watch and runs a step of the spreader, each if it is due.
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

// setTimer sets the timer to the earliest time at which TimerFired has work to do.
func (g *gateway) setTimer() {
	due := time.Duration(max(g.spreader.nextStep()-clockStart, 0))
	if due < never/time.Microsecond {
		due *= time.Microsecond
	} else {
		due = never
	}
	g.run.net.SetTimer(g.index, min(g.nextView, g.nextWatch, due))
}

// readWatch reads the events that are due on the watch by now. Events are numbered from 1 at the gateway's start. An
// event that a silent watch does not deliver has a number too.
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
