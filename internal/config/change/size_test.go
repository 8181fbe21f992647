package change

import (
	"fmt"
	"testing"
	"time"
)

// A probe of configuration at size (docs/CAPACITY.md). Changes are one gateway's, and nothing carries a step to another: of n gateways a
// change that one of them applies is in force at that one, within 3 s and at any time after. It prints, and fails only where that is no
// longer so, for then the table must be made anew.
func TestSizeVersionsPerGateway(t *testing.T) {
	began := time.Unix(1_764_576_000, 0)
	for _, n := range []int{2, 12, 100} {
		var all []*Versions
		for range n {
			c, _ := New([]byte("one"), "ada")
			all = append(all, c)
		}
		if _, err := all[0].Propose(1, []byte("two"), "ada", "a change for all"); err != nil {
			t.Fatal(err)
		}
		if _, err := all[0].Check(2, nil); err != nil {
			t.Fatal(err)
		}
		if _, err := all[0].Apply(began, 2, time.Minute); err != nil {
			t.Fatal(err)
		}
		_, second := all[0].Propose(1, []byte("three"), "bo", "6 s later, the first not yet confirmed")
		inForce := 0
		for _, c := range all {
			c.Tick(began.Add(3 * time.Second))
			if c.Active() == (Active{Base: 2}) {
				inForce++
			}
		}
		t.Logf("gateways %d: in force at %d after 3 s; a second change while the first waits: %v", n, inForce, fmt.Sprint(second))
		if inForce != 1 || second == nil {
			t.Errorf("%d gateways: in force at %d, a second change: %v", n, inForce, second)
		}
	}
}
