// Package gateway puts the gateway together and runs it: it reads the configuration, opens the parts in their order, starts them, reloads
// the configuration at SIGHUP and shuts down gracefully at SIGTERM. It makes no decision about lookups.
//
// Run owns all parts. Each runs in a goroutine of one group; when one of them fails, the lifetime that they share ends.
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
	// purgeRetentionSlack is how long purges are recorded past the time in which older copies may lie about.
	purgeRetentionSlack = 5 * time.Second
	// jitterStream tells the random numbers of the watch's retry delays from others of the same seed.
	jitterStream = 0x62756c6c6574696e
)

// Hooks are for programs that embed a gateway; all may be nil.
type Hooks struct {
	OnStarted   func(*Gateway)
	Interceptor dispatch.Interceptor
	// NewServices returns further services, such as entry points for other proxies.
	NewServices func(Dependencies) ([]Service, error)
}

// Dependencies are what a service of Hooks.NewServices works with.
type Dependencies struct {
	Name        string // of the gateway
	Environment env.Environment
	Settings    *settings.Settings
	Dispatcher  *dispatch.Dispatcher
	Registry    *cacheregistry.Registry
	Purges      *purgelog.Log
	Admission   *admission.Controller
	Config      *config.Config
	Routes      *rollout.Controller // nil: a lookup may go anywhere
}

// Service is a part of the gateway beside the HTTP server: an entry point for other proxies, the operators' socket, the fleet.
type Service interface {
	// Run serves until the lifetime ends.
	Run(lifetime *env.Lifetime) error
	// PrepareReload checks another configuration; apply puts it in place. It changes nothing by itself.
	PrepareReload(operators *config.Config) (apply func(), err error)
	// Drain accepts nothing new; what is open goes on. It does not wait.
	Drain()
	// Wait waits for what is open to end.
	Wait()
}

// Gateway is a running gateway, to look at.
type Gateway struct {
	dispatcher *dispatch.Dispatcher
	pool       *upstream.Pool
	server     *frontend.Server
	routes     *rollout.Controller
}

// Routes returns the routes' controller; nil: there are no routes.
func (g *Gateway) Routes() *rollout.Controller { return g.routes }

// Load is what a gateway holds at one instant.
type Load struct {
	Lookups        int // without a final response or with open attempts
	OpenAttempts   int // as the policy counts them
	QueuedAttempts int // of these, not started yet
	ConnAttempts   int // open ones, as the connections to caches count them
	CacheConns     int
	ClientConns    int
}

// Load returns what the gateway holds. It is of one instant only if nothing goes on meanwhile.
func (g *Gateway) Load() (l Load) {
	l.Lookups = g.dispatcher.OpenLookups()
	l.OpenAttempts, l.QueuedAttempts = g.dispatcher.InFlight()
	l.ConnAttempts, l.CacheConns = g.pool.Load()
	l.ClientConns = g.server.ConnCount()
	return l
}

// instance is a gateway while it is put together and run. Its parts are in the order in which they are opened.
type instance struct {
	env      env.Environment
	hooks    Hooks
	signals  *pendingSignals
	config   *configuration
	lifetime *env.Lifetime

	registry    *cacheregistry.Registry
	purges      *purgelog.Log
	dispatcher  *dispatch.Dispatcher
	dialEnv     *evictingEnv // the environment of parts that dial
	watch       *discovery.Watch
	routes      *rollout.Controller   // nil: none
	snapshotter *snapshot.Snapshotter // nil: no list is stored
	reconciler  *warmstart.Reconciler // nil: no list is stored
	hasList     bool                  // an endpoint list was there at the start

	listener    net.Listener
	descriptors descriptorShares
	pool        *upstream.Pool
	admission   *admission.Controller
	server      *frontend.Server
	fleet       *fleetService // nil: none
	services    []Service
}

// Run runs a gateway until the signal to terminate; every lookup accepted by then gets its response.
func Run(environment env.Environment, hooks Hooks) error {
	signals := newPendingSignals(environment)
	defer environment.OnSignal(signals.handle)()
	loaded, err := loadConfiguration(environment)
	if err != nil {
		return err
	}
	environment.SetResourceLimits(loaded.platform.cores(), loaded.platform.runtimeMemory())
	g := &instance{env: environment, hooks: hooks, signals: signals, config: loaded, lifetime: env.NewLifetime(nil)}
	defer g.lifetime.End()
	for _, open := range []func() error{g.openCore, g.openRoutes, g.openEndpoints, g.openServer, g.openServices} {
		if err := open(); err != nil {
			return err
		}
	}
	return g.run()
}

// openCore opens the dispatcher and what stands around it.
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

// openRoutes puts the operators' routes in force, if there are any.
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

// openEndpoints loads the endpoint list: from the configuration, else from the stored list. Without either the gateway starts all the same,
// and is ready once discovery has sent a list.
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
		g.watch.Jitter = func(limit time.Duration) time.Duration { // full jitter: all gateways may be waiting for the same discovery
			return time.Duration(random.Int64N(int64(limit) + 1))
		}
	}
	return nil
}

// openSnapshotter opens the stored list; nil if there is none. If it cannot be used, that is logged and the gateway serves without it.
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

// openServer listens for clients, and opens the pool of connections to caches and the HTTP server.
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
	g.admission = admission.NewController(g.env, platform.maxLookups(), platform.maxBodyBytes())
	g.server = frontend.NewServer(frontend.Config{
		Environment: g.env,
		Settings:    g.config.settings,
		Dispatcher:  g.dispatcher,
		Pool:        g.pool,
		Admission:   g.admission,
		Routes:      g.routes,
		MaxConns:    g.descriptors.Clients,
	})
	g.dialEnv.evictIdle = func() bool { return g.server.EvictIdle() || g.pool.EvictIdle() } // idle clients go first
	return nil
}

// openServices opens what there is beside the HTTP server.
func (g *instance) openServices() error {
	if g.hooks.NewServices != nil {
		services, err := g.hooks.NewServices(Dependencies{
			Name:        g.config.platform.Name,
			Environment: g.env,
			Settings:    g.config.settings,
			Dispatcher:  g.dispatcher,
			Registry:    g.registry,
			Purges:      g.purges,
			Admission:   g.admission,
			Config:      g.config.operators,
			Routes:      g.routes,
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

// run starts all parts and waits for them to end.
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
		g.hooks.OnStarted(&Gateway{g.dispatcher, g.pool, g.server, g.routes})
	}
	start("drain", g.drainOnSignal)
	err := group.Wait()
	g.pool.Wait()
	g.env.Log().Info("stopped", "name", platform.Name, "open", g.dispatcher.OpenLookups())
	return err
}

// setReady answers pings with 200 once there is an endpoint list; until then each lookup is rejected.
func (g *instance) setReady() {
	if g.hasList {
		g.server.SetReady()
		return
	}
	g.env.Log().Warn("no_list", "discovery", g.config.platform.DiscoveryAddr)
	g.watch.OnFirstList = g.server.SetReady
}

// runTimers gives the dispatcher its timers until the lifetime ends.
func (g *instance) runTimers() error {
	end := g.env.NewNotifier()
	defer g.lifetime.OnEnd(end.Notify)()
	for !end.Wait(max(g.dispatcher.Tick(nil, false, nil), time.Millisecond)) {
	}
	return nil
}
