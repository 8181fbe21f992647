package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"foldslip/internal/cacheregistry"
	"foldslip/internal/env"
	"foldslip/internal/linebuffer"
	"foldslip/internal/policy"
)

const (
	// lateResponseWindow is how long a response to an attempt that was given up may still come.
	lateResponseWindow = 10 * time.Second
	// silentAttemptsToClose is how many attempts must be silent before their connection counts as dead: one may be slow by itself.
	silentAttemptsToClose = 2
)

// cacheConn is one connection to a cache, from its dialling on. Its goroutine (run) owns input; what else changes is guarded by mu, but
// for the atomic fields.
type cacheConn struct {
	pool       *Pool
	key        string
	cache      *cacheregistry.Cache
	evictFirst *cacheConn // closed before this one is dialled, for its descriptor; nil: none

	input linebuffer.Buffer

	evicted       atomic.Bool  // closed so that something else has its descriptor
	writeTimedOut atomic.Bool  // lines did not go out in time
	wakeup        env.Notifier // of writeLoop: lines wait, or the connection has ended

	mu             sync.Mutex
	conn           net.Conn             // nil while dialling
	closed         bool                 // takes no attempts, for good
	suspect        bool                 // most likely dead: takes no attempts, and is closed once it has none
	lastResponseAt time.Time            // or when it came up
	attempts       map[string]*attempt  // by lookup id
	givenUpAt      map[string]time.Time // by lookup id: a response may still come
	givenUp        []givenUpAttempt     // not reported yet, in the order of their lines
	responses      int                  // to open attempts
	strayResponses int                  // to no open attempt: given up, answered already, or another\'s

	outgoing
}

// connLoad is what pickConn weighs of a connection.
type connLoad struct {
	attempts      int
	mayAnswerLate bool // a response to an earlier attempt of the same lookup may still come
	isUsable      bool
}

func newCacheConn(pool *Pool, cache *cacheregistry.Cache, evicted *cacheConn) *cacheConn {
	return &cacheConn{
		pool:       pool,
		key:        connKey(cache),
		cache:      cache,
		evictFirst: evicted,
		wakeup:     pool.env.NewNotifier(),
		attempts:   map[string]*attempt{},
		givenUpAt:  map[string]time.Time{},
	}
}

// load returns how loaded the connection is for an attempt of a lookup.
func (c *cacheConn) load(lookupID string) connLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, mayAnswerLate := c.givenUpAt[lookupID]
	return connLoad{attempts: len(c.attempts), mayAnswerLate: mayAnswerLate, isUsable: !c.closed && !c.suspect}
}

// isIdle reports whether the connection is up and owes nothing. Under its lock.
func (c *cacheConn) isIdle() bool {
	return c.conn != nil && !c.closed && len(c.attempts) == 0 && len(c.givenUp) == 0
}

// add puts an attempt on the connection: its line goes out at once, or when the connection is up. It returns false if the connection takes
// none any more.
func (c *cacheConn) add(a *attempt) bool {
	c.mu.Lock()
	if c.closed || c.suspect {
		c.mu.Unlock()
		return false
	}
	c.attempts[a.lookup.ID] = a
	a.sequence = c.pool.addedAttempts.Add(1)
	a.conn = c
	timeout := a.deadline.Sub(c.pool.env.Now())
	a.deadlineTimer = c.pool.env.AfterFunc(timeout, func() { c.pool.giveUp(a, policy.OutcomeTimeout) })
	if c.conn != nil {
		c.queueAttempt(a)
	}
	c.mu.Unlock()
	c.flush()
	return true
}

// remove takes an attempt off the connection; the caller that gets true reports its outcome. givenUp: a response may still come. Under its lock.
func (c *cacheConn) remove(a *attempt, givenUp bool) bool {
	id := a.lookup.ID
	if c.attempts[id] != a {
		return false
	}
	delete(c.attempts, id)
	a.stopTimers()
	mayAnswerLate := givenUp && a.hasBegun()
	if mayAnswerLate && c.isUnanswered(a) {
		c.suspect = true
	}
	c.closeIfSuspectAndIdle()
	if mayAnswerLate {
		c.expectLateResponse(id)
	}
	return true
}

// expectLateResponse remembers that a response to a lookup's attempt may still come, and forgets those for which it is too late.
func (c *cacheConn) expectLateResponse(lookupID string) {
	now := c.pool.env.Now()
	for id, at := range c.givenUpAt {
		if now.Sub(at) > lateResponseWindow {
			delete(c.givenUpAt, id)
		}
	}
	c.givenUpAt[lookupID] = now
}

// isUnanswered reports whether an attempt is silent, and the connection has brought nothing at all since it was sent. Under its lock.
func (c *cacheConn) isUnanswered(a *attempt) bool {
	return a.isSilent && !c.lastResponseAt.After(a.sentAt)
}

// noteSilence is called when an attempt has been silent for its silence timeout. With silentAttemptsToClose of them, and no response since,
// the connection ends; not if it has never brought any, since the cache itself may be slow. This guards against a peer that falls silent
// and leaves its connection open.
func (c *cacheConn) noteSilence(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.isSilent = true
	unanswered := 0
	for _, other := range c.attempts {
		if c.isUnanswered(other) {
			unanswered++
		}
	}
	if unanswered >= silentAttemptsToClose && c.responses > 0 && c.conn != nil {
		c.suspect = true
		env.Abort(c.conn)
	}
}

