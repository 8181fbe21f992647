// Package retry keeps what a lookup is when its sends are made by somebody else: a proxy that asks this program where each
// lookup should go, sends it there itself, and tells how that ended. It does no I/O: asks, steps of the module, reports, ends
// of streams and the time go in; what is to be done comes out. The module decides each send, as at the users' door.
//
// The contract of a caller: it asks under the lookup's id, makes the one send it is told, reports its end on the same
// stream, and asks again under the same id when it is told to. What holds without its help: one final answer a lookup,
// nothing told to send after it, never two sends told at once, attempts limited, all freed in time. What only the caller can
// keep: that a send told is made once and to that cache, and that its report is true. One that breaks off a stream with a
// send out is taken at its worst: the send may have run.
//
// Desk is owned by the door, whose lock it is under. Bounds: Terms.Lookups open, as many remembered after their end, each for
// Terms.Remember.
package retry

import (
	"container/heap"
	"container/list"
	"sync/atomic"
	"time"

	"foldslip/internal/admission"
	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
	"foldslip/internal/route"
	"foldslip/internal/route/rollout"
)

// Limits are the bounds of a desk.
type Limits struct {
	MaxLookups    int           // open at once; past it they are nacked
	MaxPerCaller  int           // of these for one caller
	ReturnTimeout time.Duration // a caller that is to ask again does so within
	Retention     time.Duration // an ended lookup is known for so long, so that a repeat is not taken for a new one
}

// Stream is one stream of a caller, a lookup's send at a time.
type Stream struct {
	Caller string
	Owner  any     // the door's own: where what is said to it goes
	lookup *Lookup // whose answer it waits for, or whose send it makes
	ended  bool
}

// Answer is what a stream is told.
type Answer struct {
	Stream     *Stream
	Kind       AnswerKind
	Step       dispatch.Step // where What is Go
	Lookup     *Lookup       // likewise
	RetryAfter time.Duration
}

// AnswerKind is said to a caller.
type AnswerKind int

const (
	AnswerAttempt       AnswerKind = 1 + iota // make this send
	AnswerAccepted                            // the report is taken and the answer is the lookup's: pass it on
	AnswerAskAgain                            // the report is taken, and the lookup goes on: ask again under the same id
	AnswerReject                              // final: trying again is harmless, after Wait if it is not 0
	AnswerFail                                // final
	AnswerOpenElsewhere                       // the lookup is open on another stream; nothing about it is said here
	AnswerAlreadyGiven                        // it has been answered already
	AnswerFull                                // no place; nothing was taken
	AnswerOutOfOrder                          // a phase out of order: the stream ends
)

var answerNames = [...]string{"", "go", "accepted", "again", "nack", "fail", "twice", "known", "full", "disorder"}

func (w AnswerKind) String() string { return answerNames[w] }

// Final tells whether it ends the lookup for its caller.
func (w AnswerKind) Final() bool { return w == AnswerAccepted || w == AnswerReject || w == AnswerFail }

// AddClaim marks a lookup as in the hands of one that will look for its steps by itself; Held tells whether it is.
func (lk *Lookup) AddClaim(n int32) { lk.claims.Add(n) }

// IsClaimed tells whether somebody will look for its steps by itself.
func (lk *Lookup) IsClaimed() bool { return lk.claims.Load() > 0 }

// Report is a report for the router: how send N of a lookup ended.
type Report struct {
	Lookup     *Lookup
	Attempt    int
	Outcome    policy.AttemptOutcome
	Detail     policy.OutcomeDetail
	SourceWait policy.Micros
}

// Commands is what is to be done now, in this order.
type Commands struct {
	Reports []Report  // to the router
	Gone    []*Lookup // the client has gone: to the router
	Overdue []*Lookup // nothing has ended it by its time: to the router
	Answers []Answer  // to streams
}

func (d *Commands) answer(to *Stream, what AnswerKind) {
	if to != nil {
		d.Answers = append(d.Answers, Answer{Stream: to, Kind: what})
	}
}

type phase int

const (
	phaseDeciding   phase = iota // the module has the word
	phaseAttempting              // a send is at its caller
	phaseDecided                 // a send or an end is decided, and the caller is to ask for it
	phaseEnded
)

