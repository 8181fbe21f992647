package policy

// This file enforces rule 4, which limits the load admitted to a cache during slow
// start. Load is measured as work: transfer time at full pace, in microseconds.

const (
	coldAfterOutage = 3 * second // a parent that was ejected for longer may have restarted

	allowedShare        = 0.98 // share of the limit of rule 4 that the routers use
	maxCapacityMultiple = 2.0  // budget limit as a multiple of the likely capacity; more would only be answered late
	minBreakWindow      = 100 * millisecond

	// The load of the warm caches of a group is an estimate of the capacity of a cold one. The conservative estimate is
	// conservativeShare of it. If endpoint weights are capacities, both estimates are listedWeightShare of the weight.
	conservativeShare = 0.5
	listedWeightShare = 0.8

	// If the remaining budget is smaller than the work of a lookup, the lookup is admitted at random. The probability
	// is the remaining budget divided by the work, so that the mean of the admitted work equals the remaining budget.
	// The lookup is not admitted if the remaining budget is below both minimums.
	randomAdmitMaxShare       = 0.35 // largest work of such a lookup at a parent, as a share of the work that breaks it
	randomAdmitMinWorkShare   = 0.25 // first minimum of the remaining budget, as a share of the lookup's work
	randomAdmitMinBudgetShare = 0.9  // second minimum, as a share of this router's whole budget

	// The budget of a cache shrinks, down to minSlowStartScale, while its transfers
	// take more than slowTransferMultiple times their duration at full pace.
	slowTransferMultiple = 2.0
	minSlowStartScale    = 0.125
	paceFloor            = 10 * millisecond // fixed work of each transfer in addition to its size
	maxScaleStep         = 0.5              // largest relative change of the scale of the budget in one step

	capacityTime = 2 * second // averaging time of the capacities of warm caches
)

// beginSlowStart begins the slow start of a cache that started at startedAt.
func (c *Cache) beginSlowStart(startedAt, now Micros) {
	c.warmingSince = startedAt
	c.slowStartScale = 1
	c.scaleUpdatedAt = now
	c.carriedWork = decayingSum{}
}

// slowStartShare returns the guaranteed share of its full capacity that a cache has reached in its slow start. It
// returns 1 for a warm cache. If the time of the slow start has passed, it marks the cache as warm.
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

// isWarmFor reports whether a part may be routed to a cache. A warm cache gets every part. During a slow start, parts
// return to the cache one by one as slowStartShare grows. Their order is the same in every slow start of the cache.
func (r *Router) isWarmFor(cache *Cache, partHash uint64) bool {
	return cache.warmingSince == 0 || float64(mixHash(partHash, cache.nameHash+1)>>40)/(1<<24) < r.slowStartShare(cache)
}

// admitSlowStart enforces rule 4 (the limit on the load of warming caches) for this router's share of the
// budget in any break window. It reports whether the cache admits the work. A warm cache admits all work. A cache
// in slow start admits work within its remaining budget. Work that exceeds the remaining budget may be admitted at
// random. admitSlowStart charges the budget and stores the charge in attempt.slowStartCharge.
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
	// Random admission keeps the mean of the admitted work when each of many routers has a small budget. It is
	// not used when the remaining budget is very small, because nearly all admissions would then be left to
	// chance. Nor is it used at a parent for a large fill, because a few routers that admit one at the same time
	// would break the parent. Edge caches have no such limit, as no other cache holds their copies.
	isTooLittle := left < min(randomAdmitMinWorkShare*work, randomAdmitMinBudgetShare*budget.total*budget.routerShare)
	couldBreakParent := cache.Kind == r.settings.ParentKind && work > randomAdmitMaxShare*budget.breakMultiple*budget.capacity
	if isTooLittle || couldBreakParent {
		return false
	}
	cache.slowStartSent.add(r.now, window, left)
	return float64(r.random.next())/(1<<32) < left/work
}

// slowStartBudget is the work that may be sent to a cache in slow start within a break window.
type slowStartBudget struct {
	total         float64 // work from all routers
	routerShare   float64 // share of the total for this router
	capacity      float64 // conservative estimate of the work that the cache can transfer
	breakMultiple float64 // multiple of the capacity above which the cache breaks
}

// slowStartBudget returns the budget of a cache that has reached a share of its full capacity. It uses a likely and
// a conservative estimate of the full capacity. If weights are capacities, both are derived from the endpoint
// weight. Otherwise the likely estimate is the mean load that a warm cache of the group carries for this router,
// multiplied by the number of routers, and the conservative estimate is conservativeShare of it. The conservative
// estimate is at least one transfer. The capacity that the cache has reached is its share of the conservative
// estimate, but at least the load that it has recently carried for this router, multiplied by the number of routers.
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

// breakWindow returns the length of the window over which rule 4 sums the work sent to a warming cache.
func (r *Router) breakWindow() Micros { return max(r.settings.BreakWindow, minBreakWindow) }

// observePace adjusts the budget scale of a cache in slow start after a transfer. A slow transfer shows
// that the link of the cache is saturated, and every router sees this. The size of a step depends on the
// time since the last one, so that a router with few transfers adapts as fast as the others.
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

// observeCapacity updates the moving average of the load that a warm cache of a group carries for this router.
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
