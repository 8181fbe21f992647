// Package broadcast spreads purges among gateways: what one of them is told by its own discovery watch all hear within seconds, and what
// one missed, through a loss, a death or a cut, it gets later. It is pure: what the own watch told, frames of peers, the members of the
// view and whole microseconds go in; frames to send and purges to heed come out. docs/fleet-broadcast.md tells why it is so.
//
//   - Identity is content (Purge). Merging is a join: a purge heard is heard for good, from whomever, in whatever order; no number of any
//     watch is compared. A wrong or old word costs a refill.
//   - Batches (inject.go): purges of the own watch that no peer told meanwhile. They go along a tree (tree.go) that all compute alike from
//     the members, at most 3 children each, one copy an edge, sent on at once.
//   - Repair (repair.go): gaps in an origin's batches are asked for, and haves tell of batches where no gap does.
//   - Reconciliation (reconcile.go): sums of what is kept (keep.go) by issue time, then purges, newest first, within a rate.
//
// Bounds of a node: Settings.Most purges kept, some 31 bytes each, 16,384 of them with names that are
// no 16 hex digits; 256 minutes of issue time; 4,096 purges that wait to be said; 64 origins followed; 512 batches of 1,100 bytes kept 30 s;
// 256 batches wanted; one reconciliation under way, of 8,192 requests that wait; 8 edges for silent neighbours. The members are held, not copied, if they come sorted.
// A peer that lies can add purges (each a refill), crowd out kept ones (oldest first) and slow repair; it cannot keep a purge from being
// heeded that a frame or the own watch brings.
//
// Owner: its carrier, under its lock. Lifetime: the process.
package broadcast

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Locality is where a gateway stands.
type Locality struct {
	Region string `json:"Region"`
	Zone   string `json:"Zone"`
	Site   string `json:"Site"`
}

// Member is a live gateway of the view.
type Member struct {
	Name     string
	Locality Locality
}

// Purge is one; the whole value is its identity, and no number of any watch is.
type Purge struct {
	Object string // "": of a group
	Group  int64
	Issued int64 // Unix milliseconds, above 0 and below 1e14
}

// Message is a frame to send to a member, as a datagram of at most 1,100 bytes. Letters may share a frame: it is not to be written.
type Message struct {
	To    string
	Frame []byte
}

// Settings are times in whole microseconds, rates in bytes a second. What is 0 is as in Usual, but Unix.
type Settings struct {
	// Unix is the Unix time in milliseconds when now was 0; 0: not known, and the newest issue heard tells the time. It may be wrong: a clock
	// that is fast forgets nothing too early as long as purges come, a slow one keeps more (Most bounds it).
	StartUnixMillis   int64
	KeepFor           int64 // a purge is kept for so long from its issue
	MaxKept           int   // purges kept; the oldest seconds go first
	RateLimit         int64 // in and out together, UDP and IP included: repair keeps within it, and batches are sent on up to three seconds of debt
	BatchDelay        int64 // purges of the own watch wait so long for others, to go in one batch
	LazyPushInterval  int64 // between haves
	ReconcileInterval int64 // between passes, give or take a half
	// Recent bounds the age of what is said in batches: of what a gateway's watch tells at a start, all but the last are old news to the
	// others. An older purge is left to reconciliation.
	MaxBatchAge int64
}

// Usual are the settings for the whole fleet: 3,900 gateways and 100 purges a second. Keep is an hour's cut and half an hour to make up
// for it: what is older than that when its turn comes cannot be had of a peer any more.
var DefaultSettings = Settings{KeepFor: 5_400_000_000, MaxKept: 600_000, RateLimit: 9_000, BatchDelay: 200_000, LazyPushInterval: 300_000, ReconcileInterval: 3_000_000, MaxBatchAge: 5_000_000}

