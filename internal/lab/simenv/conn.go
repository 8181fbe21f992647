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
	windowBytes       = 64 << 10 // limit on bytes in flight or unread in one direction of a connection
	partialReadOneIn  = 8        // one in so many reads and segments of an actor ends at a random byte
	partialWriteOneIn = 16       // one in so many writes ends at a random byte
	firstClientPort   = 20000    // lowest port of the side that connects
	clientPorts       = 40000    // number of ports of the side that connects
)

// addr is an address of the simulated network.
type addr struct{ ip, port string }

// Network returns "tcp".
func (a addr) Network() string { return "tcp" }

// String returns the address as IP:port.
func (a addr) String() string { return a.ip + ":" + a.port }

// tcpError returns an error in the form that package net uses.
func tcpError(op string, err error) error { return &net.OpError{Op: op, Net: "tcp", Err: err} }

// Conn is a process's end of a connection to an actor. It implements env.Conn.
type Conn struct {
	process        *Process
	sim            *Simulation
	number         uint64 // number of the connection in the digest
	local, remote  addr
	out, in        *direction
	peer           *End
	received       []byte // bytes that have arrived and have not been read
	inFlight       int    // bytes that were written and that the peer has not read
	eof, reset     bool   // received from the peer
	closed, fin    bool   // this end is closed, or half-closed by CloseWrite
	discardOnClose bool   // Close sends a reset and discards bytes that the network could not deliver
	readDeadline   time.Duration
	writeDeadline  time.Duration
	reader         *task // waiting in Read, or nil
	writer         *task // waiting in Write, or nil
}

// connect creates the connection between a process and an actor's end.
func (s *Simulation) connect(p *Process, e *End, local, remote addr) *Conn {
	s.Steps++
	c := &Conn{process: p, sim: s, number: e.Number, local: local, remote: remote, peer: e, readDeadline: forever, writeDeadline: forever}
	e.conn = c
	c.out = &direction{sim: s, from: p.host, to: e.Host, arrive: e.arrive}
	c.in = &direction{sim: s, from: e.Host, to: p.host, arrive: c.arrive}
	p.conns = append(p.conns, c)
	return c
}

// remove removes a connection from the list of the process.
func (p *Process) remove(c *Conn) {
	if i := slices.Index(p.conns, c); i >= 0 {
		p.conns = append(p.conns[:i:i], p.conns[i+1:]...)
	}
}

// arrive handles a segment that reaches the process.
func (c *Conn) arrive(s segment) {
	if c.closed {
		if len(s.data) > 0 {
			c.out.send(segment{reset: true}) // the data can no longer be read
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

// wakeWaiters wakes the goroutines that wait in Read and Write.
func (c *Conn) wakeWaiters() {
	c.sim.wakeIfAny(c.reader)
	c.sim.wakeIfAny(c.writer)
}

// Read reads bytes that have arrived. It waits if there are none.
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

// readReceived reads bytes that have arrived. Some reads return only
// a part of them, because a read from the kernel may end at any byte.
func (c *Conn) readReceived(b []byte) int {
	n := c.sim.partialCount(min(len(b), len(c.received)), partialReadOneIn)
	copy(b, c.received[:n])
	c.received = c.received[n:]
	if len(c.received) == 0 {
		c.received = nil
	}
	c.peer.flush()
	c.sim.RecordStep(StepRead, c.process.Name, "", c.stepNumber(n))
	return n
}

// partialCount returns n. In one of oneIn cases it returns a random number from 1 to n instead.
func (s *Simulation) partialCount(n, oneIn int) int {
	if n > 1 && s.Rand.Uint32()%uint32(oneIn) == 0 {
		return 1 + s.Rand.IntN(n)
	}
	return n
}

// stepNumber returns the number of a read or write step in the digest.
// It combines the number of the connection and the number of bytes.
func (c *Conn) stepNumber(bytes int) int64 { return int64(c.number)<<32 | int64(bytes) }

// Write writes all of b. It waits while the window is full.
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

// writeNow writes as many bytes as the window allows, or a random part of them, and returns the number written.
func (c *Conn) writeNow(b []byte) int {
	n := min(len(b), cmp.Or(c.peer.Window, windowBytes)-c.inFlight)
	if n <= 0 {
		return 0
	}
	n = c.sim.partialCount(n, partialWriteOneIn)
	data := slices.Clone(b[:n])
	c.inFlight += n
	c.sim.RecordStep(StepWrite, c.process.Name, "", c.stepNumber(n))
	c.sim.digest.Write(data)
	c.out.send(segment{data: data})
	if c.peer.handler != nil {
		c.peer.handler.Written(n, data)
	}
	return n
}

// NonBlockingWriter returns a function that writes to a connection without waiting.
// It returns nil if conn is not a *Conn, which is the case for a wrapped connection.
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

// Close closes the connection. It sends a reset if received bytes have
// not been read or after SetLinger(0), and an end of stream otherwise.
func (c *Conn) Close() error {
	if c.closed {
		return tcpError("close", net.ErrClosed)
	}
	c.sim.RecordStep(StepClose, c.process.Name, "", int64(c.number))
	if c.discardOnClose {
		c.out.dropUndeliverable()
	}
	c.closeWith(len(c.received) > 0 || c.discardOnClose)
	return nil
}

// SetLinger with 0 seconds makes Close send a reset and discard data that the network could
// not deliver, as documented for net.TCPConn. Any other value has no effect on Close.
func (c *Conn) SetLinger(seconds int) error {
	c.discardOnClose = seconds == 0
	return nil
}

// abort closes the connection with a reset, unless it is already closed.
func (c *Conn) abort() {
	if !c.closed {
		c.closeWith(true)
	}
}

// closeWith closes the connection, sends a reset or an end of stream, and releases the descriptor.
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

// CloseWrite sends an end of stream. The connection can still be read.
func (c *Conn) CloseWrite() error {
	if c.closed || c.fin {
		return tcpError("close", net.ErrClosed)
	}
	c.fin = true
	c.out.send(segment{fin: true})
	return nil
}

// LocalAddr returns the process's address.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the actor's address.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets the deadline of reads. It also applies to a read that is already waiting.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.closed {
		return tcpError("set", net.ErrClosed)
	}
	c.readDeadline = c.process.deadline(t)
	c.sim.wakeIfAny(c.reader)
	return nil
}

// SetWriteDeadline sets the deadline of writes. It also applies to a write that is already waiting.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if c.closed {
		return tcpError("set", net.ErrClosed)
	}
	c.writeDeadline = c.process.deadline(t)
	c.sim.wakeIfAny(c.writer)
	return nil
}
