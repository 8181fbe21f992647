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
const lateBy = 20 * time.Millisecond

// What is to be done for a lookup.
type What int

const (
	Send   What = 1 + iota // ask a cache
	Cancel                 // give send N up
	// The rest end the lookup; there is exactly one of them, and no Send after it.
	Satisfied // with what send N brought
	Nacked
	Failed
	Departed // the client left, nothing is owed
)

// Step is one thing to do for a lookup.
type Step struct {
	What       What
	N          int
	To, Source *policy.Cache // Source is To where a miss is not to be filled
	Rank       int
	How        policy.How
	Patience   policy.Micros
	Hush       policy.Micros // how long its connection may say nothing
	Oldest     policy.Micros
	RetryIn    policy.Micros
}

// Lookup is one lookup that the router holds.
type Lookup struct {
	Deadline time.Time
	its      *policy.Lookup
	steps    []Step
	some     env.Bell // rung when there are steps
	ready    func()   // called in its place, under the lock: it must not wait
	sentAt   []policy.Micros
	ways     []way // of sends, while someone looks on
	out      int   // sends without an ending
	over     bool
}

// way is where a send went.
type way struct{ to, source *policy.Cache }

type timer struct {
	due   policy.Micros
	token int64
}

// Facade is the router behind one lock, which is never held over a wait.
type Facade struct {
	g      env.Ground
	mu     sync.Mutex
	router Module
	its    *policy.Router // the same, whoever stands between
	queued int            // sends decided and not yet picked
	began  time.Time
	base   policy.Micros // the Unix clock at began; from there the clock that never runs backwards counts
	open   map[string]*Lookup
	timers []timer
	seen   func(to, source *policy.Cache, how policy.Ending, remark policy.Remark)
}

// Module is what the facade tells the router, each call at its instant; *logic.Router is one.
type Module interface {
	Listed(now policy.Micros, what policy.ListKind, rows []policy.Row)
	Arrive(now policy.Micros, door string, kind int, name string, part, group int, kb float64,
		deadline policy.Micros, write, repeat bool) *policy.Lookup
	Ended(now policy.Micros, lk *policy.Lookup, n int, e policy.Ending, remark policy.Remark, took, waited policy.Micros,
		closed bool)
	Departed(now policy.Micros, lk *policy.Lookup)
	GiveUp(now policy.Micros, lk *policy.Lookup)
	MayBegin(now policy.Micros, lk *policy.Lookup, n int) bool
	Purged(now policy.Micros, name string, group int, ago policy.Micros)
	Woken(now policy.Micros, token int64)
	Within(s *policy.Scope)
	InFlight() int
	Health(see func(c *policy.Cache, heard policy.Micros, out bool))
}

// Between stands between the facade and the module, for whoever looks on: it makes the module with a host of its own
// choosing before h, and what it returns is told everything.
type Between func(h policy.Host, start func(h policy.Host) Module) Module

// Start makes the router; between may be nil.
func Start(g env.Ground, seed uint64, its *policy.Charter, between Between) *Facade {
	f := &Facade{g: g, began: g.Now(), open: map[string]*Lookup{}}
	f.base = f.began.UnixMicro()
	start := func(h policy.Host) Module {
		f.its = policy.Start(f.base, seed, its, h)
		return f.its
	}
	if between == nil {
		f.router = start((*host)(f))
	} else {
		f.router = between((*host)(f), start)
	}
	return f
}

func (f *Facade) now() policy.Micros { return f.base + f.g.Now().Sub(f.began).Microseconds() }

// guard keeps a fault of the module from ending the gateway: the lookup concerned runs into its deadline.
func (f *Facade) guard() {
	if p := recover(); p != nil {
		f.g.Log().Error("module_fault", "text", fmt.Sprint(p), "stack", string(debug.Stack()))
	}
}

// Take hands a lookup to the router; nil if it could not, most likely as one with this id is open.
func (f *Facade) Take(id string, kind int, object string, part, group int, kb float64, deadline time.Time) *Lookup {
	return f.TakeFor(id, kind, object, part, group, kb, deadline, nil, nil)
}

