// Package membership keeps a gateway's view of the fleet (fleet/view) up to date: it runs the failure detector
// (hashicorp/memberlist, SWIM with Lifeguard) over a transport, carries words of life on the detector's acks and gossip, calls
// whom fleet/recover names, keeps who was known on disk, and tells each change in one line of the log.
//
// Nothing here decides anything of lookups: the view is data for who asks. Locks: mu guards view, desk and what waits for the
// log; it is never held over I/O or a call of the detector, whose own callbacks take it. One goroutine (Run) logs, writes and
// decides on calls; one more makes the call under way.
//
// Bounds: what the view holds; mostLines lines that wait for the log; one call at a time, callIn long; one write of the disk
// every writeEvery; the detector's queues, which hold one message a member.
package membership

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"log"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/memberlist"

	"foldslip/internal/env"
	"foldslip/internal/fleet/rejoin"
	"foldslip/internal/fleet/transport"
	"foldslip/internal/fleet/view"
)

const (
	// Speaks is the version of what gateways say beside the detector: words and meta. Those of another one are refused.
	ProtocolVersion = 1

	maxPendingLogLines   = 1024
	maxNameBytes         = 64
	stepInterval         = 100 * time.Millisecond
	joinTimeout          = 2 * time.Second
	saveInterval         = 2 * time.Second
	leaveTimeout         = time.Second
	pauseThreshold       = 2 * time.Second // a turn that comes so late: the process was stopped or starved
	heartbeatInterval    = 180 * time.Millisecond
	minGossipAfterChange = 3 * time.Second // words ride on gossip for so long after a change, or until the view has settled
	maxGossipAfterChange = 30 * time.Second

	// speakUp is the datagram that asks a gateway to say anew that it is alive: the detector's incarnation rises, and all who still hold
	// an old suspicion drop it. However many ask, it says so once in speakEvery.
	refuteRequestKind = 4
	refuteInterval    = 2 * time.Second
)

// Settings are what a gateway is told of its fleet. Times of the detector are those of the SWIM paper's protocol period.
type Settings struct {
	Name, Listen, Advertise     string        // IP and port; Advertise is what others are told
	Label                       string        // fleets of other labels are not heard
	Locality                    view.Locality // where it stands, told to the others where it is set; a part has at most MostPlace bytes
	Key                         []byte        // of 16, 24 or 32 bytes; none: plain
	Seeds                       []string
	SeedFile                    string // an address a line, read anew while somebody is looked for
	MaxMembers, ExpectedMembers int
	ProbeInterval, ProbeTimeout time.Duration
	GossipInterval              time.Duration
	ReapAfter, SettleAfter      time.Duration
	RejoinInterval              time.Duration
}

// Dependencies are what it stands on.
type Dependencies struct {
	Log             *slog.Logger
	Now             func() time.Time // of the machine; only its differences count, but for the stamp of the start
	ReadFile        func(path string) ([]byte, error)
	Store           *MemberStore                           // none: who was known is forgotten at the end
	OpenTransport   func() (memberlist.Transport, error)   // for each start of the detector
	OnChange        func(change view.Change, at time.Time) // each change, in order; may be nil
	TransportCounts *transport.Counts
	OnMessage       func([]byte) // datagrams of other parts (Send), at once and without waiting; the bytes are the caller's; may be nil
}

// Fleet is this gateway's part in its fleet.
type Fleet struct {
	settings  Settings
	deps      Dependencies
	startedAt time.Time
	notify    chan struct{}

	mu                  sync.Mutex
	self                view.ID
	view                *view.View
	scheduler           *rejoin.Scheduler
	pendingLog          []logLine
	droppedLogLines     int // lines dropped at the bound
	leaving             bool
	claimantAddr        string // address of another process under this name, to be called or yielded to
	claimantIncarnation uint64 // its stamp
	contacting          bool
	heartbeatAt         int64 // when words last rode on gossip
	refuteRequested     bool  // somebody asked this gateway to speak up
	refutedAt           int64 // when it last did
	peersSeen           rejoin.Peers
	peersVersion        uint64 // the view's version that it is of
	counts              Counts
	rtt                 *hdrhistogram.Histogram // microseconds of probes
	settleTimes         *hdrhistogram.Histogram // milliseconds of settlings
	conflictLoggedAt    map[string]int64        // names refused, when last told

	sender *memberlist.Memberlist // the same, for Send

	detector     *memberlist.Memberlist // owned by Run's goroutine; nil while it is not started
	lastStepAt   int64
	savedVersion uint64
	savedAt      int64
	seeds        []string
	seedsReadAt  int64
	badSeed      string
	detectorLog  detectorLog
}

