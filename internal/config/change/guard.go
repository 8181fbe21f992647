package change

import (
	"fmt"
	"math"
	"time"
)

const (
	guardHalfLife = 20 * time.Second // of the counts of either side
	decayInterval = time.Second      // at least, between decays of a side
)

// GuardLimits are how much worse a change may be before it is rolled back. Differences are shares of lookups; 0 is not watched.
type GuardLimits struct {
	Satisfied  float64 `json:"satisfied"`  // fewer satisfied
	Rejected   float64 `json:"nacked"`     // more rejected
	Late       float64 `json:"late"`       // more late
	Fills      float64 `json:"fills"`      // more fills
	MinLookups int     `json:"lookups"`    // lookups of the change before it is assessed
	Deviations float64 `json:"deviations"` // standard deviations that the difference has to pass
}

// DefaultGuardLimits hold where the operators' configuration names none.
var DefaultGuardLimits = GuardLimits{Satisfied: 0.02, Rejected: 0.02, Late: 0.03, Fills: 0.1, MinLookups: 100, Deviations: 4}

// Outcome is how a lookup ended.
type Outcome struct{ Satisfied, Rejected, Late, Filled bool }

// Guard watches a change against what goes on beside it, if it is staged, or went on before it, if it is applied. It compares the two sides'
// counts as proportions: a side is worse when the difference passes both a bound that matters and what random variation explains, so that a
// good change is hardly ever rolled back and a bad one soon. It keeps no clock and is not safe for concurrent use.
type Guard struct {
	limits  GuardLimits
	base    decayingCounts // without the change
	changed decayingCounts
}

// NewGuard begins to watch.
func NewGuard(now time.Time, limits GuardLimits) *Guard {
	return &Guard{limits: limits, base: decayingCounts{decayedAt: now}, changed: decayingCounts{decayedAt: now}}
}

// BeginChange watches another change. What went on before stays known.
func (g *Guard) BeginChange() { g.changed.counts = counts{} }

// AcceptChange takes what a change brought as the base from now on, if it was enough to assess.
func (g *Guard) AcceptChange() {
	if g.changed.lookups >= float64(g.limits.MinLookups) {
		g.base.counts = g.changed.counts
	}
	g.changed.counts = counts{}
}

// Observe takes a lookup that ended, under the change or not.
func (g *Guard) Observe(now time.Time, isUnderChange bool, outcome Outcome) {
	if isUnderChange {
		g.changed.observe(now, outcome)
	} else {
		g.base.observe(now, outcome)
	}
}

// Tripped returns why the change is to be rolled back, or "".
func (g *Guard) Tripped() string {
	base, changed := g.base.counts, g.changed.counts
	if changed.lookups < float64(g.limits.MinLookups) || base.lookups < 1 {
		return ""
	}
	for _, c := range []comparison{
		{"satisfied", base.satisfied, changed.satisfied, g.limits.Satisfied, -1},
		{"nacked", base.rejected, changed.rejected, g.limits.Rejected, 1},
		{"late", base.late, changed.late, g.limits.Late, 1},
		{"filled", base.filled, changed.filled, g.limits.Fills, 1},
	} {
		if c.isWorse(base.lookups, changed.lookups, g.limits.Deviations) {
			return fmt.Sprintf("%s %.3f of %.0f lookups under the change, %.3f of %.0f beside or before it", c.name, c.changed/changed.lookups,
				changed.lookups, c.base/base.lookups, base.lookups)
		}
	}
	return ""
}

// comparison is one kind of outcome on the two sides.
type comparison struct {
	name          string // as operators read it
	base, changed float64
	limit         float64 // of the difference; 0: it is not watched
	sign          float64 // of a difference that is worse
}

// isWorse reports whether the difference of the proportions passes both the limit and so many of its standard deviations.
func (c comparison) isWorse(baseLookups, changedLookups, deviations float64) bool {
	if c.limit <= 0 {
		return false
	}
	worse := c.sign * (c.changed/changedLookups - c.base/baseLookups)
	pooled := (c.base + c.changed + 1) / (baseLookups + changedLookups + 2)
	deviation := math.Sqrt(pooled * (1 - pooled) * (1/baseLookups + 1/changedLookups))
	return worse > c.limit && worse > deviations*deviation
}

// decayingCounts is the counts of one side, which decay so that what went on long ago weighs little. They decay as lookups are added: what nobody adds
// to stays as it was.
type decayingCounts struct {
	counts
	decayedAt time.Time
}

type counts struct{ lookups, satisfied, rejected, late, filled float64 }

func (d *decayingCounts) observe(now time.Time, outcome Outcome) {
	if elapsed := now.Sub(d.decayedAt); elapsed > decayInterval {
		d.decay(math.Exp2(-elapsed.Seconds() / guardHalfLife.Seconds()))
		d.decayedAt = now
	}
	d.add(outcome)
}

func (c *counts) add(outcome Outcome) {
	c.lookups++
	if outcome.Satisfied {
		c.satisfied++
	}
	if outcome.Rejected {
		c.rejected++
	}
	if outcome.Late {
		c.late++
	}
	if outcome.Filled {
		c.filled++
	}
}

func (c *counts) decay(factor float64) {
	c.lookups *= factor
	c.satisfied *= factor
	c.rejected *= factor
	c.late *= factor
	c.filled *= factor
}
