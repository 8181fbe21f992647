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
				t.Errorf("%s: got unexpected error %v", name, err)
			}
		}
		lifetime := env.NewLifetime(nil)
		_, err := e.Dial(lifetime, "10.0.0.2:81", time.Second)
		check("no listener", err, syscall.ECONNREFUSED)
		_, err = e.Dial(lifetime, "10.0.0.9:80", time.Second)
		check("unknown host", err, os.ErrDeadlineExceeded)
		first, _ := dial()
		first.SetReadDeadline(e.Now().Add(time.Second))
		_, err = first.Read(make([]byte, 1))
		check("nothing to read", err, os.ErrDeadlineExceeded)
		second, _ := dial()
		third, _ := dial()
		_, err = dial()
		check("no descriptor left", err, syscall.EMFILE)
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
		t.Errorf("checked %d of 7 errors, echo %+v", checked, s.echo)
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
		t.Errorf("byte echoed at %v, want 5 s to 6 s", echoedAt)
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
		t.Errorf("read %d bytes, then error %v, want at most 4 bytes and ECONNRESET", read, readErr)
	}
}

func TestKilledProcessSendsNothingMoreAndItsPeersSeeAReset(t *testing.T) {
	written := 0
	s := newEchoSimulation(t, 5, func(e env.Environment, dial dialFunc) {
		c, _ := dial()
		defer func() { written = 100 }() // runs, but has no effect outside the killed process
		for {
			io.WriteString(c, "x")
			written++
			e.NewNotifier().Wait(time.Second)
		}
	})
	s.After(3500*time.Millisecond, s.process.Kill)
	s.Run(time.Minute)
	if s.echo.closed != "closed, reset true" || s.echo.received != 4 {
		t.Errorf("echo reports %q after %d bytes, want 4 bytes and a reset; process wrote %d", s.echo.closed, s.echo.received, written)
	}
	if goroutines, _, descriptors := s.process.Resources(); goroutines != 0 || descriptors != 0 {
		t.Errorf("%d goroutines and %d descriptors left, want none", goroutines, descriptors)
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
		t.Errorf("wrote %d bytes, then error %v, want 300 bytes and os.ErrDeadlineExceeded", written, writeErr)
	}
}

// TestAbortAcrossASplitDeliversNothing guards against a simulated network that, after
// a partition, delivers data that was written before the connection was reset. After
// a plain close the data is delivered, because the kernel continues to send it.
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
				t.Errorf("%d bytes arrived, echo reports %q", s.echo.received, s.echo.closed)
			}
		})
	}
}

// TestEndArrivesOnceASplitHeals guards against a checker that assumes that
// a process knows of the end of a connection before the end has arrived.
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
		t.Errorf("reset arrived at %v, want 5 s to 6 s", arrivedAt)
	}
}

// TestNonBlockingWriteThatTakesNothingCountsAsBlocked guards against a checker that
// reports a protocol line as held back by the process although the peer reads nothing.
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
		t.Errorf("wrote %d bytes, want 300; last blocked at %v, want 1 s or later", written, s.process.LastBlocked())
	}
}
