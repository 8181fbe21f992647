package policy

// Arrival describes a client's request that the frontend passes to a Router.
type Arrival struct {
	ID       string // chosen by the frontend; the Router does not interpret it
	Kind     int    // index into Settings.Kinds
	Object   string
	Part     int // number of the part within the object
	Group    int // number of the group of objects that are purged together
	SizeKB   float64
	Deadline Micros // instant
	IsWrite  bool   // runs at the origin and is not cached
	IsRepeat bool   // the client has sent the same request before
	Scope    *Scope // nil allows every cache
}

// Lookup is a client's request that the Router has accepted. It belongs to the Router that created it.
type Lookup struct {
	ID          string // copied from Arrival.ID
	kind        *kindState
	objectHash  uint64
	partHash    uint64 // hash of the object and the part number
	group       int
	passThrough bool // runs at the origin and is never cached
	isRepeat    bool
	sizeKB      float64
	work        Micros // transfer time at full pace
	arrivedAt   Micros
	deadline    Micros // instant
	budgetEnd   Micros // instant at which the latency budget ends
	scope       *Scope

	attempts        []*Attempt // all attempts so far, by number
	openAttempts    int
	notBefore       Micros // earliest start of the next attempt
	failedEdge      *Cache // edge cache that the next attempt avoids
	failedParent    *Cache // parent that the next attempt avoids
	avoidCoalescing bool   // set when the fill that the lookup started or joined may be stuck
	missedAt        *Cache // edge cache that reported a miss, so that the lookup needs a fill
	acceptsStale    bool   // set when no time is left for a fill, so that a copy within its grace period is accepted
	ended           bool
	firstRunOn      *Cache // edge cache of the first attempt that may have had an effect
	firstRunAt      Micros // start of that attempt
}

// Ended reports whether the lookup has its result.
func (l *Lookup) Ended() bool { return l.ended }

// latencyBudget returns the lookup's latency budget as a duration. It grows with the transfer time and is at most the
// deadline of the kind.
func (l *Lookup) latencyBudget() Micros {
	return min(l.kind.LatencyBudget+Micros(l.kind.BudgetStretch*float64(l.work)), l.kind.Deadline)
}

// Attempt is one request of a lookup to a cache. The stages fill it in before it starts.
type Attempt struct {
	lookup       *Lookup
	number       int // index in Lookup.attempts
	edge, source *Cache
	rank         int
	mode         FetchMode
	maxAge       Micros
	startedAt    Micros
	overdueAt    Micros
	// slowStartCharge is the work that was charged to the slow start budget of the source, or 0 if the source is
	// warm.
	slowStartCharge float64
	cancelled       bool
}

// kindState holds the settings of an object kind and the measurements of its lookups and satisfied fills.
type kindState struct {
	ObjectKind
	arrivedWork, arrivals decayingSum
	fillLatency           decayingSum // latencies of satisfied fills
	fillWork              decayingSum // transfer times of satisfied fills at full pace
	fillWait              decayingSum // waits of satisfied fills for the first byte of the source
	fillCount             decayingSum // number of satisfied fills
}

// meanWork returns the mean transfer time of the kind's lookups at full pace, in microseconds.
func (k *kindState) meanWork(now Micros) float64 {
	return k.arrivedWork.read(now) / max(k.arrivals.read(now), 1e-3)
}

// Scope restricts the edge caches and the sources of one lookup. A nil *Scope or a nil map allows all caches. A fill
// falls back to the origin even if the scope does not list it.
type Scope struct {
	Caches, Sources map[string]bool // names of the allowed edge caches and sources
	// AllowRetry, if not nil, is called before a retry starts and reports whether the retry budget allows it. It must
	// not block.
	AllowRetry func() bool
	MaxAge     Micros // maximum age of a copy if the object kind allows an older one; 0 sets no maximum
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
