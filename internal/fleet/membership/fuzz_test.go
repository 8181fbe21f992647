package membership

import (
	"bytes"
	"os"
	"testing"

	"foldslip/internal/fleet/view"
)

// FuzzParseMetadata checks that valid metadata encodes to the same bytes from which it was decoded.
func FuzzParseMetadata(f *testing.F) {
	f.Add(metadata{incarnation: 1, leaving: true}.append(nil))
	f.Add(metadata{incarnation: 2, locality: view.Locality{Region: "north", Zone: "a", Site: "a1"}}.append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		parsed, err := parseMetadata(b)
		if err == nil && !bytes.Equal(parsed.append(nil), b) {
			t.Fatalf("%x decodes to %+v, which encodes to other bytes", b, parsed)
		}
	})
}

// FuzzNotifyMsg checks that no datagram and no heartbeat frame from a
// peer marks a live member dead or left, or adds a member.
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
				t.Fatalf("message %x: n2 went through states %v, want only live states", b, o.states)
			}
		}
		if len(o.fleet.view.Members()) != 2 {
			t.Fatalf("message %x: members %v, want the two from before", b, o.fleet.view.Members())
		}
	})
}

// FuzzDecodeMembers checks that stored members are either rejected or
// within the limit, each with a nonempty name other than the gateway's.
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
			t.Fatalf("decoded %v, error %v; want no members with an error, and never more than the limit", known, err)
		}
		for _, id := range known {
			if id.Name == "" || id.Name == "n1" {
				t.Fatalf("decoded member %+v, want a nonempty name other than that of the gateway", id)
			}
		}
	})
}

// FuzzParseSeeds checks that each parsed seed parses to itself again.
func FuzzParseSeeds(f *testing.F) {
	f.Add("# seeds\n10.0.0.4:7946 # first\n[fd00::3]:7946\n")
	f.Fuzz(func(t *testing.T, text string) {
		seeds, _ := ParseSeeds(text)
		for _, seed := range seeds {
			if again, err := ParseSeeds(seed); err != nil || len(again) != 1 || again[0] != seed {
				t.Fatalf("seed %q parses to %v, error %v; want the same seed", seed, again, err)
			}
		}
	})
}
