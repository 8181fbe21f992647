package scale

// watchPurge is a purge as an event of a discovery watch.
type watchPurge struct {
	Object string // 16 hex digits; "": the purge is of a group
	Group  int64
	Issued int64 // Unix milliseconds
}

// spreader is one gateway's part of a mechanism that spreads purges. Times are in microseconds of the gateway's clock.
type spreader interface {
	// publish takes the purges of the gateway's own watch with their numbers, which rise from 1 at the gateway's start, and the number
	// of the last event.
	publish(last int64, numbers []int64, purges []watchPurge, now int64)
	// membersChanged is called after the list of live gateways changed.
	membersChanged(now int64)
	// receive handles a datagram of another gateway and returns the purges in it that were not known.
	receive(from int, b []byte, now int64) []watchPurge
	// step does the work that is due.
	step(now int64)
	// nextStep is when step is next due.
	nextStep() int64
	// tally counts since the gateway's start.
	tally() Tally
	// isBehind reports whether the gateway knows that it lacks purges.
	isBehind() bool
}

// Tally counts the work of a mechanism, over all gateways and their starts. Of the old one only BatchesReceived is counted.
type Tally struct {
	Batches          uint64 `json:"batches"`    // sent first by some gateway
	Purges           uint64 `json:"said"`       // purges in them; more than were issued if several gateways sent one
	BatchesReceived  uint64 `json:"copies"`     // batches received; old: purges received
	Duplicates       uint64 `json:"again"`      // of them, those received before
	Requests         uint64 `json:"wants"`      // frames that requested batches
	Repairs          uint64 `json:"repairs"`    // batches sent again
	GivenUp          uint64 `json:"given_up"`   // batches left to reconciliation
	Reconciliations  uint64 `json:"passes"`     // of reconciliation
	Unanswered       uint64 `json:"unanswered"` // of them, not completed
	ReconciledPurges uint64 `json:"items"`      // purges received by reconciliation
	Shed             uint64 `json:"shed"`       // batches not forwarded, over the rate limit
	RefusedRequests  uint64 `json:"refused"`    // requests not answered, over the rate limit
	NotBatched       uint64 `json:"unsaid"`     // purges of a watch that were left to reconciliation
	NotKept          uint64 `json:"unkept"`     // purges too old or too new to keep
	Dropped          uint64 `json:"dropped"`    // kept ones dropped for lack of space
}

func (t *Tally) add(other Tally) {
	t.Batches += other.Batches
	t.Purges += other.Purges
	t.BatchesReceived += other.BatchesReceived
	t.Duplicates += other.Duplicates
	t.Requests += other.Requests
	t.Repairs += other.Repairs
	t.GivenUp += other.GivenUp
	t.Reconciliations += other.Reconciliations
	t.Unanswered += other.Unanswered
	t.ReconciledPurges += other.ReconciledPurges
	t.Shed += other.Shed
	t.RefusedRequests += other.RefusedRequests
	t.NotBatched += other.NotBatched
	t.NotKept += other.NotKept
	t.Dropped += other.Dropped
}
