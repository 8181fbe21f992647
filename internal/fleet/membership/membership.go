// Package membership makes a gateway a member of its fleet. It maintains the gateway's view of the fleet (package
// view) from the reports of the failure detector (hashicorp/memberlist, which implements SWIM with Lifeguard) and
// from the heartbeat evidence that gateways exchange on the detector's acks and gossip. It contacts the addresses
// that package rejoin chooses, saves the known members on disk and logs every change of the view.
//
// The view is information only. This package makes no decisions about lookups.
//
// Concurrency: Fleet.mu guards the view, the contact scheduler and the queue of log lines. It
// is never held during I/O or during a call into the detector, because the detector's callbacks
// acquire it. The goroutine of Run owns the detector, writes the log and the stored members,
// and decides on contacts. A second goroutine makes the contact in flight, a third one makes
// the detector refute a suspicion, and a fourth one verifies a member by pinging it directly.
//
// Bounds: the bounds of the view apply. At most maxPendingLogLines log lines are queued. One contact is in flight at
// a time, for at most joinTimeout. One verification of verifyPings pings is in progress at a time. Members are
// written to disk at most once every saveInterval. The detector's queues hold one message per member.
//
// Lifetime: Run starts the detector. Once its stop channel is closed, Run
// leaves the fleet, stops the detector and closes the member store.
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

// ProtocolVersion is the version of the heartbeat frames and the metadata that gateways send in addition to the
// detector's own messages. Gateways of another version are refused.
const ProtocolVersion = 1

const (
	maxPendingLogLines = 1024
	maxNameBytes       = 64

	stepInterval   = 100 * time.Millisecond
	pauseThreshold = 2 * time.Second // a longer gap between steps shows that the process was stopped or starved
	joinTimeout    = 2 * time.Second
	leaveTimeout   = time.Second
	saveInterval   = 2 * time.Second

	// Gossip carries heartbeat frames for minGossipAfterChange after a change of the view. While the view has not
	// settled, gossip carries them for up to maxGossipAfterChange. At most one frame is sent every heartbeatInterval/3.
	heartbeatInterval    = 180 * time.Millisecond
	minGossipAfterChange = 3 * time.Second
	maxGossipAfterChange = 30 * time.Second

	// refuteRequestKind is the only byte of the datagram that asks a gateway to refute a suspicion. The gateway's
	// detector then raises its incarnation number, and every gateway that still holds an older suspicion drops it. A
	// gateway refutes at most once every refuteInterval, however many peers ask.
	refuteRequestKind = 4
	refuteInterval    = 2 * time.Second

	// Upper bounds of the histograms in a report, and their precision in significant decimal digits.
	maxRTTMicros       = 60_000_000
	maxSettleMillis    = 3_600_000
	histogramPrecision = 2
)

// Parameters of packages rejoin and view that are not configurable. The backoffs are in microseconds.
const (
	initialContactBackoff = 200_000
	maxContactBackoff     = 10_000_000
	initialNameBackoff    = 30_000_000
	maxNameBackoff        = 300_000_000

	maxRejoinIntervals      = 12 // longest rejoin interval, in multiples of Settings.RejoinInterval
	evidenceMaxAgeIntervals = 30 // maximum age of heartbeat evidence that is passed on, in probe intervals
	verifyAfterIntervals    = 2  // probe intervals unseen after which members are verified while others are suspect
)

// Settings are a gateway's settings for its fleet. ProbeInterval is the protocol period of the SWIM paper.
type Settings struct {
	Name      string        // unique in the fleet
	Listen    string        // IP and port to listen on
	Advertise string        // IP and port at which other gateways reach this one
	Label     string        // gateways with different labels form separate fleets
	Locality  view.Locality // sent to other gateways if set; each name has at most MaxLocalityNameBytes bytes
	Key       []byte        // encryption key of 16, 24 or 32 bytes; if empty, traffic is not encrypted

	Seeds    []string // addresses, each an IP and a port
	SeedFile string   // path of a file with one address per line, which is read periodically

	MaxMembers      int // maximum number of members in the view, this gateway included
	ExpectedMembers int // number of gateways in the fleet according to its operators; 0 if unknown

	ProbeInterval  time.Duration
	ProbeTimeout   time.Duration
	GossipInterval time.Duration
	ReapAfter      time.Duration // time after which dead and left members are forgotten
	SettleAfter    time.Duration // time for which the live set must not change before the view can settle
	RejoinInterval time.Duration // interval between contacts of lost members
}

