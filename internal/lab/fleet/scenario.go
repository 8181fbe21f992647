package fleet

import (
	"fmt"
	"slices"
	"time"

	"foldslip/internal/config"
	"foldslip/internal/fleet/broadcast"
)

const (
	maxGateways = 1024 // the rig's runs of address blocks have more hosts
	maxCaches   = 1024
	maxSteps    = 200
	maxPurges   = 3000 // of a scenario's purge load
	maxDuration = 30 * time.Minute
	maxLoad     = 2000 // lookups a second
)

// Values of Step.Settle.
const (
	settleSides = "sides" // each side of a partition settles; the default
	settleNone  = "none"
)

// DiscoveryName is the discovery server's name in links and scenario files. Each gateway has links of its own to it.
const DiscoveryName = "bulletin"

// Scenario is a fleet, its load and a timeline of faults, read from a Jsonnet file (docs/fleet.md). Times are in milliseconds.
type Scenario struct {
	Name         string            `json:"name"`
	Gateways     int64             `json:"gateways"`          // n1, n2, ...
	LateGateways int64             `json:"late,omitempty"`    // the last of them, which only a step starts
	Caches       int64             `json:"caches,omitempty"`  // stub edge caches, beside one parent and one origin
	Load         Load              `json:"load,omitempty"`    // of lookups
	Limit        *Limit            `json:"limit,omitempty"`   // on all lookups
	KeepMembers  bool              `json:"disk,omitempty"`    // gateways keep their members on disk
	Seeds        int64             `json:"seeds,omitempty"`   // gateways whose addresses the others start with; default 3
	Fleet        config.Fleet      `json:"fleet,omitempty"`   // settings; the rig sets addresses, seeds, folder and socket
	ClockOffsets []ClockOffset     `json:"offsets,omitempty"` // of gateways whose clocks are wrong
	Localities   []GatewayLocality `json:"places,omitempty"`
	Purges       *PurgeLoad        `json:"purges,omitempty"`   // needs fleet.broadcast
	ReadyMS      int64             `json:"ready_ms,omitempty"` // for all started gateways to settle; default 30,000
	Steps        []Step            `json:"steps"`
	EndMS        int64             `json:"end_ms"` // after the last step
}

// Load are lookups that the rig's client sends to running gateways in turn.
type Load struct {
	PerSecond float64  `json:"per_second,omitempty"`
	Objects   int64    `json:"objects,omitempty"` // different ones; default 200
	Through   []string `json:"through,omitempty"` // only these gateways
}

// Limit is a limit on lookups in all gateways' settings, and the bounds that the scenario is held to.
type Limit struct {
	LookupsPerSecond float64 `json:"lookups_a_second"`
	FleetWide        bool    `json:"fleet"`           // of all gateways together; otherwise of each
	MaxOverrun       float64 `json:"over,omitempty"`  // bound on admission above the limit, as a part of it (docs/fleet-limits.md)
	MinShare         float64 `json:"least,omitempty"` // part of the limit that must be admitted, on the mean after the first 10 s
}

// PurgeLoad are purges that discovery announces at a steady rate, and the bound on their broadcast (docs/fleet-broadcast-operators.md).
type PurgeLoad struct {
	PerSecond float64 `json:"per_second"`
	FromMS    int64   `json:"from_ms"` // after the fleet was ready
	ForMS     int64   `json:"for_ms"`
	MinShare  float64 `json:"share,omitempty"` // part that gateways without a discovery watch must receive in time
}

// GatewayLocality is the locality of some gateways.
type GatewayLocality struct {
	Gateways []string `json:"who"`
	Region   string   `json:"region"`
	Zone     string   `json:"zone"`
	Site     string   `json:"site"`
}

// ClockOffset is the error of a gateway's clock.
type ClockOffset struct {
	Gateway string `json:"who"`
	MS      int64  `json:"ms"`
}

