package frontend

import (
	"errors"
	"os"
	"time"

	"foldslip/internal/linebuffer"
)

const (
	// maxPipelinedBytes bounds the bytes that a client may send ahead of a response. Past the bound the server cannot
	// notice that the client disconnects, so the next lookup of the client does not start.
	maxPipelinedBytes = 64 << 10
	// requiredEmptyReads is the number of consecutive read timeouts after which no input is pending. A single timeout
	// does not show that: if the deadline passes before the read begins, the read returns without looking at the
	// socket.
	requiredEmptyReads = 2
)

// readRequests reads and handles requests until the connection closes.
func (c *clientConn) readRequests() {
	c.setFirstDeadline()
	for {
		request, size, err := c.headScan.parse(c.input.Bytes())
		var invalid *RequestError
		canContinue := false
		switch {
		case errors.Is(err, errIncomplete):
			canContinue = c.readMore()
		case errors.As(err, &invalid):
			c.rejectInvalid(invalid)
		default:
			canContinue = c.handle(request, c.discard(size))
		}
		if !canContinue {
			return
		}
	}
}

// setFirstDeadline sets the read deadline of the first request.
func (c *clientConn) setFirstDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := c.idleSince.Add(firstRequestTimeout)
	if c.endReason != "" {
		deadline = c.server.env.Now().Add(finalReadTimeout)
	}
	c.conn.SetReadDeadline(deadline)
}

// readMore reads once and returns false if the connection has closed. When the read deadline has passed, it allows one
// more short read, because a request may have arrived at the same time. If the deadline passes before the read begins,
// the timeout does not show that no input is pending.
func (c *clientConn) readMore() bool {
	c.writeUnsent()
	if len(c.input.Bytes()) > 0 {
		c.limitRequestTime()
	}
	err := c.fill(maxHeadBytes)
	c.isFinalRead = errors.Is(err, os.ErrDeadlineExceeded) && !c.isFinalRead && !c.isInputClosed()
	if c.isFinalRead {
		c.setFinalDeadline()
		return true
	}
	if errors.Is(err, linebuffer.ErrTooLong) { // longer heads are rejected by parseRequest
		c.rejectInvalid(&RequestError{statusServiceUnavailable, "no memory for the head"})
		return false
	}
	if err != nil {
		c.readFailed(err)
		return false
	}
	return true
}

// setFinalDeadline sets the read deadline of the last read.
func (c *clientConn) setFinalDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := finalReadTimeout
	if c.endReason == reasonEvicted { // new connections wait to be accepted
		timeout = evictionReadTimeout
	}
	c.conn.SetReadDeadline(c.server.env.Now().Add(timeout))
}

// limitRequestTime sets the read deadline of a request that has begun, unless the previous request is still being
// answered. The deadline of the first request counts from accepting the connection and is already set.
func (c *clientConn) limitRequestTime() {
	c.mu.Lock()
	defer c.mu.Unlock()
	isFirst := c.responses == 0 && c.endReason == ""
	if !c.isBusy && !c.inputClosed && !c.requestBegun && c.endReason != reasonEvicted && !isFirst {
		c.conn.SetReadDeadline(c.server.env.Now().Add(requestTimeout))
	}
	c.requestBegun = true
}

// rejectInvalid responds to an invalid request and closes the connection.
func (c *clientConn) rejectInvalid(invalid *RequestError) {
	if !c.awaitTurn() {
		return
	}
	c.mu.Lock()
	c.inputClosed = true
	if c.endReason == reasonEvicted { // new connections wait for its slot
		c.closeLocked(reasonEvicted)
	}
	c.mu.Unlock()
	c.writeText(textResponse{status: invalid.Status, text: invalid.Text, closes: true})
	c.lingeringClose(lingerTimeout)
	c.responded.Notify()
	c.close(reasonBadRequest)
}

// fill reads once into the buffer of the connection and records when the bytes arrived. It returns linebuffer.ErrTooLong
// if the buffer holds maxSize bytes, or if the server has no memory left for it to grow.
func (c *clientConn) fill(maxSize int) error {
	before := len(c.input.Bytes())
	if before == 0 {
		c.releaseInput(c.input.Shrink())
	}
	if growth := c.input.NextGrowth(maxSize); growth > 0 {
		if !c.server.inputBudget.reserve(growth, c.inputReserved) {
			return linebuffer.ErrTooLong
		}
		c.inputReserved += growth
	}
	err := c.input.Fill(c.conn, maxSize)
	if n := len(c.input.Bytes()) - before; n > 0 {
		c.arrivals.add(n, c.server.env.Now())
	}
	return err
}

