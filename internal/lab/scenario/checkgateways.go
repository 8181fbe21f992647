package scenario

import (
	"time"

	"foldslip/internal/discovery"
)

const (
	idlesPerGatewayCheck        = 4                       // calls of checkIdle per check of the gateways' counts
	idlesPerAssumedNotification = 256                     // calls of checkIdle per call of assumeNotified
	assumedNotifiedAfter        = 7 * time.Second         // age of an event at which a gateway counts as notified of it
	minReachable                = 4500 * time.Millisecond // time for which that gateway must have been reachable
	lookupsPerMB                = 8                       // lookups for which a gateway has room, per MB of its memory limit
)

// gatewayKilled ends the lookups that a killed process had not answered.
func (c *checker) gatewayKilled(process *gatewayProcess) {
	for _, id := range sortedKeys(c.lookups) {
		if l := c.lookups[id]; l.process == process && !l.ended {
			c.lookupEnded(l, outcomeGatewayGone)
		}
	}
}

// gatewayEnded checks a process that has ended without being killed. It must have been
// terminated, and must have answered what it received.
func (c *checker) gatewayEnded(process *gatewayProcess, err error) {
	process.ended = true
	process.endedAt = c.now()
	if err != nil || process.terminatedAt == 0 {
		c.violated(ruleCrash, "%s ended without being terminated, or with an error: %v", process.name(), err)
		return
	}
	c.scenario.after(0, func() { c.checkReleased(process) })
	for _, id := range sortedKeys(c.lookups) {
		l := c.lookups[id]
		if l.process != process || l.ended {
			continue
		}
		if l.receivedAt > 0 && l.receivedAt < process.terminatedAt+terminateGrace && l.conn.end.IsAccepted() && !l.conn.isSplit {
			c.violated(ruleOneAnswer, "%s ended without an answer to lookup %s, received %v after SIGTERM", process.name(), l.id, l.receivedAt-process.terminatedAt)
		}
		c.lookupEnded(l, outcomeGatewayGone)
	}
}

// checkReleased checks that a process has released its goroutines, timers and descriptors at its end.
func (c *checker) checkReleased(process *gatewayProcess) {
	goroutines, timers, descriptors := process.process.Resources()
	if goroutines > 0 || timers > 0 || descriptors > 0 {
		c.violated(ruleLeak, "%s has ended without releasing %d goroutines (%s), %d timers, %d descriptors", process.name(), goroutines,
			process.process.GoroutineNames(), timers, descriptors)
	}
}

// checkIdle runs whenever all goroutines wait. At each fourth call it checks the counts of all gateways.
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

// checkCounts checks the counts that a gateway reports against its connections and its limits.
func (c *checker) checkCounts(g *gatewayActor, process *gatewayProcess) {
	load := process.instance.Load()
	atCallers, streams := 0, 0
	if process.extproc != nil {
		atCallers = process.extproc.AttemptsOut()
		streams = process.extproc.openStreams()
	}
	if load.OpenAttempts != load.ConnAttempts+load.QueuedAttempts+atCallers {
		c.violated(ruleInFlight, "%s: the module counts %d open attempts, but its connections count %d, %d wait to be written and %d are at callers",
			process.name(), load.OpenAttempts, load.ConnAttempts, load.QueuedAttempts, atCallers)
	}
	if capacity := int(g.memoryMB * lookupsPerMB); load.Lookups > 4*capacity || load.ClientConns > g.descriptors/2+1 {
		c.violated(ruleBounds, "%s holds %d lookups (capacity %d) and %d client connections with %d descriptors", process.name(), load.Lookups, capacity,
			load.ClientConns, g.descriptors)
	}
	inFlight := 0
	for conn := range process.conns { // a sum does not depend on the order
		inFlight += len(conn.attempts)
	}
	if inFlight > load.ConnAttempts {
		c.violated(ruleInFlight, "%s has %d attempts in flight on its connections but counts %d", process.name(), inFlight, load.ConnAttempts)
	}
	if load.Sessions > discovery.MaxSessions {
		c.violated(ruleBounds, "%s has %d discovery sessions, at most %d are allowed", process.name(), load.Sessions, discovery.MaxSessions)
	}
	// The other descriptors are the listeners and one connection that is being accepted or closed.
	const others = 2
	_, _, descriptors := process.process.Resources()
	if descriptors > load.ClientConns+load.CacheConns+load.Sessions+streams+others+min(1, streams) && process.terminatedAt == 0 {
		c.violated(ruleLeak, "%s holds %d descriptors for %d client connections and %d cache connections", process.name(), descriptors, load.ClientConns,
			load.CacheConns)
	}
}

// assumeNotified marks gateways as notified of events that were published more than assumedNotifiedAfter ago, if the
// gateway has been reachable from discovery for more than minReachable.
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

// checkEnd checks, at the end of a run, that all gateways have ended and that
// all lookups that they received were answered.
func (c *checker) checkEnd() {
	for _, g := range c.scenario.gateways {
		if g.current != nil && !g.current.ended {
			c.violated(ruleStop, "%s has not ended at the end of the run", g.current.name())
		}
	}
	unanswered := 0
	for _, l := range c.lookups {
		if !l.ended && l.receivedAt > 0 {
			unanswered++
		}
	}
	if unanswered > 0 && len(c.violations) == 0 {
		c.violated(ruleOneAnswer, "%d lookups have no answer at the end of the run", unanswered)
	}
}
