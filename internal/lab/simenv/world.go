// Package simenv is a machine room without a machine: a clock that moves when all wait, goroutines that run one at a time,
// and a network of hosts. The gateway's own network code runs in it unchanged, on a Proc, which is its clock.Ground.
// Everything that is left open by the real thing (which goroutine goes first, which of two things at one instant, how a
// message is cut) is drawn from one seed, so that a seed is a story that can be told again.
//
// A goroutine of a process is a coroutine (iter.Pull): it runs until it waits at the seam, and gives the baton back.
// Other parties are state machines that the world calls; they have no goroutines. A World belongs to one goroutine and
// holds what its processes and connections hold; Close ends every coroutine.
package simenv

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"iter"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Epoch is the Unix time at which every world begins.
var Epoch = time.Unix(1764576000, 0).UTC()

// Simulation is one virtual world.
type Simulation struct {
	Steps uint64 // resumed goroutines and events so far
	// Trace gets a line a step, if it is set; the digest is the same with and without.
	Trace func(at time.Duration, line string)
	// Quiet is called whenever all wait, before the clock moves.
	OnIdle func()
	// Crashed is called when a goroutine of a process ends in a panic.
	OnCrash func(p *Process, text string)

	Rand        *rand.Rand
	Lockstep    bool // messages take no time, and things of one instant go in the order they came: two worlds can be compared
	now         time.Duration
	queue       eventQueue
	ready       []*task
	current     *task
	hosts       map[string]*Host
	processes   []*Process
	digest      *xxhash.Digest
	hashBuffer  [8]byte
	splits      [][2]string // groups of hosts that cannot reach each other
	halted      bool
	connections uint64
}

// New makes a world from a seed.
func New(seed uint64) *Simulation {
	w := &Simulation{Rand: rand.New(rand.NewPCG(seed, 0x666f6c64736c6970)), hosts: map[string]*Host{}, digest: xxhash.New()}
	w.hashNumber(seed)
	return w
}

// Now is the time since the world began.
func (w *Simulation) Now() time.Duration { return w.now }

// Unix is the true time of day.
func (w *Simulation) Unix() time.Time { return Epoch.Add(w.now) }

// Digest is a hash over what was done so far: which goroutine ran when, bytes on connections, decisions, endings. No text that
// is meant for people (log lines, names of goroutines, lines of a story) is in it.
func (w *Simulation) Digest() uint64 { return w.digest.Sum64() }

func (w *Simulation) hashNumber(n uint64) {
	binary.LittleEndian.PutUint64(w.hashBuffer[:], n)
	w.digest.Write(w.hashBuffer[:])
}

// Step is the kind of a step. Its number goes into the digest, its name into the trace only: numbers are never changed.
type Step uint64

// The kinds of steps.
const (
	StepRun Step = iota + 1
	StepRead
	StepWrite
	StepClose
	StepDial
	StepAccept
	StepStart
	StepKill
	StepSignal
	StepLog
	StepLookup
	StepAttempt
	StepReceived
	StepReport
	StepPublish
	StepDecision
)

var stepNames = [...]string{StepRun: "run", StepRead: "read", StepWrite: "write", StepClose: "close", StepDial: "dial", StepAccept: "accept",
	StepStart: "start", StepKill: "kill", StepSignal: "signal", StepLog: "log", StepLookup: "ask", StepAttempt: "sent", StepReceived: "taken",
	StepReport: "tell", StepPublish: "publish", StepDecision: "decision"}

func (s Step) String() string { return stepNames[s] }

// Note takes a step into the digest, and into the trace where one is kept. What is hashed of its text is up to the caller: subject
// is, detail is not.
func (w *Simulation) Note(step Step, subject, detail string, n int64) {
	w.hashNumber(uint64(w.now))
	w.hashNumber(uint64(step))
	w.digest.WriteString(subject)
	w.hashNumber(uint64(n))
	w.trace(step, subject, detail, n)
}

// trace adds a line to the trace, where one is kept, and nothing to the digest.
func (w *Simulation) trace(step Step, subject, detail string, n int64) {
	if w.Trace != nil {
		w.Trace(w.now, strings.Join(strings.Fields(fmt.Sprintf("%s %s %s %d", step, subject, detail, n)), " "))
	}
}

// Event is something that is due; Drop takes it off.
type Event struct {
	at       time.Duration
	tieBreak uint32
	sequence uint64
	index    int
	run      func()
}

type eventQueue struct {
	list     []*Event
	sequence uint64
}

func (e *eventQueue) Len() int { return len(e.list) }
func (e *eventQueue) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	if a.at != b.at {
		return a.at < b.at
	}
	if a.tieBreak != b.tieBreak {
		return a.tieBreak < b.tieBreak
	}
	return a.sequence < b.sequence
}
func (e *eventQueue) Swap(i, j int) {
	e.list[i], e.list[j] = e.list[j], e.list[i]
	e.list[i].index, e.list[j].index = i, j
}
func (e *eventQueue) Push(x any) {
	ev := x.(*Event)
	ev.index = len(e.list)
	e.list = append(e.list, ev)
}
func (e *eventQueue) Pop() any {
	last := e.list[len(e.list)-1]
	e.list[len(e.list)-1] = nil
	e.list = e.list[:len(e.list)-1]
	last.index = -1
	return last
}

