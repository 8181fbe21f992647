package scenario

import "time"

// The properties of the simulated location, as the platform settings describe it.
const (
	warmup               = 1500 * time.Millisecond // from the start of the gateways to the first lookup
	flowKBPerSecond      = 2400.0                  // rate of one transfer at a cache
	edgeTransfers        = 1.5                     // concurrent transfers of an edge at full capacity
	parentTransfers      = 3.0                     // concurrent transfers of a parent
	originTransfers      = 1000                    // concurrent transfers of the origin
	edgeWarmup           = 13 * time.Second        // from the start of an edge until it has its full capacity
	edgeColdShare        = 0.16                    // share of its capacity that an edge has at its start
	overloadWindow       = time.Second             // over which the load on a cold cache is measured
	edgeOverloadFactor   = 3.0                     // multiple of its current capacity that a cold edge bears within overloadWindow
	parentWarmup         = 21 * time.Second        // the same as edgeWarmup, for a parent
	parentColdShare      = 0.064                   // the same as edgeColdShare, for a parent
	parentOverloadFactor = 2.0                     // the same as edgeOverloadFactor, for a parent
	purgeGrace           = 300 * time.Millisecond  // time for a gateway to apply a purge after its notification
	drainGrace           = 2 * time.Second         // time for a gateway to stop sending to a draining cache after its notification
	cancelGrace          = 100 * time.Millisecond  // time after a client has left within which its lookup may still be sent
	socketSlack          = 50 * time.Millisecond   // allowance for socket delays, in addition to each of these times
	terminateGrace       = 700 * time.Millisecond  // time after SIGTERM within which an arriving lookup must still be answered
	maxAttempts          = 6                       // limit on the attempts of one lookup
)

// Flavors of caches, as discovery publishes them.
const (
	flavorEdge   = "edge"
	flavorParent = "parent"
	flavorOrigin = "origin"
)

// hubZone is the zone of the parents and the origin.
const hubZone = "hub"

// zoneName returns the name of a zone of gateways and edges.
func zoneName(i int) string { return [...]string{"town", "hill"}[i] }

// lookupKind is a kind of lookup in the platform settings.
type lookupKind struct {
	name             string
	effect           string
	group            string
	objective        time.Duration // latency objective, without the share for the part's size
	deadline         time.Duration
	objectiveStretch float64       // factor on the part's transfer time, which is added to the objective
	maxAge           time.Duration // of a copy; 0: any age
	staleGrace       time.Duration // how long beyond maxAge a stale copy may be served
	passesThrough    bool          // answers are never cached
	percent          int           // share of all lookups
}

// Effects of kinds of lookups, as the settings name them.
const (
	effectIdempotent   = "idempotent"
	effectAtMostOnce   = "at_most_once"
	effectDeduplicated = "deduplicated"
)

// lookupKinds are the kinds of lookups, in the order of the settings.
var lookupKinds = []lookupKind{
	{name: "segment", effect: effectIdempotent, objective: 400 * time.Millisecond, deadline: 5 * time.Second, objectiveStretch: 1.6, percent: 50},
	{name: "page", effect: effectIdempotent, objective: 250 * time.Millisecond, deadline: 2500 * time.Millisecond, objectiveStretch: 2,
		maxAge: 8 * time.Second, staleGrace: 2 * time.Second, percent: 40},
	{name: "order", effect: effectAtMostOnce, objective: 600 * time.Millisecond, deadline: 3 * time.Second, objectiveStretch: 2,
		passesThrough: true, percent: 6},
	{name: "till", effect: effectDeduplicated, group: "zone", objective: 600 * time.Millisecond, deadline: 3 * time.Second, objectiveStretch: 2,
		passesThrough: true, percent: 4},
}

// longestDeadline returns the longest deadline of all kinds, and at least 3 s.
func longestDeadline() time.Duration {
	longest := 3 * time.Second
	for _, kind := range lookupKinds {
		longest = max(longest, kind.deadline)
	}
	return longest
}

// settings returns the platform settings of the gateways of a zone.
func (s *Scenario) settings(zone int) map[string]any {
	gatewaysByZone := []int{0, 0, 0}
	for i := range s.Plan.Gateways {
		gatewaysByZone[i%s.zoneCount]++
	}
	var classes []map[string]any
	var maxAges, staleGraces, staleWorths []float64
	var passOn []bool
	for _, kind := range lookupKinds {
		classes = append(classes, kind.settings())
		maxAges = append(maxAges, float64(kind.maxAge.Microseconds()))
		staleGraces = append(staleGraces, float64(kind.staleGrace.Microseconds()))
		staleWorths = append(staleWorths, 0.7)
		passOn = append(passOn, kind.passesThrough)
	}
	return map[string]any{
		"areas":         []string{zoneName(0), zoneName(1), hubZone},
		"az":            zone,
		"balancers":     s.Plan.Gateways,
		"discovery":     "push",
		"weights":       "nominal",
		"machine_types": []string{flavorEdge, flavorParent, flavorOrigin},
		"ceilings": map[string]any{"cancelling": true, "connect_timeout": 400000, "keepalive": 30000000, "max_retry_after": 2000000,
			"max_streams": 24, "retry_after": true, "second_copies": false, "try_limit": maxAttempts},
		"rules": map[string]any{"cold": edgeWarmup.Microseconds(), "cold_from": edgeColdShare, "fall": overloadWindow.Microseconds(),
			"fall_multiple": edgeOverloadFactor, "stop_sending_within": drainGrace.Microseconds()},
		"classes": classes,
		"specifics": map[string]any{"cleared_within": 6000000, "flow_kb_per_s": flowKBPerSecond, "grace_for": staleGraces, "max_age": maxAges,
			"merges_fills": true, "obey_after": purgeGrace.Microseconds(), "parent_breaks_at": parentOverloadFactor, "parent_kind": 1,
			"parent_ramp": parentWarmup.Microseconds(), "parent_starts_at": parentColdShare, "pass_on": passOn, "seats_by_zone": gatewaysByZone,
			"source_kind": 2, "tells": "all", "worth_when_old": staleWorths},
	}
}

// settings returns the kind's entry in the platform settings.
func (k lookupKind) settings() map[string]any {
	return map[string]any{"name": k.name, "aim": k.objective.Microseconds(), "aim_stretch": k.objectiveStretch, "deadline": k.deadline.Microseconds(),
		"effect": k.effect, "group": k.group, "late_worth": 0.2, "points": 1.0, "window": 5000000}
}
