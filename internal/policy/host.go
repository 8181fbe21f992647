package policy

// Micros is a time or a span in whole microseconds.
type Micros = int64

// Executor carries out what a Router decides: today the simulator's adapter, later a gateway on sockets.
// Every call is made from within a call to the Router and takes effect at that call's instant.
type Executor interface {
	// Fetch asks a cache and names where it fills a miss from; source may be the cache itself for no fill.
	// Rank 0 keeps nothing; oldest 0 stands for the object kind's own fresh time. A connection that has
	// answered before, and that two sends waited on for their hush with nothing heard since, ends: Reset for all on it.
	Fetch(lk *Lookup, to, source *Cache, rank int, how FetchMode, patience, hush, oldest Micros)
	// Cancel stops waiting for one send, numbered from 0 in the order of the lookup's sends.
	CancelAttempt(lk *Lookup, send int)
	// Nack ends a lookup and tells its client that trying again is harmless, in retryIn if that is not 0.
	Reject(lk *Lookup, retryIn Micros)
	// Fail ends a lookup and promises nothing.
	Fail(lk *Lookup)
	// Wake asks for one call of Router.Woken with the same token.
	SetTimer(in Micros, token int64)
	// Subscribe asks for the list's changes from now on.
	SubscribeEndpoints(on bool)
	// Log writes one line.
	Log(line string)
}

// Scope narrows what a lookup may be sent to and filled from, as its route says (package route/pools): caches by name. A nil map or
// scope allows all. The origin stays the last resort of fills. Again, if set, tells whether a budget allows one more send; it is asked
// when the module would make it, and must not wait.
type Scope struct {
	Caches, Sources map[string]bool
	AllowRetry      func() bool
	MaxAge          Micros // the oldest copy that will do, where the object kind would take older; 0: as the kind has it
}

func (s *Scope) limitAge(oldest Micros) Micros {
	if s == nil || s.MaxAge == 0 || oldest > 0 && oldest < s.MaxAge {
		return oldest
	}
	return s.MaxAge
}

func (s *Scope) allowsRetry() bool { return s == nil || s.AllowRetry == nil || s.AllowRetry() }

func (s *Scope) allowsEdge(c *Cache) bool   { return s == nil || s.Caches == nil || s.Caches[c.Name] }
func (s *Scope) allowsSource(c *Cache) bool { return s == nil || s.Sources == nil || s.Sources[c.Name] }

// SetNextScope narrows the lookup that arrives next.
func (r *Router) SetNextScope(s *Scope) { r.nextScope = s }

// GiveUp ends a lookup that its gateway can carry no further, as what was sent of it allows.
func (r *Router) GiveUp(now Micros, lk *Lookup) {
	if r.now = now; !lk.ended {
		r.giveUp(lk)
	}
}

// MayStartAttempt tells whether a send that was decided some time ago may begin to go out now, as far as rule 2 goes: its window may have
// passed, or the list told of another circle. If not, it is to be told of as NeverSent, and the router says what follows. A send that
// is none of the router's it leaves alone: the faults that are planted to prove the referee send such.
func (r *Router) MayStartAttempt(now Micros, lk *Lookup, n int) bool {
	r.now = now
	return n >= len(lk.attempts) || r.mayRunOn(lk, lk.attempts[n].edge, 1)
}

// InFlight counts the sends whose ending has not been told.
func (r *Router) InFlight() int { return len(r.openAttempts) }

// Health tells of each cache whether it is out, and when it last gave a good answer (0: never).
func (r *Router) Health(see func(c *Cache, heard Micros, out bool)) {
	for _, c := range r.caches {
		see(c, c.lastSuccessAt, c.ejected)
	}
}

// FetchMode says how a fetch treats a miss; the values may be added up.
type FetchMode int

const (
	ModeCoalesce      FetchMode = 1 // wait for a fill that is under way
	ModeCachedOnly    FetchMode = 2 // the source gives only what it holds
	ModeSourceNoStore FetchMode = 4 // the parent keeps no copy
	ModeRevalidate    FetchMode = 8 // serve an ageing copy and fetch it anew behind
)

