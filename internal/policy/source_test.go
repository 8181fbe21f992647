package policy

import (
	"fmt"
	"testing"
)

// What runs at the origin gains nothing from a parent, which would only cost it time.
func TestPassThroughNamesOrigin(t *testing.T) {
	start := func(t *testing.T) (*fixture, []*Cache) {
		return newFixture(t, func(s *Settings) { s.Kinds[1].PassThrough = true })
	}
	t.Run("it names the origin, a kind that is cached names a parent", func(t *testing.T) {
		f, caches := start(t)
		f.lookUp(1, "a")
		write := f.lastAttempt()
		f.lookUp(0, "a")
		if fill := f.lastAttempt(); write.Source != caches[5] || fill.Source.Kind != 1 {
			t.Fatalf("write by %s, fill by %s", write.Source.Name, fill.Source.Name)
		}
	})
	t.Run("also while a parent warms up, and while fills are limited", func(t *testing.T) {
		f, caches := start(t)
		f.updateEndpoint(caches[3], Ready, f.now)
		f.updateEndpoint(caches[4], Ready, f.now)
		f.router.cutFillLimit()
		f.lookUp(1, "a")
		if len(f.attempts) != 1 || f.lastAttempt().Source != caches[5] {
			t.Fatalf("%d attempts", len(f.attempts))
		}
	})
	t.Run("it names a parent while no origin is ready", func(t *testing.T) {
		f, caches := start(t)
		f.updateEndpoint(caches[5], Draining, 0)
		f.lookUp(1, "a")
		if got := f.lastAttempt().Source; got.Kind != 1 {
			t.Fatalf("by %s", got.Name)
		}
	})
	t.Run("it names a parent where its scope names sources and the origin is none of them", func(t *testing.T) {
		f, caches := start(t)
		f.scope = &Scope{Sources: map[string]bool{caches[3].Name: true}}
		f.lookUp(1, "a")
		if got := f.lastAttempt().Source; got != caches[3] {
			t.Fatalf("by %s", got.Name)
		}
	})
}

// Which source a fill has after failures.
func TestSourceFailures(t *testing.T) {
	t.Run("a parent whose fills fail is skipped; with none left the origin serves", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		for i := range 60 {
			f.lookUp(0, fmt.Sprint(i))
			for s := f.lastAttempt(); !s.lookup.Ended(); s = f.lastAttempt() {
				if s.Source.Kind == 2 {
					f.endAttempt(s, OutcomeSatisfied, DetailFilledFromOrigin, 100*millisecond)
					continue
				}
				f.endAttempt(s, OutcomeRejected, DetailSourceBroke, 10*millisecond)
				f.advance(50 * millisecond)
			}
		}
		if !caches[3].ejected || !caches[4].ejected {
			t.Fatal("a parent is not ejected")
		}
		if s := f.lastAttempt(); s.Source != caches[5] {
			t.Fatalf("filled from %s", s.Source.Name)
		}
	})
	t.Run("an unexplained error moves the next attempt to another parent", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "a")
		first := f.lastAttempt()
		f.endAttempt(first, OutcomeError, DetailNone, 10*millisecond)
		f.advance(100 * millisecond)
		if len(f.attempts) != 2 || f.lastAttempt().Source == first.Source {
			t.Fatalf("%d attempts, the last filled from %s again", len(f.attempts), f.lastAttempt().Source.Name)
		}
	})
	t.Run("a draining parent is the source of no fill", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		f.updateEndpoint(caches[3], Draining, 0)
		for i := range 50 {
			f.lookUp(0, fmt.Sprint("o", i))
			if s := f.lastAttempt(); s.Source == caches[3] || s.Cache.State != Ready {
				t.Fatalf("lookup %d goes to %s filled from %s", i, s.Cache.Name, s.Source.Name)
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, 10*millisecond)
		}
	})
}
