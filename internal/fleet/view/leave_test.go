package view

import (
	"fmt"
	"testing"
)

// TestALeaveNoticeIsBoundedAndNamesTheNewest guards against a mass restart in which leave notices displace the
// detector's own messages from gossip datagrams.
func TestALeaveNoticeIsBoundedAndNamesTheNewest(t *testing.T) {
	settings := testSettings
	settings.MaxMembers = 100
	v := New(testID("a"), settings, 1)
	for i := range 50 {
		name := fmt.Sprint("m", i)
		v.Join(testID(name), name, 1)
		v.RecordLeaving(name, 1, int64(i+2))
	}
	notice := v.LeaveNotice(2000, second, 100)
	records, err := v.ReadLeaveNotice(notice)
	if err != nil || len(records) != maxLeaveRecords || records[0].Name != "m49" {
		t.Errorf("got %d records, want the maximum number with m49 first: records %v, error %v", len(records), records, err)
	}
	if records, _ = v.ReadLeaveNotice(v.LeaveNotice(1+3*leaveRecordSize+5, second, 100)); len(records) != 3 {
		t.Errorf("got %d records in a notice with space for 3", len(records))
	}
	if v.LeaveNotice(leaveRecordSize, second, 100) != nil || v.LeaveNotice(2000, second, 2*second) != nil {
		t.Error("got a notice although no record fits or all announcements are older than the maximum age")
	}
}

// FuzzReadLeaveNotice checks that no notice yields a record of this gateway or of a process that the view does not
// hold, and that a notice alone never changes the state of an alive member.
func FuzzReadLeaveNotice(f *testing.F) {
	sender := viewOf("b", "c")
	sender.RecordLeaving("b", 1, second)
	f.Add(sender.LeaveNotice(100, second, second))
	f.Add([]byte{LeaveNoticeKind})
	f.Fuzz(func(t *testing.T, b []byte) {
		v := viewOf("b", "c")
		records, err := v.ReadLeaveNotice(b)
		if err != nil && len(records) > 0 || len(records) > maxLeaveRecords {
			t.Fatalf("got records %v with error %v; want none with an error, and otherwise no more than the maximum", records, err)
		}
		for _, record := range records {
			if m, known := v.Get(record.Name); !known || m.Name == v.self {
				t.Fatalf("record %v names this gateway or an unknown member", record)
			}
			v.RecordLeaving(record.Name, record.Incarnation, second)
		}
		for _, m := range v.Members() {
			if m.State != Alive {
				t.Fatalf("a leave notice alone changed the state of %s from alive to %v", m.Name, m.State)
			}
		}
	})
}
