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
	maxWaiting            = 4096
	injectBytesPerSecond  = 2500 // bytes a second of own batches
	injectBurstBytes      = 8000
	maxForwardDebtSeconds = 3 // seconds of the rate
)

// say is how long a purge of the own watch waits; at random up to spread more. Microseconds.
var injectDelay = [...]struct{ wait, spread int64 }{regionHead: {900_000, 50_000}, zoneHead: {1_400_000, 200_000}, siteHead: {1_600_000, 200_000},
	other: {1_800_000, 400_000}}

const (
	suppressionTime   = 1_500_000 // after a batch that others had said already nobody begins to speak
	regionStagger     = 60_000    // between heads of regions
	maxRegionStaggers = 9
)

// queueForBatch puts a purge that the own watch told first among those to be said.
func (n *Node) queueForBatch(p Purge, now int64) {
	if len(n.waiting) >= maxWaiting || p.Issued < n.referenceTime(now)-n.settings.MaxBatchAge/1000 {
		n.stats.NotBatched++
		return
	}
	due := now + n.injectionDelay()
	n.waiting[p] = due
	n.injectAt = min(n.injectAt, due)
}

// injectionDelay is how long a purge waits here.
func (n *Node) injectionDelay() int64 {
	t := n.tree.tier
	if t == root || n.isInjecting {
		return n.settings.BatchDelay
	}
	wait := max(n.settings.BatchDelay, injectDelay[t].wait) + n.rng.Int64N(injectDelay[t].spread)
	if t == regionHead {
		wait += int64(min(n.tree.regionIndex-1, maxRegionStaggers)) * regionStagger
	}
	return wait
}

// defersTo tells whether another sayer is further up.
func (n *Node) defersTo(origin uint64, by tier) bool {
	return by < n.tree.tier || by == n.tree.tier && origin < n.originID
}

// inject says what is due, and what nearly is.
func (n *Node) inject(now int64) {
	n.injectRate.fill(now, injectBytesPerSecond, injectBurstBytes)
	var due []Purge
	for p, at := range n.waiting {
		if at <= now+n.settings.BatchDelay {
			due = append(due, p)
		}
	}
	sortByIssue(due)
	n.injectAt = now + n.settings.BatchDelay
	if !n.isInjecting && n.tree.tier != root && (now < n.suppressedUntil || n.credit(now) < -n.settings.RateLimit) {
		// So much is said twice that there are sayers enough. Without this, gateways that miss some of it would speak as well, and more would
		// miss some. They wait for their turn anew, or all would speak when it ends.
		n.injectAt = max(now, n.suppressedUntil) + n.injectionDelay()
		for _, p := range due {
			n.waiting[p] = n.injectAt
		}
		n.stats.HeldByRate++
		return
	}
	if len(due) > 0 && n.lastSeq > 0 && now-n.lastBatchAt > originResetAfter {
		n.originID, n.lastSeq = xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, n.originID)), 0
	}
	for len(due) > 0 && n.injectRate.tokens > 0 {
		n.lastBatchAt = now
		n.lastSeq++
		id := batchID{n.originID, n.lastSeq}
		frame, took := encodeBatch(id, n.tree.tier, due)
		for _, p := range due[:took] {
			delete(n.waiting, p)
			n.kept.setSpread(p, spreadBySelf)
		}
		due = due[took:]
		n.injectRate.tokens -= int64(len(frame)+datagramOverhead) * 1_000_000
		n.stats.BatchesSent++
		n.stats.PurgesSent += uint64(took)
		n.isInjecting = true
		n.recordBatch(id, "", now)
		n.store(id, frame, "", now)
		n.forward(frame, "", maxIssued, now)
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
	least := -maxForwardDebtSeconds * n.settings.RateLimit
	if newest < n.referenceTime(now)-n.settings.MaxBatchAge/1000 {
		least = 0 // a backlog: what is new goes first, reconciliation has the rest
	}
	for _, to := range n.neighbours() {
		if to == from || n.isSilent(to, now) { // haves go to a silent one still, and tell it and this one when it is back
			continue
		}
		// Guards who seems a neighbour to many that have just started, whose lists lack each other: until it has said something it may not
		// know of the edge, and has its batches by its own ones. What it lacks it asks for by the have.
		if from != "" && !n.activeNeighbours[to] {
			continue
		}
		if n.credit(now) < least {
			n.stats.Shed++
			continue
		}
		n.send(to, frame, now)
	}
}

// handleBatch merges a batch and sends it on if it, or anything in it, is new here: a false batch under another's id keeps nothing back.
func (n *Node) handleBatch(from string, id batchID, by tier, purges []Purge, frame []byte, now int64) (heed []Purge) {
	n.stats.BatchesReceived++
	twice, also := 0, false
	news := id.origin != n.originID && n.recordBatch(id, from, now)
	for _, p := range purges {
		if _, waits := n.waiting[p]; waits {
			delete(n.waiting, p)
			if n.defersTo(id.origin, by) {
				n.isInjecting = false
			}
		}
		switch n.keep(p, now) {
		case fresh:
			heed, also = append(heed, p), true
		case unknown:
			heed = append(heed, p)
		}
		if before := n.kept.setSpread(p, spreadByPeer); before != spreadByNobody && news {
			twice++
			if before == spreadBySelf && n.defersTo(id.origin, by) {
				n.isInjecting = false
			}
		}
	}
	if twice > len(purges)/2 {
		n.suppressedUntil = now + suppressionTime
	}
	if news = news || also; !news {
		n.stats.DuplicateBatches++
		return heed
	}
	frame = slices.Clone(frame)
	n.store(id, frame, from, now)
	n.forward(frame, from, purges[len(purges)-1].Issued, now)
	return heed
}
