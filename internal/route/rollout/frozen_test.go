package rollout

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/lab/frozen"
)

// recordedDirectory runs steps of several changes with a log in an empty directory,
// so that the file of the log's first generation holds each kind of step.
func recordedDirectory(t *testing.T) env.OSDirectory {
	t.Helper()
	directory, err := env.OpenOSDirectory(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	c := openController(t, newTestEnv(), directory, routesTo("town"))
	requireStep(t)(c.Propose(1, routesTo("hill"), "ada", "sale"))
	requireStep(t)(c.Stage(2, 0.25, time.Minute))
	requireStep(t)(c.Apply(2, time.Minute))
	requireStep(t)(c.Confirm(2))
	requireStep(t)(c.Propose(2, routesTo("nowhere"), "ada", "a mistake"))
	requireStep(t)(c.Propose(2, routesTo("town"), "bob", "end of sale"))
	requireStep(t)(c.RollBack(4, "not yet"))
	requireStep(t)(c.ProposeEarlier(1, "bob", "end of sale"))
	requireStep(t)(c.Apply(5, time.Minute))
	c.Close()
	return directory
}

func historyJSON(t *testing.T, c *Controller) []byte {
	t.Helper()
	entries, _ := c.History()
	text, err := json.Marshal(entries)
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

func readFile(t *testing.T, directory env.OSDirectory, name string) []byte {
	t.Helper()
	text, err := directory.Read(name)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// The files under testdata were written by a build from before the Go identifiers
// were renamed. The tests check that the renaming did not change the stored forms.
func TestStoredStepFormsAreUnchanged(t *testing.T) {
	frozen.Equal(t, "routes-1.rec", readFile(t, recordedDirectory(t), "routes-1.rec"))
}

func TestALogOfAnEarlierBuildIsContinued(t *testing.T) {
	directory, err := env.OpenOSDirectory(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(directory.Path, "routes-1.rec"), frozen.Read(t, "routes-1.rec"), 0o600); err != nil {
		t.Fatal(err)
	}
	c := openController(t, newTestEnv(), directory, routesTo("nowhere"))
	defer c.Close()
	frozen.Equal(t, "history.json", historyJSON(t, c))
	frozen.Equal(t, "routes-2.rec", readFile(t, directory, "routes-2.rec"))
}
