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

	"foldslip/internal/admission"
	"foldslip/internal/cacheregistry"
	"foldslip/internal/config"
	"foldslip/internal/config/change"
	"foldslip/internal/config/configfile"
	"foldslip/internal/discovery"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/frontend"
	"foldslip/internal/purgelog"
	"foldslip/internal/route/rollout"
	"foldslip/internal/settings"
	"foldslip/internal/store/snapshot"
	"foldslip/internal/upstream"
	"foldslip/internal/warmstart"
)

const (
	// At a planned restart connections keep coming for 0.4 s, requests on open ones for a further 0.2 s; what comes in the 0.1 s
	// after them is owed an answer all the same.
	drainDelay          = 700 * time.Millisecond
	killMargin          = 250 * time.Millisecond // before the kill, which comes after the longest deadline and 0.7 s
	maxKillDelay        = 3 * time.Second        // a longer deadline counts as this
	purgeRetentionSlack = 5 * time.Second
	confirmTimeout      = 10 * time.Minute // for routes of a file that was read anew

	maxLookups              = 640 // open at once, and fewer on little memory:
	lookupsPerMB            = 8   // each takes some 20 KB with its connection, stacks and send, the answer's bytes not counted
	bodyMemoryShare         = 0.4 // of the memory limit, for the answers' bytes
	runtimeMemoryShare      = 0.7 // of the limit, for the runtime's own
	maxClientConns          = 4096
	maxCacheConns           = 16384 // connections to caches
	clientDescriptorDivisor = 2     // the front takes one over this of the descriptors; clients hold up to a third
)

// platformConfig is what the gateway is told.
type platformConfig struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	DiscoveryAddr string          `json:"bulletin"`
	KnownEvents   json.RawMessage `json:"known"`
	Settings      json.RawMessage `json:"settings"`
}

