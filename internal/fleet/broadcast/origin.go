package broadcast

import (
	"maps"
	"slices"
)

const (
	receiveWindow      = 24         // sequence numbers after contiguous, some 5 s; older gaps are left to reconciliation
	maxSeqJump         = 1024       // how far a sequence number may exceed the highest known one of its origin
	repairHistory      = 24         // sequence numbers before the first known one of an origin that are requested, some 5 s
	maxOrigins         = 4096       // beyond it, the origin that is idle for longest is dropped
	originLifetime     = 30_000_000 // microseconds after its last new sequence number for which an origin is tracked
	originResetAfter   = 15_000_000 // microseconds without an own batch after which a gateway takes a new origin ID
	originAnnounceTime = 5_000_000  // microseconds after its last new sequence number for which an origin is announced
)

// origin tracks which batches of one origin have been received.
type origin struct {
	contiguous   uint64 // all batches up to this sequence number were received or given up
	received     uint64 // bit i: batch contiguous+1+i was received
	highest      uint64 // highest sequence number that is known to exist
	lastNewSeqAt int64  // when a sequence number was last new
}

// progress returns the state of an origin as lazy push announces it.
func (o *origin) progress(id uint64) originProgress {
	return originProgress{id, o.contiguous, o.received}
}

func (o *origin) has(seq uint64) bool { return o.progress(0).has(seq) }

// slideTo advances contiguous to at least seq, and further past received batches. It returns the number of missing
// batches that it passed over.
func (o *origin) slideTo(seq uint64) (givenUp int) {
	for o.contiguous < seq || o.received&1 == 1 {
		if o.received&1 == 0 {
			givenUp++
		}
		o.contiguous++
		o.received >>= 1
	}
	return givenUp
}

// add records a batch as received and returns the number of older missing batches that fell out of the window.
func (o *origin) add(seq uint64) (givenUp int) {
	o.highest = max(o.highest, seq)
	if o.has(seq) {
		return 0
	}
	if seq > o.contiguous+receiveWindow {
		givenUp = o.slideTo(seq - receiveWindow)
	}
	if seq > o.contiguous {
		o.received |= 1 << (seq - o.contiguous - 1)
	}
	return givenUp + o.slideTo(0)
}

// follow returns the state of an origin. A new origin is tracked from repairHistory sequence numbers before seq.
func (n *Node) follow(id uint64, seq uint64, now int64) *origin {
	if o := n.origins[id]; o != nil {
		return o
	}
	if len(n.origins) >= maxOrigins {
		n.dropOrigin(n.idlestOrigin())
	}
	o := &origin{contiguous: seq - min(seq, repairHistory), lastNewSeqAt: now}
	n.origins[id] = o
	return o
}

// idlestOrigin returns the origin that has had no new sequence number for longest. Of several such origins, it
// returns the one with the lowest ID.
func (n *Node) idlestOrigin() (idlest uint64) {
	oldest := never
	for id, o := range n.origins {
		if o.lastNewSeqAt < oldest || o.lastNewSeqAt == oldest && id < idlest {
			oldest = o.lastNewSeqAt
			idlest = id
		}
	}
	return idlest
}

func (n *Node) dropOrigin(id uint64) {
	delete(n.origins, id)
	n.repairs = slices.DeleteFunc(n.repairs, func(r pendingRepair) bool { return r.id.origin == id })
}

// dropIdleOrigins drops origins that have been idle for longer than originLifetime, except this gateway.
func (n *Node) dropIdleOrigins(now int64) {
	for _, id := range n.sortedOrigins() {
		if now-n.origins[id].lastNewSeqAt > originLifetime && id != n.originID {
			n.dropOrigin(id)
		}
	}
}

func (n *Node) sortedOrigins() []uint64 { return slices.Sorted(maps.Keys(n.origins)) }
