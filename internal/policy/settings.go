package policy

// Settings describe the deployment to a router when it starts. They must not change while a Router uses them.
type Settings struct {
	Gateways     int   // routers in the whole deployment
	Zone         int   // this router's own
	ZoneGateways []int // routers by zone
	ParentKind   int   // Endpoint.Kind of parents; -1: there are none
	OriginKind   int   // Endpoint.Kind of the origin; -1: there is none

	CoalescesFills   bool // a cache can let a lookup wait for a fill under way
	ReportsFirstByte bool // reports tell how long the source took to begin
	ReportsHits      bool // reports tell a hit from a fill
	WeightIsCapacity bool // an endpoint's weight is the size of its link, in transfers at full pace
	WeightIsSize     bool // weights tell the sizes of caches against one another, if only roughly

	TransferKBPerSecond   float64 // pace of one transfer; 0: not known
	MaxAttempts           int     // of one lookup
	CanCancel             bool    // an attempt can be cancelled
	MaxRetryAfter         Micros  // longest Retry-After that clients respect; 0: they can't be told one
	SubscribesToEndpoints bool    // the endpoint list has to be asked for

	// A cache that has just started bears SlowStartShare of what a warm one bears, growing evenly to all of it over SlowStartTime,
	// and breaks when it is sent more than BreakMultiple of that within a BreakWindow. The same for parents.
	SlowStartShare       float64
	SlowStartTime        Micros
	BreakMultiple        float64
	BreakWindow          Micros
	ParentSlowStartShare float64
	ParentSlowStartTime  Micros
	ParentBreakMultiple  float64

	PurgeSettleTime Micros // after a purge, no older copy is left in any cache
	Kinds           []ObjectKind
}

// ObjectKind is what differs between kinds of objects.
type ObjectKind struct {
	LatencyBudget    Micros  // an answer within it has the full utility
	BudgetStretch    float64 // the budget grows by this multiple of the lookup's transfer time
	Deadline         Micros  // from a lookup's arrival; bounds the budget too
	Utility          float64 // of an answer within the budget
	LateUtilityShare float64 // of the utility, for an answer past the budget
	Effect           Effect
	DedupScope       DedupScope
	DedupWindow      Micros // how long the scope recognizes a deduplicated lookup
	MaxAge           Micros // of a fresh copy; 0: fresh until purged
	StaleGrace       Micros // how much longer a stale copy may be served
	StaleUtility     float64
	PassThrough      bool // never cached, runs at the origin
}

// Effect is what a repeat of a lookup does.
type Effect int

// The effects of a repeat.
const (
	Idempotent    Effect = iota // nothing
	Deduplicated                // nothing, where and as long as caches recognize it: DedupScope, DedupWindow
	SideEffecting               // it may run twice
)

// DedupScope is the set of caches that recognize each other's deduplicated lookups.
type DedupScope int

// The scopes of deduplication.
const (
	AllCaches DedupScope = iota
	SameZone
	SameCell
)
