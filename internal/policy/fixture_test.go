package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// fixture is a router and its executor, which records the calls that it receives.
type fixture struct {
	t        *testing.T
	router   *Router
	now      Micros
	attempts []startedAttempt
	calls    []string // recorded calls other than Fetch, SetTimer and Log, in order
	timers   int      // number of SetTimer calls
	scope    *Scope   // scope of the next lookup
}

// startedAttempt records one call of Fetch.
type startedAttempt struct {
	FetchRequest
	lookup *Lookup
	number int
}

func (f *fixture) Fetch(lookup *Lookup, request FetchRequest) {
	if lookup.ended {
		f.t.Fatalf("an attempt of lookup %s started after the lookup had ended", lookup.ID)
	}
	f.attempts = append(f.attempts, startedAttempt{request, lookup, len(lookup.attempts) - 1})
}

func (f *fixture) record(words ...any) { f.calls = append(f.calls, fmt.Sprint(words...)) }

func (f *fixture) CancelAttempt(lookup *Lookup, n int) { f.record("cancel ", lookup.ID, n) }
func (f *fixture) Reject(lookup *Lookup, _ Micros)     { f.record("reject ", lookup.ID) }
func (f *fixture) Fail(lookup *Lookup)                 { f.record("fail ", lookup.ID) }
func (f *fixture) SetTimer(Micros, int64)              { f.timers++ }
func (f *fixture) SubscribeEndpoints(bool)             { f.record("subscribe") }
func (f *fixture) Log(string)                          {}

// newFixture creates a router with three edge caches, two parents and an origin, and returns the caches in this
// order. If change is not nil, it modifies the settings.
func newFixture(t *testing.T, change func(*Settings)) (*fixture, []*Cache) {
	t.Helper()
	settings := &Settings{
		Gateways: 2, ZoneGateways: []int{2}, ParentKind: 1, OriginKind: 2,
		CoalescesFills: true, ReportsFirstByte: true, ReportsHits: true,
		TransferKBPerSecond: 1000, MaxAttempts: 6, CanCancel: true, MaxRetryAfter: second,
		SlowStartShare: 0.2, SlowStartTime: 10 * second, BreakMultiple: 2, BreakWindow: second,
		ParentSlowStartShare: 0.1, ParentSlowStartTime: 20 * second, ParentBreakMultiple: 2,
		PurgeSettleTime: 6 * second,
		Kinds: []ObjectKind{
			{LatencyBudget: 400 * millisecond, BudgetStretch: 1.5, Deadline: 5 * second, Utility: 2, DedupWindow: 5 * second},
			{LatencyBudget: 300 * millisecond, BudgetStretch: 2, Deadline: 3 * second, Utility: 1, MaxAge: 8 * second, DedupWindow: 5 * second}},
	}
	if change != nil {
		change(settings)
	}
	f := &fixture{t: t, now: 100 * second}
	f.router = NewRouter(f.now, 7, settings, f)
	var caches []*Cache
	var endpoints []Endpoint
	for i, kind := range []int{0, 0, 0, 1, 1, 2} {
		c := NewCache(fmt.Sprint("c", i))
		caches = append(caches, c)
		endpoints = append(endpoints, Endpoint{Cache: c, Kind: kind, Cell: i, Zone: min(kind, 1), Weight: 1})
	}
	f.router.UpdateEndpoints(f.now, UpdateCached, endpoints)
	return f, caches
}

// lookUp starts a lookup of 100 KB, which takes 100 ms of transfer time.
func (f *fixture) lookUp(kind int, object string) *Lookup {
	return f.lookUpSized(kind, object, 100)
}

func (f *fixture) lookUpSized(kind int, object string, kb float64) *Lookup {
	id := fmt.Sprint("lookup", len(f.attempts), "-", object, "-", f.now)
	scope := f.scope
	f.scope = nil
	return f.router.StartLookup(f.now, Arrival{ID: id, Kind: kind, Object: object, Group: 3, SizeKB: kb, Deadline: f.now + 3*second, Scope: scope})
}

func (f *fixture) lastAttempt() startedAttempt { return f.attempts[len(f.attempts)-1] }

// endAttempt reports the end of an attempt. A satisfied attempt ends its lookup.
func (f *fixture) endAttempt(a startedAttempt, outcome AttemptOutcome, detail OutcomeDetail, latency Micros) {
	f.router.AttemptEnded(f.now, a.lookup, AttemptReport{Attempt: a.number, Outcome: outcome, Detail: detail, Latency: latency, SourceWait: latency,
		LookupEnded: outcome == OutcomeSatisfied})
}

// isOpen reports whether an attempt is open, which means that its end has not been reported.
func (f *fixture) isOpen(a startedAttempt) bool {
	return slices.Contains(f.router.openAttempts, a.lookup.attempts[a.number])
}

// advance moves the time forward by a duration and fires the sweep timer at each sweep interval.
func (f *fixture) advance(duration Micros) {
	for end := f.now + duration; f.now < end; {
		f.now += sweepInterval
		f.router.TimerFired(f.now, timerSweep)
	}
}

// updateEndpoint updates the state and start time of a cache in the endpoint list.
func (f *fixture) updateEndpoint(c *Cache, state EndpointState, startedAt Micros) {
	endpoint := c.Endpoint
	endpoint.Cache, endpoint.State, endpoint.StartedAt = c, state, startedAt
	f.router.UpdateEndpoints(f.now, UpdateDelta, []Endpoint{endpoint})
}

// lastCallIs reports whether the last recorded call has the given name: reject, fail, cancel or subscribe.
func (f *fixture) lastCallIs(name string) bool {
	return len(f.calls) > 0 && strings.HasPrefix(f.calls[len(f.calls)-1], name)
}

// withoutReports changes the settings to caches that report neither hits nor first bytes.
func withoutReports(settings *Settings) {
	settings.ReportsFirstByte = false
	settings.ReportsHits = false
}
