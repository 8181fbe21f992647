package upstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/policy"
)

// attempt is one request to a cache whose outcome has not been reported yet.
type attempt struct {
	lookup   *Lookup
	step     dispatch.Step
	deadline time.Time // when the attempt times out
	conn     *cacheConn
	sequence int64 // order in which attempts were added to connections

	deadlineTimer env.Timer
	silenceTimer  env.Timer // nil until the connection is up

	// Guarded by the connection's lock:
	line     line // its number is 0 until the connection is up
	sentAt   time.Time
	isSilent bool // the silence timeout has passed without a response
}

func (a *attempt) stopTimers() {
	a.deadlineTimer.Stop()
	if a.silenceTimer != nil {
		a.silenceTimer.Stop()
	}
}

// hasBegun reports whether writing of the attempt's line has begun. An attempt that has not begun can be
// withdrawn even if the settings do not allow cancelling, because the cache has received nothing of it.
// The caller holds the connection's lock.
func (a *attempt) hasBegun() bool {
	return a.line.number > 0 && a.line.number <= a.conn.linesBegun
}

// attemptsInOrder returns attempts in the order in which they were added to connections. The fixed order
// makes simulated runs repeatable.
func attemptsInOrder(attempts map[string]*attempt) []*attempt {
	return slices.SortedFunc(maps.Values(attempts), func(a, b *attempt) int { return cmp.Compare(a.sequence, b.sequence) })
}

// givenUpAttempt is an attempt that was given up and whose outcome has not been reported yet. The outcome is
// reported once the line with lineNumber has been written. That line is the attempt's cancel line or, for an
// attempt that was withdrawn before its own line was written, the place of its own line in the queue.
type givenUpAttempt struct {
	attempt    *attempt
	outcome    policy.AttemptOutcome
	lineNumber int64
}

// Start sends an attempt to its cache. If the attempt cannot be sent, Start reports its outcome at once.
func (p *Pool) Start(lookup *Lookup, step dispatch.Step) {
	cache := p.registry.Find(step.Cache.Name)
	if cache == nil || cache.Addr == "" {
		p.dispatcher.AttemptEnded(lookup.Dispatched, step.Attempt, policy.OutcomeConnectFailed, policy.DetailNone, 0)
		return
	}
	a := &attempt{lookup: lookup, step: step, deadline: p.env.Now().Add(time.Duration(step.Timeout) * time.Microsecond)}
	a.line.attempt = a
	lookup.attempts = append(lookup.attempts, a)
	p.openAttempts.Add(1)
	for {
		conn := p.pickConn(cache, lookup.ID)
		if conn == nil {
			// The outcome is the same as if the cache had rejected the attempt: the attempt never ran, the
			// cache does not count as failed, and after a pause the policy looks for a cache that has a
			// connection. If the outcome were "not sent", the policy would choose the same cache again at once.
			p.reportOutcome(a, policy.OutcomeRejected, policy.DetailNone, 0)
			return
		}
		if conn.add(a) {
			return
		}
	}
}

// CancelAttempt cancels the attempt of a lookup that has the given number, unless it has ended.
func (p *Pool) CancelAttempt(lookup *Lookup, number int) {
	for _, a := range lookup.attempts {
		if a.step.Attempt == number {
			p.giveUp(a, policy.OutcomeCancelled)
		}
	}
}

// CancelAll cancels all open attempts of a lookup.
func (p *Pool) CancelAll(lookup *Lookup) {
	for _, a := range lookup.attempts {
		p.giveUp(a, policy.OutcomeCancelled)
	}
}

// giveUp ends an attempt with an outcome, unless the attempt has already ended. If the settings do not allow
// cancelling, the cache is not told, and an attempt whose line has begun to be written stays open until its deadline.
func (p *Pool) giveUp(a *attempt, outcome policy.AttemptOutcome) {
	c := a.conn
	if c == nil {
		return
	}
	c.mu.Lock()
	canCancel := p.settings.Router.CanCancel
	if a.hasBegun() && outcome == policy.OutcomeCancelled && !canCancel || !c.remove(a, true) {
		c.mu.Unlock()
		return
	}
	switch {
	case !a.hasBegun(): // the connection is not up, or the line waits behind lines that the cache has not accepted
		c.queuedBytes -= len(a.line.text)
		a.line.text = nil
		outcome = policy.OutcomeNotSent
	case canCancel && !c.closed:
		// The cancel line is queued behind the attempt's own line and cannot overtake it. The outcome is reported
		// only once the cancel line has been written, so that the lookup's next attempt is not sent before it.
		cancelLine := &line{text: appendCancelLine(nil, a.lookup.ID)}
		c.queueLine(cancelLine)
		c.givenUp = append(c.givenUp, givenUpAttempt{a, outcome, cancelLine.number})
		c.mu.Unlock()
		c.flush()
		return
	}
	c.mu.Unlock()
	p.reportOutcome(a, outcome, policy.DetailNone, 0)
}

// reportOutcome reports the outcome of an attempt to the dispatcher. It is called once for each attempt.
func (p *Pool) reportOutcome(a *attempt, outcome policy.AttemptOutcome, detail policy.OutcomeDetail, sourceWait policy.Micros) {
	p.dispatcher.AttemptEnded(a.lookup.Dispatched, a.step.Attempt, outcome, detail, sourceWait)
	p.openAttempts.Add(-1)
}
