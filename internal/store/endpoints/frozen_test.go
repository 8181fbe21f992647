package endpoints

import (
	"testing"

	"foldslip/internal/lab/frozen"
)

// rewrite restores a state from a snapshot file and update files and returns the snapshot of that state.
func rewrite(t *testing.T, snapshotFile string, updateFiles ...string) []byte {
	t.Helper()
	var updates [][]byte
	for _, name := range updateFiles {
		updates = append(updates, frozen.Read(t, name))
	}
	state, err := Restore(frozen.Read(t, snapshotFile), updates)
	if err != nil {
		t.Fatal(err)
	}
	written, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return written
}

// Guards against a change of the stored format. The files under testdata were written by the last build before the Go
// identifiers were renamed.
func TestSnapshotsKeepTheirForm(t *testing.T) {
	frozen.Equal(t, "snapshot.bin", rewrite(t, "snapshot.bin"))
	frozen.Equal(t, "empty-snapshot.bin", rewrite(t, "empty-snapshot.bin"))
	frozen.Equal(t, "after-changes.bin", rewrite(t, "snapshot.bin", "change.bin", "small-change.bin"))
	var first encodedState
	if err := decode(frozen.Read(t, "snapshot.bin"), &first); err != nil {
		t.Fatal(err)
	}
	frozen.Complete(t, "snapshot.bin", first.Endpoints[0])
	frozen.Complete(t, "snapshot.bin", first.Tombstones[1])
	frozen.Complete(t, "snapshot.bin", first.Purges[0])
}

// Guards against a change of the stored form of DroppedPurgesAt, which the first builds did not write. The file is
// snapshot.bin with that field, so it sets all fields of a State.
func TestSnapshotWithDroppedPurgesKeepsItsForm(t *testing.T) {
	const name = "dropped-purges-snapshot.bin"
	frozen.Equal(t, name, rewrite(t, name))
	var stored encodedState
	if err := decode(frozen.Read(t, name), &stored); err != nil {
		t.Fatal(err)
	}
	frozen.Complete(t, name, stored.State)
}

func TestASnapshotWithAKeyThatIsNoLongerWrittenIsRead(t *testing.T) {
	frozen.Equal(t, "old-key-as-written-now.bin", rewrite(t, "old-key-snapshot.bin"))
}

func TestUpdatesKeepTheirForm(t *testing.T) {
	for _, name := range []string{"change.bin", "small-change.bin"} {
		var update Update
		if err := decode(frozen.Read(t, name), &update); err != nil {
			t.Fatal(name, err)
		}
		written, err := update.Encode()
		if err != nil {
			t.Fatal(name, err)
		}
		frozen.Equal(t, name, written)
		if name == "change.bin" {
			update.Endpoints = update.Endpoints[1:] // the next endpoint has all fields set
			frozen.Complete(t, name, update)
		}
	}
}
