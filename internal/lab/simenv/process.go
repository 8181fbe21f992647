package simenv

import (
	"context"
	"fmt"
	"io/fs"
	"log/slog"
	"slices"
	"strings"
	"time"

	"foldslip/internal/env"
)

// Process is a process on a host. It implements env.Environment for its own goroutines. Its exported fields are set before
// Simulation.Start.
type Process struct {
	Name           string
	Variables      map[string]string // of its environment
	Files          map[string][]byte
	Directories    map[string]*Directory // by path
	MaxDescriptors int                   // 0: no limit
	// Skew is how far the clock of its machine was from the true time when it started.
	Skew time.Duration
	// OnLogLine gets each line of its log, if it is set.
	OnLogLine func(p *Process, level slog.Level, line string)
	// OnEnd is called when its main function returns, if it is set.
	OnEnd func(p *Process, err error)

	sim             *Simulation
	host            *Host
	tasks           []*task
	taskCount       uint64 // that were ever spawned
	timerCount      int    // that are running
	killed          bool
	ended           bool
	descriptors     int // that are open
	peakDescriptors int
	conns           []*Conn
	listeners       []*listener
	openDials       int
	lastDialed      time.Duration // when a dial last ended
	blockedWrites   int
	lastBlocked     time.Duration // when a blocked write last ended
	onSignal        func(env.Signal)
	logger          *slog.Logger
}

// Start starts a process and calls main in a goroutine of it.
func (s *Simulation) Start(h *Host, p *Process, main func(environment env.Environment) error) *Process {
	p.sim = s
	p.host = h
	p.logger = slog.New(&logHandler{process: p})
	s.processes = append(s.processes, p)
	s.Note(StepStart, p.Name, "", 0)
	s.spawn(p, "main", func() {
		err := main(p)
		p.ended = true
		if p.OnEnd != nil {
			p.OnEnd(p, err)
		}
	})
	return p
}

// IsAlive reports whether the process has neither ended nor been killed.
func (p *Process) IsAlive() bool { return !p.killed && !p.ended }

// Resources are the goroutines, timers and descriptors that it has now.
func (p *Process) Resources() (goroutines, timers, descriptors int) {
	return len(p.tasks), p.timerCount, p.descriptors
}

// LastDialing is when a connection was last being made.
func (p *Process) LastDialing() time.Duration {
	if p.openDials > 0 {
		return p.sim.now
	}
	return p.lastDialed
}

// LastBlocked is when a write last waited for a peer that reads nothing, or a write that does not wait found that it would have to.
func (p *Process) LastBlocked() time.Duration {
	if p.blockedWrites > 0 {
		return p.sim.now
	}
	return p.lastBlocked
}

// PeakDescriptors is how many descriptors it had at once.
func (p *Process) PeakDescriptors() int { return p.peakDescriptors }

// GoroutineNames are the names of its goroutines, separated by spaces.
func (p *Process) GoroutineNames() string {
	var names []string
	for _, t := range p.tasks {
		names = append(names, t.name)
	}
	return strings.Join(names, " ")
}

// Kill ends the process at once: its connections are reset, nothing of it runs any more.
func (p *Process) Kill() {
	if p.killed {
		return
	}
	p.sim.Note(StepKill, p.Name, "", 0)
	p.killed = true
	for _, d := range p.Directories {
		d.locked = false
	}
	for _, l := range slices.Clone(p.listeners) {
		l.closeAll()
	}
	for _, c := range slices.Clone(p.conns) {
		c.abort()
	}
	p.stopTasks()
}

// stopTasks unwinds all goroutines.
func (p *Process) stopTasks() {
	s := p.sim
	before := s.current
	for _, t := range slices.Clone(p.tasks) {
		s.Cancel(t.timeout)
		s.current = t
		if !t.ended {
			t.ended = true
			t.stop()
		}
	}
	s.current = before
	p.tasks = nil
}

