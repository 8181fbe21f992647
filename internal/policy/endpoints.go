package policy

import (
	"cmp"
	"slices"
)

// resubscribeDelay is the wait before the router subscribes to the endpoint list again after a failure.
const resubscribeDelay = 1 * second

// Endpoint is one row of the endpoint list.
type Endpoint struct {
	Cache      *Cache
	Zone, Kind int
	Cell       int
	State      EndpointState
	Weight     float64 // see Settings.WeightIsCapacity and Settings.WeightIsSize
	StartedAt  Micros  // 0 if the cache has been running for a long time
	Confidence Confidence
}

// EndpointState is the state of a cache in the endpoint list.
type EndpointState int

// The states of a cache. Only a ready cache receives attempts and fills.
const (
	Ready EndpointState = iota
	Draining
	Gone
)

// Confidence is the degree to which a row of the endpoint list is trusted. Rows that are restored from an earlier run
// are usually below Confirmed. The StartedAt of such a row is an estimate of the gateway. If the old or the new row
// is below Confirmed, the new StartedAt replaces the old one even if it is earlier.
type Confidence int

// The levels of confidence.
const (
	Confirmed   Confidence = iota // confirmed by the discovery watch
	OnProbation                   // most likely up
	Suspect                       // receives only probes until one succeeds
)

// UpdateKind is the kind of an update of the endpoint list.
type UpdateKind int

// The kinds of updates.
const (
	UpdateDelta  UpdateKind = iota // carries the endpoints that changed
	UpdateFull                     // carries all endpoints
	UpdateCached                   // carries all endpoints, restored from an earlier run
	UpdateFailed                   // carries nothing because the list could not be fetched
)

// UpdateEndpoints applies an update of the endpoint list. After a failed update the router subscribes to the list
// again.
func (r *Router) UpdateEndpoints(now Micros, kind UpdateKind, endpoints []Endpoint) {
	r.now = now
	if kind == UpdateFailed {
		r.executor.SetTimer(resubscribeDelay, timerResubscribe)
		return
	}
	listed := map[*Cache]bool{}
	for _, endpoint := range endpoints {
		cache := endpoint.Cache
		if cache.State == Gone && !listed[cache] { // a cache that is not in r.caches yet
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

// updateEndpoint applies the new row of one endpoint. It begins a slow start if the row has a new start time, and
// ejects a cache that has become suspect.
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

// groupCaches sorts the listed caches by hash and divides them into the edge caches of this router's zone, the
// parents and the origin.
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
