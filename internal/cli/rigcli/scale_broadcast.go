package rigcli

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"foldslip/internal/cli/program"
	"foldslip/internal/lab/scale"
)

// maxBroadcastSeconds limits the duration of each phase of a run, in seconds.
const maxBroadcastSeconds = 10_000

type scaleBroadcast struct {
	Sizes      []int         `default:"60" help:"Fleet sizes to simulate, such as 12,50,200,500."`
	Seeds      string        `default:"1-3" help:"Seeds of the runs of each size, case and mechanism, such as 1-20."`
	Case       []string      `default:"none" help:"Fault cases, or all for all of them; see below."`
	Mechanism  []string      `default:"old,new" help:"Mechanisms that spread the purges: old (fleet/purgesync over fleet/gossip), new (fleet/broadcast)."`
	Receivers  string        `name:"told" default:"" help:"Gateways that receive purges from discovery: one, two (one on each side of a cut, in turn) or all (each from its own watch). The default depends on the case."`
	Rate       float64       `name:"rate" default:"100" help:"Purges per second, up to 1000."`
	Seconds    float64       `name:"seconds" default:"60" help:"Duration for which purges are published, in seconds."`
	WarmUp     float64       `name:"warm" default:"5" help:"Duration of the warm-up before purges are published, in seconds."`
	Settle     float64       `name:"settle" default:"60" help:"Time for the last purges to arrive, in seconds. A purge that has not arrived by then is lost."`
	Fault      time.Duration `name:"fault" default:"0s" help:"Duration of a cut, of the loss of a rack or zone, or of silent watches; 0: the default of the case."`
	Restarts   int           `default:"0" help:"Number of restarts in a release; 0: 1,900 for 3,900 gateways, and in proportion for other sizes."`
	Detect     time.Duration `name:"detect" default:"0s" help:"Time within which all gateways detect a crash, each after at least half of it; 0: 4 log10(size) s, the bound of SWIM."`
	StartSeen  time.Duration `name:"seen" default:"1s" help:"Approximate time until other gateways see a start."`
	Retention  time.Duration `name:"keep" default:"0s" help:"Retention period of purges in the new mechanism; 0: its default of 65 minutes."`
	Skew       time.Duration `name:"skew" default:"50ms" help:"Maximum error of the gateways' clocks, in either direction."`
	Bound      time.Duration `name:"within" default:"4.5s" help:"Deadline for a purge to reach all gateways."`
	ByteBudget float64       `name:"bytes" default:"15360" help:"Budget of a gateway in bytes per second, sent and received together, averaged over a run."`
	Enforced   []string      `name:"hold" default:"new" help:"Mechanisms whose lost purges and exceeded bounds cause exit status 1."`
	Jobs       int           `name:"jobs" default:"1" help:"Number of concurrent runs, 1 to 16. Processor time and heap are measured only with 1."`
	JSON       string        `help:"File for the results, with one line of JSON for each run."`
	From       []string      `help:"Files written by --json. Their runs are printed and plotted, and no run is played."`
	Plot       string        `help:"Folder for SVG plots of latency and bytes against the size of the fleet, on log axes."`
}

// Help returns the text that is printed below the command's flags.
func (*scaleBroadcast) Help() string {
	var cases strings.Builder
	for _, name := range scale.Cases() {
		fmt.Fprintf(&cases, "  %-8s %s\n", name, scale.CaseHelp(name))
	}
	return `Each run simulates a fleet of gateways on a network with a virtual clock. The network has latencies between sites,
zones and regions, and injected faults. The lists of live gateways differ for a while after each crash or start. A run
reports how long each purge takes to reach every gateway that was up, which purges are lost, and what each gateway sends
and receives. Runs with equal seeds are equal.

Cases:
` + cases.String() + `
Examples:
  foldslip-rig scale broadcast                                       # 60 gateways, no fault, old and new
  foldslip-rig scale broadcast --sizes 500 --seeds 1-20 --case none,loss1,loss5,heads,zone --jobs 4 --json out.jsonl
  foldslip-rig scale broadcast --sizes 12,50,200,500 --mechanism old,new --plot plots
  foldslip-rig scale broadcast --sizes 200 --case cut --seconds 4200 --fault 1h --mechanism new --seeds 1
  foldslip-rig scale broadcast --from a.jsonl,b.jsonl --plot plots   # results of earlier runs
  foldslip-rig scale broadcast --sizes 3900 --seeds 1 --mechanism new # with processor time and heap; needs some GB

The exit status is 1 if a mechanism listed in --hold lost a purge or exceeded a bound.`
}

// check validates the flags, expands --case all and returns the seeds.
func (c *scaleBroadcast) check() (program.SeedRange, error) {
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return seeds, err
	}
	if len(c.Case) == 1 && c.Case[0] == "all" {
		c.Case = scale.Cases()
	}
	if c.Jobs < 1 || c.Jobs > maxParallel || len(c.Sizes) == 0 || len(c.Sizes) > maxSizes {
		return seeds, program.UsageErrorf("--jobs: expected 1 to %d; --sizes: expected 1 to %d sizes", maxParallel, maxSizes)
	}
	for _, seconds := range []float64{c.Seconds, c.WarmUp, c.Settle} {
		if isValid := seconds > 0 && seconds <= maxBroadcastSeconds; !isValid { // NaN is not valid
			return seeds, program.UsageErrorf("--seconds, --warm, --settle: expected more than 0 and at most %d", maxBroadcastSeconds)
		}
	}
	return seeds, errors.Join(checkKnown("--case", c.Case, scale.Cases()), checkKnown("--mechanism", c.Mechanism, scale.Mechanisms()),
		checkKnown("--hold", c.Enforced, scale.Mechanisms()))
}

