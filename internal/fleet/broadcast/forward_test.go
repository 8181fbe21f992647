package broadcast

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Several gateways start at the same time, and their views do not list each other yet. Such a gateway computes a tree
// in which some of its neighbours have other neighbours instead of it. It must not forward the batches of a neighbour
// to a gateway that has not sent it anything yet.
func TestBatchesAreNotForwardedToNeighboursThatSentNothing(t *testing.T) {
	var members []Member
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		members = append(members, Member{Name: name, Locality: Locality{"r", "z", "s"}})
	}
	SortMembers(members)
	head := members[0]
	frame, _ := encodeBatch(batchID{7, 1}, root, []Purge{{Object: "0000000000000001", Issued: 1_764_576_000_000}})
	next, _ := encodeBatch(batchID{7, 2}, root, []Purge{{Object: "0000000000000002", Issued: 1_764_576_000_001}})
	n := New(Settings{}, head, 1, rand.New(rand.NewPCG(1, 2)), 1)
	n.SetMembers(members, 1)
	children := n.Stats().Children
	if len(children) != fanOut {
		t.Fatal(children)
	}
	batchReceivers := func() (names []string) {
		for _, m := range n.TakeMessages() {
			if m.Frame[1] == frameBatch {
				names = append(names, m.To)
			}
		}
		slices.Sort(names)
		return names
	}
	if learned, err := n.HandleFrame(children[0], frame, 2); err != nil || len(learned) != 1 {
		t.Fatal(learned, err)
	}
	if to := batchReceivers(); len(to) > 0 {
		t.Errorf("the batch was forwarded to %v, which have sent nothing yet", to)
	}
	n.HandleFrame(children[1], encodeLazyPush(nil), 3)
	if n.HandleFrame(children[0], next, 4); !slices.Equal(batchReceivers(), children[1:2]) {
		t.Error("the batch was not forwarded to exactly the one neighbour that has sent something")
	}
	n.RecordOwn([]Purge{{Object: "0000000000000003", Issued: 1_764_576_000_002}}, 5)
	n.Step(n.injectAt)
	if to := batchReceivers(); len(to) != fanOut {
		t.Errorf("the gateway's own batch was sent to %v, want all its children", to)
	}
	n.SetMembers(members[:1], 6)
	n.SetMembers(members, 7)
	third, _ := encodeBatch(batchID{7, 3}, root, []Purge{{Object: "0000000000000004", Issued: 1_764_576_000_003}})
	if n.HandleFrame(children[0], third, 8); len(batchReceivers()) > 0 {
		t.Error("the batch was forwarded to a gateway that has sent nothing since it became a neighbour again")
	}
}
