// The lines that go out on a connection to a cache, queued while it takes those before them.

package wire

import (
	"cmp"
	"errors"
	"net"
	"os"
	"slices"
	"time"

	"foldslip/internal/policy"
)

// put queues a send once the connection is up, under the link's lock. Its line says how long is left by now, and its hush begins:
// a connection that was late to come up has not been silent for that.
func (l *link) put(f *flight) {
	f.sent = l.ls.g.Now()
	source, s, q := "", f.step, f.open.req
	if s.Source != s.Cache {
		source = s.Source.Name
	}
	f.at.text = appendDo(nil, q.ID, q.Kind, q.Object, q.Part, f.till.Sub(f.sent).Microseconds(), source, s.Rank, s.MaxAge, s.Mode, q.Tag,
		q.Unique, q.Body)
	f.hush = l.ls.g.AfterFunc(time.Duration(s.SilenceTimeout)*time.Microsecond, func() { l.doubt(f) })
	l.write(&f.at)
}

// line is a line to a cache, with its number on the connection.
type line struct {
	no   int64
	text []byte  // nil once it is withdrawn
	f    *flight // the send it is of; nil: an undo
}

// write queues a line, under the link's lock. A peer that takes so few that they pile up has its connection ended.
func (l *link) write(one *line) {
	l.queued++
	one.no = l.queued
	l.out = append(l.out, one)
	if l.waiting += len(one.text); l.waiting > mostQueued {
		l.stuck.Store(true)
		l.conn.Close()
	}
}

// next takes what is to be written next, under the link's lock; nil where there is nothing.
func (l *link) next() (text []byte) {
	if l.last = nil; l.rest != nil {
		text, l.rest = l.rest, nil
		return text
	}
	for len(l.out) > 0 { // one at a time: what waits behind a peer that takes nothing can be withdrawn
		one := l.out[0]
		l.out = l.out[1:]
		l.waiting -= len(one.text)
		if f := one.f; f != nil && one.text != nil && !l.ls.router.MaySend(f.open.lk, f.step) {
			// Guards rules 2 (a window that has passed) and 3, lookups that are over and clients that left: the send was decided
			// some time ago. Nothing of it has gone out, so it is as never sent, and the router says what next.
			delete(l.flights, f.open.req.ID)
			f.stop()
			at := slices.IndexFunc(l.undone, func(u undone) bool { return u.no > one.no })
			l.undone = slices.Insert(l.undone, cmp.Or(at+1, len(l.undone)+1)-1, undone{f, policy.OutcomeNotSent, one.no})
			l.closeEmpty()
			one.text = nil
		}
		if l.begun = one.no; one.text != nil {
			l.last = one
			return one.text
		}
		l.gone = l.begun // all before it is out
	}
	return nil
}

// took notes how much of what next gave the connection took at once, under the link's lock; false: not all. A line of which it took
// nothing has not begun and goes back, to be asked of again (next) before it does: a peer that takes nothing may do so for long after
// a client left, a lookup ended or a cache was told draining, and the first byte would still go out then.
func (l *link) took(text []byte, n int) bool {
	one := l.last
	if n > 0 || one == nil {
		if l.rest = text[n:]; len(l.rest) == 0 {
			l.rest, l.gone = nil, l.begun
		}
		return l.rest == nil
	}
	if f := one.f; f != nil && l.flights[f.open.req.ID] != f { // given up this moment: neither it nor its undo need go out
		one.text = nil
		for _, u := range l.undone {
			if at := slices.IndexFunc(l.out, func(o *line) bool { return u.f == f && o.no == u.no }); at >= 0 {
				l.waiting -= len(l.out[at].text)
				l.out[at].text = nil
			}
		}
	}
	l.waiting += len(one.text)
	l.out = slices.Insert(l.out, 0, one)
	l.begun, l.last = one.no-1, nil
	return false
}

// flush writes what is queued, as far as the connection takes it at once; where it does not, pour goes on. So the wake of
// a goroutine is paid for lines to a cache that is slow to read, not for each send.
func (l *link) flush() {
	l.mu.Lock()
	if l.writing || l.dead || l.now == nil {
		if !l.writing && l.conn != nil {
			l.turn.Ring()
		}
		l.mu.Unlock()
		return
	}
	l.writing = true
	for text := l.next(); text != nil; text = l.next() {
		l.mu.Unlock()
		n := l.now(text)
		l.mu.Lock()
		if !l.took(text, n) {
			break
		}
	}
	l.writing = false
	out := l.settled(false)
	if l.rest != nil || len(l.out) > 0 || l.dead {
		l.turn.Ring()
	}
	l.mu.Unlock()
	l.tell(out)
}

// pour writes what flush left until the connection ends; what does not go out soon ends it.
func (l *link) pour(conn net.Conn) {
	var since time.Time // the connection has taken nothing, with so many lines begun
	var begun int64
	for {
		l.mu.Lock()
		var text []byte
		if !l.writing {
			text = l.next()
		}
		l.writing = l.writing || text != nil
		dead, out, now, fresh := l.dead, l.settled(false), l.now, l.last != nil
		l.mu.Unlock()
		l.tell(out)
		if dead {
			return
		}
		if text == nil {
			since = time.Time{}
			l.turn.Wait(-1)
			continue
		}
		if fresh && now != nil { // a Write that waits would begin whenever the peer reads on, whatever has been told by then
			n := now(text)
			l.mu.Lock()
			l.took(text, n)
			l.writing = false
			if n > 0 || l.begun != begun {
				since, begun = time.Time{}, l.begun
			}
			l.mu.Unlock()
			if at := l.ls.g.Now(); since.IsZero() {
				since = at
			} else if at.Sub(since) > writeWithin {
				l.stuck.Store(true)
				conn.Close()
				return
			}
			if n == 0 {
				l.turn.Wait(tryAgain)
			}
			continue
		}
		since = time.Time{}
		conn.SetWriteDeadline(l.ls.g.Now().Add(writeWithin))
		_, err := conn.Write(text)
		conn.SetWriteDeadline(time.Time{}) // one that has passed would stop flush too
		l.mu.Lock()
		l.writing = false
		if err == nil {
			l.gone = l.begun
		}
		out = l.settled(false)
		l.mu.Unlock()
		l.tell(out)
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				l.stuck.Store(true)
			}
			conn.Close()
			return // end tells what was undone
		}
	}
}
