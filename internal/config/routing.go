package config

import "foldslip/internal/config/change"

// Routing configures routes and pools and the storage of their changes.
type Routing struct {
	// Folder stores changes and must not be shared with another gateway. If it is empty, changes are lost when the
	// process ends.
	Folder      string              `json:"folder,omitempty"`
	GuardLimits *change.GuardLimits `json:"guards,omitempty"` // absent: change.DefaultGuardLimits
	// Socket is the Unix socket of the admin API. If it is empty, routes can be changed by the configuration file only.
	Socket string `json:"socket,omitempty"`
	RouteConfig
}

// RouteConfig holds the routes, pools and tenants of one version. Package route/pools compiles it.
type RouteConfig struct {
	Pools   map[string]Pool   `json:"pools,omitempty"`
	Routes  []Route           `json:"routes,omitempty"`
	Tenants map[string]Limits `json:"tenants,omitempty"`
}

// Pool selects caches. A cache in ExcludedNames is never in the pool. Any other cache in Names is in the pool. Otherwise
// a cache is in the pool if it is at one of the Locations and has all of the Labels; an empty list of these is no
// condition. A pool without Locations and Labels has only the caches in Names.
type Pool struct {
	Locations     []string `json:"locations,omitempty"`
	Labels        []string `json:"labels,omitempty"`
	Names         []string `json:"names,omitempty"`
	ExcludedNames []string `json:"without,omitempty"`
	Sources       []string `json:"sources,omitempty"` // parents that fills of the pool may use; empty: all
	Limits        *Limits  `json:"limits,omitempty"`
}

// Route sends the lookups that it matches to pools.
type Route struct {
	Name     string   `json:"name"`
	Kind     string   `json:"kind,omitempty"`   // empty: any kind
	Group    *int64   `json:"group,omitempty"`  // absent: any group
	Object   string   `json:"object,omitempty"` // name of an object, or a prefix followed by a star; empty: any object
	Share    float64  `json:"share,omitempty"`  // fraction of the matching objects, selected by hash; 0: all
	Targets  []Target `json:"to"`
	Tenant   string   `json:"tenant,omitempty"`
	MaxAgeMS int64    `json:"oldest_ms,omitempty"` // bound on a copy's age besides the object kind's; 0: none
	Limits   *Limits  `json:"limits,omitempty"`
}

// Target is a pool of a route with its weight.
type Target struct {
	Pool   string  `json:"pool"`
	Weight float64 `json:"weight,omitempty"` // 0 means 1
}

// Limits are the limits of a pool, a route or a tenant. A zero value means no limit.
type Limits struct {
	LookupsPerSecond float64 `json:"lookups_a_second,omitempty"`
	BytesPerSecond   float64 `json:"bytes_a_second,omitempty"`
	MaxOpen          int64   `json:"open,omitempty"`     // concurrently open lookups
	Adaptive         bool    `json:"adaptive,omitempty"` // MaxOpen is a ceiling; the limit in force falls as latency rises
	RetryRatio       float64 `json:"further,omitempty"`  // retries per first attempt; -1: none
	FleetWide        bool    `json:"fleet,omitempty"`    // the rates and MaxOpen hold for all gateways together
}
