package frontend

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
	"foldslip/internal/linebuffer"
	"foldslip/internal/policy"
	"foldslip/internal/upstream"
)

// clientConn is one connection of a client.
type clientConn struct {
	server       *Server
	conn         net.Conn
	mu           sync.Mutex
	busy         bool         // with a request, from its last byte to its answer's
	lookup       *lookup      // the lookup that it is
	responded    env.Notifier // rung when the next request may be taken
	number       int64        // in the order of accepting
	requestBegun bool         // bytes of a request are there
	inputClosed  bool         // nothing it sends is taken any more: what came is no request, or it has its last answer; it ends
	pipelined    bool         // a next request is there while one is being answered
	mayBeGone    bool         // its end may be behind what has not been read yet; its reader's own
	endReason    string       // why this side ends it once nothing is there
	closeReason  string
	idleSince    time.Time // without a request on it
	wasSatisfied bool      // a lookup of it was satisfied
	responses    int
}

// deadlineListener is a listener that can be told to stop waiting.
type deadlineListener interface{ SetDeadline(time.Time) error }

// closeLocked ends the connection, under the client's lock; the first reason counts.
func (c *clientConn) closeLocked(reason string) {
	if c.closeReason == "" {
		c.closeReason = reason
		c.conn.Close()
	}
}

// endWhenIdle ends the connection once nothing is open on it, unless a next request is there, under the client's lock: whoever reads on
// it looks once more. Closing it here would drop a request that has come whole and that its goroutine has not read yet.
func (c *clientConn) endWhenIdle(reason string) {
	if c.closeReason == "" && c.endReason == "" {
		if c.endReason = reason; !c.busy && !c.inputClosed { // one that lingers ends by itself
			c.conn.SetReadDeadline(c.server.env.Now())
		}
	}
}

// isEnding tells whether this side wants the connection to end.
func (c *clientConn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endReason != ""
}

func (c *clientConn) close(reason string) {
	c.mu.Lock()
	c.closeLocked(reason)
	c.mu.Unlock()
}

// run reads requests until the connection ends. While a lookup is open it goes on reading, to see the client go.
func (c *clientConn) run(full bool) {
	began := c.server.env.Now()
	if full {
		c.writeText(503, "too many connections", 0, true)
		c.close("full")
	} else {
		c.readRequests()
	}
	c.server.mu.Lock()
	delete(c.server.conns, c)
	if c.endReason == "displaced" {
		c.server.evicting--
		c.server.evicted.Notify()
	}
	c.server.mu.Unlock()
	c.responded.Wait(-1) // what answers on it has ended
	c.server.env.Log().Info("client_closed", "addr", c.conn.RemoteAddr().String(), "reason", c.closeReason, "answers", c.responses,
		"age_ms", c.server.env.Now().Sub(began).Milliseconds())
}

func (c *clientConn) readRequests() {
	var buf linebuffer.Buffer
	c.mu.Lock()
	first := c.idleSince.Add(firstRequestTimeout)
	if c.endReason != "" {
		first = c.server.env.Now().Add(finalReadTimeout)
	}
	c.conn.SetReadDeadline(first)
	c.mu.Unlock()
	looked := false
	for {
		req, size, err := parseRequest(buf.Bytes())
		var fault *RequestError
		switch {
		case errors.Is(err, errIncomplete):
			if len(buf.Bytes()) > 0 {
				c.limitRequestTime()
			}
			err := buf.Fill(c.conn, maxHeadBytes)
			if looked = errors.Is(err, os.ErrDeadlineExceeded) && !looked && !c.isInputClosed(); looked {
				// Guards a request that came at the same moment as the time ran out or as this side wants to end: a time-out does
				// not say that nothing is there, a read that has waited does.
				c.mu.Lock()
				wait := finalReadTimeout
				if c.endReason == "displaced" { // others wait behind it to be accepted
					wait = evictionReadTimeout
				}
				c.conn.SetReadDeadline(c.server.env.Now().Add(wait))
				c.mu.Unlock()
				continue
			}
			if err != nil {
				c.readFailed(err)
				return
			}
			continue
		case errors.As(err, &fault):
			if !c.awaitTurn(&buf) {
				return
			}
			c.mu.Lock()
			c.inputClosed = true
			if c.endReason == "displaced" { // others wait for its place
				c.closeLocked("displaced")
			}
			c.mu.Unlock()
			c.writeText(fault.Status, fault.Text, 0, true)
			c.lingeringClose(lingerTimeout)
			c.responded.Notify()
			c.close("bad_request")
			return
		}
		if buf.Discard(size); req.BodyLength > 0 && !c.readBody(&req, &buf) {
			return
		}
		came := c.server.env.Now()
		if !c.awaitTurn(&buf) {
			c.server.admission.ReleaseBytes(len(req.Body))
			return
		}
		if !c.beginRequest() {
			c.server.admission.ReleaseBytes(len(req.Body))
			c.responded.Notify()
			return
		}
		if !c.handleRequest(req, came) {
			c.responded.Notify()
			return
		}
	}
}

