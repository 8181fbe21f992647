package broadcast

import (
	"math/rand/v2"
	"runtime"
	"testing"
)

// BenchmarkBatch measures encoding and handling a batch of 20 new purges. The gateway has three children and keeps
// the purges of an hour and a half at 100 per second. The benchmark also reports the heap bytes per kept purge.
func BenchmarkBatch(b *testing.B) {
	members := testMembers(3900, 300, 25, 12)
	SortMembers(members)
	rng := rand.New(rand.NewPCG(1, 1))
	n := New(testSettings(), members[1], 1, rng, 0)
	n.SetMembers(members, 0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const kept = 540_000
	issued := int64(0)
	for ; issued < kept; issued++ {
		n.kept.add(Purge{Object: hexString(rng.Uint64()), Issued: epoch + issued*10})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	now := int64(5_400_000_000)
	seq := uint64(0)
	purges := make([]Purge, 20)
	for b.Loop() {
		now += 200_000
		seq++
		for j := range purges {
			issued++
			purges[j] = Purge{Object: hexString(rng.Uint64()), Issued: epoch + issued*10}
		}
		frame, _ := encodeBatch(batchID{7, seq}, root, purges)
		if _, err := n.HandleFrame(members[0].Name, frame, now); err != nil {
			b.Fatal(err)
		}
		n.Step(now)
		n.TakeMessages()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/kept, "bytes/kept")
}

// BenchmarkSetMembers measures replacing the member list by another one, of 3,900 members or one less.
func BenchmarkSetMembers(b *testing.B) {
	members := testMembers(3900, 300, 25, 12)
	SortMembers(members)
	n := New(testSettings(), members[100], 1, rand.New(rand.NewPCG(1, 1)), 0)
	for i := 0; b.Loop(); i++ {
		n.SetMembers(members[:3899+i%2], 0)
	}
}
