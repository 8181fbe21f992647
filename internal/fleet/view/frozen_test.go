package view

import (
	"testing"

	"foldslip/internal/lab/frozen"
)

// frozenFleet returns the views of a fleet of four gateways that have exchanged heartbeats and in which a suspects d.
func frozenFleet(t *testing.T) []*View {
	t.Helper()
	all := viewsOf("a", "b", "c", "d")
	exchangeHeartbeats(t, 2*second, all...)
	all[0].RecordFailedProbe("d", "a", 5*second, 5*second)
	return all
}

// TestFrozenFramesKeepTheirBytes guards against an incompatible change of the heartbeat frame encoding. Frames of
// released builds must decode, and the same state must encode to the same bytes.
func TestFrozenFramesKeepTheirBytes(t *testing.T) {
	all := frozenFleet(t)
	// The limit leaves space for only two of the three seen records. If all of them fit, their order is undefined.
	frozen.Equal(t, "heartbeat.frame", all[0].HeartbeatFrame(headerSize+1+3*recordSize, 6*second))
	frozen.Equal(t, "heartbeat-short.frame", all[1].HeartbeatFrame(headerSize+1+recordSize, 6*second))
	alone := New(testID("a"), Settings{MaxMembers: 4, SettleAfter: second, EvidenceMaxAge: 30 * second, ReapAfter: 3600 * second}, 1)
	frozen.Equal(t, "heartbeat-alone.frame", alone.HeartbeatFrame(MaxFrameBytes, 6*second))

	for _, name := range []string{"heartbeat.frame", "heartbeat-short.frame", "heartbeat-alone.frame"} {
		if _, err := all[2].MergeHeartbeat(frozen.Read(t, name), 7*second); err != nil {
			t.Errorf("merging %s: %v", name, err)
		}
	}
	d, _ := all[2].Get("d")
	if d.State != Suspect || d.ProbeFailedBy != "a" || d.ProbeFailedAt != 6*second {
		t.Errorf("d is %v, with a failed probe by %q at %d; want suspect, by a, at 6 s", d.State, d.ProbeFailedBy, d.ProbeFailedAt)
	}
	if b, _ := all[2].Get("b"); b.LastSeen != 7*second || b.Digest != all[2].Digest() {
		t.Errorf("b was last seen at %d with digest %08x; want 7 s and %08x", b.LastSeen, b.Digest, all[2].Digest())
	}
}
