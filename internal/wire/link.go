// One connection to a cache: the sends on it, the answers read from it, and how it ends.

package wire

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

	"foldslip/internal/env"
	"foldslip/internal/memory"
	"foldslip/internal/policy"
)

// link is one connection to a cache, from its dialling on.
type link struct {
	ls      *Links
	key     string
	peer    *memory.Cache
	mu      sync.Mutex
	conn    net.Conn // nil while dialling
	dead    bool
	heard   time.Time // last whole answer, or when it came up
	doubted bool      // takes no more sends
	flights map[string]*flight
	late    map[string]time.Time // given up, an answer may still come
	out     []*line              // to be written, so that no lookup waits for a peer
	waiting int                  // their bytes
	queued  int64                // lines so far, how many of them have begun to be written, and how many are out whole
	begun   int64
	gone    int64
	rest    []byte      // of the last line begun
	last    *line       // the last one that next took from out; nil: it gave the rest
	writing bool        // one goroutine at a time writes
	now     env.Direct  // writes what the connection takes at once; nil: it cannot
	undone  []undone    // given up, the undo not yet written
	turn    env.Bell    // rung when there are lines, and at the end
	stuck   atomic.Bool // lines did not go out in time
	instead *link       // closed before this one is dialled, for its descriptor
	evicted atomic.Bool // for another's sake
	served  int
	strays  int // answers to no send: given up, given twice, another's
	buf     memory.Buffer
}

// close ends a displaced connection; its descriptor is free then.
func (l *link) close() {
	l.evicted.Store(true)
	l.conn.Close()
}

func (l *link) load(id string) (open int, late, dead bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, late = l.late[id]
	return len(l.flights), late, l.dead || l.doubted
}

// board puts a send on the connection: at once, or when it is up.
func (l *link) board(f *flight) bool {
	l.mu.Lock()
	if l.dead || l.doubted {
		l.mu.Unlock()
		return false
	}
	l.flights[f.open.req.ID] = f
	f.no = l.ls.boards.Add(1)
	f.on = l
	f.over = l.ls.g.AfterFunc(f.till.Sub(l.ls.g.Now()), func() { l.ls.undo(f, policy.OutcomeTimeout) })
	if l.conn != nil {
		l.put(f)
	}
	l.mu.Unlock()
	l.flush()
	return true
}

// take removes a send, under the link's lock; whoever gets it reports its ending. up: it is given up, an answer may still come.
func (l *link) take(f *flight, up bool) bool {
	id := f.open.req.ID
	if l.flights[id] != f {
		return false
	}
	delete(l.flights, id)
	f.stop()
	if up = up && f.begun(); up && f.hushed && !l.heard.After(f.sent) {
		l.doubted = true
	}
	l.closeEmpty()
	if up {
		now := l.ls.g.Now()
		for k, at := range l.late {
			if now.Sub(at) > forgetLateIn {
				delete(l.late, k)
			}
		}
		l.late[id] = now
	}
	return true
}

// doubt notes that a send has waited for its hush. Two that did, with no whole answer since, end the connection: one
// may be slow by itself, and so may the cache be if its connection has brought nothing yet. Guards against a peer that
// falls silent and leaves the connection open.
func (l *link) doubt(f *flight) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f.hushed = true
	n := 0
	for _, o := range l.flights {
		if o.hushed && !l.heard.After(o.sent) {
			n++
		}
	}
	if n >= 2 && l.served > 0 && l.conn != nil {
		l.doubted = true
		l.conn.Close()
	}
}

// closeEmpty ends a doubted connection once nothing is open on it, under the link's lock.
func (l *link) closeEmpty() {
	if l.doubted && len(l.flights) == 0 && l.conn != nil {
		l.conn.Close()
	}
}

// undone is a send that was given up, with the number of its undo's line, or of its own where that was not written; in the order of
// these numbers.
type undone struct {
	f   *flight
	how policy.AttemptOutcome
	no  int64
}

// settled takes the undone sends whose undo is out, or all of them; under the link's lock.
func (l *link) settled(all bool) (out []undone) {
	n := 0
	for n < len(l.undone) && (all || l.undone[n].no <= l.gone) {
		n++
	}
	out, l.undone = l.undone[:n:n], l.undone[n:]
	if len(l.undone) == 0 {
		l.undone = nil
	}
	return out
}

// tell reports undone sends.
func (l *link) tell(out []undone) {
	for _, u := range out {
		l.ls.report(u.f, u.how, policy.DetailNone, 0)
	}
}

// run dials, reads until the connection ends, and reports what was open on it.
func (l *link) run() {
	ls, began := l.ls, l.ls.g.Now()
	if l.instead != nil {
		l.instead.close()
		l.instead = nil
	}
	conn, err := ls.g.Dial(ls.life, l.peer.Addr, time.Duration(ls.terms.ConnectTimeout)*time.Microsecond)
	if err != nil {
		reason := "refused"
		if !errors.Is(err, syscall.ECONNREFUSED) {
			reason = "no_connection"
		}
		how := policy.OutcomeConnectFailed
		if env.NoDescriptor(err) { // says nothing of the cache
			how, reason = policy.OutcomeRejected, "no_descriptor"
		}
		l.end(how, reason, began)
		return
	}
	defer ls.life.OnEnd(func() { conn.Close() })()
	defer conn.Close()
	l.mu.Lock()
	l.conn, l.heard, l.now = conn, ls.g.Now(), ls.g.Direct(conn)
	for _, f := range inOrder(l.flights) {
		l.put(f)
	}
	l.mu.Unlock()
	l.flush()
	ls.group.Go("pour", func() error { l.pour(conn); return nil })
	reason := l.read(conn)
	conn.Close() // before it no longer counts
	l.end(policy.OutcomeReset, reason, began)
}

