package admission

import (
	"testing"

	"pgregory.net/rapid"
)

// TestQuotasCountWhatIsHeld guards against open lookups that are lost or counted below zero while claimants come and go and the capacity
// changes, and against more admitted than the capacity.
func TestQuotasCountWhatIsHeld(t *testing.T) {
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
					t.Fatalf("%d admitted of %d", len(held), capacity)
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
					quotas.forgetIdle(timeAt(now))
				}
			}
			checkCounts(t, quotas, held)
		}
	})
}

// checkCounts expects the quotas and each claimant to count what is held.
func checkCounts(t *rapid.T, quotas *Quotas, held []*Claimant) {
	byClaimant := map[*Claimant]int{}
	for _, claimant := range held {
		byClaimant[claimant]++
	}
	total := 0
	quotas.Each(func(c *Claimant) {
		total += c.Open()
		if c.Open() != byClaimant[c] {
			t.Fatalf("%s: %d open, %d held", c.Name, c.Open(), byClaimant[c])
		}
	})
	if quotas.Open() != len(held) || total != len(held) {
		t.Fatalf("%d open, %d of known claimants, %d held", quotas.Open(), total, len(held))
	}
}
