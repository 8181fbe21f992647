package scenario

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"foldslip/internal/lab/simenv"
	kept "foldslip/internal/store/endpoints"
)

// What the location is like. Times are in the units of the settings, microseconds.
const (
	warmup               = 1500 * time.Millisecond // from the start to the first lookup
	flowKBPerSecond      = 2400.0                  // of one transfer, a second
	edgeTransfers        = 1.5                     // transfers that an edge bears at once
	parentTransfers      = 3.0
	edgeWarmup           = 13 * time.Second
	edgeColdShare        = 0.16
	overloadWindow       = time.Second
	edgeOverloadFactor   = 3.0
	parentWarmup         = 21 * time.Second
	parentColdShare      = 0.064
	parentOverloadFactor = 2.0
	purgeGrace           = 300 * time.Millisecond // to act on a purge
	drainGrace           = 2 * time.Second        // to act on a drain
	cancelGrace          = 100 * time.Millisecond // after a client left, its lookup is not sent on
	socketSlack          = 50 * time.Millisecond  // more on sockets
	notifiedAfter        = 7 * time.Second        // what is published counts as told by then, if the gateway could hear
	reachableFor         = 4500 * time.Millisecond
	maxAttempts          = 6
)

// kinds of lookups, in the order of the settings.
var lookupKinds = []struct {
	name, effect, group string
	aim, deadline       time.Duration
	stretch             float64
	fresh, grace        time.Duration
	passOn              bool
	share               int // of lookups, in a hundred
}{
	{"segment", "idempotent", "", 400 * time.Millisecond, 5 * time.Second, 1.6, 0, 0, false, 50},
	{"page", "idempotent", "", 250 * time.Millisecond, 2500 * time.Millisecond, 2, 8 * time.Second, 2 * time.Second, false, 40},
	{"order", "at_most_once", "", 600 * time.Millisecond, 3 * time.Second, 2, 0, 0, true, 6},
	{"till", "deduplicated", "zone", 600 * time.Millisecond, 3 * time.Second, 2, 0, 0, true, 4},
}

// Scenario is a day while it is played.
type Scenario struct {
	Plan             Plan
	sim              *simenv.Simulation
	checker          *checker
	gateways         []*gatewayActor
	caches           []*cache // edges, as the list has them now
	parents          []*cache
	origin           *cache
	byID             map[string]*cache
	discoveryServers [2]*discoveryServer
	events           []discoveryEvent
	clients          *clientActor
	lastCacheID      int
	zoneCount        int
	recentEvents     []string
	reasons          map[string]int
	corruption       answerCorruption
	hooks            Hooks
	keptList         []kept.Endpoint
	earlyLookups     EarlyLookups
	callers          map[*gatewayActor]*extprocCaller
	firstEdges       []string // ids of the edges at the day's start
}

// Violation is a rule that was broken.
type Violation struct {
	Rule   string        `json:"rule"`
	At     time.Duration `json:"at_ns"`
	Detail string        `json:"detail"`
}

// String is the violation in one line, as reports print it.
func (b Violation) String() string {
	return fmt.Sprintf("%.6f s: %s: %s", b.At.Seconds(), b.Rule, b.Detail)
}

// Result is the outcome of a scenario.
type Result struct {
	Plan         Plan           `json:"plan"`
	Digest       string         `json:"digest"`
	Violations   []Violation    `json:"broken,omitempty"`
	Steps        uint64         `json:"steps"`
	VirtualTime  time.Duration  `json:"virtual_ns"`
	Lookups      int            `json:"lookups"`
	Outcomes     map[string]int `json:"ends"`    // final answers by status, and what else became of lookups
	Reasons      map[string]int `json:"reasons"` // reason codes and modes in the gateways' logs
	RecentEvents []string       `json:"story,omitempty"`
	EarlyLookups EarlyLookups   `json:"early"` // the first 30 s
}

// Hooks observe a scenario while it runs.
type Hooks struct {
	Trace func(at time.Duration, line string)
	// The rest is for tests that need a fault at one exact moment of a lookup.
	onStart    func(d *Scenario)
	onDecision func(d *Scenario, l *gatewayProcess, to string)    // a send is decided and not yet written
	onAttempt  func(d *Scenario, k *cacheConn, q *attemptRequest) // a send is on the wire
	onAnswer   func(d *Scenario, q *attemptRequest)               // a cache is about to write its answer
	onReceived func(d *Scenario, a *lookup)                       // a lookup has reached its gateway
	routeTrial *RouteTrial                                        // a change of routes that is tried on all gateways
	script     *differentialScript                                // lookups and their sends' endings, in place of clients and caches
}

