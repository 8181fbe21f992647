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
	idleTimeout = 4 * time.Second
	answerSlack = 150 * time.Millisecond // past its time a client waits no longer
)

// clientActor is the usual clients: they come by chance, ask for popular objects most, and share connections.
type clientActor struct {
	scenario    *Scenario
	open        bool
	host        *simenv.Host
	pool        map[*gatewayActor][]*clientConn
	lookupCount uint64
	rateFactor  float64 // multiplies the plan's
	hotObject   string  // an object that half of all ask for
	cancelOneIn int     // one in so many clients leaves before its answer
	keepsAll    bool
	stallOneIn  int // one in so many stops reading
	etags       map[string]string
}

func newClientActor(d *Scenario) *clientActor {
	return &clientActor{scenario: d, host: d.sim.Host("10.200.0.1", "clients"), pool: map[*gatewayActor][]*clientConn{}, rateFactor: 1,
		etags: map[string]string{}}
}

func (f *clientActor) start() {
	f.open = true
	for _, g := range f.scenario.gateways {
		f.scheduleNext(g)
	}
}

// stop lets no more lookups come.
func (f *clientActor) stop() { f.open = false }

// scheduleNext brings the next lookup to a gateway, after a time by chance.
func (f *clientActor) scheduleNext(g *gatewayActor) {
	gap := -math.Log(1-f.scenario.sim.Rand.Float64()) / (f.scenario.Plan.Rate * f.rateFactor)
	f.scenario.after(time.Duration(gap*float64(time.Second)), func() {
		if !f.open {
			return
		}
		f.drawLookup(g)
		f.scheduleNext(g)
	})
}

// drawLookup draws what is asked for.
func (f *clientActor) drawLookup(g *gatewayActor) {
	d := f.scenario
	n, kind := d.randN(100), 0
	for n >= lookupKinds[kind].share {
		n -= lookupKinds[kind].share
		kind++
	}
	f.lookupCount++
	a := &lookup{kind: kind}
	few := int(60 * math.Pow(d.sim.Rand.Float64(), 2.5)) // the first are asked for most
	switch lookupKinds[kind].name {
	case "segment":
		a.object, a.part = fmt.Sprintf("s%d", few), d.randN(4)
	case "page":
		a.object = fmt.Sprintf("p%d", few)
	case "order":
		a.object = fmt.Sprintf("o%d", f.lookupCount)
	case "till":
		a.object = fmt.Sprintf("t%d", f.lookupCount)
	}
	if f.hotObject != "" && kind == 0 && d.randN(2) == 0 {
		a.object = f.hotObject
	}
	a.group = groupOf(a.object)
	if d.randN(5) == 0 {
		a.etag = f.etags[a.object+"/"+strconv.Itoa(a.part)]
	}
	f.tryGateway(g, a)
}

// tryGateway asks a gateway, or another where that one is known to be away.
func (f *clientActor) tryGateway(g *gatewayActor, a *lookup) {
	d := f.scenario
	for i := range d.gateways {
		o := d.gateways[(g.index+i)%len(d.gateways)]
		if o.zone == g.zone && o.current != nil && o.current.ready && !o.current.ended && (o.current.terminatedAt == 0 ||
			d.sim.Now() < o.current.terminatedAt+300*time.Millisecond) {
			f.send(o, a)
			return
		}
	}
	d.checker.outcomes["no gateway"]++
}

func (f *clientActor) send(g *gatewayActor, a *lookup) {
	d := f.scenario
	a.process = g.current
	a.id = fmt.Sprintf("%016x", d.sim.Rand.Uint64())
	a.deadline = lookupKinds[a.kind].deadline
	if d.randN(8) == 0 {
		a.deadline = a.deadline / time.Duration(2+d.randN(4))
	}
	again, object := a.repeats, a
	a.onAnswer = func(status int, wait time.Duration) {
		if status != 503 && status != 429 || again >= 2 || !f.open {
			return
		}
		next := &lookup{kind: object.kind, object: object.object, part: object.part, group: object.group, repeats: again + 1, firstSentAt: object.firstSentAt}
		d.after(max(wait, 30*time.Millisecond), func() { f.tryGateway(g, next) })
	}
	d.checker.lookupSent(a)
	if p := d.callers[g]; p != nil && (d.Plan.Profile != "both" || d.randN(2) == 0) {
		p.sendLookup(a)
		return
	}
	pool := f.pool[g]
	for i := len(pool) - 1; i >= 0; i-- {
		if c := pool[i]; c.isIdle() && c.process == g.current {
			c.send(a)
			return
		}
	}
	if len(pool) >= g.descriptors/3 && !f.keepsAll {
		d.checker.lookupEnded(a, "no connection")
		return
	}
	c := &clientConn{clients: f, gateway: g, process: g.current, next: a}
	f.pool[g] = append(pool, c)
	c.end = f.host.Connect(g.addr(), c)
	d.after(2*time.Second, func() {
		if !c.up && !c.closed {
			c.close("no connection")
		}
	})
}

