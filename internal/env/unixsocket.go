package env

import (
	"net"
	"os"
	"syscall"
	"time"
)

// probeTimeout limits the dial that checks whether a process listens on an existing socket file.
const probeTimeout = time.Second

// SocketInUseError reports that another process listens on a Unix socket.
type SocketInUseError struct{ Path string }

// Error names the socket and the remedy.
func (e *SocketInUseError) Error() string {
	return e.Path + ": another process is listening on this socket; stop that process or configure another path"
}

// ListenUnix listens on a Unix socket whose file has the given mode from its creation on. It replaces an existing
// socket file on which no process listens. If a process listens on it, the error is a *SocketInUseError. ListenUnix
// changes the umask of the process temporarily, so it must not be called concurrently.
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
