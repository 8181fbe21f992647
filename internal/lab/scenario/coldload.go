package scenario

import "time"

// capacityShare returns the share of its full capacity that a cache has now. It rises linearly from the cold share at
// the start of the cache to 1 at the end of its warmup.
func (c *cache) capacityShare(now time.Duration) float64 {
	from, span := edgeColdShare, edgeWarmup
	if c.flavor == flavorParent {
		from, span = parentColdShare, parentWarmup
	}
	if c.startedAt == 0 || now >= c.startedAt+span {
		return 1
	}
	return from + (1-from)*float64(now-c.startedAt)/float64(span)
}

// checkColdLoad adds work to the recent load of a cold cache and checks rule 4, which limits the load on cold caches.
//
// Only attempts of gateways that were notified of the start of the cache count. Before the notification, a cache that
// vanished and came back under the same ID looks like a cache that hung. An attempt that was in flight when the
// notification came, and arrives within socketSlack of it, does not count either. If a cache is cold from the start of
// the scenario, attempts of gateways that were not notified count too.
func (c *cache) checkColdLoad(p *gatewayProcess, work, firstByteAt time.Duration) {
	now := c.scenario.sim.Now()
	if c.startEvent == 0 || p == nil {
		return
	}
	notified := p.notifiedAt(c.startEvent)
	if notified == 0 && c.startedAt != startedAtBegin || firstByteAt < notified && now <= notified+socketSlack {
		return
	}
	share := c.capacityShare(now)
	if share >= 1 || c.flavor == flavorOrigin {
		c.recentWork = nil
		return
	}
	c.recentWork = append(c.recentWork, timedWork{now, work})
	sum := time.Duration(0)
	kept := c.recentWork[:0]
	for _, w := range c.recentWork {
		if now-w.at <= overloadWindow {
			kept = append(kept, w)
			sum += w.work
		}
	}
	c.recentWork = kept
	factor := edgeOverloadFactor
	if c.flavor == flavorParent {
		factor = parentOverloadFactor
	}
	limit := factor * share * c.size * overloadWindow.Seconds()
	if sum.Seconds() > limit && c.scenario.Plan.ColdStart != nil && c.scenario.Plan.ColdStart.StartFrom != startFromList {
		c.scenario.earlyLookups.Overloads++ // the cache fails, and restarts cold after overloadRestart
		c.stop(false)
		c.scenario.after(overloadRestart, func() {
			if !c.up {
				c.start(c.scenario.sim.Now())
				c.startEvent = 1
			}
		})
		return
	}
	if sum.Seconds() > limit {
		c.scenario.checker.violated("rule 4", "cold %s received %.2f s of work within %v, expected at most %.2f s", c.id, sum.Seconds(), overloadWindow, limit)
	}
}
