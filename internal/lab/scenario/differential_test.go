package scenario

import (
	"fmt"
	"testing"
)

// TestDifferentialRunsDecideAlike guards against a routing module that decides differently behind a gateway and behind
// its external processor for the same lookups and outcomes.
func TestDifferentialRunsDecideAlike(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			result, err := RunDifferential(seed)
			if err != nil || result.Broken != "" {
				t.Fatal(err, result.Broken)
			}
			if result.Different != "" && result.Divergence == "" || result.Compared == 0 {
				t.Errorf("expected the same decisions and at least one compared, got %+v", result)
			}
		})
	}
}

// TestSameDecision checks that equal decisions at most a microsecond apart are the same, and that
// decisions further apart or with other texts are not.
func TestSameDecision(t *testing.T) {
	for x, want := range map[[2]string]bool{{"5 us reject a", "4 us reject a"}: true, {"5 us reject a", "3 us reject a"}: false,
		{"5 us reject a", "5 us reject b"}: false, {"nothing", "5 us reject a"}: false, {"nothing", "nothing"}: true} {
		if sameDecision(x[0], x[1]) != want {
			t.Errorf("sameDecision(%q, %q) = %v", x[0], x[1], !want)
		}
	}
}
