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

// World is one virtual world.
type World struct {
	Steps uint64 // resumed goroutines and events so far
	// Trace gets a line a step, if it is set; the digest is the same with and without.
	Trace func(at time.Duration, line string)
	// Quiet is called whenever all wait, before the clock moves.
	Quiet func()
	// Crashed is called when a goroutine of a process ends in a panic.
	Crashed func(p *Proc, text string)

	Chance      *rand.Rand
	Even        bool // messages take no time, and things of one instant go in the order they came: two worlds can be compared
	now         time.Duration
	events      events
	ready       []*task
	cur         *task
	hosts       map[string]*Host
	procs       []*Proc
	digest      *xxhash.Digest
	number      [8]byte
	cut         [][2]string // groups of hosts that cannot reach each other
	stopped     bool
	connections uint64
}

// New makes a world from a seed.
func New(seed uint64) *World {
	w := &World{Chance: rand.New(rand.NewPCG(seed, 0x666f6c64736c6970)), hosts: map[string]*Host{}, digest: xxhash.New()}
	w.add(seed)
	return w
}

// Now is the time since the world began.
func (w *World) Now() time.Duration { return w.now }

// Unix is the true time of day.
func (w *World) Unix() time.Time { return Epoch.Add(w.now) }

// Digest is a hash over what was done so far: which goroutine ran when, bytes on connections, decisions, endings. No text that
// is meant for people (log lines, names of goroutines, lines of a story) is in it.
func (w *World) Digest() uint64 { return w.digest.Sum64() }

func (w *World) add(n uint64) {
	binary.LittleEndian.PutUint64(w.number[:], n)
	w.digest.Write(w.number[:])
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
	StepAsk
	StepSent
	StepTaken
	StepTell
	StepPublish
	StepDecision
)

var stepNames = [...]string{StepRun: "run", StepRead: "read", StepWrite: "write", StepClose: "close", StepDial: "dial", StepAccept: "accept",
	StepStart: "start", StepKill: "kill", StepSignal: "signal", StepLog: "log", StepAsk: "ask", StepSent: "sent", StepTaken: "taken",
	StepTell: "tell", StepPublish: "publish", StepDecision: "decision"}

func (s Step) String() string { return stepNames[s] }

// Note takes a step into the digest, and into the trace where one is kept. What is hashed of its text is up to the caller: subject
// is, detail is not.
func (w *World) Note(step Step, subject, detail string, n int64) {
	w.add(uint64(w.now))
	w.add(uint64(step))
	w.digest.WriteString(subject)
	w.add(uint64(n))
	w.trace(step, subject, detail, n)
}

// trace adds a line to the trace, where one is kept, and nothing to the digest.
func (w *World) trace(step Step, subject, detail string, n int64) {
	if w.Trace != nil {
		w.Trace(w.now, strings.Join(strings.Fields(fmt.Sprintf("%s %s %s %d", step, subject, detail, n)), " "))
	}
}

// Event is something that is due; Drop takes it off.
type Event struct {
	at    time.Duration
	tie   uint32
	seq   uint64
	index int
	f     func()
}

type events struct {
	list []*Event
	seq  uint64
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	if a.at != b.at {
		return a.at < b.at
	}
	if a.tie != b.tie {
		return a.tie < b.tie
	}
	return a.seq < b.seq
}
func (e *events) Swap(i, j int) {
	e.list[i], e.list[j] = e.list[j], e.list[i]
	e.list[i].index, e.list[j].index = i, j
}
func (e *events) Push(x any) {
	ev := x.(*Event)
	ev.index = len(e.list)
	e.list = append(e.list, ev)
}
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list[len(e.list)-1] = nil
	e.list = e.list[:len(e.list)-1]
	last.index = -1
	return last
}

// After calls f once d has passed; among things due at one instant the seed decides.
func (w *World) After(d time.Duration, f func()) *Event {
	w.events.seq++
	e := &Event{at: w.now + max(0, d), seq: w.events.seq, f: f}
	if !w.Even {
		e.tie = w.Chance.Uint32()
	}
	heap.Push(&w.events, e)
	return e
}

