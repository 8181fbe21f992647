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

// Process is a process on a host. It implements env.Environment for its
// own goroutines. Its exported fields are set before Simulation.Start.
type Process struct {
	Name           string
	Variables      map[string]string     // environment variables
	Files          map[string][]byte     // by path
	Directories    map[string]*Directory // by path
	MaxDescriptors int                   // 0 means no limit
	// Skew is the difference between the clock of its machine and
	// the true time. It does not change while the process runs.
	Skew time.Duration
	// OnLogLine, if set, is called with each line of the process's log.
	OnLogLine func(p *Process, level slog.Level, line string)
	// OnEnd, if set, is called when the main function of the process returns.
	OnEnd func(p *Process, err error)

	sim             *Simulation
	host            *Host
	tasks           []*task
	taskCount       uint64 // goroutines spawned so far
	timerCount      int    // running timers
	killed          bool
	ended           bool
	descriptors     int // open descriptors
	peakDescriptors int
	conns           []*Conn
	listeners       []*listener
	openDials       int           // dials in progress
	lastDialed      time.Duration // when a dial last ended
	blockedWrites   int           // writes that wait for room in the window
	lastBlocked     time.Duration // when a write was last blocked
	onSignal        func(env.Signal)
	logger          *slog.Logger
}

// Start starts a process on a host. It calls main in a goroutine of the process.
func (s *Simulation) Start(h *Host, p *Process, main func(environment env.Environment) error) *Process {
	p.sim = s
	p.host = h
	p.logger = slog.New(&logHandler{process: p})
	s.processes = append(s.processes, p)
	s.RecordStep(StepStart, p.Name, "", 0)
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

// Resources returns the numbers of goroutines, running timers and open descriptors.
func (p *Process) Resources() (goroutines, timers, descriptors int) {
	return len(p.tasks), p.timerCount, p.descriptors
}

// LastDialing returns the last time at which a dial was in progress.
func (p *Process) LastDialing() time.Duration {
	if p.openDials > 0 {
		return p.sim.now
	}
	return p.lastDialed
}

// LastBlocked returns the last time at which a write waited for a peer that
// did not read. It includes a non-blocking write that could write nothing.
func (p *Process) LastBlocked() time.Duration {
	if p.blockedWrites > 0 {
		return p.sim.now
	}
	return p.lastBlocked
}

// PeakDescriptors returns the largest number of descriptors that were open at the same time.
func (p *Process) PeakDescriptors() int { return p.peakDescriptors }

// GoroutineNames returns the names of the goroutines, separated by spaces.
func (p *Process) GoroutineNames() string {
	var names []string
	for _, t := range p.tasks {
		names = append(names, t.name)
	}
	return strings.Join(names, " ")
}

// Kill ends the process at once. Its listeners close, its connections are reset and its goroutines are unwound.
func (p *Process) Kill() {
	if p.killed {
		return
	}
	p.sim.RecordStep(StepKill, p.Name, "", 0)
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

// stopTasks unwinds all goroutines of the process.
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

// Signal sends a signal to the process. A process that does not handle signals is killed.
func (p *Process) Signal(signal env.Signal) {
	if !p.IsAlive() {
		return
	}
	p.sim.RecordStep(StepSignal, p.Name, "", int64(signal))
	if p.onSignal == nil {
		p.Kill()
		return
	}
	p.onSignal(signal)
}

// acquireDescriptor counts one more open descriptor. It reports false if MaxDescriptors descriptors are already open.
func (p *Process) acquireDescriptor() bool {
	if p.MaxDescriptors > 0 && p.descriptors >= p.MaxDescriptors {
		return false
	}
	p.descriptors++
	p.peakDescriptors = max(p.peakDescriptors, p.descriptors)
	return true
}

// Now returns the time on the clock of the process's machine. A
// step of that clock affects only processes that start after it.
func (p *Process) Now() time.Time { return Epoch.Add(p.sim.now + p.Skew) }

// simTime converts a time on the clock of the process's machine to a time of the simulation.
func (p *Process) simTime(t time.Time) time.Duration { return t.Sub(Epoch) - p.Skew }

// deadline converts a deadline in the form of package net to a time of the simulation. The zero time means forever.
func (p *Process) deadline(t time.Time) time.Duration {
	if t.IsZero() {
		return forever
	}
	return max(0, p.simTime(t))
}

// untilDeadline returns the time limit of a wait that ends at a deadline.
func (p *Process) untilDeadline(deadline time.Duration) time.Duration {
	if deadline < 0 {
		return forever
	}
	return deadline - p.sim.now
}

// isPast reports whether a deadline has passed.
func (p *Process) isPast(deadline time.Duration) bool { return deadline >= 0 && p.sim.now >= deadline }

// Getenv returns a variable of the process's environment, or "" if it is not set.
func (p *Process) Getenv(name string) string { return p.Variables[name] }

// OpenDirectory returns the directory at a path of the process's machine. It fails if there is none.
func (p *Process) OpenDirectory(path string) (env.Directory, error) {
	d := p.Directories[path]
	if d == nil {
		return nil, &fs.PathError{Op: "mkdir", Path: path, Err: fs.ErrPermission}
	}
	return d, nil
}

// ReadFile returns the content of a file on the process's machine.
func (p *Process) ReadFile(path string) ([]byte, error) {
	b, exists := p.Files[path]
	if !exists {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return b, nil
}

// OnSignal sets the function that is called for each signal until stop is called.
func (p *Process) OnSignal(handle func(env.Signal)) (stop func()) {
	p.onSignal = handle
	return func() { p.onSignal = nil }
}

// SetResourceLimits does nothing, because the simulation has no cores and no memory limit.
func (p *Process) SetResourceLimits(int, int64) {}

// ProgramBytes returns 0, because the simulated process has no program file.
func (p *Process) ProgramBytes() int64 { return 0 }

// ReleaseMemory does nothing.
func (p *Process) ReleaseMemory() {}

// DescriptorLimit returns MaxDescriptors.
func (p *Process) DescriptorLimit() uint64 { return uint64(p.MaxDescriptors) }

// Log returns the logger of the process. Its lines go to OnLogLine and to the trace.
func (p *Process) Log() *slog.Logger { return p.logger }

// logHandler formats log records without their time, because the simulation has its own time.
type logHandler struct{ process *Process }

// Enabled reports true for every level.
func (h *logHandler) Enabled(context.Context, slog.Level) bool { return true }

// WithAttrs returns the handler unchanged, because the gateway's loggers have no attributes of their own.
func (h *logHandler) WithAttrs([]slog.Attr) slog.Handler { return h }

// WithGroup returns the handler unchanged.
func (h *logHandler) WithGroup(string) slog.Handler { return h }

// Handle formats a record as "event=MESSAGE KEY=VALUE ...".
func (h *logHandler) Handle(_ context.Context, r slog.Record) error {
	var b strings.Builder
	b.WriteString("event=" + r.Message)
	r.Attrs(func(a slog.Attr) bool {
		if a.Key != "stack" { // a stack contains addresses, which differ from run to run
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
