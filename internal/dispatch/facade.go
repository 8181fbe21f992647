// Package dispatch owns the router and gives the network three blocking calls: Pick waits for what a lookup
// needs done next, Report tells how a send ended, Tick brings time, lists and purges. It decides nothing.
package dispatch

import (
	"fmt"
	"maps"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/policy"
)

// lateBy is past a lookup's deadline, within the slack that its answer has.
const deadlineSlack = 20 * time.Millisecond

// StepKind is to be done for a lookup.
type StepKind int

const (
	StepFetch  StepKind = 1 + iota // ask a cache
	StepCancel                     // give send N up
	// The rest end the lookup; there is exactly one of them, and no Send after it.
	StepSatisfied // with what send N brought
	StepRejected
	StepFailed
	StepClientGone // the client left, nothing is owed
)

// Step is one thing to do for a lookup.
type Step struct {
	Kind           StepKind
	Attempt        int
	Cache, Source  *policy.Cache // Source is To where a miss is not to be filled
	Rank           int
	Mode           policy.FetchMode
	Timeout        policy.Micros
	SilenceTimeout policy.Micros // how long its connection may say nothing
	MaxAge         policy.Micros
	RetryAfter     policy.Micros
}

// Lookup is one lookup that the router holds.
type Lookup struct {
	Deadline     time.Time
	routed       *policy.Lookup
	steps        []Step
	stepsReady   env.Notifier // rung when there are steps
	onReady      func()       // called in its place, under the lock: it must not wait
	startedAt    []policy.Micros
	targets      []target // of sends, while someone looks on
	openAttempts int      // sends without an ending
	ended        bool
}

// target is where a send went.
type target struct{ edge, source *policy.Cache }

type timer struct {
	due   policy.Micros
	token int64
}

// Dispatcher is the router behind one lock, which is never held over a wait.
type Dispatcher struct {
	environment  env.Environment
	mu           sync.Mutex
	router       Router
	policyRouter *policy.Router // the same, whoever stands between
	queued       int            // sends decided and not yet picked
	startedAt    time.Time
	startMicros  policy.Micros // the Unix clock at began; from there the clock that never runs backwards counts
	lookups      map[string]*Lookup
	timers       []timer
	onOutcome    func(to, source *policy.Cache, how policy.AttemptOutcome, remark policy.OutcomeDetail)
}

// Router is what the facade tells the router, each call at its instant; *logic.Router is one.
type Router interface {
	UpdateEndpoints(now policy.Micros, what policy.UpdateKind, rows []policy.Endpoint)
	StartLookup(now policy.Micros, door string, kind int, name string, part, group int, kb float64,
		deadline policy.Micros, write, repeat bool) *policy.Lookup
	AttemptEnded(now policy.Micros, lk *policy.Lookup, n int, e policy.AttemptOutcome, remark policy.OutcomeDetail, took, waited policy.Micros,
		closed bool)
	ClientGone(now policy.Micros, lk *policy.Lookup)
	GiveUp(now policy.Micros, lk *policy.Lookup)
	MayStartAttempt(now policy.Micros, lk *policy.Lookup, n int) bool
	ApplyPurge(now policy.Micros, name string, group int, ago policy.Micros)
	TimerFired(now policy.Micros, token int64)
	SetNextScope(s *policy.Scope)
	InFlight() int
	Health(see func(c *policy.Cache, heard policy.Micros, out bool))
}

// Interceptor stands between the facade and the module, for whoever looks on: it makes the module with a host of its own
// choosing before h, and what it returns is told everything.
type Interceptor func(h policy.Executor, start func(h policy.Executor) Router) Router

// New makes the router; between may be nil.
func New(g env.Environment, seed uint64, its *policy.Settings, between Interceptor) *Dispatcher {
	f := &Dispatcher{environment: g, startedAt: g.Now(), lookups: map[string]*Lookup{}}
	f.startMicros = f.startedAt.UnixMicro()
	start := func(h policy.Executor) Router {
		f.policyRouter = policy.NewRouter(f.startMicros, seed, its, h)
		return f.policyRouter
	}
	if between == nil {
		f.router = start((*executor)(f))
	} else {
		f.router = between((*executor)(f), start)
	}
	return f
}

