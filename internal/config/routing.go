package config

import "foldslip/internal/config/change"

// Routing is routes and pools, and where their changes are stored.
type Routing struct {
	Folder      string              `json:"folder,omitempty"` // of this gateway alone; none: changes end with the process
	GuardLimits *change.GuardLimits `json:"guards,omitempty"` // none: change.DefaultGuardLimits
	Socket      string              `json:"socket,omitempty"` // of the admin API; none: changes come by this file only
	RouteConfig
}

// RouteConfig is the routes and pools of one version. Package route/pools compiles them.
type RouteConfig struct {
	Pools   map[string]Pool   `json:"pools,omitempty"`
	Routes  []Route           `json:"routes,omitempty"`
	Tenants map[string]Limits `json:"tenants,omitempty"`
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

// Target is a pool and its weight among those of a route.
type Target struct {
	Pool   string  `json:"pool"`
	Weight float64 `json:"weight,omitempty"` // 0 is 1
}

// Limits are the limits of a pool, a route or a tenant. Zero is no limit.
type Limits struct {
	LookupsPerSecond float64 `json:"lookups_a_second,omitempty"`
	BytesPerSecond   float64 `json:"bytes_a_second,omitempty"`
	MaxOpen          int64   `json:"open,omitempty"` // lookups open at once
	Adaptive         bool    `json:"adaptive,omitempty"`
	RetryRatio       float64 `json:"further,omitempty"` // retries for each first attempt; -1: none
	FleetWide        bool    `json:"fleet,omitempty"`   // the rates and MaxOpen are of all gateways together
}
