package policy

import "fmt"

const (
	// silentAttempts is the number of overdue attempts that ejects a cache. Only attempts without a fill and
	// pass-through attempts count.
	silentAttempts = 2
	// silentFills is the number of overdue fills that ejects a parent, if it has more than two thirds
	// of all overdue fills.
	silentFills      = 3
	overdueFillGrace = 200 * millisecond // an overdue fill counts against its parent only after this additional time
)

// ejectSilent ejects caches that do not answer and cancels the attempts that are stuck there. A late fill alone
// does not eject an edge cache, because a saturated link delays fills too. While a cache has overdue attempts,
// lookups first send it an attempt without a fill (mustCheckCacheFirst). The cache is ejected once silentAttempts of
// these attempts are overdue. Overdue pass-through attempts count as well. A parent is ejected after silentFills
// overdue fills, each of which started before another parent last completed a fill. These must also be more than two
// thirds of all overdue fills.
func (r *Router) ejectSilent() {
	overdueFills := r.countOverdue()
	for _, cache := range r.caches {
		isSilentParent := cache.Kind == r.settings.ParentKind &&
			cache.overdueCount >= silentFills && 3*cache.overdueCount > 2*overdueFills
		if !cache.ejected && (cache.overdueNoFill >= silentAttempts || isSilentParent) {
			r.eject(cache, fmt.Sprintf("silent, %d overdue", cache.overdueCount))
		}
	}
	r.cancelStuckAttempts()
}

// countOverdue updates the number of overdue attempts of each
// cache. It returns the number of overdue fills at all parents.
func (r *Router) countOverdue() (overdueFills int) {
	newestFill := Micros(0) // instant of the latest successful fill from any parent
	for _, cache := range r.caches {
		cache.overdueCount = 0
		cache.overdueNoFill = 0
		if cache.Kind == r.settings.ParentKind {
			newestFill = max(newestFill, cache.lastSuccessAt)
		}
	}
	for _, attempt := range r.openAttempts {
		edge, source := attempt.edge, attempt.source
		switch {
		case r.now < attempt.overdueAt:
		case edge.lastSuccessAt < attempt.startedAt: // no answer since the attempt started
			edge.overdueCount++
			if source == edge || attempt.lookup.passThrough {
				edge.overdueNoFill++
			}
		case source.Kind == r.settings.ParentKind && source.lastSuccessAt < attempt.startedAt && r.now > attempt.overdueAt+overdueFillGrace:
			overdueFills++
			if newestFill >= attempt.startedAt {
				source.overdueCount++
			}
		}
	}
	return overdueFills
}

// cancelStuckAttempts cancels overdue attempts of idempotent lookups that are stuck at an ejected edge cache or source.
// It does so only if the lookup has time for another attempt and has not reached the maximum number of attempts.
func (r *Router) cancelStuckAttempts() {
	for _, attempt := range r.openAttempts {
		lookup := attempt.lookup
		isStuck := attempt.isStuckAt(attempt.edge) || attempt.isStuckAt(attempt.source)
		hasTime := lookup.deadline-r.now > lookup.work && len(lookup.attempts) < r.settings.MaxAttempts
		if isStuck && r.now >= attempt.overdueAt && hasTime && lookup.kind.Effect == Idempotent {
			r.cancelAttempt(attempt)
		}
	}
}

// isStuckAt reports whether a cache is ejected and has not answered as a working cache since the attempt started.
func (a *Attempt) isStuckAt(cache *Cache) bool {
	return cache.ejected && cache.lastSuccessAt < a.startedAt
}
