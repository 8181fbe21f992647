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

// fixedClock is the system's ground with a clock that the test moves.
type fixedClock struct {
	env.Ground
	milliseconds atomic.Int64
}

func (c *fixedClock) Now() time.Time { return time.UnixMilli(c.milliseconds.Load()) }

// recorded plays one list into an empty folder and returns its first generation's file.
func recorded(t *testing.T) []byte {
	t.Helper()
	folder := t.TempDir()
	clock := &fixedClock{Ground: env.NewSystem(io.Discard, slog.LevelInfo)}
	clock.milliseconds.Store(1_700_000_000_000)
	k, why, err := Open(clock, folder, Terms{1 << 20, 1000})
	if err != nil || why != nil {
		t.Fatal(why, err)
	}
	life, ended := env.NewLife(nil), make(chan error)
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
	await(t, "the first generation", written(0))
	for n := int64(1); n <= 3; n++ {
		before := size()
		k.Told(event(n * 50))
		await(t, "an event on disk", written(before))
	}
	before := size()
	k.Learnt([]string{"edge-0"}, []string{"edge-0"})
	await(t, "health on disk", written(before))
	clock.milliseconds.Add(time.Minute.Milliseconds())
	before = size()
	k.Stands()
	await(t, "word of a standing list on disk", written(before))
	before = size()
	k.Told(endpoints.Change{Whole: true, Last: 9, Bulletin: "10.7.0.1:8500", Rows: []endpoints.Cache{{ID: "c1", Addr: "10.0.0.1:80", Zone: "town", Machine: "edge"}}})
	await(t, "a list on disk", written(before))
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// The file under testdata was written by the build before the names of Go changed.
func TestTheListOnDiskKeepsItsForm(t *testing.T) {
	frozen.Equal(t, "list-1.rec", recorded(t))
}
