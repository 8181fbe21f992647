package rigcli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"foldslip/internal/cli/program"
	"foldslip/internal/lab/fleet"
)

// maxNetwork is the highest loopback network that runs may begin at.
const maxNetwork = 100

// runCommand plays scenarios on fleets of real gateways.
type runCommand struct {
	Scenario []string `arg:"" help:"Scenarios: files, names of the hard cases that come with the rig, or all for all of these."`
	Seeds    string   `default:"1" help:"Seeds of the runs, as 1-20."`
	Program  string   `help:"The gateway's program; foldslip beside this one if not told."`
	Parallel int      `default:"1" help:"Runs at once, 1 to 16."`
	Net      int      `name:"net" default:"0" help:"The first loopback network that runs take, 127.60 and so on: 0 to 100. Rigs at once need different ones."`
	JSON     string   `help:"Write all reports there, a line of JSON each."`
	Plot     string   `help:"Folder for a plot of each run's views over time."`
	Logs     string   `help:"Folder for settings and logs of each run; a new one under the temporary folder, removed after a good run, if not told."`
	Verbose  bool     `short:"v" help:"Tell each step."`
}

// scenarioRun is one scenario with one seed.
type scenarioRun struct {
	scenario *fleet.Scenario
	seed     uint64
}

func (r scenarioRun) String() string { return fmt.Sprintf("%s-%d", r.scenario.Name, r.seed) }

// Run plays the scenarios and prints tables of their reports. It fails if a run broke a rule.
func (c *runCommand) Run(streams *program.Streams) error {
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	if err := c.check(); err != nil {
		return err
	}
	if c.Program, err = gatewayProgram(c.Program); err != nil {
		return err
	}
	runs, err := c.scenarioRuns(seeds)
	if err != nil {
		return err
	}
	reports, err := c.play(runs, streams.Err)
	if err != nil {
		return err
	}
	failed := 0
	for _, report := range reports {
		if len(report.Violations) > 0 {
			failed++
			fmt.Fprintf(streams.Out, "%s seed %d: %s\n", report.Scenario, report.Seed, strings.Join(report.Violations, "; "))
		}
	}
	printSteps(streams.Out, reports)
	printLimits(streams.Out, reports)
	printBroadcasts(streams.Out, reports)
	if failed > 0 {
		return program.Failedf("%d of %d runs did what must not be", failed, len(reports))
	}
	return nil
}

// check checks the ranges of flags.
func (c *runCommand) check() error {
	if c.Parallel < 1 || c.Parallel > maxParallel {
		return program.UsageErrorf("--parallel %d: expected 1 to %d", c.Parallel, maxParallel)
	}
	if c.Net < 0 || c.Net > maxNetwork {
		return program.UsageErrorf("--net %d: expected 0 to %d", c.Net, maxNetwork)
	}
	return nil
}

// scenarioRuns reads the scenarios and pairs each with each seed.
func (c *runCommand) scenarioRuns(seeds program.SeedRange) (runs []scenarioRun, err error) {
	names := c.Scenario
	if len(names) == 1 && names[0] == "all" {
		names = fleet.HardCases()
	}
	for _, name := range names {
		scenario, err := fleet.ReadScenario(name)
		if err != nil {
			return nil, program.UsageError{Err: err}
		}
		for seed := seeds.First; seed <= seeds.Last; seed++ {
			runs = append(runs, scenarioRun{scenario, seed})
		}
	}
	return runs, nil
}

// play plays the runs, some at once, and returns their reports in the order of the runs.
func (c *runCommand) play(runs []scenarioRun, errs io.Writer) ([]*fleet.Report, error) {
	player := runPlayer{command: c, folder: c.Logs, errs: errs}
	if c.Logs == "" {
		folder, err := os.MkdirTemp("", "foldslip-rig")
		if err != nil {
			return nil, err
		}
		player.folder = folder
		player.isTemporary = true
	}
	lines, closeLines, err := createJSONLines(c.JSON)
	if err != nil {
		return nil, err
	}
	defer closeLines()
	player.lines = lines
	reports := make([]*fleet.Report, len(runs))
	err = runParallel(c.Parallel, len(runs), func(worker, index int) (err error) {
		reports[index], err = player.play(runs[index], c.Net+worker)
		return err
	})
	if player.isTemporary {
		os.Remove(player.folder) // fails, and the folder stays, where a run's logs stay
	}
	return reports, err
}

// runPlayer plays runs with the settings and outputs that they share.
type runPlayer struct {
	command     *runCommand
	folder      string // has a folder for each run
	isTemporary bool   // folders of good runs are removed

	mu    sync.Mutex
	errs  io.Writer     // guarded by mu
	lines *json.Encoder // guarded by mu; nil: none
}

// play plays one run on a loopback network that no other run uses meanwhile.
func (p *runPlayer) play(run scenarioRun, network int) (*fleet.Report, error) {
	options := fleet.Options{Program: p.command.Program, Seed: run.seed, Network: network, Dir: filepath.Join(p.folder, run.String())}
	if p.command.Verbose {
		options.Progress = p.progress(run)
	}
	report, err := fleet.Run(run.scenario, options)
	if err != nil {
		return report, err
	}
	if len(report.Violations) == 0 && p.isTemporary {
		os.RemoveAll(options.Dir)
	}
	return report, errors.Join(p.plot(report), p.encode(report))
}

// progress returns a function that prints a run's steps.
func (p *runPlayer) progress(run scenarioRun) func(format string, arguments ...any) {
	return func(format string, arguments ...any) {
		p.mu.Lock()
		defer p.mu.Unlock()
		fmt.Fprintf(p.errs, "%s seed %d: "+format+"\n", append([]any{run.scenario.Name, run.seed}, arguments...)...)
	}
}

func (p *runPlayer) plot(report *fleet.Report) error {
	if p.command.Plot == "" {
		return nil
	}
	return report.Plot(filepath.Join(p.command.Plot, fmt.Sprintf("%s-%d.png", report.Scenario, report.Seed)))
}

func (p *runPlayer) encode(report *fleet.Report) error {
	if p.lines == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lines.Encode(report)
}
