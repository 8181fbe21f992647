package simenv

import (
	"slices"
	"strings"
)

// Handler is an actor's side of a connection; it is called for what arrives there.
type Handler interface {
	// Opened is called when the connection is up.
	Opened()
	// Data brings bytes; b is valid for the call only.
	Data(b []byte)
	// Closed is called when the other side ended or reset the connection, or it never came up.
	Closed(reset bool)
	// Written brings what the process's side has just written, as seen on its wire; n below 0: it closed the connection.
	Written(n int, b []byte)
}

// End is an actor's end of a connection.
type End struct {
	Host    *Host
	Peer    *Host // the process's
	Port    string
	Number  uint64
	Stalled bool // it reads nothing
	Window  int  // bytes from the process that may be on their way or not taken; 0: the usual
	// OnArrived, if it is set, is called with what reaches the process.
	OnArrived func(b []byte)
	// OnEndArrived, if it is set, is called when this side's end or reset reaches the process.
	OnEndArrived func()
	// ResetAfterIn, when above 0, resets the connection after so many more bytes towards the process; ResetAfterOut likewise from it.
	ResetAfterIn, ResetAfterOut int

	sim         *Simulation
	handler     Handler
	conn        *Conn
	unsent      []byte   // past the window
	stalledData [][]byte // arrived while Stalled
	closed      bool
	fin         bool
}

// arrive takes a segment that reaches the actor.
func (e *End) arrive(s segment) {
	if e.closed {
		if len(s.data) > 0 {
			e.conn.in.send(segment{reset: true})
		}
		return
	}
	switch {
	case s.reset:
		e.closed = true
		e.handler.Closed(true)
	case s.fin:
		e.handler.Closed(false)
	case e.resetsWithin(&e.ResetAfterOut, len(s.data)):
		e.handler.Data(s.data[:len(s.data)+e.ResetAfterOut])
		e.Reset()
		e.handler.Closed(true)
	case e.Stalled:
		e.stalledData = append(e.stalledData, s.data)
	default:
		e.conn.inFlight -= len(s.data)
		e.sim.wakeIfAny(e.conn.writer)
		e.handler.Data(s.data)
	}
}

// resetsWithin counts bytes down to a planned reset and reports whether it falls within them; left is then 0 or below.
func (e *End) resetsWithin(left *int, bytes int) bool {
	if *left <= 0 {
		return false
	}
	*left -= bytes
	return *left <= 0
}

// Resume goes on reading after Stalled.
func (e *End) Resume() {
	e.Stalled = false
	stalled := e.stalledData
	e.stalledData = nil
	for _, b := range stalled {
		e.arrive(segment{data: b})
	}
}

// Send writes bytes towards the process; those past the window wait at this side.
func (e *End) Send(b []byte) {
	if e.closed || e.fin {
		return
	}
	e.unsent = append(e.unsent, b...)
	e.flush()
}

// Unsent is how many bytes wait at this side.
func (e *End) Unsent() int { return len(e.unsent) }

// flush sends what the window has room for, and the end after the last byte.
func (e *End) flush() {
	for len(e.unsent) > 0 && !e.closed {
		free := windowBytes - len(e.conn.received) - e.conn.in.inFlightBytes()
		n := min(free, len(e.unsent))
		if n <= 0 {
			return
		}
		n = e.sim.partialCount(n, partialReadOneIn)
		data := slices.Clone(e.unsent[:n])
		e.unsent = e.unsent[n:]
		if len(e.unsent) == 0 {
			e.unsent = nil
		}
		if e.resetsWithin(&e.ResetAfterIn, n) {
			e.conn.in.send(segment{data: data[:n+e.ResetAfterIn]})
			e.Reset()
			e.handler.Closed(true)
			return
		}
		e.conn.in.send(segment{data: data})
	}
	if e.fin && !e.closed && len(e.unsent) == 0 {
		e.closed = true
		e.conn.in.send(segment{fin: true})
	}
}

// Close ends the connection after what was written.
func (e *End) Close() {
	if e.closed || e.fin {
		return
	}
	e.fin = true
	e.flush()
}

// Reset breaks the connection; what has not arrived yet is lost.
func (e *End) Reset() {
	if e.closed || e.conn == nil {
		e.closed = true
		return
	}
	e.closed = true
	e.unsent = nil
	e.conn.in.send(segment{reset: true})
}

func (e *End) endArrived() {
	if e.OnEndArrived != nil {
		e.OnEndArrived()
	}
}

// IsClosed reports whether the connection has ended at this side.
func (e *End) IsClosed() bool { return e.closed }

// IsAccepted reports whether the process has the connection.
func (e *End) IsAccepted() bool { return e.conn != nil && !e.conn.closed }

// Connect has an actor on a host connect to an address. The handler learns the outcome by Opened or Closed.
func (h *Host) Connect(to string, handler Handler) *End {
	s := h.sim
	ip, port, _ := strings.Cut(to, ":")
	s.connections++
	e := &End{Host: h, Port: port, Number: s.connections, sim: s, handler: handler}
	remote := s.hosts[ip]
	if remote == nil {
		return e
	}
	var try func()
	try = func() {
		switch {
		case e.closed || remote.Vanished || h.Vanished:
			return
		case !s.isReachable(h, remote):
			s.After(retransmitAfter, try)
			return
		}
		e.Peer = remote
		result := refused
		if l := remote.listeners[port]; l != nil {
			result = l.connect(e)
		}
		if result != unanswered {
			s.After(s.latency(remote, h), func() { e.connected(result) })
		}
	}
	s.After(s.latency(h, remote), try)
	return e
}

// connected tells the handler the outcome of Connect.
func (e *End) connected(result connectResult) {
	if e.closed {
		return
	}
	if result == accepted {
		e.handler.Opened()
		return
	}
	e.closed = true
	e.handler.Closed(true)
}
