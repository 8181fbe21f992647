package scenario

import "time"

// What the simulated location is like, as its platform settings say.
const (
	warmup               = 1500 * time.Millisecond // from the start to the first lookup
	flowKBPerSecond      = 2400.0                  // of one transfer
	edgeTransfers        = 1.5                     // at once
	parentTransfers      = 3.0
	originTransfers      = 1000
	edgeWarmup           = 13 * time.Second
	edgeColdShare        = 0.16 // of its capacity that an edge has at its start
	overloadWindow       = time.Second
	edgeOverloadFactor   = 3.0
	parentWarmup         = 21 * time.Second
	parentColdShare      = 0.064
	parentOverloadFactor = 2.0
	purgeGrace           = 300 * time.Millisecond // to apply a purge
	drainGrace           = 2 * time.Second        // to stop sending to a cache that drains
	cancelGrace          = 100 * time.Millisecond // after a client has gone, in which its lookup may still be sent
	socketSlack          = 50 * time.Millisecond  // for sockets, beside each of these
	terminateGrace       = 700 * time.Millisecond // after SIGTERM, in which a lookup that arrives must be answered
	maxAttempts          = 6
)

// Flavors of caches, as discovery spells them.
const (
	flavorEdge   = "edge"
	flavorParent = "parent"
	flavorOrigin = "origin"
)

// hubZone is the zone of parents and the origin.
const hubZone = "hub"

// zoneName is the name of a zone of gateways and edges.
func zoneName(i int) string { return [...]string{"town", "hill"}[i] }

// lookupKind is a kind of lookups in the platform settings.
type lookupKind struct {
	name             string
	effect           string
	group            string
	objective        time.Duration // of latency
	deadline         time.Duration
	objectiveStretch float64
	maxAge           time.Duration // 0: any
	staleGrace       time.Duration
	passesThrough    bool // is never cached
	percent          int  // of lookups
}

// Effects of kinds, as the settings spell them.
const (
	effectIdempotent   = "idempotent"
	effectAtMostOnce   = "at_most_once"
	effectDeduplicated = "deduplicated"
)

// lookupKinds are in the order of the settings.
var lookupKinds = []lookupKind{
	{name: "segment", effect: effectIdempotent, objective: 400 * time.Millisecond, deadline: 5 * time.Second, objectiveStretch: 1.6, percent: 50},
	{name: "page", effect: effectIdempotent, objective: 250 * time.Millisecond, deadline: 2500 * time.Millisecond, objectiveStretch: 2,
		maxAge: 8 * time.Second, staleGrace: 2 * time.Second, percent: 40},
	{name: "order", effect: effectAtMostOnce, objective: 600 * time.Millisecond, deadline: 3 * time.Second, objectiveStretch: 2,
		passesThrough: true, percent: 6},
	{name: "till", effect: effectDeduplicated, group: "zone", objective: 600 * time.Millisecond, deadline: 3 * time.Second, objectiveStretch: 2,
		passesThrough: true, percent: 4},
}

// longestDeadline is the longest deadline of any kind, and 3 s at least.
func longestDeadline() time.Duration {
	longest := 3 * time.Second
	for _, kind := range lookupKinds {
		longest = max(longest, kind.deadline)
	}
	return longest
}

// settings is the platform settings that a gateway of a zone gets.
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

// settings is the kind's class in the platform settings.
func (k lookupKind) settings() map[string]any {
	return map[string]any{"name": k.name, "aim": k.objective.Microseconds(), "aim_stretch": k.objectiveStretch, "deadline": k.deadline.Microseconds(),
		"effect": k.effect, "group": k.group, "late_worth": 0.2, "points": 1.0, "window": 5000000}
}
