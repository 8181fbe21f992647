// Package extproc is what the doors for callers that make their sends themselves have in common: a proxy asks, for each lookup,
// where it should go, sends it there, and tells how that ended. Messages of a stream come in and replies go out in plain
// terms; how they stand on a wire is each door's own (door/extproc). What a lookup's sends may do is said by the desk
// (package retry), which cache gets one by the module behind the facade; this package decides neither.
//
// A stream has two goroutines while it lives, one that receives and one that replies. A lookup has none: who tells the router
// something looks for the steps that come of it, and Run does for steps that come by themselves. All stand on clock.Ground, so that the door plays on a virtual clock too. Bounds: Terms; a stream holds one message
// and at most mostReplies replies, past which it is read no further.
package extproc

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"foldslip/internal/admission"
	"foldslip/internal/cacheregistry"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/limit"
	"foldslip/internal/policy"
	"foldslip/internal/purgelog"
	"foldslip/internal/retry"
	"foldslip/internal/route"
	"foldslip/internal/route/rollout"
	"foldslip/internal/settings"
)

// Prefix is that of headers that are this program's to set, on the way to caches and back.
const Prefix = "x-foldslip-"

// Limits are the bounds of a door.
type Limits struct {
	Lookups           retry.Limits
	MaxStreams        int           // of one caller
	MessagesPerSecond float64       // of one caller a second; 0: any number
	BytesPerSecond    float64       // of one caller's messages a second; 0: any number
	SilenceTimeout    time.Duration // a stream on which a message is due and that says nothing for so long ends
	Weight            float64       // of a caller's part of the room, direct clients having 1
}

// Server is the service behind one listener. It lives as long as the gateway.
type Server struct {
	environment env.Environment
	limits      Limits
	settings    *settings.Settings
	dispatcher  *dispatch.Dispatcher
	caches      *cacheregistry.Registry
	purges      *purgelog.Log
	admission   *admission.Controller
	Routes      *rollout.Controller // nil: a lookup may go anywhere
	mu          sync.Mutex          // of what follows; held over one call of the facade only, Take, which waits for nothing
	table       *route.Table
	coordinator *retry.Coordinator
	callers     map[string]*caller
	anomalies   map[string]int // what callers did against the contract, beside what the desk saw
	streams     env.Group
	tracer      Tracer
	stepsReady  env.Notifier // rung when lookups have steps, and at the end
	readyMu     sync.Mutex
	ready       []*retry.Lookup // have steps that nobody is about to look for
}

// caller is one that has streams open, or had lately.
type caller struct {
	name         string
	streams      int
	messages     *rate.Limiter
	bytes        *rate.Limiter
	faults       *rate.Limiter // that it may commit
	blockedUntil time.Time     // until then it opens no streams
	blocksInRow  int           // times in a row
	burstDropped bool          // what it saved up while it was barred is gone
	idleSince    time.Time     // since when it has no stream
}

const (
	maxCallers        = 1024 // remembered at once
	callerRetention   = time.Minute
	maxQueuedReplies  = 8
	tickInterval      = 50 * time.Millisecond
	faultsPerSecond   = 20                     // messages past their rate or size and phases out of order, of one caller; past it
	blockTime         = 500 * time.Millisecond // doubled each time in a row, up to
	maxBlockDoublings = 5                      // times
	blockMemory       = 10 * time.Second       // within so long of the last time it is in a row
)

// New makes a door behind a table. purges may be nil.
func New(g env.Environment, its *settings.Settings, router *dispatch.Dispatcher, caches *cacheregistry.Registry, purges *purgelog.Log, room *admission.Controller,
	table *route.Table, terms Limits) *Server {
	if terms.Weight <= 0 {
		terms.Weight = 1
	}
	return &Server{environment: g, limits: terms, settings: its, dispatcher: router, caches: caches, purges: purges, admission: room, table: table,
		coordinator: retry.New(terms.Lookups), callers: map[string]*caller{}, anomalies: map[string]int{}, streams: g.NewGroup(), tracer: noTracer{}, stepsReady: g.NewNotifier()}
}

// SetTable puts another table in place for the lookups to come; those open keep what they were read as.
func (d *Server) SetTable(table *route.Table) {
	d.mu.Lock()
	d.table = table
	d.mu.Unlock()
}

// OpenLookups is how many lookups are open.
func (d *Server) OpenLookups() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.coordinator.OpenLookups()
}

