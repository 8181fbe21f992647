package cli

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"foldslip/internal/cli/program"
	"foldslip/internal/lab/scenario"
)

type faultsGuards struct {
	Seeds string `required:"" help:"Seeds, such as 1-100; each kind of change is tried with each seed."`
	JSON  bool   `help:"Print JSON."`
}

// guardSummary is the summary of the trials of one kind of route change.
type guardSummary struct {
	Kind        string        `json:"kind"`
	Defect      string        `json:"bad,omitempty"` // description of what is wrong with the change, "" for a good change
	Trials      int           `json:"trials"`
	RolledBack  int           `json:"undone"`
	MedianDelay time.Duration `json:"half_ns"` // from the change to its rollback, over the trials rolled back
	P90Delay    time.Duration `json:"nine_in_ten_ns"`
	Guarded     float64       `json:"served_guarded"` // mean share of lookups that were satisfied, with the guards
	Without     float64       `json:"served_without"` // the same without the guards
	Oracle      float64       `json:"served_oracle"`  // the same without the change
	delays      []time.Duration
}

// guardTrials collects the trials of a run by kind of change. Trials may be added concurrently.
type guardTrials struct {
	mu     sync.Mutex
	byKind map[string]*guardSummary
}

// guardTrial is one kind of change tried with one seed: run with the guards, without
// them, and without the change (the oracle).
type guardTrial struct {
	kind, defect             string
	guarded, without, oracle *scenario.RouteChangeRun
}

// Run tries good and bad changes of routes with and without the guards that roll back bad changes.
func (c *faultsGuards) Run(streams *program.Streams) error {
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	bar := newProgressBar(streams.Err, int64(seeds.Count()), c.JSON)
	trials := guardTrials{byKind: map[string]*guardSummary{}}
	err = forEachSeed(seeds, 0, func(seed uint64) (keepGoing bool, err error) {
		if err := trials.run(seed); err != nil {
			return false, err
		}
		bar.Add(1)
		return true, nil
	})
	if err != nil {
		return err
	}
	summaries := trials.summaries()
	if c.JSON {
		return printJSON(streams, summaries)
	}
	return printGuards(streams.Out, summaries)
}

// run tries each kind of change with one seed and adds the trials.
func (g *guardTrials) run(seed uint64) error {
	oracle, err := scenario.RunRouteChange(seed, "none", true)
	if err != nil {
		return err
	}
	for kind, defect := range scenario.RouteChangeKinds {
		guarded, err := scenario.RunRouteChange(seed, kind, true)
		if err != nil {
			return err
		}
		without, err := scenario.RunRouteChange(seed, kind, false)
		if err != nil {
			return err
		}
		g.add(guardTrial{kind: kind, defect: defect, guarded: guarded, without: without, oracle: oracle})
	}
	return nil
}

// add adds one trial. The means of a guardSummary are sums until summaries divides them by the number of trials.
func (g *guardTrials) add(trial guardTrial) {
	g.mu.Lock()
	defer g.mu.Unlock()
	summary := g.byKind[trial.kind]
	if summary == nil {
		summary = &guardSummary{Kind: trial.kind, Defect: trial.defect}
		g.byKind[trial.kind] = summary
	}
	summary.Trials++
	if trial.guarded.RolledBackAfter > 0 {
		summary.RolledBack++
		summary.delays = append(summary.delays, trial.guarded.RolledBackAfter)
	}
	summary.Guarded += trial.guarded.Served
	summary.Without += trial.without.Served
	summary.Oracle += trial.oracle.Served
}

// summaries computes the means and the delays and returns a summary for each kind of change. Bad changes come before
// good ones, both sorted by name.
func (g *guardTrials) summaries() (all []*guardSummary) {
	for _, summary := range g.byKind {
		trials := float64(summary.Trials)
		summary.Guarded /= trials
		summary.Without /= trials
		summary.Oracle /= trials
		if count := len(summary.delays); count > 0 {
			slices.Sort(summary.delays)
			summary.MedianDelay = summary.delays[count/2]
			summary.P90Delay = summary.delays[count*9/10]
		}
		all = append(all, summary)
	}
	slices.SortFunc(all, func(a, b *guardSummary) int {
		return cmp.Or(compareDefectFirst(a.Defect, b.Defect), cmp.Compare(a.Kind, b.Kind))
	})
	return all
}

// compareDefectFirst orders the defects of two changes: a change with a defect comes before one without.
func compareDefectFirst(a, b string) int {
	switch {
	case a != "" && b == "":
		return -1
	case a == "" && b != "":
		return 1
	}
	return 0
}

func printGuards(out io.Writer, summaries []*guardSummary) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "change\tbad\ttrials\tundone\thalf within\tnine in ten\tsatisfied guarded\tno guard\toracle\t")
	for _, summary := range summaries {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.1f s\t%.1f s\t%.4f\t%.4f\t%.4f\t\n", summary.Kind, summary.Defect, summary.Trials, summary.RolledBack,
			summary.MedianDelay.Seconds(), summary.P90Delay.Seconds(), summary.Guarded, summary.Without, summary.Oracle)
	}
	return table.Flush()
}
