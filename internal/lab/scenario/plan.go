// Package scenario runs gateways of the real program in a simulation, with clients, caches and discovery that are state
// machines, under faults drawn from a seed. A checker that sees the wires and the true state of every actor checks the
// rules that the gateways must keep.
//
// A Plan determines a scenario entirely: the same plan gives the same run, byte for byte. Run runs it, Shrink finds the
// smallest plan that still breaks a rule. A scenario owns its simulation and leaves nothing behind.
package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// Form is the form of plans on file.
const PlanForm = 1

// Plan is a day: its size, its length and its faults.
type Plan struct {
	Form          int        `json:"form"`
	Seed          uint64     `json:"seed"`
	Profile       string     `json:"days"`
	Seconds       int        `json:"seconds"` // from the clients' first lookup to their last
	Gateways      int        `json:"gateways"`
	Caches        int        `json:"caches"`
	Parents       int        `json:"parents"`
	Rate          float64    `json:"rate"`      // lookups a second at each gateway
	MemoryMB      float64    `json:"memory_mb"` // told to each gateway
	Descriptors   int        `json:"descriptors"`
	Faults        []Fault    `json:"faults"`
	InjectedFault string     `json:"plant,omitempty"` // a fault of the gateway itself, to prove the referee
	ColdStart     *ColdStart `json:"morning,omitempty"`
}

// Fault is one trouble, with its beginning and its span in milliseconds. Who is a number that is taken modulo the
// parties of its kind; More is what the kind makes of it.
type Fault struct {
	AtMS       int    `json:"at_ms"`
	Kind       string `json:"kind"`
	Target     int    `json:"who"`
	DurationMS int    `json:"for_ms"`
	Variant    int    `json:"more,omitempty"`
}

// String is the fault in one line, as reports print it.
func (f Fault) String() string {
	return fmt.Sprintf("%d.%03d s %s who=%d for=%dms", f.AtMS/1000, f.AtMS%1000, f.Kind, f.Target, f.DurationMS)
}

// FaultKind is a kind of fault.
type FaultKind struct {
	Name, Help   string
	minMS, maxMS int // span in milliseconds
	weight       int
	fromStart    bool
	begin        func(d *Scenario, f Fault)
}

// Days are the kinds of days and what they draw from.
var Profiles = map[string]string{
	"mixed":    "faults of every kind, two to nine a day, overlapping",
	"calm":     "no faults",
	"gateways": "gateways die, restart and read anew",
	"caches":   "caches, parents and the origin fail",
	"wires":    "resets, spoilt answers, splits and the bulletin",
	"clients":  "bursts, floods and clients that misbehave",
	"door":     "other proxies ask at the door and make the sends themselves; callers that break the contract, and faults besides",
	"both":     "as door, with half of the clients at the gateway itself",
	"routes":   "operators change the routes of gateways at any time, and confirm, undo or forget it; faults besides",
	"morning":  "gateways start from a list on disk, young or old, while the bulletin is away; few faults besides",
}

func profileDraws(days, kind string) bool {
	has := func(words ...string) bool {
		return slices.ContainsFunc(words, func(w string) bool { return strings.HasPrefix(kind, w) })
	}
	if has("route_") {
		return days == "routes"
	}
	if has("caller") {
		return days == "door" || days == "both"
	}
	switch days {
	case "mixed", "morning", "routes":
		return true
	case "door", "both": // what happens on a gateway's own connections to caches is not met there
		return has("gateway", "reload", "clock", "cache_kill", "cache_back", "cache_vanish", "cache_hang", "cache_drain", "cache_replace", "cache_slow",
			"cache_errors", "cold", "parent", "origin", "split_caches", "split_bulletin", "spoilt_fault", "bulletin", "purge", "burst", "hot", "little")
	case "gateways":
		return has("gateway", "reload", "clock", "purge")
	case "caches":
		return has("cache", "cold", "parent", "origin", "purge")
	case "wires":
		return has("reset", "spoilt", "split", "bulletin", "purge")
	case "clients":
		return has("burst", "hot", "bad", "client", "little", "few")
	}
	return false
}

// usesExternalProcessor tells whether other proxies ask at the gateways' doors.
func (p Plan) usesExternalProcessor() bool { return p.Profile == "door" || p.Profile == "both" }

