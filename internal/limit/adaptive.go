package limit

import (
	"math"
	"time"
)

const (
	minLimit         = 4      // open lookups that are allowed at any latency, unless the ceiling is lower
	initialDivisor   = 4      // the initial limit is the ceiling divided by this
	smoothingFactor  = 0.1    // weight of a new sample in meanLatency, and in minLatency if the sample is lower
	queueFreeRatio   = 1.5    // mean latency over lowest latency; up to this ratio there is no queue
	minGradient      = 0.5    // lower bound of the gradient, so that one slow sample targets no less than half the limit
	upwardDrift      = 0.0005 // part of the difference by which minLatency rises with each slower sample
	overloadFactor   = 0.9    // multiplies the limit after an overload
	minReduceSpacing = 10 * time.Millisecond
)

// Adaptive is a concurrency limit that adapts to the latency of lookups. It uses the published gradient algorithm: the
// gradient is the lowest recent latency over the mean recent latency. While the latency stays low, the limit grows
// towards itself plus its square root, which leaves room for a queue. As the latency rises, the limit shrinks in
// proportion. An overload reduces the limit by a tenth, at most once per mean latency.
type Adaptive struct {
	ceiling     int
	limit       float64
	minLatency  float64 // seconds; drifts upwards, so that a lasting rise of the latency is learnt
	meanLatency float64 // seconds; moving average over recent lookups
	reducedAt   time.Time
}

// Sample describes a lookup that has ended.
type Sample struct {
	Latency    time.Duration
	Open       int  // open lookups when it ended, including itself
	IsSuccess  bool // the latency is only meaningful for successful lookups
	IsOverload bool // the lookup was late or failed for lack of capacity
}

// NewAdaptive returns an adaptive limit that starts at a quarter of the ceiling, but not below minLimit.
func NewAdaptive(ceiling int) *Adaptive {
	return &Adaptive{ceiling: ceiling, limit: max(minLimit, float64(ceiling)/initialDivisor)}
}

// SetCeiling changes the ceiling and lowers the limit to it if needed.
func (a *Adaptive) SetCeiling(ceiling int) {
	a.ceiling = ceiling
	a.limit = min(a.limit, float64(ceiling))
}

// Limit returns the number of lookups that may be open at once.
func (a *Adaptive) Limit() int {
	return min(a.ceiling, max(min(minLimit, a.ceiling), int(a.limit)))
}

// Latency returns the mean latency of recent lookups, or 0 if none has been observed.
func (a *Adaptive) Latency() time.Duration {
	return time.Duration(a.meanLatency * float64(time.Second))
}

// Observe updates the limit from a lookup that has ended.
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
		return // too few open lookups to tell how latency behaves at the limit
	}
	gradient := min(1, max(minGradient, queueFreeRatio*a.minLatency/a.meanLatency))
	target := a.limit*gradient + math.Sqrt(a.limit)
	a.limit = min(float64(a.ceiling), max(minLimit, a.limit+(target-a.limit)/a.limit))
}

// reduce lowers the limit after an overload. It does nothing within one mean latency (at least minReduceSpacing) of the
// previous reduction, because overloads occur in groups.
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
