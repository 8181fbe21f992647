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
	// lateResponseWindow is how long after an attempt was given up a response to it may still arrive.
	lateResponseWindow = 10 * time.Second
	// silentAttemptsToClose is the number of unanswered silent attempts that closes their connection. A
	// single attempt may be slow by itself.
	silentAttemptsToClose = 2
)

// cacheConn is one connection to a cache, from the start of its dial. The goroutine of run owns input and evictFirst.
// mu guards all other fields that change, except the atomic ones.
type cacheConn struct {
	pool       *Pool
	key        connKey
	cache      *cacheregistry.Cache
	evictFirst *cacheConn // closed before this connection is dialled, to free its descriptor; may be nil

	input linebuffer.Buffer

	evicted       atomic.Bool  // closed to free its descriptor
	writeTimedOut atomic.Bool  // the cache did not accept queued lines in time
	wakeup        env.Notifier // wakes writeLoop when lines are queued or the connection has ended

	mu             sync.Mutex
	conn           net.Conn             // nil while dialling
	closed         bool                 // accepts no attempts any more
	suspect        bool                 // probably dead: accepts no attempts, and is closed once it has none open
	lastResponseAt time.Time            // time of the last response, or of the connect if there was none
	attempts       map[string]*attempt  // by lookup id
	givenUpAt      map[string]time.Time // by lookup id: when an attempt was given up whose response may still arrive
	givenUp        []givenUpAttempt     // given-up attempts whose outcomes are not reported yet, in order of lineNumber
	responses      int                  // responses to open attempts
	strayResponses int                  // responses to attempts that were given up or answered, or to unknown ids

	outgoing
}

// connLoad is the state of a connection that pickConn compares.
type connLoad struct {
	attempts      int
	mayAnswerLate bool // a response to an earlier attempt of the same lookup may still arrive
	isUsable      bool
}

func newCacheConn(pool *Pool, cache *cacheregistry.Cache, evicted *cacheConn) *cacheConn {
	return &cacheConn{
		pool:       pool,
		key:        connKeyOf(cache),
		cache:      cache,
		evictFirst: evicted,
		wakeup:     pool.env.NewNotifier(),
		attempts:   map[string]*attempt{},
		givenUpAt:  map[string]time.Time{},
	}
}

// load returns the state of the connection that pickConn compares for an attempt of a lookup.
func (c *cacheConn) load(lookupID string) connLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, mayAnswerLate := c.givenUpAt[lookupID]
	return connLoad{attempts: len(c.attempts), mayAnswerLate: mayAnswerLate, isUsable: !c.closed && !c.suspect}
}

// isIdle reports whether the connection is up and has no open attempts and no outcomes to report. The
// caller holds the connection's lock.
func (c *cacheConn) isIdle() bool {
	return c.conn != nil && !c.closed && len(c.attempts) == 0 && len(c.givenUp) == 0
}

// add assigns an attempt to the connection. The attempt's line is queued at once, or when the connection
// is up. add returns false if the connection accepts no attempts any more.
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

// remove removes an attempt from the connection. It returns false if the attempt was removed before; a
// caller that gets true reports the attempt's outcome. givenUp is set if the attempt was given up. If its
// line has begun to be written, a response may then still arrive. The caller holds the connection's lock.
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

// expectLateResponse records that a response to an attempt of a lookup may still arrive, and deletes the
// records that are older than lateResponseWindow. The caller holds the connection's lock.
func (c *cacheConn) expectLateResponse(lookupID string) {
	now := c.pool.env.Now()
	for id, at := range c.givenUpAt {
		if now.Sub(at) > lateResponseWindow {
			delete(c.givenUpAt, id)
		}
	}
	c.givenUpAt[lookupID] = now
}

// isUnanswered reports whether an attempt is silent and no response has arrived on the connection since
// the attempt was sent. The caller holds the connection's lock.
func (c *cacheConn) isUnanswered(a *attempt) bool {
	return a.isSilent && !c.lastResponseAt.After(a.sentAt)
}

// handleSilence is called when an attempt's silence timeout has passed without a response. It closes the
// connection if at least silentAttemptsToClose of its attempts are unanswered. It does not close a
// connection that has never received a response, because the cache itself may be slow. This guards
// against a peer that stops responding and leaves its connection open.
func (c *cacheConn) handleSilence(a *attempt) {
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

// closeIfSuspectAndIdle closes a suspect connection that has no attempts left. Closing drops the lines of
// given-up attempts that the network has not delivered. Otherwise the cache would execute them all at once when
// the network recovers, although no lookup waits for them any more. The caller holds the connection's lock.
func (c *cacheConn) closeIfSuspectAndIdle() {
	if c.suspect && len(c.attempts) == 0 && c.conn != nil {
		env.Abort(c.conn)
	}
}

// closeEvicted closes a connection that was removed from the pool, which frees its descriptor.
func (c *cacheConn) closeEvicted() {
	c.evicted.Store(true)
	c.conn.Close()
}

// markClosedIfIdle makes the connection refuse further attempts if it has no open ones, and reports whether it did.
func (c *cacheConn) markClosedIfIdle() bool {
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

// popReportable removes and returns the given-up attempts whose lines have been written, or all of them
// if the connection has ended. The caller holds the connection's lock.
func (c *cacheConn) popReportable(ended bool) []givenUpAttempt {
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

// reportGivenUp reports the outcomes of attempts that popReportable returned. The caller must not hold
// the connection's lock.
func (c *cacheConn) reportGivenUp(reportable []givenUpAttempt) {
	for _, g := range reportable {
		c.pool.reportOutcome(g.attempt, g.outcome, policy.DetailNone, 0)
	}
}

// run closes evictFirst, dials, reads responses until the connection ends, and reports the outcomes of
// the attempts that are still open then.
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
	conn.Close() // before finish lowers the pool's count of connections
	c.finish(policy.OutcomeReset, reason, startedAt)
}

// dialFailed ends a connection whose dial failed.
func (c *cacheConn) dialFailed(err error, startedAt time.Time) {
	switch {
	case env.IsDescriptorExhausted(err): // not a fault of the cache
		c.finish(policy.OutcomeRejected, "no_descriptor", startedAt)
	case errors.Is(err, syscall.ECONNREFUSED):
		c.finish(policy.OutcomeConnectFailed, "refused", startedAt)
	default:
		c.finish(policy.OutcomeConnectFailed, "no_connection", startedAt)
	}
}

// connected marks the connection as up and queues the attempts that waited for it.
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

// finish removes an ended connection from the pool and reports the given outcome for the attempts that are open on
// it. If the connection was reset, an attempt whose line had not begun to be written is reported as not sent instead.
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
	reportable := c.popReportable(true)
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

// closeReason returns the reason that the log gives for a failed read.
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
