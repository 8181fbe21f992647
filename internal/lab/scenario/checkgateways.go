package scenario

import "time"

const (
	idlesPerGatewayCheck        = 4
	idlesPerAssumedNotification = 256
	assumedNotifiedAfter        = 7 * time.Second         // from its publication an event counts as known to a gateway that could receive it
	minReachable                = 4500 * time.Millisecond // that such a gateway must have been reachable
	lookupsPerMB                = 8                       // of a gateway's memory limit
)

// gatewayKilled ends what a killed process owed.
func (c *checker) gatewayKilled(process *gatewayProcess) {
	for _, id := range sortedKeys(c.lookups) {
		if l := c.lookups[id]; l.process == process && !l.ended {
			c.lookupEnded(l, outcomeGatewayGone)
		}
	}
}

// gatewayEnded checks a process that has ended by itself.
func (c *checker) gatewayEnded(process *gatewayProcess, err error) {
	process.ended = true
	process.endedAt = c.now()
	if err != nil || process.terminatedAt == 0 {
		c.violated(ruleCrash, "%s ended by itself: %v", process.name(), err)
		return
	}
	c.scenario.after(0, func() { c.checkReleased(process) })
	for _, id := range sortedKeys(c.lookups) {
		l := c.lookups[id]
		if l.process != process || l.ended {
			continue
		}
		if l.receivedAt > 0 && l.receivedAt < process.terminatedAt+terminateGrace && l.conn.end.IsAccepted() && !l.conn.isSplit {
			c.violated(ruleOneAnswer, "%s ended and left %s, taken %v after SIGTERM, without an answer", process.name(), l.id, l.receivedAt-process.terminatedAt)
		}
		c.lookupEnded(l, outcomeGatewayGone)
	}
}

// checkReleased checks that a process that has ended left nothing.
func (c *checker) checkReleased(process *gatewayProcess) {
	goroutines, timers, descriptors := process.process.Resources()
	if goroutines > 0 || timers > 0 || descriptors > 0 {
		c.violated(ruleLeak, "%s has ended and left %d goroutines (%s), %d timers, %d descriptors", process.name(), goroutines,
			process.process.GoroutineNames(), timers, descriptors)
	}
}

// checkIdle checks what must hold whenever all goroutines wait.
func (c *checker) checkIdle() {
	c.idleCount++
	if c.idleCount%idlesPerGatewayCheck == 0 {
		for _, g := range c.scenario.gateways {
			if process := g.current; process != nil && !process.ended && process.instance != nil {
				c.checkCounts(g, process)
			}
		}
	}
	if c.idleCount%idlesPerAssumedNotification == 0 {
		c.assumeNotified()
	}
}

// checkCounts checks a gateway's own counts against its wires and its bounds.
func (c *checker) checkCounts(g *gatewayActor, process *gatewayProcess) {
	load := process.instance.Load()
	atCallers, streams := 0, 0
	if process.extproc != nil {
		atCallers = process.extproc.AttemptsOut()
		streams = process.extproc.openStreams()
	}
	if load.OpenAttempts != load.ConnAttempts+load.QueuedAttempts+atCallers {
		c.violated(ruleInFlight, "%s: the module counts %d sends, its connections %d, %d wait to be written, %d are at callers", process.name(),
			load.OpenAttempts, load.ConnAttempts, load.QueuedAttempts, atCallers)
	}
	if capacity := int(g.memoryMB * lookupsPerMB); load.Lookups > 4*capacity || load.ClientConns > g.descriptors/2+1 {
		c.violated(ruleBounds, "%s holds %d lookups (room %d), %d clients of %d descriptors", process.name(), load.Lookups, capacity, load.ClientConns,
			g.descriptors)
	}
	inFlight := 0
	for conn := range process.conns { // a sum: the order does not matter
		inFlight += len(conn.attempts)
	}
	if inFlight > load.ConnAttempts {
		c.violated(ruleInFlight, "%s: %d sends are out on its wires, it counts %d", process.name(), inFlight, load.ConnAttempts)
	}
	// Beside these there are the listeners, the discovery watch, and one connection that is being accepted or closed.
	const others = 3
	_, _, descriptors := process.process.Resources()
	if descriptors > load.ClientConns+load.CacheConns+streams+others+min(1, streams) && process.terminatedAt == 0 {
		c.violated(ruleLeak, "%s holds %d descriptors for %d clients and %d connections to caches", process.name(), descriptors, load.ClientConns,
			load.CacheConns)
	}
}

// assumeNotified has events that were published long ago count as known to gateways that could receive them.
func (c *checker) assumeNotified() {
	s, now := c.scenario, c.now()
	for _, g := range s.gateways {
		process := g.current
		if process == nil || process.ended {
			continue
		}
		server := s.discoveryServers[g.discoveryIndex]
		if server.down || server.silent || server.lag > 0 || s.sim.IsSplit(groupGateways, groupDiscovery) || g.host.Vanished {
			process.cutOffAt = now
		}
		wasReachable := now-max(process.startedAt, process.cutOffAt) > minReachable
		for _, event := range s.events {
			if process.notifiedAt(event.Number) == 0 && now-event.publishedAt > assumedNotifiedAfter && wasReachable {
				process.markNotified(event.Number, now)
			}
		}
	}
}

// checkEnd checks what must hold at the end of a run.
func (c *checker) checkEnd() {
	for _, g := range c.scenario.gateways {
		if g.current != nil && !g.current.ended {
			c.violated(ruleStop, "%s has not ended", g.current.name())
		}
	}
	unanswered := 0
	for _, l := range c.lookups {
		if !l.ended && l.receivedAt > 0 {
			unanswered++
		}
	}
	if unanswered > 0 && len(c.violations) == 0 {
		c.violated(ruleOneAnswer, "%d lookups were never answered", unanswered)
	}
}
