// Package retry coordinates lookups whose attempts are made by another proxy, the caller. One lookup may span several
// streams of its caller.
//
// A caller requests a lookup by its id and is answered with an attempt. It makes this one attempt and reports the outcome
// on the same stream. If the report is answered with AnswerAskAgain, the caller requests the lookup again under the same
// id for the next attempt.
//
// The Coordinator does no I/O and makes no routing decisions. Its input is requests, steps of the dispatcher, reports,
// ends of streams and the time. Its output is Commands. It asks the owner whether an attempt that was decided earlier may
// still start when it hands the attempt out.
//
// The following holds whatever a caller does. A lookup has one result. If that is a rejection or a failure, a repeated
// request is answered with it again. No attempt is sent to a caller after the result, and a caller never has two
// attempts of one lookup at once. The number of attempts is limited, and all state is freed in time. Only the caller can
// ensure that an attempt is made once and at the given cache, and that its report is true. If a stream ends during an
// attempt, the attempt may have run.
//
// A Coordinator is not safe for concurrent use; its owner calls it under a lock. It holds at most Limits.MaxLookups open
// lookups, and records of ended ones, each for Limits.Retention. A record is never dropped earlier: a lookup for which
// there would be no record is answered with AnswerNoRecord instead of being opened.
package retry

import (
	"maps"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
)

// Limits are the bounds of a Coordinator.
type Limits struct {
	MaxLookups    int           // open lookups of all callers; further ones are answered with AnswerFull
	MaxPerCaller  int           // open lookups of one caller; further ones are answered with AnswerFull
	ReturnTimeout time.Duration // time for a caller to request an open lookup again
	Retention     time.Duration // time for which an ended lookup is remembered, so that a repeat does not open a new one
	MaxRecords    int           // open and remembered lookups of all callers; past a caller's share see AnswerNoRecord
}

// The kinds of contract violations by callers that Anomalies counts. The values appear in logs.
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

// The kinds of refusals at a limit that Anomalies counts. The values appear in logs.
const (
	anomalyFull     = "lookups_full" // AnswerFull
	anomalyNoRecord = "memory_full"  // AnswerNoRecord
)

// anomalyWithdrawn counts attempts that could no longer start when their callers requested them. The value appears in logs.
const anomalyWithdrawn = "withdrawn"

// Coordinator holds the lookups of all callers. New creates it.
type Coordinator struct {
	// MaySend reports whether an attempt that was decided earlier may still start. It is nil if all may.
	MaySend func(lookup *Lookup, step dispatch.Step) bool

	limits    Limits
	lookups   map[string]*Lookup // open lookups by Lookup.Key
	records   *lookupRecords
	timeouts  timeoutHeap
	sequence  uint64
	anomalies map[string]int

	awaitingReturn int       // open lookups whose callers were told to request them again and have not done so
	returnsUntil   time.Time // the last of the times by which such callers may request lookups that have ended meanwhile
	noMoreRetries  bool      // see StopRetries
}

// New returns a Coordinator without lookups.
func New(limits Limits) *Coordinator {
	return &Coordinator{
		limits:    limits,
		lookups:   map[string]*Lookup{},
		records:   newLookupRecords(limits.Retention, limits.MaxRecords),
		anomalies: map[string]int{},
	}
}

// OpenLookups returns the number of open lookups.
func (c *Coordinator) OpenLookups() int { return len(c.lookups) }

// RememberedLookups returns the number of ended lookups that are remembered.
func (c *Coordinator) RememberedLookups() int { return c.records.kept }

// AwaitsReturn reports whether a caller that was told to request a lookup again has not done so and is still in time.
func (c *Coordinator) AwaitsReturn(now time.Time) bool {
	return c.awaitingReturn > 0 || now.Before(c.returnsUntil)
}

// StopRetries makes the Coordinator answer no further report with AnswerAskAgain. A lookup that would need another
// attempt is in Commands.GivenUp instead. The owner calls it before it refuses new streams: the caller could not request
// the lookup again, and the lookup would get no final answer. See also AwaitsReturn.
func (c *Coordinator) StopRetries() { c.noMoreRetries = true }

