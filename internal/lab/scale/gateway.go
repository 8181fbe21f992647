package scale

import (
	"slices"
	"time"
)

// gateway is a hollow one: its part of the spreading of purges, its list of the live, its discovery watch.
type gateway struct {
	run     *broadcastRun
	i       int
	life    int32 // its starts, from 1
	started time.Duration
	its     spreader
	view    set
	joined  bool
	viewed  time.Duration
	viewAt  time.Duration
	watchAt time.Duration // never: no watch
	lag     time.Duration // of its watch
	cursor  int           // purges that its watch came to
	number  int64         // of the last event of its watch
}

const (
	watchTurn = 50 * time.Millisecond // what a watch tells is read so often
	ground    = int64(1_000_000)      // microseconds of a gateway's clock when the Net begins: 0 means "never" in places
	aheadMost = 1000                  // events that a watch tells at once
)

func micro(now time.Duration) int64 { return ground + now.Microseconds() }

func (r *broadcastRun) newGateway(i int) Node {
	g := &r.all[i]
	now := r.net.Now()
	*g = gateway{run: r, i: i, life: g.life + 1, started: now, view: g.view, watchAt: never, number: 0}
	if g.view == nil {
		g.view = newSet(len(r.all))
	}
	if now == 0 {
		for j := range r.all {
			g.view.put(j, true)
		}
		g.joined = true
	} else {
		r.views.join(g)
		r.views.note(sighting{who: int32(i), life: g.life, up: true})
	}
	g.viewed = now
	chance := func(what uint64) float64 { return part01(r.o.Seed, uint64(i)<<32|uint64(g.life), what) }
	g.viewAt = now + time.Duration(chance(1)*float64(viewTurn))
	if r.watches(i) {
		g.watchAt = now + time.Duration(chance(2)*float64(watchTurn))
		g.lag = r.o.WatchLag/10 + time.Duration(chance(3)*0.9*float64(r.o.WatchLag))
		g.cursor = len(r.purges)
	}
	g.its = r.make(g, micro(now))
	g.its.see(micro(now))
	return g
}

func (g *gateway) send(to int, b []byte) { g.run.net.Send(g.i, to, b) }

// Datagram brings one of another gateway.
func (g *gateway) Datagram(now time.Duration, from int, b []byte) {
	for _, p := range g.its.take(from, b, micro(now)) {
		g.run.heard(g, p, false)
	}
	g.wakeAt()
}

// Wake does what is due.
func (g *gateway) Wake(now time.Duration) {
	if now >= g.viewAt {
		if g.run.views.update(g, g.viewed, now) {
			g.its.see(micro(now))
		}
		g.viewed, g.viewAt = now, g.viewAt+viewTurn
	}
	if now >= g.watchAt {
		g.listen(now)
		g.watchAt += watchTurn
	}
	if micro(now) >= g.its.next() {
		g.its.step(micro(now))
	}
	g.wakeAt()
}

func (g *gateway) wakeAt() {
	due := time.Duration(max(g.its.next()-ground, 0))
	if due < never/time.Microsecond {
		due *= time.Microsecond
	} else {
		due = never
	}
	g.run.net.WakeAt(g.i, min(g.viewAt, g.watchAt, due))
}

// listen takes what the own watch tells by now: events are numbered from 1 at the gateway's start, also those that it does not hear.
func (g *gateway) listen(now time.Duration) {
	r := g.run
	var numbers []int64
	var purges []told
	for g.cursor < len(r.purges) && len(purges) < aheadMost && r.purges[g.cursor].at+g.lag <= now {
		k := g.cursor
		g.cursor++
		if !r.counts(g.i, k) {
			continue
		}
		g.number++
		if r.tells(g.i, k) {
			numbers = append(numbers, g.number)
			purges = append(purges, r.purges[k].told)
		}
	}
	if len(purges) == 0 {
		return
	}
	for _, p := range purges {
		r.heard(g, p, true)
	}
	g.its.own(g.number, numbers, slices.Clone(purges), micro(now))
}
