package dispatch

import "foldslip/internal/policy"

// executor implements policy.Executor. It turns the router's decisions into steps of lookups. The router calls it from
// within its own methods, so the Dispatcher's lock is held.
type executor Dispatcher

// Fetch adds the step that starts an attempt.
func (e *executor) Fetch(policyLookup *policy.Lookup, request policy.FetchRequest) {
	lookup := e.lookups[policyLookup.ID]
	attempt := len(lookup.startedAt)
	lookup.startedAt = append(lookup.startedAt, (*Dispatcher)(e).now())
	lookup.openAttempts++
	e.queued++
	if e.onOutcome != nil {
		to := target{request.Cache, request.Source}
		for len(lookup.targets) < attempt { // pads the entries of attempts that started without an observer
			lookup.targets = append(lookup.targets, to)
		}
		lookup.targets = append(lookup.targets, to)
	}
	lookup.pushStep(Step{Kind: StepFetch, Attempt: attempt, FetchRequest: request})
}

// CancelAttempt adds the step that cancels an attempt.
func (e *executor) CancelAttempt(policyLookup *policy.Lookup, attempt int) {
	if lookup := e.lookups[policyLookup.ID]; lookup != nil {
		lookup.pushStep(Step{Kind: StepCancel, Attempt: attempt})
	}
}

// Reject ends a lookup as rejected. Its client may repeat it.
func (e *executor) Reject(policyLookup *policy.Lookup, retryAfter policy.Micros) {
	e.finish(policyLookup, Step{Kind: StepRejected, RetryAfter: retryAfter})
}

// Fail ends a lookup as failed. A repeat by its client may not be safe.
func (e *executor) Fail(policyLookup *policy.Lookup) { e.finish(policyLookup, Step{Kind: StepFailed}) }

// finish ends a lookup for the router. The router may do so during a call for another lookup.
func (e *executor) finish(policyLookup *policy.Lookup, step Step) {
	if lookup := e.lookups[policyLookup.ID]; lookup != nil {
		lookup.finish(step)
		(*Dispatcher)(e).forgetEnded(policyLookup.ID, lookup)
	}
}

// SetTimer adds a timer, which Tick fires.
func (e *executor) SetTimer(delay policy.Micros, token int64) {
	e.timers = append(e.timers, timer{(*Dispatcher)(e).now() + delay, token})
}

// SubscribeEndpoints does nothing, because the discovery watch runs from the start of the gateway.
func (e *executor) SubscribeEndpoints(bool) {}

// Log logs a message of the router.
func (e *executor) Log(line string) { e.environment.Log().Info("policy", "note", line) }