// Lookup is a lookup between its first ask and some time after its end.
type Lookup struct {
	Key             string // caller and id
	Dispatched      *dispatch.Lookup
	Object          string // as the door read it, for what it checks of answers
	Group           int
	ETag            string
	Request         *route.Lookup
	Trace           any // the door's own
	Quota           *admission.Gate
	Ticket          *rollout.Ticket // nil: it came by no route
	ArrivedAt       time.Time
	claims          atomic.Int32
	caller          string
	phase           phase
	stream          *Stream // that waits for an answer, or makes the send
	step            dispatch.Step
	attempt         int       // of the send that is handed
	dueAt           time.Time // by then its caller must have come
	deadline        time.Time // its own time is over
	result          AnswerKind
	retryAfter      time.Duration
	endedElement    *list.Element
	reportPending   bool      // on waits for what follows its report
	wakeAt          time.Time // when the desk must look after it; zero: no need
	sequence        uint64    // lookups of one instant go in the order they came
	heapIndex       int       // in the heap, from 1
	overdueReported bool      // the router has been told that its time is over
}

// wakeHeap is a heap of lookups by when they must be looked after: however many are open, a tick costs what is due.
type wakeHeap []*Lookup

func (w wakeHeap) Len() int { return len(w) }
func (w wakeHeap) Less(i, j int) bool {
	if !w[i].wakeAt.Equal(w[j].wakeAt) {
		return w[i].wakeAt.Before(w[j].wakeAt)
	}
	return w[i].sequence < w[j].sequence
}
func (w wakeHeap) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].heapIndex, w[j].heapIndex = i+1, j+1
}
func (w *wakeHeap) Push(x any) {
	lk := x.(*Lookup)
	*w = append(*w, lk)
	lk.heapIndex = len(*w)
}
func (w *wakeHeap) Pop() any {
	last := len(*w) - 1
	lk := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	lk.heapIndex = 0
	return lk
}

// Coordinator holds the lookups of all callers.
type Coordinator struct {
	limits       Limits
	lookups      map[string]*Lookup
	openCount    int
	openByCaller map[string]int
	ended        list.List // *Lookup, oldest first
	wakeHeap     wakeHeap
	sequence     uint64
	// Odd counts what callers did against the contract, by what it was.
	Anomalies map[string]int
}

// New makes an empty desk.
func New(terms Limits) *Coordinator {
	return &Coordinator{limits: terms, lookups: map[string]*Lookup{}, openByCaller: map[string]int{}, Anomalies: map[string]int{}}
}

// OpenLookups is how many lookups are open.
func (d *Coordinator) OpenLookups() int { return d.openCount }

// AttemptsOut is how many sends are at their callers, or decided and not asked for yet.
func (d *Coordinator) AttemptsOut() (n int) {
	for _, lk := range d.lookups { // a sum: the order does not matter
		if lk.phase == phaseAttempting || lk.phase == phaseDecided && lk.step.Kind == dispatch.StepFetch {
			n++
		}
	}
	return n
}

// LookupOf is the lookup whose send a stream's caller makes; nil without one.
func (d *Coordinator) LookupOf(on *Stream) *Lookup {
	if lk := on.lookup; lk != nil && lk.phase == phaseAttempting && lk.stream == on {
		return lk
	}
	return nil
}

// schedule sets when a lookup must be looked after.
func (d *Coordinator) schedule(lk *Lookup) {
	var at time.Time
	switch {
	case lk.phase == phaseEnded:
	case lk.stream == nil && !lk.dueAt.IsZero():
		at = lk.dueAt
	case lk.phase == phaseAttempting:
		at = lk.deadline
	case lk.stream != nil && !lk.overdueReported:
		at = lk.deadline.Add(dispatch.DeadlineSlack)
	}
	switch lk.wakeAt = at; {
	case at.IsZero() && lk.heapIndex > 0:
		heap.Remove(&d.wakeHeap, lk.heapIndex-1)
	case at.IsZero():
	case lk.heapIndex > 0:
		heap.Fix(&d.wakeHeap, lk.heapIndex-1)
	default:
		heap.Push(&d.wakeHeap, lk)
	}
}

// Knows tells whether a caller's lookup is open or remembered.
func (d *Coordinator) Knows(on *Stream, id string) bool { return d.lookups[on.Caller+" "+id] != nil }

