// Package env is the seam between the gateway and the machine it runs on: time, timers, goroutines, waiting, connections, files,
// signals and the log, behind one interface. System is the real machine; the lab has a simulated one that runs one goroutine at a
// time and moves its clock on when all of them wait. The package knows nothing of lookups.
//
// Code that waits does so through this package alone: a Notifier in place of a channel and a select, a Lifetime in place of a
// context, a Group in place of an errgroup, AfterFunc in place of time.AfterFunc. A mutex stays a sync.Mutex and is never held
// while waiting: in the simulated environment that would stop every goroutine, which the lab reports.
package env

import (
	"errors"
	"log/slog"
	"net"
	"time"
)

// Environment is the machine as a gateway's process sees it. The process owns it for as long as it runs. All methods may be called
// from several goroutines at once.
type Environment interface {
	// Now returns the time; the difference between two of its values is never negative.
	Now() time.Time
	// AfterFunc calls f in a goroutine of its own once d has passed.
	AfterFunc(d time.Duration, f func()) Timer
	// NewNotifier returns a notifier without a pending notification.
	NewNotifier() Notifier
	// NewGroup returns an empty group of goroutines.
	NewGroup() Group
	// Dial connects over TCP within timeout and before the lifetime ends. Its errors are those of the net package.
	Dial(lifetime *Lifetime, addr string, timeout time.Duration) (net.Conn, error)
	// NonBlockingWriter returns a way to write to conn without ever waiting; nil where conn has none.
	NonBlockingWriter(conn net.Conn) NonBlockingWrite
	// Listen accepts TCP connections at an address.
	Listen(addr string) (net.Listener, error)
	// Getenv returns a variable of the process's environment, or "".
	Getenv(name string) string
	// OpenDirectory opens a directory for the gateway's files and creates it if it does not exist.
	OpenDirectory(path string) (Directory, error)
	// ReadFile reads a whole file, as os.ReadFile.
	ReadFile(path string) ([]byte, error)
	// OnSignal calls handle for each signal from now on, one at a time; handle must not wait. stop ends that.
	OnSignal(handle func(Signal)) (stop func())
	// SetResourceLimits tells the runtime how many cores and bytes of memory it may use; 0 leaves a limit as it is.
	SetResourceLimits(cores int, memory int64)
	// ReleaseMemory returns memory that is no longer used to the machine.
	ReleaseMemory()
	// DescriptorLimit returns how many descriptors the process may hold; 0 if that is not known.
	DescriptorLimit() uint64
	// Log returns the process's log.
	Log() *slog.Logger
}

// Signal is a signal of the platform to the process.
type Signal int

// Signals that the gateway handles.
const (
	Terminate Signal = 1 + iota // SIGTERM, SIGINT: graceful shutdown
	Reload                      // SIGHUP: read the configuration again
)

// Timer is one call of AfterFunc. Stop reports whether it prevented the call.
type Timer interface{ Stop() bool }

// Notifier wakes one waiting goroutine, or the next one to wait: it holds one pending notification at most, further ones are dropped.
type Notifier interface {
	Notify()
	// Wait waits for a notification and consumes it; it returns false if timeout passed without one. A negative timeout waits forever.
	Wait(timeout time.Duration) bool
}

// Group runs goroutines that are waited for together. Wait returns the first error of any of them.
type Group interface {
	Go(name string, f func() error)
	Wait() error
}

// NonBlockingWrite writes as many bytes as a connection takes at once and returns their number: 0 also where the connection is broken,
// which a Write then reports. One goroutine at a time.
type NonBlockingWrite func(b []byte) int

// Conn is what an Environment's TCP connections can do beyond net.Conn, as *net.TCPConn does.
type Conn interface {
	net.Conn
	CloseWrite() error
}

// Directory is a directory of files without sub-directories. Its errors are those of the os package.
type Directory interface {
	// Names returns the names of the files.
	Names() ([]string, error)
	Read(name string) ([]byte, error)
	// Create creates a file, or truncates it.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes renames and removals durable.
	Sync() error
	// Lock takes the directory for this process; ErrLocked if another process has it.
	Lock() (unlock func(), err error)
}

// File is a file that is written from its start to its end.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// ErrLocked reports that another process has locked a directory.
var ErrLocked = errors.New("another process has this folder open")
