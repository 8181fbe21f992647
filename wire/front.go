package wire

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"foldslip/charter"
	"foldslip/clock"
	"foldslip/facade"
	"foldslip/limit"
	"foldslip/logic"
	"foldslip/memory"
	"foldslip/route/steer"
)

const (
	idleClient  = 20 * time.Second        // without a request on it
	slowRequest = 2 * time.Second         // from a request's first byte to its last
	firstWithin = 2500 * time.Millisecond // from connecting to the first request's last byte
	slowAnswer  = time.Second             // past the deadline, for the client to take the last byte
	headRoom    = 256                     // before an answer's bytes, for its head
	lingerFor   = 200 * time.Millisecond
	lingerBytes = 256 << 10
	acceptAgain = 10 * time.Millisecond
	tellAgain   = time.Second
	lastLook    = 5 * time.Millisecond   // for a request that came just before this side ends its connection
	briefLook   = 200 * time.Microsecond // the same, while a new connection waits for its place
	mostAhead   = 64 << 10               // bytes that a client may send before its answer; past it nobody sees it go: no lookup begins
	unseenFor   = time.Second            // after accepting waited, connections are looked at for their end before a lookup begins
)

// Front is the side of the clients.
type Front struct {
	g        clock.Ground
	terms    *charter.Terms
	router   *facade.Facade
	links    *Links
	room     *memory.Room
	places   *memory.Places // in it, of direct clients
	most     int            // connections
	spare    int            // of these, for those that make room, while they are looked at once more
	Routes   *steer.Steer   // nil: a lookup may go anywhere
	kinds    map[string]int
	mu       sync.Mutex
	clients  map[*client]bool
	draining bool
	ready    bool
	count    int64 // connections so far
	group    clock.Group
	accepted clock.Bell // rung when no more are accepted
	leaving  int        // displaced connections that are looked at once more
	left     clock.Bell // rung when one of them has ended
	waited   time.Time  // when accepting last waited; Accept's own
}

// NewFront makes a front that takes so many connections at most.
func NewFront(g clock.Ground, terms *charter.Terms, router *facade.Facade, links *Links, room *memory.Room, most int) *Front {
	f := &Front{g: g, terms: terms, router: router, links: links, room: room, places: room.For("clients", 1), most: most, spare: most / 8, kinds: map[string]int{},
		clients: map[*client]bool{}, group: g.Group(), accepted: g.Bell(), left: g.Bell()}
	for i, k := range terms.Kinds {
		f.kinds[k] = i
	}
	return f
}

// client is one connection of a client.
type client struct {
	f      *Front
	conn   net.Conn
	mu     sync.Mutex
	busy   bool       // with a request, from its last byte to its answer's
	lk     *open      // the lookup that it is
	done   clock.Bell // rung when the next request may be taken
	no     int64      // in the order of accepting
	begun  bool       // bytes of a request are there
	bad    bool       // nothing it sends is taken any more: what came is no request, or it has its last answer; it ends
	ahead  bool       // a next request is there while one is being answered
	unseen bool       // its end may be behind what has not been read yet; its reader's own
	going  string     // why this side ends it once nothing is there
	reason string
	since  time.Time // without a request on it
	usual  bool      // a lookup of it was satisfied
	served int
}

// open is a lookup between its request and its answer, as the network sees it.
type open struct {
	req     Request
	lk      *facade.Lookup
	flights []*flight
	room    *memory.Room
	runs    bool        // at the origin: what it brings is no copy
	pass    *steer.Pass // nil: it came by no route
	came    time.Time
	mu      sync.Mutex
	got     map[int]*copied
	held    int // bytes of room that the request's body and got take
	closed  bool
}

// copied is an answer to pass on: room for a head, then the bytes.
type copied struct {
	block []byte
	tag   string
	same  bool
}

// keep holds an answer of a cache for its lookup, with room for the head before it; not if the lookup is over or there is no room.
func (o *open) keep(n int, a answer) (kept, over bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	size := headRoom + len(a.body)
	if o.closed || !o.room.Hold(size) {
		return false, o.closed
	}
	o.held += size
	c := &copied{tag: a.tag, same: a.same, block: make([]byte, size)}
	copy(c.block[headRoom:], a.body)
	if o.got == nil {
		o.got = map[int]*copied{}
	}
	o.got[n] = c
	return true, false
}

