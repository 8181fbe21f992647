package cli

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"foldslip/internal/lab/scenario"
)

type faultsGuards struct {
	Seeds string `required:"" help:"Seeds, as 1-100; each is a trial of every kind of change."`
	JSON  bool   `help:"Print JSON."`
}

// guardSummary is what became of one kind of change.
type guardSummary struct {
	Kind        string        `json:"kind"`
	Bad         string        `json:"bad,omitempty"`
	Trials      int           `json:"trials"`
	RolledBack  int           `json:"undone"`
	MedianDelay time.Duration `json:"half_ns"` // half of those undone were so within
	P90Delay    time.Duration `json:"nine_in_ten_ns"`
	Guarded     float64       `json:"served_guarded"` // means of the share of lookups satisfied
	Without     float64       `json:"served_without"`
	Oracle      float64       `json:"served_oracle"`
	delays      []time.Duration
}

func (f *faultsGuards) Run(to *streams) error {
	first, last, err := readSeeds(f.Seeds)
	if err != nil {
		return err
	}
	rows, mu := map[string]*guardSummary{}, sync.Mutex{}
	bar := progress(to.errs, int64(last-first+1), f.JSON)
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for seed := first; seed <= last; seed++ {
		group.Go(func() error {
			oracle, err := scenario.RunRouteChange(seed, "none", true)
			if err != nil {
				return err
			}
			for kind, bad := range scenario.RouteChangeKinds {
				with, err := scenario.RunRouteChange(seed, kind, true)
				if err != nil {
					return err
				}
				without, err := scenario.RunRouteChange(seed, kind, false)
				if err != nil {
					return err
				}
				mu.Lock()
				r := rows[kind]
				if r == nil {
					r = &guardSummary{Kind: kind, Bad: bad}
					rows[kind] = r
				}
				r.Trials++
				if with.RolledBackAfter > 0 {
					r.RolledBack++
					r.delays = append(r.delays, with.RolledBackAfter)
				}
				r.Guarded, r.Without, r.Oracle = r.Guarded+with.Served, r.Without+without.Served, r.Oracle+oracle.Served
				mu.Unlock()
			}
			bar.Add(1)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	var all []*guardSummary
	for _, r := range rows {
		n := float64(r.Trials)
		r.Guarded, r.Without, r.Oracle = r.Guarded/n, r.Without/n, r.Oracle/n
		if slices.Sort(r.delays); len(r.delays) > 0 {
			r.MedianDelay, r.P90Delay = r.delays[len(r.delays)/2], r.delays[len(r.delays)*9/10]
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *guardSummary) int { return compareChanges(a.Bad == "", a.Kind, b.Bad == "", b.Kind) })
	if f.JSON {
		return json.NewEncoder(to.out).Encode(all)
	}
	t := tabwriter.NewWriter(to.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "change\tbad\ttrials\tundone\thalf within\tnine in ten\tsatisfied guarded\tno guard\toracle\t")
	for _, r := range all {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f s\t%.1f s\t%.4f\t%.4f\t%.4f\t\n", r.Kind, r.Bad, r.Trials, r.RolledBack, r.MedianDelay.Seconds(), r.P90Delay.Seconds(), r.Guarded, r.Without, r.Oracle)
	}
	return t.Flush()
}

// compareChanges puts bad changes before good ones, each by name.
func compareChanges(goodA bool, a string, goodB bool, b string) int {
	switch {
	case goodA != goodB && goodA:
		return 1
	case goodA != goodB:
		return -1
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
