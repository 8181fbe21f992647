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
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// System is the Environment of a real process. The zero value has no logger.
type System struct {
	log *slog.Logger
	// WallOffset is added to the time that WallTime returns. It simulates a machine with a wrong clock in tests.
	WallOffset time.Duration
}

// NewSystem returns the environment of a real process. Its logger writes records of minLevel and above to w.
func NewSystem(w io.Writer, minLevel slog.Level) *System {
	return &System{log: slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: minLevel, ReplaceAttr: ReplaceLogAttr}))}
}

// ReplaceLogAttr renames the message key of log records to event, so that a line has the form event=NAME key=value. It
// is used as slog.HandlerOptions.ReplaceAttr.
func ReplaceLogAttr(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) == 0 && attr.Key == slog.MessageKey {
		attr.Key = "event"
	}
	return attr
}

// Now returns the current time.
func (*System) Now() time.Time { return time.Now() }

// WallTime returns the time that other machines are to see, which is the current time plus WallOffset. Now has no
// offset, since the kernel's deadlines use the same clock as Now.
func (s *System) WallTime() time.Time { return time.Now().Add(s.WallOffset) }

// AfterFunc calls f in its own goroutine after d has elapsed.
func (*System) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }

// NewNotifier returns a notifier without a pending notification.
func (*System) NewNotifier() Notifier { return notifier(make(chan struct{}, 1)) }

// notifier holds the pending notification in a channel of capacity 1.
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

// NewGroup returns a group without goroutines.
func (*System) NewGroup() Group { return &group{} }

type group struct{ errgroup.Group }

func (g *group) Go(_ string, f func() error) { g.Group.Go(f) }

// Dial opens a TCP connection. It fails if timeout elapses or lifetime ends first.
func (*System) Dial(lifetime *Lifetime, addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer lifetime.OnEnd(cancel)()
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(ctx, "tcp", addr)
}

// NonBlockingWriter returns a function that calls write(2) on the connection's file descriptor, or nil if conn has no
// file descriptor.
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
	write := func(fd uintptr) bool { // allocated once per connection, not once per write
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

// Listen returns a listener for TCP connections to addr.
func (*System) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Getenv returns a variable of the process's environment, or "" if it is not set.
func (*System) Getenv(name string) string { return os.Getenv(name) }

// OpenDirectory opens a directory of the file system. It creates the directory if it does not exist.
func (*System) OpenDirectory(path string) (Directory, error) { return OpenOSDirectory(path) }

// ReadFile reads a whole file.
func (*System) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// OnSignal registers handle for later SIGHUP, SIGTERM and SIGINT. Calls of handle are sequential and run in a separate
// goroutine. Signals of one kind that arrive while another of that kind is pending are merged with it.
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

// SetResourceLimits sets GOMAXPROCS and the soft memory limit of the Go runtime. A value of 0 leaves a limit unchanged.
func (*System) SetResourceLimits(cores int, memory int64) {
	if cores > 0 {
		runtime.GOMAXPROCS(cores)
	}
	if memory > 0 {
		debug.SetMemoryLimit(memory)
	}
}

// ProgramBytes sums up the mappings of files in /proc/self/maps that the process cannot write.
func (*System) ProgramBytes() (total int64) {
	maps, err := os.ReadFile("/proc/self/maps")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(maps)) {
		total += sharedMappingBytes(line)
	}
	return total
}

// sharedMappingBytes returns the size of the mapping that a line of /proc/self/maps describes if the mapping is of a file
// and cannot be written, and 0 otherwise.
func sharedMappingBytes(line string) int64 {
	words := strings.Fields(line) // addresses, permissions, offset, device, inode, path
	if len(words) < 6 || words[4] == "0" || strings.Contains(words[1], "w") {
		return 0
	}
	first, last, _ := strings.Cut(words[0], "-")
	begin, beginErr := strconv.ParseInt(first, 16, 64)
	end, endErr := strconv.ParseInt(last, 16, 64)
	if beginErr != nil || endErr != nil {
		return 0
	}
	return end - begin
}

// ReleaseMemory returns unused memory to the operating system.
func (*System) ReleaseMemory() { debug.FreeOSMemory() }

// DescriptorLimit returns the soft limit of RLIMIT_NOFILE, or 0 if it cannot be read.
func (*System) DescriptorLimit() uint64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return limit.Cur
}

// IsDescriptorExhausted reports whether a dial or an accept failed because the process (EMFILE) or the machine (ENFILE)
// has no file descriptor left.
func IsDescriptorExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Log returns the logger, which is nil for the zero value.
func (s *System) Log() *slog.Logger { return s.log }
