package retry

import (
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
)

// Stream is a stream from a caller. It carries one lookup at a time. The owner creates it, and the Coordinator reads and
// changes it.
type Stream struct {
	Caller string
	Owner  any     // set by the owner, which delivers answers with it; the Coordinator does not read it
	lookup *Lookup // the lookup whose answer the stream waits for or whose attempt its caller makes; nil: none
	ended  bool
}

// Commands are the actions that the owner of a Coordinator must carry out, in the order of the fields. The zero value has
// no actions.
type Commands struct {
	Reports []Report  // ends of attempts to report to the dispatcher
	Gone    []*Lookup // lookups whose clients are gone, to be ended at the dispatcher
	Overdue []*Lookup // lookups that have not ended by their deadline, to be failed at the dispatcher
	GivenUp []*Lookup // lookups that need another attempt after StopRetries, to be given up at the dispatcher
	Answers []Answer  // answers to send
}

func (c *Commands) report(lookup *Lookup, attempt int, outcome policy.AttemptOutcome) {
	c.Reports = append(c.Reports, Report{Lookup: lookup, Attempt: attempt, Outcome: outcome})
}

func (c *Commands) answer(to *Stream, kind AnswerKind) {
	if to != nil {
		c.Answers = append(c.Answers, Answer{Stream: to, Kind: kind})
	}
}

// Report describes the end of an attempt of a lookup.
type Report struct {
	Lookup     *Lookup
	Attempt    int
	Outcome    policy.AttemptOutcome
	Detail     policy.OutcomeDetail
	SourceWait policy.Micros
}

// Answer is an answer to the caller on a stream.
type Answer struct {
	Stream     *Stream
	Kind       AnswerKind
	Step       dispatch.Step // for AnswerAttempt
	Lookup     *Lookup       // for AnswerAttempt
	RetryAfter time.Duration // for AnswerReject; 0: none
}

// AnswerKind is the kind of an Answer.
type AnswerKind int

// The kinds of answers.
const (
	AnswerAttempt       AnswerKind = 1 + iota // the caller makes this attempt
	AnswerAccepted                            // the lookup is satisfied: the caller passes on the response to its attempt
	AnswerAskAgain                            // the lookup is still open: the caller requests it again under the same id
	AnswerReject                              // the lookup is rejected: the client may repeat it
	AnswerFail                                // the lookup has failed
	AnswerOpenElsewhere                       // the lookup is open on another stream
	AnswerAlreadyGiven                        // the lookup was answered before with AnswerAccepted
	AnswerFull                                // too many lookups are open
	AnswerNoRecord                            // the lookup could not be remembered after its end, as its caller holds its share of the records
	AnswerOutOfOrder                          // the caller's message was out of order: the stream ends
)

var answerNames = [...]string{"none", "attempt", "accepted", "ask again", "reject", "fail", "open elsewhere", "already given", "full", "no record", "out of order"}

// String returns the name of the kind.
func (k AnswerKind) String() string { return answerNames[k] }