func (l *link) end(how policy.AttemptOutcome, reason string, began time.Time) {
	ls := l.ls
	ls.mu.Lock()
	ls.drop(l)
	ls.mu.Unlock()
	l.mu.Lock()
	l.dead = true
	lost, unsent := inOrder(l.flights), map[*flight]bool{}
	l.flights = nil
	for _, f := range lost {
		if f.stop(); how == policy.OutcomeReset && !f.begun() {
			unsent[f] = true
		}
	}
	l.out = nil
	undone := l.settled(true)
	l.mu.Unlock()
	l.turn.Ring()
	l.tell(undone)
	for _, f := range lost {
		its := how
		if unsent[f] {
			its = policy.OutcomeNotSent // the connection broke before the send had gone out whole
		}
		ls.report(f, its, policy.DetailNone, 0)
	}
	ls.g.Log().Info("cache_closed", "cache", l.peer.ID, "addr", l.peer.Addr, "reason", reason, "open", len(lost), "unsent",
		len(unsent), "answers", l.served, "strays", l.strays, "age_ms", ls.g.Now().Sub(began).Milliseconds())
}

// inOrder is sends in the order they boarded, so that one run is as the next.
func inOrder(flights map[string]*flight) []*flight {
	return slices.SortedFunc(maps.Values(flights), func(a, b *flight) int { return cmp.Compare(a.no, b.no) })
}

// read takes answers until the connection ends and tells why it did.
func (l *link) read(conn net.Conn) string {
	for {
		a, size, err := parseAnswer(l.buf.Bytes())
		switch {
		case size > 0:
			reason := l.answered(a, err)
			l.buf.Discard(size)
			if reason != "" {
				return reason
			}
		case errors.Is(err, errShort):
			// This side closes first, and only while nothing is open: no send meets the cache's own idle close.
			wait, begun := time.Duration(l.ls.terms.IdleTimeout)*time.Microsecond*8/10, len(l.buf.Bytes()) > 0
			if begun {
				wait = stalledAfter // what stops short would hold up all other sends here
			}
			conn.SetReadDeadline(l.ls.g.Now().Add(wait))
			err := l.buf.Fill(conn, mostAnswer)
			if errors.Is(err, os.ErrDeadlineExceeded) && begun {
				return "stalled"
			}
			if errors.Is(err, os.ErrDeadlineExceeded) && !l.retire() {
				continue
			}
			if err != nil {
				return l.why(err)
			}
		default:
			l.ls.g.Log().Warn("cache_fault", "cache", l.peer.ID, "text", err.Error())
			return "bad_answer"
		}
	}
}

// retire lets nothing more on board, if nothing is open.
func (l *link) retire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead = len(l.flights) == 0
	return l.dead
}

func (l *link) why(err error) string {
	switch {
	case l.ls.life.Over():
		return "stopping"
	case l.evicted.Load():
		return "displaced"
	case errors.Is(err, io.EOF):
		return "closed_by_cache"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "idle"
	case l.doubts():
		return "silent"
	case l.stuck.Load():
		return "write_failed"
	}
	return "reset"
}

func (l *link) doubts() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.doubted
}

// answered hands an answer to its lookup, or what is wrong with it. A reason ends the connection. An answer to no send
// (given up, a second copy, another's) is whole and harms nothing: the sends around it go on.
func (l *link) answered(a answer, fault error) string {
	l.mu.Lock()
	f := l.flights[a.id]
	if l.heard = l.ls.g.Now(); f != nil {
		l.served++
	}
	if f == nil {
		delete(l.late, a.id)
		l.strays++
	}
	l.mu.Unlock()
	if f == nil {
		return ""
	}
	if fault == nil && a.bare && !f.open.runs { // guards clients against bytes that no cache vouches for
		fault = errors.New("a copy without ver or born")
	}
	if fault != nil {
		l.ls.g.Log().Warn("cache_fault", "cache", l.peer.ID, "text", fault.Error())
		return "bad_answer"
	}
	l.mu.Lock()
	its := l.take(f, false)
	l.mu.Unlock()
	if !its {
		return "" // given up this moment
	}
	if a.same && a.tag != f.open.req.Tag {
		a.end = policy.OutcomeError // word of another copy than the client's is none
		l.ls.g.Log().Warn("cache_fault", "cache", l.peer.ID, "text", "VALID for a copy that the client does not hold")
	}
	if issued, told := l.ls.purges.InForce(f.object, f.group); a.end == policy.OutcomeSatisfied && !a.bare && a.born.Before(issued) {
		// Guards rule 5, past the grace whenever the send went out. To the module it is as if no answer had come: where the
		// object kind allows it, it sends anew with the purge in mind. The send has run, so it is never as if it had not gone out
		// (rule 2: a side-effecting lookup would go out a second time).
		now := l.ls.g.Now()
		l.ls.g.Log().Warn("outdated_copy", "cache", l.peer.ID, "older_ms", issued.Sub(a.born).Milliseconds(), "told_ms_ago",
			now.Sub(told).Milliseconds(), "sent_ms_ago", now.Sub(f.sent).Milliseconds())
		a.end, a.remark = policy.OutcomeTimeout, policy.DetailNone
	}
	if a.end == policy.OutcomeSatisfied {
		switch kept, over := f.open.keep(f.n, a); {
		case over:
			a.end = policy.OutcomeTimeout // its lookup has just ended: no fault of the cache
		case !kept:
			a.end = policy.OutcomeError // answers that clients are slow to take fill the room; it may have run
		}
	}
	l.ls.report(f, a.end, a.remark, a.waited)
	return ""
}
