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
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/policy"
	"foldslip/internal/purgelog"
	"foldslip/internal/settings"
	"foldslip/internal/wire"
)

const (
	purgeSlack  = 5 * time.Second // as in package service
	mostEntries = 1 << 20         // positions that a Ledger keeps
)

// Hollow is one gateway without its load: the reader of the discovery watch, the caches, the purges and the router behind its facade, on
// real TCP, put together as service.Run does. It has no door, no connections to caches, no list on disk, no routes and no part in a
// fleet. Its goroutines end with Stop.
type Hollow struct {
	Router *dispatch.Dispatcher
	Caches *cacheregistry.Registry
	Purges *purgelog.Log
	life   *env.Lifetime
	group  env.Group
}

// HollowSpec is what a hollow gateway is told.
type HollowSpec struct {
	Watch    string          // address of the discovery watch
	Known    json.RawMessage // as in a gateway's configuration
	Settings json.RawMessage
	Seed     uint64
	Lookups  float64 // a second, answered at once by nobody; 0: none
	// Event, if set, is told the number of each event that counts; it must not wait.
	Event func(no int64)
}

// StartHollow starts one on a ground.
func StartHollow(g env.Environment, s HollowSpec) (*Hollow, error) {
	terms, err := settings.Parse(s.Settings)
	if err != nil {
		return nil, err
	}
	h := &Hollow{Caches: &cacheregistry.Registry{}, life: env.NewLifetime(nil), group: g.NewGroup()}
	h.Purges = &purgelog.Log{Clock: g, Grace: time.Duration(terms.PurgeGrace) * time.Microsecond, Retention: time.Duration(terms.Router.PurgeSettleTime)*time.Microsecond + purgeSlack}
	h.Router = dispatch.New(g, s.Seed, terms.Router, nil)
	watch := wire.NewWatch(g, s.Watch, terms, h.Router, h.Caches, h.Purges)
	if err := watch.LoadKnown(s.Known); err != nil {
		return nil, err
	}
	if s.Event != nil {
		watch.OnEvent = func(no int64, _ []dispatch.Purge) { s.Event(no) }
	}
	h.group.Go("bulletin", func() error { return watch.Run(h.life) })
	h.group.Go("tick", func() error { return h.tick(g) })
	if s.Lookups > 0 {
		h.group.Go("lookups", func() error { return h.trickle(g, terms, s) })
	}
	return h, nil
}

// tick brings the router its timers, as service does.
func (h *Hollow) tick(g env.Environment) error {
	end := g.NewNotifier()
	defer h.life.OnEnd(end.Notify)()
	for !end.Wait(max(h.Router.Tick(nil, false, nil), time.Millisecond)) {
	}
	return nil
}

// trickle has lookups decided: each is picked and told satisfied at once, so that only the decision costs.
func (h *Hollow) trickle(g env.Environment, terms *settings.Settings, s HollowSpec) error {
	end := g.NewNotifier()
	defer h.life.OnEnd(end.Notify)()
	chance := rand.New(rand.NewPCG(s.Seed, 0x6c6f6f6b))
	for n := 0; !end.Wait(time.Duration(chance.ExpFloat64() / s.Lookups * float64(time.Second))); n++ {
		l := h.Router.Submit(fmt.Sprintf("%016x", n), 0, fmt.Sprintf("%016x", chance.Uint64N(1000)), 0, 0, 449, g.Now().Add(terms.LatencyBudget(0, 449)))
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
func (h *Hollow) Stop() error {
	h.life.End()
	return h.group.Wait()
}

// Ground is the system's ground with its connections counted, its log kept as counts of events, and its time at a pace.
type Ground struct {
	*env.System
	pace Pace
	log  *slog.Logger
	// In and Out are payload bytes, Reads and Writes calls that moved any, Dials connections that came up.
	In, Out, Reads, Writes, Dials atomic.Int64
	tally                         *tally
}

// NewGround makes one; many hollow gateways may share it.
func NewGround(pace Pace) *Ground {
	g := &Ground{System: &env.System{}, pace: pace, tally: &tally{by: map[string]int64{}}}
	g.log = slog.New(g.tally)
	return g
}

// Log takes the log's lines; see Logged.
func (g *Ground) Log() *slog.Logger { return g.log }

// Logged is how often each event was logged.
func (g *Ground) Logged() map[string]int64 {
	g.tally.mu.Lock()
	defer g.tally.mu.Unlock()
	out := map[string]int64{}
	for k, n := range g.tally.by {
		out[k] = n
	}
	return out
}

// Now is the time at the ground's pace.
func (g *Ground) Now() time.Time { return g.pace.Now() }

// AfterFunc waits at the ground's pace.
func (g *Ground) AfterFunc(d time.Duration, f func()) env.Timer {
	return g.System.AfterFunc(g.pace.span(d), f)
}

// NewNotifier waits at the ground's pace.
func (g *Ground) NewNotifier() env.Notifier {
	if g.pace.k == 1 {
		return g.System.NewNotifier()
	}
	return slowNotifier{g.System.NewNotifier(), g.pace}
}

// Dial connects as the system does.
func (g *Ground) Dial(life *env.Lifetime, addr string, within time.Duration) (net.Conn, error) {
	conn, err := g.System.Dial(life, addr, g.pace.span(within))
	if err != nil {
		return nil, err
	}
	g.Dials.Add(1)
	if g.pace.k > 1 {
		conn = &slowConn{conn, g.pace}
	}
	return &counted{conn, g}, nil
}

type counted struct {
	net.Conn
	g *Ground
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.g.In.Add(int64(n))
		c.g.Reads.Add(1)
	}
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.g.Out.Add(int64(n))
		c.g.Writes.Add(1)
	}
	return n, err
}

// tally is a log that keeps how often each event came, 64 of them told apart.
type tally struct {
	mu sync.Mutex
	by map[string]int64
}

func (t *tally) Enabled(context.Context, slog.Level) bool { return true }
func (t *tally) WithAttrs([]slog.Attr) slog.Handler       { return t }
func (t *tally) WithGroup(string) slog.Handler            { return t }
func (t *tally) Handle(_ context.Context, r slog.Record) error {
	what := r.Message
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "reason" {
			what += " " + a.Value.String()
		}
		return true
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.by[what]; known || len(t.by) < 64 {
		t.by[what]++
	}
	return nil
}

// Ledger keeps when each event came to the last of many gateways.
type Ledger struct {
	mu      sync.Mutex
	entries []Arrival // by position, from 1
	past    int64     // arrivals of positions that are not kept
}

// Arrival is of one event: how many gateways it came to, and the Unix microseconds of the last.
type Arrival struct {
	N    int32 `json:"n"`
	Last int64 `json:"t"`
}

// Note keeps that an event counts at one gateway more; a zero time stands for a gateway that was down when it was told.
func (l *Ledger) Note(position int64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if position < 1 || position > mostEntries {
		l.past++
		return
	}
	for int64(len(l.entries)) < position {
		l.entries = append(l.entries, Arrival{})
	}
	e := &l.entries[position-1]
	e.N++
	if !at.IsZero() {
		e.Last = max(e.Last, at.UnixMicro())
	}
}

// Since gives the arrivals of positions from one on up to another; those that never came are zero.
func (l *Ledger) Since(from, to int64) ([]Arrival, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < 1 || to < from || to > mostEntries {
		return nil, errors.New("positions that no ledger keeps")
	}
	out := make([]Arrival, to-from+1)
	if from <= int64(len(l.entries)) {
		copy(out, l.entries[from-1:])
	}
	return out, nil
}