// Anomalies counts what callers did against the contract.
func (d *Server) Anomalies() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	odd := maps.Clone(d.anomalies)
	for k, n := range d.coordinator.Anomalies() {
		odd[k] += n
	}
	return odd
}

// AttemptsOut is how many sends are at their callers.
func (d *Server) AttemptsOut() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.coordinator.AttemptsOut()
}

// Run brings the desk its time and lookups their steps until life ends, and then waits for the streams.
func (d *Server) Run(life *env.Lifetime) error {
	defer life.OnEnd(d.stepsReady.Notify)()
	for wait := time.Duration(0); !life.Ended(); {
		d.stepsReady.Wait(wait)
		d.deliverReady()
		d.mu.Lock()
		now := d.environment.Now()
		do, next := d.coordinator.Tick(now)
		d.mu.Unlock()
		d.apply(do)
		wait = min(tickInterval, max(time.Millisecond, next.Sub(now)))
	}
	err := d.streams.Wait()
	d.deliverReady()
	return err
}

// notifyReady notes that the router has steps for a lookup; it is called under the facade's lock.
func (d *Server) notifyReady(lk *retry.Lookup) {
	if lk.IsHandled() {
		return
	}
	d.readyMu.Lock()
	d.ready = append(d.ready, lk)
	d.readyMu.Unlock()
	d.stepsReady.Notify()
}

// deliverReady brings the desk the steps of all lookups that have some.
func (d *Server) deliverReady() {
	for {
		d.readyMu.Lock()
		list := d.ready
		d.ready = nil
		d.readyMu.Unlock()
		if len(list) == 0 {
			return
		}
		for _, lk := range list {
			d.deliverSteps(lk)
		}
	}
}

// deliverSteps brings the desk a lookup's steps, one after the other.
func (d *Server) deliverSteps(lk *retry.Lookup) {
	for {
		d.mu.Lock()
		step, some := d.dispatcher.NextStep(lk.Dispatched)
		if !some {
			d.mu.Unlock()
			return
		}
		do := d.coordinator.ApplyStep(d.environment.Now(), lk, step)
		d.mu.Unlock()
		d.tracer.StepDecided(lk, step)
		d.apply(do)
		if step.Kind != dispatch.StepFetch && step.Kind != dispatch.StepCancel {
			lk.Quota.Release()
			d.endTicket(lk, step.Kind)
		}
	}
}

// endTicket ends what the lookup's route let in.
func (d *Server) endTicket(lk *retry.Lookup, how dispatch.StepKind) {
	if lk.Ticket != nil {
		late := d.environment.Now().Sub(lk.ArrivedAt) > d.settings.LatencyBudget(lk.Request.Kind, lk.Request.KB)
		lk.Ticket.End(how == dispatch.StepSatisfied && !late, how == dispatch.StepRejected, late || how == dispatch.StepFailed)
	}
}

// apply carries out what the desk wants, without its lock.
func (d *Server) apply(do retry.Commands) {
	for _, t := range do.Reports {
		d.tracer.AttemptEnded(t.Lookup, t)
		t.Lookup.BeginHandling()
		d.dispatcher.AttemptEnded(t.Lookup.Dispatched, t.Attempt, t.Outcome, t.Detail, t.SourceWait)
		t.Lookup.EndHandling()
	}
	for _, lk := range do.Gone {
		d.dispatcher.ClientGone(lk.Dispatched)
	}
	for _, lk := range do.Overdue {
		d.dispatcher.FailOverdue(lk.Dispatched)
	}
	for _, say := range do.Answers {
		say.Stream.Owner.(*stream).receiveAnswer(say)
	}
	for _, t := range do.Reports {
		d.deliverSteps(t.Lookup)
	}
}

// caller finds or makes a caller and takes one more stream of it; nil where it has all that it may.
func (d *Server) enterCaller(name string) *caller {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.environment.Now()
	c := d.callers[name]
	if c == nil {
		if len(d.callers) >= maxCallers {
			for _, n := range slices.Sorted(maps.Keys(d.callers)) {
				if o := d.callers[n]; o.streams == 0 && now.Sub(o.idleSince) > callerRetention {
					delete(d.callers, n)
				}
			}
		}
		if len(d.callers) >= maxCallers {
			d.anomalies["callers_full"]++
			return nil
		}
		c = &caller{name: name, messages: newLimiter(d.limits.MessagesPerSecond), bytes: newLimiter(d.limits.BytesPerSecond), faults: newLimiter(faultsPerSecond)}
		d.callers[name] = c
	}
	if d.limits.MaxStreams > 0 && c.streams >= d.limits.MaxStreams {
		d.anomalies["streams_full"]++
		return nil
	}
	c.streams++
	return c
}

