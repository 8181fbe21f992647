package broadcast

import "slices"

// Repair recovers lost batches. A gap in an origin's sequence is requested from the peer whose batch revealed it.
// Lazy push announces the batches whose loss leaves no gap: the last ones before a rest, and those for a subtree
// whose parent died. A repaired batch is forwarded along the tree like a new one.
const (
	maxRepairs        = 256 // missing batches with scheduled requests
	maxRepairAttempts = 6   // requests for a batch, after which it is left to reconciliation
	// Batches are not resent in a debt of more seconds of the rate limit. Reconciliation stops at a smaller debt, and
	// the forwarding of batches at a larger one.
	maxRepairDebtSeconds = 2
	maxStoredBatches     = 512        // batches stored for repair
	batchLifetime        = 30_000_000 // microseconds for which a batch is stored for repair
	gapDelay             = 60_000     // microseconds before a gap is requested, as batches may arrive out of order
	gapJitter            = 40_000     // microseconds, the maximum random addition to gapDelay
	// A neighbour's request that arrives within this many microseconds after the batch was forwarded to it is taken
	// to have been sent before the batch arrived there.
	inTransitTime = 200_000
	repairJitter  = 100_000 // microseconds, the maximum random addition to repairTimeout
)

// repairTimeout is the time in microseconds that a request waits for its batch, by attempt. The first timeouts are
// twice the longest round trip, and later ones are longer. With 5% of datagrams lost, one attempt in ten fails.
var repairTimeout = [maxRepairAttempts]int64{400_000, 400_000, 600_000, 800_000, 1_200_000, 2_000_000}

// pendingRepair is a missing batch and the state of its requests.
type pendingRepair struct {
	id       batchID
	peer     string // receives the next request; "": a random peer
	since    int64  // when the batch was found to be missing
	due      int64  // when the next request is due
	attempts int    // made so far
}

// storedBatch is a batch that is stored for repair.
type storedBatch struct {
	frame []byte
	from  string // "": this gateway is the origin
	at    int64  // when the batch was received and forwarded
}

// recordBatch records a batch as received, schedules the repair of gaps before it, and reports whether the batch is
// new. It ignores a batch that is more than maxSeqJump ahead of its origin's highest known sequence number, and
// returns false.
func (n *Node) recordBatch(id batchID, from string, now int64) (isNew bool) {
	o := n.follow(id.origin, id.seq, now)
	if o.has(id.seq) || id.seq > o.highest+maxSeqJump && o.highest > 0 {
		return false
	}
	o.lastNewSeqAt = now
	n.giveUpBatches(o.add(id.seq), now)
	n.repairs = slices.DeleteFunc(n.repairs, func(r pendingRepair) bool {
		return r.id == id || r.id.origin == id.origin && r.id.seq <= o.contiguous
	})
	due := now + gapDelay + n.rng.Int64N(gapJitter) // the same for all gaps, so that one frame requests them
	for seq := o.contiguous + 1; seq < id.seq; seq++ {
		if !o.has(seq) {
			n.scheduleRepair(batchID{id.origin, seq}, from, due, now)
		}
	}
	return true
}

// giveUpBatches counts batches that repair leaves to reconciliation, and sets missingSince.
func (n *Node) giveUpBatches(batches int, now int64) {
	if batches == 0 {
		return
	}
	n.stats.GivenUp += uint64(batches)
	if n.missingSince == 0 {
		n.missingSince = now
	}
}

// scheduleRepair schedules a request for a batch. It returns false if one is scheduled already. It schedules nothing
// beyond maxRepairs batches.
func (n *Node) scheduleRepair(id batchID, peer string, due, now int64) bool {
	if n.pendingRepair(id) != nil {
		return false
	}
	if len(n.repairs) < maxRepairs {
		n.repairs = append(n.repairs, pendingRepair{id: id, peer: peer, since: now, due: due})
	}
	return true
}

// scheduleAnnounced schedules a request for a batch that a peer announced. If the batch has been requested before,
// the next request goes to this peer.
func (n *Node) scheduleAnnounced(id batchID, peer string, due, now int64) {
	if n.scheduleRepair(id, peer, due, now) {
		return
	}
	if repair := n.pendingRepair(id); repair.attempts > 0 {
		repair.peer = peer
	}
}