// Request is a caller's word that it has a lookup, or again has it. Where it returns a lookup, that is new: the door hands it to
// the router and sets Lk, or calls Refused.
func (d *Coordinator) Request(now time.Time, on *Stream, id string, until time.Time) (*Lookup, Commands) {
	var do Commands
	if on.ended { // guards what was read just before its end: nobody would ever hear of it, nor leave it
		return nil, do
	}
	if on.lookup != nil {
		d.Anomalies["ask_on_busy_stream"]++
		do.answer(on, AnswerOutOfOrder)
		return nil, do
	}
	key := on.Caller + " " + id
	lk := d.lookups[key]
	switch {
	case lk == nil && (d.openCount >= d.limits.MaxLookups || d.openByCaller[on.Caller] >= d.limits.MaxPerCaller):
		do.answer(on, AnswerFull)
	case lk == nil:
		d.sequence++
		lk = &Lookup{Key: key, caller: on.Caller, stream: on, deadline: until, sequence: d.sequence}
		d.lookups[key], on.lookup = lk, lk
		d.openCount++
		d.openByCaller[lk.caller]++
		d.schedule(lk)
		return lk, do
	case lk.phase == phaseEnded && lk.result == AnswerAccepted:
		d.Anomalies["ask_after_answer"]++
		do.answer(on, AnswerAlreadyGiven)
	case lk.phase == phaseEnded: // the same end once more harms nobody
		do.Answers = append(do.Answers, Answer{Stream: on, Kind: lk.result, RetryAfter: lk.retryAfter})
	case lk.stream != nil:
		d.Anomalies["ask_twice"]++
		do.answer(on, AnswerOpenElsewhere)
	default:
		lk.stream, on.lookup = on, lk
		lk.dueAt = time.Time{}
		d.deliver(now, lk, &do)
		d.schedule(lk)
	}
	return nil, do
}

// Discard drops a lookup that the router did not take.
func (d *Coordinator) Discard(lk *Lookup) {
	if lk.stream != nil {
		lk.stream.lookup = nil
	}
	d.release(lk)
	lk.phase = phaseEnded
	d.schedule(lk)
	delete(d.lookups, lk.Key)
}

// ApplyStep is the router's next step of a lookup.
func (d *Coordinator) ApplyStep(now time.Time, lk *Lookup, s dispatch.Step) (do Commands) {
	switch {
	case lk.phase == phaseEnded:
		if s.Kind == dispatch.StepFetch { // it was decided before the end was told
			do.Reports = append(do.Reports, Report{Lookup: lk, Attempt: s.Attempt, Outcome: policy.OutcomeNotSent})
		}
	case s.Kind == dispatch.StepCancel:
		// The send is at its caller, which cannot be called back: it ends with its report, or with its stream. One not handed
		// yet is taken back.
		if lk.phase == phaseDecided && lk.step.Kind == dispatch.StepFetch && lk.step.Attempt == s.Attempt {
			lk.phase = phaseDeciding
			do.Reports = append(do.Reports, Report{Lookup: lk, Attempt: s.Attempt, Outcome: policy.OutcomeNotSent})
		}
	default:
		switch { // an end while a send is out, as at the gateway's stop: nobody hears of that send any more
		case lk.phase == phaseAttempting:
			do.Reports = append(do.Reports, Report{Lookup: lk, Attempt: lk.attempt, Outcome: policy.OutcomeCancelled})
		case lk.phase == phaseDecided && lk.step.Kind == dispatch.StepFetch:
			do.Reports = append(do.Reports, Report{Lookup: lk, Attempt: lk.step.Attempt, Outcome: policy.OutcomeNotSent})
		}
		lk.step, lk.phase = s, phaseDecided
		d.deliver(now, lk, &do)
	}
	d.schedule(lk)
	return do
}

// deliver tells the stream that waits what has been decided; without one the caller has some time to come.
func (d *Coordinator) deliver(now time.Time, lk *Lookup, do *Commands) {
	if lk.phase != phaseDecided {
		return
	}
	if lk.step.Kind == dispatch.StepFetch && lk.stream != nil && lk.reportPending { // that stream's send is over: the next needs an ask of its own
		do.answer(lk.stream, AnswerAskAgain)
		lk.stream.lookup, lk.stream, lk.reportPending = nil, nil, false
	}
	if lk.stream == nil && lk.step.Kind == dispatch.StepFetch {
		lk.dueAt = now.Add(d.limits.ReturnTimeout)
		return
	}
	s := lk.step
	if s.Kind == dispatch.StepFetch {
		lk.phase, lk.attempt = phaseAttempting, s.Attempt
		do.Answers = append(do.Answers, Answer{Stream: lk.stream, Kind: AnswerAttempt, Step: s, Lookup: lk})
		return
	}
	end := map[dispatch.StepKind]AnswerKind{dispatch.StepSatisfied: AnswerAccepted, dispatch.StepRejected: AnswerReject, dispatch.StepFailed: AnswerFail, dispatch.StepClientGone: AnswerFail}[s.Kind]
	lk.retryAfter = time.Duration(s.RetryAfter) * time.Microsecond
	if lk.stream != nil {
		do.Answers = append(do.Answers, Answer{Stream: lk.stream, Kind: end, RetryAfter: lk.retryAfter})
		lk.stream.lookup, lk.stream, lk.reportPending = nil, nil, false
	}
	d.finish(now, lk, end)
}

