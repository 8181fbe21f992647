package simenv

import (
	"cmp"
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"foldslip/internal/env"
)

const (
	windowBytes       = 64 << 10 // on their way or unread in one direction of a connection
	partialReadOneIn  = 8        // how often a read, or a segment of an actor, ends at any byte
	partialWriteOneIn = 16       // how often a write does
	firstClientPort   = 20000
	clientPorts       = 40000
)

// addr is an address of the simulated network.
type addr struct{ ip, port string }

// Network is "tcp".
func (a addr) Network() string { return "tcp" }

// String is the address as IP and port.
func (a addr) String() string { return a.ip + ":" + a.port }

// tcpError is an error as package net makes it.
func tcpError(op string, err error) error { return &net.OpError{Op: op, Net: "tcp", Err: err} }

// Conn is a process's end of a connection. It implements env.Conn.
type Conn struct {
	process        *Process
	sim            *Simulation
	number         uint64
	local, remote  addr
	out, in        *direction
	peer           *End
	received       []byte // arrived and not read
	inFlight       int    // bytes that were written and that the peer has not taken
	eof, reset     bool   // by the peer
	closed, fin    bool   // by this end
	discardOnClose bool   // its end drops what has not been delivered
	readDeadline   time.Duration
	writeDeadline  time.Duration
	reader         *task // that waits
	writer         *task // that waits
}

// connect makes the connection between a process and an actor's end.
func (s *Simulation) connect(p *Process, e *End, local, remote addr) *Conn {
	s.Steps++
	c := &Conn{process: p, sim: s, number: e.Number, local: local, remote: remote, peer: e, readDeadline: forever, writeDeadline: forever}
	e.conn = c
	c.out = &direction{sim: s, from: p.host, to: e.Host, arrive: e.arrive}
	c.in = &direction{sim: s, from: e.Host, to: p.host, arrive: c.arrive}
	p.conns = append(p.conns, c)
	return c
}

// remove takes a connection off the process's list.
func (p *Process) remove(c *Conn) {
	if i := slices.Index(p.conns, c); i >= 0 {
		p.conns = append(p.conns[:i:i], p.conns[i+1:]...)
	}
}

// arrive takes a segment that reaches the process.
func (c *Conn) arrive(s segment) {
	if c.closed {
		if len(s.data) > 0 {
			c.out.send(segment{reset: true}) // nobody reads it
		}
		return
	}
	switch {
	case s.reset:
		c.reset = true
		c.received = nil
		c.peer.endArrived()
	case s.fin:
		c.eof = true
		c.peer.endArrived()
	default:
		c.received = append(c.received, s.data...)
		if c.peer.OnArrived != nil {
			c.peer.OnArrived(s.data)
		}
	}
	c.wakeWaiters()
}

func (c *Conn) wakeWaiters() {
	c.sim.wakeIfAny(c.reader)
	c.sim.wakeIfAny(c.writer)
}

// Read reads what has arrived, or waits for it.
func (c *Conn) Read(b []byte) (int, error) {
	c.sim.maybeYield()
	for {
		switch {
		case c.closed:
			return 0, tcpError("read", net.ErrClosed)
		case c.reset:
			return 0, tcpError("read", os.NewSyscallError("read", syscall.ECONNRESET))
		case c.process.isPast(c.readDeadline):
			return 0, tcpError("read", os.ErrDeadlineExceeded)
		case len(c.received) > 0:
			return c.readReceived(b), nil
		case c.eof:
			return 0, io.EOF
		}
		c.reader = c.sim.current
		c.sim.park(c.process.untilDeadline(c.readDeadline))
		c.reader = nil
	}
}

// readReceived reads what has arrived; now and then only a part, as what the kernel has may end at any byte.
func (c *Conn) readReceived(b []byte) int {
	n := c.sim.partialCount(min(len(b), len(c.received)), partialReadOneIn)
	copy(b, c.received[:n])
	c.received = c.received[n:]
	if len(c.received) == 0 {
		c.received = nil
	}
	c.peer.flush()
	c.sim.Note(StepRead, c.process.Name, "", c.stepNumber(n))
	return n
}

// partialCount is n, or now and then less, but not 0.
func (s *Simulation) partialCount(n, oneIn int) int {
	if n > 1 && s.Rand.Uint32()%uint32(oneIn) == 0 {
		return 1 + s.Rand.IntN(n)
	}
	return n
}

