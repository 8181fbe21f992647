package scenario

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"foldslip/internal/lab/simenv"
)

const (
	idleAt    = 4 * time.Second
	answerLag = 150 * time.Millisecond // past its time a client waits no longer
)

// front is the usual clients: they come by chance, ask for popular objects most, and share connections.
type front struct {
	d       *Day
	on      bool
	host    *simenv.Host
	pool    map[*gatewayActor][]*clientConn
	asks    uint64
	rate    float64 // multiplies the plan's
	hot     string  // an object that half of all ask for
	leaving int     // one in so many clients leaves before its answer
	greedy  bool
	muting  int // one in so many stops reading
	tags    map[string]string
}

func newFront(d *Day) *front {
	return &front{d: d, host: d.w.Host("10.200.0.1", "clients"), pool: map[*gatewayActor][]*clientConn{}, rate: 1,
		tags: map[string]string{}}
}

func (f *front) open() {
	f.on = true
	for _, g := range f.d.gateways {
		f.next(g)
	}
}

// shut lets no more lookups come.
func (f *front) shut() { f.on = false }

// next brings the next lookup to a gateway, after a time by chance.
func (f *front) next(g *gatewayActor) {
	gap := -math.Log(1-f.d.w.Chance.Float64()) / (f.d.Plan.Rate * f.rate)
	f.d.after(time.Duration(gap*float64(time.Second)), func() {
		if !f.on {
			return
		}
		f.lookup(g)
		f.next(g)
	})
}

// lookup draws what is asked for.
func (f *front) lookup(g *gatewayActor) {
	d := f.d
	n, kind := d.chance(100), 0
	for n >= kinds[kind].share {
		n -= kinds[kind].share
		kind++
	}
	f.asks++
	a := &ask{kind: kind}
	few := int(60 * math.Pow(d.w.Chance.Float64(), 2.5)) // the first are asked for most
	switch kinds[kind].name {
	case "segment":
		a.object, a.part = fmt.Sprintf("s%d", few), d.chance(4)
	case "page":
		a.object = fmt.Sprintf("p%d", few)
	case "order":
		a.object = fmt.Sprintf("o%d", f.asks)
	case "till":
		a.object = fmt.Sprintf("t%d", f.asks)
	}
	if f.hot != "" && kind == 0 && d.chance(2) == 0 {
		a.object = f.hot
	}
	a.group = groupOf(a.object)
	if d.chance(5) == 0 {
		a.tag = f.tags[a.object+"/"+strconv.Itoa(a.part)]
	}
	f.try(g, a)
}

// try asks a gateway, or another where that one is known to be away.
func (f *front) try(g *gatewayActor, a *ask) {
	d := f.d
	for i := range d.gateways {
		o := d.gateways[(g.no+i)%len(d.gateways)]
		if o.zone == g.zone && o.its != nil && o.its.ready && !o.its.over && (o.its.term == 0 ||
			d.w.Now() < o.its.term+300*time.Millisecond) {
			f.send(o, a)
			return
		}
	}
	d.ref.ends["no gateway"]++
}

func (f *front) send(g *gatewayActor, a *ask) {
	d := f.d
	a.l = g.its
	a.id = fmt.Sprintf("%016x", d.w.Chance.Uint64())
	a.allow = kinds[a.kind].deadline
	if d.chance(8) == 0 {
		a.allow = a.allow / time.Duration(2+d.chance(4))
	}
	again, object := a.again, a
	a.done = func(status int, wait time.Duration) {
		if status != 503 && status != 429 || again >= 2 || !f.on {
			return
		}
		next := &ask{kind: object.kind, object: object.object, part: object.part, group: object.group, again: again + 1, came: object.came}
		d.after(max(wait, 30*time.Millisecond), func() { f.try(g, next) })
	}
	d.ref.ask(a)
	if p := d.proxies[g]; p != nil && (d.Plan.Days != "both" || d.chance(2) == 0) {
		p.ask(a)
		return
	}
	pool := f.pool[g]
	for i := len(pool) - 1; i >= 0; i-- {
		if c := pool[i]; c.idle() && c.l == g.its {
			c.send(a)
			return
		}
	}
	if len(pool) >= g.fds/3 && !f.greedy {
		d.ref.close(a, "no connection")
		return
	}
	c := &clientConn{f: f, g: g, l: g.its, next: a}
	f.pool[g] = append(pool, c)
	c.e = f.host.Connect(g.addr(), c)
	d.after(2*time.Second, func() {
		if !c.up && !c.closed {
			c.shut("no connection")
		}
	})
}

