package policy

import (
	"fmt"
	"testing"
)

// withLatencyBudget sets the latency budget of kind 0.
func withLatencyBudget(budget Micros) func(*Settings) {
	return func(settings *Settings) { settings.Kinds[0].LatencyBudget = budget }
}

// serveHits answers lookups of 1 KB with hits until the first two caches have enough samples or the first
// one is ejected. The first cache answers after slow, the others after usual. It returns the first cache.
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

// newFixtureWithSlowCache returns a router that has ejected its first edge cache only for its latency.
func newFixtureWithSlowCache(t *testing.T) (*fixture, *Cache) {
	t.Helper()
	f, caches := newFixture(t, nil)
	slow := f.serveHits(caches, 100*millisecond, 5*millisecond)
	if !slow.ejected || !slow.isOnlySlow {
		t.Fatal("the first cache was not ejected as slow")
	}
	return f, slow
}

// Very small latencies can differ by a large factor without any harm. A cache is
// therefore slow only if its latency also exceeds that of the others by a floor.
func TestLatencyThresholds(t *testing.T) {
	t.Run("a latency of microseconds per KB is not slow, whatever the ratio", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		if c := f.serveHits(caches, 50, 2); c.ejected {
			t.Error("a cache was ejected for 48 us per KB under a latency budget of 400 ms")
		}
	})
	t.Run("the latency at which a cache is slow scales with the latency budget", func(t *testing.T) {
		for _, b := range []Micros{10 * millisecond, 400 * millisecond, 4 * second} {
			f, caches := newFixture(t, withLatencyBudget(b))
			if c := f.serveHits(caches, b/20, b/100); c.ejected {
				t.Errorf("latency budget %d us: the cache was ejected for 4%% of it", b)
			}
			f, caches = newFixture(t, withLatencyBudget(b))
			if c := f.serveHits(caches, b/5, b/100); !c.ejected {
				t.Errorf("latency budget %d us: the cache was not ejected for 19%% of it", b)
			}
		}
	})
	t.Run("a slow cache is not ejected if that would leave less than half of the zone's caches", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		f.router.eject(caches[1], "unreachable")
		f.router.eject(caches[2], "unreachable")
		for range 2 * latencySamples {
			f.router.recordLatency(caches[1], f.router.edges, latencySample{latency: float64(millisecond), size: 1})
			f.router.recordLatency(caches[0], f.router.edges, latencySample{latency: float64(second), size: 1})
		}
		if caches[0].ejected {
			t.Error("the last cache in use was ejected for its latency")
		}
	})
}

// A cache that was ejected only for its latency is used if no other usable cache is left.
func TestLastUsableCache(t *testing.T) {
	t.Run("concurrent lookups go to the slow cache if their scope allows no other", func(t *testing.T) {
		f, slow := newFixtureWithSlowCache(t)
		for i := range 3 {
			f.scope = &Scope{Caches: map[string]bool{slow.Name: true}}
			if lookup := f.lookUpSized(0, fmt.Sprint("only", i), 1); lookup.ended || f.lastAttempt().lookup != lookup || f.lastAttempt().Cache != slow {
				t.Fatalf("lookup %d did not go to the slow cache: calls %v", i, f.calls)
			}
		}
	})
	t.Run("while other caches are usable, the slow cache gets only probes", func(t *testing.T) {
		f, slow := newFixtureWithSlowCache(t)
		for i := range 30 {
			if f.lookUpSized(0, fmt.Sprint("any", i), 1); f.lastAttempt().Cache == slow {
				t.Fatal("the slow cache got a lookup before its probe was due")
			}
		}
	})
	for name, fail := range map[string]func(f *fixture, c *Cache){
		"is silent":          func(_ *fixture, c *Cache) { c.overdueCount = 1 },
		"fails its probe":    func(f *fixture, c *Cache) { f.router.countFailures(c, 1, 1, "probe failed") },
		"is unreachable too": func(f *fixture, c *Cache) { f.router.eject(c, "unreachable") },
	} {
		t.Run("a slow cache that "+name+" is not used, even if no other is left", func(t *testing.T) {
			f, slow := newFixtureWithSlowCache(t)
			fail(f, slow)
			f.scope = &Scope{Caches: map[string]bool{slow.Name: true}}
			if lookup := f.lookUpSized(0, "only", 1); !lookup.ended {
				t.Error("the lookup went to the ejected cache")
			}
		})
	}
}

// A cache that is far slower than the other edge caches of its zone is ejected.
func TestSlowCaches(t *testing.T) {
	t.Run("without reports of hits, a cache with ten times the latency is ejected", func(t *testing.T) {
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
			t.Fatal("the slow cache was not ejected")
		}
		for _, c := range caches[1:3] {
			if c.ejected {
				t.Fatalf("%s was ejected although it is not slow", c.Name)
			}
		}
	})
	t.Run("with reports of hits, slow fills do not eject the edge cache", func(t *testing.T) {
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
			t.Fatal("an edge cache was ejected for the latency of its fills")
		}
	})
}

// A parent that is far slower than the others is ejected.
func TestSlowParents(t *testing.T) {
	t.Run("without reports of fills, a parent with four times the latency is ejected", func(t *testing.T) {
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
			t.Fatalf("slow parent ejected: %v, other parent ejected: %v, want only the slow one", slow.ejected, caches[4].ejected)
		}
	})
}
