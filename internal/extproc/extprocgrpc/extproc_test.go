package extprocgrpc

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/structpb"

	"foldslip/internal/admission"
	"foldslip/internal/cacheregistry"
	"foldslip/internal/config"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/extproc"
	"foldslip/internal/policy"
	"foldslip/internal/purgelog"
	"foldslip/internal/retry"
	"foldslip/internal/route"
	"foldslip/internal/settings"
)

var testSettings = []byte(`{"areas":["town"],"machine_types":["edge","parent","origin"],"ceilings":{"cancelling":true,"try_limit":6,"retry_after":true,
"max_retry_after":2000000},"classes":[{"name":"segment","aim":400000,"deadline":5000000,"points":1,"effect":"idempotent"},
{"name":"order","aim":400000,"deadline":5000000,"points":1,"effect":"at_most_once"}],
"specifics":{"parent_kind":1,"source_kind":2,"flow_kb_per_s":100000,"max_age":[0,0],"grace_for":[0,0],"pass_on":[false,true],"seats_by_zone":[1],"merges_fills":true}}`)

// place is a door on loopback before a router with four caches, two parents and an origin.
type place struct {
	t      *testing.T
	router *dispatch.Dispatcher
	door   *Service
	purges *purgelog.Log
	client extprocv3.ExternalProcessorClient
}

func router(t testing.TB, caches *cacheregistry.Registry, empty bool) (*settings.Settings, *dispatch.Dispatcher) {
	terms, err := settings.Parse(testSettings)
	if err != nil {
		t.Fatal(err)
	}
	f := dispatch.New(env.NewSystem(io.Discard, slog.LevelInfo), 7, terms.Router, nil)
	var rows []policy.Endpoint
	for i, kind := range []int{0, 0, 0, 0, 1, 1, 2} {
		rows = append(rows, policy.Endpoint{Cache: caches.Register(fmt.Sprint("c", i), fmt.Sprint("10.1.0.1:", 1000+i)).Policy, Kind: kind})
	}
	if !empty {
		f.Tick(rows, true, nil)
	}
	return terms, f
}

func begin(t *testing.T, empty bool) *place {
	t.Helper()
	g, caches := env.NewSystem(io.Discard, slog.LevelInfo), &cacheregistry.Registry{}
	p := &place{t: t}
	terms, f := router(t, caches, empty)
	p.router = f
	table, err := route.Compile([]config.LookupRule{{Path: "/call/{kind}/{object}/part-{part}", Kind: "path:kind", Object: "path:object", Part: "path:part",
		KB: "header:x-ram-kb", ID: "header:x-job-id", AllowMS: "header:x-allow-ms"}}, terms.Kinds)
	if err != nil {
		t.Fatal(err)
	}
	p.purges = &purgelog.Log{Clock: g, Retention: time.Minute}
	p.door = &Service{Server: extproc.New(g, terms, f, caches, p.purges, admission.NewController(g, 8, 1<<20), table, extproc.Limits{SilenceTimeout: 2 * time.Second,
		Lookups: retry.Limits{MaxLookups: 8, MaxPerCaller: 6, ReturnTimeout: 150 * time.Millisecond, Retention: time.Second}})}
	at, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(grpc.MaxRecvMsgSize(MaxMessageBytes), grpc.WaitForHandlers(true)) // as Serve makes it
	extprocv3.RegisterExternalProcessorServer(server, p.door)
	go server.Serve(at)
	life, ended := env.NewLifetime(nil), make(chan error)
	go func() { ended <- p.door.Run(life) }()
	go func() { // as service does
		for !life.Ended() {
			time.Sleep(f.Tick(nil, false, nil))
		}
	}()
	conn, err := grpc.NewClient(at.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	p.client = extprocv3.NewExternalProcessorClient(conn)
	t.Cleanup(func() {
		conn.Close()
		server.Stop()
		f.Stop()
		life.End()
		<-ended
		if n, _ := f.InFlight(); n != 0 || f.OpenLookups() != 0 || p.door.OpenLookups() != 0 {
			t.Errorf("left behind: %d sends, %d lookups, %d at the desk", n, f.OpenLookups(), p.door.OpenLookups())
		}
	})
	return p
}

// call is one request of a client at the stand-in caller.
type call struct {
	p      *place
	stream extprocv3.ExternalProcessor_ProcessClient
	stop   context.CancelFunc
}

func (p *place) call() *call {
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	stream, err := p.client.Process(ctx)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(stop)
	return &call{p, stream, stop}
}

func headers(all ...string) *extprocv3.HttpHeaders {
	m := &corev3.HeaderMap{}
	for i := 0; i < len(all); i += 2 {
		m.Headers = append(m.Headers, &corev3.HeaderValue{Key: all[i], RawValue: []byte(all[i+1])})
	}
	return &extprocv3.HttpHeaders{Headers: m}
}

// said is an answer as a caller reads it.
type said struct {
	status int // of an immediate response; 0: go on
	set    map[string]string
	err    error
}

func (c *call) read() said {
	m, err := c.stream.Recv()
	s := said{set: map[string]string{}, err: err}
	mutation := m.GetRequestHeaders().GetResponse().GetHeaderMutation()
	if i := m.GetImmediateResponse(); i != nil {
		s.status, mutation = int(i.Status.Code), i.Headers
	}
	for _, h := range mutation.GetSetHeaders() {
		s.set[h.Header.Key] = string(h.Header.RawValue)
	}
	return s
}

func (c *call) ask(id, kind, object string, more ...string) said {
	c.stream.Send(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: headers(append([]string{
		":method", "GET", ":path", "/call/" + kind + "/" + object + "/part-0", "x-job-id", id, "x-ram-kb", "100"}, more...)...)}})
	return c.read()
}

