package cli

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"foldslip/internal/lab/scenario"
)

type faultsDifferential struct {
	Seeds string `required:"" help:"Seeds, as 1-500 or 7."`
	Jobs  int    `default:"0" help:"Pairs played at once; 0: as many as there are processors."`
	JSON  bool   `help:"Print JSON."`
}

// differentialSummary is what many pairs were.
type differentialSummary struct {
	Pairs     int                           `json:"pairs"`
	Complete  int                           `json:"whole"` // compared to their end
	Lookups   int                           `json:"lookups"`
	Decisions int                           `json:"decisions"` // compared one by one, and the same
	Terms     map[string]int                `json:"terms"`     // of the contract, from which on a pair may differ
	Different []scenario.DifferentialResult `json:"different"`
}

func (f *faultsDifferential) Run(to *streams) error {
	first, last, err := readSeeds(f.Seeds)
	if err != nil {
		return err
	}
	if f.Jobs < 0 || f.Jobs > 1024 {
		return usageErrorf("--jobs %d: expected 0 to 1024", f.Jobs)
	}
	bar := progress(to.errs, int64(last-first+1), f.JSON)
	t, next, mu := &differentialSummary{Terms: map[string]int{}}, atomic.Uint64{}, sync.Mutex{}
	var group errgroup.Group
	for range cmp.Or(f.Jobs, runtime.GOMAXPROCS(0)) {
		group.Go(func() error {
			for seed := first + next.Add(1) - 1; seed <= last; seed = first + next.Add(1) - 1 {
				p, err := scenario.RunDifferential(seed)
				if err != nil {
					return err
				}
				mu.Lock()
				t.add(p)
				mu.Unlock()
				bar.Add(1)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if f.JSON {
		err = json.NewEncoder(to.out).Encode(t)
	} else {
		fmt.Fprintf(to.out, "%d pairs, %d lookups at each; %d decisions compared one by one and the same, %d pairs to their end\n", t.Pairs,
			t.Lookups, t.Decisions, t.Complete)
		for _, term := range slices.Sorted(maps.Keys(t.Terms)) {
			fmt.Fprintf(to.out, "%d pairs up to the first that the contract's term %q allows to differ\n", t.Terms[term], term)
		}
		for _, p := range t.Different {
			fmt.Fprintf(to.out, "seed %d: %s %s\n", p.Seed, p.Different, p.Broken)
		}
	}
	if err == nil && len(t.Different) > 0 {
		err = fmt.Errorf("%d of %d pairs differ", len(t.Different), t.Pairs)
	}
	return err
}

func (t *differentialSummary) add(p scenario.DifferentialResult) {
	t.Pairs++
	t.Lookups += p.Lookups
	t.Decisions += p.Compared
	switch {
	case p.Broken != "" || p.Different != "" && p.Divergence == "":
		t.Different = append(t.Different, p)
	case p.Divergence != "":
		t.Terms[p.Divergence]++
	default:
		t.Complete++
	}
}
