package wire

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/memory"
	"foldslip/internal/policy"
	"foldslip/internal/settings"
)

const (
	linksACache  = 4                // connections to one cache; a second only when the first is full
	forgetLateIn = 10 * time.Second // an answer of a send that was given up may come for so long
	writeWithin  = time.Second
	mostQueued   = 64<<10 + MostObject    // bytes of lines that wait for a cache to take those before them
	stalledAfter = 250 * time.Millisecond // an answer that has begun brings nothing more
	tryAgain     = 5 * time.Millisecond   // a line of which the connection took nothing
)

// Links are the connections to caches. Each carries many sends; their answers come in any order.
type Links struct {
	g      env.Ground
	terms  *settings.Settings
	router *dispatch.Dispatcher
	caches *memory.Registry
	purges *memory.Log
	mu     sync.Mutex
	by     map[string][]*link // by cache id and address
	most   int                // connections to all caches together, those being dialled included
	conns  int                // of these, how many there are
	boards atomic.Int64       // sends so far
	flying atomic.Int64       // sends without an ending
	group  env.Group
	life   *env.Life
}

// NewLinks makes the links, so many connections at most; they end with life.
func NewLinks(g env.Ground, life *env.Life, terms *settings.Settings, router *dispatch.Dispatcher, caches *memory.Registry,
	purges *memory.Log, most int) *Links {
	return &Links{g: g, terms: terms, router: router, caches: caches, purges: purges, by: map[string][]*link{},
		most: most, group: g.Group(), life: life}
}

// Wait waits until all have ended, which they do soon after their life has.
func (ls *Links) Wait() { ls.group.Wait() }

// flight is a send that owes its ending.
type flight struct {
	sent   time.Time
	object string
	group  int
	open   *open
	n      int
	step   dispatch.Step
	till   time.Time // it is given up then
	over   env.Timer
	hush   env.Timer
	no     int64 // in the order of boarding
	on     *link
	// Under the link's lock:
	at     line // its number is 0 while the connection is not up
	hushed bool // it has waited for its hush
}

// stop ends its timers.
func (f *flight) stop() {
	f.over.Stop()
	if f.hush != nil { // not before its connection is up
		f.hush.Stop()
	}
}

// begun tells whether its line has begun to be written, under the lock of its link. One that has not can be withdrawn, whatever
// the settings say of giving up: the cache has seen nothing of it.
func (f *flight) begun() bool { return f.at.no > 0 && f.at.no <= f.on.begun }

// send writes a send to its cache or reports at once why it cannot.
func (ls *Links) send(o *open, s dispatch.Step) {
	to := ls.caches.Find(s.Cache.Name)
	if to == nil || to.Addr == "" {
		ls.router.AttemptEnded(o.lk, s.Attempt, policy.OutcomeConnectFailed, policy.DetailNone, 0)
		return
	}
	f := &flight{open: o, n: s.Attempt, step: s, object: o.req.Object, group: o.req.Group,
		till: ls.g.Now().Add(time.Duration(s.Timeout) * time.Microsecond)}
	f.at.f = f
	o.flights = append(o.flights, f)
	ls.flying.Add(1)
	for {
		l := ls.pick(to, o.req.ID)
		if l == nil {
			// As if the cache had turned it away: it never ran, the cache is not held for dead, and after a pause the module looks for
			// one that is connected. As never sent it would choose the same cache again at once.
			ls.report(f, policy.OutcomeRejected, policy.DetailNone, 0)
			return
		}
		if l.board(f) {
			return
		}
	}
}

