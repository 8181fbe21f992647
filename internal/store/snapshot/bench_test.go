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

func fleetEndpoint(i int, phase endpoints.Phase) endpoints.Endpoint {
	return endpoints.Endpoint{ID: fmt.Sprintf("edge-%08x", i), Addr: fmt.Sprintf("10.%d.%d.9:10080", i/256, i%256), Zone: "harbour", MachineType: "edge",
		Cell: i, Size: 4, Phase: phase}
}

func fleetUpdate() endpoints.Update {
	c := endpoints.Update{LastEvent: 1, DiscoveryAddr: "10.7.0.1:8500", Complete: true}
	for i := range fleet {
		c.Endpoints = append(c.Endpoints, fleetEndpoint(i, endpoints.Up))
	}
	return c
}

// BenchmarkChange is one change of a cache in a fleet of 10,000, told as they come, on the file system. It holds the time
// that the teller waits, the bytes on disk and the syncs of a change at 2 writes and 100 changes a second.
func BenchmarkChange(b *testing.B) {
	path := b.TempDir()
	k, _, err := Open(env.NewSystem(io.Discard, slog.LevelInfo), path, Limits{8 << 20, 2})
	if err != nil {
		b.Fatal(err)
	}
	k.Apply(fleetUpdate())
	if err := k.flush(); err != nil {
		b.Fatal(err)
	}
	n, writes, bytes, generation := 0, 0, int64(0), k.log.Generation()
	size := k.log.Size()
	b.ReportAllocs()
	for b.Loop() {
		n++
		k.Apply(endpoints.Update{LastEvent: int64(1 + n), Endpoints: []endpoints.Endpoint{fleetEndpoint(n%fleet, endpoints.Phase(n/fleet%2))}})
		if n%50 == 0 { // half a second of them
			b.StopTimer()
			if err := k.flush(); err != nil {
				b.Fatal(err)
			}
			writes++
			if g := k.log.Generation(); g != generation {
				generation, size = g, 0
			}
			bytes += k.log.Size() - size
			size = k.log.Size()
			b.StartTimer()
		}
	}
	b.ReportMetric(float64(bytes)/float64(max(1, n)), "disk-B/op")
	b.ReportMetric(float64(writes)/float64(max(1, n)), "syncs/op")
	k.log.Close()
}

// BenchmarkStart reads a list of 10,000 caches with 1,000 changes since its snapshot.
func BenchmarkStart(b *testing.B) {
	path := b.TempDir()
	g := env.NewSystem(io.Discard, slog.LevelInfo)
	k, _, err := Open(g, path, Limits{8 << 20, 2})
	if err != nil {
		b.Fatal(err)
	}
	k.Apply(fleetUpdate())
	if err := k.flush(); err != nil {
		b.Fatal(err)
	}
	for n := range 1000 {
		k.Apply(endpoints.Update{LastEvent: int64(2 + n), Endpoints: []endpoints.Endpoint{fleetEndpoint(n, endpoints.Draining)}})
	}
	if err := k.flush(); err != nil {
		b.Fatal(err)
	}
	k.log.Close()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var last *endpoints.State
	b.ReportAllocs()
	for b.Loop() {
		kept, err := wal.Read(wal.OSDirectory{Path: path}, LogName)
		if err != nil {
			b.Fatal(err)
		}
		if last, err = endpoints.Restore(kept.Snapshot, kept.Changes); err != nil || len(last.Endpoints) != fleet {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "held-MB")
	runtime.KeepAlive(last)
}
