// Package membership runs a gateway's part in its fleet. It feeds the gateway's view of the fleet (package view) from the failure
// detector (hashicorp/memberlist: SWIM with Lifeguard) and from the heartbeat evidence that gateways exchange on the detector's acks
// and gossip. It contacts the addresses that package rejoin chooses, saves the known members on disk and logs every change.
//
// The view is data; nothing here decides anything about lookups.
//
// Concurrency: Fleet.mu guards the view, the scheduler of contacts and the queue of log lines. It is never held over I/O or over a
// call of the detector, whose callbacks take it. The goroutine of Run owns the detector, writes the log and the disk and decides on
// contacts; a second goroutine makes the contact in flight, a third one makes the detector refute a suspicion, and a fourth one asks a
// member directly whether it runs.
//
// Bounds: those of the view; maxPendingLogLines queued log lines; one contact at a time, of at most joinTimeout; one verification at a
// time, of verifyPings pings; one write of the disk each saveInterval; the detector's queues, which hold one message a member.
package membership

import (
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/memberlist"

	"foldslip/internal/env"
	"foldslip/internal/fleet/rejoin"
	"foldslip/internal/fleet/transport"
	"foldslip/internal/fleet/view"
)

// ProtocolVersion is the version of what gateways send beside the detector's own messages: heartbeat frames and metadata. Gateways of
// another version are refused.
const ProtocolVersion = 1

const (
	maxPendingLogLines = 1024
	maxNameBytes       = 64

	stepInterval   = 100 * time.Millisecond
	pauseThreshold = 2 * time.Second // a step that comes so late shows that the process was stopped or starved
	joinTimeout    = 2 * time.Second
	leaveTimeout   = time.Second
	saveInterval   = 2 * time.Second

	// Heartbeat frames ride on gossip, at most one each heartbeatInterval/3, for minGossipAfterChange after a change of the view, or
	// until it has settled, up to maxGossipAfterChange.
	heartbeatInterval    = 180 * time.Millisecond
	minGossipAfterChange = 3 * time.Second
	maxGossipAfterChange = 30 * time.Second

	// refuteRequestKind is the only byte of the datagram that asks a gateway to refute a suspicion: its detector raises its incarnation,
	// and everyone who still holds an old suspicion drops it. However many ask, a gateway does so once each refuteInterval.
	refuteRequestKind = 4
	refuteInterval    = 2 * time.Second

	// Bounds of the histograms of a report, and their precision in decimal digits.
	maxRTTMicros       = 60_000_000
	maxSettleMillis    = 3_600_000
	histogramPrecision = 2
)

// Backoffs of package rejoin that no setting changes, in microseconds.
const (
	initialContactBackoff = 200_000
	maxContactBackoff     = 10_000_000
	initialNameBackoff    = 30_000_000
	maxNameBackoff        = 300_000_000

	maxRejoinIntervals      = 12 // the longest rejoin interval, as a multiple of the usual one
	evidenceMaxAgeIntervals = 30 // heartbeat evidence is passed on for so many probe intervals
	verifyAfterIntervals    = 2  // members unseen for so many probe intervals are verified while others are suspect
)

// Settings are a gateway's settings for its fleet. The detector's times are those of the SWIM paper's protocol period.
type Settings struct {
	Name      string        // unlike that of any other gateway of the fleet
	Listen    string        // IP and port
	Advertise string        // IP and port that the others use
	Label     string        // gateways of other labels are another fleet
	Locality  view.Locality // sent to the others where it is set; each name has at most MaxLocalityNameBytes
	Key       []byte        // for encryption, of 16, 24 or 32 bytes; empty: plain text

	Seeds    []string // addresses, IP and port
	SeedFile string   // one address a line, read again while members are sought

	MaxMembers      int // held in the view, this gateway included
	ExpectedMembers int // gateways that the operators say there are; 0: not known

	ProbeInterval  time.Duration
	ProbeTimeout   time.Duration
	GossipInterval time.Duration
	ReapAfter      time.Duration
	SettleAfter    time.Duration
	RejoinInterval time.Duration
}

// Dependencies are what a Fleet uses of its surroundings.
type Dependencies struct {
	Log *slog.Logger
	// Now is the machine's clock. Only the incarnation is made of it.
	Now      func() time.Time
	ReadFile func(path string) ([]byte, error)
	// Store keeps the known members over a restart; nil: they are forgotten. The Fleet closes it.
	Store *MemberStore
	// OpenTransport opens a transport for each start of the detector, which closes it.
	OpenTransport func() (memberlist.Transport, error)
	// OnChange, if not nil, is called with each change in order, under the Fleet's lock: it must not call the Fleet.
	OnChange        func(change view.Change, at time.Time)
	TransportCounts *transport.Counts
	// OnMessage, if not nil, gets the datagrams that other packages sent by Fleet.Send. It must not wait, nor keep the bytes.
	OnMessage func([]byte)
}

// wallClock is an environment whose clock may be off, as other machines see it.
type wallClock interface{ WallTime() time.Time }