// close gives back what is held; nothing is kept from now on.
func (o *open) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.room.Free(o.held)
	o.held, o.got, o.closed = 0, nil, true
}

// leave ends what its route let in.
func (o *open) leave(how facade.What, late bool) {
	if o.pass != nil {
		o.pass.End(how == facade.Satisfied && !late, how == facade.Nacked, late || how == facade.Failed)
	}
}

// Load is how many connections there are.
func (f *Front) Load() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.clients)
}

// Ready lets pings be answered with 200.
func (f *Front) Ready() {
	f.mu.Lock()
	f.ready = true
	f.mu.Unlock()
}

// Accept takes clients until the listener closes; see Shut.
func (f *Front) Accept(life *clock.Life, from net.Listener) error {
	defer f.accepted.Ring()
	again := f.g.Bell() // rung at the end
	defer life.OnEnd(again.Ring)()
	var told time.Time
	last := int64(-1) // connections when it was looked for the last ones
	for {
		conn, err := from.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// Guards the connections that wait to be accepted when no more are wanted: closing the listener resets them, with
			// the requests that may be on them. So it closes after a look that found none.
			if last == f.count {
				from.Close()
				return nil
			}
			last = f.count
			from.(limited).SetDeadline(f.g.Now().Add(lastLook))
			continue
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if f.g.Now().Sub(told) > tellAgain {
				told = f.g.Now()
				f.g.Log().Warn("accept_failed", "text", err.Error())
			}
			if clock.NoDescriptor(err) && f.Yield() {
				f.waited = f.g.Now() // those that come now may have waited with a request on them, and have gone
				continue
			}
			if again.Wait(acceptAgain) {
				return nil
			}
			f.waited = f.g.Now()
			continue
		}
		c := &client{f: f, conn: conn, since: f.g.Now(), done: f.g.Bell()}
		c.done.Ring()
		f.mu.Lock()
		f.count++
		c.no = f.count
		for len(f.clients)-f.leaving >= f.most-f.spare && f.displace() {
		}
		for n := 0; len(f.clients) >= f.most && f.leaving > 0 && n < 8; n++ {
			f.mu.Unlock()
			f.left.Wait(lastLook)
			f.waited = f.g.Now()
			f.mu.Lock()
		}
		// It may have waited to be accepted, with a request on it, for longer than its client did.
		c.unseen = !f.waited.IsZero() && f.g.Now().Sub(f.waited) < unseenFor
		full := len(f.clients) >= f.most
		if !full {
			f.clients[c] = true
		}
		if f.draining { // it came just as the listener closes, and its request may be there
			c.going = "stopping"
		}
		f.mu.Unlock()
		f.group.Go("client", func() error { c.run(full); return nil })
	}
}

// limited is a listener that can be told to stop waiting.
type limited interface{ SetDeadline(time.Time) error }

// Shut takes the connections that are waiting to be accepted and closes the listener; it does not wait for that.
func (f *Front) Shut(from net.Listener) {
	if l, ok := from.(limited); !ok || l.SetDeadline(f.g.Now()) != nil {
		from.Close()
	}
}

// displace makes room for a new connection, under the front's lock: the one longest without a request goes, first among
// those that never had a lookup satisfied, and of these first one without a part of a request. That guards usual clients against
// silent connections by the hundreds.
func (f *Front) displace() bool {
	var last *client
	var rank int
	for c := range f.clients {
		c.mu.Lock()
		if !c.busy && (c.going == "" || c.bad) && c.reason == "" {
			its := 0
			if c.begun {
				its++
			}
			if c.usual {
				its += 2
			}
			if last == nil || cmp.Or(its-rank, c.since.Compare(last.since), cmp.Compare(c.no, last.no)) < 0 {
				last, rank = c, its
			}
		}
		c.mu.Unlock()
	}
	if last == nil {
		return false
	}
	last.mu.Lock()
	defer last.mu.Unlock()
	if last.busy { // a request came this moment
		return false
	}
	if last.bad { // nothing it sends is taken any more; it may be slow to take its answer
		last.close("displaced")
		delete(f.clients, last)
		return true
	}
	last.retire("displaced")
	f.leaving++
	return true
}

