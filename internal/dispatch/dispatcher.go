// Package dispatch lets many goroutines use one policy.Router. A Dispatcher owns the router, the lock around it, its timers and its clock;
// the network side submits lookups, takes their steps (start an attempt, cancel one, end the lookup), reports how attempts ended, and
// calls Tick for time, endpoint updates and purges. It makes no decision of its own.
//
// All methods may be called from any goroutine. The lock is never held over a wait.
package dispatch

import (
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/policy"
)

// Router is what a Dispatcher reports events to, each with the instant at which it happened. *policy.Router is one.
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

// Interceptor stands between a Dispatcher and its router and sees what passes: it starts the router with an executor of its own before
// the given one, and the Dispatcher reports events to what it returns.
type Interceptor func(executor policy.Executor, start func(policy.Executor) Router) Router

// OutcomeObserver is notified of each attempt's end. It is called under the Dispatcher's lock: it must not wait, nor call the Dispatcher.
type OutcomeObserver func(edge, source *policy.Cache, outcome policy.AttemptOutcome, detail policy.OutcomeDetail)

// Dispatcher is a router behind a lock. Make it with New.
type Dispatcher struct {
	environment  env.Environment
	startedAt    time.Time
	startMicros  policy.Micros // startedAt by the Unix clock; from there on the monotonic clock counts
	mu           sync.Mutex    // of what follows
	router       Router
	policyRouter *policy.Router // the one behind router, if that is an interceptor's
	lookups      map[string]*Lookup
	queued       int // attempts whose steps have not been taken
	timers       []timer
	onOutcome    OutcomeObserver // nil: nobody observes
}

type timer struct {
	due   policy.Micros
	token int64
}

// New starts a router. interceptor may be nil.
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

// recoverFault, when deferred, keeps a panic of the router from ending the gateway: the lookup concerned runs into its deadline.
func (d *Dispatcher) recoverRouterPanic() {
	if p := recover(); p != nil {
		d.environment.Log().Error("policy_fault", "text", fmt.Sprint(p), "stack", string(debug.Stack()))
	}
}

// Purge says that copies of an object, or of a group where Object is empty, from before IssuedAt are out of date.
type Purge struct {
	Object   string
	Group    int
	IssuedAt time.Time
}

// Tick lets timers fire and applies an endpoint update and purges. isFull tells that endpoints are the complete list, not changes of it.
// It returns how long to wait before the next call.
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

// takeDueTimers removes the timers that have expired.
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

// RestoreEndpoints gives the router the endpoint list that was kept from an earlier run.
func (d *Dispatcher) RestoreEndpoints(endpoints []policy.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.recoverRouterPanic()
	d.router.UpdateEndpoints(d.now(), policy.UpdateCached, endpoints)
}

// ObserveOutcomes sets the one observer of attempts' ends.
func (d *Dispatcher) ObserveOutcomes(observer OutcomeObserver) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onOutcome = observer
}

// SetFleetSize tells the router the number of routers as the fleet counts its members.
func (d *Dispatcher) SetFleetSize(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policyRouter.FleetSize = n
}

// Health names the caches that gave a good answer since an instant, and those that are ejected, in the order of the list.
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

// OpenLookups counts the lookups that have no result yet or an attempt whose end has not been reported.
func (d *Dispatcher) OpenLookups() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.lookups)
}

// InFlight counts the attempts that the router takes for open, and those of them whose steps have not been taken yet.
func (d *Dispatcher) InFlight() (attempts, queued int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.InFlight(), d.queued
}
