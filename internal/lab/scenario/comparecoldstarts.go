package scenario

import "sync"

// ColdStartCell is one combination of the age of the stored list and the share of its entries
// that are wrong, with the results of its runs.
type ColdStartCell struct {
	AgeSeconds int     `json:"age_s"`
	WrongShare float64 `json:"wrong"`
	// Satisfied and Overloads are indexed as StartSources. Satisfied is the share of the lookups of the first 30 s that
	// were satisfied. Overloads is the number of times that a cold edge or parent received more load than it can bear.
	Satisfied  [4]float64 `json:"satisfied"`
	Overloads  [4]int     `json:"pushed"`
	BrokenRuns int        `json:"broken"` // runs from the stored list that broke a rule
	Runs       int        `json:"days"`   // runs from each start source
	sent       [4]int
	satisfied  [4]int
}

// StartSources lists the values of ColdStart.StartFrom that are compared: the stored list, no list until discovery
// answers, the stored list taken as current, and the true list.
var StartSources = [4]string{startFromList, startFromWait, startFromFresh, startFromTrue}

// ColdStartCells returns the cells that are compared: each combination of four ages and four shares of wrong entries.
func ColdStartCells() (cells []*ColdStartCell) {
	for _, age := range []int{2, 60, 3600, 30 * 86400} {
		for _, wrong := range []float64{0, 0.1, 0.5, 1} {
			cells = append(cells, &ColdStartCell{AgeSeconds: age, WrongShare: wrong})
		}
	}
	return cells
}

// CompareColdStarts runs the scenarios of each cell from each of StartSources and adds the results to the cell. It runs
// as many scenarios at once as jobs says, and calls finished after each. The start sources of a cell run with the same
// seeds, first to last, so that the same entries are wrong in the same manner and clients send the same lookups. There
// are no other faults, and discovery stays unreachable.
func CompareColdStarts(cells []*ColdStartCell, first, last uint64, jobs int, finished func()) error {
	var mu sync.Mutex
	var lastErr error
	type job struct {
		cell   *ColdStartCell
		seed   uint64
		source int
	}
	queue := make(chan job)
	var workers sync.WaitGroup
	for range max(1, jobs) {
		workers.Go(func() {
			for j := range queue {
				p := DrawPlan(j.seed, "calm")
				p.Seconds = int(earlyPeriod.Seconds())
				p.ColdStart = &ColdStart{StartFrom: StartSources[j.source], AgeSeconds: j.cell.AgeSeconds, WrongShare: j.cell.WrongShare}
				r, err := Run(p, Hooks{})
				mu.Lock()
				if err != nil {
					lastErr = err
				}
				if j.source == 0 {
					j.cell.Runs++
					if len(r.Violations) > 0 {
						j.cell.BrokenRuns++
					}
				}
				j.cell.sent[j.source] += r.EarlyLookups.Sent
				j.cell.satisfied[j.source] += r.EarlyLookups.Satisfied
				j.cell.Overloads[j.source] += r.EarlyLookups.Overloads
				mu.Unlock()
				finished()
			}
		})
	}
	for _, c := range cells {
		for seed := first; seed <= last; seed++ {
			for source := range StartSources {
				queue <- job{c, seed, source}
			}
		}
	}
	close(queue)
	workers.Wait()
	for _, c := range cells {
		for source := range StartSources {
			c.Satisfied[source] = float64(c.satisfied[source]) / float64(max(1, c.sent[source]))
		}
	}
	return lastErr
}
