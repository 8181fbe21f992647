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

// responseWriteSlack is the time past a lookup's deadline in which the client may take the last byte.
const responseWriteSlack = time.Second

// textResponse is a response that is written without a lookup.
type textResponse struct {
	status     int
	text       string
	retryAfter time.Duration // 0: not said
	closes     bool          // the connection
}

// unavailable is the response to what was rejected before it became a lookup.
func unavailable(text string) *textResponse {
	return &textResponse{status: statusServiceUnavailable, text: text}
}

// writeText writes a response with a line of text.
func (c *clientConn) writeText(r textResponse) {
	fields := responseContentText
	if r.retryAfter > 0 {
		fields += retryAfterField((r.retryAfter + time.Millisecond - 1).Milliseconds())
	}
	if r.status == statusMethodNotAllowed {
		fields += responseAllow
	}
	b := appendHead(nil, head{status: r.status, bodyLength: len(r.text) + 1, fields: fields, closes: r.closes})
	c.write(append(append(b, r.text...), '\n'), c.server.env.Now())
}

// writeResult writes how a lookup ended. A lookup whose client has gone gets no response.
func (c *clientConn) writeResult(l *lookup, step dispatch.Step, closes bool) {
	switch step.Kind {
	case dispatch.StepSatisfied:
		c.mu.Lock()
		c.wasSatisfied = true
		c.mu.Unlock()
		c.writeObject(l.TakeObject(step.Attempt), l.Dispatched.Deadline, closes)
	case dispatch.StepRejected:
		fields := ""
		if step.RetryAfter > 0 {
			fields = retryAfterField((step.RetryAfter + 999) / 1000)
		}
		c.write(appendHead(nil, head{status: statusServiceUnavailable, fields: fields, closes: closes}), l.Dispatched.Deadline)
	case dispatch.StepFailed:
		c.write(appendHead(nil, head{status: statusBadGateway, closes: closes}), l.Dispatched.Deadline)
	}
}

// writeObject passes on what an attempt brought: the bytes complete and unchanged, or that the client's copy is the current one. The head
// goes into the buffer before the bytes, so that both are one write.
func (c *clientConn) writeObject(object *upstream.Object, deadline time.Time, closes bool) {
	h := head{status: statusOK, bodyLength: len(object.Buffer) - upstream.HeadReserve, closes: closes}
	if object.NotModified {
		h.status = statusNotModified
	}
	if object.ETag != "" { // of a copy; what ran at the origin has none
		h.fields = responseETag + "\"" + object.ETag + "\"\r\n"
	}
	var reserve [upstream.HeadReserve]byte
	text := appendHead(reserve[:0], h)
	if len(text) > upstream.HeadReserve { // only with an unusually long tag
		c.write(append(text, object.Buffer[upstream.HeadReserve:]...), deadline)
		return
	}
	start := upstream.HeadReserve - len(text)
	copy(object.Buffer[start:], text)
	c.write(object.Buffer[start:], deadline)
}

// write writes a response. A client that is too slow to take it loses the connection, and sees that the response is not complete.
func (c *clientConn) write(b []byte, deadline time.Time) {
	c.conn.SetWriteDeadline(deadline.Add(responseWriteSlack))
	if _, err := c.conn.Write(b); err != nil {
		reason := reasonReset
		if errors.Is(err, os.ErrDeadlineExceeded) {
			reason = reasonResponseStuck
		}
		c.close(reason)
		return
	}
	c.responses++
}

// head is the head of a response.
type head struct {
	status     int
	bodyLength int
	fields     string // further header fields, with their line ends
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

// retryAfterField says when the client may try again.
func retryAfterField(ms int64) string {
	return responseRetryAfter + strconv.FormatInt(ms, 10) + "\r\n"
}
