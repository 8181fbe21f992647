package scenario

import (
	"slices"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
)

// moduleInterceptor wraps the routing module. It passes on every call, except those that an injected fault changes.
type moduleInterceptor struct {
	dispatch.Router
	changeRows  func(rows []policy.Endpoint) []policy.Endpoint
	passPurge   func() bool // reports whether to pass on a purge
	passEnded   func() bool // reports whether to pass on the outcome of an attempt
	changeScope func(s *policy.Scope) *policy.Scope
}

func (i *moduleInterceptor) StartLookup(now policy.Micros, arrival policy.Arrival) *policy.Lookup {
	if i.changeScope != nil && arrival.Scope != nil {
		arrival.Scope = i.changeScope(arrival.Scope)
	}
	return i.Router.StartLookup(now, arrival)
}

func (i *moduleInterceptor) UpdateEndpoints(now policy.Micros, what policy.UpdateKind, rows []policy.Endpoint) {
	if i.changeRows != nil {
		rows = i.changeRows(slices.Clone(rows))
	}
	i.Router.UpdateEndpoints(now, what, rows)
}

func (i *moduleInterceptor) ApplyPurge(now policy.Micros, name string, group int, ago policy.Micros) {
	if i.passPurge == nil || i.passPurge() {
		i.Router.ApplyPurge(now, name, group, ago)
	}
}

func (i *moduleInterceptor) AttemptEnded(now policy.Micros, lk *policy.Lookup, report policy.AttemptReport) {
	if i.passEnded == nil || i.passEnded() {
		i.Router.AttemptEnded(now, lk, report)
	}
}

// executorInterceptor wraps the module's executor. It passes on every call, except
// those that an injected fault or a hook replaces.
type executorInterceptor struct {
	policy.Executor
	fetch  func(executor policy.Executor, lk *policy.Lookup, request policy.FetchRequest)
	reject func(executor policy.Executor, lk *policy.Lookup, retryIn policy.Micros)
}

func (i *executorInterceptor) Fetch(lk *policy.Lookup, request policy.FetchRequest) {
	if i.fetch != nil {
		i.fetch(i.Executor, lk, request)
		return
	}
	i.Executor.Fetch(lk, request)
}

func (i *executorInterceptor) Reject(lk *policy.Lookup, retryIn policy.Micros) {
	if i.reject != nil {
		i.reject(i.Executor, lk, retryIn)
		return
	}
	i.Executor.Reject(lk, retryIn)
}
