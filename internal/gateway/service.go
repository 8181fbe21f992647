// Package gateway starts the gateway and stops it.
package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"foldslip/internal/config"
	"foldslip/internal/config/change"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/memory"
	"foldslip/internal/route/rollout"
	"foldslip/internal/settings"
	"foldslip/internal/store/snapshot"
	"foldslip/internal/warmstart"
	"foldslip/internal/wire"
)

const (
	// At a planned restart connections keep coming for 0.4 s, requests on open ones for a further 0.2 s; what comes in the 0.1 s
	// after them is owed an answer all the same.
	acceptOn   = 700 * time.Millisecond
	stopBefore = 250 * time.Millisecond // before the kill, which comes after the longest deadline and 0.7 s
	mostKill   = 3 * time.Second        // a longer deadline counts as this
	purgeSlack = 5 * time.Second
	confirmIn  = 10 * time.Minute // for routes of a file that was read anew

	mostLookups = 640 // open at once, and fewer on little memory:
	lookupsAMB  = 8   // each takes some 20 KB with its connection, stacks and send, the answer's bytes not counted
	bodiesPart  = 0.4 // of the memory limit, for the answers' bytes
	memoryPart  = 0.7 // of the limit, for the runtime's own
	mostClients = 4096
	mostLinks   = 16384 // connections to caches
	clientsPart = 2     // the front takes one over this of the descriptors; clients hold up to a third
)

