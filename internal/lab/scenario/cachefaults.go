package scenario

import (
	"fmt"
	"time"
)

// successor is a new cache in the place of another, cold.
func (d *Scenario) successor(c *cache, ip string) *cache {
	n := d.newCache(c.flavor, c.zone, ip, c.size)
	n.start(max(1, d.sim.Now()))
	for i, o := range d.caches {
		if o == c {
			d.caches[i] = n
		}
	}
	n.publishPhase("up", 0)
	return n
}

func (d *Scenario) newIP(c *cache) string {
	return fmt.Sprintf("10.1.%d.%d", 2+d.lastCacheID/200, 1+d.lastCacheID%200)
}

func (d *Scenario) publishDrain(c *cache, phase string, lag time.Duration) {
	d.after(lag, func() {
		if d.checker.drainEvents[c.id] == 0 {
			d.checker.drainEvents[c.id] = len(d.events) + 1
		}
		c.publishPhase(phase, 0)
	})
}

// isUndisturbed tells whether a cache is in its usual state, so that a fault can begin.
func (c *cache) isUndisturbed() bool { return c.up && c.phase == "up" && !c.hung }

// ofUndisturbedCache makes a fault of a cache that begins only where the one drawn is in its usual state.
func ofUndisturbedCache(begin func(*Scenario, *cache, Fault)) func(*Scenario, Fault) {
	return func(d *Scenario, f Fault) {
		if c := pick(d.caches, f.Target); c.isUndisturbed() {
			begin(d, c, f)
		}
	}
}

// restart is a machine that starts again, cold, under its id.
func (c *cache) restart() {
	c.start(c.scenario.sim.Now())
	c.publishPhase("up", 0)
}

func (d *Scenario) cacheKill(c *cache, f Fault) {
	c.phase = "going"
	c.stop(false)
	d.publishDrain(c, "removed", f.duration())
	d.after(f.duration()+time.Second, func() { d.successor(c, d.newIP(c)) })
}

func (d *Scenario) cacheBack(c *cache, f Fault) {
	c.stop(false)
	d.after(f.duration(), c.restart)
}

func (d *Scenario) cacheVanish(c *cache, f Fault) {
	c.stop(true)
	d.after(f.duration(), c.restart)
}

func (d *Scenario) cacheHang(c *cache, f Fault) {
	c.hung = true
	d.after(f.duration(), func() { c.hung = false })
}

func (d *Scenario) cacheDrain(c *cache, f Fault) {
	c.phase = "draining"
	d.publishDrain(c, "draining", 0)
	d.after(f.duration()+2500*time.Millisecond, func() {
		c.publishPhase("removed", 0)
		d.after(100*time.Millisecond, func() { c.stop(false) })
		d.after(400*time.Millisecond, func() { d.successor(c, d.newIP(c)) })
	})
}

func (d *Scenario) cacheReplace(c *cache, f Fault) {
	c.phase = "going"
	d.publishDrain(c, "draining", 0)
	d.after(f.duration(), func() {
		c.stop(false)
		c.publishPhase("removed", 0)
		d.after(200*time.Millisecond, func() { d.successor(c, c.host.IP) })
	})
}

func (d *Scenario) cacheSlow(f Fault) {
	c := pick(d.caches, f.Target)
	c.slowdown = float64(2 + f.Variant%10)
	d.after(f.duration(), func() { c.slowdown = 1 })
}

func (d *Scenario) cacheErrors(f Fault) {
	c := pick(d.caches, f.Target)
	c.failsAll = true
	d.after(f.duration(), func() { c.failsAll = false })
}

func (d *Scenario) coldMass(f Fault) {
	for i, c := range append([]*cache(nil), d.caches...) {
		if i%2 == f.Target%2 && c.isUndisturbed() {
			c.stop(false)
			d.after(time.Duration(500+f.Variant%1500)*time.Millisecond, c.restart)
		}
	}
}

func (d *Scenario) parentKill(f Fault) {
	p := pick(d.parents, f.Target)
	if !p.up {
		return
	}
	p.stop(false)
	d.after(f.duration(), p.restart)
}

func (d *Scenario) parentSlow(f Fault) {
	p := pick(d.parents, f.Target)
	p.slowdown = float64(5 + f.Variant%60)
	d.after(f.duration(), func() { p.slowdown = 1 })
}

func (d *Scenario) parentHang(f Fault) {
	p := pick(d.parents, f.Target)
	p.hung = true
	d.after(f.duration(), func() { p.hung = false })
}

func (d *Scenario) originSlow(f Fault) {
	d.origin.slowdown = float64(5 + f.Variant%50)
	d.after(f.duration(), func() { d.origin.slowdown = 1 })
}

func (d *Scenario) originGone(f Fault) {
	if !d.origin.up {
		return
	}
	d.origin.stop(false)
	d.after(f.duration(), func() { d.origin.start(0) })
}

func (d *Scenario) cacheStopsReading(c *cache, f Fault) {
	c.stopsReading = true
	for _, k := range c.conns {
		k.end.Stalled, k.end.Window = true, 150
	}
	d.after(f.duration(), func() {
		c.stopsReading = false
		for _, k := range append([]*cacheConn(nil), c.conns...) {
			k.end.Window = 0
			k.end.Resume()
		}
	})
}
