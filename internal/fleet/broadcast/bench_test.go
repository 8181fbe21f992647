package broadcast

import (
	"math/rand/v2"
	"runtime"
	"testing"
)

// BenchmarkBatch writes and takes a batch of 20 purges that are new, by a gateway that keeps an hour and a half of 100 a second and has three children.
func BenchmarkBatch(b *testing.B) {
	all := testMembers(3900, 300, 25, 12)
	SortMembers(all)
	chance := rand.New(rand.NewPCG(1, 1))
	n := New(testSettings(), all[1], 1, chance, 0)
	n.SetMembers(all, 0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	at := int64(0)
	for ; at < 540_000; at++ {
		n.kept.add(Purge{Object: hexString(chance.Uint64()), Issued: epoch + at*10})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	now := int64(5_400_000_000)
	seq := uint64(0)
	some := make([]Purge, 20)
	for b.Loop() {
		now += 200_000
		seq++
		for j := range some {
			at++
			some[j] = Purge{Object: hexString(chance.Uint64()), Issued: epoch + at*10}
		}
		frame, _ := encodeBatch(batchID{7, seq}, root, some)
		if _, err := n.HandleFrame(all[0].Name, frame, now); err != nil {
			b.Fatal(err)
		}
		n.Step(now)
		n.TakeMessages()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/540_000, "bytes/kept")
}

// BenchmarkSee takes another list of 3,900 members.
func BenchmarkSee(b *testing.B) {
	all := testMembers(3900, 300, 25, 12)
	SortMembers(all)
	n := New(testSettings(), all[100], 1, rand.New(rand.NewPCG(1, 1)), 0)
	for i := 0; b.Loop(); i++ {
		n.SetMembers(all[:3899+i%2], 0)
	}
}
