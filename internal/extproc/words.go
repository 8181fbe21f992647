package extproc

import (
	"strconv"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
	"foldslip/internal/retry"
	"foldslip/internal/route"
)

// Phase is what a message of a stream is about, in the order in which phases come.
type Phase int

const (
	RequestHeaders Phase = 1 + iota
	RequestBody
	RequestTrailers
	ResponseHeaders
	ResponseBody
	ResponseTrailers
)

// Message is a caller's message. Get reads its headers, and what else its wire tells, by the names of the table.
type Message struct {
	Phase        Phase
	Method, Path string
	Get          route.Attributes
	Size         int  // bytes on the wire
	ObserveOnly  bool // the caller tells and waits for no reply
}

// EndReason are why a stream ends without a reply.
type EndReason int

const (
	NotEnded EndReason = iota
	EndedOutOfOrder
	EndedOverLimit
	EndedSilent
	EndedClosing
)

var endTexts = [...]string{"", "a phase out of order: one request's headers, then its response's", "more than this caller may send",
	"a message was due and none came", "this door closes"}

func (e EndReason) Error() string { return endTexts[e] }

// Reply is the answer to a message.
type Reply struct {
	Phase      Phase // that it answers
	Status     int   // of a final answer to the caller's client; 0: go on
	Text       string
	RetryAfter time.Duration // when to come back; 0: not told
	Headers    []Header      // more to set with a final answer
	Decision   []Header      // a decision's, by All's order; an empty value is to be removed
	End        EndReason     // the stream ends without a reply
}

// Header is a header by its full name.
type Header struct{ Name, Value string }

func finalReply(status int, text string) Reply { return Reply{Status: status, Text: text} }

// All are the fields of a decision: what is not told is removed, so that no client sets it.
// Where routes are on, version and route are told too.
var DecisionHeaders = []string{"cache", "addr", "send", "source", "rank", "oldest-ms", "mode", "wait-ms"}

var modeLetters = []struct {
	bit  policy.FetchMode
	word string
}{{policy.ModeCoalesce, "j"}, {policy.ModeCachedOnly, "h"}, {policy.ModeSourceNoStore, "n"}, {policy.ModeRevalidate, "r"}}

// decisionHeaders is a send in words.
func decisionHeaders(s dispatch.Step, addr string) []Header {
	out := make([]Header, len(DecisionHeaders))
	for i, name := range DecisionHeaders {
		out[i].Name = Prefix + name
	}
	out[0].Value, out[1].Value, out[2].Value = s.Cache.Name, addr, strconv.Itoa(s.Attempt)
	if s.Source != s.Cache {
		out[3].Value = s.Source.Name
	}
	out[4].Value = strconv.Itoa(s.Rank)
	if s.MaxAge > 0 {
		out[5].Value = strconv.FormatInt(max(1, s.MaxAge/1000), 10)
	}
	for _, m := range modeLetters {
		if s.Mode&m.bit != 0 {
			if out[6].Value != "" {
				out[6].Value += "+"
			}
			out[6].Value += m.word
		}
	}
	out[7].Value = strconv.FormatFloat(float64(max(1, s.Timeout))/1000, 'f', -1, 64)
	return out
}

// attemptReport is how a send ended, by its caller's word.
type attemptReport struct {
	outcome     policy.AttemptOutcome
	detail      policy.OutcomeDetail
	sourceWait  policy.Micros
	createdAt   time.Time // of the copy; zero: not told
	etag        string
	notModified bool // the client's own copy holds
}

var outcomesByWord = map[string]policy.AttemptOutcome{"hit": policy.OutcomeSatisfied, "ok": policy.OutcomeSatisfied, "valid": policy.OutcomeSatisfied, "none": policy.OutcomeMiss,
	"shed": policy.OutcomeRejected, "fault": policy.OutcomeError, "late": policy.OutcomeNotSent, "timeout": policy.OutcomeTimeout,
	"unconnected": policy.OutcomeConnectFailed, "reset": policy.OutcomeReset}

var detailsByNote = map[string]policy.OutcomeDetail{"hit": policy.DetailHit, "filled": policy.DetailFilled, "via_origin": policy.DetailFilledFromOrigin, "joined": policy.DetailCoalesced,
	"stale": policy.DetailStale, "src_refused": policy.DetailSourceRefused, "src_broke": policy.DetailSourceBroke, "src_lacks": policy.DetailSourceMiss,
	"no_slot": policy.DetailNoFillSlot, "origin_failed": policy.DetailOriginFailed}

// parseReport reads how a send ended: the cache's own word, else what the status says. A word that is not known may have run.
func parseReport(get route.Attributes) (r attemptReport) {
	word, n := get(Prefix + "end")
	code, _ := get(":status")
	how, known := outcomesByWord[word]
	switch {
	case n > 0 && !known:
		r.outcome = policy.OutcomeError
	case n > 0:
		r.outcome = how
	case code == "200" || code == "304":
		r.outcome = policy.OutcomeSatisfied
	case code == "504":
		r.outcome = policy.OutcomeTimeout
	default:
		r.outcome = policy.OutcomeError
	}
	r.notModified = word == "valid" || code == "304"
	note, _ := get(Prefix + "note")
	r.detail = detailsByNote[note]
	waited, _ := get(Prefix + "waited-ms")
	if ms, err := strconv.ParseFloat(waited, 64); err == nil && ms >= 0 && ms < 1e7 {
		r.sourceWait = policy.Micros(ms * 1000)
	}
	born, _ := get(Prefix + "born")
	if ms, err := strconv.ParseInt(born, 10, 64); err == nil && ms > 0 {
		r.createdAt = time.UnixMilli(ms)
	}
	r.etag, _ = get(Prefix + "ver")
	return r
}

// Tracer hears of each lookup's steps; it must not wait. Began is called under the door's lock.
type Tracer interface {
	LookupStarted(lk *retry.Lookup, get route.Attributes)
	StepDecided(lk *retry.Lookup, s dispatch.Step)
	AttemptEnded(lk *retry.Lookup, t retry.Report)
}

type noTracer struct{}

func (noTracer) LookupStarted(*retry.Lookup, route.Attributes) {}
func (noTracer) StepDecided(*retry.Lookup, dispatch.Step)      {}
func (noTracer) AttemptEnded(*retry.Lookup, retry.Report)      {}

// SetTracer has a tracer hear of the lookups to come; before Run.
func (d *Server) SetTracer(t Tracer) { d.tracer = t }
