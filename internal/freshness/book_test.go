package freshness

import (
	"testing"
	"time"
)

var startTime = time.Unix(1764576000, 0)

func newTestTracker(list History, n int, its Evidence) *Tracker {
	b := NewTracker(list, startTime)
	for i := range n {
		b.Add(string(rune('a'+i)), false, its)
	}
	b.Add("p", true, its)
	return b
}

func (b *Tracker) confidenceOf(id string) Confidence {
	b.Changes()
	return b.byID[id].reported.Confidence
}

func TestTracker(t *testing.T) {
	young := Evidence{Age: time.Minute}
	see := func(b *Tracker, id string, what Observation, n int, after time.Duration) {
		for range n {
			b.Observe(id, what, startTime.Add(after))
		}
	}
	t.Run("however young the list, nothing is trusted before it has answered", func(t *testing.T) {
		b := newTestTracker(History{CacheHours: 1e6}, 3, Evidence{Age: time.Millisecond})
		if got := b.confidenceOf("a"); got != OnProbation {
			t.Error(got)
		}
	})
	t.Run("hits without a miss make a cache trusted, and it stays so", func(t *testing.T) {
		b := newTestTracker(History{}, 3, young)
		see(b, "a", Hit, 5, time.Second)
		if got := b.confidenceOf("a"); got != Confirmed {
			t.Fatal(got)
		}
		see(b, "a", Miss, 5, time.Second)
		if got := b.confidenceOf("a"); got != Confirmed {
			t.Error(got)
		}
	})
	t.Run("hits among misses do not", func(t *testing.T) {
		b := newTestTracker(History{}, 3, young)
		for range 10 {
			see(b, "a", Hit, 1, time.Second)
			see(b, "a", Miss, 1, time.Second)
		}
		if got := b.confidenceOf("a"); got != OnProbation {
			t.Error(got)
		}
	})
	t.Run("nor do late hits: a cold cache has filled up", func(t *testing.T) {
		b := newTestTracker(History{}, 3, young)
		see(b, "a", Hit, 100, hitEvidenceWindow)
		if got := b.confidenceOf("a"); got != OnProbation {
			t.Error(got)
		}
	})
	t.Run("a parent needs more hits, and one miss undoes many", func(t *testing.T) {
		b := newTestTracker(History{}, 3, young)
		see(b, "p", Hit, 5, 0)
		if got := b.confidenceOf("p"); got != OnProbation {
			t.Error(got)
		}
		see(b, "p", Miss, 1, 0)
		see(b, "p", Hit, 5, 0)
		if got := b.confidenceOf("p"); got != OnProbation {
			t.Error(got)
		}
	})
	t.Run("what some proved counts for others", func(t *testing.T) {
		warm, cold := newTestTracker(History{}, 8, young), newTestTracker(History{}, 8, young)
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			see(warm, id, Hit, 6, 0)
			see(cold, id, Miss, 4, 0)
		}
		see(warm, "f", Hit, 3, 0)
		see(cold, "f", Hit, 4, 0)
		if a, b := warm.confidenceOf("f"), cold.confidenceOf("f"); a != Confirmed || b != OnProbation {
			t.Error(a, b)
		}
	})
	t.Run("two broken sends prove an entry wrong, an answer right again", func(t *testing.T) {
		b := newTestTracker(History{}, 3, young)
		see(b, "a", Failure, 1, 0)
		if got := b.confidenceOf("a"); got != OnProbation {
			t.Error(got)
		}
		see(b, "a", Failure, 5, 0)
		if by, right, wrong := b.Count(); b.confidenceOf("a") != Suspect || right != 0 || wrong != 1 {
			t.Error(by, right, wrong)
		}
		see(b, "a", Response, 1, 0)
		if _, right, wrong := b.Count(); b.confidenceOf("a") != OnProbation || right != 1 || wrong != 0 {
			t.Error(right, wrong)
		}
	})
	t.Run("one that answered and then breaks is the module's to judge", func(t *testing.T) {
		b := newTestTracker(History{}, 3, young)
		see(b, "a", Response, 1, 0)
		see(b, "a", Failure, 9, 0)
		if _, right, wrong := b.Count(); right != 1 || wrong != 0 {
			t.Error(right, wrong)
		}
	})
	t.Run("many that prove wrong put the others in doubt", func(t *testing.T) {
		b := newTestTracker(History{}, 12, Evidence{Age: 200 * time.Hour})
		if got := b.confidenceOf("l"); got != OnProbation {
			t.Fatal(got)
		}
		for i := range 10 {
			see(b, string(rune('a'+i)), Failure, 2, 0)
		}
		if got := b.confidenceOf("l"); got != Suspect {
			t.Error(got)
		}
	})
	t.Run("verdicts are told once each", func(t *testing.T) {
		b := newTestTracker(History{}, 3, young)
		if n := len(b.Changes()); n != 4 {
			t.Error(n)
		}
		if n := len(b.Changes()); n != 0 {
			t.Error(n)
		}
		b.Observe("nobody", Hit, startTime)
		b.Add("a", false, Evidence{Withdrawn: true})
		if n := len(b.Changes()); n != 0 {
			t.Error(n)
		}
	})
}
