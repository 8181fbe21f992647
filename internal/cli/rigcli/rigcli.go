// Package rigcli is the command line of foldslip-rig. It plays scenarios on fleets of real gateways on loopback, and
// measures the control-plane cost of gateways against the size of the fleet. It is a separate program because its
// plotting libraries use more memory at start-up than a gateway limited to 32 MB can spare.
//
// The exit status is 0 on success, 1 if a run violated a rule or a bound, and 2 if arguments or a file cannot be used.
package rigcli

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"

	"foldslip/internal/cli/program"
	"foldslip/internal/lab/fleet"
)

const (
	maxSeeds    = 1000
	seedBits    = 32
	maxParallel = 16
	maxSizes    = 32
)

type commands struct {
	Run     runCommand     `cmd:"" default:"withargs" help:"Play scenarios (the default command)."`
	Clients clientsCommand `cmd:"" help:"Play clients that misuse or leave one gateway, and measure what other clients see."`
	Scale   scaleCommands  `cmd:"" help:"Measure the control-plane cost of gateways against the size of the fleet."`
}

// Run executes the command line of the process and exits with its status.
func Run() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }

// Main runs the command selected by args and returns the exit status.
func Main(args []string, out, errs io.Writer) int {
	rig := program.Program{
		Name: "foldslip-rig",
		Description: "Plays scenarios with injected faults on fleets of real gateways on loopback, and measures the control-plane cost of large fleets. Built-in scenarios: " +
			strings.Join(fleet.HardCases(), ", ") + ".",
	}
	return rig.Main(&commands{}, args, &program.Streams{Out: out, Err: errs})
}

// parseSeeds parses the value of the flag --seeds.
func parseSeeds(text string) (program.SeedRange, error) {
	seeds, ok := program.ParseSeedRange(text, maxSeeds, seedBits)
	if !ok {
		return seeds, program.UsageErrorf("--seeds %q: expected a seed or a range of at most %d seeds, such as 1-20", text, maxSeeds)
	}
	return seeds, nil
}

// gatewayProgram returns the absolute path of the gateway program. An empty path selects the file foldslip in the
// directory of the running program.
func gatewayProgram(path string) (string, error) {
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(self), "foldslip")
	}
	if _, err := os.Stat(path); err != nil {
		return "", program.UsageErrorf("--program: %w; build it with: go build -o bin/ ./cmd/...", err)
	}
	return filepath.Abs(path)
}

// createJSONLines creates a file of JSON lines and returns its encoder, which is nil if path is empty. The caller must
// call closeFile.
func createJSONLines(path string) (lines *json.Encoder, closeFile func(), err error) {
	if path == "" {
		return nil, func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, program.UsageError{Err: err}
	}
	return json.NewEncoder(file), func() { file.Close() }, nil
}

// createFolder creates a folder for plots, with its parents, if it does not exist.
func createFolder(path string) error {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return program.UsageError{Err: err}
	}
	return nil
}

// newProgressBar returns a progress bar for a number of runs. It is drawn on errs.
func newProgressBar(errs io.Writer, total int) *progressbar.ProgressBar {
	return progressbar.NewOptions(total, progressbar.OptionSetWriter(errs), progressbar.OptionShowCount(), progressbar.OptionClearOnFinish(),
		progressbar.OptionSetDescription("runs"))
}

// newTable returns a writer that aligns columns. The caller must flush it.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 4, 2, ' ', 0) }

// secondsToDuration converts a number of seconds to a duration.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// groupRuns splits reports into groups of consecutive reports for which isSame is true.
func groupRuns[Report any](reports []*Report, isSame func(a, b *Report) bool) (groups [][]*Report) {
	for start := 0; start < len(reports); {
		end := start
		for end < len(reports) && isSame(reports[start], reports[end]) {
			end++
		}
		groups = append(groups, reports[start:end])
		start = end
	}
	return groups
}
