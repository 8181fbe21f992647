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

// System is the ground of a real process.
type System struct {
	log        *slog.Logger
	WallOffset time.Duration // Wall is off by so much; for tests
}

// NewSystem makes the system's ground, with the log on w from a level on.
func NewSystem(w io.Writer, least slog.Level) *System {
	return &System{log: slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: least, ReplaceAttr: ReplaceLogAttr}))}
}

// ReplaceLogAttr makes a line of the log event=NAME key=value: the message is the event's name.
func ReplaceLogAttr(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.MessageKey {
		a.Key = "event"
	}
	return a
}

func (*System) Now() time.Time { return time.Now() }

// WallTime is the machine's time as it is told to other machines, where that clock is off by Offset. Now stays, since the kernel's deadlines
// are on the same clock as it.
func (s *System) WallTime() time.Time { return time.Now().Add(s.WallOffset) }

func (*System) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }

func (*System) NewNotifier() Notifier { return notifier(make(chan struct{}, 1)) }

type notifier chan struct{}

func (b notifier) Notify() {
	select {
	case b <- struct{}{}:
	default:
	}
}

func (b notifier) Wait(within time.Duration) bool {
	if within < 0 {
		<-b
		return true
	}
	select {
	case <-b:
		return true
	default:
	}
	late := time.NewTimer(within)
	defer late.Stop()
	select {
	case <-b:
		return true
	case <-late.C:
		return false
	}
}

func (*System) NewGroup() Group { return &group{} }

type group struct{ errgroup.Group }

func (g *group) Go(_ string, f func() error) { g.Group.Go(f) }

func (*System) Dial(life *Lifetime, addr string, within time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer life.OnEnd(cancel)()
	dial := net.Dialer{Timeout: within}
	return dial.DialContext(ctx, "tcp", addr)
}

func (*System) NonBlockingWriter(conn net.Conn) NonBlockingWrite {
	its, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := its.SyscallConn()
	if err != nil {
		return nil
	}
	var b []byte
	n := 0
	write := func(fd uintptr) bool { // made once a connection
		n, _ = syscall.Write(int(fd), b)
		return true
	}
	return func(text []byte) int {
		b, n = text, 0
		if raw.Write(write) != nil {
			return 0
		}
		return max(0, n)
	}
}

func (*System) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

func (*System) Getenv(name string) string { return os.Getenv(name) }

func (*System) OpenDirectory(path string) (Directory, error) { return OpenOSDirectory(path) }

func (*System) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (*System) OnSignal(hear func(Signal)) (stop func()) {
	hup, term := make(chan os.Signal, 1), make(chan os.Signal, 1) // one that waits stands for all of its kind
	over := make(chan struct{})
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for {
			select {
			case <-hup:
				hear(Reload)
			case <-term:
				hear(Terminate)
			case <-over:
				return
			}
		}
	}()
	return func() {
		signal.Stop(hup)
		signal.Stop(term)
		close(over)
	}
}

func (*System) SetResourceLimits(cores int, memory int64) {
	if cores > 0 {
		runtime.GOMAXPROCS(cores)
	}
	if memory > 0 {
		debug.SetMemoryLimit(memory)
	}
}

func (*System) ReleaseMemory() { debug.FreeOSMemory() }

func (*System) DescriptorLimit() uint64 {
	var own syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own) != nil {
		return 0
	}
	return own.Cur
}

// IsDescriptorExhausted tells whether a dial or an accept failed because the process, or the machine, has no descriptor left.
func IsDescriptorExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

func (s *System) Log() *slog.Logger { return s.log }