// Counts are since the process started.
type Counts struct {
	Joins                uint64 `json:"Joins"`
	Deaths               uint64 `json:"Deaths"`
	FalseDeaths          uint64 `json:"WrongDeaths"`
	Leaves               uint64 `json:"Lefts"`
	Suspicions           uint64 `json:"Suspicions"`
	ClearedSuspicions    uint64 `json:"Cleared"`
	Restarts             uint64 `json:"Restarts"`
	Settled              uint64 `json:"Settled"`
	Contacts             uint64 `json:"Calls"`
	FailedContacts       uint64 `json:"CallsFailed"`
	Refused              uint64 `json:"Refused"`
	NameConflicts        uint64 `json:"Conflicts"`
	NameDeferrals        uint64 `json:"Yields"`
	Pauses               uint64 `json:"Pauses"`
	UnreadableHeartbeats uint64 `json:"BadWords"`
}

type logLine struct {
	level slog.Level
	event string
	args  []any
}

// New makes the gateway's part; Run starts it. Its stamp comes of the machine's clock and of chance, so that two processes of one
// name differ even where clocks are wrong.
func New(set Settings, parts Dependencies) (*Fleet, error) {
	var b [10]byte
	if _, err := crand.Read(b[:]); err != nil {
		return nil, err
	}
	chance := binary.LittleEndian.Uint16(b[:])
	f := &Fleet{settings: set, deps: parts, startedAt: time.Now(), notify: make(chan struct{}, 1),
		self: view.ID{Name: set.Name, Addr: set.Advertise, Incarnation: uint64(parts.Now().UnixMicro())<<12 | uint64(chance&0xfff),
			Locality: set.Locality},
		rtt: hdrhistogram.New(1, 60_000_000, 2), settleTimes: hdrhistogram.New(1, 3_600_000, 2),
		conflictLoggedAt: map[string]int64{}}
	now := f.now()
	f.lastStepAt = now
	f.view = view.New(f.self, f.viewSettings(), now)
	f.scheduler = rejoin.New(rejoin.Settings{InitialBackoff: 200_000, MaxBackoff: 10_000_000, RejoinInterval: micros(set.RejoinInterval), MaxRejoinInterval: 12 * micros(set.RejoinInterval), DifferInterval: micros(set.SettleAfter),
		InitialNameBackoff: 30_000_000, MaxNameBackoff: 300_000_000}, rand.New(rand.NewPCG(binary.LittleEndian.Uint64(b[2:]), f.self.Incarnation)), now)
	f.loadKnownMembers(now)
	return f, nil
}

func micros(d time.Duration) int64 { return d.Microseconds() }

func (f *Fleet) viewSettings() view.Settings {
	return view.Settings{MaxMembers: f.settings.MaxMembers, ExpectedMembers: f.settings.ExpectedMembers, ReapAfter: micros(f.settings.ReapAfter), SettleAfter: micros(f.settings.SettleAfter),
		EvidenceMaxAge: 30 * micros(f.settings.ProbeInterval)}
}

// loadKnownMembers takes who was kept on disk.
func (f *Fleet) loadKnownMembers(now int64) {
	if f.deps.Store == nil {
		return
	}
	for _, id := range f.deps.Store.Known() {
		f.view.AddKnown(id, now)
	}
}

// now is microseconds since this gateway's part began, from 1 on.
func (f *Fleet) now() int64 { return time.Since(f.startedAt).Microseconds() + 1 }

// queueLog queues a line for the log; mu is held.
func (f *Fleet) queueLog(level slog.Level, event string, args ...any) {
	if len(f.pendingLog) >= maxPendingLogLines {
		f.droppedLogLines++
		return
	}
	f.pendingLog = append(f.pendingLog, logLine{level, event, args})
	select {
	case f.notify <- struct{}{}:
	default:
	}
}

