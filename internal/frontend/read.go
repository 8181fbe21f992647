package frontend

import (
	"errors"
	"os"
	"time"

	"foldslip/internal/linebuffer"
)

const (
	// maxPipelinedBytes is what a client may send before its response. Past it nobody notices that it leaves, and its next lookup does not
	// begin.
	maxPipelinedBytes = 64 << 10
	// emptyReadsToBeSure: a timeout alone does not say that nothing is there, the read may have come after it.
	emptyReadsToBeSure = 2
)

// readRequests reads and handles requests until the connection ends.
func (c *clientConn) readRequests() {
	c.setFirstDeadline()
	for {
		request, size, err := parseRequest(c.input.Bytes())
		var invalid *RequestError
		goesOn := false
		switch {
		case errors.Is(err, errIncomplete):
			goesOn = c.readMore()
		case errors.As(err, &invalid):
			c.refuse(invalid)
		default:
			c.input.Discard(size)
			goesOn = c.handle(request)
		}
		if !goesOn {
			return
		}
	}
}

// setFirstDeadline gives the first request its time.
func (c *clientConn) setFirstDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := c.idleSince.Add(firstRequestTimeout)
	if c.endReason != "" {
		deadline = c.server.env.Now().Add(finalReadTimeout)
	}
	c.conn.SetReadDeadline(deadline)
}

// readMore reads once; false if the connection has ended. When the time runs out it reads on for a moment, once: a request may have come at
// the same time, and a timeout does not say that nothing is there, as a read that has waited does.
func (c *clientConn) readMore() bool {
	if len(c.input.Bytes()) > 0 {
		c.limitRequestTime()
	}
	err := c.input.Fill(c.conn, maxHeadBytes)
	c.isFinalRead = errors.Is(err, os.ErrDeadlineExceeded) && !c.isFinalRead && !c.isInputClosed()
	if c.isFinalRead {
		c.setFinalDeadline()
		return true
	}
	if err != nil {
		c.readFailed(err)
		return false
	}
	return true
}

// setFinalDeadline gives the last read its time.
func (c *clientConn) setFinalDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := finalReadTimeout
	if c.endReason == reasonEvicted { // others wait behind it to be accepted
		timeout = evictionReadTimeout
	}
	c.conn.SetReadDeadline(c.server.env.Now().Add(timeout))
}

// limitRequestTime gives a request that has begun its time, unless the one before it is still being answered. The first has its time from
// connecting on.
func (c *clientConn) limitRequestTime() {
	c.mu.Lock()
	defer c.mu.Unlock()
	isFirst := c.responses == 0 && c.endReason == ""
	if !c.isBusy && !c.inputClosed && !c.requestBegun && c.endReason != reasonEvicted && !isFirst {
		c.conn.SetReadDeadline(c.server.env.Now().Add(requestTimeout))
	}
	c.requestBegun = true
}

// refuse answers what is no request, and ends the connection.
func (c *clientConn) refuse(invalid *RequestError) {
	if !c.awaitTurn() {
		return
	}
	c.mu.Lock()
	c.inputClosed = true
	if c.endReason == reasonEvicted { // others wait for its place
		c.closeLocked(reasonEvicted)
	}
	c.mu.Unlock()
	c.writeText(textResponse{status: invalid.Status, text: invalid.Text, closes: true})
	c.lingeringClose(lingerTimeout)
	c.responded.Notify()
	c.close(reasonBadRequest)
}

// handle reads a request's body, waits for its turn and answers it; false if the connection ends.
func (c *clientConn) handle(request Request) bool {
	if request.BodyLength > 0 && !c.readBody(&request) {
		return false
	}
	arrivedAt := c.server.env.Now()
	if !c.awaitTurn() {
		c.server.admission.ReleaseBytes(len(request.Body))
		return false
	}
	if !c.beginRequest() {
		c.server.admission.ReleaseBytes(len(request.Body))
		c.responded.Notify()
		return false
	}
	c.startResponse(request, arrivedAt)
	return true
}

