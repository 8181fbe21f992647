package policy

import (
	"fmt"
	"slices"
)

const (
	errorsToAvoid = 3 // number of consecutive errors after which lookups move to another cache
	// errorsToEject is the number of consecutive errors that ejects a cache. A cache that fails one attempt in four
	// hardly reaches it by chance.
	errorsToEject = 10

	latencySamples = 10 // number of latest samples in the mean latency of a cache
	probeInterval  = 1 * second
	probeMaxWork   = 1.5 // largest transfer time of a probe, in multiples of the mean of its object kind

	// A cache is ejected as slow if its mean latency exceeds slowMultiple times the mean of the other
	// caches of its group and also exceeds that mean by a floor. The floor is slowFirstByteFloor for
	// latency to the first byte, otherwise slowBudgetShare of the latency budget.
	slowMultiple       = 3.0
	slowFirstByteFloor = 250 * millisecond
	slowBudgetShare    = 0.1
)

// recordSuccess records a successful attempt and resets the failure counts of the cache. A successful probe
// readmits an ejected cache. If the cache may have restarted while it was ejected, it begins a slow start.
func (r *Router) recordSuccess(cache *Cache, attempt *Attempt) {
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

// countFailures ejects the cache if its number of consecutive failures of one kind
// has reached the limit. If the cache is ejected already, the failure delays its next
// probe, and slowness no longer counts as the only reason of the ejection.
func (r *Router) countFailures(cache *Cache, inRow, limit int, reason string) {
	if cache.ejected {
		cache.nextProbeAt = r.now + probeInterval
		cache.isOnlySlow = false
	} else if inRow >= limit {
		r.eject(cache, fmt.Sprintf("%s, %d in a row", reason, inRow))
	}
}

// eject removes a cache from routing except for probes. The time of the
// first probe is random, so that routers do not probe simultaneously.
func (r *Router) eject(cache *Cache, reason string) {
	cache.ejected = true
	cache.ejectedAt = r.now
	cache.isOnlySlow = false
	cache.nextProbeAt = r.now + probeInterval/2 + Micros(r.random.next()%uint32(probeInterval/2))
	r.logf("%s ejected: %s", cache.Name, reason)
}

// mayReceive reports whether the ejection state of a cache permits the lookup. An ejected cache gets
// one probe at a time, of at most probeMaxWork. A cache that was ejected only for its latency also gets
// every lookup that has no other usable edge cache, since a slow answer is better than none.
func (r *Router) mayReceive(cache *Cache, lookup *Lookup) bool {
	if !cache.ejected {
		return true
	}
	if cache.isOnlySlow && cache.overdueCount == 0 && !r.hasUsableEdge(lookup) {
		return true
	}
	return cache.probe == nil && r.now >= cache.nextProbeAt && float64(lookup.work) <= probeMaxWork*lookup.kind.meanWork(r.now)
}

// hasUsableEdge reports whether the lookup's scope allows at least one edge cache that is ready and not ejected.
func (r *Router) hasUsableEdge(lookup *Lookup) bool {
	return slices.ContainsFunc(r.edges, func(c *Cache) bool {
		return !c.ejected && c.State == Ready && lookup.scope.allowsEdge(c)
	})
}

// measuresLatency reports whether the latency of an attempt is a valid sample for its cache. This holds if the
// attempt was satisfied, or if it timed out or was cancelled after it was overdue, as happens at a slow cache.
func (r *Router) measuresLatency(attempt *Attempt, report AttemptReport) bool {
	if report.Outcome == OutcomeSatisfied {
		return true
	}
	return r.now >= attempt.overdueAt && (report.Outcome == OutcomeTimeout || report.Outcome == OutcomeCancelled)
}

// latencySample is one measured latency, in microseconds.
type latencySample struct {
	latency float64
	size    float64 // divisor of the latency: KB, or 1 for latency to the first byte
	floor   float64 // latency above the others' mean, to be divided by size, up to which a cache is not slow
}

// latencyWindow holds the latest latencySamples samples of a cache.
type latencyWindow struct {
	count   int // number of samples since the last reset
	latency [latencySamples]float64
	size    [latencySamples]float64
}

func (w *latencyWindow) add(sample latencySample) {
	i := w.count % latencySamples
	w.latency[i] = sample.latency
	w.size[i] = sample.size
	w.count++
}

// mean returns the latency per unit of size.
func (w *latencyWindow) mean() float64 {
	latency, size := 0.0, 0.0
	for i := range w.size {
		latency += w.latency[i]
		size += w.size[i]
	}
	return latency / max(size, 1)
}

// recordLatency adds a latency sample of a cache. It ejects the cache if it is slow compared with
// the other caches of its group, unless more than half of the group would then be ejected.
func (r *Router) recordLatency(cache *Cache, group []*Cache, sample latencySample) {
	cache.latency.add(sample)
	if cache.latency.count < latencySamples || cache.ejected {
		return
	}
	others, measured := 0.0, 0.0 // mean latency of the other caches that have samples, and their number
	ejected := 1                 // number of ejected caches, including this one
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
