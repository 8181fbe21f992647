package snapshot

import (
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"testing"

	"foldslip/internal/env"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/store/wal"
)

const fleet = 10000

func ofFleet(i int, phase endpoints.Phase) endpoints.Cache {
	return endpoints.Cache{ID: fmt.Sprintf("edge-%08x", i), Addr: fmt.Sprintf("10.%d.%d.9:10080", i/256, i%256), Zone: "harbour", Machine: "edge",
		Cell: i, Size: 4, Phase: phase}
}

func whole() endpoints.Change {
	c := endpoints.Change{Last: 1, Bulletin: "10.7.0.1:8500", Whole: true}
	for i := range fleet {
		c.Rows = append(c.Rows, ofFleet(i, endpoints.Up))
	}
	return c
}

// BenchmarkChange is one change of a cache in a fleet of 10,000, told as they come, on the file system. It holds the time
// that the teller waits, the bytes on disk and the syncs of a change at 2 writes and 100 changes a second.
func BenchmarkChange(b *testing.B) {
	path := b.TempDir()
	k, _, err := Open(env.NewSystem(io.Discard, slog.LevelInfo), path, Terms{8 << 20, 2})
	if err != nil {
		b.Fatal(err)
	}
	k.Told(whole())
	if err := k.write(); err != nil {
		b.Fatal(err)
	}
	n, writes, bytes, generation := 0, 0, int64(0), k.rec.Generation()
	size := k.rec.Size()
	b.ReportAllocs()
	for b.Loop() {
		n++
		k.Told(endpoints.Change{Last: int64(1 + n), Rows: []endpoints.Cache{ofFleet(n%fleet, endpoints.Phase(n/fleet%2))}})
		if n%50 == 0 { // half a second of them
			b.StopTimer()
			if err := k.write(); err != nil {
				b.Fatal(err)
			}
			writes++
			if g := k.rec.Generation(); g != generation {
				generation, size = g, 0
			}
			bytes += k.rec.Size() - size
			size = k.rec.Size()
			b.StartTimer()
		}
	}
	b.ReportMetric(float64(bytes)/float64(max(1, n)), "disk-B/op")
	b.ReportMetric(float64(writes)/float64(max(1, n)), "syncs/op")
	k.rec.Close()
}

// BenchmarkStart reads a list of 10,000 caches with 1,000 changes since its snapshot.
func BenchmarkStart(b *testing.B) {
	path := b.TempDir()
	g := env.NewSystem(io.Discard, slog.LevelInfo)
	k, _, err := Open(g, path, Terms{8 << 20, 2})
	if err != nil {
		b.Fatal(err)
	}
	k.Told(whole())
	if err := k.write(); err != nil {
		b.Fatal(err)
	}
	for n := range 1000 {
		k.Told(endpoints.Change{Last: int64(2 + n), Rows: []endpoints.Cache{ofFleet(n, endpoints.Draining)}})
	}
	if err := k.write(); err != nil {
		b.Fatal(err)
	}
	k.rec.Close()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var last *endpoints.State
	b.ReportAllocs()
	for b.Loop() {
		kept, err := wal.Read(wal.Folder{Path: path}, Name)
		if err != nil {
			b.Fatal(err)
		}
		if last, err = endpoints.Restore(kept.Snapshot, kept.Changes); err != nil || len(last.Caches) != fleet {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "held-MB")
	runtime.KeepAlive(last)
}
