// Package slowdiscovery is a discovery service in a simulation that writes each line at once, while the line arrives late,
// in pieces, at a bounded rate or never, on some connections or on all. It records what it costs.
//
// A Server lives as long as its simulation, which calls it. Its connections are not bounded: tests check their number.
package slowdiscovery

import (
	"bytes"
	"fmt"
	"time"

	"foldslip/internal/lab/simenv"
)

const (
	// Addr is the address of the service.
	Addr = hostIP + ":" + port

	// Never is the delay of what never arrives.
	Never = -1 * time.Second

	hostIP = "10.7.0.1"
	port   = "8500"

	heartbeatInterval = time.Second
	rateInterval      = 100 * time.Millisecond // between the writes of a connection at a bounded rate
)

// Server is a discovery service in a simulation. Its fields may be changed between two runs of the simulation.
type Server struct {
	Lines []string // the events, each with its number and without a line end
	// DelayOf returns how long what is written to the nth connection takes, counted from 0. Never: it never arrives.
	DelayOf func(conn int) time.Duration
	// Pieces is the number of parts in which a line arrives, at equal intervals until its delay.
	Pieces int
	// BytesPerSecond, if above 0, bounds the rate at which bytes arrive on each connection.
	BytesPerSecond int

	OpenedAt     []time.Duration // when each connection was opened
	WrittenBytes int

	sim   *simenv.Simulation
	conns []*conn
}

// conn is a connection of a gateway.
type conn struct {
	service *Server
	end     *simenv.End
	number  int
	request []byte
	isOpen  bool
	lastDue time.Duration // when the bytes written last arrive
}

// New returns a server with events that are not delayed.
func New(sim *simenv.Simulation, lines ...string) *Server {
	d := &Server{sim: sim, Lines: lines, Pieces: 1, DelayOf: func(int) time.Duration { return 0 }}
	sim.Host(hostIP, "discovery").Serve(port, func(end *simenv.End) simenv.Handler {
		c := &conn{service: d, end: end, number: len(d.conns)}
		d.conns = append(d.conns, c)
		d.OpenedAt = append(d.OpenedAt, sim.Now())
		return c
	})
	d.heartbeat()
	return d
}

// heartbeat writes the number of the last event to all connections, once a second.
func (d *Server) heartbeat() {
	for _, c := range d.conns {
		c.write(fmt.Sprint(len(d.Lines), "\n"))
	}
	d.sim.After(heartbeatInterval, d.heartbeat)
}

// Announce adds an event, given as JSON without its number.
func (d *Server) Announce(event string) {
	d.Lines = append(d.Lines, fmt.Sprintf(`{"no":%d,%s`, len(d.Lines)+1, event[1:]))
	for _, c := range d.conns {
		c.write(d.Lines[len(d.Lines)-1] + "\n")
	}
}

// Opened does nothing: the gateway speaks first.
func (c *conn) Opened() {}

// Written does nothing.
func (c *conn) Written(int, []byte) {}

// Data reads the gateway's request and writes the events after it.
func (c *conn) Data(data []byte) {
	c.request = append(c.request, data...)
	var after int
	if _, err := fmt.Sscanf(string(c.request), "after %d\n", &after); err != nil || !bytes.HasSuffix(c.request, []byte("\n")) {
		return
	}
	c.isOpen = true
	for _, line := range c.service.Lines[after:] {
		c.write(line + "\n")
	}
}

// Closed ends the connection.
func (c *conn) Closed(bool) {
	c.isOpen = false
	c.end.Close()
}

// write writes a line, which arrives after the delay of the connection.
func (c *conn) write(line string) {
	d := c.service
	if !c.isOpen {
		return
	}
	d.WrittenBytes += len(line)
	delay := d.DelayOf(c.number)
	if delay == Never {
		return
	}
	if d.BytesPerSecond > 0 {
		c.writeAtRate(line, delay)
		return
	}
	for piece := range d.Pieces {
		part := line[piece*len(line)/d.Pieces : (piece+1)*len(line)/d.Pieces]
		c.writeAt(part, d.sim.Now()+delay*time.Duration(piece+1)/time.Duration(d.Pieces))
	}
}

// writeAtRate writes a line whose bytes arrive at the rate of the service.
func (c *conn) writeAtRate(line string, delay time.Duration) {
	atOnce := max(1, c.service.BytesPerSecond/int(time.Second/rateInterval))
	for due := c.service.sim.Now() + delay; line != ""; {
		size := min(atOnce, len(line))
		due = max(due, c.lastDue+rateInterval*time.Duration(size)/time.Duration(atOnce))
		c.writeAt(line[:size], due)
		line = line[size:]
	}
}

// writeAt writes bytes that arrive at a time, but not before those that were written earlier.
func (c *conn) writeAt(text string, due time.Duration) {
	c.lastDue = max(due, c.lastDue+time.Microsecond)
	c.service.sim.After(c.lastDue-c.service.sim.Now(), func() {
		if c.isOpen {
			c.end.Send([]byte(text))
		}
	})
}
