package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	maxHitBudgetShare = 0.4  // of their latency budgets that hits take at a crowded cache
	initialLimit      = 16.0 // open attempts at a cache, and open fills, before anything is known
	minOpen           = 2.0  // attempts or fills, by all routers together, below which a limit is not cut
	spillShare        = 0.7  // of its limit, below which another cache takes a crowded one's lookups
	rejectedCut       = 0.75 // of a cache's limit that is left when it rejects an attempt
	limitGrowth       = 1.1  // of a limit that is nearly reached
	limitInterval     = 200 * millisecond

	// A usual hit, which is added to those measured: one slow hit says little.
	usualHitLatency = 40 * millisecond
	usualHitBudget  = 160 * millisecond

	maxFailures        = 2 // connections in a row that fail before a cache is ejected
	attemptsBeforeMove = 2 // attempts of a lookup up to which a reset does not move it: what its cache holds is worth a second one
)

// chooseEdge picks the first cache in the rendezvous order of the lookup's part that may have it and has capacity.
func (r *Router) chooseEdge(attempt *Attempt) stageResult {
	lookup := attempt.lookup
	mustWait := false
	limitShare := 1.0
	for _, cache := range r.rendezvousOrder(lookup.partHash, r.edges) {
		switch {
		case !r.isCandidate(cache, lookup):
		case !r.isWarmFor(cache, lookup.partHash):
			mustWait = true
		case r.isFull(cache, limitShare):
			if limitShare < 1 {
				return holdLookup // a third cache would only fill what these two hold
			}
			mustWait = true
			limitShare = spillShare
		case !r.admitSlowStart(attempt, cache, max(float64(lookup.work), lookup.kind.meanWork(r.now))):
			mustWait = true
		default:
			attempt.edge = cache
			return proceed
		}
	}
	if mustWait || lookup.failedEdge != nil {
		lookup.failedEdge = nil // it may have capacity again
		return holdLookup
	}
	r.giveUp(lookup)
	return endLookup
}

// isCandidate tells whether an edge cache may have the lookup at all.
func (r *Router) isCandidate(cache *Cache, lookup *Lookup) bool {
	return cache.State == Ready &&
		cache != lookup.failedEdge &&
		r.mayRunOn(lookup, cache, 0) &&
		lookup.scope.allowsEdge(cache) &&
		r.mayReceive(cache, lookup)
}

// isFull tells whether a cache has reached a share of its limit of open attempts, not counting fills, or waits for its turn.
func (r *Router) isFull(cache *Cache, limitShare float64) bool {
	return float64(cache.openCount)-r.countOpenFills(cache.attempts) >= limitShare*cache.attemptLimit || r.now < cache.pausedUntil
}

// noteEdgeOutcome learns about the edge cache from the end of an attempt.
func (r *Router) noteEdgeOutcome(attempt *Attempt, report AttemptReport) {
	cache, lookup := attempt.edge, attempt.lookup
	cache.openCount--
	// A fill's latency is its source's. Where hits are not reported as such, all attempts count.
	if r.measuresLatency(attempt, report) && (report.isHit() || !r.settings.ReportsHits) {
		r.recordLatency(cache, r.edges, latencySample{
			latency: float64(report.Latency),
			size:    max(lookup.sizeKB, 1),
			floor:   slowBudgetShare * float64(lookup.latencyBudget()),
		})
	}
	switch {
	case report.Outcome == OutcomeSatisfied || report.Outcome == OutcomeMiss || report.Detail.isFillFailure():
		r.observeEdgeAnswer(attempt, report)
	case report.Outcome == OutcomeRejected:
		r.observeEdgeRejection(cache, lookup)
	case report.Outcome == OutcomeConnectFailed || report.Outcome == OutcomeReset:
		r.observeEdgeDisconnection(attempt, report)
	case report.isUnexplained(OutcomeError):
		r.observeEdgeError(cache, lookup)
	case report.Outcome == OutcomeCancelled && cache.probe == attempt:
		r.countFailures(cache, 1, 1, "probe failed")
	}
}

