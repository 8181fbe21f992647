package rigcli

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/schollz/progressbar/v3"

	"foldslip/internal/cli/program"
	"foldslip/internal/lab/scale"
)

const (
	maxRunsOfSize     = 20
	maxWatchSeconds   = 7200
	maxWatchWarmUp    = 600    // seconds
	listInConfig      = "told" // value of --list that puts the list of caches into the configuration
	hollowWorkerGroup = "scale"
	hollowWorkerName  = "crowd"
)

type scaleWatch struct {
	Sizes      []int         `default:"12,50,200" help:"Fleet sizes to measure, such as 12,50,200."`
	Runs       int           `default:"3" help:"Runs of each size, 1 to 20."`
	Seconds    float64       `name:"seconds" default:"20" help:"Duration of the measurement in seconds."`
	WarmUp     float64       `name:"warm" default:"12" help:"Duration of the warm-up before the measurement in seconds. Purges are kept for 11 seconds."`
	Purges     float64       `name:"purges" default:"100" help:"Purges per second."`
	Changes    time.Duration `name:"changes" default:"6.2s" help:"Interval between changes of the list of caches; 6.2s is about 14,000 changes a day, 0 is none."`
	Restarts   float64       `name:"restarts" default:"0" help:"Restarts of hollow gateways per second; 0.022 is about 1,900 a day."`
	Lookups    float64       `name:"lookups" default:"0" help:"Lookups per second that each hollow gateway decides."`
	Caches     int           `default:"1800" help:"Number of caches in the list."`
	Real       int           `name:"real" default:"12" help:"Number of real gateways in the fleet, 0 to 200. If the fleet is not larger than this number, half of its gateways are real."`
	List       string        `name:"list" default:"told" enum:"told,watch" help:"Source of the whole list of caches at start: told for the configuration, watch for the discovery watch."`
	Stretch    float64       `name:"stretch" default:"1" help:"Factor by which the clock of the stand-in and of the hollow gateways is slowed, so that the machine can run more of them. Above 1 there are no real gateways."`
	PerProcess int           `name:"each" default:"500" help:"Number of hollow gateways in one process."`
	Bound      time.Duration `name:"bound" default:"4.5s" help:"Deadline for a purge to reach all gateways."`
	Budget     bool          `help:"Enforce the budget of 2.1% of a core, 128 MB and 15 KB/s for a gateway: exit status 1 if hollow or real gateways exceed it."`
	Program    string        `help:"Path of the gateway program. The default is foldslip in the directory of this program."`
	Profile    string        `help:"File for a CPU profile of the first process of hollow gateways in the last run. The functions with the most samples are printed if the go command is available."`
	JSON       string        `help:"File for the results, with one line of JSON for each run and each fitted line."`
	Plot       string        `help:"Folder for SVG plots of each figure against the size of the fleet, on log axes."`
	Logs       string        `help:"Folder for the settings and logs of real gateways. The default is a new temporary folder, which is removed if all runs succeed."`
	Seed       uint64        `default:"1" help:"Seed of the first run. Each further run uses the next seed."`
}

// Help returns the text that is printed below the command's flags.
func (*scaleWatch) Help() string {
	return `Each run starts a stand-in for discovery and a fleet of gateways, lets them warm up, and measures the
control-plane cost of a gateway while purges and changes of the list are published: processor time, memory, bytes, and
the time until each purge has reached all gateways. With two or more sizes, a line is fitted to each figure on log
axes, and the deviation of each size from the line is printed.

Examples:
  foldslip-rig scale watch                                            # 12, 50 and 200 gateways, three runs each
  foldslip-rig scale watch --sizes 12,50,200 --runs 3 --seconds 20 --purges 100 --json watch.jsonl --plot plots
  foldslip-rig scale watch --sizes 200 --runs 1 --profile watch.pprof # CPU profile of hollow gateways
  foldslip-rig scale watch --sizes 12 --budget                        # exit status 1 if a gateway is over its budget
  foldslip-rig scale watch --sizes 1000,2000 --stretch 20             # more than the machine can run in real time
  foldslip-rig scale watch --sizes 500 --restarts 5 --list watch      # a release; each start receives the whole list

Only compare figures of runs on a machine that is otherwise mostly idle. Each run reports how many cores were busy and
how many of them it used itself. See docs/scale.md.`
}

// check validates the ranges of the flags.
func (c *scaleWatch) check() error {
	if len(c.Sizes) == 0 || len(c.Sizes) > maxSizes {
		return program.UsageErrorf("--sizes: expected 1 to %d sizes, such as 12,50,200", maxSizes)
	}
	if c.Runs < 1 || c.Runs > maxRunsOfSize {
		return program.UsageErrorf("--runs %d: expected 1 to %d", c.Runs, maxRunsOfSize)
	}
	if c.Seconds <= 0 || c.Seconds > maxWatchSeconds || c.WarmUp < 0 || c.WarmUp > maxWatchWarmUp {
		return program.UsageErrorf("--seconds: expected more than 0 and at most %d; --warm: expected 0 to %d", maxWatchSeconds, maxWatchWarmUp)
	}
	for _, size := range c.Sizes {
		if size < 1 {
			return program.UsageErrorf("--sizes: %d gateways, expected at least 1", size)
		}
	}
	return nil
}