func (f *Dispatcher) now() policy.Micros {
	return f.startMicros + f.environment.Now().Sub(f.startedAt).Microseconds()
}

// recoverFault keeps a fault of the module from ending the gateway: the lookup concerned runs into its deadline.
func (f *Dispatcher) recoverFault() {
	if p := recover(); p != nil {
		f.environment.Log().Error("module_fault", "text", fmt.Sprint(p), "stack", string(debug.Stack()))
	}
}

// Submit hands a lookup to the router; nil if it could not, most likely as one with this id is open.
func (f *Dispatcher) Submit(id string, kind int, object string, part, group int, kb float64, deadline time.Time) *Lookup {
	return f.SubmitWithin(id, kind, object, part, group, kb, deadline, nil, nil)
}

// SubmitWithin is Take within a scope (nil: all), for who does not wait in Pick where ready is told: it is called, under the facade's lock,
// whenever Next has something.
func (f *Dispatcher) SubmitWithin(id string, kind int, object string, part, group int, kb float64, deadline time.Time, scope *policy.Scope,
	ready func()) (l *Lookup) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lookups[id] != nil {
		return nil
	}
	if l = (&Lookup{Deadline: deadline, onReady: ready}); ready == nil {
		l.stepsReady = f.environment.NewNotifier()
	}
	f.lookups[id] = l
	defer func() {
		if l.routed == nil { // a fault of the module
			delete(f.lookups, id)
			l = nil
		}
	}()
	defer f.recoverFault()
	now := f.now()
	if scope != nil {
		f.router.SetNextScope(scope)
	}
	l.routed = f.router.StartLookup(now, id, kind, object, part, group, kb, now+deadline.Sub(f.environment.Now()).Microseconds(),
		false, false)
	f.forget(id, l)
	return l
}

// WaitStep waits for the lookup's next step. A lookup that nothing has ended shortly after its deadline fails: that
// guards rule 1 against a fault of the module and against a send whose ending is never told.
func (f *Dispatcher) WaitStep(l *Lookup) Step {
	for {
		if s, ok := f.NextStep(l); ok {
			return s
		}
		if !l.stepsReady.Wait(max(0, l.Deadline.Sub(f.environment.Now())+deadlineSlack)) {
			f.closeLookup(l, StepFailed)
		}
	}
}

// NextStep is a lookup's next step if there is one now. A send that may not go out any more is none: it ends here, as never sent.
func (f *Dispatcher) NextStep(l *Lookup) (s Step, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(l.steps) > 0 {
		s = l.steps[0]
		if l.steps = l.steps[1:]; s.Kind != StepFetch {
			return s, true
		}
		if f.queued--; f.maySend(l, s) {
			return s, true
		}
		f.attemptEnded(l, s.Attempt, policy.OutcomeNotSent, policy.DetailNone, 0)
	}
	return Step{}, false
}

// MaySend tells whether a send that was decided some time ago may begin to go out now; if not, it is to be reported as never sent.
func (f *Dispatcher) MaySend(l *Lookup, s Step) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maySend(l, s)
}

// maySend guards the time between a decision and its first byte, in which a send waits for its lookup's goroutine, for its connection to
// come up or behind what a cache does not take. Meanwhile the lookup may have ended or its client left, its time may be over, and
// the list may have told that the cache or its source drains or is gone (rule 3 counts a send from its first byte). Rule 2's window and
// circle are the module's; a fault of it there withdraws the send.
func (f *Dispatcher) maySend(l *Lookup, s Step) (may bool) {
	defer f.recoverFault()
	return !l.ended && f.environment.Now().Before(l.Deadline) && s.Cache.State == policy.Ready && s.Source.State == policy.Ready &&
		f.router.MayStartAttempt(f.now(), l.routed, s.Attempt)
}

