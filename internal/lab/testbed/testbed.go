// Package testbed puts the real server and the real pool of connections before stand-in caches on loopback, on an environment whose gates
// hold an exact instant: what is held goes on by a step of the test, never by the passing of time. Only tests import it.
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

// Testbed is a front and links before two edges and the origin.
type Testbed struct {
	t          *testing.T
	Dispatcher *dispatch.Dispatcher
	Server     *frontend.Server
	Pool       *upstream.Pool
	Listener   gatedListener
	Registry   *cacheregistry.Registry
	Purges     *purgelog.Log
	Edges      []*standin.Cache
	Received   chan standin.Request
	LastID     int
}

const testSettings = `{"areas":["town"],"machine_types":["edge","parent","origin"],"ceilings":{"cancelling":CANCEL,"try_limit":6,
"retry_after":true,"max_retry_after":2000000,"connect_timeout":8000000},"classes":[{"name":"segment","aim":4000000,"deadline":9000000,"points":1,"effect":"idempotent"},
{"name":"order","aim":4000000,"deadline":9000000,"points":1,"effect":"at_most_once"},
{"name":"berth","aim":4000000,"deadline":9000000,"points":1,"effect":"deduplicated","group":"all","window":2000000}],
"specifics":{"parent_kind":1,"source_kind":2,"flow_kb_per_s":100000,"max_age":[0,0,0],"grace_for":[0,0,0],"pass_on":[false,true,true],"seats_by_zone":[1],"cleared_within":6000000}}`

func New(t *testing.T, h *GatedEnv, cancelling bool, most int) *Testbed {
	terms, err := settings.Parse([]byte(strings.Replace(testSettings, "CANCEL", fmt.Sprint(cancelling), 1)))
	if err != nil {
		t.Fatal(err)
	}
	h.System = env.NewSystem(io.Discard, 0)
	r := &Testbed{t: t, Registry: &cacheregistry.Registry{}, Received: make(chan standin.Request, 99), Purges: &purgelog.Log{Clock: h, Retention: time.Minute}}
	r.Dispatcher = dispatch.New(h, 1, terms.Router, nil)
	life := env.NewLifetime(nil)
	r.Pool = upstream.NewPool(h, life, terms, r.Dispatcher, r.Registry, r.Purges, 99)
	r.Server = frontend.NewServer(h, terms, r.Dispatcher, r.Pool, admission.NewController(h, 100, 1<<20), most)
	r.Server.SetReady()
	var rows []policy.Endpoint
	for i := range 2 {
		c, err := standin.NewCache("127.0.0.1:0", func(d standin.Request) { r.Received <- d })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		r.Edges = append(r.Edges, c)
		rows = append(rows, policy.Endpoint{Cache: r.Registry.Register(fmt.Sprint("edge", i), c.Addr).Policy})
	}
	rows = append(rows, policy.Endpoint{Cache: r.Registry.Register("origin", "127.0.0.1:1").Policy, Kind: 2})
	r.Dispatcher.Tick(rows, true, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.Listener = gatedListener{l.(*net.TCPListener), h}
	go r.Server.Serve(life, r.Listener)
	t.Cleanup(func() { life.End(); l.Close(); r.Server.Close() })
	return r
}

func (r *Testbed) Connect() net.Conn {
	c, err := net.Dial("tcp", r.Listener.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func (r *Testbed) RequestText(kind string, more ...string) string {
	r.LastID++
	return fmt.Sprintf("GET /call/%s/o HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\n%s\r\n", kind, r.LastID, strings.Join(more, ""))
}

func (r *Testbed) SendRequest(kind string, more ...string) net.Conn {
	c := r.Connect()
	io.WriteString(c, r.RequestText(kind, more...))
	return c
}

func (r *Testbed) WaitFor(what string, true func() bool) {
	r.t.Helper()
	for end := time.Now().Add(6 * time.Second); !true(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatal("no ", what)
		}
	}
}

func (r *Testbed) WaitOpenLookups(n int) {
	r.t.Helper()
	r.WaitFor(fmt.Sprint(n, " lookups open"), func() bool { return r.Dispatcher.OpenLookups() == n })
}

// WaitOpenAttempts waits until the module counts so many sends and none waits to be picked.
func (r *Testbed) WaitOpenAttempts(n int) {
	r.t.Helper()
	r.WaitFor(fmt.Sprint(n, " sends out"), func() bool { out, queued := r.Dispatcher.InFlight(); return out == n && queued == 0 })
}

func (r *Testbed) ExpectStatus(c net.Conn, want int) string {
	r.t.Helper()
	got, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.t.Fatal(err)
	}
	body, err := io.ReadAll(got.Body)
	if got.StatusCode != want || err != nil {
		r.t.Fatalf("status %d, %v, expected %d", got.StatusCode, err, want)
	}
	return string(body)
}

func (r *Testbed) ExpectNothingReceived() {
	r.t.Helper()
	// Whatever was written before is read before what follows on the same connection; a lookup of its own shows that.
	c := r.SendRequest("segment")
	select {
	case d := <-r.Received:
		if d.ID != fmt.Sprintf("%016x", r.LastID) {
			r.t.Fatalf("%s was sent, expected only %016x", d.ID, r.LastID)
		}
		d.Hit(time.Now(), "hit", "ok")
	case <-time.After(10 * time.Second):
		r.t.Fatal("the lookup after it was not sent")
	}
	r.ExpectStatus(c, 200)
}

// SetEndpointState lists a cache in another state.
func (r *Testbed) SetEndpointState(name string, state policy.EndpointState) {
	row := policy.Endpoint{Cache: r.Registry.Find(name).Policy, State: state}
	if name == "origin" {
		row.Kind = 2
	}
	r.Dispatcher.Tick([]policy.Endpoint{row}, false, nil)
}

func (r *Testbed) NextReceived() standin.Request {
	r.t.Helper()
	select {
	case d := <-r.Received:
		return d
	case <-time.After(10 * time.Second):
		r.t.Fatal("nothing was sent")
	}
	panic("not reached")
}

// Every path on which an attempt of a lookup can begin, with its client gone by then: none begins (docs/ending.md).

// WaitNoConns waits until the front has no connection of a client any more: whoever left has been seen to.
func (r *Testbed) WaitNoConns() {
	r.t.Helper()
	r.WaitFor("front without clients", func() bool { return r.Server.ConnCount() == 0 })
}

// WaitQueued waits until the module has that many lookups without a send.
func (r *Testbed) WaitQueued(n int) {
	r.t.Helper()
	r.WaitOpenAttempts(0)
	r.WaitOpenLookups(n)
}

// TickTimes brings the module its timers, which nobody else does in these stories, until it has nothing held.
func (r *Testbed) TickTimes(n int) {
	for range n {
		r.Dispatcher.Tick(nil, false, nil)
		time.Sleep(10 * time.Millisecond)
	}
}

// ReachEachEdge asks for objects until each of the edges has had a send; it answers each at once.
func (r *Testbed) ReachEachEdge() {
	r.t.Helper()
	seen := map[string]bool{}
	for n := 0; len(seen) < len(r.Edges); n++ {
		if n > 200 {
			r.t.Fatalf("%d of %d edges had a send", len(seen), len(r.Edges))
		}
		c := r.Connect()
		r.LastID++
		fmt.Fprintf(c, "GET /call/segment/o%d HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\nConnection: close\r\n\r\n", n, r.LastID)
		d := r.NextReceived()
		seen[d.Conn.LocalAddr().String()] = true
		d.Hit(time.Now(), "hit", "ok")
		r.ExpectStatus(c, 200)
	}
}
