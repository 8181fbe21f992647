package upstream

import (
	"cmp"
	"errors"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"foldslip/internal/cacheregistry"
	"foldslip/internal/env"
	"foldslip/internal/linebuffer"
	"foldslip/internal/policy"
)

// cacheConn is one connection to a cache, from its dialling on.
type cacheConn struct {
	pool           *Pool
	key            string
	cache          *cacheregistry.Cache
	mu             sync.Mutex
	conn           net.Conn // nil while dialling
	closed         bool
	lastResponseAt time.Time // last whole answer, or when it came up
	suspect        bool      // takes no more sends
	attempts       map[string]*attempt
	givenUpAt      map[string]time.Time // given up, an answer may still come
	queue          []*line              // to be written, so that no lookup waits for a peer
	queuedBytes    int                  // their bytes
	linesQueued    int64                // lines so far, how many of them have begun to be written, and how many are out whole
	linesBegun     int64
	linesWritten   int64
	partialLine    []byte               // of the last line begun
	lastLine       *line                // the last one that next took from out; nil: it gave the rest
	writing        bool                 // one goroutine at a time writes
	writeNow       env.NonBlockingWrite // writes what the connection takes at once; nil: it cannot
	givenUp        []givenUpAttempt     // given up, the undo not yet written
	wakeup         env.Notifier         // rung when there are lines, and at the end
	writeTimedOut  atomic.Bool          // lines did not go out in time
	evictFirst     *cacheConn           // closed before this one is dialled, for its descriptor
	evicted        atomic.Bool          // for another's sake
	responses      int
	strayResponses int // answers to no send: given up, given twice, another's
	input          linebuffer.Buffer
}

// closeEvicted ends a displaced connection; its descriptor is free then.
func (l *cacheConn) closeEvicted() {
	l.evicted.Store(true)
	l.conn.Close()
}

func (l *cacheConn) load(id string) (open int, late, dead bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, late = l.givenUpAt[id]
	return len(l.attempts), late, l.closed || l.suspect
}

// add puts a send on the connection: at once, or when it is up.
func (l *cacheConn) add(f *attempt) bool {
	l.mu.Lock()
	if l.closed || l.suspect {
		l.mu.Unlock()
		return false
	}
	l.attempts[f.lookup.ID] = f
	f.sequence = l.pool.attemptCount.Add(1)
	f.conn = l
	f.deadlineTimer = l.pool.env.AfterFunc(f.deadline.Sub(l.pool.env.Now()), func() { l.pool.giveUp(f, policy.OutcomeTimeout) })
	if l.conn != nil {
		l.queueAttempt(f)
	}
	l.mu.Unlock()
	l.flush()
	return true
}

// remove removes a send, under the link's lock; whoever gets it reports its ending. up: it is given up, an answer may still come.
func (l *cacheConn) remove(f *attempt, up bool) bool {
	id := f.lookup.ID
	if l.attempts[id] != f {
		return false
	}
	delete(l.attempts, id)
	f.stopTimers()
	if up = up && f.hasBegun(); up && f.isSilent && !l.lastResponseAt.After(f.sentAt) {
		l.suspect = true
	}
	l.closeIfSuspectAndIdle()
	if up {
		now := l.pool.env.Now()
		for k, at := range l.givenUpAt {
			if now.Sub(at) > lateResponseWindow {
				delete(l.givenUpAt, k)
			}
		}
		l.givenUpAt[id] = now
	}
	return true
}

// noteSilence notes that a send has waited for its hush. Two that did, with no whole answer since, end the connection: one
// may be slow by itself, and so may the cache be if its connection has brought nothing yet. Guards against a peer that
// falls silent and leaves the connection open.
func (l *cacheConn) noteSilence(f *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f.isSilent = true
	n := 0
	for _, o := range l.attempts {
		if o.isSilent && !l.lastResponseAt.After(o.sentAt) {
			n++
		}
	}
	if n >= 2 && l.responses > 0 && l.conn != nil {
		l.suspect = true
		l.conn.Close()
	}
}

// closeIfSuspectAndIdle ends a doubted connection once nothing is open on it, under the link's lock.
func (l *cacheConn) closeIfSuspectAndIdle() {
	if l.suspect && len(l.attempts) == 0 && l.conn != nil {
		l.conn.Close()
	}
}

