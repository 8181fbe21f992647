package testbed

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"foldslip/internal/env"
)

// The crossings of docs/ending.md on loopback: the real front and links, with stand-in caches, on a ground that holds the exact
// instant. What is held goes on by a step of the story, never by the passing of time.

// GatedEnv is the system's ground with gates in it; a nil gate is open.
type GatedEnv struct {
	*env.System
	DialGate       chan bool    // each connection to a cache waits for one
	ReadGate       chan bool    // each read of a client's connection waits for one
	ReadWaiting    chan bool    // told of each read that waits
	AcceptGate     chan bool    // each Accept waits for one
	WriteGate      chan bool    // each write to a cache waits for one
	WriteWaiting   chan bool    // told of each write that waits
	Unblock        chan bool    // caches take nothing, not a byte, until it is closed
	AcceptFailures atomic.Int32 // so many Accepts fail, as without a descriptor
	IdleReadGate   chan bool    // each read of a client whose lookup is open waits for one
}

func (h *GatedEnv) Dial(life *env.Lifetime, addr string, within time.Duration) (net.Conn, error) {
	if h.DialGate != nil {
		<-h.DialGate
	}
	c, err := h.System.Dial(life, addr, within)
	if err == nil && h.WriteGate != nil {
		return &gatedWriter{c, h}, nil
	}
	if err == nil && h.Unblock != nil {
		return &blockedWriter{c, h}, nil
	}
	return c, err
}

func (h *GatedEnv) NonBlockingWriter(c net.Conn) env.NonBlockingWrite {
	if h.WriteGate != nil {
		return nil
	}
	if d, ok := c.(*blockedWriter); ok {
		direct := h.System.NonBlockingWriter(d.Conn)
		return func(b []byte) int {
			select {
			case <-h.Unblock:
				return direct(b)
			default:
				return 0
			}
		}
	}
	return h.System.NonBlockingWriter(c)
}

// blockedWriter is a connection that takes nothing at once, and whose Write waits, until the gate is gone.
type blockedWriter struct {
	net.Conn
	env *GatedEnv
}

func (d *blockedWriter) Write(b []byte) (int, error) {
	<-d.env.Unblock
	return d.Conn.Write(b)
}

// gatedWriter is a connection whose peer takes nothing until the gate opens.
type gatedWriter struct {
	net.Conn
	env *GatedEnv
}

func (s *gatedWriter) Write(b []byte) (int, error) {
	s.env.WriteWaiting <- true
	<-s.env.WriteGate
	return s.Conn.Write(b)
}

type gatedListener struct {
	*net.TCPListener
	env *GatedEnv
}

func (g gatedListener) Accept() (net.Conn, error) {
	if g.env.AcceptGate != nil {
		<-g.env.AcceptGate
	}
	if g.env.AcceptFailures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	c, err := g.TCPListener.Accept()
	if err == nil && g.env.IdleReadGate != nil {
		c.(*net.TCPConn).SetReadBuffer(1 << 20)
		return &gatedIdleReader{TCPConn: c.(*net.TCPConn), env: g.env}, nil
	}
	if err == nil && g.env.ReadGate != nil {
		return &gatedReader{c.(*net.TCPConn), g.env}, nil
	}
	return c, err
}

// gatedIdleReader is a connection whose reads without a deadline, as while a lookup is open, wait for the gate.
type gatedIdleReader struct {
	*net.TCPConn
	env         *GatedEnv
	hasDeadline atomic.Bool
}

func (i *gatedIdleReader) SetReadDeadline(at time.Time) error {
	i.hasDeadline.Store(!at.IsZero())
	return i.TCPConn.SetReadDeadline(at)
}

func (i *gatedIdleReader) Read(b []byte) (int, error) {
	if !i.hasDeadline.Load() {
		<-i.env.IdleReadGate
	}
	return i.TCPConn.Read(b)
}

type gatedReader struct {
	*net.TCPConn
	env *GatedEnv
}

func (s *gatedReader) Read(b []byte) (int, error) {
	s.env.ReadWaiting <- true
	<-s.env.ReadGate
	return s.TCPConn.Read(b)
}
