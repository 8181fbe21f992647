// Package scenario runs fault scenarios. A scenario runs the gateway program in a simulated environment, together with
// actors for caches, clients, callers and discovery, which are state machines. Faults drawn from a seed strike the
// gateways and the actors. A checker watches every connection and the true state of every actor, and ends the run when
// a rule is broken.
//
// A Plan determines a scenario completely: the same plan gives the same run, byte for byte. Run runs a plan, and Shrink
// finds the smallest plan that still breaks a rule. A Scenario owns its simulation and all state in it, and releases
// both at its end. Several scenarios may run at once.
package scenario

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"foldslip/internal/lab/simenv"
	"foldslip/internal/store/endpoints"
)

const (
	maxRecentEvents = 60
	finishTime      = 6 * time.Second  // from the last lookup to the termination of the gateways
	shutdownTime    = 16 * time.Second // from the last lookup to the end of the run
	minTwoZones     = 5                // a location with at least this many gateways has two zones
)

// Scenario is a running scenario.
type Scenario struct {
	Plan             Plan
	sim              *simenv.Simulation
	checker          *checker
	gateways         []*gatewayActor
	caches           []*cache // edges that discovery publishes now
	parents          []*cache
	origin           *cache
	byID             map[string]*cache
	discoveryServers [2]*discoveryServer
	events           []discoveryEvent
	clients          *clientActor
	lastCacheID      int
	zoneCount        int
	recentEvents     []string // the last maxRecentEvents events, for reports
	reasons          map[string]int
	corruption       answerCorruption
	hooks            Hooks
	storedList       []endpoints.Endpoint // list on the gateways' disks at a cold start
	earlyLookups     EarlyLookups
	callers          map[*gatewayActor]*extprocCaller // nil if clients send to the gateways directly
	firstEdges       []string                         // IDs of the edges at the start of the scenario
}

// Violation describes a rule that was broken.
type Violation struct {
	Rule   string        `json:"rule"`
	At     time.Duration `json:"at_ns"`
	Detail string        `json:"detail"`
}