// TakeFor is Take within a scope (nil: all), for who does not wait in Pick where ready is told: it is called, under the facade's lock,
// whenever Next has something.
func (f *Facade) TakeFor(id string, kind int, object string, part, group int, kb float64, deadline time.Time, scope *policy.Scope,
	ready func()) (l *Lookup) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open[id] != nil {
		return nil
	}
	if l = (&Lookup{Deadline: deadline, ready: ready}); ready == nil {
		l.some = f.g.Bell()
	}
	f.open[id] = l
	defer func() {
		if l.its == nil { // a fault of the module
			delete(f.open, id)
			l = nil
		}
	}()
	defer f.guard()
	now := f.now()
	if scope != nil {
		f.router.Within(scope)
	}
	l.its = f.router.Arrive(now, id, kind, object, part, group, kb, now+deadline.Sub(f.g.Now()).Microseconds(),
		false, false)
	f.drop(id, l)
	return l
}

// Pick waits for the lookup's next step. A lookup that nothing has ended shortly after its deadline fails: that
// guards rule 1 against a fault of the module and against a send whose ending is never told.
func (f *Facade) Pick(l *Lookup) Step {
	for {
		if s, ok := f.Next(l); ok {
			return s
		}
		if !l.some.Wait(max(0, l.Deadline.Sub(f.g.Now())+lateBy)) {
			f.close(l, Failed)
		}
	}
}

// Next is a lookup's next step if there is one now. A send that may not go out any more is none: it ends here, as never sent.
func (f *Facade) Next(l *Lookup) (s Step, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(l.steps) > 0 {
		s = l.steps[0]
		if l.steps = l.steps[1:]; s.What != Send {
			return s, true
		}
		if f.queued--; f.may(l, s) {
			return s, true
		}
		f.ended(l, s.N, policy.NeverSent, policy.Untold, 0)
	}
	return Step{}, false
}

// May tells whether a send that was decided some time ago may begin to go out now; if not, it is to be reported as never sent.
func (f *Facade) May(l *Lookup, s Step) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.may(l, s)
}

// may guards the time between a decision and its first byte, in which a send waits for its lookup's goroutine, for its connection to
// come up or behind what a cache does not take. Meanwhile the lookup may have ended or its client left, its time may be over, and
// the list may have told that the cache or its source drains or is gone (rule 3 counts a send from its first byte). Rule 2's window and
// circle are the module's; a fault of it there withdraws the send.
func (f *Facade) may(l *Lookup, s Step) (may bool) {
	defer f.guard()
	return !l.over && f.g.Now().Before(l.Deadline) && s.To.State == policy.Ready && s.Source.State == policy.Ready &&
		f.router.MayBegin(f.now(), l.its, s.N)
}

// LateBy is past a lookup's deadline: one that nothing has ended by then is to be failed, as Pick does by itself.
const LateBy = lateBy

// Late fails a lookup that nothing has ended; see LateBy.
func (f *Facade) Late(l *Lookup) { f.close(l, Failed) }

// Report tells how a send ended. It returns false for an answer that came too late to be used.
func (f *Facade) Report(l *Lookup, n int, how policy.Ending, remark policy.Remark, waited policy.Micros) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended(l, n, how, remark, waited)
}

// ended takes a send's ending, under the lock.
func (f *Facade) ended(l *Lookup, n int, how policy.Ending, remark policy.Remark, waited policy.Micros) bool {
	now, used := f.now(), how == policy.Satisfied && !l.over
	if l.out--; used {
		l.end(Step{What: Satisfied, N: n})
	}
	defer f.guard()
	if f.seen != nil && n < len(l.ways) {
		f.seen(l.ways[n].to, l.ways[n].source, how, remark)
	}
	f.router.Ended(now, l.its, n, how, remark, now-l.sentAt[n], waited, l.over)
	f.drop(l.its.Door, l)
	return used
}

// Leave tells that the client has gone.
func (f *Facade) Leave(l *Lookup) { f.close(l, Departed) }

// close ends a lookup without the router, if it has not ended.
func (f *Facade) close(l *Lookup, how What) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !l.over {
		l.end(Step{What: how})
		defer f.guard()
		f.router.Departed(f.now(), l.its)
		f.drop(l.its.Door, l)
	}
}

// Stop has the router give up every lookup still open; the gateway is about to be killed. A lookup that may have had its effect
// fails, any other is nacked.
func (f *Facade) Stop() {
	f.mu.Lock()
	open := make([]*Lookup, 0, len(f.open))
	for _, id := range slices.Sorted(maps.Keys(f.open)) { // in an order that does not change from run to run
		open = append(open, f.open[id])
	}
	f.mu.Unlock()
	for _, l := range open {
		f.GiveUp(l)
		f.close(l, Failed) // only after a fault of the module
	}
}

