package policy

import (
	"fmt"
	"slices"
	"testing"
)

// The rank of a copy depends on its size divided by its recent lookups. The table of lookup counts is bounded.
func TestCacheRank(t *testing.T) {
	t.Run("the rank rises as size divided by count falls", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		var ranks []int
		for range 3 {
			f.lookUpSized(0, "big", 1000)
			ranks = append(ranks, f.lastAttempt().Rank)
		}
		for range 3 {
			f.lookUpSized(1, "small", 100)
			ranks = append(ranks, f.lastAttempt().Rank)
		}
		if !slices.Equal(ranks, []int{1, 2, 2, 1, 3, 3}) {
			t.Fatal(ranks)
		}
	})
	t.Run("a lookup of absurd size is rejected at once and hardly affects the mean work", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "usual")
		f.lookUpSized(0, "odd", 1e9)
		if len(f.attempts) != 1 || len(f.calls) != 1 || f.router.kinds[0].meanWork(f.now) > float64(f.router.kinds[0].Deadline) {
			t.Errorf("got %d attempts, calls %v and a mean work of %.0f us, want 1 attempt, 1 call and a mean below the deadline", len(f.attempts), f.calls, f.router.kinds[0].meanWork(f.now))
		}
	})
	t.Run("the counts stay bounded under ever new objects, and settled purges are deleted", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		for i := range maxCounts + 10 {
			f.router.StartLookup(f.now, Arrival{ID: fmt.Sprint(i), Object: fmt.Sprint("new", i), Group: 3, SizeKB: 1e9, Deadline: f.now + second})
			if i%20 == 0 {
				f.router.StartLookup(f.now, Arrival{ID: "u", Object: "usual", Group: 3, SizeKB: 1e9, Deadline: f.now + second})
			}
		}
		f.router.ApplyPurge(f.now, "usual", 0, 0)
		f.advance(sweepInterval)
		if len(f.router.lookupCounts) != 1 {
			t.Errorf("got %d lookup counts, want 1", len(f.router.lookupCounts))
		}
		f.advance(2 * countDecayInterval)
		if len(f.router.purges) != 0 {
			t.Error("a settled purge was not deleted")
		}
	})
}

// Rule 5: a purge bounds the maximum age of copies.
func TestPurges(t *testing.T) {
	t.Run("the maximum age excludes copies from before a purge and is never 0", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.router.ApplyPurge(f.now, "", 3, 0)
		f.lookUp(1, "a")
		if got := f.lastAttempt().MaxAge; got <= 0 || got > 10*millisecond {
			t.Fatal(got)
		}
		f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, 100*millisecond)
		f.advance(2 * second)
		f.lookUp(1, "a")
		if got := f.lastAttempt().MaxAge; got != 2*second {
			t.Fatal(got)
		}
	})
	t.Run("a purge bounds the maximum age at once, whatever its own age", func(t *testing.T) {
		for _, grace := range []Micros{300 * millisecond, 500 * millisecond} {
			f, _ := newFixture(t, nil)
			f.router.ApplyPurge(f.now, "a", 3, grace/10)
			f.lookUp(0, "a")
			if s := f.lastAttempt(); s.MaxAge == 0 || s.MaxAge > grace/10+millisecond {
				t.Fatalf("grace %d us: got a maximum age of %d us", grace, s.MaxAge)
			}
		}
	})
}
