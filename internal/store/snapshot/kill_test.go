package snapshot

import (
	"bufio"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/store/wal"
)

// listDirEnv is the environment variable with the directory of the list. If it is set, the test binary runs as the
// process that the test kills and updates that list.
const listDirEnv = "FOLDSLIP_LIST_IN"

func TestMain(m *testing.M) {
	if path := os.Getenv(listDirEnv); path != "" {
		updateForever(path)
	}
	os.Exit(m.Run())
}

// updateForever applies numbered updates until the process is killed. After every third update it prints the number of
// the last update that is on disk.
func updateForever(path string) {
	s, _, err := Open(env.NewSystem(io.Discard, slog.LevelInfo), path, Limits{64 << 10, 1e6})
	if err != nil {
		panic(err)
	}
	go s.Run(env.NewLifetime(nil))
	for n := s.State().LastEvent + 1; ; n++ {
		s.Apply(numberedUpdate(n))
		if n%3 == 0 {
			os.Stdout.WriteString(strconv.FormatInt(s.DurableEvent(), 10) + "\n")
		}
	}
}

// killUpdater starts a process that updates the list. It kills the process the given time after the process has printed
// a number above awaited. With an awaited of -1 the time starts at the first line of output. It returns the highest
// number that the process printed.
func killUpdater(t *testing.T, path string, after time.Duration, awaited int64) (printed int64) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), listDirEnv+"="+path)
	out, err := cmd.StdoutPipe()
	if err != nil || cmd.Start() != nil {
		t.Fatal(err)
	}
	isTimed := false
	for lines := bufio.NewScanner(out); lines.Scan(); {
		if n, err := strconv.ParseInt(lines.Text(), 10, 64); err == nil && n >= printed {
			printed = n
		}
		if !isTimed && printed > awaited {
			time.AfterFunc(after, func() { cmd.Process.Kill() })
			isTimed = true
		}
	}
	cmd.Wait()
	return printed
}

func storedList(t *testing.T, path string) *endpoints.State {
	t.Helper()
	contents, err := wal.Read(env.OSDirectory{Path: path}, LogName)
	if err != nil {
		t.Fatal(err)
	}
	s, err := endpoints.Restore(contents.Snapshot, contents.Changes)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against updates that are lost or mixed when a process is killed while it writes. The test kills processes at
// random points, one after the other in one directory. After each kill the stored list must equal the list after some
// number of updates, at least the number that was printed as being on disk. So no drain that was on disk is lost.
// FOLDSLIP_KILLS sets the number of kills.
func TestAProcessKilledWhileItWrites(t *testing.T) {
	kills, _ := strconv.Atoi(os.Getenv("FOLDSLIP_KILLS"))
	if kills == 0 {
		kills = 25
	}
	path := t.TempDir()
	random := rand.New(rand.NewPCG(3, 4))
	advanced := 0
	last := int64(0)
	want := endpoints.New()
	for i := range kills {
		// On a busy machine the time may end before a process has written anything. So every other process is killed
		// only after it has written something, which ensures that some are killed while they write.
		awaited := int64(-1)
		if i%2 == 1 {
			awaited = last
		}
		printed := killUpdater(t, path, time.Duration(random.IntN(8000))*time.Microsecond, awaited)
		s := storedList(t, path)
		if s.LastEvent < printed || s.LastEvent < last {
			t.Fatalf("kill %d: the stored list ends at update %d, want at least %d, which was printed as being on disk", i, s.LastEvent, max(printed, last))
		}
		if s.LastEvent > last {
			advanced++
		}
		for ; last < s.LastEvent; last++ {
			want.Apply(numberedUpdate(last + 1))
		}
		if describe(s) != describe(want) {
			t.Fatalf("kill %d: the stored list differs from the list after %d updates: got\n%s\nwant\n%s", i, s.LastEvent, describe(s), describe(want))
		}
	}
	if advanced < kills/3 {
		t.Errorf("only %d of %d processes wrote an update, want at least a third", advanced, kills)
	}
	t.Logf("%d kills, %d updates", kills, last)
}
