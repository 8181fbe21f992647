package scenario

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// Names of profiles in commands and plans.
const (
	profileMixed     = "mixed"
	profileCalm      = "calm"
	profileGateways  = "gateways"
	profileCaches    = "caches"
	profileWires     = "wires"
	profileClients   = "clients"
	profileExtproc   = "door"
	profileBoth      = "both"
	profileRoutes    = "routes"
	profileColdStart = "morning"
)

// Profiles holds the help text of each profile that plans are drawn for, by name.
var Profiles = map[string]string{
	profileMixed:     "two to nine overlapping faults of every kind in a day",
	profileCalm:      "no faults",
	profileGateways:  "gateways are killed, restarted and reloaded",
	profileCaches:    "caches, parents and the origin fail",
	profileWires:     "connection resets, corrupted answers, network splits and discovery faults",
	profileClients:   "bursts, floods and clients that misbehave",
	profileExtproc:   "other proxies ask the external processor and send the attempts themselves; callers break the contract, besides other faults",
	profileBoth:      "as door, with half of the clients sending to the gateway directly",
	profileRoutes:    "operators change the routes of gateways at any time and confirm, roll back or forget the change, besides other faults",
	profileColdStart: "gateways start from a list on disk of any age while discovery is unreachable, besides a few other faults",
}

// drawnPrefixes holds, by profile, the prefixes of the kinds of faults that the profile draws in addition to
// those that ProfileDraws names. Profiles with the external processor draw no faults of a gateway's own
// connections to caches, since callers send the attempts.
var drawnPrefixes = map[string][]string{
	profileExtproc:  extprocPrefixes,
	profileBoth:     extprocPrefixes,
	profileGateways: {"gateway", "reload", "clock", "purge"},
	profileCaches:   {"cache", "cold", "parent", "origin", "purge"},
	profileWires:    {"reset", "spoilt", "split", "bulletin", "purge"},
	profileClients:  {"burst", "hot", "bad", "client", "little", "few"},
}

var extprocPrefixes = []string{"gateway", "reload", "clock", "cache_kill", "cache_back", "cache_vanish", "cache_hang", "cache_drain", "cache_replace",
	"cache_slow", "cache_errors", "cold", "parent", "origin", "split_caches", "split_bulletin", "spoilt_fault", "bulletin", "purge", "burst", "hot", "little"}

// ProfileDraws reports whether a profile draws a kind of fault.
func ProfileDraws(profile, kind string) bool {
	if strings.HasPrefix(kind, "route_") {
		return profile == profileRoutes
	}
	if strings.HasPrefix(kind, "caller") {
		return profile == profileExtproc || profile == profileBoth
	}
	switch profile {
	case profileMixed, profileColdStart, profileRoutes:
		return true
	}
	return slices.ContainsFunc(drawnPrefixes[profile], func(prefix string) bool { return strings.HasPrefix(kind, prefix) })
}

// kindDrawer draws kinds of faults with probabilities proportional to their weights.
type kindDrawer struct {
	rng       *rand.Rand
	kinds     []FaultKind
	weightSum int
}

func newKindDrawer(rng *rand.Rand, profile string) *kindDrawer {
	d := &kindDrawer{rng: rng}
	for _, kind := range FaultKinds {
		if ProfileDraws(profile, kind.Name) {
			d.kinds = append(d.kinds, kind)
			d.weightSum += kind.weight
		}
	}
	return d
}

func (d *kindDrawer) draw() FaultKind {
	n := d.rng.IntN(d.weightSum)
	for _, kind := range d.kinds {
		n -= kind.weight
		if n < 0 {
			return kind
		}
	}
	return d.kinds[0]
}

const (
	targetRange  = 1 << 16 // exclusive bound of drawn values of Fault.Target and Fault.Variant
	firstFaultMS = 3000
	lastFaultMS  = 57000
)

// DrawPlan returns the plan that a seed gives for a profile. One plan in eight is large.
func DrawPlan(seed uint64, profile string) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x6461792d706c616e))
	plan := Plan{Form: PlanForm, Seed: seed, Profile: profile, Seconds: 60, Gateways: 3, Caches: 8, Parents: 2, Rate: 6 + 6*rng.Float64(), MemoryMB: 64,
		Descriptors: 384}
	if isLarge := rng.IntN(8) == 0; isLarge {
		plan.Gateways = 4 + rng.IntN(9)
		plan.Caches = 8 + rng.IntN(33)
		plan.Parents = 2 + rng.IntN(3)
		plan.Rate = min(plan.Rate, 30/float64(plan.Gateways))
	}
	kinds := newKindDrawer(rng, profile)
	if len(kinds.kinds) == 0 {
		return plan
	}
	// Two in three faults begin at one of these two times or within 3 s after it.
	focusMS := [2]int{4000 + rng.IntN(50000), 4000 + rng.IntN(50000)}
	faults := 2 + rng.IntN(8)
	if profile == profileRoutes {
		plan.Faults = drawRouteChanges(rng)
	}
	if profile == profileColdStart {
		plan.ColdStart = drawColdStart(rng)
		faults = rng.IntN(4)
	}
	for range faults {
		plan.Faults = append(plan.Faults, drawFault(rng, kinds.draw(), focusMS))
	}
	slices.SortStableFunc(plan.Faults, func(a, b Fault) int { return a.AtMS - b.AtMS })
	return plan
}

func drawFault(rng *rand.Rand, kind FaultKind, focusMS [2]int) Fault {
	fault := Fault{Kind: kind.Name, Target: rng.IntN(targetRange), Variant: rng.IntN(targetRange), DurationMS: kind.minMS + rng.IntN(kind.maxMS-kind.minMS+1)}
	switch rng.IntN(3) {
	case 0:
		fault.AtMS = focusMS[rng.IntN(2)] // at the same instant as other faults
	case 1:
		fault.AtMS = focusMS[rng.IntN(2)] + rng.IntN(3000)
	default:
		fault.AtMS = firstFaultMS + rng.IntN(lastFaultMS-firstFaultMS)
	}
	if kind.fromStart {
		fault.AtMS = 0
	}
	return fault
}

func drawRouteChanges(rng *rand.Rand) (changes []Fault) {
	for range 3 + rng.IntN(6) {
		changes = append(changes, Fault{Kind: kindRouteChange, AtMS: 2000 + rng.IntN(55000), Target: rng.IntN(targetRange), Variant: rng.IntN(targetRange),
			DurationMS: 50 + rng.IntN(2000)})
	}
	return changes
}

func drawColdStart(rng *rand.Rand) *ColdStart {
	const day = 86400 // seconds
	return &ColdStart{
		StartFrom:        startFromList,
		AgeSeconds:       []int{2, 60, 3600, day, 30 * day}[rng.IntN(5)],
		WrongShare:       []float64{0, 0.1, 0.5, 1}[rng.IntN(4)],
		AwayMS:           []int{0, 3000, 12000, 35000}[rng.IntN(4)],
		Cold:             rng.IntN(3) == 0,
		Torn:             rng.IntN(6) == 0,
		SkewSeconds:      []int{0, 0, 0, -7200, 7200}[rng.IntN(5)],
		NumbersRestarted: rng.IntN(4) == 0,
		DrainUnannounced: rng.IntN(4) == 0,
	}
}
