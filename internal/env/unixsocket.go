package env

import (
	"net"
	"os"
	"syscall"
	"time"
)

// probeTimeout bounds the call that finds out whether anybody listens on a socket's file.
const probeTimeout = time.Second

// SocketInUseError reports a Unix socket that another process listens on.
type SocketInUseError struct{ Path string }

// Error says which socket it is and what to do.
func (e *SocketInUseError) Error() string {
	return e.Path + ": another process listens there; stop it or name another socket"
}

// ListenUnix listens on a Unix socket whose file has the mode from the moment it exists. A file that nobody listens on any more is
// replaced; one that is in use gives a *SocketInUseError. It changes the process's umask for a moment, so call it from one goroutine at
// a time.
func ListenUnix(path string, mode os.FileMode) (net.Listener, error) {
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		if conn, err := net.DialTimeout("unix", path, probeTimeout); err == nil {
			conn.Close()
			return nil, &SocketInUseError{path}
		}
		os.Remove(path)
	}
	previous := syscall.Umask(int(0o777 &^ mode))
	listener, err := net.Listen("unix", path)
	syscall.Umask(previous)
	return listener, err
}
