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

// outcomeGatewayGone is the outcome of a lookup whose gateway process has ended, as reports contain it.
const outcomeGatewayGone = "gateway gone"

const (
	idleTimeout = 4 * time.Second        // after which a client closes an idle connection
	answerSlack = 150 * time.Millisecond // for which a client waits beyond the lookup's deadline
)

// clientActor simulates well-behaved clients. Lookups arrive at
// random, mostly for popular objects, and share connections.
type clientActor struct {
	scenario         *Scenario
	open             bool
	host             *simenv.Host
	pool             map[*gatewayActor][]*clientConn
	lookupCount      uint64
	rateFactor       float64           // factor on the plan's rate of lookups
	hotObject        string            // object of half of the segment lookups; empty: none
	cancelOneIn      int               // one client in this many closes its connection before the answer; 0: none
	ignoresConnLimit bool              // clients open connections beyond a third of a gateway's descriptors
	stallOneIn       int               // one client in this many stops reading; 0: none
	etags            map[string]string // by part key: the last ETag received
}

func newClientActor(s *Scenario) *clientActor {
	return &clientActor{scenario: s, host: s.sim.Host("10.200.0.1", groupClients), pool: map[*gatewayActor][]*clientConn{}, rateFactor: 1,
		etags: map[string]string{}}
}

// start starts the lookups at all gateways.
func (a *clientActor) start() {
	a.open = true
	for _, g := range a.scenario.gateways {
		a.scheduleNext(g)
	}
}

// stop stops new lookups.
func (a *clientActor) stop() { a.open = false }

// scheduleNext schedules the next lookup at a gateway after an exponentially distributed time.
func (a *clientActor) scheduleNext(g *gatewayActor) {
	gap := -math.Log(1-a.scenario.sim.Rand.Float64()) / (a.scenario.Plan.Rate * a.rateFactor)
	a.scenario.after(time.Duration(gap*float64(time.Second)), func() {
		if !a.open {
			return
		}
		a.drawLookup(g)
		a.scheduleNext(g)
	})
}

// drawLookup draws the kind and object of a lookup and sends it to a gateway.
func (a *clientActor) drawLookup(g *gatewayActor) {
	s := a.scenario
	n, kind := s.randN(100), 0
	for n >= lookupKinds[kind].percent {
		n -= lookupKinds[kind].percent
		kind++
	}
	a.lookupCount++
	l := &lookup{kind: kind}
	popularityRank := int(60 * math.Pow(s.sim.Rand.Float64(), 2.5)) // 0 is the most popular
	switch lookupKinds[kind].name {
	case "segment":
		l.object, l.part = fmt.Sprintf("s%d", popularityRank), s.randN(4)
	case "page":
		l.object = fmt.Sprintf("p%d", popularityRank)
	case "order":
		l.object = fmt.Sprintf("o%d", a.lookupCount)
	case "till":
		l.object = fmt.Sprintf("t%d", a.lookupCount)
	}
	if a.hotObject != "" && kind == 0 && s.randN(2) == 0 {
		l.object = a.hotObject
	}
	l.group = groupOf(l.object)
	if s.randN(5) == 0 {
		l.etag = a.etags[l.key()]
	}
	a.tryGateway(g, l)
}

// tryGateway sends a lookup to a gateway, or to another gateway of the same zone if the first one is known to be down.
func (a *clientActor) tryGateway(g *gatewayActor, l *lookup) {
	s := a.scenario
	for i := range s.gateways {
		o := s.gateways[(g.index+i)%len(s.gateways)]
		if o.zone == g.zone && o.current != nil && o.current.ready && !o.current.ended && (o.current.terminatedAt == 0 ||
			s.sim.Now() < o.current.terminatedAt+300*time.Millisecond) {
			a.send(o, l)
			return
		}
	}
	s.checker.outcomes["no gateway"]++
}

// send sends a lookup to a gateway: through its external processor, over an idle connection, or over a new
// connection. After a 429 or 503 the client repeats the lookup up to twice.
func (a *clientActor) send(g *gatewayActor, l *lookup) {
	s := a.scenario
	l.process = g.current
	l.id = fmt.Sprintf("%016x", s.sim.Rand.Uint64())
	l.deadline = l.kindSettings().deadline
	if s.randN(8) == 0 {
		l.deadline = l.deadline / time.Duration(2+s.randN(4))
	}
	repeats, original := l.repeats, l
	l.onAnswer = func(status int, wait time.Duration) {
		if status != 503 && status != 429 || repeats >= 2 || !a.open {
			return
		}
		next := &lookup{kind: original.kind, object: original.object, part: original.part, group: original.group, repeats: repeats + 1, firstSentAt: original.firstSentAt}
		s.after(max(wait, 30*time.Millisecond), func() { a.tryGateway(g, next) })
	}
	s.checker.lookupSent(l)
	if caller := s.callers[g]; caller != nil && (s.Plan.Profile != "both" || s.randN(2) == 0) {
		caller.sendLookup(l)
		return
	}
	pool := a.pool[g]
	for i := len(pool) - 1; i >= 0; i-- {
		if c := pool[i]; c.isIdle() && c.process == g.current {
			c.send(l)
			return
		}
	}
	if len(pool) >= g.descriptors/3 && !a.ignoresConnLimit {
		s.checker.lookupEnded(l, "no connection")
		return
	}
	c := &clientConn{clients: a, gateway: g, process: g.current, next: l}
	a.pool[g] = append(pool, c)
	c.end = a.host.Connect(g.addr(), c)
	s.after(2*time.Second, func() {
		if !c.up && !c.closed {
			c.close("no connection")
		}
	})
}

