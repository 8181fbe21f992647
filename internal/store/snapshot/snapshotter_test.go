package snapshot

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
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

// testEnv is the system environment, except that it opens the given directory.
type testEnv struct {
	env.Environment
	directory env.Directory
}

func (e testEnv) OpenDirectory(string) (env.Directory, error) { return e.directory, nil }

// newTestEnv returns an environment that opens the given directory, and the buffer that it logs to.
func newTestEnv(directory env.Directory) (testEnv, *bytes.Buffer) {
	log := &bytes.Buffer{}
	return testEnv{env.NewSystem(log, slog.LevelInfo), directory}, log
}

// failingDirectory is a simulated directory. While an error is set, its creates and writes fail with that error. It
// counts the syncs of its files.
type failingDirectory struct {
	*simenv.Directory
	mu        sync.Mutex
	err       error
	syncCount int
}

func (d *failingDirectory) Create(name string) (env.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return nil, d.err
	}
	f, err := d.Directory.Create(name)
	return failingFile{f, d}, err
}

func (d *failingDirectory) setError(err error) {
	d.mu.Lock()
	d.err = err
	d.mu.Unlock()
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

// numberedUpdate returns update number n of a fixed sequence, in which 50 caches come up, drain and are removed in turn.
func numberedUpdate(n int64) endpoints.Update {
	phase := []endpoints.Phase{endpoints.Up, endpoints.Draining, endpoints.Removed}[n/50%3]
	return endpoints.Update{LastEvent: n, DiscoveryAddr: "10.7.0.1:8500", Endpoints: []endpoints.Endpoint{
		{ID: fmt.Sprint("edge-", n%50), Addr: fmt.Sprint("10.1.0.1:", 1000+n%50), Zone: "town", MachineType: "edge", Phase: phase}}}
}

// stateAfter returns the description of the list after the first n numbered updates.
func stateAfter(n int64) string {
	s := endpoints.New()
	for i := int64(1); i <= n; i++ {
		s.Apply(numberedUpdate(i))
	}
	return describe(s)
}

func describe(s *endpoints.State) string {
	text := fmt.Sprint(s.LastEvent)
	for _, e := range s.Sorted() {
		text += fmt.Sprint(" ", e.ID, e.Phase)
	}
	for _, t := range s.SortedTombstones() {
		text += fmt.Sprint(" ", t.ID, t.Removed)
	}
	return text
}

var wideLimits = Limits{MaxBytes: 1 << 20, WritesPerSecond: 1000}

// startSnapshotter opens a list and runs its writer until stop is called or the test ends.
func startSnapshotter(t *testing.T, e env.Environment, limits Limits) (s *Snapshotter, stop func()) {
	t.Helper()
	s, damage, err := Open(e, "/list", limits)
	if err != nil || damage != nil {
		t.Fatal(damage, err)
	}
	lifetime := env.NewLifetime(nil)
	ended := make(chan error)
	go func() { ended <- s.Run(lifetime) }()
	stop = sync.OnceFunc(func() {
		lifetime.End()
		<-ended
	})
	t.Cleanup(stop)
	return s, stop
}

func waitFor(t *testing.T, what string, isDone func() bool) {
	t.Helper()
	for range 2000 {
		if isDone() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("timed out while waiting for ", what)
}

func TestUpdatesAreRestoredAtTheNextStart(t *testing.T) {
	e, _ := newTestEnv(simenv.NewDirectory())
	s, stop := startSnapshotter(t, e, wideLimits)
	for n := int64(1); n <= 170; n++ {
		s.Apply(numberedUpdate(n))
	}
	stop()
	s, _ = startSnapshotter(t, e, wideLimits)
	if got := describe(s.State()); got != stateAfter(170) {
		t.Error(got)
	}
}

// Guards against lost updates and repeated log events when the disk fails for a while. The failure and the recovery must
// each be logged once.
func TestADirectoryThatFailsForAWhile(t *testing.T) {
	directory := &failingDirectory{Directory: simenv.NewDirectory()}
	e, log := newTestEnv(directory)
	s, stop := startSnapshotter(t, e, wideLimits)
	s.Apply(numberedUpdate(1))
	waitFor(t, "the first event on disk", func() bool { return s.DurableEvent() == 1 })
	directory.setError(syscall.ENOSPC)
	for n := int64(2); n <= 60; n++ {
		s.Apply(numberedUpdate(n))
		time.Sleep(100 * time.Microsecond)
	}
	directory.setError(nil)
	waitFor(t, "all on disk", func() bool { return s.DurableEvent() == 60 })
	stop()
	if n := strings.Count(log.String(), "event=list_write_failed"); n != 1 || strings.Count(log.String(), "event=list_write_recovered ") != 1 ||
		!strings.Contains(log.String(), "no space left") {
		t.Error(log.String())
	}
	s, _ = startSnapshotter(t, e, wideLimits)
	if got := describe(s.State()); got != stateAfter(60) {
		t.Error(got)
	}
}

func TestADirectoryThatAlwaysFailsCostsBoundedMemory(t *testing.T) {
	directory := &failingDirectory{Directory: simenv.NewDirectory()}
	directory.setError(syscall.EROFS)
	e, _ := newTestEnv(directory)
	s, _ := startSnapshotter(t, e, wideLimits)
	for n := int64(1); n <= 20000; n++ {
		s.Apply(numberedUpdate(n))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingBytes > maxPendingBytes || len(s.state.Endpoints) > 50 || s.state.LastEvent != 20000 {
		t.Error(s.pendingBytes, len(s.state.Endpoints), s.state.LastEvent)
	}
}

func TestWritesAreRateLimited(t *testing.T) {
	directory := &failingDirectory{Directory: simenv.NewDirectory()}
	e, _ := newTestEnv(directory)
	s, stop := startSnapshotter(t, e, Limits{1 << 20, 20})
	start := time.Now()
	for n := int64(1); time.Since(start) < 300*time.Millisecond; n++ {
		s.Apply(numberedUpdate(n))
		time.Sleep(time.Millisecond)
	}
	elapsed := time.Since(start)
	directory.mu.Lock()
	syncs := directory.syncCount
	directory.mu.Unlock()
	stop()
	if maxSyncs := maxWriteBurst + 2 + int(20*elapsed.Seconds()); syncs > maxSyncs || syncs < 2 {
		t.Errorf("%d syncs in %v, want 2 to %d", syncs, elapsed, maxSyncs)
	}
}

func TestTheLogIsCompactedBelowTheSizeLimit(t *testing.T) {
	directory := simenv.NewDirectory()
	e, _ := newTestEnv(directory)
	s, stop := startSnapshotter(t, e, Limits{200 << 10, 1e6})
	for n := int64(1); n <= 6000; n++ {
		s.Apply(numberedUpdate(n))
		if n%20 == 0 {
			waitFor(t, "a write", func() bool { return s.DurableEvent() == n })
		}
	}
	stop()
	names, _ := directory.Names()
	for _, name := range names {
		if directory.Size(name) > 200<<10 {
			t.Errorf("%s has %d bytes, want at most 200 KiB", name, directory.Size(name))
		}
	}
	if len(names) > 3 || s.log.Generation() < 3 {
		t.Error(names, s.log.Generation())
	}
}

func TestAListAboveTheSizeLimitIsLogged(t *testing.T) {
	e, log := newTestEnv(simenv.NewDirectory())
	s, stop := startSnapshotter(t, e, Limits{64 << 10, 1000})
	update := endpoints.Update{LastEvent: 1, Complete: true}
	for i := range 3000 {
		update.Endpoints = append(update.Endpoints, endpoints.Endpoint{ID: fmt.Sprint("edge-", i), Addr: "10.1.0.1:1", Zone: "town", MachineType: "edge"})
	}
	s.Apply(update)
	stop()
	if !strings.Contains(log.String(), "list.bytes allows 65536") {
		t.Error(log.String())
	}
}

func TestASecondProcessIsLockedOut(t *testing.T) {
	// The test uses a directory of the file system. A simulated one allows only one goroutine at a time, and here the
	// snapshotter writes during the second Open.
	e, _ := newTestEnv(env.OSDirectory{Path: t.TempDir()})
	startSnapshotter(t, e, wideLimits)
	if _, _, err := Open(e, "/list", wideLimits); !errors.Is(err, wal.ErrLocked) {
		t.Error(err)
	}
}

func TestEjectionsAreUpdatedWhenTheyChange(t *testing.T) {
	e, _ := newTestEnv(simenv.NewDirectory())
	s, _ := startSnapshotter(t, e, wideLimits)
	s.Apply(numberedUpdate(1))
	s.UpdateHealth([]string{"edge-1"}, []string{"edge-1"})
	first := s.State().Endpoints["edge-1"].EjectedAt
	s.UpdateHealth(nil, []string{"edge-1"})
	if now := s.State().Endpoints["edge-1"].EjectedAt; first == 0 || now != first {
		t.Error(first, now)
	}
	if s.UpdateHealth(nil, nil); s.State().Endpoints["edge-1"].EjectedAt != 0 {
		t.Error("edge-1 is still ejected after UpdateHealth without ejected caches")
	}
}
