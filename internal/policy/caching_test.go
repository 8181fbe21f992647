package policy

import (
	"fmt"
	"slices"
	"testing"
)

// Copies rank by size over recent lookups, whose counts are bounded.
func TestCacheRank(t *testing.T) {
	t.Run("ranks rise as size over count falls", func(t *testing.T) {
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
	t.Run("a size out of all bounds is rejected at once and hardly counts", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "usual")
		f.lookUpSized(0, "odd", 1e9)
		if len(f.attempts) != 1 || len(f.calls) != 1 || f.router.kinds[0].meanWork(f.now) > float64(f.router.kinds[0].Deadline) {
			t.Errorf("%d attempts, %v, mean %.0f", len(f.attempts), f.calls, f.router.kinds[0].meanWork(f.now))
		}
	})
	t.Run("ever new objects keep the counts bounded, and purges go with them", func(t *testing.T) {
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
			t.Errorf("%d counts left", len(f.router.lookupCounts))
		}
		f.advance(2 * countDecayInterval)
		if len(f.router.purges) != 0 {
			t.Error("a purge is kept that no copy can be older than")
		}
	})
}

// A purge bounds the age of copies (rule 5).
func TestPurges(t *testing.T) {
	t.Run("no copy older than a purge, and never an age of 0", func(t *testing.T) {
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
	t.Run("a purge bounds the age of copies at once, however old it is", func(t *testing.T) {
		for _, grace := range []Micros{300 * millisecond, 500 * millisecond} {
			f, _ := newFixture(t, nil)
			f.router.ApplyPurge(f.now, "a", 3, grace/10)
			f.lookUp(0, "a")
			if s := f.lastAttempt(); s.MaxAge == 0 || s.MaxAge > grace/10+millisecond {
				t.Fatalf("grace %d: a copy of %d us is allowed", grace, s.MaxAge)
			}
		}
	})
}