// closeIfSuspectAndIdle ends a suspect connection that has no attempts left. Lines of attempts that were given up and that the network could
// not deliver yet are dropped: the cache would begin them when the network is back, all at once, for nobody. Under its lock.
func (c *cacheConn) closeIfSuspectAndIdle() {
	if c.suspect && len(c.attempts) == 0 && c.conn != nil {
		env.Abort(c.conn)
	}
}

// closeEvicted ends a connection that was taken out of the pool; its descriptor is free then.
func (c *cacheConn) closeEvicted() {
	c.evicted.Store(true)
	c.conn.Close()
}

// closeToAttempts lets the connection take no more attempts, if it has none.
func (c *cacheConn) closeToAttempts() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = len(c.attempts) == 0
	return c.closed
}

func (c *cacheConn) isSuspect() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspect
}

// takeReportable takes the attempts that were given up and whose lines are out; all of them if the connection has ended. Under its lock.
func (c *cacheConn) takeReportable(ended bool) []givenUpAttempt {
	n := 0
	for n < len(c.givenUp) && (ended || c.givenUp[n].lineNumber <= c.linesWritten) {
		n++
	}
	reportable := c.givenUp[:n:n]
	c.givenUp = c.givenUp[n:]
	if len(c.givenUp) == 0 {
		c.givenUp = nil
	}
	return reportable
}

// reportGivenUp reports attempts that takeReportable gave, without the lock.
func (c *cacheConn) reportGivenUp(reportable []givenUpAttempt) {
	for _, g := range reportable {
		c.pool.reportOutcome(g.attempt, g.outcome, policy.DetailNone, 0)
	}
}

// run dials, reads until the connection ends, and reports the attempts that were open on it.
func (c *cacheConn) run() {
	startedAt := c.pool.env.Now()
	if c.evictFirst != nil {
		c.evictFirst.closeEvicted()
		c.evictFirst = nil
	}
	conn, err := c.pool.env.Dial(c.pool.lifetime, c.cache.Addr, time.Duration(c.pool.settings.ConnectTimeout)*time.Microsecond)
	if err != nil {
		c.dialFailed(err, startedAt)
		return
	}
	defer c.pool.lifetime.OnEnd(func() { conn.Close() })()
	defer conn.Close()
	c.connected(conn)
	c.flush()
	c.pool.group.Go("cache_writer", func() error { c.writeLoop(conn); return nil })
	reason := c.readResponses(conn)
	conn.Close() // before it no longer counts
	c.finish(policy.OutcomeReset, reason, startedAt)
}

// dialFailed ends a connection that did not come up.
func (c *cacheConn) dialFailed(err error, startedAt time.Time) {
	switch {
	case env.IsDescriptorExhausted(err): // says nothing of the cache
		c.finish(policy.OutcomeRejected, "no_descriptor", startedAt)
	case errors.Is(err, syscall.ECONNREFUSED):
		c.finish(policy.OutcomeConnectFailed, "refused", startedAt)
	default:
		c.finish(policy.OutcomeConnectFailed, "no_connection", startedAt)
	}
}

// connected queues the attempts that waited for the connection.
func (c *cacheConn) connected(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	c.lastResponseAt = c.pool.env.Now()
	c.writeNow = c.pool.env.NonBlockingWriter(conn)
	for _, a := range attemptsInOrder(c.attempts) {
		c.queueAttempt(a)
	}
}

// finish takes a connection that has ended out of the pool and reports the attempts that were open on it: as not sent if the connection was
// reset before an attempt's line had begun, else with the outcome.
func (c *cacheConn) finish(outcome policy.AttemptOutcome, reason string, startedAt time.Time) {
	c.pool.mu.Lock()
	c.pool.remove(c)
	c.pool.mu.Unlock()

	c.mu.Lock()
	c.closed = true
	open := attemptsInOrder(c.attempts)
	c.attempts = nil
	notSent := map[*attempt]bool{}
	for _, a := range open {
		a.stopTimers()
		if outcome == policy.OutcomeReset && !a.hasBegun() {
			notSent[a] = true
		}
	}
	c.queue = nil
	reportable := c.takeReportable(true)
	c.mu.Unlock()

	c.wakeup.Notify()
	c.reportGivenUp(reportable)
	for _, a := range open {
		outcomeOfAttempt := outcome
		if notSent[a] {
			outcomeOfAttempt = policy.OutcomeNotSent
		}
		c.pool.reportOutcome(a, outcomeOfAttempt, policy.DetailNone, 0)
	}
	c.pool.env.Log().Info("cache_closed", "cache", c.cache.ID, "addr", c.cache.Addr, "reason", reason, "open", len(open), "unsent", len(notSent),
		"answers", c.responses, "strays", c.strayResponses, "age_ms", c.pool.env.Now().Sub(startedAt).Milliseconds())
}

// closeReason says for the log why reading a connection failed.
func (c *cacheConn) closeReason(err error) string {
	switch {
	case c.pool.lifetime.Ended():
		return "stopping"
	case c.evicted.Load():
		return "displaced"
	case errors.Is(err, io.EOF):
		return "closed_by_cache"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "idle"
	case c.isSuspect():
		return "silent"
	case c.writeTimedOut.Load():
		return "write_failed"
	}
	return "reset"
}