// readBody reads the bytes that follow a head, into a block of their own: the connection's buffer stays small. They count in the room for
// bytes until the lookup is over. false if the connection ends.
func (c *clientConn) readBody(req *Request, buf *linebuffer.Buffer) bool {
	c.limitRequestTime()
	if !c.server.admission.ReserveBytes(req.BodyLength) {
		if c.awaitTurn(buf) {
			c.writeText(503, "no room for the body", 0, true)
			c.lingeringClose(lingerTimeout)
			c.responded.Notify()
			c.close("no_room")
		}
		return false
	}
	req.Body = make([]byte, req.BodyLength)
	n := copy(req.Body, buf.Bytes())
	buf.Discard(n)
	for n < req.BodyLength {
		m, err := c.conn.Read(req.Body[n:])
		if n += m; err != nil && n < req.BodyLength {
			c.server.admission.ReleaseBytes(req.BodyLength)
			c.readFailed(err)
			return false
		}
	}
	return true
}

// awaitTurn waits until the request before has its answer, with the next one read, and takes what ends c.done; false if the client has
// gone meanwhile. It reads on: a client that sends ahead and goes is seen to go, and its lookup is not sent on.
func (c *clientConn) awaitTurn(buf *linebuffer.Buffer) bool {
	for {
		c.mu.Lock()
		if c.pipelined = c.busy; c.pipelined {
			c.conn.SetReadDeadline(time.Time{})
		}
		busy := c.pipelined
		c.mu.Unlock()
		if !busy {
			break
		}
		err := buf.Fill(c.conn, maxPipelinedBytes)
		if errors.Is(err, linebuffer.ErrTooLong) {
			c.mu.Lock()
			lk := c.lookup
			c.mu.Unlock()
			if c.mayBeGone = true; lk != nil {
				c.server.dispatcher.GiveUp(lk.Dispatched)
			}
			break
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.readFailed(err)
			return false
		}
	}
	c.responded.Wait(-1) // one at a time
	if c.isInputClosed() {
		c.responded.Notify()
		c.readFailed(os.ErrDeadlineExceeded)
		return false
	}
	if c.mayBeGone && !c.checkGone(buf) {
		c.responded.Notify()
		return false
	}
	return true
}

// checkGone reads what is there up to the bound, to see the client's end if it is behind that; false if it has gone. Guards gone clients:
// without it, lookups of one that sent far ahead and left, or that left before it was accepted, would begin long after. Past the
// bound nothing is known, and what comes is refused.
func (c *clientConn) checkGone(buf *linebuffer.Buffer) bool {
	began := c.server.env.Now()
	for empty := 0; empty < 2; { // a time-out alone does not say that nothing is there: the read may have come after it
		c.conn.SetReadDeadline(c.server.env.Now().Add(finalReadTimeout))
		err := buf.Fill(c.conn, maxPipelinedBytes)
		switch {
		case err == nil:
			empty = 0
		case errors.Is(err, os.ErrDeadlineExceeded):
			empty++
		case !errors.Is(err, linebuffer.ErrTooLong):
			c.readFailed(err)
			return false
		}
		if errors.Is(err, linebuffer.ErrTooLong) || c.server.env.Now().Sub(began) > requestTimeout {
			return true
		}
	}
	c.mayBeGone = false
	return true
}

// limitRequestTime gives a request that has begun little time, unless the one before it is still being answered. The first has
// its time from connecting on.
func (c *clientConn) limitRequestTime() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && !c.inputClosed && !c.requestBegun && c.endReason != "displaced" && (c.responses > 0 || c.endReason != "") {
		c.conn.SetReadDeadline(c.server.env.Now().Add(requestTimeout))
	}
	c.requestBegun = true
}

// closeInput tells whoever reads that the last answer is out. Guards its tail: to close at once over what the client sends on has the system
// reset the connection and drop what the client has not taken.
func (c *clientConn) closeInput() {
	c.mu.Lock()
	c.inputClosed = true
	c.mu.Unlock()
}

func (c *clientConn) isInputClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inputClosed
}

// lingeringClose ends this side's half and reads on for so long at most, so that what the client still sends does not undo the answer it was
// sent. The connection may be displaced meanwhile, or cut at the end of a drain.
func (c *clientConn) lingeringClose(within time.Duration) {
	if t, ok := c.conn.(env.Conn); ok && t.CloseWrite() == nil {
		t.SetReadDeadline(c.server.env.Now().Add(within))
		io.CopyN(io.Discard, t, maxLingerBytes)
	}
}

