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
	d        *Day
	no, zone int
	name, ip string
	host     *simenv.Host
	skew     time.Duration
	bulletin int
	memory   float64
	fds      int
	its      *life
	lives    int
	disk     *simenv.Disk
	sides    map[uint64]side // configurations by version, on days of routes
	barred   map[string]bool // caches that its list on disk knows to drain
}

// life is one process of a gateway, from its start to its end.
type life struct {
	g      *gatewayActor
	p      *simenv.Proc
	its    *gateway.Gateway
	door   *plainDoor // where other proxies ask
	began  time.Duration
	ready  bool
	term   time.Duration // when it was told to stop; 0: not yet
	over   bool
	ended  time.Duration
	told   []time.Duration // by number of the event, 0: not yet
	sick   time.Duration   // since when it could not hear, or until when
	conns  map[*cacheConn]bool
	forced []forced // routes in force by time
	looked time.Duration
}

func newGateway(d *Day, no int) *gatewayActor {
	g := &gatewayActor{d: d, no: no, zone: no % d.zones, name: fmt.Sprintf("n%d", no), ip: fmt.Sprintf("10.0.%d.%d", no%d.zones, no+1),
		memory: d.Plan.MemoryMB, fds: d.Plan.FDs}
	g.host, g.disk, g.barred = d.w.Host(g.ip, "gateways"), simenv.NewDisk(), map[string]bool{}
	return g
}

func (g *gatewayActor) addr() string { return g.ip + ":10080" }

// config is the text of its configuration file now.
func (g *gatewayActor) config() []byte {
	items := append([]event{}, g.d.events...)
	known := any(map[string]any{"no": len(g.d.events), "items": items})
	if g.d.Plan.Morning != nil {
		known = g.d.known()
	}
	text := map[string]any{"name": g.name, "listen": g.addr(), "seed": fmt.Sprintf("%016x", g.d.w.Chance.Uint64()),
		"limits":   map[string]any{"cores": 1, "memory_mb": g.memory, "sockets": g.fds},
		"bulletin": g.d.bulletins[g.bulletin].addr(), "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
		"settings": g.d.settings(g.zone)}
	if known != nil {
		text["known"] = known
	}
	return must(text)
}

// start begins a life, if none is under way.
func (g *gatewayActor) start() {
	if g.its != nil && !g.its.over {
		return
	}
	d := g.d
	if d.Plan.Morning != nil {
		g.wake(g.its)
	}
	g.lives++
	l := &life{g: g, began: d.w.Now(), told: make([]time.Duration, len(d.events)+1), conns: map[*cacheConn]bool{}}
	for i := range l.told {
		l.told[i] = max(1, d.w.Now()) // known from the start
	}
	if d.Plan.Morning != nil {
		l.told, l.sick = nil, d.w.Now()
	}
	g.its = l
	g.host.Mute = false
	l.p = &simenv.Proc{Name: fmt.Sprintf("%s.%d", g.name, g.lives), FDs: g.fds, Skew: g.skew,
		Env_:  map[string]string{"ROUTER_CONFIG": "/config.json"},
		Files: map[string][]byte{"/config.json": g.config()}, Line: d.line,
		Done: func(_ *simenv.Proc, err error) { d.ref.ended(l, err) }}
	if d.Plan.Morning != nil {
		g.morning(l.p)
	}
	watch := gateway.Hooks{OnStarted: func(its *gateway.Gateway) {
		if l.its, l.ready = its, true; its.Routes() != nil {
			l.note()
			l.forced[0].at = 0
			d.after(0, l.watchRoutes)
		}
	}}
	if d.Plan.routed() {
		if g.sides == nil {
			g.sides = map[uint64]side{1: 0}
		} else {
			g.disk.Crash(d.w.Chance)
		}
		g.routes(l.p)
	}
	if d.proxies != nil {
		watch.NewServices = func(in gateway.Dependencies) ([]gateway.Service, error) {
			var err error
			if l.door, err = doorOf(in, g.ip+":"+doorPort, d); err != nil {
				return nil, err
			}
			return []gateway.Service{l.door}, nil
		}
	}
	var ground func(env.Environment) env.Environment
	if d.look.decided != nil {
		watch.Interceptor = func(h policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
			return start(&says{Executor: h, fetch: func(h policy.Executor, lk *policy.Lookup, request policy.FetchRequest) {
				h.Fetch(lk, request)
				d.look.decided(d, l, request.Cache.Name)
			}})
		}
	}
	if d.look.script != nil {
		watch.Interceptor = d.look.script.between(d)
	}
	if p := plants[d.Plan.Plant]; p.make != nil {
		watch.Interceptor, ground = p.make(d, l)
	}
	watch.Interceptor = d.noting(l.p.Name, watch.Interceptor)
	d.w.Start(g.host, l.p, func(under env.Environment) error {
		if ground != nil {
			under = ground(under)
		}
		return gateway.Run(under, watch)
	})
}

