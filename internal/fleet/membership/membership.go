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
	Speaks = 1

	mostLines    = 1024
	mostName     = 64
	turn         = 100 * time.Millisecond
	callIn       = 2 * time.Second
	writeEvery   = 2 * time.Second
	leaveIn      = time.Second
	stoodStill   = 2 * time.Second // a turn that comes so late: the process was stopped or starved
	wordsEvery   = 180 * time.Millisecond
	restless     = 3 * time.Second // words ride on gossip for so long after a change, or until the view has settled
	mostRestless = 30 * time.Second

	// speakUp is the datagram that asks a gateway to say anew that it is alive: the detector's incarnation rises, and all who still hold
	// an old suspicion drop it. However many ask, it says so once in speakEvery.
	speakUp    = 4
	speakEvery = 2 * time.Second
)

// Settings are what a gateway is told of its fleet. Times of the detector are those of the SWIM paper's protocol period.
type Settings struct {
	Name, Listen, Advertise string     // IP and port; Advertise is what others are told
	Label                   string     // fleets of other labels are not heard
	Place                   view.Place // where it stands, told to the others where it is set; a part has at most MostPlace bytes
	Key                     []byte     // of 16, 24 or 32 bytes; none: plain
	Seeds                   []string
	SeedFile                string // an address a line, read anew while somebody is looked for
	Most, Expect            int
	Probe, ProbeTimeout     time.Duration
	Gossip                  time.Duration
	Reap, Settle            time.Duration
	Rejoin                  time.Duration
}

// Parts are what it stands on.
type Parts struct {
	Log   *slog.Logger
	Now   func() time.Time // of the machine; only its differences count, but for the stamp of the start
	Read  func(path string) ([]byte, error)
	Shelf *Shelf                                 // none: who was known is forgotten at the end
	Open  func() (memberlist.Transport, error)   // for each start of the detector
	Tell  func(change view.Change, at time.Time) // each change, in order; may be nil
	Count *transport.Counts
	Take  func([]byte) // datagrams of other parts (Send), at once and without waiting; the bytes are the caller's; may be nil
}

// Fleet is this gateway's part in its fleet.
type Fleet struct {
	set   Settings
	parts Parts
	began time.Time
	bell  chan struct{}

	mu       sync.Mutex
	id       view.ID
	view     *view.View
	desk     *rejoin.Desk
	lines    []line
	lost     int // lines dropped at the bound
	leaving  bool
	claimant string // address of another process under this name, to be called or yielded to
	claimBy  uint64 // its stamp
	calling  bool
	spoke    int64 // when words last rode on gossip
	wanted   bool  // somebody asked this gateway to speak up
	uttered  int64 // when it last did
	seen     rejoin.Sight
	seenAt   uint64 // the view's version that it is of
	counts   Counts
	rtt      *hdrhistogram.Histogram // microseconds of probes
	settling *hdrhistogram.Histogram // milliseconds of settlings
	refused  map[string]int64        // names refused, when last told

	sends *memberlist.Memberlist // the same, for Send

	list    *memberlist.Memberlist // owned by Run's goroutine; nil while it is not started
	last    int64
	saved   uint64
	savedAt int64
	seeds   []string
	seedsAt int64
	badSeed string
	quiet   quiet
}

// Counts are since the process started.
type Counts struct {
	Joins       uint64 `json:"Joins"`
	Deaths      uint64 `json:"Deaths"`
	WrongDeaths uint64 `json:"WrongDeaths"`
	Lefts       uint64 `json:"Lefts"`
	Suspicions  uint64 `json:"Suspicions"`
	Cleared     uint64 `json:"Cleared"`
	Restarts    uint64 `json:"Restarts"`
	Settled     uint64 `json:"Settled"`
	Calls       uint64 `json:"Calls"`
	CallsFailed uint64 `json:"CallsFailed"`
	Refused     uint64 `json:"Refused"`
	Conflicts   uint64 `json:"Conflicts"`
	Yields      uint64 `json:"Yields"`
	Pauses      uint64 `json:"Pauses"`
	BadWords    uint64 `json:"BadWords"`
}

type line struct {
	level slog.Level
	event string
	args  []any
}