// Run measures each size and prints the costs and the lines fitted to them. It returns an error if a run violated a
// rule or exceeded a budget.
func (c *scaleWatch) Run(streams *program.Streams) error {
	if err := c.check(); err != nil {
		return err
	}
	measurement, err := c.newMeasurement(streams)
	if err != nil {
		return err
	}
	defer measurement.closeLines()
	if err := measurement.runAll(); err != nil {
		return err
	}
	reports := measurement.reports
	printWatchTable(streams.Out, reports)
	if err := c.printFits(streams.Out, reports, measurement.lines); err != nil {
		return err
	}
	if c.Profile != "" {
		printHotFunctions(streams.Out, c.Profile)
	}
	if measurement.failed > 0 {
		return program.Failedf("%d of %d runs violated a rule or exceeded a budget; logs in %s", measurement.failed, len(reports), measurement.folder)
	}
	if c.Logs == "" {
		return os.RemoveAll(measurement.folder)
	}
	return nil
}

// watchMeasurement holds the outputs that the runs of one command share, and the results of these runs.
type watchMeasurement struct {
	command    *scaleWatch
	streams    *program.Streams
	gateway    string        // path of the gateway program; empty without real gateways
	self       string        // path of this program, which also runs the hollow gateways
	folder     string        // contains a folder of settings and logs for each run
	lines      *json.Encoder // nil if no JSON is written
	closeLines func()
	bar        *progressbar.ProgressBar

	reports []*scale.WatchReport
	failed  int // number of reports with violations
}

// newMeasurement locates the programs and opens the outputs. It sets the number of real gateways to 0 if the clock is
// slowed, since real gateways use the clock of the machine.
func (c *scaleWatch) newMeasurement(streams *program.Streams) (*watchMeasurement, error) {
	if c.Stretch > 1 {
		c.Real = 0
	}
	measurement := &watchMeasurement{command: c, streams: streams, folder: c.Logs}
	var err error
	if c.Real > 0 {
		if measurement.gateway, err = gatewayProgram(c.Program); err != nil {
			return nil, err
		}
	}
	if measurement.self, err = os.Executable(); err != nil {
		return nil, err
	}
	if c.Logs == "" {
		if measurement.folder, err = os.MkdirTemp("", "foldslip-scale"); err != nil {
			return nil, err
		}
	}
	if measurement.lines, measurement.closeLines, err = createJSONLines(c.JSON); err != nil {
		return nil, err
	}
	if c.Plot != "" {
		if err := createFolder(c.Plot); err != nil {
			measurement.closeLines()
			return nil, err
		}
	}
	measurement.bar = newProgressBar(streams.Err, len(c.Sizes)*c.Runs)
	return measurement, nil
}

// runAll measures each size Runs times.
func (m *watchMeasurement) runAll() error {
	for sizeIndex, size := range m.command.Sizes {
		for run := range m.command.Runs {
			if err := m.run(sizeIndex, size, run); err != nil {
				return err
			}
		}
	}
	m.bar.Finish()
	return nil
}

// run measures one size once. run is the index of the run, from 0.
func (m *watchMeasurement) run(sizeIndex, size, run int) error {
	report, err := scale.Watch(m.options(sizeIndex, size, run))
	if err != nil {
		return fmt.Errorf("%d gateways, run %d: %w (logs in %s)", size, run+1, err, m.folder)
	}
	report.Run = run + 1
	m.reports = append(m.reports, report)
	m.bar.Add(1)
	if len(report.Violations) > 0 {
		m.failed++
		m.bar.Clear()
		fmt.Fprintf(m.streams.Out, "%d gateways, run %d: %s\n", size, report.Run, strings.Join(report.Violations, "; "))
	}
	if m.lines == nil {
		return nil
	}
	return m.lines.Encode(report)
}

// options returns the options of one run.
func (m *watchMeasurement) options(sizeIndex, size, run int) scale.WatchOptions {
	c := m.command
	options := scale.WatchOptions{
		Gateways:          size,
		Real:              realGateways(size, c.Real),
		PerProcess:        c.PerProcess,
		PurgesPerSecond:   c.Purges,
		ChangeInterval:    c.Changes,
		RestartsPerSecond: c.Restarts,
		LookupsPerSecond:  c.Lookups,
		Stretch:           c.Stretch,
		Caches:            c.Caches,
		ListInConfig:      c.List == listInConfig,
		Warmup:            secondsToDuration(c.WarmUp),
		Duration:          secondsToDuration(c.Seconds),
		Deadline:          c.Bound,
		Seed:              c.Seed + uint64(sizeIndex*c.Runs+run),
		Dir:               filepath.Join(m.folder, fmt.Sprintf("%d-%d", size, run+1)),
		Program:           m.gateway,
		HollowCommand:     func() *exec.Cmd { return exec.Command(m.self, hollowWorkerGroup, hollowWorkerName) },
		Progress: func(format string, arguments ...any) {
			m.bar.Clear()
			fmt.Fprintf(m.streams.Err, "%d gateways, run %d: "+format+"\n", append([]any{size, run + 1}, arguments...)...)
		},
	}
	if c.Budget {
		options.Budget = scale.FullBudget
	}
	isLast := sizeIndex == len(c.Sizes)-1 && run == c.Runs-1
	if isLast {
		options.Profile = c.Profile
	}
	return options
}

// realGateways returns the number of real gateways in a fleet. If the requested number covers the whole fleet, half of
// the fleet is real, so that both kinds are measured.
func realGateways(size, requested int) int {
	if requested >= size && size > 1 {
		return size / 2
	}
	return min(requested, size)
}
