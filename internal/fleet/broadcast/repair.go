package broadcast

import "slices"

// Repair of batches. A gap in an origin's sequence is requested of the peer that it was seen from; lazy push tells of batches that no gap
// shows (the last before a rest, those of a subtree whose parent died). A batch that was repaired goes along the tree like a new one.
const (
	maxRepairs           = 256        // batches that are requested
	maxRepairAttempts    = 6          // then a batch is left to reconciliation
	maxRepairDebtSeconds = 2          // of the rate limit: after reconciliation has stopped, and before batches are no longer forwarded
	maxStoredBatches     = 512        // kept for repair
	batchLifetime        = 30_000_000 // microseconds for which a batch is kept for repair
	gapDelay             = 60_000     // microseconds before a gap is requested: a batch sent later may arrive earlier
	gapJitter            = 40_000
	inTransitTime        = 200_000 // microseconds after a batch was forwarded to a neighbour: a request that comes sooner crossed it
	repairJitter         = 100_000
)

// repairTimeout is how long a request waits for its batch, by attempt, in microseconds: at first twice the longest round trip, then more.
// With 5% of datagrams lost one attempt in ten fails.
var repairTimeout = [maxRepairAttempts]int64{400_000, 400_000, 600_000, 800_000, 1_200_000, 2_000_000}

// pendingRepair is a batch that is missing.
type pendingRepair struct {
	id       batchID
	peer     string // to be asked next; "": a random one
	since    int64
	due      int64
	attempts int
}

// storedBatch is a batch that is kept for repair.
type storedBatch struct {
	frame []byte
	from  string // "": this gateway
	at    int64  // when it was received and forwarded
}

// recordBatch records a batch as received and schedules the repair of gaps before it; it reports whether the batch is new.
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
	due := now + gapDelay + n.rng.Int64N(gapJitter) // all gaps in one frame
	for seq := o.contiguous + 1; seq < id.seq; seq++ {
		if !o.has(seq) {
			n.scheduleRepair(batchID{id.origin, seq}, from, due, now)
		}
	}
	return true
}

// giveUpBatches counts batches that are left to reconciliation.
func (n *Node) giveUpBatches(batches int, now int64) {
	if batches == 0 {
		return
	}
	n.stats.GivenUp += uint64(batches)
	if n.missingSince == 0 {
		n.missingSince = now
	}
}

// scheduleRepair schedules a request for a batch; it reports false for one that is scheduled already.
func (n *Node) scheduleRepair(id batchID, peer string, due, now int64) bool {
	if n.pendingRepair(id) != nil {
		return false
	}
	if len(n.repairs) < maxRepairs {
		n.repairs = append(n.repairs, pendingRepair{id: id, peer: peer, since: now, due: due})
	}
	return true
}

// scheduleAnnounced schedules a request for a batch that a peer announced. Where it was requested of others before, this peer is next.
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

// requestRepairs sends the requests that are due, and gives up batches after their last attempt.
func (n *Node) requestRepairs(now int64) {
	n.dropExhaustedRepairs(now)
	randomPeers := [2]string{n.randomPeer(false), n.randomPeer(true)} // all repeated requests go to one peer, in one frame
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

// dropExhaustedRepairs gives up batches whose last attempt failed, and with them the older ones of their origin, and drops repairs of
// batches that have arrived.
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

// handleRepairRequest sends the requested batches that are stored, except those that are on their way to a neighbour.
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

// resendBatch sends a stored batch, unless the rate forbids it.
func (n *Node) resendBatch(to string, stored *storedBatch, now int64) {
	if n.credit(now) < -maxRepairDebtSeconds*n.settings.RateLimit {
		n.stats.RefusedRequests++
		return
	}
	n.stats.Repairs++
	n.send(to, stored.frame, now)
}

// store keeps a batch for repair; past maxStoredBatches the oldest goes.
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

// sweep drops what has expired.
func (n *Node) sweep(now int64) {
	for len(n.storedOrder) > 0 && now-n.stored[n.storedOrder[0]].at > batchLifetime {
		n.dropOldestStored()
	}
	n.dropIdleOrigins(now)
	n.kept.expire(n.horizon(now))
}
