package view

import (
	"fmt"
	"testing"
)

// TestALeaveNoticeIsBoundedAndNamesTheNewest guards against a mass restart whose notices push the detector's own gossip out of its datagrams.
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
		t.Errorf("%d records, first of %v: %v", len(records), records, err)
	}
	if records, _ = v.ReadLeaveNotice(v.LeaveNotice(1+3*leaveRecordSize+5, second, 100)); len(records) != 3 {
		t.Errorf("%d records in the space of 3", len(records))
	}
	if v.LeaveNotice(leaveRecordSize, second, 100) != nil || v.LeaveNotice(2000, second, 2*second) != nil {
		t.Error("a notice that does not fit, or that is old")
	}
}

// FuzzReadLeaveNotice expects that no notice names a process that the view does not have, or this gateway itself.
func FuzzReadLeaveNotice(f *testing.F) {
	sender := viewOf("b", "c")
	sender.RecordLeaving("b", 1, second)
	f.Add(sender.LeaveNotice(100, second, second))
	f.Add([]byte{LeaveNoticeKind})
	f.Fuzz(func(t *testing.T, b []byte) {
		v := viewOf("b", "c")
		records, err := v.ReadLeaveNotice(b)
		if err != nil && len(records) > 0 || len(records) > maxLeaveRecords {
			t.Fatalf("%v, %v", records, err)
		}
		for _, record := range records {
			if m, known := v.Get(record.Name); !known || m.Name == v.self {
				t.Fatalf("%v", record)
			}
			v.RecordLeaving(record.Name, record.Incarnation, second)
		}
		for _, m := range v.Members() {
			if m.State != Alive {
				t.Fatalf("a notice alone made %s %v", m.Name, m.State)
			}
		}
	})
}