// Step is one change that is made to the fleet or its network.
type Step struct {
	AtMS         int64      `json:"at_ms"` // after the fleet was ready
	Action       string     `json:"do"`    // one of actions
	Targets      []string   `json:"who,omitempty"`
	PickCount    int64      `json:"pick,omitempty"`   // so many running gateways, drawn at random, in place of Targets
	PickName     string     `json:"as,omitempty"`     // name for the targets: later steps refer to them as @name
	Forget       bool       `json:"forget,omitempty"` // delete the kept members before a start
	Groups       [][]string `json:"groups,omitempty"` // of a split
	Sizes        []int64    `json:"sizes,omitempty"`  // of a split's groups, drawn at random, in place of Groups
	Bridge       int64      `json:"bridge,omitempty"` // gateways that are in each of the drawn groups
	From         []string   `json:"from,omitempty"`   // of a link's fault; * is all gateways
	To           []string   `json:"to,omitempty"`
	Cut          bool       `json:"cut,omitempty"`
	Loss         float64    `json:"loss,omitempty"`
	DelayMS      int64      `json:"delay_ms,omitempty"`
	JitterMS     int64      `json:"jitter_ms,omitempty"`
	Reorder      float64    `json:"reorder,omitempty"`
	KBPerSecond  int64      `json:"rate_kb,omitempty"`
	Settle       string     `json:"settle,omitempty"`   // what the fleet must do before the next step
	BoundMS      int64      `json:"bound_ms,omitempty"` // for it to settle, or for a purge to reach its receivers
	MinReceivers int64      `json:"least,omitempty"`    // gateways that must receive a purge from peers
	Repeat       int64      `json:"repeat,omitempty"`   // times that this step and the next one are done
	EveryMS      int64      `json:"every_ms,omitempty"` // from one repeat to the next
}

// LinkFault is the fault that a link step puts on its links.
func (s Step) LinkFault() LinkFault {
	return LinkFault{
		Cut:            s.Cut,
		Loss:           s.Loss,
		Delay:          config.Milliseconds(s.DelayMS),
		Jitter:         config.Milliseconds(s.JitterMS),
		Reorder:        s.Reorder,
		BytesPerSecond: s.KBPerSecond << 10,
	}
}

// maxStreams is how many streams the relay must carry at once: each gateway's discovery watch, its connections to each cache, and
// those among gateways.
func (s *Scenario) maxStreams() int {
	const (
		watches      = 1
		toPeers      = 4
		toEachCache  = 4
		parentOrigin = 2
		minStreams   = 2_000
	)
	perGateway := watches + toPeers + toEachCache*(int(s.Caches)+parentOrigin)
	return max(minStreams, int(s.Gateways)*perGateway)
}

// names are those of all gateways, in order.
func (s *Scenario) names() (all []string) {
	for i := range s.Gateways {
		all = append(all, fmt.Sprintf("n%d", i+1))
	}
	return all
}

// locality is that of a gateway; the zero value if the scenario sets none.
func (s *Scenario) locality(name string) GatewayLocality {
	for _, locality := range s.Localities {
		if slices.Contains(locality.Gateways, name) {
			return locality
		}
	}
	return GatewayLocality{}
}

// treeHeads are the gateways with a role in the broadcast tree of the whole fleet, by the role's name in steps: root, and first-SITE
// for each site's first.
func (s *Scenario) treeHeads() map[string][]string {
	var members []broadcast.Member
	for _, name := range s.names() {
		locality := s.locality(name)
		members = append(members, broadcast.Member{
			Name:     name,
			Locality: broadcast.Locality{Region: locality.Region, Zone: locality.Zone, Site: locality.Site},
		})
	}
	broadcast.SortMembers(members)
	heads := map[string][]string{}
	for i, member := range members {
		if i == 0 {
			heads["root"] = []string{member.Name}
		}
		role := "first-" + member.Locality.Site
		if member.Locality.Site != "" && heads[role] == nil {
			heads[role] = []string{member.Name}
		}
	}
	return heads
}
