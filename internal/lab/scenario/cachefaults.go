package scenario

import (
	"fmt"
	"time"
)

// cacheFaultKinds returns the kinds of faults of caches, parents and the origin.
func cacheFaultKinds() []FaultKind {
	return []FaultKind{
		{"cache_kill", "a cache dies; discovery removes it later and a new cache replaces it", 500, 3000, 3, false, ofUndisturbedCache((*Scenario).cacheKill)},
		{"cache_back", "a cache dies and restarts cold under its id", 800, 6000, 2, false, ofUndisturbedCache((*Scenario).cacheBack)},
		{"cache_vanish", "a cache vanishes without closing its connections and restarts cold", 1500, 6000, 2, false, ofUndisturbedCache((*Scenario).cacheVanish)},
		{"cache_hang", "a cache accepts lookups and answers none", 1000, 6000, 2, false, ofUndisturbedCache((*Scenario).cacheHang)},
		{"cache_drain", "a cache drains, stops and is replaced", 800, 5000, 3, false, ofUndisturbedCache((*Scenario).cacheDrain)},
		{"cache_replace", "a cache is replaced under a new id at its old address", 300, 3000, 2, false, ofUndisturbedCache((*Scenario).cacheReplace)},
		{"cache_slow", "a cache is slow", 2000, 8000, 2, false, (*Scenario).cacheSlow},
		{"cache_errors", "a cache answers every request with an error", 1000, 6000, 2, false, (*Scenario).cacheErrors},
		{"cold_mass", "half of the caches stop at once and restart cold", 1000, 1000, 1, false, (*Scenario).coldMass},
		{"parent_kill", "a parent dies and restarts cold", 1000, 8000, 2, false, (*Scenario).parentKill},
		{"parent_slow", "a parent is slow", 2000, 8000, 1, false, (*Scenario).parentSlow},
		{"parent_hang", "a parent accepts fills and completes none", 2000, 6000, 1, false, (*Scenario).parentHang},
		{"origin_slow", "the origin is slow", 2000, 8000, 2, false, (*Scenario).originSlow},
		{"origin_gone", "the origin is down", 500, 4000, 1, false, (*Scenario).originGone},
	}
}

// replaceCache starts a new, cold cache that replaces another one, publishes its start and returns it.
func (s *Scenario) replaceCache(c *cache, ip string) *cache {
	successor := s.newCache(c.flavor, c.zone, ip, c.size)
	successor.start(max(1, s.sim.Now()))
	for i, o := range s.caches {
		if o == c {
			s.caches[i] = successor
		}
	}
	successor.publishPhase("up", 0)
	return successor
}

// newIP returns an address for the replacement of a cache.
func (s *Scenario) newIP(c *cache) string {
	return fmt.Sprintf("10.1.%d.%d", 2+s.lastCacheID/200, 1+s.lastCacheID%200)
}

// publishDrain publishes after a delay that a cache drains or is removed.
// The checker measures the drain from the first such event.
func (s *Scenario) publishDrain(c *cache, phase string, lag time.Duration) {
	s.after(lag, func() {
		if s.checker.drainEvents[c.id] == 0 {
			s.checker.drainEvents[c.id] = len(s.events) + 1
		}
		c.publishPhase(phase, 0)
	})
}

// isUndisturbed reports whether no other fault stops, drains or hangs the cache, so that a new one can begin.
func (c *cache) isUndisturbed() bool { return c.up && c.phase == "up" && !c.hung }

// ofUndisturbedCache returns the begin function of a cache fault that
// is skipped if another fault already affects the target.
func ofUndisturbedCache(begin func(*Scenario, *cache, Fault)) func(*Scenario, Fault) {
	return func(s *Scenario, f Fault) {
		if c := pick(s.caches, f.Target); c.isUndisturbed() {
			begin(s, c, f)
		}
	}
}

// restart starts the cache again under the same id, with a cold store, and publishes its start.
func (c *cache) restart() {
	c.start(c.scenario.sim.Now())
	c.publishPhase("up", 0)
}

func (s *Scenario) cacheKill(c *cache, f Fault) {
	c.phase = "going"
	c.stop(false)
	s.publishDrain(c, "removed", f.duration())
	s.after(f.duration()+time.Second, func() { s.replaceCache(c, s.newIP(c)) })
}

func (s *Scenario) cacheBack(c *cache, f Fault) {
	c.stop(false)
	s.after(f.duration(), c.restart)
}

func (s *Scenario) cacheVanish(c *cache, f Fault) {
	c.stop(true)
	s.after(f.duration(), c.restart)
}

func (s *Scenario) cacheHang(c *cache, f Fault) {
	c.hung = true
	s.after(f.duration(), func() { c.hung = false })
}

func (s *Scenario) cacheDrain(c *cache, f Fault) {
	c.phase = "draining"
	s.publishDrain(c, "draining", 0)
	s.after(f.duration()+2500*time.Millisecond, func() {
		c.publishPhase("removed", 0)
		s.after(100*time.Millisecond, func() { c.stop(false) })
		s.after(400*time.Millisecond, func() { s.replaceCache(c, s.newIP(c)) })
	})
}

func (s *Scenario) cacheReplace(c *cache, f Fault) {
	c.phase = "going"
	s.publishDrain(c, "draining", 0)
	s.after(f.duration(), func() {
		c.stop(false)
		c.publishPhase("removed", 0)
		s.after(200*time.Millisecond, func() { s.replaceCache(c, c.host.IP) })
	})
}

func (s *Scenario) cacheSlow(f Fault) {
	c := pick(s.caches, f.Target)
	c.slowdown = float64(2 + f.Variant%10)
	s.after(f.duration(), func() { c.slowdown = 1 })
}

func (s *Scenario) cacheErrors(f Fault) {
	c := pick(s.caches, f.Target)
	c.failsAll = true
	s.after(f.duration(), func() { c.failsAll = false })
}

func (s *Scenario) coldMass(f Fault) {
	for i, c := range append([]*cache(nil), s.caches...) {
		if i%2 == f.Target%2 && c.isUndisturbed() {
			c.stop(false)
			s.after(time.Duration(500+f.Variant%1500)*time.Millisecond, c.restart)
		}
	}
}

func (s *Scenario) parentKill(f Fault) {
	p := pick(s.parents, f.Target)
	if !p.up {
		return
	}
	p.stop(false)
	s.after(f.duration(), p.restart)
}

func (s *Scenario) parentSlow(f Fault) {
	p := pick(s.parents, f.Target)
	p.slowdown = float64(5 + f.Variant%60)
	s.after(f.duration(), func() { p.slowdown = 1 })
}

func (s *Scenario) parentHang(f Fault) {
	p := pick(s.parents, f.Target)
	p.hung = true
	s.after(f.duration(), func() { p.hung = false })
}

func (s *Scenario) originSlow(f Fault) {
	s.origin.slowdown = float64(5 + f.Variant%50)
	s.after(f.duration(), func() { s.origin.slowdown = 1 })
}

func (s *Scenario) originGone(f Fault) {
	if !s.origin.up {
		return
	}
	s.origin.stop(false)
	s.after(f.duration(), func() { s.origin.start(0) })
}

func (s *Scenario) cacheStopsReading(c *cache, f Fault) {
	c.stopsReading = true
	for _, conn := range c.conns {
		conn.end.Stalled, conn.end.Window = true, 150
	}
	s.after(f.duration(), func() {
		c.stopsReading = false
		for _, conn := range append([]*cacheConn(nil), c.conns...) {
			conn.end.Window = 0
			conn.end.Resume()
		}
	})
}
