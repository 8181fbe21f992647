package upstream

import (
	"cmp"
	"errors"
	"net"
	"os"
	"slices"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/policy"
)

const (
	// writeTimeout is how long a cache may accept none of the bytes of a line, and how long a blocking write may take.
	writeTimeout = time.Second
	// maxQueuedBytes is the maximum number of bytes of lines that are queued for a cache because it has
	// not accepted earlier ones.
	maxQueuedBytes = 64<<10 + MaxObjectBytes
	// writeRetryDelay is the pause before the next try to write a line of which the connection has accepted no byte.
	writeRetryDelay = 5 * time.Millisecond
)

// outgoing holds the lines that are queued to be written on a connection. The connection's lock guards
// it. The goroutine that has set writing may write to the connection without holding the lock.
type outgoing struct {
	queue        []*line
	queuedBytes  int
	linesQueued  int64                // number of the last line that was queued
	linesBegun   int64                // number of the last line that began to be written
	linesWritten int64                // number of the last line that was written completely
	partialLine  []byte               // rest of the last line that began to be written
	lastLine     *line                // line whose text nextLine last returned; nil: it returned a partial line or nothing
	writing      bool                 // a goroutine is writing; only one does so at a time
	writeNow     env.NonBlockingWrite // nil: the connection does not support it
}

// line is a request line or a cancel line to a cache.
type line struct {
	number  int64    // position on its connection, from 1
	text    []byte   // nil once it is withdrawn; without a body
	attempt *attempt // attempt that the line requests; nil: a cancel line
}

// complete returns the text of the line with the body of its request. A body is copied only when the line is about to be
// written, so that attempts that wait hold no copies of it.
func (l *line) complete() []byte {
	if l.attempt == nil || len(l.attempt.lookup.Body) == 0 {
		return l.text
	}
	body := l.attempt.lookup.Body
	text := make([]byte, 0, len(l.text)+len(body)+len(bodyEnd))
	return appendBody(append(text, l.text...), body)
}

// queueAttempt queues an attempt's line once the connection is up. The line states the time that is left
// now. The silence timeout starts now too, because the wait for the connection does not count as
// silence. The caller holds the connection's lock.
func (c *cacheConn) queueAttempt(a *attempt) {
	a.sentAt = c.pool.env.Now()
	step := a.step
	request := requestLine{
		Request: a.lookup.Request,
		timeout: a.deadline.Sub(a.sentAt).Microseconds(),
		rank:    step.Rank,
		maxAge:  step.MaxAge,
		mode:    step.Mode,
	}
	if step.Source != step.Cache {
		request.source = step.Source.Name
	}
	if len(request.Body) == 0 {
		a.line.text = request.appendTo(nil)
	} else {
		a.line.text = request.appendLine(nil)
	}
	a.silenceTimer = c.pool.env.AfterFunc(time.Duration(step.SilenceTimeout)*time.Microsecond, func() { c.handleSilence(a) })
	c.queueLine(&a.line)
}

// queueLine queues a line. It closes the connection if more than maxQueuedBytes are queued because the
// cache accepts too little. The caller holds the connection's lock.
func (c *cacheConn) queueLine(l *line) {
	c.linesQueued++
	l.number = c.linesQueued
	c.queue = append(c.queue, l)
	c.queuedBytes += len(l.text)
	if c.queuedBytes > maxQueuedBytes {
		c.writeTimedOut.Store(true)
		env.Abort(c.conn)
	}
}

// nextLine returns the next text to write, or nil if there is none. It takes one line at a time from the
// queue, so that the lines behind one that the cache does not accept can still be withdrawn. The caller
// holds the connection's lock.
func (c *cacheConn) nextLine() []byte {
	c.lastLine = nil
	if text := c.partialLine; text != nil {
		c.partialLine = nil
		return text
	}
	for len(c.queue) > 0 {
		next := c.queue[0]
		c.queue = c.queue[1:]
		c.queuedBytes -= len(next.text)
		if next.attempt != nil && next.text != nil && !c.pool.dispatcher.MaySend(next.attempt.lookup.Dispatched, next.attempt.step) {
			c.withdraw(next)
		}
		c.linesBegun = next.number
		if next.text != nil {
			c.lastLine = next
			return next.complete()
		}
		c.linesWritten = c.linesBegun // all lines before it have been written
	}
	return nil
}

// withdraw withdraws an attempt that was decided earlier and may not be sent any more. The reasons are
// that its deduplication window has passed (rule 2, which forbids a second effect), that its cache or
// source is draining or gone (rule 3, which forbids attempts to such a cache), that its lookup has ended
// or passed its deadline, or that its client has disconnected. Nothing of the attempt has been written,
// so it is reported as not sent, and the policy decides on the next step. The caller holds the
// connection's lock.
func (c *cacheConn) withdraw(l *line) {
	a := l.attempt
	delete(c.attempts, a.lookup.ID)
	a.stopTimers()
	firstLater := slices.IndexFunc(c.givenUp, func(g givenUpAttempt) bool { return g.lineNumber > l.number })
	position := cmp.Or(firstLater+1, len(c.givenUp)+1) - 1
	c.givenUp = slices.Insert(c.givenUp, position, givenUpAttempt{a, policy.OutcomeNotSent, l.number})
	c.closeIfSuspectAndIdle()
	l.text = nil
}

