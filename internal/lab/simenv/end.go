package simenv

import (
	"slices"
	"strings"
)

// Handler is the actor's side of a connection. The simulation calls it for each event on the connection.
type Handler interface {
	// Opened is called when the connection is established.
	Opened()
	// Data is called with bytes that arrive. b is valid only during the call.
	Data(b []byte)
	// Closed is called when the process closes or resets its end, when a connection attempt
	// is refused, and after a reset that was planned by ResetAfterIn or ResetAfterOut.
	Closed(reset bool)
	// Written is called with bytes that the process has just written, before they
	// arrive. A negative n means that the process has closed the connection.
	Written(n int, b []byte)
}

// End is an actor's end of a connection.
type End struct {
	Host    *Host
	Peer    *Host // host of the process
	Port    string
	Number  uint64 // number of the connection
	Stalled bool   // the actor reads nothing
	Window  int    // limit on bytes from the process in flight or unread; 0 means windowBytes
	// OnArrived, if set, is called with the bytes that reach the process.
	OnArrived func(b []byte)
	// OnEndArrived, if set, is called when the end of stream or the reset of this end reaches the process.
	OnEndArrived func()
	// ResetAfterIn, if above 0, resets the connection after that many more bytes
	// towards the process. ResetAfterOut does the same for bytes from the process.
	ResetAfterIn, ResetAfterOut int

	sim         *Simulation
	handler     Handler
	conn        *Conn
	unsent      []byte   // queued because the window is full
	stalledData [][]byte // arrived while Stalled was set
	closed      bool
	fin         bool
}

// arrive handles a segment that reaches the actor.
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

// resetsWithin subtracts bytes from left, the number of bytes before a planned reset. It reports whether
// the reset falls within these bytes. In that case -left is the number of bytes after the reset.
func (e *End) resetsWithin(left *int, bytes int) bool {
	if *left <= 0 {
		return false
	}
	*left -= bytes
	return *left <= 0
}

// Resume clears Stalled and passes the data that arrived in the meantime to the handler.
func (e *End) Resume() {
	e.Stalled = false
	stalled := e.stalledData
	e.stalledData = nil
	for _, b := range stalled {
		e.arrive(segment{data: b})
	}
}

// Send sends bytes to the process. Bytes that exceed the window are queued at this end.
func (e *End) Send(b []byte) {
	if e.closed || e.fin {
		return
	}
	e.unsent = append(e.unsent, b...)
	e.flush()
}

// Unsent returns the number of bytes that are queued at this end.
func (e *End) Unsent() int { return len(e.unsent) }

// flush sends queued bytes as far as the window allows, and the end of stream after the last byte.
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

// Close ends the connection after the queued bytes.
func (e *End) Close() {
	if e.closed || e.fin {
		return
	}
	e.fin = true
	e.flush()
}

// Reset resets the connection. Queued bytes are lost, and so are
// bytes that the process has not read when the reset arrives.
func (e *End) Reset() {
	if e.closed || e.conn == nil {
		e.closed = true
		return
	}
	e.closed = true
	e.unsent = nil
	e.conn.in.send(segment{reset: true})
}

// endArrived calls OnEndArrived, if it is set.
func (e *End) endArrived() {
	if e.OnEndArrived != nil {
		e.OnEndArrived()
	}
}

// IsClosed reports whether this end is closed.
func (e *End) IsClosed() bool { return e.closed }

// IsAccepted reports whether the process has an open end of the
// connection. The connection may still wait in the listener's queue.
func (e *End) IsAccepted() bool { return e.conn != nil && !e.conn.closed }

// Connect connects an actor on the host to an address. It calls Opened or Closed of
// the handler with the outcome. It calls neither if the attempt stays unanswered.
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

// connected reports the outcome of Connect to the handler.
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
