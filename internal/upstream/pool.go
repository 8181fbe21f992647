// Package upstream is the gateway's side toward the caches: a pool of connections, each of which carries many attempts at once, the
// request lines that go out on them and the responses that come back in any order. It decides nothing: the dispatcher says which cache
// an attempt goes to, and is told how each attempt ended. Bounds: maxConns connections in all, maxConnsPerCache to one cache,
// maxQueuedBytes of lines that wait on one, maxResponseBytes of a response.
package upstream

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foldslip/internal/cacheregistry"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/policy"
	"foldslip/internal/purgelog"
	"foldslip/internal/settings"
)

const (
	maxConnsPerCache       = 4                // connections to one cache; a second only when the first is full
	lateResponseWindow     = 10 * time.Second // an answer of a send that was given up may come for so long
	writeTimeout           = time.Second
	maxQueuedBytes         = 64<<10 + MaxObjectBytes // bytes of lines that wait for a cache to take those before them
	stalledResponseTimeout = 250 * time.Millisecond  // an answer that has begun brings nothing more
	writeRetryDelay        = 5 * time.Millisecond    // a line of which the connection took nothing
)

// Pool are the connections to caches. Each carries many sends; their answers come in any order.
type Pool struct {
	env          env.Environment
	settings     *settings.Settings
	dispatcher   *dispatch.Dispatcher
	registry     *cacheregistry.Registry
	purges       *purgelog.Log
	mu           sync.Mutex
	conns        map[string][]*cacheConn // by cache id and address
	maxConns     int                     // connections to all caches together, those being dialled included
	connCount    int                     // of these, how many there are
	attemptCount atomic.Int64            // sends so far
	openAttempts atomic.Int64            // sends without an ending
	group        env.Group
	lifetime     *env.Lifetime
}

// NewPool makes the links, so many connections at most; they end with life.
func NewPool(g env.Environment, life *env.Lifetime, terms *settings.Settings, router *dispatch.Dispatcher, caches *cacheregistry.Registry,
	purges *purgelog.Log, most int) *Pool {
	return &Pool{env: g, settings: terms, dispatcher: router, registry: caches, purges: purges, conns: map[string][]*cacheConn{},
		maxConns: most, group: g.NewGroup(), lifetime: life}
}

// Wait waits until all have ended, which they do soon after their life has.
func (ls *Pool) Wait() { ls.group.Wait() }

// attempt is a send that owes its ending.
type attempt struct {
	sentAt        time.Time
	object        string
	group         int
	lookup        *Lookup
	number        int
	step          dispatch.Step
	deadline      time.Time // it is given up then
	deadlineTimer env.Timer
	silenceTimer  env.Timer
	sequence      int64 // in the order of boarding
	conn          *cacheConn
	// Under the link's lock:
	line     line // its number is 0 while the connection is not up
	isSilent bool // it has waited for its hush
}

// stopTimers ends its timers.
func (f *attempt) stopTimers() {
	f.deadlineTimer.Stop()
	if f.silenceTimer != nil { // not before its connection is up
		f.silenceTimer.Stop()
	}
}

// hasBegun tells whether its line has begun to be written, under the lock of its link. One that has not can be withdrawn, whatever
// the settings say of giving up: the cache has seen nothing of it.
func (f *attempt) hasBegun() bool { return f.line.number > 0 && f.line.number <= f.conn.linesBegun }

// Start writes a send to its cache or reports at once why it cannot.
func (ls *Pool) Start(o *Lookup, s dispatch.Step) {
	to := ls.registry.Find(s.Cache.Name)
	if to == nil || to.Addr == "" {
		ls.dispatcher.AttemptEnded(o.Dispatched, s.Attempt, policy.OutcomeConnectFailed, policy.DetailNone, 0)
		return
	}
	f := &attempt{lookup: o, number: s.Attempt, step: s, object: o.Object, group: o.Group,
		deadline: ls.env.Now().Add(time.Duration(s.Timeout) * time.Microsecond)}
	f.line.attempt = f
	o.attempts = append(o.attempts, f)
	ls.openAttempts.Add(1)
	for {
		l := ls.pickConn(to, o.ID)
		if l == nil {
			// As if the cache had turned it away: it never ran, the cache is not held for dead, and after a pause the module looks for
			// one that is connected. As never sent it would choose the same cache again at once.
			ls.reportOutcome(f, policy.OutcomeRejected, policy.DetailNone, 0)
			return
		}
		if l.add(f) {
			return
		}
	}
}

