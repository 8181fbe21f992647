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

	"foldslip/internal/env"
	"foldslip/internal/store/wal"
)

// countDirEnv names the directory in which this program counts, as the process that the test kills.
const countDirEnv = "FOLDSLIP_COUNT_ON"

func TestMain(m *testing.M) {
	if path := os.Getenv(countDirEnv); path != "" {
		countForever(path)
	}
	os.Exit(m.Run())
}

// countForever counts up in a log and prints each number once it is synced.
func countForever(path string) {
	log, contents, err := wal.Open(env.OSDirectory{Path: path}, "count")
	if err != nil {
		panic(err)
	}
	n := lastCount(contents)
	if err := log.WriteSnapshot(binary.LittleEndian.AppendUint64(nil, n)); err != nil {
		panic(err)
	}
	for {
		n++
		entry := binary.LittleEndian.AppendUint64(nil, n)
		if n%7 == 0 {
			err = log.WriteSnapshot(entry)
		} else {
			err = log.Append(entry)
		}
		if err != nil {
			panic(err)
		}
		os.Stdout.WriteString(strconv.FormatUint(n, 10) + "\n")
	}
}

func lastCount(contents wal.Contents) uint64 {
	if contents.Generation == 0 {
		return 0
	}
	last := contents.Snapshot
	if n := len(contents.Changes); n > 0 {
		last = contents.Changes[n-1]
	}
	return binary.LittleEndian.Uint64(last)
}

// killCounter starts a process that counts, kills it after a time, and returns the last number that it printed; 0: none.
func killCounter(t *testing.T, path string, after time.Duration) (printed uint64) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), countDirEnv+"="+path)
	out, err := cmd.StdoutPipe()
	if err != nil || cmd.Start() != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	lines := bufio.NewReader(out)
	line, err := lines.ReadString('\n') // it is at work
	if err != nil {
		t.Fatal("it did not start: ", err)
	}
	time.Sleep(after)
	cmd.Process.Kill()
	for ; err == nil; line, err = lines.ReadString('\n') {
		if n, parseErr := strconv.ParseUint(strings.TrimSuffix(line, "\n"), 10, 64); parseErr == nil {
			printed = n
		}
	}
	return printed
}

// A process that is killed at random points, again and again in one directory: what it printed as synced is there, and at most the one
// change that was under way beside it. FOLDSLIP_KILLS sets how often, for a long measurement.
func TestAProcessKilledWhileItWrites(t *testing.T) {
	kills, _ := strconv.Atoi(os.Getenv("FOLDSLIP_KILLS"))
	if kills == 0 {
		kills = 40
	}
	path := t.TempDir()
	random := rand.New(rand.NewPCG(1, 2))
	synced := uint64(0)
	advanced := 0
	for i := range kills {
		before := synced
		synced = killCounter(t, path, time.Duration(random.IntN(5000))*time.Microsecond)
		if synced > before {
			advanced++
		}
		contents, err := wal.Read(env.OSDirectory{Path: path}, "count")
		if err != nil {
			t.Fatal(err)
		}
		if got := lastCount(contents); got != synced && got != synced+1 {
			t.Fatalf("kill %d: %d on disk, %d were printed as synced", i, got, synced)
		}
		synced = lastCount(contents)
	}
	if advanced < kills/2 {
		t.Errorf("only %d of %d processes wrote anything", advanced, kills)
	}
	t.Logf("%d kills, counted to %d", kills, synced)
}
