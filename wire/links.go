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

	"foldslip/charter"
	"foldslip/clock"
	"foldslip/facade"
	"foldslip/logic"
	"foldslip/memory"
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
	g      clock.Ground
	terms  *charter.Terms
	router *facade.Facade
	caches *memory.Caches
	purges *memory.Purges
	mu     sync.Mutex
	by     map[string][]*link // by cache id and address
	most   int                // connections to all caches together, those being dialled included
	conns  int                // of these, how many there are
	boards atomic.Int64       // sends so far
	flying atomic.Int64       // sends without an ending
	group  clock.Group
	life   *clock.Life
}

// NewLinks makes the links, so many connections at most; they end with life.
func NewLinks(g clock.Ground, life *clock.Life, terms *charter.Terms, router *facade.Facade, caches *memory.Caches,
	purges *memory.Purges, most int) *Links {
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
	step   facade.Step
	till   time.Time // it is given up then
	over   clock.Timer
	hush   clock.Timer
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
	rest    []byte       // of the last line begun
	last    *line        // the last one that next took from out; nil: it gave the rest
	writing bool         // one goroutine at a time writes
	now     clock.Direct // writes what the connection takes at once; nil: it cannot
	undone  []undone     // given up, the undo not yet written
	turn    clock.Bell   // rung when there are lines, and at the end
	stuck   atomic.Bool  // lines did not go out in time
	instead *link        // closed before this one is dialled, for its descriptor
	evicted atomic.Bool  // for another's sake
	served  int
	strays  int // answers to no send: given up, given twice, another's
	buf     memory.Buffer
}

