package env

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// System is the Environment of a real process. Its zero value has no log.
type System struct {
	log *slog.Logger
	// WallOffset is how far the machine's clock is off; for tests of machines with wrong clocks.
	WallOffset time.Duration
}

// NewSystem returns the system's environment. Its log goes to w, from a level on.
func NewSystem(w io.Writer, minLevel slog.Level) *System {
	return &System{log: slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: minLevel, ReplaceAttr: ReplaceLogAttr}))}
}

// ReplaceLogAttr gives log lines the form event=NAME key=value: the message is the event's name.
func ReplaceLogAttr(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) == 0 && attr.Key == slog.MessageKey {
		attr.Key = "event"
	}
	return attr
}

// Now returns the time.
func (*System) Now() time.Time { return time.Now() }

// WallTime returns the time as other machines are to see it: off by WallOffset. Now is not, since the kernel's deadlines are on the
// same clock as Now.
func (s *System) WallTime() time.Time { return time.Now().Add(s.WallOffset) }

// AfterFunc calls f in a goroutine of its own once d has passed.
func (*System) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }

// NewNotifier returns a notifier without a pending notification.
func (*System) NewNotifier() Notifier { return notifier(make(chan struct{}, 1)) }

// notifier holds a pending notification in the channel's one place.
type notifier chan struct{}

func (n notifier) Notify() {
	select {
	case n <- struct{}{}:
	default:
	}
}

func (n notifier) Wait(timeout time.Duration) bool {
	if timeout < 0 {
		<-n
		return true
	}
	select {
	case <-n:
		return true
	default:
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-n:
		return true
	case <-timer.C:
		return false
	}
}

// NewGroup returns an empty group of goroutines.
func (*System) NewGroup() Group { return &group{} }

type group struct{ errgroup.Group }

func (g *group) Go(_ string, f func() error) { g.Group.Go(f) }

// Dial connects over TCP within timeout and before the lifetime ends.
func (*System) Dial(lifetime *Lifetime, addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer lifetime.OnEnd(cancel)()
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(ctx, "tcp", addr)
}

// NonBlockingWriter writes with the connection's system call; nil where conn has no descriptor.
func (*System) NonBlockingWriter(conn net.Conn) NonBlockingWrite {
	descriptorConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := descriptorConn.SyscallConn()
	if err != nil {
		return nil
	}
	var pending []byte
	written := 0
	write := func(fd uintptr) bool { // allocated once a connection, not once a write
		written, _ = syscall.Write(int(fd), pending)
		return true
	}
	return func(b []byte) int {
		pending, written = b, 0
		if raw.Write(write) != nil {
			return 0
		}
		return max(0, written)
	}
}

// Listen accepts TCP connections at an address.
func (*System) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Getenv returns a variable of the process's environment, or "".
func (*System) Getenv(name string) string { return os.Getenv(name) }

// OpenDirectory opens a directory of the file system and creates it if it does not exist.
func (*System) OpenDirectory(path string) (Directory, error) { return OpenOSDirectory(path) }

// ReadFile reads a whole file.
func (*System) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// OnSignal calls handle for each signal from now on. A signal that waits to be handled stands for all of its kind that came meanwhile.
func (*System) OnSignal(handle func(Signal)) (stop func()) {
	reload := make(chan os.Signal, 1)
	terminate := make(chan os.Signal, 1)
	stopped := make(chan struct{})
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for {
			select {
			case <-reload:
				handle(Reload)
			case <-terminate:
				handle(Terminate)
			case <-stopped:
				return
			}
		}
	}()
	return func() {
		signal.Stop(reload)
		signal.Stop(terminate)
		close(stopped)
	}
}

// SetResourceLimits sets GOMAXPROCS and the soft memory limit of Go's runtime.
func (*System) SetResourceLimits(cores int, memory int64) {
	if cores > 0 {
		runtime.GOMAXPROCS(cores)
	}
	if memory > 0 {
		debug.SetMemoryLimit(memory)
	}
}

// ReleaseMemory returns memory that is no longer used to the system.
func (*System) ReleaseMemory() { debug.FreeOSMemory() }

// DescriptorLimit returns the soft limit of RLIMIT_NOFILE; 0 if it cannot be read.
func (*System) DescriptorLimit() uint64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return limit.Cur
}

// IsDescriptorExhausted reports whether a dial or an accept failed because the process, or the machine, has no descriptor left.
func IsDescriptorExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Log returns the log.
func (s *System) Log() *slog.Logger { return s.log }
