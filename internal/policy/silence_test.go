package policy

import (
	"fmt"
	"testing"
)

// A silent cache is not a slow one.
func TestSilentCaches(t *testing.T) {
	t.Run("a silent cache is ejected for unanswered attempts, and a probe readmits it", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		for i := 0; !caches[0].ejected && i < 200; i++ {
			f.lookUp(0, fmt.Sprint(i))
			if s := f.lastAttempt(); s.Cache != caches[0] {
				f.endAttempt(s, OutcomeSatisfied, DetailHit, 100*millisecond)
			}
			f.advance(120 * millisecond)
		}
		if !caches[0].ejected {
			t.Fatal("never ejected")
		}
		for i := 0; caches[0].ejected && i < 400; i++ {
			f.lookUp(1, fmt.Sprint("x", i))
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
			f.advance(120 * millisecond)
		}
		if caches[0].ejected {
			t.Fatal("never readmitted")
		}
	})
	t.Run("late fills on a full link have lookups ask for copies alone, and eject nothing", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		copyOnly := 0
		for i := range 40 {
			f.lookUp(0, fmt.Sprint(i))
			if s := f.lastAttempt(); s.Source == s.Cache {
				if s.Mode&ModeCoalesce != 0 {
					t.Fatal("an attempt that may wait for a fill shows nothing")
				}
				copyOnly++
				f.endAttempt(s, OutcomeMiss, DetailNone, millisecond) // its fill stays open, as the others
			}
			f.advance(50 * millisecond)
		}
		for _, c := range caches {
			if c.ejected || copyOnly == 0 {
				t.Fatalf("%s ejected %v after %d attempts without a fill", c.Name, c.ejected, copyOnly)
			}
		}
	})
}

// The same for parents.
func TestSilentParents(t *testing.T) {
	t.Run("a parent that owes fills is ejected only if the others owe few", func(t *testing.T) {
		for _, alone := range []bool{true, false} {
			f, caches := newFixture(t, nil)
			for i := range 40 { // at first one parent answers; then, not alone, it owes as well
				f.now += Micros(i/20) * millisecond
				f.lookUp(0, fmt.Sprint(i))
				if s := f.lastAttempt(); s.Source == caches[4] && (alone || i < 20) {
					f.endAttempt(s, OutcomeSatisfied, DetailFilled, 100*millisecond)
				}
			}
			for range 60 { // the caches answer others
				f.now += 20 * millisecond
				for _, c := range caches[:3] {
					c.lastSuccessAt = f.now
				}
				f.router.TimerFired(f.now, timerSweep)
			}
			if caches[3].ejected != alone {
				t.Fatalf("only one parent silent %v: ejected %v", alone, caches[3].ejected)
			}
		}
	})
	t.Run("a parent ejected for long returns cold, after a short time warm", func(t *testing.T) {
		for _, away := range []Micros{second, 5 * second} {
			f, caches := newFixture(t, nil)
			f.router.eject(caches[3], "silent")
			f.now += away
			for i := 0; caches[3].ejected && i < 20; i++ {
				f.lookUp(0, fmt.Sprint(i))
				f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, 100*millisecond)
			}
			if caches[3].ejected || (caches[3].warmingSince > 0) != (away > coldAfterOutage) {
				t.Fatalf("after %d: ejected %v, cold from %d", away, caches[3].ejected, caches[3].warmingSince)
			}
		}
	})
}
