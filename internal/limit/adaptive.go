package limit

import (
	"math"
	"time"
)

// Adaptive finds how many lookups at once a pool bears, by what they take: the published gradient of the least time of late over the
// time now. While answers take their least the limit grows by its root, which is room for a queue; as they slow it shrinks in
// proportion; an answer lost for want of room cuts it by a tenth, once a round trip.
type Adaptive struct {
	ceiling int
	limit   float64
	least   float64 // seconds, of answers with few others out; drifts up so that a change for good is learnt
	now     float64 // mean of late
	cutAt   time.Time
}

const (
	leastLimit = 4
	smooth     = 0.1    // of each answer in the mean
	slack      = 1.5    // times the least that is no sign of a queue
	driftUp    = 0.0005 // of the difference, an answer
	cutBy      = 0.9
)

// NewAdaptive starts at a quarter of the ceiling.
func NewAdaptive(ceiling int) *Adaptive {
	return &Adaptive{ceiling: ceiling, limit: max(leastLimit, float64(ceiling)/4)}
}

// Ceiling sets another ceiling.
func (a *Adaptive) Ceiling(n int) { a.ceiling, a.limit = n, min(a.limit, float64(n)) }

// Now is how many may be out.
func (a *Adaptive) Now() int { return min(a.ceiling, max(min(leastLimit, a.ceiling), int(a.limit))) }

// Takes is what a lookup takes of late.
func (a *Adaptive) Takes() time.Duration { return time.Duration(a.now * float64(time.Second)) }

// Ended is a lookup that ended after a time with so many out. Those that brought no answer tell nothing of times.
func (a *Adaptive) Ended(at time.Time, took time.Duration, out int, good, pressed bool) {
	if pressed {
		if at.Sub(a.cutAt) >= max(a.Takes(), 10*time.Millisecond) {
			a.cutAt, a.limit = at, max(leastLimit, a.limit*cutBy)
		}
		return
	}
	s := took.Seconds()
	if !good || s <= 0 {
		return
	}
	if a.now == 0 {
		a.now, a.least = s, s
	}
	a.now += smooth * (s - a.now)
	if s < a.least {
		a.least += smooth * (s - a.least)
	} else {
		a.least += driftUp * (s - a.least)
	}
	if float64(out) < a.limit/2 {
		return // too few to learn what more would do
	}
	gradient := min(1, max(0.5, slack*a.least/a.now))
	next := a.limit*gradient + math.Sqrt(a.limit)
	a.limit = min(float64(a.ceiling), max(leastLimit, a.limit+(next-a.limit)/a.limit))
}
