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

// A lookup by its decisions, reports and replies.
func TestLookups(t *testing.T) {
	t.Run("a decision, a hit, the answer goes on", func(t *testing.T) {
		f := newFixture(t, true)
		stream := f.openStream()
		got := stream.request("a1", "segment", "o")
		if got.status != 0 || got.headers["x-foldslip-cache"] == "" || got.headers["x-foldslip-addr"] == "" || got.headers["x-foldslip-rank"] == "" ||
			got.headers["x-foldslip-source"] == "" || got.headers["x-foldslip-mode"] != "j" {
			t.Fatalf("%+v", got)
		}
		if end := stream.report(":status", "200", "x-foldslip-end", "hit", "x-foldslip-note", "hit"); end.err != nil || end.status != 0 {
			t.Fatalf("%+v", end)
		}
		f.checkSettled()
	})
	t.Run("a cache that rejects it: requested again, another cache is named", func(t *testing.T) {
		f := newFixture(t, true)
		stream := f.openStream()
		first := stream.request("a1", "segment", "o")
		if again := stream.report(":status", "503", "x-foldslip-end", "shed"); again.status != 503 || again.headers["x-foldslip-again"] != "1" {
			t.Fatalf("%+v", again)
		}
		stream.stop()
		stream = f.openStream()
		second := stream.request("a1", "segment", "o")
		if second.status != 0 || second.headers["x-foldslip-cache"] == first.headers["x-foldslip-cache"] || second.headers["x-foldslip-send"] != "1" {
			t.Fatalf("%+v, then %+v", first, second)
		}
		if end := stream.report(":status", "200"); end.err != nil || end.status != 0 {
			t.Fatalf("%+v", end)
		}
		f.checkSettled()
	})
	t.Run("a side-effecting attempt that may have run is not repeated", func(t *testing.T) {
		f := newFixture(t, true)
		stream := f.openStream()
		if got := stream.request("a1", "order", "o"); got.status != 0 {
			t.Fatalf("%+v", got)
		}
		if end := stream.report(":status", "502", "x-foldslip-end", "reset"); end.status != 502 {
			t.Errorf("%+v", end)
		}
		if again := f.openStream().request("a1", "order", "o"); again.status != 502 {
			t.Errorf("%+v", again)
		}
		f.checkSettled()
	})
	t.Run("no cache: rejected at once, with a time to come back", func(t *testing.T) {
		f := newFixture(t, false)
		if got := f.openStream().request("a1", "segment", "o"); got.status != 503 || got.headers["x-wait-ms"] != "2000" {
			t.Errorf("%+v", got)
		}
		f.checkSettled()
	})
}

// A caller that ends its stream, or does not return.
func TestCallersThatGoAway(t *testing.T) {
	t.Run("amid an attempt", func(t *testing.T) {
		f := newFixture(t, true)
		stream := f.openStream()
		stream.request("a1", "segment", "o")
		stream.stop()
		f.checkSettled()
		if anomalies := f.service.Anomalies(); anomalies["stream_ended_with_send"] != 1 {
			t.Error(anomalies)
		}
	})
	t.Run("while the router decides: nothing more is decided for it", func(t *testing.T) {
		f := newFixture(t, true)
		stream := f.openStream()
		stream.request("a1", "segment", "o")
		stream.stream.Send(responseHeaders(":status", "503",
			"x-foldslip-end", "shed")) // the retry waits 30 ms
		for f.service.AttemptsOut() > 0 {
			time.Sleep(time.Millisecond)
		}
		stream.stop()
		f.checkSettled()
		if got := f.openStream().request("a1", "segment", "o"); got.status != 502 || got.headers["x-foldslip-cache"] != "" {
			t.Errorf("%+v", got)
		}
	})
	t.Run("it does not request the next attempt", func(t *testing.T) {
		f := newFixture(t, true)
		stream := f.openStream()
		stream.request("a1", "segment", "o")
		if again := stream.report(":status", "503", "x-foldslip-end", "shed"); again.headers["x-foldslip-again"] != "1" {
			t.Fatalf("%+v", again)
		}
		stream.stop()
		f.checkSettled()
		if got := f.openStream().request("a1", "segment", "o"); got.status != 502 || got.headers["x-foldslip-cache"] != "" {
			t.Errorf("%+v", got)
		}
	})
	t.Run("it never reports: the lookup fails in time, and that is the reply to a late report", func(t *testing.T) {
		f := newFixture(t, true)
		stream := f.openStream()
		stream.request("a1", "segment", "o", "x-allow-ms", "120")
		time.Sleep(250 * time.Millisecond)
		if got := stream.report(":status", "200"); got.status != 503 && got.status != 502 {
			t.Errorf("%+v", got)
		}
		f.checkSettled()
	})
}

