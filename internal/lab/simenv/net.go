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
	window   = 64 << 10 // bytes on their way or unread in one direction of a connection
	backlog  = 128      // connections that a listener has not accepted yet
	resend   = 120 * time.Millisecond
	netSpeed = 100 // bytes a microsecond
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
	at       time.Duration
	data     []byte
	fin, rst bool
}

// way is one direction of a connection.
type way struct {
	w        *World
	from, to *Host
	queue    []segment
	last     time.Duration
	pump     *Event
	arrive   func(s segment)
	dropped  bool
}

func (y *way) send(s segment) {
	if y.dropped {
		return
	}
	lag := y.w.lag(y.from, y.to) + time.Duration(len(s.data)/netSpeed)*time.Microsecond
	if s.at = max(y.last+1, y.w.now+lag); y.w.Even {
		s.at = y.w.now
	}
	y.last = s.at
	y.queue = append(y.queue, s)
	if y.pump == nil {
		y.pump = y.w.After(s.at-y.w.now, y.deliver)
	}
}

func (y *way) deliver() {
	y.pump = nil
	if !y.w.reach(y.from, y.to) {
		if y.to.Mute || y.from.Mute { // for good
			y.dropped, y.queue = true, nil
			return
		}
		y.pump = y.w.After(resend, y.deliver) // as TCP does
		return
	}
	for len(y.queue) > 0 && y.queue[0].at <= y.w.now {
		s := y.queue[0]
		y.queue = y.queue[1:]
		y.arrive(s)
	}
	if len(y.queue) > 0 && y.pump == nil && !y.dropped {
		y.pump = y.w.After(y.queue[0].at-y.w.now, y.deliver)
	}
}

// Conn is a process's end of a connection.
type Conn struct {
	p             *Proc
	w             *World
	no            uint64
	local, remote addr
	out, in       *way
	peer          *End
	got           []byte // arrived and not read
	flying        int    // bytes written and not taken by the peer
	eof, reset    bool   // told by the peer
	closed, fin   bool   // by this side
	readBy        time.Duration
	writeBy       time.Duration
	reader        *task
	writer        *task
}

// End is a party's end of a connection.
type End struct {
	Host    *Host
	Peer    *Host // the process's
	Port    string
	No      uint64
	h       Handler
	c       *Conn
	w       *World
	waiting []byte // written, beyond the window
	Stalled bool   // takes nothing
	Window  int    // bytes from the process that may be on their way or not taken; 0: as usual
	closed  bool
	fin     bool
	held    [][]byte
	// Arrived, if set, is told what reaches the process.
	Arrived func(b []byte)
	// CutIn, when above 0, resets the connection after so many more bytes towards the process; CutOut likewise from it.
	CutIn, CutOut int
}

type addr struct{ ip, port string }

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return a.ip + ":" + a.port }

func (w *World) pair(p *Proc, e *End, local, remote addr) *Conn {
	w.Steps++
	c := &Conn{p: p, w: w, no: e.No, local: local, remote: remote, peer: e, readBy: -1, writeBy: -1}
	e.c = c
	c.out = &way{w: w, from: p.host, to: e.Host, arrive: e.arrive}
	c.in = &way{w: w, from: e.Host, to: p.host, arrive: c.arrive}
	p.conns = append(p.conns, c)
	return c
}

// arrive is something reaching the process.
func (c *Conn) arrive(s segment) {
	if c.closed {
		if len(s.data) > 0 {
			c.out.send(segment{rst: true}) // nobody is there to read it
		}
		return
	}
	switch {
	case s.rst:
		c.reset, c.got = true, nil
	case s.fin:
		c.eof = true
	default:
		c.got = append(c.got, s.data...)
		if c.peer.Arrived != nil {
			c.peer.Arrived(s.data)
		}
	}
	c.stir()
}

func (c *Conn) stir() {
	if c.reader != nil {
		c.w.wake(c.reader, true)
	}
	if c.writer != nil {
		c.w.wake(c.writer, true)
	}
}

func (c *Conn) Read(b []byte) (int, error) {
	c.w.lapse()
	for {
		switch {
		case c.closed:
			return 0, opError("read", net.ErrClosed)
		case c.reset:
			return 0, opError("read", os.NewSyscallError("read", syscall.ECONNRESET))
		case c.readBy >= 0 && c.w.now >= c.readBy:
			return 0, opError("read", os.ErrDeadlineExceeded)
		case len(c.got) > 0:
			n := min(len(b), len(c.got))
			if n > 1 && c.w.Chance.Uint32()%8 == 0 {
				n = 1 + c.w.Chance.IntN(n) // what the kernel has by now may end at any byte
			}
			copy(b, c.got[:n])
			if c.got = c.got[n:]; len(c.got) == 0 {
				c.got = nil
			}
			c.peer.push()
			c.w.Note(StepRead, c.p.Name, "", int64(c.no)<<32|int64(n))
			return n, nil
		case c.eof:
			return 0, io.EOF
		}
		within := time.Duration(-1)
		if c.readBy >= 0 {
			within = c.readBy - c.w.now
		}
		c.reader = c.w.cur
		c.w.park(within)
		c.reader = nil
	}
}