// releaseInput returns memory of the buffer to the server.
func (c *clientConn) releaseInput(bytes int) {
	c.inputReserved -= bytes
	c.server.inputBudget.release(bytes)
}

// discard consumes the first n bytes of the buffer and returns when the last of them arrived.
func (c *clientConn) discard(n int) (arrivedAt time.Time) {
	c.input.Discard(n)
	c.headScan = headScan{}
	return c.arrivals.consume(n)
}

// handle reads the body of a request whose head arrived at the given time, waits until the previous request has its
// response, and answers the request. It returns false if the connection closes.
func (c *clientConn) handle(request Request, arrivedAt time.Time) bool {
	if request.BodyLength > 0 && !c.readBody(&request, &arrivedAt) {
		return false
	}
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

// readBody reads the body that follows a head into a buffer of its own, so that the buffer of the connection stays
// small, and sets arrivedAt to the time of its last byte. The bytes are reserved with admission until the lookup has
// ended. It returns false if the connection closes.
func (c *clientConn) readBody(request *Request, arrivedAt *time.Time) bool {
	c.writeUnsent()
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
	if n > 0 {
		*arrivedAt = c.discard(n)
	}
	for n < request.BodyLength {
		m, err := c.conn.Read(request.Body[n:])
		n += m
		if err != nil && n < request.BodyLength {
			c.server.admission.ReleaseBytes(request.BodyLength)
			c.readFailed(err)
			return false
		}
		*arrivedAt = c.server.env.Now()
	}
	return true
}

// awaitTurn waits until the previous request has its response and takes the notification of responded. It keeps reading
// while it waits. If a client sends a request ahead and disconnects, the server then notices it and does not start the
// lookup. It returns false if the client has disconnected or the connection closes.
func (c *clientConn) awaitTurn() bool {
	for c.markPipelined() {
		err := c.fill(maxPipelinedBytes)
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
	c.responded.Wait(-1) // requests are answered one at a time
	if c.isInputClosed() {
		c.responded.Notify()
		c.readFailed(os.ErrDeadlineExceeded)
		return false
	}
	if c.mayBeGone && !c.checkConnected() {
		c.responded.Notify()
		return false
	}
	return true
}

// markPipelined reports whether the previous request is still being answered. If so, it sets isPipelined, which makes
// awaitNextRequest wake the reader.
func (c *clientConn) markPipelined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isPipelined = c.isBusy
	if c.isPipelined {
		c.conn.SetReadDeadline(time.Time{})
	}
	return c.isPipelined
}

// giveUpLookup makes the dispatcher give up the open lookup, if there is one, because the server can no longer notice
// whether the client disconnects.
func (c *clientConn) giveUpLookup() {
	c.mu.Lock()
	openLookup := c.lookup
	c.mu.Unlock()
	if openLookup != nil {
		c.server.dispatcher.GiveUp(openLookup.Dispatched)
	}
}

// checkConnected reads pending input, up to maxPipelinedBytes, to notice a disconnect behind it. It returns false if
// the client has disconnected. Without this check, a lookup could start long after its client had sent many requests
// and disconnected, or after its client had disconnected before the connection was accepted. If the input exceeds the
// bound, or the check takes longer than requestTimeout, mayBeGone stays set and the lookup is rejected.
func (c *clientConn) checkConnected() bool {
	c.writeUnsent()
	startedAt := c.server.env.Now()
	for emptyReads := 0; emptyReads < requiredEmptyReads; {
		c.conn.SetReadDeadline(c.server.env.Now().Add(finalReadTimeout))
		err := c.fill(maxPipelinedBytes)
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

// beginRequest marks the connection busy. It returns false if the connection has just been closed. A connection that is
// being evicted stays open until this request is answered.
func (c *clientConn) beginRequest() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endReason == reasonEvicted {
		c.endReason = reasonEvictionDeferred
		c.server.evicting--
		c.server.evicted.Notify()
	}
	c.isBusy = c.closeReason == ""
	c.requestBegun = false
	c.isPipelined = headLength(c.input.Bytes()) >= 0
	c.conn.SetReadDeadline(time.Time{})
	return c.isBusy
}

// awaitNextRequest marks the connection idle and sets the read deadline of the next request. If the server wants to
// close the connection, the reader closes it unless a further request is pending.
func (c *clientConn) awaitNextRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.server.env.Now()
	c.isBusy = false
	c.lookup = nil
	c.idleSince = now
	timeout := idleTimeout
	switch {
	case c.isPipelined || c.endReason != "" || c.inputClosed: // the reader wakes at once
		timeout = 0
	case c.requestBegun:
		timeout = requestTimeout
	}
	c.conn.SetReadDeadline(now.Add(timeout))
}