// clientConn is a client's connection to a gateway. It carries one lookup at a time.
type clientConn struct {
	clients       *clientActor
	gateway       *gatewayActor
	process       *gatewayProcess
	end           *simenv.End
	up            bool
	closed        bool
	isSplit       bool // a network partition may have lost or delayed bytes on it
	misbehaves    bool // a fault may reset it at any byte, so the gateway owes no answer on it
	lookup        *lookup
	next          *lookup       // lookup to send when the connection is up
	sentBytes     int           // bytes sent to the gateway
	arrivedBytes  int           // of sentBytes, those that have reached the gateway
	written       []byte        // bytes of an incomplete answer that the gateway has written
	firstByteAt   time.Duration // when the gateway wrote the first byte of its last answer
	gatewayClosed bool          // the gateway has closed the connection
	answeredAt    time.Duration
	received      []byte
	lastUsed      time.Duration
	keepsOpen     bool // the client leaves the connection open and sends no more lookups on it
}

// isIdle reports whether another lookup can be sent on the connection.
func (c *clientConn) isIdle() bool {
	return c.up && !c.closed && c.lookup == nil && !c.gatewayClosed && !c.keepsOpen && !c.misbehaves && c.clients.scenario.sim.Now() < c.lastUsed+idleTimeout
}

// isOwedAnswer reports whether the gateway must answer a lookup that reached it on this connection.
func (c *clientConn) isOwedAnswer(l *lookup) bool {
	isLate := l.process.terminatedAt > 0 && l.receivedAt > l.process.terminatedAt+terminateGrace
	return !l.process.ended && !c.isSplit && !isLate && c.end.IsAccepted() && !c.end.Stalled && !c.misbehaves
}

// isAnswering reports whether the gateway has written a part of an answer and not all of it.
func (c *clientConn) isAnswering() bool { return len(c.written) > 0 }

func (c *clientConn) Opened() {
	c.up = true
	if c.process != c.gateway.current { // the gateway has restarted, and its new process accepted the connection
		c.close(outcomeGatewayGone)
		return
	}
	c.end.OnArrived = func(b []byte) {
		c.arrivedBytes += len(b)
		if c.lookup != nil && c.lookup.receivedAt == 0 && c.arrivedBytes >= c.sentBytes {
			c.clients.scenario.checker.lookupReceived(c.lookup)
		}
	}
	c.lastUsed = c.clients.scenario.sim.Now()
	if l := c.next; l != nil {
		c.next = nil
		c.send(l)
	}
}

// send sends a lookup on the connection and closes the connection if no answer arrives in time.
func (c *clientConn) send(l *lookup) {
	s := c.clients.scenario
	c.lookup, l.conn = l, c
	text := fmt.Sprintf("GET /call/%s/%s/part-%d HTTP/1.1\r\nHost: backend.local\r\nX-Job-Id: %s\r\nX-Allow-Ms: %d\r\nX-Group: %d\r\nX-Ram-Kb: %g\r\n",
		l.kindSettings().name, l.object, l.part, l.id, l.deadline.Milliseconds(), l.group, partKB(l.object, l.part))
	if l.etag != "" {
		text += "If-None-Match: \"" + l.etag + "\"\r\n"
	}
	if l.kindSettings().passesThrough { // the body's length is computed from the id and may be 0
		if n := int(hashString(l.id) % 9000); n > 1000 {
			l.body = strings.Repeat(l.id+"\r\n", n/18)
			text = fmt.Sprintf("PUT%sContent-Length: %d\r\n", text[3:], len(l.body))
		}
	}
	text += "\r\n" + l.body
	c.sentBytes += len(text)
	c.end.Send([]byte(text))
	s.after(l.deadline+answerSlack+50*time.Millisecond, func() {
		if c.lookup == l {
			c.close("no answer in time")
		}
	})
	if n := c.clients.cancelOneIn; n > 0 && s.randN(n) == 0 {
		s.after(time.Duration(s.randN(600))*time.Millisecond, func() {
			if c.lookup == l {
				c.close("client left")
			}
		})
	}
	if n := c.clients.stallOneIn; n > 0 && s.randN(n) == 0 {
		c.end.Stalled = true
	}
}

