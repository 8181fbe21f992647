package limit

import (
	"math"
	"time"
)

// Adaptive finds how many lookups at once a pool bears, by what they take: the published gradient of the least time of late over the
// time now. While answers take their least the limit grows by its root, which is room for a queue; as they slow it shrinks in
// proportion; an answer lost for want of room cuts it by a tenth, once a round trip.
type Adaptive struct {
	ceiling     int
	limit       float64
	minLatency  float64 // seconds, of answers with few others out; drifts up so that a change for good is learnt
	meanLatency float64 // mean of late
	reducedAt   time.Time
}

const (
	minLimit       = 4
	smoothing      = 0.1    // of each answer in the mean
	queueFreeRatio = 1.5    // times the least that is no sign of a queue
	upwardDrift    = 0.0005 // of the difference, an answer
	overloadFactor = 0.9
)

// NewAdaptive starts at a quarter of the ceiling.
func NewAdaptive(ceiling int) *Adaptive {
	return &Adaptive{ceiling: ceiling, limit: max(minLimit, float64(ceiling)/4)}
}

// SetCeiling sets another ceiling.
func (a *Adaptive) SetCeiling(n int) { a.ceiling, a.limit = n, min(a.limit, float64(n)) }

// Limit is how many may be out.
func (a *Adaptive) Limit() int { return min(a.ceiling, max(min(minLimit, a.ceiling), int(a.limit))) }

// Latency is what a lookup takes of late.
func (a *Adaptive) Latency() time.Duration {
	return time.Duration(a.meanLatency * float64(time.Second))
}

// Observe is a lookup that ended after a time with so many out. Those that brought no answer tell nothing of times.
func (a *Adaptive) Observe(at time.Time, took time.Duration, out int, good, pressed bool) {
	if pressed {
		if at.Sub(a.reducedAt) >= max(a.Latency(), 10*time.Millisecond) {
			a.reducedAt, a.limit = at, max(minLimit, a.limit*overloadFactor)
		}
		return
	}
	s := took.Seconds()
	if !good || s <= 0 {
		return
	}
	if a.meanLatency == 0 {
		a.meanLatency, a.minLatency = s, s
	}
	a.meanLatency += smoothing * (s - a.meanLatency)
	if s < a.minLatency {
		a.minLatency += smoothing * (s - a.minLatency)
	} else {
		a.minLatency += upwardDrift * (s - a.minLatency)
	}
	if float64(out) < a.limit/2 {
		return // too few to learn what more would do
	}
	gradient := min(1, max(0.5, queueFreeRatio*a.minLatency/a.meanLatency))
	next := a.limit*gradient + math.Sqrt(a.limit)
	a.limit = min(float64(a.ceiling), max(minLimit, a.limit+(next-a.limit)/a.limit))
}
