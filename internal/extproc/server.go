// Package extproc serves proxies that send lookups to caches themselves (external processing): for each lookup a proxy requests where an
// attempt should go, makes it, and reports how it ended. Messages of a proxy's stream come in and replies go out in terms of this package;
// a Transport is their form on a wire (package extprocgrpc). Which attempt a lookup has next is decided by the dispatcher, how the
// streams of one lookup fit together by package retry.
//
// A stream has two goroutines while it lives: one receives messages, one sends replies. A lookup has none: a goroutine that reports
// something to the dispatcher delivers the steps that follow from it, and Run those that come by themselves. Everything stands on
// env.Environment, so that a Server also runs on simulated time. Bounds: Limits; a stream holds one message and at most maxQueuedReplies
// replies, past which it is read no further.
package extproc

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"foldslip/internal/admission"
	"foldslip/internal/cacheregistry"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/purgelog"
	"foldslip/internal/retry"
	"foldslip/internal/route"
	"foldslip/internal/route/rollout"
	"foldslip/internal/settings"
)

// tickInterval bounds the time between two ticks of the coordinator.
const tickInterval = 50 * time.Millisecond

// Limits are the bounds of a Server.
type Limits struct {
	Lookups           retry.Limits
	MaxStreams        int           // of one caller; 0: any number
	MessagesPerSecond float64       // of one caller; 0: any number
	BytesPerSecond    float64       // of one caller's messages; 0: any number
	SilenceTimeout    time.Duration // of a stream on which a message is due; 0: none
	Weight            float64       // of a caller's share of capacity, clients of the frontend having 1; 0: 1
}

// Dependencies are the parts of a gateway that a Server works with.
type Dependencies struct {
	Environment env.Environment
	Settings    *settings.Settings
	Dispatcher  *dispatch.Dispatcher
	Caches      *cacheregistry.Registry
	Purges      *purgelog.Log // nil: the age of answers is not checked
	Admission   *admission.Controller
	Routes      *rollout.Controller // nil: a lookup may go anywhere
}

// Server serves the streams of one listener. Make it with New; its methods may be called from any goroutine.
type Server struct {
	Dependencies
	limits     Limits
	tracer     Tracer
	streams    env.Group
	stepsReady env.Notifier // when lookups have steps, and at the end of Run

	mu          sync.Mutex // of what follows; held while the dispatcher is called, which waits for nothing, never over a wait
	table       *route.Table
	coordinator *retry.Coordinator
	callers     map[string]*caller
	anomalies   map[string]int // beside those of the coordinator

	readyMu sync.Mutex
	ready   []*retry.Lookup // have steps that nobody is about to take
}

// New makes a Server whose lookups are read by a table.
func New(dependencies Dependencies, table *route.Table, limits Limits) *Server {
	if limits.Weight <= 0 {
		limits.Weight = 1
	}
	return &Server{
		Dependencies: dependencies,
		limits:       limits,
		tracer:       noTracer{},
		streams:      dependencies.Environment.NewGroup(),
		stepsReady:   dependencies.Environment.NewNotifier(),
		table:        table,
		coordinator:  retry.New(limits.Lookups),
		callers:      map[string]*caller{},
		anomalies:    map[string]int{},
	}
}

// SetTracer sets the tracer of lookups; to be called before Run.
func (s *Server) SetTracer(tracer Tracer) { s.tracer = tracer }

// SetTable replaces the table for the lookups to come.
func (s *Server) SetTable(table *route.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = table
}

func (s *Server) currentTable() *route.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}

// OpenLookups is the number of open lookups.
func (s *Server) OpenLookups() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coordinator.OpenLookups()
}

// AttemptsOut is the number of attempts at callers, or decided for them.
func (s *Server) AttemptsOut() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coordinator.AttemptsOut()
}

// Anomalies counts what callers did against the contract, by its name.
func (s *Server) Anomalies() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	anomalies := s.coordinator.Anomalies()
	for name, count := range s.anomalies {
		anomalies[name] += count
	}
	return anomalies
}