// recordChanges counts changes and queues their lines; mu is held.
func (f *Fleet) recordChanges(changes []view.Change) {
	for _, c := range changes {
		level := slog.LevelInfo
		switch {
		case c.Reason == "restarted":
			f.counts.Restarts++
		case c.To == view.Alive && c.From == view.Suspect:
			f.counts.ClearedSuspicions++
		case c.To == view.Alive:
			f.counts.Joins++
			if c.Reason == "came_back" {
				f.counts.FalseDeaths++
			}
		case c.To == view.Suspect:
			f.counts.Suspicions++
		case c.To == view.Dead:
			f.counts.Deaths++
			level = slog.LevelWarn
		case c.To == view.Left:
			f.counts.Leaves++
		}
		was := c.From.String()
		if c.IsNew {
			was = "unknown"
		}
		f.queueLog(level, "fleet_member", "name", c.Name, "state", c.To.String(), "was", was, "by", c.By, "why", c.Reason,
			"held_ms", c.HeldFor/1000, "silent_ms", c.SilentFor/1000)
		if f.deps.OnChange != nil {
			f.deps.OnChange(c, time.Now())
		}
	}
}

// Run takes part until stop is closed; then the gateway leaves the fleet. Its errors are of the first start.
func (f *Fleet) Run(stop <-chan struct{}) error {
	if err := f.startDetector(); err != nil {
		return err
	}
	defer f.leaveAndStop()
	every := time.NewTicker(stepInterval)
	defer every.Stop()
	for {
		select {
		case <-stop:
			f.flushLog()
			return nil
		case <-f.notify:
			f.flushLog()
		case <-every.C:
			f.step()
			f.flushLog()
		}
	}
}

