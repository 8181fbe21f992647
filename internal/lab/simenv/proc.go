package simenv

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"strings"
	"time"

	"foldslip/internal/env"
)

// Host is a machine: it has an address and, in the end, a fate.
type Host struct {
	IP           string
	Group        string // of hosts that a split of the network separates from others
	ExtraLatency time.Duration
	Vanished     bool // vanished: it says nothing more and hears nothing
	sim          *Simulation
	listeners    map[string]acceptor // by port
}

type acceptor interface {
	// connect tells whether a connection is taken: refused, taken, or left without a word.
	connect(e *End) connectResult
}

type connectResult int

const (
	refused connectResult = iota
	accepted
	unanswered
)

// Host makes a host, or finds it.
func (w *Simulation) Host(ip, group string) *Host {
	h := w.hosts[ip]
	if h == nil {
		h = &Host{IP: ip, Group: group, sim: w, listeners: map[string]acceptor{}}
		w.hosts[ip] = h
	}
	return h
}

// Split cuts two groups of hosts from each other; Heal mends all cuts between them.
func (w *Simulation) Split(a, b string) { w.splits = append(w.splits, [2]string{a, b}) }

// Heal mends the cuts between two groups.
func (w *Simulation) Heal(a, b string) {
	kept := w.splits[:0]
	for _, c := range w.splits {
		if c != [2]string{a, b} {
			kept = append(kept, c)
		}
	}
	w.splits = kept
}

func (w *Simulation) isReachable(a, b *Host) bool {
	for _, c := range w.splits {
		if c[0] == a.Group && c[1] == b.Group || c[0] == b.Group && c[1] == a.Group {
			return false
		}
	}
	return !a.Vanished && !b.Vanished
}

// latency is the time a message takes, with the seed's jitter.
func (w *Simulation) latency(a, b *Host) time.Duration {
	if w.Lockstep {
		return 0
	}
	base := 200 * time.Microsecond
	if a.Group != b.Group {
		base = 2 * time.Millisecond
	}
	return base + a.ExtraLatency + b.ExtraLatency + time.Duration(w.Rand.Uint32()%300)*time.Microsecond
}

// Process is a process on a host. It is a clock.Ground.
type Process struct {
	Name           string
	Variables      map[string]string
	Files          map[string][]byte
	Directories    map[string]*Directory // by the path of a folder
	MaxDescriptors int                   // descriptors it may hold
	// Skew is how far the clock of its machine was from the true time when it started.
	Skew time.Duration
	// Line gets each line of its log.
	OnLogLine func(p *Process, level slog.Level, line string)
	// Done is called when its main goroutine ends.
	OnEnd func(p *Process, err error)

	sim             *Simulation
	host            *Host
	startedAt       time.Duration
	tasks           []*task
	taskCount       uint64
	timerCount      int
	killed          bool
	ended           bool
	descriptors     int // descriptors
	peakDescriptors int
	conns           []*Conn
	listeners       []*listener
	openDials       int
	blockedWrites   int
	lastBlocked     time.Duration // when a write last was
	lastDialed      time.Duration // when the last one ended
	onSignal        func(env.Signal)
	logger          *slog.Logger
}

// Start makes a process and calls main in a goroutine of it.
func (w *Simulation) Start(h *Host, p *Process, main func(g env.Environment) error) *Process {
	p.sim, p.host, p.startedAt = w, h, w.now
	p.logger = slog.New(&logHandler{process: p})
	w.processes = append(w.processes, p)
	w.Note(StepStart, p.Name, "", 0)
	w.spawn(p, "main", func() {
		err := main(p)
		p.ended = true
		if p.OnEnd != nil {
			p.OnEnd(p, err)
		}
	})
	return p
}

// IsAlive tells whether it has neither ended nor been killed.
func (p *Process) IsAlive() bool { return !p.killed && !p.ended }

// Resources is what it holds now: goroutines, timers, descriptors.
func (p *Process) Resources() (goroutines, timers, descriptors int) {
	return len(p.tasks), p.timerCount, p.descriptors
}

// LastDialing is when a connection was last being made, as its wire shows.
func (p *Process) LastDialing() time.Duration {
	if p.openDials > 0 {
		return p.sim.now
	}
	return p.lastDialed
}

// LastBlocked is when a write of the process last waited for a peer that takes nothing.
func (p *Process) LastBlocked() time.Duration {
	if p.blockedWrites > 0 {
		return p.sim.now
	}
	return p.lastBlocked
}

// PeakDescriptors is how many descriptors it held at once.
func (p *Process) PeakDescriptors() int { return p.peakDescriptors }

// GoroutineNames are the names of its goroutines.
func (p *Process) GoroutineNames() string {
	var names []string
	for _, t := range p.tasks {
		names = append(names, t.name)
	}
	return strings.Join(names, " ")
}

// Kill ends it at once: its connections are reset, nothing of it runs any more.
func (p *Process) Kill() {
	if p.killed {
		return
	}
	p.sim.Note(StepKill, p.Name, "", 0)
	p.killed = true
	for _, d := range p.Directories {
		d.locked = false
	}
	for _, l := range append([]*listener(nil), p.listeners...) {
		l.closeAll()
	}
	for _, c := range append([]*Conn(nil), p.conns...) {
		c.abort()
	}
	p.stopTasks()
}

