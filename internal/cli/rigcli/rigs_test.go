package rigcli

import (
	"bytes"
	"strings"
	"testing"
)

// Scenarios stay the bare program's arguments, beside the commands.
func TestUsageErrors(t *testing.T) {
	for _, c := range []struct {
		args   string
		status int
		says   string
	}{
		{"--seeds 1-2 nosuch --program /bin/true", 2, "nosuch"},
		{"run nosuch --program /bin/true", 2, "nosuch"},
		{"split --parallel 17", 2, "--parallel 17: expected 1 to 16"},
		{"", 2, "expected"},
		{"scale watch --sizes 0", 2, "--sizes: 0 gateways"},
		{"scale watch --runs 21", 2, "--runs 21: expected 1 to 20"},
		{"scale watch --program /nowhere/foldslip", 2, "--program"},
		{"scale watch --list elsewhere", 2, "--list"},
		{"scale watch --help", 0, "--stretch"},
		{"--help", 0, "scale watch"},
	} {
		var out, errs bytes.Buffer
		if got := Main(strings.Fields(c.args), &out, &errs); got != c.status || !strings.Contains(out.String()+errs.String(), c.says) {
			t.Errorf("%q: status %d, want %d; it says %q, want %q in it", c.args, got, c.status, out.String()+errs.String(), c.says)
		}
	}
}
