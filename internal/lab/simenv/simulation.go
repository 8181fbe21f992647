// Package simenv simulates the environment of processes: a clock, goroutines that run one at a time, and
// a network of hosts. The clock advances only when all goroutines wait. The network code of the gateway
// runs unchanged on a Process, which is its env.Environment. The real environment leaves some choices
// open: which goroutine runs next, which of two events at one instant comes first, where a message is
// cut. The simulation draws all of them from one seed, so that a run can be repeated from its seed.
//
// A goroutine of a process is a coroutine (iter.Pull). It runs until it waits in a method of its environment, and then
// yields. Other actors have no goroutines; they are state machines that the simulation calls. A Simulation owns its
// hosts, processes and events and does not limit their number. It is not safe for concurrent use. Close ends every
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

// Epoch is the true time of day at which every simulation starts.
var Epoch = time.Unix(1764576000, 0).UTC()

// Simulation is one simulated environment. Its exported fields, except Steps, are set before Run.
type Simulation struct {
	Steps uint64 // resumed goroutines, events and created connections so far
	// Trace, if set, is called with one line per step. It does not affect the digest.
	Trace func(at time.Duration, line string)
	// OnIdle, if set, is called whenever all goroutines wait, before the clock advances.
	OnIdle func()
	// OnCrash, if set, is called when a goroutine of a process panics.
	OnCrash func(p *Process, text string)

	Rand *rand.Rand
	// Lockstep makes messages take no time, and runs events of one instant in
	// the order in which they were scheduled. Two runs can then be compared.
	Lockstep    bool
	now         time.Duration
	queue       eventQueue
	ready       []*task          // goroutines that can run
	current     *task            // goroutine that runs; nil while an event runs
	hosts       map[string]*Host // by IP
	processes   []*Process
	digest      *xxhash.Digest
	hashBuffer  [8]byte
	splits      [][2]string // pairs of groups of hosts that cannot reach each other
	halted      bool
	connections uint64 // number of the connection that was created last
}

// New returns a simulation that draws its random choices from seed.
func New(seed uint64) *Simulation {
	s := &Simulation{Rand: rand.New(rand.NewPCG(seed, 0x666f6c64736c6970)), hosts: map[string]*Host{}, digest: xxhash.New()}
	s.hashNumber(seed)
	return s
}

// Now returns the time since the start of the simulation.
func (s *Simulation) Now() time.Duration { return s.now }

// Unix returns the true time of day. The clock of a process may deviate from it by Process.Skew.
func (s *Simulation) Unix() time.Time { return Epoch.Add(s.now) }

// Digest returns a hash of everything done so far: which goroutine ran when, bytes on connections, decisions
// and outcomes. It excludes text for people, such as log lines, names of goroutines and lines of the trace.
func (s *Simulation) Digest() uint64 { return s.digest.Sum64() }

func (s *Simulation) hashNumber(n uint64) {
	binary.LittleEndian.PutUint64(s.hashBuffer[:], n)
	s.digest.Write(s.hashBuffer[:])
}

// Step is the kind of a step. Its number goes into the digest and must not change. Its name appears only in the trace.
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

// String returns the name of a step in traces.
func (s Step) String() string { return stepNames[s] }

// RecordStep records a step in the digest, and in the trace if there
// is one. The digest includes subject and n, but not detail.
func (s *Simulation) RecordStep(step Step, subject, detail string, n int64) {
	s.hashNumber(uint64(s.now))
	s.hashNumber(uint64(step))
	s.digest.WriteString(subject)
	s.hashNumber(uint64(n))
	s.trace(step, subject, detail, n)
}

// trace adds a line to the trace if there is one. It does not change the digest.
func (s *Simulation) trace(step Step, subject, detail string, n int64) {
	if s.Trace != nil {
		s.Trace(s.now, strings.Join(strings.Fields(fmt.Sprintf("%s %s %s %d", step, subject, detail, n)), " "))
	}
}

// After schedules f to run once d has passed. The seed decides the order
// of events that are due at the same instant, unless Lockstep is set.
func (s *Simulation) After(d time.Duration, f func()) *Event {
	s.queue.sequence++
	e := &Event{at: s.now + max(0, d), sequence: s.queue.sequence, run: f}
	if !s.Lockstep {
		e.tieBreak = s.Rand.Uint32()
	}
	heap.Push(&s.queue, e)
	return e
}

// Cancel removes an event from the queue. It reports false if the event is nil, has run or was cancelled before.
func (s *Simulation) Cancel(e *Event) bool {
	if e == nil || e.index < 0 {
		return false
	}
	heap.Remove(&s.queue, e.index)
	e.index = -1
	return true
}

// Run runs goroutines and events until the clock reaches until, or until Halt is called.
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

// nextReady removes the goroutine that runs next from the ready goroutines
// and returns it. The choice is random, or the first one if Lockstep is set.
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

// Halt makes Run return after the current step.
func (s *Simulation) Halt() { s.halted = true }

// Close ends all processes without recording a step. The simulation must not be used afterwards.
func (s *Simulation) Close() {
	for _, p := range s.processes {
		p.killed = true
		p.stopTasks()
	}
	s.ready = nil
	s.queue.list = nil
}