var _ wallClock = (*env.System)(nil)

// FromEnvironment returns the dependencies that a process has of its environment; the caller sets the others.
func FromEnvironment(environment env.Environment) Dependencies {
	deps := Dependencies{Log: environment.Log(), Now: environment.Now, ReadFile: environment.ReadFile}
	if clock, ok := environment.(wallClock); ok {
		deps.Now = clock.WallTime
	}
	return deps
}

// Fleet is this gateway's membership of its fleet. Its methods may be called from any goroutine, Run once.
type Fleet struct {
	settings  Settings
	deps      Dependencies
	startedAt time.Time
	logQueued chan struct{} // log lines wait

	mu         sync.Mutex
	self       view.ID
	view       *view.View
	scheduler  *rejoin.Scheduler
	leaving    bool
	contacting bool
	verifying  bool       // a member is being asked whether it runs
	random     *rand.Rand // chooses whom
	claimant   claimant
	sender     *memberlist.Memberlist // the detector, for Send; nil while it doesn't run

	pendingLog       []logLine
	droppedLogLines  int
	conflictLoggedAt map[string]int64 // by name: when its refusal or conflict was last logged

	pendingDepartures map[string]pendingDeparture // by name; members of the view only

	heartbeatGossipedAt int64 // when a heartbeat frame last rode on gossip
	refuteRequested     bool  // a peer asked this gateway to refute a suspicion
	refutedAt           int64 // when it last did

	cachedPeers        rejoin.Peers // of the view at peersVersion
	cachedPeersVersion uint64

	counts      Counts
	rtt         *hdrhistogram.Histogram // of probes, in microseconds
	settleTimes *hdrhistogram.Histogram // in milliseconds

	// Owned by the goroutine of Run.
	detector        *memberlist.Memberlist // nil while it doesn't run
	detectorLog     detectorLog
	lastStepAt      int64
	savedVersion    uint64 // of the view
	savedAt         int64
	seeds           []string
	seedsReadAt     int64
	lastSeedProblem string // as logged last
}

// claimant is another process that claims this gateway's name.
type claimant struct {
	addr        string // "": there is none
	incarnation uint64
}

// New returns a Fleet that Run starts. The incarnation is made of the machine's clock and of random bits, so that two processes of one
// name differ even where clocks are wrong.
func New(settings Settings, deps Dependencies) (*Fleet, error) {
	var random [10]byte
	if _, err := crand.Read(random[:]); err != nil {
		return nil, fmt.Errorf("fleet: random bytes: %w", err)
	}
	incarnation := uint64(deps.Now().UnixMicro())<<12 | uint64(binary.LittleEndian.Uint16(random[:])&0xfff)
	f := &Fleet{
		settings:          settings,
		deps:              deps,
		startedAt:         time.Now(),
		logQueued:         make(chan struct{}, 1),
		self:              view.ID{Name: settings.Name, Addr: settings.Advertise, Incarnation: incarnation, Locality: settings.Locality},
		conflictLoggedAt:  map[string]int64{},
		pendingDepartures: map[string]pendingDeparture{},
		rtt:               hdrhistogram.New(1, maxRTTMicros, histogramPrecision),
		settleTimes:       hdrhistogram.New(1, maxSettleMillis, histogramPrecision),
	}
	now := f.now()
	f.lastStepAt = now
	f.view = view.New(f.self, f.viewSettings(), now)
	rng := rand.New(rand.NewPCG(binary.LittleEndian.Uint64(random[2:]), incarnation))
	f.random = rng
	f.scheduler = rejoin.New(f.rejoinSettings(), rng, now)
	f.loadKnownMembers(now)
	return f, nil
}

func (f *Fleet) viewSettings() view.Settings {
	return view.Settings{
		MaxMembers:      f.settings.MaxMembers,
		ExpectedMembers: f.settings.ExpectedMembers,
		ReapAfter:       f.settings.ReapAfter.Microseconds(),
		SettleAfter:     f.settings.SettleAfter.Microseconds(),
		EvidenceMaxAge:  evidenceMaxAgeIntervals * f.settings.ProbeInterval.Microseconds(),
		VerifyAfter:     verifyAfterIntervals * f.settings.ProbeInterval.Microseconds(),
	}
}

func (f *Fleet) rejoinSettings() rejoin.Settings {
	return rejoin.Settings{
		InitialBackoff:     initialContactBackoff,
		MaxBackoff:         maxContactBackoff,
		RejoinInterval:     f.settings.RejoinInterval.Microseconds(),
		MaxRejoinInterval:  maxRejoinIntervals * f.settings.RejoinInterval.Microseconds(),
		DifferInterval:     f.settings.SettleAfter.Microseconds(),
		InitialNameBackoff: initialNameBackoff,
		MaxNameBackoff:     maxNameBackoff,
	}
}

// now returns the microseconds since the Fleet was made, from 1 on.
func (f *Fleet) now() int64 { return time.Since(f.startedAt).Microseconds() + 1 }