// pick finds a connection with room, or dials one, in the place of the one longest idle where there are as many as there may be; nil
// where each of them has a send and none is to this cache.
func (ls *Links) pick(to *memory.Cache, id string) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	key := to.ID + " " + to.Addr
	var least *link
	count, fewest := 0, 0
	for _, l := range ls.by[key] {
		if open, late, dead := l.load(id); !dead {
			if count++; !late && open < ls.terms.MaxStreams {
				return l
			}
			if least == nil || open < fewest {
				least, fewest = l, open
			}
		}
	}
	if count >= linksACache {
		return least
	}
	var gone *link
	if ls.conns >= ls.most { // guards the descriptors of the watch, the operators and the clients against many caches
		if least != nil {
			return least
		}
		if gone = ls.displace(); gone == nil {
			return nil
		}
	}
	ls.conns++
	l := &link{ls: ls, key: key, peer: to, instead: gone, turn: ls.g.Bell(), flights: map[string]*flight{}, late: map[string]time.Time{}}
	ls.by[key] = append(ls.by[key], l)
	ls.group.Go("link", func() error { l.run(); return nil })
	return l
}

// displace takes the idle connection that was heard last the longest ago out of the table, under the lock of all; nil where each has a
// send or is not up. Whoever gets it closes it.
func (ls *Links) displace() *link {
	var last *link
	var at time.Time
	for _, of := range ls.by {
		for _, l := range of {
			l.mu.Lock()
			if l.conn != nil && !l.dead && len(l.flights) == 0 && len(l.undone) == 0 &&
				(last == nil || cmp.Or(l.heard.Compare(at), cmp.Compare(l.key, last.key)) < 0) {
				last, at = l, l.heard
			}
			l.mu.Unlock()
		}
	}
	if last == nil || !last.retire() {
		return nil
	}
	ls.drop(last)
	return last
}

// drop takes a connection out of the table, under the lock of all; a second time does nothing.
func (ls *Links) drop(l *link) {
	kept := slices.DeleteFunc(ls.by[l.key], func(o *link) bool { return o == l })
	ls.conns -= len(ls.by[l.key]) - len(kept)
	if ls.by[l.key] = kept; len(kept) == 0 {
		delete(ls.by, l.key)
	}
}

// Yield ends the connection longest idle, so that its descriptor is free for something else; false where each has a send.
func (ls *Links) Yield() bool {
	ls.mu.Lock()
	gone := ls.displace()
	ls.mu.Unlock()
	if gone == nil {
		return false
	}
	gone.close()
	return true
}

// undo gives a send up, unless it has ended. Where the settings allow no giving up the cache is not told, and only what it has seen
// nothing of is withdrawn before its time is over.
func (ls *Links) undo(f *flight, how policy.AttemptOutcome) {
	l := f.on
	if l == nil {
		return
	}
	l.mu.Lock()
	tells := ls.terms.Router.CanCancel
	if f.begun() && how == policy.OutcomeCancelled && !tells || !l.take(f, true) {
		l.mu.Unlock()
		return
	}
	switch {
	case !f.begun(): // its connection is not up, or it waits behind what the cache does not take
		l.waiting -= len(f.at.text)
		f.at.text, how = nil, policy.OutcomeNotSent
	case tells && !l.dead:
		// Behind its own line, which it cannot overtake. It has ended once that is out: the next send of the lookup
		// must not be on its way before.
		undo := &line{text: appendUndo(nil, f.open.req.ID)}
		l.write(undo)
		l.undone = append(l.undone, undone{f, how, undo.no})
		l.mu.Unlock()
		l.flush()
		return
	}
	l.mu.Unlock()
	ls.report(f, how, policy.DetailNone, 0)
}

// report tells the ending of a send, once.
func (ls *Links) report(f *flight, how policy.AttemptOutcome, remark policy.OutcomeDetail, waited policy.Micros) {
	ls.router.AttemptEnded(f.open.lk, f.n, how, remark, waited)
	ls.flying.Add(-1)
}

// Load is how many sends are without an ending, and how many connections there are or are being dialled.
func (ls *Links) Load() (sends, conns int) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, of := range ls.by {
		conns += len(of)
	}
	return int(ls.flying.Load()), conns
}

// cancel gives up the lookup's send of that number.
func (ls *Links) cancel(o *open, n int) {
	for _, f := range o.flights {
		if f.n == n {
			ls.undo(f, policy.OutcomeCancelled)
		}
	}
}

// leave gives up all that is still out for a lookup that is over.
func (ls *Links) leave(o *open) {
	for _, f := range o.flights {
		ls.undo(f, policy.OutcomeCancelled)
	}
}
