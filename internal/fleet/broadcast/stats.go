package broadcast

// Stats holds counters since New and the present state. The JSON keys are those of the operators' socket.
type Stats struct {
	Parent   string   `json:"Parent"`   // "": this gateway is the root, or not a member
	Children []string `json:"Children"` // at most fanOut
	Kept     int      `json:"Kept"`     // kept purges
	Waiting  int      `json:"Waiting"`  // purges of the own watch that wait for injection
	Behind   Lag      `json:"Behind"`

	Learned           uint64 `json:"Heeded"`     // purges that a peer sent first
	Grafts            int    `json:"Grafts"`     // edges that bypass silent neighbours
	BatchesSent       uint64 `json:"Batches"`    // batches injected by this gateway
	PurgesSent        uint64 `json:"Said"`       // purges in the batches injected by this gateway
	BatchesReceived   uint64 `json:"Copies"`     // batches received, duplicates included
	DuplicateBatches  uint64 `json:"Again"`      // received batches that were duplicates
	RepairRequests    uint64 `json:"Wants"`      // frames with repair requests that were sent
	Repairs           uint64 `json:"Repairs"`    // batches resent to peers
	GivenUp           uint64 `json:"GivenUp"`    // batches left to reconciliation
	ReconcilePasses   uint64 `json:"Passes"`     // passes begun
	UnfinishedPasses  uint64 `json:"Unanswered"` // passes that ended before their requests were answered
	PurgesReceived    uint64 `json:"ItemsIn"`    // new purges received by reconciliation
	PurgesServed      uint64 `json:"ItemsOut"`   // purges sent to peers by reconciliation
	UnreadableFrames  uint64 `json:"Unreadable"`
	ImplausiblePurges uint64 `json:"Wrong"` // purges of the own watch with an impossible issue time
	// LongNames counts purges of the own watch whose names exceed maxObjectNameBytes. They are not sent, and peers
	// get them from their own watches.
	LongNames           uint64 `json:"Long"`
	InjectionsPostponed uint64 `json:"Held"` // times that injection was postponed, after duplicates or in a rate debt
	// NotBatched counts purges of the own watch that were left to reconciliation, because too many waited for
	// injection or because they were too old.
	NotBatched      uint64 `json:"Unsaid"`
	NotKept         uint64 `json:"Unkept"`  // purges that were too old or too far ahead of the clock to be kept
	Dropped         uint64 `json:"Dropped"` // kept purges displaced by others
	Shed            uint64 `json:"Shed"`    // copies of batches not forwarded because of the rate limit
	RefusedRequests uint64 `json:"Refused"` // peers' requests not answered because of the rate limit
	FramesIn        uint64 `json:"FramesIn"`
	FramesOut       uint64 `json:"FramesOut"`
	BytesIn         uint64 `json:"BytesIn"` // including UDP and IP headers
	BytesOut        uint64 `json:"BytesOut"`
}

// Lag describes the purges that this gateway knows it lacks. Its own watch remains authoritative, and nothing is
// rejected because of a lag.
type Lag struct {
	MissingBatches   int `json:"Batches"` // known from announcements or gaps and not received
	DifferingSeconds int `json:"Seconds"` // seconds of issue time that may lack purges, by the last reconciliation
	// Since is the time at which the oldest gap began; 0: none. A batch that repair gave up counts until a pass of
	// reconciliation is complete.
	Since int64 `json:"Since"`
}

// Stats returns the counters and the present state.
func (n *Node) Stats() Stats {
	s := n.stats
	s.Parent = n.tree.parent
	s.Children = n.tree.children
	s.Grafts = len(n.grafts)
	s.Kept = n.kept.count
	s.Dropped = n.kept.dropped
	s.Waiting = len(n.waiting)
	s.Behind = Lag{MissingBatches: len(n.repairs), DifferingSeconds: n.differingSeconds, Since: n.missingSince}
	for _, repair := range n.repairs {
		if s.Behind.Since == 0 || repair.since < s.Behind.Since {
			s.Behind.Since = repair.since
		}
	}
	return s
}
