package policy

// Micros is a time or a span in whole microseconds.
type Micros = int64

// Host carries out what a Router decides: today the simulator's adapter, later a gateway on sockets.
// Every call is made from within a call to the Router and takes effect at that call's instant.
type Host interface {
	// Fetch asks a cache and names where it fills a miss from; source may be the cache itself for no fill.
	// Rank 0 keeps nothing; oldest 0 stands for the object kind's own fresh time. A connection that has
	// answered before, and that two sends waited on for their hush with nothing heard since, ends: Reset for all on it.
	Fetch(lk *Lookup, to, source *Cache, rank int, how How, patience, hush, oldest Micros)
	// Cancel stops waiting for one send, numbered from 0 in the order of the lookup's sends.
	Cancel(lk *Lookup, send int)
	// Nack ends a lookup and tells its client that trying again is harmless, in retryIn if that is not 0.
	Nack(lk *Lookup, retryIn Micros)
	// Fail ends a lookup and promises nothing.
	Fail(lk *Lookup)
	// Wake asks for one call of Router.Woken with the same token.
	Wake(in Micros, token int64)
	// Subscribe asks for the list's changes from now on.
	Subscribe(on bool)
	// Log writes one line.
	Log(line string)
}

// Scope narrows what a lookup may be sent to and filled from, as its route says (package route/pools): caches by name. A nil map or
// scope allows all. The origin stays the last resort of fills. Again, if set, tells whether a budget allows one more send; it is asked
// when the module would make it, and must not wait.
type Scope struct {
	Caches, Sources map[string]bool
	Again           func() bool
	Oldest          Micros // the oldest copy that will do, where the object kind would take older; 0: as the kind has it
}

func (s *Scope) age(oldest Micros) Micros {
	if s == nil || s.Oldest == 0 || oldest > 0 && oldest < s.Oldest {
		return oldest
	}
	return s.Oldest
}

func (s *Scope) again() bool { return s == nil || s.Again == nil || s.Again() }

func (s *Scope) edge(c *Cache) bool   { return s == nil || s.Caches == nil || s.Caches[c.Name] }
func (s *Scope) parent(c *Cache) bool { return s == nil || s.Sources == nil || s.Sources[c.Name] }

// Within narrows the lookup that arrives next.
func (r *Router) Within(s *Scope) { r.scope = s }

// GiveUp ends a lookup that its gateway can carry no further, as what was sent of it allows.
func (r *Router) GiveUp(now Micros, lk *Lookup) {
	if r.now = now; !lk.over {
		r.giveUp(lk)
	}
}

// MayBegin tells whether a send that was decided some time ago may begin to go out now, as far as rule 2 goes: its window may have
// passed, or the list told of another circle. If not, it is to be told of as NeverSent, and the router says what follows. A send that
// is none of the router's it leaves alone: the faults that are planted to prove the referee send such.
func (r *Router) MayBegin(now Micros, lk *Lookup, n int) bool {
	r.now = now
	return n >= len(lk.sends) || r.mayRepeat(lk, lk.sends[n].to, 1)
}

// InFlight counts the sends whose ending has not been told.
func (r *Router) InFlight() int { return len(r.open) }

// Health tells of each cache whether it is out, and when it last gave a good answer (0: never).
func (r *Router) Health(see func(c *Cache, heard Micros, out bool)) {
	for _, c := range r.caches {
		see(c, c.heard, c.ejected)
	}
}

// How says how a fetch treats a miss; the values may be added up.
type How int

const (
	Join       How = 1 // wait for a fill that is under way
	HeldOnly   How = 2 // the source gives only what it holds
	SourceSkip How = 4 // the parent keeps no copy
	Renew      How = 8 // serve an ageing copy and fetch it anew behind
)

// Ending tells how a send ended.
type Ending int

const (
	Satisfied Ending = 1 + iota
	Errored
	TurnedAway
	TimedOut
	Unconnected
	Reset
	Cancelled
	NeverSent
	Missed
)

// NeverRan tells whether the ending proves that the send had no effect.
func (e Ending) NeverRan() bool {
	return e == TurnedAway || e == Unconnected || e == NeverSent || e == Missed
}

// Remark tells more about an ending, as far as the deployment's caches tell it.
type Remark int

const (
	Untold Remark = iota
	Hit
	Filled
	FilledFromOrigin
	Joined
	Aged
	SourceRefused
	SourceLost
	SourceLacks
	NoFillPlace
	OriginFailed
)

// Effect tells what a repeat of a lookup does.
type Effect int

const (
	Idempotent Effect = iota
	Deduplicated
	SideEffecting
)

// Circle is the set of caches that know each other's deduplicated lookups.
type Circle int

const (
	Everywhere Circle = iota
	SameZone
	SameCell
)

// State of a cache in the list.
type State int

const (
	Ready State = iota
	Draining
	Gone
)

// ListKind tells what a list brings.
type ListKind int

const (
	Changes ListKind = iota
	FullList
	CachedList
	ListFailed
)

// Row is one line of the list of caches.
type Row struct {
	Cache      *Cache
	Zone, Kind int
	Cell       int
	State      State
	Weight     float64
	Started    Micros // 0: long ago
	Standing   Standing
}

// Standing is how far a row is relied on. Rows of a list kept from before are less than told; with such a row Started is
// the gateway's guess, and counts whichever way it moves.
type Standing int

const (
	Told    Standing = iota
	OnTrial          // most likely up
	Doubted          // it gets trials only, until one succeeds
)

// ObjectKind is a row of the table of what differs by object kind.
type ObjectKind struct {
	Budget      Micros  // latency budget
	Stretch     float64 // the budget grows by this multiple of the lookup's own sending time
	GiveUp      Micros  // the budget never passes this
	Utility     float64
	LateUtility float64 // the share paid past the budget
	Effect      Effect
	Circle      Circle
	Memory      Micros // how long the circle knows a deduplicated lookup
	Fresh       Micros // a copy is fresh for so long; 0: until purged
	Grace       Micros // how much longer it may be served
	AgedUtility float64
	PassThrough bool // never kept, runs at the origin
}

// Charter is what a router is told at its start.
type Charter struct {
	Gateways        int   // routers in the whole deployment
	Zone            int   // the router's own
	Seats           []int // routers by zone
	ParentKind      int   // -1: none
	OriginKind      int
	Joins           bool
	FirstByteTold   bool // endings tell how long the source took to begin
	HitsTold        bool // endings tell a hit from a fill
	Weighted        bool // the list's weights tell the size of a link, in transfers
	Sized           bool // the list's weights tell caches' sizes against one another, if only roughly
	FlowKB          float64
	SendLimit       int
	Cancelling      bool
	MaxRetryIn      Micros // longest wait that clients heed; 0: they cannot be told
	AsksForList     bool
	ColdShare       float64
	ColdFor         Micros
	FallMultiple    float64
	FallFor         Micros
	ParentColdShare float64
	ParentColdFor   Micros
	ParentFall      float64
	PurgeDone       Micros
	Kinds           []ObjectKind
}
