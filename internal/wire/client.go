// A client's connection: requests read from it one after another, and how it ends.

package wire

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/limit"
	"foldslip/internal/memory"
	"foldslip/internal/policy"
)

// client is one connection of a client.
type client struct {
	f      *Front
	conn   net.Conn
	mu     sync.Mutex
	busy   bool     // with a request, from its last byte to its answer's
	lk     *open    // the lookup that it is
	done   env.Bell // rung when the next request may be taken
	no     int64    // in the order of accepting
	begun  bool     // bytes of a request are there
	bad    bool     // nothing it sends is taken any more: what came is no request, or it has its last answer; it ends
	ahead  bool     // a next request is there while one is being answered
	unseen bool     // its end may be behind what has not been read yet; its reader's own
	going  string   // why this side ends it once nothing is there
	reason string
	since  time.Time // without a request on it
	usual  bool      // a lookup of it was satisfied
	served int
}

// limited is a listener that can be told to stop waiting.
type limited interface{ SetDeadline(time.Time) error }

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
		if buf.Discard(size); req.Length > 0 && !c.body(&req, &buf) {
			return
		}
		came := c.f.g.Now()
		if !c.await(&buf) {
			c.f.room.ReleaseBytes(len(req.Body))
			return
		}
		if !c.begin() {
			c.f.room.ReleaseBytes(len(req.Body))
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
	if !c.f.room.ReserveBytes(req.Length) {
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
	buf.Discard(n)
	for n < req.Length {
		m, err := c.conn.Read(req.Body[n:])
		if n += m; err != nil && n < req.Length {
			c.f.room.ReleaseBytes(req.Length)
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
		if errors.Is(err, memory.ErrTooLong) {
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
		case !errors.Is(err, memory.ErrTooLong):
			c.left(err)
			return false
		}
		if errors.Is(err, memory.ErrTooLong) || c.f.g.Now().Sub(began) > slowRequest {
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
	if t, ok := c.conn.(env.Conn); ok && t.CloseWrite() == nil {
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
	case errors.Is(err, memory.ErrTooLong):
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
		c.f.router.ClientGone(lk.lk)
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
		if most := time.Duration(f.terms.Router.Kinds[kind].Deadline) * time.Microsecond; req.Allow < 0 || req.Allow > most {
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
	case !f.places.TryAdmit():
		status, text = 503, "too many lookups"
	default:
		var why limit.Reason
		var scope *policy.Scope
		if f.Routes != nil {
			if o.pass, why, wait = f.Routes.Admit(kind, req.Group, req.Object, req.KB); why == limit.Allowed {
				scope = o.pass.Scope()
			}
		}
		if why != limit.Allowed {
			f.places.Release()
			status, text = 503, "past a limit: "+string(why)
			break
		}
		o.lk = f.router.SubmitWithin(req.ID, kind, req.Object, req.Part, req.Group, req.KB, came.Add(req.Allow), scope, nil)
		if o.lk == nil {
			f.places.Release()
			o.leave(dispatch.StepFailed, false)
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
		f.places.Release()
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
