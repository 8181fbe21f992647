package dispatch

import (
	"maps"
	"slices"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/policy"
)

// DeadlineSlack is the time past its deadline after which a lookup that nothing has ended is failed, within the slack that its answer has:
// by WaitStep, or by a caller of NextStep with FailOverdue.
const DeadlineSlack = 20 * time.Millisecond

// StepKind is what is to be done for a lookup.
type StepKind int

// The kinds of steps. Those from StepSatisfied on end the lookup: there is exactly one of them, and no StepFetch after it.
const (
	StepFetch     StepKind = 1 + iota // start an attempt
	StepCancel                        // cancel an attempt
	StepSatisfied                     // the answer is what an attempt brought
	StepRejected                      // the client may repeat the lookup
	StepFailed
	StepClientGone // nothing is owed
)

// Step is one thing to do for a lookup.
type Step struct {
	Kind                StepKind
	Attempt             int           // number of the attempt, where Kind is about one
	policy.FetchRequest               // of StepFetch
	RetryAfter          policy.Micros // of StepRejected; 0: none
}

// Request is a lookup as the network side submits it.
type Request struct {
	ID       string // unique among open lookups
	Kind     int    // index of the object kind in the settings
	Object   string
	Part     int
	Group    int
	SizeKB   float64
	Deadline time.Time
	Scope    *policy.Scope // nil: any cache
	// OnReady, if set, is called under the Dispatcher's lock whenever the lookup has a step for NextStep. It must not wait. Without it, use
	// WaitStep.
	OnReady func()
}

// Lookup is a lookup that the router holds. It is used with the methods of its Dispatcher.
type Lookup struct {
	Deadline     time.Time
	policyLookup *policy.Lookup
	steps        []Step
	stepsReady   env.Notifier // nil where onReady is set
	onReady      func()
	startedAt    []policy.Micros // of attempts, by number
	targets      []target        // likewise, once outcomes are observed
	openAttempts int
	ended        bool
}

// target is where an attempt went.
type target struct{ edge, source *policy.Cache }

// Submit hands a lookup to the router. It returns nil if the router did not take it, most likely because one with this id is open.
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
		if lookup.policyLookup == nil { // a fault of the router
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
		Deadline: now + request.Deadline.Sub(d.environment.Now()).Microseconds(),
		Scope:    request.Scope,
	})
	d.forgetEnded(request.ID, lookup)
	return lookup
}

// WaitStep waits for the lookup's next step. A lookup that nothing has ended shortly after its deadline fails: that enforces rule 1
// against a fault of the router and against an attempt whose end is never reported.
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

// NextStep takes the lookup's next step, if there is one. An attempt that may not start any more is none: it ends here, as not sent.
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

// MaySend tells whether an attempt whose step was taken some time ago may still start; if not, its end is to be reported as
// policy.OutcomeNotSent.
func (d *Dispatcher) MaySend(lookup *Lookup, step Step) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.maySend(lookup, step)
}

// maySend checks again what may have changed between a decision and the attempt's first byte, while it waits for its lookup's goroutine, for
// a connection or behind what a cache does not read: the lookup may have ended or run out of time, and the cache or its source may drain
// or be gone (rule 3 counts an attempt from its first byte). The router checks rule 2; if it panics the attempt is withdrawn.
func (d *Dispatcher) maySend(lookup *Lookup, step Step) (ok bool) {
	defer d.recoverRouterPanic()
	return !lookup.ended &&
		d.environment.Now().Before(lookup.Deadline) &&
		step.Cache.State == policy.Ready &&
		step.Source.State == policy.Ready &&
		d.router.MayStartAttempt(d.now(), lookup.policyLookup, step.Attempt)
}

// AttemptEnded reports the end of an attempt; sourceWait is how long the cache waited for the first byte of its source. It returns true if the
// attempt's answer is the lookup's, and false if there is none or it came too late.
func (d *Dispatcher) AttemptEnded(lookup *Lookup, attempt int, outcome policy.AttemptOutcome, detail policy.OutcomeDetail,
	sourceWait policy.Micros) (used bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endAttempt(lookup, attempt, outcome, detail, sourceWait)
}

// endAttempt is AttemptEnded under the lock.
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

// ClientGone ends a lookup whose client closed its connection or gave up.
func (d *Dispatcher) ClientGone(lookup *Lookup) { d.endLookup(lookup, StepClientGone) }

// FailOverdue fails a lookup that nothing has ended by DeadlineSlack past its deadline.
func (d *Dispatcher) FailOverdue(lookup *Lookup) { d.endLookup(lookup, StepFailed) }

// endLookup ends a lookup, if it has not ended, without asking the router.
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

// GiveUp has the router end a lookup, if it has not ended: rejected, or failed where it may have had its effect.
func (d *Dispatcher) GiveUp(lookup *Lookup) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !lookup.ended {
		defer d.recoverRouterPanic()
		d.router.GiveUp(d.now(), lookup.policyLookup)
	}
}

// Stop gives up every open lookup, in the order of their ids; the gateway is about to end.
func (d *Dispatcher) Stop() {
	d.mu.Lock()
	open := make([]*Lookup, 0, len(d.lookups))
	for _, id := range slices.Sorted(maps.Keys(d.lookups)) {
		open = append(open, d.lookups[id])
	}
	d.mu.Unlock()
	for _, lookup := range open {
		d.GiveUp(lookup)
		d.endLookup(lookup, StepFailed) // only after a fault of the router
	}
}

// forgetEnded removes a lookup that has ended and has no open attempts.
func (d *Dispatcher) forgetEnded(id string, lookup *Lookup) {
	if lookup.ended && lookup.openAttempts <= 0 {
		delete(d.lookups, id)
	}
}

// finish adds the step that ends the lookup, if it has not ended.
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
