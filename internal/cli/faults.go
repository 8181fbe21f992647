package cli

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"runtime"
	"strconv"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/sync/errgroup"

	"foldslip/internal/cli/program"
	"foldslip/internal/lab/scenario"
)

type faults struct {
	Run          faultsRun          `cmd:"" help:"Run the scenarios of many seeds and check every rule after each step."`
	Replay       faultsReplay       `cmd:"" help:"Run one scenario again, from its seed or from a file."`
	Shrink       faultsShrink       `cmd:"" help:"Find the smallest scenario that breaks the same rule as a seed or a file, and write it to a file."`
	Kinds        faultsKinds        `cmd:"" help:"List the profiles of scenarios, the kinds of faults, and the faults that can be injected into the gateway."`
	ColdStarts   faultsColdStarts   `name:"mornings" cmd:"" help:"Compare starts without discovery: from the stored endpoint list, waiting for discovery, trusting the stored list fully, and from the true list."`
	Differential faultsDifferential `name:"twins" cmd:"" help:"Compare the decisions of a gateway with those of its external processor over the same lookups."`
	Guards       faultsGuards       `name:"guards" cmd:"" help:"Make good and bad changes of routes in scenarios without faults: which of them the guards roll back, how soon, and the share of lookups satisfied with and without the guards."`
}

const (
	maxSeeds            = 10_000_000
	maxJobs             = 1024
	simulationGCPercent = 400 // a scenario allocates many short-lived objects
	progressInterval    = 500 * time.Millisecond
)

// scenarioFlags are the flags that select a profile of scenarios and a fault to inject into the gateway.
type scenarioFlags struct {
	Kind          string `name:"days" default:"mixed" help:"Profile of the scenarios; foldslip faults kinds lists the profiles."`
	InjectedFault string `name:"plant" help:"Fault to inject into the gateway, to test that the checker finds it."`
	JSON          bool   `help:"Print JSON."`
}

// drawPlan returns the plan that a seed determines.
func (f scenarioFlags) drawPlan(seed uint64) (scenario.Plan, error) {
	plan := scenario.DrawPlan(seed, f.Kind)
	plan.InjectedFault = f.InjectedFault
	if err := plan.Validate(); err != nil {
		return plan, program.UsageErrorf("%w", err)
	}
	return plan, nil
}

// loadPlan returns the plan of a seed, if source is a number, or else of a file. An injected fault on
// the command line replaces the file's.
func (f scenarioFlags) loadPlan(source string) (scenario.Plan, error) {
	if seed, err := strconv.ParseUint(source, 10, 64); err == nil {
		return f.drawPlan(seed)
	}
	text, err := os.ReadFile(source)
	if err != nil {
		return scenario.Plan{}, program.UsageErrorf("%s is neither a seed nor a file that can be read: %w", source, err)
	}
	plan, err := scenario.ReadPlan(text)
	if err != nil {
		return plan, program.UsageErrorf("%s: %w", source, err)
	}
	if f.InjectedFault == "" {
		return plan, nil
	}
	plan.InjectedFault = f.InjectedFault
	if err := plan.Validate(); err != nil {
		return plan, program.UsageErrorf("%w", err)
	}
	return plan, nil
}

// parseSeeds parses the value of the flag --seeds.
func parseSeeds(text string) (program.SeedRange, error) {
	seeds, ok := program.ParseSeedRange(text, maxSeeds, 64)
	if !ok {
		return seeds, program.UsageErrorf("--seeds %q: expected A-B with A not above B and at most ten million seeds, or one seed", text)
	}
	return seeds, nil
}

// checkJobs checks the value of the flag --jobs.
func checkJobs(jobs int) error {
	if jobs < 0 || jobs > maxJobs {
		return program.UsageErrorf("--jobs %d: expected 0 to %d", jobs, maxJobs)
	}
	return nil
}

// forEachSeed calls run for each seed, in ascending order, from as many goroutines as jobs; 0 means one for each
// processor. It stops early once a call returns false. A goroutine whose call fails ends, the others go on, and
// forEachSeed returns the first error.
func forEachSeed(seeds program.SeedRange, jobs int, run func(seed uint64) (keepGoing bool, err error)) error {
	var started atomic.Uint64
	var stopped atomic.Bool
	var workers errgroup.Group
	for range cmp.Or(jobs, runtime.GOMAXPROCS(0)) {
		workers.Go(func() error {
			for !stopped.Load() {
				seed := seeds.First + started.Add(1) - 1
				if seed > seeds.Last {
					return nil
				}
				keepGoing, err := run(seed)
				if err != nil {
					return err
				}
				if !keepGoing {
					stopped.Store(true)
				}
			}
			return nil
		})
	}
	return workers.Wait()
}

// newProgressBar returns a progress bar that counts scenarios. A silent bar prints nothing.
func newProgressBar(errs io.Writer, total int64, silent bool) *progressbar.ProgressBar {
	if silent {
		errs = io.Discard
	}
	return progressbar.NewOptions64(total, progressbar.OptionSetWriter(errs), progressbar.OptionShowCount(),
		progressbar.OptionSetDescription("days"), progressbar.OptionThrottle(progressInterval),
		progressbar.OptionOnCompletion(func() { fmt.Fprintln(errs) }))
}

type faultsKinds struct {
	JSON bool `help:"Print JSON."`
}

// Run lists the profiles of scenarios, the kinds of faults and the faults that can be injected into the gateway.
func (c *faultsKinds) Run(streams *program.Streams) error {
	faultHelp := map[string]string{}
	for _, kind := range scenario.FaultKinds {
		faultHelp[kind.Name] = kind.Help
	}
	injected := scenario.InjectedFaultHelp()
	if c.JSON {
		return printJSON(streams, map[string]any{"days": scenario.Profiles, "faults": faultHelp, "plants": injected})
	}
	table := tabwriter.NewWriter(streams.Out, 0, 8, 2, ' ', 0)
	for _, section := range []struct {
		title string
		help  map[string]string
	}{{"days (--days)", scenario.Profiles}, {"faults", faultHelp}, {"faults of the gateway (--plant)", injected}} {
		fmt.Fprintln(table, section.title)
		for _, name := range scenario.SortedNames(section.help) {
			fmt.Fprintf(table, "  %s\t%s\n", name, section.help[name])
		}
	}
	return table.Flush()
}