// clientConn is a connection of a client; one lookup at a time.
type clientConn struct {
	f        *front
	g        *gatewayActor
	l        *life
	e        *simenv.End
	up       bool
	closed   bool
	split    bool // the network lost something on it
	wild     bool // it does what clients should not
	a        *ask
	next     *ask // to be asked once it is up
	sent     int  // bytes towards the gateway, and how many of them reached it
	arrived  int
	wire     []byte        // written by the gateway and not yet a whole answer
	wireAt   time.Duration // its first byte
	wireOver bool          // the gateway ended its side
	overAt   time.Duration
	in       []byte
	last     time.Duration
	keep     bool // asks once and stays for good
}

func (c *clientConn) idle() bool {
	return c.up && !c.closed && c.a == nil && !c.wireOver && !c.keep && !c.wild && c.f.d.w.Now() < c.last+idleAt
}

func (c *clientConn) answering() bool { return len(c.wire) > 0 }

func (c *clientConn) Opened() {
	c.up = true
	if c.l != c.g.its { // the gateway has died meanwhile, and another life of it has taken the connection
		c.shut("gateway gone")
		return
	}
	c.e.Arrived = func(b []byte) {
		c.arrived += len(b)
		if c.a != nil && c.a.taken == 0 && c.arrived >= c.sent {
			c.f.d.ref.took(c.a)
		}
	}
	c.last = c.f.d.w.Now()
	if a := c.next; a != nil {
		c.next = nil
		c.send(a)
	}
}

// send asks.
func (c *clientConn) send(a *ask) {
	d := c.f.d
	c.a, a.c, a.sentAt = a, c, d.w.Now()
	text := fmt.Sprintf("GET /call/%s/%s/part-%d HTTP/1.1\r\nHost: backend.local\r\nX-Job-Id: %s\r\nX-Allow-Ms: %d\r\nX-Group: %d\r\nX-Ram-Kb: %g\r\n",
		kinds[a.kind].name, a.object, a.part, a.id, a.allow.Milliseconds(), a.group, kbOf(a.object, a.part))
	if a.tag != "" {
		text += "If-None-Match: \"" + a.tag + "\"\r\n"
	}
	if kinds[a.kind].passOn { // it writes: as many bytes as its id has them, some none
		if n := int(sum(a.id) % 9000); n > 1000 {
			a.bytes = strings.Repeat(a.id+"\r\n", n/18)
			text = fmt.Sprintf("PUT%sContent-Length: %d\r\n", text[3:], len(a.bytes))
		}
	}
	text += "\r\n" + a.bytes
	c.sent += len(text)
	c.e.Send([]byte(text))
	d.after(a.allow+answerLag+50*time.Millisecond, func() {
		if c.a == a {
			c.shut("no answer in time")
		}
	})
	if n := c.f.leaving; n > 0 && d.chance(n) == 0 {
		d.after(time.Duration(d.chance(600))*time.Millisecond, func() {
			if c.a == a {
				c.shut("client left")
			}
		})
	}
	if n := c.f.muting; n > 0 && d.chance(n) == 0 {
		c.e.Stalled = true
	}
}

// shut ends the connection at the client's side.
func (c *clientConn) shut(why string) {
	if c.closed {
		return
	}
	c.closed = true
	if c.up && c.f.d.chance(2) == 0 {
		c.e.Close()
	} else if c.up {
		c.e.Reset()
	} else {
		c.e.Reset()
		why = "no connection"
	}
	c.lose(why)
}

// lose ends what was asked on it and forgets the connection.
func (c *clientConn) lose(why string) {
	a := c.a
	if a == nil {
		a = c.next
	}
	c.a, c.next = nil, nil
	if a != nil {
		a.left = true
		a.leftAt = c.f.d.w.Now()
		if a.c == nil {
			a.c = c
		}
		c.f.d.ref.close(a, why)
	}
	pool := c.f.pool[c.g]
	for i, o := range pool {
		if o == c {
			c.f.pool[c.g] = append(pool[:i:i], pool[i+1:]...)
			break
		}
	}
}

func (c *clientConn) Closed(reset bool) {
	if c.closed {
		return
	}
	c.closed = true
	c.e.Close()
	c.lose("connection ended")
}

// Data is what reaches the client: it is whole when as long as it says.
func (c *clientConn) Data(b []byte) {
	c.in = append(c.in, b...)
	status, _, _, wait, size := readAnswer(c.in)
	if size == 0 {
		return
	}
	c.in = c.in[size:]
	a := c.a
	if a == nil {
		return
	}
	c.a, c.last = nil, c.f.d.w.Now()
	if a.done != nil {
		a.done(status, wait)
	}
	if c.wireOver || c.closed {
		return
	}
	if c.f.d.chance(40) == 0 {
		c.keep = true
		return
	}
	last := c.last
	c.f.d.after(idleAt, func() {
		if c.a == nil && c.last == last && !c.closed && !c.keep {
			c.shut("")
		}
	})
}

