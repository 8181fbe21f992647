package retry

import (
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
)

// Stream is one stream of a caller, which carries one lookup's attempt at a time. Its owner makes it; the Coordinator reads and changes it.
type Stream struct {
	Caller string
	Owner  any     // for the owner: where answers on this stream go
	lookup *Lookup // whose answer the stream waits for, or whose attempt it makes
	ended  bool
}

// Commands are what a Coordinator wants done, in this order. The zero value is nothing.
type Commands struct {
	Reports []Report  // report these ends of attempts to the dispatcher
	Gone    []*Lookup // their clients are gone: end them at the dispatcher
	Overdue []*Lookup // nothing has ended them by their deadline: fail them at the dispatcher
	Answers []Answer  // send these to streams
}

func (c *Commands) report(lookup *Lookup, attempt int, outcome policy.AttemptOutcome) {
	c.Reports = append(c.Reports, Report{Lookup: lookup, Attempt: attempt, Outcome: outcome})
}

func (c *Commands) answer(to *Stream, kind AnswerKind) {
	if to != nil {
		c.Answers = append(c.Answers, Answer{Stream: to, Kind: kind})
	}
}

// Report is the end of an attempt of a lookup.
type Report struct {
	Lookup     *Lookup
	Attempt    int
	Outcome    policy.AttemptOutcome
	Detail     policy.OutcomeDetail
	SourceWait policy.Micros
}

// Answer is what a stream's caller is answered.
type Answer struct {
	Stream     *Stream
	Kind       AnswerKind
	Step       dispatch.Step // of AnswerAttempt
	Lookup     *Lookup       // of AnswerAttempt
	RetryAfter time.Duration // of AnswerReject; 0: none
}

// AnswerKind is the kind of an answer.
type AnswerKind int

// The kinds of answers.
const (
	AnswerAttempt       AnswerKind = 1 + iota // make this attempt
	AnswerAccepted                            // the attempt's answer is the lookup's: pass it on
	AnswerAskAgain                            // the lookup goes on: request it again under the same id
	AnswerReject                              // the lookup's end: the client may repeat it
	AnswerFail                                // the lookup's end
	AnswerOpenElsewhere                       // the lookup is open on another stream
	AnswerAlreadyGiven                        // the lookup was answered before
	AnswerFull                                // too many lookups are open
	AnswerOutOfOrder                          // a message out of order: the stream ends
)

var answerNames = [...]string{"none", "attempt", "accepted", "ask again", "reject", "fail", "open elsewhere", "already given", "full", "out of order"}

// String names the kind for people.
func (k AnswerKind) String() string { return answerNames[k] }
