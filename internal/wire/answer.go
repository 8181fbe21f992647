// Answers to clients: a lookup while it is open, and the bytes that go out for it.

package wire

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/memory"
	"foldslip/internal/route/rollout"
)

// open is a lookup between its request and its answer, as the network sees it.
type open struct {
	req     Request
	lk      *dispatch.Lookup
	flights []*flight
	room    *memory.Controller
	runs    bool            // at the origin: what it brings is no copy
	pass    *rollout.Ticket // nil: it came by no route
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
	if o.closed || !o.room.ReserveBytes(size) {
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
	o.room.ReleaseBytes(o.held)
	o.held, o.got, o.closed = 0, nil, true
}

// leave ends what its route let in.
func (o *open) leave(how dispatch.StepKind, late bool) {
	if o.pass != nil {
		o.pass.End(how == dispatch.StepSatisfied && !late, how == dispatch.StepRejected, late || how == dispatch.StepFailed)
	}
}

// answer carries out a lookup's steps up to its end, and says the end.
func (c *client) answer(o *open) {
	f := c.f
	for {
		s := f.router.WaitStep(o.lk)
		switch s.Kind {
		case dispatch.StepFetch:
			f.links.send(o, s)
			continue
		case dispatch.StepCancel:
			f.links.cancel(o, s.Attempt)
			continue
		}
		f.links.leave(o)
		o.leave(s.Kind, f.g.Now().Sub(o.came) > f.terms.LatencyBudget(f.kinds[o.req.Kind], o.req.KB))
		end := o.req.Close || c.ends()
		switch s.Kind {
		case dispatch.StepSatisfied:
			c.mu.Lock()
			c.usual = true
			c.mu.Unlock()
			c.pass(o, s.Attempt, end)
		case dispatch.StepRejected:
			wait := ""
			if s.RetryAfter > 0 {
				wait = "X-Wait-Ms: " + strconv.FormatInt((s.RetryAfter+999)/1000, 10) + "\r\n"
			}
			c.say(appendHead(nil, 503, 0, wait, end), o.lk.Deadline)
		case dispatch.StepFailed:
			c.say(appendHead(nil, 502, 0, "", end), o.lk.Deadline)
		}
		switch {
		case end && s.Kind == dispatch.StepSatisfied:
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