// String returns the violation as commands print it.
func (v Violation) String() string {
	return fmt.Sprintf("%.6f s: %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// Result is the outcome of a run.
type Result struct {
	Plan         Plan           `json:"plan"`
	Digest       string         `json:"digest"`
	Violations   []Violation    `json:"broken,omitempty"`
	Steps        uint64         `json:"steps"`
	VirtualTime  time.Duration  `json:"virtual_ns"`
	Lookups      int            `json:"lookups"`
	Outcomes     map[string]int `json:"ends"`            // lookups by final status, or by how else they ended
	Reasons      map[string]int `json:"reasons"`         // log lines of the gateways by event and reason code
	RecentEvents []string       `json:"story,omitempty"` // events before the first violation
	EarlyLookups EarlyLookups   `json:"early"`
}

// Hooks are functions that a scenario calls while it runs. All are optional.
type Hooks struct {
	// Trace is called with one line for each step.
	Trace func(at time.Duration, line string)

	// The other hooks are for tests that need a fault at one exact point in the processing of a lookup.
	onStart        func(s *Scenario)
	onDecision     func(s *Scenario, p *gatewayProcess, cacheID string)     // an attempt is decided and not yet written
	onAttempt      func(s *Scenario, c *cacheConn, request *attemptRequest) // the gateway has written an attempt completely
	onAnswer       func(s *Scenario, request *attemptRequest)               // a cache is about to write its answer
	onReceived     func(s *Scenario, l *lookup)                             // a lookup has reached its gateway completely
	routeChangeRun *RouteChangeRun
	script         *differentialScript // determines the lookups and the outcomes of attempts, in place of clients and caches
}

// Run runs a scenario to its end or to the first violation. It returns the
// error of Plan.Validate if the plan cannot be run.
func Run(plan Plan, hooks Hooks) (Result, error) {
	if err := plan.Validate(); err != nil {
		return Result{}, err
	}
	s := newScenario(plan, hooks)
	defer s.sim.Close()
	s.createActors()
	s.scheduleFaults()
	s.startActors()
	end := warmup + time.Duration(plan.Seconds)*time.Second
	s.sim.After(end, s.clients.stop)
	s.sim.Run(end + finishTime)
	for _, g := range s.gateways {
		g.terminate(false)
	}
	s.sim.Run(end + shutdownTime)
	if len(s.checker.violations) == 0 {
		s.checker.checkEnd()
	}
	return s.result(), nil
}

func newScenario(plan Plan, hooks Hooks) *Scenario {
	s := &Scenario{
		Plan:      plan,
		sim:       simenv.New(plan.Seed),
		byID:      map[string]*cache{},
		reasons:   map[string]int{},
		zoneCount: 1,
		hooks:     hooks,
	}
	if plan.Gateways >= minTwoZones {
		s.zoneCount = 2
	}
	s.checker = newChecker(s)
	s.sim.Trace = hooks.Trace
	s.sim.Lockstep = hooks.script != nil
	s.sim.OnIdle = s.checker.checkIdle
	s.sim.OnCrash = func(p *simenv.Process, text string) { s.checker.violated(ruleCrash, "%s: %s", p.Name, text) }
	return s
}

// createActors creates all actors and publishes the first endpoint list.
func (s *Scenario) createActors() {
	for i := range s.Plan.Parents {
		s.parents = append(s.parents, s.newCache(flavorParent, hubZone, fmt.Sprintf("10.8.0.%d", i+1), parentTransfers))
	}
	s.origin = s.newCache(flavorOrigin, hubZone, "10.9.0.1", originTransfers)
	for i := range s.Plan.Caches {
		zone := i % s.zoneCount
		edge := s.newCache(flavorEdge, zoneName(zone), fmt.Sprintf("10.1.%d.%d", zone, i+1), edgeTransfers)
		s.caches = append(s.caches, edge)
		s.firstEdges = append(s.firstEdges, edge.id)
	}
	for i := range s.discoveryServers {
		s.discoveryServers[i] = newDiscoveryServer(s, i)
	}
	for i := range s.Plan.Gateways {
		s.gateways = append(s.gateways, newGateway(s, i))
	}
	if s.Plan.usesExternalProcessor() || s.hooks.script != nil && s.hooks.script.atExtproc {
		s.callers = map[*gatewayActor]*extprocCaller{}
		for _, g := range s.gateways {
			s.callers[g] = newExtprocCaller(s, g, 0)
		}
	}
	if s.Plan.ColdStart != nil {
		s.drawStartState()
	}
	s.publish(discoveryEvent{Endpoints: &endpointUpdate{Revision: 1, Complete: true, Endpoints: s.publishedEndpoints()}})
	s.clients = newClientActor(s)
}

// publishedEndpoints returns the endpoint of every cache, with the phase that discovery publishes.
func (s *Scenario) publishedEndpoints() []endpoint {
	list := []endpoint{}
	for _, c := range slices.Concat(s.caches, s.parents, []*cache{s.origin}) {
		list = append(list, c.endpoint(c.phase))
	}
	return list
}

// scheduleFaults schedules the start of each fault of the plan. Faults that last from the start begin at once.
func (s *Scenario) scheduleFaults() {
	for _, fault := range s.Plan.Faults {
		kind := findFaultKind(fault.Kind)
		begin := func() {
			s.record("fault %s", fault)
			kind.begin(s, fault)
		}
		if kind.fromStart {
			begin()
			continue
		}
		s.sim.After(warmup+time.Duration(fault.AtMS)*time.Millisecond, begin)
	}
}

func (s *Scenario) startActors() {
	for _, g := range s.gateways {
		g.start()
	}
	if s.hooks.script != nil {
		s.hooks.script.schedule(s)
	} else {
		s.sim.After(warmup, s.clients.start)
	}
	if s.Plan.ColdStart != nil {
		s.stopDiscovery()
	}
	if s.hooks.onStart != nil {
		s.hooks.onStart(s)
	}
}

func (s *Scenario) result() Result {
	result := Result{
		Plan:         s.Plan,
		Digest:       fmt.Sprintf("%016x", s.sim.Digest()),
		Violations:   s.checker.violations,
		Steps:        s.sim.Steps,
		VirtualTime:  s.sim.Now(),
		Lookups:      s.checker.lookupCount,
		Outcomes:     s.checker.outcomes,
		Reasons:      s.reasons,
		EarlyLookups: s.earlyLookups,
	}
	if len(result.Violations) > 0 {
		result.RecentEvents = s.recentEvents
	}
	return result
}

// record adds a line to the recent events, of which it keeps the last maxRecentEvents.
func (s *Scenario) record(format string, a ...any) {
	if len(s.recentEvents) >= maxRecentEvents {
		s.recentEvents = slices.Delete(s.recentEvents, 0, 1)
	}
	s.recentEvents = append(s.recentEvents, fmt.Sprintf("%10.6f ", s.sim.Now().Seconds())+fmt.Sprintf(format, a...))
	s.sim.RecordStep(simenv.StepReport, "", format, 0)
}

// randN draws a number from 0 to n-1 from the scenario's seed.
func (s *Scenario) randN(n int) int { return s.sim.Rand.IntN(n) }

// randMillis draws a whole number of milliseconds from 0 to n-1.
func (s *Scenario) randMillis(n int) time.Duration {
	return time.Duration(s.randN(n)) * time.Millisecond
}

func (s *Scenario) now() time.Duration { return s.sim.Now() }

func (s *Scenario) after(d time.Duration, f func()) { s.sim.After(d, f) }

// mustMarshal encodes a value as JSON. It panics for a value that JSON cannot encode; callers pass plain types only.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