func readPlatformConfig(g env.Environment, path, name, listen string, own *config.Config) (*platformConfig, *settings.Settings, uint64, error) {
	text, err := g.ReadFile(path)
	if err != nil {
		return nil, nil, 0, err
	}
	var s platformConfig
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, nil, 0, fmt.Errorf("%s: %w", path, err)
	}
	if name != "" {
		s.Name = name
	}
	if listen != "" {
		s.Listen = listen
	}
	if s.Listen == "" || s.DiscoveryAddr == "" || len(s.KnownEvents) == 0 && own.List == nil {
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

// loadConfig reads what the gateway is told, as its variables say.
func loadConfig(g env.Environment) (*platformConfig, *settings.Settings, uint64, *config.Config, error) {
	own := &config.Config{}
	if path := g.Getenv("FOLDSLIP_SETTINGS"); path != "" {
		var err error
		if own, err = configfile.Read(path, g.ReadFile); err != nil {
			return nil, nil, 0, nil, err
		}
		g.ReleaseMemory() // the evaluator takes some 2 MB that nothing needs any more
	}
	s, terms, seed, err := readPlatformConfig(g, g.Getenv("ROUTER_CONFIG"), g.Getenv("ROUTER_NAME"), g.Getenv("ROUTER_LISTEN"), own)
	return s, terms, seed, own, err
}

// openSnapshotter opens the list kept on disk. What is wrong with it is told, and the gateway serves without it.
func openSnapshotter(g env.Environment, own *config.Config) *snapshot.Snapshotter {
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

// openRoutes puts the operators' routes in force; nil where they name none.
func openRoutes(g env.Environment, own *config.Config, terms *settings.Settings, bulletin *discovery.Watch) (*rollout.Controller, error) {
	if own.Routing == nil {
		return nil, nil
	}
	var disk env.Directory
	if own.Routing.Folder != "" {
		var err error
		if disk, err = g.OpenDirectory(own.Routing.Folder); err != nil {
			return nil, fmt.Errorf("routing.folder: %w", err)
		}
	}
	s, err := rollout.Open(g, disk, own.Routing.RouteConfig, terms.Kinds)
	if err != nil {
		return nil, err
	}
	if own.Routing.GuardLimits != nil {
		s.SetGuardLimits(*own.Routing.GuardLimits)
	}
	bulletin.OnUpdate = s.UpdateEndpoints
	return s, nil
}

// Gateway is a gateway at work, for whoever looks on.
type Gateway struct {
	dispatcher *dispatch.Dispatcher
	pool       *upstream.Pool
	server     *frontend.Server
	routes     *rollout.Controller
}

// Routes are the routes in force; nil: none.
func (w *Gateway) Routes() *rollout.Controller { return w.routes }

// Load is what a gateway holds: lookups without a final answer or with sends out, sends as the module counts them,
// those not picked yet, sends as the connections count them, and connections to caches and of clients.
type Load struct{ Lookups, OpenAttempts, QueuedAttempts, ConnAttempts, CacheConns, ClientConns int }

// Load tells it at one instant, if nothing goes on meanwhile.
func (w *Gateway) Load() (l Load) {
	l.Lookups = w.dispatcher.OpenLookups()
	l.OpenAttempts, l.QueuedAttempts = w.dispatcher.InFlight()
	l.ConnAttempts, l.CacheConns = w.pool.Load()
	l.ClientConns = w.server.ConnCount()
	return l
}

// Hooks is what may look on, and what further doors there are; all may be nil.
type Hooks struct {
	OnStarted   func(*Gateway)
	Interceptor dispatch.Interceptor
	NewServices func(Dependencies) ([]Service, error)
}

// Dependencies is what a door stands before.
type Dependencies struct {
	Name        string
	Environment env.Environment
	Settings    *settings.Settings
	Dispatcher  *dispatch.Dispatcher
	Registry    *cacheregistry.Registry
	Purges      *purgelog.Log
	Admission   *admission.Controller
	Config      *config.Config
	Routes      *rollout.Controller // nil: a lookup may go anywhere
}

// Service takes lookups beside the users' door.
type Service interface {
	// Run serves until life ends.
	Run(life *env.Lifetime) error
	// Prepare reads the operators' settings anew; what it returns puts them in place. It changes nothing by itself.
	PrepareReload(own *config.Config) (func(), error)
	// Drain takes no more callers; what is open goes on. It does not wait.
	Drain()
	// Wait waits for what is open to end.
	Wait()
}

// Run runs a gateway on its ground until it is told to stop; every lookup taken by then is answered.
func Run(g env.Environment, watch Hooks) error {
	told := newPendingSignals(g)
	defer g.OnSignal(told.handle)()
	s, terms, seed, own, err := loadConfig(g)
	if err != nil {
		return err
	}
	cores, memoryLimit := 0, int64(0)
	if s.Limits.Cores > 0 {
		cores = max(1, int(s.Limits.Cores+0.5))
	}
	if s.Limits.MemoryMB > 0 {
		memoryLimit = int64(s.Limits.MemoryMB * runtimeMemoryShare * (1 << 20))
	}
	g.SetResourceLimits(cores, memoryLimit)
	life := env.NewLifetime(nil)
	defer life.End()

	caches := &cacheregistry.Registry{}
	purges := &purgelog.Log{Clock: g, Grace: time.Duration(terms.PurgeGrace) * time.Microsecond, Retention: time.Duration(terms.Router.PurgeSettleTime)*time.Microsecond + purgeRetentionSlack}
	router := dispatch.New(g, seed, terms.Router, watch.Interceptor)
	calling := &evictingEnv{Environment: g}
	bulletin := discovery.NewWatch(discovery.Config{Environment: calling, Addr: s.DiscoveryAddr, Settings: terms, Dispatcher: router, Registry: caches, Purges: purges})
	routes, err := openRoutes(g, own, terms, bulletin)
	if err != nil {
		return err
	}
	list := openSnapshotter(g, own)
	var members *warmstart.Reconciler
	if list != nil {
		members = warmstart.New(g, terms, router, caches, list)
		bulletin.Reconciler = members
	}
	listed := 0
	if len(s.KnownEvents) > 0 {
		if err := bulletin.LoadKnown(s.KnownEvents); err != nil {
			return err
		}
		listed = caches.Len()
	}
	if listed == 0 && members != nil {
		listed = members.Start(purges)
		chance := rand.New(rand.NewPCG(seed, 0x62756c6c6574696e))
		bulletin.Jitter = func(most time.Duration) time.Duration { // full jitter: all gateways wait for one bulletin
			return time.Duration(chance.Int64N(int64(most) + 1))
		}
	}
	listener, err := g.Listen(s.Listen)
	if err != nil {
		return err
	}
	held := shareDescriptors(s.Limits.Sockets, g.DescriptorLimit(), own, watch.NewServices != nil)
	lookups, bytes := maxLookups, int64(maxLookups*upstream.MaxObjectBytes)
	if s.Limits.MemoryMB > 0 {
		lookups = min(lookups, max(1, int(s.Limits.MemoryMB*lookupsPerMB)))
		bytes = int64(s.Limits.MemoryMB * bodyMemoryShare * (1 << 20))
	}
	links := upstream.NewPool(upstream.Config{Environment: calling, Lifetime: life, Settings: terms, Dispatcher: router, Registry: caches,
		Purges: purges, MaxConns: held.Caches})
	room := admission.NewController(g, lookups, bytes)
	front := frontend.NewServer(frontend.Config{Environment: g, Settings: terms, Dispatcher: router, Pool: links, Admission: room, Routes: routes,
		MaxConns: held.Clients})
	calling.evictIdle = func() bool { return front.EvictIdle() || links.EvictIdle() } // who waits for nothing goes first
	var doors []Service
	if watch.NewServices != nil {
		if doors, err = watch.NewServices(Dependencies{s.Name, g, terms, router, caches, purges, room, own, routes}); err != nil {
			return err
		}
	}
	fleet, err := joinFleet(g, own, s.Name, seed, routes, router, bulletin, purges)
	if err != nil {
		return err
	}
	if fleet != nil {
		doors = append(doors, fleet)
	}
	calls, err := openAdmin(g, own, routes, fleet)
	if err != nil {
		return err
	}
	doors = append(doors, calls...)
	g.Log().Info("started", "name", s.Name, "listen", s.Listen, "bulletin", s.DiscoveryAddr, "last", bulletin.LastEvent,
		"descriptors_own", held.Process, "descriptors_doors", held.Extproc, "descriptors_clients", held.Clients, "descriptors_caches", held.Caches)

	group := g.NewGroup()
	start := func(name string, part func() error) {
		group.Go(name, func() error {
			err := part()
			if err != nil {
				life.End()
			}
			return err
		})
	}
	start("bulletin", func() error { return bulletin.Run(life) })
	start("tick", func() error { return runTimers(g, life, router) })
	start("reread", func() error { return reloadOnSignal(g, life, told, s, bulletin, routes, doors) })
	start("accept", func() error { return front.Serve(life, listener) })
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
		front.SetReady()
	} else { // the truth is told: until there is a list each lookup is nacked
		g.Log().Warn("no_list", "bulletin", s.DiscoveryAddr)
		bulletin.OnFirstList = front.SetReady
	}
	if watch.OnStarted != nil {
		watch.OnStarted(&Gateway{router, links, front, routes})
	}
	start("drain", func() error {
		defer life.End()
		if !told.waitTerminate(life) {
			return errors.New("a part of the gateway ended")
		}
		return drain(g, terms, router, front, doors, listener)
	})
	err = group.Wait()
	links.Wait()
	g.Log().Info("stopped", "name", s.Name, "open", router.OpenLookups())
	return err
}

// pendingSignals are the platform's signals until they are heeded: one that waits stands for all of its kind since.
type pendingSignals struct {
	mu                                sync.Mutex
	terminateReceived, reloadReceived bool
	terminate                         env.Notifier
	reload                            env.Notifier
}

func newPendingSignals(g env.Environment) *pendingSignals {
	return &pendingSignals{terminate: g.NewNotifier(), reload: g.NewNotifier()}
}

func (o *pendingSignals) handle(s env.Signal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s == env.Reload {
		o.reloadReceived = true
		o.reload.Notify()
		return
	}
	o.terminateReceived = true
	o.terminate.Notify()
}

// waitTerminate waits for the word to stop; false if the life ends first.
func (o *pendingSignals) waitTerminate(life *env.Lifetime) bool {
	defer life.OnEnd(o.terminate.Notify)()
	o.terminate.Wait(-1)
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.terminateReceived
}

// waitReload waits for the word to read anew; false if the life ends first.
func (o *pendingSignals) waitReload() bool {
	o.reload.Wait(-1)
	o.mu.Lock()
	defer o.mu.Unlock()
	was := o.reloadReceived
	o.reloadReceived = false
	return was
}

// reloadOnSignal reads the configuration anew at each SIGHUP. The bulletin moves at once and nothing else is touched; what
// is told of the rest counts from the next start. A file that cannot be used leaves all as it is.
func reloadOnSignal(g env.Environment, life *env.Lifetime, told *pendingSignals, was *platformConfig, bulletin *discovery.Watch, routes *rollout.Controller,
	doors []Service) error {
	defer life.OnEnd(told.reload.Notify)()
	for {
		if !told.waitReload() {
			if life.Ended() {
				return nil
			}
			continue
		}
		now, _, _, own, err := loadConfig(g)
		var changes []func()
		for i := 0; i < len(doors) && err == nil; i++ { // all or none
			var change func()
			change, err = doors[i].PrepareReload(own)
			changes = append(changes, change)
		}
		if err == nil && routes != nil && own.Routing != nil {
			err = applyRoutes(routes, own.Routing)
		}
		if err != nil {
			g.Log().Warn("reread_failed", "text", err.Error())
			continue
		}
		rest := now.Limits != was.Limits || now.Listen != was.Listen || !bytes.Equal(now.Settings, was.Settings)
		g.Log().Info("reread", "bulletin", now.DiscoveryAddr, "restart_wanted", rest)
		bulletin.SetAddr(now.DiscoveryAddr)
		for _, change := range changes {
			change()
		}
	}
}

// applyRoutes brings the routes of the file in; an error if they cannot be used.
func applyRoutes(routes *rollout.Controller, r *config.Routing) error {
	step, err := routes.ApplyFile(r.RouteConfig, confirmTimeout)
	if err == nil && step.Stage == change.RolledBack && len(step.Findings) > 0 {
		err = fmt.Errorf("routing: version %d is undone: %s", step.Version, step.Reason)
	}
	return err
}

// drain stops the gateway as the platform stops it. What is still open shortly before the kill is given up, so that it has its answer.
func drain(g env.Environment, terms *settings.Settings, router *dispatch.Dispatcher, front *frontend.Server, doors []Service,
	listener net.Listener) error {
	kill := time.Duration(0)
	for _, k := range terms.Router.Kinds {
		kill = max(kill, time.Duration(k.Deadline)*time.Microsecond)
	}
	cut := g.Now().Add(min(kill, maxKillDelay) + 700*time.Millisecond - killMargin)
	g.Log().Info("stopping")
	front.SetNotReady()
	g.NewNotifier().Wait(drainDelay)
	front.Drain()
	front.StopAccepting(listener)
	for _, d := range doors {
		d.Drain()
	}
	done, waiting := g.NewNotifier(), g.NewGroup()
	waiting.Go("drained", func() error {
		front.Wait()
		for _, d := range doors {
			d.Wait()
		}
		done.Notify()
		return nil
	})
	if !done.Wait(max(0, cut.Sub(g.Now()))) {
		router.Stop()
		if !done.Wait(killMargin / 2) {
			front.Close()
		}
	}
	return waiting.Wait()
}

// runTimers brings the router its timers.
func runTimers(g env.Environment, life *env.Lifetime, router *dispatch.Dispatcher) error {
	end := g.NewNotifier()
	defer life.OnEnd(end.Notify)()
	for !end.Wait(max(router.Tick(nil, false, nil), time.Millisecond)) {
	}
	return nil
}