// AdmitsStream tells whether a caller may open a stream now, before anything is made for it.
func (d *Server) AdmitsStream(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.callers[name]
	now := d.environment.Now()
	if c == nil || now.After(c.blockedUntil) {
		if c != nil && c.blocksInRow > 0 && !c.burstDropped { // it begins with nothing saved up, so that no heap comes after the wait
			c.burstDropped = true
			if c.messages != nil {
				c.messages.AllowN(now, int(c.messages.TokensAt(now)))
			}
		}
		return true
	}
	d.anomalies["refused_while_barred"]++
	return false
}

// newLimiter allows a tenth of a second's worth at once, so that what a caller may send does not come in heaps.
func newLimiter(a float64) *rate.Limiter {
	if a <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(a), max(10, int(a/10)))
}

func (d *Server) leaveCaller(c *caller) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.streams--; c.streams == 0 {
		c.idleSince = d.environment.Now()
	}
}

// chargeMessage takes a message of a caller from what it may send; a reason where it is past that.
func (d *Server) chargeMessage(c *caller, size int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.environment.Now()
	why := ""
	switch {
	case c.messages != nil && !c.messages.AllowN(now, 1):
		why = "messages_past_rate"
	case c.bytes != nil && !c.bytes.AllowN(now, min(size, c.bytes.Burst())):
		why = "bytes_past_rate"
	default:
		return ""
	}
	d.countFault(now, c, why)
	return why
}

// countFault counts what a caller did against the contract, under the lock. One that does so over and over opens no streams for a while.
func (d *Server) countFault(now time.Time, c *caller, why string) {
	d.anomalies[why]++
	if c.faults.AllowN(now, 1) || !now.After(c.blockedUntil) {
		return
	}
	if c.blocksInRow++; now.Sub(c.blockedUntil) > blockMemory {
		c.blocksInRow = 1
	}
	c.blockedUntil, c.burstDropped = now.Add(blockTime<<min(c.blocksInRow-1, maxBlockDoublings)), false
	d.anomalies["barred"]++
}

// handleRequest takes the headers of a request: a reply at once, or none where the module is to be waited for.
func (d *Server) handleRequest(st *stream, m Message) (Reply, bool) {
	came := d.environment.Now()
	d.mu.Lock()
	table := d.table
	d.mu.Unlock()
	a, err := table.Match(m.Method, m.Path, m.Get)
	var fault *route.RequestError
	if errors.As(err, &fault) {
		return finalReply(fault.Status, fault.Text), true
	}
	if most := time.Duration(d.settings.Router.Kinds[a.Kind].Deadline) * time.Microsecond; a.TimeAllowed < 0 || a.TimeAllowed > most {
		a.TimeAllowed = most
	}
	until := came.Add(a.TimeAllowed)
	d.mu.Lock()
	if a.TimeAllowed <= 0 && !d.coordinator.Knows(&st.handle, a.ID) { // one that is known hears of its end, however late it is asked for
		d.mu.Unlock()
		return finalReply(503, "no time left"), true
	}
	lk, do := d.coordinator.Request(came, &st.handle, a.ID, until)
	if lk == nil { // known already, or refused by the desk
		d.mu.Unlock()
		d.apply(do)
		return Reply{}, false
	}
	places := d.admission.Gate(st.caller.name, d.limits.Weight)
	if !places.TryAdmit() {
		d.coordinator.Discard(lk)
		d.mu.Unlock()
		return d.fullReply(), true
	}
	lk.Object, lk.Group, lk.ETag, lk.Request, lk.Quota = a.Object, a.Group, a.Tag, &a, places
	var scope *policy.Scope
	if d.Routes != nil {
		pass, why, wait := d.Routes.Admit(a.Kind, a.Group, a.Object, a.KB)
		if why != limit.Allowed {
			d.coordinator.Discard(lk)
			d.mu.Unlock()
			places.Release()
			r := finalReply(503, "past a limit: "+string(why))
			r.RetryAfter = wait
			return r, true
		}
		lk.Ticket, scope = pass, pass.Scope()
	}
	lk.ArrivedAt = came
	lk.BeginHandling()
	lk.Dispatched = d.dispatcher.Submit(dispatch.Request{ID: a.ID, Kind: a.Kind, Object: a.Object, Part: a.Part, Group: a.Group, SizeKB: a.KB,
		Deadline: until, Scope: scope, OnReady: func() { d.notifyReady(lk) }})
	lk.EndHandling()
	if lk.Dispatched == nil {
		d.coordinator.Discard(lk)
		d.mu.Unlock()
		places.Release()
		d.endTicket(lk, dispatch.StepFailed)
		return finalReply(409, "this lookup is open already"), true
	}
	d.tracer.LookupStarted(lk, m.Get)
	d.mu.Unlock()
	d.deliverSteps(lk)
	return Reply{}, false
}

