package scenario

import "time"

// capacityShare is the share of its capacity that a cold cache has.
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

// checkColdLoad counts work that is sent to a cold cache; too much breaks rule 4. Only attempts of gateways that were
// notified of the start count: before that, a cache that vanished and came back under its id looks like one that hung. Nor does what was on its
// way when the notice came, and arrives within socketSlack of it.
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
	more := edgeOverloadFactor
	if c.flavor == flavorParent {
		more = parentOverloadFactor
	}
	most := more * share * c.size * overloadWindow.Seconds()
	if sum.Seconds() > most && c.scenario.Plan.ColdStart != nil && c.scenario.Plan.ColdStart.StartFrom != startFromList {
		c.scenario.earlyLookups.Overloads++ // it fails, and restarts cold
		c.stop(false)
		c.scenario.after(overloadRestart, func() {
			if !c.up {
				c.start(c.scenario.sim.Now())
				c.startEvent = 1
			}
		})
		return
	}
	if sum.Seconds() > most {
		c.scenario.checker.violated("rule 4", "cold %s was sent %.2f s of work within %v, bears %.2f", c.id, sum.Seconds(), overloadWindow, most)
	}
}
