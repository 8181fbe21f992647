package policy

const (
	// rejectedPause is the wait of a lookup whose fill was rejected.
	rejectedPause = 30 * millisecond
	// maxFillFailures is the number of fills in a row that fail before a parent is ejected.
	maxFillFailures = 3
)

// chooseSource names the source that a miss is filled from: the object's home among all listed parents, or the next one that is usable.
// What runs at the origin names the origin, as parents hold nothing of it and would cost it time.
func (r *Router) chooseSource(attempt *Attempt) stageResult {
	lookup := attempt.lookup
	fillsLimited := r.fills.limitedUntil > r.now
	if r.mustCheckCacheFirst(attempt, fillsLimited) {
		if lookup.missedAt == nil || lookup.acceptsStale {
			attempt.source = attempt.edge
			if !fillsLimited {
				attempt.mode &^= ModeCoalesce // a quick miss shows that a cache with overdue fills is alive
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

// mustCheckCacheFirst tells whether an edge cache is to be asked for its copy alone before a fill is started: while fills are limited, so that hits
// go on, or while the cache owes overdue answers. Not at a cache in its slow start, where such an attempt counts as much as the
// fill that follows it (rule 4), and most of them miss.
func (r *Router) mustCheckCacheFirst(attempt *Attempt, fillsLimited bool) bool {
	lookup, edge := attempt.lookup, attempt.edge
	if lookup.passThrough {
		return false
	}
	return fillsLimited && edge.warmingSince == 0 || edge.overdueCount > 0 || lookup.acceptsStale
}

// fillSource is the source of an attempt's fill. Where neither a parent nor the origin is usable it is the edge cache: no fill.
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

// noteSourceOutcome learns about the source of a fill, and about fills as a whole, from the end of an attempt.
func (r *Router) noteSourceOutcome(attempt *Attempt, report AttemptReport) {
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

// observeParentOutcome learns about a parent that an attempt named as its source.
func (r *Router) observeParentOutcome(attempt *Attempt, report AttemptReport) {
	lookup, parent := attempt.lookup, attempt.source
	isFilled := report.Outcome == OutcomeSatisfied && report.isFill()
	if report.isHit() { // no fill reached it
		parent.slowStartSent.subtract(attempt.startedAt, r.now, r.breakWindow(), attempt.slowStartCharge)
	}
	// Where reports don't tell fills, all attempts that named the parent count, hits among them.
	if r.measuresLatency(attempt, report) && (isFilled || !r.settings.ReportsHits) {
		r.recordLatency(parent, r.parents, r.fillSample(lookup, report))
	}
	switch {
	case isFilled:
		r.noteSuccess(parent, attempt)
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

// mayBeParentFault tells whether the cache or the parent may be at fault, so that the next attempt changes both.
func mayBeParentFault(parent *Cache, report AttemptReport) bool {
	return report.isUnexplained(OutcomeRejected) ||
		report.isUnexplained(OutcomeError) ||
		report.Outcome == OutcomeMiss ||
		report.Outcome == OutcomeCancelled && parent.ejected
}

// fillSample is a parent's latency: to its first byte where that is reported, else for each KB.
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
