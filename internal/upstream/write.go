package upstream

import (
	"cmp"
	"errors"
	"net"
	"os"
	"slices"
	"time"

	"foldslip/internal/policy"
)

// queueAttempt queues a send once the connection is up, under the link's lock. Its line says how long is left by now, and its hush begins:
// a connection that was late to come up has not been silent for that.
func (l *cacheConn) queueAttempt(f *attempt) {
	f.sentAt = l.pool.env.Now()
	source, s, q := "", f.step, f.lookup.Request
	if s.Source != s.Cache {
		source = s.Source.Name
	}
	f.line.text = appendRequestLine(nil, q.ID, q.Kind, q.Object, q.Part, f.deadline.Sub(f.sentAt).Microseconds(), source, s.Rank, s.MaxAge, s.Mode, q.ETag,
		q.IdempotencyKey, q.Body)
	f.silenceTimer = l.pool.env.AfterFunc(time.Duration(s.SilenceTimeout)*time.Microsecond, func() { l.noteSilence(f) })
	l.queueLine(&f.line)
}

// line is a line to a cache, with its number on the connection.
type line struct {
	number  int64
	text    []byte   // nil once it is withdrawn
	attempt *attempt // the send it is of; nil: an undo
}

// queueLine queues a line, under the link's lock. A peer that takes so few that they pile up has its connection ended.
func (l *cacheConn) queueLine(one *line) {
	l.linesQueued++
	one.number = l.linesQueued
	l.queue = append(l.queue, one)
	if l.queuedBytes += len(one.text); l.queuedBytes > maxQueuedBytes {
		l.writeTimedOut.Store(true)
		l.conn.Close()
	}
}

// nextLine takes what is to be written next, under the link's lock; nil where there is nothing.
func (l *cacheConn) nextLine() (text []byte) {
	if l.lastLine = nil; l.partialLine != nil {
		text, l.partialLine = l.partialLine, nil
		return text
	}
	for len(l.queue) > 0 { // one at a time: what waits behind a peer that takes nothing can be withdrawn
		one := l.queue[0]
		l.queue = l.queue[1:]
		l.queuedBytes -= len(one.text)
		if f := one.attempt; f != nil && one.text != nil && !l.pool.dispatcher.MaySend(f.lookup.Dispatched, f.step) {
			// Guards rules 2 (a window that has passed) and 3, lookups that are over and clients that left: the send was decided
			// some time ago. Nothing of it has gone out, so it is as never sent, and the router says what next.
			delete(l.attempts, f.lookup.ID)
			f.stopTimers()
			at := slices.IndexFunc(l.givenUp, func(u givenUpAttempt) bool { return u.lineNumber > one.number })
			l.givenUp = slices.Insert(l.givenUp, cmp.Or(at+1, len(l.givenUp)+1)-1, givenUpAttempt{f, policy.OutcomeNotSent, one.number})
			l.closeIfSuspectAndIdle()
			one.text = nil
		}
		if l.linesBegun = one.number; one.text != nil {
			l.lastLine = one
			return one.text
		}
		l.linesWritten = l.linesBegun // all before it is out
	}
	return nil
}

// noteWritten notes how much of what next gave the connection took at once, under the link's lock; false: not all. A line of which it took
// nothing has not begun and goes back, to be asked of again (next) before it does: a peer that takes nothing may do so for long after
// a client left, a lookup ended or a cache was told draining, and the first byte would still go out then.
func (l *cacheConn) noteWritten(text []byte, n int) bool {
	one := l.lastLine
	if n > 0 || one == nil {
		if l.partialLine = text[n:]; len(l.partialLine) == 0 {
			l.partialLine, l.linesWritten = nil, l.linesBegun
		}
		return l.partialLine == nil
	}
	if f := one.attempt; f != nil && l.attempts[f.lookup.ID] != f { // given up this moment: neither it nor its undo need go out
		one.text = nil
		for _, u := range l.givenUp {
			if at := slices.IndexFunc(l.queue, func(o *line) bool { return u.attempt == f && o.number == u.lineNumber }); at >= 0 {
				l.queuedBytes -= len(l.queue[at].text)
				l.queue[at].text = nil
			}
		}
	}
	l.queuedBytes += len(one.text)
	l.queue = slices.Insert(l.queue, 0, one)
	l.linesBegun, l.lastLine = one.number-1, nil
	return false
}

// flush writes what is queued, as far as the connection takes it at once; where it does not, pour goes on. So the wake of
// a goroutine is paid for lines to a cache that is slow to read, not for each send.
func (l *cacheConn) flush() {
	l.mu.Lock()
	if l.writing || l.closed || l.writeNow == nil {
		if !l.writing && l.conn != nil {
			l.wakeup.Notify()
		}
		l.mu.Unlock()
		return
	}
	l.writing = true
	for text := l.nextLine(); text != nil; text = l.nextLine() {
		l.mu.Unlock()
		n := l.writeNow(text)
		l.mu.Lock()
		if !l.noteWritten(text, n) {
			break
		}
	}
	l.writing = false
	out := l.takeReportable(false)
	if l.partialLine != nil || len(l.queue) > 0 || l.closed {
		l.wakeup.Notify()
	}
	l.mu.Unlock()
	l.reportGivenUp(out)
}

// writeLoop writes what flush left until the connection ends; what does not go out soon ends it.
func (l *cacheConn) writeLoop(conn net.Conn) {
	var since time.Time // the connection has taken nothing, with so many lines begun
	var begun int64
	for {
		l.mu.Lock()
		var text []byte
		if !l.writing {
			text = l.nextLine()
		}
		l.writing = l.writing || text != nil
		dead, out, now, fresh := l.closed, l.takeReportable(false), l.writeNow, l.lastLine != nil
		l.mu.Unlock()
		l.reportGivenUp(out)
		if dead {
			return
		}
		if text == nil {
			since = time.Time{}
			l.wakeup.Wait(-1)
			continue
		}
		if fresh && now != nil { // a Write that waits would begin whenever the peer reads on, whatever has been told by then
			n := now(text)
			l.mu.Lock()
			l.noteWritten(text, n)
			l.writing = false
			if n > 0 || l.linesBegun != begun {
				since, begun = time.Time{}, l.linesBegun
			}
			l.mu.Unlock()
			if at := l.pool.env.Now(); since.IsZero() {
				since = at
			} else if at.Sub(since) > writeTimeout {
				l.writeTimedOut.Store(true)
				conn.Close()
				return
			}
			if n == 0 {
				l.wakeup.Wait(writeRetryDelay)
			}
			continue
		}
		since = time.Time{}
		conn.SetWriteDeadline(l.pool.env.Now().Add(writeTimeout))
		_, err := conn.Write(text)
		conn.SetWriteDeadline(time.Time{}) // one that has passed would stop flush too
		l.mu.Lock()
		l.writing = false
		if err == nil {
			l.linesWritten = l.linesBegun
		}
		out = l.takeReportable(false)
		l.mu.Unlock()
		l.reportGivenUp(out)
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				l.writeTimedOut.Store(true)
			}
			conn.Close()
			return // end tells what was undone
		}
	}
}
