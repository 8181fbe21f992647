package limit

import (
	"math"
	"time"
)

const (
	minLimit         = 4 // open lookups, whatever the latency
	initialDivisor   = 4 // the limit starts at the ceiling divided by this
	smoothingFactor  = 0.1
	queueFreeRatio   = 1.5    // of the mean latency to the lowest one, up to which there is no queue
	minGradient      = 0.5    // the limit shrinks to no less of itself for one sample's sake
	upwardDrift      = 0.0005 // of the difference, for each sample
	overloadFactor   = 0.9    // of the limit, after an overload
	minReduceSpacing = 10 * time.Millisecond
)

// Adaptive finds how many lookups open at once a pool can take, by their latency: the published gradient of the lowest recent latency over the
// present one. While the latency stays low the limit grows by its square root, which leaves room for a queue; as it rises the limit shrinks in
// proportion. An overload cuts it by a tenth, at most once in a latency.
type Adaptive struct {
	ceiling     int
	limit       float64
	minLatency  float64 // seconds; drifts upwards, so that a lasting change is learnt
	meanLatency float64 // seconds, of recent lookups
	reducedAt   time.Time
}

// Sample is a lookup that has ended.
type Sample struct {
	Latency    time.Duration
	Open       int  // lookups that were open with it, itself included
	IsSuccess  bool // others show nothing of the latency
	IsOverload bool // it was late or failed for want of capacity
}

// NewAdaptive starts at a quarter of the ceiling.
func NewAdaptive(ceiling int) *Adaptive {
	return &Adaptive{ceiling: ceiling, limit: max(minLimit, float64(ceiling)/initialDivisor)}
}

// SetCeiling sets another ceiling.
func (a *Adaptive) SetCeiling(ceiling int) {
	a.ceiling = ceiling
	a.limit = min(a.limit, float64(ceiling))
}

// Limit returns how many lookups may be open.
func (a *Adaptive) Limit() int {
	return min(a.ceiling, max(min(minLimit, a.ceiling), int(a.limit)))
}

// Latency returns the mean latency of recent lookups, 0 before the first.
func (a *Adaptive) Latency() time.Duration {
	return time.Duration(a.meanLatency * float64(time.Second))
}

// Observe takes a lookup that ended.
func (a *Adaptive) Observe(now time.Time, sample Sample) {
	if sample.IsOverload {
		a.reduce(now)
		return
	}
	seconds := sample.Latency.Seconds()
	if !sample.IsSuccess || seconds <= 0 {
		return
	}
	a.observeLatency(seconds)
	if float64(sample.Open) < a.limit/2 {
		return // too few to learn what more would do
	}
	gradient := min(1, max(minGradient, queueFreeRatio*a.minLatency/a.meanLatency))
	target := a.limit*gradient + math.Sqrt(a.limit)
	a.limit = min(float64(a.ceiling), max(minLimit, a.limit+(target-a.limit)/a.limit))
}

// reduce cuts the limit, unless it has just been cut: overloads come in groups.
func (a *Adaptive) reduce(now time.Time) {
	if now.Sub(a.reducedAt) >= max(a.Latency(), minReduceSpacing) {
		a.reducedAt = now
		a.limit = max(minLimit, a.limit*overloadFactor)
	}
}

func (a *Adaptive) observeLatency(seconds float64) {
	if a.meanLatency == 0 {
		a.meanLatency = seconds
		a.minLatency = seconds
	}
	a.meanLatency += smoothingFactor * (seconds - a.meanLatency)
	if seconds < a.minLatency {
		a.minLatency += smoothingFactor * (seconds - a.minLatency)
	} else {
		a.minLatency += upwardDrift * (seconds - a.minLatency)
	}
}
