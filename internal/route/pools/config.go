// Package pools decides which caches a lookup may be sent to: routes (by object kind, group, pattern of the object, share of objects) lead to
// pools (caches by location, label or name), and narrow what the policy chooses from. Which of them gets a lookup, whether it is retried and
// what is rejected stays the policy's decision. The package does no I/O.
//
// A Table is compiled from a configuration once and never changes. A View is a table with the present list of caches; another is made when the
// list changes. Both are safe for concurrent use. A lookup is decided under one View.
//
// Patterns are an object's name, or its beginning and a star. They are held in a radix tree, so that finding a lookup's route costs the length
// of its object's name, however many routes there are. The longest pattern wins, then a route that names kind and group, then kind, then group,
// then neither; among those of one place, those with a share go first, in their order.
package pools

import "foldslip/internal/limit"

// Limits are the limits of a pool, a route or a tenant, as the operator writes them.
type Limits struct {
	LookupsPerSecond float64 `json:"lookups_a_second,omitempty"`
	BytesPerSecond   float64 `json:"bytes_a_second,omitempty"`
	MaxOpen          int64   `json:"open,omitempty"`
	Adaptive         bool    `json:"adaptive,omitempty"`
	RetryRatio       float64 `json:"further,omitempty"` // retries for each first attempt; -1: none
	FleetWide        bool    `json:"fleet,omitempty"`   // the rates and MaxOpen are of all gateways together
}

func (l Limits) spec() limit.Spec {
	return limit.Spec{LookupsPerSecond: l.LookupsPerSecond, BytesPerSecond: l.BytesPerSecond, MaxOpen: int(l.MaxOpen), Adaptive: l.Adaptive,
		RetryRatio: l.RetryRatio, FleetWide: l.FleetWide}
}

// Pool is caches by what they are. Of several conditions all must hold; a cache in Names is in it in any case.
type Pool struct {
	Locations     []string `json:"locations,omitempty"`
	Labels        []string `json:"labels,omitempty"`
	Names         []string `json:"names,omitempty"`
	ExcludedNames []string `json:"without,omitempty"` // not in it, whatever else holds
	Sources       []string `json:"sources,omitempty"` // parents that its fills may name; none: all
	Limits        *Limits  `json:"limits,omitempty"`
}

// Target is a pool and its weight among those of a route.
type Target struct {
	Pool   string  `json:"pool"`
	Weight float64 `json:"weight,omitempty"` // 0 is 1
}

// Route leads lookups to pools.
type Route struct {
	Name     string   `json:"name"`
	Kind     string   `json:"kind,omitempty"`   // "": any
	Group    *int64   `json:"group,omitempty"`  // absent: any
	Object   string   `json:"object,omitempty"` // "": any; ending in a star: its beginning
	Share    float64  `json:"share,omitempty"`  // of the objects, by hash; 0: all
	Targets  []Target `json:"to"`
	Tenant   string   `json:"tenant,omitempty"`
	MaxAgeMS int64    `json:"oldest_ms,omitempty"` // of a copy; 0: as the kind has it
	Limits   *Limits  `json:"limits,omitempty"`
}

// hasShare reports whether the route takes only a part of its objects.
func (r Route) hasShare() bool { return r.Share > 0 && r.Share < 1 }

// Config is routes and pools as the operator writes them.
type Config struct {
	Pools   map[string]Pool   `json:"pools,omitempty"`
	Routes  []Route           `json:"routes,omitempty"`
	Tenants map[string]Limits `json:"tenants,omitempty"`
}

// Problem is what is wrong with a configuration: where, what, and what to do. One that is no error is a warning.
type Problem struct {
	IsError bool   `json:"Error"`
	Path    string `json:"Path"`
	Text    string `json:"Text"`
	Remedy  string `json:"Remedy"`
}