// Stats are counters since New, and what is at hand.
type Stats struct {
	Parent   string   `json:"Parent"`   // "": the root, or not in the list
	Children []string `json:"Children"` // at most 3
	Kept     int      `json:"Kept"`     // purges
	Waiting  int      `json:"Waiting"`  // purges of the own watch that may be said yet
	Behind   Behind   `json:"Behind"`

	Learned           uint64 `json:"Heeded"`     // purges that a peer told first
	Grafts            int    `json:"Grafts"`     // edges that stand for those of silent neighbours
	BatchesSent       uint64 `json:"Batches"`    // said by this gateway
	PurgesSent        uint64 `json:"Said"`       // purges in them
	BatchesReceived   uint64 `json:"Copies"`     // batches that came, again or not
	DuplicateBatches  uint64 `json:"Again"`      // of them those that had come before
	RepairRequests    uint64 `json:"Wants"`      // frames that asked for batches
	Repairs           uint64 `json:"Repairs"`    // batches sent again
	GivenUp           uint64 `json:"GivenUp"`    // batches left to reconciliation
	ReconcilePasses   uint64 `json:"Passes"`     // of reconciliation begun
	UnfinishedPasses  uint64 `json:"Unanswered"` // of them those that a peer did not answer to the end
	PurgesReceived    uint64 `json:"ItemsIn"`    // purges that reconciliation brought
	PurgesServed      uint64 `json:"ItemsOut"`   // and gave
	UnreadableFrames  uint64 `json:"Unreadable"` // frames
	ImplausiblePurges uint64 `json:"Wrong"`      // purges of the own watch whose issue cannot be
	LongNames         uint64 `json:"Long"`       // purges with names of more than 255 bytes: not told, they wait for the own watch
	HeldByRate        uint64 `json:"Held"`       // times that batches waited for the rate
	NotBatched        uint64 `json:"Unsaid"`     // purges that found no room to wait or are not recent: left to reconciliation
	NotKept           uint64 `json:"Unkept"`     // purges that were too old or far ahead of the clock to keep
	Dropped           uint64 `json:"Dropped"`    // kept ones that went for want of room
	Shed              uint64 `json:"Shed"`       // copies of batches not sent on: out of the rate
	RefusedRequests   uint64 `json:"Refused"`    // questions of peers not answered: out of the rate
	FramesIn          uint64 `json:"FramesIn"`
	FramesOut         uint64 `json:"FramesOut"`
	BytesIn           uint64 `json:"BytesIn"` // UDP and IP included
	BytesOut          uint64 `json:"BytesOut"`
}

// Behind tells what this gateway knows that it lacks; its own watch remains the authority, and nothing is refused for it.
type Behind struct {
	MissingBatches   int   `json:"Batches"` // heard of and not had
	DifferingSeconds int   `json:"Seconds"` // of issue time that may lack something, by the peer asked last
	Since            int64 `json:"Since"`   // of now, of the oldest; 0: not behind. A batch given up counts until a pass of reconciliation ends
}

// Node is one gateway's. No lock: its owner is its carrier.
type Node struct {
	settings         Settings
	self             Member
	rng              *rand.Rand
	originID         uint64 // as an origin: of the name and the stamp, so another at each start; and another after a rest
	lastSeq          uint64 // of the last batch
	lastBatchAt      int64  // its time
	tree             tree
	lastSeen         map[string]int64 // when, of those near in the tree
	activeNeighbours map[string]bool  // neighbours that said something since they are
	grafts           []string
	out              []Message
	stats            Stats

	kept            keptPurges
	waiting         map[Purge]int64 // own, not yet said: when to
	isInjecting     bool            // this gateway said the last ones, and nobody else did
	suppressedUntil int64           // until then nobody begins to speak here: there are sayers enough
	newestAt        int64           // when the newest issue so far was heard

	origins     map[uint64]*origin
	stored      map[batchID]*storedBatch
	storedOrder []batchID // by time
	repairs     []pendingRepair

	session          *session
	differingSeconds int   // seconds that may lack something
	missingSince     int64 // since when a batch given up may be lacking; 0: none

	rate          tokenBucket
	injectRate    tokenBucket
	lazyPushCount uint64
	injectAt      int64
	lazyPushAt    int64
	sweepAt       int64

	reconcileAt int64
}

const never = int64(1<<63 - 1)