// stepNumber is the number of a step in the digest: the connection and the bytes.
func (c *Conn) stepNumber(bytes int) int64 { return int64(c.number)<<32 | int64(bytes) }

// Write writes all of b, and waits for the window where it must.
func (c *Conn) Write(b []byte) (int, error) {
	c.sim.maybeYield()
	written := 0
	for written < len(b) {
		switch {
		case c.closed || c.fin:
			return written, tcpError("write", net.ErrClosed)
		case c.reset:
			return written, tcpError("write", os.NewSyscallError("write", syscall.ECONNRESET))
		case c.process.isPast(c.writeDeadline):
			return written, tcpError("write", os.ErrDeadlineExceeded)
		}
		if n := c.writeNow(b[written:]); n > 0 {
			written += n
			continue
		}
		c.writer = c.sim.current
		c.process.blockedWrites++
		c.sim.park(c.process.untilDeadline(c.writeDeadline))
		c.process.blockedWrites--
		c.process.lastBlocked = c.sim.now
		c.writer = nil
	}
	return written, nil
}

// writeNow writes what the window has room for, or a part of it, and returns the number of bytes.
func (c *Conn) writeNow(b []byte) int {
	n := min(len(b), cmp.Or(c.peer.Window, windowBytes)-c.inFlight)
	if n <= 0 {
		return 0
	}
	n = c.sim.partialCount(n, partialWriteOneIn)
	data := slices.Clone(b[:n])
	c.inFlight += n
	c.sim.Note(StepWrite, c.process.Name, "", c.stepNumber(n))
	c.sim.digest.Write(data)
	c.out.send(segment{data: data})
	if c.peer.handler != nil {
		c.peer.handler.Written(n, data)
	}
	return n
}

// NonBlockingWriter returns a function that writes to a connection without waiting; nil for a connection that is wrapped.
func (p *Process) NonBlockingWriter(conn net.Conn) env.NonBlockingWrite {
	c, ok := conn.(*Conn)
	if !ok {
		return nil
	}
	return func(b []byte) int {
		c.sim.maybeYield()
		if c.closed || c.fin || c.reset {
			return 0
		}
		n := c.writeNow(b)
		if n == 0 {
			c.process.lastBlocked = c.sim.now
		}
		return n
	}
}

// Close sends an end, or a reset where something was not read.
func (c *Conn) Close() error {
	if c.closed {
		return tcpError("close", net.ErrClosed)
	}
	c.sim.Note(StepClose, c.process.Name, "", int64(c.number))
	if c.discardOnClose {
		c.out.dropUndeliverable()
	}
	c.closeWith(len(c.received) > 0 || c.discardOnClose)
	return nil
}

// SetLinger with 0 seconds makes Close send a reset and drop what the network could not deliver, as package net says of a TCPConn. Other
// numbers are as without it.
func (c *Conn) SetLinger(seconds int) error {
	c.discardOnClose = seconds == 0
	return nil
}

// abort closes the connection with a reset.
func (c *Conn) abort() {
	if !c.closed {
		c.closeWith(true)
	}
}

func (c *Conn) closeWith(reset bool) {
	c.closed = true
	c.process.descriptors--
	c.process.remove(c)
	c.received = nil
	if !c.reset && (reset || !c.fin) {
		c.out.send(segment{reset: reset, fin: !reset})
	}
	if c.peer.handler != nil {
		c.peer.handler.Written(-1, nil)
	}
	c.wakeWaiters()
}

// CloseWrite sends an end; the connection can still be read.
func (c *Conn) CloseWrite() error {
	if c.closed || c.fin {
		return tcpError("close", net.ErrClosed)
	}
	c.fin = true
	c.out.send(segment{fin: true})
	return nil
}

// LocalAddr is the process's address.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr is the actor's address.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(t time.Time) error {
	c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets the deadline of reads; one that waits goes on with the new deadline.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.closed {
		return tcpError("set", net.ErrClosed)
	}
	c.readDeadline = c.process.deadline(t)
	c.sim.wakeIfAny(c.reader)
	return nil
}

// SetWriteDeadline sets the deadline of writes; one that waits goes on with the new deadline.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if c.closed {
		return tcpError("set", net.ErrClosed)
	}
	c.writeDeadline = c.process.deadline(t)
	c.sim.wakeIfAny(c.writer)
	return nil
}
