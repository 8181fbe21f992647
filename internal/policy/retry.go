package policy

import "slices"

const (
	// maxErrorAttempts is the number of attempts after which an unexplained error ends a lookup: no cache can serve it.
	maxErrorAttempts = 3
	// dedupMargin is kept free at the end of a deduplication window, for the way to the cache.
	dedupMargin = 50 * millisecond
)

// decideNext decides what follows the end of an attempt: nothing, a retry or the lookup's end.
func (r *Router) decideNext(attempt *Attempt, report AttemptReport) {
	lookup := attempt.lookup
	for _, c := range []*Cache{attempt.edge, attempt.source} {
		if c.probe == attempt {
			c.probe = nil
		}
	}
	if !report.Outcome.NeverRan() && lookup.firstRunOn == nil {
		lookup.firstRunOn = attempt.edge
		lookup.firstRunAt = attempt.startedAt
	}
	mustNotRepeat := lookup.firstRunOn != nil && lookup.kind.Effect == SideEffecting
	switch {
	case report.Outcome == OutcomeSatisfied || lookup.ended:
		r.finishLookup(lookup)
	case mustNotRepeat || lookup.acceptsStale:
		r.giveUp(lookup)
	case report.isUnexplained(OutcomeError) && len(lookup.attempts) >= maxErrorAttempts:
		r.giveUp(lookup)
	case lookup.openAttempts == 0:
		r.routeLookup(lookup)
	}
}

// mayRunOn enforces rule 2: it tells whether a cache may get the lookup while maxOpen attempts are open. An attempt asks when it is
// decided, and again with its first byte, as its connection may come late.
func (r *Router) mayRunOn(lookup *Lookup, cache *Cache, maxOpen int) bool {
	if lookup.openAttempts > maxOpen {
		return false
	}
	if lookup.firstRunOn == nil || lookup.kind.Effect == Idempotent {
		return true
	}
	return lookup.kind.Effect == Deduplicated &&
		r.now <= lookup.firstRunAt+lookup.kind.DedupWindow-dedupMargin &&
		lookup.kind.DedupScope.covers(lookup.firstRunOn, cache)
}

// covers tells whether b recognizes the deduplicated lookups of a.
func (s DedupScope) covers(a, b *Cache) bool {
	return s == AllCaches || a.Zone == b.Zone && (s == SameZone || a.Cell == b.Cell)
}

// giveUp ends a lookup at once: rejected where rule 2 allows its client to repeat it, else failed.
func (r *Router) giveUp(lookup *Lookup) {
	if lookup.isSafeToRepeat() {
		r.executor.Reject(lookup, r.settings.MaxRetryAfter)
	} else {
		r.executor.Fail(lookup)
	}
	r.finishLookup(lookup)
}

// isSafeToRepeat enforces rule 2: a repeat by the client, which comes until the deadline, is harmless.
func (l *Lookup) isSafeToRepeat() bool {
	switch {
	case l.kind.Effect == Idempotent:
		return true
	case l.firstRunOn == nil && l.openAttempts == 0:
		return true
	}
	return l.kind.Effect == Deduplicated && l.kind.DedupScope == AllCaches && l.arrivedAt+l.kind.DedupWindow >= l.deadline
}

// finishLookup closes a lookup and cancels the attempts that are still open for it.
func (r *Router) finishLookup(lookup *Lookup) {
	lookup.ended = true
	for _, attempt := range r.openAttempts {
		if attempt.lookup == lookup {
			r.cancelAttempt(attempt)
		}
	}
	r.queued = slices.DeleteFunc(r.queued, func(other *Lookup) bool { return other == lookup })
}
