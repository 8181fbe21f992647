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
	terms Guards
	base  counts // of the side without the change
	next  counts
	since [2]time.Time // when each was faded last: what nobody adds to stays as it was
}

// Guards are how much worse a change may be: parts of lookups.
type Guards struct {
	Satisfied  float64 `json:"satisfied"`  // fewer satisfied; 0: not looked at, as with those that follow
	Nacked     float64 `json:"nacked"`     // more nacked
	Late       float64 `json:"late"`       // more late
	Fills      float64 `json:"fills"`      // more fills
	Least      int     `json:"lookups"`    // lookups of the change before it is judged
	Deviations float64 `json:"deviations"` // of chance
}

// Usual guards.
var Usual = Guards{Satisfied: 0.02, Nacked: 0.02, Late: 0.03, Fills: 0.1, Least: 100, Deviations: 4}

// Seen is a lookup that has ended.
type Seen struct{ Satisfied, Nacked, Late, Filled bool }

type counts struct{ n, satisfied, nacked, late, filled float64 }

func (c *counts) add(s Seen) {
	c.n++
	for _, x := range []struct {
		is bool
		to *float64
	}{{s.Satisfied, &c.satisfied}, {s.Nacked, &c.nacked}, {s.Late, &c.late}, {s.Filled, &c.filled}} {
		if x.is {
			*x.to++
		}
	}
}

// fade halves all, so that what went on long ago weighs little.
func (c *counts) fade(part float64) {
	c.n, c.satisfied, c.nacked, c.late, c.filled = c.n*part, c.satisfied*part, c.nacked*part, c.late*part, c.filled*part
}

const guardHalf = 20 * time.Second

// NewGuard begins to watch.
func NewGuard(now time.Time, terms Guards) *Guard {
	return &Guard{terms: terms, since: [2]time.Time{now, now}}
}

// Begin watches another change: what went on before stays known.
func (g *Guard) Begin() { g.next = counts{} }

// Accept takes what a change brought for what is usual from now on.
func (g *Guard) Accept() {
	if g.next.n >= float64(g.terms.Least) {
		g.base = g.next
	}
	g.next = counts{}
}

// Saw is a lookup that ended, under the change or not.
func (g *Guard) Saw(now time.Time, under bool, s Seen) {
	side, at := &g.base, &g.since[0]
	if under {
		side, at = &g.next, &g.since[1]
	}
	if d := now.Sub(*at); d > time.Second {
		side.fade(math.Exp2(-d.Seconds() / guardHalf.Seconds()))
		*at = now
	}
	side.add(s)
}

// Tripped says why the change is to be undone, or "".
func (g *Guard) Tripped() string {
	a, b := g.base, g.next
	if b.n < float64(g.terms.Least) || a.n < 1 {
		return ""
	}
	for _, x := range []struct {
		name       string
		was, is    float64
		most, sign float64
	}{{"satisfied", a.satisfied, b.satisfied, g.terms.Satisfied, -1}, {"nacked", a.nacked, b.nacked, g.terms.Nacked, 1},
		{"late", a.late, b.late, g.terms.Late, 1}, {"filled", a.filled, b.filled, g.terms.Fills, 1}} {
		if x.most <= 0 {
			continue
		}
		was, is := x.was/a.n, x.is/b.n
		both := (x.was + x.is + 1) / (a.n + b.n + 2)
		chance := math.Sqrt(both * (1 - both) * (1/a.n + 1/b.n))
		if worse := x.sign * (is - was); worse > x.most && worse > g.terms.Deviations*chance {
			return fmt.Sprintf("%s %.3f of %.0f lookups under the change, %.3f of %.0f beside or before it", x.name, is, b.n, was, a.n)
		}
	}
	return ""
}