// Run runs a plan. One that Validate refuses is not run.
func Run(p Plan, look Hooks) (Result, error) {
	if err := p.Validate(); err != nil {
		return Result{}, err
	}
	d := &Scenario{Plan: p, sim: simenv.New(p.Seed), byID: map[string]*cache{}, reasons: map[string]int{}, zoneCount: 1, hooks: look}
	defer d.sim.Close()
	if p.Gateways > 4 {
		d.zoneCount = 2
	}
	d.sim.Trace, d.sim.Lockstep = look.Trace, look.script != nil
	d.checker = newChecker(d)
	d.sim.OnIdle = d.checker.checkIdle
	d.sim.OnCrash = func(proc *simenv.Process, text string) { d.checker.violated("crash", "%s: %s", proc.Name, text) }
	d.createActors(look)
	end := warmup + time.Duration(p.Seconds)*time.Second
	for _, f := range p.Faults {
		k := findFaultKind(f.Kind)
		begin := func() {
			d.record("fault %s", f)
			k.begin(d, f)
		}
		if k.fromStart {
			begin()
			continue
		}
		d.sim.After(warmup+time.Duration(f.AtMS)*time.Millisecond, begin)
	}
	for _, g := range d.gateways {
		g.start()
	}
	if look.script != nil {
		look.script.play(d)
	} else {
		d.sim.After(warmup, d.clients.start)
	}
	if p.ColdStart != nil {
		d.stopDiscovery()
	}
	if look.onStart != nil {
		look.onStart(d)
	}
	d.sim.After(end, d.clients.stop)
	d.sim.Run(end + 6*time.Second)
	for _, g := range d.gateways {
		g.terminate(false)
	}
	d.sim.Run(end + 16*time.Second)
	if len(d.checker.violations) == 0 {
		d.checker.checkEnd()
	}
	r := Result{Plan: p, Digest: fmt.Sprintf("%016x", d.sim.Digest()), Violations: d.checker.violations, Steps: d.sim.Steps,
		VirtualTime: d.sim.Now(), Lookups: d.checker.lookupCount, Outcomes: d.checker.outcomes, Reasons: d.reasons, EarlyLookups: d.earlyLookups}
	if len(r.Violations) > 0 {
		r.RecentEvents = d.recentEvents
	}
	return r, nil
}

// record adds a line to the recent events, of which the last 60 are kept.
func (d *Scenario) record(format string, a ...any) {
	if len(d.recentEvents) >= 60 {
		d.recentEvents = slices.Delete(d.recentEvents, 0, 1)
	}
	d.recentEvents = append(d.recentEvents, fmt.Sprintf("%10.6f ", d.sim.Now().Seconds())+fmt.Sprintf(format, a...))
	d.sim.Note(simenv.StepReport, "", format, 0)
}

// handleLogLine is a line of a gateway's log.
func (d *Scenario) handleLogLine(p *simenv.Process, level slog.Level, line string) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(line, "event="), " ")
	key := name
	if _, after, ok := strings.Cut(rest, "reason="); ok {
		why, _, _ := strings.Cut(after, " ")
		key += " " + why
	}
	if name == "module" {
		key += " " + noteMode(rest)
	}
	d.reasons[key]++
	if t := d.hooks.routeTrial; t != nil && name == "route_change_step" && strings.Contains(rest, "stage=undone") && t.RolledBackAfter == 0 {
		t.RolledBackAfter = d.sim.Now() - t.startedAt
	}
	if level >= slog.LevelWarn || name == "module" || name == "reloaded" {
		d.record("%s %s", p.Name, line)
	}
	if name == "module_fault" {
		d.checker.violated("crash", "%s: %s", p.Name, line)
	}
}

// noteMode is a module's note without its names and figures.
func noteMode(note string) string {
	note = strings.TrimPrefix(note, "note=")
	for _, m := range []string{"ejected: unreachable", "ejected: errors", "ejected: silent", "ejected: fills fail", "ejected: slow",
		"readmitted after", "fills pressed", "overload true", "overload false"} {
		if strings.Contains(note, m) {
			return m
		}
	}
	return "other"
}