// kill ends the life at once; what it had taken is lost, and not owed.
func (g *gatewayActor) kill() {
	if l := g.its; l != nil && !l.over {
		l.over, l.ended = true, g.d.w.Now()
		l.p.Kill()
		g.d.ref.killed(l)
	}
}

// term stops the gateway as the platform does, and starts it again if asked.
func (g *gatewayActor) term(again bool) {
	l := g.its
	if l == nil || l.over || l.term > 0 {
		return
	}
	d := g.d
	l.term = d.w.Now()
	l.p.Signal(env.Terminate)
	longest := 3 * time.Second
	for _, k := range kinds {
		longest = max(longest, k.deadline)
	}
	d.after(longest+700*time.Millisecond, func() {
		if !l.over {
			d.ref.broken("stop", "%s still runs when the platform kills it, %s", l.p.Name, l.p.Names())
			l.over = true
			l.p.Kill()
			d.ref.killed(l)
		}
		if again {
			d.after(50*time.Millisecond, g.start)
		}
	})
}

// reread puts a file in place of the configuration and says so.
func (g *gatewayActor) reread(text []byte) {
	if l := g.its; l != nil && !l.over && l.ready && l.term == 0 {
		l.p.Files["/config.json"] = text
		l.p.Signal(env.Reload)
	}
}

// noting takes every decision of the module into the digest, before whoever else looks on.
func (d *Day) noting(process string, between dispatch.Interceptor) dispatch.Interceptor {
	return func(h policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
		under := func(h policy.Executor) dispatch.Router { return start(&noted{Executor: h, w: d.w, process: process}) }
		if between == nil {
			return under(h)
		}
		return between(h, under)
	}
}

// noted notes what the module decides.
type noted struct {
	policy.Executor
	w       *simenv.World
	process string
}

func (n *noted) note(lk *policy.Lookup, decision string, numbers ...policy.Micros) {
	n.w.Note(simenv.StepDecision, n.process+" "+lk.ID+" "+decision, "", int64(len(numbers)))
	for _, m := range numbers {
		n.w.Note(simenv.StepDecision, "", "", int64(m))
	}
}

func (n *noted) Fetch(lk *policy.Lookup, request policy.FetchRequest) {
	n.note(lk, "fetch "+request.Cache.Name+" "+request.Source.Name, policy.Micros(request.Rank), policy.Micros(request.Mode), request.Timeout,
		request.SilenceTimeout, request.MaxAge)
	n.Executor.Fetch(lk, request)
}

func (n *noted) CancelAttempt(lk *policy.Lookup, send int) {
	n.note(lk, "cancel", policy.Micros(send))
	n.Executor.CancelAttempt(lk, send)
}

func (n *noted) Reject(lk *policy.Lookup, retryIn policy.Micros) {
	n.note(lk, "reject", retryIn)
	n.Executor.Reject(lk, retryIn)
}

func (n *noted) Fail(lk *policy.Lookup) {
	n.note(lk, "fail")
	n.Executor.Fail(lk)
}
