package policy

// Arrival is a client's request as the frontend hands it to a Router.
type Arrival struct {
	ID       string // the frontend's name for it; the Router does not read it
	Kind     int    // index into Settings.Kinds
	Object   string
	Part     int // of the object
	Group    int // of objects that are purged together
	SizeKB   float64
	Deadline Micros // instant
	IsWrite  bool   // it runs at the origin and is not cached
	IsRepeat bool   // the client has asked before
	Scope    *Scope // nil: any cache
}

// Lookup is a client's request while the Router owes it a result. It belongs to the Router that made it.
type Lookup struct {
	ID          string // Arrival.ID
	kind        *kindState
	objectHash  uint64
	partHash    uint64 // of object and part
	group       int
	passThrough bool // never cached, runs at the origin
	isRepeat    bool
	sizeKB      float64
	work        Micros // transfer time at full pace
	arrivedAt   Micros
	deadline    Micros // instant
	budgetEnd   Micros // instant
	scope       *Scope

	attempts        []*Attempt // all, by number
	openAttempts    int
	notBefore       Micros // earliest start of the next attempt
	failedEdge      *Cache // avoided by the next attempt
	failedParent    *Cache // likewise
	avoidCoalescing bool   // a fill that it joined or began may be stuck
	missedAt        *Cache // has no copy: the lookup needs a fill
	acceptsStale    bool   // there is no time left for a fill: a copy within its grace will do
	ended           bool
	firstRunOn      *Cache // of the first attempt that may have had an effect
	firstRunAt      Micros
}

// Ended tells whether the lookup has had its result.
func (l *Lookup) Ended() bool { return l.ended }

// latencyBudget is the lookup's latency budget as a duration.
func (l *Lookup) latencyBudget() Micros {
	return min(l.kind.LatencyBudget+Micros(l.kind.BudgetStretch*float64(l.work)), l.kind.Deadline)
}

// Attempt is one request of a lookup to a cache, from its draft to its end.
type Attempt struct {
	lookup       *Lookup
	number       int // among the lookup's attempts
	edge, source *Cache
	rank         int
	mode         FetchMode
	maxAge       Micros
	startedAt    Micros
	overdueAt    Micros
	// slowStartCharge is the work that the slow start of its source was charged with; 0 if that is warm.
	slowStartCharge float64
	cancelled       bool
}

// kindState is an object kind and what was measured of its lookups.
type kindState struct {
	ObjectKind
	arrivedWork, arrivals decayingSum
	fillLatency           decayingSum // of satisfied fills, as the next three
	fillWork              decayingSum
	fillWait              decayingSum
	fillCount             decayingSum
}

// meanWork is the mean transfer time of the kind's lookups, in microseconds.
func (k *kindState) meanWork(now Micros) float64 {
	return k.arrivedWork.read(now) / max(k.arrivals.read(now), 1e-3)
}

// Scope narrows, for one lookup, the caches that it may be sent to and filled from. A nil *Scope or map allows all. The origin stays the
// last resort of fills.
type Scope struct {
	Caches, Sources map[string]bool // by name
	// AllowRetry, if set, is asked when a retry would start, and tells whether a budget allows it. It must not wait.
	AllowRetry func() bool
	MaxAge     Micros // bounds the age of a copy where the object kind allows more; 0: it does not
}

func (s *Scope) limitAge(maxAge Micros) Micros {
	if s == nil || s.MaxAge == 0 || maxAge > 0 && maxAge < s.MaxAge {
		return maxAge
	}
	return s.MaxAge
}

func (s *Scope) allowsRetry() bool { return s == nil || s.AllowRetry == nil || s.AllowRetry() }

func (s *Scope) allowsEdge(c *Cache) bool { return s == nil || s.Caches == nil || s.Caches[c.Name] }

func (s *Scope) allowsSource(c *Cache) bool {
	return s == nil || s.Sources == nil || s.Sources[c.Name]
}
