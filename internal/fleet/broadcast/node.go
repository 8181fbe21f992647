package broadcast

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

const (
	never         = int64(1<<63 - 1)
	sweepInterval = 1_000_000 // microseconds
)

// Node holds the broadcast state of one gateway. It is not safe for concurrent use. In a gateway, a driver.Driver
// owns the node and calls it with its lock held.
type Node struct {
	settings         Settings
	self             Member
	rng              *rand.Rand
	tree             tree
	lastSeen         map[string]int64 // when a member near in the tree last sent a frame
	activeNeighbours map[string]bool  // neighbours that have sent a frame since they became neighbours
	grafts           []string         // members that are connected to bypass silent neighbours
	out              []Message
	stats            Stats

	kept     keptPurges
	newestAt int64 // when kept.newest last rose

	// Injection.
	originID        uint64          // ID of this gateway as an origin: a hash of its name and stamp, replaced after a rest
	lastSeq         uint64          // sequence number of the last own batch
	lastBatchAt     int64           // when the last own batch was sent
	waiting         map[Purge]int64 // purges of the own watch, with the time at which to inject each
	isInjecting     bool            // inject without waiting, until a preceding origin injects the same purges
	suppressedUntil int64           // this gateway does not start to inject before this time
	injectRate      tokenBucket
	injectAt        int64 // when inject is due

	// Repair.
	origins       map[uint64]*origin
	stored        map[batchID]*storedBatch
	storedOrder   []batchID // keys of stored, oldest first
	repairs       []pendingRepair
	missingSince  int64 // time since which a batch that was given up may be missing; 0: none
	lazyPushCount uint64
	lazyPushAt    int64

	// Reconciliation.
	session          *session // nil: none
	differingSeconds int      // seconds of issue time in which purges may be missing
	reconcileAt      int64
	answerTimeout    int64 // of the next request

	rate    tokenBucket
	sweepAt int64
}

// New returns a node without members. stamp must differ between starts of a process, because it identifies the
// batches that the process sends.
func New(settings Settings, self Member, stamp uint64, rng *rand.Rand, now int64) *Node {
	settings = settings.withDefaults()
	nameAndStamp := binary.LittleEndian.AppendUint64([]byte(self.Name), stamp)
	n := &Node{
		settings:         settings,
		self:             self,
		rng:              rng,
		lastSeen:         map[string]int64{},
		activeNeighbours: map[string]bool{},
		kept:             newKeptPurges(settings.MaxKept),
		originID:         xxhash.Sum64(nameAndStamp),
		waiting:          map[Purge]int64{},
		injectRate:       tokenBucket{tokens: injectBurstBytes * microsPerSecond, filledAt: now},
		injectAt:         never,
		origins:          map[uint64]*origin{},
		stored:           map[batchID]*storedBatch{},
		rate:             tokenBucket{tokens: settings.RateLimit * microsPerSecond, filledAt: now},
		answerTimeout:    minAnswerTimeout,
		sweepAt:          now + sweepInterval,
	}
	n.lazyPushAt = now + rng.Int64N(max(1, settings.LazyPushInterval))
	n.reconcileAt = now + rng.Int64N(max(1, settings.ReconcileInterval))
	n.tree.selfIndex = -1
	return n
}

// SetMembers sets the live members of the view, including this gateway, in any order. The node holds a sorted slice
// (see SortMembers) without copying it, so the caller must not modify the slice.
func (n *Node) SetMembers(members []Member, now int64) {
	if sameMembers(members, n.tree.members) {
		return
	}
	n.tree = buildTree(sortedMembers(members), n.self)
	n.grafts = n.grafts[:0]
	n.dropDistantPeers()
}

// RecordOwn records purges that the own discovery watch delivered. The caller applies them.
func (n *Node) RecordOwn(purges []Purge, now int64) {
	var unseen []Purge
	for _, p := range purges {
		switch {
		case !p.isPlausible():
			n.stats.ImplausiblePurges++
		case len(p.Object) > maxObjectNameBytes:
			n.stats.LongNames++
		case n.keep(p, now) != alreadyKept:
			unseen = append(unseen, p)
		}
	}
	// Queued only after all are kept, because the age of a purge is measured against the newest known issue.
	for _, p := range unseen {
		n.queueForBatch(p, now)
	}
}

// keepResult is the outcome of Node.keep.
type keepResult int

const (
	alreadyKept keepResult = iota // the purge was kept before
	newlyKept                     // the purge was added
	notKept                       // the purge cannot be kept, so it may have been received before
)

