// Package policy makes the decisions of one router: which edge cache a lookup goes to, where a miss is filled from, how a copy is cached,
// when an attempt is retried, cancelled or given up, and which lookups are rejected.
//
// A Router is a state machine without clock, I/O or goroutines. Its owner reports each event with the time at which it happened (a lookup
// arrived, an attempt ended, the endpoint list changed, a timer fired), one call at a time, and carries out what the Router asks of
// its Executor. Routers with equal settings, seeds and events decide equally: random draws, sums of floats and iterations have a fixed order.
//
// A lookup passes the stages checkTime, chooseCaching, chooseEdge, chooseSource and startAttempt with the draft of an Attempt, which each of
// them completes. A stage lets it proceed, queues the lookup or ends it. The report of an attempt's end passes the same stages in reverse.
//
// Decisions by file: retry.go (whether a lookup may run again, rule 2), caching.go (age and rank of copies, rule 5), edge.go (edge cache
// and its limit), source.go (source of fills), fills.go (limit of fills), slowstart.go (rule 4), outlier.go (ejection and probes), silence.go
// (caches that do not answer), queue.go (load shedding), endpoints.go (the endpoint list).
package policy

import (
	"fmt"
	"maps"
)

const sweepInterval = 10 * millisecond

// Tokens of the Router's timers.
const (
	timerSweep int64 = iota
	timerResubscribe
)

// Router decides for one gateway. Make it with NewRouter.
type Router struct {
	// FleetSize is the number of routers as the fleet counts its members; 0: it does not. Its owner may set it between calls.
	FleetSize int

	executor Executor
	settings *Settings
	stages   []stage
	random   randomSource
	now      Micros // of the call under way
	kinds    []kindState

	caches  []*Cache // that are listed, by nameHash; the next three divide them
	edges   []*Cache // of this router's zone
	parents []*Cache
	origin  *Cache // nil: none is listed

	lookupCounts map[uint64]float64 // recent lookups by Lookup.partHash
	nextDecayAt  Micros             // of lookupCounts
	purges       map[uint64]Micros  // instant of the latest purge, by group or Lookup.objectHash

	openAttempts []*Attempt
	queued       []*Lookup
	overloaded   bool
	fills        fillLimit

	// What a warm edge cache and a warm parent carry for this router, in transfers at full pace.
	edgeCapacity   float64
	parentCapacity float64
}

// stageResult is what a stage does with a lookup.
type stageResult int

const (
	proceed stageResult = iota
	holdLookup
	endLookup
)

// stage is a step of a lookup's way to an attempt and of a report's way back.
type stage struct {
	decide  func(*Router, *Attempt) stageResult
	observe func(*Router, *Attempt, AttemptReport) // nil: the stage learns nothing from reports
}

// NewRouter makes a router that has no caches yet; UpdateEndpoints brings them. Its random draws follow from the seed.
func NewRouter(now Micros, seed uint64, settings *Settings, executor Executor) *Router {
	r := &Router{
		executor:     executor,
		settings:     settings,
		now:          now,
		random:       newRandomSource(seed),
		fills:        fillLimit{limit: initialLimit},
		nextDecayAt:  now + countDecayInterval,
		lookupCounts: map[uint64]float64{},
		purges:       map[uint64]Micros{},
	}
	for _, kind := range settings.Kinds {
		r.kinds = append(r.kinds, kindState{ObjectKind: kind})
	}
	r.stages = []stage{
		{(*Router).checkTime, (*Router).decideNext},
		{(*Router).chooseCaching, nil},
		{(*Router).chooseEdge, (*Router).noteEdgeOutcome},
		{(*Router).chooseSource, (*Router).noteSourceOutcome},
		{(*Router).startAttempt, (*Router).closeAttempt},
	}
	if settings.SubscribesToEndpoints {
		executor.SubscribeEndpoints(true)
	}
	executor.SetTimer(sweepInterval, timerSweep)
	return r
}

// InheritFrom takes over what still holds when a router with other settings replaces an earlier one: purges (rule 5), counts of
// lookups, and of each cache that both list by name its slow start (rule 4) and its ejection. Limits, latencies and fills start
// afresh, as what they were measured against may have changed. Call it after the first UpdateEndpoints.
func (r *Router) InheritFrom(earlier *Router) {
	maps.Copy(r.lookupCounts, earlier.lookupCounts)
	for key, at := range earlier.purges {
		r.purges[key] = max(r.purges[key], at)
	}
	byName := map[string]*Cache{}
	for _, c := range earlier.caches {
		byName[c.Name] = c
	}
	for _, c := range r.caches {
		if old := byName[c.Name]; old != nil && old != c {
			c.inheritFrom(old)
		}
	}
	r.logf("inherited: %d counts, %d purges, %d caches", len(earlier.lookupCounts), len(earlier.purges), len(byName))
}

