// Package simenv simulates the environment of processes: a clock that moves when all wait, goroutines that run one at a time, and a
// network of hosts. The gateway's own network code runs in it unchanged, on a Process, which is its env.Environment. Everything that the
// real environment leaves open (which goroutine goes first, which of two events of one instant, how a message is cut) is drawn from one
// seed, so that a run of a seed can be repeated.
//
// A goroutine of a process is a coroutine (iter.Pull): it runs until it waits in a method of its environment, and then yields. Other actors
// are state machines that the simulation calls; they have no goroutines. A Simulation is not safe for concurrent use; Close ends every
// coroutine.
package simenv

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Epoch is the Unix time at which every simulation begins.
var Epoch = time.Unix(1764576000, 0).UTC()

// Simulation is one simulated environment. Its exported fields are set before Run.
type Simulation struct {
	Steps uint64 // goroutines that were resumed and events that ran
	// Trace gets a line a step, if it is set; the digest is the same with and without.
	Trace func(at time.Duration, line string)
	// OnIdle is called whenever all goroutines wait, before the clock moves.
	OnIdle func()
	// OnCrash is called when a goroutine of a process ends in a panic.
	OnCrash func(p *Process, text string)

	Rand        *rand.Rand
	Lockstep    bool // messages take no time, and things of one instant go in the order they came: two runs can be compared
	now         time.Duration
	queue       eventQueue
	ready       []*task
	current     *task // nil outside goroutines
	hosts       map[string]*Host
	processes   []*Process
	digest      *xxhash.Digest
	hashBuffer  [8]byte
	splits      [][2]string // groups of hosts that cannot reach each other
	halted      bool
	connections uint64
}

// New makes a simulation of a seed.
func New(seed uint64) *Simulation {
	s := &Simulation{Rand: rand.New(rand.NewPCG(seed, 0x666f6c64736c6970)), hosts: map[string]*Host{}, digest: xxhash.New()}
	s.hashNumber(seed)
	return s
}

// Now is the time since the simulation began.
func (s *Simulation) Now() time.Duration { return s.now }

// Unix is the true time of day.
func (s *Simulation) Unix() time.Time { return Epoch.Add(s.now) }

// Digest is a hash over what was done so far: which goroutine ran when, bytes on connections, decisions, outcomes. Text that is meant for
// people (log lines, names of goroutines, lines of a trace) is not in it.
func (s *Simulation) Digest() uint64 { return s.digest.Sum64() }

func (s *Simulation) hashNumber(n uint64) {
	binary.LittleEndian.PutUint64(s.hashBuffer[:], n)
	s.digest.Write(s.hashBuffer[:])
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

var stepNames = [...]string{
	StepRun:      "run",
	StepRead:     "read",
	StepWrite:    "write",
	StepClose:    "close",
	StepDial:     "dial",
	StepAccept:   "accept",
	StepStart:    "start",
	StepKill:     "kill",
	StepSignal:   "signal",
	StepLog:      "log",
	StepLookup:   "ask",
	StepAttempt:  "sent",
	StepReceived: "taken",
	StepReport:   "tell",
	StepPublish:  "publish",
	StepDecision: "decision",
}

// String is the name of a step in traces.
func (s Step) String() string { return stepNames[s] }

// Note adds a step to the digest, and to the trace if there is one. The subject is hashed, the detail is not.
func (s *Simulation) Note(step Step, subject, detail string, n int64) {
	s.hashNumber(uint64(s.now))
	s.hashNumber(uint64(step))
	s.digest.WriteString(subject)
	s.hashNumber(uint64(n))
	s.trace(step, subject, detail, n)
}

// trace adds a line to the trace, if there is one, and nothing to the digest.
func (s *Simulation) trace(step Step, subject, detail string, n int64) {
	if s.Trace != nil {
		s.Trace(s.now, strings.Join(strings.Fields(fmt.Sprintf("%s %s %s %d", step, subject, detail, n)), " "))
	}
}

// After runs f once d has passed; among events that are due at one instant the seed decides.
func (s *Simulation) After(d time.Duration, f func()) *Event {
	s.queue.sequence++
	e := &Event{at: s.now + max(0, d), sequence: s.queue.sequence, run: f}
	if !s.Lockstep {
		e.tieBreak = s.Rand.Uint32()
	}
	heap.Push(&s.queue, e)
	return e
}

// Cancel takes an event off the queue; it reports false if the event has run, or is nil.
func (s *Simulation) Cancel(e *Event) bool {
	if e == nil || e.index < 0 {
		return false
	}
	heap.Remove(&s.queue, e.index)
	e.index = -1
	return true
}

// Run runs goroutines and events until a time, or until Halt.
func (s *Simulation) Run(until time.Duration) {
	for !s.halted {
		if len(s.ready) > 0 {
			s.resume(s.nextReady())
			continue
		}
		if s.OnIdle != nil {
			s.OnIdle()
			if len(s.ready) > 0 || s.halted {
				continue
			}
		}
		if len(s.queue.list) == 0 || s.queue.list[0].at > until {
			s.now = max(s.now, until)
			return
		}
		e := heap.Pop(&s.queue).(*Event)
		s.now = e.at
		s.Steps++
		e.run()
	}
}

// nextReady takes the goroutine that goes next: any of them, or the first in lockstep.
func (s *Simulation) nextReady() *task {
	if s.Lockstep {
		t := s.ready[0]
		s.ready = s.ready[1:]
		return t
	}
	i, last := 0, len(s.ready)-1
	if last > 0 {
		i = s.Rand.IntN(len(s.ready))
	}
	t := s.ready[i]
	s.ready[i] = s.ready[last]
	s.ready = s.ready[:last]
	return t
}

// Halt ends Run after the present step.
func (s *Simulation) Halt() { s.halted = true }

// Close ends all processes without a trace. The simulation must not be used after it.
func (s *Simulation) Close() {
	for _, p := range s.processes {
		p.killed = true
		p.stopTasks()
	}
	s.ready = nil
	s.queue.list = nil
}
