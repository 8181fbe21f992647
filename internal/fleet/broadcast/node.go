package broadcast

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

const (
	never         = int64(1<<63 - 1)
	sweepInterval = 1_000_000
)

// Node is the broadcast of one gateway. It is not safe for concurrent use; its owner is a driver.Driver, under its lock.
type Node struct {
	settings         Settings
	self             Member
	rng              *rand.Rand
	tree             tree
	lastSeen         map[string]int64 // when a member near in the tree last sent something
	activeNeighbours map[string]bool  // neighbours that have sent something since they are neighbours
	grafts           []string         // members that bypass silent neighbours
	out              []Message
	stats            Stats

	kept     keptPurges
	newestAt int64 // when the newest issue that is known became known

	// Injection.
	originID        uint64          // of this gateway as an origin: of its name and stamp, another one after a rest
	lastSeq         uint64          // of the last own batch
	lastBatchAt     int64           // time of the last own batch
	waiting         map[Purge]int64 // purges of the own watch, and when to inject them
	isInjecting     bool            // this gateway injected the last ones, and no peer did
	suppressedUntil int64           // until then this gateway does not begin to inject
	injectRate      tokenBucket
	injectAt        int64

	// Repair.
	origins       map[uint64]*origin
	stored        map[batchID]*storedBatch
	storedOrder   []batchID // of stored, the oldest first
	repairs       []pendingRepair
	missingSince  int64 // since when a batch that was given up may be missing; 0: none
	lazyPushCount uint64
	lazyPushAt    int64

	// Reconciliation.
	session          *session // nil: none
	differingSeconds int      // seconds of issue time that may lack purges
	reconcileAt      int64

	rate    tokenBucket
	sweepAt int64
}

// New makes a node without members. stamp must differ at each start of a process.
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
		sweepAt:          now + sweepInterval,
	}
	n.lazyPushAt = now + rng.Int64N(max(1, settings.LazyPushInterval))
	n.reconcileAt = now + rng.Int64N(max(1, settings.ReconcileInterval))
	n.tree.selfIndex = -1
	return n
}

// SetMembers takes the live members of the view, this gateway included, in any order. The slice is the node's to read until the next call:
// a sorted one (SortMembers) is held and not copied.
func (n *Node) SetMembers(members []Member, now int64) {
	if sameMembers(members, n.tree.members) {
		return
	}
	n.tree = buildTree(sortedMembers(members), n.self)
	n.grafts = n.grafts[:0]
	n.dropDistantPeers()
}

// RecordOwn takes purges that the own discovery watch brought. The caller applies them.
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
	for _, p := range unseen { // only now: their age depends on the newest of them
		n.queueForBatch(p, now)
	}
}

// keepResult is whether a purge was known before.
type keepResult int

const (
	alreadyKept keepResult = iota // kept before
	newlyKept                     // kept now
	notKept                       // cannot be kept: it may have come before
)

// keep keeps a purge if it can be kept.
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

// HandleFrame takes a frame of a peer, keeps no reference to it, and returns the purges that are to be applied because they were not known.
// The error is ErrFrame for a frame that cannot be read.
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

// dispatchFrame reads a frame and handles it, if all of it can be read.
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

// Step does what is due.
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

// Next is when Step is due.
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
	return next // a session that waits for the rate goes on with the next lazy push
}

// TakeMessages returns the messages that are to be sent, and forgets them.
func (n *Node) TakeMessages() []Message {
	messages := n.out
	n.out = nil
	return messages
}

// randomPeer is a random member other than this gateway, of its own site if asked for and there is one; "" where there is none.
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