// Drop takes an event off; false if it has come.
func (w *World) Drop(e *Event) bool {
	if e == nil || e.index < 0 {
		return false
	}
	heap.Remove(&w.events, e.index)
	e.index = -1
	return true
}

// Run goes on until that time, or until Halt.
func (w *World) Run(till time.Duration) {
	for !w.stopped {
		if n := len(w.ready); n > 0 {
			i := 0
			if w.Even {
				t := w.ready[0]
				w.ready = w.ready[1:]
				w.resume(t)
				continue
			}
			if n > 1 {
				i = w.Chance.IntN(n)
			}
			t := w.ready[i]
			w.ready[i] = w.ready[n-1]
			w.ready = w.ready[:n-1]
			w.resume(t)
			continue
		}
		if w.Quiet != nil {
			w.Quiet()
			if len(w.ready) > 0 || w.stopped {
				continue
			}
		}
		if len(w.events.list) == 0 || w.events.list[0].at > till {
			w.now = max(w.now, till)
			return
		}
		e := heap.Pop(&w.events).(*Event)
		w.now = e.at
		w.Steps++
		e.f()
	}
}

// Halt ends Run after the step under way.
func (w *World) Halt() { w.stopped = true }

// Close ends all processes without a trace; the world is of no use after it.
func (w *World) Close() {
	for _, p := range w.procs {
		p.dead = true
		p.stopTasks()
	}
	w.ready, w.events.list = nil, nil
}

// task is a goroutine of a process.
type task struct {
	p      *Proc
	no     uint64
	name   string
	next   func() (struct{}, bool)
	stop   func()
	yield  func(struct{}) bool
	waits  bool // parked and not made ready
	result bool // what woke it: true for what it waited for, false for the time
	due    *Event
	ended  bool
}

// gone is the panic that unwinds a goroutine of a process that was killed.
type gone struct{}

func (w *World) spawn(p *Proc, name string, f func()) {
	if p.dead {
		return
	}
	p.count++
	t := &task{p: p, no: p.count, name: name}
	t.next, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		t.yield = yield
		defer func() {
			if x := recover(); x != nil {
				if _, killed := x.(gone); !killed && w.Crashed != nil {
					w.Crashed(p, fmt.Sprintf("%v\n%s", x, debug.Stack()))
				}
			}
		}()
		f()
	})
	p.tasks = append(p.tasks, t)
	w.ready = append(w.ready, t)
}

func (w *World) resume(t *task) {
	if t.ended || t.p.dead {
		return
	}
	w.Steps++
	w.Note(StepRun, t.p.Name, t.name, int64(t.no))
	was := w.cur
	w.cur = t
	_, more := t.next()
	w.cur = was
	if !more {
		t.ended = true
		t.p.tasks = slices.DeleteFunc(t.p.tasks, func(o *task) bool { return o == t })
	}
}

// park waits until wake, or for that time; a time under 0 has no end. It tells which it was.
func (w *World) park(within time.Duration) bool {
	t := w.cur
	if t == nil {
		panic("a wait outside the goroutines of the world")
	}
	if t.p.dead {
		panic(gone{})
	}
	t.waits, t.result = true, false
	if within >= 0 {
		t.due = w.After(within, func() { t.due = nil; w.wake(t, false) })
	}
	if !t.yield(struct{}{}) {
		panic(gone{})
	}
	return t.result
}

func (w *World) wake(t *task, result bool) {
	if !t.waits {
		return
	}
	w.Drop(t.due)
	t.waits, t.result, t.due = false, result, nil
	w.ready = append(w.ready, t)
}

// lapse now and then lets others go first, where the real thing might.
func (w *World) lapse() {
	if w.cur != nil && w.cur.p.dead {
		panic(gone{})
	}
	if w.cur != nil && w.Chance.Uint32()%4 == 0 {
		t := w.cur
		w.ready = append(w.ready, t)
		if !t.yield(struct{}{}) {
			panic(gone{})
		}
	}
}
