package membership

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"foldslip/internal/env"
	"foldslip/internal/fleet/view"
	"foldslip/internal/lab/frozen"
)

const storedFile = "fleet-1.rec"

// openStore opens a store that must be usable, until the test ends or it is closed.
func openStore(t *testing.T, dir string) *MemberStore {
	t.Helper()
	store, err := OpenMemberStore(env.OSDirectory{Path: dir}, "n1", 100)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.LoadError(); err != nil {
		t.Fatal(err)
	}
	return store
}

func closeStore(t *testing.T, store *MemberStore) {
	t.Helper()
	if err := store.Close(); err != nil {
		t.Error(err)
	}
}

// Members that released builds stored are read, and written to the same bytes.
func TestFrozenStoredMembersKeepTheirBytes(t *testing.T) {
	want := []view.ID{
		{Name: "n2", Addr: "10.0.0.2:7946", Incarnation: 0x0102030405060708},
		{Name: "n3", Addr: "[fd00::3]:7946", Incarnation: 1},
		{Name: "n4", Addr: "10.0.0.4:7946"},
	}
	readDir := t.TempDir()
	if err := os.WriteFile(filepath.Join(readDir, storedFile), frozen.Read(t, storedFile), 0o600); err != nil {
		t.Fatal(err)
	}
	store := openStore(t, readDir)
	known := store.Known()
	closeStore(t, store)
	if !slices.Equal(known, want) {
		t.Errorf("read %+v, not %+v", known, want)
	}

	writtenDir := t.TempDir()
	store = openStore(t, writtenDir)
	if err := store.Save(known); err != nil {
		t.Fatal(err)
	}
	closeStore(t, store)
	written, err := os.ReadFile(filepath.Join(writtenDir, storedFile))
	if err != nil {
		t.Fatal(err)
	}
	frozen.Equal(t, storedFile, written)
}

// Metadata that released builds sent is read, and written to the same bytes.
func TestFrozenMetadataKeepsTheSameBytes(t *testing.T) {
	for name, want := range map[string]metadata{
		"without-place.meta": {incarnation: 0x0102030405060708},
		"leaving.meta":       {incarnation: 0x0102030405060708, leaving: true},
		"place.meta":         {incarnation: 0x0102030405060708, leaving: true, locality: view.Locality{Region: "north", Zone: "n-1", Site: "日本"}},
	} {
		got, err := parseMetadata(frozen.Read(t, name))
		if err != nil || got != want {
			t.Errorf("%s: read %+v, %v, not %+v", name, got, err, want)
		}
		frozen.Equal(t, name, got.append(nil))
	}
	if !bytes.Equal(frozen.Read(t, "speak-up.datagram"), []byte{refuteRequestKind}) {
		t.Error("the datagram that asks a gateway to refute a suspicion is another one")
	}
}

// The JSON of reports has the keys that released builds printed.
func TestFrozenReportsKeepTheirKeys(t *testing.T) {
	frozen.JSON(t, "report.json", new(Report), false)
	frozen.JSON(t, "report-empty.json", new(Report), false)
}