func (c *call) report(all ...string) said {
	c.stream.Send(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseHeaders{ResponseHeaders: headers(all...)}})
	return c.read()
}

func (p *place) settled() {
	p.t.Helper()
	for range 2000 {
		if n, _ := p.router.InFlight(); n == 0 && p.router.OpenLookups() == 0 && p.door.OpenLookups() == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	p.t.Error("something stays open")
}

func TestDoor(t *testing.T) {
	t.Run("a decision, a hit, the answer goes on", func(t *testing.T) {
		p := begin(t, false)
		c := p.call()
		got := c.ask("a1", "segment", "o")
		if got.status != 0 || got.set["x-foldslip-cache"] == "" || got.set["x-foldslip-addr"] == "" || got.set["x-foldslip-rank"] == "" ||
			got.set["x-foldslip-source"] == "" || got.set["x-foldslip-mode"] != "j" {
			t.Fatalf("%+v", got)
		}
		if end := c.report(":status", "200", "x-foldslip-end", "hit", "x-foldslip-note", "hit"); end.err != nil || end.status != 0 {
			t.Fatalf("%+v", end)
		}
		p.settled()
	})
	t.Run("a cache that sheds it: asked again, the module names another", func(t *testing.T) {
		p := begin(t, false)
		c := p.call()
		first := c.ask("a1", "segment", "o")
		if again := c.report(":status", "503", "x-foldslip-end", "shed"); again.status != 503 || again.set["x-foldslip-again"] != "1" {
			t.Fatalf("%+v", again)
		}
		c.stop()
		c = p.call()
		second := c.ask("a1", "segment", "o")
		if second.status != 0 || second.set["x-foldslip-cache"] == first.set["x-foldslip-cache"] || second.set["x-foldslip-send"] != "1" {
			t.Fatalf("%+v, then %+v", first, second)
		}
		if end := c.report(":status", "200"); end.err != nil || end.status != 0 {
			t.Fatalf("%+v", end)
		}
		p.settled()
	})
	t.Run("a side-effecting send that may have run is not told again", func(t *testing.T) {
		p := begin(t, false)
		c := p.call()
		if got := c.ask("a1", "order", "o"); got.status != 0 {
			t.Fatalf("%+v", got)
		}
		if end := c.report(":status", "502", "x-foldslip-end", "reset"); end.status != 502 {
			t.Errorf("%+v", end)
		}
		if again := p.call().ask("a1", "order", "o"); again.status != 502 {
			t.Errorf("%+v", again)
		}
		p.settled()
	})
	t.Run("a caller that gives up halfway", func(t *testing.T) {
		p := begin(t, false)
		c := p.call()
		c.ask("a1", "segment", "o")
		c.stop()
		p.settled()
		if odd := p.door.Anomalies(); odd["stream_ended_with_send"] != 1 {
			t.Error(odd)
		}
	})
	t.Run("a caller that breaks off while the module has the word: nothing further is decided for it", func(t *testing.T) {
		p := begin(t, false)
		c := p.call()
		c.ask("a1", "segment", "o")
		c.stream.Send(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseHeaders{ResponseHeaders: headers(":status", "503",
			"x-foldslip-end", "shed")}}) // a backoff of 30 ms follows
		for p.door.AttemptsOut() > 0 {
			time.Sleep(time.Millisecond)
		}
		c.stop()
		p.settled()
		if got := p.call().ask("a1", "segment", "o"); got.status != 502 || got.set["x-foldslip-cache"] != "" {
			t.Errorf("%+v", got)
		}
	})
	t.Run("a further send that waits to be asked for, by a caller that does not come again", func(t *testing.T) {
		p := begin(t, false)
		c := p.call()
		c.ask("a1", "segment", "o")
		if again := c.report(":status", "503", "x-foldslip-end", "shed"); again.set["x-foldslip-again"] != "1" {
			t.Fatalf("%+v", again)
		}
		c.stop()
		p.settled()
		if got := p.call().ask("a1", "segment", "o"); got.status != 502 || got.set["x-foldslip-cache"] != "" {
			t.Errorf("%+v", got)
		}
	})
	t.Run("the same lookup on two streams, and after its answer", func(t *testing.T) {
		p := begin(t, false)
		c := p.call()
		c.ask("a1", "segment", "o")
		if got := p.call().ask("a1", "segment", "o"); got.status != 409 {
			t.Errorf("%+v", got)
		}
		c.report(":status", "200")
		if got := p.call().ask("a1", "segment", "o"); got.status != 409 {
			t.Errorf("%+v", got)
		}
		p.settled()
	})
	t.Run("phases out of order end the stream", func(t *testing.T) {
		p := begin(t, false)
		if got := p.call().report(":status", "200"); status.Code(got.err) != codes.FailedPrecondition {
			t.Errorf("%+v", got)
		}
		c := p.call()
		c.ask("a1", "segment", "o")
		if got := c.ask("a2", "segment", "o"); status.Code(got.err) != codes.FailedPrecondition {
			t.Errorf("%+v", got)
		}
		p.settled()
	})
	t.Run("no cache: nacked at once, with a time to come back", func(t *testing.T) {
		p := begin(t, true)
		if got := p.call().ask("a1", "segment", "o"); got.status != 503 || got.set["x-wait-ms"] != "2000" {
			t.Errorf("%+v", got)
		}
		p.settled()
	})
	t.Run("a caller that never reports: its lookup fails in time, and that is what a late report hears", func(t *testing.T) {
		p := begin(t, false)
		c := p.call()
		c.ask("a1", "segment", "o", "x-allow-ms", "120")
		time.Sleep(250 * time.Millisecond)
		if got := c.report(":status", "200"); got.status != 503 && got.status != 502 {
			t.Errorf("%+v", got)
		}
		p.settled()
	})
	t.Run("an answer older than a purge is not passed on, nor one of no known age", func(t *testing.T) {
		p := begin(t, false)
		p.purges.Record("o", 0, time.Now())
		time.Sleep(time.Millisecond)
		for i, born := range []string{"", fmt.Sprint(time.Now().Add(-time.Hour).UnixMilli())} {
			c := p.call()
			c.ask(fmt.Sprint("a", i), "segment", "o")
			if got := c.report(":status", "200", "x-foldslip-end", "hit", "x-foldslip-born", born); got.status != 503 || got.set["x-foldslip-again"] != "1" {
				t.Errorf("born %q: %+v", born, got)
			}
			if again := p.call().ask(fmt.Sprint("a", i), "segment", "o"); again.status != 0 {
				t.Errorf("%+v", again)
			}
		}
		c := p.call()
		c.ask("b", "segment", "o")
		if got := c.report(":status", "200", "x-foldslip-born", fmt.Sprint(time.Now().Add(time.Second).UnixMilli())); got.status != 0 || got.err != nil {
			t.Errorf("%+v", got)
		}
	})
	t.Run("an answer older than a purge has run: a side-effecting lookup is not sent again for it", func(t *testing.T) {
		p := begin(t, false)
		p.purges.Record("o", 0, time.Now())
		time.Sleep(time.Millisecond)
		c := p.call()
		c.ask("a1", "order", "o")
		got := c.report(":status", "200", "x-foldslip-end", "hit", "x-foldslip-born", fmt.Sprint(time.Now().Add(-time.Hour).UnixMilli()))
		if got.status != 502 || got.set["x-foldslip-again"] != "" {
			t.Errorf("%+v", got)
		}
		if again := p.call().ask("a1", "order", "o"); again.status != 502 {
			t.Errorf("%+v", again)
		}
		p.settled()
	})
	t.Run("a table swapped amid a lookup", func(t *testing.T) {
		p := begin(t, false)
		c := p.call()
		c.ask("a1", "segment", "o")
		other, err := route.Compile([]config.LookupRule{{Path: "/other/{o}", Kind: "segment", Object: "path:o", ID: "attr:request.id"}}, []string{"segment", "order"})
		if err != nil {
			t.Fatal(err)
		}
		p.door.SetTable(other)
		if end := c.report(":status", "200"); end.err != nil || end.status != 0 {
			t.Fatalf("%+v", end)
		}
		if got := p.call().ask("a2", "segment", "o"); got.status != 404 {
			t.Errorf("%+v", got)
		}
		c = p.call()
		c.stream.Send(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: headers(":method", "GET",
			":path", "/other/x")}, Attributes: map[string]*structpb.Struct{"envoy.filters.http.ext_proc": {Fields: map[string]*structpb.Value{
			"request.id": structpb.NewStringValue("i1")}}}})
		if got := c.read(); got.status != 0 || got.err != nil || got.set["x-foldslip-cache"] == "" {
			t.Errorf("%+v", got)
		}
	})
	t.Run("a stream that says nothing, and one that is watched only", func(t *testing.T) {
		p := begin(t, false)
		quiet := p.call()
		watched := p.call()
		watched.stream.Send(&extprocv3.ProcessingRequest{ObservabilityMode: true, Request: &extprocv3.ProcessingRequest_RequestHeaders{
			RequestHeaders: headers(":method", "GET", ":path", "/call/segment/o/part-0", "x-job-id", "a1")}})
		if got := quiet.read(); status.Code(got.err) != codes.DeadlineExceeded {
			t.Errorf("%+v", got)
		}
		if odd := p.door.Anomalies(); odd["watched"] != 1 || p.router.OpenLookups() != 0 {
			t.Error(odd)
		}
	})
	t.Run("more lookups than there is room for, a message past its size, a header that cannot be used", func(t *testing.T) {
		p := begin(t, false)
		for i := range 6 {
			p.call().ask(fmt.Sprint("a", i), "segment", "o")
		}
		if got := p.call().ask("a9", "segment", "o"); got.status != 503 {
			t.Errorf("%+v", got)
		}
		if got := p.call().ask("a9", "segment", "o", "x-big", string(make([]byte, MaxMessageBytes))); status.Code(got.err) != codes.ResourceExhausted {
			t.Errorf("%+v", got)
		}
		if got := p.call().ask("a 9", "segment", "o"); got.status != 400 {
			t.Errorf("%+v", got)
		}
	})
}