// LateBy is past a lookup's deadline: one that nothing has ended by then is to be failed, as Pick does by itself.
const DeadlineSlack = deadlineSlack

// FailOverdue fails a lookup that nothing has ended; see LateBy.
func (f *Dispatcher) FailOverdue(l *Lookup) { f.closeLookup(l, StepFailed) }

// AttemptEnded tells how a send ended. It returns false for an answer that came too late to be used.
func (f *Dispatcher) AttemptEnded(l *Lookup, n int, how policy.AttemptOutcome, remark policy.OutcomeDetail, waited policy.Micros) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attemptEnded(l, n, how, remark, waited)
}

// attemptEnded takes a send's ending, under the lock.
func (f *Dispatcher) attemptEnded(l *Lookup, n int, how policy.AttemptOutcome, remark policy.OutcomeDetail, waited policy.Micros) bool {
	now, used := f.now(), how == policy.OutcomeSatisfied && !l.ended
	if l.openAttempts--; used {
		l.finish(Step{Kind: StepSatisfied, Attempt: n})
	}
	defer f.recoverFault()
	if f.onOutcome != nil && n < len(l.targets) {
		f.onOutcome(l.targets[n].edge, l.targets[n].source, how, remark)
	}
	f.router.AttemptEnded(now, l.routed, n, how, remark, now-l.startedAt[n], waited, l.ended)
	f.forget(l.routed.ID, l)
	return used
}

// ClientGone tells that the client has gone.
func (f *Dispatcher) ClientGone(l *Lookup) { f.closeLookup(l, StepClientGone) }

// closeLookup ends a lookup without the router, if it has not ended.
func (f *Dispatcher) closeLookup(l *Lookup, how StepKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !l.ended {
		l.finish(Step{Kind: how})
		defer f.recoverFault()
		f.router.ClientGone(f.now(), l.routed)
		f.forget(l.routed.ID, l)
	}
}

// Stop has the router give up every lookup still open; the gateway is about to be killed. A lookup that may have had its effect
// fails, any other is nacked.
func (f *Dispatcher) Stop() {
	f.mu.Lock()
	open := make([]*Lookup, 0, len(f.lookups))
	for _, id := range slices.Sorted(maps.Keys(f.lookups)) { // in an order that does not change from run to run
		open = append(open, f.lookups[id])
	}
	f.mu.Unlock()
	for _, l := range open {
		f.GiveUp(l)
		f.closeLookup(l, StepFailed) // only after a fault of the module
	}
}

// GiveUp has the router give a lookup up, if it has not ended: a nack, or a failure where it may have had its effect.
func (f *Dispatcher) GiveUp(l *Lookup) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !l.ended {
		defer f.recoverFault()
		f.router.GiveUp(f.now(), l.routed)
	}
}

// Purge is word that copies of an object, or of a group where Object is empty, from before Issued are out of date.
type Purge struct {
	Object   string
	Group    int
	IssuedAt time.Time
}

// Tick brings the time, changes to the list (or the whole of it) and purges; it returns when to come next.
func (f *Dispatcher) Tick(rows []policy.Endpoint, whole bool, purges []Purge) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.recoverFault()
	now := f.now()
	if whole {
		f.router.UpdateEndpoints(now, policy.UpdateFull, rows)
	} else if len(rows) > 0 {
		f.router.UpdateEndpoints(now, policy.UpdateDelta, rows)
	}
	for _, p := range purges {
		f.router.ApplyPurge(now, p.Object, p.Group, max(0, now-p.IssuedAt.UnixMicro()))
	}
	var due []timer
	kept := f.timers[:0]
	for _, t := range f.timers {
		if t.due <= now {
			due = append(due, t)
		} else {
			kept = append(kept, t)
		}
	}
	f.timers = kept
	for _, t := range due {
		f.router.TimerFired(now, t.token)
	}
	next := now + time.Second.Microseconds()
	for _, t := range f.timers {
		next = min(next, t.due)
	}
	return time.Duration(next-f.now()) * time.Microsecond
}

