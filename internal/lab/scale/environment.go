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

// Environment is the system's ground with its connections counted, its log kept as counts of events, and its time at a pace.
type Environment struct {
	*env.System
	clock SlowClock
	log   *slog.Logger
	// In and Out are payload bytes, Reads and Writes calls that moved any, Dials connections that came up.
	In, Out, Reads, Writes, Dials atomic.Int64
	counter                       *eventCounter
}

// NewEnvironment makes one; many hollow gateways may share it.
func NewEnvironment(pace SlowClock) *Environment {
	g := &Environment{System: &env.System{}, clock: pace, counter: &eventCounter{counts: map[string]int64{}}}
	g.log = slog.New(g.counter)
	return g
}

// Log takes the log's lines; see Logged.
func (g *Environment) Log() *slog.Logger { return g.log }

// LogCounts is how often each event was logged.
func (g *Environment) LogCounts() map[string]int64 {
	g.counter.mu.Lock()
	defer g.counter.mu.Unlock()
	out := map[string]int64{}
	for k, n := range g.counter.counts {
		out[k] = n
	}
	return out
}

// Now is the time at the ground's pace.
func (g *Environment) Now() time.Time { return g.clock.Now() }

// AfterFunc waits at the ground's pace.
func (g *Environment) AfterFunc(d time.Duration, f func()) env.Timer {
	return g.System.AfterFunc(g.clock.realDuration(d), f)
}

// NewNotifier waits at the ground's pace.
func (g *Environment) NewNotifier() env.Notifier {
	if g.clock.factor == 1 {
		return g.System.NewNotifier()
	}
	return slowNotifier{g.System.NewNotifier(), g.clock}
}

// Dial connects as the system does.
func (g *Environment) Dial(life *env.Lifetime, addr string, within time.Duration) (net.Conn, error) {
	conn, err := g.System.Dial(life, addr, g.clock.realDuration(within))
	if err != nil {
		return nil, err
	}
	g.Dials.Add(1)
	if g.clock.factor > 1 {
		conn = &slowConn{conn, g.clock}
	}
	return &countedConn{conn, g}, nil
}

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

// eventCounter is a log that keeps how often each event came, 64 of them told apart.
type eventCounter struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (t *eventCounter) Enabled(context.Context, slog.Level) bool { return true }
func (t *eventCounter) WithAttrs([]slog.Attr) slog.Handler       { return t }
func (t *eventCounter) WithGroup(string) slog.Handler            { return t }
func (t *eventCounter) Handle(_ context.Context, r slog.Record) error {
	what := r.Message
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "reason" {
			what += " " + a.Value.String()
		}
		return true
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.counts[what]; known || len(t.counts) < 64 {
		t.counts[what]++
	}
	return nil
}
