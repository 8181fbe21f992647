package view

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math"
	"slices"
)

// Gateways exchange heartbeat frames in addition to the detector's own messages. A frame states when members were last
// seen, which probes failed, the sender's digest of the live set and which members agree with it. It contains the
// sender's own observations and observations that the sender received from others. Frames contain ages instead of
// times, so the clocks of gateways do not have to agree. The encoding is little-endian without padding:
//
//	1 byte   Kind
//	8 bytes  NameKey of the sender
//	4 bytes  digest of the sender
//	8 bytes  agreement generation of the sender (agreement.go)
//	2 bytes  length g of the agreed bits
//	1 byte   number s of seen records
//	1 byte   number f of failed probe records
//	g bytes  agreed bits
//	s times  8 bytes key of the member, 8 bytes key of the gateway that saw it, 4 bytes age in milliseconds
//	f times  8 bytes key of the member, 8 bytes key of the gateway whose probe failed, 4 bytes age in milliseconds
const (
	// Kind is the first byte of a heartbeat frame. It distinguishes heartbeat frames from other datagrams between
	// gateways.
	Kind = 1

	headerSize            = 1 + 8 + 4 + 8 + 2 + 1 + 1
	recordSize            = 8 + 8 + 4
	maxSeenRecords        = 24 // 480 bytes, so that a frame fits in one datagram with the detector's own messages
	maxFailedProbeRecords = 12
	maxAgreedBytes        = 512 // one bit for each of 4,096 members

	// MaxFrameBytes is the maximum size of a frame.
	MaxFrameBytes = headerSize + maxAgreedBytes + (maxSeenRecords+maxFailedProbeRecords)*recordSize
)

// Offsets of the header fields, in bytes.
const (
	keyOffset         = 1
	digestOffset      = 9
	generationOffset  = 13
	agreedBytesOffset = 21
	seenCountOffset   = 23
	failedCountOffset = 24
)

// ErrFrame reports that a heartbeat frame or a leave notice is malformed: its kind is wrong, a count exceeds its
// maximum, or its length does not match its content.
var ErrFrame = errors.New("malformed heartbeat frame or leave notice: unexpected kind, record count or length")

// agreementFrame is the part of a heartbeat frame that describes agreement.
type agreementFrame struct {
	digest     uint32
	generation uint64
	agreedBits []byte
}

// ageMillis converts an age from microseconds to whole milliseconds, limited to the range of a uint32.
func ageMillis(age int64) uint32 { return uint32(min(max(age, 0)/1000, math.MaxUint32)) }

// HeartbeatFrame returns a frame of at most limit bytes, or nil if the header and the agreed bits do not fit. If not
// all seen records fit, successive frames contain the records of different members in rotation.
func (v *View) HeartbeatFrame(limit int, now int64) []byte {
	agreedBits := v.ownAgreedBits()
	space := min(limit, MaxFrameBytes) - headerSize - len(agreedBits)
	if space < 0 {
		return nil
	}
	failed := v.newestFailedProbes(space/recordSize, now)
	space -= len(failed) * recordSize
	seen := v.nextSeen(space/recordSize, now)

	b := make([]byte, 0, limit)
	b = append(b, Kind)
	b = binary.LittleEndian.AppendUint64(b, NameKey(v.self))
	b = binary.LittleEndian.AppendUint32(b, v.Digest())
	b = binary.LittleEndian.AppendUint64(b, v.generation)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(agreedBits)))
	b = append(b, byte(len(seen)), byte(len(failed)))
	b = append(b, agreedBits...)
	for _, m := range seen {
		b = appendRecord(b, m.Name, m.LastSeenBy, now-m.LastSeen)
	}
	for _, m := range failed {
		b = appendRecord(b, m.Name, m.ProbeFailedBy, now-m.ProbeFailedAt)
	}
	return b
}

func appendRecord(b []byte, name, by string, age int64) []byte {
	b = binary.LittleEndian.AppendUint64(b, NameKey(name))
	b = binary.LittleEndian.AppendUint64(b, NameKey(by))
	return binary.LittleEndian.AppendUint32(b, ageMillis(age))
}

