package policy

import (
	"fmt"
	"testing"
)

// TestScope checks that a scope restricts the caches and sources of its lookup. It must neither change the home cache
// of an object within the scope nor affect other lookups.
func TestScope(t *testing.T) {
	t.Run("only the caches and parents of the scope are used", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		for i := range 40 {
			f.scope = &Scope{Caches: map[string]bool{"c1": true, "c2": true}, Sources: map[string]bool{"c4": true}}
			f.lookUp(0, fmt.Sprint(i))
			if s := f.lastAttempt(); len(f.attempts) != i+1 || s.Cache == caches[0] || s.Source != caches[4] {
				t.Fatalf("an attempt at %s with source %s, outside the scope", s.Cache.Name, s.Source.Name)
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
		}
	})
	t.Run("the home cache of the object is used if it is in the scope", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		for i := range 40 {
			f.lookUp(0, fmt.Sprint(i))
			home := f.lastAttempt().Cache
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
			f.scope = &Scope{Caches: map[string]bool{home.Name: true, "c1": true}}
			f.lookUp(0, fmt.Sprint(i))
			if f.lastAttempt().Cache != home {
				t.Fatalf("the attempt went to %s instead of the home cache %s", f.lastAttempt().Cache.Name, home.Name)
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
		}
	})
	t.Run("a scope applies to one lookup only", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.scope = &Scope{Caches: map[string]bool{"c1": true}}
		f.lookUp(0, "a")
		seen := map[*Cache]bool{}
		for i := range 40 {
			f.lookUp(0, fmt.Sprint(i))
			seen[f.lastAttempt().Cache] = true
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
		}
		if len(seen) < 3 {
			t.Error(len(seen))
		}
	})
	t.Run("a scope without caches rejects the lookup immediately", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.scope = &Scope{Caches: map[string]bool{}}
		f.lookUp(0, "a")
		if len(f.attempts) != 0 || !f.lastCallIs("reject") {
			t.Errorf("calls %v, want a reject", f.calls)
		}
	})
}

// TestScopeBounds checks the bounds that a scope sets on retries and on the age of copies.
func TestScopeBounds(t *testing.T) {
	t.Run("an exhausted retry budget ends the lookup immediately", func(t *testing.T) {
		for _, effect := range []Effect{Idempotent, SideEffecting} {
			f, _ := newFixture(t, func(s *Settings) { s.Kinds[0].Effect = effect })
			asked := 0
			f.scope = &Scope{AllowRetry: func() bool { asked++; return asked < 2 }}
			f.lookUp(0, "a")
			for range 3 {
				if len(f.calls) == 0 || f.lastCallIs("subscribe") {
					f.endAttempt(f.lastAttempt(), OutcomeRejected, DetailNone, millisecond)
					f.advance(120 * millisecond)
				}
			}
			if len(f.attempts) != 2 || asked != 2 || !f.lastCallIs("reject") {
				t.Errorf("%d attempts, AllowRetry called %d times, calls %v; want 2, 2 and a reject",
					len(f.attempts), asked, f.calls)
			}
		}
	})
	t.Run("the maximum age of the scope applies if it is lower than that of the object kind", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		for _, x := range []struct {
			kind         int
			MaxAge, want Micros
		}{{0, 0, 0}, {0, second, second}, {1, second, second}, {1, 60 * second, 8 * second}} {
			f.scope = &Scope{MaxAge: x.MaxAge}
			f.lookUp(x.kind, "a")
			if got := f.lastAttempt().MaxAge; got != x.want {
				t.Errorf("%+v: the attempt has a maximum age of %d us", x, got)
			}
		}
	})
}
