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

// gatewayActor is a place where a gateway runs, one life after another.
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
	routeSides     map[uint64]routeSide // configurations by version, on days of routes
	knownDraining  map[string]bool      // caches that its list on disk knows to drain
}

// gatewayProcess is one process of a gateway, from its start to its end.
type gatewayProcess struct {
	actor           *gatewayActor
	process         *simenv.Process
	instance        *gateway.Gateway
	extproc         *extprocServer // where other proxies ask
	startedAt       time.Duration
	ready           bool
	terminatedAt    time.Duration // when it was signalled to stop; 0: not yet
	ended           bool
	endedAt         time.Duration
	notified        []time.Duration // by number of the event, 0: not yet
	cutOffAt        time.Duration   // since when it could not hear, or until when
	conns           map[*cacheConn]bool
	activeRoutes    []activeRoutes // routes in force by time
	routesCheckedAt time.Duration
}

func newGateway(d *Scenario, no int) *gatewayActor {
	g := &gatewayActor{scenario: d, index: no, zone: no % d.zoneCount, name: fmt.Sprintf("n%d", no), ip: fmt.Sprintf("10.0.%d.%d", no%d.zoneCount, no+1),
		memoryMB: d.Plan.MemoryMB, descriptors: d.Plan.Descriptors}
	g.host, g.directory, g.knownDraining = d.sim.Host(g.ip, "gateways"), simenv.NewDirectory(), map[string]bool{}
	return g
}

func (g *gatewayActor) addr() string { return g.ip + ":10080" }

// config is the text of its configuration file now.
func (g *gatewayActor) config() []byte {
	items := append([]discoveryEvent{}, g.scenario.events...)
	known := any(map[string]any{"no": len(g.scenario.events), "items": items})
	if g.scenario.Plan.ColdStart != nil {
		known = g.scenario.initialList()
	}
	text := map[string]any{"name": g.name, "listen": g.addr(), "seed": fmt.Sprintf("%016x", g.scenario.sim.Rand.Uint64()),
		"limits":   map[string]any{"cores": 1, "memory_mb": g.memoryMB, "sockets": g.descriptors},
		"bulletin": g.scenario.discoveryServers[g.discoveryIndex].addr(), "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
		"settings": g.scenario.settings(g.zone)}
	if known != nil {
		text["known"] = known
	}
	return mustMarshal(text)
}

// start begins a life, if none is under way.
func (g *gatewayActor) start() {
	if g.current != nil && !g.current.ended {
		return
	}
	d := g.scenario
	if d.Plan.ColdStart != nil {
		g.restoreMachine(g.current)
	}
	g.starts++
	l := &gatewayProcess{actor: g, startedAt: d.sim.Now(), notified: make([]time.Duration, len(d.events)+1), conns: map[*cacheConn]bool{}}
	for i := range l.notified {
		l.notified[i] = max(1, d.sim.Now()) // known from the start
	}
	if d.Plan.ColdStart != nil {
		l.notified, l.cutOffAt = nil, d.sim.Now()
	}
	g.current = l
	g.host.Vanished = false
	l.process = &simenv.Process{Name: fmt.Sprintf("%s.%d", g.name, g.starts), MaxDescriptors: g.descriptors, Skew: g.skew,
		Variables: map[string]string{"ROUTER_CONFIG": "/config.json"},
		Files:     map[string][]byte{"/config.json": g.config()}, OnLogLine: d.handleLogLine,
		OnEnd: func(_ *simenv.Process, err error) { d.checker.gatewayEnded(l, err) }}
	if d.Plan.ColdStart != nil {
		g.setUpKeptList(l.process)
	}
	watch := gateway.Hooks{OnStarted: func(its *gateway.Gateway) {
		if l.instance, l.ready = its, true; its.Routes() != nil {
			l.recordRoutes()
			l.activeRoutes[0].from = 0
			d.after(0, l.watchRoutes)
		}
	}}
	if d.Plan.changesRoutes() {
		if g.routeSides == nil {
			g.routeSides = map[uint64]routeSide{1: 0}
		} else {
			g.directory.Crash(d.sim.Rand)
		}
		g.setUpRoutes(l.process)
	}
	if d.callers != nil {
		watch.NewServices = func(in gateway.Dependencies) ([]gateway.Service, error) {
			var err error
			if l.extproc, err = newExtprocServer(in, g.ip+":"+extprocPort, d); err != nil {
				return nil, err
			}
			return []gateway.Service{l.extproc}, nil
		}
	}
	var ground func(env.Environment) env.Environment
	if d.hooks.onDecision != nil {
		watch.Interceptor = func(h policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
			return start(&executorInterceptor{Executor: h, fetch: func(h policy.Executor, lk *policy.Lookup, request policy.FetchRequest) {
				h.Fetch(lk, request)
				d.hooks.onDecision(d, l, request.Cache.Name)
			}})
		}
	}
	if d.hooks.script != nil {
		watch.Interceptor = d.hooks.script.interceptor(d)
	}
	if p := injectedFaults[d.Plan.InjectedFault]; p.inject != nil {
		watch.Interceptor, ground = p.inject(d, l)
	}
	watch.Interceptor = d.recordDecisions(l.process.Name, watch.Interceptor)
	d.sim.Start(g.host, l.process, func(under env.Environment) error {
		if ground != nil {
			under = ground(under)
		}
		return gateway.Run(under, watch)
	})
}