// Requests and messages against the contract.
func TestContract(t *testing.T) {
	t.Run("the same lookup on two streams, and after its answer", func(t *testing.T) {
		f := newFixture(t, true)
		stream := f.openStream()
		stream.request("a1", "segment", "o")
		if got := f.openStream().request("a1", "segment", "o"); got.status != 409 {
			t.Errorf("%+v", got)
		}
		stream.report(":status", "200")
		if got := f.openStream().request("a1", "segment", "o"); got.status != 409 {
			t.Errorf("%+v", got)
		}
		f.checkSettled()
	})
	t.Run("phases out of order end the stream", func(t *testing.T) {
		f := newFixture(t, true)
		if got := f.openStream().report(":status", "200"); status.Code(got.err) != codes.FailedPrecondition {
			t.Errorf("%+v", got)
		}
		stream := f.openStream()
		stream.request("a1", "segment", "o")
		if got := stream.request("a2", "segment", "o"); status.Code(got.err) != codes.FailedPrecondition {
			t.Errorf("%+v", got)
		}
		f.checkSettled()
	})
	t.Run("a stream that says nothing, and one that only observes", func(t *testing.T) {
		f := newFixture(t, true)
		silent := f.openStream()
		observing := f.openStream()
		observing.stream.Send(&extprocv3.ProcessingRequest{ObservabilityMode: true, Request: &extprocv3.ProcessingRequest_RequestHeaders{
			RequestHeaders: httpHeaders([]string{":method", "GET", ":path", "/call/segment/o/part-0", "x-job-id", "a1"})}})
		if got := silent.read(); status.Code(got.err) != codes.DeadlineExceeded {
			t.Errorf("%+v", got)
		}
		if anomalies := f.service.Anomalies(); anomalies["watched"] != 1 || f.Dispatcher.OpenLookups() != 0 {
			t.Error(anomalies)
		}
	})
	t.Run("more lookups than there is capacity for, a message too large, a header that cannot be used", func(t *testing.T) {
		f := newFixture(t, true)
		for i := range 6 {
			f.openStream().request(fmt.Sprint("a", i), "segment", "o")
		}
		if got := f.openStream().request("a9", "segment", "o"); got.status != 503 {
			t.Errorf("%+v", got)
		}
		if got := f.openStream().request("a9", "segment", "o", "x-big", string(make([]byte, MaxMessageBytes))); status.Code(got.err) != codes.ResourceExhausted {
			t.Errorf("%+v", got)
		}
		if got := f.openStream().request("a 9", "segment", "o"); got.status != 400 {
			t.Errorf("%+v", got)
		}
	})
}

// Answers from before a purge.
func TestPurgedAnswers(t *testing.T) {
	t.Run("they are not passed on, nor those of unknown age", func(t *testing.T) {
		f := newFixture(t, true)
		f.Purges.Record("o", 0, time.Now())
		time.Sleep(time.Millisecond)
		for i, createdAt := range []string{"", fmt.Sprint(time.Now().Add(-time.Hour).UnixMilli())} {
			stream := f.openStream()
			stream.request(fmt.Sprint("a", i), "segment", "o")
			if got := stream.report(":status", "200", "x-foldslip-end", "hit", "x-foldslip-born", createdAt); got.status != 503 || got.headers["x-foldslip-again"] != "1" {
				t.Errorf("created %q: %+v", createdAt, got)
			}
			if again := f.openStream().request(fmt.Sprint("a", i), "segment", "o"); again.status != 0 {
				t.Errorf("%+v", again)
			}
		}
		stream := f.openStream()
		stream.request("b", "segment", "o")
		if got := stream.report(":status", "200", "x-foldslip-born", fmt.Sprint(time.Now().Add(time.Second).UnixMilli())); got.status != 0 || got.err != nil {
			t.Errorf("%+v", got)
		}
	})
	t.Run("the attempt has run: a side-effecting lookup is not sent again", func(t *testing.T) {
		f := newFixture(t, true)
		f.Purges.Record("o", 0, time.Now())
		time.Sleep(time.Millisecond)
		stream := f.openStream()
		stream.request("a1", "order", "o")
		got := stream.report(":status", "200", "x-foldslip-end", "hit", "x-foldslip-born", fmt.Sprint(time.Now().Add(-time.Hour).UnixMilli()))
		if got.status != 502 || got.headers["x-foldslip-again"] != "" {
			t.Errorf("%+v", got)
		}
		if again := f.openStream().request("a1", "order", "o"); again.status != 502 {
			t.Errorf("%+v", again)
		}
		f.checkSettled()
	})
}

// A table that is replaced amid a lookup.
func TestTableReplaced(t *testing.T) {
	t.Run("open lookups go on, new ones are read by it", func(t *testing.T) {
		f := newFixture(t, true)
		stream := f.openStream()
		stream.request("a1", "segment", "o")
		other, err := route.Compile([]config.LookupRule{{Path: "/other/{o}", Kind: "segment", Object: "path:o", ID: "attr:request.id"}}, []string{"segment", "order"})
		if err != nil {
			t.Fatal(err)
		}
		f.service.SetTable(other)
		if end := stream.report(":status", "200"); end.err != nil || end.status != 0 {
			t.Fatalf("%+v", end)
		}
		if got := f.openStream().request("a2", "segment", "o"); got.status != 404 {
			t.Errorf("%+v", got)
		}
		stream = f.openStream()
		stream.stream.Send(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: httpHeaders([]string{":method", "GET", ":path", "/other/x"})}, Attributes: map[string]*structpb.Struct{"envoy.filters.http.ext_proc": {Fields: map[string]*structpb.Value{
			"request.id": structpb.NewStringValue("i1")}}}})
		if got := stream.read(); got.status != 0 || got.err != nil || got.headers["x-foldslip-cache"] == "" {
			t.Errorf("%+v", got)
		}
	})
}