// Yield ends a connection that waits for nothing, in the order of displace, so that its descriptor is free for something else; false
// where each has a lookup. It waits for the connection's last look, two of lastLook at most.
func (f *Front) Yield() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	was := len(f.clients)
	if !f.displace() {
		return false
	}
	for n := 0; n < 2 && len(f.clients) >= was; n++ {
		f.mu.Unlock()
		f.left.Wait(lastLook)
		f.mu.Lock()
	}
	return true
}

// inOrder is the connections in the order they came, so that one run is as the next; under the front's lock.
func (f *Front) inOrder() []*client {
	return slices.SortedFunc(maps.Keys(f.clients), func(a, b *client) int { return cmp.Compare(a.no, b.no) })
}

// Drain closes the connections without a lookup, and each other one once it is answered. A request that is there already, read
// or not, is taken and answered first.
func (f *Front) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	for _, c := range f.inOrder() {
		c.mu.Lock()
		c.retire("stopping")
		c.mu.Unlock()
	}
}

// Unready answers pings with 503 from now on.
func (f *Front) Unready() {
	f.mu.Lock()
	f.ready = false
	f.mu.Unlock()
}

// Cut ends what is still open.
func (f *Front) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.inOrder() {
		c.mu.Lock()
		c.close("stopped")
		c.mu.Unlock()
	}
}

// Wait waits for all connections to end, once the listener is closed.
func (f *Front) Wait() {
	f.accepted.Wait(-1)
	f.group.Wait()
}

// close ends the connection, under the client's lock; the first reason counts.
func (c *client) close(reason string) {
	if c.reason == "" {
		c.reason = reason
		c.conn.Close()
	}
}

// retire ends the connection once nothing is open on it, unless a next request is there, under the client's lock: whoever reads on
// it looks once more. Closing it here would drop a request that has come whole and that its goroutine has not read yet.
func (c *client) retire(reason string) {
	if c.reason == "" && c.going == "" {
		if c.going = reason; !c.busy && !c.bad { // one that lingers ends by itself
			c.conn.SetReadDeadline(c.f.g.Now())
		}
	}
}

// ends tells whether this side wants the connection to end.
func (c *client) ends() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.going != ""
}

func (c *client) shut(reason string) {
	c.mu.Lock()
	c.close(reason)
	c.mu.Unlock()
}

// run reads requests until the connection ends. While a lookup is open it goes on reading, to see the client go.
func (c *client) run(full bool) {
	began := c.f.g.Now()
	if full {
		c.plain(503, "too many connections", 0, true)
		c.shut("full")
	} else {
		c.read()
	}
	c.f.mu.Lock()
	delete(c.f.clients, c)
	if c.going == "displaced" {
		c.f.leaving--
		c.f.left.Ring()
	}
	c.f.mu.Unlock()
	c.done.Wait(-1) // what answers on it has ended
	c.f.g.Log().Info("client_closed", "addr", c.conn.RemoteAddr().String(), "reason", c.reason, "answers", c.served,
		"age_ms", c.f.g.Now().Sub(began).Milliseconds())
}

func (c *client) read() {
	var buf memory.Buffer
	c.mu.Lock()
	first := c.since.Add(firstWithin)
	if c.going != "" {
		first = c.f.g.Now().Add(lastLook)
	}
	c.conn.SetReadDeadline(first)
	c.mu.Unlock()
	looked := false
	for {
		req, size, err := parseRequest(buf.Bytes())
		var fault *Fault
		switch {
		case errors.Is(err, errShort):
			if len(buf.Bytes()) > 0 {
				c.hurry()
			}
			err := buf.Fill(c.conn, mostHead)
			if looked = errors.Is(err, os.ErrDeadlineExceeded) && !looked && !c.parted(); looked {
				// Guards a request that came at the same moment as the time ran out or as this side wants to end: a time-out does
				// not say that nothing is there, a read that has waited does.
				c.mu.Lock()
				wait := lastLook
				if c.going == "displaced" { // others wait behind it to be accepted
					wait = briefLook
				}
				c.conn.SetReadDeadline(c.f.g.Now().Add(wait))
				c.mu.Unlock()
				continue
			}
			if err != nil {
				c.left(err)
				return
			}
			continue
		case errors.As(err, &fault):
			if !c.await(&buf) {
				return
			}
			c.mu.Lock()
			c.bad = true
			if c.going == "displaced" { // others wait for its place
				c.close("displaced")
			}
			c.mu.Unlock()
			c.plain(fault.Status, fault.Text, 0, true)
			c.linger(lingerFor)
			c.done.Ring()
			c.shut("bad_request")
			return
		}
		if buf.Skip(size); req.Length > 0 && !c.body(&req, &buf) {
			return
		}
		came := c.f.g.Now()
		if !c.await(&buf) {
			c.f.room.Free(len(req.Body))
			return
		}
		if !c.begin() {
			c.f.room.Free(len(req.Body))
			c.done.Ring()
			return
		}
		if !c.take(req, came) {
			c.done.Ring()
			return
		}
	}
}