// kill ends the life at once; what it had taken is lost, and not owed.
func (g *gatewayActor) kill() {
	if l := g.current; l != nil && !l.ended {
		l.ended, l.endedAt = true, g.scenario.sim.Now()
		l.process.Kill()
		g.scenario.checker.gatewayKilled(l)
	}
}

// terminate stops the gateway as the platform does, and starts it again if asked.
func (g *gatewayActor) terminate(again bool) {
	l := g.current
	if l == nil || l.ended || l.terminatedAt > 0 {
		return
	}
	d := g.scenario
	l.terminatedAt = d.sim.Now()
	l.process.Signal(env.Terminate)
	longest := 3 * time.Second
	for _, k := range lookupKinds {
		longest = max(longest, k.deadline)
	}
	d.after(longest+700*time.Millisecond, func() {
		if !l.ended {
			d.checker.violated("stop", "%s still runs when the platform kills it, %s", l.process.Name, l.process.GoroutineNames())
			l.ended = true
			l.process.Kill()
			d.checker.gatewayKilled(l)
		}
		if again {
			d.after(50*time.Millisecond, g.start)
		}
	})
}

// reload puts a file in place of the configuration and says so.
func (g *gatewayActor) reload(text []byte) {
	if l := g.current; l != nil && !l.ended && l.ready && l.terminatedAt == 0 {
		l.process.Files["/config.json"] = text
		l.process.Signal(env.Reload)
	}
}

// recordDecisions adds every decision of the module to the digest, ahead of any other interceptor.
func (d *Scenario) recordDecisions(process string, between dispatch.Interceptor) dispatch.Interceptor {
	return func(h policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
		under := func(h policy.Executor) dispatch.Router {
			return start(&decisionDigester{Executor: h, sim: d.sim, process: process})
		}
		if between == nil {
			return under(h)
		}
		return between(h, under)
	}
}

// decisionDigester notes what the module decides.
type decisionDigester struct {
	policy.Executor
	sim     *simenv.Simulation
	process string
}

func (n *decisionDigester) note(lk *policy.Lookup, decision string, numbers ...policy.Micros) {
	n.sim.Note(simenv.StepDecision, n.process+" "+lk.ID+" "+decision, "", int64(len(numbers)))
	for _, m := range numbers {
		n.sim.Note(simenv.StepDecision, "", "", int64(m))
	}
}

func (n *decisionDigester) Fetch(lk *policy.Lookup, request policy.FetchRequest) {
	n.note(lk, "fetch "+request.Cache.Name+" "+request.Source.Name, policy.Micros(request.Rank), policy.Micros(request.Mode), request.Timeout,
		request.SilenceTimeout, request.MaxAge)
	n.Executor.Fetch(lk, request)
}

func (n *decisionDigester) CancelAttempt(lk *policy.Lookup, send int) {
	n.note(lk, "cancel", policy.Micros(send))
	n.Executor.CancelAttempt(lk, send)
}

func (n *decisionDigester) Reject(lk *policy.Lookup, retryIn policy.Micros) {
	n.note(lk, "reject", retryIn)
	n.Executor.Reject(lk, retryIn)
}

func (n *decisionDigester) Fail(lk *policy.Lookup) {
	n.note(lk, "fail")
	n.Executor.Fail(lk)
}
