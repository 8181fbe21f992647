package limit

import (
	"math"
	"time"
)

const (
	budgetHalfLife      = 2 * time.Second // of the saved retries
	minRetriesPerSecond = 2.0             // allowed at any ratio above 0, so that retries work at a low rate of lookups
	maxSaved            = 1000            // upper bound of the saved retries
)

// RetryBudget limits retries to a ratio of first attempts. Each first attempt saves that fraction of a retry, and each
// retry takes one. An outage therefore cannot multiply the load. Saved retries decay, so that retries saved during an
// outage do not cause a second peak at its end.
type RetryBudget struct {
	ratio      float64
	saved      float64
	decayedAt  time.Time // when saved was last decayed
	guaranteed float64   // retries left of minRetriesPerSecond
	refilledAt time.Time // when guaranteed was last refilled
}

// NewRetryBudget returns a budget that allows the given ratio of retries to first attempts.
func NewRetryBudget(ratio float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, guaranteed: minRetriesPerSecond}
}

// SetRatio changes the ratio. Saved retries are kept.
func (b *RetryBudget) SetRatio(ratio float64) { b.ratio = ratio }

// RecordFirstAttempt credits the budget for the first attempt of a lookup.
func (b *RetryBudget) RecordFirstAttempt(now time.Time) {
	b.update(now)
	b.saved = min(maxSaved, b.saved+b.ratio)
}

// TryTake takes one retry from the budget and reports whether there was one. With a ratio of 0 it always reports false,
// unless retries are left that were saved at an earlier ratio.
func (b *RetryBudget) TryTake(now time.Time) bool {
	b.update(now)
	switch {
	case b.saved >= 1:
		b.saved--
	case b.ratio > 0 && b.guaranteed >= 1:
		b.guaranteed--
	default:
		return false
	}
	return true
}

// update decays the saved retries and refills the guaranteed ones up to the given time. A time before the last update
// changes nothing.
func (b *RetryBudget) update(now time.Time) {
	if elapsed := now.Sub(b.decayedAt); elapsed > 0 && !b.decayedAt.IsZero() {
		b.saved *= math.Exp2(-elapsed.Seconds() / budgetHalfLife.Seconds())
	}
	if b.decayedAt.IsZero() || now.After(b.decayedAt) {
		b.decayedAt = now
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		if !b.refilledAt.IsZero() {
			b.guaranteed = min(minRetriesPerSecond, b.guaranteed+minRetriesPerSecond*elapsed.Seconds())
		}
		b.refilledAt = now
	}
}