// New makes a node; stamp differs at each start of a process.
func New(set Settings, self Member, stamp uint64, chance *rand.Rand, now int64) *Node {
	set.KeepFor, set.MaxKept, set.RateLimit = cmp.Or(set.KeepFor, DefaultSettings.KeepFor), cmp.Or(set.MaxKept, DefaultSettings.MaxKept), cmp.Or(set.RateLimit, DefaultSettings.RateLimit)
	set.BatchDelay, set.LazyPushInterval = cmp.Or(set.BatchDelay, DefaultSettings.BatchDelay), cmp.Or(set.LazyPushInterval, DefaultSettings.LazyPushInterval)
	set.ReconcileInterval, set.MaxBatchAge = cmp.Or(set.ReconcileInterval, DefaultSettings.ReconcileInterval), cmp.Or(set.MaxBatchAge, DefaultSettings.MaxBatchAge)
	b := binary.LittleEndian.AppendUint64([]byte(self.Name), stamp)
	n := &Node{settings: set, self: self, rng: chance, originID: xxhash.Sum64(b), kept: newKeptPurges(set.MaxKept), waiting: map[Purge]int64{},
		origins: map[uint64]*origin{}, lastSeen: map[string]int64{}, activeNeighbours: map[string]bool{}, stored: map[batchID]*storedBatch{}, injectAt: never, sweepAt: now + sweepInterval,
		rate: tokenBucket{tokens: set.RateLimit * 1_000_000, filledAt: now}, injectRate: tokenBucket{tokens: injectBurstBytes * 1_000_000, filledAt: now}}
	n.lazyPushAt = now + chance.Int64N(max(1, set.LazyPushInterval))
	n.reconcileAt = now + chance.Int64N(max(1, set.ReconcileInterval))
	n.tree.selfIndex = -1
	return n
}

const sweepInterval = 1_000_000

// tokenBucket is a token bucket in millionths of bytes; it may go into debt.
type tokenBucket struct{ tokens, filledAt int64 }

func (b *tokenBucket) fill(now, rate, most int64) {
	if d := now - b.filledAt; d > 0 {
		b.tokens = min(most*1_000_000, b.tokens+min(d, 3600_000_000)*rate)
		b.filledAt = now
	}
}

// credit is what of the rate is left, in bytes; below 0: debt.
func (n *Node) credit(now int64) int64 {
	n.rate.fill(now, n.settings.RateLimit, n.settings.RateLimit)
	return n.rate.tokens / 1_000_000
}

func (n *Node) spend(bytes int, now int64) {
	n.credit(now)
	n.rate.tokens = max(-10*n.settings.RateLimit*1_000_000, n.rate.tokens-int64(bytes)*1_000_000)
}

func (n *Node) send(to string, frame []byte, now int64) {
	n.out = append(n.out, Message{to, frame})
	n.stats.FramesOut++
	n.stats.BytesOut += uint64(len(frame) + datagramOverhead)
	n.spend(len(frame)+datagramOverhead, now)
}

// SetMembers takes the live members by the view, self included, in any order. The slice is the node's to read from then on, until the next
// call: a sorted one (SortMembers) is held and not copied.
func (n *Node) SetMembers(members []Member, now int64) {
	if sameMembers(members, n.tree.members) {
		return
	}
	n.tree = buildTree(sortedMembers(members), n.self)
	n.grafts = n.grafts[:0]
	n.forgetDistant()
}

// RecordOwn takes what the own discovery watch told.
func (n *Node) RecordOwn(purges []Purge, now int64) {
	var news []Purge
	for _, p := range purges {
		switch {
		case !plausible(p):
			n.stats.ImplausiblePurges++
		case len(p.Object) > maxObjectNameBytes:
			n.stats.LongNames++
		case n.keep(p, now) != known:
			news = append(news, p)
		}
	}
	for _, p := range news { // when the newest is known
		n.queueForBatch(p, now)
	}
}

type novelty int

const (
	known   novelty = iota // kept before
	fresh                  // kept now
	unknown                // not kept: it may have been heard before
)

