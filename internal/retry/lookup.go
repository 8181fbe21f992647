package retry

import (
	"container/heap"
	"sync/atomic"
	"time"

	"foldslip/internal/admission"
	"foldslip/internal/dispatch"
	"foldslip/internal/route"
	"foldslip/internal/route/rollout"
)

// phase is the state of a lookup.
type phase int

const (
	phaseDeciding   phase = iota // the router decides the next step
	phaseAttempting              // the caller is making an attempt
	phaseDecided                 // the next step is decided and waits for the caller's request
	phaseEnded                   // the lookup has ended
)

// Lookup is the state of a lookup from its first request until its end.
type Lookup struct {
	Key string // caller and id

	// Set by the owner. The Coordinator does not read these fields.
	Dispatched *dispatch.Lookup
	Object     string
	Group      int
	ETag       string // of the client's copy
	Request    *route.Lookup
	Quota      *admission.Gate
	Ticket     *rollout.Ticket // nil: the gateway has no routes
	ArrivedAt  time.Time
	Trace      any

	handlers      atomic.Int32
	caller        string
	sequence      uint64 // order of arrival; orders lookups with the same timeout
	deadline      time.Time
	phase         phase
	stream        *Stream       // the stream that waits for an answer or whose caller makes the attempt; nil: none
	reportPending bool          // stream has reported an outcome and waits for the answer
	step          dispatch.Step // the decided step in phaseDecided
	attempt       int           // the number of the caller's attempt in phaseAttempting
	returnBy      time.Time     // the caller must request the lookup again by this time; zero: no time limit
	awaitsReturn  bool          // the caller was told to request the lookup again and has not done so
	overdue       bool          // the lookup was in Commands.Overdue

	// Set by the timeout heap.
	timeoutAt time.Time // zero: no timeout is pending
	heapIndex int       // index in the heap, starting at 1; 0: not in the heap
}

// BeginHandling marks the lookup as handled until the matching EndHandling: the caller of BeginHandling is about to take
// the lookup's next steps from the dispatcher. BeginHandling, EndHandling and IsHandled are safe for concurrent use.
func (l *Lookup) BeginHandling() { l.handlers.Add(1) }

// EndHandling undoes one call of BeginHandling.
func (l *Lookup) EndHandling() { l.handlers.Add(-1) }

// IsHandled reports whether the lookup is marked as handled.
func (l *Lookup) IsHandled() bool { return l.handlers.Load() > 0 }

// hasDecidedAttempt reports whether a decided attempt waits for the caller's request.
func (l *Lookup) hasDecidedAttempt() bool {
	return l.phase == phaseDecided && l.step.Kind == dispatch.StepFetch
}

// detach separates the lookup from its stream, which can then carry another lookup.
func (l *Lookup) detach() {
	if l.stream != nil {
		l.stream.lookup = nil
	}
	l.stream = nil
	l.reportPending = false
}

// nextTimeout returns when the lookup's present state times out, or the zero time if it does not.
func (l *Lookup) nextTimeout() time.Time {
	switch {
	case l.phase == phaseEnded:
	case l.stream == nil && !l.returnBy.IsZero():
		return l.returnBy
	case l.phase == phaseAttempting:
		return l.deadline
	case l.stream != nil && !l.overdue:
		return l.deadline.Add(dispatch.DeadlineSlack)
	}
	return time.Time{}
}

// timeoutHeap is a heap of lookups ordered by their timeouts. It makes the cost of Coordinator.Tick depend on the number
// of lookups that are due, not on the number of open lookups.
type timeoutHeap []*Lookup

func (h timeoutHeap) Len() int { return len(h) }

func (h timeoutHeap) Less(i, j int) bool {
	if !h[i].timeoutAt.Equal(h[j].timeoutAt) {
		return h[i].timeoutAt.Before(h[j].timeoutAt)
	}
	return h[i].sequence < h[j].sequence
}

func (h timeoutHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i+1, j+1
}

// Push implements heap.Interface.
func (h *timeoutHeap) Push(x any) {
	lookup := x.(*Lookup)
	*h = append(*h, lookup)
	lookup.heapIndex = len(*h)
}

// Pop implements heap.Interface.
func (h *timeoutHeap) Pop() any {
	last := len(*h) - 1
	lookup := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	lookup.heapIndex = 0
	return lookup
}

// schedule sets the timeout of a lookup from its present state and updates the heap.
func (h *timeoutHeap) schedule(lookup *Lookup) {
	lookup.timeoutAt = lookup.nextTimeout()
	isQueued := lookup.heapIndex > 0
	switch {
	case lookup.timeoutAt.IsZero() && isQueued:
		heap.Remove(h, lookup.heapIndex-1)
	case lookup.timeoutAt.IsZero():
	case isQueued:
		heap.Fix(h, lookup.heapIndex-1)
	default:
		heap.Push(h, lookup)
	}
}
