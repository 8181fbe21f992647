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
//	4 bytes  sender's digest
//	1 byte   number of proofs p, 1 byte number of accusations a
//	p times  8 key, 8 key of who heard, 4 age in milliseconds, 4 digest the member told, 4 age of that digest
//	a times  8 key, 8 key of the accuser, 4 age in milliseconds
const (
	form        = 1
	wordsHead   = 1 + 8 + 4 + 2
	proofSize   = 8 + 8 + 4 + 4 + 4
	accuseSize  = 8 + 8 + 4
	mostProofs  = 32 // 896 bytes: a frame goes in one datagram beside the detector's own messages
	mostAccused = 12
	// MostWords is the size of the longest frame in bytes.
	MostWords = wordsHead + mostProofs*proofSize + mostAccused*accuseSize
)

var (
	errForm  = errors.New("words of another form")
	errShort = errors.New("words of another length than they tell")
)

func millis(us int64) uint32 { return uint32(min(max(us, 0)/1000, 1<<32-1)) }

// Words makes a frame of at most that many bytes; nil if not even a head fits. Where not all proofs fit, members take turns, so
// that each is told in time whatever the fleet's size.
func (v *View) Words(limit int, now int64) []byte {
	room := min(limit, MostWords) - wordsHead
	if room < 0 {
		return nil
	}
	b := append(make([]byte, 0, limit), form)
	b = binary.LittleEndian.AppendUint64(b, Key(v.self))
	b = binary.LittleEndian.AppendUint32(b, v.Digest())
	b = append(b, 0, 0)

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
	accused = accused[:min(len(accused), mostAccused, room/accuseSize)]
	room -= len(accused) * accuseSize
	fit := min(len(told), mostProofs, room/proofSize)
	if fit < len(told) {
		slices.SortFunc(told, byName)
		from := int(v.turn % uint64(len(told)))
		v.turn += uint64(fit)
		told = append(told[from:len(told):len(told)], told[:from]...)[:fit]
	}
	for _, m := range told {
		b = binary.LittleEndian.AppendUint64(b, Key(m.Name))
		b = binary.LittleEndian.AppendUint64(b, Key(m.By))
		b = binary.LittleEndian.AppendUint32(b, millis(now-m.Heard))
		b = binary.LittleEndian.AppendUint32(b, m.Digest)
		b = binary.LittleEndian.AppendUint32(b, millis(now-m.DigestAt))
	}
	for _, m := range accused {
		b = binary.LittleEndian.AppendUint64(b, Key(m.Name))
		b = binary.LittleEndian.AppendUint64(b, Key(m.Accuser))
		b = binary.LittleEndian.AppendUint32(b, millis(now-m.Accused))
	}
	b[wordsHead-2], b[wordsHead-1] = byte(fit), byte(len(accused))
	return b
}

// Take takes a frame that came directly from its sender. Words on members that are not held, and words of who is not held, are
// passed over; a frame that cannot be read changes nothing.
func (v *View) Take(b []byte, now int64) (changes []Change, err error) {
	if len(b) < wordsHead || b[0] != form {
		return nil, errForm
	}
	proofs, accused := int(b[wordsHead-2]), int(b[wordsHead-1])
	if proofs > mostProofs || accused > mostAccused || len(b) != wordsHead+proofs*proofSize+accused*accuseSize {
		return nil, errShort
	}
	le := binary.LittleEndian
	from := v.members[v.keys[le.Uint64(b[1:])]]
	if from == nil || from.Name == v.self {
		return nil, nil // not of this view yet, or a name claimed twice
	}
	// Its own frame proves that it lived when it wrote it; how long the way took is not known and is left out.
	changes = v.Heard(from.Name, v.self, now, now)
	v.digested(from, le.Uint32(b[9:]), now, now)
	rest := b[wordsHead:]
	for ; proofs > 0; proofs-- {
		m, by := v.members[v.keys[le.Uint64(rest)]], v.keys[le.Uint64(rest[8:])]
		at := now - int64(le.Uint32(rest[16:]))*1000
		if m != nil && m.Name != v.self && by != "" {
			changes = append(changes, v.Heard(m.Name, by, at, now)...)
			v.digested(m, le.Uint32(rest[20:]), now-int64(le.Uint32(rest[24:]))*1000, now)
		}
		rest = rest[proofSize:]
	}
	for ; accused > 0; accused-- {
		m, by := v.members[v.keys[le.Uint64(rest)]], v.keys[le.Uint64(rest[8:])]
		if m != nil && by != "" {
			changes = append(changes, v.Accuse(m.Name, by, now-int64(le.Uint32(rest[16:]))*1000, now)...)
		}
		rest = rest[accuseSize:]
	}
	return changes, nil
}

// digested takes what a member said of whom it sees, if it is newer than what is held. A word that it sees others than before
// ends a settling: the fleet does not agree any more.
func (v *View) digested(m *Member, digest uint32, at, now int64) {
	if at <= m.DigestAt || at > now {
		return
	}
	m.Digest, m.DigestAt = digest, at
	if digest != v.Digest() && m.State.Live() && v.settled {
		v.settled, v.from = false, now
		v.version++
	}
}
