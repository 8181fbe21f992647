package policy

import "math"

// measurementHalfLife is the half-life of every decayingSum.
const measurementHalfLife = 1 * second

// decayingSum is a sum that halves every measurementHalfLife. The decay is applied when the sum is read.
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

// rate returns the recent mean of the amount added per microsecond.
func (s *decayingSum) rate(now Micros) float64 {
	return s.read(now) * math.Ln2 / float64(measurementHalfLife)
}

// windowSlots is the number of slots in a window.
const windowSlots = 4

// slidingWindow sums the values that were added within a window of time. The sum covers at least the whole window and
// at most one slot more.
type slidingWindow struct {
	slots  [windowSlots + 1]float64
	newest Micros // number of the newest slot, counted from the Unix epoch
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

// subtract removes a value that was added at an instant, if the window still covers that instant.
func (w *slidingWindow) subtract(at, now, window Micros, v float64) {
	w.read(now, window)
	if slot := at * windowSlots / window; slot >= w.newest-windowSlots {
		w.slots[slot%(windowSlots+1)] -= v
	}
}