func (c *Conn) Write(b []byte) (int, error) {
	c.w.lapse()
	done := 0
	for done < len(b) {
		switch {
		case c.closed || c.fin:
			return done, opError("write", net.ErrClosed)
		case c.reset:
			return done, opError("write", os.NewSyscallError("write", syscall.ECONNRESET))
		case c.writeBy >= 0 && c.w.now >= c.writeBy:
			return done, opError("write", os.ErrDeadlineExceeded)
		}
		if n := c.put(b[done:]); n > 0 {
			done += n
			continue
		}
		within := time.Duration(-1)
		if c.writeBy >= 0 {
			within = c.writeBy - c.w.now
		}
		c.writer = c.w.cur
		c.p.blocks++
		c.w.park(within)
		c.p.blocks--
		c.p.blocked = c.w.now
		c.writer = nil
	}
	return done, nil
}

// put writes what goes through at once, or a part of it.
func (c *Conn) put(b []byte) int {
	n := min(len(b), cmp.Or(c.peer.Window, window)-c.flying)
	if n <= 0 {
		return 0
	}
	if n > 1 && c.w.Chance.Uint32()%16 == 0 {
		n = 1 + c.w.Chance.IntN(n)
	}
	data := append([]byte(nil), b[:n]...)
	c.flying += n
	c.w.Note(StepWrite, c.p.Name, "", int64(c.no)<<32|int64(n))
	c.w.digest.Write(data)
	c.out.send(segment{data: data})
	if c.peer.h != nil {
		c.peer.h.Written(n, data)
	}
	return n
}

func (p *Proc) NonBlockingWriter(conn net.Conn) env.NonBlockingWrite {
	c, ok := conn.(*Conn)
	if !ok { // someone stands between
		return nil
	}
	return func(b []byte) int {
		c.w.lapse()
		if c.closed || c.fin || c.reset {
			return 0
		}
		return c.put(b)
	}
}

// Close sends an end, or a reset where something was not read.
func (c *Conn) Close() error {
	if c.closed {
		return opError("close", net.ErrClosed)
	}
	c.w.Note(StepClose, c.p.Name, "", int64(c.no))
	c.shut(len(c.got) > 0)
	return nil
}

func (c *Conn) abort() {
	if !c.closed {
		c.shut(true)
	}
}

func (c *Conn) shut(rst bool) {
	c.closed = true
	c.p.held--
	for i, o := range c.p.conns {
		if o == c {
			c.p.conns = append(c.p.conns[:i:i], c.p.conns[i+1:]...)
			break
		}
	}
	c.got = nil
	if !c.reset && (rst || !c.fin) {
		c.out.send(segment{rst: rst, fin: !rst})
	}
	if c.peer.h != nil {
		c.peer.h.Written(-1, nil)
	}
	c.stir()
}

func (c *Conn) CloseWrite() error {
	if c.closed || c.fin {
		return opError("close", net.ErrClosed)
	}
	c.fin = true
	c.out.send(segment{fin: true})
	return nil
}

func (c *Conn) LocalAddr() net.Addr  { return c.local }
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

func (c *Conn) by(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return max(0, c.p.since(t))
}

func (c *Conn) SetDeadline(t time.Time) error {
	c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.closed {
		return opError("set", net.ErrClosed)
	}
	c.readBy = c.by(t)
	if c.reader != nil {
		c.w.wake(c.reader, true) // it looks again, with the new time
	}
	return nil
}

func (c *Conn) SetWriteDeadline(t time.Time) error {
	if c.closed {
		return opError("set", net.ErrClosed)
	}
	c.writeBy = c.by(t)
	if c.writer != nil {
		c.w.wake(c.writer, true)
	}
	return nil
}

// arrive is something reaching the party.
func (e *End) arrive(s segment) {
	if e.closed {
		if len(s.data) > 0 {
			e.c.in.send(segment{rst: true})
		}
		return
	}
	switch {
	case s.rst:
		e.closed = true
		e.h.Closed(true)
	case s.fin:
		e.h.Closed(false)
	default:
		if e.CutOut > 0 {
			if e.CutOut -= len(s.data); e.CutOut <= 0 {
				keep := len(s.data) + e.CutOut
				e.h.Data(s.data[:keep])
				e.Reset()
				e.h.Closed(true)
				return
			}
		}
		if e.Stalled {
			e.held = append(e.held, s.data)
			return
		}
		e.c.flying -= len(s.data)
		if e.c.writer != nil {
			e.w.wake(e.c.writer, true)
		}
		e.h.Data(s.data)
	}
}

