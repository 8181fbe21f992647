package limit

import (
	"math"
	"time"
)

const (
	budgetHalfLife      = 2 * time.Second // of what is saved
	minRetriesPerSecond = 2.0             // allowed always, so that a few lookups may retry
	maxSaved            = 1000            // retries, however many lookups come
)

// RetryBudget bounds retries to a ratio of first attempts. Each first attempt saves that part of a retry, each retry takes one, and what is
// saved decays. So an outage cannot multiply what is sent, nor is its end met by a second peak of retries that were saved up in it.
type RetryBudget struct {
	ratio      float64
	saved      float64
	decayedAt  time.Time // when saved decayed last
	guaranteed float64   // left of the few a second
	refilledAt time.Time // when floor grew last
}

// NewRetryBudget allows so many retries for each first attempt.
func NewRetryBudget(ratio float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, guaranteed: minRetriesPerSecond}
}

// SetRatio sets another ratio. What is saved stays.
func (b *RetryBudget) SetRatio(ratio float64) { b.ratio = ratio }

// RecordFirstAttempt takes that a lookup sent its first attempt.
func (b *RetryBudget) RecordFirstAttempt(now time.Time) {
	b.update(now)
	b.saved = min(maxSaved, b.saved+b.ratio)
}

// TryTake takes a retry if there is one left. With a ratio of 0 there is none.
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

// update brings what is saved and the floor up to a time. A time that runs backwards changes nothing.
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
