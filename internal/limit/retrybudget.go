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
	ratio   float64
	saved   float64
	savedAt time.Time // when saved decayed last
	floor   float64   // left of the few a second
	floorAt time.Time // when floor grew last
}

// NewRetryBudget allows so many retries for each first attempt.
func NewRetryBudget(ratio float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, floor: minRetriesPerSecond}
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
	case b.ratio > 0 && b.floor >= 1:
		b.floor--
	default:
		return false
	}
	return true
}

// update brings what is saved and the floor up to a time. A time that runs backwards changes nothing.
func (b *RetryBudget) update(now time.Time) {
	if elapsed := now.Sub(b.savedAt); elapsed > 0 && !b.savedAt.IsZero() {
		b.saved *= math.Exp2(-elapsed.Seconds() / budgetHalfLife.Seconds())
	}
	if b.savedAt.IsZero() || now.After(b.savedAt) {
		b.savedAt = now
	}
	if elapsed := now.Sub(b.floorAt); elapsed > 0 {
		if !b.floorAt.IsZero() {
			b.floor = min(minRetriesPerSecond, b.floor+minRetriesPerSecond*elapsed.Seconds())
		}
		b.floorAt = now
	}
}
