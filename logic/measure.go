// Sums that decay, chance and hashes: no decision and no tuned value stands here.

package logic

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