// close closes or resets the connection at the client's side and ends its lookup with an outcome.
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

// abandon ends the connection's lookup with an outcome and removes the connection from the pool.
func (c *clientConn) abandon(why string) {
	l := c.lookup
	if l == nil {
		l = c.next
	}
	c.lookup, c.next = nil, nil
	if l != nil {
		l.clientGone = true
		l.clientGoneAt = c.clients.scenario.sim.Now()
		if l.conn == nil {
			l.conn = c
		}
		c.clients.scenario.checker.lookupEnded(l, why)
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

// Data handles bytes that reach the client. A complete answer ends the lookup at the client.
func (c *clientConn) Data(b []byte) {
	c.received = append(c.received, b...)
	status, _, _, wait, size := readAnswer(c.received)
	if size == 0 {
		return
	}
	c.received = c.received[size:]
	l := c.lookup
	if l == nil {
		return
	}
	c.lookup, c.lastUsed = nil, c.clients.scenario.sim.Now()
	if l.onAnswer != nil {
		l.onAnswer(status, wait)
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

// Written checks what the gateway writes to the client. A negative n is the end of the connection.
func (c *clientConn) Written(n int, b []byte) {
	checker := c.clients.scenario.checker
	now := c.clients.scenario.sim.Now()
	if n < 0 {
		c.gatewayClosed = true
		l := c.lookup
		if l == nil || l.ended || l.receivedAt == 0 || c.process.ended || c.misbehaves || c.isSplit {
			return
		}
		if c.process.terminatedAt > 0 && l.receivedAt > c.process.terminatedAt+600*time.Millisecond {
			return
		}
		if len(c.written) == 0 && now-l.receivedAt >= socketSlack && !c.end.Stalled {
			checker.violated("rule 1", "%s closed the connection of %s, received %v earlier, without an answer", c.process.process.Name, l.id, now-l.receivedAt)
		}
		checker.lookupEnded(l, "connection ended")
		return
	}
	if c.closed {
		return // the client has closed the connection, and the gateway has not yet seen it
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
	l := c.lookup
	if l == nil || l.receivedAt == 0 || l.ended {
		if l == nil && status == 503 || l != nil && !l.ended && status == 503 || c.misbehaves {
			return // the gateway rejects a connection above its limit before it reads a lookup
		}
		checker.violated("rule 1", "%s wrote an answer with status %d where no answer is due", c.process.process.Name, status)
		return
	}
	if len(c.written) > 0 {
		checker.violated("rule 1", "%s wrote %d bytes after its answer to %s", c.process.process.Name, len(c.written), l.id)
		return
	}
	c.answeredAt = now
	if status == 200 && len(c.clients.etags) < 4096 {
		c.clients.etags[l.key()] = tag
	}
	checker.clientAnswered(l, clientAnswer{status: status, etag: tag, body: body, retryAfter: wait})
}

// readAnswer parses the answer at the start of b and returns the
// answer's size. The size is 0 if the answer is incomplete.
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

// invalidClient is a client that sends one invalid request and ignores what the gateway answers.
type invalidClient struct {
	scenario *Scenario
	end      *simenv.End
	text     []byte
	gateway  *gatewayActor
}

func (c *invalidClient) Opened() {
	if len(c.text) > 0 {
		c.end.Send(c.text)
	}
}
func (c *invalidClient) Data([]byte)         {}
func (c *invalidClient) Closed(bool)         { c.end.Close() }
func (c *invalidClient) Written(int, []byte) {}

// sendInvalid sends one of a list of invalid requests on a new connection, and resets the connection 1 to 8 s later.
func (a *clientActor) sendInvalid(g *gatewayActor, n int) {
	s := a.scenario
	id := fmt.Sprintf("%016x", s.sim.Rand.Uint64())
	head := "GET /call/segment/zz/part-0 HTTP/1.1\r\nHost: x\r\nX-Job-Id: " + id + "\r\n"
	texts := []string{"", "\x00\xff\xfe", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "GET /call/none/x/part-0 HTTP/1.1\r\nHost: x\r\n\r\n",
		head + "Content-Length: -4\r\n\r\n", head + "Content-Length: 99999999999999999999\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", head + "X-Allow-Ms: nan\r\n\r\n",
		"GET /call/segment/" + strings.Repeat("y", 20000), head[:40], "POST /call/segment/z/part-0 HTTP/1.1\r\nHost: x\r\n\r\n",
		strings.Repeat("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n", 100)}
	c := &invalidClient{scenario: s, gateway: g, text: []byte(texts[n%len(texts)])}
	c.end = s.sim.Host("10.201.0.1", groupClients).Connect(g.addr(), c)
	s.after(time.Duration(1+s.randN(8))*time.Second, func() { c.end.Reset() })
}
