package env

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// ListenUnix listens on a Unix socket whose file has a mode from its first moment on. One that nobody listens on any more is taken
// over, one in use is not.
func ListenUnix(path string, mode os.FileMode) (net.Listener, error) {
	if old, err := os.Lstat(path); err == nil && old.Mode()&os.ModeSocket != 0 {
		if conn, err := net.DialTimeout("unix", path, time.Second); err == nil {
			conn.Close()
			return nil, fmt.Errorf("%s: another process listens there; stop it or name another socket", path)
		}
		os.Remove(path)
	}
	was := syscall.Umask(int(0o777 &^ mode))
	l, err := net.Listen("unix", path)
	syscall.Umask(was)
	return l, err
}
