package rigcli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"foldslip/internal/lab/scale"
)

// called runs the program and gives its exit status and what it said.
func called(args ...string) (status int, out, errs string) {
	var o, e bytes.Buffer
	status = Main(append([]string{"scale", "broadcast"}, args...), &o, &e)
	return status, o.String(), e.String()
}

func TestBroadcastTellsByItsExitStatusWhatWasLost(t *testing.T) {
	dir := t.TempDir()
	lines := filepath.Join(dir, "runs.jsonl")
	short := []string{"--sizes", "12,24", "--seeds", "1-2", "--seconds", "2", "--settle", "5", "--case", "none,watches", "--jobs", "2", "--json", lines, "--plot", dir}
	status, out, errs := called(short...)
	if status != 0 {
		t.Fatalf("status %d: the new mechanism alone is held to the bounds\n%s%s", status, out, errs)
	}
	file, err := os.Open(lines)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	n, lost := 0, 0
	for s := bufio.NewScanner(file); s.Scan(); n++ {
		var r scale.BroadcastReport
		if err := json.Unmarshal(s.Bytes(), &r); err != nil {
			t.Fatal(err)
		}
		if r.Mechanism == "old" && len(r.Violations) > 0 {
			lost++
		}
	}
	if n != 16 || lost == 0 {
		t.Errorf("%d lines of 16, %d of them with losses of the old mechanism", n, lost)
	}
	for _, name := range []string{"broadcast-p99.svg", "broadcast-bytes.svg"} {
		if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
			t.Error(err)
		}
	}
	if status, again, errs := called("--from", lines); status != 0 || len(strings.Split(again, "\n")) != len(strings.Split(out, "\n")) {
		t.Errorf("status %d; the same runs from their file: %s%s, before: %s", status, again, errs, out)
	}
	if status, out, _ := called("--sizes", "12", "--seeds", "1", "--seconds", "2", "--settle", "5", "--mechanism", "old", "--hold", "old"); status != 1 || !strings.Contains(out, "not heard") {
		t.Errorf("status %d where the old mechanism is held to the bounds and loses: %s", status, out)
	}
}

func TestBroadcastRefusesWhatCannotBeAsked(t *testing.T) {
	for _, args := range [][]string{{"--case", "flood"}, {"--mechanism", "best"}, {"--sizes", "3"}, {"--seeds", "5-1"}, {"--jobs", "99"}, {"--seconds", "0"}, {"--rate", "5000"}, {"--told", "nobody"}} {
		if status, _, errs := called(args...); status != 2 || errs == "" {
			t.Errorf("%v: status %d, %q", args, status, errs)
		}
	}
	status, out, _ := called("--help")
	if status != 0 || !strings.Contains(out, "Examples:") || !strings.Contains(out, "release") {
		t.Errorf("status %d, help: %s", status, out)
	}
}
