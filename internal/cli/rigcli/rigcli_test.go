package rigcli

import (
	"bytes"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"

	"foldslip/internal/cli/program"
)

// runRig runs a command. It returns the exit status and what was written to standard output and standard error.
func runRig(args ...string) (status int, output, messages string) {
	var out, errs bytes.Buffer
	status = Main(args, &out, &errs)
	return status, out.String(), errs.String()
}

// TestUsageErrors checks exit statuses and messages. Scenarios must be accepted as arguments of the bare program,
// beside the commands.
func TestUsageErrors(t *testing.T) {
	for _, test := range []struct {
		args   string
		status int
		text   string
	}{
		{"--seeds 1-2 nosuch --program /bin/true", program.ExitUsage, "nosuch"},
		{"run nosuch --program /bin/true", program.ExitUsage, "nosuch"},
		{"split --parallel 17", program.ExitUsage, "--parallel 17: expected 1 to 16"},
		{"", program.ExitUsage, "expected"},
		{"scale watch --sizes 0", program.ExitUsage, "--sizes: 0 gateways"},
		{"scale watch --runs 21", program.ExitUsage, "--runs 21: expected 1 to 20"},
		{"scale watch --program /nowhere/foldslip", program.ExitUsage, "--program"},
		{"scale watch --list elsewhere", program.ExitUsage, "--list"},
		{"scale watch --help", program.ExitOK, "--stretch"},
		{"--help", program.ExitOK, "scale watch"},
	} {
		t.Run(test.args, func(t *testing.T) {
			status, out, messages := runRig(strings.Fields(test.args)...)
			if status != test.status || !strings.Contains(out+messages, test.text) {
				t.Errorf("status %d, want %d; output %q, want it to contain %q", status, test.status, out+messages, test.text)
			}
		})
	}
}

// TestRunParallel checks that run is called once for each index, that the worker number is in range, and that all
// errors are joined.
func TestRunParallel(t *testing.T) {
	errOdd := errors.New("odd")
	var mu sync.Mutex
	var indices []int
	err := runParallel(3, 20, func(worker, index int) error {
		mu.Lock()
		defer mu.Unlock()
		indices = append(indices, index)
		if worker < 0 || worker >= 3 {
			t.Errorf("worker number %d, want 0 to 2", worker)
		}
		if index%2 == 1 {
			return errOdd
		}
		return nil
	})
	slices.Sort(indices)
	if len(indices) != 20 || len(slices.Compact(indices)) != 20 {
		t.Errorf("called for the indices %v, want 0 to 19 once each", indices)
	}
	if !errors.Is(err, errOdd) || strings.Count(err.Error(), "odd") != 10 {
		t.Errorf("error %v, want 10 joined errors", err)
	}
}

// TestRealGateways checks the number of real gateways in a fleet.
func TestRealGateways(t *testing.T) {
	for _, test := range []struct{ size, requested, want int }{{12, 0, 0}, {1, 12, 1}, {12, 12, 6}, {13, 100, 6}, {50, 12, 12}} {
		if got := realGateways(test.size, test.requested); got != test.want {
			t.Errorf("%d real gateways requested in a fleet of %d: got %d, want %d", test.requested, test.size, got, test.want)
		}
	}
}
