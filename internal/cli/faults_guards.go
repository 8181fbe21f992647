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
	Seeds string `required:"" help:"Seeds, as 1-100; each is a trial of every kind of change."`
	JSON  bool   `help:"Print JSON."`
}

// guardSummary sums up the trials of one kind of route change.
type guardSummary struct {
	Kind        string        `json:"kind"`
	Defect      string        `json:"bad,omitempty"` // what is wrong with the change; "": nothing
	Trials      int           `json:"trials"`
	RolledBack  int           `json:"undone"`
	MedianDelay time.Duration `json:"half_ns"` // from the change to its rollback, of those rolled back
	P90Delay    time.Duration `json:"nine_in_ten_ns"`
	Guarded     float64       `json:"served_guarded"` // mean share of lookups satisfied
	Without     float64       `json:"served_without"`
	Oracle      float64       `json:"served_oracle"`
	delays      []time.Duration
}

// guardTrials collects the trials of a run by kind of change.
type guardTrials struct {
	mu     sync.Mutex
	byKind map[string]*guardSummary
}

// guardTrial is one change of one seed, with guards, without them, and the same seed without a change.
type guardTrial struct {
	kind, defect             string
	guarded, without, oracle *scenario.RouteChangeRun
}

// Run tries good and bad changes of routes with and without guards.
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

// run tries each kind of change with one seed.
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

// add adds one trial; the means are sums until summaries divides them.
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

// summaries returns a summary for each kind of change, bad changes before good ones, each by name.
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

// compareDefectFirst orders changes with a fault before those without one.
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