// start is what the gateway is told.
type start struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Bulletin string          `json:"bulletin"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

func readStart(g env.Ground, path, name, listen string, own *config.Config) (*start, *settings.Settings, uint64, error) {
	text, err := g.ReadFile(path)
	if err != nil {
		return nil, nil, 0, err
	}
	var s start
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, nil, 0, fmt.Errorf("%s: %w", path, err)
	}
	if name != "" {
		s.Name = name
	}
	if listen != "" {
		s.Listen = listen
	}
	if s.Listen == "" || s.Bulletin == "" || len(s.Known) == 0 && own.List == nil {
		return nil, nil, 0, fmt.Errorf("%s: listen, bulletin or known is missing", path)
	}
	seed, err := strconv.ParseUint(s.Seed, 16, 64)
	if err != nil {
		return nil, nil, 0, fmt.Errorf("%s: seed is not hex digits", path)
	}
	terms, err := settings.Parse(s.Settings)
	if err != nil {
		return nil, nil, 0, fmt.Errorf("%s: settings: %w", path, err)
	}
	return &s, terms, seed, nil
}

// readAll reads what the gateway is told, as its variables say.
func readAll(g env.Ground) (*start, *settings.Settings, uint64, *config.Config, error) {
	own := &config.Config{}
	if path := g.Env("FOLDSLIP_SETTINGS"); path != "" {
		var err error
		if own, err = config.Read(path, g.ReadFile); err != nil {
			return nil, nil, 0, nil, err
		}
		g.Tidy() // the evaluator takes some 2 MB that nothing needs any more
	}
	s, terms, seed, err := readStart(g, g.Env("ROUTER_CONFIG"), g.Env("ROUTER_NAME"), g.Env("ROUTER_LISTEN"), own)
	return s, terms, seed, own, err
}

// keep opens the list kept on disk. What is wrong with it is told, and the gateway serves without it.
func keep(g env.Ground, own *config.Config) *snapshot.Snapshotter {
	if own.List == nil {
		return nil
	}
	list, why, err := snapshot.Open(g, own.List.Folder, snapshot.Limits{MaxBytes: own.List.MaxBytes, WritesPerSecond: own.List.WritesPerSecond})
	if err != nil {
		g.Log().Warn("list_not_kept", "folder", own.List.Folder, "text", err.Error())
		return nil
	}
	if why != nil {
		g.Log().Warn("list_torn", "folder", own.List.Folder, "text", why.Error())
	}
	return list
}

// steering puts the operators' routes in force; nil where they name none.
func steering(g env.Ground, own *config.Config, terms *settings.Settings, bulletin *wire.Bulletin) (*rollout.Controller, error) {
	if own.Routing == nil {
		return nil, nil
	}
	var disk env.Disk
	if own.Routing.Folder != "" {
		var err error
		if disk, err = g.Folder(own.Routing.Folder); err != nil {
			return nil, fmt.Errorf("routing.folder: %w", err)
		}
	}
	s, err := rollout.Open(g, disk, own.Routing.Config, terms.Kinds)
	if err != nil {
		return nil, err
	}
	if own.Routing.GuardLimits != nil {
		s.SetGuardLimits(*own.Routing.GuardLimits)
	}
	bulletin.Heard = s.UpdateEndpoints
	return s, nil
}

// Gateway is a gateway at work, for whoever looks on.
type Gateway struct {
	router *dispatch.Dispatcher
	links  *wire.Links
	front  *wire.Front
	routes *rollout.Controller
}

// Routes are the routes in force; nil: none.
func (w *Gateway) Routes() *rollout.Controller { return w.routes }

// Load is what a gateway holds: lookups without a final answer or with sends out, sends as the module counts them,
// those not picked yet, sends as the connections count them, and connections to caches and of clients.
type Load struct{ Lookups, Sends, Queued, Flying, Links, Clients int }

// Load tells it at one instant, if nothing goes on meanwhile.
func (w *Gateway) Load() (l Load) {
	l.Lookups = w.router.OpenLookups()
	l.Sends, l.Queued = w.router.InFlight()
	l.Flying, l.Links = w.links.Load()
	l.Clients = w.front.Load()
	return l
}

// Watch is what may look on, and what further doors there are; all may be nil.
type Watch struct {
	Up      func(*Gateway)
	Between dispatch.Interceptor
	Doors   func(Inside) ([]Door, error)
}

// Inside is what a door stands before.
type Inside struct {
	Name   string
	Ground env.Ground
	Terms  *settings.Settings
	Router *dispatch.Dispatcher
	Caches *memory.Registry
	Purges *memory.Log
	Room   *memory.Controller
	Own    *config.Config
	Routes *rollout.Controller // nil: a lookup may go anywhere
}

// Door takes lookups beside the users' door.
type Door interface {
	// Run serves until life ends.
	Run(life *env.Life) error
	// Prepare reads the operators' settings anew; what it returns puts them in place. It changes nothing by itself.
	Prepare(own *config.Config) (func(), error)
	// Drain takes no more callers; what is open goes on. It does not wait.
	Drain()
	// Wait waits for what is open to end.
	Wait()
}

// Run runs a gateway on its ground until it is told to stop; every lookup taken by then is answered.
func Run(g env.Ground, watch Watch) error {
	told := newOrders(g)
	defer g.Signals(told.hear)()
	s, terms, seed, own, err := readAll(g)
	if err != nil {
		return err
	}
	cores, memoryLimit := 0, int64(0)
	if s.Limits.Cores > 0 {
		cores = max(1, int(s.Limits.Cores+0.5))
	}
	if s.Limits.MemoryMB > 0 {
		memoryLimit = int64(s.Limits.MemoryMB * memoryPart * (1 << 20))
	}
	g.Limit(cores, memoryLimit)
	life := env.NewLife(nil)
	defer life.End()

	caches := &memory.Registry{}
	purges := &memory.Log{Clock: g, Grace: time.Duration(terms.PurgeGrace) * time.Microsecond, Retention: time.Duration(terms.Router.PurgeSettleTime)*time.Microsecond + purgeSlack}
	router := dispatch.New(g, seed, terms.Router, watch.Between)
	calling := &frugal{Ground: g}
	bulletin := wire.NewBulletin(calling, s.Bulletin, terms, router, caches, purges)
	routes, err := steering(g, own, terms, bulletin)
	if err != nil {
		return err
	}
	list := keep(g, own)
	var members *warmstart.Reconciler
	if list != nil {
		members = warmstart.New(g, terms, router, caches, list)
		bulletin.Members = members
	}
	listed := 0
	if len(s.Known) > 0 {
		if err := bulletin.Known(s.Known); err != nil {
			return err
		}
		listed = caches.Len()
	}
	if listed == 0 && members != nil {
		listed = members.Start(purges)
		chance := rand.New(rand.NewPCG(seed, 0x62756c6c6574696e))
		bulletin.Spread = func(most time.Duration) time.Duration { // full jitter: all gateways wait for one bulletin
			return time.Duration(chance.Int64N(int64(most) + 1))
		}
	}
	listener, err := g.Listen(s.Listen)
	if err != nil {
		return err
	}
	held := share(s.Limits.Sockets, g.Descriptors(), own, watch.Doors != nil)
	lookups, bytes := mostLookups, int64(mostLookups*wire.MostObject)
	if s.Limits.MemoryMB > 0 {
		lookups = min(lookups, max(1, int(s.Limits.MemoryMB*lookupsAMB)))
		bytes = int64(s.Limits.MemoryMB * bodiesPart * (1 << 20))
	}
	links := wire.NewLinks(calling, life, terms, router, caches, purges, held.Caches)
	room := memory.NewController(g, lookups, bytes)
	front := wire.NewFront(g, terms, router, links, room, held.Clients)
	calling.yield = func() bool { return front.Yield() || links.Yield() } // who waits for nothing goes first
	front.Routes = routes
	var doors []Door
	if watch.Doors != nil {
		if doors, err = watch.Doors(Inside{s.Name, g, terms, router, caches, purges, room, own, routes}); err != nil {
			return err
		}
	}
	fleet, err := joining(g, own, s.Name, seed, routes, router, bulletin)
	if err != nil {
		return err
	}
	if fleet != nil {
		doors = append(doors, fleet)
	}
	calls, err := operators(g, own, routes, fleet)
	if err != nil {
		return err
	}
	doors = append(doors, calls...)
	g.Log().Info("started", "name", s.Name, "listen", s.Listen, "bulletin", s.Bulletin, "last", bulletin.Last,
		"descriptors_own", held.Own, "descriptors_doors", held.Doors, "descriptors_clients", held.Clients, "descriptors_caches", held.Caches)

	group := g.Group()
	start := func(name string, part func() error) {
		group.Go(name, func() error {
			err := part()
			if err != nil {
				life.End()
			}
			return err
		})
	}
	start("bulletin", func() error { return bulletin.Follow(life) })
	start("tick", func() error { return tick(g, life, router) })
	start("reread", func() error { return reread(g, life, told, s, bulletin, routes, doors) })
	start("accept", func() error { return front.Accept(life, listener) })
	for _, d := range doors {
		start("door", func() error { return d.Run(life) })
	}
	if routes != nil {
		start("routes", func() error { return routes.Run(life) })
	}
	if members != nil {
		start("list", func() error { return list.Run(life) })
		start("members", func() error { return members.Run(life) })
	}
	if listed > 0 {
		front.Ready()
	} else { // the truth is told: until there is a list each lookup is nacked
		g.Log().Warn("no_list", "bulletin", s.Bulletin)
		bulletin.Listed = front.Ready
	}
	if watch.Up != nil {
		watch.Up(&Gateway{router, links, front, routes})
	}
	start("drain", func() error {
		defer life.End()
		if !told.stop(life) {
			return errors.New("a part of the gateway ended")
		}
		return drain(g, terms, router, front, doors, listener)
	})
	err = group.Wait()
	links.Wait()
	g.Log().Info("stopped", "name", s.Name, "open", router.OpenLookups())
	return err
}

// orders are the platform's signals until they are heeded: one that waits stands for all of its kind since.
type orders struct {
	mu           sync.Mutex
	stopped, hup bool
	stopping     env.Bell
	rereading    env.Bell
}

func newOrders(g env.Ground) *orders { return &orders{stopping: g.Bell(), rereading: g.Bell()} }

func (o *orders) hear(s env.Signal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s == env.Reread {
		o.hup = true
		o.rereading.Ring()
		return
	}
	o.stopped = true
	o.stopping.Ring()
}

// stop waits for the word to stop; false if the life ends first.
func (o *orders) stop(life *env.Life) bool {
	defer life.OnEnd(o.stopping.Ring)()
	o.stopping.Wait(-1)
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stopped
}

// reread waits for the word to read anew; false if the life ends first.
func (o *orders) reread() bool {
	o.rereading.Wait(-1)
	o.mu.Lock()
	defer o.mu.Unlock()
	was := o.hup
	o.hup = false
	return was
}

// reread reads the configuration anew at each SIGHUP. The bulletin moves at once and nothing else is touched; what
// is told of the rest counts from the next start. A file that cannot be used leaves all as it is.
func reread(g env.Ground, life *env.Life, told *orders, was *start, bulletin *wire.Bulletin, routes *rollout.Controller,
	doors []Door) error {
	defer life.OnEnd(told.rereading.Ring)()
	for {
		if !told.reread() {
			if life.Over() {
				return nil
			}
			continue
		}
		now, _, _, own, err := readAll(g)
		var changes []func()
		for i := 0; i < len(doors) && err == nil; i++ { // all or none
			var change func()
			change, err = doors[i].Prepare(own)
			changes = append(changes, change)
		}
		if err == nil && routes != nil && own.Routing != nil {
			err = rerouted(routes, own.Routing)
		}
		if err != nil {
			g.Log().Warn("reread_failed", "text", err.Error())
			continue
		}
		rest := now.Limits != was.Limits || now.Listen != was.Listen || !bytes.Equal(now.Settings, was.Settings)
		g.Log().Info("reread", "bulletin", now.Bulletin, "restart_wanted", rest)
		bulletin.Move(now.Bulletin)
		for _, change := range changes {
			change()
		}
	}
}

// rerouted brings the routes of the file in; an error if they cannot be used.
func rerouted(routes *rollout.Controller, r *config.Routing) error {
	step, err := routes.ApplyFile(r.Config, confirmIn)
	if err == nil && step.Stage == change.RolledBack && len(step.Findings) > 0 {
		err = fmt.Errorf("routing: version %d is undone: %s", step.Version, step.Reason)
	}
	return err
}

// drain stops the gateway as the platform stops it. What is still open shortly before the kill is given up, so that it has its answer.
func drain(g env.Ground, terms *settings.Settings, router *dispatch.Dispatcher, front *wire.Front, doors []Door,
	listener net.Listener) error {
	kill := time.Duration(0)
	for _, k := range terms.Router.Kinds {
		kill = max(kill, time.Duration(k.Deadline)*time.Microsecond)
	}
	cut := g.Now().Add(min(kill, mostKill) + 700*time.Millisecond - stopBefore)
	g.Log().Info("stopping")
	front.Unready()
	g.Bell().Wait(acceptOn)
	front.Drain()
	front.Shut(listener)
	for _, d := range doors {
		d.Drain()
	}
	done, waiting := g.Bell(), g.Group()
	waiting.Go("drained", func() error {
		front.Wait()
		for _, d := range doors {
			d.Wait()
		}
		done.Ring()
		return nil
	})
	if !done.Wait(max(0, cut.Sub(g.Now()))) {
		router.Stop()
		if !done.Wait(stopBefore / 2) {
			front.Cut()
		}
	}
	return waiting.Wait()
}

// tick brings the router its timers.
func tick(g env.Ground, life *env.Life, router *dispatch.Dispatcher) error {
	end := g.Bell()
	defer life.OnEnd(end.Ring)()
	for !end.Wait(max(router.Tick(nil, false, nil), time.Millisecond)) {
	}
	return nil
}
