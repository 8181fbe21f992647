package simenv

import (
	"slices"
	"time"

	"foldslip/internal/env"
)

// timer is the timer of one call of AfterFunc.
type timer struct {
	process *Process
	event   *Event
}

// Stop stops the timer. It reports false if the timer has fired or was stopped before.
func (t *timer) Stop() bool {
	if !t.process.sim.Cancel(t.event) {
		return false
	}
	t.process.timerCount--
	return true
}

// AfterFunc calls f in a goroutine of its own once d has passed.
func (p *Process) AfterFunc(d time.Duration, f func()) env.Timer {
	p.timerCount++
	return &timer{p, p.sim.After(d, func() {
		p.timerCount--
		p.sim.spawn(p, "timer", f)
	})}
}

// notifier wakes waiting goroutines. It keeps at most one notification that no goroutine has received.
type notifier struct {
	process *Process
	pending bool
	waiters []*task
}

// NewNotifier returns a notifier without a pending notification.
func (p *Process) NewNotifier() env.Notifier { return &notifier{process: p} }

// Notify wakes the goroutine that has waited longest. If none waits, the notification stays pending for the next wait.
func (n *notifier) Notify() {
	for len(n.waiters) > 0 {
		t := n.waiters[0]
		n.waiters = n.waiters[1:]
		if t.parked {
			n.process.sim.wake(t, true)
			return
		}
	}
	n.pending = true
}

// Wait waits for a notification until timeout has passed. A negative
// timeout means no limit. It reports whether a notification arrived.
func (n *notifier) Wait(timeout time.Duration) bool {
	s := n.process.sim
	s.maybeYield()
	if n.pending {
		n.pending = false
		return true
	}
	if timeout == 0 {
		return false
	}
	t := s.current
	n.waiters = append(n.waiters, t)
	if s.park(timeout) {
		return true
	}
	if i := slices.Index(n.waiters, t); i >= 0 {
		n.waiters = append(n.waiters[:i:i], n.waiters[i+1:]...)
	}
	return false
}

// group is a set of goroutines that are waited for together.
type group struct {
	process *Process
	open    int   // goroutines that have not ended
	err     error // first error of a goroutine
	waiters []*task
}

// NewGroup returns a group without goroutines.
func (p *Process) NewGroup() env.Group { return &group{process: p} }

// Go calls f in a new goroutine of the group.
func (g *group) Go(name string, f func() error) {
	g.open++
	g.process.sim.spawn(g.process, name, func() {
		defer g.taskEnded()
		if err := f(); err != nil && g.err == nil {
			g.err = err
		}
	})
}

// taskEnded wakes the waiters when the last goroutine of the group has ended.
func (g *group) taskEnded() {
	g.open--
	if g.open > 0 {
		return
	}
	for _, t := range g.waiters {
		g.process.sim.wake(t, true)
	}
	g.waiters = nil
}

// Wait waits until all goroutines of the group have ended. It returns their first error.
func (g *group) Wait() error {
	for g.open > 0 {
		g.waiters = append(g.waiters, g.process.sim.current)
		g.process.sim.park(forever)
	}
	return g.err
}
