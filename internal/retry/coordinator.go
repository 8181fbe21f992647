// Package retry joins the streams of one lookup whose attempts are made by another proxy, the caller: it requests the lookup, makes the attempt
// that it is answered, reports its end, and requests the lookup again for the next attempt. The Coordinator does no I/O and decides nothing:
// requests, steps of the dispatcher, reports, ends of streams and the time go in, Commands come out.
//
// A caller requests a lookup by its id, makes the one attempt that it is answered, reports its end on the same stream, and requests the lookup
// again under the same id when it is answered to. Whatever a caller does: a lookup has one final answer, no attempt is answered after
// it, never two at once, their number is limited, and all is freed in time. Only the caller can ensure that an attempt is made once, at
// that cache, and that its report is true. If a stream ends amid an attempt, the attempt may have run.
//
// A Coordinator is not safe for concurrent use: its owner calls it under a lock. Bounds: Limits.MaxLookups open, and as many remembered after
// their end, each for Limits.Retention.
package retry

import (
	"container/list"
	"maps"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
)

// Limits are the bounds of a Coordinator.
type Limits struct {
	MaxLookups    int           // open at once, past which they are answered AnswerFull
	MaxPerCaller  int           // of these
	ReturnTimeout time.Duration // within which a caller has to request a lookup again when it is answered to
	Retention     time.Duration // for which an ended lookup is remembered, so that a repeat is not taken for a new one
}

// What callers do against the contract, as Anomalies names it. The names stand in logs.
const (
	anomalyRequestOnBusyStream = "ask_on_busy_stream"
	anomalyRequestAfterAnswer  = "ask_after_answer"
	anomalyOpenElsewhere       = "ask_twice"
	anomalyReportOfNothing     = "report_of_nothing"
	anomalyUnknownReport       = "report_unknown"
	anomalyEndedAmidAttempt    = "stream_ended_with_send"
	anomalyNeverReported       = "never_reported"
	anomalyNeverReturned       = "never_asked_again"
)

// Coordinator holds the lookups of all callers. Make it with New.
type Coordinator struct {
	limits       Limits
	lookups      map[string]*Lookup // open and remembered, by Lookup.Key
	openCount    int
	openByCaller map[string]int
	ended        list.List // remembered *Lookup, oldest first
	timeouts     timeoutHeap
	sequence     uint64
	anomalies    map[string]int
}

// New makes a Coordinator without lookups.
func New(limits Limits) *Coordinator {
	return &Coordinator{
		limits:       limits,
		lookups:      map[string]*Lookup{},
		openByCaller: map[string]int{},
		anomalies:    map[string]int{},
	}
}

// OpenLookups is the number of open lookups.
func (c *Coordinator) OpenLookups() int { return c.openCount }

// Anomalies counts what callers did against the contract, by its name.
func (c *Coordinator) Anomalies() map[string]int { return maps.Clone(c.anomalies) }

// AttemptsOut is the number of attempts that are at their callers, or decided and not requested yet.
func (c *Coordinator) AttemptsOut() (count int) {
	for _, lookup := range c.lookups {
		if lookup.phase == phaseAttempting || lookup.hasDecidedAttempt() {
			count++
		}
	}
	return count
}

// LookupOf is the lookup whose attempt a stream's caller makes; nil if it makes none.
func (c *Coordinator) LookupOf(stream *Stream) *Lookup {
	lookup := stream.lookup
	if lookup != nil && lookup.phase == phaseAttempting && lookup.stream == stream {
		return lookup
	}
	return nil
}

// Knows tells whether a lookup of a stream's caller is open or remembered.
func (c *Coordinator) Knows(stream *Stream, id string) bool {
	return c.lookups[lookupKey(stream, id)] != nil
}

func lookupKey(stream *Stream, id string) string { return stream.Caller + " " + id }

// Request takes a caller's request for a lookup, for the first time or again. A lookup that is returned is new: the owner submits it to the
// dispatcher and sets Dispatched, or calls Discard.
func (c *Coordinator) Request(now time.Time, stream *Stream, id string, deadline time.Time) (*Lookup, Commands) {
	var commands Commands
	if stream.ended { // the request was read just before the stream's end: nobody would receive an answer or end the lookup
		return nil, commands
	}
	if stream.lookup != nil {
		c.anomalies[anomalyRequestOnBusyStream]++
		commands.answer(stream, AnswerOutOfOrder)
		return nil, commands
	}
	lookup := c.lookups[lookupKey(stream, id)]
	if lookup != nil {
		c.requestAgain(now, lookup, stream, &commands)
		return nil, commands
	}
	if c.openCount >= c.limits.MaxLookups || c.openByCaller[stream.Caller] >= c.limits.MaxPerCaller {
		commands.answer(stream, AnswerFull)
		return nil, commands
	}
	return c.open(stream, id, deadline), commands
}

