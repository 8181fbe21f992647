package scenario

import (
	"slices"
	"time"

	"foldslip/internal/lab/simenv"
)

// attemptSent checks an attempt that a gateway has written completely, and starts to track it. firstByteAt
// is when the gateway wrote the first byte of it.
func (c *checker) attemptSent(conn *cacheConn, request *attemptRequest, firstByteAt time.Duration) {
	process := conn.process
	if process == nil || process.ended {
		return
	}
	l := c.lookups[request.id]
	if !c.matchesLookup(process, request, l) {
		return
	}
	if !c.mayBeSent(conn, request, l, firstByteAt) {
		return
	}
	if c.scenario.Plan.changesRoutes() {
		c.checkRoutes(l, conn.cache.id)
	}
	if !c.hasValidSource(process, request) {
		return
	}
	a := &attempt{lookup: l, conn: conn, firstByteAt: firstByteAt, inFlight: true, awaited: true}
	l.attempts = append(l.attempts, a)
	conn.attempts = append(conn.attempts, a)
	c.scenario.sim.RecordStep(simenv.StepAttempt, request.id, "", int64(len(l.attempts)))
	if c.scenario.hooks.onAttempt != nil {
		c.scenario.hooks.onAttempt(c.scenario, conn, request)
	}
}

// matchesLookup checks that the fields of an attempt are those of a lookup that its gateway received.
func (c *checker) matchesLookup(process *gatewayProcess, request *attemptRequest, l *lookup) bool {
	if l == nil || l.process != process {
		c.violated(ruleProtocol, "%s sends an attempt for lookup %s, which it did not receive from any client", process.name(), request.id)
		return false
	}
	hasSameTag := request.etag == "" || request.etag == l.etag
	if request.object != l.object || request.part != l.part || request.kind != l.kindSettings().name || !hasSameTag || request.body != l.body {
		c.violated(ruleProtocol, "%s sends an attempt for lookup %s whose fields differ from the lookup: %s %s/%d", process.name(), request.id,
			request.kind, request.object, request.part)
		return false
	}
	return true
}

// mayBeSent checks that a gateway may send one more attempt of a lookup to a cache.
func (c *checker) mayBeSent(conn *cacheConn, request *attemptRequest, l *lookup, firstByteAt time.Duration) bool {
	process, cacheID := conn.process, conn.cache.id
	if l.ended && !l.clientGone && firstByteAt > l.conn.answeredAt {
		c.violated(ruleOneAnswer, "%s sends lookup %s to %s after its final answer", process.name(), request.id, cacheID)
	}
	if l.clientGone && l.clientGoneAt > 0 && !l.conn.isSplit && firstByteAt > l.clientGoneAt+cancelGrace {
		c.violated(ruleClientGone, "%s sends lookup %s to %s %v after its client left", process.name(), request.id, cacheID, firstByteAt-l.clientGoneAt)
	}
	for _, other := range l.attempts {
		if other.inFlight {
			c.violated(ruleOneAttempt, "%s has an attempt of lookup %s in flight at %s and sends it to %s", process.name(), request.id,
				other.conn.cache.id, cacheID)
			return false
		}
	}
	if len(l.attempts) >= maxAttempts {
		c.violated(ruleProtocol, "%s sends lookup %s more than %d times", process.name(), request.id, maxAttempts)
	}
	if !c.mayUseCache(process, "sends to", cacheID, firstByteAt) || !c.mayUseCache(process, "names as source", request.source, firstByteAt) {
		return false
	}
	if process.reliesOnStoredList() && (process.actor.knownDraining[cacheID] || process.actor.knownDraining[request.source]) {
		c.violated(ruleDrained, "%s sends to %s (source %q), but its list on disk says that one of them drains", process.name(), cacheID, request.source)
		return false
	}
	return true
}

