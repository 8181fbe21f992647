package rigcli

import (
	"errors"
	"sync"
	"sync/atomic"
)

// runParallel calls run for each index below count, from at most as many goroutines as workers. The calls start in the
// order of the indices. A failed call does not stop the others. runParallel returns all errors, joined in the order of
// the indices. The worker number passed to run is below workers.
func runParallel(workers, count int, run func(worker, index int) error) error {
	failures := make([]error, count)
	var started atomic.Int64
	var running sync.WaitGroup
	for worker := range min(workers, count) {
		running.Go(func() {
			for {
				index := int(started.Add(1)) - 1
				if index >= count {
					return
				}
				failures[index] = run(worker, index)
			}
		})
	}
	running.Wait()
	return errors.Join(failures...)
}
