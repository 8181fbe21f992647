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
	"google.golang.org/grpc/credentials/insecure"

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
{"name":"order","aim":400000,"deadline":5000000,"points":1,"effect":"at_most_once"},
{"name":"payment","aim":400000,"deadline":5000000,"points":1,"effect":"deduplicated","group":"all","window":1000000}],
"specifics":{"parent_kind":1,"source_kind":2,"flow_kb_per_s":100000,"max_age":[0,0,0],"grace_for":[0,0,0],"pass_on":[false,true,false],"seats_by_zone":[1],"merges_fills":true}}`)

// newDependencies returns the dependencies of a gateway. With withCaches, its endpoint list has
// four edge caches, two parents and an origin. Without, the gateway has no endpoint list yet.
func newDependencies(withCaches bool) (extproc.Dependencies, error) {
	parsed, err := settings.Parse(testSettings)
	if err != nil {
		return extproc.Dependencies{}, err
	}
	environment, caches := env.NewSystem(io.Discard, slog.LevelInfo), &cacheregistry.Registry{}
	dispatcher := dispatch.New(environment, 7, parsed.Router, nil)
	var endpoints []policy.Endpoint
	for i, kind := range []int{0, 0, 0, 0, 1, 1, 2} {
		cache := caches.Register(fmt.Sprint("c", i), fmt.Sprint("10.1.0.1:", 1000+i))
		endpoints = append(endpoints, policy.Endpoint{Cache: cache.Policy, Kind: kind})
	}
	if withCaches {
		dispatcher.Tick(endpoints, true, nil)
	}
	return extproc.Dependencies{
		Environment: environment,
		Settings:    parsed,
		Dispatcher:  dispatcher,
		Caches:      caches,
		Purges:      &purgelog.Log{Clock: environment, Retention: time.Minute},
		Admission:   admission.NewController(environment, 8, 1<<20),
	}, nil
}

// tick calls the dispatcher's Tick whenever it is due, as a gateway does, until the lifetime ends.
func tick(dispatcher *dispatch.Dispatcher, lifetime *env.Lifetime) {
	for !lifetime.Ended() {
		time.Sleep(max(time.Millisecond, dispatcher.Tick(nil, false, nil)))
	}
}

// fixture is a Service that listens on loopback, and a client connected to it.
type fixture struct {
	t *testing.T
	extproc.Dependencies
	service *Service
	client  extprocv3.ExternalProcessorClient
}

// testLimits are the limits of newFixture.
var testLimits = retry.Limits{MaxLookups: 8, MaxPerCaller: 6, ReturnTimeout: 150 * time.Millisecond, Retention: time.Second, MaxRecords: 1000}

// newFixture starts a Service of a gateway, with caches or without. It runs until the end of the test.
func newFixture(t *testing.T, withCaches bool) *fixture {
	t.Helper()
	return newFixtureWith(t, withCaches, testLimits)
}

// newFixtureWith is newFixture with other limits of lookups.
func newFixtureWith(t *testing.T, withCaches bool, limits retry.Limits) *fixture {
	t.Helper()
	dependencies, err := newDependencies(withCaches)
	if err != nil {
		t.Fatal(err)
	}
	table, err := route.Compile([]config.LookupRule{{Path: "/call/{kind}/{object}/part-{part}", Kind: "path:kind", Object: "path:object", Part: "path:part",
		KB: "header:x-ram-kb", ID: "header:x-job-id", AllowMS: "header:x-allow-ms"}}, dependencies.Settings.Kinds)
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, Dependencies: dependencies}
	f.service = &Service{Server: extproc.New(dependencies, table, extproc.Limits{SilenceTimeout: 2 * time.Second, Lookups: limits})}
	f.serve()
	return f
}

// serve runs the Service until the end of the test and then checks that no attempt and no lookup is open.
func (f *fixture) serve() {
	f.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	server := grpc.NewServer(grpc.MaxRecvMsgSize(MaxMessageBytes), grpc.WaitForHandlers(true)) // as in Listener.serverOptions
	extprocv3.RegisterExternalProcessorServer(server, f.service)
	go server.Serve(listener)
	lifetime, ended := env.NewLifetime(nil), make(chan error)
	go func() { ended <- f.service.Run(lifetime) }()
	go tick(f.Dispatcher, lifetime)
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		f.t.Fatal(err)
	}
	f.client = extprocv3.NewExternalProcessorClient(conn)
	f.t.Cleanup(func() {
		conn.Close()
		server.Stop()
		f.Dispatcher.Stop()
		lifetime.End()
		<-ended
		if n, _ := f.Dispatcher.InFlight(); n != 0 || f.Dispatcher.OpenLookups() != 0 || f.service.OpenLookups() != 0 {
			f.t.Errorf("open at the end: %d attempts and %d lookups at the dispatcher, %d lookups at the coordinator; expected none", n, f.Dispatcher.OpenLookups(), f.service.OpenLookups())
		}
	})
}

// checkSettled checks that all open attempts and lookups end within two seconds.
func (f *fixture) checkSettled() {
	f.t.Helper()
	for range 2000 {
		if n, _ := f.Dispatcher.InFlight(); n == 0 && f.Dispatcher.OpenLookups() == 0 && f.service.OpenLookups() == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	f.t.Error("attempts or lookups are still open after 2 s")
}

// testStream is a stream that carries one request of a client.
type testStream struct {
	stream extprocv3.ExternalProcessor_ProcessClient
	stop   context.CancelFunc
}

func (f *fixture) openStream() *testStream {
	f.t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	stream, err := f.client.Process(ctx)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(stop)
	return &testStream{stream, stop}
}

// testReply is a reply as a caller receives it.
type testReply struct {
	status  int // HTTP status of an immediate response; 0: the caller proceeds
	headers map[string]string
	err     error
}

func (s *testStream) read() testReply {
	response, err := s.stream.Recv()
	reply := testReply{headers: map[string]string{}, err: err}
	mutation := response.GetRequestHeaders().GetResponse().GetHeaderMutation()
	if immediate := response.GetImmediateResponse(); immediate != nil {
		reply.status, mutation = int(immediate.Status.Code), immediate.Headers
	}
	for _, header := range mutation.GetSetHeaders() {
		reply.headers[header.Header.Key] = string(header.Header.RawValue)
	}
	return reply
}

// request sends the request headers of a lookup and returns the
// reply. more holds the names and values of further headers, in turn.
func (s *testStream) request(id, kind, object string, more ...string) testReply {
	s.stream.Send(requestHeaders(append([]string{":method", "GET", ":path", "/call/" + kind + "/" + object + "/part-0", "x-job-id", id, "x-ram-kb", "100"}, more...)...))
	return s.read()
}

// report sends response headers, given as names and values in turn, and returns the reply.
func (s *testStream) report(namesAndValues ...string) testReply {
	s.stream.Send(responseHeaders(namesAndValues...))
	return s.read()
}

func httpHeaders(namesAndValues []string) *extprocv3.HttpHeaders {
	headers := &corev3.HeaderMap{}
	for i := 0; i < len(namesAndValues); i += 2 {
		headers.Headers = append(headers.Headers, &corev3.HeaderValue{Key: namesAndValues[i], RawValue: []byte(namesAndValues[i+1])})
	}
	return &extprocv3.HttpHeaders{Headers: headers}
}

func requestHeaders(namesAndValues ...string) *extprocv3.ProcessingRequest {
	return &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: httpHeaders(namesAndValues)}}
}

func responseHeaders(namesAndValues ...string) *extprocv3.ProcessingRequest {
	return &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseHeaders{ResponseHeaders: httpHeaders(namesAndValues)}}
}
