package broadcast

import (
	"maps"
	"slices"
)

// Repair of batches. A gap in an origin's sequence is asked of the one it was seen from; haves tell of batches to those that no gap tells
// (the last before a rest, a subtree whose parent died). What was repaired goes along the tree as new.
const (
	receiveWindow        = 24 // sequences after the contiguous ones, some 5 s of them; more are left to reconciliation
	maxSeqJump           = 1024
	repairHistory        = 24         // batches before the first that is heard of are asked for: some 5 s
	maxOrigins           = 4096       // followed; the idlest goes
	maxRepairs           = 256        // batches asked for
	maxStoredBatches     = 512        // kept for repair, 1,100 bytes each at most
	maxRepairAttempts    = 6          // then reconciliation has it
	maxPushedBatches     = 4          // batches pushed on one have
	batchLifetime        = 30_000_000 // a batch is kept for repair
	originLifetime       = 30_000_000 // an origin is followed after its last batch
	originResetAfter     = 15_000_000 // after it an origin begins anew: nobody is to ask for batches that nobody keeps
	originAnnounceTime   = 5_000_000  // and told in haves
	gapDelay             = 60_000     // before a gap is asked: what was sent later may come earlier
	gapSpread            = 40_000
	crossingTime         = 200_000 // a want that comes so soon after the batch was sent crossed it
	pushDelay            = 400_000 // what a child lacks so long after it was sent it is sent again
	maxRepairDebtSeconds = 2       // seconds of the rate: after reconciliation has stopped, and before batches are sent on no more
)

// againWait is how long a want waits for its batch: at first twice the longest way there and back, then more. With 5% lost one try in ten
// fails.
var repairTimeout = [maxRepairAttempts]int64{400_000, 400_000, 600_000, 800_000, 1_200_000, 2_000_000}

const repairJitter = 100_000

// newsWait is before what a have told is asked for: heads of a subtree first, so that the others get it along the tree.
var newsDelay = [...]struct{ wait, spread int64 }{root: {150_000, 50_000}, regionHead: {200_000, 100_000}, zoneHead: {250_000, 100_000},
	siteHead: {350_000, 150_000}, other: {500_000, 300_000}}

// origin is what is had of one gateway's batches.
type origin struct {
	top        uint64 // all up to it were had, or given up
	received   uint64 // bit i: top+1+i was had
	highest    uint64 // the highest heard of
	lastNewsAt int64  // time of the last
}

func (o *origin) has(seq uint64) bool {
	return seq <= o.top || seq <= o.top+receiveWindow && o.received>>(seq-o.top-1)&1 == 1
}

// slide moves over what was had; gone are those passed over.
func (o *origin) slide(least uint64) (gone int) {
	for o.top < least || o.received&1 == 1 {
		if o.received&1 == 0 {
			gone++
		}
		o.top, o.received = o.top+1, o.received>>1
	}
	return gone
}

// add notes one as had; gone are older ones that fell out of the window.
func (o *origin) add(seq uint64) (gone int) {
	o.highest = max(o.highest, seq)
	if o.has(seq) {
		return 0
	}
	if seq > o.top+receiveWindow {
		gone = o.slide(seq - receiveWindow)
	}
	if seq > o.top {
		o.received |= 1 << (seq - o.top - 1)
	}
	return gone + o.slide(0)
}

// newsBeside is for news of a neighbour in the tree: longer than a batch that is on its way may take.
var neighbourNewsDelay = struct{ wait, spread int64 }{150_000, 100_000}

type storedBatch struct {
	frame []byte
	from  string // "": of this gateway
	at    int64  // had, and sent on
}

type pendingRepair struct {
	id       batchID
	peer     string
	since    int64
	due      int64
	attempts int
}

// follow gives the state of an origin; a new one is followed from before a sequence on.
func (n *Node) follow(id uint64, seq uint64, now int64) *origin {
	o := n.origins[id]
	if o == nil {
		o = &origin{top: seq - min(seq, repairHistory)}
		if len(n.origins) >= maxOrigins {
			n.dropOrigin(n.idlest())
		}
		o.lastNewsAt = now
		n.origins[id] = o
	}
	return o
}

