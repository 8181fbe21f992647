// Package policy makes the routing decisions of one gateway. A Router chooses the edge cache for each lookup, the
// source that fills a miss and how a copy is cached. It decides when an attempt is retried or cancelled, and which
// lookups are rejected.
//
// A Router is a state machine without a clock, I/O or goroutines. Its owner reports each event together with the time
// at which it happened: a lookup arrived, an attempt ended, the endpoint list changed or a timer fired. The owner
// makes one call at a time and carries out the actions that the Router requests through its Executor. Routers with
// equal settings, seeds and events make equal decisions, because random draws, floating-point sums and iterations
// happen in a fixed order.
//
// A Router owns the listed caches, its lookups and attempts, the lookup counts and the recorded purges. It halves the
// lookup counts every countDecayInterval, or earlier if a sweep finds more than maxCounts of them, and deletes those
// that fall below one. At the same time it deletes each purge for which no cache can hold an older copy any more. When
// settings change, the owner makes a new Router, which copies the state that is still valid with InheritFrom.
//
// A lookup passes through the stages checkTime, chooseCaching, chooseEdge, chooseSource and startAttempt, which fill
// in its next Attempt. Each stage lets the lookup proceed, queues it or ends it. The report of an attempt's end passes
// through the same stages in reverse order.
//
// The decisions are divided among the files as follows:
//   - retry.go: whether a lookup may run again (rule 2, which forbids concurrent attempts and repeated side effects)
//   - caching.go: age and rank of copies (rule 5, which forbids copies older than a purge)
//   - edge.go: choice of the edge cache and its concurrency limit
//   - source.go: choice of the source of fills
//   - fills.go: limit of open fills
//   - slowstart.go: slow start (rule 4, which limits the load on warming caches)
//   - outlier.go: outlier ejection and probes
//   - silence.go: caches that do not answer
//   - queue.go: load shedding
//   - endpoints.go: the endpoint list
package policy

import (
	"fmt"
	"maps"
)

// sweepInterval is the period of the sweep timer.
const sweepInterval = 10 * millisecond

// Tokens that identify the Router's timers.
const (
	timerSweep int64 = iota
	timerResubscribe
)

// Router makes the routing decisions of one gateway. Use NewRouter to create one.
type Router struct {
	// FleetSize is the number of routers according to the fleet's membership, or 0 if membership is not in use. The
	// owner may set it between calls.
	FleetSize int

	executor Executor
	settings *Settings
	stages   []stage
	random   randomSource
	now      Micros // time of the current call
	kinds    []kindState

	caches  []*Cache // all listed caches, sorted by nameHash
	edges   []*Cache // listed edge caches of this router's zone
	parents []*Cache // listed parents
	origin  *Cache   // nil if no origin is listed

	lookupCounts map[uint64]float64 // decayed number of recent lookups, by Lookup.partHash
	nextDecayAt  Micros             // time of the next decay of lookupCounts
	purges       map[uint64]Micros  // time of the latest purge, by group or Lookup.objectHash

	openAttempts []*Attempt
	queued       []*Lookup
	overloaded   bool
	fills        fillLimit

	// edgeCapacity is the mean load that one warm edge cache carries for this router, and parentCapacity is that of one
	// warm parent. Both are moving averages, in concurrent transfers at full pace.
	edgeCapacity   float64
	parentCapacity float64
}

// stageResult is the decision of a stage about a lookup.
type stageResult int

const (
	proceed stageResult = iota
	holdLookup
	endLookup
)

// stage is one step in the routing of a lookup. decide lets the lookup proceed, queues it or ends it, and may fill in a
// part of its next attempt. observe processes the report of an attempt's end; it is nil if the stage does not use
// reports. The observe function of the first stage, decideNext, is called last. It decides what follows: nothing, a
// retry or the lookup's end.
type stage struct {
	decide  func(*Router, *Attempt) stageResult
	observe func(*Router, *Attempt, AttemptReport)
}

// NewRouter returns a router without caches; UpdateEndpoints adds them. The seed determines its random draws.
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
		{(*Router).chooseEdge, (*Router).observeEdgeOutcome},
		{(*Router).chooseSource, (*Router).observeSourceOutcome},
		{(*Router).startAttempt, (*Router).closeAttempt},
	}
	if settings.SubscribesToEndpoints {
		executor.SubscribeEndpoints(true)
	}
	executor.SetTimer(sweepInterval, timerSweep)
	return r
}