// givenUpAttempt is a send that was given up, with the number of its undo's line, or of its own where that was not written; in the order of
// these numbers.
type givenUpAttempt struct {
	attempt    *attempt
	outcome    policy.AttemptOutcome
	lineNumber int64
}

// takeReportable takes the undone sends whose undo is out, or all of them; under the link's lock.
func (l *cacheConn) takeReportable(all bool) (out []givenUpAttempt) {
	n := 0
	for n < len(l.givenUp) && (all || l.givenUp[n].lineNumber <= l.linesWritten) {
		n++
	}
	out, l.givenUp = l.givenUp[:n:n], l.givenUp[n:]
	if len(l.givenUp) == 0 {
		l.givenUp = nil
	}
	return out
}

// reportGivenUp reports undone sends.
func (l *cacheConn) reportGivenUp(out []givenUpAttempt) {
	for _, u := range out {
		l.pool.reportOutcome(u.attempt, u.outcome, policy.DetailNone, 0)
	}
}

// run dials, reads until the connection ends, and reports what was open on it.
func (l *cacheConn) run() {
	ls, began := l.pool, l.pool.env.Now()
	if l.evictFirst != nil {
		l.evictFirst.closeEvicted()
		l.evictFirst = nil
	}
	conn, err := ls.env.Dial(ls.lifetime, l.cache.Addr, time.Duration(ls.settings.ConnectTimeout)*time.Microsecond)
	if err != nil {
		reason := "refused"
		if !errors.Is(err, syscall.ECONNREFUSED) {
			reason = "no_connection"
		}
		how := policy.OutcomeConnectFailed
		if env.IsDescriptorExhausted(err) { // says nothing of the cache
			how, reason = policy.OutcomeRejected, "no_descriptor"
		}
		l.finish(how, reason, began)
		return
	}
	defer ls.lifetime.OnEnd(func() { conn.Close() })()
	defer conn.Close()
	l.mu.Lock()
	l.conn, l.lastResponseAt, l.writeNow = conn, ls.env.Now(), ls.env.NonBlockingWriter(conn)
	for _, f := range attemptsInOrder(l.attempts) {
		l.queueAttempt(f)
	}
	l.mu.Unlock()
	l.flush()
	ls.group.Go("pour", func() error { l.writeLoop(conn); return nil })
	reason := l.readResponses(conn)
	conn.Close() // before it no longer counts
	l.finish(policy.OutcomeReset, reason, began)
}

func (l *cacheConn) finish(how policy.AttemptOutcome, reason string, began time.Time) {
	ls := l.pool
	ls.mu.Lock()
	ls.remove(l)
	ls.mu.Unlock()
	l.mu.Lock()
	l.closed = true
	lost, unsent := attemptsInOrder(l.attempts), map[*attempt]bool{}
	l.attempts = nil
	for _, f := range lost {
		if f.stopTimers(); how == policy.OutcomeReset && !f.hasBegun() {
			unsent[f] = true
		}
	}
	l.queue = nil
	undone := l.takeReportable(true)
	l.mu.Unlock()
	l.wakeup.Notify()
	l.reportGivenUp(undone)
	for _, f := range lost {
		its := how
		if unsent[f] {
			its = policy.OutcomeNotSent // the connection broke before the send had gone out whole
		}
		ls.reportOutcome(f, its, policy.DetailNone, 0)
	}
	ls.env.Log().Info("cache_closed", "cache", l.cache.ID, "addr", l.cache.Addr, "reason", reason, "open", len(lost), "unsent",
		len(unsent), "answers", l.responses, "strays", l.strayResponses, "age_ms", ls.env.Now().Sub(began).Milliseconds())
}

// attemptsInOrder is sends in the order they boarded, so that one run is as the next.
func attemptsInOrder(flights map[string]*attempt) []*attempt {
	return slices.SortedFunc(maps.Values(flights), func(a, b *attempt) int { return cmp.Compare(a.sequence, b.sequence) })
}

