package env

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

func TestNotifierHoldsOneNotificationAndTimesOut(t *testing.T) {
	n := NewSystem(io.Discard, slog.LevelWarn).NewNotifier()
	n.Notify()
	n.Notify()
	if !n.Wait(-1) || n.Wait(0) || n.Wait(time.Millisecond) {
		t.Error("two calls of Notify did not result in exactly one notification")
	}
	go n.Notify()
	if !n.Wait(-1) {
		t.Error("Wait without a timeout returned false")
	}
}

func TestGroupReturnsTheFirstError(t *testing.T) {
	group := NewSystem(io.Discard, slog.LevelWarn).NewGroup()
	var ran atomic.Int32
	for range 3 {
		group.Go("part", func() error { ran.Add(1); return io.ErrUnexpectedEOF })
	}
	if err := group.Wait(); err != io.ErrUnexpectedEOF || ran.Load() != 3 {
		t.Errorf("Wait returned %v after %d functions, want unexpected EOF after 3", err, ran.Load())
	}
}

func TestDialIsRefusedOrEndsWithItsLifetime(t *testing.T) {
	system := NewSystem(io.Discard, slog.LevelWarn)
	listener, err := system.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	lifetime := NewLifetime(nil)
	conn, err := system.Dial(lifetime, addr, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := conn.(Conn); !ok {
		t.Error("the connection does not implement Conn (CloseWrite)")
	}
	conn.Close()
	listener.Close()
	if _, err := system.Dial(lifetime, addr, time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial without a listener: error %v, want ECONNREFUSED", err)
	}
	lifetime.End()
	var opError *net.OpError
	if _, err := system.Dial(lifetime, addr, time.Second); !errors.As(err, &opError) || errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial after the lifetime ended: error %v, want a *net.OpError other than ECONNREFUSED", err)
	}
}

func TestSignalsAreHandledUntilStopped(t *testing.T) {
	handled := make(chan Signal, 4)
	stop := NewSystem(io.Discard, slog.LevelWarn).OnSignal(func(s Signal) { handled <- s })
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	if s := <-handled; s != Reload {
		t.Error(s)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	if s := <-handled; s != Terminate {
		t.Error(s)
	}
	stop()
}

func TestLogWritesKeyValuePairsFromMinLevel(t *testing.T) {
	var out bytes.Buffer
	log := NewSystem(&out, slog.LevelWarn).Log()
	log.Info("below_the_level")
	log.Warn("logged", "text", "two words", "n", 3)
	if got := out.String(); !strings.Contains(got, `level=WARN event=logged text="two words" n=3`) || strings.Contains(got, "below_the_level") {
		t.Error(got)
	}
}