// After calls f once d has passed; among things due at one instant the seed decides.
func (w *Simulation) After(d time.Duration, f func()) *Event {
	w.queue.sequence++
	e := &Event{at: w.now + max(0, d), sequence: w.queue.sequence, run: f}
	if !w.Lockstep {
		e.tieBreak = w.Rand.Uint32()
	}
	heap.Push(&w.queue, e)
	return e
}

// Cancel takes an event off; false if it has come.
func (w *Simulation) Cancel(e *Event) bool {
	if e == nil || e.index < 0 {
		return false
	}
	heap.Remove(&w.queue, e.index)
	e.index = -1
	return true
}

// Run goes on until that time, or until Halt.
func (w *Simulation) Run(till time.Duration) {
	for !w.halted {
		if n := len(w.ready); n > 0 {
			i := 0
			if w.Lockstep {
				t := w.ready[0]
				w.ready = w.ready[1:]
				w.resume(t)
				continue
			}
			if n > 1 {
				i = w.Rand.IntN(n)
			}
			t := w.ready[i]
			w.ready[i] = w.ready[n-1]
			w.ready = w.ready[:n-1]
			w.resume(t)
			continue
		}
		if w.OnIdle != nil {
			w.OnIdle()
			if len(w.ready) > 0 || w.halted {
				continue
			}
		}
		if len(w.queue.list) == 0 || w.queue.list[0].at > till {
			w.now = max(w.now, till)
			return
		}
		e := heap.Pop(&w.queue).(*Event)
		w.now = e.at
		w.Steps++
		e.run()
	}
}

// Halt ends Run after the step under way.
func (w *Simulation) Halt() { w.halted = true }

// Close ends all processes without a trace; the world is of no use after it.
func (w *Simulation) Close() {
	for _, p := range w.processes {
		p.killed = true
		p.stopTasks()
	}
	w.ready, w.queue.list = nil, nil
}

// task is a goroutine of a process.
type task struct {
	process *Process
	number  uint64
	name    string
	next    func() (struct{}, bool)
	stop    func()
	yield   func(struct{}) bool
	parked  bool // parked and not made ready
	woken   bool // what woke it: true for what it waited for, false for the time
	timeout *Event
	ended   bool
}

// killedPanic is the panic that unwinds a goroutine of a process that was killed.
type killedPanic struct{}

func (w *Simulation) spawn(p *Process, name string, f func()) {
	if p.killed {
		return
	}
	p.taskCount++
	t := &task{process: p, number: p.taskCount, name: name}
	t.next, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		t.yield = yield
		defer func() {
			if x := recover(); x != nil {
				if _, killed := x.(killedPanic); !killed && w.OnCrash != nil {
					w.OnCrash(p, fmt.Sprintf("%v\n%s", x, debug.Stack()))
				}
			}
		}()
		f()
	})
	p.tasks = append(p.tasks, t)
	w.ready = append(w.ready, t)
}

func (w *Simulation) resume(t *task) {
	if t.ended || t.process.killed {
		return
	}
	w.Steps++
	w.Note(StepRun, t.process.Name, t.name, int64(t.number))
	was := w.current
	w.current = t
	_, more := t.next()
	w.current = was
	if !more {
		t.ended = true
		t.process.tasks = slices.DeleteFunc(t.process.tasks, func(o *task) bool { return o == t })
	}
}

// park waits until wake, or for that time; a time under 0 has no end. It tells which it was.
func (w *Simulation) park(within time.Duration) bool {
	t := w.current
	if t == nil {
		panic("a wait outside the goroutines of the world")
	}
	if t.process.killed {
		panic(killedPanic{})
	}
	t.parked, t.woken = true, false
	if within >= 0 {
		t.timeout = w.After(within, func() { t.timeout = nil; w.wake(t, false) })
	}
	if !t.yield(struct{}{}) {
		panic(killedPanic{})
	}
	return t.woken
}

func (w *Simulation) wake(t *task, result bool) {
	if !t.parked {
		return
	}
	w.Cancel(t.timeout)
	t.parked, t.woken, t.timeout = false, result, nil
	w.ready = append(w.ready, t)
}

// maybeYield now and then lets others go first, where the real thing might.
func (w *Simulation) maybeYield() {
	if w.current != nil && w.current.process.killed {
		panic(killedPanic{})
	}
	if w.current != nil && w.Rand.Uint32()%4 == 0 {
		t := w.current
		w.ready = append(w.ready, t)
		if !t.yield(struct{}{}) {
			panic(killedPanic{})
		}
	}
}
