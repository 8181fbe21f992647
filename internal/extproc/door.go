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

	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/limit"
	"foldslip/internal/memory"
	"foldslip/internal/policy"
	"foldslip/internal/retry"
	"foldslip/internal/route"
	"foldslip/internal/route/rollout"
	"foldslip/internal/settings"
)

// Prefix is that of headers that are this program's to set, on the way to caches and back.
const Prefix = "x-foldslip-"

// Terms are the bounds of a door.
type Terms struct {
	Desk     retry.Terms
	Streams  int           // of one caller
	Messages float64       // of one caller a second; 0: any number
	Bytes    float64       // of one caller's messages a second; 0: any number
	Silent   time.Duration // a stream on which a message is due and that says nothing for so long ends
	Weight   float64       // of a caller's part of the room, direct clients having 1
}

// Door is the service behind one listener. It lives as long as the gateway.
type Door struct {
	g       env.Ground
	terms   Terms
	its     *settings.Terms
	router  *dispatch.Facade
	caches  *memory.Caches
	purges  *memory.Purges
	room    *memory.Room
	Routes  *rollout.Steer // nil: a lookup may go anywhere
	mu      sync.Mutex     // of what follows; held over one call of the facade only, Take, which waits for nothing
	table   *route.Table
	desk    *retry.Desk
	callers map[string]*caller
	odd     map[string]int // what callers did against the contract, beside what the desk saw
	group   env.Group
	trace   Tracer
	some    env.Bell // rung when lookups have steps, and at the end
	readyMu sync.Mutex
	waiting []*retry.Lookup // have steps that nobody is about to look for
}

// caller is one that has streams open, or had lately.
type caller struct {
	name     string
	streams  int
	messages *rate.Limiter
	bytes    *rate.Limiter
	faults   *rate.Limiter // that it may commit
	barred   time.Time     // until then it opens no streams
	bars     int           // times in a row
	drained  bool          // what it saved up while it was barred is gone
	gone     time.Time     // since when it has no stream
}

const (
	mostCallers = 1024 // remembered at once
	callerKept  = time.Minute
	mostReplies = 8
	pace        = 50 * time.Millisecond
	faultsASec  = 20                     // messages past their rate or size and phases out of order, of one caller; past it
	barredFor   = 500 * time.Millisecond // doubled each time in a row, up to
	barredMost  = 5                      // times
	barredAgain = 10 * time.Second       // within so long of the last time it is in a row
)

// New makes a door behind a table. purges may be nil.
func New(g env.Ground, its *settings.Terms, router *dispatch.Facade, caches *memory.Caches, purges *memory.Purges, room *memory.Room,
	table *route.Table, terms Terms) *Door {
	if terms.Weight <= 0 {
		terms.Weight = 1
	}
	return &Door{g: g, terms: terms, its: its, router: router, caches: caches, purges: purges, room: room, table: table,
		desk: retry.New(terms.Desk), callers: map[string]*caller{}, odd: map[string]int{}, group: g.Group(), trace: noTracer{}, some: g.Bell()}
}

// Swap puts another table in place for the lookups to come; those open keep what they were read as.
func (d *Door) Swap(table *route.Table) {
	d.mu.Lock()
	d.table = table
	d.mu.Unlock()
}

// Open is how many lookups are open.
func (d *Door) Open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.desk.Open()
}

// Odd counts what callers did against the contract.
func (d *Door) Odd() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	odd := maps.Clone(d.odd)
	for k, n := range d.desk.Odd {
		odd[k] += n
	}
	return odd
}

// Handed is how many sends are at their callers.
func (d *Door) Handed() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.desk.Handed()
}

// Run brings the desk its time and lookups their steps until life ends, and then waits for the streams.
func (d *Door) Run(life *env.Life) error {
	defer life.OnEnd(d.some.Ring)()
	for wait := time.Duration(0); !life.Over(); {
		d.some.Wait(wait)
		d.pumpAll()
		d.mu.Lock()
		now := d.g.Now()
		do, next := d.desk.Tick(now)
		d.mu.Unlock()
		d.apply(do)
		wait = min(pace, max(time.Millisecond, next.Sub(now)))
	}
	err := d.group.Wait()
	d.pumpAll()
	return err
}

// ready notes that the router has steps for a lookup; it is called under the facade's lock.
func (d *Door) ready(lk *retry.Lookup) {
	if lk.Held() {
		return
	}
	d.readyMu.Lock()
	d.waiting = append(d.waiting, lk)
	d.readyMu.Unlock()
	d.some.Ring()
}

// pumpAll brings the desk the steps of all lookups that have some.
func (d *Door) pumpAll() {
	for {
		d.readyMu.Lock()
		list := d.waiting
		d.waiting = nil
		d.readyMu.Unlock()
		if len(list) == 0 {
			return
		}
		for _, lk := range list {
			d.pump(lk)
		}
	}
}

