package scenario

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// Profiles of scenarios, as commands and plans spell them.
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

// Profiles are the profiles that plans are drawn for, and what each is.
var Profiles = map[string]string{
	profileMixed:     "faults of every kind, two to nine a day, overlapping",
	profileCalm:      "no faults",
	profileGateways:  "gateways die, restart and read anew",
	profileCaches:    "caches, parents and the origin fail",
	profileWires:     "resets, spoilt answers, splits and the bulletin",
	profileClients:   "bursts, floods and clients that misbehave",
	profileExtproc:   "other proxies ask at the door and make the sends themselves; callers that break the contract, and faults besides",
	profileBoth:      "as door, with half of the clients at the gateway itself",
	profileRoutes:    "operators change the routes of gateways at any time, and confirm, undo or forget it; faults besides",
	profileColdStart: "gateways start from a list on disk, young or old, while the bulletin is away; few faults besides",
}

// drawnPrefixes are the beginnings of the names of faults that a profile draws, besides those of ProfileDraws. What happens on a gateway's
// own connections to caches does not happen with the external processor.
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

// kindDrawer draws kinds of faults by their weights.
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
	targetRange  = 1 << 16 // of faults; taken modulo the actors of a kind
	firstFaultMS = 3000
	lastFaultMS  = 57000
)

// DrawPlan draws the plan of a seed for a profile.
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
	focusMS := [2]int{4000 + rng.IntN(50000), 4000 + rng.IntN(50000)} // most faults begin about one of two times
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
		fault.AtMS = focusMS[rng.IntN(2)] // at one instant with others
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
