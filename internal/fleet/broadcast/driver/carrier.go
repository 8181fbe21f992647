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
	mostQueued = 1024
	mostFrame  = 1400
	mostTold   = 4096
	headSize   = 1 + 8
	look       = 200 * time.Millisecond // between looks at the view
	behindFor  = 2 * time.Second        // before a gap is told in the log: what is repaired at once is no news
	wholeFor   = 5 * time.Second        // without one so old, before the log says that it is over: at most two lines in wholeFor
	mostLatest = 1024                   // purges told to who asks
)

// Fleet is the part of membership that it needs.
type Fleet interface {
	Send(to string, b []byte) error
	LiveIDs() ([]view.ID, uint64)
	Version() uint64
}

// Counts are since the process started.
type Counts struct {
	TakenIn     uint64 `json:"taken_in"`     // datagrams of peers that were read
	BytesIn     uint64 `json:"bytes_in"`     // of them, without UDP's and IP's heads
	SentOut     uint64 `json:"sent_out"`     // datagrams
	BytesOut    uint64 `json:"bytes_out"`    // of them
	NotSent     uint64 `json:"not_sent"`     // whose peer was live no more, or that the link did not take
	Full        uint64 `json:"full"`         // dropped, as too many waited
	Unknown     uint64 `json:"unknown"`      // of a sender that is not live in this view
	Unreadable  uint64 `json:"unreadable"`   // frames
	OwnDropped  uint64 `json:"own_dropped"`  // purges of the own watch that found no room here; heeded all the same
	PeersFirst  uint64 `json:"peers_first"`  // purges that peers told before the own watch did
	BehindTimes uint64 `json:"behind_times"` // gaps that lasted long enough to be told
}

// Carrier is one gateway's.
type Carrier struct {
	self  string
	place broadcast.Place
	fleet Fleet
	heed  func([]broadcast.Purge)
	log   *slog.Logger
	began time.Time
	bell  chan struct{}

	version uint64 // of the view that the node was told; Run's goroutine's
	seen    bool   // one was

	mu     sync.Mutex
	node   *broadcast.Node
	in     [][]byte
	told   []broadcast.Purge
	peers  map[uint64]string // live ones, by key
	counts Counts
	behind bool  // and the log was told so
	gapAt  int64 // since when the gap that it was told of lasts
	oldAt  int64 // when a gap was last older than behindFor
	latest []Heeded
	heeded uint64 // purges that were put in latest since New

	differAt int64 // since when reconciliation knows of seconds that may lack something; 0: it knows of none
}

// Heeded is a purge that counted at this gateway: the time that it did by the gateway's own up time, which no wrong clock shifts.
type Heeded struct {
	No     uint64 `json:"no"` // from 1 on, without gaps, since the process started
	Object string `json:"object,omitempty"`
	Group  int64  `json:"group,omitempty"`
	Issued int64  `json:"issued_ms"`      // Unix, as whoever told it says
	AtMS   int64  `json:"at_up_ms"`       // as Report.UpMS
	Peer   bool   `json:"peer,omitempty"` // a peer told it first; else the own watch did, perhaps after a peer
}

// New makes a gateway's: heed takes purges that peers told first, on Run's goroutine. wall is the machine's clock, for the age of purges.
// stamp differs at each start of a process, and between gateways: peers hold batches by it, and those of a new process under an old
// stamp would be taken for ones that they had. All chance comes of it too.
func New(self string, place view.Place, heed func([]broadcast.Purge), log *slog.Logger, stamp uint64, wall func() time.Time) *Carrier {
	c := &Carrier{self: self, place: broadcast.Place{Region: place.Region, Zone: place.Zone, Site: place.Site}, heed: heed, log: log, began: time.Now(),
		bell: make(chan struct{}, 1), peers: map[uint64]string{}}
	set := broadcast.Usual
	set.Unix = wall().UnixMilli()
	c.node = broadcast.New(set, broadcast.Member{Name: self, Place: c.place}, stamp, rand.New(rand.NewPCG(stamp, 0x62726f6164636173)), c.now())
	return c
}