// pump brings the desk a lookup's steps, one after the other.
func (d *Door) pump(lk *retry.Lookup) {
	for {
		d.mu.Lock()
		step, some := d.router.Next(lk.Lk)
		if !some {
			d.mu.Unlock()
			return
		}
		do := d.desk.Step(d.g.Now(), lk, step)
		d.mu.Unlock()
		d.trace.Decided(lk, step)
		d.apply(do)
		if step.What != dispatch.Send && step.What != dispatch.Cancel {
			lk.Places.Leave()
			d.leaveRoute(lk, step.What)
		}
	}
}

// leaveRoute ends what the lookup's route let in.
func (d *Door) leaveRoute(lk *retry.Lookup, how dispatch.What) {
	if lk.Pass != nil {
		late := d.g.Now().Sub(lk.Came) > d.its.Budget(lk.Asked.Kind, lk.Asked.KB)
		lk.Pass.End(how == dispatch.Satisfied && !late, how == dispatch.Nacked, late || how == dispatch.Failed)
	}
}

// apply carries out what the desk wants, without its lock.
func (d *Door) apply(do retry.Do) {
	for _, t := range do.Tell {
		d.trace.Ended(t.Of, t)
		t.Of.Hold(1)
		d.router.Report(t.Of.Lk, t.N, t.How, t.Remark, t.Waited)
		t.Of.Hold(-1)
	}
	for _, lk := range do.Leave {
		d.router.Leave(lk.Lk)
	}
	for _, lk := range do.Late {
		d.router.Late(lk.Lk)
	}
	for _, say := range do.Say {
		say.To.Said.(*stream).hear(say)
	}
	for _, t := range do.Tell {
		d.pump(t.Of)
	}
}

// caller finds or makes a caller and takes one more stream of it; nil where it has all that it may.
func (d *Door) enter(name string) *caller {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.g.Now()
	c := d.callers[name]
	if c == nil {
		if len(d.callers) >= mostCallers {
			for _, n := range slices.Sorted(maps.Keys(d.callers)) {
				if o := d.callers[n]; o.streams == 0 && now.Sub(o.gone) > callerKept {
					delete(d.callers, n)
				}
			}
		}
		if len(d.callers) >= mostCallers {
			d.odd["callers_full"]++
			return nil
		}
		c = &caller{name: name, messages: limiter(d.terms.Messages), bytes: limiter(d.terms.Bytes), faults: limiter(faultsASec)}
		d.callers[name] = c
	}
	if d.terms.Streams > 0 && c.streams >= d.terms.Streams {
		d.odd["streams_full"]++
		return nil
	}
	c.streams++
	return c
}

// Admits tells whether a caller may open a stream now, before anything is made for it.
func (d *Door) Admits(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.callers[name]
	now := d.g.Now()
	if c == nil || now.After(c.barred) {
		if c != nil && c.bars > 0 && !c.drained { // it begins with nothing saved up, so that no heap comes after the wait
			c.drained = true
			if c.messages != nil {
				c.messages.AllowN(now, int(c.messages.TokensAt(now)))
			}
		}
		return true
	}
	d.odd["refused_while_barred"]++
	return false
}

// limiter allows a tenth of a second's worth at once, so that what a caller may send does not come in heaps.
func limiter(a float64) *rate.Limiter {
	if a <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(a), max(10, int(a/10)))
}

func (d *Door) leave(c *caller) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.streams--; c.streams == 0 {
		c.gone = d.g.Now()
	}
}

// spend takes a message of a caller from what it may send; a reason where it is past that.
func (d *Door) spend(c *caller, size int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.g.Now()
	why := ""
	switch {
	case c.messages != nil && !c.messages.AllowN(now, 1):
		why = "messages_past_rate"
	case c.bytes != nil && !c.bytes.AllowN(now, min(size, c.bytes.Burst())):
		why = "bytes_past_rate"
	default:
		return ""
	}
	d.fault(now, c, why)
	return why
}

// fault counts what a caller did against the contract, under the lock. One that does so over and over opens no streams for a while.
func (d *Door) fault(now time.Time, c *caller, why string) {
	d.odd[why]++
	if c.faults.AllowN(now, 1) || !now.After(c.barred) {
		return
	}
	if c.bars++; now.Sub(c.barred) > barredAgain {
		c.bars = 1
	}
	c.barred, c.drained = now.Add(barredFor<<min(c.bars-1, barredMost)), false
	d.odd["barred"]++
}

