package extproc

import (
	"errors"
	"strconv"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
	"foldslip/internal/retry"
	"foldslip/internal/route"
)

// This file defines the names and texts of the contract with callers (docs/external-processor.md) and maps them to Go
// types. No other file of this package contains any of them.

// Prefix begins the names of the headers that a Server sets and reads.
const Prefix = "x-foldslip-"

// DecisionHeaders lists the headers of a decision, without Prefix, in the
// order of Reply.Decision. The version and route headers follow them there.
var DecisionHeaders = []string{"cache", "addr", "send", "source", "rank", "oldest-ms", "mode", "wait-ms"}

const (
	headerVersion  = Prefix + "version"
	headerRoute    = Prefix + "route"
	headerAskAgain = Prefix + "again"

	headerStatus     = ":status"
	headerOutcome    = Prefix + "end"
	headerDetail     = Prefix + "note"
	headerSourceWait = Prefix + "waited-ms"
	headerCreatedAt  = Prefix + "born"
	headerETag       = Prefix + "ver"
)

// Texts of final answers to the caller's client.
const (
	textNoTime        = "no time left"
	textFull          = "too many lookups"
	textNoRecord      = "too many lookups to remember"
	textPastLimit     = "past a limit: " // followed by the limit.Reason
	textAskAgain      = "ask again"
	textRejected      = "nacked"
	textFailed        = "failed"
	textOpenElsewhere = "this lookup is open already"
	textAnswered      = "this lookup has been answered"
)

var endTexts = [...]string{
	NotEnded:        "",
	EndedOutOfOrder: "a phase out of order: one request's headers, then its response's",
	EndedOverLimit:  "more than this caller may send",
	EndedSilent:     "a message was due and none came",
	EndedClosing:    "this door closes",
}

// ErrMessageTooLarge is returned by Transport.Receive for a message that exceeds the transport's size limit.
var ErrMessageTooLarge = errors.New("a message is larger than this door takes")

// ErrTooManyStreams is returned by Server.Serve if the caller has
// Limits.MaxStreams streams open, or if the Server cannot add another caller.
var ErrTooManyStreams = errors.New("too many streams of this caller")

// modeLetters lists the flags of a policy.FetchMode with their letters on the wire, which are joined by +.
var modeLetters = []struct {
	mode   policy.FetchMode
	letter string
}{{policy.ModeCoalesce, "j"}, {policy.ModeCachedOnly, "h"}, {policy.ModeSourceNoStore, "n"}, {policy.ModeRevalidate, "r"}}

// outcomesByWord maps the values of headerOutcome to outcomes.
var outcomesByWord = map[string]policy.AttemptOutcome{
	"hit":         policy.OutcomeSatisfied,
	"ok":          policy.OutcomeSatisfied,
	wordValid:     policy.OutcomeSatisfied,
	"none":        policy.OutcomeMiss,
	"shed":        policy.OutcomeRejected,
	"fault":       policy.OutcomeError,
	"late":        policy.OutcomeNotSent,
	"timeout":     policy.OutcomeTimeout,
	"unconnected": policy.OutcomeConnectFailed,
	"reset":       policy.OutcomeReset,
}

// wordValid means that the copy held by the client is still valid.
const wordValid = "valid"

// detailsByWord maps the values of headerDetail to outcome details.
var detailsByWord = map[string]policy.OutcomeDetail{
	"hit":           policy.DetailHit,
	"filled":        policy.DetailFilled,
	"via_origin":    policy.DetailFilledFromOrigin,
	"joined":        policy.DetailCoalesced,
	"stale":         policy.DetailStale,
	"src_refused":   policy.DetailSourceRefused,
	"src_broke":     policy.DetailSourceBroke,
	"src_lacks":     policy.DetailSourceMiss,
	"no_slot":       policy.DetailNoFillSlot,
	"origin_failed": policy.DetailOriginFailed,
}

// maxSourceWaitMS bounds the source wait that a caller may report, in milliseconds. Longer waits are ignored.
const maxSourceWaitMS = 1e7

// attemptReport is a caller's report of how an attempt ended.
type attemptReport struct {
	outcome     policy.AttemptOutcome
	detail      policy.OutcomeDetail
	sourceWait  policy.Micros
	createdAt   time.Time // when the copy was created; zero: not reported
	etag        string
	notModified bool // the copy held by the client is still valid
}

// markLate makes the answer count as one that came too late: a timeout without a detail.
func (r *attemptReport) markLate() {
	r.outcome = policy.OutcomeTimeout
	r.detail = policy.DetailNone
}

