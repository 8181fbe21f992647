package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// fuzzSource is a test file with one fuzz target. The condition on the length of the input replaces CONDITION.
const fuzzSource = `package made

import "testing"

func FuzzTwoBytes(f *testing.F) {
	f.Add([]byte("ab"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) CONDITION 2 {
			t.Error("found")
		}
	})
}
`

// TestFuzzScriptFailsOnAFoundInput guards against a CI that only replays the seed inputs of fuzz targets.
// The seed input of the generated target does not fail, so the script must generate one that does.
func TestFuzzScriptFailsOnAFoundInput(t *testing.T) {
	script, err := os.ReadFile("../../../.ci/fuzz")
	if err != nil {
		t.Fatal(err)
	}
	for condition, passes := range map[string]bool{"!=": false, "<": false, "== -": true} {
		root := t.TempDir()
		writeFile(t, filepath.Join(root, ".ci", "fuzz"), string(script))
		writeFile(t, filepath.Join(root, "go.mod"), "module made\n\ngo 1.26\n")
		writeFile(t, filepath.Join(root, "internal", "made", "made_test.go"), strings.Replace(fuzzSource, "CONDITION", condition, 1))
		command := exec.Command("bash", filepath.Join(root, ".ci", "fuzz"))
		command.Env = append(os.Environ(), "GOPROXY=off", "GOFLAGS=", "GOWORK=off", "GOTOOLCHAIN=local")
		out, err := command.CombinedOutput()
		if (err == nil) != passes || passes == strings.Contains(string(out), "FuzzTwoBytes of ./internal/made found an input") {
			t.Errorf("condition %q: the script ended with %v and printed\n%s", condition, err, out)
		}
	}
	run, err := os.ReadFile("../../../.ci/run")
	if err != nil || !strings.Contains(string(run), "\n.ci/fuzz\n") {
		t.Errorf(".ci/run does not run the fuzz targets: %v", err)
	}
}
