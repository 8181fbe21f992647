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

const maxBacklog = 128 // connections per listener that have not been accepted yet

// ErrAddress is returned by Listen for an address that the host does not have.
var ErrAddress = errors.New("address is not assigned to the host")

// listener is a process's listener. It implements net.Listener.
type listener struct {
	process  *Process
	port     string
	queue    []*Conn       // connections that have not been accepted
	waiter   *task         // waiting in Accept, or nil
	deadline time.Duration // of Accept
	closed   bool
}

// Listen returns a listener on an address of the process's host.
func (p *Process) Listen(address string) (net.Listener, error) {
	ip, port, ok := strings.Cut(address, ":")
	if !ok || ip != p.host.IP {
		return nil, tcpError("listen", fmt.Errorf("address %s on host %s: %w", address, p.host.IP, ErrAddress))
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

// connect queues a connection. If the queue is full, the connection attempt stays unanswered.
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

// Accept returns the next connection. It waits if there is none.
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

// acceptFirst accepts the connection that has waited longest.
func (l *listener) acceptFirst() (net.Conn, error) {
	p := l.process
	if !p.acquireDescriptor() {
		return nil, tcpError("accept", os.NewSyscallError("accept4", syscall.EMFILE))
	}
	c := l.queue[0]
	l.queue = l.queue[1:]
	p.sim.RecordStep(StepAccept, p.Name, "", int64(c.number))
	return c, nil
}

// SetDeadline sets the deadline of Accept, as *net.TCPListener does. It also applies to a call that is already waiting.
func (l *listener) SetDeadline(t time.Time) error {
	l.deadline = l.process.deadline(t)
	l.process.sim.wakeIfAny(l.waiter)
	return nil
}

// Close closes the listener and resets the connections that were not accepted.
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
		// closeWith releases a descriptor, but a connection that was not accepted has none.
		p.descriptors++
		c.closeWith(true)
	}
	l.queue = nil
	p.sim.wakeIfAny(l.waiter)
}

// Addr returns the address that the listener listens on.
func (l *listener) Addr() net.Addr { return addr{l.process.host.IP, l.port} }
