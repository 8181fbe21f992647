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
	IP    string
	Group string // of hosts that a split of the network separates from others
	Slow  time.Duration
	Mute  bool // vanished: it says nothing more and hears nothing
	w     *World
	serve map[string]acceptor // by port
}

type acceptor interface {
	// connect tells whether a connection is taken: refused, taken, or left without a word.
	connect(e *End) verdict
}

type verdict int

const (
	refused verdict = iota
	taken
	silent
)

// Host makes a host, or finds it.
func (w *World) Host(ip, group string) *Host {
	h := w.hosts[ip]
	if h == nil {
		h = &Host{IP: ip, Group: group, w: w, serve: map[string]acceptor{}}
		w.hosts[ip] = h
	}
	return h
}

// Split cuts two groups of hosts from each other; Heal mends all cuts between them.
func (w *World) Split(a, b string) { w.cut = append(w.cut, [2]string{a, b}) }

// Heal mends the cuts between two groups.
func (w *World) Heal(a, b string) {
	kept := w.cut[:0]
	for _, c := range w.cut {
		if c != [2]string{a, b} {
			kept = append(kept, c)
		}
	}
	w.cut = kept
}

func (w *World) reach(a, b *Host) bool {
	for _, c := range w.cut {
		if c[0] == a.Group && c[1] == b.Group || c[0] == b.Group && c[1] == a.Group {
			return false
		}
	}
	return !a.Mute && !b.Mute
}

// lag is the time a message takes, with the seed's jitter.
func (w *World) lag(a, b *Host) time.Duration {
	if w.Even {
		return 0
	}
	base := 200 * time.Microsecond
	if a.Group != b.Group {
		base = 2 * time.Millisecond
	}
	return base + a.Slow + b.Slow + time.Duration(w.Chance.Uint32()%300)*time.Microsecond
}

// Proc is a process on a host. It is a clock.Ground.
type Proc struct {
	Name  string
	Env_  map[string]string
	Files map[string][]byte
	Disks map[string]*Disk // by the path of a folder
	FDs   int              // descriptors it may hold
	// Skew is how far the clock of its machine was from the true time when it started.
	Skew time.Duration
	// Line gets each line of its log.
	Line func(p *Proc, level slog.Level, line string)
	// Done is called when its main goroutine ends.
	Done func(p *Proc, err error)

	w       *World
	host    *Host
	began   time.Duration
	tasks   []*task
	count   uint64
	timers  int
	dead    bool
	over    bool
	held    int // descriptors
	most    int
	conns   []*Conn
	listens []*listener
	dials   int
	blocks  int
	blocked time.Duration // when a write last was
	dialled time.Duration // when the last one ended
	hear    func(env.Signal)
	logger  *slog.Logger
}

// Start makes a process and calls main in a goroutine of it.
func (w *World) Start(h *Host, p *Proc, main func(g env.Environment) error) *Proc {
	p.w, p.host, p.began = w, h, w.now
	p.logger = slog.New(&handler{p: p})
	w.procs = append(w.procs, p)
	w.Note(StepStart, p.Name, "", 0)
	w.spawn(p, "main", func() {
		err := main(p)
		p.over = true
		if p.Done != nil {
			p.Done(p, err)
		}
	})
	return p
}

// Alive tells whether it has neither ended nor been killed.
func (p *Proc) Alive() bool { return !p.dead && !p.over }

// Held is what it holds now: goroutines, timers, descriptors.
func (p *Proc) Held() (goroutines, timers, descriptors int) { return len(p.tasks), p.timers, p.held }

// Dialling is when a connection was last being made, as its wire shows.
func (p *Proc) Dialling() time.Duration {
	if p.dials > 0 {
		return p.w.now
	}
	return p.dialled
}

// Blocking is when a write of the process last waited for a peer that takes nothing.
func (p *Proc) Blocking() time.Duration {
	if p.blocks > 0 {
		return p.w.now
	}
	return p.blocked
}

// Most is how many descriptors it held at once.
func (p *Proc) Most() int { return p.most }

// Names are the names of its goroutines.
func (p *Proc) Names() string {
	var names []string
	for _, t := range p.tasks {
		names = append(names, t.name)
	}
	return strings.Join(names, " ")
}

// Kill ends it at once: its connections are reset, nothing of it runs any more.
func (p *Proc) Kill() {
	if p.dead {
		return
	}
	p.w.Note(StepKill, p.Name, "", 0)
	p.dead = true
	for _, d := range p.Disks {
		d.locked = false
	}
	for _, l := range append([]*listener(nil), p.listens...) {
		l.shut()
	}
	for _, c := range append([]*Conn(nil), p.conns...) {
		c.abort()
	}
	p.stopTasks()
}

func (p *Proc) stopTasks() {
	w, was := p.w, p.w.cur
	for _, t := range append([]*task(nil), p.tasks...) {
		w.Drop(t.due)
		if w.cur = t; !t.ended {
			t.ended = true
			t.stop()
		}
	}
	w.cur, p.tasks = was, nil
}

