package policy

// AttemptReport describes the end of an attempt.
type AttemptReport struct {
	Attempt     int // number of the attempt within the lookup, from 0
	Outcome     AttemptOutcome
	Detail      OutcomeDetail
	Latency     Micros // time from the start of the attempt to its end
	SourceWait  Micros // time that the cache waited for the first byte of its source
	LookupEnded bool   // the client has received a response or is gone
}

// isHit reports whether the cache answered with a cached copy, fresh or stale.
func (r AttemptReport) isHit() bool { return r.Detail == DetailHit || r.Detail == DetailStale }

// isFill reports whether the cache fetched the object from its source before it answered.
func (r AttemptReport) isFill() bool {
	return r.Detail == DetailFilled || r.Detail == DetailFilledFromOrigin
}

// isUnexplained reports whether the attempt ended with the given outcome and the cache gave no detail.
func (r AttemptReport) isUnexplained(outcome AttemptOutcome) bool {
	return r.Outcome == outcome && r.Detail == DetailNone
}

// AttemptOutcome is the outcome of an attempt.
type AttemptOutcome int

// The outcomes of an attempt. Their values are part of the simulator's protocol.
const (
	OutcomeSatisfied     AttemptOutcome = 1 + iota // the cache returned the object
	OutcomeError                                   // the cache answered with an error
	OutcomeRejected                                // the cache had no capacity
	OutcomeTimeout                                 // the cache did not answer by the deadline
	OutcomeConnectFailed                           // no connection could be opened
	OutcomeReset                                   // the connection broke
	OutcomeCancelled                               // the router or the client cancelled the attempt
	OutcomeNotSent                                 // the attempt was withdrawn before its first byte was sent
	OutcomeMiss                                    // the cache has no copy and was told not to fetch one
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o AttemptOutcome) NeverRan() bool {
	return o == OutcomeRejected || o == OutcomeConnectFailed || o == OutcomeNotSent || o == OutcomeMiss
}

// OutcomeDetail is the additional information that a cache gives about an outcome. Deployments differ in which
// details their caches report.
type OutcomeDetail int

// The details of an outcome. Their values are part of the simulator's protocol. The values from DetailSourceRefused
// on mean that the cache works but its fill failed. The values from DetailNoFillSlot on mean that too many fills are
// open.
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

// isFillFailure reports whether the cache works but its fill failed.
func (d OutcomeDetail) isFillFailure() bool { return d >= DetailSourceRefused }

// isFillOverload reports whether more fills are open than the sources have capacity for.
func (d OutcomeDetail) isFillOverload() bool { return d >= DetailNoFillSlot }
