// Load shedding: which held lookup goes first, and which is given up.

package policy

import (
	"cmp"
	"slices"
)

const overloadQueueTime = 40 * millisecond // the oldest held lookup has waited this long: overload

// sendQueued sends on held lookups, most utility for their work first, and gives up at once those past helping.
func (r *Router) sendQueued() {
	held, oldest, ahead, rate := r.queued, Micros(0), 0.0, r.edgeCapacity*float64(len(r.edges))
	r.queued = nil
	for _, lk := range held {
		oldest = max(oldest, r.now-lk.arrivedAt)
	}
	if !r.overloaded && oldest > overloadQueueTime || r.overloaded && oldest < overloadQueueTime/4 {
		r.overloaded = !r.overloaded
		r.logf("overload %v: oldest of %d held waited %d us", r.overloaded, len(held), oldest)
	}
	slices.SortStableFunc(held, func(a, b *Lookup) int { return cmp.Compare(b.utilityDensity(), a.utilityDensity()) })
	for _, lk := range held {
		slack := lk.budgetEnd - r.now - 20*millisecond - lk.kind.expectedLatency(r.now, lk)
		late := slack < 0 || r.overloaded && ahead > max(1, rate)*float64(slack)
		// Guards against slow sources: before a miss is given up, a copy within its grace will do.
		if lk.acceptsStale = late && !lk.acceptsStale && lk.missedAt != nil && lk.kind.StaleGrace > 0; late && !lk.acceptsStale {
			r.giveUp(lk)
		} else if r.routeLookup(lk); lk.openAttempts == 0 {
			ahead += float64(lk.work)
		}
	}
}

// expectedLatency is how long the answer will take: for a fill the wait for the source, whatever the size, and as
// much more than its sending time as fills of late.
func (k *kindState) expectedLatency(now Micros, lk *Lookup) Micros {
	if lk.missedAt == nil {
		return lk.work
	}
	took, work, waited := k.fillLatency.read(now), k.fillWork.read(now), k.fillWait.read(now)
	stretch := max(1, (took-waited+float64(100*millisecond))/(work+float64(100*millisecond)))
	return Micros(waited/(k.fillCount.read(now)+1) + float64(lk.work)*stretch)
}

// latencyBudget is the latency budget as a time to take.
func (lk *Lookup) latencyBudget() Micros {
	return min(lk.kind.LatencyBudget+Micros(lk.kind.BudgetStretch*float64(lk.work)), lk.kind.Deadline)
}

// utilityDensity is utility for work; a client's repeat most likely comes too late for more than the late share.
func (lk *Lookup) utilityDensity() float64 {
	utility := lk.kind.Utility
	if lk.isRepeat {
		utility *= lk.kind.LateUtilityShare
	}
	return utility / float64(lk.work+10*millisecond)
}
