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
	No     int64  // of the event
	Object string // "": of a group
	Group  int64
	Issued int64 // Unix milliseconds
}

// Settings are times in whole microseconds.
type Settings struct {
	Turn int64 // between hellos
	Keep int64 // a purge is passed on for so long
}

const (
	mostKept  = 2048
	mostTold  = 12
	mostBytes = 1100 // of an answer: one datagram
	mostName  = 255
	peers     = 2 // that get a hello each turn
)

type kept struct {
	Purge
	at int64
}

// Book is one gateway's.
type Book struct {
	set    Settings
	chance *rand.Rand
	last   int64  // of the own bulletin
	seen   int64  // the highest number whose purges are known here
	log    []kept // rising numbers
	next   int64
	Taken  uint64 // purges that peers told before the own bulletin did
}

// New makes a book.
func New(set Settings, chance *rand.Rand, now int64) *Book {
	return &Book{set: set, chance: chance, next: now}
}

// Own takes what the own bulletin told: its last number, and purges. A bulletin that counts from below anew makes the book anew.
func (b *Book) Own(last int64, purges []Purge, now int64) {
	if last < b.last {
		b.log, b.seen = nil, 0
	}
	b.last = last
	b.seen = max(b.seen, last)
	for _, p := range purges {
		b.keep(p, now)
	}
}

// keep puts a purge in its place; false if it was there.
func (b *Book) keep(p Purge, now int64) bool {
	i, found := slices.BinarySearchFunc(b.log, p.No, func(k kept, no int64) int { return int(min(1, max(-1, k.No-no))) })
	if found {
		return false
	}
	b.log = slices.Insert(b.log, i, kept{p, now})
	b.log = slices.DeleteFunc(b.log, func(k kept) bool { return now-k.at > b.set.Keep })
	if len(b.log) > mostKept {
		b.log = slices.Delete(b.log, 0, len(b.log)-mostKept)
	}
	return true
}

// Hellos tells whom to greet now.
func (b *Book) Hellos(live []string, now int64) []string {
	if now < b.next || len(live) == 0 {
		return nil
	}
	b.next = now + b.set.Turn
	to := slices.Clone(live)
	b.chance.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	return to[:min(peers, len(to))]
}

// Hello is what a greeting says.
func (b *Book) Hello() int64 { return b.seen }

// Answer are the purges that who greeted so does not have: the first of them, in order.
func (b *Book) Answer(seen int64) (out []Purge) {
	size := 0
	for _, k := range b.log {
		if size += 25 + len(k.Object); k.No > seen && len(out) < mostTold && size <= mostBytes {
			out = append(out, k.Purge)
		} else if k.No <= seen {
			size = 0
		}
	}
	return out
}

// Take takes an answer and returns what is to be heeded: purges that were not known here.
func (b *Book) Take(purges []Purge, now int64) (heed []Purge) {
	for _, p := range purges {
		if p.No <= 0 || p.Issued <= 0 || p.Issued >= 1e14 {
			continue
		}
		if p.No > b.last && b.keep(p, now) {
			heed = append(heed, p)
			b.Taken++
		}
		b.seen = max(b.seen, p.No)
	}
	return heed
}

// Kept is how many purges are kept.
func (b *Book) Kept() int { return len(b.log) }

// A frame, little-endian, no padding:
//
//	1 byte   Kind; 8 bytes sender's key; 1 byte 0 a hello, 1 an answer
//	8 bytes  highest number known
//	1 byte   number of purges n
//	n times  8 number, 8 issued, 8 group, 1 length of the object's name, the name
const (
	// Kind is the first byte of frames, beside other things that gateways say.
	Kind     = 3
	headSize = 1 + 8 + 1 + 8 + 1
)

var errFrame = errors.New("a frame of purges that cannot be read")

// Frame is what one gateway says to another.
type Frame struct {
	From   uint64
	Answer bool
	Seen   int64
	Purges []Purge
}

// Append writes a frame. Names of more than 255 bytes are left out: they wait for the bulletin.
func (f Frame) Append(b []byte) []byte {
	le := binary.LittleEndian
	b = le.AppendUint64(append(b, Kind), f.From)
	kind := byte(0)
	if f.Answer {
		kind = 1
	}
	b = le.AppendUint64(append(b, kind), uint64(f.Seen))
	purges := slices.DeleteFunc(slices.Clone(f.Purges), func(p Purge) bool { return len(p.Object) > mostName })
	b = append(b, byte(len(purges)))
	for _, p := range purges {
		b = le.AppendUint64(le.AppendUint64(le.AppendUint64(b, uint64(p.No)), uint64(p.Issued)), uint64(p.Group))
		b = append(append(b, byte(len(p.Object))), p.Object...)
	}
	return b
}

// ReadFrame reads one; all of it must be readable.
func ReadFrame(b []byte) (f Frame, err error) {
	if len(b) < headSize || b[0] != Kind || b[9] > 1 || int(b[headSize-1]) > mostTold {
		return f, errFrame
	}
	le := binary.LittleEndian
	f.From, f.Answer, f.Seen = le.Uint64(b[1:]), b[9] == 1, int64(le.Uint64(b[10:]))
	rest := b[headSize:]
	for range b[headSize-1] {
		if len(rest) < 25 || len(rest) < 25+int(rest[24]) {
			return Frame{}, errFrame
		}
		n := 25 + int(rest[24])
		f.Purges = append(f.Purges, Purge{int64(le.Uint64(rest)), string(rest[25:n]), int64(le.Uint64(rest[16:])), int64(le.Uint64(rest[8:]))})
		rest = rest[n:]
	}
	if len(rest) > 0 || f.Seen < 0 {
		return Frame{}, errFrame
	}
	return f, nil
}
