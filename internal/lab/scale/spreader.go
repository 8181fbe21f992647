package scale

// watchPurge is a purge that a discovery watch delivers as an event.
type watchPurge struct {
	Object string // 16 hexadecimal digits; "": the purge is of a group
	Group  int64
	Issued int64 // Unix milliseconds
}

// spreader is one gateway's instance of a mechanism that spreads purges among gateways. Times are in microseconds of
// the gateway's clock.
type spreader interface {
	// publish adds purges that the gateway's own watch delivered. numbers holds their event numbers, which rise from 1
	// at the gateway's start. last is the number of the last event that the watch has, delivered or not.
	publish(last int64, numbers []int64, purges []watchPurge, now int64)
	// membersChanged is called after the list of live gateways changed.
	membersChanged(now int64)
	// receive handles a datagram from another gateway and returns those purges in it that were not known before.
	receive(from int, b []byte, now int64) []watchPurge
	// step does the work that is due.
	step(now int64)
	// nextStep returns the time at which step is next due.
	nextStep() int64
	// tally returns the counters since the gateway's start.
	tally() Tally
	// isBehind reports whether the gateway knows that it lacks purges.
	isBehind() bool
}

// Tally counts the work of a mechanism, over all gateways and their starts. For the old mechanism it counts only
// BatchesReceived.
type Tally struct {
	Batches          uint64 `json:"batches"`    // batches that gateways created and sent
	Purges           uint64 `json:"said"`       // purges in them; more than were issued if several gateways sent one
	BatchesReceived  uint64 `json:"copies"`     // batches received, including duplicates; old mechanism: purges received
	Duplicates       uint64 `json:"again"`      // batches received that the gateway had received before
	Requests         uint64 `json:"wants"`      // frames that requested batches
	Repairs          uint64 `json:"repairs"`    // batches sent again on request
	GivenUp          uint64 `json:"given_up"`   // batches that gateways no longer requested and left to reconciliation
	Reconciliations  uint64 `json:"passes"`     // passes of reconciliation begun
	Unanswered       uint64 `json:"unanswered"` // passes of reconciliation that were not completed
	ReconciledPurges uint64 `json:"items"`      // new purges received by reconciliation
	Shed             uint64 `json:"shed"`       // copies of batches not forwarded because of the rate limit
	RefusedRequests  uint64 `json:"refused"`    // requests not answered because of the rate limit
	NotBatched       uint64 `json:"unsaid"`     // purges left to reconciliation: too many waited, or too old
	NotKept          uint64 `json:"unkept"`     // purges not kept because they were too old or too far ahead of the clock
	Dropped          uint64 `json:"dropped"`    // kept purges that were displaced by others for lack of space
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
