package scenario

import (
	"fmt"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/gateway"
	"foldslip/internal/lab/simenv"
	"foldslip/internal/policy"
)

const (
	gatewayConfigPath = "/config.json"
	restartDelay      = 50 * time.Millisecond // from the time of the platform's kill to the start of the next process
)

// gatewayActor is a machine on which gateway processes run, one after another.
type gatewayActor struct {
	scenario       *Scenario
	index, zone    int
	name, ip       string
	host           *simenv.Host
	skew           time.Duration
	discoveryIndex int
	memoryMB       float64
	descriptors    int
	current        *gatewayProcess
	starts         int
	directory      *simenv.Directory
	routeSides     map[uint64]routeSide // route configurations by version, if operators change routes
	knownDraining  map[string]bool      // IDs of caches that drain according to its list on disk
}

// gatewayProcess is one process of a gateway, from its start to its end.
type gatewayProcess struct {
	actor           *gatewayActor
	process         *simenv.Process
	instance        *gateway.Gateway
	extproc         *extprocServer // nil if the scenario has no callers
	startedAt       time.Duration
	ready           bool
	terminatedAt    time.Duration // time of SIGTERM; 0: not yet
	ended           bool
	endedAt         time.Duration
	notified        []time.Duration // time of notification by event number; 0: not yet
	cutOffAt        time.Duration   // last time at which it was cut off from discovery
	conns           map[*cacheConn]bool
	activeRoutes    []activeRoutes // in the order of time
	routesCheckedAt time.Duration
}

func newGateway(s *Scenario, index int) *gatewayActor {
	zone := index % s.zoneCount
	ip := fmt.Sprintf("10.0.%d.%d", zone, index+1)
	return &gatewayActor{
		scenario:      s,
		index:         index,
		zone:          zone,
		name:          fmt.Sprintf("n%d", index),
		ip:            ip,
		memoryMB:      s.Plan.MemoryMB,
		descriptors:   s.Plan.Descriptors,
		host:          s.sim.Host(ip, groupGateways),
		directory:     simenv.NewDirectory(),
		knownDraining: map[string]bool{},
	}
}

func (g *gatewayActor) addr() string { return g.ip + ":10080" }

// config returns the text of the configuration file for the current state. It draws a seed for the gateway.
func (g *gatewayActor) config() []byte {
	s := g.scenario
	config := map[string]any{
		"name":             g.name,
		"listen":           g.addr(),
		"seed":             fmt.Sprintf("%016x", s.sim.Rand.Uint64()),
		"limits":           map[string]any{"cores": 1, "memory_mb": g.memoryMB, "sockets": g.descriptors},
		"bulletin":         s.discoveryServers[g.discoveryIndex].addr(),
		"flow_bytes_per_s": 310000,
		"link_bytes_per_s": 1240000,
		"settings":         s.settings(g.zone),
	}
	known := any(map[string]any{"no": len(s.events), "items": append([]discoveryEvent{}, s.events...)})
	if s.Plan.ColdStart != nil {
		known = s.initialList()
	}
	if known != nil {
		config["known"] = known
	}
	return mustMarshal(config)
}

// start starts a process if none is running.
func (g *gatewayActor) start() {
	if g.current != nil && !g.current.ended {
		return
	}
	s := g.scenario
	if s.Plan.ColdStart != nil {
		g.restoreMachine(g.current)
	}
	g.starts++
	p := g.newProcess()
	g.current = p
	g.host.Vanished = false
	p.process = &simenv.Process{
		Name:           fmt.Sprintf("%s.%d", g.name, g.starts),
		MaxDescriptors: g.descriptors,
		Skew:           g.skew,
		Variables:      map[string]string{"ROUTER_CONFIG": gatewayConfigPath},
		Files:          map[string][]byte{gatewayConfigPath: g.config()},
		OnLogLine:      s.handleLogLine,
		OnEnd:          func(_ *simenv.Process, err error) { s.checker.gatewayEnded(p, err) },
	}
	if s.Plan.ColdStart != nil {
		g.setUpStoredList(p.process)
	}
	if s.Plan.changesRoutes() {
		if g.routeSides == nil {
			g.routeSides = map[uint64]routeSide{1: 0}
		} else {
			g.directory.Crash(s.sim.Rand)
		}
		g.setUpRoutes(p.process)
	}
	hooks := gateway.Hooks{OnStarted: p.started}
	if s.callers != nil {
		hooks.NewServices = p.newServices
	}
	var wrapEnvironment func(env.Environment) env.Environment
	hooks.Interceptor, wrapEnvironment = p.interceptors()
	s.sim.Start(g.host, p.process, func(inner env.Environment) error {
		if wrapEnvironment != nil {
			inner = wrapEnvironment(inner)
		}
		return gateway.Run(inner, hooks)
	})
}

