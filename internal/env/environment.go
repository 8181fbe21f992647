// Package env defines the interface between the gateway and the machine it runs on: time, timers, goroutines, blocking
// waits, connections, files, signals and the log. System implements the interface on the real machine. The lab has a
// simulated implementation, which runs one goroutine at a time and advances its clock when all goroutines wait. The
// package is independent of lookups.
//
// Code that waits must do so through this package: with a Notifier instead of a channel and a select, a Lifetime
// instead of a context, a Group instead of an errgroup, and AfterFunc instead of time.AfterFunc. Mutexes remain
// sync.Mutex. A mutex must not be held while waiting: in the simulated environment this stops every goroutine, which
// the lab reports.
package env

import (
	"errors"
	"log/slog"
	"net"
	"time"
)

// Environment is the machine as seen by a gateway process. The process owns it until it exits. All methods are safe for
// concurrent use.
type Environment interface {
	// Now returns the current time. A later call never returns an earlier time.
	Now() time.Time
	// AfterFunc calls f in its own goroutine after d has elapsed.
	AfterFunc(d time.Duration, f func()) Timer
	// NewNotifier returns a notifier without a pending notification.
	NewNotifier() Notifier
	// NewGroup returns a group without goroutines.
	NewGroup() Group
	// Dial opens a TCP connection. It fails if timeout elapses or lifetime ends first. Its errors are those of the net
	// package.
	Dial(lifetime *Lifetime, addr string, timeout time.Duration) (net.Conn, error)
	// NonBlockingWriter returns a function that writes to conn without blocking, or nil if conn does not support this.
	NonBlockingWriter(conn net.Conn) NonBlockingWrite
	// Listen returns a listener for TCP connections to addr.
	Listen(addr string) (net.Listener, error)
	// Getenv returns a variable of the process's environment, or "" if it is not set.
	Getenv(name string) string
	// OpenDirectory opens a directory for the gateway's files. It creates the directory if it does not exist.
	OpenDirectory(path string) (Directory, error)
	// ReadFile reads a whole file, as os.ReadFile does.
	ReadFile(path string) ([]byte, error)
	// OnSignal registers handle for later signals. Calls of handle are sequential, and handle must not block. stop
	// unregisters it.
	OnSignal(handle func(Signal)) (stop func())
	// SetResourceLimits sets the number of cores and bytes of memory that the Go runtime may use. A value of 0 leaves a
	// limit unchanged.
	SetResourceLimits(cores int, memory int64)
	// ProgramBytes returns the size of the parts of program files that are mapped into the process and shared with the
	// file, or 0 if it is unknown. They count as the process's memory once they are used.
	ProgramBytes() int64
	// ReleaseMemory returns unused memory to the operating system.
	ReleaseMemory()
	// DescriptorLimit returns the maximum number of file descriptors of the process, or 0 if it is unknown.
	DescriptorLimit() uint64
	// Log returns the process's logger.
	Log() *slog.Logger
}

// Signal is a signal that the platform sends to the process.
type Signal int

// Signals that the gateway handles.
const (
	Terminate Signal = 1 + iota // SIGTERM, SIGINT: graceful shutdown
	Reload                      // SIGHUP: reload the configuration
)

// Timer is a call scheduled by AfterFunc. Stop cancels the call and reports whether it was cancelled in time.
type Timer interface{ Stop() bool }

// Notifier wakes one waiting goroutine, or the next goroutine that waits. It holds at most one pending notification and
// drops further ones.
type Notifier interface {
	Notify()
	// Wait blocks until there is a notification, consumes it and returns true. It returns false if timeout elapses
	// first. A negative timeout means no timeout.
	Wait(timeout time.Duration) bool
}

// Group runs a group of goroutines. Wait blocks until all of them have returned, and returns the first error of any of
// them.
type Group interface {
	Go(name string, f func() error)
	Wait() error
}

// NonBlockingWrite writes as many bytes of b as a connection accepts without blocking, and returns their number. It
// also returns 0 if the connection is broken; the next Write reports the error. It must not be called concurrently.
type NonBlockingWrite func(b []byte) int

// Conn is the interface of an Environment's TCP connections. In addition to net.Conn they have CloseWrite, like
// *net.TCPConn.
type Conn interface {
	net.Conn
	CloseWrite() error
}

// Directory is a directory that contains files but no subdirectories. Its errors are those of the os package.
type Directory interface {
	// Names returns the names of the files.
	Names() ([]string, error)
	Read(name string) ([]byte, error)
	// Create creates a file or truncates an existing one.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes renames and removals durable.
	Sync() error
	// Lock acquires an exclusive lock on the directory for this process. The error wraps ErrLocked if another process
	// holds the lock.
	Lock() (unlock func(), err error)
}

// File is a file that is written sequentially from its start.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// ErrLocked is the error of Directory.Lock if another process holds the lock.
var ErrLocked = errors.New("directory is locked by another process")
