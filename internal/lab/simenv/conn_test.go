package simenv

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"foldslip/internal/env"
)

func TestErrorsAreThoseOfPackageNet(t *testing.T) {
	checked := 0
	s := newEchoSimulation(t, 2, func(e env.Environment, dial dialFunc) {
		check := func(name string, err, want error) {
			checked++
			if !errors.Is(err, want) {
				t.Errorf("%s: %v", name, err)
			}
		}
		lifetime := env.NewLifetime(nil)
		_, err := e.Dial(lifetime, "10.0.0.2:81", time.Second)
		check("nobody listens", err, syscall.ECONNREFUSED)
		_, err = e.Dial(lifetime, "10.0.0.9:80", time.Second)
		check("no such host", err, os.ErrDeadlineExceeded)
		first, _ := dial()
		first.SetReadDeadline(e.Now().Add(time.Second))
		_, err = first.Read(make([]byte, 1))
		check("nothing arrives", err, os.ErrDeadlineExceeded)
		second, _ := dial()
		third, _ := dial()
		_, err = dial()
		check("no descriptor is left", err, syscall.EMFILE)
		second.Close()
		_, err = second.Write([]byte("x"))
		check("closed by this end", err, net.ErrClosed)
		third.SetReadDeadline(time.Time{})
		e.AfterFunc(time.Second, func() { third.Close() })
		_, err = third.Read(make([]byte, 1))
		check("closed during a read", err, net.ErrClosed)
		first.SetReadDeadline(time.Time{})
		_, err = first.Read(make([]byte, 1))
		check("reset by the peer", err, syscall.ECONNRESET)
	})
	s.After(20*time.Second, func() { s.hosts["10.0.0.2"].StopServing("80") })
	s.After(10*time.Second, func() { s.processes[0].conns[0].peer.Reset() })
	s.Run(time.Minute)
	if checked != 7 {
		t.Errorf("%d of 7 errors, %+v", checked, s.echo)
	}
}

func TestSplitDelaysBytesUntilHealed(t *testing.T) {
	var echoedAt time.Duration
	var s *echoSimulation
	s = newEchoSimulation(t, 3, func(e env.Environment, dial dialFunc) {
		c, _ := dial()
		e.NewNotifier().Wait(2 * time.Second)
		io.WriteString(c, "x")
		c.Read(make([]byte, 1))
		echoedAt = s.Now()
		c.Close()
	})
	s.After(time.Second, func() { s.Split("near", "far") })
	s.After(5*time.Second, func() { s.Heal("near", "far") })
	s.Run(time.Minute)
	if echoedAt < 5*time.Second || echoedAt > 6*time.Second {
		t.Errorf("echoed at %v", echoedAt)
	}
}

func TestResetAfterBytesDeliversTheBytesBefore(t *testing.T) {
	read := 0
	var readErr error
	s := newEchoSimulation(t, 4, func(e env.Environment, dial dialFunc) {
		c, _ := dial()
		io.WriteString(c, "0123456789")
		b := make([]byte, 10)
		for readErr == nil {
			var n int
			n, readErr = c.Read(b)
			read += n
		}
		c.Close()
	})
	s.After(100*time.Microsecond, func() {})
	s.OnIdle = func() {
		if s.echo.end != nil && s.echo.end.ResetAfterIn == 0 && s.echo.received == 0 {
			s.echo.end.ResetAfterIn = 4
		}
	}
	s.Run(time.Minute)
	if read > 4 || !errors.Is(readErr, syscall.ECONNRESET) {
		t.Errorf("%d bytes, then %v", read, readErr)
	}
}

func TestKilledProcessSendsNothingMoreAndItsPeersSeeAReset(t *testing.T) {
	written := 0
	s := newEchoSimulation(t, 5, func(e env.Environment, dial dialFunc) {
		c, _ := dial()
		defer func() { written = 100 }() // runs, but nothing of a killed process shows outside
		for {
			io.WriteString(c, "x")
			written++
			e.NewNotifier().Wait(time.Second)
		}
	})
	s.After(3500*time.Millisecond, s.process.Kill)
	s.Run(time.Minute)
	if s.echo.closed != "closed, reset true" || s.echo.received != 4 {
		t.Errorf("%q, %d bytes, written %d", s.echo.closed, s.echo.received, written)
	}
	if goroutines, _, descriptors := s.process.Resources(); goroutines != 0 || descriptors != 0 {
		t.Errorf("%d goroutines, %d descriptors left", goroutines, descriptors)
	}
}