// body reads the bytes that follow a head, into a block of their own: the connection's buffer stays small. They count in the room for
// bytes until the lookup is over. false if the connection ends.
func (c *client) body(req *Request, buf *memory.Buffer) bool {
	c.hurry()
	if !c.f.room.Hold(req.Length) {
		if c.await(buf) {
			c.plain(503, "no room for the body", 0, true)
			c.linger(lingerFor)
			c.done.Ring()
			c.shut("no_room")
		}
		return false
	}
	req.Body = make([]byte, req.Length)
	n := copy(req.Body, buf.Bytes())
	buf.Skip(n)
	for n < req.Length {
		m, err := c.conn.Read(req.Body[n:])
		if n += m; err != nil && n < req.Length {
			c.f.room.Free(req.Length)
			c.left(err)
			return false
		}
	}
	return true
}

// await waits until the request before has its answer, with the next one read, and takes what ends c.done; false if the client has
// gone meanwhile. It reads on: a client that sends ahead and goes is seen to go, and its lookup is not sent on.
func (c *client) await(buf *memory.Buffer) bool {
	for {
		c.mu.Lock()
		if c.ahead = c.busy; c.ahead {
			c.conn.SetReadDeadline(time.Time{})
		}
		busy := c.ahead
		c.mu.Unlock()
		if !busy {
			break
		}
		err := buf.Fill(c.conn, mostAhead)
		if errors.Is(err, memory.ErrFull) {
			c.mu.Lock()
			lk := c.lk
			c.mu.Unlock()
			if c.unseen = true; lk != nil {
				c.f.router.GiveUp(lk.lk)
			}
			break
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.left(err)
			return false
		}
	}
	c.done.Wait(-1) // one at a time
	if c.parted() {
		c.done.Ring()
		c.left(os.ErrDeadlineExceeded)
		return false
	}
	if c.unseen && !c.see(buf) {
		c.done.Ring()
		return false
	}
	return true
}

// see reads what is there up to the bound, to see the client's end if it is behind that; false if it has gone. Guards gone clients:
// without it, lookups of one that sent far ahead and left, or that left before it was accepted, would begin long after. Past the
// bound nothing is known, and what comes is refused.
func (c *client) see(buf *memory.Buffer) bool {
	began := c.f.g.Now()
	for empty := 0; empty < 2; { // a time-out alone does not say that nothing is there: the read may have come after it
		c.conn.SetReadDeadline(c.f.g.Now().Add(lastLook))
		err := buf.Fill(c.conn, mostAhead)
		switch {
		case err == nil:
			empty = 0
		case errors.Is(err, os.ErrDeadlineExceeded):
			empty++
		case !errors.Is(err, memory.ErrFull):
			c.left(err)
			return false
		}
		if errors.Is(err, memory.ErrFull) || c.f.g.Now().Sub(began) > slowRequest {
			return true
		}
	}
	c.unseen = false
	return true
}

// hurry gives a request that has begun little time, unless the one before it is still being answered. The first has
// its time from connecting on.
func (c *client) hurry() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && !c.bad && !c.begun && c.going != "displaced" && (c.served > 0 || c.going != "") {
		c.conn.SetReadDeadline(c.f.g.Now().Add(slowRequest))
	}
	c.begun = true
}