// keep keeps a purge if it can.
func (n *Node) keep(p Purge, now int64) novelty {
	if p.Issued/1000 < n.horizon(now) || p.Issued > n.maxKeptIssue(now) {
		n.stats.NotKept++
		return unknown
	}
	newest := n.kept.newest
	if n.kept.add(p) {
		if n.kept.newest != newest {
			n.newestAt = now
		}
		return fresh
	}
	return known
}

// HandleFrame takes a frame of a peer, which is the caller's again after it, and returns what was not known here; an error is an unreadable
// frame, counted.
func (n *Node) HandleFrame(from string, frame []byte, now int64) (heed []Purge, err error) {
	n.stats.FramesIn++
	n.stats.BytesIn += uint64(len(frame) + datagramOverhead)
	n.spend(len(frame)+datagramOverhead, now)
	if _, near := n.lastSeen[from]; near {
		n.lastSeen[from] = now
	}
	if n.isNeighbour(from) {
		n.activeNeighbours[from] = true
	}
	if heed, err = n.dispatchFrame(from, frame, now); err != nil {
		n.stats.UnreadableFrames++
	}
	n.stats.Learned += uint64(len(heed))
	return heed, err
}

func (n *Node) dispatchFrame(from string, frame []byte, now int64) ([]Purge, error) {
	if len(frame) < 2 || len(frame) > maxFrameBytes || frame[0] != Kind {
		return nil, errFrame
	}
	r := frameReader{rest: frame[2:]}
	switch frame[1] {
	case frameBatch:
		id, by, purges := r.batchID(), r.tier(), r.purges()
		if err := r.done(); err != nil {
			return nil, err
		}
		return n.handleBatch(from, id, by, purges, frame, now), nil
	case frameLazyPush:
		all := r.lazyPush()
		if err := r.done(); err != nil {
			return nil, err
		}
		n.handleLazyPush(from, all, now)
	case frameRepairRequest:
		ids := r.repairRequest()
		if err := r.done(); err != nil {
			return nil, err
		}
		n.handleRepairRequest(from, ids, now)
	case frameSum:
		s := span{int64(r.uvarint(maxSeconds)), int64(r.uvarint(maxSeconds))}
		of := r.sum()
		if err := r.done(); err != nil {
			return nil, err
		}
		n.handleSum(from, s, of, now)
	case frameSums:
		s := r.sums()
		if err := r.done(); err != nil {
			return nil, err
		}
		n.handleSums(from, s, now)
	case frameSumsRequest:
		first := int64(r.uvarint(maxSeconds))
		if err := r.done(); err != nil {
			return nil, err
		}
		n.handleSumsRequest(from, first/minute*minute, now)
	case framePullRequest:
		p := r.pullRequest()
		if err := r.done(); err != nil {
			return nil, err
		}
		n.handlePullRequest(from, p, now)
	case framePurges:
		of, whole := r.pullHead(), r.uvarint(1) == 1
		purges := r.purges()
		if err := r.done(); err != nil {
			return nil, err
		}
		return n.handlePurges(from, of, whole, purges, now), nil
	default:
		return nil, errFrame
	}
	return nil, nil
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
	for _, w := range n.repairs {
		next = min(next, w.due)
	}
	if n.session == nil {
		return min(next, n.reconcileAt)
	}
	for _, r := range n.session.open {
		next = min(next, r.due)
	}
	return next // a session that waits for its rate goes on with the haves
}

// TakeMessages drains what is to be sent.
func (n *Node) TakeMessages() []Message {
	out := n.out
	n.out = nil
	return out
}

// Stats gives the counters.
func (n *Node) Stats() Stats {
	s := n.stats
	s.Parent, s.Children = n.tree.parent, n.tree.children
	s.Grafts = len(n.grafts)
	s.Kept, s.Waiting, s.Dropped = n.kept.count, len(n.waiting), n.kept.dropped
	s.Behind = Behind{MissingBatches: len(n.repairs), DifferingSeconds: n.differingSeconds, Since: n.missingSince}
	for _, w := range n.repairs {
		if s.Behind.Since == 0 || w.since < s.Behind.Since {
			s.Behind.Since = w.since
		}
	}
	return s
}

// randomPeer is a random member but this one; of the own site if asked and there is another. "": there is none.
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
