package wal_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"foldslip/internal/env"
	"foldslip/internal/lab/simenv"
	"foldslip/internal/store/wal"
)

// describe returns the snapshot and the changes after it as text.
func describe(c wal.Contents) string {
	return fmt.Sprintf("%s+%s", c.Snapshot, bytes.Join(c.Changes, []byte(",")))
}

// writeEntries opens a log and writes a fixed sequence of snapshots and changes. It passes each state to onSynced after
// the state has been synced.
func writeEntries(directory wal.Directory, onSynced func(state string)) error {
	log, before, err := wal.Open(directory, "list")
	if err != nil {
		return err
	}
	defer log.Close()
	snapshot := "s" + describe(before)[:1]
	if err := log.WriteSnapshot([]byte(snapshot)); err != nil {
		return err
	}
	state := snapshot + "+"
	onSynced(state)
	for i := range 6 {
		change := fmt.Sprintf("c%d", i)
		if err := log.Append([]byte(change)); err != nil {
			return err
		}
		if state[len(state)-1] != '+' {
			state += ","
		}
		state += change
		onSynced(state)
		if i == 3 {
			if err := log.WriteSnapshot([]byte("t")); err != nil {
				return err
			}
			state = "t+"
			onSynced(state)
		}
	}
	return nil
}

func ignoreState(string) {}

func TestReadReturnsWhatWasWritten(t *testing.T) {
	directory := simenv.NewDirectory()
	if contents, err := wal.Read(directory, "list"); err != nil || contents.Generation != 0 || contents.Snapshot != nil {
		t.Fatalf("empty directory: got contents %+v and error %v", contents, err)
	}
	last := ""
	if err := writeEntries(directory, func(state string) { last = state }); err != nil {
		t.Fatal(err)
	}
	contents, err := wal.Read(directory, "list")
	if err != nil || describe(contents) != last || contents.Generation != 2 || contents.LostBytes != 0 {
		t.Errorf("got state %s, want %s; contents %+v, error %v", describe(contents), last, contents, err)
	}
	if names, _ := directory.Names(); len(names) != 2 {
		t.Errorf("got files %v, want two", names)
	}
}

func TestASecondProcessIsLockedOut(t *testing.T) {
	directory, err := env.OpenOSDirectory(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	log, _, err := wal.Open(directory, "list")
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := wal.Open(directory, "list"); !errors.Is(err, wal.ErrLocked) {
		t.Errorf("got error %v, want ErrLocked", err)
	}
	log.Close()
	if log, _, err = wal.Open(directory, "list"); err != nil {
		t.Fatal(err)
	}
	log.Close()
}

// Guards against reading a mixed state from a damaged file. At each offset in turn, the newest file is truncated or has
// a byte flipped. Read must return a state that was synced in this generation, or the last state of the previous one,
// and the log must be able to begin a new generation.
func TestDamagedFiles(t *testing.T) {
	intact := simenv.NewDirectory()
	isSynced := map[string]bool{}
	if err := writeEntries(intact, func(state string) { isSynced[state] = true }); err != nil {
		t.Fatal(err)
	}
	for at := range intact.Size("list-2.rec") {
		for _, cut := range []bool{true, false} {
			directory := intact.Copy()
			directory.Corrupt("list-2.rec", at, cut)
			contents, err := wal.Read(directory, "list")
			if err != nil || !isSynced[describe(contents)] {
				t.Fatalf("byte %d, truncated %v: got state %s, want one that was synced; error %v", at, cut, describe(contents), err)
			}
			if contents.Generation == 1 && describe(contents) != "s++c0,c1,c2,c3" {
				t.Fatalf("byte %d, truncated %v: got state %s of the previous generation, want its last one", at, cut, describe(contents))
			}
			if log, _, err := wal.Open(directory, "list"); err != nil || log.WriteSnapshot([]byte("n")) != nil || log.Generation() != 3 {
				t.Fatalf("byte %d: cannot begin generation 3: %v", at, err)
			}
		}
	}
}

// Guards against synced state that is lost in a power failure. The power fails at each operation in turn, with 40 random
// outcomes each for the data that was not synced. Read must return the last synced state or the next one.
func TestPowerLoss(t *testing.T) {
	var states []string
	intact := simenv.NewDirectory()
	if err := writeEntries(intact, func(state string) { states = append(states, state) }); err != nil {
		t.Fatal(err)
	}
	states = append(states, "") // no state follows the last one
	for operations := range intact.Ops {
		for seed := range uint64(40) {
			directory := simenv.NewDirectory()
			directory.OpsLeft = operations
			synced := "+"
			if err := writeEntries(directory, func(state string) { synced = state }); err == nil {
				t.Fatal("writing succeeded although the power failed")
			}
			directory.Crash(rand.New(rand.NewPCG(seed, 1)))
			contents, err := wal.Read(directory, "list")
			if err != nil {
				t.Fatal(err)
			}
			next := states[slices.Index(states, synced)+1] // the first state if none was synced
			if got := describe(contents); got != synced && got != next {
				t.Fatalf("power failure at operation %d, seed %d: got state %s, want the last synced state %s or the next state %s", operations, seed, got, synced, next)
			}
		}
	}
}

func TestANewerFormatIsRefusedAndLeftAlone(t *testing.T) {
	directory, err := env.OpenOSDirectory(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	header := wal.Header(wal.FormatVersion+1, 7)
	if err := os.WriteFile(directory.Path+"/list-7.rec", header, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := wal.Open(directory, "list"); !errors.Is(err, wal.ErrNewerFormat) {
		t.Errorf("got error %v, want ErrNewerFormat", err)
	}
	if got, _ := os.ReadFile(directory.Path + "/list-7.rec"); !bytes.Equal(got, header) {
		t.Error("the file of the newer format was changed")
	}
}

func TestAfterAFailedAppendASnapshotIsNeeded(t *testing.T) {
	directory := simenv.NewDirectory()
	log, _, err := wal.Open(directory, "list")
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Append([]byte("a")); !errors.Is(err, wal.ErrSnapshotNeeded) {
		t.Errorf("Append without a generation: got error %v, want ErrSnapshotNeeded", err)
	}
	if err := log.WriteSnapshot([]byte("a")); err != nil {
		t.Fatal(err)
	}
	directory.OpsLeft = 0
	if log.Append([]byte("b")) == nil {
		t.Fatal("Append succeeded although the power failed")
	}
	directory.OpsLeft = -1
	if err := log.Append([]byte("c")); !errors.Is(err, wal.ErrSnapshotNeeded) {
		t.Errorf("Append after a failed write: got error %v, want ErrSnapshotNeeded", err)
	}
	if err := log.WriteSnapshot([]byte("d")); err != nil || log.Append([]byte("e")) != nil {
		t.Error(err)
	}
	if contents, _ := wal.Read(directory, "list"); describe(contents) != "d+e" {
		t.Error(describe(contents))
	}
}

func FuzzRead(f *testing.F) {
	directory := simenv.NewDirectory()
	writeEntries(directory, ignoreState)
	content, _ := directory.Read("list-2.rec")
	f.Add(content)
	f.Add(wal.Header(1, 2))
	f.Fuzz(func(t *testing.T, content []byte) {
		directory := simenv.NewDirectory()
		file, _ := directory.Create("list-2.rec")
		file.Write(content)
		contents, err := wal.Read(directory, "list")
		if err == nil && contents.Generation == 2 && contents.Snapshot == nil {
			t.Error("generation 2 was read without a snapshot")
		}
	})
}