// newProcess returns the state of a process that starts now. The process counts as notified
// of all events so far, except in a cold start.
func (g *gatewayActor) newProcess() *gatewayProcess {
	s := g.scenario
	p := &gatewayProcess{actor: g, startedAt: s.now(), conns: map[*cacheConn]bool{}}
	if s.Plan.ColdStart != nil {
		p.cutOffAt = s.now()
		return p
	}
	p.notified = make([]time.Duration, len(s.events)+1)
	for i := range p.notified {
		p.notified[i] = max(1, s.now())
	}
	return p
}

// started is called by the gateway when it begins to serve.
func (p *gatewayProcess) started(instance *gateway.Gateway) {
	p.instance = instance
	p.ready = true
	if instance.Routes() != nil {
		p.recordRoutes()
		p.activeRoutes[0].from = 0
		p.actor.scenario.after(0, p.watchRoutes)
	}
}

// newServices creates the gateway's external processor on a simulated connection.
func (p *gatewayProcess) newServices(dependencies gateway.Dependencies) ([]gateway.Service, error) {
	var err error
	p.extproc, err = newExtprocServer(dependencies, p.actor.ip+":"+extprocPort, p.actor.scenario)
	if err != nil {
		return nil, err
	}
	return []gateway.Service{p.extproc}, nil
}

// interceptors returns what the scenario inserts between the gateway and its module, and between the
// gateway and its environment: a hook, the script of a differential run or an injected fault. The second
// result is nil if the environment stays as it is.
func (p *gatewayProcess) interceptors() (dispatch.Interceptor, func(env.Environment) env.Environment) {
	s := p.actor.scenario
	var interceptor dispatch.Interceptor
	var wrapEnvironment func(env.Environment) env.Environment
	if s.hooks.onDecision != nil {
		interceptor = p.callOnDecision
	}
	if s.hooks.script != nil {
		interceptor = s.hooks.script.interceptor(s)
	}
	if fault := injectedFaults[s.Plan.InjectedFault]; fault.inject != nil {
		interceptor, wrapEnvironment = fault.inject(s, p)
	}
	return s.recordDecisions(p.name(), interceptor), wrapEnvironment
}

// callOnDecision is an interceptor that calls the scenario's onDecision hook after each decision to send an attempt.
func (p *gatewayProcess) callOnDecision(executor policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
	s := p.actor.scenario
	return start(&executorInterceptor{Executor: executor, fetch: func(executor policy.Executor, lk *policy.Lookup, request policy.FetchRequest) {
		executor.Fetch(lk, request)
		s.hooks.onDecision(s, p, request.Cache.Name)
	}})
}

// kill kills the process. The lookups that it received and did not answer are lost, and no answer is owed to them.
func (g *gatewayActor) kill() {
	if p := g.current; p != nil && !p.ended {
		p.ended = true
		p.endedAt = g.scenario.now()
		p.process.Kill()
		g.scenario.checker.gatewayKilled(p)
	}
}

// terminate stops the gateway as the platform does: with SIGTERM, and by a kill when the time to answer its lookups is
// over. If restarts is true, it starts the gateway again after that.
func (g *gatewayActor) terminate(restarts bool) {
	p := g.current
	if p == nil || p.ended || p.terminatedAt > 0 {
		return
	}
	s := g.scenario
	p.terminatedAt = s.now()
	p.process.Signal(env.Terminate)
	s.after(longestDeadline()+terminateGrace, func() {
		if !p.ended {
			s.checker.violated(ruleStop, "%s still runs when the platform kills it, with goroutines %s", p.name(), p.process.GoroutineNames())
			p.ended = true
			p.process.Kill()
			s.checker.gatewayKilled(p)
		}
		if restarts {
			s.after(restartDelay, g.start)
		}
	})
}

// reload replaces the configuration file and sends SIGHUP to the gateway.
func (g *gatewayActor) reload(text []byte) {
	if p := g.current; p != nil && !p.ended && p.ready && p.terminatedAt == 0 {
		p.process.Files[gatewayConfigPath] = text
		p.process.Signal(env.Reload)
	}
}

func (p *gatewayProcess) name() string { return p.process.Name }

// notifiedAt returns when the process was notified of an event, 0 if it was not yet.
func (p *gatewayProcess) notifiedAt(number int) time.Duration {
	if number < len(p.notified) {
		return p.notified[number]
	}
	return 0
}

// reliesOnStoredList reports whether the process knows only from its stored list which caches drain. A torn list may
// lack that, so the result is false for one.
func (p *gatewayProcess) reliesOnStoredList() bool {
	cold := p.actor.scenario.Plan.ColdStart
	if cold == nil || cold.Torn {
		return false
	}
	return p.notifiedAt(1) == 0 || cold.DrainUnannounced && p.notifiedAt(2) == 0
}