// New makes the gateway's part; Run starts it. Its stamp comes of the machine's clock and of chance, so that two processes of one
// name differ even where clocks are wrong.
func New(set Settings, parts Parts) (*Fleet, error) {
	var b [10]byte
	if _, err := crand.Read(b[:]); err != nil {
		return nil, err
	}
	chance := binary.LittleEndian.Uint16(b[:])
	f := &Fleet{set: set, parts: parts, began: time.Now(), bell: make(chan struct{}, 1),
		id: view.ID{Name: set.Name, Addr: set.Advertise, Stamp: uint64(parts.Now().UnixMicro())<<12 | uint64(chance&0xfff),
			Place: set.Place},
		rtt: hdrhistogram.New(1, 60_000_000, 2), settling: hdrhistogram.New(1, 3_600_000, 2),
		refused: map[string]int64{}}
	now := f.now()
	f.last = now
	f.view = view.New(f.id, f.viewSettings(), now)
	f.desk = rejoin.New(rejoin.Settings{First: 200_000, Most: 10_000_000, Rejoin: us(set.Rejoin), RejoinMost: 12 * us(set.Rejoin), Differ: us(set.Settle),
		Claim: 30_000_000, ClaimMost: 300_000_000}, rand.New(rand.NewPCG(binary.LittleEndian.Uint64(b[2:]), f.id.Stamp)), now)
	f.know(now)
	return f, nil
}

func us(d time.Duration) int64 { return d.Microseconds() }

func (f *Fleet) viewSettings() view.Settings {
	return view.Settings{Most: f.set.Most, Expect: f.set.Expect, Reap: us(f.set.Reap), Settle: us(f.set.Settle),
		Evident: 30 * us(f.set.Probe)}
}

// know takes who was kept on disk.
func (f *Fleet) know(now int64) {
	if f.parts.Shelf == nil {
		return
	}
	for _, id := range f.parts.Shelf.Known() {
		f.view.Know(id, now)
	}
}

// now is microseconds since this gateway's part began, from 1 on.
func (f *Fleet) now() int64 { return time.Since(f.began).Microseconds() + 1 }

// say queues a line for the log; mu is held.
func (f *Fleet) say(level slog.Level, event string, args ...any) {
	if len(f.lines) >= mostLines {
		f.lost++
		return
	}
	f.lines = append(f.lines, line{level, event, args})
	select {
	case f.bell <- struct{}{}:
	default:
	}
}

// took counts changes and queues their lines; mu is held.
func (f *Fleet) took(changes []view.Change) {
	for _, c := range changes {
		level := slog.LevelInfo
		switch {
		case c.Why == "restarted":
			f.counts.Restarts++
		case c.Now == view.Alive && c.Was == view.Suspect:
			f.counts.Cleared++
		case c.Now == view.Alive:
			f.counts.Joins++
			if c.Why == "came_back" {
				f.counts.WrongDeaths++
			}
		case c.Now == view.Suspect:
			f.counts.Suspicions++
		case c.Now == view.Dead:
			f.counts.Deaths++
			level = slog.LevelWarn
		case c.Now == view.Left:
			f.counts.Lefts++
		}
		was := c.Was.String()
		if c.New {
			was = "unknown"
		}
		f.say(level, "fleet_member", "name", c.Name, "state", c.Now.String(), "was", was, "by", c.By, "why", c.Why,
			"held_ms", c.Held/1000, "silent_ms", c.Silence/1000)
		if f.parts.Tell != nil {
			f.parts.Tell(c, time.Now())
		}
	}
}

// Run takes part until stop is closed; then the gateway leaves the fleet. Its errors are of the first start.
func (f *Fleet) Run(stop <-chan struct{}) error {
	if err := f.start(); err != nil {
		return err
	}
	defer f.end()
	every := time.NewTicker(turn)
	defer every.Stop()
	for {
		select {
		case <-stop:
			f.flush()
			return nil
		case <-f.bell:
			f.flush()
		case <-every.C:
			f.step()
			f.flush()
		}
	}
}

