// A gateway's connection to a stand-in cache.

package scenario

import (
	"bytes"
	"strings"
	"time"

	"foldslip/internal/lab/simenv"
)

// cacheConn is a gateway's connection to a cache, seen from the cache.
type cacheConn struct {
	c      *cache
	e      *simenv.End
	l      *life
	in     []byte
	open   map[string]*do
	wire   []byte // what the gateway has written and is not yet a whole line
	since  time.Duration
	sent   int // bytes to the gateway, and how many have arrived
	got    int
	due    []due
	out    []*send // sends that are out on it, as seen on the wire
	closed bool
	torn   bool                     // an answer broke off on it: it is of no more use
	to     func(q *do, text string) // where a proxy's one send waits, without a connection of its own
	lost   func()
	id     string // of that send
}

// reset breaks it.
func (k *cacheConn) reset() {
	if k.to == nil {
		k.e.Reset()
		return
	}
	k.c.d.after(k.c.d.hop(), k.lost)
}

// drop takes a proxy's send off its cache.
func (k *cacheConn) drop() {
	for i, o := range k.c.conns {
		if o == k {
			k.c.conns = append(k.c.conns[:i:i], k.c.conns[i+1:]...)
			break
		}
	}
}

func (k *cacheConn) Opened() {}

// over is the end at the cache's side; where it is silent the gateway cannot know.
func (k *cacheConn) over(silent bool) {
	for i, o := range k.c.conns {
		if o == k {
			k.c.conns = append(k.c.conns[:i:i], k.c.conns[i+1:]...)
			break
		}
	}
	for _, q := range k.open {
		q.over = true
	}
	k.open = nil
	if !silent {
		k.c.d.ref.connOver(k)
	}
	for _, s := range k.out {
		s.out = false
	}
}

func (k *cacheConn) Closed(bool) {
	k.over(false)
	k.e.Close()
	if k.l != nil {
		delete(k.l.conns, k)
	}
}

// Data is what reaches the cache.
func (k *cacheConn) Data(b []byte) {
	k.in = append(k.in, b...)
	for {
		i := bytes.Index(k.in, []byte("\r\n"))
		if i < 0 {
			return
		}
		line := string(k.in[:i])
		if id, undo := strings.CutPrefix(line, "undo "); undo {
			k.in = k.in[i+2:]
			if q := k.open[id]; q != nil {
				q.over = true
				delete(k.open, id)
			}
			continue
		}
		n := max(0, doLength(line))
		if len(k.in) < i+n+4 {
			return
		}
		text := string(k.in[i+2 : i+2+n])
		k.in = k.in[i+n+4:]
		q, err := readDo(line, text)
		if err != nil {
			k.c.d.ref.broken("protocol", "%s reads: %v", k.c.id, err)
			k.e.Reset()
			k.over(false)
			return
		}
		q.k = k
		q.work = workOf(q.object, q.part)
		if k.open == nil {
			k.open = map[string]*do{}
		}
		k.open[q.id] = q
		k.c.bear(k.l, meanWork[q.kind_]) // what the rule counts for a send to a cold cache
		k.c.take(q)
		if k.e.Gone() {
			return
		}
	}
}

// say writes an answer, or what a fault makes of it.
func (k *cacheConn) say(q *do, text string) {
	if k.torn {
		delete(k.open, q.id)
		return
	}
	if k.open[q.id] == q {
		delete(k.open, q.id)
	}
	if k.to != nil {
		k.to(q, text)
		return
	}
	k.sent += len(text)
	k.c.d.ref.sendOver(q, k.sent)
	k.e.Send([]byte(text))
}

// due is a send whose answer has reached the gateway once so many bytes have.
type due struct {
	end int
	s   *send
}

func (k *cacheConn) arrived(b []byte) {
	k.got += len(b)
	for len(k.due) > 0 && k.due[0].end <= k.got {
		k.c.d.ref.heard(k.due[0].s)
		k.due = k.due[1:]
	}
}

// Written is what the gateway has just written, on its wire.
func (k *cacheConn) Written(n int, b []byte) {
	if n < 0 {
		k.closed = true
		k.c.d.ref.connOver(k)
		return
	}
	if len(k.wire) == 0 {
		k.since = k.c.d.w.Now()
	}
	k.wire = append(k.wire, b...)
	for {
		i := bytes.Index(k.wire, []byte("\r\n"))
		if i < 0 {
			return
		}
		line := string(k.wire[:i])
		if id, undo := strings.CutPrefix(line, "undo "); undo {
			k.wire = k.wire[i+2:]
			k.c.d.ref.undone(k, id)
			continue
		}
		n := max(0, doLength(line))
		if len(k.wire) < i+n+4 {
			return
		}
		text := string(k.wire[i+2 : i+2+n])
		k.wire = k.wire[i+n+4:]
		if q, err := readDo(line, text); err == nil {
			k.c.d.ref.sent(k, q, k.since)
		}
		k.since = k.c.d.w.Now()
	}
}

// stray writes an answer to nothing.
func (k *cacheConn) stray(text string) {
	k.sent += len(text)
	k.e.Send([]byte(text))
}
