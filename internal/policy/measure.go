// Sums that decay, chance and hashes: no decision and no tuned value stands here.

package policy

import (
	"fmt"
	"math"
)

func (r *Router) logf(format string, a ...any) { r.executor.Log(fmt.Sprintf(format, a...)) }

func (s *decayingSum) read(now Micros) float64 {
	if now > s.updatedAt {
		s.value *= math.Exp2(-float64(now-s.updatedAt) / float64(measurementHalfLife))
		s.updatedAt = now
	}
	return s.value
}

func (s *decayingSum) add(now Micros, v float64) { s.value = s.read(now) + v }

// rate is the sum as an amount per microsecond.
func (s *decayingSum) rate(now Micros) float64 {
	return s.read(now) * math.Ln2 / float64(measurementHalfLife)
}

// windowSlots is how many slots of a window cover its span.
const windowSlots = 4

// slidingWindow sums up what was added within a span: never less than of the span, of at most a slot more.
type slidingWindow struct {
	slots  [windowSlots + 1]float64
	newest Micros // number of the newest
}

func (w *slidingWindow) read(now, span Micros) (total float64) {
	newest := now * windowSlots / span
	for w.newest = max(w.newest, newest-windowSlots-1); w.newest < newest; {
		w.newest++
		w.slots[w.newest%(windowSlots+1)] = 0
	}
	for _, v := range w.slots {
		total += v
	}
	return total
}

func (w *slidingWindow) add(now, span Micros, v float64) {
	w.read(now, span)
	w.slots[w.newest%(windowSlots+1)] += v
}

// subtract undoes an add of the given instant, if the window still holds it.
func (w *slidingWindow) subtract(at, now, span Micros, v float64) {
	w.read(now, span)
	if slot := at * windowSlots / span; slot >= w.newest-windowSlots {
		w.slots[slot%(windowSlots+1)] -= v
	}
}

func (m *randomSource) next() uint32 {
	t := uint64(698769069)*uint64(m.state) + uint64(m.carry)
	m.state, m.carry = uint32(t), uint32(t>>32)
	return m.state
}

// hashString and mix are the shared hash: the same at every router.
func hashString(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(name); i++ {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return mixHash(h, 0)
}

func mixHash(a, b uint64) uint64 {
	z := a ^ b*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// meanLatency is a cache's or parent's recent time, over what it is counted over.
func (c *Cache) meanLatency() float64 {
	took, n := 0.0, 0.0
	for i := range c.recentSize {
		took, n = took+c.recentLatency[i], n+c.recentSize[i]
	}
	return took / max(n, 1)
}

// meanWork is the mean sending time of a kind: what the rule counts for a send to a cold cache.
func (k *kindState) meanWork(now Micros) float64 {
	return k.arrivedWork.read(now) / max(k.arrivals.read(now), 1e-3)
}
