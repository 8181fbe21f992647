package extproc

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"foldslip/internal/cacheregistry"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/lab/frozen"
	"foldslip/internal/policy"
	"foldslip/internal/retry"
	"foldslip/internal/route"
	"foldslip/internal/route/rollout"
	"foldslip/internal/settings"
)

// TestFrozenReplies checks that the headers, statuses and texts sent to callers are those that
// an earlier build sent. It guards against unintended changes of the contract with callers.
func TestFrozenReplies(t *testing.T) {
	environment, caches := env.NewSystem(io.Discard, slog.LevelInfo), &cacheregistry.Registry{}
	edge, origin := caches.Register("c0", "10.1.0.1:1000").Policy, caches.Register("c1", "10.1.0.1:1001").Policy
	parsed, err := settings.Parse([]byte(`{"classes":[{"aim":1,"deadline":2,"effect":"idempotent"}],"ceilings":{"retry_after":true,"max_retry_after":2500000}}`))
	if err != nil {
		t.Fatal(err)
	}
	server := New(Dependencies{Environment: environment, Settings: parsed, Caches: caches}, nil, Limits{})
	complete := dispatch.Step{Kind: dispatch.StepFetch, Attempt: 2, FetchRequest: policy.FetchRequest{Cache: edge, Source: origin, Rank: 3,
		Mode: policy.ModeCoalesce | policy.ModeCachedOnly | policy.ModeSourceNoStore | policy.ModeRevalidate, Timeout: 1234567, SilenceTimeout: 99, MaxAge: 2500}}
	minimal := dispatch.Step{Kind: dispatch.StepFetch, FetchRequest: policy.FetchRequest{Cache: policy.NewCache("unknown"), MaxAge: 1, Mode: policy.ModeRevalidate}}
	minimal.Source = minimal.Cache
	ticket := &rollout.Ticket{Version: 7}
	ticket.Decision.Route = "films"
	var got strings.Builder
	writeReply := func(name string, r Reply) {
		fmt.Fprintf(&got, "%s: status %d %q wait %v ends %d %q\n", name, r.Status, r.Text, r.RetryAfter, r.End, r.End.Error())
		for _, f := range r.Headers {
			fmt.Fprintf(&got, "  field %s=%q\n", f.Name, f.Value)
		}
		for _, f := range r.Decision {
			fmt.Fprintf(&got, "  send %s=%q\n", f.Name, f.Value)
		}
	}
	writeReply("go", server.replyFor(retry.Answer{Kind: retry.AnswerAttempt, Step: complete, Lookup: &retry.Lookup{Ticket: ticket}}))
	writeReply("go without routes", server.replyFor(retry.Answer{Kind: retry.AnswerAttempt, Step: minimal, Lookup: &retry.Lookup{}}))
	for _, answer := range []struct {
		name string
		kind retry.AnswerKind
	}{{"accepted", retry.AnswerAccepted}, {"again", retry.AnswerAskAgain}, {"nack", retry.AnswerReject}, {"fail", retry.AnswerFail}, {"twice", retry.AnswerOpenElsewhere},
		{"known", retry.AnswerAlreadyGiven}, {"full", retry.AnswerFull}, {"disorder", retry.AnswerOutOfOrder}} {
		writeReply(answer.name, server.replyFor(retry.Answer{Kind: answer.kind, RetryAfter: 1500 * time.Millisecond}))
	}
	for end := NotEnded; end <= EndedClosing; end++ {
		fmt.Fprintf(&got, "end %d %s\n", end, end.Error())
	}
	fmt.Fprintln(&got, ErrTooManyStreams, ErrMessageTooLarge)
	frozen.Equal(t, "replies.txt", []byte(got.String()))
}

// TestFrozenReports checks that reports of callers are parsed as an earlier build parsed them. Each line of
// testdata/reports.txt is one report.
func TestFrozenReports(t *testing.T) {
	texts := frozen.Read(t, "reports.txt")
	var got strings.Builder
	for text := range strings.Lines(string(texts)) {
		var get route.Attributes = func(name string) (value string, n int) {
			for _, f := range strings.Fields(text) {
				if v, ok := strings.CutPrefix(f, name+"="); ok {
					value = v
					n++
				}
			}
			return value, n
		}
		r := parseReport(get)
		createdAtMS := int64(0)
		if !r.createdAt.IsZero() {
			createdAtMS = r.createdAt.UnixMilli()
		}
		fmt.Fprintf(&got, "outcome %d remark %d waited %d born %d tag %q same %v\n", r.outcome, r.detail, r.sourceWait, createdAtMS, r.etag, r.notModified)
	}
	frozen.Equal(t, "reports.read.txt", []byte(got.String()))
}
