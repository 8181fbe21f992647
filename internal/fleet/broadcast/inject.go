package broadcast

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Injection. All gateways' watches tell the same purges, so who says them waits by its place in the tree, and drops what others said
// meanwhile (suppression by timers, as in SRM): the root at once, the heads of regions after it one by one, then heads of zones, of sites,
// and all others. Who had to speak, because none before it did, goes on without waiting until another says the same before it does. Where
// two have said the same, which happens while a dead head parts the tree, the one further up goes on and the other waits again.
const (
	mostWaiting  = 4096
	injectRate   = 2500 // bytes a second of own batches
	injectBurst  = 8000
	mostShedDebt = 3 // seconds of the rate
)

// say is how long a purge of the own watch waits; at random up to spread more. Microseconds.
var say = [...]struct{ wait, spread int64 }{regionHead: {900_000, 50_000}, zoneHead: {1_400_000, 200_000}, siteHead: {1_600_000, 200_000},
	other: {1_800_000, 400_000}}

const (
	meekTime   = 1_500_000 // after a batch that others had said already nobody begins to speak
	regionTurn = 60_000    // between heads of regions
	mostTurns  = 9
)

// wait puts a purge that the own watch told first among those to be said.
func (n *Node) wait(p Purge, now int64) {
	if len(n.waiting) >= mostWaiting || p.Issued < n.reference(now)-n.set.Recent/1000 {
		n.stats.Unsaid++
		return
	}
	due := now + n.turnToSpeak()
	n.waiting[p] = due
	n.injectAt = min(n.injectAt, due)
}

// turnToSpeak is how long a purge waits here.
func (n *Node) turnToSpeak() int64 {
	t := n.tree.tier
	if t == root || n.lead {
		return n.set.Gather
	}
	wait := max(n.set.Gather, say[t].wait) + n.chance.Int64N(say[t].spread)
	if t == regionHead {
		wait += int64(min(n.tree.region-1, mostTurns)) * regionTurn
	}
	return wait
}

// yields tells whether another sayer is further up.
func (n *Node) yields(origin uint64, by tier) bool {
	return by < n.tree.tier || by == n.tree.tier && origin < n.me
}

// inject says what is due, and what nearly is.
func (n *Node) inject(now int64) {
	n.injects.fill(now, injectRate, injectBurst)
	var due []Purge
	for p, at := range n.waiting {
		if at <= now+n.set.Gather {
			due = append(due, p)
		}
	}
	byIssue(due)
	n.injectAt = now + n.set.Gather
	if !n.lead && n.tree.tier != root && (now < n.meekUntil || n.credit(now) < -n.set.Rate) {
		// So much is said twice that there are sayers enough. Without this, gateways that miss some of it would speak as well, and more would
		// miss some. They wait for their turn anew, or all would speak when it ends.
		n.injectAt = max(now, n.meekUntil) + n.turnToSpeak()
		for _, p := range due {
			n.waiting[p] = n.injectAt
		}
		n.stats.Held++
		return
	}
	if len(due) > 0 && n.seq > 0 && now-n.saidAt > originRest {
		n.me, n.seq = xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, n.me)), 0
	}
	for len(due) > 0 && n.injects.left > 0 {
		n.saidAt = now
		n.seq++
		id := batchID{n.me, n.seq}
		frame, took := writeBatch(id, n.tree.tier, due)
		for _, p := range due[:took] {
			delete(n.waiting, p)
			n.kept.tell(p, bySelf)
		}
		due = due[took:]
		n.injects.left -= int64(len(frame)+datagram) * 1_000_000
		n.stats.Batches++
		n.stats.Said += uint64(took)
		n.lead = true
		n.mark(id, "", now)
		n.store(id, frame, "", now)
		n.forward(frame, "", mostIssued, now)
	}
	if len(due) > 0 {
		return
	}
	n.injectAt = never
	for _, at := range n.waiting {
		n.injectAt = min(n.injectAt, at)
	}
}

// forward sends a batch along the edges but the one it came from.
func (n *Node) forward(frame []byte, from string, newest int64, now int64) {
	least := -mostShedDebt * n.set.Rate
	if newest < n.reference(now)-n.set.Recent/1000 {
		least = 0 // a backlog: what is new goes first, reconciliation has the rest
	}
	for _, to := range n.neighbours() {
		if to == from || n.silent(to, now) { // haves go to a silent one still, and tell it and this one when it is back
			continue
		}
		// Guards who seems a neighbour to many that have just started, whose lists lack each other: until it has said something it may not
		// know of the edge, and has its batches by its own ones. What it lacks it asks for by the have.
		if from != "" && !n.met[to] {
			continue
		}
		if n.credit(now) < least {
			n.stats.Shed++
			continue
		}
		n.send(to, frame, now)
	}
}

// takeBatch merges a batch and sends it on if it, or anything in it, is new here: a false batch under another's id keeps nothing back.
func (n *Node) takeBatch(from string, id batchID, by tier, purges []Purge, frame []byte, now int64) (heed []Purge) {
	n.stats.Copies++
	twice, also := 0, false
	news := id.origin != n.me && n.mark(id, from, now)
	for _, p := range purges {
		if _, waits := n.waiting[p]; waits {
			delete(n.waiting, p)
			if n.yields(id.origin, by) {
				n.lead = false
			}
		}
		switch n.keep(p, now) {
		case fresh:
			heed, also = append(heed, p), true
		case unknown:
			heed = append(heed, p)
		}
		if before := n.kept.tell(p, byBatch); before != byWatch && news {
			twice++
			if before == bySelf && n.yields(id.origin, by) {
				n.lead = false
			}
		}
	}
	if twice > len(purges)/2 {
		n.meekUntil = now + meekTime
	}
	if news = news || also; !news {
		n.stats.Again++
		return heed
	}
	frame = slices.Clone(frame)
	n.store(id, frame, from, now)
	n.forward(frame, from, purges[len(purges)-1].Issued, now)
	return heed
}
