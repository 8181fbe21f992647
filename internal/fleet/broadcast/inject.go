package broadcast

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Injection. The watches of all gateways bring the same purges, so each gateway waits by its place in the tree before it injects them, and
// drops what others injected meanwhile (suppression by timers, as in SRM): the root at once, the heads of regions after it one by one, then
// heads of zones, of sites, and all others. A gateway that had to inject, because none before it did, goes on without waiting until another
// injects the same purges first. Where two inject the same, which happens while a dead head parts the tree, the one further up goes on and
// the other waits again.
const (
	maxWaiting            = 4096
	injectBytesPerSecond  = 2500 // of own batches
	injectBurstBytes      = 8000
	maxForwardDebtSeconds = 3         // of the rate limit, past which batches are not forwarded
	suppressionTime       = 1_500_000 // microseconds after a batch that others had injected already, in which nobody begins to inject
	regionStagger         = 60_000    // microseconds between heads of regions
	maxRegionStaggers     = 9
)

// delay is a time to wait, at random up to spread longer, in microseconds.
type delay struct{ wait, jitter int64 }

// injectDelay is how long a purge of the own watch waits, by tier. The root waits for Settings.BatchDelay.
var injectDelay = [...]delay{
	regionHead: {900_000, 50_000},
	zoneHead:   {1_400_000, 200_000},
	siteHead:   {1_600_000, 200_000},
	other:      {1_800_000, 400_000},
}

// queueForBatch lets a purge that the own watch brought first wait for injection.
func (n *Node) queueForBatch(p Purge, now int64) {
	if len(n.waiting) >= maxWaiting || n.isTooOldForBatch(p.Issued, now) {
		n.stats.NotBatched++
		return
	}
	due := now + n.injectionDelay()
	n.waiting[p] = due
	n.injectAt = min(n.injectAt, due)
}

func (n *Node) isTooOldForBatch(issued, now int64) bool {
	return issued < n.referenceTime(now)-n.settings.MaxBatchAge/1000
}

// injectionDelay is how long a purge waits here for injection.
func (n *Node) injectionDelay() int64 {
	tier := n.tree.tier
	if tier == root || n.isInjecting {
		return n.settings.BatchDelay
	}
	wait := max(n.settings.BatchDelay, injectDelay[tier].wait) + n.rng.Int64N(injectDelay[tier].jitter)
	if tier == regionHead {
		wait += int64(min(n.tree.regionIndex-1, maxRegionStaggers)) * regionStagger
	}
	return wait
}

// defersTo reports whether another origin that injects is further up in the tree.
func (n *Node) defersTo(origin uint64, originTier tier) bool {
	return originTier < n.tree.tier || originTier == n.tree.tier && origin < n.originID
}

// inject injects what is due, and what nearly is.
func (n *Node) inject(now int64) {
	n.injectRate.fill(now, injectBytesPerSecond, injectBurstBytes)
	due := n.dueForInjection(now)
	n.injectAt = now + n.settings.BatchDelay
	if n.isSuppressed(now) {
		n.postponeInjection(due, now)
		return
	}
	if len(due) > 0 && n.lastSeq > 0 && now-n.lastBatchAt > originResetAfter {
		n.resetOrigin()
	}
	for len(due) > 0 && n.injectRate.tokens > 0 {
		injected := n.injectBatch(due, now)
		due = due[injected:]
	}
	if len(due) > 0 {
		return // the rest waits for the rate
	}
	n.injectAt = never
	for _, at := range n.waiting {
		n.injectAt = min(n.injectAt, at)
	}
}

// dueForInjection returns the waiting purges that are due within Settings.BatchDelay, by issue.
func (n *Node) dueForInjection(now int64) (due []Purge) {
	for p, at := range n.waiting {
		if at <= now+n.settings.BatchDelay {
			due = append(due, p)
		}
	}
	sortByIssue(due)
	return due
}

// isSuppressed reports whether this gateway must not begin to inject: so many purges come twice that enough gateways inject. Without this,
// gateways that miss some of them would inject as well, and more would miss some.
func (n *Node) isSuppressed(now int64) bool {
	if n.isInjecting || n.tree.tier == root {
		return false
	}
	return now < n.suppressedUntil || n.credit(now) < -n.settings.RateLimit
}