// checkKnown checks that all values of a flag are known values.
func checkKnown(flag string, values, known []string) error {
	for _, value := range values {
		if !slices.Contains(known, value) {
			return program.UsageErrorf("%s %q: expected one or more of %s", flag, value, strings.Join(known, ", "))
		}
	}
	return nil
}

// Run plays the runs, or reads the results of the --from files, and prints their table. It returns an error if an
// enforced mechanism lost a purge or exceeded a bound.
func (c *scaleBroadcast) Run(streams *program.Streams) error {
	seeds, err := c.check()
	if err != nil {
		return err
	}
	runs, err := c.runs(seeds)
	if err != nil {
		return err
	}
	lines, closeLines, err := createJSONLines(c.JSON)
	if err != nil {
		return err
	}
	defer closeLines()
	if c.Plot != "" {
		if err := createFolder(c.Plot); err != nil {
			return err
		}
	}
	var reports []*scale.BroadcastReport
	if len(c.From) > 0 {
		reports, err = readRuns(c.From)
	} else {
		reports, err = c.play(runs, lines, streams.Err)
	}
	if err != nil {
		return err
	}
	printBroadcastTable(streams.Out, reports)
	failed := c.printViolations(streams.Out, reports)
	if c.Plot != "" {
		if err := scale.PlotBroadcast(c.Plot, reports, c.Bound, c.ByteBudget); err != nil {
			return err
		}
	}
	if failed > 0 {
		return program.Failedf("%d of %d runs lost a purge or exceeded a bound", failed, len(reports))
	}
	return nil
}

// runs returns the options of each run, in the order of the table.
func (c *scaleBroadcast) runs(seeds program.SeedRange) (runs []scale.BroadcastOptions, err error) {
	for _, size := range c.Sizes {
		for _, name := range c.Case {
			for _, mechanism := range c.Mechanism {
				for seed := seeds.First; seed <= seeds.Last; seed++ {
					runs = append(runs, c.options(size, name, mechanism, seed))
				}
			}
		}
	}
	for _, options := range runs {
		if err := options.Validate(); err != nil {
			return nil, program.UsageError{Err: err}
		}
	}
	return runs, nil
}

// options returns the options of one run.
func (c *scaleBroadcast) options(size int, name, mechanism string, seed uint64) scale.BroadcastOptions {
	return scale.BroadcastOptions{
		Gateways:        size,
		Mechanism:       mechanism,
		Case:            name,
		Source:          c.Receivers,
		Rate:            c.Rate,
		Seed:            seed,
		Warmup:          secondsToDuration(c.WarmUp),
		Duration:        secondsToDuration(c.Seconds),
		Settle:          secondsToDuration(c.Settle),
		FaultDuration:   c.Fault,
		Restarts:        c.Restarts,
		CrashSeenWithin: c.Detect,
		StartSeenWithin: c.StartSeen,
		KeepPurges:      c.Retention,
		ClockSkew:       c.Skew,
		Deadline:        c.Bound,
		BytesPerSecond:  c.ByteBudget,
		Measure:         c.Jobs == 1,
	}
}

// play plays the runs, up to --jobs of them concurrently, and returns their reports in the order of the runs.
func (c *scaleBroadcast) play(runs []scale.BroadcastOptions, lines *json.Encoder, errs io.Writer) ([]*scale.BroadcastReport, error) {
	bar := newProgressBar(errs, len(runs))
	defer bar.Finish()
	reports := make([]*scale.BroadcastReport, len(runs))
	var mu sync.Mutex // guards lines
	err := runParallel(c.Jobs, len(runs), func(_, index int) error {
		report, err := scale.Broadcast(runs[index])
		reports[index] = report
		mu.Lock()
		defer mu.Unlock()
		bar.Add(1)
		if err != nil || lines == nil {
			return err
		}
		return lines.Encode(report)
	})
	return reports, err
}

// printViolations prints the violations of enforced mechanisms and returns the number of runs with violations.
func (c *scaleBroadcast) printViolations(out io.Writer, reports []*scale.BroadcastReport) (failed int) {
	for _, report := range reports {
		if len(report.Violations) > 0 && slices.Contains(c.Enforced, report.Mechanism) {
			failed++
			fmt.Fprintf(out, "%s, %s, %d gateways, seed %d: %s\n", report.Mechanism, report.Case, report.Gateways, report.Seed,
				strings.Join(report.Violations, "; "))
		}
	}
	return failed
}

// readRuns reads the result files of earlier runs and returns their reports in the order of the table.
func readRuns(paths []string) (reports []*scale.BroadcastReport, err error) {
	for _, path := range paths {
		fileReports, err := readRunFile(path)
		if err != nil {
			return nil, err
		}
		reports = append(reports, fileReports...)
	}
	cases := scale.Cases()
	slices.SortStableFunc(reports, func(a, b *scale.BroadcastReport) int {
		return cmp.Or(
			cmp.Compare(a.Gateways, b.Gateways),
			cmp.Compare(slices.Index(cases, a.Case), slices.Index(cases, b.Case)),
			cmp.Compare(b.Mechanism, a.Mechanism), // old before new
			cmp.Compare(a.Seed, b.Seed),
		)
	})
	return reports, nil
}

// readRunFile reads a file of JSON lines with one report each.
func readRunFile(path string) (reports []*scale.BroadcastReport, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, program.UsageError{Err: err}
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	for {
		report := &scale.BroadcastReport{}
		err := decoder.Decode(report)
		if errors.Is(err, io.EOF) {
			return reports, nil
		}
		if err != nil {
			return nil, program.UsageErrorf("--from %s: %w", path, err)
		}
		reports = append(reports, report)
	}
}