// ReportOutcome is a caller's word how the send on a stream ended. What follows is said once the module has decided: that its answer
// is the lookup's, that it is to ask again, or the end.
func (d *Coordinator) ReportOutcome(now time.Time, on *Stream, how policy.AttemptOutcome, remark policy.OutcomeDetail, waited policy.Micros) (do Commands) {
	lk := on.lookup
	if lk == nil || lk.phase != phaseAttempting || lk.stream != on {
		d.Anomalies["report_of_nothing"]++
		do.answer(on, AnswerOutOfOrder)
		return do
	}
	if how == policy.OutcomeCancelled || how < policy.OutcomeSatisfied || how > policy.OutcomeMiss || remark < policy.DetailNone || remark > policy.DetailOriginFailed {
		d.Anomalies["report_unknown"]++ // it may have run
		how, remark = policy.OutcomeError, policy.DetailNone
	}
	lk.phase, lk.reportPending = phaseDeciding, true // the module has the word; the stream waits for it
	d.schedule(lk)
	do.Reports = append(do.Reports, Report{Lookup: lk, Attempt: lk.attempt, Outcome: how, Detail: remark, SourceWait: max(0, waited)})
	return do
}

// StreamEnded is the end of a stream, however it came.
func (d *Coordinator) StreamEnded(now time.Time, on *Stream) (do Commands) {
	lk := on.lookup
	on.ended = true
	if lk == nil {
		return do
	}
	on.lookup, lk.stream, lk.reportPending = nil, nil, false
	switch lk.phase {
	case phaseAttempting: // it may have reached its cache
		d.Anomalies["stream_ended_with_send"]++
		lk.phase = phaseDeciding
		do.Reports = append(do.Reports, Report{Lookup: lk, Attempt: lk.attempt, Outcome: policy.OutcomeCancelled}) // the caller's doing: it may have run, and is no word of the cache
		lk.dueAt = now.Add(d.limits.ReturnTimeout)
	case phaseDeciding, phaseDecided: // nobody waits for a first word any more
		d.abandon(now, lk, &do)
	}
	d.schedule(lk)
	return do
}

// abandon gives a lookup up for its client.
func (d *Coordinator) abandon(now time.Time, lk *Lookup, do *Commands) {
	if lk.phase == phaseDecided && lk.step.Kind == dispatch.StepFetch {
		do.Reports = append(do.Reports, Report{Lookup: lk, Attempt: lk.step.Attempt, Outcome: policy.OutcomeNotSent})
	}
	do.Gone = append(do.Gone, lk)
	d.finish(now, lk, AnswerFail)
}

// finish ends a lookup here; it is remembered for a while.
func (d *Coordinator) finish(now time.Time, lk *Lookup, end AnswerKind) {
	if lk.phase == phaseEnded {
		return
	}
	d.release(lk)
	lk.phase, lk.result = phaseEnded, end
	lk.dueAt = now.Add(d.limits.Retention)
	lk.endedElement = d.ended.PushBack(lk)
	for d.ended.Len() > d.limits.MaxLookups {
		d.forget(d.ended.Front().Value.(*Lookup))
	}
}

func (d *Coordinator) release(lk *Lookup) {
	d.openCount--
	if d.openByCaller[lk.caller]--; d.openByCaller[lk.caller] <= 0 {
		delete(d.openByCaller, lk.caller)
	}
}

func (d *Coordinator) forget(lk *Lookup) {
	d.ended.Remove(lk.endedElement)
	delete(d.lookups, lk.Key)
}

// Tick brings the time: callers that were to come and did not are given up, sends whose lookup's time is over have timed out
// without a report, what ended long ago is forgotten. It tells when to come next.
func (d *Coordinator) Tick(now time.Time) (do Commands, next time.Time) {
	for e := d.ended.Front(); e != nil && !e.Value.(*Lookup).dueAt.After(now); e = d.ended.Front() {
		d.forget(e.Value.(*Lookup))
	}
	for len(d.wakeHeap) > 0 && !d.wakeHeap[0].wakeAt.After(now) {
		lk := d.wakeHeap[0]
		if lk.phase == phaseAttempting { // its caller never reported
			d.Anomalies["never_reported"]++
			do.Reports = append(do.Reports, Report{Lookup: lk, Attempt: lk.attempt, Outcome: policy.OutcomeTimeout})
			lk.phase = phaseDeciding
		} else if lk.stream != nil { // guards rule 1 against a fault of the module
			lk.overdueReported = true
			do.Overdue = append(do.Overdue, lk)
		} else {
			d.Anomalies["never_asked_again"]++
			d.abandon(now, lk, &do)
		}
		d.schedule(lk)
	}
	next = now.Add(time.Second)
	if len(d.wakeHeap) > 0 && d.wakeHeap[0].wakeAt.Before(next) {
		next = d.wakeHeap[0].wakeAt
	}
	return do, next
}
