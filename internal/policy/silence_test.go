package policy

import (
	"fmt"
	"testing"
)

// A silent edge cache is ejected. Late fills alone do not eject it, because a saturated link delays them too.
func TestSilentCaches(t *testing.T) {
	t.Run("a silent cache is ejected for unanswered attempts, and a successful probe readmits it", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		for i := 0; !caches[0].ejected && i < 200; i++ {
			f.lookUp(0, fmt.Sprint(i))
			if s := f.lastAttempt(); s.Cache != caches[0] {
				f.endAttempt(s, OutcomeSatisfied, DetailHit, 100*millisecond)
			}
			f.advance(120 * millisecond)
		}
		if !caches[0].ejected {
			t.Fatal("the silent cache was never ejected")
		}
		for i := 0; caches[0].ejected && i < 400; i++ {
			f.lookUp(1, fmt.Sprint("x", i))
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
			f.advance(120 * millisecond)
		}
		if caches[0].ejected {
			t.Fatal("the cache was never readmitted")
		}
	})
	t.Run("late fills on a saturated link lead to attempts without a fill and eject no cache", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		copyOnly := 0
		for i := range 40 {
			f.lookUp(0, fmt.Sprint(i))
			if s := f.lastAttempt(); s.Source == s.Cache {
				if s.Mode&ModeCoalesce != 0 {
					t.Fatal("an attempt without a fill may coalesce with a fill, so it does not show whether the cache is alive")
				}
				copyOnly++
				f.endAttempt(s, OutcomeMiss, DetailNone, millisecond) // the fill that follows stays open
			}
			f.advance(50 * millisecond)
		}
		for _, c := range caches {
			if c.ejected || copyOnly == 0 {
				t.Fatalf("%s ejected: %v, attempts without a fill: %d, want no ejection and at least 1 attempt", c.Name, c.ejected, copyOnly)
			}
		}
	})
}

// A parent with overdue fills is ejected only while other parents answer.
// After a long ejection it may have restarted and begins a slow start.
func TestSilentParents(t *testing.T) {
	t.Run("a parent with overdue fills is ejected only if the others have few", func(t *testing.T) {
		for _, alone := range []bool{true, false} {
			f, caches := newFixture(t, nil)
			for i := range 40 { // if not alone, the second parent stops answering after 20 lookups
				f.now += Micros(i/20) * millisecond
				f.lookUp(0, fmt.Sprint(i))
				if s := f.lastAttempt(); s.Source == caches[4] && (alone || i < 20) {
					f.endAttempt(s, OutcomeSatisfied, DetailFilled, 100*millisecond)
				}
			}
			for range 60 { // the edge caches answer other lookups
				f.now += 20 * millisecond
				for _, c := range caches[:3] {
					c.lastSuccessAt = f.now
				}
				f.router.TimerFired(f.now, timerSweep)
			}
			if caches[3].ejected != alone {
				t.Fatalf("only one parent silent: %v, parent ejected: %v, want equal", alone, caches[3].ejected)
			}
		}
	})
	t.Run("a parent returns cold from a long ejection and warm from a short one", func(t *testing.T) {
		for _, away := range []Micros{second, 5 * second} {
			f, caches := newFixture(t, nil)
			f.router.eject(caches[3], "silent")
			f.now += away
			for i := 0; caches[3].ejected && i < 20; i++ {
				f.lookUp(0, fmt.Sprint(i))
				f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, 100*millisecond)
			}
			if caches[3].ejected || (caches[3].warmingSince > 0) != (away > coldAfterOutage) {
				t.Fatalf("after %d us: ejected %v, slow start since %d, want readmission and a slow start only after the long ejection", away, caches[3].ejected, caches[3].warmingSince)
			}
		}
	})
}
