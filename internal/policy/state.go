package policy

import (
	"cmp"
	"maps"
	"slices"
)

// What the module remembers: plain types; all that is decided with them stands in the files that deploy/balancer.toml names
// under policy.

// Cache is a server in the list: an edge cache, a parent or the origin.
type Cache struct {
	Name     string // the door's word for it
	nameHash uint64
	Endpoint

	ejected, restartsCold  bool   // gets nothing but trials; died: will be cold when it returns
	isOnlySlow             bool   // out for nothing but its times
	ejectedAt, nextProbeAt Micros // since when; when the next trial may go
	probe                  *Attempt
	failuresInRow          int           // broken or refused connections (of a parent: failed fills) in a row
	errorsInRow            int           // plain errors in a row
	lastFailureAt          Micros        // sends from before then tell no more by breaking
	lastSuccessAt          Micros        // last good answer (of a parent: last good fill)
	overdueCount           int           // overdue sends since it was last heard, counted anew at each sweep
	overdueNoFill          int           // those among them that asked for no fill
	warmingSince           Micros        // start of its warming; 0 once warm
	slowStartSent          slidingWindow // while it warms: work sent to it, or staked
	slowStartScale         float64       // while it warms: what it bears, as a part of what warm ones of its group do
	scaleUpdatedAt         Micros

	openCount                 int
	attempts                  []*Attempt // these
	attemptLimit              float64    // of open sends
	limitUpdatedAt            Micros
	pausedUntil               Micros      // where the limit is under one: nothing before this
	hitLatency, hitBudget     decayingSum // of hits: time taken, and their latency budgets
	carriedWork               decayingSum // sending time carried for this router
	latencySamples            int
	recentLatency, recentSize [latencyWindow]float64 // a parent's recent times, and what each is counted over
}

// NewCache makes the cache for a name at the door.
func NewCache(name string) *Cache {
	return &Cache{Name: name, nameHash: hashString(name), attemptLimit: initialLimit, Endpoint: Endpoint{State: Gone}}
}

// Ended tells whether the lookup has had its final answer.
func (lk *Lookup) Ended() bool { return lk.ended }

// groupCaches puts the listed caches in hash order, and by what they are: edges of the own location, parents, the origin.
func (r *Router) groupCaches() {
	slices.SortFunc(r.caches, func(a, b *Cache) int { return cmp.Compare(a.nameHash, b.nameHash) })
	r.edges, r.parents, r.origin = nil, nil, nil
	for _, c := range r.caches {
		switch {
		case c.Kind == r.settings.OriginKind:
			r.origin = c
		case c.Kind == r.settings.ParentKind:
			r.parents = append(r.parents, c)
		case c.Zone == r.settings.Zone:
			r.edges = append(r.edges, c)
		}
	}
}

// Lookup is a client's request while this router owes it an answer.
type Lookup struct {
	ID                    string // the door's word for it
	kind                  *kindState
	objectHash, partHash  uint64 // of the object's name, and of it with the part
	group                 int
	passThrough, isRepeat bool
	sizeKB                float64
	work                  Micros // its sending time at full pace
	arrivedAt             Micros
	deadline, budgetEnd   Micros // instants
	notBefore             Micros // of its next send
	attempts              []*Attempt
	openAttempts          int
	failedEdge            *Cache // the cache, and the parent, that failed it last
	failedParent          *Cache
	avoidCoalescing       bool   // a fill it joined or began may be stuck
	missedAt              *Cache // looked there: it needs a fill
	acceptsStale          bool   // past its time for a fill: a copy within its grace will do
	ended                 bool
	firstRunAt            Micros // a send that may have run, and where
	firstRunOn            *Cache
	scope                 *Scope
}

// Attempt is one send of a lookup, from draft to ending.
type Attempt struct {
	lookup               *Lookup
	number               int
	edge, source         *Cache
	rank                 int
	mode                 FetchMode
	maxAge               Micros
	startedAt, overdueAt Micros
	slowStartCharge      float64 // work that the slow start of its source was charged with; 0 of a warm one
	cancelled            bool
}

// kindState is the table's row of an object kind and what was measured of it.
type kindState struct {
	ObjectKind
	arrivedWork, arrivals decayingSum
	fillLatency, fillWork decayingSum // of satisfied fills
	fillWait, fillCount   decayingSum
}

type attemptReport struct {
	outcome             AttemptOutcome
	detail              OutcomeDetail
	latency, sourceWait Micros
}

type stageResult int

const (
	proceed stageResult = iota
	holdLookup
	endLookup
)

type stage struct {
	decide  func(*Router, *Attempt) stageResult
	observe func(*Router, *Attempt, *attemptReport)
}

// Router decides for one gateway.
type Router struct {
	executor          Executor
	settings          *Settings
	FleetSize         int // routers there are, as a fleet that knows itself counts them; 0: nobody says
	now               Micros
	random            randomSource
	caches            []*Cache // in hash order; edges are those of the own location
	edges, parents    []*Cache
	origin            *Cache
	kinds             []kindState
	lookupCounts      map[uint64]float64 // recent lookups by hash of object and part
	nextDecayAt       Micros
	purges            map[uint64]Micros // by group or hash of the object
	openAttempts      []*Attempt
	queued            []*Lookup
	overloaded        bool
	edgeCapacity      float64 // what a warm cache, a warm parent bears for this router, in transfers
	parentCapacity    float64
	fillLimit         float64     // limit of open fills, heeded while pressed
	fillLimitCutAt    Micros      // when it was last cut
	recentFills       decayingSum // fills of late, and those among them that were late
	lateFills         decayingSum
	nextFillAt        Micros // where the limit is under one: not before this
	fillPressureUntil Micros
	stages            []stage
	nextScope         *Scope // of the lookup that arrives next
}

// decayingSum is a sum that halves every halfLife, brought up to date when read.
type decayingSum struct {
	value     float64
	updatedAt Micros
}

// randomSource is a multiply-with-carry generator.
type randomSource struct{ state, carry uint32 }

// ApplyPurge takes word of a purge of an object, or of a group where name is empty, made that long ago.
func (r *Router) ApplyPurge(now Micros, name string, group int, ago Micros) {
	r.now = now
	key := uint64(group) // far below any hash
	if name != "" {
		key = hashString(name)
	}
	r.purges[key] = max(r.purges[key], now-ago)
}

// decayCounts ages the counts and drops what has none left, and purges that no copy can be older than.
func (r *Router) decayCounts() {
	r.nextDecayAt = r.now + countDecayInterval
	for part, n := range r.lookupCounts {
		r.lookupCounts[part] = n / 2
	}
	maps.DeleteFunc(r.lookupCounts, func(_ uint64, n float64) bool { return n < 1 })
	maps.DeleteFunc(r.purges, func(_ uint64, at Micros) bool { return r.now > at+r.settings.PurgeSettleTime+second })
}
