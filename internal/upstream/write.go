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
	// writeTimeout bounds how long a cache may take none of the bytes that wait for it.
	writeTimeout = time.Second
	// maxQueuedBytes bounds the bytes of lines that wait for a cache to take those before them.
	maxQueuedBytes = 64<<10 + MaxObjectBytes
	// writeRetryDelay is the pause before a line of which the connection took nothing is tried again.
	writeRetryDelay = 5 * time.Millisecond
)

// outgoing are the lines that wait to be written on a connection. It is guarded by the connection's lock, except that the goroutine that
// has set writing may write without it.
type outgoing struct {
	queue        []*line
	queuedBytes  int
	linesQueued  int64                // so far: the number of the last line
	linesBegun   int64                // the number of the last line that began to be written
	linesWritten int64                // the number of the last line that is out
	partialLine  []byte               // the rest of the last line that began
	lastLine     *line                // that nextLine took from the queue; nil: it gave a partial line
	writing      bool                 // one goroutine at a time writes
	writeNow     env.NonBlockingWrite // nil: the connection has none
}

// line is a line to a cache.
type line struct {
	number  int64    // on its connection, from 1
	text    []byte   // nil once it is withdrawn
	attempt *attempt // that it starts; nil: a cancel line
}

// queueAttempt queues an attempt's line once the connection is up. The line says how much time is left by now, and its silence timeout
// begins: a connection that was late to come up has not been silent for that. Under the connection's lock.
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
	a.line.text = request.appendTo(nil)
	a.silenceTimer = c.pool.env.AfterFunc(time.Duration(step.SilenceTimeout)*time.Microsecond, func() { c.noteSilence(a) })
	c.queueLine(&a.line)
}

// queueLine queues a line. A cache that takes so few that they pile up has its connection ended. Under the connection's lock.
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

// nextLine returns what is to be written next, nil if there is nothing. It takes one line at a time, so that those behind a cache that
// takes nothing can still be withdrawn. Under the connection's lock.
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
			return next.text
		}
		c.linesWritten = c.linesBegun // all before it is out
	}
	return nil
}

// withdraw takes back an attempt that was decided some time ago and may not go out any more: its window has passed (rule 2), its cache
// drains (rule 3), its lookup has ended or its client has gone. Nothing of it has gone out, so it is reported as not sent, and the policy
// says what comes next. Under the connection's lock.
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

// noteWritten notes how many bytes of what nextLine gave the connection took at once; it returns whether that was all of them. A line of
// which it took nothing has not begun and goes back to the queue, so that nextLine asks again whether it may go out: a cache may take
// nothing for long after a client has gone, a lookup has ended or the cache has begun to drain. Under the connection's lock.
func (c *cacheConn) noteWritten(text []byte, n int) bool {
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

// requeueLast puts the line that nextLine gave back to the front of the queue. If its attempt has been given up meanwhile, neither it nor
// its cancel line need go out. Under the connection's lock.
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

// flush writes what is queued, as far as the connection takes it at once; writeLoop goes on with the rest. So a goroutine is woken only for
// lines to a cache that is slow to read, not for each attempt.
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
		if !c.noteWritten(text, n) {
			break
		}
	}
	c.writing = false
	reportable := c.takeReportable(false)
	if c.partialLine != nil || len(c.queue) > 0 || c.closed {
		c.wakeup.Notify()
	}
	c.mu.Unlock()
	c.reportGivenUp(reportable)
}

// claim is what writeLoop is to do next.
type claim struct {
	text     []byte // nil: nothing now
	isNew    bool   // the text is a line of which nothing has been written
	closed   bool   // the connection has ended
	writeNow env.NonBlockingWrite
}

// stall is how long a connection has taken nothing.
type stall struct {
	since      time.Time // zero: it is not stalled
	linesBegun int64     // when it began
}

// writeLoop writes what flush left until the connection ends; what does not go out in time ends it. Attempts that are open then are
// reported by finish.
func (c *cacheConn) writeLoop(conn net.Conn) {
	var stalled stall
	for {
		next := c.claimLine()
		if next.closed {
			return
		}
		if next.text == nil {
			stalled.since = time.Time{}
			c.wakeup.Wait(-1)
			continue
		}
		if next.isNew && next.writeNow != nil { // a Write that waits would begin whenever the cache reads on, whatever has changed by then
			if !c.writeWithoutWaiting(next, &stalled) {
				c.writeTimedOut.Store(true)
				env.Abort(conn)
				return
			}
			continue
		}
		stalled.since = time.Time{}
		if !c.writeWaiting(conn, next.text) {
			env.Abort(conn)
			return
		}
	}
}

// claimLine takes what is to be written next, unless flush is writing, and reports attempts whose lines are out.
func (c *cacheConn) claimLine() claim {
	c.mu.Lock()
	var next claim
	if !c.writing {
		next.text = c.nextLine()
	}
	c.writing = c.writing || next.text != nil
	next.isNew = c.lastLine != nil
	next.closed = c.closed
	next.writeNow = c.writeNow
	reportable := c.takeReportable(false)
	c.mu.Unlock()
	c.reportGivenUp(reportable)
	return next
}

// writeWithoutWaiting writes what the connection takes of a line at once. It returns false if the connection has taken nothing for
// writeTimeout.
func (c *cacheConn) writeWithoutWaiting(next claim, stalled *stall) bool {
	n := next.writeNow(next.text)
	c.mu.Lock()
	c.noteWritten(next.text, n)
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

// writeWaiting writes text and waits for the connection to take it; false if it does not in time.
func (c *cacheConn) writeWaiting(conn net.Conn, text []byte) bool {
	conn.SetWriteDeadline(c.pool.env.Now().Add(writeTimeout))
	_, err := conn.Write(text)
	conn.SetWriteDeadline(time.Time{}) // one that has passed would stop flush too
	c.mu.Lock()
	c.writing = false
	if err == nil {
		c.linesWritten = c.linesBegun
	}
	reportable := c.takeReportable(false)
	c.mu.Unlock()
	c.reportGivenUp(reportable)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeTimedOut.Store(true)
	}
	return err == nil
}
