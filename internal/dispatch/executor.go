package dispatch

import "foldslip/internal/policy"

// executor turns what the router decides into steps of lookups. It is called from within the router's methods, under the lock.
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
		for len(lookup.targets) < attempt { // attempts from before outcomes were observed
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

// Reject ends a lookup that its client may repeat.
func (e *executor) Reject(policyLookup *policy.Lookup, retryAfter policy.Micros) {
	e.finish(policyLookup, Step{Kind: StepRejected, RetryAfter: retryAfter})
}

// Fail ends a lookup that its client may not repeat.
func (e *executor) Fail(policyLookup *policy.Lookup) { e.finish(policyLookup, Step{Kind: StepFailed}) }

// finish ends a lookup for the router, which may do so amid a call about another one.
func (e *executor) finish(policyLookup *policy.Lookup, step Step) {
	if lookup := e.lookups[policyLookup.ID]; lookup != nil {
		lookup.finish(step)
		(*Dispatcher)(e).forgetEnded(policyLookup.ID, lookup)
	}
}

// SetTimer notes a timer for Tick.
func (e *executor) SetTimer(delay policy.Micros, token int64) {
	e.timers = append(e.timers, timer{(*Dispatcher)(e).now() + delay, token})
}

// SubscribeEndpoints does nothing: the discovery watch runs from the start.
func (e *executor) SubscribeEndpoints(bool) {}

// Log writes a line of the router's.
func (e *executor) Log(line string) { e.environment.Log().Info("policy", "note", line) }
