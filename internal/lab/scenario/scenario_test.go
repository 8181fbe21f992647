package scenario

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
)

// The same plan gives the same day, byte for byte, whatever else goes on in the process.
func TestEqualPlansGiveEqualRuns(t *testing.T) {
	var days sync.WaitGroup
	for seed := uint64(1); seed <= 12; seed++ {
		days.Go(func() {
			var first Result
			for i := range 3 {
				r, err := Run(DrawPlan(seed, "mixed"), Hooks{})
				if err != nil {
					t.Error(err)
					return
				}
				if i == 0 {
					first = r
				} else if r.Digest != first.Digest || r.Steps != first.Steps || fmt.Sprint(r.Outcomes) != fmt.Sprint(first.Outcomes) {
					t.Errorf("seed %d: %s after %d steps, then %s after %d", seed, first.Digest, first.Steps, r.Digest, r.Steps)
				}
				runtime.GC()
			}
		})
	}
	days.Wait()
}