// startDetector starts the detector. Its times: with n members a death is known after some probe intervals and a suspicion of 4 log10(n)
// intervals (SWIM; Lifeguard's upper bound is six times that while nobody else confirms it).
func (f *Fleet) startDetector() error {
	transport, err := f.deps.OpenTransport()
	if err != nil {
		return err
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Label = f.settings.Name, transport, f.settings.Label
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval = f.settings.ProbeInterval, f.settings.ProbeTimeout, f.settings.GossipInterval
	c.TCPTimeout = joinTimeout
	c.SecretKey = f.settings.Key
	c.DelegateProtocolMin, c.DelegateProtocolMax, c.DelegateProtocolVersion = ProtocolVersion, ProtocolVersion, ProtocolVersion
	// A name whose process died may come back at another address at once; one that lives is never taken over (NotifyConflict).
	c.DeadNodeReclaimTime = time.Millisecond
	c.RequireNodeNames = false
	c.Delegate, c.Events, c.Ping, c.Alive, c.Conflict = f, f, f, f, f
	c.Logger = log.New(&f.detectorLog, "", 0)
	f.detectorLog.fleet = f
	list, err := memberlist.Create(c)
	if err != nil {
		transport.Shutdown()
		return fmt.Errorf("fleet: %w", err)
	}
	f.detector = list
	f.mu.Lock()
	f.sender = list
	f.queueLog(slog.LevelInfo, "fleet_started", "name", f.self.Name, "addr", f.self.Addr, "stamp", f.self.Incarnation)
	f.mu.Unlock()
	return nil
}

// leaveAndStop leaves and stops. The word that this gateway goes rides on its meta first: the detector tells its peers that it is gone, but
// not to whom it listens whether it was by its own will.
func (f *Fleet) leaveAndStop() {
	if f.deps.Store != nil {
		defer f.deps.Store.Close()
	}
	if f.detector == nil { // it gave way to another of its name
		return
	}
	f.mu.Lock()
	f.leaving = true
	live := f.view.LiveCount()
	f.mu.Unlock()
	if live > 1 {
		f.detector.UpdateNode(leaveTimeout)       // returns once it was told as often as gossip tells a thing
		time.Sleep(2 * f.settings.GossipInterval) // the leave takes the meta's place in the queues of others
		f.detector.Leave(leaveTimeout)
	}
	f.mu.Lock()
	f.sender = nil
	f.mu.Unlock()
	f.detector.Shutdown()
	f.detector = nil
	f.deps.Log.Info("fleet_left", "name", f.self.Name)
}

// flushLog writes the lines that wait, in order.
func (f *Fleet) flushLog() {
	f.mu.Lock()
	lines, lost := f.pendingLog, f.droppedLogLines
	f.pendingLog, f.droppedLogLines = nil, 0
	f.mu.Unlock()
	for _, l := range lines {
		f.deps.Log.Log(context.Background(), l.level, l.event, l.args...)
	}
	if lost > 0 {
		f.deps.Log.Warn("fleet_lines_lost", "n", lost)
	}
}

// step is one turn: time moves on, a call is begun, the disk is written.
func (f *Fleet) step() {
	now := f.now()
	f.mu.Lock()
	if gap := now - f.lastStepAt; gap > micros(pauseThreshold) {
		f.counts.Pauses++
		f.view.MarkPaused(now)
		f.scheduler.MarkResumed()
		f.queueLog(slog.LevelWarn, "fleet_stood_still", "ms", gap/1000)
	}
	f.lastStepAt = now
	forgotten, settled, took := f.view.Tick(now)
	for _, name := range forgotten {
		f.queueLog(slog.LevelInfo, "fleet_member", "name", name, "state", "forgotten")
	}
	if settled {
		f.counts.Settled++
		f.settleTimes.RecordValue(max(1, took/1000))
		seen, fleet := f.view.Size()
		f.queueLog(slog.LevelInfo, "fleet_settled", "live", f.view.LiveCount(), "seen", seen, "fleet", fleet, "minority", f.view.InMinority(),
			"digest", fmt.Sprintf("%08x", f.view.Digest()), "version", f.view.Version(), "took_ms", took/1000)
	}
	doubts := f.view.DueRefuteRequests(now)
	speak := f.refuteRequested && !f.leaving && f.detector != nil && now-f.refutedAt >= micros(refuteInterval)
	if speak {
		f.refuteRequested, f.refutedAt = false, now
	}
	list := f.detector
	f.mu.Unlock()
	for _, name := range doubts {
		f.Send(name, []byte{refuteRequestKind})
	}
	if speak {
		go list.UpdateNode(joinTimeout)
	}
	f.resolveNameConflict(now)
	f.contactDue(now)
	f.saveMembers(now)
}

// contactDue begins the call whose time has come.
func (f *Fleet) contactDue(now int64) {
	if f.detector == nil {
		return
	}
	f.readSeedFile(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.contacting || f.leaving {
		return
	}
	call, ok := f.scheduler.Next(now, f.peers(), func() []string { return f.view.DifferingAddrs(now) })
	if !ok {
		return
	}
	f.startContact(call)
}

// startContact makes a call; mu is held.
func (f *Fleet) startContact(call rejoin.Contact) {
	f.contacting = true
	f.counts.Contacts++
	list, before := f.detector, f.view.Version()
	go func() {
		_, err := list.Join([]string{call.Addr})
		f.mu.Lock()
		defer f.mu.Unlock()
		f.contacting = false
		if err != nil {
			f.counts.FailedContacts++
			f.queueLog(slog.LevelDebug, "fleet_call_failed", "addr", call.Addr, "why", call.Reason, "text", err.Error())
			return
		}
		level := slog.LevelDebug
		if f.view.Version() != before {
			level = slog.LevelInfo
		}
		f.queueLog(level, "fleet_called", "addr", call.Addr, "why", call.Reason)
	}()
}

// peers is the view as fleet/recover asks for it, made anew where the view changed; mu is held.
func (f *Fleet) peers() rejoin.Peers {
	if f.peersVersion == f.view.Version() && slices.Equal(f.peersSeen.Seeds, f.seeds) {
		return f.peersSeen
	}
	s := rejoin.Peers{Self: f.self.Addr, Seeds: f.seeds}
	for _, m := range f.view.Members() {
		switch {
		case m.Name == f.self.Name || m.State == view.Left:
		case m.State.IsLive():
			s.Live = append(s.Live, m.Addr)
		default:
			s.Lost = append(s.Lost, rejoin.Lost{Addr: m.Addr, LostAt: m.Since, LastSeen: m.LastSeen})
		}
	}
	f.peersSeen, f.peersVersion = s, f.view.Version()
	return s
}

// readSeedFile reads the seeds' file anew, once a Rejoin, and once a second while alone.
func (f *Fleet) readSeedFile(now int64) {
	f.mu.Lock()
	alone := f.view.LiveCount() == 1
	f.mu.Unlock()
	gap := micros(f.settings.RejoinInterval)
	if alone {
		gap = min(gap, 1_000_000)
	}
	if f.seedsReadAt > 0 && now-f.seedsReadAt < gap {
		return
	}
	f.seedsReadAt = now
	seeds, bad := slices.Clone(f.settings.Seeds), ""
	if f.settings.SeedFile != "" {
		text, err := f.deps.ReadFile(f.settings.SeedFile)
		if err != nil {
			bad = err.Error()
		} else {
			var more []string
			if more, bad = ParseSeeds(string(text)); bad == "" || len(more) > 0 {
				seeds = append(seeds, more...)
			}
		}
	}
	if bad != "" && bad != f.badSeed {
		f.deps.Log.Warn("fleet_seed_file", "path", f.settings.SeedFile, "text", bad)
	}
	f.badSeed = bad
	slices.Sort(seeds)
	f.seeds = slices.Compact(seeds)
}

// resolveNameConflict settles who goes on under a name that two processes claim.
func (f *Fleet) resolveNameConflict(now int64) {
	f.mu.Lock()
	other, stamp, accepted := f.claimantAddr, f.claimantIncarnation, f.view.LiveCount() > 1
	f.claimantAddr = ""
	again := f.scheduler.ReclaimName(now)
	if other == "" || f.contacting && !rejoin.ShouldDefer(f.self.Incarnation, stamp) {
		f.mu.Unlock()
		if again {
			f.retryStart(now)
		}
		return
	}
	if !rejoin.ShouldDefer(f.self.Incarnation, stamp) {
		f.startContact(rejoin.Contact{Addr: other, Reason: "claimed"}) // the other one learns of it, and yields
		f.mu.Unlock()
		return
	}
	f.counts.NameDeferrals++
	wait := f.scheduler.DeferName(now)
	f.queueLog(slog.LevelError, "fleet_yielded", "name", f.self.Name, "to", other, "retry_ms", wait/1000,
		"remedy", "another gateway has this name: give each its own ROUTER_NAME")
	list := f.detector
	f.detector, f.sender = nil, nil
	f.mu.Unlock()
	if list == nil {
		return
	}
	if accepted { // the fleet knows this process by the name: it has to hear that the name is free
		list.Leave(leaveTimeout)
	}
	list.Shutdown()
	f.mu.Lock()
	f.view = view.New(f.self, f.viewSettings(), now)
	f.loadKnownMembers(now)
	f.peersVersion, f.savedVersion = 0, 0
	f.mu.Unlock()
}

// retryStart tries again under a name that was taken.
func (f *Fleet) retryStart(now int64) {
	if err := f.startDetector(); err != nil {
		f.mu.Lock()
		wait := f.scheduler.DeferName(now)
		f.queueLog(slog.LevelWarn, "fleet_start_failed", "text", err.Error(), "retry_ms", wait/1000)
		f.mu.Unlock()
	}
}

// saveMembers writes who is known to disk, if that changed.
func (f *Fleet) saveMembers(now int64) {
	if f.deps.Store == nil || f.detector == nil || now-f.savedAt < micros(saveInterval) {
		return
	}
	f.mu.Lock()
	version := f.view.Version()
	if version == f.savedVersion { // the usual turn: nothing is copied for it
		f.mu.Unlock()
		return
	}
	all := f.view.Members()
	f.mu.Unlock()
	f.savedVersion, f.savedAt = version, now
	var ids []view.ID
	for _, m := range all {
		if m.State != view.Left && m.Name != f.self.Name {
			ids = append(ids, m.ID)
		}
	}
	if err := f.deps.Store.Save(ids); err != nil {
		f.deps.Log.Warn("fleet_not_kept", "text", err.Error())
	}
}

// wallClock is an environment whose clock may be off, as other machines see it.
type wallClock interface{ WallTime() time.Time }

var _ wallClock = (*env.System)(nil)

// FromEnvironment is where the parts of a real process come from.
func FromEnvironment(g env.Environment) Dependencies {
	p := Dependencies{Log: g.Log(), Now: g.Now, ReadFile: g.ReadFile}
	if clock, ok := g.(wallClock); ok {
		p.Now = clock.WallTime
	}
	return p
}
