// Slow start: what a cache that started lately may be sent (rule 4).

package logic

const (
	coldAfter = 3 * second // a parent out for longer may have started anew
	coldRate  = 1.4        // of what a cold cache bears at least; the rule counts a multiple of it
	stakePart = 0.35       // of what a parent bears by the rule, for one fill that the bucket is staked on
	coldBurst = 0.4        // of the rule's multiple above 1, at once
)

// share is how much of its link a cold cache surely has by now; 1 once warm.
func (r *Router) share(c *Cache) float64 {
	from, span := r.its.ColdShare, r.its.ColdFor
	if c.Kind == r.its.ParentKind {
		from, span = r.its.ParentColdShare, r.its.ParentColdFor
	}
	if c.coldFrom == 0 || r.now >= c.coldFrom+span {
		c.coldFrom = 0
		return 1
	}
	return from + (1-from)*float64(max(0, r.now-c.coldFrom))/float64(span)
}

// warmEnough lets a warming cache's objects come home bit by bit, always the same ones first.
func (r *Router) warmEnough(c *Cache, hash uint64) bool {
	return c.coldFrom == 0 || float64(mix(hash, c.hash+1)>>40)/(1<<24) < r.share(c)
}

// afford guards rule 4: this router's part of what a cold cache can bear, as a bucket that bounds any window.// A link bears what is listed, else what warm ones carry times the routers, or one transfer.
func (r *Router) afford(c *Cache, work float64) bool {
	share := r.share(c)
	if c.coldFrom == 0 {
		return true
	}
	carried, multiple, routers := r.edgeCarries, r.its.FallMultiple, r.seats()
	if c.Kind == r.its.ParentKind {
		carried, multiple, routers = r.parentCarries, r.its.ParentFall, r.routers()
	}
	part := 1 / routers
	link := carried / part
	if r.its.Weighted {
		link = 0.8 * c.Weight
	}
	rate := coldRate * share * max(1, link) * part
	depth := rate * float64(max(r.its.FallFor, 100*ms)) * max(0.2, (multiple-1)*coldBurst)
	c.tokens, c.tokensAt = min(depth, c.tokens+rate*float64(r.now-c.tokensAt)), r.now
	if c.tokens < depth || c.tokens >= work {
		return c.tokens >= work
	}
	// A full bucket too small for this lookup is staked on it, so that many routers together keep the mean; at a
	// parent not on a fill that a few routers with luck at once would push it over with. An edge has no other in
	// its place for what it holds, and its lookups are counted by their kind's mean.
	bears := multiple * share * max(1, link) * float64(max(r.its.FallFor, 100*ms))
	lucky := float64(r.chance.next())/(1<<32) < depth/work &&
		(c.Kind != r.its.ParentKind || work < stakePart*bears)
	if c.tokens = 0; lucky {
		c.tokens = work
	}
	return lucky
}

// carries follows what a warm cache of a group bears for this router.
func (r *Router) carries(group []*Cache, mean *float64) {
	carried, n := 0.0, 0.0
	for _, c := range group {
		if c.coldFrom == 0 && !c.out {
			carried, n = carried+c.borne.rate(r.now), n+1
		}
	}
	if n > 0 {
		*mean += (carried/n - *mean) * float64(sweepEvery) / float64(2*second)
	}
}

// routers is how many there are: as told at the start, or more where a fleet that knows itself counts more.
func (r *Router) routers() float64 { return float64(max(r.its.Gateways, r.Fleet, 1)) }

// seats is how many routers share the location.
func (r *Router) seats() float64 {
	if r.its.Zone < len(r.its.Seats) {
		return float64(max(r.its.Seats[r.its.Zone], 1)) * (r.routers() / float64(max(r.its.Gateways, 1)))
	}
	return r.routers()
}
