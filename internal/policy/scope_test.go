package policy

import (
	"fmt"
	"testing"
)

// A scope narrows what a lookup is sent to and filled from, and nothing else.
func TestScope(t *testing.T) {
	t.Run("only the caches and parents in it", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		for i := range 40 {
			f.scope = &Scope{Caches: map[string]bool{"c1": true, "c2": true}, Sources: map[string]bool{"c4": true}}
			f.lookUp(0, fmt.Sprint(i))
			if s := f.lastAttempt(); len(f.attempts) != i+1 || s.Cache == caches[0] || s.Source != caches[4] {
				t.Fatalf("%s from %s", s.Cache.Name, s.Source.Name)
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
		}
	})
	t.Run("the home of the object where that is in it", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		for i := range 40 {
			f.lookUp(0, fmt.Sprint(i))
			home := f.lastAttempt().Cache
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
			f.scope = &Scope{Caches: map[string]bool{home.Name: true, "c1": true}}
			f.lookUp(0, fmt.Sprint(i))
			if f.lastAttempt().Cache != home {
				t.Fatalf("%s, not %s", f.lastAttempt().Cache.Name, home.Name)
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
		}
	})
	t.Run("it is of one lookup only", func(t *testing.T) {
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
	t.Run("no cache in it: rejected at once", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.scope = &Scope{Caches: map[string]bool{}}
		f.lookUp(0, "a")
		if len(f.attempts) != 0 || !f.lastCallIs("reject") {
			t.Errorf("%v", f.calls)
		}
	})
}

// A scope bounds retries and the age of copies too.
func TestScopeBounds(t *testing.T) {
	t.Run("no budget for a retry: given up at once", func(t *testing.T) {
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
				t.Errorf("%d attempts, asked %d times, %v", len(f.attempts), asked, f.calls)
			}
		}
	})
	t.Run("a max age of its own, where that is stricter", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		for _, x := range []struct {
			kind         int
			MaxAge, want Micros
		}{{0, 0, 0}, {0, second, second}, {1, second, second}, {1, 60 * second, 8 * second}} {
			f.scope = &Scope{MaxAge: x.MaxAge}
			f.lookUp(x.kind, "a")
			if got := f.lastAttempt().MaxAge; got != x.want {
				t.Errorf("%+v: %d", x, got)
			}
		}
	})
}
