package scenario

import (
	"fmt"
	"testing"
)

// TestDifferentialRunsDecideAlike checks that a gateway and its external processor make the same decisions.
func TestDifferentialRunsDecideAlike(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p, err := RunDifferential(seed)
			if err != nil || p.Broken != "" {
				t.Fatal(err, p.Broken)
			}
			if p.Different != "" && p.Divergence == "" || p.Compared == 0 {
				t.Errorf("%+v", p)
			}
		})
	}
}

// TestSameDecision checks that decisions a microsecond apart are the same; others, or other decisions, are not.
func TestSameDecision(t *testing.T) {
	for x, want := range map[[2]string]bool{{"5 us nack a", "4 us nack a"}: true, {"5 us nack a", "3 us nack a"}: false,
		{"5 us nack a", "5 us nack b"}: false, {"nothing", "5 us nack a"}: false, {"nothing", "nothing"}: true} {
		if sameDecision(x[0], x[1]) != want {
			t.Errorf("%q, %q: %v", x[0], x[1], !want)
		}
	}
}