func (c *Coordinator) open(stream *Stream, id string, deadline time.Time) *Lookup {
	c.sequence++
	lookup := &Lookup{Key: lookupKey(stream, id), caller: stream.Caller, stream: stream, deadline: deadline, sequence: c.sequence}
	stream.lookup = lookup
	c.lookups[lookup.Key] = lookup
	c.openCount++
	c.openByCaller[lookup.caller]++
	c.timeouts.schedule(lookup)
	return lookup
}

// requestAgain takes a request for a lookup that is open or remembered.
func (c *Coordinator) requestAgain(now time.Time, lookup *Lookup, stream *Stream, commands *Commands) {
	switch {
	case lookup.phase == phaseEnded && lookup.result == AnswerAccepted:
		c.anomalies[anomalyRequestAfterAnswer]++
		commands.answer(stream, AnswerAlreadyGiven)
	case lookup.phase == phaseEnded: // to repeat such an end is harmless
		commands.Answers = append(commands.Answers, Answer{Stream: stream, Kind: lookup.result, RetryAfter: lookup.retryAfter})
	case lookup.stream != nil:
		c.anomalies[anomalyOpenElsewhere]++
		commands.answer(stream, AnswerOpenElsewhere)
	default:
		lookup.stream, stream.lookup = stream, lookup
		lookup.returnBy = time.Time{}
		c.deliver(now, lookup, commands)
		c.timeouts.schedule(lookup)
	}
}

// Discard drops a new lookup that the dispatcher did not take.
func (c *Coordinator) Discard(lookup *Lookup) {
	lookup.detach()
	c.countEnd(lookup)
	lookup.phase = phaseEnded
	c.timeouts.schedule(lookup)
	delete(c.lookups, lookup.Key)
}

// ApplyStep takes the dispatcher's next step of a lookup.
func (c *Coordinator) ApplyStep(now time.Time, lookup *Lookup, step dispatch.Step) (commands Commands) {
	switch {
	case lookup.phase == phaseEnded:
		if step.Kind == dispatch.StepFetch { // decided before the lookup ended
			commands.report(lookup, step.Attempt, policy.OutcomeNotSent)
		}
	case step.Kind == dispatch.StepCancel:
		// A caller can't be called back: its attempt ends with its report or its stream. One that is not at its caller yet is withdrawn.
		if lookup.hasDecidedAttempt() && lookup.step.Attempt == step.Attempt {
			lookup.phase = phaseDeciding
			commands.report(lookup, step.Attempt, policy.OutcomeNotSent)
		}
	default:
		// The end of the lookup while an attempt is open, as when the gateway stops: nobody reports that attempt any more.
		if lookup.phase == phaseAttempting {
			commands.report(lookup, lookup.attempt, policy.OutcomeCancelled)
		} else if lookup.hasDecidedAttempt() {
			commands.report(lookup, lookup.step.Attempt, policy.OutcomeNotSent)
		}
		lookup.step = step
		lookup.phase = phaseDecided
		c.deliver(now, lookup, &commands)
	}
	c.timeouts.schedule(lookup)
	return commands
}

// deliver answers the lookup's stream with what has been decided. Without a stream, the caller has some time to request it.
func (c *Coordinator) deliver(now time.Time, lookup *Lookup, commands *Commands) {
	if lookup.phase != phaseDecided {
		return
	}
	if lookup.step.Kind != dispatch.StepFetch {
		c.deliverEnd(now, lookup, commands)
		return
	}
	if lookup.stream != nil && lookup.reportPending { // the next attempt needs a request of its own
		commands.answer(lookup.stream, AnswerAskAgain)
		lookup.detach()
	}
	if lookup.stream == nil {
		lookup.returnBy = now.Add(c.limits.ReturnTimeout)
		return
	}
	lookup.phase = phaseAttempting
	lookup.attempt = lookup.step.Attempt
	commands.Answers = append(commands.Answers, Answer{Stream: lookup.stream, Kind: AnswerAttempt, Step: lookup.step, Lookup: lookup})
}

// deliverEnd answers the lookup's stream, if there is one, with the lookup's end.
func (c *Coordinator) deliverEnd(now time.Time, lookup *Lookup, commands *Commands) {
	result := resultOf(lookup.step.Kind)
	lookup.retryAfter = time.Duration(lookup.step.RetryAfter) * time.Microsecond
	if lookup.stream != nil {
		commands.Answers = append(commands.Answers, Answer{Stream: lookup.stream, Kind: result, RetryAfter: lookup.retryAfter})
		lookup.detach()
	}
	c.finish(now, lookup, result)
}

// resultOf is the answer to the client for a step that ends its lookup.
func resultOf(step dispatch.StepKind) AnswerKind {
	switch step {
	case dispatch.StepSatisfied:
		return AnswerAccepted
	case dispatch.StepRejected:
		return AnswerReject
	}
	return AnswerFail
}

