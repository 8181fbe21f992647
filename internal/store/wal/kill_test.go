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

// countDirEnv is the environment variable with the directory of the log. If it is set, the test binary runs as the
// process that the test kills and counts in that log.
const countDirEnv = "FOLDSLIP_COUNT_ON"

func TestMain(m *testing.M) {
	if path := os.Getenv(countDirEnv); path != "" {
		countForever(path)
	}
	os.Exit(m.Run())
}

// countForever writes increasing numbers to a log until the process is killed. It prints each number after the sync.
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

// killCounter starts a process that runs countForever and kills it the given time after its first line of output. It
// returns the last number that the process printed, or 0 if there is none.
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
	line, err := lines.ReadString('\n') // the process has begun to write
	if err != nil {
		t.Fatal("the counting process printed nothing: ", err)
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

// Guards against synced entries that are lost when a process is killed while it writes. The test kills processes at
// random points, one after the other in one directory. After each kill the log must end with the last number that was
// printed as synced or with the next one, which was being written. FOLDSLIP_KILLS sets the number of kills for a long
// measurement.
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
			t.Fatalf("kill %d: the log ends with %d, want the last number printed as synced, %d, or the next one", i, got, synced)
		}
		synced = lastCount(contents)
	}
	if advanced < kills/2 {
		t.Errorf("only %d of %d processes wrote an entry, want at least half", advanced, kills)
	}
	t.Logf("%d kills, counted to %d", kills, synced)
}
