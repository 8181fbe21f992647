package policy

import "slices"

const (
	overdueShare = 0.75 // of its latency budget, after which an attempt is overdue
	silenceShare = 0.5  // of its latency budget, after which a silent connection is in doubt
)

// routeLookup brings a lookup through the stages to its next attempt.
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

// checkTime ends a lookup that no attempt can help any more.
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

// startAttempt starts the attempt that the earlier stages have drafted.
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

// closeAttempt removes an attempt that has ended from those that are open.
func (r *Router) closeAttempt(attempt *Attempt, report AttemptReport) {
	attempt.lookup.openAttempts--
	isEnded := func(other *Attempt) bool { return other == attempt }
	r.openAttempts = slices.DeleteFunc(r.openAttempts, isEnded)
	attempt.edge.attempts = slices.DeleteFunc(attempt.edge.attempts, isEnded)
	if report.Outcome == OutcomeSatisfied { // less than its size where the client holds a copy
		attempt.edge.carriedWork.add(r.now, float64(min(attempt.lookup.work, report.Latency)))
	}
}

// cancelAttempt stops waiting for an attempt; what follows is decided when its end is reported.
func (r *Router) cancelAttempt(attempt *Attempt) {
	if !attempt.cancelled && r.settings.CanCancel {
		attempt.cancelled = true
		r.executor.CancelAttempt(attempt.lookup, attempt.number)
	}
}