func (n *Node) idlest() (id uint64) {
	least := int64(1<<63 - 1)
	for other, o := range n.origins {
		if o.lastNewsAt < least || o.lastNewsAt == least && other < id {
			least, id = o.lastNewsAt, other
		}
	}
	return id
}

func (n *Node) dropOrigin(id uint64) {
	delete(n.origins, id)
	n.repairs = slices.DeleteFunc(n.repairs, func(w pendingRepair) bool { return w.id.origin == id })
}

// recordBatch notes a batch as had and asks for gaps before it.
func (n *Node) recordBatch(id batchID, from string, now int64) (fresh bool) {
	o := n.follow(id.origin, id.seq, now)
	if o.has(id.seq) || id.seq > o.highest+maxSeqJump && o.highest > 0 {
		return false
	}
	o.lastNewsAt = now
	n.giveUpBatches(o.add(id.seq), now)
	n.repairs = slices.DeleteFunc(n.repairs, func(w pendingRepair) bool {
		return w.id == id || w.id.origin == id.origin && w.id.seq <= o.top
	})
	due := now + gapDelay + n.rng.Int64N(gapSpread) // all in one frame
	for seq := o.top + 1; seq < id.seq; seq++ {
		if !o.has(seq) {
			n.scheduleRepair(batchID{id.origin, seq}, from, false, due, now)
		}
	}
	return true
}

// giveUpBatches counts batches that reconciliation must bring.
func (n *Node) giveUpBatches(batches int, now int64) {
	if batches > 0 {
		n.stats.GivenUp += uint64(batches)
		if n.missingSince == 0 {
			n.missingSince = now
		}
	}
}

// scheduleRepair asks for a batch later; a peer that says it has one wanted already is the next to be asked.
func (n *Node) scheduleRepair(id batchID, peer string, says bool, due, now int64) {
	i := slices.IndexFunc(n.repairs, func(w pendingRepair) bool { return w.id == id })
	if i < 0 && len(n.repairs) < maxRepairs {
		n.repairs = append(n.repairs, pendingRepair{id: id, peer: peer, since: now, due: due})
	} else if i >= 0 && says && n.repairs[i].attempts > 0 {
		n.repairs[i].peer = peer
	}
}

func (n *Node) requestRepairs(now int64) {
	ask := map[string][]batchID{}
	var order []string
	n.repairs = slices.DeleteFunc(n.repairs, func(w pendingRepair) bool {
		if w.due > now || w.attempts < maxRepairAttempts {
			return false
		}
		if o := n.origins[w.id.origin]; o != nil { // the older ones of the origin are as hopeless
			n.giveUpBatches(o.slide(w.id.seq), now)
		}
		return true
	})
	n.repairs = slices.DeleteFunc(n.repairs, func(w pendingRepair) bool {
		o := n.origins[w.id.origin]
		return o == nil || o.has(w.id.seq)
	})
	others := [2]string{n.randomPeer(false), n.randomPeer(true)} // all that is asked again goes to one, in one frame
	spread := n.rng.Int64N(repairJitter)
	for i := range n.repairs {
		w := &n.repairs[i]
		if w.due > now {
			continue
		}
		if w.peer == "" {
			w.peer = others[w.attempts%2]
		}
		if ids := ask[w.peer]; len(ids) < maxRepairsPerFrame && w.peer != "" {
			if ids == nil {
				order = append(order, w.peer)
			}
			ask[w.peer] = append(ids, w.id)
		}
		w.due = now + repairTimeout[w.attempts] + spread
		w.attempts++
		w.peer = ""
	}
	for _, peer := range order {
		n.stats.RepairRequests++
		n.send(peer, encodeRepairRequest(ask[peer]), now)
	}
}