// parseReport reads a report from the headers of a response. The outcome is taken from headerOutcome if that is
// set, and from the status otherwise. An unknown outcome word counts as an error, because the attempt may have run.
func parseReport(get route.Attributes) (report attemptReport) {
	word, count := get(headerOutcome)
	status, _ := get(headerStatus)
	report.outcome = parseOutcome(word, count > 0, status)
	report.notModified = word == wordValid || status == "304"
	detail, _ := get(headerDetail)
	report.detail = detailsByWord[detail]
	wait, _ := get(headerSourceWait)
	if ms, err := strconv.ParseFloat(wait, 64); err == nil && ms >= 0 && ms < maxSourceWaitMS {
		report.sourceWait = policy.Micros(ms * 1000)
	}
	createdAt, _ := get(headerCreatedAt)
	if ms, err := strconv.ParseInt(createdAt, 10, 64); err == nil && ms > 0 {
		report.createdAt = time.UnixMilli(ms)
	}
	report.etag, _ = get(headerETag)
	return report
}

func parseOutcome(word string, hasWord bool, status string) policy.AttemptOutcome {
	if hasWord {
		if outcome, ok := outcomesByWord[word]; ok {
			return outcome
		}
		return policy.OutcomeError
	}
	switch status {
	case "200", "304":
		return policy.OutcomeSatisfied
	case "504":
		return policy.OutcomeTimeout
	}
	return policy.OutcomeError
}

// replyFor returns the reply that carries an answer of the coordinator.
func (s *Server) replyFor(answer retry.Answer) Reply {
	switch answer.Kind {
	case retry.AnswerAttempt:
		return Reply{Decision: s.decision(answer)}
	case retry.AnswerAccepted:
		return Reply{}
	case retry.AnswerAskAgain:
		reply := finalReply(503, textAskAgain)
		reply.Headers = []Header{{headerAskAgain, "1"}}
		return reply
	case retry.AnswerReject:
		reply := finalReply(503, textRejected)
		reply.RetryAfter = answer.RetryAfter
		return reply
	case retry.AnswerFail:
		return finalReply(502, textFailed)
	case retry.AnswerOpenElsewhere:
		return finalReply(409, textOpenElsewhere)
	case retry.AnswerAlreadyGiven:
		return finalReply(409, textAnswered)
	case retry.AnswerFull:
		return s.fullReply(textFull)
	case retry.AnswerNoRecord:
		return s.fullReply(textNoRecord)
	}
	return Reply{End: EndedOutOfOrder}
}

// fullReply returns the reply to a lookup that is rejected for lack of capacity.
func (s *Server) fullReply(text string) Reply {
	reply := finalReply(503, text)
	if retryAfter := s.Settings.Router.MaxRetryAfter; retryAfter > 0 {
		reply.RetryAfter = time.Duration(retryAfter) * time.Microsecond
	}
	return reply
}

// decision returns the headers of an attempt, with the version of the routes and the
// route that it was decided under. The last two are empty if routing is not configured.
func (s *Server) decision(answer retry.Answer) []Header {
	addr := ""
	if cache := s.Caches.Find(answer.Step.Cache.Name); cache != nil {
		addr = cache.Addr
	}
	version, name := "", ""
	if ticket := answer.Lookup.Ticket; ticket != nil {
		version, name = strconv.FormatUint(ticket.Version, 10), ticket.Decision.Route
	}
	return append(decisionHeaders(answer.Step, addr), Header{headerVersion, version}, Header{headerRoute, name})
}

// decisionHeaders returns the DecisionHeaders of an attempt.
func decisionHeaders(step dispatch.Step, addr string) []Header {
	values := [...]string{
		step.Cache.Name,
		addr,
		strconv.Itoa(step.Attempt),
		sourceName(step),
		strconv.Itoa(step.Rank),
		maxAgeMS(step.MaxAge),
		formatMode(step.Mode),
		strconv.FormatFloat(float64(max(1, step.Timeout))/1000, 'f', -1, 64),
	}
	headers := make([]Header, len(DecisionHeaders), len(DecisionHeaders)+2) // room for version and route
	for i, name := range DecisionHeaders {
		headers[i] = Header{Prefix + name, values[i]}
	}
	return headers
}

// sourceName returns the name of the source that a miss is filled from, or "" if a miss is not filled.
func sourceName(step dispatch.Step) string {
	if step.Source == step.Cache {
		return ""
	}
	return step.Source.Name
}

// maxAgeMS formats the maximum age of a copy in whole milliseconds, or "" if the limit of the object kind applies.
func maxAgeMS(maxAge policy.Micros) string {
	if maxAge <= 0 {
		return ""
	}
	return strconv.FormatInt(max(1, maxAge/1000), 10)
}

func formatMode(mode policy.FetchMode) (text string) {
	for _, m := range modeLetters {
		if mode&m.mode == 0 {
			continue
		}
		if text != "" {
			text += "+"
		}
		text += m.letter
	}
	return text
}
