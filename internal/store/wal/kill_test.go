package wal_test

import (
	"bufio"
	"encoding/binary"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"foldslip/internal/store/wal"
)

// TestMain is the process that is killed, where it is told so: it counts up on disk, and says each number once it is synced.
func TestMain(m *testing.M) {
	path := os.Getenv("FOLDSLIP_COUNT_ON")
	if path == "" {
		os.Exit(m.Run())
	}
	r, kept, err := wal.Open(wal.OSDirectory{Path: path}, "count")
	if err != nil {
		panic(err)
	}
	n := countEntries(kept)
	if err := r.WriteSnapshot(binary.LittleEndian.AppendUint64(nil, n)); err != nil {
		panic(err)
	}
	for {
		n++
		text := binary.LittleEndian.AppendUint64(nil, n)
		if n%7 == 0 {
			err = r.WriteSnapshot(text)
		} else {
			err = r.Append(text)
		}
		if err != nil {
			panic(err)
		}
		os.Stdout.WriteString(strconv.FormatUint(n, 10) + "\n")
	}
}

func countEntries(k wal.Contents) uint64 {
	if k.Generation == 0 {
		return 0
	}
	last := k.Snapshot
	if n := len(k.Changes); n > 0 {
		last = k.Changes[n-1]
	}
	return binary.LittleEndian.Uint64(last)
}

// A process that is killed at random points, again and again on one folder: what it said was synced is there, and at most
// the one change that was under way beside it. FOLDSLIP_KILLS sets how often, for a long measurement.
func TestAProcessKilledWhileItWrites(t *testing.T) {
	kills, _ := strconv.Atoi(os.Getenv("FOLDSLIP_KILLS"))
	if kills == 0 {
		kills = 40
	}
	path := t.TempDir()
	chance := rand.New(rand.NewPCG(1, 2))
	said, moved := uint64(0), 0
	for i := range kills {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "FOLDSLIP_COUNT_ON="+path)
		out, err := cmd.StdoutPipe()
		if err != nil || cmd.Start() != nil {
			t.Fatal(err)
		}
		lines := bufio.NewReader(out)
		line, err := lines.ReadString('\n') // it is at work
		if err != nil {
			t.Fatal("it did not start: ", err)
		}
		time.Sleep(time.Duration(chance.IntN(5000)) * time.Microsecond)
		cmd.Process.Kill()
		before := said
		for err == nil {
			if n, bad := strconv.ParseUint(strings.TrimSuffix(line, "\n"), 10, 64); bad == nil && strings.HasSuffix(line, "\n") {
				said = n
			}
			line, err = lines.ReadString('\n')
		}
		cmd.Wait()
		if said > before {
			moved++
		}
		kept, err := wal.Read(wal.OSDirectory{Path: path}, "count")
		if err != nil {
			t.Fatal(err)
		}
		if got := countEntries(kept); got != said && got != said+1 {
			t.Fatalf("kill %d: %d on disk, %d were said to be synced", i, got, said)
		}
		said = countEntries(kept)
	}
	if moved < kills/2 {
		t.Errorf("only %d of %d lives wrote anything", moved, kills)
	}
	t.Logf("%d kills, counted to %d", kills, said)
}
