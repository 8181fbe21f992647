// Package scenario runs scenarios of faults: gateways of the real program, with actors that are state machines, in a simulated environment,
// under faults drawn from a seed, watched by a checker that sees the wires and the true state of every actor.
//
// A Plan is all that a scenario is made of; the same plan gives the same run, byte for byte. Run runs it, Shrink finds the smallest plan
// that still violates a rule. A Scenario owns its simulation and everything in it, and leaves nothing behind; several may run at once.
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
	finishTime      = 6 * time.Second  // after the last lookup, before gateways are terminated
	shutdownTime    = 16 * time.Second // after the last lookup, before the run ends
	minTwoZones     = 5                // gateways from which on a location has two zones
)

// Scenario is a scenario that is running.
type Scenario struct {
	Plan             Plan
	sim              *simenv.Simulation
	checker          *checker
	gateways         []*gatewayActor
	caches           []*cache // edges, as discovery has them now
	parents          []*cache
	origin           *cache
	byID             map[string]*cache
	discoveryServers [2]*discoveryServer
	events           []discoveryEvent
	clients          *clientActor
	lastCacheID      int
	zoneCount        int
	recentEvents     []string // for people
	reasons          map[string]int
	corruption       answerCorruption
	hooks            Hooks
	storedList       []endpoints.Endpoint // of a cold start
	earlyLookups     EarlyLookups
	callers          map[*gatewayActor]*extprocCaller // nil: clients send to gateways themselves
	firstEdges       []string                         // ids of the edges at the start
}

// Violation is a rule that was broken.
type Violation struct {
	Rule   string        `json:"rule"`
	At     time.Duration `json:"at_ns"`
	Detail string        `json:"detail"`
}

// String is the violation as commands print it.
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
	Outcomes     map[string]int `json:"ends"`            // of lookups: the status of the final answer, or how else they ended
	Reasons      map[string]int `json:"reasons"`         // reason codes and modes in the gateways' logs
	RecentEvents []string       `json:"story,omitempty"` // the last before a violation
	EarlyLookups EarlyLookups   `json:"early"`
}

// Hooks are called while a scenario runs.
type Hooks struct {
	// Trace gets a line a step.
	Trace func(at time.Duration, line string)

	// The rest is for tests that need a fault at one exact point of a lookup's way.
	onStart        func(s *Scenario)
	onDecision     func(s *Scenario, p *gatewayProcess, cacheID string)     // an attempt is decided and not yet written
	onAttempt      func(s *Scenario, c *cacheConn, request *attemptRequest) // an attempt is on the wire
	onAnswer       func(s *Scenario, request *attemptRequest)               // a cache is about to write its answer
	onReceived     func(s *Scenario, l *lookup)                             // a lookup has reached its gateway
	routeChangeRun *RouteChangeRun
	script         *differentialScript // lookups and outcomes of attempts, in place of clients and caches
}

// Run runs a scenario. It returns the error of Plan.Validate for a plan that cannot be run.
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

// createActors makes all actors and publishes the first endpoint list.
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

// publishedEndpoints are all caches as discovery has them.
func (s *Scenario) publishedEndpoints() []endpoint {
	list := []endpoint{}
	for _, c := range slices.Concat(s.caches, s.parents, []*cache{s.origin}) {
		list = append(list, c.endpoint(c.phase))
	}
	return list
}

// scheduleFaults has the plan's faults begin at their times.
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

// record adds a line to the recent events.
func (s *Scenario) record(format string, a ...any) {
	if len(s.recentEvents) >= maxRecentEvents {
		s.recentEvents = slices.Delete(s.recentEvents, 0, 1)
	}
	s.recentEvents = append(s.recentEvents, fmt.Sprintf("%10.6f ", s.sim.Now().Seconds())+fmt.Sprintf(format, a...))
	s.sim.Note(simenv.StepReport, "", format, 0)
}

// randN draws a number below n.
func (s *Scenario) randN(n int) int { return s.sim.Rand.IntN(n) }

// randMillis draws a time below so many milliseconds.
func (s *Scenario) randMillis(n int) time.Duration {
	return time.Duration(s.randN(n)) * time.Millisecond
}

func (s *Scenario) now() time.Duration { return s.sim.Now() }

func (s *Scenario) after(d time.Duration, f func()) { s.sim.After(d, f) }

// mustMarshal encodes a value of plain types.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
