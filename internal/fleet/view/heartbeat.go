package view

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math"
	"slices"
)

// A heartbeat frame is what gateways send each other beside the detector's own messages: when the sender saw members, its failed probes
// and its digest, in part passed on. Ages in place of times make that no two clocks have to agree. On the wire, little-endian, no padding:
//
//	1 byte   Kind
//	8 bytes  sender's NameKey
//	4 bytes  sender's digest, 8 bytes its generation (agreement.go)
//	2 bytes  length g of the agreed bits, 1 byte number s of seen records, 1 byte number f of failed probes
//	g bytes  agreed bits
//	s times  8 key of the member, 8 key of the gateway that saw it, 4 age in milliseconds
//	f times  8 key of the member, 8 key of the gateway whose probe failed, 4 age in milliseconds
const (
	// Kind is the first byte of heartbeat frames, which tells them from other datagrams of gateways.
	Kind = 1

	headerSize            = 1 + 8 + 4 + 8 + 2 + 1 + 1
	recordSize            = 8 + 8 + 4
	maxSeenRecords        = 24 // 480 bytes: a frame goes in one datagram beside the detector's own messages
	maxFailedProbeRecords = 12
	maxAgreedBytes        = 512 // 4,096 members

	// MaxFrameBytes is the size of the longest frame.
	MaxFrameBytes = headerSize + maxAgreedBytes + (maxSeenRecords+maxFailedProbeRecords)*recordSize
)

// Offsets in a header.
const (
	keyOffset         = 1
	digestOffset      = 9
	generationOffset  = 13
	agreedBytesOffset = 21
	seenCountOffset   = 23
	failedCountOffset = 24
)

// ErrFrame reports that a heartbeat frame can't be read: it is of another kind, or of another length than it says.
var ErrFrame = errors.New("unreadable heartbeat frame")

// agreementFrame is the part of a frame about agreement.
type agreementFrame struct {
	digest     uint32
	generation uint64
	agreedBits []byte
}

// ageMillis returns an age in whole milliseconds, as far as four bytes hold it.
func ageMillis(age int64) uint32 { return uint32(min(max(age, 0)/1000, math.MaxUint32)) }

// HeartbeatFrame returns a frame of at most limit bytes, nil if not even a header fits. Where not all seen records fit, members take
// turns over the frames.
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

// newestFailedProbes returns suspects for a frame with space for so many records, those whose probes failed last.
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

// nextSeen returns the live members for a frame with space for so many records. Where not all of them fit, it goes on by name from where
// the last frame ended.
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

// MergeHeartbeat takes a frame that came directly from its sender. Records about members that the view doesn't have, or by such, are
// ignored. The error is ErrFrame; a frame that can't be read changes nothing.
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
		return nil, nil // no member yet, or another process of this gateway's name
	}
	// The frame itself proves that its sender ran when it wrote it; how long it was on its way is not known and is left out.
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

// mergeRecord takes the first record of b: of a failed probe, or of when a member was seen.
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