func (n *Node) handleRepairRequest(from string, ids []batchID, now int64) {
	for _, id := range ids {
		if s := n.stored[id]; s != nil {
			if from != s.from && n.isNeighbour(from) && now-s.at < crossingTime {
				continue
			}
			n.resendBatch(from, s, now)
		}
	}
}

// resendBatch sends a batch again, if the debt is not too deep.
func (n *Node) resendBatch(to string, s *storedBatch, now int64) {
	if n.credit(now) < -maxRepairDebtSeconds*n.settings.RateLimit {
		n.stats.RefusedRequests++
		return
	}
	n.stats.Repairs++
	n.send(to, s.frame, now)
}

// lazyPush tells the neighbours in the tree, and in turn one of the site and any one, what is had.
func (n *Node) lazyPush(now int64) {
	all := make([]originProgress, 0, maxOriginsPerFrame)
	for _, id := range sortedKeys(n.origins) {
		if o := n.origins[id]; now-o.lastNewsAt <= originAnnounceTime && len(all) < maxOriginsPerFrame {
			all = append(all, originProgress{id, o.top, o.received})
		}
	}
	n.lazyPushCount++
	frame := encodeLazyPush(all)
	n.graft(now)
	for _, to := range n.neighbours() { // also with nothing to tell: it is a sign of life
		if to == n.tree.parent || n.lazyPushCount%2 == 0 { // the others have more of them, and batches are signs too
			n.send(to, frame, now)
		}
	}
	if other := n.randomPeer(n.lazyPushCount%4 < 2); other != "" && !n.isNeighbour(other) && len(all) > 0 {
		n.send(other, frame, now)
	}
}

func (n *Node) handleLazyPush(from string, all []originProgress, now int64) {
	beside := n.isNeighbour(from)
	wait := newsDelay[n.tree.tier]
	if beside {
		wait = neighbourNewsDelay
	}
	due := now + wait.wait + n.rng.Int64N(wait.spread)
	for _, h := range all {
		its := origin{top: h.top, received: h.after}
		top := h.top
		for i := range uint64(receiveWindow) {
			if h.after>>i&1 == 1 {
				top = h.top + 1 + i
			}
		}
		if top == 0 || top > maxSeq {
			continue
		}
		if h.origin == n.originID && n.origins[n.originID] == nil {
			continue
		}
		o := n.follow(h.origin, top, now)
		if h.origin != n.originID && (o.highest == 0 || top <= o.highest+maxSeqJump) {
			if top > o.highest {
				o.highest, o.lastNewsAt = top, now
			}
			if top > o.top+receiveWindow { // so far behind: the newest of them
				n.giveUpBatches(o.slide(top-receiveWindow), now)
			}
			for seq := o.top + 1; seq <= top; seq++ {
				if !o.has(seq) && its.has(seq) {
					n.scheduleRepair(batchID{h.origin, seq}, from, true, due, now)
				}
			}
		}
		if !beside {
			continue
		}
		pushed := 0
		for seq := max(h.top+1, o.highest-min(o.highest, receiveWindow)); seq <= min(o.highest, h.top+receiveWindow) && pushed < maxPushedBatches; seq++ {
			if s := n.stored[batchID{h.origin, seq}]; s != nil && !its.has(seq) && now-s.at >= pushDelay {
				n.resendBatch(from, s, now)
				pushed++
			}
		}
	}
}

// store keeps a batch for repair.
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

// sweep ends what is over.
func (n *Node) sweep(now int64) {
	for len(n.storedOrder) > 0 && now-n.stored[n.storedOrder[0]].at > batchLifetime {
		n.dropOldestStored()
	}
	for _, id := range sortedKeys(n.origins) {
		if o := n.origins[id]; now-o.lastNewsAt > originLifetime && id != n.originID {
			n.dropOrigin(id)
		}
	}
	n.kept.expire(n.horizon(now))
}

func sortedKeys(m map[uint64]*origin) []uint64 { return slices.Sorted(maps.Keys(m)) }
