package policy

const (
	// rejectedPause is the delay before the next attempt of a lookup after the rejection of an attempt that has a source
	// for its fill.
	rejectedPause = 30 * millisecond
	// maxFillFailures is the number of consecutive failed fills that ejects a parent.
	maxFillFailures = 3
)

// chooseSource sets the source from which a miss is filled. This is the first usable parent in the rendezvous order of
// the object, or the origin if no parent is usable. A pass-through lookup uses the origin directly, because parents cache
// nothing for it and would only add latency. If the edge cache must first get an attempt without a fill, it is set as the
// source itself. The lookup may be queued while fills are limited.
func (r *Router) chooseSource(attempt *Attempt) stageResult {
	lookup := attempt.lookup
	fillsLimited := r.fills.limitedUntil > r.now
	if r.mustCheckCacheFirst(attempt, fillsLimited) {
		if lookup.missedAt == nil || lookup.acceptsStale {
			attempt.source = attempt.edge
			if !fillsLimited {
				// Without coalescing, the cache reports a miss at once instead of waiting for an open fill. This
				// shows that a cache with overdue fills is alive.
				attempt.mode &^= ModeCoalesce
			}
			return proceed
		}
		if fillsLimited && !r.fills.allow(r.now, r.countOpenFills(r.openAttempts)) {
			return holdLookup
		}
	}
	attempt.source = r.fillSource(attempt)
	return proceed
}

// mustCheckCacheFirst reports whether the edge cache must get an attempt without a fill before a fill starts. This
// holds while fills are limited, so that hits are still served, while the cache has overdue attempts, and for a lookup
// that accepts a stale copy. The limit of fills does not require it at a cache in slow start. There, rule 4 (the limit
// on the load of warming caches) counts such an attempt as much as the fill that follows it, and most of them miss.
func (r *Router) mustCheckCacheFirst(attempt *Attempt, fillsLimited bool) bool {
	lookup, edge := attempt.lookup, attempt.edge
	if lookup.passThrough {
		return false
	}
	return fillsLimited && edge.warmingSince == 0 || edge.overdueCount > 0 || lookup.acceptsStale
}

// fillSource returns the source of an attempt's fill. If neither a parent nor the
// origin is usable, it returns the edge cache, and the miss is not filled.
func (r *Router) fillSource(attempt *Attempt) *Cache {
	lookup := attempt.lookup
	originReady := r.origin != nil && r.origin.State == Ready
	straightToOrigin := lookup.passThrough && originReady && lookup.scope.allowsSource(r.origin)
	for _, parent := range r.rendezvousOrder(lookup.objectHash, r.parents) {
		isCandidate := !straightToOrigin &&
			parent.State == Ready &&
			parent != lookup.failedParent &&
			r.mayReceive(parent, lookup) &&
			lookup.scope.allowsSource(parent)
		if isCandidate && r.admitSlowStart(attempt, parent, float64(lookup.work)) {
			return parent
		}
	}
	if originReady {
		return r.origin
	}
	return attempt.edge
}

// observeSourceOutcome updates the state of the source and of the fill limit when an attempt ends.
func (r *Router) observeSourceOutcome(attempt *Attempt, report AttemptReport) {
	lookup, source := attempt.lookup, attempt.source
	if source == attempt.edge {
		if report.Outcome == OutcomeMiss {
			lookup.missedAt = attempt.edge
		}
		return
	}
	r.observeFill(attempt, report)
	if report.Outcome == OutcomeRejected {
		lookup.notBefore = r.now + rejectedPause
	}
	if source != r.origin {
		r.observeParentOutcome(attempt, report)
	}
}

// observeParentOutcome updates the latency, the failures and the
// slow start of the parent that was the source of an attempt.
func (r *Router) observeParentOutcome(attempt *Attempt, report AttemptReport) {
	lookup, parent := attempt.lookup, attempt.source
	isFilled := report.Outcome == OutcomeSatisfied && report.isFill()
	if report.isHit() { // the parent got no fill, so its charge is refunded
		parent.slowStartSent.subtract(attempt.startedAt, r.now, r.breakWindow(), attempt.slowStartCharge)
	}
	// If reports do not distinguish hits from fills, all attempts with this source count, including hits.
	if r.measuresLatency(attempt, report) && (isFilled || !r.settings.ReportsHits) {
		r.recordLatency(parent, r.parents, r.fillSample(lookup, report))
	}
	switch {
	case isFilled:
		r.recordSuccess(parent, attempt)
		r.observePace(parent, report.Latency-report.SourceWait, lookup.work)
		parent.carriedWork.add(r.now, float64(min(lookup.work, report.Latency)))
	case report.Detail == DetailSourceRefused || report.Detail == DetailSourceBroke:
		parent.restartsCold = parent.restartsCold || report.Detail == DetailSourceBroke
		parent.failuresInRow++
		r.countFailures(parent, parent.failuresInRow, maxFillFailures, "fills fail")
		lookup.failedParent, lookup.avoidCoalescing = parent, true
	case mayBeParentFault(parent, report):
		lookup.failedParent, lookup.avoidCoalescing = parent, true
		if parent.probe == attempt && report.Outcome == OutcomeCancelled {
			r.countFailures(parent, 1, 1, "probe failed")
		}
	}
}

// mayBeParentFault reports whether either the edge cache or the parent may have caused the
// failure. The next attempt then avoids the parent and does not join a fill in progress.
func mayBeParentFault(parent *Cache, report AttemptReport) bool {
	return report.isUnexplained(OutcomeRejected) ||
		report.isUnexplained(OutcomeError) ||
		report.Outcome == OutcomeMiss ||
		report.Outcome == OutcomeCancelled && parent.ejected
}

// fillSample returns a latency sample of a parent: the time to the
// first byte if caches report it, otherwise the latency per KB.
func (r *Router) fillSample(lookup *Lookup, report AttemptReport) latencySample {
	if r.settings.ReportsFirstByte {
		return latencySample{latency: float64(report.SourceWait), size: 1, floor: float64(slowFirstByteFloor)}
	}
	return latencySample{
		latency: float64(report.Latency),
		size:    max(lookup.sizeKB, 1),
		floor:   slowBudgetShare * float64(lookup.latencyBudget()),
	}
}