// send writes a send to its cache or reports at once why it cannot.
func (ls *Links) send(o *open, s facade.Step) {
	to := ls.caches.Find(s.To.Name)
	if to == nil || to.Addr == "" {
		ls.router.Report(o.lk, s.N, logic.Unconnected, logic.Untold, 0)
		return
	}
	f := &flight{open: o, n: s.N, step: s, object: o.req.Object, group: o.req.Group,
		till: ls.g.Now().Add(time.Duration(s.Patience) * time.Microsecond)}
	f.at.f = f
	o.flights = append(o.flights, f)
	ls.flying.Add(1)
	for {
		l := ls.pick(to, o.req.ID)
		if l == nil {
			// As if the cache had turned it away: it never ran, the cache is not held for dead, and after a pause the module looks for
			// one that is connected. As never sent it would choose the same cache again at once.
			ls.report(f, logic.TurnedAway, logic.Untold, 0)
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
			if count++; !late && open < ls.terms.Streams {
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

// close ends a displaced connection; its descriptor is free then.
func (l *link) close() {
	l.evicted.Store(true)
	l.conn.Close()
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
	f.over = l.ls.g.AfterFunc(f.till.Sub(l.ls.g.Now()), func() { l.ls.undo(f, logic.TimedOut) })
	if l.conn != nil {
		l.put(f)
	}
	l.mu.Unlock()
	l.flush()
	return true
}

// put queues a send once the connection is up, under the link's lock. Its line says how long is left by now, and its hush begins:
// a connection that was late to come up has not been silent for that.
func (l *link) put(f *flight) {
	f.sent = l.ls.g.Now()
	source, s, q := "", f.step, f.open.req
	if s.Source != s.To {
		source = s.Source.Name
	}
	f.at.text = appendDo(nil, q.ID, q.Kind, q.Object, q.Part, f.till.Sub(f.sent).Microseconds(), source, s.Rank, s.Oldest, s.How, q.Tag,
		q.Unique, q.Body)
	f.hush = l.ls.g.AfterFunc(time.Duration(s.Hush)*time.Microsecond, func() { l.doubt(f) })
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
		if f := one.f; f != nil && one.text != nil && !l.ls.router.May(f.open.lk, f.step) {
			// Guards rules 2 (a window that has passed) and 3, lookups that are over and clients that left: the send was decided
			// some time ago. Nothing of it has gone out, so it is as never sent, and the router says what next.
			delete(l.flights, f.open.req.ID)
			f.stop()
			at := slices.IndexFunc(l.undone, func(u undone) bool { return u.no > one.no })
			l.undone = slices.Insert(l.undone, cmp.Or(at+1, len(l.undone)+1)-1, undone{f, logic.NeverSent, one.no})
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

// undo gives a send up, unless it has ended. Where the settings allow no giving up the cache is not told, and only what it has seen
// nothing of is withdrawn before its time is over.
func (ls *Links) undo(f *flight, how logic.Ending) {
	l := f.on
	if l == nil {
		return
	}
	l.mu.Lock()
	tells := ls.terms.Router.Cancelling
	if f.begun() && how == logic.Cancelled && !tells || !l.take(f, true) {
		l.mu.Unlock()
		return
	}
	switch {
	case !f.begun(): // its connection is not up, or it waits behind what the cache does not take
		l.waiting -= len(f.at.text)
		f.at.text, how = nil, logic.NeverSent
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
	ls.report(f, how, logic.Untold, 0)
}

// undone is a send that was given up, with the number of its undo's line, or of its own where that was not written; in the order of
// these numbers.
type undone struct {
	f   *flight
	how logic.Ending
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
		l.ls.report(u.f, u.how, logic.Untold, 0)
	}
}

// report tells the ending of a send, once.
func (ls *Links) report(f *flight, how logic.Ending, remark logic.Remark, waited logic.Micros) {
	ls.router.Report(f.open.lk, f.n, how, remark, waited)
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
			ls.undo(f, logic.Cancelled)
		}
	}
}

// leave gives up all that is still out for a lookup that is over.
func (ls *Links) leave(o *open) {
	for _, f := range o.flights {
		ls.undo(f, logic.Cancelled)
	}
}

// run dials, reads until the connection ends, and reports what was open on it.
func (l *link) run() {
	ls, began := l.ls, l.ls.g.Now()
	if l.instead != nil {
		l.instead.close()
		l.instead = nil
	}
	conn, err := ls.g.Dial(ls.life, l.peer.Addr, time.Duration(ls.terms.ConnectWithin)*time.Microsecond)
	if err != nil {
		reason := "refused"
		if !errors.Is(err, syscall.ECONNREFUSED) {
			reason = "no_connection"
		}
		how := logic.Unconnected
		if clock.NoDescriptor(err) { // says nothing of the cache
			how, reason = logic.TurnedAway, "no_descriptor"
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
	l.end(logic.Reset, reason, began)
}

func (l *link) end(how logic.Ending, reason string, began time.Time) {
	ls := l.ls
	ls.mu.Lock()
	ls.drop(l)
	ls.mu.Unlock()
	l.mu.Lock()
	l.dead = true
	lost, unsent := inOrder(l.flights), map[*flight]bool{}
	l.flights = nil
	for _, f := range lost {
		if f.stop(); how == logic.Reset && !f.begun() {
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
			its = logic.NeverSent // the connection broke before the send had gone out whole
		}
		ls.report(f, its, logic.Untold, 0)
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
			l.buf.Skip(size)
			if reason != "" {
				return reason
			}
		case errors.Is(err, errShort):
			// This side closes first, and only while nothing is open: no send meets the cache's own idle close.
			wait, begun := time.Duration(l.ls.terms.IdleFor)*time.Microsecond*8/10, len(l.buf.Bytes()) > 0
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
		a.end = logic.Errored // word of another copy than the client's is none
		l.ls.g.Log().Warn("cache_fault", "cache", l.peer.ID, "text", "VALID for a copy that the client does not hold")
	}
	if issued, told := l.ls.purges.Heeded(f.object, f.group); a.end == logic.Satisfied && !a.bare && a.born.Before(issued) {
		// Guards rule 5, past the grace whenever the send went out. To the module it is as if no answer had come: where the
		// object kind allows it, it sends anew with the purge in mind. The send has run, so it is never as if it had not gone out
		// (rule 2: a side-effecting lookup would go out a second time).
		now := l.ls.g.Now()
		l.ls.g.Log().Warn("outdated_copy", "cache", l.peer.ID, "older_ms", issued.Sub(a.born).Milliseconds(), "told_ms_ago",
			now.Sub(told).Milliseconds(), "sent_ms_ago", now.Sub(f.sent).Milliseconds())
		a.end, a.remark = logic.TimedOut, logic.Untold
	}
	if a.end == logic.Satisfied {
		switch kept, over := f.open.keep(f.n, a); {
		case over:
			a.end = logic.TimedOut // its lookup has just ended: no fault of the cache
		case !kept:
			a.end = logic.Errored // answers that clients are slow to take fill the room; it may have run
		}
	}
	l.ls.report(f, a.end, a.remark, a.waited)
	return ""
}
