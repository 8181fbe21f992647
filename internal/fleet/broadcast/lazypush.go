package broadcast

// Lazy push. Every Settings.LazyPushInterval a gateway announces which batches it has received of recent origins: to its neighbours in
// the tree, in turn to a member of its site and to any member. A peer requests what it misses, and is pushed what it should have had.
const (
	maxPushedBatches = 4       // that are pushed in answer to one announcement
	pushDelay        = 400_000 // microseconds after a batch was forwarded, for a neighbour that still lacks it
)

// announcedDelay is how long a batch that a member announced waits before it is requested, by tier: heads of a subtree first, so that the
// others get it along the tree.
var announcedDelay = [...]delay{
	root:       {150_000, 50_000},
	regionHead: {200_000, 100_000},
	zoneHead:   {250_000, 100_000},
	siteHead:   {350_000, 150_000},
	other:      {500_000, 300_000},
}

// neighbourDelay is the same for a batch that a neighbour announced: longer than a batch on its way may take.
var neighbourDelay = delay{150_000, 100_000}

// lazyPush announces what was received.
func (n *Node) lazyPush(now int64) {
	announced := n.recentProgress(now)
	frame := encodeLazyPush(announced)
	n.lazyPushCount++
	n.graft(now)
	for _, to := range n.neighbours() { // also with nothing to announce: it is a sign of life
		if to == n.tree.parent || n.lazyPushCount%2 == 0 { // the others have more neighbours, and batches are signs of life too
			n.send(to, frame, now)
		}
	}
	ofSite := n.lazyPushCount%4 < 2
	if peer := n.randomPeer(ofSite); peer != "" && !n.isNeighbour(peer) && len(announced) > 0 {
		n.send(peer, frame, now)
	}
}

// recentProgress is the progress of origins with recent news, as many as fit a frame.
func (n *Node) recentProgress(now int64) []originProgress {
	recent := make([]originProgress, 0, maxOriginsPerFrame)
	for _, id := range n.sortedOrigins() {
		if o := n.origins[id]; now-o.lastNewSeqAt <= originAnnounceTime && len(recent) < maxOriginsPerFrame {
			recent = append(recent, o.progress(id))
		}
	}
	return recent
}

func (n *Node) handleLazyPush(from string, announced []originProgress, now int64) {
	isNeighbour := n.isNeighbour(from)
	wait := announcedDelay[n.tree.tier]
	if isNeighbour {
		wait = neighbourDelay
	}
	due := now + wait.wait + n.rng.Int64N(wait.jitter)
	for _, progress := range announced {
		highest := progress.highest()
		if highest == 0 || highest > maxSeq {
			continue
		}
		if progress.origin == n.originID && n.origins[n.originID] == nil {
			continue
		}
		o := n.follow(progress.origin, highest, now)
		if progress.origin != n.originID && (o.highest == 0 || highest <= o.highest+maxSeqJump) {
			n.requestAnnounced(from, progress, o, due, now)
		}
		if isNeighbour {
			n.pushMissing(from, progress, o, now)
		}
	}
}

// requestAnnounced schedules requests for the batches that a peer has received and this gateway has not.
func (n *Node) requestAnnounced(from string, progress originProgress, o *origin, due, now int64) {
	highest := progress.highest()
	if highest > o.highest {
		o.highest = highest
		o.lastNewSeqAt = now
	}
	if highest > o.contiguous+receiveWindow { // so far behind that only the newest are requested
		n.giveUpBatches(o.slideTo(highest-receiveWindow), now)
	}
	for seq := o.contiguous + 1; seq <= highest; seq++ {
		if !o.has(seq) && progress.has(seq) {
			n.scheduleAnnounced(batchID{progress.origin, seq}, from, due, now)
		}
	}
}

// pushMissing sends a neighbour batches that it should have received by now.
func (n *Node) pushMissing(to string, progress originProgress, o *origin, now int64) {
	first := max(progress.contiguous+1, o.highest-min(o.highest, receiveWindow))
	last := min(o.highest, progress.contiguous+receiveWindow)
	pushed := 0
	for seq := first; seq <= last && pushed < maxPushedBatches; seq++ {
		stored := n.stored[batchID{progress.origin, seq}]
		if stored == nil || progress.has(seq) || now-stored.at < pushDelay {
			continue
		}
		n.resendBatch(to, stored, now)
		pushed++
	}
}
