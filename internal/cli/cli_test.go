package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"foldslip/internal/cli/program"
)

// runCLI runs a command and returns the exit status, the text written to the output and the messages.
func runCLI(args ...string) (status int, output, messages string) {
	var out, errs bytes.Buffer
	status = Main(args, &out, &errs)
	return status, out.String(), errs.String()
}

// writeFile writes a file into a directory and returns the file's path.
func writeFile(t *testing.T, directory, name, text string) string {
	t.Helper()
	path := filepath.Join(directory, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestUsageErrors checks that a command with an argument, a setting or a file that cannot be used ends with exit status
// 2 and a message with the reason, and writes no file.
func TestUsageErrors(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string { return writeFile(t, dir, name, text) }
	t.Setenv("ROUTER_CONFIG", "")
	for _, test := range []struct {
		name, message string
		args          []string
	}{
		{"unknown command", "unexpected argument", []string{"frobnicate"}},
		{"unknown flag", "unknown flag", []string{"faults", "run", "--sides", "1"}},
		{"no configuration file", "ROUTER_CONFIG is not set", nil},
		{"no seeds", "--seeds", []string{"faults", "run"}},
		{"seeds that are not numbers", "expected A-B", []string{"faults", "run", "--seeds", "7-x"}},
		{"first seed above the last", "expected A-B", []string{"faults", "run", "--seeds", "9-3"}},
		{"number of jobs out of range", "--jobs", []string{"faults", "run", "--seeds", "1", "--jobs", "-3"}},
		{"unknown profile of scenarios", "days \"sunny\" is unknown", []string{"faults", "run", "--seeds", "1", "--days", "sunny"}},
		{"unknown injected fault", "plant \"weed\" is unknown", []string{"faults", "replay", "1", "--plant", "weed"}},
		{"neither seed nor file", "is neither a seed nor a file that can be read", []string{"faults", "replay", filepath.Join(dir, "none.json")}},
		{"file that is not a plan", "not a plan", []string{"faults", "replay", file("a.json", "[")}},
		{"plan of another format version", "form 0", []string{"faults", "replay", file("b.json", `{"seed":3}`)}},
		{"unknown field", "unknown field", []string{"faults", "replay", file("c.json", `{"form":1,"weather":3}`)}},
		{"value out of range", "gateways is 900", []string{"faults", "replay", file("d.json", `{"form":1,"days":"calm","seconds":5,"gateways":900}`)}},
		{"unknown kind of fault", `kind "rain" is unknown`, []string{"faults", "replay",
			file("e.json", `{"form":1,"days":"calm","seconds":5,"gateways":1,"caches":1,"parents":1,"descriptors":99,"memory_mb":64,"faults":[{"kind":"rain"}]}`)}},
		{"nothing to shrink", "breaks no rule", []string{"faults", "shrink", "1", "--days", "calm", "--out", filepath.Join(dir, "none.json")}},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, _, messages := runCLI(test.args...)
			if status != program.ExitUsage || !strings.Contains(messages, test.message) || !strings.HasPrefix(messages, "foldslip: ") {
				t.Errorf("status %d, messages %q; want status 2 and the reason", status, messages)
			}
		})
	}
	if written, _ := filepath.Glob(filepath.Join(dir, "none*")); len(written) > 0 {
		t.Errorf("files written: %v", written)
	}
}
