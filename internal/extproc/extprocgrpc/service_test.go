package extprocgrpc

import (
	"fmt"
	"testing"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/structpb"

	"foldslip/internal/config"
	"foldslip/internal/route"
)

// TestLookups checks the decisions and final answers of lookups, depending on the reports of their attempts.
func TestLookups(t *testing.T) {
	t.Run("hit is accepted", func(t *testing.T) {
		f := newFixture(t, true)
		stream := f.openStream()
		got := stream.request("a1", "segment", "o")
		if got.status != 0 || got.headers["x-foldslip-cache"] == "" || got.headers["x-foldslip-addr"] == "" || got.headers["x-foldslip-rank"] == "" ||
			got.headers["x-foldslip-source"] == "" || got.headers["x-foldslip-mode"] != "j" {
			t.Fatalf("got %+v, expected a decision with cache, addr, rank and source, and mode j", got)
		}
		if end := stream.report(":status", "200", "x-foldslip-end", "hit", "x-foldslip-note", "hit"); end.err != nil || end.status != 0 {
			t.Fatalf("reply to a hit: %+v, expected to proceed", end)
		}
		f.checkSettled()
	})
	t.Run("rejection by a cache leads to an attempt at another cache", func(t *testing.T) {
		f := newFixture(t, true)
		stream := f.openStream()
		first := stream.request("a1", "segment", "o")
		if again := stream.report(":status", "503", "x-foldslip-end", "shed"); again.status != 503 || again.headers["x-foldslip-again"] != "1" {
			t.Fatalf("reply to a rejection: %+v, expected status 503 with x-foldslip-again", again)
		}
		stream.stop()
		stream = f.openStream()
		second := stream.request("a1", "segment", "o")
		if second.status != 0 || second.headers["x-foldslip-cache"] == first.headers["x-foldslip-cache"] || second.headers["x-foldslip-send"] != "1" {
			t.Fatalf("first decision %+v, second %+v; expected another cache and attempt 1", first, second)
		}
		if end := stream.report(":status", "200"); end.err != nil || end.status != 0 {
			t.Fatalf("reply to status 200: %+v, expected to proceed", end)
		}
		f.checkSettled()
	})
	t.Run("attempt with side effects that may have run is not retried", func(t *testing.T) {
		f := newFixture(t, true)
		stream := f.openStream()
		if got := stream.request("a1", "order", "o"); got.status != 0 {
			t.Fatalf("got %+v, expected a decision", got)
		}
		if end := stream.report(":status", "502", "x-foldslip-end", "reset"); end.status != 502 {
			t.Errorf("reply to a reset: %+v, expected status 502", end)
		}
		if again := f.openStream().request("a1", "order", "o"); again.status != 502 {
			t.Errorf("repeated request: %+v, expected status 502", again)
		}
		f.checkSettled()
	})
	t.Run("without caches the lookup is rejected with a retry delay", func(t *testing.T) {
		f := newFixture(t, false)
		if got := f.openStream().request("a1", "segment", "o"); got.status != 503 || got.headers["x-wait-ms"] != "2000" {
			t.Errorf("got %+v, expected status 503 with x-wait-ms 2000", got)
		}
		f.checkSettled()
	})
}

// TestRetryRequestedPastItsWindow guards against a deduplicated lookup that runs a second time: its caller was given an
// attempt that had been decided within the deduplication window after the window had ended.
func TestRetryRequestedPastItsWindow(t *testing.T) {
	for _, c := range []struct {
		name      string
		returnsIn time.Duration
		attempt   bool // the caller is given the attempt
	}{
		{"within the window", 10 * time.Millisecond, true},
		{"past the window", 500 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			limits := testLimits
			limits.ReturnTimeout = time.Second
			f := newFixtureWith(t, true, limits)
			stream := f.openStream()
			if got := stream.request("a1", "payment", "o"); got.headers["x-foldslip-cache"] == "" {
				t.Fatalf("got %+v, expected a decision", got)
			}
			time.Sleep(600 * time.Millisecond) // of the window of 1 s
			if again := stream.report("x-foldslip-end", "reset"); again.headers["x-foldslip-again"] != "1" {
				t.Fatalf("reply to a reset: %+v, expected x-foldslip-again", again)
			}
			stream.stop()
			time.Sleep(c.returnsIn)
			stream = f.openStream()
			got := stream.request("a1", "payment", "o")
			if c.attempt && got.headers["x-foldslip-cache"] == "" || !c.attempt && got.status != 502 {
				t.Errorf("got %+v, expected a decision: %v, otherwise status 502, as the lookup may have run", got, c.attempt)
			}
			if withdrawn := f.service.Anomalies()["withdrawn"]; (withdrawn == 1) == c.attempt {
				t.Errorf("%d attempts counted as withdrawn", withdrawn)
			}
			stream.stop()
			f.checkSettled()
		})
	}
}