// mayUseCache checks that a gateway does not use a cache more than drainGrace
// after it was notified of its drain or removal.
func (c *checker) mayUseCache(process *gatewayProcess, use, cacheID string, firstByteAt time.Duration) bool {
	event := c.drainEvents[cacheID]
	if event == 0 {
		return true
	}
	notified := process.notifiedAt(event)
	if notified == 0 || firstByteAt <= notified+drainGrace+socketSlack {
		return true
	}
	c.violated(ruleDrained, "%s %s %s, %v after it was notified that the cache drains or has been removed", process.name(), use, cacheID,
		firstByteAt-notified)
	return false
}

// hasValidSource checks that the source of an attempt is a parent or the origin. In a cold start the
// stored list may name a cache that no longer exists.
func (c *checker) hasValidSource(process *gatewayProcess, request *attemptRequest) bool {
	if request.source == "" {
		return true
	}
	source := c.scenario.byID[request.source]
	isUnknown := source == nil && c.scenario.Plan.ColdStart == nil
	if isUnknown || source != nil && source.flavor == flavorEdge {
		c.violated(ruleProtocol, "%s names %q as a source, expected a parent or the origin", process.name(), request.source)
		return false
	}
	return true
}

// attemptEnded records that an attempt has ended and that its gateway has the outcome.
func (c *checker) attemptEnded(a *attempt) {
	a.inFlight = false
	c.outcomeArrived(a)
}

// outcomeArrived records that the outcome of an attempt has reached its gateway.
func (c *checker) outcomeArrived(a *attempt) {
	if a.awaited {
		a.awaited = false
		a.lookup.lastInFlight = c.now()
	}
}

// attemptCancelled records that a gateway has cancelled an attempt.
func (c *checker) attemptCancelled(conn *cacheConn, id string) {
	conn.attempts = slices.DeleteFunc(conn.attempts, func(a *attempt) bool {
		if a.lookup.id != id {
			return false
		}
		c.attemptEnded(a)
		return true
	})
}

// answerWritten records that a cache writes the answer to an attempt now. The answer reaches the gateway when the first
// endByte bytes of the connection have arrived there.
func (c *checker) answerWritten(request *attemptRequest, endByte int) {
	conn := request.conn
	conn.attempts = slices.DeleteFunc(conn.attempts, func(a *attempt) bool {
		if a.lookup.id != request.id {
			return false
		}
		a.inFlight = false
		conn.pendingAnswers = append(conn.pendingAnswers, pendingAnswer{endByte, a})
		return true
	})
}

// connectionEndedAtCache records that a cache has ended a connection, and with it all attempts on it. The gateway
// learns of it when the end of the connection arrives, which a network split delays.
func (c *checker) connectionEndedAtCache(conn *cacheConn) {
	if conn.end == nil { // a caller's request, which has no simulated connection
		c.connectionEnded(conn)
		return
	}
	for _, a := range conn.attempts {
		a.inFlight = false
	}
	conn.end.OnEndArrived = func() { c.connectionEnded(conn) }
}

// connectionEnded records that a gateway has learned of the end of a
// connection. All attempts on the connection have ended.
func (c *checker) connectionEnded(conn *cacheConn) {
	for _, a := range conn.attempts {
		c.attemptEnded(a)
	}
	for _, pending := range conn.pendingAnswers {
		c.outcomeArrived(pending.attempt)
	}
	conn.attempts = nil
	conn.pendingAnswers = nil
}

// cacheAnswered records the copy with which a cache answers an attempt.
func (c *checker) cacheAnswered(request *attemptRequest, answer *cachedCopy, notModified bool) {
	for _, a := range request.conn.attempts {
		if a.lookup.id == request.id {
			copied := *answer
			a.answers = append(a.answers, &copied)
			a.notModified = a.notModified || notModified
		}
	}
}

// effectRan checks the number of times that the effect of a lookup has run at the origin.
// Only an idempotent effect may run more than once.
func (c *checker) effectRan(request *attemptRequest, times int) {
	if request.kindSettings().effect != effectIdempotent && times > 1 {
		c.violated(ruleOneAttempt, "the effect of object %s (%s, lookup %s) has run %d times, expected at most once", request.object, request.kind,
			request.id, times)
	}
}
