package change

import (
	"fmt"
	"math"
	"time"
)

// Guard watches a change against what goes on beside it (a staged one) or went on before it (an applied one), and says when to undo it.
// Counts of the two sides are compared as two proportions: a side is worse when the difference passes both a bound that matters and
// what chance explains (deviations), so that a good change is hardly ever undone and a bad one soon. It keeps no clock.
type Guard struct {
	limits    GuardLimits
	base      counts // of the side without the change
	changed   counts
	decayedAt [2]time.Time // when each was faded last: what nobody adds to stays as it was
}

// GuardLimits are how much worse a change may be: parts of lookups.
type GuardLimits struct {
	Satisfied  float64 `json:"satisfied"`  // fewer satisfied; 0: not looked at, as with those that follow
	Rejected   float64 `json:"nacked"`     // more nacked
	Late       float64 `json:"late"`       // more late
	Fills      float64 `json:"fills"`      // more fills
	MinLookups int     `json:"lookups"`    // lookups of the change before it is judged
	Deviations float64 `json:"deviations"` // of chance
}

// Usual guards.
var DefaultGuardLimits = GuardLimits{Satisfied: 0.02, Rejected: 0.02, Late: 0.03, Fills: 0.1, MinLookups: 100, Deviations: 4}

// Outcome is a lookup that has ended.
type Outcome struct{ Satisfied, Rejected, Late, Filled bool }

type counts struct{ n, satisfied, rejected, late, filled float64 }

func (c *counts) add(s Outcome) {
	c.n++
	for _, x := range []struct {
		is bool
		to *float64
	}{{s.Satisfied, &c.satisfied}, {s.Rejected, &c.rejected}, {s.Late, &c.late}, {s.Filled, &c.filled}} {
		if x.is {
			*x.to++
		}
	}
}

// decay halves all, so that what went on long ago weighs little.
func (c *counts) decay(part float64) {
	c.n, c.satisfied, c.rejected, c.late, c.filled = c.n*part, c.satisfied*part, c.rejected*part, c.late*part, c.filled*part
}

const guardHalfLife = 20 * time.Second

// NewGuard begins to watch.
func NewGuard(now time.Time, terms GuardLimits) *Guard {
	return &Guard{limits: terms, decayedAt: [2]time.Time{now, now}}
}

// BeginChange watches another change: what went on before stays known.
func (g *Guard) BeginChange() { g.changed = counts{} }

// AcceptChange takes what a change brought for what is usual from now on.
func (g *Guard) AcceptChange() {
	if g.changed.n >= float64(g.limits.MinLookups) {
		g.base = g.changed
	}
	g.changed = counts{}
}

// Observe is a lookup that ended, under the change or not.
func (g *Guard) Observe(now time.Time, under bool, s Outcome) {
	side, at := &g.base, &g.decayedAt[0]
	if under {
		side, at = &g.changed, &g.decayedAt[1]
	}
	if d := now.Sub(*at); d > time.Second {
		side.decay(math.Exp2(-d.Seconds() / guardHalfLife.Seconds()))
		*at = now
	}
	side.add(s)
}

// Tripped says why the change is to be undone, or "".
func (g *Guard) Tripped() string {
	a, b := g.base, g.changed
	if b.n < float64(g.limits.MinLookups) || a.n < 1 {
		return ""
	}
	for _, x := range []struct {
		name       string
		was, is    float64
		most, sign float64
	}{{"satisfied", a.satisfied, b.satisfied, g.limits.Satisfied, -1}, {"nacked", a.rejected, b.rejected, g.limits.Rejected, 1},
		{"late", a.late, b.late, g.limits.Late, 1}, {"filled", a.filled, b.filled, g.limits.Fills, 1}} {
		if x.most <= 0 {
			continue
		}
		was, is := x.was/a.n, x.is/b.n
		both := (x.was + x.is + 1) / (a.n + b.n + 2)
		chance := math.Sqrt(both * (1 - both) * (1/a.n + 1/b.n))
		if worse := x.sign * (is - was); worse > x.most && worse > g.limits.Deviations*chance {
			return fmt.Sprintf("%s %.3f of %.0f lookups under the change, %.3f of %.0f beside or before it", x.name, is, b.n, was, a.n)
		}
	}
	return ""
}
