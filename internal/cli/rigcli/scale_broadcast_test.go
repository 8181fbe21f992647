package rigcli

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"foldslip/internal/cli/program"
	"foldslip/internal/lab/scale"
)

// runBroadcast runs the command foldslip-rig scale broadcast.
func runBroadcast(args ...string) (status int, output, messages string) {
	return runRig(append([]string{"scale", "broadcast"}, args...)...)
}

// readReports reads a file of JSON lines with one report each.
func readReports(t *testing.T, path string) (reports []scale.BroadcastReport) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var report scale.BroadcastReport
		if err := json.Unmarshal(lines.Bytes(), &report); err != nil {
			t.Fatal(err)
		}
		reports = append(reports, report)
	}
	return reports
}

// TestBroadcastExitStatusReportsLosses checks that lost purges fail the command only if the mechanism is enforced, and
// that --from prints the same number of lines as the runs themselves.
func TestBroadcastExitStatusReportsLosses(t *testing.T) {
	dir := t.TempDir()
	lines := filepath.Join(dir, "runs.jsonl")
	status, out, messages := runBroadcast("--sizes", "12,24", "--seeds", "1-2", "--seconds", "2", "--settle", "5", "--case", "none,watches",
		"--jobs", "2", "--json", lines, "--plot", dir)
	if status != program.ExitOK {
		t.Fatalf("status %d, want success, since only the new mechanism is enforced\n%s%s", status, out, messages)
	}
	reports := readReports(t, lines)
	runsWithLosses := 0
	for _, report := range reports {
		if report.Mechanism == "old" && len(report.Violations) > 0 {
			runsWithLosses++
		}
	}
	if len(reports) != 16 || runsWithLosses == 0 {
		t.Errorf("%d reports, want 16; %d of them with losses of the old mechanism, want at least 1", len(reports), runsWithLosses)
	}
	for _, name := range []string{"broadcast-p99.svg", "broadcast-bytes.svg"} {
		if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
			t.Error(err)
		}
	}
	status, fromFile, messages := runBroadcast("--from", lines)
	if status != program.ExitOK || len(strings.Split(fromFile, "\n")) != len(strings.Split(out, "\n")) {
		t.Errorf("status %d; output with --from: %s%s\noutput of the runs: %s", status, fromFile, messages, out)
	}
	status, out, _ = runBroadcast("--sizes", "12", "--seeds", "1", "--seconds", "2", "--settle", "5", "--mechanism", "old", "--hold", "old")
	if status != program.ExitFailed || !strings.Contains(out, "not heard") {
		t.Errorf("status %d of an enforced mechanism that loses purges: %s", status, out)
	}
}

// TestBroadcastUsageErrors checks that invalid flag values give exit status 2 and a message.
func TestBroadcastUsageErrors(t *testing.T) {
	for _, args := range []string{"--case flood", "--mechanism best", "--sizes 3", "--seeds 5-1", "--jobs 99", "--seconds 0", "--rate 5000", "--told nobody"} {
		t.Run(args, func(t *testing.T) {
			if status, _, messages := runBroadcast(strings.Fields(args)...); status != program.ExitUsage || messages == "" {
				t.Errorf("status %d, messages %q; want a usage error with a message", status, messages)
			}
		})
	}
	t.Run("--help", func(t *testing.T) {
		status, out, _ := runBroadcast("--help")
		if status != program.ExitOK || !strings.Contains(out, "Examples:") || !strings.Contains(out, "release") {
			t.Errorf("status %d, help: %s", status, out)
		}
	})
}
