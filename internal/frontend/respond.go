package frontend

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/route/rollout"
	"foldslip/internal/upstream"
)

// lookup is a lookup of a client from its request to its answer.
type lookup struct {
	*upstream.Lookup
	request   Request
	ticket    *rollout.Ticket // nil: it came by no route
	arrivedAt time.Time
}

// endTicket ends what its route let in.
func (o *lookup) endTicket(how dispatch.StepKind, late bool) {
	if o.ticket != nil {
		o.ticket.End(how == dispatch.StepSatisfied && !late, how == dispatch.StepRejected, late || how == dispatch.StepFailed)
	}
}

// respond carries out a lookup's steps up to its end, and says the end.
func (c *clientConn) respond(o *lookup) {
	f := c.server
	for {
		s := f.dispatcher.WaitStep(o.Dispatched)
		switch s.Kind {
		case dispatch.StepFetch:
			f.pool.Start(o.Lookup, s)
			continue
		case dispatch.StepCancel:
			f.pool.CancelAttempt(o.Lookup, s.Attempt)
			continue
		}
		f.pool.CancelAll(o.Lookup)
		o.endTicket(s.Kind, f.env.Now().Sub(o.arrivedAt) > f.settings.LatencyBudget(f.kindByName[o.request.Kind], o.request.SizeKB))
		end := o.request.ClosesConn || c.isEnding()
		switch s.Kind {
		case dispatch.StepSatisfied:
			c.mu.Lock()
			c.wasSatisfied = true
			c.mu.Unlock()
			c.writeObject(o, s.Attempt, end)
		case dispatch.StepRejected:
			wait := ""
			if s.RetryAfter > 0 {
				wait = "X-Wait-Ms: " + strconv.FormatInt((s.RetryAfter+999)/1000, 10) + "\r\n"
			}
			c.write(appendHead(nil, 503, 0, wait, end), o.Dispatched.Deadline)
		case dispatch.StepFailed:
			c.write(appendHead(nil, 502, 0, "", end), o.Dispatched.Deadline)
		}
		switch {
		case end && s.Kind == dispatch.StepSatisfied:
			c.closeInput()
		case end: // a head alone is out whole; what is given up before the kill must not linger up to Cut
			c.close("asked")
		}
		c.awaitNextRequest()
		return
	}
}

// writeObject hands on what a send brought: the bytes whole and unchanged, or word that the client's copy holds.
func (c *clientConn) writeObject(o *lookup, n int, end bool) {
	got := o.TakeObject(n)
	status := 200
	if got.NotModified {
		status = 304
	}
	var room [upstream.HeadReserve]byte
	tag := ""
	if got.ETag != "" { // of a copy; what ran at the origin is none
		tag = "ETag: \"" + got.ETag + "\"\r\n"
	}
	head := appendHead(room[:0], status, len(got.Buffer)-upstream.HeadReserve, tag, end)
	if len(head) > upstream.HeadReserve { // only with an unusually long tag
		c.write(append(head, got.Buffer[upstream.HeadReserve:]...), o.Dispatched.Deadline)
		return
	}
	from := upstream.HeadReserve - len(head)
	copy(got.Buffer[from:], head)
	c.write(got.Buffer[from:], o.Dispatched.Deadline)
}

// writeText answers what never reached the module.
func (c *clientConn) writeText(status int, text string, wait time.Duration, end bool) {
	more := "Content-Type: text/plain\r\n"
	if wait > 0 {
		more += "X-Wait-Ms: " + strconv.FormatInt((wait+time.Millisecond-1).Milliseconds(), 10) + "\r\n"
	}
	if status == 405 {
		more += "Allow: GET\r\n"
	}
	b := appendHead(nil, status, len(text)+1, more, end)
	c.write(append(append(b, text...), '\n'), c.server.env.Now())
}

// write writes an answer; a client too slow to take it loses the connection, and sees that it is not whole.
func (c *clientConn) write(b []byte, deadline time.Time) {
	c.conn.SetWriteDeadline(deadline.Add(responseWriteSlack))
	if _, err := c.conn.Write(b); err != nil {
		reason := "reset"
		if errors.Is(err, os.ErrDeadlineExceeded) {
			reason = "answer_not_taken"
		}
		c.close(reason)
		return
	}
	c.responses++
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
