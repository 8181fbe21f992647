package env

import (
	"io"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"
)

// Answers and sends are small writes: on a socket that waits to fill a segment (Nagle) each may wait for an acknowledgement of the one before.
// The ground leaves Go's default, TCP_NODELAY, on what it dials and what its listener accepts.
func TestTCPNoDelayIsOn(t *testing.T) {
	g := NewSystem(io.Discard, slog.LevelWarn)
	l, err := g.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialled, err := g.Dial(NewLifetime(nil), l.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer dialled.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	for name, c := range map[string]net.Conn{"dialled": dialled, "accepted": accepted} {
		raw, err := c.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		set, bad := 0, error(nil)
		if err := raw.Control(func(fd uintptr) { set, bad = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY) }); err != nil || bad != nil {
			t.Fatal(err, bad)
		}
		if set == 0 {
			t.Errorf("%s: TCP_NODELAY is off", name)
		}
	}
}