// Resume goes on reading after Stalled.
func (e *End) Resume() {
	e.Stalled = false
	held := e.held
	e.held = nil
	for _, b := range held {
		e.arrive(segment{data: b})
	}
}

// Send writes bytes towards the process; what goes past the window waits at this side.
func (e *End) Send(b []byte) {
	if e.closed || e.fin {
		return
	}
	e.waiting = append(e.waiting, b...)
	e.push()
}

// Waiting is how many bytes wait at this side.
func (e *End) Waiting() int { return len(e.waiting) }

func (e *End) push() {
	for len(e.waiting) > 0 && !e.closed {
		room := window - len(e.c.got)
		for _, s := range e.c.in.queue {
			room -= len(s.data)
		}
		n := min(room, len(e.waiting))
		if n <= 0 {
			return
		}
		if n > 1 && e.w.Chance.Uint32()%8 == 0 {
			n = 1 + e.w.Chance.IntN(n)
		}
		data := append([]byte(nil), e.waiting[:n]...)
		if e.waiting = e.waiting[n:]; len(e.waiting) == 0 {
			e.waiting = nil
		}
		if e.CutIn > 0 {
			if e.CutIn -= n; e.CutIn <= 0 {
				e.c.in.send(segment{data: data[:n+e.CutIn]})
				e.Reset()
				e.h.Closed(true)
				return
			}
		}
		e.c.in.send(segment{data: data})
	}
	if e.fin && !e.closed && len(e.waiting) == 0 {
		e.closed = true
		e.c.in.send(segment{fin: true})
	}
}

// Close ends the connection once what was written has gone.
func (e *End) Close() {
	if e.closed || e.fin {
		return
	}
	e.fin = true
	e.push()
}

// Reset breaks the connection; what has not arrived yet is lost at the process.
func (e *End) Reset() {
	if e.closed || e.c == nil {
		e.closed = true
		return
	}
	e.closed, e.waiting = true, nil
	e.c.in.send(segment{rst: true})
}

// Gone tells whether the connection has ended at this side.
func (e *End) Gone() bool { return e.closed }

// Taken tells whether the process has accepted the connection.
func (e *End) Taken() bool { return e.c != nil && !e.c.closed }

// Serve lets a party listen on a host; accept gives the handler of a connection, or nil to refuse it.
func (h *Host) Serve(port string, accept func(e *End) Handler) { h.serve[port] = partyListener{accept} }

// Unserve ends that: connections are refused.
func (h *Host) Unserve(port string) { delete(h.serve, port) }

type partyListener struct{ accept func(*End) Handler }

func (l partyListener) connect(e *End) verdict {
	if e.h = l.accept(e); e.h == nil {
		return refused
	}
	return taken
}

