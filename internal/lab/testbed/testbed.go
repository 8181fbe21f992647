// Package testbed runs the real front end and the real connection pool with stand-in caches on loopback. Gates in
// the environment stop calls at exact points. A stopped call continues when the test opens its gate, not when time
// passes. A testbed owns its servers and connections, and they end with the test. Only tests import the package.
package testbed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"foldslip/example/standin"
	"foldslip/internal/admission"
	"foldslip/internal/cacheregistry"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/frontend"
	"foldslip/internal/policy"
	"foldslip/internal/purgelog"
	"foldslip/internal/settings"
	"foldslip/internal/upstream"
)

const (
	// MaxBytes is the admission limit on the bytes of bodies and objects.
	MaxBytes = 1 << 20
	// MaxInputBytes is the memory of the read buffers of client connections.
	MaxInputBytes = 1 << 20
	// MaxEndedIDs is the number of ids of ended lookups that the server remembers.
	MaxEndedIDs = 100

	maxLookups     = 100
	maxCacheConns  = 99
	clientTimeout  = 20 * time.Second
	receiveTimeout = 10 * time.Second
	waitTimeout    = 6 * time.Second
	originKind     = 2 // the machine type "origin" in testSettings
)

// testSettings has one object kind for each effect: segment (idempotent), order (at most once, because
// it has side effects; runs at the origin) and berth (deduplicated within 2 s, runs at the origin).
const testSettings = `{"areas":["town"],"machine_types":["edge","parent","origin"],"ceilings":{"cancelling":CANCEL,"try_limit":6,
"retry_after":true,"max_retry_after":2000000,"connect_timeout":8000000},"classes":[{"name":"segment","aim":4000000,"deadline":9000000,"points":1,"effect":"idempotent"},
{"name":"order","aim":4000000,"deadline":9000000,"points":1,"effect":"at_most_once"},
{"name":"berth","aim":4000000,"deadline":9000000,"points":1,"effect":"deduplicated","group":"all","window":2000000}],
"specifics":{"parent_kind":1,"source_kind":2,"flow_kb_per_s":100000,"max_age":[0,0,0],"grace_for":[0,0,0],"pass_on":[false,true,true],"seats_by_zone":[1],"cleared_within":6000000}}`

// Testbed is a front end and a connection pool with two edge
// caches, edge0 and edge1, and an origin that cannot be reached.
type Testbed struct {
	Dispatcher *dispatch.Dispatcher
	Server     *frontend.Server
	Pool       *upstream.Pool
	Listener   net.Listener
	Registry   *cacheregistry.Registry
	Purges     *purgelog.Log // without a grace period: a purge takes effect at once
	Edges      []*standin.Cache
	Received   chan standin.Request // requests that reached an edge
	LastID     int                  // id of the lookup that RequestText returned last

	t *testing.T
}

// New starts a testbed that ends with the test. canCancel sets whether
// caches can cancel attempts, and maxClients limits client connections.
func New(t *testing.T, gates *GatedEnv, canCancel bool, maxClients int) *Testbed {
	t.Helper()
	parsed, err := settings.Parse([]byte(strings.Replace(testSettings, "CANCEL", fmt.Sprint(canCancel), 1)))
	if err != nil {
		t.Fatal(err)
	}
	gates.System = env.NewSystem(io.Discard, 0)
	b := &Testbed{
		Registry: &cacheregistry.Registry{},
		Purges:   &purgelog.Log{Clock: gates, Retention: time.Minute},
		Received: make(chan standin.Request, 99),
		t:        t,
	}
	b.Dispatcher = dispatch.New(gates, 1, parsed.Router, nil)
	lifetime := env.NewLifetime(nil)
	b.Pool = upstream.NewPool(upstream.Config{Environment: gates, Lifetime: lifetime, Settings: parsed, Dispatcher: b.Dispatcher,
		Registry: b.Registry, Purges: b.Purges, MaxConns: maxCacheConns})
	b.Server = frontend.NewServer(frontend.Config{Environment: gates, Settings: parsed, Dispatcher: b.Dispatcher, Pool: b.Pool,
		Admission: admission.NewController(gates, maxLookups, MaxBytes), MaxConns: maxClients, InputBytes: MaxInputBytes, MaxEndedIDs: MaxEndedIDs})
	b.Server.SetReady()
	b.startCaches()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.Listener = gatedListener{listener.(*net.TCPListener), gates}
	go b.Server.Serve(lifetime, b.Listener)
	t.Cleanup(func() { lifetime.End(); listener.Close(); b.Server.Close() })
	return b
}

// startCaches starts the edges, and adds them and the origin to the endpoint list.
func (b *Testbed) startCaches() {
	b.t.Helper()
	var endpoints []policy.Endpoint
	for i := range 2 {
		edge, err := standin.NewCache("127.0.0.1:0", func(request standin.Request) { b.Received <- request })
		if err != nil {
			b.t.Fatal(err)
		}
		b.t.Cleanup(edge.Close)
		b.Edges = append(b.Edges, edge)
		endpoints = append(endpoints, policy.Endpoint{Cache: b.Registry.Register(fmt.Sprint("edge", i), edge.Addr).Policy})
	}
	origin := b.Registry.Register("origin", "127.0.0.1:1")
	endpoints = append(endpoints, policy.Endpoint{Cache: origin.Policy, Kind: originKind})
	b.Dispatcher.Tick(endpoints, true, nil)
}