// InheritFrom copies the state that stays valid when a router with new settings replaces an earlier one. It copies
// the purges, which rule 5 needs to exclude older copies, and the lookup counts. For each cache that both routers
// list by name it copies the slow start, which rule 4 needs to limit the load on warming caches, and the ejection.
// Concurrency limits, latencies and fill statistics are not copied, because the settings that they were measured
// under may have changed. InheritFrom must be called after the first UpdateEndpoints.
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

// inheritFrom copies the slow start and the ejection of the earlier router's cache of the same name.
func (c *Cache) inheritFrom(old *Cache) {
	c.warmingSince = max(c.warmingSince, old.warmingSince)
	if old.warmingSince != 0 { // otherwise the earlier router knew of no slow start of this cache, or it was over
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

// StartLookup creates and counts the lookup of a request. It then starts the first attempt, queues the lookup or ends it.
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
		// The kind's deadline bounds the work, because the client can claim any size.
		lookup.work = Micros(min(arrival.SizeKB/pace*float64(second), float64(kind.Deadline)))
	}
	lookup.budgetEnd = r.now + min(lookup.latencyBudget(), arrival.Deadline-r.now)
	kind.arrivedWork.add(r.now, float64(lookup.work))
	kind.arrivals.add(r.now, 1)
	lookup.objectHash = hashString(arrival.Object)
	lookup.partHash = mixHash(lookup.objectHash, uint64(arrival.Part)+1)
	return lookup
}

// AttemptEnded processes the report of an attempt's end. It ignores a report whose attempt number the lookup does not
// have.
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

// ClientGone ends a lookup whose client closed the connection or gave up.
func (r *Router) ClientGone(now Micros, lookup *Lookup) {
	r.now = now
	r.finishLookup(lookup)
}

// GiveUp ends a lookup that the gateway cannot serve any further. The lookup is rejected if its client may safely
// repeat it; otherwise it fails.
func (r *Router) GiveUp(now Micros, lookup *Lookup) {
	r.now = now
	if !lookup.ended {
		r.giveUp(lookup)
	}
}

// MayStartAttempt reports whether an attempt that was decided earlier may still start under rule 2, which forbids
// concurrent attempts and repeated side effects. In the meantime the lookup's deduplication window may have passed, or
// the attempt's cache may have left the deduplication scope. An attempt that may not start must be reported with
// OutcomeNotSent. An attempt number that the lookup does not have belongs to an attempt that a wrapper of the Executor
// added, as some injected faults do. MayStartAttempt returns true for such a number.
func (r *Router) MayStartAttempt(now Micros, lookup *Lookup, attempt int) bool {
	r.now = now
	return attempt >= len(lookup.attempts) || r.mayRunOn(lookup, lookup.attempts[attempt].edge, 1)
}

// TimerFired handles the expiry of a timer that was set with Executor.SetTimer.
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

// InFlight returns the number of attempts whose end has not been reported.
func (r *Router) InFlight() int { return len(r.openAttempts) }

// Health calls visit for each listed cache with the time of its last response that showed it to work (0 if there was
// none) and its ejection state.
func (r *Router) Health(visit func(cache *Cache, lastSuccess Micros, ejected bool)) {
	for _, c := range r.caches {
		visit(c, c.lastSuccessAt, c.ejected)
	}
}

// routerCount returns the number of routers, which is the larger of the configured number and FleetSize.
func (r *Router) routerCount() float64 {
	return float64(max(r.settings.Gateways, r.FleetSize, 1))
}

// zoneRouterCount returns the number of routers in this router's zone. If FleetSize exceeds the configured number of
// routers, the zone's number grows in proportion and may be fractional. If Settings.ZoneGateways has no entry for the
// zone, zoneRouterCount returns the number of all routers.
func (r *Router) zoneRouterCount() float64 {
	if r.settings.Zone < len(r.settings.ZoneGateways) {
		inZone := float64(max(r.settings.ZoneGateways[r.settings.Zone], 1))
		return inZone * (r.routerCount() / float64(max(r.settings.Gateways, 1)))
	}
	return r.routerCount()
}

func (r *Router) logf(format string, args ...any) { r.executor.Log(fmt.Sprintf(format, args...)) }
