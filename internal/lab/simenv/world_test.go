package simenv

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"foldslip/internal/env"
)

// echo is a party that sends back what it gets.
type echo struct {
	end      *End
	received int
	closed   string
}

// echoConn is one connection of it.
type echoConn struct {
	echo *echo
	end  *End
}

func (x echoConn) Opened()       {}
func (x echoConn) Data(b []byte) { x.echo.received += len(b); x.end.Send(b) }
func (x echoConn) Closed(reset bool) {
	x.echo.closed = fmt.Sprint("closed, reset ", reset)
	x.end.Close()
}
func (x echoConn) Written(int, []byte) {}

// newEchoSimulation is a world with a process on one host and an echo on another.
func newEchoSimulation(t *testing.T, seed uint64, main func(g env.Environment, dial func() (net.Conn, error))) (*Simulation, *echo, *Process) {
	t.Helper()
	w := New(seed)
	t.Cleanup(w.Close)
	w.OnCrash = func(p *Process, text string) { t.Error(text) }
	x := &echo{}
	w.Host("10.0.0.2", "far").Serve("80", func(e *End) Handler { x.end = e; return echoConn{x, e} })
	p := w.Start(w.Host("10.0.0.1", "near"), &Process{Name: "p", MaxDescriptors: 3}, func(g env.Environment) error {
		life := env.NewLifetime(nil)
		defer life.End()
		main(g, func() (net.Conn, error) { return g.Dial(life, "10.0.0.2:80", time.Second) })
		return nil
	})
	return w, x, p
}