// TestCallersThatGoAway checks that lookups end and that nothing stays open if a caller ends its stream early, does not
// request the next attempt, or does not report an attempt.
func TestCallersThatGoAway(t *testing.T) {
	t.Run("stream ends during an attempt", func(t *testing.T) {
		f := newFixture(t, true)
		stream := f.openStream()
		stream.request("a1", "segment", "o")
		stream.stop()
		f.checkSettled()
		if anomalies := f.service.Anomalies(); anomalies["stream_ended_with_send"] != 1 {
			t.Error(anomalies)
		}
	})
	t.Run("stream ends while a retry is delayed: no further attempt is decided", func(t *testing.T) {
		f := newFixture(t, true)
		stream := f.openStream()
		stream.request("a1", "segment", "o")
		stream.stream.Send(responseHeaders(":status", "503",
			"x-foldslip-end", "shed")) // the retry is delayed by 30 ms
		for f.service.AttemptsOut() > 0 {
			time.Sleep(time.Millisecond)
		}
		stream.stop()
		f.checkSettled()
		if got := f.openStream().request("a1", "segment", "o"); got.status != 502 || got.headers["x-foldslip-cache"] != "" {
			t.Errorf("repeated request: %+v, expected status 502 and no decision", got)
		}
	})
	t.Run("next attempt is not requested", func(t *testing.T) {
		f := newFixture(t, true)
		stream := f.openStream()
		stream.request("a1", "segment", "o")
		if again := stream.report(":status", "503", "x-foldslip-end", "shed"); again.headers["x-foldslip-again"] != "1" {
			t.Fatalf("reply to a rejection: %+v, expected x-foldslip-again", again)
		}
		stream.stop()
		f.checkSettled()
		if got := f.openStream().request("a1", "segment", "o"); got.status != 502 || got.headers["x-foldslip-cache"] != "" {
			t.Errorf("request after the time for it: %+v, expected status 502 and no decision", got)
		}
	})
	t.Run("attempt is not reported in time: the lookup fails, and a late report gets that result", func(t *testing.T) {
		f := newFixture(t, true)
		stream := f.openStream()
		stream.request("a1", "segment", "o", "x-allow-ms", "120")
		time.Sleep(250 * time.Millisecond)
		if got := stream.report(":status", "200"); got.status != 503 && got.status != 502 {
			t.Errorf("reply to a late report: %+v, expected status 502 or 503", got)
		}
		f.checkSettled()
	})
}

// TestContract checks the replies to requests and messages that deviate from the contract or exceed a limit.
func TestContract(t *testing.T) {
	t.Run("lookup is requested on a second stream and after its answer", func(t *testing.T) {
		f := newFixture(t, true)
		stream := f.openStream()
		stream.request("a1", "segment", "o")
		if got := f.openStream().request("a1", "segment", "o"); got.status != 409 {
			t.Errorf("request on a second stream: %+v, expected status 409", got)
		}
		stream.report(":status", "200")
		if got := f.openStream().request("a1", "segment", "o"); got.status != 409 {
			t.Errorf("request after the answer: %+v, expected status 409", got)
		}
		f.checkSettled()
	})
	t.Run("phases out of order end the stream", func(t *testing.T) {
		f := newFixture(t, true)
		if got := f.openStream().report(":status", "200"); status.Code(got.err) != codes.FailedPrecondition {
			t.Errorf("report without a request: %+v, expected code FailedPrecondition", got)
		}
		stream := f.openStream()
		stream.request("a1", "segment", "o")
		if got := stream.request("a2", "segment", "o"); status.Code(got.err) != codes.FailedPrecondition {
			t.Errorf("second request on a stream: %+v, expected code FailedPrecondition", got)
		}
		f.checkSettled()
	})
	t.Run("silent stream and stream that only observes", func(t *testing.T) {
		f := newFixture(t, true)
		silent := f.openStream()
		observing := f.openStream()
		observing.stream.Send(&extprocv3.ProcessingRequest{ObservabilityMode: true, Request: &extprocv3.ProcessingRequest_RequestHeaders{
			RequestHeaders: httpHeaders([]string{":method", "GET", ":path", "/call/segment/o/part-0", "x-job-id", "a1"})}})
		if got := silent.read(); status.Code(got.err) != codes.DeadlineExceeded {
			t.Errorf("silent stream: %+v, expected code DeadlineExceeded", got)
		}
		if anomalies := f.service.Anomalies(); anomalies["watched"] != 1 || f.Dispatcher.OpenLookups() != 0 {
			t.Error(anomalies)
		}
	})
	t.Run("lookup past the limit, message too large, invalid lookup id", func(t *testing.T) {
		f := newFixture(t, true)
		for i := range 6 {
			f.openStream().request(fmt.Sprint("a", i), "segment", "o")
		}
		if got := f.openStream().request("a9", "segment", "o"); got.status != 503 {
			t.Errorf("lookup past the limit: %+v, expected status 503", got)
		}
		if got := f.openStream().request("a9", "segment", "o", "x-big", string(make([]byte, MaxMessageBytes))); status.Code(got.err) != codes.ResourceExhausted {
			t.Errorf("message too large: %+v, expected code ResourceExhausted", got)
		}
		if got := f.openStream().request("a 9", "segment", "o"); got.status != 400 {
			t.Errorf("invalid lookup id: %+v, expected status 400", got)
		}
	})
}

