package simenv

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"foldslip/internal/env"
)

const (
	windowBytes         = 64 << 10 // bytes on their way or unread in one direction of a connection
	maxBacklog          = 128      // connections that a listener has not accepted yet
	retransmitAfter     = 120 * time.Millisecond
	bytesPerMicrosecond = 100 // bytes a microsecond
)

// Handler is a party at its end of a connection; it is told what arrives there.
type Handler interface {
	Opened()                 // the connection is up
	Data(b []byte)           // valid for the call only
	Closed(reset bool)       // by the other side, or it never came up
	Written(n int, b []byte) // what the process's side has just written, seen on its wire
}

// segment is something on its way: bytes, an end or a reset.
type segment struct {
	at         time.Duration
	data       []byte
	fin, reset bool
}

// direction is one direction of a connection.
type direction struct {
	sim         *Simulation
	from, to    *Host
	queue       []segment
	lastArrival time.Duration
	delivery    *Event
	arrive      func(s segment)
	dropped     bool
}

func (y *direction) send(s segment) {
	if y.dropped {
		return
	}
	lag := y.sim.latency(y.from, y.to) + time.Duration(len(s.data)/bytesPerMicrosecond)*time.Microsecond
	if s.at = max(y.lastArrival+1, y.sim.now+lag); y.sim.Lockstep {
		s.at = y.sim.now
	}
	y.lastArrival = s.at
	y.queue = append(y.queue, s)
	if y.delivery == nil {
		y.delivery = y.sim.After(s.at-y.sim.now, y.deliver)
	}
}

func (y *direction) deliver() {
	y.delivery = nil
	if !y.sim.isReachable(y.from, y.to) {
		if y.to.Vanished || y.from.Vanished { // for good
			y.dropped, y.queue = true, nil
			return
		}
		y.delivery = y.sim.After(retransmitAfter, y.deliver) // as TCP does
		return
	}
	for len(y.queue) > 0 && y.queue[0].at <= y.sim.now {
		s := y.queue[0]
		y.queue = y.queue[1:]
		y.arrive(s)
	}
	if len(y.queue) > 0 && y.delivery == nil && !y.dropped {
		y.delivery = y.sim.After(y.queue[0].at-y.sim.now, y.deliver)
	}
}

// Conn is a process's end of a connection.
type Conn struct {
	process       *Process
	sim           *Simulation
	number        uint64
	local, remote addr
	out, in       *direction
	peer          *End
	received      []byte // arrived and not read
	inFlight      int    // bytes written and not taken by the peer
	eof, reset    bool   // told by the peer
	closed, fin   bool   // by this side
	readDeadline  time.Duration
	writeDeadline time.Duration
	reader        *task
	writer        *task
}

// End is a party's end of a connection.
type End struct {
	Host        *Host
	Peer        *Host // the process's
	Port        string
	Number      uint64
	handler     Handler
	conn        *Conn
	sim         *Simulation
	unsent      []byte // written, beyond the window
	Stalled     bool   // takes nothing
	Window      int    // bytes from the process that may be on their way or not taken; 0: as usual
	closed      bool
	fin         bool
	stalledData [][]byte
	// Arrived, if set, is told what reaches the process.
	OnArrived func(b []byte)
	// CutIn, when above 0, resets the connection after so many more bytes towards the process; CutOut likewise from it.
	ResetAfterIn, ResetAfterOut int
}

type addr struct{ ip, port string }

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return a.ip + ":" + a.port }

func (w *Simulation) connectPair(p *Process, e *End, local, remote addr) *Conn {
	w.Steps++
	c := &Conn{process: p, sim: w, number: e.Number, local: local, remote: remote, peer: e, readDeadline: -1, writeDeadline: -1}
	e.conn = c
	c.out = &direction{sim: w, from: p.host, to: e.Host, arrive: e.arrive}
	c.in = &direction{sim: w, from: e.Host, to: p.host, arrive: c.arrive}
	p.conns = append(p.conns, c)
	return c
}

