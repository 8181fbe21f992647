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

// What released builds kept of the fleet is read, and written to the same bytes.
func TestFrozenKeptMembersKeepTheirBytes(t *testing.T) {
	want := []view.ID{{Name: "n2", Addr: "10.0.0.2:7946", Incarnation: 0x0102030405060708}, {Name: "n3", Addr: "[fd00::3]:7946", Incarnation: 1},
		{Name: "n4", Addr: "10.0.0.4:7946"}}
	read := t.TempDir()
	if err := os.WriteFile(filepath.Join(read, storedFile), frozen.Read(t, storedFile), 0o600); err != nil {
		t.Fatal(err)
	}
	shelf, why, err := OpenMemberStore(env.OSDirectory{Path: read}, "n1", 100)
	if err != nil || why != nil {
		t.Fatal(err, why)
	}
	known := shelf.Known()
	if !slices.Equal(known, want) {
		t.Errorf("read %+v, not %+v", known, want)
	}
	if err := shelf.Close(); err != nil {
		t.Error(err)
	}

	written := t.TempDir()
	if shelf, why, err = OpenMemberStore(env.OSDirectory{Path: written}, "n1", 100); err != nil || why != nil {
		t.Fatal(err, why)
	}
	if err := shelf.Save(known); err != nil {
		t.Fatal(err)
	}
	if err := shelf.Close(); err != nil {
		t.Error(err)
	}
	got, err := os.ReadFile(filepath.Join(written, storedFile))
	if err != nil {
		t.Fatal(err)
	}
	frozen.Equal(t, storedFile, got)
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
		t.Error("the datagram that asks a gateway to speak up is another one")
	}
}

func TestFrozenReportsKeepTheirKeys(t *testing.T) {
	frozen.JSON(t, "report.json", new(Report), false)
	frozen.JSON(t, "report-empty.json", new(Report), false)
}
