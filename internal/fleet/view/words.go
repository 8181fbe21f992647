package view

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
)

// Words are what gateways tell each other beside the detector's own messages: proofs of life, failed probes and digests, with
// ages in place of times, so that no two clocks have to agree. All words of a frame come from its sender's own knowledge, some
// of it passed on. On the wire, little-endian, no padding:
//
//	1 byte   form, 1
//	8 bytes  sender's key
//	4 bytes  sender's digest, 8 bytes its generation (agree.go)
//	2 bytes  length of the bits g, 1 byte number of proofs p, 1 byte number of accusations a
//	g bytes  who is known to see the same as the sender
//	p times  8 key, 8 key of who heard, 4 age in milliseconds
//	a times  8 key, 8 key of the accuser, 4 age in milliseconds
const (
	// Form is the first byte of words.
	Form        = 1
	wordsHead   = 1 + 8 + 4 + 8 + 4
	wordSize    = 8 + 8 + 4
	mostProofs  = 24 // 480 bytes: a frame goes in one datagram beside the detector's own messages
	mostAccused = 12
	mostBits    = 512 // 4,096 members
	// MostWords is the size of the longest frame in bytes.
	MostWords = wordsHead + mostBits + (mostProofs+mostAccused)*wordSize
)

var (
	errForm  = errors.New("words of another form")
	errShort = errors.New("words of another length than they tell")
)

func millis(us int64) uint32 { return uint32(min(max(us, 0)/1000, 1<<32-1)) }

// Words makes a frame of at most that many bytes; nil if not even a head fits. Where not all proofs fit, members take turns, so
// that each is told in time whatever the fleet's size.
func (v *View) Words(limit int, now int64) []byte {
	agreed := v.own()
	room := min(limit, MostWords) - wordsHead - len(agreed)
	if room < 0 {
		return nil
	}
	le := binary.LittleEndian
	b := append(make([]byte, 0, limit), Form)
	b = le.AppendUint64(b, Key(v.self))
	b = le.AppendUint32(b, v.Digest())
	b = le.AppendUint64(b, v.gen)
	b = le.AppendUint16(b, uint16(len(agreed)))
	b = append(b, 0, 0)
	b = append(b, agreed...)

	var accused, told []*Member
	for _, m := range v.members {
		if m.State == Suspect && now-m.Accused < v.set.Evident {
			accused = append(accused, m)
		}
		if m.Name != v.self && m.State.Live() && now-m.Heard < v.set.Evident {
			told = append(told, m)
		}
	}
	// Sorted: what goes out must not hang on the order of a map.
	byName := func(a, b *Member) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(accused, func(a, b *Member) int { return cmp.Or(cmp.Compare(b.Accused, a.Accused), byName(a, b)) })
	accused = accused[:min(len(accused), mostAccused, room/wordSize)]
	room -= len(accused) * wordSize
	fit := min(len(told), mostProofs, room/wordSize)
	if fit < len(told) {
		slices.SortFunc(told, byName)
		from := int(v.turn % uint64(len(told)))
		v.turn += uint64(fit)
		told = append(told[from:len(told):len(told)], told[:from]...)[:fit]
	}
	word := func(name, by string, at int64) {
		b = le.AppendUint64(b, Key(name))
		b = le.AppendUint64(b, Key(by))
		b = le.AppendUint32(b, millis(now-at))
	}
	for _, m := range told {
		word(m.Name, m.By, m.Heard)
	}
	for _, m := range accused {
		word(m.Name, m.Accuser, m.Accused)
	}
	b[wordsHead-2], b[wordsHead-1] = byte(fit), byte(len(accused))
	return b
}

// Take takes a frame that came directly from its sender. Words on members that are not held, and words of who is not held, are
// passed over; a frame that cannot be read changes nothing.
func (v *View) Take(b []byte, now int64) (changes []Change, err error) {
	if len(b) < wordsHead || b[0] != Form {
		return nil, errForm
	}
	le := binary.LittleEndian
	bits, proofs, accused := int(le.Uint16(b[wordsHead-4:])), int(b[wordsHead-2]), int(b[wordsHead-1])
	if bits > mostBits || proofs > mostProofs || accused > mostAccused || len(b) != wordsHead+bits+(proofs+accused)*wordSize {
		return nil, errShort
	}
	from := v.members[v.keys[le.Uint64(b[1:])]]
	if from == nil || from.Name == v.self {
		return nil, nil // not of this view yet, or a name claimed twice
	}
	// Its own frame proves that it lived when it wrote it; how long the way took is not known and is left out.
	changes = v.Heard(from.Name, v.self, now, now)
	v.joined(from, le.Uint32(b[9:]), le.Uint64(b[13:]), b[wordsHead:wordsHead+bits], now)
	rest := b[wordsHead+bits:]
	for i := range proofs + accused {
		m, by, at := v.members[v.keys[le.Uint64(rest)]], v.keys[le.Uint64(rest[8:])], now-int64(le.Uint32(rest[16:]))*1000
		rest = rest[wordSize:]
		switch {
		case m == nil || by == "":
		case i >= proofs:
			changes = append(changes, v.Accuse(m.Name, by, at, now)...)
		case m.Name != v.self:
			changes = append(changes, v.Heard(m.Name, by, at, now)...)
		}
	}
	return changes, nil
}
