package broadcast

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Injection sends the purges of the own watch along the tree. The watches of all gateways deliver the same purges, so
// each gateway first waits for a delay that depends on its place in the tree, and drops the purges that others inject
// in the meantime (suppression by timers, as in SRM). The root injects at once, then the heads of regions one by one,
// then the heads of zones, the heads of sites, and all others. A gateway that had to inject because no gateway before
// it did continues without waiting, until another one injects the same purges first. Two gateways may inject the same
// purges while a dead head splits the tree. Then the one further up continues, and the other waits again.
const (
	maxWaiting            = 4096 // purges that wait for injection
	injectBytesPerSecond  = 2500 // rate of own batches
	injectBurstBytes      = 8000
	maxForwardDebtSeconds = 3 // debt in seconds of the rate limit, beyond which batches are not forwarded
	// After a batch of which most purges had been broadcast before, a gateway does not start to inject for this many
	// microseconds.
	suppressionTime   = 1_500_000
	regionStagger     = 60_000 // microseconds between the delays of successive heads of regions
	maxRegionStaggers = 9      // staggers that are added to a delay
)

// delay is a waiting time in microseconds, to which a random time below jitter is added.
type delay struct{ wait, jitter int64 }

// injectDelay is how long a purge of the own watch waits for injection, by the tier of the gateway. The root waits
// for Settings.BatchDelay instead.
var injectDelay = [...]delay{
	regionHead: {900_000, 50_000},
	zoneHead:   {1_400_000, 200_000},
	siteHead:   {1_600_000, 200_000},
	siteMember: {1_800_000, 400_000},
}

// queueForBatch queues for injection a purge that the own watch delivered first. It leaves the purge to
// reconciliation if too many purges wait or the purge is too old.
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

// injectionDelay returns how long a purge waits here for injection.
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

// defersTo reports whether another origin takes precedence over this gateway: its tier is higher up in the tree, or
// its tier is the same and its ID is lower.
func (n *Node) defersTo(origin uint64, originTier tier) bool {
	return originTier < n.tree.tier || originTier == n.tree.tier && origin < n.originID
}

// inject injects the waiting purges that are due now or within Settings.BatchDelay.
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
		return // the rest waits for injectRate
	}
	n.injectAt = never
	for _, at := range n.waiting {
		n.injectAt = min(n.injectAt, at)
	}
}

// dueForInjection returns the waiting purges that are due within Settings.BatchDelay, sorted by issue.
func (n *Node) dueForInjection(now int64) (due []Purge) {
	for p, at := range n.waiting {
		if at <= now+n.settings.BatchDelay {
			due = append(due, p)
		}
	}
	sortByIssue(due)
	return due
}

// isSuppressed reports whether this gateway must not start to inject. It is suppressed after a batch of mostly
// duplicates, which shows that enough gateways inject, and in a large rate debt. Without suppression, gateways that
// miss some purges would inject as well, and then more gateways would miss some.
func (n *Node) isSuppressed(now int64) bool {
	if n.isInjecting || n.tree.tier == root {
		return false
	}
	return now < n.suppressedUntil || n.credit(now) < -n.settings.RateLimit
}

// postponeInjection draws a new delay for the due purges. Without a new delay, all gateways would inject at the end
// of the suppression.
func (n *Node) postponeInjection(due []Purge, now int64) {
	n.injectAt = max(now, n.suppressedUntil) + n.injectionDelay()
	for _, p := range due {
		n.waiting[p] = n.injectAt
	}
	n.stats.InjectionsPostponed++
}

// resetOrigin gives this gateway a new origin ID after a rest, so that no gateway requests old batches that none
// stores any more.
func (n *Node) resetOrigin() {
	n.originID = xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, n.originID))
	n.lastSeq = 0
}

// injectBatch sends as many of the first purges as fit a batch and returns their number.
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

// forward sends a batch along all edges except the one that it came from. newestIssued is the issue time of the
// batch's last purge.
func (n *Node) forward(frame []byte, from string, newestIssued int64, now int64) {
	minCredit := -maxForwardDebtSeconds * n.settings.RateLimit
	if n.isTooOldForBatch(newestIssued, now) {
		minCredit = 0 // the batch is part of a backlog: new purges go first, and reconciliation delivers the rest
	}
	for _, to := range n.neighbours() {
		// A silent neighbour still receives lazy pushes, which show when it is back.
		if to == from || n.isSilent(to, now) {
			continue
		}
		// A gateway that has just started may be a neighbour in the trees of many gateways, if their members lack
		// each other. Until it has sent a frame to this gateway, it may not know of this edge. It then receives
		// batches along its own edges, and requests those that it lacks in response to lazy pushes.
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

// handleBatch merges a batch and forwards it if the batch, or a purge in it, is new here. Because of the second
// condition, a false batch under another origin's ID cannot block the true one.
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

// dropWaiting removes a purge from those that wait for injection, because another origin has injected it.
func (n *Node) dropWaiting(p Purge, b batch) {
	if _, isWaiting := n.waiting[p]; !isWaiting {
		return
	}
	delete(n.waiting, p)
	if n.defersTo(b.id.origin, b.originTier) {
		n.isInjecting = false
	}
}
