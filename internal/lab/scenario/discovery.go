package scenario

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"foldslip/internal/lab/simenv"
)

// discoveryEvent is an event of the discovery stream: an update of the endpoint list or a purge.
type discoveryEvent struct {
	Number      int             `json:"no"`
	Endpoints   *endpointUpdate `json:"roster,omitempty"`
	Purge       *purgeEvent     `json:"recall,omitempty"`
	publishedAt time.Duration
}

// endpointUpdate is a complete endpoint list, or the endpoints that have changed.
type endpointUpdate struct {
	Revision  int        `json:"revision"`
	Complete  bool       `json:"complete"`
	Endpoints []endpoint `json:"members"`
}

// endpoint is a cache as discovery publishes it.
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

// purgeEvent is a purge of an object or, if Group is set, of a group.
type purgeEvent struct {
	Object string `json:"item,omitempty"`
	Group  *int   `json:"lot,omitempty"`
	Issued int64  `json:"issued"`
}

// publish numbers an event and appends it to the stream that both discovery servers send.
func (s *Scenario) publish(e discoveryEvent) {
	e.Number, e.publishedAt = len(s.events)+1, s.sim.Now()
	s.events = append(s.events, e)
	s.sim.RecordStep(simenv.StepPublish, "", "", int64(e.Number))
	for _, d := range s.discoveryServers {
		d.notifyWatches()
	}
}

// discoveryServer sends the numbered events to the gateways that watch it.
type discoveryServer struct {
	scenario   *Scenario
	index      int
	host       *simenv.Host
	lag        time.Duration // delay of each event
	silent     bool          // it keeps connections open and sends nothing
	down       bool
	duplicates bool // it sends each event twice
	skipsEvent bool // it leaves out the next event, once on each connection
	conns      []*watchConn
}

func newDiscoveryServer(s *Scenario, index int) *discoveryServer {
	d := &discoveryServer{scenario: s, index: index, host: s.sim.Host(fmt.Sprintf("10.7.0.%d", index+1), groupDiscovery)}
	d.serve()
	d.heartbeat()
	return d
}

func (d *discoveryServer) addr() string { return d.host.IP + ":8500" }

func (d *discoveryServer) serve() {
	d.down = false
	d.host.Serve("8500", func(e *simenv.End) simenv.Handler {
		c := &watchConn{server: d, end: e, after: -1}
		for _, g := range d.scenario.gateways {
			if g.host == e.Peer {
				c.process = g.current
			}
		}
		e.OnArrived = c.arrived
		d.conns = append(d.conns, c)
		return c
	})
}

// stopFor stops the discovery server for a duration. Its connections are reset and new ones are refused.
func (d *discoveryServer) stopFor(span time.Duration) {
	d.down = true
	d.host.StopServing("8500")
	for _, c := range append([]*watchConn(nil), d.conns...) {
		c.end.Reset()
		c.Closed(true)
	}
	d.scenario.after(span, d.serve)
}

// heartbeat sends the number of the last event sent on each connection, once a second.
func (d *discoveryServer) heartbeat() {
	for _, c := range d.conns {
		if c.next > 0 && !d.silent {
			c.send(strconv.Itoa(c.next-1) + "\n")
		}
	}
	d.scenario.after(time.Second, d.heartbeat)
}

// notifyWatches sends the events that are due on all connections, after the server's lag.
func (d *discoveryServer) notifyWatches() {
	if d == nil {
		return
	}
	sendDue := func() {
		for _, c := range append([]*watchConn(nil), d.conns...) {
			c.sendDue()
		}
	}
	if d.lag > 0 {
		d.scenario.after(d.lag, sendDue)
	} else {
		sendDue()
	}
}

// watchConn is a gateway's connection to a discovery server.
type watchConn struct {
	server       *discoveryServer
	end          *simenv.End
	process      *gatewayProcess
	in           []byte
	after        int // number of the last event that the gateway has; -1 before its request
	next         int // number of the next event to send; 0: the gateway has not sent its request
	sentBytes    int // bytes sent to the gateway
	arrivedBytes int // of sentBytes, those that have reached the gateway
	marks        []sentMark
	skipped      bool // an event has been left out on this connection
}

// sentMark is the offset in a connection's bytes at which an event ends.
type sentMark struct{ endByte, event int }

func (c *watchConn) Opened()             { c.after = -1 }
func (c *watchConn) Written(int, []byte) {}

func (c *watchConn) Closed(bool) {
	d := c.server
	for i, o := range d.conns {
		if o == c {
			d.conns = append(d.conns[:i:i], d.conns[i+1:]...)
			break
		}
	}
	c.end.Close()
}

func (c *watchConn) Data(data []byte) {
	c.in = append(c.in, data...)
	line, _, isComplete := bytes.Cut(c.in, []byte("\n"))
	if !isComplete || c.next > 0 {
		return
	}
	n, err := strconv.Atoi(string(bytes.TrimPrefix(line, []byte("after "))))
	if err != nil || n < 0 || n > len(c.server.scenario.events) {
		c.server.scenario.checker.violated("protocol", "watch request %q, expected \"after N\" with the number of a published event or 0", line)
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

// sendDue sends the events that are due on the connection.
func (c *watchConn) sendDue() {
	d := c.server
	for c.next > 0 && !d.silent && c.next <= len(d.scenario.events) {
		e := d.scenario.events[c.next-1]
		if d.lag > 0 && d.scenario.sim.Now() < e.publishedAt+d.lag {
			d.scenario.after(e.publishedAt+d.lag-d.scenario.sim.Now(), c.sendDue)
			return
		}
		if d.skipsEvent && !c.skipped && c.next < len(d.scenario.events) {
			c.skipped = true
			c.next++
			continue
		}
		text := string(mustMarshal(e)) + "\n"
		c.send(text)
		c.marks = append(c.marks, sentMark{c.sentBytes, c.next})
		if d.duplicates {
			c.send(text)
		}
		c.next++
	}
}

// breakInEvent sends a part of an event and closes the connection.
func (c *watchConn) breakInEvent() {
	text := mustMarshal(discoveryEvent{Number: c.next, Purge: &purgeEvent{Object: "s1", Issued: c.server.scenario.sim.Unix().UnixMilli()}})
	c.send(string(text[:1+c.server.scenario.randN(len(text)-1)]))
	c.end.Close()
}

// arrived is called with bytes that reach the gateway, and marks the
// gateway's process as notified of each event that is complete.
func (c *watchConn) arrived(data []byte) {
	c.arrivedBytes += len(data)
	for len(c.marks) > 0 && c.marks[0].endByte <= c.arrivedBytes {
		if c.process != nil {
			c.process.markNotified(c.marks[0].event, c.server.scenario.sim.Now())
		}
		c.marks = c.marks[1:]
	}
}

// markNotified records the time from which a process counts as notified of an event. Only the first time counts.
func (p *gatewayProcess) markNotified(number int, at time.Duration) {
	for len(p.notified) <= number {
		p.notified = append(p.notified, 0)
	}
	if p.notified[number] == 0 {
		p.notified[number] = max(1, at)
	}
}
