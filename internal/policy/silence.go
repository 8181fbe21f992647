package policy

import "fmt"

const (
	silentAttempts   = 2 // overdue attempts without a fill that eject a cache
	silentFills      = 3 // overdue fills that eject a parent, if they are more than two thirds of all
	overdueFillGrace = 200 * millisecond
)

// ejectSilent tells silent caches from slow ones, ejects them and cancels the attempts that are stuck there. A full link makes fills late:
// while a cache owes answers, lookups ask for its copy alone (mustLookFirst), and silentAttempts of these unanswered eject it. A parent is
// ejected for silentFills, while others answer and owe few.
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

// countOverdue counts for each cache the attempts that it owes an answer. It returns the fills that all parents owe.
func (r *Router) countOverdue() (overdueFills int) {
	newestFill := Micros(0) // of any parent
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
		case edge.lastSuccessAt < attempt.startedAt: // silent since
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

// cancelStuckAttempts cancels the overdue attempts at ejected caches whose lookups have time left for another one.
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

// isStuckAt tells whether a cache is ejected and has been silent since the attempt started.
func (a *Attempt) isStuckAt(cache *Cache) bool {
	return cache.ejected && cache.lastSuccessAt < a.startedAt
}
