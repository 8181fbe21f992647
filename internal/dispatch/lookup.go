package dispatch

import (
	"maps"
	"slices"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/policy"
)

// DeadlineSlack is the time after its deadline at which a lookup without a result fails. It is shorter than
// socketSlack (50 ms), which is the time after the deadline within which the checker of internal/lab/scenario requires
// the first byte of an answer. WaitStep fails such a lookup. A caller of NextStep has to call FailOverdue.
const DeadlineSlack = 20 * time.Millisecond

// StepKind is the kind of a Step.
type StepKind int

// The kinds of steps. StepSatisfied and the kinds after it end the lookup. A lookup has exactly one step of
// these kinds, and no StepFetch follows it.
const (
	StepFetch     StepKind = 1 + iota // start an attempt
	StepCancel                        // cancel an attempt
	StepSatisfied                     // the answer of an attempt is the result
	StepRejected                      // the lookup is rejected; the client may repeat it
	StepFailed
	StepClientGone // no answer is sent, as the client is gone
)

// Step is one action that the network side carries out for a lookup.
type Step struct {
	Kind                StepKind
	Attempt             int           // number of the attempt; set for StepFetch, StepCancel and StepSatisfied
	policy.FetchRequest               // set for StepFetch
	RetryAfter          policy.Micros // set for StepRejected; 0: no delay is suggested
}

// Request describes a lookup that the network side submits.
type Request struct {
	ID       string // must be unique among open lookups
	Kind     int    // index of the object kind in the settings
	Object   string
	Part     int
	Group    int
	SizeKB   float64
	Deadline time.Time
	Scope    *policy.Scope // nil: every cache is allowed
	// OnReady, if set, is called under the Dispatcher's lock whenever a step is added. It must not block. NextStep
	// returns the added steps, except fetch steps of attempts that may no longer start. If OnReady is nil, use WaitStep.
	OnReady func()
}

// Lookup is a submitted lookup. It is passed to the methods of its Dispatcher.
type Lookup struct {
	Deadline     time.Time
	policyLookup *policy.Lookup
	steps        []Step
	stepsReady   env.Notifier // nil if onReady is set
	onReady      func()
	startedAt    []policy.Micros // start times by attempt number
	targets      []target        // targets by attempt number; filled only while there is an observer of outcomes
	openAttempts int
	ended        bool
}

// target holds the edge cache of an attempt and the source from which a miss is filled.
type target struct{ edge, source *policy.Cache }

// Submit passes a lookup to the router. It returns nil if a lookup with this id is open or if the router panicked.
func (d *Dispatcher) Submit(request Request) (lookup *Lookup) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lookups[request.ID] != nil {
		return nil
	}
	lookup = &Lookup{Deadline: request.Deadline, onReady: request.OnReady}
	if request.OnReady == nil {
		lookup.stepsReady = d.environment.NewNotifier()
	}
	d.lookups[request.ID] = lookup
	defer func() {
		if lookup.policyLookup == nil { // the router panicked
			delete(d.lookups, request.ID)
			lookup = nil
		}
	}()
	defer d.recoverRouterPanic()
	now := d.now()
	lookup.policyLookup = d.router.StartLookup(now, policy.Arrival{
		ID:       request.ID,
		Kind:     request.Kind,
		Object:   request.Object,
		Part:     request.Part,
		Group:    request.Group,
		SizeKB:   request.SizeKB,
		Deadline: now + d.timeLeft(request).Microseconds(),
		Scope:    request.Scope,
	})
	d.forgetEnded(request.ID, lookup)
	return lookup
}

// timeLeft returns the time that a new lookup has. It has none after Stop, so that the router rejects it at once.
func (d *Dispatcher) timeLeft(request Request) time.Duration {
	if d.isStopped {
		return 0
	}
	return request.Deadline.Sub(d.environment.Now())
}

// WaitStep waits for the lookup's next step and returns it. A lookup that has no result by DeadlineSlack after its
// deadline fails. This enforces rule 1, which gives each lookup exactly one result, even if the router panics or
// the end of an attempt is never reported.
func (d *Dispatcher) WaitStep(lookup *Lookup) Step {
	for {
		if step, ok := d.NextStep(lookup); ok {
			return step
		}
		untilOverdue := max(0, lookup.Deadline.Sub(d.environment.Now())+DeadlineSlack)
		if !lookup.stepsReady.Wait(untilOverdue) {
			d.FailOverdue(lookup)
		}
	}
}

// NextStep removes and returns the lookup's next step, if there is one. It skips the fetch step of an attempt that may
// no longer start, and reports that attempt as policy.OutcomeNotSent.
func (d *Dispatcher) NextStep(lookup *Lookup) (step Step, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(lookup.steps) > 0 {
		step = lookup.steps[0]
		lookup.steps = lookup.steps[1:]
		if step.Kind != StepFetch {
			return step, true
		}
		d.queued--
		if d.maySend(lookup, step) {
			return step, true
		}
		d.endAttempt(lookup, step.Attempt, policy.OutcomeNotSent, policy.DetailNone, 0)
	}
	return Step{}, false
}

