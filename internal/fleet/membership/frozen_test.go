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

// openStore opens the store of gateway n1 in a directory. It fails the test
// if the stored members cannot be loaded. The caller closes the store.
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

// Guards against a change of the format of stored members: those that
// released builds wrote must load, and saving them must write the same bytes.
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
		t.Errorf("loaded %+v, want %+v", known, want)
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

// Guards against a change of the encoding of metadata: what released builds sent must decode, and encode to the same
// bytes. The datagram that requests a refutation must stay the same too.
func TestFrozenMetadataKeepsTheSameBytes(t *testing.T) {
	for name, want := range map[string]metadata{
		"without-place.meta": {incarnation: 0x0102030405060708},
		"leaving.meta":       {incarnation: 0x0102030405060708, leaving: true},
		"place.meta":         {incarnation: 0x0102030405060708, leaving: true, locality: view.Locality{Region: "north", Zone: "n-1", Site: "日本"}},
	} {
		got, err := parseMetadata(frozen.Read(t, name))
		if err != nil || got != want {
			t.Errorf("%s: decoded %+v, error %v, want %+v without error", name, got, err, want)
		}
		frozen.Equal(t, name, got.append(nil))
	}
	if !bytes.Equal(frozen.Read(t, "speak-up.datagram"), []byte{refuteRequestKind}) {
		t.Error("the refute request is not the datagram in speak-up.datagram")
	}
}

// Guards against a change of the JSON keys of reports, which must be those that released builds printed.
func TestFrozenReportsKeepTheirKeys(t *testing.T) {
	frozen.JSON(t, "report.json", new(Report), false)
	frozen.JSON(t, "report-empty.json", new(Report), false)
}
