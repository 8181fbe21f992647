package fleet

import (
	"fmt"
	"slices"
	"time"

	"foldslip/internal/config"
	"foldslip/internal/fleet/broadcast"
)

const (
	maxGateways = 1024 // the rig's runs of blocks have hosts for 2,500
	maxCaches   = 1024
	maxSteps    = 200
	maxDuration = 30 * time.Minute
)

// Scenario is a fleet, its load and a timeline of faults, a Jsonnet template (docs/fleet.md). Times in milliseconds.
type Scenario struct {
	Name         string            `json:"name"`
	Gateways     int64             `json:"gateways"`          // n1, n2, ...
	LateGateways int64             `json:"late,omitempty"`    // of these, the last so many are started by a step only
	Caches       int64             `json:"caches,omitempty"`  // stand-in edges beside one parent and the origin
	Load         Load              `json:"load,omitempty"`    // lookups
	Limit        *Limit            `json:"limit,omitempty"`   // on all lookups
	KeepMembers  bool              `json:"disk,omitempty"`    // gateways keep who they knew
	Seeds        int64             `json:"seeds,omitempty"`   // gateways that the others are told of; 3
	Fleet        config.Fleet      `json:"fleet,omitempty"`   // settings; addresses, seeds, folder and socket are the rig's
	ClockOffsets []ClockOffset     `json:"offsets,omitempty"` // clocks that are wrong
	Localities   []GatewayLocality `json:"places,omitempty"`  // where gateways stand
	Purges       *PurgeLoad        `json:"purges,omitempty"`  // told at a rate; needs fleet.broadcast
	ReadyMS      int64             `json:"ready_ms,omitempty"`
	Steps        []Step            `json:"steps"`
	EndMS        int64             `json:"end_ms"` // after the last step
}

// Load are lookups that the rig's own client sends to running gateways in turn.
type Load struct {
	PerSecond float64  `json:"per_second,omitempty"`
	Objects   int64    `json:"objects,omitempty"`
	Through   []string `json:"through,omitempty"` // these gateways only
}

// Limit is a limit on lookups that all gateways have in their settings.
type Limit struct {
	LookupsPerSecond float64 `json:"lookups_a_second"`
	FleetWide        bool    `json:"fleet"`           // of all together; else of each, as it is without a fleet
	MaxOverrun       float64 `json:"over,omitempty"`  // the bound that the scenario is held to, as a part of the limit (docs/fleet-limits.md)
	MinShare         float64 `json:"least,omitempty"` // of the limit, let in on the mean after the first 10 s
}

// ClockOffset is a wrong clock.
type ClockOffset struct {
	Gateway string `json:"who"`
	MS      int64  `json:"ms"`
}

// Step is one thing done to the fleet.
type Step struct {
	AtMS         int64      `json:"at_ms"` // after the fleet was ready
	Action       string     `json:"do"`    // kill, stop, start, pause, resume, split, heal, link, purge, mark
	Targets      []string   `json:"who,omitempty"`
	PickCount    int64      `json:"pick,omitempty"` // that many running ones by chance, in place of who
	PickName     string     `json:"as,omitempty"`   // a name for whom was picked; a later step's who says @name
	Forget       bool       `json:"forget,omitempty"`
	Groups       [][]string `json:"groups,omitempty"` // of a split
	Sizes        []int64    `json:"sizes,omitempty"`  // or its groups' sizes, by chance
	Bridge       int64      `json:"bridge,omitempty"` // gateways that hear every group
	From         []string   `json:"from,omitempty"`   // of a link's fault; * is all gateways
	To           []string   `json:"to,omitempty"`
	Cut          bool       `json:"cut,omitempty"`
	Loss         float64    `json:"loss,omitempty"`
	DelayMS      int64      `json:"delay_ms,omitempty"`
	JitterMS     int64      `json:"jitter_ms,omitempty"`
	Reorder      float64    `json:"reorder,omitempty"`
	KBPerSecond  int64      `json:"rate_kb,omitempty"`
	Settle       string     `json:"settle,omitempty"` // what is waited for until the next step: sides (usual), none
	BoundMS      int64      `json:"bound_ms,omitempty"`
	MinReceivers int64      `json:"least,omitempty"`  // gateways that must hear a purge of peers
	Repeat       int64      `json:"repeat,omitempty"` // the step and those after it up to the next with every, so often
	EveryMS      int64      `json:"every_ms,omitempty"`
}

// PurgeLoad are those that the bulletin tells at a steady rate, and what their spreading among gateways is held to (docs/fleet-broadcast-operators.md).
type PurgeLoad struct {
	PerSecond float64 `json:"per_second"`
	FromMS    int64   `json:"from_ms"` // after the fleet was ready
	ForMS     int64   `json:"for_ms"`
	MinShare  float64 `json:"share,omitempty"` // at least that part must be heeded in time by gateways that do not hear the bulletin
}

// GatewayLocality is where some gateways stand.
type GatewayLocality struct {
	Gateways []string `json:"who"`
	Region   string   `json:"region"`
	Zone     string   `json:"zone"`
	Site     string   `json:"site"`
}

// Bulletin is the name of the bulletin in links; gateways hear it by links of their own.
const DiscoveryName = "bulletin"

// maxStreams is how many streams the relay must carry at once: a gateway's watch, its connections to each cache, and those among gateways.
func (s *Scenario) maxStreams() int {
	const toCache, toPeers, least = 4, 4, 2_000
	return max(least, int(s.Gateways)*(1+toPeers+toCache*(int(s.Caches)+2)))
}

func (s *Scenario) names() (all []string) {
	for i := range s.Gateways {
		all = append(all, fmt.Sprintf("n%d", i+1))
	}
	return all
}

// LinkFault is a link step's fault.
func (st Step) LinkFault() LinkFault {
	return LinkFault{Cut: st.Cut, Loss: st.Loss, Delay: config.Milliseconds(st.DelayMS), Jitter: config.Milliseconds(st.JitterMS), Reorder: st.Reorder, BytesPerSecond: st.KBPerSecond << 10}
}

// locality is where a gateway stands in the scenario.
func (s *Scenario) locality(name string) (p GatewayLocality) {
	for _, p := range s.Localities {
		if slices.Contains(p.Gateways, name) {
			return p
		}
	}
	return p
}

// treeHeads are names of gateways by what they are in the tree of the whole fleet: root, and first-SITE for each site's.
func (s *Scenario) treeHeads() map[string][]string {
	out := map[string][]string{}
	var all []broadcast.Member
	for _, name := range s.names() {
		p := s.locality(name)
		all = append(all, broadcast.Member{Name: name, Locality: broadcast.Locality{Region: p.Region, Zone: p.Zone, Site: p.Site}})
	}
	broadcast.SortMembers(all)
	for i, m := range all {
		if i == 0 {
			out["root"] = []string{m.Name}
		}
		if key := "first-" + m.Locality.Site; m.Locality.Site != "" && out[key] == nil {
			out[key] = []string{m.Name}
		}
	}
	return out
}
