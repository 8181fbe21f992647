package ci

import (
	"math/rand/v2"
	"testing"
	"time"

	"foldslip/internal/fleet/broadcast"
	"foldslip/internal/limit"
)

// TestKnownPanics shows two panics that a gateway has had since before the packages were renamed. Each sub-test moves to its package once
// the fault is mended.
func TestKnownPanics(t *testing.T) {
	t.Run("a broadcast frame of a batch without purges, which no gateway sends, is refused", func(t *testing.T) {
		defer reportPanic(t)
		node := newBroadcastNode()
		frame := []byte{
			broadcast.Kind, 0, // a batch
			1, 2, 3, 4, 5, 6, 7, 8, // origin
			1, // number of the batch
			0, // tier
			0, // number of purges
		}
		if _, err := node.HandleFrame("n2", frame, 1); err == nil {
			t.Error("the frame is taken")
		}
	})
	t.Run("a change may take a limit on open lookups away while lookups hold permits of it", func(t *testing.T) {
		defer reportPanic(t)
		start := time.Unix(1000, 0)
		set := limit.NewSet(start, map[string]limit.Spec{"p": {MaxOpen: 3}})
		permit, reason, _ := set.Find("p").Admit(start, "tenant", 1, 100)
		if reason != limit.Allowed {
			t.Fatal(reason)
		}
		set.Carry(start.Add(time.Millisecond), map[string]limit.Spec{"p": {LookupsPerSecond: 3}})
		permit.Release(start.Add(2*time.Millisecond), true, false)
	})
}

func newBroadcastNode() *broadcast.Node {
	members := []broadcast.Member{{Name: "n1"}, {Name: "n2"}}
	broadcast.SortMembers(members)
	node := broadcast.New(broadcast.DefaultSettings, members[0], 1, rand.New(rand.NewPCG(1, 1)), 0)
	node.SetMembers(members, 0)
	return node
}

func reportPanic(t *testing.T) {
	t.Helper()
	if fault := recover(); fault != nil {
		t.Errorf("panic: %v", fault)
	}
}
