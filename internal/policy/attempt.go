package policy

import "slices"

const (
	// overdueShare is the share of the latency budget after which an attempt is overdue.
	overdueShare = 0.75
	// silenceShare is the share of the latency budget after which a silent connection is suspected to be dead
	// (FetchRequest.SilenceTimeout).
	silenceShare = 0.5
)

// routeLookup passes a lookup through the stages, which start its next attempt, queue it or end it.
func (r *Router) routeLookup(lookup *Lookup) {
	attempt := &Attempt{lookup: lookup, number: len(lookup.attempts)}
	for _, stage := range r.stages {
		switch stage.decide(r, attempt) {
		case holdLookup:
			r.queued = append(r.queued, lookup)
			return
		case endLookup:
			return
		}
	}
}

// checkTime ends a lookup that has used up its attempts or whose remaining time is too short for a transfer. It
// queues a lookup whose next attempt has to wait.
func (r *Router) checkTime(attempt *Attempt) stageResult {
	lookup := attempt.lookup
	if len(lookup.attempts) >= r.settings.MaxAttempts || lookup.deadline-r.now <= max(lookup.work, 0) {
		r.giveUp(lookup)
		return endLookup
	}
	if r.now < lookup.notBefore {
		return holdLookup
	}
	return proceed
}

// startAttempt starts the attempt that the earlier stages have filled in. If the retry budget of the lookup's scope
// does not allow a retry, the lookup is given up instead.
func (r *Router) startAttempt(attempt *Attempt) stageResult {
	lookup := attempt.lookup
	if len(lookup.attempts) > 0 && !lookup.scope.allowsRetry() {
		r.giveUp(lookup)
		return endLookup
	}
	attempt.startedAt = r.now
	for _, c := range []*Cache{attempt.edge, attempt.source} {
		if c.ejected {
			c.probe = attempt
		}
	}
	budget := float64(lookup.latencyBudget())
	attempt.overdueAt = r.now + Micros(overdueShare*budget)
	lookup.attempts = append(lookup.attempts, attempt)
	lookup.openAttempts++
	attempt.edge.openCount++
	attempt.edge.attempts = append(attempt.edge.attempts, attempt)
	r.openAttempts = append(r.openAttempts, attempt)
	r.executor.Fetch(lookup, FetchRequest{
		Cache:          attempt.edge,
		Source:         attempt.source,
		Rank:           attempt.rank,
		Mode:           attempt.mode,
		Timeout:        lookup.deadline - r.now,
		SilenceTimeout: Micros(silenceShare * budget),
		MaxAge:         attempt.maxAge,
	})
	return proceed
}

// closeAttempt removes an ended attempt from the lists of open attempts and adds the work of a satisfied one to the
// load of its edge cache.
func (r *Router) closeAttempt(attempt *Attempt, report AttemptReport) {
	attempt.lookup.openAttempts--
	isEnded := func(other *Attempt) bool { return other == attempt }
	r.openAttempts = slices.DeleteFunc(r.openAttempts, isEnded)
	attempt.edge.attempts = slices.DeleteFunc(attempt.edge.attempts, isEnded)
	if report.Outcome == OutcomeSatisfied {
		// The transfer is shorter than the lookup's size suggests if the client already holds a copy.
		attempt.edge.carriedWork.add(r.now, float64(min(attempt.lookup.work, report.Latency)))
	}
}

// cancelAttempt cancels an attempt if the deployment supports cancellation. The lookup's next step is decided when
// the end of the attempt is reported.
func (r *Router) cancelAttempt(attempt *Attempt) {
	if !attempt.cancelled && r.settings.CanCancel {
		attempt.cancelled = true
		r.executor.CancelAttempt(attempt.lookup, attempt.number)
	}
}
