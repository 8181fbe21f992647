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

	"foldslip/internal/dispatch"
	"foldslip/internal/memory"
	"foldslip/internal/policy"
	"foldslip/internal/route"
	"foldslip/internal/route/rollout"
)

// Terms are the bounds of a desk.
type Terms struct {
	Lookups  int           // open at once; past it they are nacked
	Each     int           // of these for one caller
	AgainIn  time.Duration // a caller that is to ask again does so within
	Remember time.Duration // an ended lookup is known for so long, so that a repeat is not taken for a new one
}

// Stream is one stream of a caller, a lookup's send at a time.
type Stream struct {
	Caller string
	Said   any     // the door's own: where what is said to it goes
	its    *Lookup // whose answer it waits for, or whose send it makes
	ended  bool
}

// Say is what a stream is told.
type Say struct {
	To   *Stream
	What What
	Send dispatch.Step // where What is Go
	Of   *Lookup       // likewise
	Wait time.Duration
}

// What is said to a caller.
type What int

const (
	Go       What = 1 + iota // make this send
	Accepted                 // the report is taken and the answer is the lookup's: pass it on
	Again                    // the report is taken, and the lookup goes on: ask again under the same id
	Nack                     // final: trying again is harmless, after Wait if it is not 0
	Fail                     // final
	Twice                    // the lookup is open on another stream; nothing about it is said here
	Known                    // it has been answered already
	Full                     // no place; nothing was taken
	Disorder                 // a phase out of order: the stream ends
)

var names = [...]string{"", "go", "accepted", "again", "nack", "fail", "twice", "known", "full", "disorder"}

func (w What) String() string { return names[w] }

// Final tells whether it ends the lookup for its caller.
func (w What) Final() bool { return w == Accepted || w == Nack || w == Fail }

// Hold marks a lookup as in the hands of one that will look for its steps by itself; Held tells whether it is.
func (lk *Lookup) Hold(n int32) { lk.busy.Add(n) }

// Held tells whether somebody will look for its steps by itself.
func (lk *Lookup) Held() bool { return lk.busy.Load() > 0 }

// Tell is a report for the router: how send N of a lookup ended.
type Tell struct {
	Of     *Lookup
	N      int
	How    policy.Ending
	Remark policy.Remark
	Waited policy.Micros
}

// Do is what is to be done now, in this order.
type Do struct {
	Tell  []Tell    // to the router
	Leave []*Lookup // the client has gone: to the router
	Late  []*Lookup // nothing has ended it by its time: to the router
	Say   []Say     // to streams
}

func (d *Do) say(to *Stream, what What) {
	if to != nil {
		d.Say = append(d.Say, Say{To: to, What: what})
	}
}

type stage int

const (
	deciding stage = iota // the module has the word
	handed                // a send is at its caller
	waiting               // a send or an end is decided, and the caller is to ask for it
	over
)

// Lookup is a lookup between its first ask and some time after its end.
type Lookup struct {
	Key    string // caller and id
	Lk     *dispatch.Lookup
	Object string // as the door read it, for what it checks of answers
	Group  int
	Tag    string
	Asked  *route.Asked
	Trace  any // the door's own
	Places *memory.Places
	Pass   *rollout.Pass // nil: it came by no route
	Came   time.Time
	busy   atomic.Int32
	who    string
	at     stage
	on     *Stream // that waits for an answer, or makes the send
	step   dispatch.Step
	n      int       // of the send that is handed
	due    time.Time // by then its caller must have come
	until  time.Time // its own time is over
	end    What
	wait   time.Duration
	place  *list.Element
	asked  bool      // on waits for what follows its report
	wake   time.Time // when the desk must look after it; zero: no need
	no     uint64    // lookups of one instant go in the order they came
	index  int       // in the heap, from 1
	late   bool      // the router has been told that its time is over
}

// wakes is a heap of lookups by when they must be looked after: however many are open, a tick costs what is due.
type wakes []*Lookup

func (w wakes) Len() int { return len(w) }
func (w wakes) Less(i, j int) bool {
	if !w[i].wake.Equal(w[j].wake) {
		return w[i].wake.Before(w[j].wake)
	}
	return w[i].no < w[j].no
}
func (w wakes) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i+1, j+1
}
func (w *wakes) Push(x any) {
	lk := x.(*Lookup)
	*w = append(*w, lk)
	lk.index = len(*w)
}
func (w *wakes) Pop() any {
	last := len(*w) - 1
	lk := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	lk.index = 0
	return lk
}

// Desk holds the lookups of all callers.
type Desk struct {
	terms Terms
	by    map[string]*Lookup
	open  int
	each  map[string]int
	ended list.List // *Lookup, oldest first
	wakes wakes
	count uint64
	// Odd counts what callers did against the contract, by what it was.
	Odd map[string]int
}

// New makes an empty desk.
func New(terms Terms) *Desk {
	return &Desk{terms: terms, by: map[string]*Lookup{}, each: map[string]int{}, Odd: map[string]int{}}
}

