package wal_test

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"foldslip/internal/env"
	"foldslip/internal/lab/frozen"
	"foldslip/internal/store/wal"
)

// Guards against a change of the file format or the file names. The files under testdata were written by the last build
// before the Go identifiers were renamed.
func TestGenerationFormsAndNamesAreUnchanged(t *testing.T) {
	old, err := env.OpenOSDirectory(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	rewritten, err := env.OpenOSDirectory(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	log, _, err := wal.Open(rewritten, "list")
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	for i, name := range []string{"list-1.rec", "list-2.rec"} {
		if err := os.WriteFile(filepath.Join(old.Path, name), frozen.Read(t, name), 0o600); err != nil {
			t.Fatal(err)
		}
		contents, err := wal.Read(old, "list")
		if err != nil || contents.Generation != uint64(i+1) || contents.LostBytes != 0 || len(contents.Skipped) != 0 {
			t.Fatal(contents, err)
		}
		if err := log.WriteSnapshot(contents.Snapshot); err != nil {
			t.Fatal(err)
		}
		if err := log.Append(contents.Changes...); err != nil {
			t.Fatal(err)
		}
		written, err := rewritten.Read(name)
		if err != nil {
			t.Fatal(err)
		}
		frozen.Equal(t, name, written)
	}
	if names, err := rewritten.Names(); err != nil || !slices.Contains(names, "list-1.rec") || !slices.Contains(names, "list-2.rec") {
		t.Error(names, err)
	}
}

func TestHeaderFormIsUnchanged(t *testing.T) {
	frozen.Equal(t, "head.bin", wal.Header(1, 0x0102030405060708))
}