func (p *Process) stopTasks() {
	w, was := p.sim, p.sim.current
	for _, t := range append([]*task(nil), p.tasks...) {
		w.Cancel(t.timeout)
		if w.current = t; !t.ended {
			t.ended = true
			t.stop()
		}
	}
	w.current, p.tasks = was, nil
}

// Signal gives it a signal, if it hears them; without ears it ends.
func (p *Process) Signal(s env.Signal) {
	if !p.IsAlive() {
		return
	}
	p.sim.Note(StepSignal, p.Name, "", int64(s))
	if p.onSignal == nil {
		p.Kill()
		return
	}
	p.onSignal(s)
}

func (p *Process) acquireDescriptor() bool {
	if p.MaxDescriptors > 0 && p.descriptors >= p.MaxDescriptors {
		return false
	}
	p.descriptors++
	p.peakDescriptors = max(p.peakDescriptors, p.descriptors)
	return true
}

// Now is the time as this process's machine tells it; a step of the clock shows in processes started after it.
func (p *Process) Now() time.Time { return Epoch.Add(p.sim.now + p.Skew) }

func (p *Process) simTime(t time.Time) time.Duration { return t.Sub(Epoch) - p.Skew }

type timer struct {
	process *Process
	event   *Event
}

func (t *timer) Stop() bool {
	if t.process.sim.Cancel(t.event) {
		t.process.timerCount--
		return true
	}
	return false
}

func (p *Process) AfterFunc(d time.Duration, f func()) env.Timer {
	p.timerCount++
	return &timer{p, p.sim.After(d, func() {
		p.timerCount--
		p.sim.spawn(p, "timer", f)
	})}
}

type notifier struct {
	process *Process
	pending bool
	waiters []*task
}

func (p *Process) NewNotifier() env.Notifier { return &notifier{process: p} }

func (b *notifier) Notify() {
	for len(b.waiters) > 0 {
		t := b.waiters[0]
		b.waiters = b.waiters[1:]
		if t.parked {
			b.process.sim.wake(t, true)
			return
		}
	}
	b.pending = true
}

func (b *notifier) Wait(within time.Duration) bool {
	w := b.process.sim
	w.maybeYield()
	if b.pending {
		b.pending = false
		return true
	}
	if within == 0 {
		return false
	}
	t := w.current
	b.waiters = append(b.waiters, t)
	if w.park(within) {
		return true
	}
	for i, o := range b.waiters {
		if o == t {
			b.waiters = append(b.waiters[:i:i], b.waiters[i+1:]...)
			break
		}
	}
	return false
}

type group struct {
	process *Process
	open    int
	err     error
	waiters []*task
}

func (p *Process) NewGroup() env.Group { return &group{process: p} }

func (g *group) Go(name string, f func() error) {
	g.open++
	g.process.sim.spawn(g.process, name, func() {
		defer func() {
			if g.open--; g.open == 0 {
				for _, t := range g.waiters {
					g.process.sim.wake(t, true)
				}
				g.waiters = nil
			}
		}()
		if err := f(); err != nil && g.err == nil {
			g.err = err
		}
	})
}

func (g *group) Wait() error {
	for g.open > 0 {
		g.waiters = append(g.waiters, g.process.sim.current)
		g.process.sim.park(-1)
	}
	return g.err
}

func (p *Process) Getenv(name string) string { return p.Variables[name] }

// OpenDirectory is the disk that the process's machine has at a path.
func (p *Process) OpenDirectory(path string) (env.Directory, error) {
	d := p.Directories[path]
	if d == nil {
		return nil, &fs.PathError{Op: "mkdir", Path: path, Err: fs.ErrPermission}
	}
	return d, nil
}

func (p *Process) ReadFile(path string) ([]byte, error) {
	b, ok := p.Files[path]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return b, nil
}

func (p *Process) OnSignal(hear func(env.Signal)) (stop func()) {
	p.onSignal = hear
	return func() { p.onSignal = nil }
}

func (p *Process) SetResourceLimits(int, int64) {}

func (p *Process) ReleaseMemory() {}

func (p *Process) DescriptorLimit() uint64 { return uint64(p.MaxDescriptors) }

func (p *Process) Log() *slog.Logger { return p.logger }

// logHandler writes the log without its clock, which the world keeps, and counts events by name.
type logHandler struct{ process *Process }

func (h *logHandler) Enabled(context.Context, slog.Level) bool { return true }
func (h *logHandler) WithAttrs([]slog.Attr) slog.Handler       { return h }
func (h *logHandler) WithGroup(string) slog.Handler            { return h }
func (h *logHandler) Handle(_ context.Context, r slog.Record) error {
	var b strings.Builder
	b.WriteString("event=" + r.Message)
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "stack" {
			return true // has addresses, which differ from run to run
		}
		fmt.Fprintf(&b, " %s=%v", a.Key, a.Value)
		return true
	})
	if h.process.killed {
		return nil
	}
	h.process.sim.trace(StepLog, h.process.Name, b.String(), 0)
	if h.process.OnLogLine != nil {
		h.process.OnLogLine(h.process, r.Level, b.String())
	}
	return nil
}

var errDialCanceled = errors.New("operation was canceled")

func tcpError(op string, err error) error { return &net.OpError{Op: op, Net: "tcp", Err: err} }

// IsSplit tells whether two groups are cut from each other.
func (w *Simulation) IsSplit(a, b string) bool {
	for _, c := range w.splits {
		if c == [2]string{a, b} || c == [2]string{b, a} {
			return true
		}
	}
	return false
}
