// The source of a fill, and the limit of fills that are open at once.

package policy

import (
	"math"
)

const (
	pressedFor = 8 * second // after a fill came late or found no place
	latePart   = 0.1        // of fills of late beyond manyFills: fewer late ones are late by their way
	manyFills  = 40         // up to so many every late one counts
)

// parent names the source: the object's home among all listed parents, or the next that is up; the origin for
// what runs there, as parents hold nothing of it and would cost it time. While fills are pressed (slow, or
// without places) lookups look first, so that hits go on; misses fill a few at a time. Not at a cold cache,
// where a look counts as much as the fill that follows it (rule 4), and most looks miss.
func (r *Router) parent(s *Send) verdict {
	lk, pressed := s.lk, r.pressedTill > r.now
	if (pressed && s.to.warmingSince == 0 || s.to.mute > 0 || lk.aged) && !lk.write {
		if lk.missed == nil || lk.aged {
			if s.source = s.to; !pressed {
				s.how &^= Join // a quick miss shows that a cache with overdue fills is alive
			}
			return pass
		}
		if pressed && (r.fillsOpen(r.open) >= r.fills || r.now < r.nextFill) {
			return keep
		}
	}
	straight := lk.write && r.origin != nil && r.origin.State == Ready && lk.scope.parent(r.origin)
	for _, p := range r.order(lk.hash, r.parents) {
		switch {
		case straight || p.State != Ready || p == lk.failedBy || !r.probeDue(p, lk) || !lk.scope.parent(p):
		case r.admitCold(s, p, float64(lk.work)):
			s.source = p
			return pass
		}
	}
	if s.source = r.origin; r.origin == nil || r.origin.State != Ready {
		s.source = s.to
	}
	return pass
}

func (r *Router) parentBack(s *Send, got *ending) {
	p, lk, c := s.source, s.lk, s.to
	filled := got.remark == Filled || got.remark == FilledFromOrigin
	if p == c {
		if got.end == Missed {
			lk.missed = c
		}
		return
	}
	r.nextFill = r.turn(r.fills, min(got.took, lk.span()))
	switch {
	case got.remark >= NoFillPlace, got.end == TurnedAway && lk.missed == c:
		r.limitFills()
	case filled || !r.its.HitsTold && r.timed(s, got): // where fills are not told, any send may be one; a
		// late answer may be a hit's slow transfer: only a send that ends overdue unanswered is a late fill
		if filled {
			lk.kind.fillTook.add(r.now, float64(got.took))
			lk.kind.fillWork.add(r.now, float64(lk.work))
			lk.kind.fillWait.add(r.now, float64(got.waited))
			lk.kind.fillN.add(r.now, 1)
		}
		switch r.filled.add(r.now, 1); {
		case got.end == Satisfied && got.took <= lk.span():
			r.fills += 2 / r.fills / r.zoneRouters() / r.zoneRouters() // all together as one router would
		case got.end == Satisfied && !filled:
		default:
			if r.filledLate.add(r.now, 1); r.filledLate.v > latePart*(r.filled.v-manyFills) {
				r.limitFills()
			}
		}
	}
	if got.end == TurnedAway {
		lk.notBefore = r.now + 30*ms
	}
	if p == r.origin {
		return
	}
	if got.remark == Hit || got.remark == Aged {
		p.sent.takeBack(s.at, r.now, r.fallFor(), s.charge) // no fill reached it
	}
	// A parent's fills are timed to their first byte where that is told, else a KB; where nothing tells a fill,
	// all sends that named it are, hits that passed it by too.
	if r.timed(s, got) && (got.end == Satisfied && filled || !r.its.HitsTold) {
		took, n, floor := float64(got.took), max(lk.kb, 1), lagPart*float64(lk.span())
		if r.its.FirstByteTold {
			took, n, floor = float64(got.waited), 1, float64(lagFloor)
		}
		r.timeAmong(p, r.parents, took, n, floor)
	}
	switch {
	case got.end == Satisfied && filled:
		r.noteAnswer(p, s)
		r.observePace(p, got.took-got.waited, lk.work)
		p.carried.add(r.now, float64(min(lk.work, got.took)))
	case got.remark == SourceRefused || got.remark == SourceLost:
		p.died = p.died || got.remark == SourceLost
		p.strikes++
		r.countFailures(p, p.strikes, 3, "fills fail")
		lk.failedBy, lk.noJoin = p, true
	case (got.end == TurnedAway || got.end == Errored) && got.remark == Untold || got.end == Missed ||
		got.end == Cancelled && p.ejected:
		// Where only hits are told it may be the cache or the parent: the next send changes both.
		lk.failedBy, lk.noJoin = p, true
		if p.probe == s && got.end == Cancelled {
			r.countFailures(p, 1, 1, "trial failed")
		}
	}
}

// fillsOpen counts those sends that are fills or too long out for a hit.
func (r *Router) fillsOpen(sends []*Send) (n float64) {
	for _, s := range sends {
		if s.source != s.to && (s.lk.missed != nil || r.now-s.at > 50*ms+2*s.lk.work) {
			n++
		}
	}
	return n
}

// limitFills notes that fills are too many for what is behind them.
func (r *Router) limitFills() {
	if r.now >= r.fillsAt+200*ms {
		r.fillsAt = r.now
		share := leastOpen * float64(max(len(r.edges), 1)) / r.zoneRouters()
		share += math.Sqrt(share) * (1 - 1/r.zoneRouters()) // not all routers are busy at once
		r.fills = max(share, 0.9*min(r.fills, r.fillsOpen(r.open)+1))
	}
	if r.pressedTill < r.now {
		r.log("fills pressed, limit %.1f", r.fills)
	}
	r.pressedTill = r.now + pressedFor
}

// turn is when the next may go where so many routers share a thing that the limit of each is under one.
func (r *Router) turn(limit float64, took Micros) Micros {
	return r.now + Micros(float64(took)*max(0, 1/limit-1))
}
