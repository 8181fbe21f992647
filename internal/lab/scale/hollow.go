package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"foldslip/internal/cacheregistry"
	"foldslip/internal/discovery"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/policy"
	"foldslip/internal/purgelog"
	"foldslip/internal/settings"
)

const (
	purgeSlack  = 5 * time.Second // as in package service
	maxArrivals = 1 << 20         // positions that a Ledger keeps
)

// HollowGateway is one gateway without its load: the reader of the discovery watch, the caches, the purges and the router behind its facade, on
// real TCP, put together as service.Run does. It has no door, no connections to caches, no list on disk, no routes and no part in a
// fleet. Its goroutines end with Stop.
type HollowGateway struct {
	Router   *dispatch.Dispatcher
	Caches   *cacheregistry.Registry
	Purges   *purgelog.Log
	lifetime *env.Lifetime
	group    env.Group
}

// HollowOptions is what a hollow gateway is told.
type HollowOptions struct {
	DiscoveryAddr    string          // address of the discovery watch
	Known            json.RawMessage // as in a gateway's configuration
	Settings         json.RawMessage
	Seed             uint64
	LookupsPerSecond float64 // a second, answered at once by nobody; 0: none
	// Event, if set, is told the number of each event that counts; it must not wait.
	OnEvent func(no int64)
}

// StartHollowGateway starts one on a ground.
func StartHollowGateway(g env.Environment, s HollowOptions) (*HollowGateway, error) {
	terms, err := settings.Parse(s.Settings)
	if err != nil {
		return nil, err
	}
	h := &HollowGateway{Caches: &cacheregistry.Registry{}, lifetime: env.NewLifetime(nil), group: g.NewGroup()}
	h.Purges = &purgelog.Log{Clock: g, Grace: time.Duration(terms.PurgeGrace) * time.Microsecond, Retention: time.Duration(terms.Router.PurgeSettleTime)*time.Microsecond + purgeSlack}
	h.Router = dispatch.New(g, s.Seed, terms.Router, nil)
	watch := discovery.NewWatch(discovery.Config{Environment: g, Addr: s.DiscoveryAddr, Settings: terms, Dispatcher: h.Router, Registry: h.Caches, Purges: h.Purges})
	if err := watch.LoadKnown(s.Known); err != nil {
		return nil, err
	}
	if s.OnEvent != nil {
		watch.OnEvent = func(no int64, _ []dispatch.Purge) { s.OnEvent(no) }
	}
	h.group.Go("bulletin", func() error { return watch.Run(h.lifetime) })
	h.group.Go("tick", func() error { return h.runTimers(g) })
	if s.LookupsPerSecond > 0 {
		h.group.Go("lookups", func() error { return h.runLookups(g, terms, s) })
	}
	return h, nil
}

// runTimers brings the router its timers, as service does.
func (h *HollowGateway) runTimers(g env.Environment) error {
	end := g.NewNotifier()
	defer h.lifetime.OnEnd(end.Notify)()
	for !end.Wait(max(h.Router.Tick(nil, false, nil), time.Millisecond)) {
	}
	return nil
}

// runLookups has lookups decided: each is picked and told satisfied at once, so that only the decision costs.
func (h *HollowGateway) runLookups(g env.Environment, terms *settings.Settings, s HollowOptions) error {
	end := g.NewNotifier()
	defer h.lifetime.OnEnd(end.Notify)()
	chance := rand.New(rand.NewPCG(s.Seed, 0x6c6f6f6b))
	for n := 0; !end.Wait(time.Duration(chance.ExpFloat64() / s.LookupsPerSecond * float64(time.Second))); n++ {
		l := h.Router.Submit(dispatch.Request{ID: fmt.Sprintf("%016x", n), Object: fmt.Sprintf("%016x", chance.Uint64N(1000)), SizeKB: 449,
			Deadline: g.Now().Add(terms.LatencyBudget(0, 449))})
		for l != nil {
			step := h.Router.WaitStep(l)
			if step.Kind == dispatch.StepFetch {
				h.Router.AttemptEnded(l, step.Attempt, policy.OutcomeSatisfied, policy.DetailHit, 0)
			} else if step.Kind != dispatch.StepCancel {
				break
			}
		}
	}
	return nil
}

// Stop ends the gateway and waits for its goroutines.
func (h *HollowGateway) Stop() error {
	h.lifetime.End()
	return h.group.Wait()
}

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

// ArrivalLog keeps when each event came to the last of many gateways.
type ArrivalLog struct {
	mu       sync.Mutex
	entries  []Arrival // by position, from 1
	overflow int64     // arrivals of positions that are not kept
}

// Arrival is of one event: how many gateways it came to, and the Unix microseconds of the last.
type Arrival struct {
	Gateways   int32 `json:"n"`
	LastMicros int64 `json:"t"`
}

// Record keeps that an event counts at one gateway more; a zero time stands for a gateway that was down when it was told.
func (l *ArrivalLog) Record(position int64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if position < 1 || position > maxArrivals {
		l.overflow++
		return
	}
	for int64(len(l.entries)) < position {
		l.entries = append(l.entries, Arrival{})
	}
	e := &l.entries[position-1]
	e.Gateways++
	if !at.IsZero() {
		e.LastMicros = max(e.LastMicros, at.UnixMicro())
	}
}

// Since gives the arrivals of positions from one on up to another; those that never came are zero.
func (l *ArrivalLog) Since(from, to int64) ([]Arrival, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < 1 || to < from || to > maxArrivals {
		return nil, errors.New("positions that no ledger keeps")
	}
	out := make([]Arrival, to-from+1)
	if from <= int64(len(l.entries)) {
		copy(out, l.entries[from-1:])
	}
	return out, nil
}