// Signal sends the process a signal. It is killed if it does not handle signals.
func (p *Process) Signal(signal env.Signal) {
	if !p.IsAlive() {
		return
	}
	p.sim.Note(StepSignal, p.Name, "", int64(signal))
	if p.onSignal == nil {
		p.Kill()
		return
	}
	p.onSignal(signal)
}

// acquireDescriptor reports whether the process may open one more descriptor, and counts it.
func (p *Process) acquireDescriptor() bool {
	if p.MaxDescriptors > 0 && p.descriptors >= p.MaxDescriptors {
		return false
	}
	p.descriptors++
	p.peakDescriptors = max(p.peakDescriptors, p.descriptors)
	return true
}

// Now is the time by the process's machine; a step of its clock shows in processes that start after it.
func (p *Process) Now() time.Time { return Epoch.Add(p.sim.now + p.Skew) }

// simTime is the time of the simulation at a time of the process's machine.
func (p *Process) simTime(t time.Time) time.Duration { return t.Sub(Epoch) - p.Skew }

// deadline is the time of the simulation at a deadline as package net has it; forever for the zero one.
func (p *Process) deadline(t time.Time) time.Duration {
	if t.IsZero() {
		return forever
	}
	return max(0, p.simTime(t))
}

// untilDeadline is how long a wait for a deadline lasts.
func (p *Process) untilDeadline(deadline time.Duration) time.Duration {
	if deadline < 0 {
		return forever
	}
	return deadline - p.sim.now
}

func (p *Process) isPast(deadline time.Duration) bool { return deadline >= 0 && p.sim.now >= deadline }

// Getenv returns a variable of the process's environment.
func (p *Process) Getenv(name string) string { return p.Variables[name] }

// OpenDirectory returns the directory that the process's machine has at a path.
func (p *Process) OpenDirectory(path string) (env.Directory, error) {
	d := p.Directories[path]
	if d == nil {
		return nil, &fs.PathError{Op: "mkdir", Path: path, Err: fs.ErrPermission}
	}
	return d, nil
}

// ReadFile returns a file of the process's machine.
func (p *Process) ReadFile(path string) ([]byte, error) {
	b, exists := p.Files[path]
	if !exists {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return b, nil
}

// OnSignal sets what is called for each signal, until stop.
func (p *Process) OnSignal(handle func(env.Signal)) (stop func()) {
	p.onSignal = handle
	return func() { p.onSignal = nil }
}

// SetResourceLimits does nothing: the simulation has no cores and no memory limit.
func (p *Process) SetResourceLimits(int, int64) {}

// ReleaseMemory does nothing.
func (p *Process) ReleaseMemory() {}

// DescriptorLimit is MaxDescriptors.
func (p *Process) DescriptorLimit() uint64 { return uint64(p.MaxDescriptors) }

// Log returns the process's logger, whose lines go to OnLogLine and the trace.
func (p *Process) Log() *slog.Logger { return p.logger }

// logHandler formats log lines without their time, which the simulation has.
type logHandler struct{ process *Process }

// Enabled reports true: all levels are handled.
func (h *logHandler) Enabled(context.Context, slog.Level) bool { return true }

// WithAttrs returns the handler unchanged: the gateway's loggers have no attributes of their own.
func (h *logHandler) WithAttrs([]slog.Attr) slog.Handler { return h }

// WithGroup returns the handler unchanged.
func (h *logHandler) WithGroup(string) slog.Handler { return h }

// Handle formats a record as "event=MESSAGE KEY=VALUE ...".
func (h *logHandler) Handle(_ context.Context, r slog.Record) error {
	var b strings.Builder
	b.WriteString("event=" + r.Message)
	r.Attrs(func(a slog.Attr) bool {
		if a.Key != "stack" { // it has addresses, which differ from run to run
			fmt.Fprintf(&b, " %s=%v", a.Key, a.Value)
		}
		return true
	})
	p := h.process
	if p.killed {
		return nil
	}
	p.sim.trace(StepLog, p.Name, b.String(), 0)
	if p.OnLogLine != nil {
		p.OnLogLine(p, r.Level, b.String())
	}
	return nil
}
