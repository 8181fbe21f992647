package simenv

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

const maxBacklog = 128 // connections that a listener has not accepted yet

// ErrAddress is the error of Listen for an address that the host does not have.
var ErrAddress = errors.New("the host does not have the address")

// listener is a process's listener. It implements net.Listener.
type listener struct {
	process  *Process
	port     string
	queue    []*Conn
	waiter   *task         // in Accept
	deadline time.Duration // of Accept
	closed   bool
}

// Listen listens at an address of the process's host.
func (p *Process) Listen(address string) (net.Listener, error) {
	ip, port, ok := strings.Cut(address, ":")
	if !ok || ip != p.host.IP {
		return nil, tcpError("listen", fmt.Errorf("%s at %s: %w", address, p.host.IP, ErrAddress))
	}
	if p.host.listeners[port] != nil {
		return nil, tcpError("listen", os.NewSyscallError("bind", syscall.EADDRINUSE))
	}
	if !p.acquireDescriptor() {
		return nil, tcpError("listen", os.NewSyscallError("socket", syscall.EMFILE))
	}
	l := &listener{process: p, port: port, deadline: forever}
	p.host.listeners[port] = l
	p.listeners = append(p.listeners, l)
	return l, nil
}

// connect queues a connection, or leaves it without an answer where too many wait.
func (l *listener) connect(e *End) connectResult {
	if len(l.queue) >= maxBacklog {
		return unanswered
	}
	p := l.process
	c := p.sim.connect(p, e, addr{p.host.IP, l.port}, addr{e.Host.IP, clientPort(e)})
	l.queue = append(l.queue, c)
	p.sim.wakeIfAny(l.waiter)
	return accepted
}

// Accept returns the next connection, or waits for one.
func (l *listener) Accept() (net.Conn, error) {
	p, s := l.process, l.process.sim
	s.maybeYield()
	for {
		switch {
		case l.closed:
			return nil, tcpError("accept", net.ErrClosed)
		case p.isPast(l.deadline):
			return nil, tcpError("accept", os.ErrDeadlineExceeded)
		case len(l.queue) > 0:
			return l.acceptFirst()
		}
		l.waiter = s.current
		s.park(p.untilDeadline(l.deadline))
		l.waiter = nil
	}
}

func (l *listener) acceptFirst() (net.Conn, error) {
	p := l.process
	if !p.acquireDescriptor() {
		return nil, tcpError("accept", os.NewSyscallError("accept4", syscall.EMFILE))
	}
	c := l.queue[0]
	l.queue = l.queue[1:]
	p.sim.Note(StepAccept, p.Name, "", int64(c.number))
	return c, nil
}

// SetDeadline sets the deadline of Accept, as *net.TCPListener does; a call that waits goes on with the new deadline.
func (l *listener) SetDeadline(t time.Time) error {
	l.deadline = l.process.deadline(t)
	l.process.sim.wakeIfAny(l.waiter)
	return nil
}

// Close closes the listener, and resets the connections that were not accepted.
func (l *listener) Close() error {
	if l.closed {
		return tcpError("close", net.ErrClosed)
	}
	l.closeAll()
	return nil
}

func (l *listener) closeAll() {
	if l.closed {
		return
	}
	l.closed = true
	p := l.process
	delete(p.host.listeners, l.port)
	p.descriptors--
	if i := slices.Index(p.listeners, l); i >= 0 {
		p.listeners = append(p.listeners[:i:i], p.listeners[i+1:]...)
	}
	for _, c := range l.queue {
		p.descriptors++ // it had none, and closeWith gives one back
		c.closeWith(true)
	}
	l.queue = nil
	p.sim.wakeIfAny(l.waiter)
}

// Addr is the address that the listener listens at.
func (l *listener) Addr() net.Addr { return addr{l.process.host.IP, l.port} }
