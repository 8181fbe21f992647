// The choice of the edge cache: rendezvous order, limits of open sends, what an ending tells of the cache.

package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	crowdedAt   = 0.4  // hits take this part of their latency budget: the cache is crowded
	firstLimit  = 16.0 // open sends at a cache before anything is known of it
	leastOpen   = 2.0  // open sends, and fills, at one cache by all routers are not cut under this
	roomToSpill = 0.7  // another cache takes a crowded one's lookup while under this part of its limit
	fullCut     = 0.75 // of a cache's limit of open sends, when it turns one away as full
)

// edge picks the first cache in the object's hash order that is up and has room for it.
func (r *Router) edge(s *Send) verdict {
	lk, wait, part := s.lk, false, 1.0
	for _, c := range r.order(lk.part, r.edges) {
		switch {
		case c.State != Ready || c == lk.failedAt || !r.mayRepeat(lk, c, 0) || !lk.scope.edge(c):
		case !r.probeDue(c, lk):
		case !r.warmEnough(c, lk.part):
			wait = true
		case float64(c.open)-r.fillsOpen(c.sends) >= part*c.limit || r.now < c.pauseTill:
			if part < 1 {
				return keep // two homes are enough: a third would fill what they hold
			}
			wait, part = true, roomToSpill
		case !r.admitCold(s, c, max(float64(lk.work), lk.kind.mean(r.now))):
			wait = true
		default:
			s.to = c
			return pass
		}
	}
	if wait || lk.failedAt != nil {
		lk.failedAt = nil // it may have room again
		return keep
	}
	r.giveUp(lk)
	return end
}

func (r *Router) edgeBack(s *Send, got *ending) {
	c, lk := s.to, s.lk
	c.open--
	// Guards against a cache that slows: its lookups move to the others of its location. Its hits are timed
	// where they are told (a fill's time is its source's), else all its sends.
	if r.timed(s, got) && (got.remark == Hit || got.remark == Aged || !r.its.HitsTold) {
		r.timeAmong(c, r.edges, float64(got.took), max(lk.kb, 1), lagPart*float64(lk.span()))
	}
	switch {
	case got.end == Satisfied || got.end == Missed || got.remark >= SourceRefused:
		r.noteAnswer(c, s)
		if got.end == Satisfied {
			r.observePace(c, got.took-got.waited, lk.work)
		}
		if got.remark == Hit || got.remark == Aged {
			c.took.add(r.now, float64(got.took))
			c.ideal.add(r.now, float64(lk.span()))
		}
		r.retune(c)
		c.pauseTill = r.turn(c.limit, got.took)
	case got.end == TurnedAway:
		if c.heard = r.now; lk.missed != c { // where it took the look, only the fill was turned away
			// Guards against a storm of sends where no hit times come: a cache that is full takes fewer.
			lk.failedAt, c.limit = c, max(leastOpen/r.zoneRouters(), fullCut*min(c.limit, float64(c.open+1)))
		}
	case got.end == Unconnected || got.end == Reset:
		// A reset alone is no death, and what is held there is worth a second send.
		if c.died = c.died || got.end == Unconnected; got.end == Unconnected || len(lk.sends) > 2 {
			lk.failedAt = c
		}
		if s.at >= c.struckAt { // a connection breaks under many sends at once: one strike
			c.struckAt = r.now
			c.strikes++
			r.countFailures(c, c.strikes, 2, "unreachable")
		}
	case got.end == Errored && got.remark == Untold:
		// Guards against a cache that fails all it gets, which is quick and would draw more. Errors have an account
		// of their own: one beside a reset says nothing of the way. Where all caches fail some, or lookups are at
		// fault, a move or an outage costs the copies held and helps nobody: hence so many in a row.
		if c.errors++; c.errors >= errorsMove {
			lk.failedAt = c
		}
		r.countFailures(c, c.errors, errorsOut, "errors")
	case got.end == Cancelled && c.probe == s:
		r.countFailures(c, 1, 1, "trial failed")
	}
}

// retune moves a cache's limit of open sends: down while its hits are slow, up while it is full.
func (r *Router) retune(c *Cache) {
	if r.now < c.limitAt+200*ms {
		return
	}
	c.limitAt = r.now
	// One slow hit says little: a usual one, at a quarter of its budget, is added.
	part := (c.took.read(r.now) + float64(40*ms)) / (c.ideal.read(r.now) + float64(160*ms))
	switch {
	case part > crowdedAt:
		c.limit = max(leastOpen/r.zoneRouters(), min(c.limit, float64(c.open+1)*crowdedAt/part))
	case float64(c.open+1) >= c.limit*roomToSpill:
		c.limit *= 1.1
	}
}

// order is the rendezvous order of caches for a hash: it moves only what a change of the list must move.
func (r *Router) order(hash uint64, caches []*Cache) []*Cache {
	far := func(c *Cache) float64 {
		u := (float64(mix(hash, c.hash)>>11) + 0.5) / (1 << 53)
		if r.its.Sized && c.Weight > 0 {
			return -math.Log(u) / c.Weight
		}
		return -math.Log(u)
	}
	nearer := func(a, b *Cache) int { return cmp.Compare(far(a), far(b)) }
	return slices.SortedStableFunc(slices.Values(caches), nearer)
}