// RestoreEndpoints tells the router of the whole list as it was kept from before, with what each row is worth.
func (f *Dispatcher) RestoreEndpoints(rows []policy.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.recoverFault()
	f.router.UpdateEndpoints(f.now(), policy.UpdateCached, rows)
}

// ObserveOutcomes has each ending told to look, under the lock: it must not wait, nor call the facade.
func (f *Dispatcher) ObserveOutcomes(look func(to, source *policy.Cache, how policy.AttemptOutcome, remark policy.OutcomeDetail)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onOutcome = look
}

// Health gives the caches that gave a good answer since a time, and those that are out now, each in the list's order.
func (f *Dispatcher) Health(since time.Time) (heard, out []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	from := f.startMicros + since.Sub(f.startedAt).Microseconds()
	f.router.Health(func(c *policy.Cache, last policy.Micros, isOut bool) {
		if last > 0 && last >= from {
			heard = append(heard, c.Name)
		}
		if isOut {
			out = append(out, c.Name)
		}
	})
	return heard, out
}

// SetFleetSize tells the router how many there are, as the fleet counts them.
func (f *Dispatcher) SetFleetSize(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.policyRouter.FleetSize = n
}

// OpenLookups counts the lookups without a final answer or with sends still out.
func (f *Dispatcher) OpenLookups() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.lookups)
}

// InFlight is how many sends the module takes for out, and how many of them have not been picked yet.
func (f *Dispatcher) InFlight() (sends, queued int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.InFlight(), f.queued
}

func (f *Dispatcher) forget(id string, l *Lookup) {
	if l.ended && l.openAttempts <= 0 {
		delete(f.lookups, id)
	}
}

func (l *Lookup) pushStep(s Step) {
	l.steps = append(l.steps, s)
	if l.onReady != nil {
		l.onReady()
		return
	}
	l.stepsReady.Notify()
}

func (l *Lookup) finish(s Step) {
	if !l.ended {
		l.ended = true
		l.pushStep(s)
	}
}

// executor is the router's side of the facade; its calls come from within the router's, under the lock.
type executor Dispatcher

func (h *executor) Fetch(lk *policy.Lookup, to, source *policy.Cache, rank int, how policy.FetchMode,
	patience, hush, oldest policy.Micros) {
	l := h.lookups[lk.ID]
	l.startedAt = append(l.startedAt, (*Dispatcher)(h).now())
	l.openAttempts++
	h.queued++
	if h.onOutcome != nil {
		for len(l.targets) < len(l.startedAt)-1 {
			l.targets = append(l.targets, target{to, source}) // from before it was asked for
		}
		l.targets = append(l.targets, target{to, source})
	}
	l.pushStep(Step{Kind: StepFetch, Attempt: len(l.startedAt) - 1, Cache: to, Source: source, Rank: rank, Mode: how,
		Timeout: patience, SilenceTimeout: hush, MaxAge: oldest})
}

func (h *executor) CancelAttempt(lk *policy.Lookup, send int) {
	if l := h.lookups[lk.ID]; l != nil {
		l.pushStep(Step{Kind: StepCancel, Attempt: send})
	}
}

func (h *executor) Reject(lk *policy.Lookup, retryIn policy.Micros) {
	h.finish(lk, Step{Kind: StepRejected, RetryAfter: retryIn})
}

func (h *executor) Fail(lk *policy.Lookup) { h.finish(lk, Step{Kind: StepFailed}) }

// finish ends a lookup for the router, which may do so amid a call about another one, and forgets it.
func (h *executor) finish(lk *policy.Lookup, s Step) {
	if l := h.lookups[lk.ID]; l != nil {
		l.finish(s)
		(*Dispatcher)(h).forget(lk.ID, l)
	}
}

func (h *executor) SetTimer(in policy.Micros, token int64) {
	h.timers = append(h.timers, timer{(*Dispatcher)(h).now() + in, token})
}

// SubscribeEndpoints is carried out already: the bulletin is followed from the start.
func (h *executor) SubscribeEndpoints(bool) {}

func (h *executor) Log(line string) { h.environment.Log().Info("module", "note", line) }