// Open is how many lookups are open.
func (d *Desk) Open() int { return d.open }

// Handed is how many sends are at their callers, or decided and not asked for yet.
func (d *Desk) Handed() (n int) {
	for _, lk := range d.by { // a sum: the order does not matter
		if lk.at == handed || lk.at == waiting && lk.step.What == dispatch.Send {
			n++
		}
	}
	return n
}

// Of is the lookup whose send a stream's caller makes; nil without one.
func (d *Desk) Of(on *Stream) *Lookup {
	if lk := on.its; lk != nil && lk.at == handed && lk.on == on {
		return lk
	}
	return nil
}

// arm sets when a lookup must be looked after.
func (d *Desk) arm(lk *Lookup) {
	var at time.Time
	switch {
	case lk.at == over:
	case lk.on == nil && !lk.due.IsZero():
		at = lk.due
	case lk.at == handed:
		at = lk.until
	case lk.on != nil && !lk.late:
		at = lk.until.Add(dispatch.LateBy)
	}
	switch lk.wake = at; {
	case at.IsZero() && lk.index > 0:
		heap.Remove(&d.wakes, lk.index-1)
	case at.IsZero():
	case lk.index > 0:
		heap.Fix(&d.wakes, lk.index-1)
	default:
		heap.Push(&d.wakes, lk)
	}
}

// Knows tells whether a caller's lookup is open or remembered.
func (d *Desk) Knows(on *Stream, id string) bool { return d.by[on.Caller+" "+id] != nil }

// Ask is a caller's word that it has a lookup, or again has it. Where it returns a lookup, that is new: the door hands it to
// the router and sets Lk, or calls Refused.
func (d *Desk) Ask(now time.Time, on *Stream, id string, until time.Time) (*Lookup, Do) {
	var do Do
	if on.ended { // guards what was read just before its end: nobody would ever hear of it, nor leave it
		return nil, do
	}
	if on.its != nil {
		d.Odd["ask_on_busy_stream"]++
		do.say(on, Disorder)
		return nil, do
	}
	key := on.Caller + " " + id
	lk := d.by[key]
	switch {
	case lk == nil && (d.open >= d.terms.Lookups || d.each[on.Caller] >= d.terms.Each):
		do.say(on, Full)
	case lk == nil:
		d.count++
		lk = &Lookup{Key: key, who: on.Caller, on: on, until: until, no: d.count}
		d.by[key], on.its = lk, lk
		d.open++
		d.each[lk.who]++
		d.arm(lk)
		return lk, do
	case lk.at == over && lk.end == Accepted:
		d.Odd["ask_after_answer"]++
		do.say(on, Known)
	case lk.at == over: // the same end once more harms nobody
		do.Say = append(do.Say, Say{To: on, What: lk.end, Wait: lk.wait})
	case lk.on != nil:
		d.Odd["ask_twice"]++
		do.say(on, Twice)
	default:
		lk.on, on.its = on, lk
		lk.due = time.Time{}
		d.speak(now, lk, &do)
		d.arm(lk)
	}
	return nil, do
}

// Refused drops a lookup that the router did not take.
func (d *Desk) Refused(lk *Lookup) {
	if lk.on != nil {
		lk.on.its = nil
	}
	d.drop(lk)
	lk.at = over
	d.arm(lk)
	delete(d.by, lk.Key)
}

// Step is the router's next step of a lookup.
func (d *Desk) Step(now time.Time, lk *Lookup, s dispatch.Step) (do Do) {
	switch {
	case lk.at == over:
		if s.What == dispatch.Send { // it was decided before the end was told
			do.Tell = append(do.Tell, Tell{Of: lk, N: s.N, How: policy.NeverSent})
		}
	case s.What == dispatch.Cancel:
		// The send is at its caller, which cannot be called back: it ends with its report, or with its stream. One not handed
		// yet is taken back.
		if lk.at == waiting && lk.step.What == dispatch.Send && lk.step.N == s.N {
			lk.at = deciding
			do.Tell = append(do.Tell, Tell{Of: lk, N: s.N, How: policy.NeverSent})
		}
	default:
		switch { // an end while a send is out, as at the gateway's stop: nobody hears of that send any more
		case lk.at == handed:
			do.Tell = append(do.Tell, Tell{Of: lk, N: lk.n, How: policy.Cancelled})
		case lk.at == waiting && lk.step.What == dispatch.Send:
			do.Tell = append(do.Tell, Tell{Of: lk, N: lk.step.N, How: policy.NeverSent})
		}
		lk.step, lk.at = s, waiting
		d.speak(now, lk, &do)
	}
	d.arm(lk)
	return do
}