// Dependencies are the services and callbacks that a Fleet uses.
type Dependencies struct {
	Log *slog.Logger
	// Now returns the wall-clock time. The Fleet uses it only to create the incarnation.
	Now      func() time.Time
	ReadFile func(path string) ([]byte, error)
	// Store keeps the known members across restarts. If it is nil, they are forgotten. The Fleet closes it.
	Store *MemberStore
	// OpenTransport opens a transport. It is called for each start of the
	// detector, and the detector closes the transport.
	OpenTransport func() (memberlist.Transport, error)
	// OnChange, if not nil, is called with each change in order. The Fleet's
	// lock is held during the call, so OnChange must not call the Fleet.
	OnChange        func(change view.Change, at time.Time)
	TransportCounts *transport.Counts
	// OnMessage, if not nil, receives the datagrams that other packages sent
	// with Fleet.Send. It must not block or retain the bytes.
	OnMessage func([]byte)
}

// wallClock is implemented by environments whose wall clock, as other machines see it, may be wrong.
type wallClock interface{ WallTime() time.Time }

var _ wallClock = (*env.System)(nil)

// FromEnvironment returns the dependencies that an environment provides:
// Log, Now and ReadFile. The caller sets the others.
func FromEnvironment(environment env.Environment) Dependencies {
	deps := Dependencies{Log: environment.Log(), Now: environment.Now, ReadFile: environment.ReadFile}
	if clock, ok := environment.(wallClock); ok {
		deps.Now = clock.WallTime
	}
	return deps
}

// Fleet is this gateway's membership of its fleet. Its methods may be
// called from any goroutine. Run may be called once.
type Fleet struct {
	settings  Settings
	deps      Dependencies
	startedAt time.Time
	logQueued chan struct{} // signals that log lines are queued

	mu         sync.Mutex
	self       view.ID
	view       *view.View
	scheduler  *rejoin.Scheduler
	leaving    bool
	contacting bool
	verifying  bool       // a verification of a member is in progress
	random     *rand.Rand // chooses the member to verify
	claimant   claimant
	sender     *memberlist.Memberlist // the detector that Send uses; nil while no detector runs

	pendingLog       []logLine
	droppedLogLines  int
	conflictLoggedAt map[string]int64 // when a refusal or conflict of a name was last logged, by name

	pendingDepartures map[string]pendingDeparture // by name; only members of the view are added

	heartbeatGossipedAt int64 // when gossip last carried a heartbeat frame
	refuteRequested     bool  // a peer has asked this gateway to refute a suspicion
	refutedAt           int64 // when this gateway last refuted a suspicion because a peer had asked

	cachedPeers        rejoin.Peers // scheduler input, built from the view at cachedPeersVersion
	cachedPeersVersion uint64

	counts      Counts
	rtt         *hdrhistogram.Histogram // round-trip times of probes, in microseconds
	settleTimes *hdrhistogram.Histogram // times that the view took to settle, in milliseconds

	// Owned by the goroutine of Run.
	detector        *memberlist.Memberlist // nil while no detector runs
	detectorLog     detectorLog            // its counters are guarded by mu
	lastStepAt      int64
	savedVersion    uint64 // version of the view that was saved last
	savedAt         int64
	seeds           []string
	seedsReadAt     int64
	lastSeedProblem string // problem found in the last read of the seed file; "" if none
}

// claimant is another process that claims this gateway's name.
type claimant struct {
	addr        string // "" if no process claims the name
	incarnation uint64
}

// New returns a Fleet, which Run starts. It creates the incarnation from the wall-clock time and random bits, so that
// two processes with the same name have different incarnations even if clocks are wrong.
func New(settings Settings, deps Dependencies) (*Fleet, error) {
	var random [10]byte
	if _, err := crand.Read(random[:]); err != nil {
		return nil, fmt.Errorf("fleet: reading random bytes for the incarnation: %w", err)
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

// now returns the time since the Fleet was created in microseconds, starting at 1.
func (f *Fleet) now() int64 { return time.Since(f.startedAt).Microseconds() + 1 }