// part tells whoever reads that the last answer is out. Guards its tail: to close at once over what the client sends on has the system
// reset the connection and drop what the client has not taken.
func (c *client) part() {
	c.mu.Lock()
	c.bad = true
	c.mu.Unlock()
}

func (c *client) parted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bad
}

// linger ends this side's half and reads on for so long at most, so that what the client still sends does not undo the answer it was
// sent. The connection may be displaced meanwhile, or cut at the end of a drain.
func (c *client) linger(within time.Duration) {
	if t, ok := c.conn.(clock.Conn); ok && t.CloseWrite() == nil {
		t.SetReadDeadline(c.f.g.Now().Add(within))
		io.CopyN(io.Discard, t, lingerBytes)
	}
}

// left is called when reading fails: the client has gone, or was silent, or this side closed.
func (c *client) left(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && c.parted() {
		c.linger(slowAnswer)
		c.shut("asked")
		return
	}
	reason := "reset"
	switch {
	case errors.Is(err, io.EOF):
		reason = "closed_by_client"
	case errors.Is(err, memory.ErrFull):
		reason = "bad_request"
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason = "idle"
	}
	c.mu.Lock()
	lk := c.lk
	if c.going != "" && reason == "idle" {
		reason = c.going
	}
	c.close(reason)
	c.mu.Unlock()
	if lk != nil {
		c.f.router.Leave(lk.lk)
	}
}

// begin marks the connection busy, unless it has just been closed.
func (c *client) begin() bool {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.going == "displaced" { // it was to make room, and stays until this is answered
		c.going = "made_room"
		c.f.leaving--
		c.f.left.Ring()
	}
	c.busy = c.reason == ""
	c.begun, c.ahead = false, false
	c.conn.SetReadDeadline(time.Time{})
	return c.busy
}

// take deals with one request. While it answers c.done is empty; false ends the connection.
func (c *client) take(req Request, came time.Time) bool {
	f := c.f
	kind, known := f.kinds[req.Kind]
	f.mu.Lock()
	ready := f.ready
	f.mu.Unlock()
	end := req.Close || c.ends()
	status, text := 0, ""
	switch {
	case req.Method != "GET" && (req.Method != "PUT" || req.Ping || known && !f.terms.Router.Kinds[kind].PassThrough):
		status, text, end = 405, "only GET is known, and PUT for an object kind that runs at the origin", true
	case req.Ping && ready:
		status, text = 200, "ready"
	case req.Ping:
		status, text = 503, "not ready"
	case !known:
		status, text = 404, "no such object kind"
	case req.ID == "":
		status, text, end = 400, "X-Job-Id is missing", true
	}
	if known {
		// A client that names no time or an odd one has what its kind has.
		if most := time.Duration(f.terms.Router.Kinds[kind].GiveUp) * time.Microsecond; req.Allow < 0 || req.Allow > most {
			req.Allow = most
		}
	}
	o, wait := &open{req: req, room: f.room, came: came, held: len(req.Body),
		runs: known && f.terms.Router.Kinds[kind].PassThrough}, time.Duration(0)
	switch {
	case status != 0:
	case c.unseen:
		status, text = 503, "too much sent ahead of its answer"
	case req.Allow <= 0:
		status, text = 503, "no time left"
	case !f.places.Enter():
		status, text = 503, "too many lookups"
	default:
		var why limit.Reason
		var scope *logic.Scope
		if f.Routes != nil {
			if o.pass, why, wait = f.Routes.Admit(kind, req.Group, req.Object, req.KB); why == limit.Allowed {
				scope = o.pass.Scope()
			}
		}
		if why != limit.Allowed {
			f.places.Leave()
			status, text = 503, "past a limit: "+string(why)
			break
		}
		o.lk = f.router.TakeFor(req.ID, kind, req.Object, req.Part, req.Group, req.KB, came.Add(req.Allow), scope, nil)
		if o.lk == nil {
			f.places.Leave()
			o.leave(facade.Failed, false)
			status, text = 409, "this lookup is open already"
		}
	}
	if status != 0 {
		o.close()
		c.plain(status, text, wait, end)
		if end {
			c.part()
		}
		c.rest()
		c.done.Ring()
		return true
	}
	c.mu.Lock()
	c.lk = o
	c.mu.Unlock()
	f.group.Go("lookup", func() error {
		c.answer(o)
		o.close()
		f.places.Leave()
		c.done.Ring()
		return nil
	})
	return true
}

