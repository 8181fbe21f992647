// Package dispatch serializes access to a policy.Router, so that many goroutines can use it. The network side
// submits lookups, takes their steps (start an attempt, cancel an attempt, end the lookup) and reports the
// outcome of each attempt. It calls Tick to fire timers and to apply endpoint updates and purges. A
// Dispatcher makes no decisions of its own.
//
// It owns the router, the router's lock, its timers and its clock. It holds a lookup until the lookup has
// ended and the end of each of its attempts has been reported. All methods are safe for concurrent use.
// No method waits while it holds the lock.
package dispatch

import (
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/policy"
)

// Router receives the events of a Dispatcher, each with the time at which it happened. *policy.Router implements it.
type Router interface {
	UpdateEndpoints(now policy.Micros, kind policy.UpdateKind, endpoints []policy.Endpoint)
	StartLookup(now policy.Micros, arrival policy.Arrival) *policy.Lookup
	AttemptEnded(now policy.Micros, lookup *policy.Lookup, report policy.AttemptReport)
	ClientGone(now policy.Micros, lookup *policy.Lookup)
	GiveUp(now policy.Micros, lookup *policy.Lookup)
	MayStartAttempt(now policy.Micros, lookup *policy.Lookup, attempt int) bool
	ApplyPurge(now policy.Micros, object string, group int, age policy.Micros)
	TimerFired(now policy.Micros, token int64)
	InFlight() int
	Health(visit func(cache *policy.Cache, lastSuccess policy.Micros, ejected bool))
}

// Interceptor wraps a router, so that it can observe or change the events that the router receives and
// the calls that it makes. It calls start with an executor that wraps the given one, and returns the
// Router to which the Dispatcher reports events.
type Interceptor func(executor policy.Executor, start func(policy.Executor) Router) Router

// OutcomeObserver is called with the outcome of each attempt. It is called under the Dispatcher's lock, so it
// must neither block nor call the Dispatcher.
type OutcomeObserver func(edge, source *policy.Cache, outcome policy.AttemptOutcome, detail policy.OutcomeDetail)

// Dispatcher guards a router with a lock. Create it with New.
type Dispatcher struct {
	environment  env.Environment
	startedAt    time.Time
	startMicros  policy.Micros // startedAt in Unix time; now adds the monotonic time since startedAt to it
	mu           sync.Mutex    // guards the fields below
	router       Router
	policyRouter *policy.Router // router itself, or the router that it wraps if there is an interceptor
	lookups      map[string]*Lookup
	queued       int // number of attempts whose fetch step has not been taken
	timers       []timer
	onOutcome    OutcomeObserver // nil if there is no observer
	isStopped    bool            // Stop was called
}

type timer struct {
	due   policy.Micros
	token int64
}

// New returns a Dispatcher with a new router. interceptor may be nil.
func New(environment env.Environment, seed uint64, settings *policy.Settings, interceptor Interceptor) *Dispatcher {
	d := &Dispatcher{environment: environment, startedAt: environment.Now(), lookups: map[string]*Lookup{}}
	d.startMicros = d.startedAt.UnixMicro()
	start := func(executor policy.Executor) Router {
		d.policyRouter = policy.NewRouter(d.startMicros, seed, settings, executor)
		return d.policyRouter
	}
	if interceptor == nil {
		d.router = start((*executor)(d))
	} else {
		d.router = interceptor((*executor)(d), start)
	}
	return d
}

func (d *Dispatcher) now() policy.Micros {
	return d.startMicros + d.environment.Now().Sub(d.startedAt).Microseconds()
}

// recoverRouterPanic is deferred around calls of the router. It logs a panic of the router, which would otherwise end
// the gateway. A lookup that gets no result because of the panic fails after its deadline (see DeadlineSlack).
func (d *Dispatcher) recoverRouterPanic() {
	if p := recover(); p != nil {
		d.environment.Log().Error("policy_fault", "text", fmt.Sprint(p), "stack", string(debug.Stack()))
	}
}

// Purge invalidates the copies of an object that are older than IssuedAt. If Object is empty, it
// invalidates the copies of all objects of a group.
type Purge struct {
	Object   string
	Group    int
	IssuedAt time.Time
}

// Tick applies an endpoint update and purges, and fires the timers that are due. If isFull is true, endpoints is the
// complete list, otherwise it holds changes to the list. Tick returns the delay until the next call is due.
func (d *Dispatcher) Tick(endpoints []policy.Endpoint, isFull bool, purges []Purge) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.recoverRouterPanic()
	now := d.now()
	if isFull {
		d.router.UpdateEndpoints(now, policy.UpdateFull, endpoints)
	} else if len(endpoints) > 0 {
		d.router.UpdateEndpoints(now, policy.UpdateDelta, endpoints)
	}
	for _, p := range purges {
		d.router.ApplyPurge(now, p.Object, p.Group, max(0, now-p.IssuedAt.UnixMicro()))
	}
	for _, t := range d.takeDueTimers(now) {
		d.router.TimerFired(now, t.token)
	}
	next := now + time.Second.Microseconds()
	for _, t := range d.timers {
		next = min(next, t.due)
	}
	return time.Duration(next-d.now()) * time.Microsecond
}

// takeDueTimers removes and returns the timers that are due.
func (d *Dispatcher) takeDueTimers(now policy.Micros) (due []timer) {
	pending := d.timers[:0]
	for _, t := range d.timers {
		if t.due <= now {
			due = append(due, t)
		} else {
			pending = append(pending, t)
		}
	}
	d.timers = pending
	return due
}

// RestoreEndpoints passes the router the endpoint list that was stored by an earlier run of the gateway.
func (d *Dispatcher) RestoreEndpoints(endpoints []policy.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.recoverRouterPanic()
	d.router.UpdateEndpoints(d.now(), policy.UpdateCached, endpoints)
}

// ObserveOutcomes replaces the observer of attempt outcomes. A nil observer ends the observation.
func (d *Dispatcher) ObserveOutcomes(observer OutcomeObserver) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onOutcome = observer
}

// SetFleetSize sets the number of routers according to the fleet membership.
func (d *Dispatcher) SetFleetSize(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policyRouter.FleetSize = n
}

// Health returns the names of the caches whose last response that showed them to work is not older than the given time,
// and the names of the ejected caches. Both lists are in the order of the router's caches.
func (d *Dispatcher) Health(since time.Time) (answered, ejected []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	from := d.startMicros + since.Sub(d.startedAt).Microseconds()
	d.router.Health(func(cache *policy.Cache, lastSuccess policy.Micros, isEjected bool) {
		if lastSuccess > 0 && lastSuccess >= from {
			answered = append(answered, cache.Name)
		}
		if isEjected {
			ejected = append(ejected, cache.Name)
		}
	})
	return answered, ejected
}

// OpenLookups returns the number of lookups that have no result yet or have an attempt whose end has not been reported.
func (d *Dispatcher) OpenLookups() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.lookups)
}

// InFlight returns the number of attempts whose end has not been reported to the router, and the number
// of attempts whose fetch step has not been taken yet.
func (d *Dispatcher) InFlight() (attempts, queued int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.InFlight(), d.queued
}
