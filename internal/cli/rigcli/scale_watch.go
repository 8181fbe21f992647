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
	listInConfig      = "told" // value of --list
	hollowWorkerGroup = "scale"
	hollowWorkerName  = "crowd"
)

type scaleWatch struct {
	Sizes      []int         `default:"12,50,200" help:"Gateways, a run each, as 12,50,200."`
	Runs       int           `default:"3" help:"Runs of each size, 1 to 20."`
	Seconds    float64       `name:"seconds" default:"20" help:"How long the figures count."`
	WarmUp     float64       `name:"warm" default:"12" help:"Seconds before: purges are kept for 11."`
	Purges     float64       `name:"purges" default:"100" help:"Purges a second."`
	Changes    time.Duration `name:"changes" default:"6.2s" help:"A change of the list so often (14,000 a day); 0: none."`
	Restarts   float64       `name:"restarts" default:"0" help:"Hollow gateways started anew, a second (1,900 a day are 0.022)."`
	Lookups    float64       `name:"lookups" default:"0" help:"Lookups decided in each hollow gateway, a second."`
	Caches     int           `default:"1800" help:"Caches in the list."`
	Real       int           `name:"real" default:"12" help:"Real gateways among them, 0 to 200, at most all."`
	List       string        `name:"list" default:"told" enum:"told,watch" help:"Where the whole list of a start stands: told in the configuration, or on the watch."`
	Stretch    float64       `name:"stretch" default:"1" help:"Run the clock of stand-in and hollow gateways so many times slower, so that more of them fit on the machine; without real ones then."`
	PerProcess int           `name:"each" default:"500" help:"Hollow gateways in one process."`
	Bound      time.Duration `name:"bound" default:"4.5s" help:"A purge is to be everywhere by then."`
	Budget     bool          `help:"Hold each gateway to 2.1% of a core, 128 MB and 15 KB/s: exit status 1 if one kind is over."`
	Program    string        `help:"The gateway's program; foldslip beside this one if not told."`
	Profile    string        `help:"Write the processor profile of the first process of hollow gateways there, of the last run; its hottest functions are told if the go command is there."`
	JSON       string        `help:"Write a line of JSON for each run and each line fitted."`
	Plot       string        `help:"Folder for SVG plots of each figure against size, on log axes."`
	Logs       string        `help:"Folder for settings and logs of real gateways; a new one under the temporary folder, removed after a good run, if not told."`
	Seed       uint64        `default:"1" help:"Of the first run; each run after takes the next."`
}

// Help is printed below the command's flags.
func (*scaleWatch) Help() string {
	return `Each run starts a stand-in for the discovery watch and so many gateways, lets them warm up, and counts what a
gateway spends on control while purges and changes of the list are told: processor, memory, bytes, and how long each
purge takes to be everywhere. From two sizes on a line is fitted on log axes, with how far each size lies off it.

Examples:
  foldslip-rig scale watch                                            # 12, 50 and 200 gateways, three runs each
  foldslip-rig scale watch --sizes 12,50,200 --runs 3 --seconds 20 --purges 100 --json watch.jsonl --plot plots
  foldslip-rig scale watch --sizes 200 --runs 1 --profile watch.pprof # what the time goes to
  foldslip-rig scale watch --sizes 12 --budget                        # exit status 1 if a gateway is over its budget
  foldslip-rig scale watch --sizes 1000,2000 --stretch 20             # more than the machine bears at its own pace
  foldslip-rig scale watch --sizes 500 --restarts 5 --list watch      # a release, each start hearing the whole list

Only figures of runs beside little other work compare: each run tells how many cores were busy and how many of them
were its own. See docs/scale.md.`
}

// check checks the ranges of flags.
func (c *scaleWatch) check() error {
	if len(c.Sizes) == 0 || len(c.Sizes) > maxSizes {
		return program.UsageErrorf("--sizes: expected one to %d, as 12,50,200", maxSizes)
	}
	if c.Runs < 1 || c.Runs > maxRunsOfSize {
		return program.UsageErrorf("--runs %d: expected 1 to %d", c.Runs, maxRunsOfSize)
	}
	if c.Seconds <= 0 || c.Seconds > maxWatchSeconds || c.WarmUp < 0 || c.WarmUp > maxWatchWarmUp {
		return program.UsageErrorf("--seconds: up to %d; --warm: up to %d", maxWatchSeconds, maxWatchWarmUp)
	}
	for _, size := range c.Sizes {
		if size < 1 {
			return program.UsageErrorf("--sizes: %d gateways", size)
		}
	}
	return nil
}

// Run measures each size and prints the costs and the lines fitted to them. It fails if a run broke a rule or a budget.
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
		return program.Failedf("%d of %d runs did what must not be; logs in %s", measurement.failed, len(reports), measurement.folder)
	}
	if c.Logs == "" {
		return os.RemoveAll(measurement.folder)
	}
	return nil
}

// watchMeasurement is what the runs of one command share, and their results.
type watchMeasurement struct {
	command    *scaleWatch
	streams    *program.Streams
	gateway    string        // path of the gateway's program; "": no real gateways
	self       string        // path of this program, which runs hollow gateways, too
	folder     string        // has a folder of settings and logs for each run
	lines      *json.Encoder // nil: none
	closeLines func()
	bar        *progressbar.ProgressBar

	reports []*scale.WatchReport
	failed  int // reports with violations
}

// newMeasurement finds the programs and opens the outputs. A stretched clock allows no real gateways.
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

// runAll measures each size as often as the command says.
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

// run measures one size once; run counts from 0.
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

// realGateways returns how many gateways of a fleet are real: half of a fleet that could be all real, so that both kinds are there.
func realGateways(size, requested int) int {
	if requested >= size && size > 1 {
		return size / 2
	}
	return min(requested, size)
}
