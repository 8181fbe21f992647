package scenario

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
)

// TestEqualPlansGiveEqualRuns runs each plan three times, among others in the same process.
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
