// The choice of the edge cache: rendezvous order, limits of open sends, what an ending tells of the cache.

package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	crowdedShare = 0.4  // hits take this part of their latency budget: the cache is crowded
	initialLimit = 16.0 // open sends at a cache before anything is known of it
	minOpen      = 2.0  // open sends, and fills, at one cache by all routers are not cut under this
	spillShare   = 0.7  // another cache takes a crowded one's lookup while under this part of its limit
	rejectedCut  = 0.75 // of a cache's limit of open sends, when it turns one away as full
)

// chooseEdge picks the first cache in the object's hash order that is up and has room for it.
func (r *Router) chooseEdge(s *Attempt) stageResult {
	lk, wait, part := s.lookup, false, 1.0
	for _, c := range r.rendezvousOrder(lk.partHash, r.edges) {
		switch {
		case c.State != Ready || c == lk.failedEdge || !r.mayRunOn(lk, c, 0) || !lk.scope.allowsEdge(c):
		case !r.mayReceive(c, lk):
		case !r.isWarmFor(c, lk.partHash):
			wait = true
		case float64(c.openCount)-r.countOpenFills(c.attempts) >= part*c.attemptLimit || r.now < c.pausedUntil:
			if part < 1 {
				return holdLookup // two homes are enough: a third would fill what they hold
			}
			wait, part = true, spillShare
		case !r.admitSlowStart(s, c, max(float64(lk.work), lk.kind.meanWork(r.now))):
			wait = true
		default:
			s.edge = c
			return proceed
		}
	}
	if wait || lk.failedEdge != nil {
		lk.failedEdge = nil // it may have room again
		return holdLookup
	}
	r.giveUp(lk)
	return endLookup
}

func (r *Router) noteEdgeOutcome(s *Attempt, got *attemptReport) {
	c, lk := s.edge, s.lookup
	c.openCount--
	// Guards against a cache that slows: its lookups move to the others of its location. Its hits are timed
	// where they are told (a fill's time is its source's), else all its sends.
	if r.measuresLatency(s, got) && (got.detail == DetailHit || got.detail == DetailStale || !r.settings.ReportsHits) {
		r.recordLatency(c, r.edges, float64(got.latency), max(lk.sizeKB, 1), slowBudgetShare*float64(lk.latencyBudget()))
	}
	switch {
	case got.outcome == OutcomeSatisfied || got.outcome == OutcomeMiss || got.detail >= DetailSourceRefused:
		r.noteSuccess(c, s)
		if got.outcome == OutcomeSatisfied {
			r.observePace(c, got.latency-got.sourceWait, lk.work)
		}
		if got.detail == DetailHit || got.detail == DetailStale {
			c.hitLatency.add(r.now, float64(got.latency))
			c.hitBudget.add(r.now, float64(lk.latencyBudget()))
		}
		r.adjustLimit(c)
		c.pausedUntil = r.nextTurn(c.attemptLimit, got.latency)
	case got.outcome == OutcomeRejected:
		if c.lastSuccessAt = r.now; lk.missedAt != c { // where it took the look, only the fill was turned away
			// Guards against a storm of sends where no hit times come: a cache that is full takes fewer.
			lk.failedEdge, c.attemptLimit = c, max(minOpen/r.zoneRouterCount(), rejectedCut*min(c.attemptLimit, float64(c.openCount+1)))
		}
	case got.outcome == OutcomeConnectFailed || got.outcome == OutcomeReset:
		// A reset alone is no death, and what is held there is worth a second send.
		if c.restartsCold = c.restartsCold || got.outcome == OutcomeConnectFailed; got.outcome == OutcomeConnectFailed || len(lk.attempts) > 2 {
			lk.failedEdge = c
		}
		if s.startedAt >= c.lastFailureAt { // a connection breaks under many sends at once: one strike
			c.lastFailureAt = r.now
			c.failuresInRow++
			r.countFailures(c, c.failuresInRow, 2, "unreachable")
		}
	case got.outcome == OutcomeError && got.detail == DetailNone:
		// Guards against a cache that fails all it gets, which is quick and would draw more. Errors have an account
		// of their own: one beside a reset says nothing of the way. Where all caches fail some, or lookups are at
		// fault, a move or an outage costs the copies held and helps nobody: hence so many in a row.
		if c.errorsInRow++; c.errorsInRow >= errorsToAvoid {
			lk.failedEdge = c
		}
		r.countFailures(c, c.errorsInRow, errorsToEject, "errors")
	case got.outcome == OutcomeCancelled && c.probe == s:
		r.countFailures(c, 1, 1, "trial failed")
	}
}

// adjustLimit moves a cache's limit of open sends: down while its hits are slow, up while it is full.
func (r *Router) adjustLimit(c *Cache) {
	if r.now < c.limitUpdatedAt+200*millisecond {
		return
	}
	c.limitUpdatedAt = r.now
	// One slow hit says little: a usual one, at a quarter of its budget, is added.
	part := (c.hitLatency.read(r.now) + float64(40*millisecond)) / (c.hitBudget.read(r.now) + float64(160*millisecond))
	switch {
	case part > crowdedShare:
		c.attemptLimit = max(minOpen/r.zoneRouterCount(), min(c.attemptLimit, float64(c.openCount+1)*crowdedShare/part))
	case float64(c.openCount+1) >= c.attemptLimit*spillShare:
		c.attemptLimit *= 1.1
	}
}

// rendezvousOrder is the rendezvous order of caches for a hash: it moves only what a change of the list must move.
func (r *Router) rendezvousOrder(hash uint64, caches []*Cache) []*Cache {
	far := func(c *Cache) float64 {
		u := (float64(mixHash(hash, c.nameHash)>>11) + 0.5) / (1 << 53)
		if r.settings.WeightIsSize && c.Weight > 0 {
			return -math.Log(u) / c.Weight
		}
		return -math.Log(u)
	}
	nearer := func(a, b *Cache) int { return cmp.Compare(far(a), far(b)) }
	return slices.SortedStableFunc(slices.Values(caches), nearer)
}