// Signal gives it a signal, if it hears them; without ears it ends.
func (p *Proc) Signal(s env.Signal) {
	if !p.Alive() {
		return
	}
	p.w.Note(StepSignal, p.Name, "", int64(s))
	if p.hear == nil {
		p.Kill()
		return
	}
	p.hear(s)
}

func (p *Proc) take() bool {
	if p.FDs > 0 && p.held >= p.FDs {
		return false
	}
	p.held++
	p.most = max(p.most, p.held)
	return true
}

// Now is the time as this process's machine tells it; a step of the clock shows in processes started after it.
func (p *Proc) Now() time.Time { return Epoch.Add(p.w.now + p.Skew) }

func (p *Proc) since(t time.Time) time.Duration { return t.Sub(Epoch) - p.Skew }

type timer struct {
	p *Proc
	e *Event
}

func (t *timer) Stop() bool {
	if t.p.w.Drop(t.e) {
		t.p.timers--
		return true
	}
	return false
}

func (p *Proc) AfterFunc(d time.Duration, f func()) env.Timer {
	p.timers++
	return &timer{p, p.w.After(d, func() {
		p.timers--
		p.w.spawn(p, "timer", f)
	})}
}

type notifier struct {
	p       *Proc
	pending bool
	waiters []*task
}

func (p *Proc) NewNotifier() env.Notifier { return &notifier{p: p} }

func (b *notifier) Notify() {
	for len(b.waiters) > 0 {
		t := b.waiters[0]
		b.waiters = b.waiters[1:]
		if t.waits {
			b.p.w.wake(t, true)
			return
		}
	}
	b.pending = true
}

func (b *notifier) Wait(within time.Duration) bool {
	w := b.p.w
	w.lapse()
	if b.pending {
		b.pending = false
		return true
	}
	if within == 0 {
		return false
	}
	t := w.cur
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
	p    *Proc
	open int
	err  error
	wait []*task
}

func (p *Proc) NewGroup() env.Group { return &group{p: p} }

func (g *group) Go(name string, f func() error) {
	g.open++
	g.p.w.spawn(g.p, name, func() {
		defer func() {
			if g.open--; g.open == 0 {
				for _, t := range g.wait {
					g.p.w.wake(t, true)
				}
				g.wait = nil
			}
		}()
		if err := f(); err != nil && g.err == nil {
			g.err = err
		}
	})
}

func (g *group) Wait() error {
	for g.open > 0 {
		g.wait = append(g.wait, g.p.w.cur)
		g.p.w.park(-1)
	}
	return g.err
}

func (p *Proc) Getenv(name string) string { return p.Env_[name] }

// OpenDirectory is the disk that the process's machine has at a path.
func (p *Proc) OpenDirectory(path string) (env.Directory, error) {
	d := p.Disks[path]
	if d == nil {
		return nil, &fs.PathError{Op: "mkdir", Path: path, Err: fs.ErrPermission}
	}
	return d, nil
}

func (p *Proc) ReadFile(path string) ([]byte, error) {
	b, ok := p.Files[path]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return b, nil
}

func (p *Proc) OnSignal(hear func(env.Signal)) (stop func()) {
	p.hear = hear
	return func() { p.hear = nil }
}

func (p *Proc) SetResourceLimits(int, int64) {}

func (p *Proc) ReleaseMemory() {}

func (p *Proc) DescriptorLimit() uint64 { return uint64(p.FDs) }

func (p *Proc) Log() *slog.Logger { return p.logger }

// handler writes the log without its clock, which the world keeps, and counts events by name.
type handler struct{ p *Proc }

func (h *handler) Enabled(context.Context, slog.Level) bool { return true }
func (h *handler) WithAttrs([]slog.Attr) slog.Handler       { return h }
func (h *handler) WithGroup(string) slog.Handler            { return h }
func (h *handler) Handle(_ context.Context, r slog.Record) error {
	var b strings.Builder
	b.WriteString("event=" + r.Message)
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "stack" {
			return true // has addresses, which differ from run to run
		}
		fmt.Fprintf(&b, " %s=%v", a.Key, a.Value)
		return true
	})
	if h.p.dead {
		return nil
	}
	h.p.w.trace(StepLog, h.p.Name, b.String(), 0)
	if h.p.Line != nil {
		h.p.Line(h.p, r.Level, b.String())
	}
	return nil
}

var errCanceled = errors.New("operation was canceled")

func opError(op string, err error) error { return &net.OpError{Op: op, Net: "tcp", Err: err} }

// Cut tells whether two groups are cut from each other.
func (w *World) Cut(a, b string) bool {
	for _, c := range w.cut {
		if c == [2]string{a, b} || c == [2]string{b, a} {
			return true
		}
	}
	return false
}
