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
	deadline time.Time // it is given up then
	conn     *cacheConn
	sequence int64 // in the order in which attempts were added to connections

	deadlineTimer env.Timer
	silenceTimer  env.Timer // nil until its connection is up

	// Guarded by the connection's lock:
	line     line // its number is 0 while the connection is not up
	sentAt   time.Time
	isSilent bool // nothing came within its silence timeout
}

func (a *attempt) stopTimers() {
	a.deadlineTimer.Stop()
	if a.silenceTimer != nil {
		a.silenceTimer.Stop()
	}
}

// hasBegun reports whether its line has begun to be written, under the connection's lock. One that has not can be withdrawn, whatever the
// settings say of giving up: the cache has seen nothing of it.
func (a *attempt) hasBegun() bool {
	return a.line.number > 0 && a.line.number <= a.conn.linesBegun
}

// attemptsInOrder returns attempts in the order in which they were added, so that simulated runs repeat exactly.
func attemptsInOrder(attempts map[string]*attempt) []*attempt {
	return slices.SortedFunc(maps.Values(attempts), func(a, b *attempt) int { return cmp.Compare(a.sequence, b.sequence) })
}

// givenUpAttempt is an attempt that was given up and whose outcome is reported once a line is out: its cancel line, or its own line where
// none was written.
type givenUpAttempt struct {
	attempt    *attempt
	outcome    policy.AttemptOutcome
	lineNumber int64
}

// Start sends an attempt to its cache, or reports at once why it cannot.
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
			// As if the cache had rejected it: it never ran, the cache does not count as failed, and after a pause the policy looks for
			// one that is connected. Reported as not sent, the policy would choose the same cache again at once.
			p.reportOutcome(a, policy.OutcomeRejected, policy.DetailNone, 0)
			return
		}
		if conn.add(a) {
			return
		}
	}
}

// CancelAttempt gives up one attempt of a lookup, by its number, unless it has ended.
func (p *Pool) CancelAttempt(lookup *Lookup, number int) {
	for _, a := range lookup.attempts {
		if a.step.Attempt == number {
			p.giveUp(a, policy.OutcomeCancelled)
		}
	}
}

// CancelAll gives up all attempts of a lookup that are still open.
func (p *Pool) CancelAll(lookup *Lookup) {
	for _, a := range lookup.attempts {
		p.giveUp(a, policy.OutcomeCancelled)
	}
}

// giveUp gives an attempt up, unless it has ended. Where the settings allow no cancelling the cache is not told, and only an attempt that
// the cache has seen nothing of is withdrawn before its deadline.
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
	case !a.hasBegun(): // its connection is not up, or it waits behind what the cache does not take
		c.queuedBytes -= len(a.line.text)
		a.line.text = nil
		outcome = policy.OutcomeNotSent
	case canCancel && !c.closed:
		// The cancel line goes behind the attempt's own, which it cannot overtake. The attempt has ended once that is out: the lookup's
		// next attempt must not be on its way before.
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

// reportOutcome tells the dispatcher how an attempt ended, once.
func (p *Pool) reportOutcome(a *attempt, outcome policy.AttemptOutcome, detail policy.OutcomeDetail, sourceWait policy.Micros) {
	p.dispatcher.AttemptEnded(a.lookup.Dispatched, a.step.Attempt, outcome, detail, sourceWait)
	p.openAttempts.Add(-1)
}
