package policy

import "slices"

const (
	// maxErrorAttempts is the number of attempts after which an unexplained error ends a lookup. Such a lookup is
	// likely to fail at every cache.
	maxErrorAttempts = 3
	// dedupMargin is reserved at the end of a deduplication window for the request's transit to the cache.
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

// mayRunOn enforces rule 2, which forbids concurrent attempts and repeated side effects. It reports whether a cache
// may receive the lookup, provided that at most maxOpen attempts of it are open. It is called when an attempt is
// decided, and again before the first byte is sent, because the attempt may have waited for its connection.
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

// covers reports whether cache b recognizes a deduplicated lookup that ran on cache a.
func (s DedupScope) covers(a, b *Cache) bool {
	return s == AllCaches || a.Zone == b.Zone && (s == SameZone || a.Cell == b.Cell)
}

// giveUp ends a lookup immediately. The lookup is rejected if a repeat by its client is safe under rule 2, which
// forbids repeated side effects; otherwise it fails.
func (r *Router) giveUp(lookup *Lookup) {
	if lookup.isSafeToRepeat() {
		r.executor.Reject(lookup, r.settings.MaxRetryAfter)
	} else {
		r.executor.Fail(lookup)
	}
	r.finishLookup(lookup)
}

// isSafeToRepeat reports whether the client may repeat the lookup at any time until its deadline without breaking
// rule 2, which forbids repeated side effects.
func (l *Lookup) isSafeToRepeat() bool {
	switch {
	case l.kind.Effect == Idempotent:
		return true
	case l.firstRunOn == nil && l.openAttempts == 0:
		return true
	}
	return l.kind.Effect == Deduplicated && l.kind.DedupScope == AllCaches && l.arrivedAt+l.kind.DedupWindow >= l.deadline
}

// finishLookup marks a lookup as ended, cancels its open attempts and removes it from the queue.
func (r *Router) finishLookup(lookup *Lookup) {
	lookup.ended = true
	for _, attempt := range r.openAttempts {
		if attempt.lookup == lookup {
			r.cancelAttempt(attempt)
		}
	}
	r.queued = slices.DeleteFunc(r.queued, func(other *Lookup) bool { return other == lookup })
}