// AttemptOutcome tells how a send ended.
type AttemptOutcome int

const (
	OutcomeSatisfied AttemptOutcome = 1 + iota
	OutcomeError
	OutcomeRejected
	OutcomeTimeout
	OutcomeConnectFailed
	OutcomeReset
	OutcomeCancelled
	OutcomeNotSent
	OutcomeMiss
)

// NeverRan tells whether the ending proves that the send had no effect.
func (e AttemptOutcome) NeverRan() bool {
	return e == OutcomeRejected || e == OutcomeConnectFailed || e == OutcomeNotSent || e == OutcomeMiss
}

// OutcomeDetail tells more about an ending, as far as the deployment's caches tell it.
type OutcomeDetail int

const (
	DetailNone OutcomeDetail = iota
	DetailHit
	DetailFilled
	DetailFilledFromOrigin
	DetailCoalesced
	DetailStale
	DetailSourceRefused
	DetailSourceBroke
	DetailSourceMiss
	DetailNoFillSlot
	DetailOriginFailed
)

// Effect tells what a repeat of a lookup does.
type Effect int

const (
	Idempotent Effect = iota
	Deduplicated
	SideEffecting
)

// DedupScope is the set of caches that know each other's deduplicated lookups.
type DedupScope int

const (
	AllCaches DedupScope = iota
	SameZone
	SameCell
)

// EndpointState of a cache in the list.
type EndpointState int

const (
	Ready EndpointState = iota
	Draining
	Gone
)

// UpdateKind tells what a list brings.
type UpdateKind int

const (
	UpdateDelta UpdateKind = iota
	UpdateFull
	UpdateCached
	UpdateFailed
)

// Endpoint is one line of the list of caches.
type Endpoint struct {
	Cache      *Cache
	Zone, Kind int
	Cell       int
	State      EndpointState
	Weight     float64
	StartedAt  Micros // 0: long ago
	Confidence Confidence
}

// Confidence is how far a row is relied on. Rows of a list kept from before are less than told; with such a row Started is
// the gateway's guess, and counts whichever way it moves.
type Confidence int

const (
	Confirmed   Confidence = iota
	OnProbation            // most likely up
	Suspect                // it gets trials only, until one succeeds
)

// ObjectKind is a row of the table of what differs by object kind.
type ObjectKind struct {
	LatencyBudget    Micros  // latency budget
	BudgetStretch    float64 // the budget grows by this multiple of the lookup's own sending time
	Deadline         Micros  // the budget never passes this
	Utility          float64
	LateUtilityShare float64 // the share paid past the budget
	Effect           Effect
	DedupScope       DedupScope
	DedupWindow      Micros // how long the circle knows a deduplicated lookup
	MaxAge           Micros // a copy is fresh for so long; 0: until purged
	StaleGrace       Micros // how much longer it may be served
	StaleUtility     float64
	PassThrough      bool // never kept, runs at the origin
}

// Settings is what a router is told at its start.
type Settings struct {
	Gateways              int   // routers in the whole deployment
	Zone                  int   // the router's own
	ZoneGateways          []int // routers by zone
	ParentKind            int   // -1: none
	OriginKind            int
	CoalescesFills        bool
	ReportsFirstByte      bool // endings tell how long the source took to begin
	ReportsHits           bool // endings tell a hit from a fill
	WeightIsCapacity      bool // the list's weights tell the size of a link, in transfers
	WeightIsSize          bool // the list's weights tell caches' sizes against one another, if only roughly
	TransferKBPerSecond   float64
	MaxAttempts           int
	CanCancel             bool
	MaxRetryAfter         Micros // longest wait that clients heed; 0: they cannot be told
	SubscribesToEndpoints bool
	SlowStartShare        float64
	SlowStartTime         Micros
	BreakMultiple         float64
	BreakWindow           Micros
	ParentSlowStartShare  float64
	ParentSlowStartTime   Micros
	ParentBreakMultiple   float64
	PurgeSettleTime       Micros
	Kinds                 []ObjectKind
}
