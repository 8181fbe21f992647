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

// This file alone holds the names and texts of the contract with callers (docs/external-processor.md) and maps them to this program's terms.

// Prefix is that of the headers that this program sets and reads.
const Prefix = "x-foldslip-"

// DecisionHeaders are the headers of a decision, without Prefix and in the order of Reply.Decision; version and route follow.
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

// Texts of final answers.
const (
	textNoTime        = "no time left"
	textFull          = "too many lookups"
	textPastLimit     = "past a limit: " // and its name
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

// ErrMessageTooLarge is a message larger than the Server takes; Transport.Receive returns it.
var ErrMessageTooLarge = errors.New("a message is larger than this door takes")

// ErrTooManyStreams is a stream more than its caller may have.
var ErrTooManyStreams = errors.New("too many streams of this caller")

// modeLetters write a policy.FetchMode, joined by +.
var modeLetters = []struct {
	mode   policy.FetchMode
	letter string
}{{policy.ModeCoalesce, "j"}, {policy.ModeCachedOnly, "h"}, {policy.ModeSourceNoStore, "n"}, {policy.ModeRevalidate, "r"}}

// outcomesByWord are the values of headerOutcome.
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

// wordValid says that the copy which the client holds is still valid.
const wordValid = "valid"

// detailsByWord are the values of headerDetail.
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

// maxSourceWaitMS bounds the wait that a caller may report, in milliseconds.
const maxSourceWaitMS = 1e7

// attemptReport is the end of an attempt as its caller reports it.
type attemptReport struct {
	outcome     policy.AttemptOutcome
	detail      policy.OutcomeDetail
	sourceWait  policy.Micros
	createdAt   time.Time // of the copy; zero: not reported
	etag        string
	notModified bool // the copy which the client holds is still valid
}

// markLate has an answer count as one that came too late.
func (r *attemptReport) markLate() {
	r.outcome = policy.OutcomeTimeout
	r.detail = policy.DetailNone
}

// parseReport reads the end of an attempt: by headerOutcome, else by the status. An unknown word counts as an error, as the attempt may have run.
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

// replyFor turns an answer of the coordinator into a reply.
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
		return s.fullReply()
	}
	return Reply{End: EndedOutOfOrder}
}

// fullReply is the reply to a lookup that there is no capacity for.
func (s *Server) fullReply() Reply {
	reply := finalReply(503, textFull)
	if retryAfter := s.Settings.Router.MaxRetryAfter; retryAfter > 0 {
		reply.RetryAfter = time.Duration(retryAfter) * time.Microsecond
	}
	return reply
}

// decision is an attempt as headers, with the routes that it was decided under: empty where there are none.
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

// decisionHeaders are the DecisionHeaders of an attempt.
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
	headers := make([]Header, len(DecisionHeaders), len(DecisionHeaders)+2) // for version and route
	for i, name := range DecisionHeaders {
		headers[i] = Header{Prefix + name, values[i]}
	}
	return headers
}

// sourceName is empty where a miss is not filled.
func sourceName(step dispatch.Step) string {
	if step.Source == step.Cache {
		return ""
	}
	return step.Source.Name
}

// maxAgeMS is empty where the object kind's own age holds.
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
