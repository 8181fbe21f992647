package scenario

import (
	"errors"
	"net"
	"os"
	"time"

	"foldslip/internal/env"
)

// faultyEnvironment is a process's environment with some of it replaced.
type faultyEnvironment struct {
	env.Environment
	wrapConn          func(c env.Conn, dialled bool) env.Conn
	wrapTimer         func(t env.Timer) env.Timer
	wrapGroup         func(g env.Group) env.Group
	wrapSignals       func(hear func(env.Signal)) func(env.Signal)
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

func (e *faultyEnvironment) OnSignal(hear func(env.Signal)) func() {
	if e.wrapSignals != nil {
		hear = e.wrapSignals(hear)
	}
	return e.Environment.OnSignal(hear)
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

// faultyConn is a connection whose bytes or end are tampered with.
type faultyConn struct {
	env.Conn
	write     func(c env.Conn, b []byte) (int, error)
	read      func(b []byte) []byte // of the same length
	beforeEnd func()                // called before the peer's close is reported
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

type stuckTimer struct{ env.Timer }

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
