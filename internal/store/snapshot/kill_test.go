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

// listIn names the directory in which this program updates a list, as the process that the test kills.
const listDirEnv = "FOLDSLIP_LIST_IN"

func TestMain(m *testing.M) {
	if path := os.Getenv(listDirEnv); path != "" {
		updateForever(path)
	}
	os.Exit(m.Run())
}

// updateForever applies numbered updates and prints, now and then, the last that is on disk.
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

// killUpdater starts a process that updates the list and kills it some time after it is at work, or after it has printed more than
// awaited. It returns the last number that the process printed.
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

// A gateway killed at random points, again and again in one directory: the list is exactly that of some number of updates, and of none fewer
// than were printed as being on disk; so each drain that was, is there. FOLDSLIP_KILLS sets how often.
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
		// Every other process is left until it has written something, so that on a busy machine, where the time may be over before the
		// disk was reached once, some are killed in their writing too.
		awaited := int64(-1)
		if i%2 == 1 {
			awaited = last
		}
		printed := killUpdater(t, path, time.Duration(random.IntN(8000))*time.Microsecond, awaited)
		s := storedList(t, path)
		if s.LastEvent < printed || s.LastEvent < last {
			t.Fatalf("kill %d: the list ends at %d, %d was printed as being on disk", i, s.LastEvent, max(printed, last))
		}
		if s.LastEvent > last {
			advanced++
		}
		for ; last < s.LastEvent; last++ {
			want.Apply(numberedUpdate(last + 1))
		}
		if describe(s) != describe(want) {
			t.Fatalf("kill %d: not the list of %d updates:\n%s\n%s", i, s.LastEvent, describe(s), describe(want))
		}
	}
	if advanced < kills/3 {
		t.Errorf("only %d of %d processes wrote anything", advanced, kills)
	}
	t.Logf("%d kills, %d updates", kills, last)
}
