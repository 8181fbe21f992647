package admission

import (
	"testing"

	"pgregory.net/rapid"
)

// TestQuotasCountOpenLookups guards against counts of open lookups that are too high or too low, and
// against more admitted lookups than the capacity, while claimants come and go and the capacity changes.
func TestQuotasCountOpenLookups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 6).Draw(t, "capacity")
		quotas := NewQuotas(capacity)
		var held []*Claimant
		now := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.IntRange(0, 500).Draw(t, "ms")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				claimant := quotas.Claimant(timeAt(now), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), 1)
				if !quotas.TryAcquire(timeAt(now), claimant) {
					break
				}
				if held = append(held, claimant); len(held) > capacity {
					t.Fatalf("%d lookups admitted with a capacity of %d", len(held), capacity)
				}
			case 2:
				if len(held) > 0 {
					i := rapid.IntRange(0, len(held)-1).Draw(t, "held")
					quotas.Release(timeAt(now), held[i])
					held = append(held[:i], held[i+1:]...)
				}
			case 3:
				capacity = rapid.SampledFrom([]int{0, 1, 2, 6, Unlimited}).Draw(t, "capacity")
				quotas.Resize(capacity)
			case 4:
				if len(quotas.claimants) > 0 {
					quotas.removeIdle(timeAt(now))
				}
			}
			checkCounts(t, quotas, held)
		}
	})
}

// checkCounts fails the test unless the counts of open lookups, in total and for each claimant, match the held ones.
func checkCounts(t *rapid.T, quotas *Quotas, held []*Claimant) {
	byClaimant := map[*Claimant]int{}
	for _, claimant := range held {
		byClaimant[claimant]++
	}
	total := 0
	quotas.Each(func(c *Claimant) {
		total += c.Open()
		if c.Open() != byClaimant[c] {
			t.Fatalf("claimant %s counts %d open lookups, expected %d", c.Name, c.Open(), byClaimant[c])
		}
	})
	if quotas.Open() != len(held) || total != len(held) {
		t.Fatalf("%d lookups open, %d of all claimants together, expected %d", quotas.Open(), total, len(held))
	}
}
