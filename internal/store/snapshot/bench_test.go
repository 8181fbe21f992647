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

const fleetSize = 10000

func fleetEndpoint(i int, phase endpoints.Phase) endpoints.Endpoint {
	return endpoints.Endpoint{ID: fmt.Sprintf("edge-%08x", i), Addr: fmt.Sprintf("10.%d.%d.9:10080", i/256, i%256), Zone: "harbour", MachineType: "edge",
		Cell: i, Size: 4, Phase: phase}
}

func fleetUpdate() endpoints.Update {
	update := endpoints.Update{LastEvent: 1, DiscoveryAddr: "10.7.0.1:8500", Complete: true}
	for i := range fleetSize {
		update.Endpoints = append(update.Endpoints, fleetEndpoint(i, endpoints.Up))
	}
	return update
}

// openFleet opens a list in a directory of the file system and writes the endpoints of the whole fleet to it.
func openFleet(b *testing.B, path string) *Snapshotter {
	b.Helper()
	s, _, err := Open(env.NewSystem(io.Discard, slog.LevelInfo), path, Limits{8 << 20, 2})
	if err != nil {
		b.Fatal(err)
	}
	s.Apply(fleetUpdate())
	if err := s.flush(); err != nil {
		b.Fatal(err)
	}
	return s
}

// BenchmarkApply measures Apply for one changed endpoint of a fleet of 10,000 caches, with a list on the file system. It
// reports the time that the caller waits, the bytes written to disk per update and the syncs per update. There is one
// write for every 50 updates, which corresponds to 2 writes and 100 updates a second.
func BenchmarkApply(b *testing.B) {
	s := openFleet(b, b.TempDir())
	updates, writes := 0, 0
	bytes, size, generation := int64(0), s.log.Size(), s.log.Generation()
	b.ReportAllocs()
	for b.Loop() {
		updates++
		s.Apply(endpoints.Update{LastEvent: int64(1 + updates), Endpoints: []endpoints.Endpoint{fleetEndpoint(updates%fleetSize, endpoints.Phase(updates/fleetSize%2))}})
		if updates%50 == 0 { // half a second of updates
			b.StopTimer()
			if err := s.flush(); err != nil {
				b.Fatal(err)
			}
			writes++
			if g := s.log.Generation(); g != generation {
				generation = g
				size = 0
			}
			bytes += s.log.Size() - size
			size = s.log.Size()
			b.StartTimer()
		}
	}
	b.ReportMetric(float64(bytes)/float64(max(1, updates)), "disk-B/op")
	b.ReportMetric(float64(writes)/float64(max(1, updates)), "syncs/op")
	s.log.Close()
}

// BenchmarkStart measures reading and restoring a stored list of 10,000 caches with 1,000 updates after its snapshot. It
// also reports the heap that the restored list occupies.
func BenchmarkStart(b *testing.B) {
	path := b.TempDir()
	s := openFleet(b, path)
	for n := range 1000 {
		s.Apply(endpoints.Update{LastEvent: int64(2 + n), Endpoints: []endpoints.Endpoint{fleetEndpoint(n, endpoints.Draining)}})
	}
	if err := s.flush(); err != nil {
		b.Fatal(err)
	}
	s.log.Close()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var last *endpoints.State
	b.ReportAllocs()
	for b.Loop() {
		contents, err := wal.Read(env.OSDirectory{Path: path}, LogName)
		if err != nil {
			b.Fatal(err)
		}
		if last, err = endpoints.Restore(contents.Snapshot, contents.Changes); err != nil || len(last.Endpoints) != fleetSize {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "held-MB")
	runtime.KeepAlive(last)
}
