package testbed

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"foldslip/internal/env"
)

// clientReadBuffer is the size in bytes of the receive buffer of a client connection whose reads wait at
// IdleReadGate. It holds everything that a test client sends in advance, even if the server reads none of it.
const clientReadBuffer = 1 << 20

// GatedEnv is the system environment with gates. A call that waits at a gate continues when the test
// sends to the gate. When the test closes a gate, calls no longer wait there. A nil gate is open.
type GatedEnv struct {
	*env.System
	DialGate       chan bool    // each dial of a cache
	AcceptGate     chan bool    // each Accept
	ReadGate       chan bool    // each read from a client connection
	ReadWaiting    chan bool    // receives a value for each read that waits at ReadGate
	IdleReadGate   chan bool    // each read without a deadline from a client connection, as while a lookup is open
	WriteGate      chan bool    // each write to a cache
	WriteWaiting   chan bool    // receives a value for each write that waits at WriteGate
	Unblock        chan bool    // until it is closed, connections to caches accept no bytes
	AcceptFailures atomic.Int32 // number of Accept calls that still fail with EMFILE, as without a free descriptor
}

// Dial connects to a cache. It waits at DialGate before it dials.
func (g *GatedEnv) Dial(lifetime *env.Lifetime, addr string, timeout time.Duration) (net.Conn, error) {
	if g.DialGate != nil {
		<-g.DialGate
	}
	conn, err := g.System.Dial(lifetime, addr, timeout)
	if err == nil && g.WriteGate != nil {
		return &gatedWriter{conn, g}, nil
	}
	if err == nil && g.Unblock != nil {
		return &blockedWriter{conn, g}, nil
	}
	return conn, err
}

// NonBlockingWriter returns nil if writes are gated, so that the caller uses Write, which
// waits at the gate. While caches are blocked, the returned function writes no bytes.
func (g *GatedEnv) NonBlockingWriter(conn net.Conn) env.NonBlockingWrite {
	if g.WriteGate != nil {
		return nil
	}
	blocked, ok := conn.(*blockedWriter)
	if !ok {
		return g.System.NonBlockingWriter(conn)
	}
	write := g.System.NonBlockingWriter(blocked.Conn)
	return func(b []byte) int {
		select {
		case <-g.Unblock:
			return write(b)
		default:
			return 0
		}
	}
}

// blockedWriter is a connection to a cache that accepts no bytes until Unblock is closed.
type blockedWriter struct {
	net.Conn
	gates *GatedEnv
}

// Write waits until Unblock is closed.
func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.gates.Unblock
	return w.Conn.Write(b)
}

// gatedWriter is a connection whose writes wait at WriteGate.
type gatedWriter struct {
	net.Conn
	gates *GatedEnv
}

// Write waits at WriteGate.
func (w *gatedWriter) Write(b []byte) (int, error) {
	w.gates.WriteWaiting <- true
	<-w.gates.WriteGate
	return w.Conn.Write(b)
}

// gatedListener accepts client connections and gates their reads.
type gatedListener struct {
	*net.TCPListener
	gates *GatedEnv
}

// Accept waits at AcceptGate. The connection that it returns waits at ReadGate or IdleReadGate if one of them is set.
func (l gatedListener) Accept() (net.Conn, error) {
	if l.gates.AcceptGate != nil {
		<-l.gates.AcceptGate
	}
	if l.gates.AcceptFailures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	tcp := conn.(*net.TCPConn)
	if l.gates.IdleReadGate != nil {
		tcp.SetReadBuffer(clientReadBuffer)
		return &gatedIdleReader{TCPConn: tcp, gates: l.gates}, nil
	}
	if l.gates.ReadGate != nil {
		return &gatedReader{tcp, l.gates}, nil
	}
	return conn, nil
}

// gatedReader is a connection whose reads wait at ReadGate.
type gatedReader struct {
	*net.TCPConn
	gates *GatedEnv
}

// Read waits at ReadGate.
func (r *gatedReader) Read(b []byte) (int, error) {
	r.gates.ReadWaiting <- true
	<-r.gates.ReadGate
	return r.TCPConn.Read(b)
}

// gatedIdleReader is a connection whose reads without a deadline wait at IdleReadGate.
type gatedIdleReader struct {
	*net.TCPConn
	gates       *GatedEnv
	hasDeadline atomic.Bool
}

// SetReadDeadline sets the deadline and records whether there is one.
func (r *gatedIdleReader) SetReadDeadline(deadline time.Time) error {
	r.hasDeadline.Store(!deadline.IsZero())
	return r.TCPConn.SetReadDeadline(deadline)
}

// Read waits at IdleReadGate if there is no deadline.
func (r *gatedIdleReader) Read(b []byte) (int, error) {
	if !r.hasDeadline.Load() {
		<-r.gates.IdleReadGate
	}
	return r.TCPConn.Read(b)
}
