package limit

import (
	"math"
	"time"
)

// RetryBudget bounds further sends as a part of first ones: each first send adds its part, each further one takes 1, and what is saved
// fades by half each budgetHalf. So a parent's outage cannot multiply what is sent, nor does its recovery meet a second peak made of
// what was saved up meanwhile. A few a second are allowed always, so that thin traffic may try again.
type RetryBudget struct {
	ratio   float64
	saved   float64
	savedAt time.Time
	floor   float64 // of the few a second
	floorAt time.Time
}

const (
	budgetHalfLife      = 2 * time.Second
	minRetriesPerSecond = 2.0  // further sends a second
	maxSaved            = 1000 // however much traffic
)

// NewRetryBudget allows so many further sends for each first one.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{ratio: share, floor: minRetriesPerSecond}
}

// SetRatio sets another part; what is saved stays.
func (b *RetryBudget) SetRatio(share float64) { b.ratio = share }

func (b *RetryBudget) decay(now time.Time) {
	if d := now.Sub(b.savedAt); d > 0 && !b.savedAt.IsZero() {
		b.saved *= math.Exp2(-d.Seconds() / budgetHalfLife.Seconds())
	}
	if b.savedAt.IsZero() || now.After(b.savedAt) {
		b.savedAt = now
	}
	if d := now.Sub(b.floorAt); d > 0 {
		if !b.floorAt.IsZero() {
			b.floor = min(minRetriesPerSecond, b.floor+minRetriesPerSecond*d.Seconds())
		}
		b.floorAt = now
	}
}

// RecordFirstAttempt is a first send.
func (b *RetryBudget) RecordFirstAttempt(now time.Time) {
	b.decay(now)
	b.saved = min(maxSaved, b.saved+b.ratio)
}

// TryTake takes a further send; false where there is none left.
func (b *RetryBudget) TryTake(now time.Time) bool {
	b.decay(now)
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