// recordWrite records that the connection accepted the first n bytes of a text that nextLine returned.
// It returns true if these are all bytes of the text. A line of which no byte was accepted has not begun
// and goes back to the queue, so that nextLine checks again whether it may be sent. This is necessary
// because a cache may accept nothing for a long time after the client has disconnected, the lookup has
// ended or the cache has begun to drain. The caller holds the connection's lock.
func (c *cacheConn) recordWrite(text []byte, n int) bool {
	if n == 0 && c.lastLine != nil {
		c.requeueLast()
		return false
	}
	c.partialLine = text[n:]
	if len(c.partialLine) > 0 {
		return false
	}
	c.partialLine = nil
	c.linesWritten = c.linesBegun
	return true
}

// requeueLast puts the line that nextLine returned back at the front of the queue. If its attempt has been given
// up meanwhile, neither the line nor its cancel line needs to be sent. The caller holds the connection's lock.
func (c *cacheConn) requeueLast() {
	last := c.lastLine
	if a := last.attempt; a != nil && c.attempts[a.lookup.ID] != a {
		last.text = nil
		for _, g := range c.givenUp {
			cancelLine := slices.IndexFunc(c.queue, func(l *line) bool { return g.attempt == a && l.number == g.lineNumber })
			if cancelLine >= 0 {
				c.queuedBytes -= len(c.queue[cancelLine].text)
				c.queue[cancelLine].text = nil
			}
		}
	}
	c.queuedBytes += len(last.text)
	c.queue = slices.Insert(c.queue, 0, last)
	c.linesBegun = last.number - 1
	c.lastLine = nil
}

// flush writes the queued text that the connection accepts without blocking; writeLoop writes the rest.
// This way a goroutine is woken only for lines to a cache that reads slowly, not for each attempt.
func (c *cacheConn) flush() {
	c.mu.Lock()
	if c.writing || c.closed || c.writeNow == nil {
		if !c.writing && c.conn != nil {
			c.wakeup.Notify()
		}
		c.mu.Unlock()
		return
	}
	c.writing = true
	for text := c.nextLine(); text != nil; text = c.nextLine() {
		c.mu.Unlock()
		n := c.writeNow(text)
		c.mu.Lock()
		if !c.recordWrite(text, n) {
			break
		}
	}
	c.writing = false
	reportable := c.popReportable(false)
	if c.partialLine != nil || len(c.queue) > 0 || c.closed {
		c.wakeup.Notify()
	}
	c.mu.Unlock()
	c.reportGivenUp(reportable)
}

// writeTask is the next task of writeLoop.
type writeTask struct {
	text     []byte // nil: there is nothing to write now
	isNew    bool   // the text is a line of which no byte has been written
	closed   bool   // the connection has ended
	writeNow env.NonBlockingWrite
}

// stall records since when a connection has accepted no bytes.
type stall struct {
	since      time.Time // zero: the connection is not stalled
	linesBegun int64     // outgoing.linesBegun at the start of the stall
}

// writeLoop writes the text that flush left, until the connection ends. It closes the connection if the
// text cannot be written in time. finish reports the attempts that are open then.
func (c *cacheConn) writeLoop(conn net.Conn) {
	var stalled stall
	for {
		next := c.nextTask()
		if next.closed {
			return
		}
		if next.text == nil {
			stalled.since = time.Time{}
			c.wakeup.Wait(-1)
			continue
		}
		// A blocking Write would begin the line as soon as the cache reads again, even if the line may
		// not be sent any more by then.
		if next.isNew && next.writeNow != nil {
			if !c.writeNonBlocking(next, &stalled) {
				c.writeTimedOut.Store(true)
				env.Abort(conn)
				return
			}
			continue
		}
		stalled.since = time.Time{}
		if !c.writeBlocking(conn, next.text) {
			env.Abort(conn)
			return
		}
	}
}

// nextTask returns what writeLoop is to write next, unless flush is writing. It also reports attempts
// whose lines have been written.
func (c *cacheConn) nextTask() writeTask {
	c.mu.Lock()
	var next writeTask
	if !c.writing {
		next.text = c.nextLine()
	}
	c.writing = c.writing || next.text != nil
	next.isNew = c.lastLine != nil
	next.closed = c.closed
	next.writeNow = c.writeNow
	reportable := c.popReportable(false)
	c.mu.Unlock()
	c.reportGivenUp(reportable)
	return next
}

// writeNonBlocking writes as many bytes of a line as the connection accepts without blocking. It
// returns false if the connection has accepted nothing for writeTimeout.
func (c *cacheConn) writeNonBlocking(next writeTask, stalled *stall) bool {
	n := next.writeNow(next.text)
	c.mu.Lock()
	c.recordWrite(next.text, n)
	c.writing = false
	if n > 0 || c.linesBegun != stalled.linesBegun {
		*stalled = stall{linesBegun: c.linesBegun}
	}
	c.mu.Unlock()
	now := c.pool.env.Now()
	if stalled.since.IsZero() {
		stalled.since = now
	} else if now.Sub(stalled.since) > writeTimeout {
		return false
	}
	if n == 0 {
		c.wakeup.Wait(writeRetryDelay)
	}
	return true
}

// writeBlocking writes text and blocks until the connection has accepted it. It returns false if the
// write fails or exceeds writeTimeout.
func (c *cacheConn) writeBlocking(conn net.Conn, text []byte) bool {
	conn.SetWriteDeadline(c.pool.env.Now().Add(writeTimeout))
	_, err := conn.Write(text)
	conn.SetWriteDeadline(time.Time{}) // an expired deadline would also stop flush
	c.mu.Lock()
	c.writing = false
	if err == nil {
		c.linesWritten = c.linesBegun
	}
	reportable := c.popReportable(false)
	c.mu.Unlock()
	c.reportGivenUp(reportable)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeTimedOut.Store(true)
	}
	return err == nil
}
