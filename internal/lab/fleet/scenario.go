package fleet

import (
	"embed"
	"fmt"
	"math/rand/v2"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"foldslip/internal/config"
	"foldslip/internal/config/configfile"
)

const (
	maxGateways = 1024 // the rig's runs of blocks have hosts for 2,500
	maxCaches   = 1024
	maxSteps    = 200
	maxDuration = 30 * time.Minute
)

// Scenario is a fleet, its load and a timeline of faults, a Jsonnet template (docs/fleet.md). Times in milliseconds.
type Scenario struct {
	Name         string        `json:"name"`
	Gateways     int64         `json:"gateways"`          // n1, n2, ...
	LateGateways int64         `json:"late,omitempty"`    // of these, the last so many are started by a step only
	Caches       int64         `json:"caches,omitempty"`  // stand-in edges beside one parent and the origin
	Load         Load          `json:"load,omitempty"`    // lookups
	Limit        *Limit        `json:"limit,omitempty"`   // on all lookups
	KeepMembers  bool          `json:"disk,omitempty"`    // gateways keep who they knew
	Seeds        int64         `json:"seeds,omitempty"`   // gateways that the others are told of; 3
	Fleet        config.Fleet  `json:"fleet,omitempty"`   // settings; addresses, seeds, folder and socket are the rig's
	ClockOffsets []ClockOffset `json:"offsets,omitempty"` // clocks that are wrong
	Places       []Place       `json:"places,omitempty"`  // where gateways stand
	Purges       *PurgeLoad    `json:"purges,omitempty"`  // told at a rate; needs fleet.broadcast
	ReadyMS      int64         `json:"ready_ms,omitempty"`
	Steps        []Step        `json:"steps"`
	EndMS        int64         `json:"end_ms"` // after the last step
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

// Bulletin is the name of the bulletin in links; gateways hear it by links of their own.
const DiscoveryName = "bulletin"

//go:embed scenarios/*.jsonnet
var shippedScenarios embed.FS

// maxStreams is how many streams the relay must carry at once: a gateway's watch, its connections to each cache, and those among gateways.
func (s *Scenario) maxStreams() int {
	const toCache, toPeers, least = 4, 4, 2_000
	return max(least, int(s.Gateways)*(1+toPeers+toCache*(int(s.Caches)+2)))
}

// HardCases are the names of the scenarios that come with the rig.
func HardCases() (names []string) {
	files, err := shippedScenarios.ReadDir("scenarios")
	if err != nil {
		return nil
	}
	for _, f := range files {
		if name := strings.TrimSuffix(f.Name(), ".jsonnet"); !strings.HasPrefix(name, "_") {
			names = append(names, name)
		}
	}
	return names
}

// ReadScenario reads a scenario that comes with the rig by its name, or a file.
func ReadScenario(name string) (*Scenario, error) {
	read := os.ReadFile
	if slices.Contains(HardCases(), name) {
		name = "scenarios/" + name + ".jsonnet"
		read = shippedScenarios.ReadFile
	}
	s := &Scenario{}
	if err := configfile.Evaluate(name, read, s); err != nil {
		return nil, err
	}
	if s.Name == "" {
		s.Name = strings.TrimSuffix(path.Base(name), ".jsonnet")
	}
	return s, s.check(name)
}

func (s *Scenario) check(file string) error {
	bad := func(at, text, remedy string) error {
		return config.Error{File: file, Path: at, Text: text, Remedy: remedy}
	}
	if s.Gateways < 1 || s.Gateways > maxGateways || s.LateGateways < 0 || s.LateGateways >= s.Gateways {
		return bad("gateways", fmt.Sprintf("%d, %d of them late", s.Gateways, s.LateGateways), fmt.Sprintf("expected 1 to %d, some of them not late", maxGateways))
	}
	if s.Caches < 0 || s.Caches > maxCaches {
		return bad("caches", fmt.Sprintf("is %d", s.Caches), fmt.Sprintf("expected 0 to %d", maxCaches))
	}
	if s.Load.PerSecond < 0 || s.Load.PerSecond > 2000 || s.Load.PerSecond > 0 && s.Caches == 0 {
		return bad("load.per_second", fmt.Sprintf("is %g", s.Load.PerSecond), "expected 0 to 2000, and caches to ask")
	}
	if l := s.Limit; l != nil && (l.LookupsPerSecond < 1 || l.MaxOverrun < 0 || s.Load.PerSecond == 0) {
		return bad("limit", fmt.Sprintf("%+v", *l), "a limit of at least 1 lookup a second, and a load")
	}
	if p := s.Purges; p != nil && (p.PerSecond <= 0 || p.FromMS < 0 || p.PerSecond*float64(p.ForMS)/1000 > maxPurges || p.MinShare < 0 || p.MinShare > 1 || !s.Fleet.BroadcastsPurges) {
		return bad("purges", fmt.Sprintf("%+v", *p), fmt.Sprintf("expected per_second above 0, at most %d in all, and fleet.broadcast", maxPurges))
	}
	for i, p := range s.Places {
		if p.Region == "" || p.Zone == "" || p.Site == "" {
			return bad(fmt.Sprintf("places[%d]", i), fmt.Sprintf("%+v", p), "expected region, zone and site")
		}
		for _, who := range p.Gateways {
			if !slices.Contains(s.names(), who) {
				return bad(fmt.Sprintf("places[%d].who", i), fmt.Sprintf("%q is nobody", who), "expected n1 to n"+fmt.Sprint(s.Gateways))
			}
		}
	}
	if s.Seeds == 0 {
		s.Seeds = min(3, s.Gateways-s.LateGateways)
	}
	if s.ReadyMS == 0 {
		s.ReadyMS = 30_000
	}
	steps, err := s.unroll()
	if err != nil {
		return bad("steps", err.Error(), "see docs/fleet.md")
	}
	s.Steps = steps
	if len(s.Steps) > maxSteps {
		return bad("steps", fmt.Sprintf("has %d", len(s.Steps)), fmt.Sprintf("at most %d", maxSteps))
	}
	last, picked := int64(0), map[string]bool{}
	for name := range s.treeHeads() {
		picked[name] = true
	}
	for i, st := range s.Steps {
		at := fmt.Sprintf("steps[%d]", i)
		if st.AtMS < last {
			return bad(at+".at_ms", fmt.Sprintf("is %d, before the step before it", st.AtMS), "steps stand in order")
		}
		last = st.AtMS
		if !slices.Contains([]string{"kill", "stop", "start", "pause", "resume", "split", "heal", "link", "purge", "mark"}, st.Action) {
			return bad(at+".do", fmt.Sprintf("%q", st.Action), "expected kill, stop, start, pause, resume, split, heal, link, purge or mark")
		}
		if st.Settle != "" && st.Settle != "sides" && st.Settle != "none" {
			return bad(at+".settle", fmt.Sprintf("%q", st.Settle), "expected sides or none")
		}
		for _, who := range slices.Concat(st.Targets, st.From, st.To, slices.Concat(st.Groups...), s.Load.Through) {
			if name, ok := strings.CutPrefix(who, "@"); ok && !picked[name] || !ok && who != "*" && who != DiscoveryName && !slices.Contains(s.names(), who) {
				return bad(at, fmt.Sprintf("%q is nobody", who), "expected n1 to n"+fmt.Sprint(s.Gateways)+", * or @ and what a step before has as")
			}
		}
		if st.PickName != "" {
			picked[st.PickName] = true
		}
	}
	if end := time.Duration(last+s.EndMS+s.ReadyMS) * time.Millisecond; end > maxDuration {
		return bad("end_ms", fmt.Sprintf("makes %v", end), fmt.Sprintf("a run takes at most %v", maxDuration))
	}
	return nil
}

// unroll writes repeated steps out: repeat on a step repeats it and the one after it, every so often.
func (s *Scenario) unroll() (out []Step, err error) {
	for i := 0; i < len(s.Steps); i++ {
		st := s.Steps[i]
		if st.Repeat <= 1 {
			out = append(out, st)
			continue
		}
		if i+1 >= len(s.Steps) || st.EveryMS <= 0 || st.Repeat > maxSteps {
			return nil, fmt.Errorf("steps[%d] repeats: it needs every_ms and a step after it", i)
		}
		next := s.Steps[i+1]
		for n := range st.Repeat {
			a, b := st, next
			a.AtMS, b.AtMS = st.AtMS+n*st.EveryMS, next.AtMS+n*st.EveryMS
			a.Repeat, a.EveryMS = 0, 0
			if n > 0 && a.PickCount > 0 && a.PickName != "" { // the same one again
				a.PickCount, a.Targets, a.PickName = 0, []string{"@" + a.PickName}, ""
			}
			out = append(out, a, b)
		}
		i++
	}
	return out, nil
}

func (s *Scenario) names() (all []string) {
	for i := range s.Gateways {
		all = append(all, fmt.Sprintf("n%d", i+1))
	}
	return all
}

// Selector draws a scenario's chances: who is picked, who is on which side. Run on real processes and on the virtual clock alike.
type Selector struct {
	rng    *rand.Rand
	all    []string
	picked map[string][]string
}

// NewSelector makes the cast of one seed.
func (s *Scenario) NewSelector(seed uint64) *Selector {
	return &Selector{rand.New(rand.NewPCG(seed, 0x63617374)), s.names(), s.treeHeads()}
}

func (c *Selector) names(who []string) (out []string) {
	for _, w := range who {
		if w == "*" {
			out = append(out, c.all...)
		} else if name, ok := strings.CutPrefix(w, "@"); ok {
			out = append(out, c.picked[name]...)
		} else {
			out = append(out, w)
		}
	}
	return out
}

// Targets are a step's gateways; running are those it may pick from.
func (c *Selector) Targets(st Step, running []string) (out []string) {
	if st.PickCount > 0 {
		out = slices.Clone(running)
		c.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:min(int(st.PickCount), len(out))]
	} else {
		out = c.names(st.Targets)
	}
	if st.PickName != "" {
		c.picked[st.PickName] = out
	}
	return out
}

// Groups are a split's sides.
func (c *Selector) Groups(st Step) (groups [][]string) {
	if len(st.Groups) > 0 {
		for _, g := range st.Groups {
			groups = append(groups, c.names(g))
		}
		return groups
	}
	rest := slices.Clone(c.all)
	c.rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	bridge := rest[:min(int(st.Bridge), len(rest))]
	rest = rest[len(bridge):]
	for _, n := range st.Sizes {
		n := min(int(n), len(rest))
		groups = append(groups, slices.Concat(rest[:n], bridge))
		rest = rest[n:]
	}
	return groups
}

// LinkFault is a link step's fault.
func (st Step) LinkFault() LinkFault {
	return LinkFault{Cut: st.Cut, Loss: st.Loss, Delay: config.Milliseconds(st.DelayMS), Jitter: config.Milliseconds(st.JitterMS), Reorder: st.Reorder, BytesPerSecond: st.KBPerSecond << 10}
}