// arrive is something reaching the process.
func (c *Conn) arrive(s segment) {
	if c.closed {
		if len(s.data) > 0 {
			c.out.send(segment{reset: true}) // nobody is there to read it
		}
		return
	}
	switch {
	case s.reset:
		c.reset, c.received = true, nil
	case s.fin:
		c.eof = true
	default:
		c.received = append(c.received, s.data...)
		if c.peer.OnArrived != nil {
			c.peer.OnArrived(s.data)
		}
	}
	c.wakeWaiters()
}

func (c *Conn) wakeWaiters() {
	if c.reader != nil {
		c.sim.wake(c.reader, true)
	}
	if c.writer != nil {
		c.sim.wake(c.writer, true)
	}
}

func (c *Conn) Read(b []byte) (int, error) {
	c.sim.maybeYield()
	for {
		switch {
		case c.closed:
			return 0, tcpError("read", net.ErrClosed)
		case c.reset:
			return 0, tcpError("read", os.NewSyscallError("read", syscall.ECONNRESET))
		case c.readDeadline >= 0 && c.sim.now >= c.readDeadline:
			return 0, tcpError("read", os.ErrDeadlineExceeded)
		case len(c.received) > 0:
			n := min(len(b), len(c.received))
			if n > 1 && c.sim.Rand.Uint32()%8 == 0 {
				n = 1 + c.sim.Rand.IntN(n) // what the kernel has by now may end at any byte
			}
			copy(b, c.received[:n])
			if c.received = c.received[n:]; len(c.received) == 0 {
				c.received = nil
			}
			c.peer.flush()
			c.sim.Note(StepRead, c.process.Name, "", int64(c.number)<<32|int64(n))
			return n, nil
		case c.eof:
			return 0, io.EOF
		}
		within := time.Duration(-1)
		if c.readDeadline >= 0 {
			within = c.readDeadline - c.sim.now
		}
		c.reader = c.sim.current
		c.sim.park(within)
		c.reader = nil
	}
}

func (c *Conn) Write(b []byte) (int, error) {
	c.sim.maybeYield()
	done := 0
	for done < len(b) {
		switch {
		case c.closed || c.fin:
			return done, tcpError("write", net.ErrClosed)
		case c.reset:
			return done, tcpError("write", os.NewSyscallError("write", syscall.ECONNRESET))
		case c.writeDeadline >= 0 && c.sim.now >= c.writeDeadline:
			return done, tcpError("write", os.ErrDeadlineExceeded)
		}
		if n := c.writeNow(b[done:]); n > 0 {
			done += n
			continue
		}
		within := time.Duration(-1)
		if c.writeDeadline >= 0 {
			within = c.writeDeadline - c.sim.now
		}
		c.writer = c.sim.current
		c.process.blockedWrites++
		c.sim.park(within)
		c.process.blockedWrites--
		c.process.lastBlocked = c.sim.now
		c.writer = nil
	}
	return done, nil
}

// writeNow writes what goes through at once, or a part of it.
func (c *Conn) writeNow(b []byte) int {
	n := min(len(b), cmp.Or(c.peer.Window, windowBytes)-c.inFlight)
	if n <= 0 {
		return 0
	}
	if n > 1 && c.sim.Rand.Uint32()%16 == 0 {
		n = 1 + c.sim.Rand.IntN(n)
	}
	data := append([]byte(nil), b[:n]...)
	c.inFlight += n
	c.sim.Note(StepWrite, c.process.Name, "", int64(c.number)<<32|int64(n))
	c.sim.digest.Write(data)
	c.out.send(segment{data: data})
	if c.peer.handler != nil {
		c.peer.handler.Written(n, data)
	}
	return n
}

func (p *Process) NonBlockingWriter(conn net.Conn) env.NonBlockingWrite {
	c, ok := conn.(*Conn)
	if !ok { // someone stands between
		return nil
	}
	return func(b []byte) int {
		c.sim.maybeYield()
		if c.closed || c.fin || c.reset {
			return 0
		}
		return c.writeNow(b)
	}
}