// start starts the detector. Its times: with n members a death is known after some probe intervals and a suspicion of 4 log10(n)
// intervals (SWIM; Lifeguard's upper bound is six times that while nobody else confirms it).
func (f *Fleet) start() error {
	transport, err := f.parts.Open()
	if err != nil {
		return err
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Label = f.set.Name, transport, f.set.Label
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval = f.set.Probe, f.set.ProbeTimeout, f.set.Gossip
	c.TCPTimeout = callIn
	c.SecretKey = f.set.Key
	c.DelegateProtocolMin, c.DelegateProtocolMax, c.DelegateProtocolVersion = Speaks, Speaks, Speaks
	// A name whose process died may come back at another address at once; one that lives is never taken over (NotifyConflict).
	c.DeadNodeReclaimTime = time.Millisecond
	c.RequireNodeNames = false
	c.Delegate, c.Events, c.Ping, c.Alive, c.Conflict = f, f, f, f, f
	c.Logger = log.New(&f.quiet, "", 0)
	f.quiet.fleet = f
	list, err := memberlist.Create(c)
	if err != nil {
		transport.Shutdown()
		return fmt.Errorf("fleet: %w", err)
	}
	f.list = list
	f.mu.Lock()
	f.sends = list
	f.say(slog.LevelInfo, "fleet_started", "name", f.id.Name, "addr", f.id.Addr, "stamp", f.id.Stamp)
	f.mu.Unlock()
	return nil
}

// end leaves and stops. The word that this gateway goes rides on its meta first: the detector tells its peers that it is gone, but
// not to whom it listens whether it was by its own will.
func (f *Fleet) end() {
	if f.parts.Shelf != nil {
		defer f.parts.Shelf.Close()
	}
	if f.list == nil { // it gave way to another of its name
		return
	}
	f.mu.Lock()
	f.leaving = true
	live := f.view.Count()
	f.mu.Unlock()
	if live > 1 {
		f.list.UpdateNode(leaveIn)   // returns once it was told as often as gossip tells a thing
		time.Sleep(2 * f.set.Gossip) // the leave takes the meta's place in the queues of others
		f.list.Leave(leaveIn)
	}
	f.mu.Lock()
	f.sends = nil
	f.mu.Unlock()
	f.list.Shutdown()
	f.list = nil
	f.parts.Log.Info("fleet_left", "name", f.id.Name)
}

// flush writes the lines that wait, in order.
func (f *Fleet) flush() {
	f.mu.Lock()
	lines, lost := f.lines, f.lost
	f.lines, f.lost = nil, 0
	f.mu.Unlock()
	for _, l := range lines {
		f.parts.Log.Log(context.Background(), l.level, l.event, l.args...)
	}
	if lost > 0 {
		f.parts.Log.Warn("fleet_lines_lost", "n", lost)
	}
}

// step is one turn: time moves on, a call is begun, the disk is written.
func (f *Fleet) step() {
	now := f.now()
	f.mu.Lock()
	if gap := now - f.last; gap > us(stoodStill) {
		f.counts.Pauses++
		f.view.Paused(now)
		f.desk.Woke()
		f.say(slog.LevelWarn, "fleet_stood_still", "ms", gap/1000)
	}
	f.last = now
	forgotten, settled, took := f.view.Tick(now)
	for _, name := range forgotten {
		f.say(slog.LevelInfo, "fleet_member", "name", name, "state", "forgotten")
	}
	if settled {
		f.counts.Settled++
		f.settling.RecordValue(max(1, took/1000))
		seen, fleet := f.view.Size()
		f.say(slog.LevelInfo, "fleet_settled", "live", f.view.Count(), "seen", seen, "fleet", fleet, "minority", f.view.Minority(),
			"digest", fmt.Sprintf("%08x", f.view.Digest()), "version", f.view.Version(), "took_ms", took/1000)
	}
	doubts := f.view.Doubts(now)
	speak := f.wanted && !f.leaving && f.list != nil && now-f.uttered >= us(speakEvery)
	if speak {
		f.wanted, f.uttered = false, now
	}
	list := f.list
	f.mu.Unlock()
	for _, name := range doubts {
		f.Send(name, []byte{speakUp})
	}
	if speak {
		go list.UpdateNode(callIn)
	}
	f.claims(now)
	f.calls(now)
	f.keep(now)
}

// calls begins the call whose time has come.
func (f *Fleet) calls(now int64) {
	if f.list == nil {
		return
	}
	f.seek(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calling || f.leaving {
		return
	}
	call, ok := f.desk.Next(now, f.sight(), func() []string { return f.view.Differ(now) })
	if !ok {
		return
	}
	f.begin(call)
}

// begin makes a call; mu is held.
func (f *Fleet) begin(call rejoin.Call) {
	f.calling = true
	f.counts.Calls++
	list, before := f.list, f.view.Version()
	go func() {
		_, err := list.Join([]string{call.Addr})
		f.mu.Lock()
		defer f.mu.Unlock()
		f.calling = false
		if err != nil {
			f.counts.CallsFailed++
			f.say(slog.LevelDebug, "fleet_call_failed", "addr", call.Addr, "why", call.Why, "text", err.Error())
			return
		}
		level := slog.LevelDebug
		if f.view.Version() != before {
			level = slog.LevelInfo
		}
		f.say(level, "fleet_called", "addr", call.Addr, "why", call.Why)
	}()
}

// sight is the view as fleet/recover asks for it, made anew where the view changed; mu is held.
func (f *Fleet) sight() rejoin.Sight {
	if f.seenAt == f.view.Version() && slices.Equal(f.seen.Seeds, f.seeds) {
		return f.seen
	}
	s := rejoin.Sight{Self: f.id.Addr, Seeds: f.seeds}
	for _, m := range f.view.All() {
		switch {
		case m.Name == f.id.Name || m.State == view.Left:
		case m.State.Live():
			s.Live = append(s.Live, m.Addr)
		default:
			s.Lost = append(s.Lost, rejoin.Lost{Addr: m.Addr, Since: m.Since, Heard: m.Heard})
		}
	}
	f.seen, f.seenAt = s, f.view.Version()
	return s
}

// seek reads the seeds' file anew, once a Rejoin, and once a second while alone.
func (f *Fleet) seek(now int64) {
	f.mu.Lock()
	alone := f.view.Count() == 1
	f.mu.Unlock()
	gap := us(f.set.Rejoin)
	if alone {
		gap = min(gap, 1_000_000)
	}
	if f.seedsAt > 0 && now-f.seedsAt < gap {
		return
	}
	f.seedsAt = now
	seeds, bad := slices.Clone(f.set.Seeds), ""
	if f.set.SeedFile != "" {
		text, err := f.parts.Read(f.set.SeedFile)
		if err != nil {
			bad = err.Error()
		} else {
			var more []string
			if more, bad = ReadSeeds(string(text)); bad == "" || len(more) > 0 {
				seeds = append(seeds, more...)
			}
		}
	}
	if bad != "" && bad != f.badSeed {
		f.parts.Log.Warn("fleet_seed_file", "path", f.set.SeedFile, "text", bad)
	}
	f.badSeed = bad
	slices.Sort(seeds)
	f.seeds = slices.Compact(seeds)
}

// claims settles who goes on under a name that two processes claim.
func (f *Fleet) claims(now int64) {
	f.mu.Lock()
	other, stamp, accepted := f.claimant, f.claimBy, f.view.Count() > 1
	f.claimant = ""
	again := f.desk.Reclaim(now)
	if other == "" || f.calling && !rejoin.Yields(f.id.Stamp, stamp) {
		f.mu.Unlock()
		if again {
			f.restart(now)
		}
		return
	}
	if !rejoin.Yields(f.id.Stamp, stamp) {
		f.begin(rejoin.Call{Addr: other, Why: "claimed"}) // the other one learns of it, and yields
		f.mu.Unlock()
		return
	}
	f.counts.Yields++
	wait := f.desk.Claimed(now)
	f.say(slog.LevelError, "fleet_yielded", "name", f.id.Name, "to", other, "retry_ms", wait/1000,
		"remedy", "another gateway has this name: give each its own ROUTER_NAME")
	list := f.list
	f.list, f.sends = nil, nil
	f.mu.Unlock()
	if list == nil {
		return
	}
	if accepted { // the fleet knows this process by the name: it has to hear that the name is free
		list.Leave(leaveIn)
	}
	list.Shutdown()
	f.mu.Lock()
	f.view = view.New(f.id, f.viewSettings(), now)
	f.know(now)
	f.seenAt, f.saved = 0, 0
	f.mu.Unlock()
}

// restart tries again under a name that was taken.
func (f *Fleet) restart(now int64) {
	if err := f.start(); err != nil {
		f.mu.Lock()
		wait := f.desk.Claimed(now)
		f.say(slog.LevelWarn, "fleet_start_failed", "text", err.Error(), "retry_ms", wait/1000)
		f.mu.Unlock()
	}
}

// keep writes who is known to disk, if that changed.
func (f *Fleet) keep(now int64) {
	if f.parts.Shelf == nil || f.list == nil || now-f.savedAt < us(writeEvery) {
		return
	}
	f.mu.Lock()
	version := f.view.Version()
	if version == f.saved { // the usual turn: nothing is copied for it
		f.mu.Unlock()
		return
	}
	all := f.view.All()
	f.mu.Unlock()
	f.saved, f.savedAt = version, now
	var ids []view.ID
	for _, m := range all {
		if m.State != view.Left && m.Name != f.id.Name {
			ids = append(ids, m.ID)
		}
	}
	if err := f.parts.Shelf.Keep(ids); err != nil {
		f.parts.Log.Warn("fleet_not_kept", "text", err.Error())
	}
}

// Ground is where the parts of a real process come from.
func Ground(g env.Ground) Parts {
	p := Parts{Log: g.Log(), Now: g.Now, Read: g.ReadFile}
	if w, ok := g.(interface{ Wall() time.Time }); ok {
		p.Now = w.Wall
	}
	return p
}
