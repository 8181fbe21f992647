package client

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"foldslip/internal/lab/frozen"
)

// TestFrozenMessages compares the messages that the client sends with those of an earlier build.
func TestFrozenMessages(t *testing.T) {
	var got strings.Builder
	for _, message := range []*extprocv3.HttpHeaders{
		requestHeaders(Request{Path: "/call/segment/o/part-0"}),
		requestHeaders(Request{Method: "POST", Path: "/", Header: http.Header{"X-Job-Id": {"a1"}, "A": {"1", "2"}}}),
		reportHeaders(AttemptOutcome{}),
		reportHeaders(AttemptOutcome{Word: "valid", Note: "hit", SourceWait: 12345 * time.Microsecond, CreatedAt: time.UnixMilli(1700000000123), ETag: `"v1"`}),
	} {
		text, err := protojson.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		var lines bytes.Buffer // protojson varies its white space
		if err := json.Indent(&lines, text, "", " "); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintln(&got, lines.String())
	}
	frozen.Equal(t, "messages.txt", []byte(got.String()))
}

// setHeaders returns a mutation that sets headers. pairs holds names and values in turn.
func setHeaders(pairs ...string) *extprocv3.HeaderMutation {
	mutation := &extprocv3.HeaderMutation{}
	for i := 0; i < len(pairs); i += 2 {
		header := &corev3.HeaderValue{Key: pairs[i], RawValue: []byte(pairs[i+1])}
		mutation.SetHeaders = append(mutation.SetHeaders, &corev3.HeaderValueOption{Header: header})
	}
	return mutation
}

// TestFrozenAnswers compares the decoded answers of a gateway with those that an earlier build decoded.
func TestFrozenAnswers(t *testing.T) {
	var got strings.Builder
	for _, mutation := range []*extprocv3.HeaderMutation{
		setHeaders("x-foldslip-cache", "c0", "x-foldslip-addr", "10.0.0.1:1", "x-foldslip-send", "3", "x-foldslip-source", "c1", "x-foldslip-rank", "2", "x-foldslip-oldest-ms", "25",
			"x-foldslip-mode", "j+h", "x-foldslip-route", "films", "x-foldslip-version", "7", "x-foldslip-wait-ms", "1234.567", "x-other", "1"),
		setHeaders("x-foldslip-cache", "c0", "x-foldslip-wait-ms", "1"),
		setHeaders("x-foldslip-cache", "c0"),
		setHeaders("x-foldslip-cache", "c0", "x-foldslip-wait-ms", "soon"),
		setHeaders(),
	} {
		decision, err := parseDecision(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestHeaders{RequestHeaders: &extprocv3.HeadersResponse{
			Response: &extprocv3.CommonResponse{HeaderMutation: mutation}}}})
		fmt.Fprintf(&got, "send %d cache %q addr %q source %q rank %d oldest %v wait %v mode %q route %q version %d: read %v\n", decision.Attempt, decision.Cache,
			decision.Addr, decision.Source, decision.Rank, decision.MaxAge, decision.Timeout, decision.Mode, decision.Route, decision.Version, err == nil)
	}
	for _, response := range []*extprocv3.ImmediateResponse{
		{Status: &typev3.HttpStatus{Code: 503}, Body: []byte("nacked\n"), Headers: setHeaders("x-wait-ms", "1500")},
		{Status: &typev3.HttpStatus{Code: 503}, Body: []byte("ask again\n"), Headers: setHeaders("x-foldslip-again", "1")},
		{Status: &typev3.HttpStatus{Code: 502}, Body: []byte("failed\n")},
		{Status: &typev3.HttpStatus{Code: 409}, Body: []byte("this lookup has been answered\n")},
		{},
	} {
		result := Result{Attempts: []Decision{{}}}
		again := result.readImmediate(response)
		fmt.Fprintf(&got, "again %v result %d %v status %d text %q wait %v sends %d\n", again, result.Kind, result.Kind, result.Status, result.Text,
			result.RetryAfter, len(result.Attempts))
	}
	for kind := ResultKind(0); kind <= Refused; kind++ {
		fmt.Fprintf(&got, "result %d %v\n", kind, kind)
	}
	frozen.Equal(t, "answers.txt", []byte(got.String()))
}

// TestFrozenDecisionJSON compares the JSON form of a decision, which foldslip-extproc ask --json prints, with what the
// build at 58d6067 printed for the same values.
func TestFrozenDecisionJSON(t *testing.T) {
	text, err := json.Marshal(Decision{Attempt: 3, Cache: "c0", Addr: "10.0.0.1:1", Source: "c1", Rank: 2, MaxAge: 25 * time.Millisecond,
		Timeout: 1234567 * time.Microsecond, Mode: "j+h", Route: "films", Version: 7})
	if err != nil {
		t.Fatal(err)
	}
	frozen.Equal(t, "decision.json", append(text, '\n'))
}
