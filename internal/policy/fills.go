// The source of a fill, and the limit of fills that are open at once.

package policy

import (
	"math"
)

const (
	fillPressureTime  = 8 * second // after a fill came late or found no place
	lateFillShare     = 0.1        // of fills of late beyond manyFills: fewer late ones are late by their way
	lateFillAllowance = 40         // up to so many every late one counts
)

// chooseSource names the source: the object's home among all listed parents, or the next that is up; the origin for
// what runs there, as parents hold nothing of it and would cost it time. While fills are pressed (slow, or
// without places) lookups look first, so that hits go on; misses fill a few at a time. Not at a cold cache,
// where a look counts as much as the fill that follows it (rule 4), and most looks miss.
func (r *Router) chooseSource(s *Attempt) stageResult {
	lk, pressed := s.lookup, r.fillPressureUntil > r.now
	if (pressed && s.edge.warmingSince == 0 || s.edge.overdueCount > 0 || lk.acceptsStale) && !lk.passThrough {
		if lk.missedAt == nil || lk.acceptsStale {
			if s.source = s.edge; !pressed {
				s.mode &^= ModeCoalesce // a quick miss shows that a cache with overdue fills is alive
			}
			return proceed
		}
		if pressed && (r.countOpenFills(r.openAttempts) >= r.fillLimit || r.now < r.nextFillAt) {
			return holdLookup
		}
	}
	straight := lk.passThrough && r.origin != nil && r.origin.State == Ready && lk.scope.allowsSource(r.origin)
	for _, p := range r.rendezvousOrder(lk.objectHash, r.parents) {
		switch {
		case straight || p.State != Ready || p == lk.failedParent || !r.mayReceive(p, lk) || !lk.scope.allowsSource(p):
		case r.admitSlowStart(s, p, float64(lk.work)):
			s.source = p
			return proceed
		}
	}
	if s.source = r.origin; r.origin == nil || r.origin.State != Ready {
		s.source = s.edge
	}
	return proceed
}

func (r *Router) noteSourceOutcome(s *Attempt, got *attemptReport) {
	p, lk, c := s.source, s.lookup, s.edge
	filled := got.detail == DetailFilled || got.detail == DetailFilledFromOrigin
	if p == c {
		if got.outcome == OutcomeMiss {
			lk.missedAt = c
		}
		return
	}
	r.nextFillAt = r.nextTurn(r.fillLimit, min(got.latency, lk.latencyBudget()))
	switch {
	case got.detail >= DetailNoFillSlot, got.outcome == OutcomeRejected && lk.missedAt == c:
		r.cutFillLimit()
	case filled || !r.settings.ReportsHits && r.measuresLatency(s, got): // where fills are not told, any send may be one; a
		// late answer may be a hit's slow transfer: only a send that ends overdue unanswered is a late fill
		if filled {
			lk.kind.fillLatency.add(r.now, float64(got.latency))
			lk.kind.fillWork.add(r.now, float64(lk.work))
			lk.kind.fillWait.add(r.now, float64(got.sourceWait))
			lk.kind.fillCount.add(r.now, 1)
		}
		switch r.recentFills.add(r.now, 1); {
		case got.outcome == OutcomeSatisfied && got.latency <= lk.latencyBudget():
			r.fillLimit += 2 / r.fillLimit / r.zoneRouterCount() / r.zoneRouterCount() // all together as one router would
		case got.outcome == OutcomeSatisfied && !filled:
		default:
			if r.lateFills.add(r.now, 1); r.lateFills.value > lateFillShare*(r.recentFills.value-lateFillAllowance) {
				r.cutFillLimit()
			}
		}
	}
	if got.outcome == OutcomeRejected {
		lk.notBefore = r.now + 30*millisecond
	}
	if p == r.origin {
		return
	}
	if got.detail == DetailHit || got.detail == DetailStale {
		p.slowStartSent.subtract(s.startedAt, r.now, r.breakWindow(), s.slowStartCharge) // no fill reached it
	}
	// A parent's fills are timed to their first byte where that is told, else a KB; where nothing tells a fill,
	// all sends that named it are, hits that passed it by too.
	if r.measuresLatency(s, got) && (got.outcome == OutcomeSatisfied && filled || !r.settings.ReportsHits) {
		took, n, floor := float64(got.latency), max(lk.sizeKB, 1), slowBudgetShare*float64(lk.latencyBudget())
		if r.settings.ReportsFirstByte {
			took, n, floor = float64(got.sourceWait), 1, float64(slowFirstByteFloor)
		}
		r.recordLatency(p, r.parents, took, n, floor)
	}
	switch {
	case got.outcome == OutcomeSatisfied && filled:
		r.noteSuccess(p, s)
		r.observePace(p, got.latency-got.sourceWait, lk.work)
		p.carriedWork.add(r.now, float64(min(lk.work, got.latency)))
	case got.detail == DetailSourceRefused || got.detail == DetailSourceBroke:
		p.restartsCold = p.restartsCold || got.detail == DetailSourceBroke
		p.failuresInRow++
		r.countFailures(p, p.failuresInRow, 3, "fills fail")
		lk.failedParent, lk.avoidCoalescing = p, true
	case (got.outcome == OutcomeRejected || got.outcome == OutcomeError) && got.detail == DetailNone || got.outcome == OutcomeMiss ||
		got.outcome == OutcomeCancelled && p.ejected:
		// Where only hits are told it may be the cache or the parent: the next send changes both.
		lk.failedParent, lk.avoidCoalescing = p, true
		if p.probe == s && got.outcome == OutcomeCancelled {
			r.countFailures(p, 1, 1, "trial failed")
		}
	}
}

// countOpenFills counts those sends that are fills or too long out for a hit.
func (r *Router) countOpenFills(sends []*Attempt) (n float64) {
	for _, s := range sends {
		if s.source != s.edge && (s.lookup.missedAt != nil || r.now-s.startedAt > 50*millisecond+2*s.lookup.work) {
			n++
		}
	}
	return n
}

// cutFillLimit notes that fills are too many for what is behind them.
func (r *Router) cutFillLimit() {
	if r.now >= r.fillLimitCutAt+200*millisecond {
		r.fillLimitCutAt = r.now
		share := minOpen * float64(max(len(r.edges), 1)) / r.zoneRouterCount()
		share += math.Sqrt(share) * (1 - 1/r.zoneRouterCount()) // not all routers are busy at once
		r.fillLimit = max(share, 0.9*min(r.fillLimit, r.countOpenFills(r.openAttempts)+1))
	}
	if r.fillPressureUntil < r.now {
		r.logf("fills pressed, limit %.1f", r.fillLimit)
	}
	r.fillPressureUntil = r.now + fillPressureTime
}

// nextTurn is when the next may go where so many routers share a thing that the limit of each is under one.
func (r *Router) nextTurn(limit float64, took Micros) Micros {
	return r.now + Micros(float64(took)*max(0, 1/limit-1))
}
