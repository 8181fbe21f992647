package scale

// watchPurge is a purge as a discovery watch tells it.
type watchPurge struct {
	Object string // 16 hex digits; "": of a group
	Group  int64
	Issued int64 // Unix milliseconds
}

// spreader is a mechanism that spreads purges, one gateway's; times are in microseconds of the gateway's clock.
type spreader interface {
	// own takes what the own watch told: its last number, and purges with their numbers (rising, from 1 at the gateway's start).
	publish(last int64, numbers []int64, purges []watchPurge, now int64)
	// see takes the list of live gateways after it changed.
	membersChanged(now int64)
	// take takes a datagram of another gateway and gives what it brought that was not known.
	receive(from int, b []byte, now int64) []watchPurge
	// step does what is due.
	step(now int64)
	// next is when step wants to be called.
	nextStep() int64
	// counts are since the start; behind is whether the gateway knows that it lacks some.
	tally() Tally
	isBehind() bool
}

// Tally counts what a mechanism did, of all gateways and their starts. Of the old one there are Said, Purges in and Copies alone.
type Tally struct {
	Batches          uint64 `json:"batches"`    // of purges, said first
	Purges           uint64 `json:"said"`       // purges in them: more than there were where several gateways said one
	BatchesReceived  uint64 `json:"copies"`     // batches that came; old: purges that came
	Duplicates       uint64 `json:"again"`      // of them those that had come before
	Requests         uint64 `json:"wants"`      // frames that asked for batches
	Repairs          uint64 `json:"repairs"`    // batches sent again
	GivenUp          uint64 `json:"given_up"`   // batches left to reconciliation
	Reconciliations  uint64 `json:"passes"`     // of reconciliation
	Unanswered       uint64 `json:"unanswered"` // of them, not answered to the end
	ReconciledPurges uint64 `json:"items"`      // purges that reconciliation brought
	Shed             uint64 `json:"shed"`       // copies not sent on, out of the rate
	RefusedQuestions uint64 `json:"refused"`    // questions not answered, out of the rate
	Unannounced      uint64 `json:"unsaid"`     // purges of a watch left to reconciliation
	OutsideWindow    uint64 `json:"unkept"`     // purges too old or too new to keep
	Dropped          uint64 `json:"dropped"`    // kept ones that went for want of room
}

func (t *Tally) add(o Tally) {
	t.Batches += o.Batches
	t.Purges += o.Purges
	t.BatchesReceived += o.BatchesReceived
	t.Duplicates += o.Duplicates
	t.Requests += o.Requests
	t.Repairs += o.Repairs
	t.GivenUp += o.GivenUp
	t.Reconciliations += o.Reconciliations
	t.Unanswered += o.Unanswered
	t.ReconciledPurges += o.ReconciledPurges
	t.Shed += o.Shed
	t.RefusedQuestions += o.RefusedQuestions
	t.Unannounced += o.Unannounced
	t.OutsideWindow += o.OutsideWindow
	t.Dropped += o.Dropped
}
