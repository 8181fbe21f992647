package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"foldslip/internal/cli/program"
	"foldslip/internal/lab/scenario"
)

// TestFaults checks the commands that run scenarios.
func TestFaults(t *testing.T) {
	t.Run("help lists the commands and ends with status 0", func(t *testing.T) {
		status, out, _ := runCLI("--help")
		if status != program.ExitOK || !strings.Contains(out, "faults run") || !strings.Contains(out, "serve") {
			t.Errorf("status %d, output %s", status, out)
		}
	})
	t.Run("kinds lists all kinds of faults", func(t *testing.T) {
		_, out, _ := runCLI("faults", "kinds")
		for _, kind := range scenario.FaultKinds {
			if !strings.Contains(out, kind.Name) {
				t.Errorf("%s is not listed", kind.Name)
			}
		}
	})
	t.Run("the digest does not depend on the number of jobs", testDigestIsIndependentOfJobs)
	t.Run("a broken rule ends with status 1, is shrunk and replayed", testBrokenRuleIsShrunk)
}

func testDigestIsIndependentOfJobs(t *testing.T) {
	digests := map[string]bool{}
	for _, jobs := range []string{"1", "4"} {
		status, out, messages := runCLI("faults", "run", "--seeds", "1-6", "--jobs", jobs, "--json")
		var summary runSummary
		if err := json.Unmarshal([]byte(out), &summary); err != nil || status != program.ExitOK || summary.Scenarios != 6 {
			t.Fatalf("status %d, error %v, messages %s", status, err, messages)
		}
		digests[summary.Digest] = true
	}
	if len(digests) != 1 {
		t.Error(digests)
	}
}

func testBrokenRuleIsShrunk(t *testing.T) {
	status, out, messages := runCLI("faults", "run", "--seeds", "2", "--plant", "answer_twice")
	if status != program.ExitFailed || !strings.Contains(out, "seed 2 broke") || !strings.Contains(messages, "1 of 1 seeds") {
		t.Fatalf("status %d, messages %s", status, messages)
	}
	path := filepath.Join(t.TempDir(), "small.json")
	if status, out, messages = runCLI("faults", "shrink", "2", "--plant", "answer_twice", "--out", path); status != program.ExitOK {
		t.Fatalf("status %d, output %s, messages %s", status, out, messages)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	plan, err := scenario.ReadPlan(text)
	// The plan must be smaller than that of seed 2 (60 s, 3 gateways, 8 caches). How far it shrinks depends on the
	// lookup that the injected fault affects, and that changes with the policy's decisions. The bounds are those that
	// every build must reach.
	if err != nil || len(plan.Faults) != 0 || plan.Gateways > 3 || plan.Seconds > 10 || plan.Caches > 4 {
		t.Errorf("error %v, shrunk plan %+v", err, plan)
	}
	status, out, messages = runCLI("faults", "replay", path, "--trace")
	if status != program.ExitFailed || !strings.Contains(messages, "rule 1") || !strings.Contains(out, "BROKEN") || !strings.Contains(out, " ask ") {
		t.Errorf("status %d, messages %s", status, messages)
	}
}