// Over sets the fleet that it goes over, before Run.
func (c *Carrier) Over(f Fleet) { c.fleet = f }

// now is microseconds since this gateway's part began, from 1 on.
func (c *Carrier) now() int64 { return time.Since(c.began).Microseconds() + 1 }

func (c *Carrier) ring() {
	select {
	case c.bell <- struct{}{}:
	default:
	}
}

// Mine tells whether a datagram of the fleet is the broadcast's.
func Mine(b []byte) bool { return len(b) > 0 && b[0] == broadcast.Kind }

// Take takes a datagram of a peer; the bytes are the caller's.
func (c *Carrier) Take(b []byte) {
	c.mu.Lock()
	if len(c.in) >= mostQueued || len(b) > mostFrame {
		c.counts.Full++
	} else {
		c.in = append(c.in, slices.Clone(b))
	}
	c.mu.Unlock()
	c.ring()
}

// Told takes purges that the own discovery watch told.
func (c *Carrier) Told(purges []broadcast.Purge) {
	if len(purges) == 0 {
		return
	}
	c.mu.Lock()
	room := max(0, mostTold-len(c.told))
	c.counts.OwnDropped += uint64(max(0, len(purges)-room))
	c.told = append(c.told, purges[:min(room, len(purges))]...)
	c.list(purges, false, c.now()) // those that found no room too: they are heeded
	c.mu.Unlock()
	c.ring()
}

// list keeps what counted here for who asks; mu is held.
func (c *Carrier) list(purges []broadcast.Purge, peer bool, now int64) {
	for _, p := range purges {
		c.heeded++
		h := Heeded{c.heeded, p.Object, p.Group, p.Issued, now / 1000, peer}
		if len(c.latest) < mostLatest {
			c.latest = append(c.latest, h)
		} else {
			c.latest[(c.heeded-1)%mostLatest] = h
		}
	}
}

// Run goes on until stop is closed.
func (c *Carrier) Run(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case <-c.bell:
		case <-timer.C:
		}
		t := c.turn()
		if len(t.heed) > 0 {
			c.heed(t.heed)
			c.mu.Lock()
			c.list(t.heed, true, c.now())
			c.mu.Unlock()
		}
		c.send(t.out)
		if t.line != nil {
			t.line()
		}
		timer.Reset(t.next)
	}
}

type letter struct {
	to string
	b  []byte
}

// toDo is what a turn leaves to be done without the lock.
type toDo struct {
	heed []broadcast.Purge
	out  []letter
	line func() // of the log; nil: none
	next time.Duration
}

// turn brings in what waits and gives what is to be done, and when to come again.
func (c *Carrier) turn() (t toDo) {
	version := c.fleet.Version()
	var live []view.ID
	if !c.seen || version != c.version { // Run's goroutine alone touches these two
		live, version = c.fleet.LiveIDs()
	}
	c.mu.Lock()
	if live != nil {
		c.see(live, version)
	}
	defer c.mu.Unlock()
	now := c.now()
	told, in := c.told, c.in
	c.told, c.in = nil, nil
	if len(told) > 0 {
		c.node.Own(told, now)
	}
	for _, b := range in {
		t.heed = append(t.heed, c.read(b, now)...)
	}
	c.node.Step(now)
	for _, l := range c.node.Out() {
		b := binary.LittleEndian.AppendUint64([]byte{broadcast.Kind}, view.Key(c.self))
		t.out = append(t.out, letter{l.To, append(b, l.Frame...)})
	}
	c.counts.PeersFirst += uint64(len(t.heed))
	t.line = c.gap(now)
	next := min(look.Microseconds(), c.node.Next()-now) // bounded before it is made nanoseconds: never would not fit
	t.next = max(time.Millisecond, time.Duration(next)*time.Microsecond)
	return t
}