func TestConnections(t *testing.T) {
	t.Run("what is written comes back whole, past any window, and the end is an EOF", func(t *testing.T) {
		done := false
		text := strings.Repeat("0123456789", 30000)
		w, x, p := newEchoSimulation(t, 1, func(g env.Environment, dial func() (net.Conn, error)) {
			c, err := dial()
			if err != nil {
				t.Error(err)
				return
			}
			all := g.NewGroup()
			all.Go("write", func() error { _, err := io.WriteString(c, text); return err })
			got := make([]byte, len(text))
			if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
				t.Errorf("%v, equal %v", err, string(got) == text)
			}
			if err := all.Wait(); err != nil {
				t.Error(err)
			}
			x := c.(env.Conn)
			x.CloseWrite()
			if n, err := c.Read(got); err != io.EOF {
				t.Errorf("%d, %v", n, err)
			}
			c.Close()
			done = true
		})
		w.Run(time.Minute)
		if n, timers, fds := p.Resources(); !done || x.received != len(text) || n+timers+fds != 0 {
			t.Errorf("done %v, %d bytes, holds %d %d %d", done, x.received, n, timers, fds)
		}
	})
	t.Run("errors are those of the net package", func(t *testing.T) {
		met := 0
		w, x, _ := newEchoSimulation(t, 2, func(g env.Environment, dial func() (net.Conn, error)) {
			is := func(what string, err, want error) {
				met++
				if !errors.Is(err, want) {
					t.Errorf("%s: %v", what, err)
				}
			}
			life := env.NewLifetime(nil)
			_, err := g.Dial(life, "10.0.0.2:81", time.Second)
			is("nobody listens", err, syscall.ECONNREFUSED)
			_, err = g.Dial(life, "10.0.0.9:80", time.Second)
			is("no such machine", err, os.ErrDeadlineExceeded)
			c, _ := dial()
			c.SetReadDeadline(g.Now().Add(time.Second))
			_, err = c.Read(make([]byte, 1))
			is("nothing comes", err, os.ErrDeadlineExceeded)
			d, _ := dial()
			e, _ := dial()
			_, err = dial()
			is("no descriptor is left", err, syscall.EMFILE)
			d.Close()
			_, err = d.Write([]byte("x"))
			is("closed here", err, net.ErrClosed)
			e.SetReadDeadline(time.Time{})
			g.AfterFunc(time.Second, func() { e.Close() })
			_, err = e.Read(make([]byte, 1))
			is("closed while reading", err, net.ErrClosed)
			c.SetReadDeadline(time.Time{})
			_, err = c.Read(make([]byte, 1))
			is("reset by the peer", err, syscall.ECONNRESET)
		})
		w.After(20*time.Second, func() { w.hosts["10.0.0.2"].StopServing("80") })
		w.After(10*time.Second, func() { w.processes[0].conns[0].peer.Reset() })
		w.Run(time.Minute)
		if met != 7 {
			t.Errorf("%d of 7 errors met, %+v", met, x)
		}
	})
	t.Run("a split holds bytes back, a heal brings them", func(t *testing.T) {
		var at time.Duration
		var w *Simulation
		w, _, _ = newEchoSimulation(t, 3, func(g env.Environment, dial func() (net.Conn, error)) {
			c, _ := dial()
			g.NewNotifier().Wait(2 * time.Second)
			io.WriteString(c, "x")
			c.Read(make([]byte, 1))
			at = w.Now()
			c.Close()
		})
		w.After(time.Second, func() { w.Split("near", "far") })
		w.After(5*time.Second, func() { w.Heal("near", "far") })
		w.Run(time.Minute)
		if at < 5*time.Second || at > 6*time.Second {
			t.Errorf("came back at %v", at)
		}
	})
	t.Run("a reset at a byte lets the bytes before it through", func(t *testing.T) {
		n, failed := 0, error(nil)
		w, x, _ := newEchoSimulation(t, 4, func(g env.Environment, dial func() (net.Conn, error)) {
			c, _ := dial()
			io.WriteString(c, "0123456789")
			b := make([]byte, 10)
			for failed == nil {
				var m int
				m, failed = c.Read(b)
				n += m
			}
			c.Close()
		})
		w.After(100*time.Microsecond, func() {})
		w.OnIdle = func() {
			if x.end != nil && x.end.ResetAfterIn == 0 && x.received == 0 {
				x.end.ResetAfterIn = 4
			}
		}
		w.Run(time.Minute)
		if n > 4 || !errors.Is(failed, syscall.ECONNRESET) {
			t.Errorf("%d bytes, then %v", n, failed)
		}
	})
	t.Run("a killed process says nothing more, and its peers see a reset", func(t *testing.T) {
		ran := 0
		w, x, p := newEchoSimulation(t, 5, func(g env.Environment, dial func() (net.Conn, error)) {
			c, _ := dial()
			defer func() { ran = 100 }() // a killed process runs nothing that shows
			for {
				io.WriteString(c, "x")
				ran++
				g.NewNotifier().Wait(time.Second)
			}
		})
		w.After(3500*time.Millisecond, p.Kill)
		w.Run(time.Minute)
		if x.closed != "closed, reset true" || x.received != 4 {
			t.Errorf("%q, %d bytes, ran %d", x.closed, x.received, ran)
		}
		if n, _, fds := p.Resources(); n != 0 || fds != 0 {
			t.Errorf("holds %d goroutines, %d descriptors", n, fds)
		}
	})
	t.Run("a deaf peer blocks a write until its deadline", func(t *testing.T) {
		n, failed := 0, error(nil)
		w, x, _ := newEchoSimulation(t, 6, func(g env.Environment, dial func() (net.Conn, error)) {
			c, _ := dial()
			io.WriteString(c, "x")
			g.NewNotifier().Wait(time.Second)
			c.SetWriteDeadline(g.Now().Add(time.Second))
			n, failed = c.Write(make([]byte, 1000))
			c.Close()
		})
		w.After(500*time.Millisecond, func() { x.end.Stalled, x.end.Window = true, 300 })
		w.Run(time.Minute)
		if n != 300 || !errors.Is(failed, os.ErrDeadlineExceeded) {
			t.Errorf("%d bytes, %v", n, failed)
		}
	})
}

