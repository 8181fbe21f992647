package policy

import (
	"cmp"
	"slices"
)

// resubscribeDelay is the wait before the endpoint list is asked for again after a failure.
const resubscribeDelay = 1 * second

// Endpoint is one row of the endpoint list.
type Endpoint struct {
	Cache      *Cache
	Zone, Kind int
	Cell       int
	State      EndpointState
	Weight     float64 // see Settings.WeightIsCapacity and WeightIsSize
	StartedAt  Micros  // 0: long ago
	Confidence Confidence
}

// EndpointState is the state of a cache in the endpoint list.
type EndpointState int

// The states of a cache. Only a ready one gets attempts and fills.
const (
	Ready EndpointState = iota
	Draining
	Gone
)

// Confidence is how far an endpoint is relied on. In a list kept from an earlier run it is less than Confirmed; StartedAt of such an
// endpoint is the gateway's guess and replaces the earlier one in whichever direction it moves.
type Confidence int

// The levels of confidence.
const (
	Confirmed   Confidence = iota // by the discovery watch
	OnProbation                   // most likely up
	Suspect                       // it gets probes only, until one succeeds
)

// UpdateKind is what an update of the endpoint list brings.
type UpdateKind int

// The kinds of updates.
const (
	UpdateDelta  UpdateKind = iota // the endpoints that changed
	UpdateFull                     // all endpoints
	UpdateCached                   // all endpoints, as kept from an earlier run
	UpdateFailed                   // nothing: the list could not be had
)

// UpdateEndpoints takes the endpoint list or changes of it.
func (r *Router) UpdateEndpoints(now Micros, kind UpdateKind, endpoints []Endpoint) {
	r.now = now
	if kind == UpdateFailed {
		r.executor.SetTimer(resubscribeDelay, timerResubscribe)
		return
	}
	listed := map[*Cache]bool{}
	for _, endpoint := range endpoints {
		cache := endpoint.Cache
		if cache.State == Gone && !listed[cache] { // exactly those that are not in r.caches
			r.caches = append(r.caches, cache)
		}
		listed[cache] = true
		r.updateEndpoint(endpoint)
	}
	r.caches = slices.DeleteFunc(r.caches, func(c *Cache) bool {
		if kind != UpdateDelta && !listed[c] {
			c.State = Gone
		}
		return c.State == Gone
	})
	r.groupCaches()
}

// updateEndpoint takes one endpoint's new row.
func (r *Router) updateEndpoint(endpoint Endpoint) {
	cache := endpoint.Cache
	isGuess := cache.Confidence != Confirmed || endpoint.Confidence != Confirmed
	if endpoint.StartedAt > cache.StartedAt || isGuess && endpoint.StartedAt != cache.StartedAt {
		cache.beginSlowStart(endpoint.StartedAt, r.now)
	}
	if endpoint.Confidence == Suspect && cache.Confidence != Suspect && !cache.ejected {
		cache.ejected = true
		cache.ejectedAt = r.now
		cache.nextProbeAt = r.now
	}
	cache.Endpoint = endpoint
}

// groupCaches sorts the listed caches by hash and divides them into edges of this router's zone, parents and the origin.
func (r *Router) groupCaches() {
	slices.SortFunc(r.caches, func(a, b *Cache) int { return cmp.Compare(a.nameHash, b.nameHash) })
	r.edges, r.parents, r.origin = nil, nil, nil
	for _, c := range r.caches {
		switch {
		case c.Kind == r.settings.OriginKind:
			r.origin = c
		case c.Kind == r.settings.ParentKind:
			r.parents = append(r.parents, c)
		case c.Zone == r.settings.Zone:
			r.edges = append(r.edges, c)
		}
	}
}
