package frontend

import (
	"time"

	"foldslip/internal/env"
)

// maxUnsentBytes is the size of the unsent text responses of a connection at which they are written.
const maxUnsentBytes = 4 << 10

// textResponse is a response that needs no lookup.
type textResponse struct {
	status     int
	text       string
	retryAfter time.Duration // 0: the response has no X-Wait-Ms
	closes     bool          // the connection closes after the response
}

// unavailable returns the response to a request that is rejected before its lookup starts.
func unavailable(text string) *textResponse {
	return &textResponse{status: statusServiceUnavailable, text: text}
}

// appendTo appends the response as it is sent.
func (r *textResponse) appendTo(b []byte) []byte {
	fields := responseContentType
	if r.retryAfter > 0 {
		fields += retryAfterField((r.retryAfter + time.Millisecond - 1).Milliseconds())
	}
	if r.status == statusMethodNotAllowed {
		fields += responseAllow
	}
	b = appendHead(b, head{status: r.status, bodyLength: len(r.text) + 1, fields: fields, closes: r.closes})
	return append(append(b, r.text...), '\n')
}

// unsentResponses are text responses that are written together: those to requests that a client sent without waiting
// for the answers. The goroutine that reads from the connection owns them. It writes them before it waits for anything
// and before a lookup opens.
type unsentResponses struct {
	bytes []byte
	count int
}

// writeText writes a response with a line of text.
func (c *clientConn) writeText(r textResponse) {
	c.queueText(r)
	c.writeUnsent()
}

// queueText adds a response to the unsent ones, and writes them if there are many or if the response is the last one.
func (c *clientConn) queueText(r textResponse) {
	c.unsent.bytes = r.appendTo(c.unsent.bytes)
	c.unsent.count++
	if r.closes || len(c.unsent.bytes) >= maxUnsentBytes {
		c.writeUnsent()
	}
}

// writeUnsent writes the unsent responses, if there are any.
func (c *clientConn) writeUnsent() {
	if c.unsent.count == 0 {
		return
	}
	unsent := c.unsent
	c.unsent = unsentResponses{} // most connections never have unsent responses again
	c.writeLimited(unsent.bytes, unsent.count, c.server.env.Now())
}

// writeLimited writes responses that led to no attempt once the server's limiter allows it: a client that sends such
// requests without a pause must not hold up the lookups of others. What the connection does not accept at once is
// written without the limiter, because the client may be slow to read.
func (c *clientConn) writeLimited(b []byte, responses int, deadline time.Time) {
	if c.writeNow == nil {
		c.writeNow = c.nonBlockingWriter()
	}
	c.setWriteDeadline(deadline) // an expired deadline would stop writeNow
	c.server.refusals.Acquire()
	n := c.writeNow(b)
	c.server.refusals.Release()
	if n < len(b) && !c.writeBytes(b[n:], deadline) {
		return
	}
	c.countResponses(responses)
}

// nonBlockingWriter returns a function that writes to the connection without blocking. If the environment has none, the
// function writes nothing.
func (c *clientConn) nonBlockingWriter() env.NonBlockingWrite {
	if write := c.server.env.NonBlockingWriter(c.conn); write != nil {
		return write
	}
	return func([]byte) int { return 0 }
}