// fullReply is the answer to a lookup that there is no room for.
func (d *Server) fullReply() Reply {
	r := finalReply(503, "too many lookups")
	if most := d.settings.Router.MaxRetryAfter; most > 0 {
		r.RetryAfter = time.Duration(most) * time.Microsecond
	}
	return r
}

// handleReport takes the headers of a response. What is no use to the lookup counts for the module as at the users' door: an
// answer older than a purge that was told past its grace as none in time, since it has run, word of another copy than the client's as
// an error. What ran at the origin and tells no birth is no copy: no purge concerns it.
func (d *Server) handleReport(st *stream, m Message) {
	r := parseReport(m.Get)
	d.mu.Lock()
	lk := d.coordinator.LookupOf(&st.handle)
	if lk != nil && r.outcome == policy.OutcomeSatisfied {
		if r.notModified && (r.etag != lk.ETag || lk.ETag == "") {
			d.anomalies["valid_for_another_copy"]++
			r.outcome = policy.OutcomeError
		}
		if d.purges != nil {
			issued, told := d.purges.InForce(lk.Object, lk.Group)
			switch {
			case issued.IsZero():
			case r.createdAt.IsZero() && d.settings.Router.Kinds[lk.Request.Kind].PassThrough:
			case r.createdAt.IsZero():
				d.anomalies["birth_untold"]++ // with a purge about, an answer of no known age is not passed on
				r.outcome, r.detail = policy.OutcomeTimeout, policy.DetailNone
			case r.createdAt.Before(issued):
				now := d.environment.Now()
				d.environment.Log().Warn("outdated_copy", "caller", st.caller.name, "older_ms", issued.Sub(r.createdAt).Milliseconds(), "told_ms_ago",
					now.Sub(told).Milliseconds())
				r.outcome, r.detail = policy.OutcomeTimeout, policy.DetailNone
			}
		}
	}
	do := d.coordinator.ReportOutcome(&st.handle, r.outcome, r.detail, r.sourceWait)
	d.mu.Unlock()
	d.apply(do)
}

// replyFor puts what is said into plain terms.
func (d *Server) replyFor(say retry.Answer) Reply {
	switch say.Kind {
	case retry.AnswerAttempt:
		version, route := "", "" // of the routes that it was decided under; without, what a client sets there is removed
		if p := say.Lookup.Ticket; p != nil {
			version, route = strconv.FormatUint(p.Version, 10), p.Decision.Route
		}
		r := d.decision(say.Step)
		r.Decision = append(r.Decision, Header{Prefix + "version", version}, Header{Prefix + "route", route})
		return r
	case retry.AnswerAccepted:
		return Reply{}
	case retry.AnswerAskAgain:
		r := finalReply(503, "ask again")
		r.Headers = []Header{{Prefix + "again", "1"}}
		return r
	case retry.AnswerReject:
		r := finalReply(503, "nacked")
		r.RetryAfter = say.RetryAfter
		return r
	case retry.AnswerFail:
		return finalReply(502, "failed")
	case retry.AnswerOpenElsewhere:
		return finalReply(409, "this lookup is open already")
	case retry.AnswerAlreadyGiven:
		return finalReply(409, "this lookup has been answered")
	case retry.AnswerFull:
		return d.fullReply()
	}
	return Reply{End: EndedOutOfOrder}
}

// decision tells the caller what to send where.
func (d *Server) decision(s dispatch.Step) Reply {
	addr := ""
	if c := d.caches.Find(s.Cache.Name); c != nil {
		addr = c.Addr
	}
	return Reply{Decision: decisionHeaders(s, addr)}
}

// AnomalySummary is one line of what callers did against the contract, in one order.
func (d *Server) AnomalySummary() string {
	odd := d.Anomalies()
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(odd)) {
		fmt.Fprintf(&b, "%s:%d,", k, odd[k])
	}
	return strings.TrimSuffix(b.String(), ",")
}