// rest waits for the next request. When this side wants to end the connection it does so unless one is there.
func (c *client) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.f.g.Now()
	c.busy, c.lk, c.since = false, nil, now
	wait := idleClient
	switch {
	case c.ahead || c.going != "" || c.bad: // whoever reads looks up at once
		wait = 0
	case c.begun:
		wait = slowRequest
	}
	c.conn.SetReadDeadline(now.Add(wait))
}

// answer carries out a lookup's steps up to its end, and says the end.
func (c *client) answer(o *open) {
	f := c.f
	for {
		s := f.router.Pick(o.lk)
		switch s.What {
		case facade.Send:
			f.links.send(o, s)
			continue
		case facade.Cancel:
			f.links.cancel(o, s.N)
			continue
		}
		f.links.leave(o)
		o.leave(s.What, f.g.Now().Sub(o.came) > f.terms.Budget(f.kinds[o.req.Kind], o.req.KB))
		end := o.req.Close || c.ends()
		switch s.What {
		case facade.Satisfied:
			c.mu.Lock()
			c.usual = true
			c.mu.Unlock()
			c.pass(o, s.N, end)
		case facade.Nacked:
			wait := ""
			if s.RetryIn > 0 {
				wait = "X-Wait-Ms: " + strconv.FormatInt((s.RetryIn+999)/1000, 10) + "\r\n"
			}
			c.say(appendHead(nil, 503, 0, wait, end), o.lk.Deadline)
		case facade.Failed:
			c.say(appendHead(nil, 502, 0, "", end), o.lk.Deadline)
		}
		switch {
		case end && s.What == facade.Satisfied:
			c.part()
		case end: // a head alone is out whole; what is given up before the kill must not linger up to Cut
			c.shut("asked")
		}
		c.rest()
		return
	}
}

// pass hands on what a send brought: the bytes whole and unchanged, or word that the client's copy holds.
func (c *client) pass(o *open, n int, end bool) {
	o.mu.Lock()
	got := o.got[n]
	o.got = nil
	o.mu.Unlock()
	status := 200
	if got.same {
		status = 304
	}
	var room [headRoom]byte
	tag := ""
	if got.tag != "" { // of a copy; what ran at the origin is none
		tag = "ETag: \"" + got.tag + "\"\r\n"
	}
	head := appendHead(room[:0], status, len(got.block)-headRoom, tag, end)
	if len(head) > headRoom { // only with an unusually long tag
		c.say(append(head, got.block[headRoom:]...), o.lk.Deadline)
		return
	}
	from := headRoom - len(head)
	copy(got.block[from:], head)
	c.say(got.block[from:], o.lk.Deadline)
}

// plain answers what never reached the module.
func (c *client) plain(status int, text string, wait time.Duration, end bool) {
	more := "Content-Type: text/plain\r\n"
	if wait > 0 {
		more += "X-Wait-Ms: " + strconv.FormatInt((wait+time.Millisecond-1).Milliseconds(), 10) + "\r\n"
	}
	if status == 405 {
		more += "Allow: GET\r\n"
	}
	b := appendHead(nil, status, len(text)+1, more, end)
	c.say(append(append(b, text...), '\n'), c.f.g.Now())
}

// say writes an answer; a client too slow to take it loses the connection, and sees that it is not whole.
func (c *client) say(b []byte, deadline time.Time) {
	c.conn.SetWriteDeadline(deadline.Add(slowAnswer))
	if _, err := c.conn.Write(b); err != nil {
		reason := "reset"
		if errors.Is(err, os.ErrDeadlineExceeded) {
			reason = "answer_not_taken"
		}
		c.shut(reason)
		return
	}
	c.served++
}

var statusText = map[int]string{200: "OK", 304: "Not Modified", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 409: "Conflict", 431: "Request Header Fields Too Large", 502: "Bad Gateway",
	503: "Service Unavailable", 505: "HTTP Version Not Supported"}

func appendHead(b []byte, status, length int, more string, end bool) []byte {
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\n", status, statusText[status])
	if status != 304 {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", length)
	}
	b = append(b, more...)
	if end {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}
