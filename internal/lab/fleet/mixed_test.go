package fleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"foldslip/internal/fleet/membership"
	"foldslip/internal/fleet/view"
)

// earlierCommit is the commit whose gateway runs in the mixed fleet beside the gateway of the current tree.
const earlierCommit = "58d6067"

// buildEarlierGateway builds the gateway program of earlierCommit from the git history and returns the program's path.
func buildEarlierGateway(t *testing.T) string {
	t.Helper()
	root, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		t.Fatalf("the mixed fleet test needs the project's git repository: %v", err)
	}
	git := func(args ...string) *exec.Cmd {
		return exec.Command("git", append([]string{"-C", strings.TrimSpace(string(root))}, args...)...)
	}
	if out, err := git("cat-file", "-e", earlierCommit+"^{commit}").CombinedOutput(); err != nil {
		t.Fatalf("the mixed fleet test needs commit %s, which the repository does not have (fetch the whole history): %s", earlierCommit, out)
	}
	source, archive := t.TempDir(), filepath.Join(t.TempDir(), "source.tar")
	if out, err := git("archive", "--output", archive, earlierCommit, ":(exclude)journal").CombinedOutput(); err != nil {
		t.Fatalf("git archive: %v: %s", err, out)
	}
	if out, err := exec.Command("tar", "-xf", archive, "-C", source).CombinedOutput(); err != nil {
		t.Fatalf("tar: %v: %s", err, out)
	}
	built := filepath.Join(t.TempDir(), "foldslip")
	build := exec.Command("go", "build", "-o", built, "./cmd/foldslip")
	build.Dir = source
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the gateway of commit %s: %v: %s", earlierCommit, err, out)
	}
	return built
}

// waitForRow polls the observer's membership report until its row for another gateway satisfies
// isExpected. It fails the test after 15 s. change describes the expected state in the failure message.
func waitForRow(t *testing.T, observer *process, other, change string, isExpected func(membership.Report, membership.MemberReport) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	lastSeen := "no report received"
	for {
		report, err := observer.report(ctx)
		if err == nil {
			lastSeen = fmt.Sprintf("observer is %s and has no row", report.State)
			for _, row := range report.Members {
				if row.Name != other {
					continue
				}
				if isExpected(*report, row) {
					return
				}
				lastSeen = fmt.Sprintf("observer is %s, row is %+v", report.State, row)
			}
		}
		select {
		case <-ctx.Done():
			log, _ := os.ReadFile(observer.log.Name())
			t.Fatalf("%s did not report that %s %s; last seen: %s\n%s", observer.name, other, change, lastSeen, log)
		case <-time.After(viewInterval):
		}
	}
}

// TestGatewayOfEarlierBuildAndCurrentOneSeeEachOther guards against membership messages that an
// earlier build cannot read, as in a rolling upgrade. A gateway of earlierCommit and one of the
// current tree must each see the other join, agree, leave and return.
func TestGatewayOfEarlierBuildAndCurrentOneSeeEachOther(t *testing.T) {
	t.Parallel()
	scenario := Scenario{Name: "mixed", Gateways: 2, KeepMembers: true, Fleet: fastDetector, Localities: []GatewayLocality{
		{Gateways: []string{"n1"}, Region: "north", Zone: "a", Site: "a1"}, {Gateways: []string{"n2"}, Region: "south", Zone: "b", Site: "b1"}}}
	if err := scenario.check("mixed"); err != nil {
		t.Fatal(err)
	}
	rig := newRig(&scenario, Options{Program: program, Dir: t.TempDir(), Seed: 1, Network: testNetwork + 23})
	rig.startedAt = time.Now()
	t.Cleanup(rig.close)
	if err := rig.setUp(); err != nil {
		t.Fatal(err)
	}
	earlier, current := rig.byName["n1"], rig.byName["n2"]
	earlier.program = buildEarlierGateway(t)
	for _, p := range []*process{earlier, current} {
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
	}

	localities := map[string]view.Locality{"n1": {Region: "north", Zone: "a", Site: "a1"}, "n2": {Region: "south", Zone: "b", Site: "b1"}}
	settled := func(report membership.Report, row membership.MemberReport) bool {
		return report.State == "settled" && row.State == view.Alive && row.Agrees && row.Locality == localities[row.Name]
	}
	for _, pair := range []struct{ observer, other *process }{{earlier, current}, {current, earlier}} {
		waitForRow(t, pair.observer, pair.other.name, "is alive at its locality and agrees", settled)
	}
	for _, pair := range []struct{ remaining, leaving *process }{{earlier, current}, {current, earlier}} {
		if err := pair.leaving.signalAndWait(syscall.SIGTERM, stopTimeout); err != nil {
			t.Fatal(err)
		}
		waitForRow(t, pair.remaining, pair.leaving.name, "left", func(_ membership.Report, row membership.MemberReport) bool { return row.State == view.Left })
		if err := pair.leaving.start(); err != nil {
			t.Fatal(err)
		}
		waitForRow(t, pair.remaining, pair.leaving.name, "has restarted as a new process", func(report membership.Report, row membership.MemberReport) bool {
			return settled(report, row) && row.Restarts == 1 && row.Deaths == 0
		})
	}
}
