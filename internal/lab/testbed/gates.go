package testbed

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"foldslip/internal/env"
)

// clientReadBuffer holds all that a test's client sends ahead, whatever is read of it.
const clientReadBuffer = 1 << 20

// GatedEnv is the system's environment with gates in it: what waits at a gate goes on once the test sends to it, and no longer waits once
// the test closes it. A nil gate is open.
type GatedEnv struct {
	*env.System
	DialGate       chan bool    // each connection to a cache, before it is dialled
	AcceptGate     chan bool    // each Accept
	ReadGate       chan bool    // each read of a client's connection
	ReadWaiting    chan bool    // receives for each read that waits at ReadGate
	IdleReadGate   chan bool    // each read of a client's connection without a deadline, as while a lookup is open
	WriteGate      chan bool    // each write to a cache
	WriteWaiting   chan bool    // receives for each write that waits at WriteGate
	Unblock        chan bool    // caches take nothing, not a byte, until it is closed
	AcceptFailures atomic.Int32 // so many Accepts fail, as without a descriptor
}

// Dial connects to a cache.
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

// NonBlockingWriter returns nil where writes are gated, so that they wait, and takes nothing while caches are blocked.
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

// blockedWriter is a connection that takes nothing, and whose Write waits, until it is unblocked.
type blockedWriter struct {
	net.Conn
	gates *GatedEnv
}

// Write waits until the connection is unblocked.
func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.gates.Unblock
	return w.Conn.Write(b)
}

// gatedWriter is a connection whose peer takes nothing until the gate lets it.
type gatedWriter struct {
	net.Conn
	gates *GatedEnv
}

// Write waits at the gate.
func (w *gatedWriter) Write(b []byte) (int, error) {
	w.gates.WriteWaiting <- true
	<-w.gates.WriteGate
	return w.Conn.Write(b)
}

// gatedListener accepts clients through the gates.
type gatedListener struct {
	*net.TCPListener
	gates *GatedEnv
}

// Accept waits at the gate and gives the connection those of its reads.
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

// gatedReader is a connection whose reads wait at the gate.
type gatedReader struct {
	*net.TCPConn
	gates *GatedEnv
}

// Read waits at the gate.
func (r *gatedReader) Read(b []byte) (int, error) {
	r.gates.ReadWaiting <- true
	<-r.gates.ReadGate
	return r.TCPConn.Read(b)
}

// gatedIdleReader is a connection whose reads without a deadline wait at the gate.
type gatedIdleReader struct {
	*net.TCPConn
	gates       *GatedEnv
	hasDeadline atomic.Bool
}

// SetReadDeadline notes whether there is a deadline.
func (r *gatedIdleReader) SetReadDeadline(deadline time.Time) error {
	r.hasDeadline.Store(!deadline.IsZero())
	return r.TCPConn.SetReadDeadline(deadline)
}

// Read waits at the gate if there is no deadline.
func (r *gatedIdleReader) Read(b []byte) (int, error) {
	if !r.hasDeadline.Load() {
		<-r.gates.IdleReadGate
	}
	return r.TCPConn.Read(b)
}
