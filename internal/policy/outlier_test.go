package policy

import (
	"fmt"
	"testing"
)

// withLatencyBudget sets the latency budget of kind 0.
func withLatencyBudget(budget Micros) func(*Settings) {
	return func(settings *Settings) { settings.Kinds[0].LatencyBudget = budget }
}

// serveHits brings hits of 1 KB until every edge cache has enough samples or the first one is ejected. The first takes the latency slow, the
// others usual. It returns the first.
func (f *fixture) serveHits(caches []*Cache, slow, usual Micros) *Cache {
	slowCache := caches[0]
	isMeasured := func() bool {
		return caches[0].latency.count >= 2*latencySamples && caches[1].latency.count >= 2*latencySamples
	}
	for i := 0; i < 3000 && !isMeasured(); i++ {
		f.lookUpSized(0, fmt.Sprint("o", i), 1)
		attempt, latency := f.lastAttempt(), usual
		if attempt.Cache == slowCache {
			latency = slow
		}
		f.now += latency
		f.endAttempt(attempt, OutcomeSatisfied, DetailHit, latency)
		if slowCache.ejected {
			break
		}
	}
	return slowCache
}

// newFixtureWithSlowCache starts a router that has ejected its first edge cache for its latency alone.
func newFixtureWithSlowCache(t *testing.T) (*fixture, *Cache) {
	t.Helper()
	f, caches := newFixture(t, nil)
	slow := f.serveHits(caches, 100*millisecond, 5*millisecond)
	if !slow.ejected || !slow.isOnlySlow {
		t.Fatal("not ejected as slow")
	}
	return f, slow
}

// A ratio alone says nothing where latencies are next to nothing.
func TestLatencyThresholds(t *testing.T) {
	t.Run("microseconds a KB are not slow, whatever their ratio", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		if c := f.serveHits(caches, 50, 2); c.ejected {
			t.Error("ejected for 48 us a KB of a budget of 400 ms")
		}
	})
	t.Run("under a small and a large latency budget the same share of it is slow", func(t *testing.T) {
		for _, b := range []Micros{10 * millisecond, 400 * millisecond, 4 * second} {
			f, caches := newFixture(t, withLatencyBudget(b))
			if c := f.serveHits(caches, b/20, b/100); c.ejected {
				t.Errorf("budget %d us: ejected for 4%% of it", b)
			}
			f, caches = newFixture(t, withLatencyBudget(b))
			if c := f.serveHits(caches, b/5, b/100); !c.ejected {
				t.Errorf("budget %d us: not ejected for 19%% of it", b)
			}
		}
	})
	t.Run("no more than half of a zone's caches are ejected when one more is slow", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		f.router.eject(caches[1], "unreachable")
		f.router.eject(caches[2], "unreachable")
		for range 2 * latencySamples {
			f.router.recordLatency(caches[1], f.router.edges, latencySample{latency: float64(millisecond), size: 1})
			f.router.recordLatency(caches[0], f.router.edges, latencySample{latency: float64(second), size: 1})
		}
		if caches[0].ejected {
			t.Error("the last one is ejected for its latency")
		}
	})
}

// A cache that is only slow is used where no other is left.
func TestLastUsableCache(t *testing.T) {
	t.Run("where a scope leaves only one that is slow, lookups go to it, several at a time", func(t *testing.T) {
		f, slow := newFixtureWithSlowCache(t)
		for i := range 3 {
			f.scope = &Scope{Caches: map[string]bool{slow.Name: true}}
			if lookup := f.lookUpSized(0, fmt.Sprint("only", i), 1); lookup.ended || f.lastAttempt().lookup != lookup || f.lastAttempt().Cache != slow {
				t.Fatalf("lookup %d is rejected: %v", i, f.calls)
			}
		}
	})
	t.Run("while others are left it gets probes alone", func(t *testing.T) {
		f, slow := newFixtureWithSlowCache(t)
		for i := range 30 {
			if f.lookUpSized(0, fmt.Sprint("any", i), 1); f.lastAttempt().Cache == slow {
				t.Fatal("it gets a lookup before its probe is due")
			}
		}
	})
	for name, fail := range map[string]func(f *fixture, c *Cache){
		"is silent":          func(_ *fixture, c *Cache) { c.overdueCount = 1 },
		"fails its probe":    func(f *fixture, c *Cache) { f.router.countFailures(c, 1, 1, "probe failed") },
		"is unreachable too": func(f *fixture, c *Cache) { f.router.eject(c, "unreachable") },
	} {
		t.Run("one that is slow and "+name+" is not used, though no other is left", func(t *testing.T) {
			f, slow := newFixtureWithSlowCache(t)
			fail(f, slow)
			f.scope = &Scope{Caches: map[string]bool{slow.Name: true}}
			if lookup := f.lookUpSized(0, "only", 1); !lookup.ended {
				t.Error("it goes there")
			}
		})
	}
}

// A cache far slower than its like is ejected.
func TestSlowCaches(t *testing.T) {
	t.Run("a cache far slower than the others of its zone is ejected", func(t *testing.T) {
		f, caches := newFixture(t, withoutReports)
		slow := caches[0]
		for i := range 200 {
			f.lookUp(0, fmt.Sprint("o", i))
			s := f.lastAttempt()
			latency := 100 * millisecond
			if s.Cache == slow {
				latency = second
			}
			f.endAttempt(s, OutcomeSatisfied, DetailNone, latency)
			f.advance(10 * millisecond)
		}
		if !slow.ejected {
			t.Fatal("the slow cache is in use")
		}
		for _, c := range caches[1:3] {
			if c.ejected {
				t.Fatalf("%s is ejected", c.Name)
			}
		}
	})
	t.Run("where hits are reported, slow fills do not eject the cache that takes them", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		for i := range 200 {
			f.lookUp(0, fmt.Sprint("o", i))
			s, latency, detail := f.lastAttempt(), 100*millisecond, DetailHit
			if s.Cache == caches[0] {
				latency, detail = second, DetailFilled
			}
			f.endAttempt(s, OutcomeSatisfied, detail, latency)
			f.advance(10 * millisecond)
		}
		if caches[0].ejected {
			t.Fatal("a cache is ejected for the time of its fills")
		}
	})
}

// The same for parents.
func TestSlowParents(t *testing.T) {
	t.Run("where fills are not reported, a parent four times slower than the other is ejected", func(t *testing.T) {
		f, caches := newFixture(t, withoutReports)
		slow := caches[3]
		for i := range 200 {
			f.lookUp(0, fmt.Sprint("o", i))
			s := f.lastAttempt()
			latency := 100 * millisecond
			if s.Source == slow {
				latency = 400 * millisecond
			}
			f.endAttempt(s, OutcomeSatisfied, DetailNone, latency)
			f.advance(10 * millisecond)
		}
		if !slow.ejected || caches[4].ejected {
			t.Fatalf("slow parent ejected %v, the other %v", slow.ejected, caches[4].ejected)
		}
	})
}
