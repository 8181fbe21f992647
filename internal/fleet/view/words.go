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
	Kind                  = 1
	headerSize            = 1 + 8 + 4 + 8 + 4
	recordSize            = 8 + 8 + 4
	maxSeenRecords        = 24 // 480 bytes: a frame goes in one datagram beside the detector's own messages
	maxFailedProbeRecords = 12
	maxAgreedBytes        = 512 // 4,096 members
	// MostWords is the size of the longest frame in bytes.
	MaxFrameBytes = headerSize + maxAgreedBytes + (maxSeenRecords+maxFailedProbeRecords)*recordSize
)

var (
	errKind   = errors.New("words of another form")
	errLength = errors.New("words of another length than they tell")
)

func ageMillis(us int64) uint32 { return uint32(min(max(us, 0)/1000, 1<<32-1)) }

// HeartbeatFrame makes a frame of at most that many bytes; nil if not even a head fits. Where not all proofs fit, members take turns, so
// that each is told in time whatever the fleet's size.
func (v *View) HeartbeatFrame(limit int, now int64) []byte {
	agreed := v.ownAgreedBits()
	room := min(limit, MaxFrameBytes) - headerSize - len(agreed)
	if room < 0 {
		return nil
	}
	le := binary.LittleEndian
	b := append(make([]byte, 0, limit), Kind)
	b = le.AppendUint64(b, NameKey(v.self))
	b = le.AppendUint32(b, v.Digest())
	b = le.AppendUint64(b, v.generation)
	b = le.AppendUint16(b, uint16(len(agreed)))
	b = append(b, 0, 0)
	b = append(b, agreed...)

	var accused, told []*Member
	for _, m := range v.members {
		if m.State == Suspect && now-m.ProbeFailedAt < v.settings.EvidenceMaxAge {
			accused = append(accused, m)
		}
		if m.Name != v.self && m.State.IsLive() && now-m.LastSeen < v.settings.EvidenceMaxAge {
			told = append(told, m)
		}
	}
	// Sorted: what goes out must not hang on the order of a map.
	byName := func(a, b *Member) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(accused, func(a, b *Member) int { return cmp.Or(cmp.Compare(b.ProbeFailedAt, a.ProbeFailedAt), byName(a, b)) })
	accused = accused[:min(len(accused), maxFailedProbeRecords, room/recordSize)]
	room -= len(accused) * recordSize
	fit := min(len(told), maxSeenRecords, room/recordSize)
	if fit < len(told) {
		slices.SortFunc(told, byName)
		from := int(v.rotation % uint64(len(told)))
		v.rotation += uint64(fit)
		told = append(told[from:len(told):len(told)], told[:from]...)[:fit]
	}
	word := func(name, by string, at int64) {
		b = le.AppendUint64(b, NameKey(name))
		b = le.AppendUint64(b, NameKey(by))
		b = le.AppendUint32(b, ageMillis(now-at))
	}
	for _, m := range told {
		word(m.Name, m.LastSeenBy, m.LastSeen)
	}
	for _, m := range accused {
		word(m.Name, m.ProbeFailedBy, m.ProbeFailedAt)
	}
	b[headerSize-2], b[headerSize-1] = byte(fit), byte(len(accused))
	return b
}

// MergeHeartbeat takes a frame that came directly from its sender. Words on members that are not held, and words of who is not held, are
// passed over; a frame that cannot be read changes nothing.
func (v *View) MergeHeartbeat(b []byte, now int64) (changes []Change, err error) {
	if len(b) < headerSize || b[0] != Kind {
		return nil, errKind
	}
	le := binary.LittleEndian
	bits, proofs, accused := int(le.Uint16(b[headerSize-4:])), int(b[headerSize-2]), int(b[headerSize-1])
	if bits > maxAgreedBytes || proofs > maxSeenRecords || accused > maxFailedProbeRecords || len(b) != headerSize+bits+(proofs+accused)*recordSize {
		return nil, errLength
	}
	from := v.members[v.nameByKey[le.Uint64(b[1:])]]
	if from == nil || from.Name == v.self {
		return nil, nil // not of this view yet, or a name claimed twice
	}
	// Its own frame proves that it lived when it wrote it; how long the way took is not known and is left out.
	changes = v.RecordSeen(from.Name, v.self, now, now)
	v.mergeAgreement(from, le.Uint32(b[9:]), le.Uint64(b[13:]), b[headerSize:headerSize+bits], now)
	rest := b[headerSize+bits:]
	for i := range proofs + accused {
		m, by, at := v.members[v.nameByKey[le.Uint64(rest)]], v.nameByKey[le.Uint64(rest[8:])], now-int64(le.Uint32(rest[16:]))*1000
		rest = rest[recordSize:]
		switch {
		case m == nil || by == "":
		case i >= proofs:
			changes = append(changes, v.RecordFailedProbe(m.Name, by, at, now)...)
		case m.Name != v.self:
			changes = append(changes, v.RecordSeen(m.Name, by, at, now)...)
		}
	}
	return changes, nil
}
