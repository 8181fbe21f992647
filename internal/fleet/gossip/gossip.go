// Package gossip exchanges the limits and the purges of a fleet between its gateways. It does the I/O for two packages
// that decide what is exchanged:
//
//   - Package fleet/limits shares the limits of the fleet. Its input is the demand for lookups at this gateway. Loan
//     requests and grants are sent as datagrams, and the resulting leases are applied where lookups are admitted.
//   - Package fleet/purgesync shares purges. Its input is the purges that this gateway's own discovery watch delivered.
//     Purges that peers received earlier are applied at this gateway.
//
// A Gossiper owns the ledger of limits, the replica of purges and a queue of received messages. One goroutine, Run,
// does all the work, and HandleMessage only queues a message. The queue holds at most maxQueuedMessages messages.
// Further messages are dropped and counted. Dropping a message can cost the use of a loan for its duration, but never
// causes a limit to be exceeded. A Gossiper lives as long as its gateway.
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

// LimitSettings are the settings of fleet limits, equal on all gateways. Times are in microseconds.
var LimitSettings = limits.Settings{LoanDuration: 4_000_000, MaxLentFraction: 0.8, RequestInterval: 250_000, MaxSettleWait: 15_000_000}

// PurgeSettings are the settings of the exchange of purges, equal on all gateways. Times are in microseconds.
var PurgeSettings = purgesync.Settings{DigestInterval: 500_000, KeepFor: 60_000_000}

// Fleet is the part of fleet membership that a Gossiper uses.
type Fleet interface {
	// Send sends a datagram to the member with the given name.
	Send(to string, b []byte) error
	// State returns the current state of the fleet.
	State() membership.State
	// LiveNames returns the names of all live members, including this gateway.
	LiveNames() []string
}

// Admission admits lookups within leases of fleet limits.
type Admission interface {
	// FleetLimits calls f for each limit of the fleet.
	FleetLimits(f func(name string, spec limit.Spec, usage limit.Usage))
	// ApplyLeases replaces the leases of the named limits.
	ApplyLeases(leases map[string]limit.Lease)
}

// Gossiper exchanges limits and purges for one gateway. Its methods are safe for concurrent use, except SetFleet.
type Gossiper struct {
	self      string
	fleet     Fleet
	admission Admission // nil if no limits are shared
	log       *slog.Logger
	startedAt time.Time
	wakeup    chan struct{} // signals queued messages

	mu              sync.Mutex
	queue           [][]byte
	droppedMessages uint64
	peerNames       map[uint64]string // names of live peers, by the key of the name

	ledger       *limits.Ledger
	demands      map[string]*demand
	limitNames   map[uint64]string // names of limits, by the key of the name
	hasFullQuota bool

	purges        *purgesync.Replica
	onPurges      func([]purgesync.Purge) // nil if no purges are exchanged with peers
	learnedPurges []purgesync.Purge       // purges of peers that are not applied yet
}

// New returns a Gossiper. If admission is nil, it shares no limits. If onPurges is nil, it exchanges no purges with
// peers; otherwise onPurges is called with the purges that peers received earlier than this gateway.
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

// SetFleet sets the fleet that the Gossiper sends to. It must be called before Run.
func (g *Gossiper) SetFleet(fleet Fleet) { g.fleet = fleet }

// now returns the microseconds since New, counted from 1 so that it is never 0.
func (g *Gossiper) now() int64 { return time.Since(g.startedAt).Microseconds() + 1 }

// HandleMessage queues a copy of a datagram received from a peer. If the queue is full or b is empty, it drops and
// counts the datagram.
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

// Run handles queued messages and makes a step every stepInterval until stop is closed.
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

// message is a frame to send to the peer with the given name.
type message struct {
	to    string
	frame []byte
}

func (g *Gossiper) send(messages []message) {
	for _, m := range messages {
		// An error is treated like the loss of the datagram, because requests and digests are repeated.
		g.fleet.Send(m.to, m.frame)
	}
}

// handleQueued handles all queued messages and returns the answers to send.
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

// step updates the peers, the limits and the demand from the current state of the fleet, and returns the messages that
// are due.
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
