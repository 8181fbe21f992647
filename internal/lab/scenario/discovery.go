package scenario

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"foldslip/internal/lab/simenv"
)

type discoveryEvent struct {
	Number      int             `json:"no"`
	Endpoints   *endpointUpdate `json:"roster,omitempty"`
	Purge       *purgeEvent     `json:"recall,omitempty"`
	publishedAt time.Duration
}

type endpointUpdate struct {
	Revision  int        `json:"revision"`
	Complete  bool       `json:"complete"`
	Endpoints []endpoint `json:"members"`
}

type endpoint struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

type purgeEvent struct {
	Object string `json:"item,omitempty"`
	Group  *int   `json:"lot,omitempty"`
	Issued int64  `json:"issued"`
}

// publish adds an event; both bulletins tell it.
func (d *Scenario) publish(e discoveryEvent) {
	e.Number, e.publishedAt = len(d.events)+1, d.sim.Now()
	d.events = append(d.events, e)
	d.sim.Note(simenv.StepPublish, "", "", int64(e.Number))
	for _, b := range d.discoveryServers {
		b.notifyWatches()
	}
}

// discoveryServer tells gateways of numbered events.
type discoveryServer struct {
	scenario   *Scenario
	index      int
	host       *simenv.Host
	lag        time.Duration
	silent     bool // stays open and says nothing
	down       bool
	duplicates bool
	skipsEvent bool // leaves the next event out, once a connection
	conns      []*watchConn
}

func newDiscoveryServer(d *Scenario, no int) *discoveryServer {
	b := &discoveryServer{scenario: d, index: no, host: d.sim.Host(fmt.Sprintf("10.7.0.%d", no+1), "bulletin")}
	b.serve()
	b.heartbeat()
	return b
}

func (b *discoveryServer) addr() string { return b.host.IP + ":8500" }

func (b *discoveryServer) serve() {
	b.down = false
	b.host.Serve("8500", func(e *simenv.End) simenv.Handler {
		c := &watchConn{server: b, end: e, after: -1}
		for _, g := range b.scenario.gateways {
			if g.host == e.Peer {
				c.process = g.current
			}
		}
		e.OnArrived = c.arrived
		b.conns = append(b.conns, c)
		return c
	})
}

// stopFor makes the discovery server unreachable for a span: its connections break and new ones are refused.
func (b *discoveryServer) stopFor(span time.Duration) {
	b.down = true
	b.host.StopServing("8500")
	for _, c := range append([]*watchConn(nil), b.conns...) {
		c.end.Reset()
		c.Closed(true)
	}
	b.scenario.after(span, b.serve)
}

func (b *discoveryServer) heartbeat() {
	for _, c := range b.conns {
		if c.next > 0 && !b.silent {
			c.send(strconv.Itoa(c.next-1) + "\n")
		}
	}
	b.scenario.after(time.Second, b.heartbeat)
}

// notifyWatches tells what has not been told.
func (b *discoveryServer) notifyWatches() {
	if b == nil {
		return
	}
	tell := func() {
		for _, c := range append([]*watchConn(nil), b.conns...) {
			c.sendDue()
		}
	}
	if b.lag > 0 {
		b.scenario.after(b.lag, tell)
	} else {
		tell()
	}
}

// watchConn is a gateway's connection to a discovery server.
type watchConn struct {
	server       *discoveryServer
	end          *simenv.End
	process      *gatewayProcess
	in           []byte
	after        int // -1 until it is said
	next         int // event
	sentBytes    int // bytes
	arrivedBytes int // bytes that reached the gateway
	marks        []sentMark
	skipped      bool
}

type sentMark struct{ endByte, event int }

func (c *watchConn) Opened()             { c.after = -1 }
func (c *watchConn) Written(int, []byte) {}

func (c *watchConn) Closed(bool) {
	b := c.server
	for i, o := range b.conns {
		if o == c {
			b.conns = append(b.conns[:i:i], b.conns[i+1:]...)
			break
		}
	}
	c.end.Close()
}

func (c *watchConn) Data(data []byte) {
	c.in = append(c.in, data...)
	line, _, whole := bytes.Cut(c.in, []byte("\n"))
	if !whole || c.next > 0 {
		return
	}
	n, err := strconv.Atoi(string(bytes.TrimPrefix(line, []byte("after "))))
	if err != nil || n < 0 || n > len(c.server.scenario.events) {
		c.server.scenario.checker.violated("protocol", "bulletin was asked with %q", line)
		c.end.Reset()
		return
	}
	c.after, c.next = n, n+1
	c.sendDue()
}

func (c *watchConn) send(text string) {
	c.sentBytes += len(text)
	c.end.Send([]byte(text))
}

func (c *watchConn) sendDue() {
	b := c.server
	for c.next > 0 && !b.silent && c.next <= len(b.scenario.events) {
		e := b.scenario.events[c.next-1]
		if b.lag > 0 && b.scenario.sim.Now() < e.publishedAt+b.lag {
			b.scenario.after(e.publishedAt+b.lag-b.scenario.sim.Now(), c.sendDue)
			return
		}
		if b.skipsEvent && !c.skipped && c.next < len(b.scenario.events) {
			c.skipped = true
			c.next++
			continue
		}
		text := string(mustMarshal(e)) + "\n"
		c.send(text)
		c.marks = append(c.marks, sentMark{c.sentBytes, c.next})
		if b.duplicates {
			c.send(text)
		}
		c.next++
	}
}

// breakInEvent breaks the connection in the middle of an event.
func (c *watchConn) breakInEvent() {
	text := mustMarshal(discoveryEvent{Number: c.next, Purge: &purgeEvent{Object: "s1", Issued: c.server.scenario.sim.Unix().UnixMilli()}})
	c.send(string(text[:1+c.server.scenario.randN(len(text)-1)]))
	c.end.Close()
}

// arrived notes which events have reached the gateway whole.
func (c *watchConn) arrived(data []byte) {
	c.arrivedBytes += len(data)
	for len(c.marks) > 0 && c.marks[0].endByte <= c.arrivedBytes {
		if c.process != nil {
			c.process.markNotified(c.marks[0].event, c.server.scenario.sim.Now())
		}
		c.marks = c.marks[1:]
	}
}

// markNotified notes that an event counts as told from then on.
func (l *gatewayProcess) markNotified(no int, at time.Duration) {
	for len(l.notified) <= no {
		l.notified = append(l.notified, 0)
	}
	if l.notified[no] == 0 {
		l.notified[no] = max(1, at)
	}
}
