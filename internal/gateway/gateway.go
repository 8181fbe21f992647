// Package gateway assembles and runs the gateway. It reads the configuration, opens the components in order, starts
// them, reloads the configuration at SIGHUP and shuts down gracefully at SIGTERM. It makes no decision about lookups.
//
// Run owns all components. They run in goroutines of one group and share one lifetime. The lifetime
// ends when a component fails or when the gateway has drained. The package sets the bounds of the
// process: the open lookups, the bytes of request bodies and objects, and the descriptors of each role.
package gateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"foldslip/internal/admission"
	"foldslip/internal/cacheregistry"
	"foldslip/internal/config"
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
	// purgeRetentionSlack is how long purges stay recorded after
	// the settle time, when no cache holds an older copy any more.
	purgeRetentionSlack = 5 * time.Second
	// jitterStream separates the random retry delays of the discovery watch from other random numbers of the same seed.
	jitterStream = 0x62756c6c6574696e
)

// Hooks extend a gateway for the program that embeds it. All of them may be nil.
type Hooks struct {
	OnStarted   func(*Gateway)
	Interceptor dispatch.Interceptor
	// NewServices returns further services, such as entry points for other proxies.
	NewServices func(Dependencies) ([]Service, error)
}

// Dependencies are the components and settings that a service of Hooks.NewServices works with.
type Dependencies struct {
	Name         string // name of the gateway
	Environment  env.Environment
	Settings     *settings.Settings
	Dispatcher   *dispatch.Dispatcher
	Registry     *cacheregistry.Registry
	Purges       *purgelog.Log
	Admission    *admission.Controller
	Config       *config.Config
	Routes       *rollout.Controller // nil: there are no routes, and a lookup may go to any cache
	UsableMemory int64               // memory limit of the process less what its program file takes, in bytes; 0: no limit
}

// Service is a component that runs beside the HTTP server: an
// entry point for other proxies, an admin socket or the fleet.
type Service interface {
	// Run serves until the lifetime ends.
	Run(lifetime *env.Lifetime) error
	// Reload puts the parts of a new configuration into effect that can be used, and returns an error for the others.
	Reload(operators *config.Config) error
	// Drain stops accepting new work. Work in progress continues. Drain does not wait.
	Drain()
	// Wait waits for the work in progress to end.
	Wait()
}

// Gateway is a handle to a running gateway, for inspection.
type Gateway struct {
	dispatcher *dispatch.Dispatcher
	pool       *upstream.Pool
	server     *frontend.Server
	routes     *rollout.Controller
	watch      *discovery.Watch
}

// Routes returns the controller of the routes, or nil if there are no routes.
func (g *Gateway) Routes() *rollout.Controller { return g.routes }

// Load is the number of lookups, attempts and connections that a gateway holds.
type Load struct {
	Lookups        int // lookups without a result or with open attempts
	OpenAttempts   int // open attempts as counted by the policy
	QueuedAttempts int // open attempts that have not been started
	ConnAttempts   int // open attempts as counted by the connections to caches
	CacheConns     int
	ClientConns    int
	Sessions       int // connections to discovery
}

// Load returns the present load. The counts are taken one after another,
// so they belong to one instant only if nothing changes meanwhile.
func (g *Gateway) Load() (l Load) {
	l.Lookups = g.dispatcher.OpenLookups()
	l.OpenAttempts, l.QueuedAttempts = g.dispatcher.InFlight()
	l.ConnAttempts, l.CacheConns = g.pool.Load()
	l.ClientConns = g.server.ConnCount()
	l.Sessions = g.watch.Sessions()
	return l
}

// instance is a gateway that is being assembled or is running.
// Its components are in the order in which they are opened.
type instance struct {
	env      env.Environment
	hooks    Hooks
	signals  *pendingSignals
	config   *configuration
	memory   memoryBudget
	lifetime *env.Lifetime

	registry    *cacheregistry.Registry
	purges      *purgelog.Log
	dispatcher  *dispatch.Dispatcher
	dialEnv     *evictingEnv // environment of the components that dial
	watch       *discovery.Watch
	routes      *rollout.Controller   // nil: there are no routes
	snapshotter *snapshot.Snapshotter // nil: the endpoint list is not stored
	reconciler  *warmstart.Reconciler // nil: the endpoint list is not stored
	hasList     bool                  // an endpoint list was available at the start

	listener    net.Listener
	descriptors descriptorShares
	pool        *upstream.Pool
	admission   *admission.Controller
	server      *frontend.Server
	fleet       *fleetService // nil: no fleet is configured
	services    []Service
}

