package policy

// AttemptReport tells a Router how an attempt ended.
type AttemptReport struct {
	Attempt     int // its number among those of the lookup, from 0
	Outcome     AttemptOutcome
	Detail      OutcomeDetail
	Latency     Micros // from its start to its end
	SourceWait  Micros // how long the cache waited for the first byte of its source
	LookupEnded bool   // the client has an answer or has gone
}

// isHit tells whether the cache answered from what it had cached.
func (r AttemptReport) isHit() bool { return r.Detail == DetailHit || r.Detail == DetailStale }

// isFill tells whether the cache answered after it had fetched the object from its source.
func (r AttemptReport) isFill() bool {
	return r.Detail == DetailFilled || r.Detail == DetailFilledFromOrigin
}

// isUnexplained tells whether an attempt ended with an error of which the cache says nothing more.
func (r AttemptReport) isUnexplained(outcome AttemptOutcome) bool {
	return r.Outcome == outcome && r.Detail == DetailNone
}

// AttemptOutcome is how an attempt ended.
type AttemptOutcome int

// The outcomes of an attempt. Their values are part of the simulator's protocol.
const (
	OutcomeSatisfied     AttemptOutcome = 1 + iota // it brought the object
	OutcomeError                                   // the cache answered with an error
	OutcomeRejected                                // the cache had no capacity
	OutcomeTimeout                                 // no answer by the deadline
	OutcomeConnectFailed                           // no connection could be opened
	OutcomeReset                                   // the connection broke
	OutcomeCancelled                               // the router or the client gave it up
	OutcomeNotSent                                 // it was withdrawn before its first byte
	OutcomeMiss                                    // the cache has no copy and was not to fetch one
)

// NeverRan tells whether the outcome proves that the attempt had no effect.
func (o AttemptOutcome) NeverRan() bool {
	return o == OutcomeRejected || o == OutcomeConnectFailed || o == OutcomeNotSent || o == OutcomeMiss
}

// OutcomeDetail is what a cache says about an outcome beyond it; deployments differ in how much of it their caches say.
type OutcomeDetail int

// The details of an outcome. Their values are part of the simulator's protocol; those from DetailSourceRefused on say that a fill failed
// behind a cache that works, those from DetailNoFillSlot on that there are too many fills.
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

// isFillFailure tells whether the cache works and its fill failed.
func (d OutcomeDetail) isFillFailure() bool { return d >= DetailSourceRefused }

// isFillOverload tells whether there are more fills than the sources take.
func (d OutcomeDetail) isFillOverload() bool { return d >= DetailNoFillSlot }
