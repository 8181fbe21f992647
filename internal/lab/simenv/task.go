package simenv

import (
	"fmt"
	"iter"
	"runtime/debug"
	"slices"
	"time"
)

// forever is the limit of a wait that has none.
const forever = time.Duration(-1)

// yieldOneIn is how often a call that might wait in reality lets others go first.
const yieldOneIn = 4

// task is a goroutine of a process.
type task struct {
	process *Process
	number  uint64 // within its process
	name    string
	next    func() (struct{}, bool)
	stop    func()
	yield   func(struct{}) bool
	parked  bool // waits and was not made ready
	woken   bool // by what it waited for; false: by the time
	timeout *Event
	ended   bool
}

// killedPanic unwinds a goroutine of a process that was killed.
type killedPanic struct{}

// spawn makes a goroutine of a process that is ready to run.
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

// recoverTask reports the panic of a goroutine, unless its process was killed.
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
	s.Note(StepRun, t.process.Name, t.name, int64(t.number))
	before := s.current
	s.current = t
	_, yielded := t.next()
	s.current = before
	if !yielded {
		t.ended = true
		t.process.tasks = slices.DeleteFunc(t.process.tasks, func(other *task) bool { return other == t })
	}
}

// park has the present goroutine wait until wake, or for a limit of time unless that is below 0; it reports whether it was woken.
func (s *Simulation) park(limit time.Duration) bool {
	t := s.current
	if t == nil {
		panic("simenv: a wait outside the goroutines of the simulation")
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

// wake makes a parked goroutine ready.
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

// wakeIfAny wakes a goroutine if there is one.
func (s *Simulation) wakeIfAny(t *task) {
	if t != nil {
		s.wake(t, true)
	}
}

// maybeYield lets others go first now and then, where the real environment might.
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