// Run runs a gateway until the signal to terminate and then drains it. Every lookup that was accepted gets a response.
func Run(environment env.Environment, hooks Hooks) error {
	signals := newPendingSignals(environment)
	defer environment.OnSignal(signals.handle)()
	loaded, err := loadConfiguration(environment)
	if err != nil {
		return err
	}
	memory := newMemoryBudget(loaded.platform.memoryLimit(), environment.ProgramBytes())
	environment.SetResourceLimits(loaded.platform.cores(), memory.Runtime)
	g := &instance{env: environment, hooks: hooks, signals: signals, config: loaded, memory: memory, lifetime: env.NewLifetime(nil)}
	defer g.lifetime.End()
	for _, open := range []func() error{g.openCore, g.openRoutes, g.openEndpoints, g.openServer, g.openServices} {
		if err := open(); err != nil {
			return err
		}
	}
	return g.run()
}

// openCore creates the registry of caches, the log of purges, the dispatcher and the discovery watch.
func (g *instance) openCore() error {
	parsed := g.config.settings
	g.registry = &cacheregistry.Registry{}
	g.purges = &purgelog.Log{
		Clock:     g.env,
		Grace:     time.Duration(parsed.PurgeGrace) * time.Microsecond,
		Retention: time.Duration(parsed.Router.PurgeSettleTime)*time.Microsecond + purgeRetentionSlack,
	}
	g.dispatcher = dispatch.New(g.env, g.config.seed, parsed.Router, g.hooks.Interceptor)
	g.dialEnv = &evictingEnv{Environment: g.env}
	g.watch = discovery.NewWatch(discovery.Config{
		Environment: g.dialEnv,
		Addr:        g.config.platform.DiscoveryAddr,
		Settings:    parsed,
		Dispatcher:  g.dispatcher,
		Registry:    g.registry,
		Purges:      g.purges,
	})
	return nil
}

// openRoutes puts the operators' routes into effect, if any are configured.
func (g *instance) openRoutes() error {
	routing := g.config.operators.Routing
	if routing == nil {
		return nil
	}
	var directory env.Directory
	if routing.Folder != "" {
		var err error
		if directory, err = g.env.OpenDirectory(routing.Folder); err != nil {
			return fmt.Errorf("routing.folder: %w", err)
		}
	}
	var err error
	if g.routes, err = rollout.Open(g.env, directory, routing.RouteConfig, g.config.settings.Kinds); err != nil {
		return err
	}
	if routing.GuardLimits != nil {
		g.routes.SetGuardLimits(*routing.GuardLimits)
	}
	g.watch.OnUpdate = g.routes.UpdateEndpoints
	return nil
}

// openEndpoints loads the endpoint list from the platform's configuration or, if that has none, from
// disk. Without either the gateway starts all the same and becomes ready when discovery has sent a list.
func (g *instance) openEndpoints() error {
	g.snapshotter = g.openSnapshotter()
	if g.snapshotter != nil {
		g.reconciler = warmstart.New(g.env, g.config.settings, g.dispatcher, g.registry, g.snapshotter)
		g.watch.Reconciler = g.reconciler
	}
	if len(g.config.platform.KnownEvents) > 0 {
		if err := g.watch.LoadKnown(g.config.platform.KnownEvents); err != nil {
			return err
		}
		g.hasList = g.registry.Len() > 0
	}
	if !g.hasList && g.reconciler != nil {
		g.hasList = g.reconciler.Start(g.purges) > 0
		random := rand.New(rand.NewPCG(g.config.seed, jitterStream))
		g.watch.Jitter = func(limit time.Duration) time.Duration { // full jitter: all gateways may retry at the same discovery
			return time.Duration(random.Int64N(int64(limit) + 1))
		}
	}
	return nil
}

// openSnapshotter opens the stored endpoint list. It returns nil if none is configured. If the list
// cannot be opened, it logs the error and returns nil, and the gateway serves without a stored list.
func (g *instance) openSnapshotter() *snapshot.Snapshotter {
	store := g.config.operators.List
	if store == nil {
		return nil
	}
	snapshotter, damage, err := snapshot.Open(g.env, store.Folder, snapshot.Limits{MaxBytes: store.MaxBytes, WritesPerSecond: store.WritesPerSecond})
	if err != nil {
		g.env.Log().Warn("list_open_failed", "folder", store.Folder, "error", err.Error())
		return nil
	}
	if damage != nil {
		g.env.Log().Warn("list_damaged", "folder", store.Folder, "error", damage.Error())
	}
	return snapshotter
}