// DrawPlan makes the plan of a seed.
func DrawPlan(seed uint64, days string) Plan {
	r := rand.New(rand.NewPCG(seed, 0x6461792d706c616e))
	p := Plan{Form: PlanForm, Seed: seed, Profile: days, Seconds: 60, Gateways: 3, Caches: 8, Parents: 2, Rate: 6 + 6*r.Float64(),
		MemoryMB: 64, Descriptors: 384}
	if r.IntN(8) == 0 { // now and then a larger place
		p.Gateways, p.Caches, p.Parents = 4+r.IntN(9), 8+r.IntN(33), 2+r.IntN(3)
		p.Rate = min(p.Rate, 30/float64(p.Gateways))
	}
	var from []FaultKind
	sum := 0
	for _, k := range FaultKinds {
		if profileDraws(days, k.Name) {
			from = append(from, k)
			sum += k.weight
		}
	}
	if len(from) == 0 {
		return p
	}
	draw := func() FaultKind {
		n := r.IntN(sum)
		for _, k := range from {
			if n -= k.weight; n < 0 {
				return k
			}
		}
		return from[0]
	}
	knots := []int{4000 + r.IntN(50000), 4000 + r.IntN(50000)} // troubles gather at two times of the day
	n := 2 + r.IntN(8)
	if days == "routes" {
		for range 3 + r.IntN(6) {
			p.Faults = append(p.Faults, Fault{Kind: "route_change", AtMS: 2000 + r.IntN(55000), Target: r.IntN(1 << 16), Variant: r.IntN(1 << 16), DurationMS: 50 + r.IntN(2000)})
		}
	}
	if days == "morning" {
		p.ColdStart = drawColdStart(r)
		n = r.IntN(4)
	}
	for range n {
		k := draw()
		f := Fault{Kind: k.Name, Target: r.IntN(1 << 16), Variant: r.IntN(1 << 16), DurationMS: k.minMS + r.IntN(k.maxMS-k.minMS+1)}
		switch r.IntN(3) {
		case 0:
			f.AtMS = knots[r.IntN(2)] // at the very instant
		case 1:
			f.AtMS = knots[r.IntN(2)] + r.IntN(3000)
		default:
			f.AtMS = 3000 + r.IntN(54000)
		}
		if k.fromStart {
			f.AtMS = 0
		}
		p.Faults = append(p.Faults, f)
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return a.AtMS - b.AtMS })
	return p
}

// ReadPlan reads a plan from a file's text.
func ReadPlan(text []byte) (Plan, error) {
	var p Plan
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	var form struct {
		Form int `json:"form"`
	}
	if err := json.Unmarshal(text, &form); err != nil {
		return p, fmt.Errorf("not a plan in JSON: %w", err)
	}
	if form.Form != PlanForm {
		return p, fmt.Errorf("a plan of form %d; this program plays form %d: draw the seed anew", form.Form, PlanForm)
	}
	if err := d.Decode(&p); err != nil {
		return p, fmt.Errorf("not a plan: %w", err)
	}
	return p, p.Validate()
}

// Validate tells what of a plan cannot be played.
func (p Plan) Validate() error {
	in := func(name string, n, least, most int) error {
		if n < least || n > most {
			return fmt.Errorf("%s is %d, expected %d to %d", name, n, least, most)
		}
		return nil
	}
	for _, err := range []error{in("seconds", p.Seconds, 1, 3600), in("gateways", p.Gateways, 1, 12),
		in("caches", p.Caches, 1, 40), in("parents", p.Parents, 1, 8), in("descriptors", p.Descriptors, 32, 4096),
		in("memory_mb", int(p.MemoryMB), 8, 4096), in("rate", int(p.Rate), 0, 1000)} {
		if err != nil {
			return err
		}
	}
	if _, known := Profiles[p.Profile]; !known {
		return fmt.Errorf("days %q is unknown, expected one of %s", p.Profile, strings.Join(sortedKeys(Profiles), ", "))
	}
	if p.ColdStart != nil {
		if err := p.ColdStart.validate(); err != nil {
			return err
		}
	}
	for i, f := range p.Faults {
		if findFaultKind(f.Kind) == nil {
			return fmt.Errorf("faults[%d]: kind %q is unknown; foldslip faults kinds lists them", i, f.Kind)
		}
		if f.AtMS < 0 || f.DurationMS < 0 || f.Target < 0 || f.Variant < 0 {
			return fmt.Errorf("faults[%d]: a figure is negative", i)
		}
	}
	if p.InjectedFault != "" && injectedFaults[p.InjectedFault].help == "" && extprocFaults[p.InjectedFault].help == "" {
		return fmt.Errorf("plant %q is unknown, expected one of %s", p.InjectedFault, strings.Join(InjectedFaults(), ", "))
	}
	return nil
}

func findFaultKind(name string) *FaultKind {
	for i := range FaultKinds {
		if FaultKinds[i].Name == name {
			return &FaultKinds[i]
		}
	}
	return nil
}

func sortedKeys[T any](m map[string]T) (names []string) {
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func drawColdStart(r *rand.Rand) *ColdStart {
	return &ColdStart{StartFrom: "list", AgeSeconds: []int{2, 60, 3600, 86400, 30 * 86400}[r.IntN(5)], WrongShare: []float64{0, 0.1, 0.5, 1}[r.IntN(4)],
		AwayMS: []int{0, 3000, 12000, 35000}[r.IntN(4)], Cold: r.IntN(3) == 0, Torn: r.IntN(6) == 0,
		SkewSeconds: []int{0, 0, 0, -7200, 7200}[r.IntN(5)], NumbersRestarted: r.IntN(4) == 0, DrainUnannounced: r.IntN(4) == 0}
}
