package snapshot

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/lab/simenv"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/store/wal"
)

// testEnv is the system's with another disk and a log that can be read.
type testEnv struct {
	env.Environment
	directory env.Directory
}

func (g testEnv) OpenDirectory(string) (env.Directory, error) { return g.directory, nil }

// failingDirectory is a disk that can be told to fail, and counts its syncs.
type failingDirectory struct {
	*simenv.Directory
	mu        sync.Mutex
	err       error
	syncCount int
}

func (s *failingDirectory) Create(name string) (env.File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return nil, s.err
	}
	f, err := s.Directory.Create(name)
	return failingFile{f, s}, err
}

type failingFile struct {
	env.File
	directory *failingDirectory
}

func (f failingFile) Write(b []byte) (int, error) {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	if f.directory.err != nil {
		return 0, f.directory.err
	}
	return f.File.Write(b)
}

func (f failingFile) Sync() error {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	f.directory.syncCount++
	return f.File.Sync()
}

func (s *failingDirectory) setError(err error) {
	s.mu.Lock()
	s.err = err
	s.mu.Unlock()
}

// numberedUpdate is the change of a number: fifty caches that come up and drain in turn.
func numberedUpdate(n int64) endpoints.Update {
	c := endpoints.Update{LastEvent: n, DiscoveryAddr: "10.7.0.1:8500"}
	phase := []endpoints.Phase{endpoints.Up, endpoints.Draining, endpoints.Removed}[n/50%3]
	c.Endpoints = []endpoints.Endpoint{{ID: fmt.Sprint("edge-", n%50), Addr: fmt.Sprint("10.1.0.1:", 1000+n%50), Zone: "town", MachineType: "edge", Phase: phase}}
	return c
}

// stateAfter is what the list says after so many events.
func stateAfter(n int64) string {
	s := endpoints.New()
	for i := int64(1); i <= n; i++ {
		s.Apply(numberedUpdate(i))
	}
	return describe(s)
}

func describe(s *endpoints.State) string {
	text := fmt.Sprint(s.LastEvent)
	for _, k := range s.Sorted() {
		text += fmt.Sprint(" ", k.ID, k.Phase)
	}
	for _, t := range s.SortedTombstones() {
		text += fmt.Sprint(" ", t.ID, t.Removed)
	}
	return text
}

