package broadcast

import (
	"maps"
	"slices"
)

const (
	receiveWindow      = 24         // sequences after the contiguous ones, some 5 s of them; older gaps are left to reconciliation
	maxSeqJump         = 1024       // past the highest sequence known of an origin
	repairHistory      = 24         // sequences before the first that is known of an origin, which are requested: some 5 s
	maxOrigins         = 4096       // past them the one idle for longest goes
	originLifetime     = 30_000_000 // microseconds after its last news for which an origin is followed
	originResetAfter   = 15_000_000 // microseconds of rest after which a gateway becomes another origin
	originAnnounceTime = 5_000_000  // microseconds after its last news for which an origin is announced by lazy push
)

// origin is what was received of one gateway's batches.
type origin struct {
	contiguous   uint64 // all batches up to it were received, or given up
	received     uint64 // bit i: the batch contiguous+1+i was received
	highest      uint64 // highest sequence that is known to exist
	lastNewSeqAt int64  // when a sequence was last new
}

// progress is what lazy push says of an origin.
func (o *origin) progress(id uint64) originProgress {
	return originProgress{id, o.contiguous, o.received}
}

func (o *origin) has(seq uint64) bool { return o.progress(0).has(seq) }

// slideTo moves the window on to a sequence at least, and past what was received; it returns how many batches were passed over.
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

// add records a batch as received, and returns how many older ones fell out of the window.
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

// follow returns the state of an origin; a new one is followed from some sequences before one on.
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

// idlestOrigin is the origin without news for longest, the lowest id of several.
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

// dropIdleOrigins drops origins past originLifetime, other than this gateway.
func (n *Node) dropIdleOrigins(now int64) {
	for _, id := range n.sortedOrigins() {
		if now-n.origins[id].lastNewSeqAt > originLifetime && id != n.originID {
			n.dropOrigin(id)
		}
	}
}

func (n *Node) sortedOrigins() []uint64 { return slices.Sorted(maps.Keys(n.origins)) }
