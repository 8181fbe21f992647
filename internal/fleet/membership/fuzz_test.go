package membership

import (
	"bytes"
	"os"
	"testing"

	"foldslip/internal/fleet/view"
)

// FuzzParseMetadata expects that metadata that is read is written back to the same bytes.
func FuzzParseMetadata(f *testing.F) {
	f.Add(metadata{incarnation: 1, leaving: true}.append(nil))
	f.Add(metadata{incarnation: 2, locality: view.Locality{Region: "north", Zone: "a", Site: "a1"}}.append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		parsed, err := parseMetadata(b)
		if err == nil && !bytes.Equal(parsed.append(nil), b) {
			t.Fatalf("%x is read as %+v", b, parsed)
		}
	})
}

// FuzzNotifyMsg expects that no datagram of a peer makes a member dead or left, or adds one.
func FuzzNotifyMsg(f *testing.F) {
	f.Add([]byte{refuteRequestKind})
	f.Add([]byte{view.LeaveNoticeKind, 1, 2, 3, 4, 5, 6, 7, 8, 1, 0, 0, 0, 0, 0, 0, 0})
	f.Add([]byte{view.Kind})
	f.Fuzz(func(t *testing.T, b []byte) {
		o := newLeaveObserver(t)
		o.fleet.NotifyJoin(memberNode(leavingIncarnation, false))
		o.fleet.NotifyMsg(b)
		o.fleet.MergeRemoteState(b, false)
		for _, state := range o.states {
			if !state.IsLive() {
				t.Fatalf("%x: %v", b, o.states)
			}
		}
		if len(o.fleet.view.Members()) != 2 {
			t.Fatalf("%x: %v", b, o.fleet.view.Members())
		}
	})
}

// FuzzDecodeMembers expects that what is stored of members is refused or within bounds.
func FuzzDecodeMembers(f *testing.F) {
	const limit = 3
	stored, err := os.ReadFile("testdata/fleet-1.rec")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(stored)
	f.Add([]byte("\xa0"))
	f.Fuzz(func(t *testing.T, b []byte) {
		known, err := decodeMembers(b, "n1", limit)
		if err != nil && len(known) > 0 || len(known) > limit {
			t.Fatalf("%v, %v", known, err)
		}
		for _, id := range known {
			if id.Name == "" || id.Name == "n1" {
				t.Fatalf("%+v", id)
			}
		}
	})
}

// FuzzParseSeeds expects that each seed that is read can be read again.
func FuzzParseSeeds(f *testing.F) {
	f.Add("# seeds\n10.0.0.4:7946 # first\n[fd00::3]:7946\n")
	f.Fuzz(func(t *testing.T, text string) {
		seeds, _ := ParseSeeds(text)
		for _, seed := range seeds {
			if again, err := ParseSeeds(seed); err != nil || len(again) != 1 || again[0] != seed {
				t.Fatalf("%q is read as %v, %v", seed, again, err)
			}
		}
	})
}