// Anomalies returns the number of contract violations by callers, and of refusals at a limit, by kind.
func (c *Coordinator) Anomalies() map[string]int { return maps.Clone(c.anomalies) }

// AttemptsOut returns the number of attempts that callers are making, plus those that are decided and not yet requested.
func (c *Coordinator) AttemptsOut() (count int) {
	for _, lookup := range c.lookups {
		if lookup.phase == phaseAttempting || lookup.hasDecidedAttempt() {
			count++
		}
	}
	return count
}

// LookupOf returns the lookup whose attempt the caller is making on the stream, or nil if it is making none.
func (c *Coordinator) LookupOf(stream *Stream) *Lookup {
	lookup := stream.lookup
	if lookup != nil && lookup.phase == phaseAttempting && lookup.stream == stream {
		return lookup
	}
	return nil
}

// Knows reports whether the stream's caller has a lookup with the given id that is open, or ended and remembered.
func (c *Coordinator) Knows(stream *Stream, id string) bool {
	key := lookupKey(stream, id)
	_, hasEnded := c.records.result(key)
	return hasEnded || c.lookups[key] != nil
}

func lookupKey(stream *Stream, id string) string { return stream.Caller + " " + id }

// Request handles a caller's first or repeated request for a lookup. It returns a lookup only if the lookup is new. The
// owner must then submit it to the dispatcher and set Dispatched, or call Discard.
func (c *Coordinator) Request(now time.Time, stream *Stream, id string, deadline time.Time) (*Lookup, Commands) {
	var commands Commands
	if stream.ended {
		// The request was read just before the stream's end. An answer would reach no one, and no later end of the
		// stream would end the lookup.
		return nil, commands
	}
	if stream.lookup != nil {
		c.anomalies[anomalyRequestOnBusyStream]++
		commands.answer(stream, AnswerOutOfOrder)
		return nil, commands
	}
	key := lookupKey(stream, id)
	if lookup := c.lookups[key]; lookup != nil {
		c.requestOpen(now, lookup, stream, &commands)
		return nil, commands
	}
	if result, ok := c.records.result(key); ok {
		c.requestEnded(result, stream, &commands)
		return nil, commands
	}
	if len(c.lookups) >= c.limits.MaxLookups || c.records.reservedBy(stream.Caller) >= c.limits.MaxPerCaller {
		c.anomalies[anomalyFull]++
		commands.answer(stream, AnswerFull)
		return nil, commands
	}
	if !c.records.canReserve(stream.Caller) {
		c.anomalies[anomalyNoRecord]++
		commands.answer(stream, AnswerNoRecord)
		return nil, commands
	}
	return c.open(stream, key, deadline), commands
}

func (c *Coordinator) open(stream *Stream, key string, deadline time.Time) *Lookup {
	c.sequence++
	lookup := &Lookup{Key: key, caller: stream.Caller, stream: stream, deadline: deadline, sequence: c.sequence}
	stream.lookup = lookup
	c.lookups[key] = lookup
	c.records.reserve(lookup.caller)
	c.timeouts.schedule(lookup)
	return lookup
}

// requestOpen handles a request for a lookup that is open.
func (c *Coordinator) requestOpen(now time.Time, lookup *Lookup, stream *Stream, commands *Commands) {
	if lookup.stream != nil {
		c.anomalies[anomalyOpenElsewhere]++
		commands.answer(stream, AnswerOpenElsewhere)
		return
	}
	lookup.stream, stream.lookup = stream, lookup
	lookup.returnBy = time.Time{}
	c.endAwaitingReturn(lookup)
	if lookup.hasDecidedAttempt() && c.MaySend != nil && !c.MaySend(lookup, lookup.step) {
		c.withdraw(lookup, commands)
	}
	c.deliver(now, lookup, commands)
	c.timeouts.schedule(lookup)
}

// withdraw reports a decided attempt that may no longer start, for example because the deduplication window of its lookup
// has ended. The lookup's stream waits for what the router decides instead.
func (c *Coordinator) withdraw(lookup *Lookup, commands *Commands) {
	c.anomalies[anomalyWithdrawn]++
	lookup.phase = phaseDeciding
	commands.report(lookup, lookup.step.Attempt, policy.OutcomeNotSent)
}

