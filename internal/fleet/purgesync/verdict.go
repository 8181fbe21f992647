// Package purgesync spreads purges among gateways: one that hears the bulletin late, or not at all for a while, hears of a purge from
// peers. It is pure: what the own bulletin told, hellos and verdicts of peers and whole microseconds go in, what to tell whom and what
// to heed come out. Package fleet/post carries it beside the fleet's limits.
//
// The rule of merging is a join: a purge heard is heard for good, the same from whomever, in whatever order; it can only make a
// gateway stricter (no answer from an older copy), and what the own bulletin says is never taken back for it. So no clock and no vote are
// needed, and a wrong or old word costs a refill. Events are numbered by the bulletin: a hello says the highest number that this gateway
// has a purge of (or heard of by its own bulletin), and who has later ones answers with them in order (anti-entropy; Demers and others,
// Epidemic Algorithms, PODC 1987, pull). A gateway that is told passes it on in the same way.
//
// Bounds: mostKept purges, each for Keep; mostTold a frame. Owner: its carrier, under its lock.
package purgesync

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"slices"
)

// Purge is one, as the bulletin numbered it.
type Purge struct {
	Event  int64  // of the event
	Object string // "": of a group
	Group  int64
	Issued int64 // Unix milliseconds
}

// Settings are times in whole microseconds.
type Settings struct {
	DigestInterval int64 // between hellos
	KeepFor        int64 // a purge is passed on for so long
}

const (
	maxKept            = 2048
	maxPurgesPerFrame  = 12
	maxDeltaBytes      = 1100 // of an answer: one datagram
	maxObjectNameBytes = 255
	digestFanOut       = 2 // that get a hello each turn
)

type keptPurge struct {
	Purge
	keptAt int64
}

// Replica is one gateway's.
type Replica struct {
	settings         Settings
	rng              *rand.Rand
	ownEvent         int64       // of the own bulletin
	highestEvent     int64       // the highest number whose purges are known here
	kept             []keptPurge // rising numbers
	nextDigestAt     int64
	LearnedFromPeers uint64 // purges that peers told before the own bulletin did
}

// New makes a book.
func New(set Settings, chance *rand.Rand, now int64) *Replica {
	return &Replica{settings: set, rng: chance, nextDigestAt: now}
}

// RecordOwn takes what the own bulletin told: its last number, and purges. A bulletin that counts from below anew makes the book anew.
func (b *Replica) RecordOwn(last int64, purges []Purge, now int64) {
	if last < b.ownEvent {
		b.kept, b.highestEvent = nil, 0
	}
	b.ownEvent = last
	b.highestEvent = max(b.highestEvent, last)
	for _, p := range purges {
		b.insert(p, now)
	}
}

// insert puts a purge in its place; false if it was there.
func (b *Replica) insert(p Purge, now int64) bool {
	i, found := slices.BinarySearchFunc(b.kept, p.Event, func(k keptPurge, no int64) int { return int(min(1, max(-1, k.Event-no))) })
	if found {
		return false
	}
	b.kept = slices.Insert(b.kept, i, keptPurge{p, now})
	b.kept = slices.DeleteFunc(b.kept, func(k keptPurge) bool { return now-k.keptAt > b.settings.KeepFor })
	if len(b.kept) > maxKept {
		b.kept = slices.Delete(b.kept, 0, len(b.kept)-maxKept)
	}
	return true
}

// DigestTargets tells whom to greet now.
func (b *Replica) DigestTargets(live []string, now int64) []string {
	if now < b.nextDigestAt || len(live) == 0 {
		return nil
	}
	b.nextDigestAt = now + b.settings.DigestInterval
	to := slices.Clone(live)
	b.rng.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	return to[:min(digestFanOut, len(to))]
}

// Digest is what a greeting says.
func (b *Replica) Digest() int64 { return b.highestEvent }

// Delta are the purges that who greeted so does not have: the first of them, in order.
func (b *Replica) Delta(seen int64) (out []Purge) {
	size := 0
	for _, k := range b.kept {
		if size += 25 + len(k.Object); k.Event > seen && len(out) < maxPurgesPerFrame && size <= maxDeltaBytes {
			out = append(out, k.Purge)
		} else if k.Event <= seen {
			size = 0
		}
	}
	return out
}

// Merge takes an answer and returns what is to be heeded: purges that were not known here.
func (b *Replica) Merge(purges []Purge, now int64) (heed []Purge) {
	for _, p := range purges {
		if p.Event <= 0 || p.Issued <= 0 || p.Issued >= 1e14 {
			continue
		}
		if p.Event > b.ownEvent && b.insert(p, now) {
			heed = append(heed, p)
			b.LearnedFromPeers++
		}
		b.highestEvent = max(b.highestEvent, p.Event)
	}
	return heed
}

// KeptCount is how many purges are kept.
func (b *Replica) KeptCount() int { return len(b.kept) }

// A frame, little-endian, no padding:
//
//	1 byte   Kind; 8 bytes sender's key; 1 byte 0 a hello, 1 an answer
//	8 bytes  highest number known
//	1 byte   number of purges n
//	n times  8 number, 8 issued, 8 group, 1 length of the object's name, the name
const (
	// Kind is the first byte of frames, beside other things that gateways say.
	Kind       = 3
	headerSize = 1 + 8 + 1 + 8 + 1
)

var errFrame = errors.New("a frame of purges that cannot be read")

// Frame is what one gateway says to another.
type Frame struct {
	SenderKey uint64
	IsDelta   bool
	Digest    int64
	Purges    []Purge
}

// Append writes a frame. Names of more than 255 bytes are left out: they wait for the bulletin.
func (f Frame) Append(b []byte) []byte {
	le := binary.LittleEndian
	b = le.AppendUint64(append(b, Kind), f.SenderKey)
	kind := byte(0)
	if f.IsDelta {
		kind = 1
	}
	b = le.AppendUint64(append(b, kind), uint64(f.Digest))
	purges := slices.DeleteFunc(slices.Clone(f.Purges), func(p Purge) bool { return len(p.Object) > maxObjectNameBytes })
	b = append(b, byte(len(purges)))
	for _, p := range purges {
		b = le.AppendUint64(le.AppendUint64(le.AppendUint64(b, uint64(p.Event)), uint64(p.Issued)), uint64(p.Group))
		b = append(append(b, byte(len(p.Object))), p.Object...)
	}
	return b
}

// ParseFrame reads one; all of it must be readable.
func ParseFrame(b []byte) (f Frame, err error) {
	if len(b) < headerSize || b[0] != Kind || b[9] > 1 || int(b[headerSize-1]) > maxPurgesPerFrame {
		return f, errFrame
	}
	le := binary.LittleEndian
	f.SenderKey, f.IsDelta, f.Digest = le.Uint64(b[1:]), b[9] == 1, int64(le.Uint64(b[10:]))
	rest := b[headerSize:]
	for range b[headerSize-1] {
		if len(rest) < 25 || len(rest) < 25+int(rest[24]) {
			return Frame{}, errFrame
		}
		n := 25 + int(rest[24])
		f.Purges = append(f.Purges, Purge{int64(le.Uint64(rest)), string(rest[25:n]), int64(le.Uint64(rest[16:])), int64(le.Uint64(rest[8:]))})
		rest = rest[n:]
	}
	if len(rest) > 0 || f.Digest < 0 {
		return Frame{}, errFrame
	}
	return f, nil
}