func (n *Node) pendingRepair(id batchID) *pendingRepair {
	i := slices.IndexFunc(n.repairs, func(r pendingRepair) bool { return r.id == id })
	if i < 0 {
		return nil
	}
	return &n.repairs[i]
}

// requestRepairs sends the requests that are due and gives up batches whose last attempt failed.
func (n *Node) requestRepairs(now int64) {
	n.dropExhaustedRepairs(now)
	// All requests without a given peer go to one of these two, so that they share frames.
	randomPeers := [2]string{n.randomPeer(false), n.randomPeer(true)}
	jitter := n.rng.Int64N(repairJitter)
	requests := map[string][]batchID{}
	var peers []string // in the order of their first request
	for i := range n.repairs {
		repair := &n.repairs[i]
		if repair.due > now {
			continue
		}
		peer := repair.peer
		if peer == "" {
			peer = randomPeers[repair.attempts%2]
		}
		if ids := requests[peer]; len(ids) < maxRepairsPerFrame && peer != "" {
			if ids == nil {
				peers = append(peers, peer)
			}
			requests[peer] = append(ids, repair.id)
		}
		repair.due = now + repairTimeout[repair.attempts] + jitter
		repair.attempts++
		repair.peer = ""
	}
	for _, peer := range peers {
		n.stats.RepairRequests++
		n.send(peer, encodeRepairRequest(requests[peer]), now)
	}
}

// dropExhaustedRepairs gives up each batch whose last attempt failed, and with it the older missing batches of its
// origin. It also drops the repairs of batches that have arrived.
func (n *Node) dropExhaustedRepairs(now int64) {
	n.repairs = slices.DeleteFunc(n.repairs, func(r pendingRepair) bool {
		if r.due > now || r.attempts < maxRepairAttempts {
			return false
		}
		if o := n.origins[r.id.origin]; o != nil {
			n.giveUpBatches(o.slideTo(r.id.seq), now)
		}
		return true
	})
	n.repairs = slices.DeleteFunc(n.repairs, func(r pendingRepair) bool {
		o := n.origins[r.id.origin]
		return o == nil || o.has(r.id.seq)
	})
}

// handleRepairRequest sends the requested batches that are stored here, except those in transit to the peer.
func (n *Node) handleRepairRequest(from string, ids []batchID, now int64) {
	for _, id := range ids {
		stored := n.stored[id]
		if stored == nil {
			continue
		}
		isInTransit := from != stored.from && n.isNeighbour(from) && now-stored.at < inTransitTime
		if !isInTransit {
			n.resendBatch(from, stored, now)
		}
	}
}

// resendBatch sends a stored batch unless the rate debt is too large.
func (n *Node) resendBatch(to string, stored *storedBatch, now int64) {
	if n.credit(now) < -maxRepairDebtSeconds*n.settings.RateLimit {
		n.stats.RefusedRequests++
		return
	}
	n.stats.Repairs++
	n.send(to, stored.frame, now)
}

// store stores a batch for repair. Beyond maxStoredBatches, it drops the oldest one.
func (n *Node) store(id batchID, frame []byte, from string, now int64) {
	if n.stored[id] != nil {
		return
	}
	n.stored[id] = &storedBatch{frame, from, now}
	n.storedOrder = append(n.storedOrder, id)
	if len(n.storedOrder) > maxStoredBatches {
		n.dropOldestStored()
	}
}

func (n *Node) dropOldestStored() {
	delete(n.stored, n.storedOrder[0])
	n.storedOrder[0] = batchID{}
	n.storedOrder = n.storedOrder[1:]
}

// sweep drops expired batches, idle origins and expired purges.
func (n *Node) sweep(now int64) {
	for len(n.storedOrder) > 0 && now-n.stored[n.storedOrder[0]].at > batchLifetime {
		n.dropOldestStored()
	}
	n.dropIdleOrigins(now)
	n.kept.expire(n.horizon(now))
}
