package frontend

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/upstream"
)

// responseWriteSlack is the time that a client has, past its lookup's deadline, to read the last byte of the response.
const responseWriteSlack = time.Second

// writeResult writes the response to a lookup that has ended. If the client has disconnected, it writes nothing.
func (c *clientConn) writeResult(l *lookup, step dispatch.Step, closes bool) {
	switch step.Kind {
	case dispatch.StepSatisfied:
		c.mu.Lock()
		c.hadSatisfiedLookup = true
		c.mu.Unlock()
		c.writeObject(l.TakeObject(step.Attempt), l.Dispatched.Deadline, closes)
	case dispatch.StepRejected:
		fields := ""
		if step.RetryAfter > 0 {
			fields = retryAfterField((step.RetryAfter + 999) / 1000)
		}
		c.writeLimited(appendHead(nil, head{status: statusServiceUnavailable, fields: fields, closes: closes}), 1, l.Dispatched.Deadline)
	case dispatch.StepFailed:
		c.write(appendHead(nil, head{status: statusBadGateway, closes: closes}), l.Dispatched.Deadline)
	}
}

// writeObject writes the object that an attempt returned, complete and unchanged, or reports that the client's copy is
// current. The head is copied into the buffer in front of the object, so that both are sent with one write.
func (c *clientConn) writeObject(object *upstream.Object, deadline time.Time, closes bool) {
	h := head{status: statusOK, bodyLength: len(object.Buffer) - upstream.HeadReserve, closes: closes}
	if object.NotModified {
		h.status = statusNotModified
	}
	if object.ETag != "" { // a lookup that ran at the origin has none
		h.fields = responseETag + "\"" + object.ETag + "\"\r\n"
	}
	var reserve [upstream.HeadReserve]byte
	text := appendHead(reserve[:0], h)
	if len(text) > upstream.HeadReserve { // only with an unusually long ETag
		c.write(append(text, object.Buffer[upstream.HeadReserve:]...), deadline)
		return
	}
	start := upstream.HeadReserve - len(text)
	copy(object.Buffer[start:], text)
	c.write(object.Buffer[start:], deadline)
}

// write writes a response and counts it.
func (c *clientConn) write(b []byte, deadline time.Time) {
	if c.writeBytes(b, deadline) {
		c.countResponses(1)
	}
}

func (c *clientConn) countResponses(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses += n
}

// writeBytes writes bytes of responses and reports whether all of them were written. If the client is too slow to read
// them, the connection closes and the client sees an incomplete response.
func (c *clientConn) writeBytes(b []byte, deadline time.Time) (ok bool) {
	c.setWriteDeadline(deadline)
	if _, err := c.conn.Write(b); err != nil {
		reason := reasonReset
		if errors.Is(err, os.ErrDeadlineExceeded) {
			reason = reasonWriteTimeout
		}
		c.close(reason)
		return false
	}
	return true
}

// setWriteDeadline sets the time by which a client must have read the response to a lookup with the given deadline. A
// request that was sent ahead may be answered after its deadline.
func (c *clientConn) setWriteDeadline(deadline time.Time) {
	if now := c.server.env.Now(); deadline.Before(now) {
		deadline = now
	}
	c.conn.SetWriteDeadline(deadline.Add(responseWriteSlack))
}

// head is the head of a response.
type head struct {
	status     int
	bodyLength int
	fields     string // further header fields, each with its line end
	closes     bool
}

func appendHead(b []byte, h head) []byte {
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\n", h.status, statusText[h.status])
	if h.status != statusNotModified {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", h.bodyLength)
	}
	b = append(b, h.fields...)
	if h.closes {
		b = append(b, responseClose...)
	}
	return append(b, "\r\n"...)
}

// retryAfterField returns the header field that tells the client after how many milliseconds it may retry.
func retryAfterField(ms int64) string {
	return responseRetryAfter + strconv.FormatInt(ms, 10) + "\r\n"
}
