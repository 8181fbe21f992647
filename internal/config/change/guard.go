package change

import (
	"fmt"
	"math"
	"time"
)

const (
	guardHalfLife = 20 * time.Second // half-life of the decaying counts
	decayInterval = time.Second      // minimum time between two decays of the same counts
)

// GuardLimits sets how much worse than the baseline a change may be before it is rolled back. Satisfied,
// Rejected, Late and Fills are differences between shares of lookups; an outcome with limit 0 is not compared.
type GuardLimits struct {
	Satisfied  float64 `json:"satisfied"`  // largest decrease of the satisfied lookups
	Rejected   float64 `json:"nacked"`     // largest increase of the rejected lookups
	Late       float64 `json:"late"`       // largest increase of the late lookups
	Fills      float64 `json:"fills"`      // largest increase of the lookups with a fill
	MinLookups int     `json:"lookups"`    // lookups under the change before it is assessed
	Deviations float64 `json:"deviations"` // number of standard deviations that a difference must exceed
}

// DefaultGuardLimits are the limits that apply if the operators' configuration sets none.
var DefaultGuardLimits = GuardLimits{Satisfied: 0.02, Rejected: 0.02, Late: 0.03, Fills: 0.1, MinLookups: 100, Deviations: 4}

// Outcome describes how a lookup ended.
type Outcome struct{ Satisfied, Rejected, Late, Filled bool }

// Guard compares the outcomes of lookups under a change with a baseline. The baseline of a staged change is
// the lookups beside it that are decided under the confirmed version. The baseline of an applied change is
// the lookups before it. The guard compares proportions of lookups. A change is worse if a difference
// exceeds both its limit and the random variation of the counts, so that a good change is hardly ever
// rolled back and a bad one is rolled back soon. A Guard reads no clock and is not safe for concurrent use.
type Guard struct {
	limits  GuardLimits
	base    decayingCounts // lookups of the baseline
	changed decayingCounts // lookups under the change
}

// NewGuard returns a Guard without observations.
func NewGuard(now time.Time, limits GuardLimits) *Guard {
	return &Guard{limits: limits, base: decayingCounts{decayedAt: now}, changed: decayingCounts{decayedAt: now}}
}

// BeginChange resets the counts for a new change. The baseline is retained.
func (g *Guard) BeginChange() { g.changed.counts = counts{} }

// AcceptChange makes the counts of the change the new baseline if they hold
// enough lookups to be assessed. It then resets the counts of the change.
func (g *Guard) AcceptChange() {
	if g.changed.lookups >= float64(g.limits.MinLookups) {
		g.base.counts = g.changed.counts
	}
	g.changed.counts = counts{}
}

// Observe counts a lookup that ended, either under the change or in the baseline.
func (g *Guard) Observe(now time.Time, isUnderChange bool, outcome Outcome) {
	if isUnderChange {
		g.changed.observe(now, outcome)
	} else {
		g.base.observe(now, outcome)
	}
}

// Tripped returns the reason for rolling the change back, or "" if there is none.
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
			return fmt.Sprintf("%s: %.3f of %.0f lookups under the change, %.3f of %.0f lookups in the baseline", c.name,
				c.changed/changed.lookups, changed.lookups, c.base/base.lookups, base.lookups)
		}
	}
	return ""
}

// comparison compares one kind of outcome under the change with the baseline.
type comparison struct {
	name          string // shown to operators
	base, changed float64
	limit         float64 // of the difference; 0 if the outcome is not compared
	sign          float64 // of a difference for the worse: 1 or -1
}

// isWorse reports whether the difference of the proportions exceeds
// both the limit and the given number of its standard deviations.
func (c comparison) isWorse(baseLookups, changedLookups, deviations float64) bool {
	if c.limit <= 0 {
		return false
	}
	worse := c.sign * (c.changed/changedLookups - c.base/baseLookups)
	pooled := (c.base + c.changed + 1) / (baseLookups + changedLookups + 2)
	deviation := math.Sqrt(pooled * (1 - pooled) * (1/baseLookups + 1/changedLookups))
	return worse > c.limit && worse > deviations*deviation
}

// decayingCounts are counts of outcomes that decay, so that lookups of long ago carry little
// weight. The counts decay only when a lookup is added. Without new lookups they stay as they are.
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
