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

// adjustableClock is the system's ground with a clock that the test moves.
type adjustableClock struct {
	env.Environment
	milliseconds atomic.Int64
}

func (c *adjustableClock) Now() time.Time { return time.UnixMilli(c.milliseconds.Load()) }

// recordedGeneration plays one list into an empty folder and returns its first generation's file.
func recordedGeneration(t *testing.T) []byte {
	t.Helper()
	folder := t.TempDir()
	clock := &adjustableClock{Environment: env.NewSystem(io.Discard, slog.LevelInfo)}
	clock.milliseconds.Store(1_700_000_000_000)
	k, why, err := Open(clock, folder, Limits{1 << 20, 1000})
	if err != nil || why != nil {
		t.Fatal(why, err)
	}
	life, ended := env.NewLifetime(nil), make(chan error)
	go func() { ended <- k.Run(life) }()
	defer func() {
		life.End()
		<-ended
	}()
	file := filepath.Join(folder, "list-1.rec")
	size := func() int64 {
		info, err := os.Stat(file)
		if err != nil {
			return 0
		}
		return info.Size()
	}
	written := func(before int64) func() bool { return func() bool { return size() > before } }
	waitFor(t, "the first generation", written(0))
	for n := int64(1); n <= 3; n++ {
		before := size()
		k.Apply(numberedUpdate(n * 50))
		waitFor(t, "an event on disk", written(before))
	}
	before := size()
	k.UpdateHealth([]string{"edge-0"}, []string{"edge-0"})
	waitFor(t, "health on disk", written(before))
	clock.milliseconds.Add(time.Minute.Milliseconds())
	before = size()
	k.MarkCurrent()
	waitFor(t, "word of a standing list on disk", written(before))
	before = size()
	k.Apply(endpoints.Update{Complete: true, LastEvent: 9, DiscoveryAddr: "10.7.0.1:8500", Endpoints: []endpoints.Endpoint{{ID: "c1", Addr: "10.0.0.1:80", Zone: "town", MachineType: "edge"}}})
	waitFor(t, "a list on disk", written(before))
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// The file under testdata was written by the build before the names of Go changed.
func TestTheStoredListFormatIsUnchanged(t *testing.T) {
	frozen.Equal(t, "list-1.rec", recordedGeneration(t))
}