// ask takes the headers of a request: a reply at once, or none where the module is to be waited for.
func (d *Door) ask(st *stream, m Message) (Reply, bool) {
	came := d.g.Now()
	d.mu.Lock()
	table := d.table
	d.mu.Unlock()
	a, err := table.Lookup(m.Method, m.Path, m.Get)
	var fault *route.Fault
	if errors.As(err, &fault) {
		return final(fault.Status, fault.Text), true
	}
	if most := time.Duration(d.its.Router.Kinds[a.Kind].GiveUp) * time.Microsecond; a.Allow < 0 || a.Allow > most {
		a.Allow = most
	}
	until := came.Add(a.Allow)
	d.mu.Lock()
	if a.Allow <= 0 && !d.desk.Knows(&st.on, a.ID) { // one that is known hears of its end, however late it is asked for
		d.mu.Unlock()
		return final(503, "no time left"), true
	}
	lk, do := d.desk.Ask(came, &st.on, a.ID, until)
	if lk == nil { // known already, or refused by the desk
		d.mu.Unlock()
		d.apply(do)
		return Reply{}, false
	}
	places := d.room.For(st.caller.name, d.terms.Weight)
	if !places.Enter() {
		d.desk.Refused(lk)
		d.mu.Unlock()
		return d.full(), true
	}
	lk.Object, lk.Group, lk.Tag, lk.Asked, lk.Places = a.Object, a.Group, a.Tag, &a, places
	var scope *policy.Scope
	if d.Routes != nil {
		pass, why, wait := d.Routes.Admit(a.Kind, a.Group, a.Object, a.KB)
		if why != limit.Allowed {
			d.desk.Refused(lk)
			d.mu.Unlock()
			places.Leave()
			r := final(503, "past a limit: "+string(why))
			r.Wait = wait
			return r, true
		}
		lk.Pass, scope = pass, pass.Scope()
	}
	lk.Came = came
	lk.Hold(1)
	lk.Lk = d.router.TakeFor(a.ID, a.Kind, a.Object, a.Part, a.Group, a.KB, until, scope, func() { d.ready(lk) })
	lk.Hold(-1)
	if lk.Lk == nil {
		d.desk.Refused(lk)
		d.mu.Unlock()
		places.Leave()
		d.leaveRoute(lk, dispatch.Failed)
		return final(409, "this lookup is open already"), true
	}
	d.trace.Began(lk, m.Get)
	d.mu.Unlock()
	d.pump(lk)
	return Reply{}, false
}

// full is the answer to a lookup that there is no room for.
func (d *Door) full() Reply {
	r := final(503, "too many lookups")
	if most := d.its.Router.MaxRetryIn; most > 0 {
		r.Wait = time.Duration(most) * time.Microsecond
	}
	return r
}

// report takes the headers of a response. What is no use to the lookup counts for the module as at the users' door: an
// answer older than a purge that was told past its grace as none in time, since it has run, word of another copy than the client's as
// an error. What ran at the origin and tells no birth is no copy: no purge concerns it.
func (d *Door) report(st *stream, m Message) {
	r := readReport(m.Get)
	d.mu.Lock()
	lk := d.desk.Of(&st.on)
	if lk != nil && r.how == policy.Satisfied {
		if r.same && (r.tag != lk.Tag || lk.Tag == "") {
			d.odd["valid_for_another_copy"]++
			r.how = policy.Errored
		}
		if d.purges != nil {
			issued, told := d.purges.Heeded(lk.Object, lk.Group)
			switch {
			case issued.IsZero():
			case r.born.IsZero() && d.its.Router.Kinds[lk.Asked.Kind].PassThrough:
			case r.born.IsZero():
				d.odd["birth_untold"]++ // with a purge about, an answer of no known age is not passed on
				r.how, r.remark = policy.TimedOut, policy.Untold
			case r.born.Before(issued):
				now := d.g.Now()
				d.g.Log().Warn("outdated_copy", "caller", st.caller.name, "older_ms", issued.Sub(r.born).Milliseconds(), "told_ms_ago",
					now.Sub(told).Milliseconds())
				r.how, r.remark = policy.TimedOut, policy.Untold
			}
		}
	}
	do := d.desk.Report(d.g.Now(), &st.on, r.how, r.remark, r.waited)
	d.mu.Unlock()
	d.apply(do)
}

// reply puts what is said into plain terms.
func (d *Door) reply(say retry.Say) Reply {
	switch say.What {
	case retry.Go:
		version, route := "", "" // of the routes that it was decided under; without, what a client sets there is removed
		if p := say.Of.Pass; p != nil {
			version, route = strconv.FormatUint(p.Version, 10), p.Decided.Route
		}
		r := d.decision(say.Send)
		r.Send = append(r.Send, Field{Prefix + "version", version}, Field{Prefix + "route", route})
		return r
	case retry.Accepted:
		return Reply{}
	case retry.Again:
		r := final(503, "ask again")
		r.Fields = []Field{{Prefix + "again", "1"}}
		return r
	case retry.Nack:
		r := final(503, "nacked")
		r.Wait = say.Wait
		return r
	case retry.Fail:
		return final(502, "failed")
	case retry.Twice:
		return final(409, "this lookup is open already")
	case retry.Known:
		return final(409, "this lookup has been answered")
	case retry.Full:
		return d.full()
	}
	return Reply{Ends: Disorder}
}

// decision tells the caller what to send where.
func (d *Door) decision(s dispatch.Step) Reply {
	addr := ""
	if c := d.caches.Find(s.To.Name); c != nil {
		addr = c.Addr
	}
	return Reply{Send: decision(s, addr)}
}

// LogOdd is one line of what callers did against the contract, in one order.
func (d *Door) LogOdd() string {
	odd := d.Odd()
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(odd)) {
		fmt.Fprintf(&b, "%s:%d,", k, odd[k])
	}
	return strings.TrimSuffix(b.String(), ",")
}
