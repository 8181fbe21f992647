package wal_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"foldslip/internal/lab/simenv"
	"foldslip/internal/store/wal"
)

// describe is what was last synced well, as text: a snapshot and the changes since.
func describe(k wal.Contents) string {
	return fmt.Sprintf("%s+%s", k.Snapshot, bytes.Join(k.Changes, []byte(",")))
}

// writeEntries opens, begins and appends by a fixed script; done is told each state that is synced, before is told it is tried.
func writeEntries(d wal.Directory, done func(string)) error {
	r, kept, err := wal.Open(d, "list")
	if err != nil {
		return err
	}
	defer r.Close()
	if err := r.WriteSnapshot([]byte("s" + describe(kept)[:1])); err != nil {
		return err
	}
	done("s" + describe(kept)[:1] + "+")
	now := "s" + describe(kept)[:1] + "+"
	for i := range 6 {
		change := fmt.Sprintf("c%d", i)
		if err := r.Append([]byte(change)); err != nil {
			return err
		}
		if now[len(now)-1] != '+' {
			now += ","
		}
		now += change
		done(now)
		if i == 3 {
			if err := r.WriteSnapshot([]byte("t")); err != nil {
				return err
			}
			now = "t+"
			done(now)
		}
	}
	return nil
}

func TestLogs(t *testing.T) {
	t.Run("what was appended is read again, in a generation of its own", func(t *testing.T) {
		d := simenv.NewDirectory()
		if k, err := wal.Read(d, "list"); err != nil || k.Generation != 0 || k.Snapshot != nil {
			t.Fatalf("%+v, %v", k, err)
		}
		last := ""
		if err := writeEntries(d, func(s string) { last = s }); err != nil {
			t.Fatal(err)
		}
		k, err := wal.Read(d, "list")
		if err != nil || describe(k) != last || k.Generation != 2 || k.LostBytes != 0 {
			t.Errorf("%s, expected %s, %+v, %v", describe(k), last, k, err)
		}
		if names, _ := d.Names(); len(names) != 2 {
			t.Errorf("kept: %v", names)
		}
	})
	t.Run("a second process is told that the first has the folder", func(t *testing.T) {
		f, err := wal.OpenOSDirectory(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		r, _, err := wal.Open(f, "list")
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := wal.Open(f, "list"); !errors.Is(err, wal.ErrLocked) {
			t.Errorf("%v", err)
		}
		r.Close()
		if r, _, err = wal.Open(f, "list"); err != nil {
			t.Fatal(err)
		}
		r.Close()
	})
	t.Run("cut or flipped at any byte: the newest whole state, or the generation before", func(t *testing.T) {
		whole := simenv.NewDirectory()
		seen := map[string]bool{}
		if err := writeEntries(whole, func(s string) { seen[s] = true }); err != nil {
			t.Fatal(err)
		}
		for at := range whole.Size("list-2.rec") {
			for _, cut := range []bool{true, false} {
				d := whole.Copy()
				d.Corrupt("list-2.rec", at, cut)
				k, err := wal.Read(d, "list")
				if err != nil || !seen[describe(k)] {
					t.Fatalf("byte %d, cut %v: %s, %v", at, cut, describe(k), err)
				}
				if k.Generation == 1 && describe(k) != "s++c0,c1,c2,c3" {
					t.Fatalf("byte %d, cut %v: %s of the generation before", at, cut, describe(k))
				}
				if r, _, err := wal.Open(d, "list"); err != nil || r.WriteSnapshot([]byte("n")) != nil || r.Generation() != 3 {
					t.Fatalf("byte %d: cannot go on: %v", at, err)
				}
			}
		}
	})
	t.Run("power lost at any operation, by many chances: nothing synced is lost", func(t *testing.T) {
		all := simenv.NewDirectory()
		if err := writeEntries(all, func(string) {}); err != nil {
			t.Fatal(err)
		}
		for left := range all.Ops {
			for seed := range uint64(40) {
				d := simenv.NewDirectory()
				d.OpsLeft = left
				synced, tried := "+", []string{"+"}
				err := writeEntries(d, func(s string) { synced = s; tried = append(tried, s) })
				if err == nil {
					t.Fatal("the power held")
				}
				d.Crash(rand.New(rand.NewPCG(seed, 1)))
				k, err := wal.Read(d, "list")
				if err != nil {
					t.Fatal(err)
				}
				// The state synced last, or the one under way.
				next := simenv.NewDirectory()
				after, passed := "", false
				writeEntries(next, func(s string) {
					if passed && after == "" {
						after = s
					}
					passed = passed || s == synced
				})
				if synced == "+" {
					after = "s++"
				}
				if got := describe(k); got != synced && got != after {
					t.Fatalf("at operation %d, chance %d: %s, synced %s, under way %s", left, seed, got, synced, after)
				}
			}
		}
	})
	t.Run("a newer form is refused and left alone", func(t *testing.T) {
		f, err := wal.OpenOSDirectory(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		head := wal.Header(wal.FormatVersion+1, 7)
		if err := os.WriteFile(f.Path+"/list-7.rec", head, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := wal.Open(f, "list"); !errors.Is(err, wal.ErrNewerFormat) {
			t.Errorf("%v", err)
		}
		if got, _ := os.ReadFile(f.Path + "/list-7.rec"); !bytes.Equal(got, head) {
			t.Error("changed")
		}
	})
	t.Run("after a failed append only a snapshot goes on", func(t *testing.T) {
		d := simenv.NewDirectory()
		r, _, err := wal.Open(d, "list")
		if err != nil || r.WriteSnapshot([]byte("a")) != nil {
			t.Fatal(err)
		}
		d.OpsLeft = 0
		if r.Append([]byte("b")) == nil {
			t.Fatal("appended without power")
		}
		d.OpsLeft = -1
		if r.Append([]byte("c")) == nil {
			t.Error("appended behind what may be torn")
		}
		if err := r.WriteSnapshot([]byte("d")); err != nil || r.Append([]byte("e")) != nil {
			t.Error(err)
		}
		if k, _ := wal.Read(d, "list"); describe(k) != "d+e" {
			t.Error(describe(k))
		}
	})
}

func FuzzRead(f *testing.F) {
	d := simenv.NewDirectory()
	writeEntries(d, func(string) {})
	text, _ := d.Read("list-2.rec")
	f.Add(text)
	f.Add(wal.Header(1, 2))
	f.Fuzz(func(t *testing.T, text []byte) {
		d := simenv.NewDirectory()
		file, _ := d.Create("list-2.rec")
		file.Write(text)
		k, err := wal.Read(d, "list")
		if err == nil && k.Generation == 2 && k.Snapshot == nil {
			t.Error("a generation without a snapshot")
		}
	})
}