// speak tells the stream that waits what has been decided; without one the caller has some time to come.
func (d *Desk) speak(now time.Time, lk *Lookup, do *Do) {
	if lk.at != waiting {
		return
	}
	if lk.step.What == dispatch.Send && lk.on != nil && lk.asked { // that stream's send is over: the next needs an ask of its own
		do.say(lk.on, Again)
		lk.on.its, lk.on, lk.asked = nil, nil, false
	}
	if lk.on == nil && lk.step.What == dispatch.Send {
		lk.due = now.Add(d.terms.AgainIn)
		return
	}
	s := lk.step
	if s.What == dispatch.Send {
		lk.at, lk.n = handed, s.N
		do.Say = append(do.Say, Say{To: lk.on, What: Go, Send: s, Of: lk})
		return
	}
	end := map[dispatch.What]What{dispatch.Satisfied: Accepted, dispatch.Nacked: Nack, dispatch.Failed: Fail, dispatch.Departed: Fail}[s.What]
	lk.wait = time.Duration(s.RetryIn) * time.Microsecond
	if lk.on != nil {
		do.Say = append(do.Say, Say{To: lk.on, What: end, Wait: lk.wait})
		lk.on.its, lk.on, lk.asked = nil, nil, false
	}
	d.finish(now, lk, end)
}

// Report is a caller's word how the send on a stream ended. What follows is said once the module has decided: that its answer
// is the lookup's, that it is to ask again, or the end.
func (d *Desk) Report(now time.Time, on *Stream, how policy.Ending, remark policy.Remark, waited policy.Micros) (do Do) {
	lk := on.its
	if lk == nil || lk.at != handed || lk.on != on {
		d.Odd["report_of_nothing"]++
		do.say(on, Disorder)
		return do
	}
	if how == policy.Cancelled || how < policy.Satisfied || how > policy.Missed || remark < policy.Untold || remark > policy.OriginFailed {
		d.Odd["report_unknown"]++ // it may have run
		how, remark = policy.Errored, policy.Untold
	}
	lk.at, lk.asked = deciding, true // the module has the word; the stream waits for it
	d.arm(lk)
	do.Tell = append(do.Tell, Tell{Of: lk, N: lk.n, How: how, Remark: remark, Waited: max(0, waited)})
	return do
}

// End is the end of a stream, however it came.
func (d *Desk) End(now time.Time, on *Stream) (do Do) {
	lk := on.its
	on.ended = true
	if lk == nil {
		return do
	}
	on.its, lk.on, lk.asked = nil, nil, false
	switch lk.at {
	case handed: // it may have reached its cache
		d.Odd["stream_ended_with_send"]++
		lk.at = deciding
		do.Tell = append(do.Tell, Tell{Of: lk, N: lk.n, How: policy.Cancelled}) // the caller's doing: it may have run, and is no word of the cache
		lk.due = now.Add(d.terms.AgainIn)
	case deciding, waiting: // nobody waits for a first word any more
		d.leave(now, lk, &do)
	}
	d.arm(lk)
	return do
}

// leave gives a lookup up for its client.
func (d *Desk) leave(now time.Time, lk *Lookup, do *Do) {
	if lk.at == waiting && lk.step.What == dispatch.Send {
		do.Tell = append(do.Tell, Tell{Of: lk, N: lk.step.N, How: policy.NeverSent})
	}
	do.Leave = append(do.Leave, lk)
	d.finish(now, lk, Fail)
}

// finish ends a lookup here; it is remembered for a while.
func (d *Desk) finish(now time.Time, lk *Lookup, end What) {
	if lk.at == over {
		return
	}
	d.drop(lk)
	lk.at, lk.end = over, end
	lk.due = now.Add(d.terms.Remember)
	lk.place = d.ended.PushBack(lk)
	for d.ended.Len() > d.terms.Lookups {
		d.forget(d.ended.Front().Value.(*Lookup))
	}
}

func (d *Desk) drop(lk *Lookup) {
	d.open--
	if d.each[lk.who]--; d.each[lk.who] <= 0 {
		delete(d.each, lk.who)
	}
}

func (d *Desk) forget(lk *Lookup) {
	d.ended.Remove(lk.place)
	delete(d.by, lk.Key)
}

// Tick brings the time: callers that were to come and did not are given up, sends whose lookup's time is over have timed out
// without a report, what ended long ago is forgotten. It tells when to come next.
func (d *Desk) Tick(now time.Time) (do Do, next time.Time) {
	for e := d.ended.Front(); e != nil && !e.Value.(*Lookup).due.After(now); e = d.ended.Front() {
		d.forget(e.Value.(*Lookup))
	}
	for len(d.wakes) > 0 && !d.wakes[0].wake.After(now) {
		lk := d.wakes[0]
		if lk.at == handed { // its caller never reported
			d.Odd["never_reported"]++
			do.Tell = append(do.Tell, Tell{Of: lk, N: lk.n, How: policy.TimedOut})
			lk.at = deciding
		} else if lk.on != nil { // guards rule 1 against a fault of the module
			lk.late = true
			do.Late = append(do.Late, lk)
		} else {
			d.Odd["never_asked_again"]++
			d.leave(now, lk, &do)
		}
		d.arm(lk)
	}
	next = now.Add(time.Second)
	if len(d.wakes) > 0 && d.wakes[0].wake.Before(next) {
		next = d.wakes[0].wake
	}
	return do, next
}
