// Package rigcli is the command line of foldslip-rig: scenarios of fleets of real gateways on loopback, and measurements of what control
// costs against the size of a fleet. It is a program of its own since its plot libraries take more memory from the start than a gateway
// of 32 MB can spare.
//
// Exit status: 0 done, 1 a run broke a rule or a bound, 2 arguments or a file cannot be used.
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
	Run   runCommand    `cmd:"" default:"withargs" help:"Play scenarios (what the bare program does with their names)."`
	Scale scaleCommands `cmd:"" help:"Measure what gateways' control costs against the number of gateways."`
}

// Run runs the process's own arguments and ends the process.
func Run() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }

// Main runs the command that args select and returns the exit status.
func Main(args []string, out, errs io.Writer) int {
	rig := program.Program{
		Name: "foldslip-rig",
		Description: "Plays scenarios on fleets of real gateways on loopback with faults between them, and measures what control costs at size. Hard cases: " +
			strings.Join(fleet.HardCases(), ", ") + ".",
	}
	return rig.Main(&commands{}, args, &program.Streams{Out: out, Err: errs})
}

// parseSeeds parses the flag --seeds.
func parseSeeds(text string) (program.SeedRange, error) {
	seeds, ok := program.ParseSeedRange(text, maxSeeds, seedBits)
	if !ok {
		return seeds, program.UsageErrorf("--seeds %q: expected one, or first and last of at most %d, as 1-20", text, maxSeeds)
	}
	return seeds, nil
}

// gatewayProgram returns the absolute path of the gateway's program: foldslip beside this one if path is empty.
func gatewayProgram(path string) (string, error) {
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(self), "foldslip")
	}
	if _, err := os.Stat(path); err != nil {
		return "", program.UsageErrorf("--program: %w; go build -o bin/ ./cmd/... makes it", err)
	}
	return filepath.Abs(path)
}

// createJSONLines creates a file for lines of JSON; without a path the encoder is nil. The caller calls closeFile.
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

// createFolder creates a folder for plots.
func createFolder(path string) error {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return program.UsageError{Err: err}
	}
	return nil
}

// newProgressBar returns a bar of runs.
func newProgressBar(errs io.Writer, total int) *progressbar.ProgressBar {
	return progressbar.NewOptions(total, progressbar.OptionSetWriter(errs), progressbar.OptionShowCount(), progressbar.OptionClearOnFinish(),
		progressbar.OptionSetDescription("runs"))
}

// newTable returns a writer that aligns columns; the caller flushes it.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 4, 2, ' ', 0) }

// secondsToDuration converts seconds.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// groupRuns splits runs into stretches of neighbours that belong together.
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
