package snapshot

import (
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/lab/frozen"
	"foldslip/internal/store/endpoints"
)

// adjustableClock is the system environment with a clock that the test sets.
type adjustableClock struct {
	env.Environment
	milliseconds atomic.Int64
}

func (c *adjustableClock) Now() time.Time { return time.UnixMilli(c.milliseconds.Load()) }

// recordedGeneration writes a fixed sequence of updates to a list in an empty directory and returns the file of the
// first generation.
func recordedGeneration(t *testing.T) []byte {
	t.Helper()
	directory := t.TempDir()
	clock := &adjustableClock{Environment: env.NewSystem(io.Discard, slog.LevelInfo)}
	clock.milliseconds.Store(1_700_000_000_000)
	s, damage, err := Open(clock, directory, wideLimits)
	if err != nil || damage != nil {
		t.Fatal(damage, err)
	}
	lifetime, ended := env.NewLifetime(nil), make(chan error)
	go func() { ended <- s.Run(lifetime) }()
	defer func() {
		lifetime.End()
		<-ended
	}()
	file := filepath.Join(directory, "list-1.rec")
	size := int64(0)
	waitForGrowth := func(what string) {
		t.Helper()
		waitFor(t, what+" on disk", func() bool {
			info, err := os.Stat(file)
			return err == nil && info.Size() > size
		})
		info, err := os.Stat(file)
		if err != nil {
			t.Fatal(err)
		}
		size = info.Size()
	}
	waitForGrowth("the first generation")
	for n := int64(1); n <= 3; n++ {
		s.Apply(numberedUpdate(n * 50))
		waitForGrowth("an update")
	}
	s.UpdateHealth([]string{"edge-0"}, []string{"edge-0"})
	waitForGrowth("the health update")
	clock.milliseconds.Add(time.Minute.Milliseconds())
	s.MarkCurrent()
	waitForGrowth("the confirmation that the list is current")
	s.Apply(endpoints.Update{Complete: true, LastEvent: 9, DiscoveryAddr: "10.7.0.1:8500", Endpoints: []endpoints.Endpoint{
		{ID: "c1", Addr: "10.0.0.1:80", Zone: "town", MachineType: "edge"}}})
	waitForGrowth("a complete list")
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// Guards against a change of the stored format. The file under testdata was written by the last build before the Go
// identifiers were renamed.
func TestTheStoredListFormatIsUnchanged(t *testing.T) {
	frozen.Equal(t, "list-1.rec", recordedGeneration(t))
}