// postponeInjection draws a new delay for purges: if they kept theirs, all gateways would inject when the suppression ends.
func (n *Node) postponeInjection(due []Purge, now int64) {
	n.injectAt = max(now, n.suppressedUntil) + n.injectionDelay()
	for _, p := range due {
		n.waiting[p] = n.injectAt
	}
	n.stats.InjectionsPostponed++
}

// resetOrigin makes this gateway another origin, after a rest: nobody is to request batches that nobody keeps any more.
func (n *Node) resetOrigin() {
	n.originID = xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, n.originID))
	n.lastSeq = 0
}

// injectBatch sends as many of the first purges as fit a batch, and returns how many.
func (n *Node) injectBatch(due []Purge, now int64) (injected int) {
	n.lastBatchAt = now
	n.lastSeq++
	id := batchID{n.originID, n.lastSeq}
	frame, injected := encodeBatch(id, n.tree.tier, due)
	for _, p := range due[:injected] {
		delete(n.waiting, p)
		n.kept.raiseSpread(p, spreadBySelf)
	}
	n.injectRate.tokens -= int64(len(frame)+datagramOverhead) * microsPerSecond
	n.stats.BatchesSent++
	n.stats.PurgesSent += uint64(injected)
	n.isInjecting = true
	n.recordBatch(id, "", now)
	n.store(id, frame, "", now)
	n.forward(frame, "", maxIssued, now)
	return injected
}

// forward sends a batch along all edges except the one that it came from. newestIssued is that of its last purge.
func (n *Node) forward(frame []byte, from string, newestIssued int64, now int64) {
	minCredit := -maxForwardDebtSeconds * n.settings.RateLimit
	if n.isTooOldForBatch(newestIssued, now) {
		minCredit = 0 // a backlog: new purges go first, reconciliation brings the rest
	}
	for _, to := range n.neighbours() {
		if to == from || n.isSilent(to, now) { // lazy pushes still go to a silent neighbour, and tell when it is back
			continue
		}
		// A gateway that has just started may be taken for a neighbour by many, whose members lack each other. Until it has sent something it
		// may not know of the edge, and gets its batches along its own edges; what it lacks it requests by lazy pushes.
		if from != "" && !n.activeNeighbours[to] {
			continue
		}
		if n.credit(now) < minCredit {
			n.stats.Shed++
			continue
		}
		n.send(to, frame, now)
	}
}

// handleBatch merges a batch and forwards it if it, or a purge in it, is new here: so a false batch under another's id cannot hold the true
// one back.
func (n *Node) handleBatch(from string, b batch, now int64) (learned []Purge) {
	n.stats.BatchesReceived++
	isNewBatch := b.id.origin != n.originID && n.recordBatch(b.id, from, now)
	hasNewPurge := false
	duplicates := 0
	for _, p := range b.purges {
		n.dropWaiting(p, b)
		switch n.keep(p, now) {
		case newlyKept:
			learned = append(learned, p)
			hasNewPurge = true
		case notKept:
			learned = append(learned, p)
		}
		before := n.kept.raiseSpread(p, spreadByPeer)
		if before == spreadByNone || !isNewBatch {
			continue
		}
		duplicates++
		if before == spreadBySelf && n.defersTo(b.id.origin, b.originTier) {
			n.isInjecting = false
		}
	}
	if duplicates > len(b.purges)/2 {
		n.suppressedUntil = now + suppressionTime
	}
	if !isNewBatch && !hasNewPurge {
		n.stats.DuplicateBatches++
		return learned
	}
	frame := slices.Clone(b.frame)
	n.store(b.id, frame, from, now)
	n.forward(frame, from, b.purges[len(b.purges)-1].Issued, now)
	return learned
}

// dropWaiting drops a purge from those that wait for injection, as another origin injected it.
func (n *Node) dropWaiting(p Purge, b batch) {
	if _, isWaiting := n.waiting[p]; !isWaiting {
		return
	}
	delete(n.waiting, p)
	if n.defersTo(b.id.origin, b.originTier) {
		n.isInjecting = false
	}
}
