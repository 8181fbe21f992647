package policy

// Cache is a server that a Router sends attempts to or has fills made from: an edge cache, a parent or the origin. Its owner makes it
// with NewCache and lists it with Router.UpdateEndpoints; it belongs to one Router.
type Cache struct {
	Name     string
	nameHash uint64
	Endpoint // as last listed; State is Gone while it is not listed

	// Outlier ejection (outlier.go).
	ejected       bool // it gets probes only
	ejectedAt     Micros
	restartsCold  bool     // it died: its slow start begins when it is readmitted
	isOnlySlow    bool     // ejected for its latency alone
	nextProbeAt   Micros   // while ejected
	probe         *Attempt // under way
	failuresInRow int      // connections refused or broken; of a parent, failed fills
	errorsInRow   int      // unexplained errors
	lastFailureAt Micros   // attempts that started earlier count as the same failure
	lastSuccessAt Micros   // last good answer; of a parent, last good fill; 0: none yet
	overdueCount  int      // attempts overdue since lastSuccessAt, as of the last sweep
	overdueNoFill int      // those of them that asked for no fill
	latency       latencyWindow

	// Slow start (slowstart.go).
	warmingSince   Micros        // 0: it is warm
	slowStartSent  slidingWindow // work charged to it while it warms
	slowStartScale float64       // of what it is sent while it warms, 0 to 1
	scaleUpdatedAt Micros
	carriedWork    decayingSum // transfer time carried for this router

	// Limit of open attempts (edge.go).
	openCount      int
	attempts       []*Attempt // the open ones
	attemptLimit   float64
	limitUpdatedAt Micros
	pausedUntil    Micros // where the limit is below one
	hitLatency     decayingSum
	hitBudget      decayingSum // latency budgets of the same hits
}

// NewCache makes the cache of a name, which is not listed yet.
func NewCache(name string) *Cache {
	return &Cache{Name: name, nameHash: hashString(name), attemptLimit: initialLimit, Endpoint: Endpoint{State: Gone}}
}