// openServer listens for clients and creates the pool of connections
// to caches, the admission controller and the HTTP server.
func (g *instance) openServer() error {
	platform := g.config.platform
	var err error
	if g.listener, err = g.env.Listen(platform.Listen); err != nil {
		return err
	}
	g.descriptors = shareDescriptors(descriptorDemand{
		platformLimit: platform.Limits.Sockets,
		systemLimit:   g.env.DescriptorLimit(),
		operators:     g.config.operators,
		hasExtproc:    g.hooks.NewServices != nil,
	})
	g.pool = upstream.NewPool(upstream.Config{
		Environment: g.dialEnv,
		Lifetime:    g.lifetime,
		Settings:    g.config.settings,
		Dispatcher:  g.dispatcher,
		Registry:    g.registry,
		Purges:      g.purges,
		MaxConns:    g.descriptors.Caches,
	})
	g.admission = admission.NewController(g.env, platform.maxLookups(), g.memory.Bodies)
	g.server = frontend.NewServer(frontend.Config{
		Environment: g.env,
		Settings:    g.config.settings,
		Dispatcher:  g.dispatcher,
		Pool:        g.pool,
		Admission:   g.admission,
		Routes:      g.routes,
		MaxConns:    g.descriptors.Clients,
		InputBytes:  g.memory.Input,
		MaxEndedIDs: g.memory.EndedIDs,
	})
	g.dialEnv.evictIdle = func() bool { return g.server.EvictIdle() || g.pool.EvictIdle() } // idle clients are evicted first
	return nil
}

// openServices opens the services that run beside the HTTP server:
// those of Hooks.NewServices, the fleet and the admin sockets.
func (g *instance) openServices() error {
	if g.hooks.NewServices != nil {
		services, err := g.hooks.NewServices(Dependencies{
			Name:         g.config.platform.Name,
			Environment:  g.env,
			Settings:     g.config.settings,
			Dispatcher:   g.dispatcher,
			Registry:     g.registry,
			Purges:       g.purges,
			Admission:    g.admission,
			Config:       g.config.operators,
			Routes:       g.routes,
			UsableMemory: g.memory.Usable,
		})
		if err != nil {
			return err
		}
		g.services = services
	}
	fleet, err := g.joinFleet()
	if err != nil {
		return err
	}
	if fleet != nil {
		g.fleet = fleet
		g.services = append(g.services, fleet)
	}
	adminServices, err := g.openAdmin()
	if err != nil {
		return err
	}
	g.services = append(g.services, adminServices...)
	return nil
}

// run starts all components and waits for them to end.
func (g *instance) run() error {
	platform := g.config.platform
	g.env.Log().Info("started", "name", platform.Name, "listen", platform.Listen, "discovery", platform.DiscoveryAddr, "last", g.watch.LastEvent,
		"descriptors_process", g.descriptors.Process, "descriptors_extproc", g.descriptors.Extproc, "descriptors_clients", g.descriptors.Clients,
		"descriptors_caches", g.descriptors.Caches)
	group := g.env.NewGroup()
	start := func(name string, run func() error) {
		group.Go(name, func() error {
			err := run()
			if err != nil {
				g.lifetime.End()
			}
			return err
		})
	}
	start("discovery", func() error { return g.watch.Run(g.lifetime) })
	start("timers", g.runTimers)
	start("reload", g.reloadOnSignal)
	start("accept", func() error { return g.server.Serve(g.lifetime, g.listener) })
	for _, service := range g.services {
		start("service", func() error { return service.Run(g.lifetime) })
	}
	if g.routes != nil {
		start("routes", func() error { return g.routes.Run(g.lifetime) })
	}
	if g.reconciler != nil {
		start("snapshots", func() error { return g.snapshotter.Run(g.lifetime) })
		start("reconciler", func() error { return g.reconciler.Run(g.lifetime) })
	}
	g.setReady()
	if g.hooks.OnStarted != nil {
		g.hooks.OnStarted(&Gateway{g.dispatcher, g.pool, g.server, g.routes, g.watch})
	}
	start("drain", g.drainOnSignal)
	err := group.Wait()
	g.pool.Wait()
	g.env.Log().Info("stopped", "name", platform.Name, "open", g.dispatcher.OpenLookups())
	return err
}

// setReady makes the server answer pings with 200 as soon as
// there is an endpoint list. Until then each lookup is rejected.
func (g *instance) setReady() {
	if g.hasList {
		g.server.SetReady()
		return
	}
	g.env.Log().Warn("no_list", "discovery", g.config.platform.DiscoveryAddr)
	g.watch.OnFirstList = g.server.SetReady
}

// runTimers calls the dispatcher's Tick whenever a timer is due, until the lifetime ends.
func (g *instance) runTimers() error {
	end := g.env.NewNotifier()
	defer g.lifetime.OnEnd(end.Notify)()
	for !end.Wait(max(g.dispatcher.Tick(nil, false, nil), time.Millisecond)) {
	}
	return nil
}
