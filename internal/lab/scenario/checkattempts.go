package scenario

import (
	"slices"
	"time"

	"foldslip/internal/lab/simenv"
)

// attemptSent checks an attempt that a gateway has written completely, and follows it. firstByteAt is when it began to write.
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
	c.scenario.sim.Note(simenv.StepAttempt, request.id, "", int64(len(l.attempts)))
	if c.scenario.hooks.onAttempt != nil {
		c.scenario.hooks.onAttempt(c.scenario, conn, request)
	}
}

// matchesLookup checks that an attempt says what its client's lookup says.
func (c *checker) matchesLookup(process *gatewayProcess, request *attemptRequest, l *lookup) bool {
	if l == nil || l.process != process {
		c.violated(ruleProtocol, "%s sends %s, which no client asked of it", process.name(), request.id)
		return false
	}
	hasSameTag := request.etag == "" || request.etag == l.etag
	if request.object != l.object || request.part != l.part || request.kind != l.kindSettings().name || !hasSameTag || request.body != l.body {
		c.violated(ruleProtocol, "%s sends %s with other fields than its client's: %s %s/%d", process.name(), request.id, request.kind, request.object,
			request.part)
		return false
	}
	return true
}

// mayBeSent checks that a lookup may have one more attempt at a cache.
func (c *checker) mayBeSent(conn *cacheConn, request *attemptRequest, l *lookup, firstByteAt time.Duration) bool {
	process, cacheID := conn.process, conn.cache.id
	if l.ended && !l.clientGone && firstByteAt > l.conn.answeredAt {
		c.violated(ruleOneAnswer, "%s sends %s to %s after its final answer", process.name(), request.id, cacheID)
	}
	if l.clientGone && l.clientGoneAt > 0 && !l.conn.isSplit && firstByteAt > l.clientGoneAt+cancelGrace {
		c.violated(ruleClientGone, "%s sends %s to %s %v after its client left", process.name(), request.id, cacheID, firstByteAt-l.clientGoneAt)
	}
	for _, other := range l.attempts {
		if other.inFlight {
			c.violated(ruleOneAttempt, "%s has %s out at %s and sends it to %s", process.name(), request.id, other.conn.cache.id, cacheID)
			return false
		}
	}
	if len(l.attempts) >= maxAttempts {
		c.violated(ruleProtocol, "%s sends %s more than %d times", process.name(), request.id, maxAttempts)
	}
	if !c.mayUseCache(process, "sends to", cacheID, firstByteAt) || !c.mayUseCache(process, "names as source", request.source, firstByteAt) {
		return false
	}
	if process.reliesOnStoredList() && (process.actor.knownDraining[cacheID] || process.actor.knownDraining[request.source]) {
		c.violated(ruleDrained, "%s sends to %s (source %q), of which its list on disk knows that it drains", process.name(), cacheID, request.source)
		return false
	}
	return true
}

// mayUseCache checks that a gateway does not use a cache that it was notified drains or is gone, past the grace.
func (c *checker) mayUseCache(process *gatewayProcess, use, cacheID string, firstByteAt time.Duration) bool {
	event := c.drainEvents[cacheID]
	if event == 0 {
		return true
	}
	notified := process.notifiedAt(event)
	if notified == 0 || firstByteAt <= notified+drainGrace+socketSlack {
		return true
	}
	c.violated(ruleDrained, "%s %s %s, told %v ago that it drains or is gone", process.name(), use, cacheID, firstByteAt-notified)
	return false
}

// hasValidSource checks that the source of an attempt is a parent or the origin; a kept list may name one that is no more.
func (c *checker) hasValidSource(process *gatewayProcess, request *attemptRequest) bool {
	if request.source == "" {
		return true
	}
	source := c.scenario.byID[request.source]
	isUnknown := source == nil && c.scenario.Plan.ColdStart == nil
	if isUnknown || source != nil && source.flavor == flavorEdge {
		c.violated(ruleProtocol, "%s names %q as a source", process.name(), request.source)
		return false
	}
	return true
}

// attemptEnded notes that an attempt has ended and that its gateway knows it.
func (c *checker) attemptEnded(a *attempt) {
	a.inFlight = false
	c.outcomeArrived(a)
}

// outcomeArrived notes that a gateway knows the outcome of an attempt.
func (c *checker) outcomeArrived(a *attempt) {
	if a.awaited {
		a.awaited = false
		a.lookup.lastInFlight = c.now()
	}
}

// attemptCancelled notes that a gateway has cancelled an attempt.
func (c *checker) attemptCancelled(conn *cacheConn, id string) {
	conn.attempts = slices.DeleteFunc(conn.attempts, func(a *attempt) bool {
		if a.lookup.id != id {
			return false
		}
		c.attemptEnded(a)
		return true
	})
}

// answerWritten notes that a cache writes the answer to an attempt now; the gateway has it once bytes up to endByte have arrived.
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

// connectionEndedAtCache notes that a cache has ended a connection: all attempts on it have ended. Their gateway knows it once the end has
// arrived, which a split network delays.
func (c *checker) connectionEndedAtCache(conn *cacheConn) {
	if conn.end == nil { // a proxy's request, which has no simulated connection
		c.connectionEnded(conn)
		return
	}
	for _, a := range conn.attempts {
		a.inFlight = false
	}
	conn.end.OnEndArrived = func() { c.connectionEnded(conn) }
}

// connectionEnded notes that a gateway knows of a connection's end: all attempts on it have ended.
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

// cacheAnswered notes a copy that a cache answers an attempt with.
func (c *checker) cacheAnswered(request *attemptRequest, answer *cachedCopy, notModified bool) {
	for _, a := range request.conn.attempts {
		if a.lookup.id == request.id {
			copied := *answer
			a.answers = append(a.answers, &copied)
			a.notModified = a.notModified || notModified
		}
	}
}

// effectRan checks that the effect of a lookup has run at the origin as often as its kind may.
func (c *checker) effectRan(request *attemptRequest, times int) {
	if request.kindSettings().effect != effectIdempotent && times > 1 {
		c.violated(ruleOneAttempt, "the effect of %s (%s, %s) has run %d times", request.object, request.kind, request.id, times)
	}
}