// observeEdgeAnswer learns from an answer that shows a working cache.
func (r *Router) observeEdgeAnswer(attempt *Attempt, report AttemptReport) {
	cache, lookup := attempt.edge, attempt.lookup
	r.noteSuccess(cache, attempt)
	if report.Outcome == OutcomeSatisfied {
		r.observePace(cache, report.Latency-report.SourceWait, lookup.work)
	}
	if report.isHit() {
		cache.hitLatency.add(r.now, float64(report.Latency))
		cache.hitBudget.add(r.now, float64(lookup.latencyBudget()))
	}
	r.adjustLimit(cache)
	cache.pausedUntil = r.nextTurn(cache.attemptLimit, report.Latency)
}

// observeEdgeRejection lowers the limit of a cache that is full, so that attempts do not storm it where hits are not reported.
func (r *Router) observeEdgeRejection(cache *Cache, lookup *Lookup) {
	cache.lastSuccessAt = r.now
	if lookup.missedAt == cache { // it answered that it has no copy: only the fill was rejected
		return
	}
	lookup.failedEdge = cache
	cache.attemptLimit = max(minOpen/r.zoneRouterCount(), rejectedCut*min(cache.attemptLimit, float64(cache.openCount+1)))
}

// observeEdgeDisconnection counts a connection that was refused or broke. A reset alone does not mean that the cache died.
func (r *Router) observeEdgeDisconnection(attempt *Attempt, report AttemptReport) {
	cache, lookup := attempt.edge, attempt.lookup
	isRefused := report.Outcome == OutcomeConnectFailed
	cache.restartsCold = cache.restartsCold || isRefused
	if isRefused || len(lookup.attempts) > attemptsBeforeMove {
		lookup.failedEdge = cache
	}
	if attempt.startedAt >= cache.lastFailureAt { // a connection that breaks under many attempts is one failure
		cache.lastFailureAt = r.now
		cache.failuresInRow++
		r.countFailures(cache, cache.failuresInRow, maxFailures, "unreachable")
	}
}

// observeEdgeError counts an unexplained error. Errors are quick and would attract more lookups to a cache that fails them all. They are
// counted apart from failed connections, and many in a row are needed: where every cache fails some, moving or ejecting helps nobody.
func (r *Router) observeEdgeError(cache *Cache, lookup *Lookup) {
	cache.errorsInRow++
	if cache.errorsInRow >= errorsToAvoid {
		lookup.failedEdge = cache
	}
	r.countFailures(cache, cache.errorsInRow, errorsToEject, "errors")
}

// adjustLimit moves a cache's limit of open attempts: down while its hits are slow, up while it is nearly reached.
func (r *Router) adjustLimit(cache *Cache) {
	if r.now < cache.limitUpdatedAt+limitInterval {
		return
	}
	cache.limitUpdatedAt = r.now
	usedShare := (cache.hitLatency.read(r.now) + float64(usualHitLatency)) / (cache.hitBudget.read(r.now) + float64(usualHitBudget))
	switch {
	case usedShare > maxHitBudgetShare:
		cache.attemptLimit = max(minOpen/r.zoneRouterCount(), min(cache.attemptLimit, float64(cache.openCount+1)*maxHitBudgetShare/usedShare))
	case float64(cache.openCount+1) >= cache.attemptLimit*spillShare:
		cache.attemptLimit *= limitGrowth
	}
}

// nextTurn is when the next attempt may start where the limit of each of many routers is below one.
func (r *Router) nextTurn(limit float64, latency Micros) Micros {
	return r.now + Micros(float64(latency)*max(0, 1/limit-1))
}

// rendezvousOrder is the order of caches for a hash (highest random weight): a change of the list moves only what it must.
func (r *Router) rendezvousOrder(hash uint64, caches []*Cache) []*Cache {
	distance := func(c *Cache) float64 {
		uniform := (float64(mixHash(hash, c.nameHash)>>11) + 0.5) / (1 << 53)
		if r.settings.WeightIsSize && c.Weight > 0 {
			return -math.Log(uniform) / c.Weight
		}
		return -math.Log(uniform)
	}
	byDistance := func(a, b *Cache) int { return cmp.Compare(distance(a), distance(b)) }
	return slices.SortedStableFunc(slices.Values(caches), byDistance)
}