// Close sends an end, or a reset where something was not read.
func (c *Conn) Close() error {
	if c.closed {
		return tcpError("close", net.ErrClosed)
	}
	c.sim.Note(StepClose, c.process.Name, "", int64(c.number))
	c.closeWith(len(c.received) > 0)
	return nil
}

func (c *Conn) abort() {
	if !c.closed {
		c.closeWith(true)
	}
}

func (c *Conn) closeWith(rst bool) {
	c.closed = true
	c.process.descriptors--
	for i, o := range c.process.conns {
		if o == c {
			c.process.conns = append(c.process.conns[:i:i], c.process.conns[i+1:]...)
			break
		}
	}
	c.received = nil
	if !c.reset && (rst || !c.fin) {
		c.out.send(segment{reset: rst, fin: !rst})
	}
	if c.peer.handler != nil {
		c.peer.handler.Written(-1, nil)
	}
	c.wakeWaiters()
}

func (c *Conn) CloseWrite() error {
	if c.closed || c.fin {
		return tcpError("close", net.ErrClosed)
	}
	c.fin = true
	c.out.send(segment{fin: true})
	return nil
}

func (c *Conn) LocalAddr() net.Addr  { return c.local }
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

func (c *Conn) deadlineAt(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return max(0, c.process.simTime(t))
}

func (c *Conn) SetDeadline(t time.Time) error {
	c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.closed {
		return tcpError("set", net.ErrClosed)
	}
	c.readDeadline = c.deadlineAt(t)
	if c.reader != nil {
		c.sim.wake(c.reader, true) // it looks again, with the new time
	}
	return nil
}

func (c *Conn) SetWriteDeadline(t time.Time) error {
	if c.closed {
		return tcpError("set", net.ErrClosed)
	}
	c.writeDeadline = c.deadlineAt(t)
	if c.writer != nil {
		c.sim.wake(c.writer, true)
	}
	return nil
}

// arrive is something reaching the party.
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
	default:
		if e.ResetAfterOut > 0 {
			if e.ResetAfterOut -= len(s.data); e.ResetAfterOut <= 0 {
				keep := len(s.data) + e.ResetAfterOut
				e.handler.Data(s.data[:keep])
				e.Reset()
				e.handler.Closed(true)
				return
			}
		}
		if e.Stalled {
			e.stalledData = append(e.stalledData, s.data)
			return
		}
		e.conn.inFlight -= len(s.data)
		if e.conn.writer != nil {
			e.sim.wake(e.conn.writer, true)
		}
		e.handler.Data(s.data)
	}
}

// Resume goes on reading after Stalled.
func (e *End) Resume() {
	e.Stalled = false
	held := e.stalledData
	e.stalledData = nil
	for _, b := range held {
		e.arrive(segment{data: b})
	}
}

// Send writes bytes towards the process; what goes past the window waits at this side.
func (e *End) Send(b []byte) {
	if e.closed || e.fin {
		return
	}
	e.unsent = append(e.unsent, b...)
	e.flush()
}

// Unsent is how many bytes wait at this side.
func (e *End) Unsent() int { return len(e.unsent) }

func (e *End) flush() {
	for len(e.unsent) > 0 && !e.closed {
		room := windowBytes - len(e.conn.received)
		for _, s := range e.conn.in.queue {
			room -= len(s.data)
		}
		n := min(room, len(e.unsent))
		if n <= 0 {
			return
		}
		if n > 1 && e.sim.Rand.Uint32()%8 == 0 {
			n = 1 + e.sim.Rand.IntN(n)
		}
		data := append([]byte(nil), e.unsent[:n]...)
		if e.unsent = e.unsent[n:]; len(e.unsent) == 0 {
			e.unsent = nil
		}
		if e.ResetAfterIn > 0 {
			if e.ResetAfterIn -= n; e.ResetAfterIn <= 0 {
				e.conn.in.send(segment{data: data[:n+e.ResetAfterIn]})
				e.Reset()
				e.handler.Closed(true)
				return
			}
		}
		e.conn.in.send(segment{data: data})
	}
	if e.fin && !e.closed && len(e.unsent) == 0 {
		e.closed = true
		e.conn.in.send(segment{fin: true})
	}
}

