package scenario

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
)

// TestEqualPlansGiveEqualRuns guards against runs that depend on anything but their plan, such as map order, garbage
// collection or other scenarios of the same process. It runs each plan three times, several plans at once.
func TestEqualPlansGiveEqualRuns(t *testing.T) {
	var runs sync.WaitGroup
	for seed := uint64(1); seed <= 12; seed++ {
		runs.Go(func() {
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
					t.Errorf("seed %d: run 1 has digest %s after %d steps, a later run %s after %d", seed, first.Digest, first.Steps, r.Digest, r.Steps)
				}
				runtime.GC()
			}
		})
	}
	runs.Wait()
}
