// Sums that decay, chance and hashes: no decision and no tuned value stands here.

package policy

import (
	"fmt"
	"math"
)

func (r *Router) log(format string, a ...any) { r.host.Log(fmt.Sprintf(format, a...)) }

func (s *sum) read(now Micros) float64 {
	if now > s.at {
		s.v *= math.Exp2(-float64(now-s.at) / float64(halfLife))
		s.at = now
	}
	return s.v
}

func (s *sum) add(now Micros, v float64) { s.v = s.read(now) + v }

// rate is the sum as an amount per microsecond.
func (s *sum) rate(now Micros) float64 { return s.read(now) * math.Ln2 / float64(halfLife) }

// windowSlots is how many slots of a window cover its span.
const windowSlots = 4

// window sums up what was added within a span: never less than of the span, of at most a slot more.
type window struct {
	slots [windowSlots + 1]float64
	slot  Micros // number of the newest
}

func (w *window) read(now, span Micros) (total float64) {
	newest := now * windowSlots / span
	for w.slot = max(w.slot, newest-windowSlots-1); w.slot < newest; {
		w.slot++
		w.slots[w.slot%(windowSlots+1)] = 0
	}
	for _, v := range w.slots {
		total += v
	}
	return total
}

func (w *window) add(now, span Micros, v float64) {
	w.read(now, span)
	w.slots[w.slot%(windowSlots+1)] += v
}

// takeBack undoes an add of the given instant, if the window still holds it.
func (w *window) takeBack(at, now, span Micros, v float64) {
	w.read(now, span)
	if slot := at * windowSlots / span; slot >= w.slot-windowSlots {
		w.slots[slot%(windowSlots+1)] -= v
	}
}

func (m *mwc) next() uint32 {
	t := uint64(698769069)*uint64(m.x) + uint64(m.c)
	m.x, m.c = uint32(t), uint32(t>>32)
	return m.x
}

// hashOf and mix are the shared hash: the same at every router.
func hashOf(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(name); i++ {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return mix(h, 0)
}

func mix(a, b uint64) uint64 {
	z := a ^ b*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// mean is a cache's or parent's recent time, over what it is counted over.
func (c *Cache) mean() float64 {
	took, n := 0.0, 0.0
	for i := range c.recentN {
		took, n = took+c.recentTook[i], n+c.recentN[i]
	}
	return took / max(n, 1)
}

// mean is the mean sending time of a kind: what the rule counts for a send to a cold cache.
func (k *kind) mean(now Micros) float64 { return k.work.read(now) / max(k.n.read(now), 1e-3) }
