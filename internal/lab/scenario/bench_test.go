package scenario

import "testing"

// BenchmarkScenario runs one scenario an iteration, with the plans of seeds 1 to 20 in turn.
func BenchmarkScenario(b *testing.B) {
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := Run(DrawPlan(uint64(i%20+1), "mixed"), Hooks{}); err != nil {
			b.Fatal(err)
		}
	}
}
