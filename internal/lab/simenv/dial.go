package simenv

import (
	"errors"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"foldslip/internal/env"
)

var errDialCanceled = errors.New("operation was canceled")

// dial is a connection attempt of a process.
type dial struct {
	process *Process
	caller  *task // goroutine that waits in Dial
	remote  *Host // nil if no host has the address
	ip      string
	port    string
	end     *End
	conn    *Conn // nil until the attempt is accepted
	result  connectResult
	pending *Event // arrival of the request, or of its answer
}

// Dial connects to an address. It returns the errors of package net.
func (p *Process) Dial(lifetime *env.Lifetime, to string, timeout time.Duration) (net.Conn, error) {
	s := p.sim
	s.maybeYield()
	ip, port, _ := strings.Cut(to, ":")
	if !p.acquireDescriptor() {
		return nil, tcpError("dial", os.NewSyscallError("socket", syscall.EMFILE))
	}
	fail := func(err error) (net.Conn, error) {
		p.descriptors--
		return nil, tcpError("dial", err)
	}
	if lifetime.Ended() {
		return fail(errDialCanceled)
	}
	s.connections++
	d := &dial{process: p, caller: s.current, remote: s.hosts[ip], ip: ip, port: port, result: unanswered}
	d.end = &End{Host: d.remote, Peer: p.host, Port: port, Number: s.connections, sim: s}
	if d.remote != nil {
		d.pending = s.After(s.latency(p.host, d.remote), d.try)
	}
	woken, cancelled := d.wait(lifetime, timeout)
	if woken && !cancelled && d.result == accepted {
		s.RecordStep(StepDial, p.Name+" "+to, "", int64(d.end.Number))
		if !d.conn.reset {
			d.end.handler.Opened()
		}
		return d.conn, nil
	}
	if d.conn != nil {
		d.conn.abort()
		p.descriptors++ // abort has released the descriptor, and fail releases it again
	}
	switch {
	case cancelled:
		return fail(errDialCanceled)
	case woken && d.result == refused:
		return fail(os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	return fail(os.ErrDeadlineExceeded)
}

// wait waits until the answer arrives, the timeout has passed or the lifetime has ended.
func (d *dial) wait(lifetime *env.Lifetime, timeout time.Duration) (woken, cancelled bool) {
	p, s := d.process, d.process.sim
	p.openDials++
	unregister := lifetime.OnEnd(func() {
		cancelled = true
		s.wake(d.caller, true)
	})
	woken = s.park(timeout)
	p.openDials--
	p.lastDialed = s.now
	s.Cancel(d.pending)
	unregister()
	return woken, cancelled
}

// try handles the connection request when it arrives at the remote
// host. If the hosts are partitioned, it tries again later.
func (d *dial) try() {
	p, s := d.process, d.process.sim
	d.pending = nil
	if p.killed {
		return
	}
	if d.remote.Vanished || p.host.Vanished {
		return // the request stays unanswered
	}
	if !s.isReachable(p.host, d.remote) {
		d.pending = s.After(retransmitAfter, d.try)
		return
	}
	d.result = d.connect()
	if d.result == unanswered {
		return
	}
	d.pending = s.After(s.latency(d.remote, p.host), func() {
		d.pending = nil
		s.wake(d.caller, true)
	})
}

// connect passes the request to the listener at the remote port. It returns refused if there is no listener.
func (d *dial) connect() connectResult {
	listener := d.remote.listeners[d.port]
	if listener == nil {
		return refused
	}
	p := d.process
	d.conn = p.sim.connect(p, d.end, addr{p.host.IP, clientPort(d.end)}, addr{d.ip, d.port})
	result := listener.connect(d.end)
	if result != accepted {
		p.remove(d.conn)
		d.conn.closed = true
		d.conn = nil
	}
	return result
}

// clientPort returns the port of the side that connects.
func clientPort(e *End) string { return strconv.Itoa(firstClientPort + int(e.Number%clientPorts)) }