// TestPurgedAnswers guards against accepting copies that were created before a purge.
func TestPurgedAnswers(t *testing.T) {
	t.Run("answers from before the purge and of unknown age are not accepted", func(t *testing.T) {
		f := newFixture(t, true)
		f.Purges.Record("o", 0, time.Now())
		time.Sleep(time.Millisecond)
		for i, createdAt := range []string{"", fmt.Sprint(time.Now().Add(-time.Hour).UnixMilli())} {
			stream := f.openStream()
			stream.request(fmt.Sprint("a", i), "segment", "o")
			if got := stream.report(":status", "200", "x-foldslip-end", "hit", "x-foldslip-born", createdAt); got.status != 503 || got.headers["x-foldslip-again"] != "1" {
				t.Errorf("answer created at %q: %+v, expected status 503 with x-foldslip-again", createdAt, got)
			}
			if again := f.openStream().request(fmt.Sprint("a", i), "segment", "o"); again.status != 0 {
				t.Errorf("repeated request: %+v, expected a decision", again)
			}
		}
		stream := f.openStream()
		stream.request("b", "segment", "o")
		if got := stream.report(":status", "200", "x-foldslip-born", fmt.Sprint(time.Now().Add(time.Second).UnixMilli())); got.status != 0 || got.err != nil {
			t.Errorf("answer created after the purge: %+v, expected to proceed", got)
		}
	})
	t.Run("lookup with side effects is not retried, because its attempt has run", func(t *testing.T) {
		f := newFixture(t, true)
		f.Purges.Record("o", 0, time.Now())
		time.Sleep(time.Millisecond)
		stream := f.openStream()
		stream.request("a1", "order", "o")
		got := stream.report(":status", "200", "x-foldslip-end", "hit", "x-foldslip-born", fmt.Sprint(time.Now().Add(-time.Hour).UnixMilli()))
		if got.status != 502 || got.headers["x-foldslip-again"] != "" {
			t.Errorf("answer from before the purge: %+v, expected status 502 without x-foldslip-again", got)
		}
		if again := f.openStream().request("a1", "order", "o"); again.status != 502 {
			t.Errorf("repeated request: %+v, expected status 502", again)
		}
		f.checkSettled()
	})
}

// TestTableReplaced checks the replacement of the table while a lookup is open.
func TestTableReplaced(t *testing.T) {
	t.Run("open lookups continue and new requests are matched against the new table", func(t *testing.T) {
		f := newFixture(t, true)
		stream := f.openStream()
		stream.request("a1", "segment", "o")
		other, err := route.Compile([]config.LookupRule{{Path: "/other/{o}", Kind: "segment", Object: "path:o", ID: "attr:request.id"}}, []string{"segment", "order"})
		if err != nil {
			t.Fatal(err)
		}
		f.service.SetTable(other)
		if end := stream.report(":status", "200"); end.err != nil || end.status != 0 {
			t.Fatalf("open lookup after SetTable: %+v, expected to proceed", end)
		}
		if got := f.openStream().request("a2", "segment", "o"); got.status != 404 {
			t.Errorf("request by the old table: %+v, expected status 404", got)
		}
		stream = f.openStream()
		stream.stream.Send(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: httpHeaders([]string{":method", "GET", ":path", "/other/x"})}, Attributes: map[string]*structpb.Struct{"envoy.filters.http.ext_proc": {Fields: map[string]*structpb.Value{
			"request.id": structpb.NewStringValue("i1")}}}})
		if got := stream.read(); got.status != 0 || got.err != nil || got.headers["x-foldslip-cache"] == "" {
			t.Errorf("request by the new table: %+v, expected a decision", got)
		}
	})
}
