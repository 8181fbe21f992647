package scenario

import "testing"

func BenchmarkDay(b *testing.B) {
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := Play(Draw(uint64(i%20+1), "mixed"), Look{}); err != nil {
			b.Fatal(err)
		}
	}
}