// see tells the node who is live; mu is held.
func (c *Carrier) see(live []view.ID, version uint64) {
	c.seen, c.version = true, version
	clear(c.peers)
	members := make([]broadcast.Member, 0, len(live))
	for _, id := range live {
		members = append(members, broadcast.Member{Name: id.Name, Place: broadcast.Place{Region: id.Place.Region, Zone: id.Place.Zone, Site: id.Place.Site}})
		if id.Name != c.self {
			c.peers[view.Key(id.Name)] = id.Name
		}
	}
	c.node.See(members, c.now())
}

// read takes one datagram; mu is held.
func (c *Carrier) read(b []byte, now int64) []broadcast.Purge {
	if len(b) <= headSize || b[0] != broadcast.Kind {
		c.counts.Unreadable++
		return nil
	}
	from := c.peers[binary.LittleEndian.Uint64(b[1:])]
	if from == "" {
		c.counts.Unknown++
		return nil
	}
	c.counts.TakenIn++
	c.counts.BytesIn += uint64(len(b))
	heed, err := c.node.Take(from, b[headSize:], now)
	if err != nil { // counted, not logged: whoever sends such frames would fill the log
		c.counts.Unreadable++
	}
	return heed
}

// gap gives the line of the log where the mode changes: behind once a gap has lasted behindFor, whole once none so old was there for
// wholeFor. Under steady loss some gap is always there, each a short one: that is no mode. mu is held.
func (c *Carrier) gap(now int64) func() {
	b := c.node.Stats().Behind
	since := b.Since // of batches; seconds that a peer has more of are dated here
	if b.Seconds == 0 {
		c.differAt = 0
	} else {
		if c.differAt == 0 {
			c.differAt = now
		}
		if since == 0 || c.differAt < since {
			since = c.differAt
		}
	}
	old := since != 0 && now-since > behindFor.Microseconds()
	if old {
		c.oldAt = now
	}
	switch {
	case old && !c.behind:
		c.behind, c.gapAt = true, since
		c.counts.BehindTimes++
		return func() { c.log.Warn("fleet_broadcast", "mode", "behind", "batches", b.Batches, "seconds", b.Seconds) }
	case c.behind && now-c.oldAt > wholeFor.Microseconds():
		c.behind = false
		lasted := (c.oldAt - c.gapAt) / 1000
		return func() { c.log.Info("fleet_broadcast", "mode", "whole", "behind_ms", lasted) }
	}
	return nil
}

func (c *Carrier) send(out []letter) {
	var sent, bytes, not uint64
	for _, l := range out {
		if c.fleet.Send(l.to, l.b) != nil { // repaired as one that was lost on the way
			not++
			continue
		}
		sent, bytes = sent+1, bytes+uint64(len(l.b))
	}
	c.mu.Lock()
	c.counts.SentOut, c.counts.BytesOut, c.counts.NotSent = c.counts.SentOut+sent, c.counts.BytesOut+bytes, c.counts.NotSent+not
	c.mu.Unlock()
}

// Report is what a gateway's broadcast is at, for operators.
type Report struct {
	Name   string          `json:"name"`
	Place  broadcast.Place `json:"place"`
	Live   int             `json:"live"`
	Mode   string          `json:"mode"` // behind or whole, as the log was told
	Counts Counts          `json:"counts"`
	Node   broadcast.Stats `json:"node"`
	UpMS   int64           `json:"up_ms"`
	Heeded uint64          `json:"heeded"` // the last one's number
	Latest []Heeded        `json:"latest,omitempty"`
}

// Report tells it, with the latest purges that counted here, those numbered up to after left out: of the last mostLatest.
func (c *Carrier) Report(after uint64) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{Name: c.self, Place: c.place, Live: len(c.peers) + 1, Mode: "whole", Counts: c.counts, Node: c.node.Stats(), UpMS: c.now() / 1000,
		Heeded: c.heeded}
	if c.behind {
		r.Mode = "behind"
	}
	for no := max(after, c.heeded-uint64(len(c.latest))) + 1; no <= c.heeded; no++ {
		r.Latest = append(r.Latest, c.latest[(no-1)%mostLatest])
	}
	return r
}