// GiveUp has the router give a lookup up, if it has not ended: a nack, or a failure where it may have had its effect.
func (f *Facade) GiveUp(l *Lookup) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !l.over {
		defer f.guard()
		f.router.GiveUp(f.now(), l.its)
	}
}

// Purge is word that copies of an object, or of a group where Object is empty, from before Issued are out of date.
type Purge struct {
	Object string
	Group  int
	Issued time.Time
}

// Tick brings the time, changes to the list (or the whole of it) and purges; it returns when to come next.
func (f *Facade) Tick(rows []policy.Row, whole bool, purges []Purge) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.guard()
	now := f.now()
	if whole {
		f.router.Listed(now, policy.FullList, rows)
	} else if len(rows) > 0 {
		f.router.Listed(now, policy.Changes, rows)
	}
	for _, p := range purges {
		f.router.Purged(now, p.Object, p.Group, max(0, now-p.Issued.UnixMicro()))
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
		f.router.Woken(now, t.token)
	}
	next := now + time.Second.Microseconds()
	for _, t := range f.timers {
		next = min(next, t.due)
	}
	return time.Duration(next-f.now()) * time.Microsecond
}

// Relist tells the router of the whole list as it was kept from before, with what each row is worth.
func (f *Facade) Relist(rows []policy.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.guard()
	f.router.Listed(f.now(), policy.CachedList, rows)
}

// See has each ending told to look, under the lock: it must not wait, nor call the facade.
func (f *Facade) See(look func(to, source *policy.Cache, how policy.Ending, remark policy.Remark)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = look
}

// Health gives the caches that gave a good answer since a time, and those that are out now, each in the list's order.
func (f *Facade) Health(since time.Time) (heard, out []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	from := f.base + since.Sub(f.began).Microseconds()
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

// Fleet tells the router how many there are, as the fleet counts them.
func (f *Facade) Fleet(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.its.Fleet = n
}

// Open counts the lookups without a final answer or with sends still out.
func (f *Facade) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}

// InFlight is how many sends the module takes for out, and how many of them have not been picked yet.
func (f *Facade) InFlight() (sends, queued int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.InFlight(), f.queued
}

func (f *Facade) drop(id string, l *Lookup) {
	if l.over && l.out <= 0 {
		delete(f.open, id)
	}
}

func (l *Lookup) push(s Step) {
	l.steps = append(l.steps, s)
	if l.ready != nil {
		l.ready()
		return
	}
	l.some.Ring()
}

func (l *Lookup) end(s Step) {
	if !l.over {
		l.over = true
		l.push(s)
	}
}

// host is the router's side of the facade; its calls come from within the router's, under the lock.
type host Facade

func (h *host) Fetch(lk *policy.Lookup, to, source *policy.Cache, rank int, how policy.How,
	patience, hush, oldest policy.Micros) {
	l := h.open[lk.Door]
	l.sentAt = append(l.sentAt, (*Facade)(h).now())
	l.out++
	h.queued++
	if h.seen != nil {
		for len(l.ways) < len(l.sentAt)-1 {
			l.ways = append(l.ways, way{to, source}) // from before it was asked for
		}
		l.ways = append(l.ways, way{to, source})
	}
	l.push(Step{What: Send, N: len(l.sentAt) - 1, To: to, Source: source, Rank: rank, How: how,
		Patience: patience, Hush: hush, Oldest: oldest})
}

func (h *host) Cancel(lk *policy.Lookup, send int) {
	if l := h.open[lk.Door]; l != nil {
		l.push(Step{What: Cancel, N: send})
	}
}

func (h *host) Nack(lk *policy.Lookup, retryIn policy.Micros) {
	h.finish(lk, Step{What: Nacked, RetryIn: retryIn})
}

func (h *host) Fail(lk *policy.Lookup) { h.finish(lk, Step{What: Failed}) }

// finish ends a lookup for the router, which may do so amid a call about another one, and forgets it.
func (h *host) finish(lk *policy.Lookup, s Step) {
	if l := h.open[lk.Door]; l != nil {
		l.end(s)
		(*Facade)(h).drop(lk.Door, l)
	}
}

func (h *host) Wake(in policy.Micros, token int64) {
	h.timers = append(h.timers, timer{(*Facade)(h).now() + in, token})
}

// Subscribe is carried out already: the bulletin is followed from the start.
func (h *host) Subscribe(bool) {}

func (h *host) Log(line string) { h.g.Log().Info("module", "note", line) }
