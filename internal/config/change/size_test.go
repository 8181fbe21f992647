package change

import (
	"fmt"
	"testing"
	"time"
)

// A change belongs to one gateway, and no step is sent to another gateway. A change that one of n
// gateways applies is active at that gateway alone, after 3 s and at any later time. docs/CAPACITY.md
// has a table with this result. If this test fails, the table has to be generated again.
func TestSizeVersionsPerGateway(t *testing.T) {
	start := time.Unix(1_764_576_000, 0)
	for _, n := range []int{2, 12, 100} {
		var gateways []*Versions
		for range n {
			v, _ := New([]byte("one"), "ada")
			gateways = append(gateways, v)
		}
		if _, err := gateways[0].Propose(1, []byte("two"), "ada", "a change for all"); err != nil {
			t.Fatal(err)
		}
		if _, err := gateways[0].Check(2, nil); err != nil {
			t.Fatal(err)
		}
		if _, err := gateways[0].Apply(start, 2, time.Minute); err != nil {
			t.Fatal(err)
		}
		_, second := gateways[0].Propose(1, []byte("three"), "bo", "6 s later, the first not yet confirmed")
		active := 0
		for _, v := range gateways {
			v.Tick(start.Add(3 * time.Second))
			if v.Active() == (Active{Base: 2}) {
				active++
			}
		}
		t.Logf("gateways %d: active at %d after 3 s; a second change while the first waits: %v", n, active, fmt.Sprint(second))
		if active != 1 || second == nil {
			t.Errorf("%d gateways: the change is active at %d, want 1; error of the second proposal: %v, want one", n, active, second)
		}
	}
}