// AnomalySummary is Anomalies as one line, in the order of names.
func (s *Server) AnomalySummary() string {
	anomalies := s.Anomalies()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(anomalies)) {
		fmt.Fprintf(&b, "%s:%d,", name, anomalies[name])
	}
	return strings.TrimSuffix(b.String(), ",")
}

func (s *Server) countAnomaly(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.anomalies[name]++
}

// Run delivers the steps that come by themselves and lets the coordinator's times pass until the lifetime ends, and then waits for the
// streams.
func (s *Server) Run(lifetime *env.Lifetime) error {
	defer lifetime.OnEnd(s.stepsReady.Notify)()
	for wait := time.Duration(0); !lifetime.Ended(); {
		s.stepsReady.Wait(wait)
		s.deliverReady()
		s.mu.Lock()
		now := s.Environment.Now()
		commands, next := s.coordinator.Tick(now)
		s.mu.Unlock()
		s.apply(commands)
		wait = min(tickInterval, max(time.Millisecond, next.Sub(now)))
	}
	err := s.streams.Wait()
	s.deliverReady()
	return err
}

// notifyReady notes that a lookup has steps. It is called under the dispatcher's lock.
func (s *Server) notifyReady(lookup *retry.Lookup) {
	if lookup.IsHandled() {
		return
	}
	s.readyMu.Lock()
	s.ready = append(s.ready, lookup)
	s.readyMu.Unlock()
	s.stepsReady.Notify()
}

// deliverReady delivers the steps of all lookups that notifyReady noted.
func (s *Server) deliverReady() {
	for {
		s.readyMu.Lock()
		lookups := s.ready
		s.ready = nil
		s.readyMu.Unlock()
		if len(lookups) == 0 {
			return
		}
		for _, lookup := range lookups {
			s.deliverSteps(lookup)
		}
	}
}

// deliverSteps gives the coordinator a lookup's steps, one after the other.
func (s *Server) deliverSteps(lookup *retry.Lookup) {
	for {
		s.mu.Lock()
		step, ok := s.Dispatcher.NextStep(lookup.Dispatched)
		if !ok {
			s.mu.Unlock()
			return
		}
		commands := s.coordinator.ApplyStep(s.Environment.Now(), lookup, step)
		s.mu.Unlock()
		s.tracer.StepDecided(lookup, step)
		s.apply(commands)
		if step.Kind != dispatch.StepFetch && step.Kind != dispatch.StepCancel {
			lookup.Quota.Release()
			s.endTicket(lookup, step.Kind)
		}
	}
}

// apply carries out what the coordinator wants, without the lock.
func (s *Server) apply(commands retry.Commands) {
	for _, report := range commands.Reports {
		s.tracer.AttemptEnded(report.Lookup, report)
		report.Lookup.BeginHandling()
		s.Dispatcher.AttemptEnded(report.Lookup.Dispatched, report.Attempt, report.Outcome, report.Detail, report.SourceWait)
		report.Lookup.EndHandling()
	}
	for _, lookup := range commands.Gone {
		s.Dispatcher.ClientGone(lookup.Dispatched)
	}
	for _, lookup := range commands.Overdue {
		s.Dispatcher.FailOverdue(lookup.Dispatched)
	}
	for _, answer := range commands.Answers {
		answer.Stream.Owner.(*stream).receiveAnswer(answer)
	}
	for _, report := range commands.Reports {
		s.deliverSteps(report.Lookup)
	}
}

// endTicket tells the route that let a lookup in how it ended.
func (s *Server) endTicket(lookup *retry.Lookup, end dispatch.StepKind) {
	if lookup.Ticket == nil {
		return
	}
	isLate := s.Environment.Now().Sub(lookup.ArrivedAt) > s.Settings.LatencyBudget(lookup.Request.Kind, lookup.Request.KB)
	lookup.Ticket.End(end == dispatch.StepSatisfied && !isLate, end == dispatch.StepRejected, isLate || end == dispatch.StepFailed)
}