// MaySend reports whether an attempt may still start. The network side calls it before it sends an attempt whose step it
// took some time ago. If the result is false, the caller must report the attempt's end as policy.OutcomeNotSent.
func (d *Dispatcher) MaySend(lookup *Lookup, step Step) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.maySend(lookup, step)
}

// maySend reports whether an attempt that the router decided on earlier may still start. The attempt may have waited
// for its lookup's goroutine, for a connection, or behind data that the cache was slow to read. In the meantime the
// lookup may have ended or passed its deadline, and the cache or its source may be draining or gone. Rule 3 forbids new
// attempts to such caches. An attempt is new until its first byte is sent. The router checks rule 2, which forbids
// concurrent attempts and repeated side effects. If the router panics, maySend returns false.
func (d *Dispatcher) maySend(lookup *Lookup, step Step) (ok bool) {
	defer d.recoverRouterPanic()
	return !lookup.ended &&
		d.environment.Now().Before(lookup.Deadline) &&
		step.Cache.State == policy.Ready &&
		step.Source.State == policy.Ready &&
		d.router.MayStartAttempt(d.now(), lookup.policyLookup, step.Attempt)
}

// AttemptEnded reports the end of an attempt to the router. sourceWait is the time that the cache waited for the first
// byte of its source. It returns true if the attempt's answer is the result of the lookup. It returns false if the
// attempt was not satisfied or if the lookup had already ended.
func (d *Dispatcher) AttemptEnded(lookup *Lookup, attempt int, outcome policy.AttemptOutcome, detail policy.OutcomeDetail,
	sourceWait policy.Micros) (used bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endAttempt(lookup, attempt, outcome, detail, sourceWait)
}

// endAttempt implements AttemptEnded. The caller holds the lock.
func (d *Dispatcher) endAttempt(lookup *Lookup, attempt int, outcome policy.AttemptOutcome, detail policy.OutcomeDetail,
	sourceWait policy.Micros) (used bool) {
	now := d.now()
	used = outcome == policy.OutcomeSatisfied && !lookup.ended
	lookup.openAttempts--
	if used {
		lookup.finish(Step{Kind: StepSatisfied, Attempt: attempt})
	}
	defer d.recoverRouterPanic()
	if d.onOutcome != nil && attempt < len(lookup.targets) {
		d.onOutcome(lookup.targets[attempt].edge, lookup.targets[attempt].source, outcome, detail)
	}
	d.router.AttemptEnded(now, lookup.policyLookup, policy.AttemptReport{
		Attempt:     attempt,
		Outcome:     outcome,
		Detail:      detail,
		Latency:     now - lookup.startedAt[attempt],
		SourceWait:  sourceWait,
		LookupEnded: lookup.ended,
	})
	d.forgetEnded(lookup.policyLookup.ID, lookup)
	return used
}

// ClientGone ends a lookup whose client closed its connection or cancelled the lookup.
func (d *Dispatcher) ClientGone(lookup *Lookup) { d.endLookup(lookup, StepClientGone) }

// FailOverdue fails a lookup. Call it for a lookup that has no result by DeadlineSlack after its deadline.
func (d *Dispatcher) FailOverdue(lookup *Lookup) { d.endLookup(lookup, StepFailed) }

// endLookup ends a lookup that has not ended. The router is notified and does not decide on the result.
func (d *Dispatcher) endLookup(lookup *Lookup, kind StepKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if lookup.ended {
		return
	}
	lookup.finish(Step{Kind: kind})
	defer d.recoverRouterPanic()
	d.router.ClientGone(d.now(), lookup.policyLookup)
	d.forgetEnded(lookup.policyLookup.ID, lookup)
}

// GiveUp lets the router end a lookup that has not ended. The router rejects the lookup if a repeat
// is safe. Otherwise it fails the lookup.
func (d *Dispatcher) GiveUp(lookup *Lookup) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !lookup.ended {
		defer d.recoverRouterPanic()
		d.router.GiveUp(d.now(), lookup.policyLookup)
	}
}

// Stop gives up every open lookup, in the order of their ids, and each later one when it is submitted. It is called when
// the gateway stops.
func (d *Dispatcher) Stop() {
	d.mu.Lock()
	d.isStopped = true
	open := make([]*Lookup, 0, len(d.lookups))
	for _, id := range slices.Sorted(maps.Keys(d.lookups)) {
		open = append(open, d.lookups[id])
	}
	d.mu.Unlock()
	for _, lookup := range open {
		d.GiveUp(lookup)
		d.endLookup(lookup, StepFailed) // has an effect only if the router panicked
	}
}

// forgetEnded removes a lookup from the Dispatcher if it has ended and has no open attempts.
func (d *Dispatcher) forgetEnded(id string, lookup *Lookup) {
	if lookup.ended && lookup.openAttempts <= 0 {
		delete(d.lookups, id)
	}
}

// finish ends a lookup that has not ended, and adds the step for it.
func (l *Lookup) finish(step Step) {
	if !l.ended {
		l.ended = true
		l.pushStep(step)
	}
}

func (l *Lookup) pushStep(step Step) {
	l.steps = append(l.steps, step)
	if l.onReady != nil {
		l.onReady()
		return
	}
	l.stepsReady.Notify()
}
