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

// recordedDirectory takes every step of changes in an empty folder, so that the file of its first generation holds each kind of step.
func recordedDirectory(t *testing.T) env.OSDirectory {
	t.Helper()
	disk, err := env.OpenOSDirectory(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	s := openController(t, newTestEnv(), disk, routesTo("town"))
	requireStep(t)(s.Propose(1, routesTo("hill"), "ada", "sale"))
	requireStep(t)(s.Stage(2, 0.25, time.Minute))
	requireStep(t)(s.Apply(2, time.Minute))
	requireStep(t)(s.Confirm(2))
	requireStep(t)(s.Propose(2, routesTo("nowhere"), "ada", "a mistake"))
	requireStep(t)(s.Propose(2, routesTo("town"), "bob", "end of sale"))
	requireStep(t)(s.RollBack(4, "not yet"))
	requireStep(t)(s.ProposeEarlier(1, "bob", "end of sale"))
	requireStep(t)(s.Apply(5, time.Minute))
	s.Close()
	return disk
}

func historyJSON(t *testing.T, s *Controller) []byte {
	t.Helper()
	entries, _ := s.History()
	text, err := json.Marshal(entries)
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

func readFile(t *testing.T, disk env.OSDirectory, name string) []byte {
	t.Helper()
	text, err := disk.Read(name)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// The files under testdata were written by the build before the names of Go changed.
func TestStepsOnDiskKeepTheirForm(t *testing.T) {
	frozen.Equal(t, "routes-1.rec", readFile(t, recordedDirectory(t), "routes-1.rec"))
}

func TestALogOfAnEarlierBuildIsContinued(t *testing.T) {
	disk, err := env.OpenOSDirectory(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(disk.Path, "routes-1.rec"), frozen.Read(t, "routes-1.rec"), 0o600); err != nil {
		t.Fatal(err)
	}
	s := openController(t, newTestEnv(), disk, routesTo("nowhere"))
	defer s.Close()
	frozen.Equal(t, "history.json", historyJSON(t, s))
	frozen.Equal(t, "routes-2.rec", readFile(t, disk, "routes-2.rec"))
}
