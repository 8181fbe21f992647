package policy

import "math"

// measurementHalfLife is that of everything that is measured over time.
const measurementHalfLife = 1 * second

// decayingSum is a sum that halves every measurementHalfLife. Its value is brought up to date when it is read.
type decayingSum struct {
	value     float64
	updatedAt Micros
}

func (s *decayingSum) read(now Micros) float64 {
	if now > s.updatedAt {
		s.value *= math.Exp2(-float64(now-s.updatedAt) / float64(measurementHalfLife))
		s.updatedAt = now
	}
	return s.value
}

func (s *decayingSum) add(now Micros, v float64) { s.value = s.read(now) + v }

// rate is the sum as an amount for each microsecond.
func (s *decayingSum) rate(now Micros) float64 {
	return s.read(now) * math.Ln2 / float64(measurementHalfLife)
}

// windowSlots is the number of slots that cover a window.
const windowSlots = 4

// slidingWindow sums up what was added within a window of time: of never less than the window, and of at most a slot more.
type slidingWindow struct {
	slots  [windowSlots + 1]float64
	newest Micros // number of the newest slot since the epoch
}

func (w *slidingWindow) read(now, window Micros) (total float64) {
	newest := now * windowSlots / window
	w.newest = max(w.newest, newest-windowSlots-1)
	for w.newest < newest {
		w.newest++
		w.slots[w.newest%(windowSlots+1)] = 0
	}
	for _, v := range w.slots {
		total += v
	}
	return total
}

func (w *slidingWindow) add(now, window Micros, v float64) {
	w.read(now, window)
	w.slots[w.newest%(windowSlots+1)] += v
}

// subtract takes back what was added at an instant, if the window still holds it.
func (w *slidingWindow) subtract(at, now, window Micros, v float64) {
	w.read(now, window)
	if slot := at * windowSlots / window; slot >= w.newest-windowSlots {
		w.slots[slot%(windowSlots+1)] -= v
	}
}
