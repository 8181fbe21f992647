package scenario

import (
	"errors"
	"net"
	"os"
	"time"

	"foldslip/internal/env"
)

// faultyEnvironment wraps the environment of a process to inject faults. A nil field
// leaves its part of the environment unchanged.
type faultyEnvironment struct {
	env.Environment
	wrapConn          func(c env.Conn, dialled bool) env.Conn
	wrapTimer         func(t env.Timer) env.Timer
	wrapGroup         func(g env.Group) env.Group
	wrapSignals       func(handler func(env.Signal)) func(env.Signal)
	changeDescriptors func(n uint64) uint64
	changeFile        func(text []byte) []byte
}

func (e *faultyEnvironment) Dial(life *env.Lifetime, addr string, within time.Duration) (net.Conn, error) {
	c, err := e.Environment.Dial(life, addr, within)
	if err == nil && e.wrapConn != nil {
		return e.wrapConn(c.(env.Conn), true), nil
	}
	return c, err
}

// faultyListener wraps each connection that it accepts with the wrapConn function of its environment.
type faultyListener struct {
	net.Listener
	environment *faultyEnvironment
}

func (l faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.environment.wrapConn != nil {
		return l.environment.wrapConn(c.(env.Conn), false), nil
	}
	return c, err
}

func (l faultyListener) SetDeadline(at time.Time) error {
	return l.Listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(at)
}

func (e *faultyEnvironment) Listen(addr string) (net.Listener, error) {
	l, err := e.Environment.Listen(addr)
	return faultyListener{l, e}, err
}

func (e *faultyEnvironment) AfterFunc(d time.Duration, f func()) env.Timer {
	t := e.Environment.AfterFunc(d, f)
	if e.wrapTimer != nil {
		return e.wrapTimer(t)
	}
	return t
}

func (e *faultyEnvironment) NewGroup() env.Group {
	if e.wrapGroup != nil {
		return e.wrapGroup(e.Environment.NewGroup())
	}
	return e.Environment.NewGroup()
}

func (e *faultyEnvironment) OnSignal(handler func(env.Signal)) func() {
	if e.wrapSignals != nil {
		handler = e.wrapSignals(handler)
	}
	return e.Environment.OnSignal(handler)
}

func (e *faultyEnvironment) ReadFile(path string) ([]byte, error) {
	text, err := e.Environment.ReadFile(path)
	if e.changeFile != nil {
		text = e.changeFile(text)
	}
	return text, err
}

func (e *faultyEnvironment) DescriptorLimit() uint64 {
	if e.changeDescriptors != nil {
		return e.changeDescriptors(e.Environment.DescriptorLimit())
	}
	return e.Environment.DescriptorLimit()
}

// faultyConn wraps a connection to inject faults into its reads, its writes and
// its close. A nil field leaves them unchanged.
type faultyConn struct {
	env.Conn
	write     func(c env.Conn, b []byte) (int, error)
	read      func(b []byte) []byte // replaces the bytes read; must return as many
	beforeEnd func()                // called before the end of the connection is reported
	close     func(c env.Conn) error
}

func (c *faultyConn) Write(b []byte) (int, error) {
	if c.write != nil {
		return c.write(c.Conn, b)
	}
	return c.Conn.Write(b)
}

func (c *faultyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.read != nil {
		copy(b[:n], c.read(b[:n]))
	}
	if err != nil && c.beforeEnd != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.beforeEnd()
	}
	return n, err
}

func (c *faultyConn) Close() error {
	if c.close != nil {
		return c.close(c.Conn)
	}
	return c.Conn.Close()
}

// stuckTimer is a timer that Stop does not stop.
type stuckTimer struct{ env.Timer }

// leakyGroup leaks a goroutine at one in 50 lookups.
type leakyGroup struct {
	env.Group
	scenario    *Scenario
	environment env.Environment
}

func (g leakyGroup) Go(name string, f func() error) {
	if name == "lookup" && g.scenario.randN(50) == 0 {
		g.environment.AfterFunc(0, func() { g.environment.NewNotifier().Wait(time.Hour) })
	}
	g.Group.Go(name, f)
}
