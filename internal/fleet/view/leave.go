package view

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// A leave notice is what gateways send each other of members that said that they leave, little-endian, no padding:
//
//	1 byte   LeaveNoticeKind
//	and for each of at most maxLeaveRecords members: 8 bytes NameKey, 8 bytes incarnation
//
// The detector's report that a member is gone does not say whether it left or died. A gateway that leaves says so in its metadata first, but
// gossip may bring the detector's report to a peer before the metadata, which is then too old to be taken. So each gateway that knows passes it on.
const (
	// LeaveNoticeKind is the first byte of leave notices.
	LeaveNoticeKind = 6

	leaveRecordSize = 8 + 8
	maxLeaveRecords = 32
)

// RecordLeaving takes that a process said that it leaves. One that was held dead has left.
func (v *View) RecordLeaving(name string, incarnation uint64, now int64) []Change {
	m := v.members[name]
	if m == nil || m.Incarnation != incarnation || m.leavingSince != 0 {
		return nil
	}
	m.leavingSince = now
	m.addEvidence(now, name, "leaves")
	if m.State == Dead {
		return v.MarkGone(name, true, now)
	}
	return nil
}

// IsLeaving reports whether a member said that it leaves.
func (v *View) IsLeaving(name string) bool {
	m := v.members[name]
	return m != nil && m.leavingSince != 0
}

// LeaveNotice returns a notice of at most limit bytes of the members that said within maxAge that they leave, the newest first; nil: there
// are none, or none fits.
func (v *View) LeaveNotice(limit int, maxAge, now int64) []byte {
	var leaving []*Member
	for _, m := range v.members {
		if m.leavingSince != 0 && now-m.leavingSince < maxAge {
			leaving = append(leaving, m)
		}
	}
	slices.SortFunc(leaving, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(b.leavingSince, a.leavingSince), compareNames(a, b))
	})
	count := min(len(leaving), maxLeaveRecords, (limit-1)/leaveRecordSize)
	if count <= 0 {
		return nil
	}
	b := []byte{LeaveNoticeKind}
	for _, m := range leaving[:count] {
		b = binary.LittleEndian.AppendUint64(b, NameKey(m.Name))
		b = binary.LittleEndian.AppendUint64(b, m.Incarnation)
	}
	return b
}

// LeaveRecord names a process that leaves.
type LeaveRecord struct {
	Name        string
	Incarnation uint64
}

// ReadLeaveNotice returns the members of this view that a notice names. The error is ErrFrame.
func (v *View) ReadLeaveNotice(b []byte) ([]LeaveRecord, error) {
	if len(b) <= 1 || b[0] != LeaveNoticeKind || (len(b)-1)%leaveRecordSize != 0 || len(b) > 1+maxLeaveRecords*leaveRecordSize {
		return nil, ErrFrame
	}
	var records []LeaveRecord
	for rest := b[1:]; len(rest) > 0; rest = rest[leaveRecordSize:] {
		name := v.nameByKey[binary.LittleEndian.Uint64(rest)]
		if name != "" && name != v.self {
			records = append(records, LeaveRecord{name, binary.LittleEndian.Uint64(rest[8:])})
		}
	}
	return records, nil
}
