package freshness

import (
	"testing"
	"time"
)

var dawn = time.Unix(1764576000, 0)

func book(list List, n int, its Entry) *Book {
	b := NewBook(list, dawn)
	for i := range n {
		b.Enter(string(rune('a'+i)), false, its)
	}
	b.Enter("p", true, its)
	return b
}

func (b *Book) of(id string) Standing {
	b.Verdicts()
	return b.by[id].told.Standing
}

func TestBook(t *testing.T) {
	young := Entry{Age: time.Minute}
	see := func(b *Book, id string, what Sight, n int, after time.Duration) {
		for range n {
			b.Saw(id, what, dawn.Add(after))
		}
	}
	t.Run("however young the list, nothing is trusted before it has answered", func(t *testing.T) {
		b := book(List{Hours: 1e6}, 3, Entry{Age: time.Millisecond})
		if got := b.of("a"); got != OnTrial {
			t.Error(got)
		}
	})
	t.Run("hits without a miss make a cache trusted, and it stays so", func(t *testing.T) {
		b := book(List{}, 3, young)
		see(b, "a", Found, 5, time.Second)
		if got := b.of("a"); got != Trusted {
			t.Fatal(got)
		}
		see(b, "a", Fetched, 5, time.Second)
		if got := b.of("a"); got != Trusted {
			t.Error(got)
		}
	})
	t.Run("hits among misses do not", func(t *testing.T) {
		b := book(List{}, 3, young)
		for range 10 {
			see(b, "a", Found, 1, time.Second)
			see(b, "a", Fetched, 1, time.Second)
		}
		if got := b.of("a"); got != OnTrial {
			t.Error(got)
		}
	})
	t.Run("nor do late hits: a cold cache has filled up", func(t *testing.T) {
		b := book(List{}, 3, young)
		see(b, "a", Found, 100, hitsTell)
		if got := b.of("a"); got != OnTrial {
			t.Error(got)
		}
	})
	t.Run("a parent needs more hits, and one miss undoes many", func(t *testing.T) {
		b := book(List{}, 3, young)
		see(b, "p", Found, 5, 0)
		if got := b.of("p"); got != OnTrial {
			t.Error(got)
		}
		see(b, "p", Fetched, 1, 0)
		see(b, "p", Found, 5, 0)
		if got := b.of("p"); got != OnTrial {
			t.Error(got)
		}
	})
	t.Run("what some proved counts for others", func(t *testing.T) {
		warm, cold := book(List{}, 8, young), book(List{}, 8, young)
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			see(warm, id, Found, 6, 0)
			see(cold, id, Fetched, 4, 0)
		}
		see(warm, "f", Found, 3, 0)
		see(cold, "f", Found, 4, 0)
		if a, b := warm.of("f"), cold.of("f"); a != Trusted || b != OnTrial {
			t.Error(a, b)
		}
	})
	t.Run("two broken sends prove an entry wrong, an answer right again", func(t *testing.T) {
		b := book(List{}, 3, young)
		see(b, "a", Broken, 1, 0)
		if got := b.of("a"); got != OnTrial {
			t.Error(got)
		}
		see(b, "a", Broken, 5, 0)
		if by, right, wrong := b.Count(); b.of("a") != Doubted || right != 0 || wrong != 1 {
			t.Error(by, right, wrong)
		}
		see(b, "a", Word, 1, 0)
		if _, right, wrong := b.Count(); b.of("a") != OnTrial || right != 1 || wrong != 0 {
			t.Error(right, wrong)
		}
	})
	t.Run("one that answered and then breaks is the module's to judge", func(t *testing.T) {
		b := book(List{}, 3, young)
		see(b, "a", Word, 1, 0)
		see(b, "a", Broken, 9, 0)
		if _, right, wrong := b.Count(); right != 1 || wrong != 0 {
			t.Error(right, wrong)
		}
	})
	t.Run("many that prove wrong put the others in doubt", func(t *testing.T) {
		b := book(List{}, 12, Entry{Age: 200 * time.Hour})
		if got := b.of("l"); got != OnTrial {
			t.Fatal(got)
		}
		for i := range 10 {
			see(b, string(rune('a'+i)), Broken, 2, 0)
		}
		if got := b.of("l"); got != Doubted {
			t.Error(got)
		}
	})
	t.Run("verdicts are told once each", func(t *testing.T) {
		b := book(List{}, 3, young)
		if n := len(b.Verdicts()); n != 4 {
			t.Error(n)
		}
		if n := len(b.Verdicts()); n != 0 {
			t.Error(n)
		}
		b.Saw("nobody", Found, dawn)
		b.Enter("a", false, Entry{Left: true})
		if n := len(b.Verdicts()); n != 0 {
			t.Error(n)
		}
	})
}
