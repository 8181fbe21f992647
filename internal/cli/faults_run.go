package cli

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"

	"foldslip/internal/cli/program"
	"foldslip/internal/lab/scenario"
)

// maxBrokenScenarios is the number of scenarios with a broken rule after which a run without --thorough stops.
const maxBrokenScenarios = 10

type faultsRun struct {
	scenarioFlags
	Seeds    string `required:"" help:"Seeds, such as 1-3000 or 7."`
	Jobs     int    `default:"0" help:"Scenarios run in parallel; 0: as many as there are processors."`
	Pairs    bool   `name:"pairs" help:"Print for each pair of kinds of faults in how many scenarios both occurred."`
	Thorough bool   `help:"Run all seeds. Without this flag the run stops after ten seeds that break a rule."`
}

// runSummary is the summary of the scenarios of a run.
type runSummary struct {
	Scenarios  int              `json:"days"`
	Broken     []brokenScenario `json:"broken"`
	FaultKinds map[string]int   `json:"kinds"`
	FaultPairs map[string]int   `json:"pairs"`
	Reasons    map[string]int   `json:"reasons"`
	Outcomes   map[string]int   `json:"ends"`
	Lookups    int              `json:"lookups"`
	Steps      uint64           `json:"steps"`
	Virtual    time.Duration    `json:"virtual_ns"`
	Real       time.Duration    `json:"real_ns"`
	MemoryMB   float64          `json:"memory_mb"` // memory obtained from the system
	Digest     string           `json:"digest"`    // combines the scenarios' digests in the order of their seeds
}

// brokenScenario describes a scenario in which a rule was broken.
type brokenScenario struct {
	Seed       uint64               `json:"seed"`
	Digest     string               `json:"digest"`
	Violations []scenario.Violation `json:"broken"`
	Trace      []string             `json:"story"`
}

// Run runs the scenarios of a range of seeds. It fails if a rule was broken.
func (c *faultsRun) Run(streams *program.Streams) error {
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	if _, err := c.drawPlan(seeds.First); err != nil {
		return err
	}
	if err := checkJobs(c.Jobs); err != nil {
		return err
	}
	summary, err := c.runScenarios(seeds, newProgressBar(streams.Err, int64(seeds.Count()), c.JSON))
	if err != nil {
		return err
	}
	if c.JSON {
		err = printJSON(streams, summary)
	} else {
		c.print(streams.Out, summary)
	}
	if err == nil && len(summary.Broken) > 0 {
		err = program.Failedf("%d of %d seeds broke a rule", len(summary.Broken), summary.Scenarios)
	}
	return err
}

func (c *faultsRun) runScenarios(seeds program.SeedRange, bar *progressbar.ProgressBar) (*runSummary, error) {
	defer debug.SetGCPercent(debug.SetGCPercent(simulationGCPercent))
	start := time.Now()
	summary := &runSummary{FaultKinds: map[string]int{}, FaultPairs: map[string]int{}, Reasons: map[string]int{}, Outcomes: map[string]int{}}
	digests := make([]string, seeds.Count())
	var mu sync.Mutex // guards summary and digests
	err := forEachSeed(seeds, c.Jobs, func(seed uint64) (keepGoing bool, err error) {
		plan, err := c.drawPlan(seed)
		if err != nil {
			return false, err
		}
		result, err := scenario.Run(plan, scenario.Hooks{})
		if err != nil {
			return false, err
		}
		defer bar.Add(1)
		mu.Lock()
		defer mu.Unlock()
		digests[seed-seeds.First] = result.Digest
		summary.add(result)
		return c.Thorough || len(summary.Broken) < maxBrokenScenarios, nil
	})
	summary.Real = time.Since(start)
	summary.Digest = scenario.CombineDigests(digests)
	slices.SortFunc(summary.Broken, func(a, b brokenScenario) int { return cmp.Compare(a.Seed, b.Seed) })
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	summary.MemoryMB = float64(memory.Sys) / (1 << 20)
	return summary, err
}

// add adds the result of one scenario to the summary.
func (s *runSummary) add(result scenario.Result) {
	s.Scenarios++
	s.Steps += result.Steps
	s.Virtual += result.VirtualTime
	s.Lookups += result.Lookups
	s.addFaults(result.Plan.Faults)
	for reason, count := range result.Reasons {
		s.Reasons[reason] += count
	}
	for outcome, count := range result.Outcomes {
		s.Outcomes[outcome] += count
	}
	if len(result.Violations) > 0 {
		s.Broken = append(s.Broken, brokenScenario{Seed: result.Plan.Seed, Digest: result.Digest, Violations: result.Violations, Trace: result.RecentEvents})
	}
}

// addFaults counts the faults of a scenario by kind. It counts each pair of kinds that occur in the scenario once.
func (s *runSummary) addFaults(faults []scenario.Fault) {
	var kinds []string
	for _, fault := range faults {
		s.FaultKinds[fault.Kind]++
		if !slices.Contains(kinds, fault.Kind) {
			kinds = append(kinds, fault.Kind)
		}
	}
	slices.Sort(kinds)
	for i, first := range kinds {
		for _, second := range kinds[i+1:] {
			s.FaultPairs[first+" "+second]++
		}
	}
}

func (c *faultsRun) print(out io.Writer, summary *runSummary) {
	drawn := map[string]int{}
	for _, kind := range scenario.FaultKinds {
		if scenario.ProfileDraws(c.Kind, kind.Name) {
			drawn[kind.Name] = summary.FaultKinds[kind.Name]
		}
	}
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	printCounts(table, "fault", drawn)
	if c.Pairs {
		printCounts(table, "pair", summary.FaultPairs)
	}
	printCounts(table, "reason or mode in the logs", summary.Reasons)
	printCounts(table, "what became of lookups", summary.Outcomes)
	table.Flush()
	unmet, rarest, pairs := scenario.UnmetPairs(c.Kind, summary.FaultPairs)
	fmt.Fprintf(out, "pairs of kinds: %d, never met %d, the rarest met %d times\n", pairs, len(unmet), rarest)
	for _, broken := range summary.Broken {
		fmt.Fprintf(out, "seed %d broke:\n", broken.Seed)
		for _, violation := range broken.Violations {
			fmt.Fprintf(out, "  %s\n", violation)
		}
	}
	fmt.Fprintf(out, "%d days, %d lookups, %d steps, digest %s\n", summary.Scenarios, summary.Lookups, summary.Steps, summary.Digest)
	realSeconds := summary.Real.Seconds()
	fmt.Fprintf(out, "%.0f s virtual in %.1f s real: %.0f times; %.0f steps a second; %.0f MB\n", summary.Virtual.Seconds(), realSeconds,
		summary.Virtual.Seconds()/realSeconds, float64(summary.Steps)/realSeconds, summary.MemoryMB)
}

// printCounts prints a title and a line for each count, sorted by name.
func printCounts(out io.Writer, title string, counts map[string]int) {
	fmt.Fprintf(out, "%s\ttimes\n", title)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, "  %s\t%d\n", name, counts[name])
	}
}
