package policy

import (
	"fmt"
	"testing"
)

// A pass-through lookup runs at the origin. A parent would only add latency to it.
func TestPassThroughNamesOrigin(t *testing.T) {
	start := func(t *testing.T) (*fixture, []*Cache) {
		return newFixture(t, func(s *Settings) { s.Kinds[1].PassThrough = true })
	}
	t.Run("a pass-through kind uses the origin, a cached kind uses a parent", func(t *testing.T) {
		f, caches := start(t)
		f.lookUp(1, "a")
		write := f.lastAttempt()
		f.lookUp(0, "a")
		if fill := f.lastAttempt(); write.Source != caches[5] || fill.Source.Kind != 1 {
			t.Fatalf("pass-through source %s, fill source %s, want the origin and a parent", write.Source.Name, fill.Source.Name)
		}
	})
	t.Run("also while parents warm up and fills are limited", func(t *testing.T) {
		f, caches := start(t)
		f.updateEndpoint(caches[3], Ready, f.now)
		f.updateEndpoint(caches[4], Ready, f.now)
		f.router.cutFillLimit()
		f.lookUp(1, "a")
		if len(f.attempts) != 1 || f.lastAttempt().Source != caches[5] {
			t.Fatalf("got %d attempts, want one with the origin as its source", len(f.attempts))
		}
	})
	t.Run("it uses a parent while the origin is not ready", func(t *testing.T) {
		f, caches := start(t)
		f.updateEndpoint(caches[5], Draining, 0)
		f.lookUp(1, "a")
		if got := f.lastAttempt().Source; got.Kind != 1 {
			t.Fatalf("got source %s, want a parent", got.Name)
		}
	})
	t.Run("it uses a parent if the sources in its scope do not include the origin", func(t *testing.T) {
		f, caches := start(t)
		f.scope = &Scope{Sources: map[string]bool{caches[3].Name: true}}
		f.lookUp(1, "a")
		if got := f.lastAttempt().Source; got != caches[3] {
			t.Fatalf("got source %s, want the parent in the scope", got.Name)
		}
	})
}

// After failed fills, lookups move to another parent or to the origin.
func TestSourceFailures(t *testing.T) {
	t.Run("parents whose fills fail are ejected, and with none left fills come from the origin", func(t *testing.T) {
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
			t.Fatal("a parent with failing fills was not ejected")
		}
		if s := f.lastAttempt(); s.Source != caches[5] {
			t.Fatalf("last fill came from %s, want the origin", s.Source.Name)
		}
	})
	t.Run("an unexplained error moves the next attempt to another parent", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "a")
		first := f.lastAttempt()
		f.endAttempt(first, OutcomeError, DetailNone, 10*millisecond)
		f.advance(100 * millisecond)
		if len(f.attempts) != 2 || f.lastAttempt().Source == first.Source {
			t.Fatalf("got %d attempts, the last with source %s, want 2 with different parents", len(f.attempts), f.lastAttempt().Source.Name)
		}
	})
	t.Run("a draining parent gets no fills", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		f.updateEndpoint(caches[3], Draining, 0)
		for i := range 50 {
			f.lookUp(0, fmt.Sprint("o", i))
			if s := f.lastAttempt(); s.Source == caches[3] || s.Cache.State != Ready {
				t.Fatalf("lookup %d went to %s with source %s", i, s.Cache.Name, s.Source.Name)
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, 10*millisecond)
		}
	})
}
