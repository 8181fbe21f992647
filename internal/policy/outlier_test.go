package policy

import (
	"fmt"
	"testing"
)

// Outlier ejection by time: a ratio alone says nothing where the times are next to nothing, and whoever is ejected is used again
// where no other is left.
func TestOutliers(t *testing.T) {
	// hits brings so many hits of 1 KB to each edge, the first of them as slow as told, and tells who that is.
	hits := func(f *fixture, all []*Cache, slow, usual Micros, among func(*Cache) bool) *Cache {
		lagged := all[0]
		for i := 0; i < 3000 && (all[0].latency.count < 2*latencySamples || all[1].latency.count < 2*latencySamples); i++ {
			f.lookUpSized(0, fmt.Sprint("o", i), 1)
			s, took := f.lastAttempt(), usual
			if s.Cache == lagged {
				took = slow
			}
			f.now += took
			f.endAttempt(s, OutcomeSatisfied, DetailHit, took)
			if lagged.ejected && among == nil {
				break
			}
		}
		return lagged
	}
	budget := func(b Micros) func(*Settings) {
		return func(its *Settings) { its.Kinds[0].LatencyBudget = b }
	}
	t.Run("microseconds a KB are no lag, whatever their ratio", func(t *testing.T) {
		f, all := newFixture(t, nil)
		if c := hits(f, all, 50, 2, nil); c.ejected {
			t.Error("out by 48 us a KB of a budget of 400 ms")
		}
	})
	t.Run("under a small and a large latency budget the same part of it is a lag", func(t *testing.T) {
		for _, b := range []Micros{10 * millisecond, 400 * millisecond, 4 * second} {
			f, all := newFixture(t, budget(b))
			if c := hits(f, all, b/20, b/100, nil); c.ejected {
				t.Errorf("budget %d us: out by 4%% of it", b)
			}
			f, all = newFixture(t, budget(b))
			if c := hits(f, all, b/5, b/100, nil); !c.ejected {
				t.Errorf("budget %d us: in, though it lags by 19%% of it", b)
			}
		}
	})
	t.Run("no more than half of a location's caches are out when one more lags", func(t *testing.T) {
		f, all := newFixture(t, nil)
		f.router.eject(all[1], "unreachable")
		f.router.eject(all[2], "unreachable")
		for range 2 * latencySamples {
			f.router.recordLatency(all[1], f.router.edges, latencySample{latency: float64(millisecond), size: 1})
			f.router.recordLatency(all[0], f.router.edges, latencySample{latency: float64(second), size: 1})
		}
		if all[0].ejected {
			t.Error("the last one is put out for its times")
		}
	})
	// lag puts out the first edge for its times.
	lag := func(f *fixture, all []*Cache) *Cache {
		if c := hits(f, all, 100*millisecond, 5*millisecond, nil); !c.ejected || !c.isOnlySlow {
			t.Fatal("it does not lag")
		}
		return all[0]
	}
	t.Run("where routes leave none but one that lags, lookups go to it, several at a time", func(t *testing.T) {
		f, all := newFixture(t, nil)
		c := lag(f, all)
		for i := range 3 {
			f.scope = &Scope{Caches: map[string]bool{c.Name: true}}
			if lk := f.lookUpSized(0, fmt.Sprint("only", i), 1); lk.ended || f.lastAttempt().lookup != lk || f.lastAttempt().Cache != c {
				t.Fatalf("lookup %d is refused: %v", i, f.calls)
			}
		}
	})
	t.Run("while others are left it gets trials alone", func(t *testing.T) {
		f, all := newFixture(t, nil)
		c := lag(f, all)
		for i := range 30 {
			if f.lookUpSized(0, fmt.Sprint("any", i), 1); f.lastAttempt().Cache == c {
				t.Fatal("it gets a lookup before its trial is due")
			}
		}
	})
	for what, ail := range map[string]func(f *fixture, c *Cache){
		"is silent":          func(_ *fixture, c *Cache) { c.overdueCount = 1 },
		"fails its trial":    func(f *fixture, c *Cache) { f.router.countFailures(c, 1, 1, "trial failed") },
		"is unreachable too": func(f *fixture, c *Cache) { f.router.eject(c, "unreachable") },
	} {
		t.Run("one that lags and "+what+" is not used, though no other is left", func(t *testing.T) {
			f, all := newFixture(t, nil)
			c := lag(f, all)
			ail(f, c)
			f.scope = &Scope{Caches: map[string]bool{c.Name: true}}
			if lk := f.lookUpSized(0, "only", 1); !lk.ended {
				t.Error("it goes there")
			}
		})
	}
}