// clientConn is a connection of a client; one lookup at a time.
type clientConn struct {
	clients       *clientActor
	gateway       *gatewayActor
	process       *gatewayProcess
	end           *simenv.End
	up            bool
	closed        bool
	split         bool // the network lost something on it
	misbehaves    bool // it does what clients should not
	lookup        *lookup
	next          *lookup // to be asked once it is up
	sentBytes     int     // bytes towards the gateway, and how many of them reached it
	arrivedBytes  int
	written       []byte        // written by the gateway and not yet a whole answer
	firstByteAt   time.Duration // its first byte
	gatewayClosed bool          // the gateway ended its side
	answeredAt    time.Duration
	received      []byte
	lastUsed      time.Duration
	keepsOpen     bool // asks once and stays for good
}

func (c *clientConn) isIdle() bool {
	return c.up && !c.closed && c.lookup == nil && !c.gatewayClosed && !c.keepsOpen && !c.misbehaves && c.clients.scenario.sim.Now() < c.lastUsed+idleTimeout
}

func (c *clientConn) isAnswering() bool { return len(c.written) > 0 }

func (c *clientConn) Opened() {
	c.up = true
	if c.process != c.gateway.current { // the gateway has died meanwhile, and another life of it has taken the connection
		c.close("gateway gone")
		return
	}
	c.end.OnArrived = func(b []byte) {
		c.arrivedBytes += len(b)
		if c.lookup != nil && c.lookup.receivedAt == 0 && c.arrivedBytes >= c.sentBytes {
			c.clients.scenario.checker.lookupReceived(c.lookup)
		}
	}
	c.lastUsed = c.clients.scenario.sim.Now()
	if a := c.next; a != nil {
		c.next = nil
		c.send(a)
	}
}

// send asks.
func (c *clientConn) send(a *lookup) {
	d := c.clients.scenario
	c.lookup, a.conn, a.sentAt = a, c, d.sim.Now()
	text := fmt.Sprintf("GET /call/%s/%s/part-%d HTTP/1.1\r\nHost: backend.local\r\nX-Job-Id: %s\r\nX-Allow-Ms: %d\r\nX-Group: %d\r\nX-Ram-Kb: %g\r\n",
		lookupKinds[a.kind].name, a.object, a.part, a.id, a.deadline.Milliseconds(), a.group, partKB(a.object, a.part))
	if a.etag != "" {
		text += "If-None-Match: \"" + a.etag + "\"\r\n"
	}
	if lookupKinds[a.kind].passOn { // it writes: as many bytes as its id has them, some none
		if n := int(hashString(a.id) % 9000); n > 1000 {
			a.body = strings.Repeat(a.id+"\r\n", n/18)
			text = fmt.Sprintf("PUT%sContent-Length: %d\r\n", text[3:], len(a.body))
		}
	}
	text += "\r\n" + a.body
	c.sentBytes += len(text)
	c.end.Send([]byte(text))
	d.after(a.deadline+answerSlack+50*time.Millisecond, func() {
		if c.lookup == a {
			c.close("no answer in time")
		}
	})
	if n := c.clients.cancelOneIn; n > 0 && d.randN(n) == 0 {
		d.after(time.Duration(d.randN(600))*time.Millisecond, func() {
			if c.lookup == a {
				c.close("client left")
			}
		})
	}
	if n := c.clients.stallOneIn; n > 0 && d.randN(n) == 0 {
		c.end.Stalled = true
	}
}

// close ends the connection at the client's side.
func (c *clientConn) close(why string) {
	if c.closed {
		return
	}
	c.closed = true
	if c.up && c.clients.scenario.randN(2) == 0 {
		c.end.Close()
	} else if c.up {
		c.end.Reset()
	} else {
		c.end.Reset()
		why = "no connection"
	}
	c.abandon(why)
}

// abandon ends what was asked on it and forgets the connection.
func (c *clientConn) abandon(why string) {
	a := c.lookup
	if a == nil {
		a = c.next
	}
	c.lookup, c.next = nil, nil
	if a != nil {
		a.clientGone = true
		a.clientGoneAt = c.clients.scenario.sim.Now()
		if a.conn == nil {
			a.conn = c
		}
		c.clients.scenario.checker.lookupEnded(a, why)
	}
	pool := c.clients.pool[c.gateway]
	for i, o := range pool {
		if o == c {
			c.clients.pool[c.gateway] = append(pool[:i:i], pool[i+1:]...)
			break
		}
	}
}

