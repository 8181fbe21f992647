// Package driver carries the broadcast of purges (package fleet/broadcast, which decides) over the fleet's datagrams: what the own
// discovery watch told and what peers sent goes in, letters go out, and purges that peers told first are brought to where they count.
//
// A datagram of a peer is told from others by its first byte, broadcast.Kind; eight bytes of the sender's key (view.Key) follow, as
// the fleet's datagrams do not say who sent them, then the frame.
//
// One goroutine (Run) does all of it; Take and Told only queue and never wait. Bounds: mostQueued frames of mostFrame bytes and
// mostTold purges of the own watch wait, past them the new ones are dropped and counted: the repair of the broadcast finds them, and the
// own watch is heeded without it anyway. The latest mostLatest purges that counted here are kept for who asks, some 100 KB. Locks: mu
// guards node, queues and that list and is never held over I/O, nor over a line of the log. It lives as long as the gateway.
package driver

import (
	"encoding/binary"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"foldslip/internal/fleet/broadcast"
	"foldslip/internal/fleet/view"
)

const (
	maxQueuedFrames    = 1024
	maxDatagramBytes   = 1400
	maxQueuedPurges    = 4096
	headerSize         = 1 + 8
	viewInterval       = 200 * time.Millisecond // between looks at the view
	behindThreshold    = 2 * time.Second        // before a gap is told in the log: what is repaired at once is no news
	recoveredThreshold = 5 * time.Second        // without one so old, before the log says that it is over: at most two lines in wholeFor
	maxLatest          = 1024                   // purges told to who asks
)

// Fleet is the part of membership that it needs.
type Fleet interface {
	Send(to string, b []byte) error
	LiveIDs() ([]view.ID, uint64)
	Version() uint64
}

// Counts are since the process started.
type Counts struct {
	Received         uint64 `json:"taken_in"`     // datagrams of peers that were read
	BytesIn          uint64 `json:"bytes_in"`     // of them, without UDP's and IP's heads
	Sent             uint64 `json:"sent_out"`     // datagrams
	BytesOut         uint64 `json:"bytes_out"`    // of them
	SendFailures     uint64 `json:"not_sent"`     // whose peer was live no more, or that the link did not take
	Dropped          uint64 `json:"full"`         // dropped, as too many waited
	UnknownSenders   uint64 `json:"unknown"`      // of a sender that is not live in this view
	Unreadable       uint64 `json:"unreadable"`   // frames
	OwnPurgesDropped uint64 `json:"own_dropped"`  // purges of the own watch that found no room here; heeded all the same
	LearnedFromPeers uint64 `json:"peers_first"`  // purges that peers told before the own watch did
	BehindPeriods    uint64 `json:"behind_times"` // gaps that lasted long enough to be told
}

// Driver is one gateway's.
type Driver struct {
	self      string
	locality  broadcast.Locality
	fleet     Fleet
	onPurges  func([]broadcast.Purge)
	log       *slog.Logger
	startedAt time.Time
	notify    chan struct{}

	viewVersion uint64 // of the view that the node was told; Run's goroutine's
	hasView     bool   // one was

	mu           sync.Mutex
	node         *broadcast.Node
	queue        [][]byte
	ownPurges    []broadcast.Purge
	peerNames    map[uint64]string // live ones, by key
	counts       Counts
	isBehind     bool  // and the log was told so
	behindSince  int64 // since when the gap that it was told of lasts
	lastBehindAt int64 // when a gap was last older than behindFor
	latest       []AppliedPurge
	appliedCount uint64 // purges that were put in latest since New

	differingSince int64 // since when reconciliation knows of seconds that may lack something; 0: it knows of none
}

// AppliedPurge is a purge that counted at this gateway: the time that it did by the gateway's own up time, which no wrong clock shifts.
type AppliedPurge struct {
	Number     uint64 `json:"no"` // from 1 on, without gaps, since the process started
	Object     string `json:"object,omitempty"`
	Group      int64  `json:"group,omitempty"`
	Issued     int64  `json:"issued_ms"`      // Unix, as whoever told it says
	AtUptimeMS int64  `json:"at_up_ms"`       // as Report.UpMS
	FromPeer   bool   `json:"peer,omitempty"` // a peer told it first; else the own watch did, perhaps after a peer
}