// Close ends the connection once what was written has gone.
func (e *End) Close() {
	if e.closed || e.fin {
		return
	}
	e.fin = true
	e.flush()
}

// Reset breaks the connection; what has not arrived yet is lost at the process.
func (e *End) Reset() {
	if e.closed || e.conn == nil {
		e.closed = true
		return
	}
	e.closed, e.unsent = true, nil
	e.conn.in.send(segment{reset: true})
}

// IsClosed tells whether the connection has ended at this side.
func (e *End) IsClosed() bool { return e.closed }

// IsAccepted tells whether the process has accepted the connection.
func (e *End) IsAccepted() bool { return e.conn != nil && !e.conn.closed }

// Serve lets a party listen on a host; accept gives the handler of a connection, or nil to refuse it.
func (h *Host) Serve(port string, accept func(e *End) Handler) {
	h.listeners[port] = actorListener{accept}
}

// StopServing ends that: connections are refused.
func (h *Host) StopServing(port string) { delete(h.listeners, port) }

type actorListener struct{ accept func(*End) Handler }

func (l actorListener) connect(e *End) connectResult {
	if e.handler = l.accept(e); e.handler == nil {
		return refused
	}
	return accepted
}

func (p *Process) Dial(life *env.Lifetime, to string, within time.Duration) (net.Conn, error) {
	w := p.sim
	w.maybeYield()
	ip, port, _ := strings.Cut(to, ":")
	far := w.hosts[ip]
	if !p.acquireDescriptor() {
		return nil, tcpError("dial", os.NewSyscallError("socket", syscall.EMFILE))
	}
	fail := func(err error) (net.Conn, error) {
		p.descriptors--
		return nil, tcpError("dial", err)
	}
	if life.Ended() {
		return fail(errDialCanceled)
	}
	t := w.current
	var made *Conn
	var told connectResult = unanswered
	w.connections++
	e := &End{Host: far, Peer: p.host, Port: port, Number: w.connections, sim: w}
	var try func()
	var pending *Event
	try = func() {
		pending = nil
		if p.killed {
			return
		}
		switch {
		case far == nil || far.Vanished || p.host.Vanished:
			return // no word, ever
		case !w.isReachable(p.host, far):
			pending = w.After(retransmitAfter, try)
			return
		}
		l := far.listeners[port]
		if l == nil {
			told = refused
		} else {
			made = w.connectPair(p, e, addr{p.host.IP, strconv.Itoa(20000 + int(e.Number%40000))}, addr{ip, port})
			if told = l.connect(e); told != accepted {
				p.forgetConn(made)
				made = nil
			}
		}
		if told != unanswered {
			back := w.latency(far, p.host)
			pending = w.After(back, func() { pending = nil; w.wake(t, true) })
		}
	}
	if far != nil {
		pending = w.After(w.latency(p.host, far), try)
	} else {
		told = unanswered
	}
	cancelled := false
	p.openDials++
	drop := life.OnEnd(func() { cancelled = true; w.wake(t, true) })
	ok := w.park(within)
	p.openDials--
	p.lastDialed = w.now
	w.Cancel(pending)
	drop()
	switch {
	case ok && !cancelled && told == accepted:
		w.Note(StepDial, p.Name+" "+to, "", int64(e.Number))
		if !made.reset {
			e.handler.Opened()
		}
		return made, nil
	case made != nil:
		made.abort()
		p.descriptors++ // abort gave the descriptor back, fail does again
	}
	switch {
	case cancelled:
		return fail(errDialCanceled)
	case ok && told == refused:
		return fail(os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	return fail(os.ErrDeadlineExceeded)
}

// forgetConn forgets a connection that never was.
func (p *Process) forgetConn(c *Conn) {
	for i, o := range p.conns {
		if o == c {
			p.conns = append(p.conns[:i:i], p.conns[i+1:]...)
		}
	}
	c.closed = true
}

type listener struct {
	process  *Process
	port     string
	queue    []*Conn
	waiter   *task
	deadline time.Duration // Accept waits until then; below 0: for good
	closed   bool
}

func (p *Process) Listen(at string) (net.Listener, error) {
	ip, port, ok := strings.Cut(at, ":")
	if !ok || ip != p.host.IP {
		return nil, tcpError("listen", fmt.Errorf("%s is no address of %s", at, p.host.IP))
	}
	if p.host.listeners[port] != nil {
		return nil, tcpError("listen", os.NewSyscallError("bind", syscall.EADDRINUSE))
	}
	if !p.acquireDescriptor() {
		return nil, tcpError("listen", os.NewSyscallError("socket", syscall.EMFILE))
	}
	l := &listener{process: p, port: port, deadline: -1}
	p.host.listeners[port] = l
	p.listeners = append(p.listeners, l)
	return l, nil
}

func (l *listener) connect(e *End) connectResult {
	if len(l.queue) >= maxBacklog {
		return unanswered
	}
	c := l.process.sim.connectPair(l.process, e, addr{l.process.host.IP, l.port}, addr{e.Host.IP, strconv.Itoa(20000 + int(e.Number%40000))})
	c.closed = false
	l.queue = append(l.queue, c)
	if l.waiter != nil {
		l.process.sim.wake(l.waiter, true)
	}
	return accepted
}

func (l *listener) Accept() (net.Conn, error) {
	w := l.process.sim
	w.maybeYield()
	for {
		if l.closed {
			return nil, tcpError("accept", net.ErrClosed)
		}
		if l.deadline >= 0 && w.now >= l.deadline {
			return nil, tcpError("accept", os.ErrDeadlineExceeded)
		}
		if len(l.queue) > 0 {
			if !l.process.acquireDescriptor() {
				return nil, tcpError("accept", os.NewSyscallError("accept4", syscall.EMFILE))
			}
			c := l.queue[0]
			l.queue = l.queue[1:]
			w.Note(StepAccept, l.process.Name, "", int64(c.number))
			return c, nil
		}
		within := time.Duration(-1)
		if l.deadline >= 0 {
			within = l.deadline - w.now
		}
		l.waiter = w.current
		w.park(within)
		l.waiter = nil
	}
}

// SetDeadline is as *net.TCPListener has it.
func (l *listener) SetDeadline(t time.Time) error {
	if l.deadline = -1; !t.IsZero() {
		l.deadline = max(0, l.process.simTime(t))
	}
	if l.waiter != nil {
		l.process.sim.wake(l.waiter, true) // it looks again, with the new time
	}
	return nil
}

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
	delete(l.process.host.listeners, l.port)
	l.process.descriptors--
	for i, o := range l.process.listeners {
		if o == l {
			l.process.listeners = append(l.process.listeners[:i:i], l.process.listeners[i+1:]...)
			break
		}
	}
	for _, c := range l.queue { // never accepted
		l.process.descriptors++ // shut gives one back
		c.closeWith(true)
	}
	l.queue = nil
	if l.waiter != nil {
		l.process.sim.wake(l.waiter, true)
	}
}

func (l *listener) Addr() net.Addr { return addr{l.process.host.IP, l.port} }

// Connect lets a party on a host connect to an address. It learns the outcome by Opened or Closed.
func (h *Host) Connect(to string, handler Handler) *End {
	w := h.sim
	ip, port, _ := strings.Cut(to, ":")
	w.connections++
	e := &End{Host: h, Port: port, Number: w.connections, sim: w, handler: handler}
	far := w.hosts[ip]
	var try func()
	try = func() {
		switch {
		case e.closed || far == nil || far.Vanished || h.Vanished:
			return
		case !w.isReachable(h, far):
			w.After(retransmitAfter, try)
			return
		}
		e.Peer = far
		told := refused
		if l := far.listeners[port]; l != nil {
			told = l.connect(e)
		}
		switch told {
		case accepted:
			w.After(w.latency(far, h), func() {
				if !e.closed {
					handler.Opened()
				}
			})
		case refused:
			w.After(w.latency(far, h), func() {
				if !e.closed {
					e.closed = true
					handler.Closed(true)
				}
			})
		}
	}
	if far == nil {
		return e
	}
	w.After(w.latency(h, far), try)
	return e
}
