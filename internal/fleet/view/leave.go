package view

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// Gateways exchange leave notices, which list the processes that announced their leave. The encoding is little-endian
// without padding:
//
//	1 byte   LeaveNoticeKind
//
// and for each of at most maxLeaveRecords members
//
//	8 bytes  NameKey
//	8 bytes  incarnation
//
// The detector's report that a member is gone does not state whether the member left or died. A gateway that leaves
// first announces this in its metadata. Gossip may deliver the detector's report to a peer before the metadata, and the
// peer then discards the metadata as out of date. Each gateway that knows about the leave therefore forwards it in
// leave notices.
const (
	// LeaveNoticeKind is the first byte of a leave notice.
	LeaveNoticeKind = 6

	leaveRecordSize = 8 + 8
	maxLeaveRecords = 32
)

// RecordLeaving records that a process announced its leave. If the member is marked as dead, RecordLeaving marks it as
// left.
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

// IsLeaving reports whether a member announced its leave.
func (v *View) IsLeaving(name string) bool {
	m := v.members[name]
	return m != nil && m.leavingSince != 0
}

// LeaveNotice returns a notice of at most limit bytes that lists the members whose leave was recorded less than maxAge
// ago, newest first. It returns nil if there are no such members or if no record fits.
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

// LeaveRecord identifies a process that announced its leave.
type LeaveRecord struct {
	Name        string
	Incarnation uint64
}

// ReadLeaveNotice returns the records of a leave notice that name a member of this view other than self. If the notice
// is malformed, it returns ErrFrame.
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