// createActors makes the parties.
func (d *Scenario) createActors(look Hooks) {
	for i := range d.Plan.Parents {
		d.parents = append(d.parents, d.newCache("parent", "hub", fmt.Sprintf("10.8.0.%d", i+1), parentTransfers))
	}
	d.origin = d.newCache("origin", "hub", "10.9.0.1", 1000)
	for i := range d.Plan.Caches {
		d.caches = append(d.caches, d.newCache("edge", zoneName(i%d.zoneCount), fmt.Sprintf("10.1.%d.%d", i%d.zoneCount, i+1), edgeTransfers))
	}
	for _, c := range d.caches {
		d.firstEdges = append(d.firstEdges, c.id)
	}
	for i := range d.discoveryServers {
		d.discoveryServers[i] = newDiscoveryServer(d, i)
	}
	for i := range d.Plan.Gateways {
		d.gateways = append(d.gateways, newGateway(d, i))
	}
	if d.Plan.usesExternalProcessor() || look.script != nil && look.script.atExtproc {
		d.callers = map[*gatewayActor]*extprocCaller{}
		for _, g := range d.gateways {
			d.callers[g] = newExtprocCaller(d, g, 0)
		}
	}
	if d.Plan.ColdStart != nil {
		d.drawStartState()
	}
	members := []endpoint{}
	for _, c := range slices.Concat(d.caches, d.parents, []*cache{d.origin}) {
		members = append(members, c.endpoint(c.phase))
	}
	d.publish(discoveryEvent{Endpoints: &endpointUpdate{Revision: 1, Complete: true, Endpoints: members}})
	d.clients = newClientActor(d)
}

func zoneName(i int) string { return [...]string{"town", "hill"}[i] }

// settings is the settings text that a gateway of a zone is given.
func (d *Scenario) settings(zone int) map[string]any {
	us := func(t time.Duration) int64 { return t.Microseconds() }
	seats := []int{0, 0, 0}
	for i := range d.Plan.Gateways {
		seats[i%d.zoneCount]++
	}
	var classes []map[string]any
	var fresh, grace, worth []float64
	var pass []bool
	for _, k := range lookupKinds {
		classes = append(classes, map[string]any{"name": k.name, "aim": us(k.aim), "aim_stretch": k.stretch,
			"deadline": us(k.deadline), "effect": k.effect, "group": k.group, "late_worth": 0.2, "points": 1.0, "window": 5000000})
		fresh, grace = append(fresh, float64(us(k.fresh))), append(grace, float64(us(k.grace)))
		worth, pass = append(worth, 0.7), append(pass, k.passOn)
	}
	return map[string]any{"areas": []string{"town", "hill", "hub"}, "az": zone, "balancers": d.Plan.Gateways, "discovery": "push",
		"weights": "nominal", "machine_types": []string{"edge", "parent", "origin"},
		"ceilings": map[string]any{"cancelling": true, "connect_timeout": 400000, "keepalive": 30000000,
			"max_retry_after": 2000000, "max_streams": 24, "retry_after": true, "second_copies": false, "try_limit": maxAttempts},
		"rules":   map[string]any{"cold": us(edgeWarmup), "cold_from": edgeColdShare, "fall": us(overloadWindow), "fall_multiple": edgeOverloadFactor, "stop_sending_within": us(drainGrace)},
		"classes": classes,
		"specifics": map[string]any{"cleared_within": 6000000, "flow_kb_per_s": flowKBPerSecond, "grace_for": grace, "max_age": fresh,
			"merges_fills": true, "obey_after": us(purgeGrace), "parent_breaks_at": parentOverloadFactor, "parent_kind": 1, "parent_ramp": us(parentWarmup),
			"parent_starts_at": parentColdShare, "pass_on": pass, "seats_by_zone": seats, "source_kind": 2, "tells": "all",
			"worth_when_old": worth}}
}

func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // of our own plain types
	}
	return b
}

func (d *Scenario) randN(most int) int { return d.sim.Rand.IntN(most) }

func (d *Scenario) after(t time.Duration, f func()) { d.sim.After(t, f) }