func startSnapshotter(t *testing.T, g env.Environment, terms Limits) (*Snapshotter, func()) {
	t.Helper()
	k, why, err := Open(g, "/list", terms)
	if err != nil || why != nil {
		t.Fatal(why, err)
	}
	life, ended := env.NewLifetime(nil), make(chan error)
	go func() { ended <- k.Run(life) }()
	return k, func() { life.End(); <-ended }
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 2000 {
		if done() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("waited in vain: ", what)
}

func TestSnapshotter(t *testing.T) {
	var log bytes.Buffer
	system := env.NewSystem(&log, slog.LevelInfo)
	t.Run("what was told is there at the next start", func(t *testing.T) {
		g := testEnv{system, simenv.NewDirectory()}
		k, stop := startSnapshotter(t, g, Limits{1 << 20, 1000})
		for n := int64(1); n <= 170; n++ {
			k.Apply(numberedUpdate(n))
		}
		stop()
		k, stop = startSnapshotter(t, g, Limits{1 << 20, 1000})
		defer stop()
		if got := describe(k.State()); got != stateAfter(170) {
			t.Error(got)
		}
	})
	t.Run("a disk that fails is told once, and once when it is well again; nothing told is lost", func(t *testing.T) {
		log.Reset()
		d := &failingDirectory{Directory: simenv.NewDirectory()}
		k, stop := startSnapshotter(t, testEnv{system, d}, Limits{1 << 20, 1000})
		k.Apply(numberedUpdate(1))
		waitFor(t, "the first event on disk", func() bool { return k.DurableEvent() == 1 })
		d.setError(syscall.ENOSPC)
		for n := int64(2); n <= 60; n++ {
			k.Apply(numberedUpdate(n))
			time.Sleep(100 * time.Microsecond)
		}
		d.setError(nil)
		waitFor(t, "all on disk", func() bool { return k.DurableEvent() == 60 })
		stop()
		if n := strings.Count(log.String(), "event=list_not_kept"); n != 1 || strings.Count(log.String(), "event=list_kept ") != 1 ||
			!strings.Contains(log.String(), "no space left") {
			t.Error(log.String())
		}
		k, stop = startSnapshotter(t, testEnv{system, d}, Limits{1 << 20, 1000})
		defer stop()
		if got := describe(k.State()); got != stateAfter(60) {
			t.Error(got)
		}
	})
	t.Run("a disk that never works costs the list only, in bounded memory", func(t *testing.T) {
		d := &failingDirectory{Directory: simenv.NewDirectory()}
		d.setError(syscall.EROFS)
		k, stop := startSnapshotter(t, testEnv{system, d}, Limits{1 << 20, 1000})
		defer stop()
		for n := int64(1); n <= 20000; n++ {
			k.Apply(numberedUpdate(n))
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.pendingBytes > maxPendingBytes || len(k.state.Endpoints) > 50 || k.state.LastEvent != 20000 {
			t.Error(k.pendingBytes, len(k.state.Endpoints), k.state.LastEvent)
		}
	})
	t.Run("so many writes a second and no more, whatever is told", func(t *testing.T) {
		d := &failingDirectory{Directory: simenv.NewDirectory()}
		k, stop := startSnapshotter(t, testEnv{system, d}, Limits{1 << 20, 20})
		began := time.Now()
		for n := int64(1); time.Since(began) < 300*time.Millisecond; n++ {
			k.Apply(numberedUpdate(n))
			time.Sleep(time.Millisecond)
		}
		took := time.Since(began)
		d.mu.Lock()
		syncs := d.syncCount
		d.mu.Unlock()
		stop()
		if most := maxWriteBurst + 2 + int(20*took.Seconds()); syncs > most || syncs < 2 {
			t.Errorf("%d syncs in %v, at most %d", syncs, took, most)
		}
	})
	t.Run("the record is compacted before it outgrows its bytes", func(t *testing.T) {
		d := simenv.NewDirectory()
		k, stop := startSnapshotter(t, testEnv{system, d}, Limits{200 << 10, 1e6})
		for n := int64(1); n <= 6000; n++ {
			k.Apply(numberedUpdate(n))
			if n%20 == 0 {
				waitFor(t, "a write", func() bool { return k.DurableEvent() == n })
			}
		}
		stop()
		names, _ := d.Names()
		for _, n := range names {
			if d.Size(n) > 200<<10 {
				t.Errorf("%s has %d bytes", n, d.Size(n))
			}
		}
		if len(names) > 3 || k.log.Generation() < 3 {
			t.Error(names, k.log.Generation())
		}
	})
	t.Run("a list that outgrows its bytes is told", func(t *testing.T) {
		log.Reset()
		k, stop := startSnapshotter(t, testEnv{system, simenv.NewDirectory()}, Limits{64 << 10, 1000})
		many := endpoints.Update{LastEvent: 1, Complete: true}
		for i := range 3000 {
			many.Endpoints = append(many.Endpoints, endpoints.Endpoint{ID: fmt.Sprint("edge-", i), Addr: "10.1.0.1:1", Zone: "town", MachineType: "edge"})
		}
		k.Apply(many)
		stop()
		if !strings.Contains(log.String(), "list.bytes allows 65536") {
			t.Error(log.String())
		}
	})
	t.Run("a second process on one folder says so", func(t *testing.T) {
		g := testEnv{system, simenv.NewDirectory()}
		_, stop := startSnapshotter(t, g, Limits{1 << 20, 1000})
		defer stop()
		if _, _, err := Open(g, "/list", Limits{1 << 20, 1000}); !errors.Is(err, wal.ErrLocked) {
			t.Error(err)
		}
	})
	t.Run("what is out is kept when that changes, not each time", func(t *testing.T) {
		k, stop := startSnapshotter(t, testEnv{system, simenv.NewDirectory()}, Limits{1 << 20, 1000})
		defer stop()
		k.Apply(numberedUpdate(1))
		k.UpdateHealth([]string{"edge-1"}, []string{"edge-1"})
		was := k.State().Endpoints["edge-1"].EjectedAt
		k.UpdateHealth(nil, []string{"edge-1"})
		if now := k.State().Endpoints["edge-1"].EjectedAt; was == 0 || now != was {
			t.Error(was, now)
		}
		if k.UpdateHealth(nil, nil); k.State().Endpoints["edge-1"].EjectedAt != 0 {
			t.Error("it is in again")
		}
	})
}

// TestMain is the gateway that is killed, where it is told so.
func TestMain(m *testing.M) {
	path := os.Getenv("FOLDSLIP_LIST_IN")
	if path == "" {
		os.Exit(m.Run())
	}
	k, _, err := Open(env.NewSystem(io.Discard, slog.LevelInfo), path, Limits{64 << 10, 1e6})
	if err != nil {
		panic(err)
	}
	go k.Run(env.NewLifetime(nil))
	for n := k.State().LastEvent + 1; ; n++ {
		k.Apply(numberedUpdate(n))
		if n%3 == 0 {
			os.Stdout.WriteString(strconv.FormatInt(k.DurableEvent(), 10) + "\n")
		}
	}
}

// A gateway killed at random points, again and again on one folder: the list is exactly that of some number of events, and
// of none fewer than were said to be on disk; so each drain that was, is there. FOLDSLIP_KILLS sets how often.
func TestAProcessKilledWhileItWrites(t *testing.T) {
	kills, _ := strconv.Atoi(os.Getenv("FOLDSLIP_KILLS"))
	if kills == 0 {
		kills = 25
	}
	path := t.TempDir()
	chance := rand.New(rand.NewPCG(3, 4))
	moved, last, fresh := 0, int64(0), endpoints.New()
	for i := range kills {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "FOLDSLIP_LIST_IN="+path)
		out, err := cmd.StdoutPipe()
		if err != nil || cmd.Start() != nil {
			t.Fatal(err)
		}
		kept, span := int64(0), time.Duration(chance.IntN(8000))*time.Microsecond
		for lines := bufio.NewScanner(out); lines.Scan(); {
			if n, err := strconv.ParseInt(lines.Text(), 10, 64); err == nil && n >= kept {
				kept = n
			}
			// It is at work: every other life is left until it has written something, so that a busy machine, on which the span may end
			// before the disk was reached once, has lives killed in their writing too.
			if span >= 0 && (i%2 == 0 || kept > last) {
				time.AfterFunc(span, func() { cmd.Process.Kill() })
				span = -1
			}
		}
		cmd.Wait()
		got, err := wal.Read(wal.OSDirectory{Path: path}, LogName)
		if err != nil {
			t.Fatal(err)
		}
		s, err := endpoints.Restore(got.Snapshot, got.Changes)
		if err != nil {
			t.Fatal(err)
		}
		if s.LastEvent < kept || s.LastEvent < last {
			t.Fatalf("kill %d: the list ends at %d, %d was said to be on disk", i, s.LastEvent, max(kept, last))
		}
		if s.LastEvent > last {
			moved++
		}
		for ; last < s.LastEvent; last++ {
			fresh.Apply(numberedUpdate(last + 1))
		}
		if describe(s) != describe(fresh) {
			t.Fatalf("kill %d: not the list of %d events:\n%s\n%s", i, s.LastEvent, describe(s), describe(fresh))
		}
	}
	if moved < kills/3 {
		t.Errorf("only %d of %d lives wrote anything", moved, kills)
	}
	t.Logf("%d kills, %d events", kills, last)
}