// Connect opens a client connection.
func (b *Testbed) Connect() net.Conn {
	b.t.Helper()
	conn, err := net.Dial("tcp", b.Listener.Addr().String())
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(clientTimeout))
	return conn
}

// RequestText returns the request of a lookup with a new id and the given additional header lines.
func (b *Testbed) RequestText(kind string, headers ...string) string {
	b.LastID++
	return fmt.Sprintf("GET /call/%s/o HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\n%s\r\n", kind, b.LastID, strings.Join(headers, ""))
}

// SendRequest sends a lookup on a new connection.
func (b *Testbed) SendRequest(kind string, headers ...string) net.Conn {
	b.t.Helper()
	conn := b.Connect()
	io.WriteString(conn, b.RequestText(kind, headers...))
	return conn
}

// WaitFor waits until a condition holds. The test fails if that takes longer than waitTimeout.
func (b *Testbed) WaitFor(what string, condition func() bool) {
	b.t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatal("timed out while waiting for: ", what)
		}
	}
}

// WaitOpenLookups waits until n lookups are open.
func (b *Testbed) WaitOpenLookups(n int) {
	b.t.Helper()
	b.WaitFor(fmt.Sprint(n, " lookups open"), func() bool { return b.Dispatcher.OpenLookups() == n })
}

// WaitOpenAttempts waits until the policy counts n open attempts and none of them is queued to start.
func (b *Testbed) WaitOpenAttempts(n int) {
	b.t.Helper()
	b.WaitFor(fmt.Sprint(n, " open attempts"), func() bool {
		open, queued := b.Dispatcher.InFlight()
		return open == n && queued == 0
	})
}

// WaitQueued waits until n lookups are open and no attempt is open.
func (b *Testbed) WaitQueued(n int) {
	b.t.Helper()
	b.WaitOpenAttempts(0)
	b.WaitOpenLookups(n)
}

// WaitNoConns waits until the server has no connections left and so has noticed that each client disconnected.
func (b *Testbed) WaitNoConns() {
	b.t.Helper()
	b.WaitFor("a server without connections", func() bool { return b.Server.ConnCount() == 0 })
}

// TickTimes ticks the dispatcher n times, some 10 ms apart. Nothing else in the testbed fires the dispatcher's timers.
func (b *Testbed) TickTimes(n int) {
	for range n {
		b.Dispatcher.Tick(nil, false, nil)
		time.Sleep(10 * time.Millisecond)
	}
}

// ExpectStatus reads a response, checks its status and returns its body.
func (b *Testbed) ExpectStatus(conn net.Conn, status int) string {
	b.t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		b.t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != status || err != nil {
		b.t.Fatalf("got status %d and error %v, want status %d", response.StatusCode, err, status)
	}
	return string(body)
}

// NextReceived waits for the next request that reaches an edge and returns it.
func (b *Testbed) NextReceived() standin.Request {
	b.t.Helper()
	select {
	case request := <-b.Received:
		return request
	case <-time.After(receiveTimeout):
		b.t.Fatal("no request reached an edge")
	}
	panic("unreachable")
}

// ExpectNothingReceived checks that no request is on its way to an edge. It sends a lookup of its
// own. A request that was written earlier on the same connection would be read before that lookup.
func (b *Testbed) ExpectNothingReceived() {
	b.t.Helper()
	conn := b.SendRequest("segment")
	select {
	case request := <-b.Received:
		if request.ID != fmt.Sprintf("%016x", b.LastID) {
			b.t.Fatalf("request %s reached an edge, want only %016x", request.ID, b.LastID)
		}
		request.Hit(time.Now(), "hit", "ok")
	case <-time.After(receiveTimeout):
		b.t.Fatal("the lookup of ExpectNothingReceived did not reach an edge")
	}
	b.ExpectStatus(conn, http.StatusOK)
}

// SetEndpointState sets the state of a cache in the endpoint list.
func (b *Testbed) SetEndpointState(name string, state policy.EndpointState) {
	endpoint := policy.Endpoint{Cache: b.Registry.Find(name).Policy, State: state}
	if name == "origin" {
		endpoint.Kind = originKind
	}
	b.Dispatcher.Tick([]policy.Endpoint{endpoint}, false, nil)
}

// ReachEachEdge looks up objects until each edge has received an attempt. It answers each attempt at once.
func (b *Testbed) ReachEachEdge() {
	b.t.Helper()
	const maxObjects = 200
	reached := map[string]bool{}
	for n := 0; len(reached) < len(b.Edges); n++ {
		if n > maxObjects {
			b.t.Fatalf("only %d of %d edges received an attempt", len(reached), len(b.Edges))
		}
		conn := b.Connect()
		b.LastID++
		fmt.Fprintf(conn, "GET /call/segment/o%d HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\nConnection: close\r\n\r\n", n, b.LastID)
		request := b.NextReceived()
		reached[request.Conn.LocalAddr().String()] = true
		request.Hit(time.Now(), "hit", "ok")
		b.ExpectStatus(conn, http.StatusOK)
	}
}
