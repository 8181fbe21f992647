package limit

import (
	"math"
	"time"
)

// Budget bounds further sends as a part of first ones: each first send adds its part, each further one takes 1, and what is saved
// fades by half each budgetHalf. So a parent's outage cannot multiply what is sent, nor does its recovery meet a second peak made of
// what was saved up meanwhile. A few a second are allowed always, so that thin traffic may try again.
type Budget struct {
	share float64
	saved float64
	at    time.Time
	spare float64 // of the few a second
	thin  time.Time
}

const (
	budgetHalf = 2 * time.Second
	always     = 2.0  // further sends a second
	mostSaved  = 1000 // however much traffic
)

// NewBudget allows so many further sends for each first one.
func NewBudget(share float64) *Budget { return &Budget{share: share, spare: always} }

// Share sets another part; what is saved stays.
func (b *Budget) Share(share float64) { b.share = share }

func (b *Budget) fade(now time.Time) {
	if d := now.Sub(b.at); d > 0 && !b.at.IsZero() {
		b.saved *= math.Exp2(-d.Seconds() / budgetHalf.Seconds())
	}
	if b.at.IsZero() || now.After(b.at) {
		b.at = now
	}
	if d := now.Sub(b.thin); d > 0 {
		if !b.thin.IsZero() {
			b.spare = min(always, b.spare+always*d.Seconds())
		}
		b.thin = now
	}
}

// First is a first send.
func (b *Budget) First(now time.Time) {
	b.fade(now)
	b.saved = min(mostSaved, b.saved+b.share)
}

// Take takes a further send; false where there is none left.
func (b *Budget) Take(now time.Time) bool {
	b.fade(now)
	switch {
	case b.saved >= 1:
		b.saved--
	case b.share > 0 && b.spare >= 1:
		b.spare--
	default:
		return false
	}
	return true
}
