package simenv

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"foldslip/internal/env"
)

// echo is an actor that sends back the bytes that it receives.
type echo struct {
	end      *End // of the connection that was opened last
	received int
	closed   string // how the connection that closed last ended
}

// echoConn is one connection of an echo actor.
type echoConn struct {
	echo *echo
	end  *End
}

func (c echoConn) Opened() {}

func (c echoConn) Data(b []byte) {
	c.echo.received += len(b)
	c.end.Send(b)
}

func (c echoConn) Closed(reset bool) {
	c.echo.closed = fmt.Sprint("closed, reset ", reset)
	c.end.Close()
}

func (c echoConn) Written(int, []byte) {}

// echoSimulation is a simulation with a process on one host and an echo actor on another.
type echoSimulation struct {
	*Simulation
	echo    *echo
	process *Process
}

// dialFunc connects to the echo actor.
type dialFunc func() (net.Conn, error)

// newEchoSimulation starts a process that runs main. The process may open 3 descriptors.
func newEchoSimulation(t *testing.T, seed uint64, main func(e env.Environment, dial dialFunc)) *echoSimulation {
	t.Helper()
	s := &echoSimulation{Simulation: New(seed), echo: &echo{}}
	t.Cleanup(s.Close)
	s.OnCrash = func(p *Process, text string) { t.Error(text) }
	s.Host("10.0.0.2", "far").Serve("80", func(end *End) Handler {
		s.echo.end = end
		return echoConn{s.echo, end}
	})
	s.process = s.Start(s.Host("10.0.0.1", "near"), &Process{Name: "p", MaxDescriptors: 3}, func(e env.Environment) error {
		lifetime := env.NewLifetime(nil)
		defer lifetime.End()
		main(e, func() (net.Conn, error) { return e.Dial(lifetime, "10.0.0.2:80", time.Second) })
		return nil
	})
	return s
}

func TestNotifiersAndTimers(t *testing.T) {
	t.Run("a notification wakes one goroutine, and is kept if none waits", func(t *testing.T) {
		woken, wasKept := 0, false
		s := newEchoSimulation(t, 7, func(e env.Environment, _ dialFunc) {
			n, waiters := e.NewNotifier(), e.NewGroup()
			for range 3 {
				waiters.Go("waiter", func() error {
					if n.Wait(10 * time.Second) {
						woken++
					}
					return nil
				})
			}
			e.NewNotifier().Wait(time.Second)
			n.Notify()
			e.NewNotifier().Wait(time.Second)
			n.Notify()
			waiters.Wait()
			n.Notify()
			wasKept = n.Wait(0) && !n.Wait(0)
		})
		s.Run(time.Minute)
		if woken != 2 || !wasKept {
			t.Errorf("%d goroutines woken, want 2; notification kept %v, want true", woken, wasKept)
		}
	})
	t.Run("a stopped timer does not fire, and reports once that it was stopped", func(t *testing.T) {
		fired := ""
		s := newEchoSimulation(t, 8, func(e env.Environment, _ dialFunc) {
			stopped := e.AfterFunc(time.Second, func() { fired += "stopped " })
			e.AfterFunc(2*time.Second, func() { fired += "running" })
			if !stopped.Stop() || stopped.Stop() {
				t.Error("Stop did not report true and then false")
			}
			e.NewNotifier().Wait(3 * time.Second)
		})
		s.Run(time.Minute)
		if _, timers, _ := s.process.Resources(); fired != "running" || timers != 0 {
			t.Errorf("fired %q, want \"running\"; %d timers left, want none", fired, timers)
		}
	})
	t.Run("a wait outside the goroutines of the simulation panics", func(t *testing.T) {
		s := newEchoSimulation(t, 9, func(env.Environment, dialFunc) {})
		s.Run(time.Second)
		defer func() {
			if recover() == nil {
				t.Error("Wait did not panic")
			}
		}()
		s.process.NewNotifier().Wait(time.Second)
	})
}

// TestEqualSeedsGiveEqualRuns checks that two simulations with the same seed run
// identically, and that the order of events at one instant depends on the seed.
func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	run := func(seed uint64) (order string, digest uint64) {
		s := newEchoSimulation(t, seed, func(e env.Environment, _ dialFunc) {
			for _, name := range []string{"a", "b", "c", "d"} {
				e.AfterFunc(time.Second, func() { order += name })
			}
			e.NewNotifier().Wait(2 * time.Second)
		})
		s.Run(time.Minute)
		return order, s.Digest()
	}
	orders := map[string]bool{}
	for seed := range uint64(40) {
		firstOrder, firstDigest := run(seed)
		secondOrder, secondDigest := run(seed)
		if firstOrder != secondOrder || firstDigest != secondDigest {
			t.Fatalf("seed %d: the first run gave order %s and digest %x, the second %s and %x", seed, firstOrder, firstDigest, secondOrder, secondDigest)
		}
		orders[firstOrder] = true
	}
	if len(orders) < 10 {
		t.Errorf("40 seeds gave only %d of 24 orders, want at least 10", len(orders))
	}
}

// TestDigestHoldsActionsAndNoText checks that the digest depends on the actions of
// a process, but not on the text of its log lines or the names of its goroutines.
func TestDigestHoldsActionsAndNoText(t *testing.T) {
	run := func(data, logLine, goroutine string, delay time.Duration) uint64 {
		s := newEchoSimulation(t, 1, func(e env.Environment, dial dialFunc) {
			c, err := dial()
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			group := e.NewGroup()
			group.Go(goroutine, func() error {
				e.Log().Info(logLine)
				e.NewNotifier().Wait(delay)
				_, err := c.Write([]byte(data))
				return err
			})
			if err := group.Wait(); err != nil {
				t.Error(err)
			}
		})
		s.Run(time.Minute)
		return s.Digest()
	}
	first := run("abc", "began", "writer", time.Second)
	if got := run("abc", "started", "sender", time.Second); got != first {
		t.Error("the digest depends on a log line or on the name of a goroutine")
	}
	if got := run("abd", "began", "writer", time.Second); got == first {
		t.Error("the digest does not depend on the bytes on a connection")
	}
	if got := run("abc", "began", "writer", time.Second+time.Microsecond); got == first {
		t.Error("the digest does not depend on the time of a write")
	}
}

func TestConnectionCarriesAllBytes(t *testing.T) {
	isDone := false
	text := strings.Repeat("0123456789", 30000) // more than the window
	s := newEchoSimulation(t, 1, func(e env.Environment, dial dialFunc) {
		c, err := dial()
		if err != nil {
			t.Error(err)
			return
		}
		group := e.NewGroup()
		group.Go("write", func() error {
			_, err := io.WriteString(c, text)
			return err
		})
		got := make([]byte, len(text))
		if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
			t.Errorf("read error %v, text equal %v", err, string(got) == text)
		}
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		c.(env.Conn).CloseWrite()
		if n, err := c.Read(got); err != io.EOF {
			t.Errorf("read %d bytes and error %v after the end of stream, want io.EOF", n, err)
		}
		c.Close()
		isDone = true
	})
	s.Run(time.Minute)
	if goroutines, timers, descriptors := s.process.Resources(); !isDone || s.echo.received != len(text) || goroutines+timers+descriptors != 0 {
		t.Errorf("done %v, %d bytes received; %d goroutines, %d timers, %d descriptors left, want none", isDone, s.echo.received, goroutines, timers, descriptors)
	}
}
