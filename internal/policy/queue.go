package policy

import (
	"cmp"
	"slices"
)

const (
	overloadQueueTime   = 40 * millisecond // of the oldest queued lookup, from which on there is overload
	overloadExitDivisor = 4                // part of that at which overload ends
	answerSlack         = 20 * millisecond // kept free at the end of a latency budget
	densityFloor        = 10 * millisecond // work that every lookup costs beside its transfer
	fillStretchFloor    = 100 * millisecond
)

// sendQueued sends queued lookups on, those with the most utility for their work first, and gives up those that are past helping.
func (r *Router) sendQueued() {
	queued := r.queued
	r.queued = nil
	r.updateOverload(queued)
	slices.SortStableFunc(queued, func(a, b *Lookup) int { return cmp.Compare(b.utilityDensity(), a.utilityDensity()) })
	zoneCapacity := r.edgeCapacity * float64(len(r.edges))
	workAhead := 0.0
	for _, lookup := range queued {
		slack := lookup.budgetEnd - r.now - answerSlack - lookup.kind.expectedLatency(r.now, lookup)
		isLate := slack < 0 || r.overloaded && workAhead > max(1, zoneCapacity)*float64(slack)
		// Before a miss is given up, a copy within its grace will do.
		lookup.acceptsStale = isLate && !lookup.acceptsStale && lookup.missedAt != nil && lookup.kind.StaleGrace > 0
		if isLate && !lookup.acceptsStale {
			r.giveUp(lookup)
			continue
		}
		r.routeLookup(lookup)
		if lookup.openAttempts == 0 {
			workAhead += float64(lookup.work)
		}
	}
}

// updateOverload begins and ends overload by the time that the oldest queued lookup has waited.
func (r *Router) updateOverload(queued []*Lookup) {
	longest := Micros(0)
	for _, lookup := range queued {
		longest = max(longest, r.now-lookup.arrivedAt)
	}
	if !r.overloaded && longest > overloadQueueTime || r.overloaded && longest < overloadQueueTime/overloadExitDivisor {
		r.overloaded = !r.overloaded
		r.logf("overload %v: oldest of %d queued waited %d us", r.overloaded, len(queued), longest)
	}
}

// expectedLatency is how long the answer will take: of a fill the wait for its source, whatever the size, and its transfer, stretched as
// those of recent fills.
func (k *kindState) expectedLatency(now Micros, lookup *Lookup) Micros {
	if lookup.missedAt == nil {
		return lookup.work
	}
	latency, work, wait := k.fillLatency.read(now), k.fillWork.read(now), k.fillWait.read(now)
	stretch := max(1, (latency-wait+float64(fillStretchFloor))/(work+float64(fillStretchFloor)))
	return Micros(wait/(k.fillCount.read(now)+1) + float64(lookup.work)*stretch)
}

// utilityDensity is the utility for each microsecond of work. A client's repeat most likely comes too late for more than the late share.
func (l *Lookup) utilityDensity() float64 {
	utility := l.kind.Utility
	if l.isRepeat {
		utility *= l.kind.LateUtilityShare
	}
	return utility / float64(l.work+densityFloor)
}
