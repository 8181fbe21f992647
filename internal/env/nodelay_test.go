package env

import (
	"io"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestTCPNoDelayIsOn checks that TCP_NODELAY, which Go sets by default, stays set on dialled and accepted connections.
// Responses and attempts are small writes. Without the option, Nagle's algorithm may delay each write until the
// previous one has been acknowledged.
func TestTCPNoDelayIsOn(t *testing.T) {
	system := NewSystem(io.Discard, slog.LevelWarn)
	listener, err := system.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialled, err := system.Dial(NewLifetime(nil), listener.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer dialled.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	for name, conn := range map[string]net.Conn{"dialled": dialled, "accepted": accepted} {
		if noDelay(t, conn) == 0 {
			t.Errorf("%s connection: TCP_NODELAY is off", name)
		}
	}
}

// noDelay returns the value of the connection's TCP_NODELAY option.
func noDelay(t *testing.T, conn net.Conn) (option int) {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		option, optionErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
	})
	if err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
	return option
}