// keep adds a purge to the kept purges unless its issue time is too old or too far ahead of the clock.
func (n *Node) keep(p Purge, now int64) keepResult {
	if p.Issued/1000 < n.horizon(now) || p.Issued > n.maxKeptIssue(now) {
		n.stats.NotKept++
		return notKept
	}
	newest := n.kept.newest
	if !n.kept.add(p) {
		return alreadyKept
	}
	if n.kept.newest != newest {
		n.newestAt = now
	}
	return newlyKept
}

// HandleFrame handles a frame from a peer and returns the purges to apply, which are those that were not kept before.
// It keeps no reference to the frame. It returns ErrFrame if the frame is malformed.
func (n *Node) HandleFrame(from string, frame []byte, now int64) (learned []Purge, err error) {
	n.stats.FramesIn++
	n.stats.BytesIn += uint64(len(frame) + datagramOverhead)
	n.spend(len(frame)+datagramOverhead, now)
	if _, isNear := n.lastSeen[from]; isNear {
		n.lastSeen[from] = now
	}
	if n.isNeighbour(from) {
		n.activeNeighbours[from] = true
	}
	learned, err = n.dispatchFrame(from, frame, now)
	if err != nil {
		n.stats.UnreadableFrames++
	}
	n.stats.Learned += uint64(len(learned))
	return learned, err
}

// dispatchFrame decodes a frame and handles it if the whole frame is valid.
func (n *Node) dispatchFrame(from string, frame []byte, now int64) ([]Purge, error) {
	if len(frame) < frameHeaderSize || len(frame) > maxFrameBytes || frame[0] != Kind {
		return nil, ErrFrame
	}
	r := frameReader{rest: frame[frameHeaderSize:]}
	switch frame[1] {
	case frameBatch:
		batch := r.batch(frame)
		if r.isComplete() {
			return n.handleBatch(from, batch, now), nil
		}
	case frameLazyPush:
		announced := r.lazyPush()
		if r.isComplete() {
			n.handleLazyPush(from, announced, now)
			return nil, nil
		}
	case frameRepairRequest:
		ids := r.repairRequest()
		if r.isComplete() {
			n.handleRepairRequest(from, ids, now)
			return nil, nil
		}
	case frameSum:
		compared, sum := r.spanSum()
		if r.isComplete() {
			n.handleSum(from, compared, sum, now)
			return nil, nil
		}
	case frameSums:
		sums := r.sums()
		if r.isComplete() {
			n.handleSums(from, sums, now)
			return nil, nil
		}
	case frameSumsRequest:
		second := r.second()
		if r.isComplete() {
			n.handleSumsRequest(from, second/minute*minute, now)
			return nil, nil
		}
	case framePullRequest:
		request := r.pullRequest()
		if r.isComplete() {
			n.handlePullRequest(from, request, now)
			return nil, nil
		}
	case framePurges:
		answer := r.pulledPurges()
		if r.isComplete() {
			return n.handlePurges(from, answer, now), nil
		}
	}
	return nil, ErrFrame
}

// Step performs the work that is due.
func (n *Node) Step(now int64) {
	if now >= n.injectAt {
		n.inject(now)
	}
	if now >= n.lazyPushAt {
		n.lazyPushAt = now + n.settings.LazyPushInterval*7/8 + n.rng.Int64N(max(1, n.settings.LazyPushInterval/4))
		n.lazyPush(now)
	}
	n.requestRepairs(now)
	n.stepReconcile(now)
	if now >= n.sweepAt {
		n.sweepAt = now + sweepInterval
		n.sweep(now)
	}
}

// Next returns the time at which Step is due next.
func (n *Node) Next() int64 {
	next := min(n.injectAt, n.lazyPushAt, n.sweepAt)
	for _, repair := range n.repairs {
		next = min(next, repair.due)
	}
	if n.session == nil {
		return min(next, n.reconcileAt)
	}
	for _, request := range n.session.open {
		next = min(next, request.due)
	}
	return next // a session that waits for rate credit continues at the next lazy push
}

// TakeMessages returns the messages to send and clears them.
func (n *Node) TakeMessages() []Message {
	messages := n.out
	n.out = nil
	return messages
}

// randomPeer returns a random member other than this gateway. If ofSite is set, the member is from the own site,
// provided that the site has another one. It returns "" if there is no such member, or if this gateway is not a
// member.
func (n *Node) randomPeer(ofSite bool) string {
	from, to := 0, len(n.tree.members)
	if ofSite && n.tree.siteBounds[1]-n.tree.siteBounds[0] > 1 {
		from, to = n.tree.siteBounds[0], n.tree.siteBounds[1]
	}
	if n.tree.selfIndex < 0 || to-from < 2 {
		return ""
	}
	i := from + n.rng.IntN(to-from-1)
	if i >= n.tree.selfIndex {
		i++
	}
	return n.tree.members[i].Name
}