// New makes a gateway's: heed takes purges that peers told first, on Run's goroutine. wall is the machine's clock, for the age of purges.
// stamp differs at each start of a process, and between gateways: peers hold batches by it, and those of a new process under an old
// stamp would be taken for ones that they had. All chance comes of it too.
func New(self string, place view.Locality, heed func([]broadcast.Purge), log *slog.Logger, stamp uint64, wall func() time.Time) *Driver {
	c := &Driver{self: self, locality: broadcast.Locality{Region: place.Region, Zone: place.Zone, Site: place.Site}, onPurges: heed, log: log, startedAt: time.Now(),
		notify: make(chan struct{}, 1), peerNames: map[uint64]string{}}
	set := broadcast.DefaultSettings
	set.StartUnixMillis = wall().UnixMilli()
	c.node = broadcast.New(set, broadcast.Member{Name: self, Locality: c.locality}, stamp, rand.New(rand.NewPCG(stamp, 0x62726f6164636173)), c.now())
	return c
}

// SetFleet sets the fleet that it goes over, before Run.
func (c *Driver) SetFleet(f Fleet) { c.fleet = f }

// now is microseconds since this gateway's part began, from 1 on.
func (c *Driver) now() int64 { return time.Since(c.startedAt).Microseconds() + 1 }

func (c *Driver) signal() {
	select {
	case c.notify <- struct{}{}:
	default:
	}
}

// IsBroadcast tells whether a datagram of the fleet is the broadcast's.
func IsBroadcast(b []byte) bool { return len(b) > 0 && b[0] == broadcast.Kind }

// HandleMessage takes a datagram of a peer; the bytes are the caller's.
func (c *Driver) HandleMessage(b []byte) {
	c.mu.Lock()
	if len(c.queue) >= maxQueuedFrames || len(b) > maxDatagramBytes {
		c.counts.Dropped++
	} else {
		c.queue = append(c.queue, slices.Clone(b))
	}
	c.mu.Unlock()
	c.signal()
}

// RecordPurges takes purges that the own discovery watch told.
func (c *Driver) RecordPurges(purges []broadcast.Purge) {
	if len(purges) == 0 {
		return
	}
	c.mu.Lock()
	room := max(0, maxQueuedPurges-len(c.ownPurges))
	c.counts.OwnPurgesDropped += uint64(max(0, len(purges)-room))
	c.ownPurges = append(c.ownPurges, purges[:min(room, len(purges))]...)
	c.recordApplied(purges, false, c.now()) // those that found no room too: they are heeded
	c.mu.Unlock()
	c.signal()
}

// recordApplied keeps what counted here for who asks; mu is held.
func (c *Driver) recordApplied(purges []broadcast.Purge, peer bool, now int64) {
	for _, p := range purges {
		c.appliedCount++
		h := AppliedPurge{c.appliedCount, p.Object, p.Group, p.Issued, now / 1000, peer}
		if len(c.latest) < maxLatest {
			c.latest = append(c.latest, h)
		} else {
			c.latest[(c.appliedCount-1)%maxLatest] = h
		}
	}
}

// Run goes on until stop is closed.
func (c *Driver) Run(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case <-c.notify:
		case <-timer.C:
		}
		t := c.turn()
		if len(t.learned) > 0 {
			c.onPurges(t.learned)
			c.mu.Lock()
			c.recordApplied(t.learned, true, c.now())
			c.mu.Unlock()
		}
		c.send(t.messages)
		if t.logLine != nil {
			t.logLine()
		}
		timer.Reset(t.nextTurn)
	}
}

type message struct {
	to       string
	datagram []byte
}

// turnResult is what a turn leaves to be done without the lock.
type turnResult struct {
	learned  []broadcast.Purge
	messages []message
	logLine  func() // of the log; nil: none
	nextTurn time.Duration
}

// turn brings in what waits and gives what is to be done, and when to come again.
func (c *Driver) turn() (t turnResult) {
	version := c.fleet.Version()
	var live []view.ID
	if !c.hasView || version != c.viewVersion { // Run's goroutine alone touches these two
		live, version = c.fleet.LiveIDs()
	}
	c.mu.Lock()
	if live != nil {
		c.setMembers(live, version)
	}
	defer c.mu.Unlock()
	now := c.now()
	told, in := c.ownPurges, c.queue
	c.ownPurges, c.queue = nil, nil
	if len(told) > 0 {
		c.node.RecordOwn(told, now)
	}
	for _, b := range in {
		t.learned = append(t.learned, c.handleDatagram(b, now)...)
	}
	c.node.Step(now)
	for _, l := range c.node.TakeMessages() {
		b := binary.LittleEndian.AppendUint64([]byte{broadcast.Kind}, view.NameKey(c.self))
		t.messages = append(t.messages, message{l.To, append(b, l.Frame...)})
	}
	c.counts.LearnedFromPeers += uint64(len(t.learned))
	t.logLine = c.modeChange(now)
	next := min(viewInterval.Microseconds(), c.node.Next()-now) // bounded before it is made nanoseconds: never would not fit
	t.nextTurn = max(time.Millisecond, time.Duration(next)*time.Microsecond)
	return t
}

