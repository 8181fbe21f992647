package policy

// Slow start enforces rule 4: what a cache that has just started may be sent. Work is transfer time at full pace, in microseconds.

const (
	coldAfterOutage = 3 * second // a parent ejected for longer may have restarted

	allowedShare        = 0.98 // of the rule's line
	maxCapacityMultiple = 2.0  // of what a cache likely bears within a window: more would only come late
	minBreakWindow      = 100 * millisecond

	// What a warm cache of the group carries shows what a cold one bears: surely sureShare of it. A weight that is a capacity counts with
	// listedShare.
	conservativeShare = 0.5
	listedWeightShare = 0.8

	// Where what is left of a budget is too small for a lookup, the lookup is admitted at random, with the probability that keeps the mean.
	randomAdmitMaxShare       = 0.35 // of what a parent bears, for the work of a lookup admitted so
	randomAdmitMinWorkShare   = 0.25 // of the lookup's work, that must be left,
	randomAdmitMinBudgetShare = 0.9  // or of the whole budget, if that is less

	// A cache whose transfers take more than slowTransferMultiple of their time at full pace is sent less, down to minSlowStartScale.
	slowTransferMultiple = 2.0
	minSlowStartScale    = 0.125
	paceFloor            = 10 * millisecond // work that every transfer costs beside its own
	maxScaleStep         = 0.5

	capacityTime = 2 * second // over which capacities are averaged
)

// beginSlowStart starts the slow start of a cache that started at an instant.
func (c *Cache) beginSlowStart(startedAt, now Micros) {
	c.warmingSince = startedAt
	c.slowStartScale = 1
	c.scaleUpdatedAt = now
	c.carriedWork = decayingSum{}
}

// slowStartShare is the share of its capacity that a cache surely has by now; 1 once it is warm.
func (r *Router) slowStartShare(cache *Cache) float64 {
	initial, duration := r.settings.SlowStartShare, r.settings.SlowStartTime
	if cache.Kind == r.settings.ParentKind {
		initial, duration = r.settings.ParentSlowStartShare, r.settings.ParentSlowStartTime
	}
	if cache.warmingSince == 0 || r.now >= cache.warmingSince+duration {
		cache.warmingSince = 0
		return 1
	}
	return initial + (1-initial)*float64(max(0, r.now-cache.warmingSince))/float64(duration)
}

// isWarmFor tells whether a cache has its part of the objects back by now. Objects return one by one, always the same ones first.
func (r *Router) isWarmFor(cache *Cache, partHash uint64) bool {
	return cache.warmingSince == 0 || float64(mixHash(partHash, cache.nameHash+1)>>40)/(1<<24) < r.slowStartShare(cache)
}

// admitSlowStart enforces rule 4 for this router's part of what a cache may be sent in any window. It tells whether the cache, if it is
// in its slow start, may be sent so much work, and charges its budget; the attempt notes the charge.
func (r *Router) admitSlowStart(attempt *Attempt, cache *Cache, work float64) bool {
	share := r.slowStartShare(cache)
	attempt.slowStartCharge = 0
	if cache.warmingSince == 0 {
		return true
	}
	budget := r.slowStartBudget(cache, share)
	window := r.breakWindow()
	left := budget.total*budget.routerShare - cache.slowStartSent.read(r.now, window)
	attempt.slowStartCharge = min(left, work)
	if left >= work {
		cache.slowStartSent.add(r.now, window, work)
		return true
	}
	// Admission at random keeps the mean where the budget of each of many routers is small. Not with crumbs, which would leave all to chance; and at a
	// parent not for a fill that a few routers with luck at once would break it with. An edge cache has no substitute for what it holds.
	isTooLittle := left < min(randomAdmitMinWorkShare*work, randomAdmitMinBudgetShare*budget.total*budget.routerShare)
	couldBreakParent := cache.Kind == r.settings.ParentKind && work > randomAdmitMaxShare*budget.breakMultiple*budget.capacity
	if isTooLittle || couldBreakParent {
		return false
	}
	cache.slowStartSent.add(r.now, window, left)
	return float64(r.random.next())/(1<<32) < left/work
}

// slowStartBudget is the work that a cache in its slow start may be sent within a window.
type slowStartBudget struct {
	total         float64 // by all routers
	routerShare   float64 // of the total, for this router
	capacity      float64 // work that the cache bears
	breakMultiple float64 // of that, at which it breaks
}

// slowStartBudget works out the budget of a cache that has a share of its capacity. The capacity is likely what the list says, else what warm
// caches of its group carry for this router, times the routers. It is surely a part of that, what the cache was seen to carry, or one transfer.
func (r *Router) slowStartBudget(cache *Cache, share float64) slowStartBudget {
	carried, multiple, routerShare := r.edgeCapacity, r.settings.BreakMultiple, 1/r.zoneRouterCount()
	if cache.Kind == r.settings.ParentKind {
		carried, multiple, routerShare = r.parentCapacity, r.settings.ParentBreakMultiple, 1/r.routerCount()
	}
	likely, conservative := carried/routerShare, conservativeShare*carried/routerShare
	if r.settings.WeightIsCapacity {
		likely, conservative = listedWeightShare*cache.Weight, listedWeightShare*cache.Weight
	}
	window := float64(r.breakWindow())
	observed := cache.carriedWork.rate(r.now) / routerShare
	capacity := max(share*max(1, conservative), observed) * window
	total := min(allowedShare*multiple*capacity, maxCapacityMultiple*max(share*likely*window, capacity)) * cache.slowStartScale
	return slowStartBudget{total: total, routerShare: routerShare, capacity: capacity, breakMultiple: multiple}
}

// breakWindow is the window over which rule 4 counts.
func (r *Router) breakWindow() Micros { return max(r.settings.BreakWindow, minBreakWindow) }

// observePace learns from a transfer of a cache in its slow start. A slow one shows a link that is shared by more than it carries, to all
// routers alike: the scale moves with time, so that a router that sees few transfers learns as fast as the others.
func (r *Router) observePace(cache *Cache, latency, work Micros) {
	if cache.warmingSince == 0 {
		return
	}
	step := min(1, 2*float64(r.now-cache.scaleUpdatedAt)/float64(r.breakWindow()))
	pace := float64(latency) / float64(work+paceFloor)
	scale := cache.slowStartScale * (1 + step*min(maxScaleStep, max(-maxScaleStep, slowTransferMultiple-pace)))
	cache.slowStartScale = min(1, max(minSlowStartScale, scale))
	cache.scaleUpdatedAt = r.now
}

// observeCapacity follows the mean of what the warm caches of a group carry for this router.
func (r *Router) observeCapacity(group []*Cache, mean *float64) {
	carried, count := 0.0, 0.0
	for _, c := range group {
		if c.warmingSince == 0 && !c.ejected {
			carried += c.carriedWork.rate(r.now)
			count++
		}
	}
	if count > 0 {
		*mean += (carried/count - *mean) * float64(sweepInterval) / float64(capacityTime)
	}
}