// readFailed is called when reading fails: the client has gone, or was silent, or this side closed.
func (c *clientConn) readFailed(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isInputClosed() {
		c.lingeringClose(responseWriteSlack)
		c.close("asked")
		return
	}
	reason := "reset"
	switch {
	case errors.Is(err, io.EOF):
		reason = "closed_by_client"
	case errors.Is(err, linebuffer.ErrTooLong):
		reason = "bad_request"
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason = "idle"
	}
	c.mu.Lock()
	lk := c.lookup
	if c.endReason != "" && reason == "idle" {
		reason = c.endReason
	}
	c.closeLocked(reason)
	c.mu.Unlock()
	if lk != nil {
		c.server.dispatcher.ClientGone(lk.Dispatched)
	}
}

// beginRequest marks the connection busy, unless it has just been closed.
func (c *clientConn) beginRequest() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endReason == "displaced" { // it was to make room, and stays until this is answered
		c.endReason = "made_room"
		c.server.evicting--
		c.server.evicted.Notify()
	}
	c.busy = c.closeReason == ""
	c.requestBegun, c.pipelined = false, false
	c.conn.SetReadDeadline(time.Time{})
	return c.busy
}

// handleRequest deals with one request. While it answers c.done is empty; false ends the connection.
func (c *clientConn) handleRequest(req Request, came time.Time) bool {
	f := c.server
	kind, known := f.kindByName[req.Kind]
	f.mu.Lock()
	ready := f.isReady
	f.mu.Unlock()
	end := req.ClosesConn || c.isEnding()
	status, text := 0, ""
	switch {
	case req.Method != "GET" && (req.Method != "PUT" || req.IsPing || known && !f.settings.Router.Kinds[kind].PassThrough):
		status, text, end = 405, "only GET is known, and PUT for an object kind that runs at the origin", true
	case req.IsPing && ready:
		status, text = 200, "ready"
	case req.IsPing:
		status, text = 503, "not ready"
	case !known:
		status, text = 404, "no such object kind"
	case req.ID == "":
		status, text, end = 400, "X-Job-Id is missing", true
	}
	if known {
		// A client that names no time or an odd one has what its kind has.
		if most := time.Duration(f.settings.Router.Kinds[kind].Deadline) * time.Microsecond; req.TimeAllowed < 0 || req.TimeAllowed > most {
			req.TimeAllowed = most
		}
	}
	o, wait := &lookup{Lookup: upstream.NewLookup(req.Request, known && f.settings.Router.Kinds[kind].PassThrough, f.admission), request: req, arrivedAt: came}, time.Duration(0)
	switch {
	case status != 0:
	case c.mayBeGone:
		status, text = 503, "too much sent ahead of its answer"
	case req.TimeAllowed <= 0:
		status, text = 503, "no time left"
	case !f.gate.TryAdmit():
		status, text = 503, "too many lookups"
	default:
		var why limit.Reason
		var scope *policy.Scope
		if f.Routes != nil {
			if o.ticket, why, wait = f.Routes.Admit(kind, req.Group, req.Object, req.SizeKB); why == limit.Allowed {
				scope = o.ticket.Scope()
			}
		}
		if why != limit.Allowed {
			f.gate.Release()
			status, text = 503, "past a limit: "+string(why)
			break
		}
		o.Dispatched = f.dispatcher.Submit(dispatch.Request{ID: req.ID, Kind: kind, Object: req.Object, Part: req.Part, Group: req.Group, SizeKB: req.SizeKB,
			Deadline: came.Add(req.TimeAllowed), Scope: scope})
		if o.Dispatched == nil {
			f.gate.Release()
			o.endTicket(dispatch.StepFailed, false)
			status, text = 409, "this lookup is open already"
		}
	}
	if status != 0 {
		o.Release()
		c.writeText(status, text, wait, end)
		if end {
			c.closeInput()
		}
		c.awaitNextRequest()
		c.responded.Notify()
		return true
	}
	c.mu.Lock()
	c.lookup = o
	c.mu.Unlock()
	f.group.Go("lookup", func() error {
		c.respond(o)
		o.Release()
		f.gate.Release()
		c.responded.Notify()
		return nil
	})
	return true
}

// awaitNextRequest waits for the next request. When this side wants to end the connection it does so unless one is there.
func (c *clientConn) awaitNextRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.server.env.Now()
	c.busy, c.lookup, c.idleSince = false, nil, now
	wait := idleTimeout
	switch {
	case c.pipelined || c.endReason != "" || c.inputClosed: // whoever reads looks up at once
		wait = 0
	case c.requestBegun:
		wait = requestTimeout
	}
	c.conn.SetReadDeadline(now.Add(wait))
}