// setMembers tells the node who is live; mu is held.
func (c *Driver) setMembers(live []view.ID, version uint64) {
	c.hasView, c.viewVersion = true, version
	clear(c.peerNames)
	members := make([]broadcast.Member, 0, len(live))
	for _, id := range live {
		members = append(members, broadcast.Member{Name: id.Name, Locality: broadcast.Locality{Region: id.Locality.Region, Zone: id.Locality.Zone, Site: id.Locality.Site}})
		if id.Name != c.self {
			c.peerNames[view.NameKey(id.Name)] = id.Name
		}
	}
	c.node.SetMembers(members, c.now())
}

// handleDatagram takes one datagram; mu is held.
func (c *Driver) handleDatagram(b []byte, now int64) []broadcast.Purge {
	if len(b) <= headerSize || b[0] != broadcast.Kind {
		c.counts.Unreadable++
		return nil
	}
	from := c.peerNames[binary.LittleEndian.Uint64(b[1:])]
	if from == "" {
		c.counts.UnknownSenders++
		return nil
	}
	c.counts.Received++
	c.counts.BytesIn += uint64(len(b))
	heed, err := c.node.HandleFrame(from, b[headerSize:], now)
	if err != nil { // counted, not logged: whoever sends such frames would fill the log
		c.counts.Unreadable++
	}
	return heed
}

// modeChange gives the line of the log where the mode changes: behind once a gap has lasted behindFor, whole once none so old was there for
// wholeFor. Under steady loss some gap is always there, each a short one: that is no mode. mu is held.
func (c *Driver) modeChange(now int64) func() {
	b := c.node.Stats().Behind
	since := b.Since // of batches; seconds that a peer has more of are dated here
	if b.DifferingSeconds == 0 {
		c.differingSince = 0
	} else {
		if c.differingSince == 0 {
			c.differingSince = now
		}
		if since == 0 || c.differingSince < since {
			since = c.differingSince
		}
	}
	old := since != 0 && now-since > behindThreshold.Microseconds()
	if old {
		c.lastBehindAt = now
	}
	switch {
	case old && !c.isBehind:
		c.isBehind, c.behindSince = true, since
		c.counts.BehindPeriods++
		return func() {
			c.log.Warn("fleet_broadcast", "mode", "behind", "batches", b.MissingBatches, "seconds", b.DifferingSeconds)
		}
	case c.isBehind && now-c.lastBehindAt > recoveredThreshold.Microseconds():
		c.isBehind = false
		lasted := (c.lastBehindAt - c.behindSince) / 1000
		return func() { c.log.Info("fleet_broadcast", "mode", "whole", "behind_ms", lasted) }
	}
	return nil
}

func (c *Driver) send(out []message) {
	var sent, bytes, not uint64
	for _, l := range out {
		if c.fleet.Send(l.to, l.datagram) != nil { // repaired as one that was lost on the way
			not++
			continue
		}
		sent, bytes = sent+1, bytes+uint64(len(l.datagram))
	}
	c.mu.Lock()
	c.counts.Sent, c.counts.BytesOut, c.counts.SendFailures = c.counts.Sent+sent, c.counts.BytesOut+bytes, c.counts.SendFailures+not
	c.mu.Unlock()
}

// Report is what a gateway's broadcast is at, for operators.
type Report struct {
	Name     string             `json:"name"`
	Locality broadcast.Locality `json:"place"`
	Live     int                `json:"live"`
	Mode     string             `json:"mode"` // behind or whole, as the log was told
	Counts   Counts             `json:"counts"`
	Node     broadcast.Stats    `json:"node"`
	UptimeMS int64              `json:"up_ms"`
	Applied  uint64             `json:"heeded"` // the last one's number
	Latest   []AppliedPurge     `json:"latest,omitempty"`
}

// Report tells it, with the latest purges that counted here, those numbered up to after left out: of the last mostLatest.
func (c *Driver) Report(after uint64) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{Name: c.self, Locality: c.locality, Live: len(c.peerNames) + 1, Mode: "whole", Counts: c.counts, Node: c.node.Stats(), UptimeMS: c.now() / 1000,
		Applied: c.appliedCount}
	if c.isBehind {
		r.Mode = "behind"
	}
	for no := max(after, c.appliedCount-uint64(len(c.latest))) + 1; no <= c.appliedCount; no++ {
		r.Latest = append(r.Latest, c.latest[(no-1)%maxLatest])
	}
	return r
}