func TestStalledPeerBlocksAWriteUntilItsDeadline(t *testing.T) {
	written := 0
	var writeErr error
	s := newEchoSimulation(t, 6, func(e env.Environment, dial dialFunc) {
		c, _ := dial()
		io.WriteString(c, "x")
		e.NewNotifier().Wait(time.Second)
		c.SetWriteDeadline(e.Now().Add(time.Second))
		written, writeErr = c.Write(make([]byte, 1000))
		c.Close()
	})
	s.After(500*time.Millisecond, func() {
		s.echo.end.Stalled = true
		s.echo.end.Window = 300
	})
	s.Run(time.Minute)
	if written != 300 || !errors.Is(writeErr, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes, %v", written, writeErr)
	}
}

// TestAbortAcrossASplitDeliversNothing guards against a simulated network that delivers, after a cut, what a reset connection had written: a
// plain close does, as the kernel goes on to send.
func TestAbortAcrossASplitDeliversNothing(t *testing.T) {
	for _, c := range []struct {
		name     string
		end      func(conn net.Conn)
		received int
		closed   string
	}{
		{"Abort", env.Abort, 0, "closed, reset true"},
		{"Close", func(conn net.Conn) { conn.Close() }, 3, "closed, reset false"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newEchoSimulation(t, 3, func(e env.Environment, dial dialFunc) {
				conn, _ := dial()
				e.NewNotifier().Wait(2 * time.Second)
				io.WriteString(conn, "xyz")
				c.end(conn)
				e.NewNotifier().Wait(10 * time.Second)
			})
			s.After(time.Second, func() { s.Split("near", "far") })
			s.After(5*time.Second, func() { s.Heal("near", "far") })
			s.Run(time.Minute)
			if s.echo.received != c.received || s.echo.closed != c.closed {
				t.Errorf("%d bytes arrived, %s", s.echo.received, s.echo.closed)
			}
		})
	}
}

// TestEndArrivesOnceASplitHeals guards against a checker that takes a connection's end for known to a process before it has arrived.
func TestEndArrivesOnceASplitHeals(t *testing.T) {
	var arrivedAt time.Duration
	s := newEchoSimulation(t, 4, func(e env.Environment, dial dialFunc) {
		dial()
		e.NewNotifier().Wait(10 * time.Second)
	})
	s.After(time.Second, func() {
		s.Split("near", "far")
		s.echo.end.OnEndArrived = func() { arrivedAt = s.Now() }
		s.echo.end.Reset()
	})
	s.After(5*time.Second, func() { s.Heal("near", "far") })
	s.Run(time.Minute)
	if arrivedAt < 5*time.Second || arrivedAt > 6*time.Second {
		t.Errorf("arrived at %v", arrivedAt)
	}
}

// TestNonBlockingWriteThatTakesNothingCountsAsBlocked guards against a checker that takes a line behind a peer that reads nothing for one that was
// held back.
func TestNonBlockingWriteThatTakesNothingCountsAsBlocked(t *testing.T) {
	written := 0
	s := newEchoSimulation(t, 6, func(e env.Environment, dial dialFunc) {
		c, _ := dial()
		io.WriteString(c, "x")
		e.NewNotifier().Wait(time.Second)
		write := e.NonBlockingWriter(c)
		for range 1000 {
			written += write(make([]byte, 10))
		}
	})
	s.After(500*time.Millisecond, func() {
		s.echo.end.Stalled = true
		s.echo.end.Window = 300
	})
	s.Run(time.Minute)
	if written != 300 || s.process.LastBlocked() < time.Second {
		t.Errorf("%d bytes taken, last blocked at %v", written, s.process.LastBlocked())
	}
}
