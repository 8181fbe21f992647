// Package env is the ground that the network code stands on: time, timers, goroutines, waiting, connections, files,
// signals and the log, behind one interface. In service it is the system's (System); in the lab it is a virtual world
// that runs one goroutine at a time and moves time on when all wait. It knows nothing of lookups.
//
// Whatever waits does so here and nowhere else: a Bell in place of a channel and a select, a Life in place of a
// context, a Group in place of an errgroup, AfterFunc in place of time.AfterFunc. A mutex stays sync.Mutex, since none
// is held over a wait; a lock that is, would stop a virtual world for good, and the lab says so.
package env

import (
	"container/list"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"
)

// Environment is what a gateway's process stands on. Its owner is the process; it lives as long.
type Environment interface {
	// Now is the time; differences between two of its values never run backwards.
	Now() time.Time
	// AfterFunc calls f in a goroutine of its own once d has passed.
	AfterFunc(d time.Duration, f func()) Timer
	// Bell makes a bell that has not been rung.
	NewNotifier() Notifier
	// Group makes a group of goroutines.
	NewGroup() Group
	// Dial connects over TCP within a time, or until life ends. Its errors are those of the net package.
	Dial(life *Lifetime, addr string, within time.Duration) (net.Conn, error)
	// Direct is how to write to a connection without ever waiting; nil where it cannot be.
	NonBlockingWriter(conn net.Conn) NonBlockingWrite
	// Listen takes TCP connections at an address.
	Listen(addr string) (net.Listener, error)
	// Env is a variable of the environment, or "".
	Getenv(name string) string
	// Folder is a folder to keep files in; it is made if it is not there.
	OpenDirectory(path string) (Directory, error)
	// ReadFile is os.ReadFile.
	ReadFile(path string) ([]byte, error)
	// Signals calls hear for each signal from now on, one at a time and never waiting; stop ends that.
	OnSignal(hear func(Signal)) (stop func())
	// Limit tells the runtime what the process may use: cores and bytes, 0 for what there is.
	SetResourceLimits(cores int, memory int64)
	// Tidy gives memory that is no longer needed back to the machine.
	ReleaseMemory()
	// Descriptors is how many the process may hold; 0: not known.
	DescriptorLimit() uint64
	// Log takes the log's lines.
	Log() *slog.Logger
}

// Signal is what the platform says to a process.
type Signal int

const (
	Terminate Signal = 1 + iota // SIGTERM, SIGINT
	Reload                      // SIGHUP
)

// Timer is one call of AfterFunc; Stop tells whether it came before the call.
type Timer interface{ Stop() bool }

// Notifier has room for one ring that nobody has waited for yet.
type Notifier interface {
	Notify()
	// Wait waits for a ring and takes it; false once that time has passed without one. A time under 0 has no end.
	Wait(within time.Duration) bool
}

// Group is goroutines that are waited for together; Wait gives the first error.
type Group interface {
	Go(name string, f func() error)
	Wait() error
}

// NonBlockingWrite writes what a connection takes at once and tells how many bytes that were, 0 also where it is broken: a Write
// tells why. One goroutine at a time.
type NonBlockingWrite func(b []byte) int

// Conn is what connections of a Ground can do beside net.Conn, as *net.TCPConn does.
type Conn interface {
	net.Conn
	CloseWrite() error
}

// Directory is a folder. Its errors are those of the os package.
type Directory interface {
	// Names are the files in the folder.
	Names() ([]string, error)
	Read(name string) ([]byte, error)
	// Create makes a file, or empties it.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes renames and removals last.
	Sync() error
	// Lock takes the folder for this process; ErrLocked where another has it.
	Lock() (unlock func(), err error)
}

// File is a file that is written from its front to its end.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// ErrLocked tells that another process has the folder.
var ErrLocked = errors.New("another process has this folder open")

// Lifetime is the time something lives: it ends once, by itself or with its parent. What is hung on it runs at the end, in
// order, in the goroutine that ends it, and must not wait.
type Lifetime struct {
	mu     sync.Mutex
	ended  bool
	hooks  list.List
	detach func()
}

// NewLifetime makes a life that ends with its parent, which may be nil.
func NewLifetime(parent *Lifetime) *Lifetime {
	l := &Lifetime{}
	if parent != nil {
		l.detach = parent.OnEnd(l.End)
	}
	return l
}

// Ended tells whether it has ended.
func (l *Lifetime) Ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// OnEnd hangs f on the life; at once where it is over. drop takes f off again.
func (l *Lifetime) OnEnd(f func()) (drop func()) {
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		f()
		return func() {}
	}
	at := l.hooks.PushBack(f)
	l.mu.Unlock()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.hooks.Remove(at)
	}
}

// End ends the life; a second time does nothing.
func (l *Lifetime) End() {
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		return
	}
	l.ended = true
	var hooks []func()
	for e := l.hooks.Front(); e != nil; e = e.Next() {
		hooks = append(hooks, e.Value.(func()))
	}
	l.hooks.Init()
	l.mu.Unlock()
	if l.detach != nil {
		l.detach()
	}
	for _, f := range hooks {
		f()
	}
}