// readResponses takes answers until the connection ends and tells why it did.
func (l *cacheConn) readResponses(conn net.Conn) string {
	for {
		a, size, err := parseResponse(l.input.Bytes())
		switch {
		case size > 0:
			reason := l.handleResponse(a, err)
			l.input.Discard(size)
			if reason != "" {
				return reason
			}
		case errors.Is(err, errIncomplete):
			// This side closes first, and only while nothing is open: no send meets the cache's own idle close.
			wait, begun := time.Duration(l.pool.settings.IdleTimeout)*time.Microsecond*8/10, len(l.input.Bytes()) > 0
			if begun {
				wait = stalledResponseTimeout // what stops short would hold up all other sends here
			}
			conn.SetReadDeadline(l.pool.env.Now().Add(wait))
			err := l.input.Fill(conn, maxResponseBytes)
			if errors.Is(err, os.ErrDeadlineExceeded) && begun {
				return "stalled"
			}
			if errors.Is(err, os.ErrDeadlineExceeded) && !l.closeIfIdle() {
				continue
			}
			if err != nil {
				return l.closeReason(err)
			}
		default:
			l.pool.env.Log().Warn("cache_fault", "cache", l.cache.ID, "text", err.Error())
			return "bad_answer"
		}
	}
}

// closeIfIdle lets nothing more on board, if nothing is open.
func (l *cacheConn) closeIfIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = len(l.attempts) == 0
	return l.closed
}

func (l *cacheConn) closeReason(err error) string {
	switch {
	case l.pool.lifetime.Ended():
		return "stopping"
	case l.evicted.Load():
		return "displaced"
	case errors.Is(err, io.EOF):
		return "closed_by_cache"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "idle"
	case l.isSuspect():
		return "silent"
	case l.writeTimedOut.Load():
		return "write_failed"
	}
	return "reset"
}

func (l *cacheConn) isSuspect() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspect
}

// handleResponse hands an answer to its lookup, or what is wrong with it. A reason ends the connection. An answer to no send
// (given up, a second copy, another's) is whole and harms nothing: the sends around it go on.
func (l *cacheConn) handleResponse(a response, fault error) string {
	l.mu.Lock()
	f := l.attempts[a.id]
	if l.lastResponseAt = l.pool.env.Now(); f != nil {
		l.responses++
	}
	if f == nil {
		delete(l.givenUpAt, a.id)
		l.strayResponses++
	}
	l.mu.Unlock()
	if f == nil {
		return ""
	}
	if fault == nil && a.hasNoVersion && !f.lookup.PassThrough { // guards clients against bytes that no cache vouches for
		fault = errors.New("a copy without ver or born")
	}
	if fault != nil {
		l.pool.env.Log().Warn("cache_fault", "cache", l.cache.ID, "text", fault.Error())
		return "bad_answer"
	}
	l.mu.Lock()
	its := l.remove(f, false)
	l.mu.Unlock()
	if !its {
		return "" // given up this moment
	}
	if a.notModified && a.etag != f.lookup.ETag {
		a.outcome = policy.OutcomeError // word of another copy than the client's is none
		l.pool.env.Log().Warn("cache_fault", "cache", l.cache.ID, "text", "VALID for a copy that the client does not hold")
	}
	if issued, told := l.pool.purges.InForce(f.object, f.group); a.outcome == policy.OutcomeSatisfied && !a.hasNoVersion && a.createdAt.Before(issued) {
		// Guards rule 5, past the grace whenever the send went out. To the module it is as if no answer had come: where the
		// object kind allows it, it sends anew with the purge in mind. The send has run, so it is never as if it had not gone out
		// (rule 2: a side-effecting lookup would go out a second time).
		now := l.pool.env.Now()
		l.pool.env.Log().Warn("outdated_copy", "cache", l.cache.ID, "older_ms", issued.Sub(a.createdAt).Milliseconds(), "told_ms_ago",
			now.Sub(told).Milliseconds(), "sent_ms_ago", now.Sub(f.sentAt).Milliseconds())
		a.outcome, a.detail = policy.OutcomeTimeout, policy.DetailNone
	}
	if a.outcome == policy.OutcomeSatisfied {
		switch kept, over := f.lookup.store(f.number, a); {
		case over:
			a.outcome = policy.OutcomeTimeout // its lookup has just ended: no fault of the cache
		case !kept:
			a.outcome = policy.OutcomeError // answers that clients are slow to take fill the room; it may have run
		}
	}
	l.pool.reportOutcome(f, a.outcome, a.detail, a.sourceWait)
	return ""
}