func (c *clientConn) Closed(reset bool) {
	if c.closed {
		return
	}
	c.closed = true
	c.end.Close()
	c.abandon("connection ended")
}

// Data is what reaches the client: it is whole when as long as it says.
func (c *clientConn) Data(b []byte) {
	c.received = append(c.received, b...)
	status, _, _, wait, size := readAnswer(c.received)
	if size == 0 {
		return
	}
	c.received = c.received[size:]
	a := c.lookup
	if a == nil {
		return
	}
	c.lookup, c.lastUsed = nil, c.clients.scenario.sim.Now()
	if a.onAnswer != nil {
		a.onAnswer(status, wait)
	}
	if c.gatewayClosed || c.closed {
		return
	}
	if c.clients.scenario.randN(40) == 0 {
		c.keepsOpen = true
		return
	}
	last := c.lastUsed
	c.clients.scenario.after(idleTimeout, func() {
		if c.lookup == nil && c.lastUsed == last && !c.closed && !c.keepsOpen {
			c.close("")
		}
	})
}

// Written is what the gateway writes to the client, on its wire; below 0 it ends the connection.
func (c *clientConn) Written(n int, b []byte) {
	r := c.clients.scenario.checker
	now := c.clients.scenario.sim.Now()
	if n < 0 {
		c.gatewayClosed = true
		a := c.lookup
		if a == nil || a.ended || a.receivedAt == 0 || c.process.ended || c.misbehaves || c.split {
			return
		}
		if c.process.terminatedAt > 0 && a.receivedAt > c.process.terminatedAt+600*time.Millisecond {
			return
		}
		if len(c.written) == 0 && now-a.receivedAt >= socketSlack && !c.end.Stalled {
			r.violated("rule 1", "%s ended the connection of %s, taken %v before, without an answer", c.process.process.Name, a.id, now-a.receivedAt)
		}
		r.lookupEnded(a, "connection ended")
		return
	}
	if c.closed {
		return // it has left, and the gateway has not heard of it yet
	}
	if len(c.written) == 0 {
		c.firstByteAt = now
	}
	c.written = append(c.written, b...)
	status, tag, body, wait, size := readAnswer(c.written)
	if size == 0 {
		return
	}
	c.written = c.written[size:]
	a := c.lookup
	if a == nil || a.receivedAt == 0 || a.ended {
		if a == nil && status == 503 || a != nil && !a.ended && status == 503 || c.misbehaves {
			return // too many connections: told before anything is asked
		}
		r.violated("rule 1", "%s writes an answer %d that nothing is owed for", c.process.process.Name, status)
		return
	}
	if len(c.written) > 0 {
		r.violated("rule 1", "%s writes %d bytes after its answer to %s", c.process.process.Name, len(c.written), a.id)
		return
	}
	c.answeredAt = now
	if status == 200 && len(c.clients.etags) < 4096 {
		c.clients.etags[a.object+"/"+strconv.Itoa(a.part)] = tag
	}
	r.clientAnswered(a, status, body, tag, wait)
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

// invalidClient is a connection that sends what it was made with and reads what comes.
type invalidClient struct {
	scenario *Scenario
	end      *simenv.End
	text     []byte
	gateway  *gatewayActor
}

func (b *invalidClient) Opened() {
	if len(b.text) > 0 {
		b.end.Send(b.text)
	}
}
func (b *invalidClient) Data([]byte)         {}
func (b *invalidClient) Closed(bool)         { b.end.Close() }
func (b *invalidClient) Written(int, []byte) {}

// sendInvalid sends one thing that no client should.
func (f *clientActor) sendInvalid(g *gatewayActor, n int) {
	d := f.scenario
	id := fmt.Sprintf("%016x", d.sim.Rand.Uint64())
	head := "GET /call/segment/zz/part-0 HTTP/1.1\r\nHost: x\r\nX-Job-Id: " + id + "\r\n"
	texts := []string{"", "\x00\xff\xfe", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "GET /call/none/x/part-0 HTTP/1.1\r\nHost: x\r\n\r\n",
		head + "Content-Length: -4\r\n\r\n", head + "Content-Length: 99999999999999999999\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", head + "X-Allow-Ms: nan\r\n\r\n",
		"GET /call/segment/" + strings.Repeat("y", 20000), head[:40], "POST /call/segment/z/part-0 HTTP/1.1\r\nHost: x\r\n\r\n",
		strings.Repeat("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n", 100)}
	b := &invalidClient{scenario: d, gateway: g, text: []byte(texts[n%len(texts)])}
	b.end = d.sim.Host("10.201.0.1", "clients").Connect(g.addr(), b)
	d.after(time.Duration(1+d.randN(8))*time.Second, func() { b.end.Reset() })
}
