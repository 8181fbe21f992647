package broadcast

// Stats are counters since New, and the present state. The keys are those of the operators' socket.
type Stats struct {
	Parent   string   `json:"Parent"`   // "": the root, or not among the members
	Children []string `json:"Children"` // at most fanOut
	Kept     int      `json:"Kept"`     // purges
	Waiting  int      `json:"Waiting"`  // purges of the own watch that wait for injection
	Behind   Lag      `json:"Behind"`

	Learned             uint64 `json:"Heeded"`     // purges that a peer sent first
	Grafts              int    `json:"Grafts"`     // edges that bypass silent neighbours
	BatchesSent         uint64 `json:"Batches"`    // injected by this gateway
	PurgesSent          uint64 `json:"Said"`       // purges in them
	BatchesReceived     uint64 `json:"Copies"`     // new ones and duplicates
	DuplicateBatches    uint64 `json:"Again"`      // of the received ones
	RepairRequests      uint64 `json:"Wants"`      // frames sent
	Repairs             uint64 `json:"Repairs"`    // batches sent again
	GivenUp             uint64 `json:"GivenUp"`    // batches left to reconciliation
	ReconcilePasses     uint64 `json:"Passes"`     // begun
	UnfinishedPasses    uint64 `json:"Unanswered"` // passes that a peer did not answer to the end
	PurgesReceived      uint64 `json:"ItemsIn"`    // new purges by reconciliation
	PurgesServed        uint64 `json:"ItemsOut"`   // purges to peers by reconciliation
	UnreadableFrames    uint64 `json:"Unreadable"`
	ImplausiblePurges   uint64 `json:"Wrong"`   // purges of the own watch with an impossible issue time
	LongNames           uint64 `json:"Long"`    // purges with names over maxObjectNameBytes: not sent, peers get them of their own watches
	InjectionsPostponed uint64 `json:"Held"`    // times that injection waited for the rate
	NotBatched          uint64 `json:"Unsaid"`  // purges of the own watch left to reconciliation: too many wait, or too old
	NotKept             uint64 `json:"Unkept"`  // purges too old, or too far ahead of the clock, to be kept
	Dropped             uint64 `json:"Dropped"` // kept purges that were displaced by others
	Shed                uint64 `json:"Shed"`    // copies of batches that were not forwarded, for the rate
	RefusedRequests     uint64 `json:"Refused"` // requests of peers that were not answered, for the rate
	FramesIn            uint64 `json:"FramesIn"`
	FramesOut           uint64 `json:"FramesOut"`
	BytesIn             uint64 `json:"BytesIn"` // headers of UDP and IP included
	BytesOut            uint64 `json:"BytesOut"`
}

// Lag is what this gateway knows that it lacks. Its own watch remains the authority, and nothing is rejected for a lag.
type Lag struct {
	MissingBatches   int   `json:"Batches"` // announced and not received
	DifferingSeconds int   `json:"Seconds"` // of issue time that may lack purges, by the last reconciliation
	Since            int64 `json:"Since"`   // time when the oldest gap began; 0: none. A batch given up counts until a pass of reconciliation ends
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