// Written is what the gateway writes to the client, on its wire; below 0 it ends the connection.
func (c *clientConn) Written(n int, b []byte) {
	r := c.f.d.ref
	now := c.f.d.w.Now()
	if n < 0 {
		c.wireOver = true
		a := c.a
		if a == nil || a.over || a.taken == 0 || c.l.over || c.wild || c.split {
			return
		}
		if c.l.term > 0 && a.taken > c.l.term+600*time.Millisecond {
			return
		}
		if len(c.wire) == 0 && now-a.taken >= slack && !c.e.Stalled {
			r.broken("rule 1", "%s ended the connection of %s, taken %v before, without an answer", c.l.p.Name, a.id, now-a.taken)
		}
		r.close(a, "connection ended")
		return
	}
	if c.closed {
		return // it has left, and the gateway has not heard of it yet
	}
	if len(c.wire) == 0 {
		c.wireAt = now
	}
	c.wire = append(c.wire, b...)
	status, tag, body, wait, size := readAnswer(c.wire)
	if size == 0 {
		return
	}
	c.wire = c.wire[size:]
	a := c.a
	if a == nil || a.taken == 0 || a.over {
		if a == nil && status == 503 || a != nil && !a.over && status == 503 || c.wild {
			return // too many connections: told before anything is asked
		}
		r.broken("rule 1", "%s writes an answer %d that nothing is owed for", c.l.p.Name, status)
		return
	}
	if len(c.wire) > 0 {
		r.broken("rule 1", "%s writes %d bytes after its answer to %s", c.l.p.Name, len(c.wire), a.id)
		return
	}
	c.overAt = now
	if status == 200 && len(c.f.tags) < 4096 {
		c.f.tags[a.object+"/"+strconv.Itoa(a.part)] = tag
	}
	r.answer(a, status, body, tag, wait)
}

// readAnswer reads an answer at the front of b; size 0 asks for more bytes.
func readAnswer(b []byte) (status int, tag, body string, wait time.Duration, size int) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		return
	}
	lines := strings.Split(string(b[:end]), "\r\n")
	if _, err := fmt.Sscanf(lines[0], "HTTP/1.1 %d", &status); err != nil {
		return -1, "", "", 0, len(b)
	}
	length := 0
	for _, l := range lines[1:] {
		name, v, _ := strings.Cut(l, ": ")
		switch name {
		case "Content-Length":
			length, _ = strconv.Atoi(v)
		case "ETag":
			tag = strings.Trim(v, "\"")
		case "X-Wait-Ms":
			ms, _ := strconv.Atoi(v)
			wait = time.Duration(ms) * time.Millisecond
		}
	}
	if len(b) < end+4+length {
		return 0, "", "", 0, 0
	}
	return status, tag, string(b[end+4 : end+4+length]), wait, end + 4 + length
}

// badClient is a connection that sends what it was made with and reads what comes.
type badClient struct {
	d    *Day
	e    *simenv.End
	text []byte
	g    *gatewayActor
}

func (b *badClient) Opened() {
	if len(b.text) > 0 {
		b.e.Send(b.text)
	}
}
func (b *badClient) Data([]byte)         {}
func (b *badClient) Closed(bool)         { b.e.Close() }
func (b *badClient) Written(int, []byte) {}

// bad sends one thing that no client should.
func (f *front) bad(g *gatewayActor, n int) {
	d := f.d
	id := fmt.Sprintf("%016x", d.w.Chance.Uint64())
	head := "GET /call/segment/zz/part-0 HTTP/1.1\r\nHost: x\r\nX-Job-Id: " + id + "\r\n"
	texts := []string{"", "\x00\xff\xfe", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "GET /call/none/x/part-0 HTTP/1.1\r\nHost: x\r\n\r\n",
		head + "Content-Length: -4\r\n\r\n", head + "Content-Length: 99999999999999999999\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", head + "X-Allow-Ms: nan\r\n\r\n",
		"GET /call/segment/" + strings.Repeat("y", 20000), head[:40], "POST /call/segment/z/part-0 HTTP/1.1\r\nHost: x\r\n\r\n",
		strings.Repeat("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n", 100)}
	b := &badClient{d: d, g: g, text: []byte(texts[n%len(texts)])}
	b.e = d.w.Host("10.201.0.1", "clients").Connect(g.addr(), b)
	d.after(time.Duration(1+d.chance(8))*time.Second, func() { b.e.Reset() })
}