func compareNames(a, b *Member) int { return cmp.Compare(a.Name, b.Name) }

// newestFailedProbes returns the suspect members whose failed probes are reported in a frame, at most space of them.
// Members with the newest failed probes come first.
func (v *View) newestFailedProbes(space int, now int64) []*Member {
	var suspects []*Member
	for _, m := range v.members {
		if m.State == Suspect && now-m.ProbeFailedAt < v.settings.EvidenceMaxAge {
			suspects = append(suspects, m)
		}
	}
	slices.SortFunc(suspects, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(b.ProbeFailedAt, a.ProbeFailedAt), compareNames(a, b))
	})
	return suspects[:min(len(suspects), maxFailedProbeRecords, space)]
}

// nextSeen returns the live members whose seen records go into a frame, at most space of them. If not all of them fit,
// the selection continues in the order of names after the last member of the previous frame.
func (v *View) nextSeen(space int, now int64) []*Member {
	var seen []*Member
	for _, m := range v.members {
		if m.Name != v.self && m.State.IsLive() && now-m.LastSeen < v.settings.EvidenceMaxAge {
			seen = append(seen, m)
		}
	}
	count := min(len(seen), maxSeenRecords, space)
	if count == len(seen) {
		return seen
	}
	slices.SortFunc(seen, compareNames)
	first := int(v.rotation % uint64(len(seen)))
	v.rotation += uint64(count)
	return slices.Concat(seen[first:], seen[:first])[:count]
}

// MergeHeartbeat merges a frame that was received directly from its sender. It ignores records that name a member or a
// gateway which the view does not hold. If the frame is malformed, it returns ErrFrame and leaves the view unchanged.
func (v *View) MergeHeartbeat(b []byte, now int64) ([]Change, error) {
	if len(b) < headerSize || b[0] != Kind {
		return nil, ErrFrame
	}
	agreedBytes := int(binary.LittleEndian.Uint16(b[agreedBytesOffset:]))
	seenCount := int(b[seenCountOffset])
	failedCount := int(b[failedCountOffset])
	if agreedBytes > maxAgreedBytes || seenCount > maxSeenRecords || failedCount > maxFailedProbeRecords {
		return nil, ErrFrame
	}
	if len(b) != headerSize+agreedBytes+(seenCount+failedCount)*recordSize {
		return nil, ErrFrame
	}
	sender := v.members[v.nameByKey[binary.LittleEndian.Uint64(b[keyOffset:])]]
	if sender == nil || sender.Name == v.self {
		return nil, nil // the sender is not a member yet, or it is another process with this gateway's name
	}
	// The frame proves that its sender ran when it sent the frame. The transmission time is unknown and is taken as
	// zero.
	changes := v.RecordSeen(sender.Name, v.self, now, now)
	records := b[headerSize+agreedBytes:]
	v.mergeAgreement(sender, agreementFrame{
		digest:     binary.LittleEndian.Uint32(b[digestOffset:]),
		generation: binary.LittleEndian.Uint64(b[generationOffset:]),
		agreedBits: b[headerSize : headerSize+agreedBytes],
	}, now)
	for i := range seenCount + failedCount {
		changes = append(changes, v.mergeRecord(records[i*recordSize:], i >= seenCount, now)...)
	}
	return changes, nil
}

// mergeRecord merges the first record of b, which is either a failed probe record or a seen record.
func (v *View) mergeRecord(b []byte, isFailedProbe bool, now int64) []Change {
	m := v.members[v.nameByKey[binary.LittleEndian.Uint64(b)]]
	by := v.nameByKey[binary.LittleEndian.Uint64(b[8:])]
	at := now - int64(binary.LittleEndian.Uint32(b[16:]))*1000
	switch {
	case m == nil || by == "":
		return nil
	case isFailedProbe:
		return v.RecordFailedProbe(m.Name, by, at, now)
	case m.Name == v.self:
		return nil
	}
	return v.RecordSeen(m.Name, by, at, now)
}