// readBody reads the bytes that follow a head into a block of their own, so that the connection's buffer stays small. They are reserved
// with admission until the lookup has ended. It returns false if the connection ends.
func (c *clientConn) readBody(request *Request) bool {
	c.limitRequestTime()
	if !c.server.admission.ReserveBytes(request.BodyLength) {
		if c.awaitTurn() {
			c.writeText(textResponse{status: statusServiceUnavailable, text: "no room for the body", closes: true})
			c.lingeringClose(lingerTimeout)
			c.responded.Notify()
			c.close(reasonNoCapacity)
		}
		return false
	}
	request.Body = make([]byte, request.BodyLength)
	n := copy(request.Body, c.input.Bytes())
	c.input.Discard(n)
	for n < request.BodyLength {
		m, err := c.conn.Read(request.Body[n:])
		n += m
		if err != nil && n < request.BodyLength {
			c.server.admission.ReleaseBytes(request.BodyLength)
			c.readFailed(err)
			return false
		}
	}
	return true
}

// awaitTurn waits until the request before has its response, and takes responded; false if the client has left meanwhile. It reads on: a
// client that sends ahead and leaves is noticed, and its lookup does not begin.
func (c *clientConn) awaitTurn() bool {
	for c.notePipelined() {
		err := c.input.Fill(c.conn, maxPipelinedBytes)
		if errors.Is(err, linebuffer.ErrTooLong) {
			c.mayBeGone = true
			c.giveUpLookup()
			break
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.readFailed(err)
			return false
		}
	}
	c.responded.Wait(-1) // one request at a time
	if c.isInputClosed() {
		c.responded.Notify()
		c.readFailed(os.ErrDeadlineExceeded)
		return false
	}
	if c.mayBeGone && !c.checkGone() {
		c.responded.Notify()
		return false
	}
	return true
}

// notePipelined reports whether the request before is still being answered. If so, awaitNextRequest will have the reader look up.
func (c *clientConn) notePipelined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isPipelined = c.isBusy
	if c.isPipelined {
		c.conn.SetReadDeadline(time.Time{})
	}
	return c.isPipelined
}

// giveUpLookup has the dispatcher give up the open lookup, if there is one: it is not known any more whether the client is there.
func (c *clientConn) giveUpLookup() {
	c.mu.Lock()
	open := c.lookup
	c.mu.Unlock()
	if open != nil {
		c.server.dispatcher.GiveUp(open.Dispatched)
	}
}

// checkGone reads what is there, up to maxPipelinedBytes, to notice the client's end if it is behind that; false if the client has left.
// Without it, lookups of a client that sent far ahead and left, or that left before it was accepted, would begin long after. Past the bound
// nothing is known, and what comes is refused.
func (c *clientConn) checkGone() bool {
	startedAt := c.server.env.Now()
	for emptyReads := 0; emptyReads < emptyReadsToBeSure; {
		c.conn.SetReadDeadline(c.server.env.Now().Add(finalReadTimeout))
		err := c.input.Fill(c.conn, maxPipelinedBytes)
		isTooLong := errors.Is(err, linebuffer.ErrTooLong)
		switch {
		case err == nil:
			emptyReads = 0
		case errors.Is(err, os.ErrDeadlineExceeded):
			emptyReads++
		case !isTooLong:
			c.readFailed(err)
			return false
		}
		if isTooLong || c.server.env.Now().Sub(startedAt) > requestTimeout {
			return true
		}
	}
	c.mayBeGone = false
	return true
}

// beginRequest marks the connection busy, unless it has just been closed. One that was to be evicted stays until this is answered.
func (c *clientConn) beginRequest() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endReason == reasonEvicted {
		c.endReason = reasonKept
		c.server.evicting--
		c.server.evicted.Notify()
	}
	c.isBusy = c.closeReason == ""
	c.requestBegun = false
	c.isPipelined = false
	c.conn.SetReadDeadline(time.Time{})
	return c.isBusy
}

// awaitNextRequest ends a request. When this side wants to end the connection it does so, unless a next request is there.
func (c *clientConn) awaitNextRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.server.env.Now()
	c.isBusy = false
	c.lookup = nil
	c.idleSince = now
	timeout := idleTimeout
	switch {
	case c.isPipelined || c.endReason != "" || c.inputClosed: // the reader looks up at once
		timeout = 0
	case c.requestBegun:
		timeout = requestTimeout
	}
	c.conn.SetReadDeadline(now.Add(timeout))
}
