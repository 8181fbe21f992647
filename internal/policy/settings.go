package policy

// Settings describes the deployment to a router. It must not change while a Router uses it.
type Settings struct {
	Gateways     int   // number of routers in the whole deployment
	Zone         int   // zone of this router
	ZoneGateways []int // number of routers by zone
	ParentKind   int   // Endpoint.Kind of parents; -1 if there are none
	OriginKind   int   // Endpoint.Kind of the origin; -1 if there is none

	CoalescesFills   bool // caches can let a lookup wait for an open fill of the same object
	ReportsFirstByte bool // reports carry the wait for the first byte of the source
	ReportsHits      bool // reports distinguish hits from fills
	WeightIsCapacity bool // Endpoint.Weight is the capacity of the cache's link, in concurrent transfers at full pace
	WeightIsSize     bool // Endpoint.Weight is the size of the cache relative to other caches, possibly estimated

	TransferKBPerSecond   float64 // pace of one transfer; 0 if unknown
	MaxAttempts           int     // maximum number of attempts of one lookup
	CanCancel             bool    // attempts can be cancelled
	MaxRetryAfter         Micros  // longest Retry-After that clients respect; 0 if rejections carry no Retry-After
	SubscribesToEndpoints bool    // the router has to subscribe to the endpoint list

	// The capacity of a cache that has just started is SlowStartShare of its warm capacity and grows linearly to all
	// of it over SlowStartTime. The cache breaks when the work sent to it within a BreakWindow exceeds BreakMultiple
	// times its capacity. The Parent fields describe parents in the same way.
	SlowStartShare       float64
	SlowStartTime        Micros
	BreakMultiple        float64
	BreakWindow          Micros
	ParentSlowStartShare float64
	ParentSlowStartTime  Micros
	ParentBreakMultiple  float64

	PurgeSettleTime Micros // time after a purge by which no cache holds an older copy
	Kinds           []ObjectKind
}

// ObjectKind holds the settings of one kind of objects.
type ObjectKind struct {
	LatencyBudget    Micros  // a response within the latency budget has the full utility
	BudgetStretch    float64 // multiple of a lookup's transfer time that is added to its latency budget
	Deadline         Micros  // time from the arrival of a lookup to its deadline; also bounds the latency budget
	Utility          float64 // utility of a response within the latency budget
	LateUtilityShare float64 // share of the utility that a response after the latency budget has
	Effect           Effect
	DedupScope       DedupScope
	DedupWindow      Micros // time during which the caches of the scope recognize a deduplicated lookup
	MaxAge           Micros // maximum age of a fresh copy; 0 if a copy stays fresh until it is purged
	StaleGrace       Micros // time past MaxAge during which a stale copy may be served
	StaleUtility     float64
	PassThrough      bool // runs at the origin and is never cached
}

// Effect classifies lookups by the effect of a repeat.
type Effect int

// The effects of a repeat.
const (
	Idempotent    Effect = iota // a repeat has no further effect
	Deduplicated                // a repeat has no further effect at the caches of DedupScope within DedupWindow
	SideEffecting               // a repeat may take effect again
)

// DedupScope is the set of caches that recognize each other's deduplicated lookups.
type DedupScope int

// The scopes of deduplication.
const (
	AllCaches DedupScope = iota
	SameZone
	SameCell
)