// requestEnded handles a request for a lookup that has ended and is remembered.
func (c *Coordinator) requestEnded(result endedResult, stream *Stream, commands *Commands) {
	kind := result.answerKind()
	if kind == AnswerAccepted {
		c.anomalies[anomalyRequestAfterAnswer]++
		commands.answer(stream, AnswerAlreadyGiven)
		return
	}
	// A rejection or a failure may be answered repeatedly.
	commands.Answers = append(commands.Answers, Answer{Stream: stream, Kind: kind, RetryAfter: result.retryAfter()})
}

// Discard removes a new lookup that was not submitted to the dispatcher or that the dispatcher did not accept.
func (c *Coordinator) Discard(lookup *Lookup) {
	lookup.detach()
	c.records.release(lookup.caller)
	lookup.phase = phaseEnded
	c.timeouts.schedule(lookup)
	delete(c.lookups, lookup.Key)
}

// ApplyStep handles the dispatcher's next step for a lookup.
func (c *Coordinator) ApplyStep(now time.Time, lookup *Lookup, step dispatch.Step) (commands Commands) {
	switch {
	case lookup.phase == phaseEnded:
		if step.Kind == dispatch.StepFetch { // the attempt was decided before the lookup ended
			commands.report(lookup, step.Attempt, policy.OutcomeNotSent)
		}
	case step.Kind == dispatch.StepCancel:
		// An attempt that its caller is making cannot be cancelled. It ends with the caller's report or with the stream.
		// An attempt that the caller has not requested yet is withdrawn.
		if lookup.hasDecidedAttempt() && lookup.step.Attempt == step.Attempt {
			lookup.phase = phaseDeciding
			commands.report(lookup, step.Attempt, policy.OutcomeNotSent)
		}
	default:
		// The lookup may end while an attempt is open, for example when the gateway stops. A report of that attempt is
		// no longer accepted, so the Coordinator reports its end.
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

// endAwaitingReturn stops counting a lookup as one that its caller was told to request again.
func (c *Coordinator) endAwaitingReturn(lookup *Lookup) {
	if lookup.awaitsReturn {
		lookup.awaitsReturn = false
		c.awaitingReturn--
	}
}

// deliver answers the lookup's stream with the step, if a step has been decided. If the stream waits for the answer to
// a report, a decided attempt is answered with AnswerAskAgain and the stream is detached; after StopRetries the lookup is
// given up. While the lookup has no stream, a decided attempt waits up to Limits.ReturnTimeout for the caller's request.
func (c *Coordinator) deliver(now time.Time, lookup *Lookup, commands *Commands) {
	if lookup.phase != phaseDecided {
		return
	}
	if lookup.step.Kind != dispatch.StepFetch {
		c.deliverEnd(now, lookup, commands)
		return
	}
	if lookup.stream != nil && lookup.reportPending { // the caller would have to request the next attempt
		if c.noMoreRetries {
			commands.GivenUp = append(commands.GivenUp, lookup)
			return
		}
		commands.answer(lookup.stream, AnswerAskAgain)
		lookup.detach()
		lookup.awaitsReturn = true
		c.awaitingReturn++
	}
	if lookup.stream == nil {
		lookup.returnBy = now.Add(c.limits.ReturnTimeout)
		return
	}
	lookup.phase = phaseAttempting
	lookup.attempt = lookup.step.Attempt
	commands.Answers = append(commands.Answers, Answer{Stream: lookup.stream, Kind: AnswerAttempt, Step: lookup.step, Lookup: lookup})
}

// deliverEnd answers the lookup's stream, if it has one, with the lookup's result and ends the lookup.
func (c *Coordinator) deliverEnd(now time.Time, lookup *Lookup, commands *Commands) {
	result := resultOf(lookup.step.Kind)
	retryAfter := time.Duration(lookup.step.RetryAfter) * time.Microsecond
	if lookup.stream != nil {
		commands.Answers = append(commands.Answers, Answer{Stream: lookup.stream, Kind: result, RetryAfter: retryAfter})
		lookup.detach()
	}
	c.finish(now, lookup, newEndedResult(result, retryAfter))
}

// resultOf returns the final answer for a step that ends a lookup.
func resultOf(step dispatch.StepKind) AnswerKind {
	switch step {
	case dispatch.StepSatisfied:
		return AnswerAccepted
	case dispatch.StepRejected:
		return AnswerReject
	}
	return AnswerFail
}

// ReportOutcome handles a caller's report of the outcome of its attempt. The report is answered when the router has
// decided the next step.
func (c *Coordinator) ReportOutcome(stream *Stream, outcome policy.AttemptOutcome, detail policy.OutcomeDetail,
	sourceWait policy.Micros) (commands Commands) {
	lookup := c.LookupOf(stream)
	if lookup == nil {
		c.anomalies[anomalyReportOfNothing]++
		commands.answer(stream, AnswerOutOfOrder)
		return commands
	}
	if !isReportable(outcome, detail) { // counts as an error, because the attempt may have run
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

// isReportable reports whether a caller may report the outcome and the detail.
func isReportable(outcome policy.AttemptOutcome, detail policy.OutcomeDetail) bool {
	return outcome >= policy.OutcomeSatisfied && outcome <= policy.OutcomeMiss && outcome != policy.OutcomeCancelled &&
		detail >= policy.DetailNone && detail <= policy.DetailOriginFailed
}

// StreamEnded handles the end of a stream, whatever its reason.
func (c *Coordinator) StreamEnded(now time.Time, stream *Stream) (commands Commands) {
	lookup := stream.lookup
	stream.ended = true
	if lookup == nil {
		return commands
	}
	lookup.detach()
	switch lookup.phase {
	case phaseAttempting: // the attempt may have reached its cache, and no report of it will arrive
		c.anomalies[anomalyEndedAmidAttempt]++
		lookup.phase = phaseDeciding
		lookup.returnBy = now.Add(c.limits.ReturnTimeout)
		commands.report(lookup, lookup.attempt, policy.OutcomeCancelled)
	case phaseDeciding, phaseDecided: // the caller no longer waits for the answer
		c.abandon(now, lookup, &commands)
	}
	c.timeouts.schedule(lookup)
	return commands
}

// Tick handles the timeouts that are due. It ends lookups that their callers did not request again, times out attempts
// that were not reported by the lookup's deadline, adds overdue lookups to Commands.Overdue, and forgets lookups that
// ended Limits.Retention ago. It returns the time of the next call, which is at most one second later.
func (c *Coordinator) Tick(now time.Time) (commands Commands, next time.Time) {
	c.records.expire(now)
	for len(c.timeouts) > 0 && !c.timeouts[0].timeoutAt.After(now) {
		c.handleTimeout(now, c.timeouts[0], &commands)
	}
	next = now.Add(time.Second)
	if len(c.timeouts) > 0 && c.timeouts[0].timeoutAt.Before(next) {
		next = c.timeouts[0].timeoutAt
	}
	return commands, next
}

// handleTimeout handles the timeout of one lookup.
func (c *Coordinator) handleTimeout(now time.Time, lookup *Lookup, commands *Commands) {
	switch {
	case lookup.phase == phaseAttempting:
		c.anomalies[anomalyNeverReported]++
		lookup.phase = phaseDeciding
		commands.report(lookup, lookup.attempt, policy.OutcomeTimeout)
	case lookup.stream != nil: // enforces rule 1 (a lookup gets one answer in time) if the router fails to end the lookup
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
	c.finish(now, lookup, newEndedResult(AnswerFail, 0))
}

// finish ends a lookup and remembers its result for Limits.Retention.
func (c *Coordinator) finish(now time.Time, lookup *Lookup, result endedResult) {
	if lookup.phase == phaseEnded {
		return
	}
	lookup.phase = phaseEnded
	if lookup.awaitsReturn && lookup.returnBy.After(c.returnsUntil) {
		c.returnsUntil = lookup.returnBy
	}
	c.endAwaitingReturn(lookup)
	delete(c.lookups, lookup.Key)
	c.records.keep(now, lookup.caller, lookup.Key, result)
}
