package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxHitBudgetShare is the highest acceptable ratio of the summed latencies of a cache's recent hits to their
	// summed latency budgets. Above it, the cache's concurrency limit is cut.
	maxHitBudgetShare = 0.4
	// initialLimit is the concurrency limit of a cache, and the limit of open fills, before any measurement.
	initialLimit = 16.0
	// minOpen is a lower bound for cuts of limits. Cuts leave the routers of a zone together at least minOpen open
	// attempts at each edge cache, and at least minOpen open fills for each edge cache.
	minOpen = 2.0
	// spillShare is the share of its limit up to which a cache accepts lookups that spill over from a full one. It is
	// also the smallest share of a limit, in open attempts, at which the limit counts as nearly reached.
	spillShare = 0.7
	// rejectedCut is the factor by which a cache's limit is cut when the cache rejects an attempt.
	rejectedCut = 0.75
	// limitGrowth is the factor by which a nearly reached limit grows.
	limitGrowth = 1.1
	// limitInterval is the minimum time between two adjustments of a cache's limit by its hits.
	limitInterval = 200 * millisecond

	// usualHitLatency and usualHitBudget are the latency and the latency budget of an assumed hit. They are added to
	// the sums over recent hits to reduce the weight of a single slow hit, which is weak evidence.
	usualHitLatency = 40 * millisecond
	usualHitBudget  = 160 * millisecond

	// maxFailures is the number of consecutive connection failures after which a cache is ejected.
	maxFailures = 2
	// attemptsBeforeMove is the number of attempts up to which a connection reset does not move a lookup to another
	// cache. The copies that the cache holds are worth another attempt there.
	attemptsBeforeMove = 2
)

// chooseEdge chooses the first candidate in the rendezvous order of the lookup's part that has capacity and, during a
// slow start, already gets this part again. If there are candidates but none is chosen, the lookup is queued. It is also
// queued if it avoided failedEdge, because it may use this cache later. Otherwise the lookup is given up.
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
				return holdLookup // a third cache would only fill copies that these two already hold
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
		lookup.failedEdge = nil // the failed cache may be chosen when the lookup leaves the queue
		return holdLookup
	}
	r.giveUp(lookup)
	return endLookup
}

// isCandidate reports whether an edge cache may receive the lookup, regardless of its capacity.
func (r *Router) isCandidate(cache *Cache, lookup *Lookup) bool {
	return cache.State == Ready &&
		cache != lookup.failedEdge &&
		r.mayRunOn(lookup, cache, 0) &&
		lookup.scope.allowsEdge(cache) &&
		r.mayReceive(cache, lookup)
}

// isFull reports whether a cache has no capacity for another attempt. That is the case when its open attempts, not
// counting fills, have reached limitShare of its concurrency limit. It is also the case before pausedUntil, which spaces
// out the attempts if the limit is below one.
func (r *Router) isFull(cache *Cache, limitShare float64) bool {
	return float64(cache.openCount)-r.countOpenFills(cache.attempts) >= limitShare*cache.attemptLimit || r.now < cache.pausedUntil
}

// observeEdgeOutcome updates the state of the edge cache from the report of an attempt's end.
func (r *Router) observeEdgeOutcome(attempt *Attempt, report AttemptReport) {
	cache, lookup := attempt.edge, attempt.lookup
	cache.openCount--
	// The latency of a fill is attributed to its source. If caches do not report hits, every attempt counts.
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

// observeEdgeAnswer updates the state of the edge cache from a response that shows a working cache.
func (r *Router) observeEdgeAnswer(attempt *Attempt, report AttemptReport) {
	cache, lookup := attempt.edge, attempt.lookup
	r.recordSuccess(cache, attempt)
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

// observeEdgeRejection cuts the limit of a cache that rejected an attempt, so that further attempts do not overload it.
// If caches do not report hits, adjustLimit has no latencies of hits and never cuts the limit.
func (r *Router) observeEdgeRejection(cache *Cache, lookup *Lookup) {
	cache.lastSuccessAt = r.now
	if lookup.missedAt == cache { // the cache reported a miss before, so only the fill was rejected
		return
	}
	lookup.failedEdge = cache
	cache.attemptLimit = max(minOpen/r.zoneRouterCount(), rejectedCut*min(cache.attemptLimit, float64(cache.openCount+1)))
}

// observeEdgeDisconnection counts a connection that was refused or broke. Only a refused connection is evidence that the
// cache has died and will restart cold. A reset alone is not.
func (r *Router) observeEdgeDisconnection(attempt *Attempt, report AttemptReport) {
	cache, lookup := attempt.edge, attempt.lookup
	isRefused := report.Outcome == OutcomeConnectFailed
	cache.restartsCold = cache.restartsCold || isRefused
	if isRefused || len(lookup.attempts) > attemptsBeforeMove {
		lookup.failedEdge = cache
	}
	if attempt.startedAt >= cache.lastFailureAt { // a connection that breaks under many attempts counts as one failure
		cache.lastFailureAt = r.now
		cache.failuresInRow++
		r.countFailures(cache, cache.failuresInRow, maxFailures, "unreachable")
	}
}

// observeEdgeError counts an unexplained error. Errors are quick, so a cache that fails every lookup would attract
// more lookups. Errors are counted separately from failed connections. Many consecutive errors are required, because
// moving lookups or ejecting a cache does not help when every cache fails some lookups.
func (r *Router) observeEdgeError(cache *Cache, lookup *Lookup) {
	cache.errorsInRow++
	if cache.errorsInRow >= errorsToAvoid {
		lookup.failedEdge = cache
	}
	r.countFailures(cache, cache.errorsInRow, errorsToEject, "errors")
}

// adjustLimit adjusts a cache's concurrency limit. It cuts the limit while hits are slow, and otherwise raises a
// limit that is nearly reached.
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

// nextTurn returns the earliest start of the next attempt or fill. A limit below one, as when many routers share one
// cache, spaces attempts out in time; at any other limit the result is the current time.
func (r *Router) nextTurn(limit float64, latency Micros) Micros {
	return r.now + Micros(float64(latency)*max(0, 1/limit-1))
}

// rendezvousOrder returns the caches sorted by rendezvous hashing (highest random weight) of a hash. A cache that
// joins or leaves the list moves only the lookups of that cache.
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
