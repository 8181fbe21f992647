package policy

import (
	"cmp"
	"slices"
)

const (
	overloadQueueTime   = 40 * millisecond // queue time of the oldest lookup above which the router is overloaded
	overloadExitDivisor = 4                // overload ends below overloadQueueTime divided by this
	answerSlack         = 20 * millisecond // reserve at the end of a latency budget
	densityFloor        = 10 * millisecond // fixed work of each lookup in addition to its transfer
	// fillStretchFloor is added to both terms of the stretch ratio, so that few or small fills give a ratio of about 1.
	fillStretchFloor = 100 * millisecond
)

// sendQueued routes the queued lookups in descending order of utility
// density. It gives up lookups that can no longer be answered in time.
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
		// Before a miss is given up, one attempt accepts a stale copy within its grace period.
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

// updateOverload enters or leaves overload according to the age of the oldest queued lookup.
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

// expectedLatency returns the expected time to the answer. For a hit this is the transfer
// time. For a fill it is the mean wait for the first byte of the source, which does not
// depend on the size, plus the transfer time multiplied by the stretch of recent fills.
func (k *kindState) expectedLatency(now Micros, lookup *Lookup) Micros {
	if lookup.missedAt == nil {
		return lookup.work
	}
	latency, work, wait := k.fillLatency.read(now), k.fillWork.read(now), k.fillWait.read(now)
	stretch := max(1, (latency-wait+float64(fillStretchFloor))/(work+float64(fillStretchFloor)))
	return Micros(wait/(k.fillCount.read(now)+1) + float64(lookup.work)*stretch)
}

// utilityDensity returns the utility per microsecond of work. The answer to a client's repeated request most
// likely exceeds the latency budget, so a repeat counts with the share of the utility for late answers.
func (l *Lookup) utilityDensity() float64 {
	utility := l.kind.Utility
	if l.isRepeat {
		utility *= l.kind.LateUtilityShare
	}
	return utility / float64(l.work+densityFloor)
}
