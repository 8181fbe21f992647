package policy

import (
	"maps"
	"math"
)

const (
	countDecayInterval = 60 * second // time between two halvings of the lookup counts
	maxCounts          = 60000       // number of lookup counts above which they are halved early
	topSizeBand        = 6           // highest log2 of KB per lookup at which a copy gets the top rank
)

// chooseCaching sets the rank, the fetch mode and the maximum age of the copy.
// Every fill is cached under its rank. Recent purges lower the maximum age.
func (r *Router) chooseCaching(attempt *Attempt) stageResult {
	lookup := attempt.lookup
	if lookup.passThrough {
		return proceed
	}
	attempt.rank = lookup.cacheRank(r.lookupCounts[lookup.partHash])
	if r.settings.CoalescesFills && !lookup.avoidCoalescing {
		attempt.mode |= ModeCoalesce
	}
	attempt.maxAge = lookup.kind.MaxAge
	if attempt.maxAge > 0 {
		attempt.mode |= ModeRevalidate
		if lookup.acceptsStale {
			attempt.maxAge += lookup.kind.StaleGrace
		}
	}
	attempt.maxAge = r.boundByPurges(lookup, lookup.scope.limitAge(attempt.maxAge))
	return proceed
}

// boundByPurges enforces rule 5, which forbids copies older than a purge. It returns
// the maximum age of a copy, lowered to the time since the latest purge. The bound
// applies from the arrival of the purge until no cache can hold an older copy.
func (r *Router) boundByPurges(lookup *Lookup, maxAge Micros) Micros {
	purgedAt := max(r.purges[lookup.objectHash], r.purges[uint64(lookup.group)])
	sincePurge := max(millisecond, r.now-purgedAt)
	if purgedAt > 0 && sincePurge < r.settings.PurgeSettleTime+second && (maxAge == 0 || sincePurge < maxAge) {
		return sincePurge
	}
	return maxAge
}

// cacheRank returns the rank of a copy for a number of recent lookups. Ranks
// are the LRU-SP bands (log2 of size over count), merged into three.
func (l *Lookup) cacheRank(count float64) int {
	switch {
	case count < 2:
		return 1
	case math.Floor(math.Log2(max(l.sizeKB, 1)/count)) <= topSizeBand:
		return 3
	}
	return 2
}

// ApplyPurge records the purge of an object, or of a group if
// object is empty. The purge was issued age microseconds ago.
func (r *Router) ApplyPurge(now Micros, object string, group int, age Micros) {
	r.now = now
	key := uint64(group) // group numbers are far smaller than any hash
	if object != "" {
		key = hashString(object)
	}
	r.purges[key] = max(r.purges[key], now-age)
}

// decayCounts halves the lookup counts and deletes those that fall below one. It
// also deletes settled purges, because no cache can still hold an older copy.
func (r *Router) decayCounts() {
	r.nextDecayAt = r.now + countDecayInterval
	for part, count := range r.lookupCounts {
		r.lookupCounts[part] = count / 2
	}
	maps.DeleteFunc(r.lookupCounts, func(_ uint64, count float64) bool { return count < 1 })
	maps.DeleteFunc(r.purges, func(_ uint64, at Micros) bool { return r.now > at+r.settings.PurgeSettleTime+second })
}
