package broadcast

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// A gateway that has just started, and whose list lacks those that started beside it, takes for neighbours some that have others: what
// it has of the one is not sent to the rest before they have said something.
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
	batches := func() (to []string) {
		for _, l := range n.TakeMessages() {
			if l.Frame[1] == frameBatch {
				to = append(to, l.To)
			}
		}
		slices.Sort(to)
		return to
	}
	if heed, err := n.HandleFrame(children[0], frame, 2); err != nil || len(heed) != 1 {
		t.Fatal(heed, err)
	}
	if to := batches(); len(to) > 0 {
		t.Errorf("sent on to %v, which said nothing yet", to)
	}
	n.HandleFrame(children[1], encodeLazyPush(nil), 3)
	if n.HandleFrame(children[0], next, 4); !slices.Equal(batches(), children[1:2]) {
		t.Error("not sent on to the one neighbour that said something")
	}
	n.RecordOwn([]Purge{{Object: "0000000000000003", Issued: 1_764_576_000_002}}, 5)
	n.Step(n.injectAt)
	if to := batches(); len(to) != fanOut {
		t.Errorf("its own batch goes to %v", to)
	}
	n.SetMembers(members[:1], 6)
	n.SetMembers(members, 7)
	third, _ := encodeBatch(batchID{7, 3}, root, []Purge{{Object: "0000000000000004", Issued: 1_764_576_000_003}})
	if n.HandleFrame(children[0], third, 8); len(batches()) > 0 {
		t.Error("a neighbour anew has said nothing since, and is sent on to")
	}
}
