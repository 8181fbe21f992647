package scenario

import "sync"

// Cell is one kind of morning: the age of the list and the share of it that is wrong.
type Cell struct {
	Age   int     `json:"age_s"`
	Wrong float64 `json:"wrong"`
	// By what gateways start from, in the order of Ways: the share satisfied of the first 30 s' lookups, and how often a cold
	// cache or parent was sent more than it bears.
	Satisfied [4]float64 `json:"satisfied"`
	Pushed    [4]int     `json:"pushed"`
	Broken    int        `json:"broken"` // days with the list that broke a rule
	Days      int        `json:"days"`   // of each way
	asked     [4]int
	good      [4]int
}

// Ways are what gateways start from, compared: the kept list, waiting for the bulletin, the same list trusted wholly, and
// the list as it is in truth.
var Ways = [4]string{"list", "wait", "trust", "true"}

// Cells are the mornings that are compared.
func Cells() (cells []*Cell) {
	for _, age := range []int{2, 60, 3600, 30 * 86400} {
		for _, wrong := range []float64{0, 0.1, 0.5, 1} {
			cells = append(cells, &Cell{Age: age, Wrong: wrong})
		}
	}
	return cells
}

// Mornings plays each cell's days from each way with the same seeds, some at a time: the same caches are wrong in the same
// manner, and the same is asked. No faults besides; the bulletin stays away.
func Mornings(cells []*Cell, first, last uint64, jobs int, played func()) error {
	var mu sync.Mutex
	var fault error
	type job struct {
		cell *Cell
		seed uint64
		way  int
	}
	todo := make(chan job)
	var workers sync.WaitGroup
	for range max(1, jobs) {
		workers.Go(func() {
			for j := range todo {
				p := Draw(j.seed, "calm")
				p.Seconds = int(earlyFor.Seconds())
				p.Morning = &Morning{From: Ways[j.way], Age: j.cell.Age, Wrong: j.cell.Wrong}
				r, err := Play(p, Look{})
				mu.Lock()
				if err != nil {
					fault = err
				}
				if j.way == 0 {
					j.cell.Days++
					if len(r.Broken) > 0 {
						j.cell.Broken++
					}
				}
				j.cell.asked[j.way] += r.Early.Asked
				j.cell.good[j.way] += r.Early.Satisfied
				j.cell.Pushed[j.way] += r.Early.Pushed
				mu.Unlock()
				played()
			}
		})
	}
	for _, c := range cells {
		for seed := first; seed <= last; seed++ {
			for way := range Ways {
				todo <- job{c, seed, way}
			}
		}
	}
	close(todo)
	workers.Wait()
	for _, c := range cells {
		for way := range Ways {
			c.Satisfied[way] = float64(c.good[way]) / float64(max(1, c.asked[way]))
		}
	}
	return fault
}
