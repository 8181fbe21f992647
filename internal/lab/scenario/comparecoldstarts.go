package scenario

import "sync"

// ColdStartCell is one kind of morning: the age of the list and the share of it that is wrong.
type ColdStartCell struct {
	AgeSeconds int     `json:"age_s"`
	WrongShare float64 `json:"wrong"`
	// By what gateways start from, in the order of Ways: the share satisfied of the first 30 s' lookups, and how often a cold
	// cache or parent was sent more than it bears.
	Satisfied  [4]float64 `json:"satisfied"`
	Overloads  [4]int     `json:"pushed"`
	BrokenRuns int        `json:"broken"` // days with the list that broke a rule
	Runs       int        `json:"days"`   // of each way
	sent       [4]int
	satisfied  [4]int
}

// StartSources are the values of ColdStart.StartFrom that are compared: the kept list, nothing until discovery answers,
// the kept list trusted wholly, and the list as it really is.
var StartSources = [4]string{startFromList, startFromWait, startFromFresh, startFromTrue}

// ColdStartCells are the cold starts that are compared.
func ColdStartCells() (cells []*ColdStartCell) {
	for _, age := range []int{2, 60, 3600, 30 * 86400} {
		for _, wrong := range []float64{0, 0.1, 0.5, 1} {
			cells = append(cells, &ColdStartCell{AgeSeconds: age, WrongShare: wrong})
		}
	}
	return cells
}

// CompareColdStarts runs each cell's scenarios from each of StartSources with the same seeds, jobs at a time: the same
// caches are wrong in the same manner, and clients ask the same. There are no other faults, and discovery stays away.
func CompareColdStarts(cells []*ColdStartCell, first, last uint64, jobs int, played func()) error {
	var mu sync.Mutex
	var fault error
	type job struct {
		cell *ColdStartCell
		seed uint64
		way  int
	}
	todo := make(chan job)
	var workers sync.WaitGroup
	for range max(1, jobs) {
		workers.Go(func() {
			for j := range todo {
				p := DrawPlan(j.seed, "calm")
				p.Seconds = int(earlyPeriod.Seconds())
				p.ColdStart = &ColdStart{StartFrom: StartSources[j.way], AgeSeconds: j.cell.AgeSeconds, WrongShare: j.cell.WrongShare}
				r, err := Run(p, Hooks{})
				mu.Lock()
				if err != nil {
					fault = err
				}
				if j.way == 0 {
					j.cell.Runs++
					if len(r.Violations) > 0 {
						j.cell.BrokenRuns++
					}
				}
				j.cell.sent[j.way] += r.EarlyLookups.Sent
				j.cell.satisfied[j.way] += r.EarlyLookups.Satisfied
				j.cell.Overloads[j.way] += r.EarlyLookups.Overloads
				mu.Unlock()
				played()
			}
		})
	}
	for _, c := range cells {
		for seed := first; seed <= last; seed++ {
			for way := range StartSources {
				todo <- job{c, seed, way}
			}
		}
	}
	close(todo)
	workers.Wait()
	for _, c := range cells {
		for way := range StartSources {
			c.Satisfied[way] = float64(c.satisfied[way]) / float64(max(1, c.sent[way]))
		}
	}
	return fault
}
