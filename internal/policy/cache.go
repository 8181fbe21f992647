package policy

// Cache is a server that serves lookups or fills: an edge cache, a parent or the origin. The Router's owner creates
// it with NewCache and lists it with Router.UpdateEndpoints. A Cache belongs to one Router.
type Cache struct {
	Name     string
	nameHash uint64
	Endpoint // latest row of the endpoint list; State is Gone while the cache is not listed

	// Outlier ejection (outlier.go).
	ejected       bool // receives only probes
	ejectedAt     Micros
	restartsCold  bool     // is assumed to have died, so that a slow start begins when it is readmitted
	isOnlySlow    bool     // was ejected only for its latency
	nextProbeAt   Micros   // earliest start of the next probe of an ejected cache
	probe         *Attempt // open probe, or nil
	failuresInRow int      // consecutive refused or broken connections; for a parent, consecutive failed fills
	errorsInRow   int      // consecutive unexplained errors
	lastFailureAt Micros   // attempts that started before this time count as the same failure
	lastSuccessAt Micros   // last response of a working cache; for a parent, last successful fill; 0 if none
	overdueCount  int      // attempts that were overdue at the last sweep and started after lastSuccessAt
	overdueNoFill int      // attempts in overdueCount that asked for no fill or were pass-through
	latency       latencyWindow

	// Slow start (slowstart.go).
	warmingSince   Micros        // start of the slow start, or 0 if the cache is warm
	slowStartSent  slidingWindow // work that was charged to the slow start budget
	slowStartScale float64       // factor of the slow start budget, from 0 to 1
	scaleUpdatedAt Micros
	carriedWork    decayingSum // transfer time that the cache carried for this router

	// Concurrency limit (edge.go).
	openCount      int
	attempts       []*Attempt // open attempts
	attemptLimit   float64
	limitUpdatedAt Micros
	pausedUntil    Micros      // earliest start of the next attempt, which is delayed if the limit is below one
	hitLatency     decayingSum // latencies of hits
	hitBudget      decayingSum // latency budgets of the same hits
}

// NewCache returns a cache that is not listed yet.
func NewCache(name string) *Cache {
	return &Cache{Name: name, nameHash: hashString(name), attemptLimit: initialLimit, Endpoint: Endpoint{State: Gone}}
}
