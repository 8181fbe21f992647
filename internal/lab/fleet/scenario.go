package fleet

import (
	"fmt"
	"slices"
	"time"

	"foldslip/internal/config"
	"foldslip/internal/fleet/broadcast"
)

const (
	maxGateways = 1024 // fewer than the hosts in the rig's ranges of address blocks
	maxCaches   = 1024
	maxSteps    = 200
	maxPurges   = 3000 // in the purge load of a scenario
	maxDuration = 30 * time.Minute
	maxLoad     = 2000 // lookups per second
)

// Values of Step.Settle.
const (
	settleSides = "sides" // each side of a partition must settle before the next step; the default
	settleNone  = "none"  // the fleet need not settle before the next step
)

// DiscoveryName is the name of the discovery server in links and scenario files. Each gateway has its own links to it.
const DiscoveryName = "bulletin"

// Scenario describes a fleet, its load and a timeline of faults. It is
// read from a Jsonnet file (docs/fleet.md). Times are in milliseconds.
type Scenario struct {
	Name         string            `json:"name"`
	Gateways     int64             `json:"gateways"`          // number of gateways, which are named n1, n2 and so on
	LateGateways int64             `json:"late,omitempty"`    // how many of the last gateways only a step starts
	Caches       int64             `json:"caches,omitempty"`  // stub edge caches; the rig adds one parent and one origin
	Load         Load              `json:"load,omitempty"`    // lookups that the rig sends
	Limit        *Limit            `json:"limit,omitempty"`   // limit on all lookups
	KeepMembers  bool              `json:"disk,omitempty"`    // gateways keep their members on disk
	Seeds        int64             `json:"seeds,omitempty"`   // number of seeds: the first gateways, which all contact to join; default 3
	Fleet        config.Fleet      `json:"fleet,omitempty"`   // the rig sets addresses, locality, seeds, folder and socket
	ClockOffsets []ClockOffset     `json:"offsets,omitempty"` // gateways with wrong clocks
	Localities   []GatewayLocality `json:"places,omitempty"`
	Purges       *PurgeLoad        `json:"purges,omitempty"`   // requires fleet.broadcast
	ReadyMS      int64             `json:"ready_ms,omitempty"` // time for the started gateways to settle; default 30,000
	Steps        []Step            `json:"steps"`
	EndMS        int64             `json:"end_ms"` // from the last step to the end of the run
}

// Load describes the lookups that the rig's client sends to the running gateways in turn.
type Load struct {
	PerSecond float64  `json:"per_second,omitempty"`
	Objects   int64    `json:"objects,omitempty"` // number of different objects; default 200
	Through   []string `json:"through,omitempty"` // gateways that receive lookups; empty: all
}

// Limit is a limit on lookups in the settings of all gateways, with the bounds that the fleet must keep.
type Limit struct {
	LookupsPerSecond float64 `json:"lookups_a_second"`
	FleetWide        bool    `json:"fleet"`           // the limit applies to all gateways together; otherwise to each
	MaxOverrun       float64 `json:"over,omitempty"`  // allowed excess over the limit, as a fraction of it (docs/fleet-limits.md)
	MinShare         float64 `json:"least,omitempty"` // fraction of the limit to be admitted, as the mean after the first 10 s
}

// PurgeLoad describes purges that discovery announces at a steady rate, with the bound on their broadcast
// (docs/fleet-broadcast-operators.md).
type PurgeLoad struct {
	PerSecond float64 `json:"per_second"`
	FromMS    int64   `json:"from_ms"`         // after the fleet was ready
	ForMS     int64   `json:"for_ms"`          // duration of the announcements
	MinShare  float64 `json:"share,omitempty"` // fraction that gateways without a discovery watch must receive in time
}

// GatewayLocality is the locality of some gateways.
type GatewayLocality struct {
	Gateways []string `json:"who"`
	Region   string   `json:"region"`
	Zone     string   `json:"zone"`
	Site     string   `json:"site"`
}

// ClockOffset is the error of a gateway's clock in milliseconds.
type ClockOffset struct {
	Gateway string `json:"who"`
	MS      int64  `json:"ms"`
}

// Step is one change to the fleet or its network.
type Step struct {
	AtMS         int64      `json:"at_ms"` // after the fleet was ready
	Action       string     `json:"do"`    // one of the values in actions
	Targets      []string   `json:"who,omitempty"`
	PickCount    int64      `json:"pick,omitempty"`   // number of running gateways to draw at random instead of Targets
	PickName     string     `json:"as,omitempty"`     // name for the targets; later steps refer to them as @name
	Forget       bool       `json:"forget,omitempty"` // delete the kept members before a start
	Groups       [][]string `json:"groups,omitempty"` // sides of a split
	Sizes        []int64    `json:"sizes,omitempty"`  // sizes of the sides, which are drawn at random instead of Groups
	Bridge       int64      `json:"bridge,omitempty"` // number of gateways that belong to each of the drawn sides
	From         []string   `json:"from,omitempty"`   // senders on the changed links; * is all gateways
	To           []string   `json:"to,omitempty"`     // receivers on the changed links
	Cut          bool       `json:"cut,omitempty"`
	Loss         float64    `json:"loss,omitempty"`
	DelayMS      int64      `json:"delay_ms,omitempty"`
	JitterMS     int64      `json:"jitter_ms,omitempty"`
	Reorder      float64    `json:"reorder,omitempty"`
	KBPerSecond  int64      `json:"rate_kb,omitempty"`
	Settle       string     `json:"settle,omitempty"`   // sides or none: whether the fleet must settle before the next step
	BoundMS      int64      `json:"bound_ms,omitempty"` // time to settle, or for a purge to reach its receivers
	MinReceivers int64      `json:"least,omitempty"`    // number of gateways that must receive a purge from peers
	Repeat       int64      `json:"repeat,omitempty"`   // how often this step and the next one are carried out
	EveryMS      int64      `json:"every_ms,omitempty"` // interval between repeats
}

// LinkFault returns the fault that a link step puts on its links.
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

// maxStreams returns the number of streams that the relay must carry at once. Each gateway has a discovery watch,
// connections to each cache and connections to other gateways.
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

// names returns the names of all gateways, in order.
func (s *Scenario) names() (all []string) {
	for i := range s.Gateways {
		all = append(all, fmt.Sprintf("n%d", i+1))
	}
	return all
}

// locality returns the locality of a gateway, or the zero value if the scenario sets none.
func (s *Scenario) locality(name string) GatewayLocality {
	for _, locality := range s.Localities {
		if slices.Contains(locality.Gateways, name) {
			return locality
		}
	}
	return GatewayLocality{}
}

// treeHeads returns the gateways with a role in the broadcast tree of the whole fleet, by the name of the role in
// steps. The role root is the root of the tree, and first-SITE is the first member of a site.
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
