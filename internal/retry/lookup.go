package retry

import (
	"container/heap"
	"container/list"
	"sync/atomic"
	"time"

	"foldslip/internal/admission"
	"foldslip/internal/dispatch"
	"foldslip/internal/route"
	"foldslip/internal/route/rollout"
)

// phase is how far a lookup is.
type phase int

const (
	phaseDeciding   phase = iota // the router decides the next step
	phaseAttempting              // an attempt is at its caller
	phaseDecided                 // an attempt or an end is decided, and its caller has to request it
	phaseEnded                   // remembered for Limits.Retention
)

// Lookup is a lookup from its first request to some time after its end. What its owner notes with it the Coordinator does not read.
type Lookup struct {
	Key string // its caller and id

	// Noted by the owner.
	Dispatched *dispatch.Lookup
	Object     string
	Group      int
	ETag       string // of the copy that the client holds
	Request    *route.Lookup
	Quota      *admission.Gate
	Ticket     *rollout.Ticket // nil: it came by no route
	ArrivedAt  time.Time
	Trace      any

	handlers      atomic.Int32
	caller        string
	sequence      uint64 // lookups of one instant go in the order in which they came
	deadline      time.Time
	phase         phase
	stream        *Stream       // that waits for an answer, or makes the attempt; nil: none
	reportPending bool          // stream waits for what follows its report
	step          dispatch.Step // decided, in phaseDecided
	attempt       int           // at the caller, in phaseAttempting
	returnBy      time.Time     // its caller has to request it again by then; zero: it need not
	overdue       bool          // Commands.Overdue named it

	// Of a lookup that has ended.
	result       AnswerKind
	retryAfter   time.Duration
	forgetAt     time.Time
	endedElement *list.Element

	// Of one that is looked after by time.
	timeoutAt time.Time // zero: it need not be
	heapIndex int       // from 1; 0: it is not in the heap
}

// BeginHandling notes that somebody is about to take the lookup's steps, until EndHandling. Both may be called from any goroutine.
func (l *Lookup) BeginHandling() { l.handlers.Add(1) }

// EndHandling takes one BeginHandling back.
func (l *Lookup) EndHandling() { l.handlers.Add(-1) }

// IsHandled tells whether somebody is about to take the lookup's steps.
func (l *Lookup) IsHandled() bool { return l.handlers.Load() > 0 }

// hasDecidedAttempt tells whether an attempt waits for its caller's request.
func (l *Lookup) hasDecidedAttempt() bool {
	return l.phase == phaseDecided && l.step.Kind == dispatch.StepFetch
}

// detach frees the lookup's stream for another lookup.
func (l *Lookup) detach() {
	if l.stream != nil {
		l.stream.lookup = nil
	}
	l.stream = nil
	l.reportPending = false
}

// nextTimeout is when the lookup has to be looked after; zero if it need not be.
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

// timeoutHeap orders lookups by when they have to be looked after: the cost of a Tick is that of the lookups that are due, however many are open.
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

// Push is heap.Push's.
func (h *timeoutHeap) Push(x any) {
	lookup := x.(*Lookup)
	*h = append(*h, lookup)
	lookup.heapIndex = len(*h)
}

// Pop is heap.Pop's.
func (h *timeoutHeap) Pop() any {
	last := len(*h) - 1
	lookup := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	lookup.heapIndex = 0
	return lookup
}

// schedule sets when a lookup is looked after, by its state.
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
