// Package gossip carries what gateways of a fleet exchange beside membership: limits of the fleet (package fleet/limits decides: the
// demand of lookups here goes in, requests and grants travel as datagrams, leases are applied where lookups are admitted) and purges
// (package fleet/purgesync decides: what this gateway's own discovery watch brought goes in, what peers learned earlier is applied here).
//
// One goroutine, Run, does all the work; HandleMessage only queues. Bound: maxQueuedMessages messages wait; past them messages are dropped
// and counted, which costs the time of a loan and never exceeds a limit. A Gossiper lives as long as its gateway.
package gossip

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"foldslip/internal/fleet/limits"
	"foldslip/internal/fleet/membership"
	"foldslip/internal/fleet/purgesync"
	"foldslip/internal/limit"
)

const (
	maxQueuedMessages = 1024
	stepInterval      = 250 * time.Millisecond
)

// LimitSettings are the settings of limits on all gateways.
var LimitSettings = limits.Settings{LoanDuration: 4_000_000, MaxLentFraction: 0.8, RequestInterval: 250_000, MaxSettleWait: 15_000_000}

// PurgeSettings are the settings of purges on all gateways.
var PurgeSettings = purgesync.Settings{DigestInterval: 500_000, KeepFor: 60_000_000}

// Fleet is the part of fleet membership that a Gossiper uses.
type Fleet interface {
	// Send sends a datagram to a member.
	Send(to string, b []byte) error
	// State returns the present state of the fleet.
	State() membership.State
	// LiveNames returns the names of all live members, this gateway among them.
	LiveNames() []string
}

// Admission is where lookups are admitted.
type Admission interface {
	// FleetLimits calls f for each limit of the fleet.
	FleetLimits(f func(name string, spec limit.Spec, usage limit.Usage))
	// ApplyLeases puts leases in force, by name of the limit.
	ApplyLeases(leases map[string]limit.Lease)
}

// Gossiper exchanges limits and purges for one gateway. Its methods are safe for concurrent use, except SetFleet.
type Gossiper struct {
	self      string
	fleet     Fleet
	admission Admission // nil: no limit can be shared
	log       *slog.Logger
	startedAt time.Time
	wakeup    chan struct{} // messages are queued

	mu              sync.Mutex
	queue           [][]byte
	droppedMessages uint64
	peerNames       map[uint64]string // live peers, by key

	ledger       *limits.Ledger
	demands      map[string]*demand
	limitNames   map[uint64]string // by key
	hasFullQuota bool

	purges        *purgesync.Replica
	onPurges      func([]purgesync.Purge) // nil: purges of peers are not applied
	learnedPurges []purgesync.Purge       // to be applied
}

// New makes a Gossiper. A nil admission means that no limit can be shared, a nil onPurges that purges of peers are not applied.
func New(self string, admission Admission, onPurges func([]purgesync.Purge), log *slog.Logger, seed uint64) *Gossiper {
	g := &Gossiper{
		self:       self,
		admission:  admission,
		log:        log,
		startedAt:  time.Now(),
		wakeup:     make(chan struct{}, 1),
		demands:    map[string]*demand{},
		limitNames: map[uint64]string{},
		peerNames:  map[uint64]string{},
		onPurges:   onPurges,
	}
	g.purges = purgesync.New(PurgeSettings, rand.New(rand.NewPCG(seed, 0x707572676573)), g.now())
	g.ledger = limits.New(LimitSettings, rand.New(rand.NewPCG(seed, 0x6c696d697473)), g.now())
	return g
}

// SetFleet sets the fleet to send to. It must be called before Run.
func (g *Gossiper) SetFleet(fleet Fleet) { g.fleet = fleet }

// now is the time in microseconds since New, never 0.
func (g *Gossiper) now() int64 { return time.Since(g.startedAt).Microseconds() + 1 }

// HandleMessage queues a datagram of a peer; it keeps no reference to b.
func (g *Gossiper) HandleMessage(b []byte) {
	g.mu.Lock()
	if len(g.queue) >= maxQueuedMessages || len(b) == 0 {
		g.droppedMessages++
	} else {
		g.queue = append(g.queue, slices.Clone(b))
	}
	g.mu.Unlock()
	select {
	case g.wakeup <- struct{}{}:
	default:
	}
}

// Run does the work until stop is closed.
func (g *Gossiper) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-g.wakeup:
			g.send(g.handleQueued())
		case <-ticker.C:
			g.send(g.step())
		}
		if g.admission != nil {
			g.applyLeases()
		}
		g.applyLearnedPurges()
	}
}

// message is a frame to be sent to a peer.
type message struct {
	to    string
	frame []byte
}

func (g *Gossiper) send(messages []message) {
	for _, m := range messages {
		// One that cannot be sent is as good as lost: requests and digests are repeated.
		g.fleet.Send(m.to, m.frame)
	}
}

// handleQueued handles all queued messages and returns the answers.
func (g *Gossiper) handleQueued() (answers []message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	queue := g.queue
	g.queue = nil
	now := g.now()
	for _, b := range queue {
		if b[0] == purgesync.Kind {
			answers = append(answers, g.handlePurgeFrame(b, now)...)
		} else {
			answers = append(answers, g.handleLimitFrame(b, now)...)
		}
	}
	return answers
}

// step takes the present state of the fleet and of demands, and returns the messages that are due.
func (g *Gossiper) step() (messages []message) {
	state := g.fleet.State()
	live := g.fleet.LiveNames()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	peers := slices.DeleteFunc(live, func(name string) bool { return name == g.self })
	g.updatePeerNames(peers)
	messages = g.purgeDigests(peers, now)
	if g.admission == nil {
		return messages
	}
	g.updateLedger(state, now)
	return g.addLoanRequests(messages, peers, now)
}

func (g *Gossiper) updatePeerNames(peers []string) {
	clear(g.peerNames)
	for _, name := range peers {
		g.peerNames[limits.NameKey(name)] = name
	}
}