func (p *Proc) Dial(life *env.Lifetime, to string, within time.Duration) (net.Conn, error) {
	w := p.w
	w.lapse()
	ip, port, _ := strings.Cut(to, ":")
	far := w.hosts[ip]
	if !p.take() {
		return nil, opError("dial", os.NewSyscallError("socket", syscall.EMFILE))
	}
	fail := func(err error) (net.Conn, error) {
		p.held--
		return nil, opError("dial", err)
	}
	if life.Ended() {
		return fail(errCanceled)
	}
	t := w.cur
	var made *Conn
	var told verdict = silent
	w.connections++
	e := &End{Host: far, Peer: p.host, Port: port, No: w.connections, w: w}
	var try func()
	var pending *Event
	try = func() {
		pending = nil
		if p.dead {
			return
		}
		switch {
		case far == nil || far.Mute || p.host.Mute:
			return // no word, ever
		case !w.reach(p.host, far):
			pending = w.After(resend, try)
			return
		}
		l := far.serve[port]
		if l == nil {
			told = refused
		} else {
			made = w.pair(p, e, addr{p.host.IP, strconv.Itoa(20000 + int(e.No%40000))}, addr{ip, port})
			if told = l.connect(e); told != taken {
				p.unpair(made)
				made = nil
			}
		}
		if told != silent {
			back := w.lag(far, p.host)
			pending = w.After(back, func() { pending = nil; w.wake(t, true) })
		}
	}
	if far != nil {
		pending = w.After(w.lag(p.host, far), try)
	} else {
		told = silent
	}
	cancelled := false
	p.dials++
	drop := life.OnEnd(func() { cancelled = true; w.wake(t, true) })
	ok := w.park(within)
	p.dials--
	p.dialled = w.now
	w.Drop(pending)
	drop()
	switch {
	case ok && !cancelled && told == taken:
		w.Note(StepDial, p.Name+" "+to, "", int64(e.No))
		if !made.reset {
			e.h.Opened()
		}
		return made, nil
	case made != nil:
		made.abort()
		p.held++ // abort gave the descriptor back, fail does again
	}
	switch {
	case cancelled:
		return fail(errCanceled)
	case ok && told == refused:
		return fail(os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	return fail(os.ErrDeadlineExceeded)
}

// unpair forgets a connection that never was.
func (p *Proc) unpair(c *Conn) {
	for i, o := range p.conns {
		if o == c {
			p.conns = append(p.conns[:i:i], p.conns[i+1:]...)
		}
	}
	c.closed = true
}

type listener struct {
	p      *Proc
	port   string
	queue  []*Conn
	wait   *task
	by     time.Duration // Accept waits until then; below 0: for good
	closed bool
}

func (p *Proc) Listen(at string) (net.Listener, error) {
	ip, port, ok := strings.Cut(at, ":")
	if !ok || ip != p.host.IP {
		return nil, opError("listen", fmt.Errorf("%s is no address of %s", at, p.host.IP))
	}
	if p.host.serve[port] != nil {
		return nil, opError("listen", os.NewSyscallError("bind", syscall.EADDRINUSE))
	}
	if !p.take() {
		return nil, opError("listen", os.NewSyscallError("socket", syscall.EMFILE))
	}
	l := &listener{p: p, port: port, by: -1}
	p.host.serve[port] = l
	p.listens = append(p.listens, l)
	return l, nil
}

func (l *listener) connect(e *End) verdict {
	if len(l.queue) >= backlog {
		return silent
	}
	c := l.p.w.pair(l.p, e, addr{l.p.host.IP, l.port}, addr{e.Host.IP, strconv.Itoa(20000 + int(e.No%40000))})
	c.closed = false
	l.queue = append(l.queue, c)
	if l.wait != nil {
		l.p.w.wake(l.wait, true)
	}
	return taken
}

func (l *listener) Accept() (net.Conn, error) {
	w := l.p.w
	w.lapse()
	for {
		if l.closed {
			return nil, opError("accept", net.ErrClosed)
		}
		if l.by >= 0 && w.now >= l.by {
			return nil, opError("accept", os.ErrDeadlineExceeded)
		}
		if len(l.queue) > 0 {
			if !l.p.take() {
				return nil, opError("accept", os.NewSyscallError("accept4", syscall.EMFILE))
			}
			c := l.queue[0]
			l.queue = l.queue[1:]
			w.Note(StepAccept, l.p.Name, "", int64(c.no))
			return c, nil
		}
		within := time.Duration(-1)
		if l.by >= 0 {
			within = l.by - w.now
		}
		l.wait = w.cur
		w.park(within)
		l.wait = nil
	}
}

// SetDeadline is as *net.TCPListener has it.
func (l *listener) SetDeadline(t time.Time) error {
	if l.by = -1; !t.IsZero() {
		l.by = max(0, l.p.since(t))
	}
	if l.wait != nil {
		l.p.w.wake(l.wait, true) // it looks again, with the new time
	}
	return nil
}

func (l *listener) Close() error {
	if l.closed {
		return opError("close", net.ErrClosed)
	}
	l.shut()
	return nil
}

func (l *listener) shut() {
	if l.closed {
		return
	}
	l.closed = true
	delete(l.p.host.serve, l.port)
	l.p.held--
	for i, o := range l.p.listens {
		if o == l {
			l.p.listens = append(l.p.listens[:i:i], l.p.listens[i+1:]...)
			break
		}
	}
	for _, c := range l.queue { // never accepted
		l.p.held++ // shut gives one back
		c.shut(true)
	}
	l.queue = nil
	if l.wait != nil {
		l.p.w.wake(l.wait, true)
	}
}

func (l *listener) Addr() net.Addr { return addr{l.p.host.IP, l.port} }

// Connect lets a party on a host connect to an address. It learns the outcome by Opened or Closed.
func (h *Host) Connect(to string, handler Handler) *End {
	w := h.w
	ip, port, _ := strings.Cut(to, ":")
	w.connections++
	e := &End{Host: h, Port: port, No: w.connections, w: w, h: handler}
	far := w.hosts[ip]
	var try func()
	try = func() {
		switch {
		case e.closed || far == nil || far.Mute || h.Mute:
			return
		case !w.reach(h, far):
			w.After(resend, try)
			return
		}
		e.Peer = far
		told := refused
		if l := far.serve[port]; l != nil {
			told = l.connect(e)
		}
		switch told {
		case taken:
			w.After(w.lag(far, h), func() {
				if !e.closed {
					handler.Opened()
				}
			})
		case refused:
			w.After(w.lag(far, h), func() {
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
	w.After(w.lag(h, far), try)
	return e
}