// ReportOutcome takes a caller's report of the end of its attempt. It is answered once the router has decided what follows.
func (c *Coordinator) ReportOutcome(stream *Stream, outcome policy.AttemptOutcome, detail policy.OutcomeDetail,
	sourceWait policy.Micros) (commands Commands) {
	lookup := c.LookupOf(stream)
	if lookup == nil {
		c.anomalies[anomalyReportOfNothing]++
		commands.answer(stream, AnswerOutOfOrder)
		return commands
	}
	if !isReportable(outcome, detail) { // the attempt may have run
		c.anomalies[anomalyUnknownReport]++
		outcome, detail = policy.OutcomeError, policy.DetailNone
	}
	lookup.phase = phaseDeciding
	lookup.reportPending = true
	c.timeouts.schedule(lookup)
	commands.Reports = append(commands.Reports, Report{
		Lookup:     lookup,
		Attempt:    lookup.attempt,
		Outcome:    outcome,
		Detail:     detail,
		SourceWait: max(0, sourceWait),
	})
	return commands
}

// isReportable tells whether a caller may report this.
func isReportable(outcome policy.AttemptOutcome, detail policy.OutcomeDetail) bool {
	return outcome >= policy.OutcomeSatisfied && outcome <= policy.OutcomeMiss && outcome != policy.OutcomeCancelled &&
		detail >= policy.DetailNone && detail <= policy.DetailOriginFailed
}

// StreamEnded takes the end of a stream, for whatever reason.
func (c *Coordinator) StreamEnded(now time.Time, stream *Stream) (commands Commands) {
	lookup := stream.lookup
	stream.ended = true
	if lookup == nil {
		return commands
	}
	lookup.detach()
	switch lookup.phase {
	case phaseAttempting: // it may have reached its cache, and says nothing of that
		c.anomalies[anomalyEndedAmidAttempt]++
		lookup.phase = phaseDeciding
		lookup.returnBy = now.Add(c.limits.ReturnTimeout)
		commands.report(lookup, lookup.attempt, policy.OutcomeCancelled)
	case phaseDeciding, phaseDecided: // nobody waits for the first answer any more
		c.abandon(now, lookup, &commands)
	}
	c.timeouts.schedule(lookup)
	return commands
}

// Tick brings the time: lookups that their callers did not request again are ended, attempts that were not reported by the lookup's deadline
// have timed out, and lookups that ended long ago are forgotten. It returns when to come next.
func (c *Coordinator) Tick(now time.Time) (commands Commands, next time.Time) {
	for e := c.ended.Front(); e != nil && !e.Value.(*Lookup).forgetAt.After(now); e = c.ended.Front() {
		c.forget(e.Value.(*Lookup))
	}
	for len(c.timeouts) > 0 && !c.timeouts[0].timeoutAt.After(now) {
		c.handleTimeout(now, c.timeouts[0], &commands)
	}
	next = now.Add(time.Second)
	if len(c.timeouts) > 0 && c.timeouts[0].timeoutAt.Before(next) {
		next = c.timeouts[0].timeoutAt
	}
	return commands, next
}

// handleTimeout looks after a lookup whose time has come.
func (c *Coordinator) handleTimeout(now time.Time, lookup *Lookup, commands *Commands) {
	switch {
	case lookup.phase == phaseAttempting:
		c.anomalies[anomalyNeverReported]++
		lookup.phase = phaseDeciding
		commands.report(lookup, lookup.attempt, policy.OutcomeTimeout)
	case lookup.stream != nil: // enforces rule 1 against a fault of the router
		lookup.overdue = true
		commands.Overdue = append(commands.Overdue, lookup)
	default:
		c.anomalies[anomalyNeverReturned]++
		c.abandon(now, lookup, commands)
	}
	c.timeouts.schedule(lookup)
}

// abandon ends a lookup whose client is gone.
func (c *Coordinator) abandon(now time.Time, lookup *Lookup, commands *Commands) {
	if lookup.hasDecidedAttempt() {
		commands.report(lookup, lookup.step.Attempt, policy.OutcomeNotSent)
	}
	commands.Gone = append(commands.Gone, lookup)
	c.finish(now, lookup, AnswerFail)
}

// finish ends a lookup and remembers it for a while.
func (c *Coordinator) finish(now time.Time, lookup *Lookup, result AnswerKind) {
	if lookup.phase == phaseEnded {
		return
	}
	c.countEnd(lookup)
	lookup.phase = phaseEnded
	lookup.result = result
	lookup.forgetAt = now.Add(c.limits.Retention)
	lookup.endedElement = c.ended.PushBack(lookup)
	for c.ended.Len() > c.limits.MaxLookups {
		c.forget(c.ended.Front().Value.(*Lookup))
	}
}

// countEnd takes a lookup out of the counts of open ones.
func (c *Coordinator) countEnd(lookup *Lookup) {
	c.openCount--
	c.openByCaller[lookup.caller]--
	if c.openByCaller[lookup.caller] <= 0 {
		delete(c.openByCaller, lookup.caller)
	}
}

// forget removes a lookup that has ended.
func (c *Coordinator) forget(lookup *Lookup) {
	c.ended.Remove(lookup.endedElement)
	delete(c.lookups, lookup.Key)
}
