package change

import (
	"fmt"
	"testing"
	"time"
)

// Changes are one gateway's, and nothing carries a step to another: of n gateways a change that one of them applies is active at that one
// alone, within 3 s and at any time after. docs/CAPACITY.md has a table that says so; where this fails, the table has to be made anew.
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
			t.Errorf("%d gateways: active at %d, a second change: %v", n, active, second)
		}
	}
}