// pickConn finds a connection with room, or dials one, in the place of the one longest idle where there are as many as there may be; nil
// where each of them has a send and none is to this cache.
func (ls *Pool) pickConn(to *cacheregistry.Cache, id string) *cacheConn {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	key := to.ID + " " + to.Addr
	var least *cacheConn
	count, fewest := 0, 0
	for _, l := range ls.conns[key] {
		if open, late, dead := l.load(id); !dead {
			if count++; !late && open < ls.settings.MaxStreams {
				return l
			}
			if least == nil || open < fewest {
				least, fewest = l, open
			}
		}
	}
	if count >= maxConnsPerCache {
		return least
	}
	var gone *cacheConn
	if ls.connCount >= ls.maxConns { // guards the descriptors of the watch, the operators and the clients against many caches
		if least != nil {
			return least
		}
		if gone = ls.takeLongestIdle(); gone == nil {
			return nil
		}
	}
	ls.connCount++
	l := &cacheConn{pool: ls, key: key, cache: to, evictFirst: gone, wakeup: ls.env.NewNotifier(), attempts: map[string]*attempt{}, givenUpAt: map[string]time.Time{}}
	ls.conns[key] = append(ls.conns[key], l)
	ls.group.Go("link", func() error { l.run(); return nil })
	return l
}

// takeLongestIdle takes the idle connection that was heard last the longest ago out of the table, under the lock of all; nil where each has a
// send or is not up. Whoever gets it closes it.
func (ls *Pool) takeLongestIdle() *cacheConn {
	var last *cacheConn
	var at time.Time
	for _, of := range ls.conns {
		for _, l := range of {
			l.mu.Lock()
			if l.conn != nil && !l.closed && len(l.attempts) == 0 && len(l.givenUp) == 0 &&
				(last == nil || cmp.Or(l.lastResponseAt.Compare(at), cmp.Compare(l.key, last.key)) < 0) {
				last, at = l, l.lastResponseAt
			}
			l.mu.Unlock()
		}
	}
	if last == nil || !last.closeIfIdle() {
		return nil
	}
	ls.remove(last)
	return last
}

// remove takes a connection out of the table, under the lock of all; a second time does nothing.
func (ls *Pool) remove(l *cacheConn) {
	kept := slices.DeleteFunc(ls.conns[l.key], func(o *cacheConn) bool { return o == l })
	ls.connCount -= len(ls.conns[l.key]) - len(kept)
	if ls.conns[l.key] = kept; len(kept) == 0 {
		delete(ls.conns, l.key)
	}
}

// EvictIdle ends the connection longest idle, so that its descriptor is free for something else; false where each has a send.
func (ls *Pool) EvictIdle() bool {
	ls.mu.Lock()
	gone := ls.takeLongestIdle()
	ls.mu.Unlock()
	if gone == nil {
		return false
	}
	gone.closeEvicted()
	return true
}

// giveUp gives a send up, unless it has ended. Where the settings allow no giving up the cache is not told, and only what it has seen
// nothing of is withdrawn before its time is over.
func (ls *Pool) giveUp(f *attempt, how policy.AttemptOutcome) {
	l := f.conn
	if l == nil {
		return
	}
	l.mu.Lock()
	tells := ls.settings.Router.CanCancel
	if f.hasBegun() && how == policy.OutcomeCancelled && !tells || !l.remove(f, true) {
		l.mu.Unlock()
		return
	}
	switch {
	case !f.hasBegun(): // its connection is not up, or it waits behind what the cache does not take
		l.queuedBytes -= len(f.line.text)
		f.line.text, how = nil, policy.OutcomeNotSent
	case tells && !l.closed:
		// Behind its own line, which it cannot overtake. It has ended once that is out: the next send of the lookup
		// must not be on its way before.
		undo := &line{text: appendCancelLine(nil, f.lookup.ID)}
		l.queueLine(undo)
		l.givenUp = append(l.givenUp, givenUpAttempt{f, how, undo.number})
		l.mu.Unlock()
		l.flush()
		return
	}
	l.mu.Unlock()
	ls.reportOutcome(f, how, policy.DetailNone, 0)
}

// reportOutcome tells the ending of a send, once.
func (ls *Pool) reportOutcome(f *attempt, how policy.AttemptOutcome, remark policy.OutcomeDetail, waited policy.Micros) {
	ls.dispatcher.AttemptEnded(f.lookup.Dispatched, f.number, how, remark, waited)
	ls.openAttempts.Add(-1)
}

// Load is how many sends are without an ending, and how many connections there are or are being dialled.
func (ls *Pool) Load() (sends, conns int) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, of := range ls.conns {
		conns += len(of)
	}
	return int(ls.openAttempts.Load()), conns
}

// CancelAttempt gives up the lookup's send of that number.
func (ls *Pool) CancelAttempt(o *Lookup, n int) {
	for _, f := range o.attempts {
		if f.number == n {
			ls.giveUp(f, policy.OutcomeCancelled)
		}
	}
}

// CancelAll gives up all that is still out for a lookup that is over.
func (ls *Pool) CancelAll(o *Lookup) {
	for _, f := range o.attempts {
		ls.giveUp(f, policy.OutcomeCancelled)
	}
}
