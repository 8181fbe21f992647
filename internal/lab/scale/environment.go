package scale

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"foldslip/internal/env"
)

// Environment is the system's environment with a slow clock, connections that count their bytes and a log that only
// counts events. Many hollow gateways may share one. It is safe for concurrent use.
type Environment struct {
	*env.System
	clock SlowClock
	log   *slog.Logger
	// In and Out count payload bytes, Reads and Writes the calls that transferred any, and Dials the connections
	// established.
	In, Out, Reads, Writes, Dials atomic.Int64
	counter                       *eventCounter
}

// NewEnvironment returns an environment on a clock, with all counts at 0.
func NewEnvironment(clock SlowClock) *Environment {
	g := &Environment{System: &env.System{}, clock: clock, counter: &eventCounter{counts: map[string]int64{}}}
	g.log = slog.New(g.counter)
	return g
}

// Log returns a logger that only counts its lines; see LogCounts.
func (g *Environment) Log() *slog.Logger { return g.log }

// LogCounts returns the number of log lines by event and reason.
func (g *Environment) LogCounts() map[string]int64 {
	g.counter.mu.Lock()
	defer g.counter.mu.Unlock()
	out := map[string]int64{}
	for k, n := range g.counter.counts {
		out[k] = n
	}
	return out
}

// Now returns the slow clock's time.
func (g *Environment) Now() time.Time { return g.clock.Now() }

// AfterFunc calls f after a duration of the slow clock.
func (g *Environment) AfterFunc(d time.Duration, f func()) env.Timer {
	return g.System.AfterFunc(g.clock.realDuration(d), f)
}

// NewNotifier returns a notifier whose timeouts are durations of the slow clock.
func (g *Environment) NewNotifier() env.Notifier {
	if g.clock.factor == 1 {
		return g.System.NewNotifier()
	}
	return slowNotifier{g.System.NewNotifier(), g.clock}
}

// Dial connects to an address. The timeout is a duration of the slow clock, and the bytes of the connection are
// counted.
func (g *Environment) Dial(lifetime *env.Lifetime, addr string, timeout time.Duration) (net.Conn, error) {
	conn, err := g.System.Dial(lifetime, addr, g.clock.realDuration(timeout))
	if err != nil {
		return nil, err
	}
	g.Dials.Add(1)
	if g.clock.factor > 1 {
		conn = &slowConn{conn, g.clock}
	}
	return &countedConn{conn, g}, nil
}

// countedConn is a connection whose payload bytes and calls are counted in its environment.
type countedConn struct {
	net.Conn
	environment *Environment
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.environment.In.Add(int64(n))
		c.environment.Reads.Add(1)
	}
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.environment.Out.Add(int64(n))
		c.environment.Writes.Add(1)
	}
	return n, err
}

const maxEventKinds = 64 // limit of distinct pairs of event and reason that are counted

// eventCounter is a log handler that counts lines by event and reason. Lines of further kinds than the first
// maxEventKinds are not counted.
type eventCounter struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (c *eventCounter) Enabled(context.Context, slog.Level) bool { return true }
func (c *eventCounter) WithAttrs([]slog.Attr) slog.Handler       { return c }
func (c *eventCounter) WithGroup(string) slog.Handler            { return c }
func (c *eventCounter) Handle(_ context.Context, r slog.Record) error {
	event := r.Message
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "reason" {
			event += " " + a.Value.String()
		}
		return true
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.counts[event]; known || len(c.counts) < maxEventKinds {
		c.counts[event]++
	}
	return nil
}
