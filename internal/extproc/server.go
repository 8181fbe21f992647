// Package extproc implements external processing: it serves proxies (callers) that send lookups to caches themselves.
// For each lookup, a caller requests a decision on where an attempt goes, makes the attempt, and reports how it ended.
// A Transport converts the messages and replies of a caller's stream to and from a wire protocol; package extprocgrpc
// provides one. The dispatcher decides on the attempts of a lookup. Package retry joins the streams of one lookup.
//
// A Server owns the callers, their streams, and the coordinator with
// the open lookups. It serves until the lifetime passed to Run ends.
//
// A stream has two goroutines while it is open: one receives messages and one sends replies. A lookup has no goroutine.
// The goroutine that reports an event to the dispatcher delivers the steps that follow from it, and Run delivers all
// other steps. A Server uses only env.Environment for time and goroutines, so it also runs on simulated time.
//
// Limits bounds the lookups, the streams and the rates of messages, and a Server keeps the
// state of at most maxCallers callers. A stream holds one message and at most maxQueuedReplies
// replies. While it holds that many replies, no further messages are read from it.
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

const (
	tickInterval       = 50 * time.Millisecond // longest time between two ticks of the coordinator
	returnPollInterval = 5 * time.Millisecond
)

// Limits are the bounds of a Server.
type Limits struct {
	Lookups           retry.Limits
	MaxStreams        int           // open streams per caller; 0: unlimited
	MaxTotalStreams   int           // open streams of all callers, of which a caller may hold as many as are free; 0: unlimited
	MessagesPerSecond float64       // per caller; 0: unlimited
	BytesPerSecond    float64       // message bytes per caller; 0: unlimited
	SilenceTimeout    time.Duration // time without a message or reply after which a stream is ended; 0: none
	Weight            float64       // weight of a caller's admission quota; direct clients of the frontend have 1; 0: 1
}

// Dependencies are the components of a gateway that a Server uses.
type Dependencies struct {
	Environment env.Environment
	Settings    *settings.Settings
	Dispatcher  *dispatch.Dispatcher
	Caches      *cacheregistry.Registry
	Purges      *purgelog.Log // nil: answers are not checked against purges
	Admission   *admission.Controller
	Routes      *rollout.Controller // nil: lookups may use any cache, and no route limits apply
}

// Server serves the streams of one listener. Create it with New. Its methods are safe for concurrent use.
type Server struct {
	Dependencies
	limits     Limits
	tracer     Tracer
	streams    env.Group
	stepsReady env.Notifier // notified when a lookup has steps to deliver and when the lifetime of Run ends

	// mu guards the fields up to anomalies. It may be held during calls to
	// the dispatcher, which do not block. It is never held while waiting.
	mu          sync.Mutex
	table       *route.Table
	coordinator *retry.Coordinator
	callers     map[string]*caller
	openStreams int            // of all callers
	anomalies   map[string]int // counts by name, in addition to those of the coordinator

	readyMu sync.Mutex      // guards ready
	ready   []*retry.Lookup // lookups with steps that no goroutine is about to deliver
}

// New returns a Server that reads lookups from requests by the rules of a table.
func New(dependencies Dependencies, table *route.Table, limits Limits) *Server {
	if limits.Weight <= 0 {
		limits.Weight = 1
	}
	s := &Server{
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
	s.coordinator.MaySend = func(lookup *retry.Lookup, step dispatch.Step) bool {
		return dependencies.Dispatcher.MaySend(lookup.Dispatched, step)
	}
	return s
}

// SetTracer sets the tracer of lookups. It must be called before Run.
func (s *Server) SetTracer(tracer Tracer) { s.tracer = tracer }

// SetTable replaces the table that later requests are matched against.
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

// OpenLookups returns the number of open lookups.
func (s *Server) OpenLookups() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coordinator.OpenLookups()
}

// StopRetries prepares for refusing new streams. From now on no caller is told to request a lookup again: a lookup that
// would need another attempt is given up. StopRetries returns once each caller that was told so before has requested its
// lookup or has missed the time to do so, which is at most Limits.Lookups.ReturnTimeout later.
func (s *Server) StopRetries() {
	s.mu.Lock()
	s.coordinator.StopRetries()
	s.mu.Unlock()
	for s.awaitsReturn() {
		s.Environment.NewNotifier().Wait(returnPollInterval)
	}
}

func (s *Server) awaitsReturn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coordinator.AwaitsReturn(s.Environment.Now())
}

// AttemptsOut returns the number of attempts that callers are making,
// and of those that are decided and wait for a request of their caller.
func (s *Server) AttemptsOut() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coordinator.AttemptsOut()
}

// Anomalies returns how often callers deviated from the contract, by the name of the anomaly.
func (s *Server) Anomalies() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	anomalies := s.coordinator.Anomalies()
	for name, count := range s.anomalies {
		anomalies[name] += count
	}
	return anomalies
}

// AnomalySummary returns Anomalies as one line of name:count pairs, sorted by name.
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

// Run delivers the steps that no other goroutine delivers and ticks the
// coordinator, until the lifetime ends. It then waits for the streams to end.
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

// notifyReady queues a lookup that has steps for delivery by Run, unless another
// goroutine is about to deliver them. It is called under the dispatcher's lock.
func (s *Server) notifyReady(lookup *retry.Lookup) {
	if lookup.IsHandled() {
		return
	}
	s.readyMu.Lock()
	s.ready = append(s.ready, lookup)
	s.readyMu.Unlock()
	s.stepsReady.Notify()
}

// deliverReady delivers the steps of all lookups that notifyReady has queued.
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

// deliverSteps passes the steps of a lookup to the coordinator one by one and applies the
// resulting commands. The step that ends the lookup also releases its quota and ends its ticket.
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

// apply carries out the commands of the coordinator. s.mu must not be held.
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
	for _, lookup := range commands.GivenUp {
		lookup.BeginHandling()
		s.Dispatcher.GiveUp(lookup.Dispatched)
		lookup.EndHandling()
	}
	for _, answer := range commands.Answers {
		answer.Stream.Owner.(*stream).receiveAnswer(answer)
	}
	for _, report := range commands.Reports {
		s.deliverSteps(report.Lookup)
	}
	for _, lookup := range commands.GivenUp {
		s.deliverSteps(lookup)
	}
}

// endTicket reports the result of a lookup to the route that admitted it.
func (s *Server) endTicket(lookup *retry.Lookup, end dispatch.StepKind) {
	if lookup.Ticket == nil {
		return
	}
	isLate := s.Environment.Now().Sub(lookup.ArrivedAt) > s.Settings.LatencyBudget(lookup.Request.Kind, lookup.Request.KB)
	lookup.Ticket.End(end == dispatch.StepSatisfied && !isLate, end == dispatch.StepRejected, isLate || end == dispatch.StepFailed)
}