func TestNotifiersAndTimers(t *testing.T) {
	t.Run("one ring wakes one, and a ring without waiters is kept", func(t *testing.T) {
		woken, timely := 0, false
		w, _, _ := newEchoSimulation(t, 7, func(g env.Environment, _ func() (net.Conn, error)) {
			b, all := g.NewNotifier(), g.NewGroup()
			for range 3 {
				all.Go("waiter", func() error {
					if b.Wait(10 * time.Second) {
						woken++
					}
					return nil
				})
			}
			g.NewNotifier().Wait(time.Second)
			b.Notify()
			g.NewNotifier().Wait(time.Second)
			b.Notify()
			all.Wait()
			b.Notify()
			timely = b.Wait(0) && !b.Wait(0)
		})
		w.Run(time.Minute)
		if woken != 2 || !timely {
			t.Errorf("%d woken, %v", woken, timely)
		}
	})
	t.Run("a stopped timer does not come, and says so once", func(t *testing.T) {
		came := 0
		w, _, p := newEchoSimulation(t, 8, func(g env.Environment, _ func() (net.Conn, error)) {
			a := g.AfterFunc(time.Second, func() { came += 10 })
			g.AfterFunc(2*time.Second, func() { came++ })
			if !a.Stop() || a.Stop() {
				t.Error("Stop")
			}
			g.NewNotifier().Wait(3 * time.Second)
		})
		w.Run(time.Minute)
		if _, timers, _ := p.Resources(); came != 1 || timers != 0 {
			t.Errorf("%d, %d timers", came, timers)
		}
	})
	t.Run("a wait outside the world's goroutines is a fault of the rig", func(t *testing.T) {
		w, _, p := newEchoSimulation(t, 9, func(env.Environment, func() (net.Conn, error)) {})
		w.Run(time.Second)
		defer func() {
			if recover() == nil {
				t.Error("waited")
			}
		}()
		p.NewNotifier().Wait(time.Second)
	})
}

// Two worlds of one seed are the same step by step; the order of what is due at one instant is the seed's.
func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	run := func(seed uint64) (string, uint64) {
		order := ""
		w, _, _ := newEchoSimulation(t, seed, func(g env.Environment, _ func() (net.Conn, error)) {
			for _, name := range []string{"a", "b", "c", "d"} {
				g.AfterFunc(time.Second, func() { order += name })
			}
			g.NewNotifier().Wait(2 * time.Second)
		})
		w.Run(time.Minute)
		return order, w.Digest()
	}
	orders := map[string]bool{}
	for seed := range uint64(40) {
		a, x := run(seed)
		b, y := run(seed)
		if a != b || x != y {
			t.Fatalf("seed %d: %s %x, then %s %x", seed, a, x, b, y)
		}
		orders[a] = true
	}
	if len(orders) < 10 {
		t.Errorf("only %d of 24 orders in 40 seeds", len(orders))
	}
}

// The digest tells apart what a process does, not what it calls things.
func TestDigestHoldsActionsAndNoText(t *testing.T) {
	run := func(data, logLine, goroutine string, after time.Duration) uint64 {
		w, _, _ := newEchoSimulation(t, 1, func(g env.Environment, dial func() (net.Conn, error)) {
			c, err := dial()
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			group := g.NewGroup()
			group.Go(goroutine, func() error {
				g.Log().Info(logLine)
				g.NewNotifier().Wait(after)
				_, err := c.Write([]byte(data))
				return err
			})
			if err := group.Wait(); err != nil {
				t.Error(err)
			}
		})
		w.Run(time.Minute)
		return w.Digest()
	}
	first := run("abc", "began", "writer", time.Second)
	if got := run("abc", "started", "sender", time.Second); got != first {
		t.Error("another log line or name of a goroutine changes the digest")
	}
	if got := run("abd", "began", "writer", time.Second); got == first {
		t.Error("another byte on a connection does not change the digest")
	}
	if got := run("abc", "began", "writer", time.Second+time.Microsecond); got == first {
		t.Error("another instant does not change the digest")
	}
}
