package broadcast

// Lazy push. Every Settings.LazyPushInterval, a gateway announces which batches of recently active origins it has
// received. It sends the announcement to its neighbours in the tree and to a random member, alternately of its site
// and of the whole fleet. A peer requests the announced batches that it lacks. A neighbour also sends the batches
// that the announcing gateway should have received by now and has not announced.
const (
	maxPushedBatches = 4       // batches sent in answer to one announcement
	pushDelay        = 400_000 // microseconds from forwarding a batch until it is sent to a neighbour that still lacks it
)

// announcedDelay is how long a gateway waits, by its tier, before it requests a batch that a member announced. Heads
// of subtrees wait for a shorter time, so that the others receive the batch along the tree.
var announcedDelay = [...]delay{
	root:       {150_000, 50_000},
	regionHead: {200_000, 100_000},
	zoneHead:   {250_000, 100_000},
	siteHead:   {350_000, 150_000},
	siteMember: {500_000, 300_000},
}

// neighbourDelay is the delay for a batch that a neighbour announced. It exceeds the time that a batch may be in
// transit.
var neighbourDelay = delay{150_000, 100_000}

// lazyPush announces the received batches.
func (n *Node) lazyPush(now int64) {
	announced := n.recentProgress(now)
	frame := encodeLazyPush(announced)
	n.lazyPushCount++
	n.graft(now)
	// An empty announcement is sent too, because it shows that this gateway is alive. Neighbours other than the
	// parent receive every second announcement: they have more neighbours, and batches also show that this gateway is
	// alive.
	for _, to := range n.neighbours() {
		if to == n.tree.parent || n.lazyPushCount%2 == 0 {
			n.send(to, frame, now)
		}
	}
	ofSite := n.lazyPushCount%4 < 2
	if peer := n.randomPeer(ofSite); peer != "" && !n.isNeighbour(peer) && len(announced) > 0 {
		n.send(peer, frame, now)
	}
}

// recentProgress returns the progress of origins with a new batch within originAnnounceTime, as many as fit a frame.
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

// requestAnnounced schedules requests for the announced batches that this gateway has not received.
func (n *Node) requestAnnounced(from string, progress originProgress, o *origin, due, now int64) {
	highest := progress.highest()
	if highest > o.highest {
		o.highest = highest
		o.lastNewSeqAt = now
	}
	if highest > o.contiguous+receiveWindow { // too far behind: only the newest batches are requested
		n.giveUpBatches(o.slideTo(highest-receiveWindow), now)
	}
	for seq := o.contiguous + 1; seq <= highest; seq++ {
		if !o.has(seq) && progress.has(seq) {
			n.scheduleAnnounced(batchID{progress.origin, seq}, from, due, now)
		}
	}
}

// pushMissing sends a neighbour up to maxPushedBatches stored batches that it lacks and should have received by now.
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
