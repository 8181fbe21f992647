package policy

import (
	"maps"
	"math"
)

const (
	countDecayInterval = 60 * second // lookup counts halve
	maxCounts          = 60000       // lookup counts past which they halve early
	topSizeBand        = 6           // log2 of KB per lookup up to which a copy gets the top rank
)

// chooseCaching sets the rank, mode and age of the copy. Every fill is cached, by rank; purges bound the age.
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

// boundByPurges enforces rule 5: it lowers the age of a copy to exclude those from before a purge, from the purge's arrival on and until no
// such copy can be left.
func (r *Router) boundByPurges(lookup *Lookup, maxAge Micros) Micros {
	purgedAt := max(r.purges[lookup.objectHash], r.purges[uint64(lookup.group)])
	sincePurge := max(millisecond, r.now-purgedAt)
	if purgedAt > 0 && sincePurge < r.settings.PurgeSettleTime+second && (maxAge == 0 || sincePurge < maxAge) {
		return sincePurge
	}
	return maxAge
}

// cacheRank is the rank of a copy for a number of recent lookups: LRU-SP's bands by log2 of size over count, folded into three.
func (l *Lookup) cacheRank(count float64) int {
	switch {
	case count < 2:
		return 1
	case math.Floor(math.Log2(max(l.sizeKB, 1)/count)) <= topSizeBand:
		return 3
	}
	return 2
}

// ApplyPurge takes the purge of an object, or of a group where object is empty, that was made age ago.
func (r *Router) ApplyPurge(now Micros, object string, group int, age Micros) {
	r.now = now
	key := uint64(group) // far below any hash
	if object != "" {
		key = hashString(object)
	}
	r.purges[key] = max(r.purges[key], now-age)
}

// decayCounts halves the counts of lookups, and drops those below one and the purges that no copy can be older than.
func (r *Router) decayCounts() {
	r.nextDecayAt = r.now + countDecayInterval
	for part, count := range r.lookupCounts {
		r.lookupCounts[part] = count / 2
	}
	maps.DeleteFunc(r.lookupCounts, func(_ uint64, count float64) bool { return count < 1 })
	maps.DeleteFunc(r.purges, func(_ uint64, at Micros) bool { return r.now > at+r.settings.PurgeSettleTime+second })
}
