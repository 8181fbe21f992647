// Slow start: what a cache that started lately may be sent (rule 4).

package policy

const (
	coldAfter  = 3 * second // a parent out for longer may have started anew
	stakePart  = 0.35       // of what a parent bears by the rule, for one fill that the budget is staked on
	stakeLeast = 0.25       // of a lookup's work has to be left to be staked on it,
	stakeFull  = 0.9        // or this part of a budget that is smaller

	allowedPart = 0.98 // of what the rule allows a cache of full scale in its span
	mostAtOnce  = 2.0  // of what a cold cache bears at least, in the rule's span: more would only come late

	surePart   = 0.5   // of what warm ones of its group bear a cold cache surely bears this part
	listedPart = 0.8   // of a link that the list tells
	fullPace   = 2.0   // while its transfers take more than this multiple of their sending time it is sent less,
	leastScale = 0.125 // down to this part
)

// warmShare is how much of its link a cold cache surely has by now; 1 once warm.
func (r *Router) warmShare(c *Cache) float64 {
	from, span := r.its.ColdShare, r.its.ColdFor
	if c.Kind == r.its.ParentKind {
		from, span = r.its.ParentColdShare, r.its.ParentColdFor
	}
	if c.warmingSince == 0 || r.now >= c.warmingSince+span {
		c.warmingSince = 0
		return 1
	}
	return from + (1-from)*float64(max(0, r.now-c.warmingSince))/float64(span)
}

// warmEnough lets a warming cache's objects come home bit by bit, always the same ones first.
func (r *Router) warmEnough(c *Cache, hash uint64) bool {
	return c.warmingSince == 0 || float64(mix(hash, c.hash+1)>>40)/(1<<24) < r.warmShare(c)
}

// admitCold guards rule 4: this router's part of what a cold cache may be sent in any span of the rule.
// A link likely bears what is listed, else what warm ones of its group carry times the routers; it surely
// bears a part of that, what it was seen to carry itself, or one transfer. The send notes what it was charged.
func (r *Router) admitCold(s *Send, c *Cache, work float64) bool {
	share := r.warmShare(c)
	if s.charge = 0; c.warmingSince == 0 {
		return true
	}
	carried, multiple, part := r.edgeCapacity, r.its.FallMultiple, 1/r.zoneRouters()
	if c.Kind == r.its.ParentKind {
		carried, multiple, part = r.parentCapacity, r.its.ParentFall, 1/r.routers()
	}
	likely, sure := carried/part, surePart*carried/part
	if r.its.Weighted {
		likely, sure = listedPart*c.Weight, listedPart*c.Weight
	}
	span, own := r.fallFor(), c.carried.rate(r.now)/part
	bears := max(share*max(1, sure), own) * float64(span)
	most := min(allowedPart*multiple*bears, mostAtOnce*max(share*likely*float64(span), bears)) * c.scale
	left := most*part - c.sent.read(r.now, span)
	if s.charge = min(left, work); left >= work {
		c.sent.add(r.now, span, work)
		return true
	}
	// What is left, where too small for this lookup, is staked on it, so that many routers together keep the
	// mean, but not in crumbs, which would make all of it chance; at a parent not on a fill that a few routers
	// with luck at once would push it over with. An edge has no other in its place for what it holds.
	if left < min(stakeLeast*work, stakeFull*most*part) ||
		c.Kind == r.its.ParentKind && work > stakePart*multiple*bears {
		return false
	}
	c.sent.add(r.now, span, left)
	return float64(r.chance.next())/(1<<32) < left/work
}

// fallFor is the span that the rule counts over.
func (r *Router) fallFor() Micros { return max(r.its.FallFor, 100*ms) }

// beginSlowStart begins a slow start.
func (c *Cache) beginSlowStart(from, now Micros) {
	c.warmingSince, c.scale, c.scaleAt, c.carried = from, 1, now, sum{}
}

// observePace learns from a transfer of a cold cache. A slow one shows a link shared by more than it carries,
// to every router alike; hence by time, so that a router that sees few learns as fast as the others.
func (r *Router) observePace(c *Cache, took, work Micros) {
	if c.warmingSince == 0 {
		return
	}
	since := min(1, 2*float64(r.now-c.scaleAt)/float64(r.fallFor()))
	pace := float64(took) / float64(work+10*ms)
	c.scale *= 1 + since*min(0.5, max(-0.5, fullPace-pace))
	c.scale, c.scaleAt = min(1, max(leastScale, c.scale)), r.now
}

// observeCapacity follows what a warm cache of a group bears for this router.
func (r *Router) observeCapacity(group []*Cache, mean *float64) {
	carried, n := 0.0, 0.0
	for _, c := range group {
		if c.warmingSince == 0 && !c.ejected {
			carried, n = carried+c.carried.rate(r.now), n+1
		}
	}
	if n > 0 {
		*mean += (carried/n - *mean) * float64(sweepEvery) / float64(2*second)
	}
}

// routers is how many there are: as told at the start, or more where a fleet that knows itself counts more.
func (r *Router) routers() float64 { return float64(max(r.its.Gateways, r.Fleet, 1)) }

// zoneRouters is how many routers share the location.
func (r *Router) zoneRouters() float64 {
	if r.its.Zone < len(r.its.Seats) {
		return float64(max(r.its.Seats[r.its.Zone], 1)) * (r.routers() / float64(max(r.its.Gateways, 1)))
	}
	return r.routers()
}
