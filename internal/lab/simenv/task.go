package simenv

import (
	"fmt"
	"iter"
	"runtime/debug"
	"slices"
	"time"
)

// forever stands for the absence of a time limit or a deadline.
const forever = time.Duration(-1)

// yieldOneIn sets how often a call that could wait in reality lets other goroutines run first: one in so many calls.
const yieldOneIn = 4

// task is a goroutine of a process.
type task struct {
	process *Process
	number  uint64 // unique within its process
	name    string
	next    func() (struct{}, bool)
	stop    func()
	yield   func(struct{}) bool
	parked  bool   // waiting, and not ready to run
	woken   bool   // the last wait was ended by wake, not by its time limit
	timeout *Event // ends the wait at its time limit; nil without one
	ended   bool
}

// killedPanic is the panic value that unwinds a goroutine of a killed process.
type killedPanic struct{}

// spawn creates a goroutine of a process. The goroutine is ready to run.
func (s *Simulation) spawn(p *Process, name string, f func()) {
	if p.killed {
		return
	}
	p.taskCount++
	t := &task{process: p, number: p.taskCount, name: name}
	t.next, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		t.yield = yield
		defer s.recoverTask(p)
		f()
	})
	p.tasks = append(p.tasks, t)
	s.ready = append(s.ready, t)
}

// recoverTask recovers a panic of a goroutine. It calls OnCrash unless the process was killed.
func (s *Simulation) recoverTask(p *Process) {
	cause := recover()
	if cause == nil {
		return
	}
	if _, killed := cause.(killedPanic); !killed && s.OnCrash != nil {
		s.OnCrash(p, fmt.Sprintf("%v\n%s", cause, debug.Stack()))
	}
}

// resume runs a goroutine until it yields or ends.
func (s *Simulation) resume(t *task) {
	if t.ended || t.process.killed {
		return
	}
	s.Steps++
	s.RecordStep(StepRun, t.process.Name, t.name, int64(t.number))
	before := s.current
	s.current = t
	_, yielded := t.next()
	s.current = before
	if !yielded {
		t.ended = true
		t.process.tasks = slices.DeleteFunc(t.process.tasks, func(other *task) bool { return other == t })
	}
}

// park makes the current goroutine wait until it is woken or limit has passed. A negative
// limit means no limit. It reports whether the goroutine was woken before limit had passed.
func (s *Simulation) park(limit time.Duration) bool {
	t := s.current
	if t == nil {
		panic("simenv: wait called outside the goroutines of the simulation")
	}
	if t.process.killed {
		panic(killedPanic{})
	}
	t.parked = true
	t.woken = false
	if limit >= 0 {
		t.timeout = s.After(limit, func() {
			t.timeout = nil
			s.wake(t, false)
		})
	}
	if !t.yield(struct{}{}) {
		panic(killedPanic{})
	}
	return t.woken
}

// wake makes a parked goroutine ready to run. park returns woken in that goroutine.
func (s *Simulation) wake(t *task, woken bool) {
	if !t.parked {
		return
	}
	s.Cancel(t.timeout)
	t.parked = false
	t.woken = woken
	t.timeout = nil
	s.ready = append(s.ready, t)
}

// wakeIfAny wakes t unless it is nil.
func (s *Simulation) wakeIfAny(t *task) {
	if t != nil {
		s.wake(t, true)
	}
}

// maybeYield lets other goroutines run first in one of yieldOneIn calls, because the real environment might do so.
func (s *Simulation) maybeYield() {
	t := s.current
	if t == nil {
		return
	}
	if t.process.killed {
		panic(killedPanic{})
	}
	if s.Rand.Uint32()%yieldOneIn != 0 {
		return
	}
	s.ready = append(s.ready, t)
	if !t.yield(struct{}{}) {
		panic(killedPanic{})
	}
}
