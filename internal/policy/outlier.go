package policy

import (
	"fmt"
	"slices"
)

const (
	errorsToAvoid = 3  // in a row, after which lookups move on to another cache
	errorsToEject = 10 // in a row: chance makes as many nowhere that fails one attempt in four

	latencySamples = 10 // of a cache, over which its mean latency is taken
	probeInterval  = 1 * second
	probeMaxWork   = 1.5 // of the kind's mean transfer time, for a lookup that may be a probe

	// A cache is ejected as slow when its mean latency is past slowMultiple of the mean of the others of its group, and past that
	// mean by slowFirstByteFloor (latency to the first byte) or by slowBudgetShare of a latency budget (else).
	slowMultiple       = 3.0
	slowFirstByteFloor = 250 * millisecond
	slowBudgetShare    = 0.1
)

// noteSuccess notes a good answer. A good probe readmits an ejected cache; one that died begins its slow start then.
func (r *Router) noteSuccess(cache *Cache, attempt *Attempt) {
	cache.lastSuccessAt = r.now
	cache.failuresInRow = 0
	cache.errorsInRow = 0
	if cache.ejected && cache.probe == attempt {
		wasEjectedLong := r.now-cache.ejectedAt > coldAfterOutage
		if cache.restartsCold || cache.warmingSince == 0 && cache.Kind == r.settings.ParentKind && wasEjectedLong {
			cache.beginSlowStart(r.now, r.now)
		}
		cache.ejected = false
		cache.latency.count = 0
		r.logf("%s readmitted after %d us", cache.Name, r.now-cache.ejectedAt)
	}
	cache.restartsCold = cache.restartsCold && cache.ejected
}

// countFailures takes the number of failures of one sort in a row. Enough of them eject the cache; a failed probe puts off the next one.
func (r *Router) countFailures(cache *Cache, inRow, limit int, reason string) {
	if cache.ejected {
		cache.nextProbeAt = r.now + probeInterval
		cache.isOnlySlow = false
	} else if inRow >= limit {
		r.eject(cache, fmt.Sprintf("%s, %d in a row", reason, inRow))
	}
}

// eject puts a cache out of use but for probes, the first of them at a random time so that routers do not probe together.
func (r *Router) eject(cache *Cache, reason string) {
	cache.ejected = true
	cache.ejectedAt = r.now
	cache.isOnlySlow = false
	cache.nextProbeAt = r.now + probeInterval/2 + Micros(r.random.next()%uint32(probeInterval/2))
	r.logf("%s ejected: %s", cache.Name, reason)
}

// mayReceive tells whether ejection lets a cache have the lookup. An ejected cache gets one probe at a time, of no unusual size.
// One that is only slow gets any lookup that has no other edge cache to go to: better slow than none.
func (r *Router) mayReceive(cache *Cache, lookup *Lookup) bool {
	if !cache.ejected {
		return true
	}
	if cache.isOnlySlow && cache.overdueCount == 0 && !r.hasUsableEdge(lookup) {
		return true
	}
	return cache.probe == nil && r.now >= cache.nextProbeAt && float64(lookup.work) <= probeMaxWork*lookup.kind.meanWork(r.now)
}

// hasUsableEdge tells whether some edge cache is in use that the lookup's scope allows.
func (r *Router) hasUsableEdge(lookup *Lookup) bool {
	return slices.ContainsFunc(r.edges, func(c *Cache) bool {
		return !c.ejected && c.State == Ready && lookup.scope.allowsEdge(c)
	})
}

// measuresLatency tells whether an attempt's latency says something about its cache: it was answered, or it ended overdue without an answer,
// as the attempts of a slow cache do.
func (r *Router) measuresLatency(attempt *Attempt, report AttemptReport) bool {
	if report.Outcome == OutcomeSatisfied {
		return true
	}
	return r.now >= attempt.overdueAt && (report.Outcome == OutcomeTimeout || report.Outcome == OutcomeCancelled)
}

// latencySample is one measured latency, in microseconds.
type latencySample struct {
	latency float64
	size    float64 // what it is counted over: KB, or 1 for a first byte
	floor   float64 // a mean must exceed the others' by this, over size, to be slow
}

// latencyWindow holds the latest samples of a cache.
type latencyWindow struct {
	count   int // samples since it was emptied
	latency [latencySamples]float64
	size    [latencySamples]float64
}

func (w *latencyWindow) add(sample latencySample) {
	i := w.count % latencySamples
	w.latency[i] = sample.latency
	w.size[i] = sample.size
	w.count++
}

// mean is the latency for each unit of size.
func (w *latencyWindow) mean() float64 {
	latency, size := 0.0, 0.0
	for i := range w.size {
		latency += w.latency[i]
		size += w.size[i]
	}
	return latency / max(size, 1)
}

// recordLatency adds a sample of a cache, and ejects the cache if it is slow beside the others of its group, while half of them are in use.
func (r *Router) recordLatency(cache *Cache, group []*Cache, sample latencySample) {
	cache.latency.add(sample)
	if cache.latency.count < latencySamples || cache.ejected {
		return
	}
	others, measured := 0.0, 0.0 // the others' mean; those without a sample count as average
	ejected := 1                 // with this one
	for _, other := range group {
		if other.ejected {
			ejected++
		}
		if other != cache && other.latency.count > 0 {
			others += other.latency.mean()
			measured++
		}
	}
	others /= max(measured, 1)
	mean := cache.latency.mean()
	isSlow := mean > max(slowMultiple*others, others+sample.floor/sample.size)
	if measured > 0 && 2*ejected <= len(group) && isSlow {
		r.eject(cache, fmt.Sprintf("slow, mean %.0f against %.0f", mean, others))
		cache.isOnlySlow = cache.Kind != r.settings.ParentKind
	}
}
