// Package carrier carries the broadcast of purges (package fleet/broadcast, which decides) over the fleet's datagrams: what the own
// discovery watch told and what peers sent goes in, letters go out, and purges that peers told first are brought to where they count.
//
// A datagram of a peer is told from others by its first byte, broadcast.Kind; eight bytes of the sender's key (view.Key) follow, as
// the fleet's datagrams do not say who sent them, then the frame.
//
// One goroutine (Run) does all of it; Take and Told only queue and never wait. Bounds: mostQueued frames of mostFrame bytes and
// mostTold purges of the own watch wait, past them the new ones are dropped and counted: the repair of the broadcast finds them, and the
// own watch is heeded without it anyway. Locks: mu guards node and queues and is never held over I/O. It lives as long as the gateway.
package carrier

import (
	"encoding/binary"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"foldslip/fleet/broadcast"
	"foldslip/fleet/view"
)

const (
	mostQueued = 1024
	mostFrame  = 1400
	mostTold   = 4096
	headSize   = 1 + 8
	look       = 200 * time.Millisecond // between looks at the view
	behindFor  = 2 * time.Second        // before a gap is told in the log: what is repaired at once is no news
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
	gapAt  int64 // since when the node is behind; 0: it is not
	behind bool  // and that it was told
}

// New makes a gateway's: heed takes purges that peers told first, on Run's goroutine. wall is the machine's clock, for the age of purges.
func New(self string, place view.Place, heed func([]broadcast.Purge), log *slog.Logger, seed uint64, wall func() time.Time) *Carrier {
	c := &Carrier{self: self, place: broadcast.Place{Region: place.Region, Zone: place.Zone, Site: place.Site}, heed: heed, log: log, began: time.Now(),
		bell: make(chan struct{}, 1), peers: map[uint64]string{}}
	set := broadcast.Usual
	set.Unix = wall().UnixMilli()
	c.node = broadcast.New(set, broadcast.Member{Name: self, Place: c.place}, seed, rand.New(rand.NewPCG(seed, 0x62726f6164636173)), c.now())
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
	c.mu.Unlock()
	c.ring()
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
		heed, out, next := c.turn()
		if len(heed) > 0 {
			c.heed(heed)
		}
		c.send(out)
		timer.Reset(next)
	}
}

type letter struct {
	to string
	b  []byte
}

// turn brings in what waits and gives what is to be heeded and sent, and when to come again.
func (c *Carrier) turn() (heed []broadcast.Purge, out []letter, next time.Duration) {
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
		heed = append(heed, c.read(b, now)...)
	}
	c.node.Step(now)
	for _, l := range c.node.Out() {
		b := binary.LittleEndian.AppendUint64([]byte{broadcast.Kind}, view.Key(c.self))
		out = append(out, letter{l.To, append(b, l.Frame...)})
	}
	c.counts.PeersFirst += uint64(len(heed))
	c.gap(now)
	return heed, out, min(look, max(time.Millisecond, time.Duration(c.node.Next()-now)*time.Microsecond))
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

// gap tells when a gap has lasted and when it is closed; mu is held.
func (c *Carrier) gap(now int64) {
	s := c.node.Stats()
	switch {
	case s.Behind.Since == 0:
		if c.behind {
			c.log.Info("fleet_broadcast", "mode", "whole", "behind_ms", (now-c.gapAt)/1000)
		}
		c.gapAt, c.behind = 0, false
	case c.gapAt == 0:
		c.gapAt = now
	case !c.behind && now-c.gapAt > behindFor.Microseconds():
		c.behind = true
		c.counts.BehindTimes++
		c.log.Warn("fleet_broadcast", "mode", "behind", "batches", s.Behind.Batches, "seconds", s.Behind.Seconds)
	}
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
	Counts Counts          `json:"counts"`
	Node   broadcast.Stats `json:"node"`
	UpMS   int64           `json:"up_ms"`
}

// Report tells it.
func (c *Carrier) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Report{c.self, c.place, len(c.peers) + 1, c.counts, c.node.Stats(), c.now() / 1000}
}
