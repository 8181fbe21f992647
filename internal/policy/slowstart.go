// Slow start: what a cache that started lately may be sent (rule 4).

package policy

const (
	coldAfterOutage     = 3 * second // a parent out for longer may have started anew
	stakeMaxShare       = 0.35       // of what a parent bears by the rule, for one fill that the budget is staked on
	stakeMinWorkShare   = 0.25       // of a lookup's work has to be left to be staked on it,
	stakeMinBudgetShare = 0.9        // or this part of a budget that is smaller

	allowedShare = 0.98 // of what the rule allows a cache of full scale in its span
	maxAtOnce    = 2.0  // of what a cold cache bears at least, in the rule's span: more would only come late

	sureShare            = 0.5   // of what warm ones of its group bear a cold cache surely bears this part
	listedShare          = 0.8   // of a link that the list tells
	slowTransferMultiple = 2.0   // while its transfers take more than this multiple of their sending time it is sent less,
	minSlowStartScale    = 0.125 // down to this part
)

// slowStartShare is how much of its link a cold cache surely has by now; 1 once warm.
func (r *Router) slowStartShare(c *Cache) float64 {
	from, span := r.settings.SlowStartShare, r.settings.SlowStartTime
	if c.Kind == r.settings.ParentKind {
		from, span = r.settings.ParentSlowStartShare, r.settings.ParentSlowStartTime
	}
	if c.warmingSince == 0 || r.now >= c.warmingSince+span {
		c.warmingSince = 0
		return 1
	}
	return from + (1-from)*float64(max(0, r.now-c.warmingSince))/float64(span)
}

// isWarmFor lets a warming cache's objects come home bit by bit, always the same ones first.
func (r *Router) isWarmFor(c *Cache, hash uint64) bool {
	return c.warmingSince == 0 || float64(mixHash(hash, c.nameHash+1)>>40)/(1<<24) < r.slowStartShare(c)
}

// admitSlowStart guards rule 4: this router's part of what a cold cache may be sent in any span of the rule.
// A link likely bears what is listed, else what warm ones of its group carry times the routers; it surely
// bears a part of that, what it was seen to carry itself, or one transfer. The send notes what it was charged.
func (r *Router) admitSlowStart(s *Attempt, c *Cache, work float64) bool {
	share := r.slowStartShare(c)
	if s.slowStartCharge = 0; c.warmingSince == 0 {
		return true
	}
	carried, multiple, part := r.edgeCapacity, r.settings.BreakMultiple, 1/r.zoneRouterCount()
	if c.Kind == r.settings.ParentKind {
		carried, multiple, part = r.parentCapacity, r.settings.ParentBreakMultiple, 1/r.routerCount()
	}
	likely, sure := carried/part, sureShare*carried/part
	if r.settings.WeightIsCapacity {
		likely, sure = listedShare*c.Weight, listedShare*c.Weight
	}
	span, own := r.breakWindow(), c.carriedWork.rate(r.now)/part
	bears := max(share*max(1, sure), own) * float64(span)
	most := min(allowedShare*multiple*bears, maxAtOnce*max(share*likely*float64(span), bears)) * c.slowStartScale
	left := most*part - c.slowStartSent.read(r.now, span)
	if s.slowStartCharge = min(left, work); left >= work {
		c.slowStartSent.add(r.now, span, work)
		return true
	}
	// What is left, where too small for this lookup, is staked on it, so that many routers together keep the
	// mean, but not in crumbs, which would make all of it chance; at a parent not on a fill that a few routers
	// with luck at once would push it over with. An edge has no other in its place for what it holds.
	if left < min(stakeMinWorkShare*work, stakeMinBudgetShare*most*part) ||
		c.Kind == r.settings.ParentKind && work > stakeMaxShare*multiple*bears {
		return false
	}
	c.slowStartSent.add(r.now, span, left)
	return float64(r.random.next())/(1<<32) < left/work
}

// breakWindow is the span that the rule counts over.
func (r *Router) breakWindow() Micros { return max(r.settings.BreakWindow, 100*millisecond) }

// beginSlowStart begins a slow start.
func (c *Cache) beginSlowStart(from, now Micros) {
	c.warmingSince, c.slowStartScale, c.scaleUpdatedAt, c.carriedWork = from, 1, now, decayingSum{}
}

// observePace learns from a transfer of a cold cache. A slow one shows a link shared by more than it carries,
// to every router alike; hence by time, so that a router that sees few learns as fast as the others.
func (r *Router) observePace(c *Cache, took, work Micros) {
	if c.warmingSince == 0 {
		return
	}
	since := min(1, 2*float64(r.now-c.scaleUpdatedAt)/float64(r.breakWindow()))
	pace := float64(took) / float64(work+10*millisecond)
	c.slowStartScale *= 1 + since*min(0.5, max(-0.5, slowTransferMultiple-pace))
	c.slowStartScale, c.scaleUpdatedAt = min(1, max(minSlowStartScale, c.slowStartScale)), r.now
}

// observeCapacity follows what a warm cache of a group bears for this router.
func (r *Router) observeCapacity(group []*Cache, mean *float64) {
	carried, n := 0.0, 0.0
	for _, c := range group {
		if c.warmingSince == 0 && !c.ejected {
			carried, n = carried+c.carriedWork.rate(r.now), n+1
		}
	}
	if n > 0 {
		*mean += (carried/n - *mean) * float64(sweepInterval) / float64(2*second)
	}
}

// routerCount is how many there are: as told at the start, or more where a fleet that knows itself counts more.
func (r *Router) routerCount() float64 { return float64(max(r.settings.Gateways, r.FleetSize, 1)) }

// zoneRouterCount is how many routers share the location.
func (r *Router) zoneRouterCount() float64 {
	if r.settings.Zone < len(r.settings.ZoneGateways) {
		return float64(max(r.settings.ZoneGateways[r.settings.Zone], 1)) * (r.routerCount() / float64(max(r.settings.Gateways, 1)))
	}
	return r.routerCount()
}
