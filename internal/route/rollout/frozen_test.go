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

// recorded takes every step of changes in an empty folder, so that the file of its first generation holds each kind of step.
func recorded(t *testing.T) env.Folder {
	t.Helper()
	disk, err := env.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	s := begin(t, newGround(), disk, routes("town"))
	must(t)(s.Propose(1, routes("hill"), "ada", "sale"))
	must(t)(s.Stage(2, 0.25, time.Minute))
	must(t)(s.Apply(2, time.Minute))
	must(t)(s.Confirm(2))
	must(t)(s.Propose(2, routes("nowhere"), "ada", "a mistake"))
	must(t)(s.Propose(2, routes("town"), "bob", "end of sale"))
	must(t)(s.Undo(4, "not yet"))
	must(t)(s.Back(1, "bob", "end of sale"))
	must(t)(s.Apply(5, time.Minute))
	s.Close()
	return disk
}

func history(t *testing.T, s *Steer) []byte {
	t.Helper()
	entries, _ := s.History()
	text, err := json.Marshal(entries)
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

func content(t *testing.T, disk env.Folder, name string) []byte {
	t.Helper()
	text, err := disk.Read(name)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// The files under testdata were written by the build before the names of Go changed.
func TestStepsOnDiskKeepTheirForm(t *testing.T) {
	frozen.Equal(t, "routes-1.rec", content(t, recorded(t), "routes-1.rec"))
}

func TestARecordOfBeforeIsTakenOn(t *testing.T) {
	disk, err := env.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(disk.Path, "routes-1.rec"), frozen.Read(t, "routes-1.rec"), 0o600); err != nil {
		t.Fatal(err)
	}
	s := begin(t, newGround(), disk, routes("nowhere"))
	defer s.Close()
	frozen.Equal(t, "history.json", history(t, s))
	frozen.Equal(t, "routes-2.rec", content(t, disk, "routes-2.rec"))
}
