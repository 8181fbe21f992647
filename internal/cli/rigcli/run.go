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

// maxNetwork is the highest value of the flag --net.
const maxNetwork = 100

// runCommand plays scenarios on fleets of real gateways.
type runCommand struct {
	Scenario []string `arg:"" help:"Scenarios: files, names of built-in scenarios, or all for all built-in scenarios."`
	Seeds    string   `default:"1" help:"Seeds of the runs: one seed or a range, such as 1-20."`
	Program  string   `help:"Path of the gateway program. The default is foldslip in the directory of this program."`
	Parallel int      `default:"1" help:"Number of concurrent runs, 1 to 16."`
	Net      int      `name:"net" default:"0" help:"Index of the first loopback network that the runs use, 0 to 100. Index 0 is 127.60. Concurrent runs use consecutive networks. Rigs that run at the same time need different networks."`
	JSON     string   `help:"File for all reports, with one line of JSON for each."`
	Plot     string   `help:"Folder for a plot of the member views of each run over time."`
	Logs     string   `help:"Folder for the settings and logs of each run. The default is a new temporary folder, in which the files of successful runs are removed."`
	Verbose  bool     `short:"v" help:"Print each step."`
}

// scenarioRun is a run of one scenario with one seed.
type scenarioRun struct {
	scenario *fleet.Scenario
	seed     uint64
}

func (r scenarioRun) String() string { return fmt.Sprintf("%s-%d", r.scenario.Name, r.seed) }

// Run plays the scenarios and prints tables of their reports. It returns an error if a run violated a rule.
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
		return program.Failedf("%d of %d runs violated a rule", failed, len(reports))
	}
	return nil
}

// check validates the ranges of the flags.
func (c *runCommand) check() error {
	if c.Parallel < 1 || c.Parallel > maxParallel {
		return program.UsageErrorf("--parallel %d: expected 1 to %d", c.Parallel, maxParallel)
	}
	if c.Net < 0 || c.Net > maxNetwork {
		return program.UsageErrorf("--net %d: expected 0 to %d", c.Net, maxNetwork)
	}
	return nil
}

// scenarioRuns reads the scenarios and returns a run for each scenario and each seed.
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

// play plays the runs, up to --parallel of them concurrently, and returns their reports in the order of the runs.
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
		os.Remove(player.folder) // fails if the folder still contains the logs of a run, and leaves it in place
	}
	return reports, err
}

// runPlayer plays runs that share settings and outputs.
type runPlayer struct {
	command     *runCommand
	folder      string // contains a folder for each run
	isTemporary bool   // the folders of successful runs are removed

	mu    sync.Mutex
	errs  io.Writer     // guarded by mu
	lines *json.Encoder // guarded by mu; nil if no JSON is written
}

// play plays one run on a loopback network that no concurrent run uses.
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

// progress returns a function that prints the steps of a run.
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