func (c *Cache) inheritFrom(old *Cache) {
	c.warmingSince = max(c.warmingSince, old.warmingSince)
	if old.warmingSince != 0 { // otherwise the earlier router knows nothing of this start
		c.slowStartSent = old.slowStartSent
		c.slowStartScale = old.slowStartScale
		c.scaleUpdatedAt = old.scaleUpdatedAt
	}
	c.ejected = old.ejected
	c.ejectedAt = old.ejectedAt
	c.nextProbeAt = old.nextProbeAt
	c.restartsCold = old.restartsCold
	c.isOnlySlow = old.isOnlySlow
}

// StartLookup takes a lookup, starts its first attempt, queues it or ends it.
func (r *Router) StartLookup(now Micros, arrival Arrival) *Lookup {
	r.now = now
	lookup := r.newLookup(arrival)
	r.lookupCounts[lookup.partHash]++
	r.routeLookup(lookup)
	return lookup
}

func (r *Router) newLookup(arrival Arrival) *Lookup {
	kind := &r.kinds[arrival.Kind]
	lookup := &Lookup{
		ID:          arrival.ID,
		kind:        kind,
		group:       arrival.Group,
		passThrough: arrival.IsWrite || kind.PassThrough,
		isRepeat:    arrival.IsRepeat,
		sizeKB:      arrival.SizeKB,
		arrivedAt:   r.now,
		deadline:    arrival.Deadline,
		scope:       arrival.Scope,
	}
	if pace := r.settings.TransferKBPerSecond; pace > 0 {
		lookup.work = Micros(min(arrival.SizeKB/pace*float64(second), float64(kind.Deadline))) // whatever size is claimed
	}
	lookup.budgetEnd = r.now + min(lookup.latencyBudget(), arrival.Deadline-r.now)
	kind.arrivedWork.add(r.now, float64(lookup.work))
	kind.arrivals.add(r.now, 1)
	lookup.objectHash = hashString(arrival.Object)
	lookup.partHash = mixHash(lookup.objectHash, uint64(arrival.Part)+1)
	return lookup
}

// AttemptEnded takes the report of an attempt's end. A report of an attempt that the lookup never had is ignored.
func (r *Router) AttemptEnded(now Micros, lookup *Lookup, report AttemptReport) {
	r.now = now
	if report.Attempt < 0 || report.Attempt >= len(lookup.attempts) {
		return
	}
	attempt := lookup.attempts[report.Attempt]
	lookup.ended = lookup.ended || report.LookupEnded
	for i := len(r.stages) - 1; i >= 0; i-- {
		if r.stages[i].observe != nil {
			r.stages[i].observe(r, attempt, report)
		}
	}
	r.sendQueued()
}

// ClientGone ends a lookup whose client closed its connection or gave up.
func (r *Router) ClientGone(now Micros, lookup *Lookup) {
	r.now = now
	r.finishLookup(lookup)
}

// GiveUp ends a lookup that its gateway can serve no further: rejected, or failed if it may have had an effect.
func (r *Router) GiveUp(now Micros, lookup *Lookup) {
	r.now = now
	if !lookup.ended {
		r.giveUp(lookup)
	}
}

// MayStartAttempt tells whether an attempt that was decided some time ago may still start, as far as rule 2 goes: the lookup's window
// may have passed, or its cache may have moved out of its scope. If not, it is to be reported with OutcomeNotSent. True for an attempt
// that the lookup never had.
func (r *Router) MayStartAttempt(now Micros, lookup *Lookup, attempt int) bool {
	r.now = now
	return attempt >= len(lookup.attempts) || r.mayRunOn(lookup, lookup.attempts[attempt].edge, 1)
}

// TimerFired is called when a timer that was set with Executor.SetTimer expires.
func (r *Router) TimerFired(now Micros, token int64) {
	r.now = now
	if token == timerResubscribe {
		r.executor.SubscribeEndpoints(true)
		return
	}
	r.executor.SetTimer(sweepInterval, timerSweep)
	r.observeCapacity(r.edges, &r.edgeCapacity)
	r.observeCapacity(r.parents, &r.parentCapacity)
	r.ejectSilent()
	r.sendQueued()
	if now >= r.nextDecayAt || len(r.lookupCounts) > maxCounts {
		r.decayCounts()
	}
}

// InFlight is the number of attempts whose end has not been reported.
func (r *Router) InFlight() int { return len(r.openAttempts) }

// Health visits each listed cache with the instant of its last good answer (0: none yet) and whether it is ejected.
func (r *Router) Health(visit func(cache *Cache, lastSuccess Micros, ejected bool)) {
	for _, c := range r.caches {
		visit(c, c.lastSuccessAt, c.ejected)
	}
}

// routerCount is the number of routers: as in the settings, or more where the fleet counts more.
func (r *Router) routerCount() float64 {
	return float64(max(r.settings.Gateways, r.FleetSize, 1))
}

// zoneRouterCount is the number of routers in this router's zone, which need not be whole.
func (r *Router) zoneRouterCount() float64 {
	if r.settings.Zone < len(r.settings.ZoneGateways) {
		inZone := float64(max(r.settings.ZoneGateways[r.settings.Zone], 1))
		return inZone * (r.routerCount() / float64(max(r.settings.Gateways, 1)))
	}
	return r.routerCount()
}

func (r *Router) logf(format string, args ...any) { r.executor.Log(fmt.Sprintf(format, args...)) }
