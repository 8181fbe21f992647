package day

import (
	"fmt"
	"testing"
)

// The same lookups are decided alike at a gateway and at its door, one decision after the other.
func TestTwins(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p, err := Twins(seed)
			if err != nil || p.Broken != "" {
				t.Fatal(err, p.Broken)
			}
			if p.Different != "" && p.Term == "" || p.Compared == 0 {
				t.Errorf("%+v", p)
			}
		})
	}
}
