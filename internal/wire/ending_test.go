package wire

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"foldslip/example/standin"
	"foldslip/internal/admission"
	"foldslip/internal/cacheregistry"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/policy"
	"foldslip/internal/purgelog"
	"foldslip/internal/settings"
)

// The crossings of docs/ending.md on loopback: the real front and links, with stand-in caches, on a ground that holds the exact
// instant. What is held goes on by a step of the story, never by the passing of time.

// gatedEnv is the system's ground with gates in it; a nil gate is open.
type gatedEnv struct {
	*env.System
	dial           chan bool    // each connection to a cache waits for one
	read           chan bool    // each read of a client's connection waits for one
	readWaiting    chan bool    // told of each read that waits
	accept         chan bool    // each Accept waits for one
	write          chan bool    // each write to a cache waits for one
	writeWaiting   chan bool    // told of each write that waits
	blocked        chan bool    // caches take nothing, not a byte, until it is closed
	acceptFailures atomic.Int32 // so many Accepts fail, as without a descriptor
	idle           chan bool    // each read of a client whose lookup is open waits for one
}

func (h *gatedEnv) Dial(life *env.Lifetime, addr string, within time.Duration) (net.Conn, error) {
	if h.dial != nil {
		<-h.dial
	}
	c, err := h.System.Dial(life, addr, within)
	if err == nil && h.write != nil {
		return &gatedWriter{c, h}, nil
	}
	if err == nil && h.blocked != nil {
		return &blockedWriter{c, h}, nil
	}
	return c, err
}

func (h *gatedEnv) NonBlockingWriter(c net.Conn) env.NonBlockingWrite {
	if h.write != nil {
		return nil
	}
	if d, ok := c.(*blockedWriter); ok {
		direct := h.System.NonBlockingWriter(d.Conn)
		return func(b []byte) int {
			select {
			case <-h.blocked:
				return direct(b)
			default:
				return 0
			}
		}
	}
	return h.System.NonBlockingWriter(c)
}

// blockedWriter is a connection that takes nothing at once, and whose Write waits, until the gate is gone.
type blockedWriter struct {
	net.Conn
	env *gatedEnv
}

func (d *blockedWriter) Write(b []byte) (int, error) {
	<-d.env.blocked
	return d.Conn.Write(b)
}

// gatedWriter is a connection whose peer takes nothing until the gate opens.
type gatedWriter struct {
	net.Conn
	env *gatedEnv
}

func (s *gatedWriter) Write(b []byte) (int, error) {
	s.env.writeWaiting <- true
	<-s.env.write
	return s.Conn.Write(b)
}

type gatedListener struct {
	*net.TCPListener
	env *gatedEnv
}

func (g gatedListener) Accept() (net.Conn, error) {
	if g.env.accept != nil {
		<-g.env.accept
	}
	if g.env.acceptFailures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	c, err := g.TCPListener.Accept()
	if err == nil && g.env.idle != nil {
		c.(*net.TCPConn).SetReadBuffer(1 << 20)
		return &gatedIdleReader{TCPConn: c.(*net.TCPConn), env: g.env}, nil
	}
	if err == nil && g.env.read != nil {
		return &gatedReader{c.(*net.TCPConn), g.env}, nil
	}
	return c, err
}

// gatedIdleReader is a connection whose reads without a deadline, as while a lookup is open, wait for the gate.
type gatedIdleReader struct {
	*net.TCPConn
	env         *gatedEnv
	hasDeadline atomic.Bool
}

func (i *gatedIdleReader) SetReadDeadline(at time.Time) error {
	i.hasDeadline.Store(!at.IsZero())
	return i.TCPConn.SetReadDeadline(at)
}

func (i *gatedIdleReader) Read(b []byte) (int, error) {
	if !i.hasDeadline.Load() {
		<-i.env.idle
	}
	return i.TCPConn.Read(b)
}

type gatedReader struct {
	*net.TCPConn
	env *gatedEnv
}

func (s *gatedReader) Read(b []byte) (int, error) {
	s.env.readWaiting <- true
	<-s.env.read
	return s.TCPConn.Read(b)
}

// testbed is a front and links before two edges and the origin.
type testbed struct {
	t          *testing.T
	dispatcher *dispatch.Dispatcher
	server     *Server
	pool       *Pool
	listener   gatedListener
	registry   *cacheregistry.Registry
	purges     *purgelog.Log
	edges      []*standin.Cache
	received   chan standin.Request
	lastID     int
}

const testSettings = `{"areas":["town"],"machine_types":["edge","parent","origin"],"ceilings":{"cancelling":CANCEL,"try_limit":6,
"retry_after":true,"max_retry_after":2000000,"connect_timeout":8000000},"classes":[{"name":"segment","aim":4000000,"deadline":9000000,"points":1,"effect":"idempotent"},
{"name":"order","aim":4000000,"deadline":9000000,"points":1,"effect":"at_most_once"},
{"name":"berth","aim":4000000,"deadline":9000000,"points":1,"effect":"deduplicated","group":"all","window":2000000}],
"specifics":{"parent_kind":1,"source_kind":2,"flow_kb_per_s":100000,"max_age":[0,0,0],"grace_for":[0,0,0],"pass_on":[false,true,true],"seats_by_zone":[1],"cleared_within":6000000}}`

func newTestbed(t *testing.T, h *gatedEnv, cancelling bool, most int) *testbed {
	terms, err := settings.Parse([]byte(strings.Replace(testSettings, "CANCEL", fmt.Sprint(cancelling), 1)))
	if err != nil {
		t.Fatal(err)
	}
	h.System = env.NewSystem(io.Discard, 0)
	r := &testbed{t: t, registry: &cacheregistry.Registry{}, received: make(chan standin.Request, 99), purges: &purgelog.Log{Clock: h, Retention: time.Minute}}
	r.dispatcher = dispatch.New(h, 1, terms.Router, nil)
	life := env.NewLifetime(nil)
	r.pool = NewPool(h, life, terms, r.dispatcher, r.registry, r.purges, 99)
	r.server = NewServer(h, terms, r.dispatcher, r.pool, admission.NewController(h, 100, 1<<20), most)
	r.server.SetReady()
	var rows []policy.Endpoint
	for i := range 2 {
		c, err := standin.NewCache("127.0.0.1:0", func(d standin.Request) { r.received <- d })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		r.edges = append(r.edges, c)
		rows = append(rows, policy.Endpoint{Cache: r.registry.Register(fmt.Sprint("edge", i), c.Addr).Policy})
	}
	rows = append(rows, policy.Endpoint{Cache: r.registry.Register("origin", "127.0.0.1:1").Policy, Kind: 2})
	r.dispatcher.Tick(rows, true, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.listener = gatedListener{l.(*net.TCPListener), h}
	go r.server.Serve(life, r.listener)
	t.Cleanup(func() { life.End(); l.Close(); r.server.Close() })
	return r
}

func (r *testbed) connect() net.Conn {
	c, err := net.Dial("tcp", r.listener.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func (r *testbed) requestText(kind string, more ...string) string {
	r.lastID++
	return fmt.Sprintf("GET /call/%s/o HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\n%s\r\n", kind, r.lastID, strings.Join(more, ""))
}

func (r *testbed) sendRequest(kind string, more ...string) net.Conn {
	c := r.connect()
	io.WriteString(c, r.requestText(kind, more...))
	return c
}

func (r *testbed) waitFor(what string, true func() bool) {
	r.t.Helper()
	for end := time.Now().Add(6 * time.Second); !true(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatal("no ", what)
		}
	}
}

func (r *testbed) waitOpenLookups(n int) {
	r.t.Helper()
	r.waitFor(fmt.Sprint(n, " lookups open"), func() bool { return r.dispatcher.OpenLookups() == n })
}

// waitOpenAttempts waits until the module counts so many sends and none waits to be picked.
func (r *testbed) waitOpenAttempts(n int) {
	r.t.Helper()
	r.waitFor(fmt.Sprint(n, " sends out"), func() bool { out, queued := r.dispatcher.InFlight(); return out == n && queued == 0 })
}

func (r *testbed) expectStatus(c net.Conn, want int) string {
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

func (r *testbed) expectNothingReceived() {
	r.t.Helper()
	// Whatever was written before is read before what follows on the same connection; a lookup of its own shows that.
	c := r.sendRequest("segment")
	select {
	case d := <-r.received:
		if d.ID != fmt.Sprintf("%016x", r.lastID) {
			r.t.Fatalf("%s was sent, expected only %016x", d.ID, r.lastID)
		}
		d.Hit(time.Now(), "hit", "ok")
	case <-time.After(10 * time.Second):
		r.t.Fatal("the lookup after it was not sent")
	}
	r.expectStatus(c, 200)
}

// setEndpointState lists a cache in another state.
func (r *testbed) setEndpointState(name string, state policy.EndpointState) {
	row := policy.Endpoint{Cache: r.registry.Find(name).Policy, State: state}
	if name == "origin" {
		row.Kind = 2
	}
	r.dispatcher.Tick([]policy.Endpoint{row}, false, nil)
}

// A send waits for its connection to come up while something ends. Nothing of it has gone out, so nothing of it goes out any more,
// also where the settings allow no giving up.
func TestAttemptsWaitingForTheirConnection(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		t.Run(fmt.Sprint("their client leaves, cancelling ", cancelling), func(t *testing.T) {
			h := &gatedEnv{dial: make(chan bool)}
			r := newTestbed(t, h, cancelling, 50)
			c := r.sendRequest("segment")
			r.waitOpenAttempts(1)
			c.Close()
			r.waitOpenLookups(0)
			close(h.dial)
			r.expectNothingReceived()
		})
	}
	t.Run("their time runs out: nacked, also a side-effecting one, as it has not run", func(t *testing.T) {
		h := &gatedEnv{dial: make(chan bool)}
		r := newTestbed(t, h, false, 50)
		c := r.sendRequest("order", "X-Allow-Ms: 150\r\n")
		r.expectStatus(c, 503)
		close(h.dial)
		r.expectNothingReceived()
	})
	t.Run("their cache is told draining: sent to the other", func(t *testing.T) {
		h := &gatedEnv{dial: make(chan bool)}
		r := newTestbed(t, h, true, 50)
		c := r.sendRequest("segment")
		r.waitOpenAttempts(1)
		home, other := r.homeEdge()
		r.setEndpointState(home, policy.Draining)
		close(h.dial)
		d := r.nextReceived()
		if at := d.Conn.LocalAddr().String(); at != r.registry.Find(other).Addr {
			t.Errorf("sent to %s, told draining", at)
		}
		d.Hit(time.Now(), "hit", "ok")
		r.expectStatus(c, 200)
	})
	t.Run("their source is told gone: not named", func(t *testing.T) {
		h := &gatedEnv{dial: make(chan bool)}
		r := newTestbed(t, h, true, 50)
		c := r.sendRequest("segment")
		r.waitOpenAttempts(1)
		r.setEndpointState("origin", policy.Gone)
		close(h.dial)
		d := r.nextReceived()
		if d.Fields["from"] != "" {
			t.Errorf("filled from %q, told gone", d.Fields["from"])
		}
		d.Hit(time.Now(), "hit", "ok")
		r.expectStatus(c, 200)
	})
	t.Run("what is left is told when it goes out, not when it was decided", func(t *testing.T) {
		h := &gatedEnv{dial: make(chan bool)}
		r := newTestbed(t, h, true, 50)
		c := r.sendRequest("segment", "X-Allow-Ms: 5000\r\n")
		r.waitOpenAttempts(1)
		time.Sleep(60 * time.Millisecond)
		close(h.dial)
		d := r.nextReceived()
		if w := d.Fields["w"]; len(w) > 4 || w > "4945" {
			t.Errorf("w=%s, sent at least 60 ms into 5000", w)
		}
		d.Hit(time.Now(), "hit", "ok")
		r.expectStatus(c, 200)
	})
}

// A deduplicated lookup that may have run is sent again inside its window of 2 s, and the connection for that is late to come up. Past
// the window its repeat would have its effect a second time: it does not go out, and as repeats of the client would not be known
// either, the lookup fails. Inside the window it goes out.
func TestRetryWaitingPastItsDedupWindow(t *testing.T) {
	for _, late := range []bool{true, false} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			h := &gatedEnv{dial: make(chan bool)}
			r := newTestbed(t, h, true, 50)
			c := r.sendRequest("berth")
			h.dial <- true
			first := r.nextReceived()
			began := time.Now() // the first send was decided before
			first.Reset()
			r.waitFor("a second send", func() bool {
				out, queued := r.dispatcher.InFlight()
				return out == 1 && queued == 0 && r.queuedLines() == 1
			})
			if late {
				time.Sleep(2*time.Second - time.Since(began))
				close(h.dial)
				r.expectStatus(c, 502)
				r.expectNothingReceived()
				return
			}
			close(h.dial)
			r.nextReceived().Hit(time.Now(), "hit", "ok")
			r.expectStatus(c, 200)
		})
	}
}

// queuedLines counts the sends whose connection is not up.
func (r *testbed) queuedLines() (n int) {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	for _, of := range r.pool.conns {
		for _, l := range of {
			l.mu.Lock()
			if l.conn == nil {
				n += len(l.attempts)
			}
			l.mu.Unlock()
		}
	}
	return n
}

// A send waits behind one that its cache does not take, and the cache is told draining: what has begun goes on, what has not goes elsewhere.
func TestAttemptQueuedBehindABlockedCache(t *testing.T) {
	h := &gatedEnv{write: make(chan bool), writeWaiting: make(chan bool, 99)}
	r := newTestbed(t, h, true, 50)
	first := r.sendRequest("segment")
	<-h.writeWaiting
	second := r.sendRequest("segment")
	r.waitOpenAttempts(2)
	home, other := r.homeEdge()
	r.setEndpointState(home, policy.Draining)
	close(h.write)
	at := map[string]int{}
	for range 2 {
		d := r.nextReceived()
		at[d.Conn.LocalAddr().String()]++
		d.Hit(time.Now(), "hit", "ok")
	}
	r.expectStatus(first, 200)
	r.expectStatus(second, 200)
	if at[r.registry.Find(home).Addr] != 1 || at[r.registry.Find(other).Addr] != 1 {
		t.Errorf("sends by cache: %v", at)
	}
}

// homeEdge is the edge that the rig's open lookup has a send at, and the other one.
func (r *testbed) homeEdge() (home, other string) {
	r.t.Helper()
	r.server.pool.mu.Lock()
	defer r.server.pool.mu.Unlock()
	for key := range r.server.pool.conns {
		if home = strings.Fields(key)[0]; home == "edge0" {
			return home, "edge1"
		}
		return home, "edge0"
	}
	r.t.Fatal("no send waits")
	return
}

func (r *testbed) nextReceived() standin.Request {
	r.t.Helper()
	select {
	case d := <-r.received:
		return d
	case <-time.After(10 * time.Second):
		r.t.Fatal("nothing was sent")
	}
	panic("not reached")
}

// A client that has sent a next request ahead and goes: the lookup under way is given up at once, the next never begins.
func TestPipeliningClientThatLeaves(t *testing.T) {
	r := newTestbed(t, &gatedEnv{}, true, 50)
	c := r.connect()
	io.WriteString(c, r.requestText("segment")+r.requestText("segment"))
	d := r.nextReceived()
	c.Close()
	for _, e := range r.edges {
		if e.Addr != d.Conn.LocalAddr().String() {
			continue
		}
		select {
		case id := <-e.Cancelled:
			if id != d.ID {
				t.Errorf("%s undone, expected %s", id, d.ID)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("not undone")
		}
	}
	r.waitOpenLookups(0)
	r.expectNothingReceived()
}

// Sent ahead and answered in turn, as long as the client stays.
func TestPipeliningClientThatStays(t *testing.T) {
	r := newTestbed(t, &gatedEnv{}, true, 50)
	c := r.connect()
	io.WriteString(c, r.requestText("segment")+r.requestText("segment")+r.requestText("segment"))
	in := bufio.NewReader(c)
	for i := range 3 {
		want := fmt.Sprint("answer ", i)
		r.nextReceived().Hit(time.Now(), "hit", want)
		got, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(got.Body); string(body) != want {
			t.Errorf("got %q, expected %q", body, want)
		}
	}
}

// A request has come whole and its goroutine has not read it when this side wants to end the connection: it is read and answered.
func TestRequestPendingWhenItsConnectionEnds(t *testing.T) {
	for name, end := range map[string]func(r *testbed){
		"a drain":                 func(r *testbed) { r.server.Drain() },
		"a new one, at the bound": func(r *testbed) { r.connect() },
	} {
		t.Run(name, func(t *testing.T) {
			h := &gatedEnv{read: make(chan bool), readWaiting: make(chan bool, 99)}
			r := newTestbed(t, h, true, 1)
			c := r.connect()
			<-h.readWaiting // its goroutine is about to read
			io.WriteString(c, r.requestText("segment"))
			time.Sleep(20 * time.Millisecond) // for the bytes to be in the socket
			end(r)
			r.waitFor("a connection that is to end", func() bool {
				r.server.mu.Lock()
				defer r.server.mu.Unlock()
				for c := range r.server.conns {
					if c.isEnding() {
						return true
					}
				}
				return false
			})
			close(h.read)
			r.nextReceived().Hit(time.Now(), "hit", "ok")
			if body := r.expectStatus(c, 200); body != "ok" {
				t.Errorf("got %q", body)
			}
			if _, err := c.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("the connection is left open: %v", err)
			}
		})
	}
}

// Connections wait to be accepted, a request on each, when the gateway wants no more: they are accepted and answered, and then the
// listener closes.
func TestBacklogWhenTheListenerCloses(t *testing.T) {
	h := &gatedEnv{accept: make(chan bool)}
	r := newTestbed(t, h, true, 50)
	var asked []net.Conn
	for range 5 {
		asked = append(asked, r.sendRequest("segment"))
	}
	r.server.Drain()
	r.server.StopAccepting(r.listener)
	close(h.accept)
	for range asked {
		r.nextReceived().Hit(time.Now(), "hit", "ok")
	}
	for _, c := range asked {
		r.expectStatus(c, 200)
	}
	r.server.Wait()
	if c, err := net.Dial("tcp", r.listener.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is still open")
	}
}

// A drain between two requests of a connection, the first answered and the next read: that is answered too.
func TestDrainBetweenTwoRequestsOfAConnection(t *testing.T) {
	h := &gatedEnv{read: make(chan bool), readWaiting: make(chan bool, 99)}
	r := newTestbed(t, h, true, 50)
	c := r.connect()
	io.WriteString(c, r.requestText("segment")+r.requestText("segment"))
	h.read <- true
	first := r.nextReceived()
	<-h.readWaiting
	<-h.readWaiting // with the next request read, its goroutine is about to read on
	first.Hit(time.Now(), "hit", "first")
	in := bufio.NewReader(c)
	got, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.ReadAll(got.Body)
	r.waitOpenLookups(0)
	r.server.Drain()
	close(h.read)
	r.nextReceived().Hit(time.Now(), "hit", "second")
	if got, err = http.ReadResponse(in, nil); err != nil {
		t.Fatal(err)
	}
	if body, _ := io.ReadAll(got.Body); string(body) != "second" || !got.Close {
		t.Errorf("got %q, closes %v", body, got.Close)
	}
}

// An answer older than a purge that was told past its grace has run: a side-effecting lookup is not sent a second time for it.
func TestOutdatedResponseCountsAsRun(t *testing.T) {
	r := newTestbed(t, &gatedEnv{}, true, 50)
	c := r.sendRequest("order")
	d := r.nextReceived()
	r.purges.Record("o", 0, time.Now())
	time.Sleep(2 * time.Millisecond) // the purge's grace is none
	d.Hit(time.Now().Add(-time.Minute), "hit", "old")
	r.expectStatus(c, 502)
	if len(r.received) > 0 {
		t.Error("sent again")
	}
}

// A lookup with bytes: they go on whole and unchanged, what ran at the origin brings no tag, and the room it took is given back.
func TestLookupWithBody(t *testing.T) {
	r := newTestbed(t, &gatedEnv{}, true, 50)
	bytes := strings.Repeat("\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\x00", 4000)
	head := strings.Replace(r.requestText("order", fmt.Sprintf("X-Unique: u7\r\nContent-Length: %d\r\n", len(bytes))), "GET", "PUT", 1)
	c := r.connect()
	for _, piece := range []string{head, bytes[:7], bytes[7:50000], bytes[50000:] + r.requestText("segment")[:20]} {
		io.WriteString(c, piece)
		time.Sleep(2 * time.Millisecond)
	}
	d := r.nextReceived()
	if string(d.Body) != bytes || d.Fields["rank"] != "" || d.Fields["i"] != "u7" {
		t.Fatalf("%d bytes of %d, %v", len(d.Body), len(bytes), d.Fields)
	}
	d.Conn.Send(d.ID + " HIT - 4\r\ndone\r\n")
	got, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, _ := io.ReadAll(got.Body); string(body) != "done" || got.Header.Get("ETag") != "" || got.StatusCode != 200 {
		t.Errorf("status %d, %q, tag %q", got.StatusCode, body, got.Header.Get("ETag"))
	}
	r.waitFor("room given back", func() bool {
		if !r.server.admission.ReserveBytes(1 << 20) {
			return false
		}
		r.server.admission.ReleaseBytes(1 << 20)
		return true
	})
	t.Run("not for an object kind that is kept", func(t *testing.T) {
		c := r.connect()
		io.WriteString(c, strings.Replace(r.requestText("segment", "Content-Length: 2\r\n"), "GET", "PUT", 1)+"no")
		r.expectStatus(c, 405)
	})
	t.Run("past the room for bytes it is nacked", func(t *testing.T) {
		c := r.connect()
		r.server.admission.ReserveBytes(1 << 20)
		defer r.server.admission.ReleaseBytes(1 << 20)
		io.WriteString(c, strings.Replace(r.requestText("order", "Content-Length: 200000\r\n"), "GET", "PUT", 1))
		r.expectStatus(c, 503)
	})
	t.Run("half of them and the end: nothing is sent, the room is given back", func(t *testing.T) {
		c := r.connect()
		io.WriteString(c, strings.Replace(r.requestText("order", "Content-Length: 200000\r\n"), "GET", "PUT", 1)+"half")
		c.Close()
		r.waitFor("room given back", func() bool {
			if !r.server.admission.ReserveBytes(1 << 20) {
				return false
			}
			r.server.admission.ReleaseBytes(1 << 20)
			return true
		})
		r.expectNothingReceived()
	})
	t.Run("a copy that tells no tag is none for a kind that is kept", func(t *testing.T) {
		c := r.sendRequest("segment")
		d := r.nextReceived()
		d.Conn.Send(d.ID + " HIT - 4\r\ndone\r\n")
		r.nextReceived().Hit(time.Now(), "hit", "whole")
		if body := r.expectStatus(c, 200); body != "whole" {
			t.Errorf("got %q", body)
		}
	})
}

// An answer with Connection: close to a client that reads it late and sends something more meanwhile: the answer comes whole. A close
// over what the client sends on would have the system reset the connection and drop what the client has not taken.
func TestResponseTailArrivesAfterAClose(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 15000)
	for _, drain := range []bool{false, true} {
		for _, ahead := range []bool{false, true} {
			t.Run(fmt.Sprint("a drain ", drain, ", bytes sent ahead ", ahead), func(t *testing.T) {
				r := newTestbed(t, &gatedEnv{}, true, 50)
				d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
					raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
					return err
				}}
				c, err := d.Dial("tcp", r.listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(20 * time.Second))
				asks := "Connection: close\r\n"
				if drain {
					asks = ""
				}
				io.WriteString(c, r.requestText("segment", asks))
				do := r.nextReceived()
				if drain {
					r.server.Drain()
				}
				if ahead {
					io.WriteString(c, r.requestText("segment")+"GET /call/")
					time.Sleep(20 * time.Millisecond)
				}
				do.Hit(time.Now(), "hit", body)
				r.waitOpenLookups(0)
				r.waitFor("an answer that is out", func() bool {
					r.server.mu.Lock()
					defer r.server.mu.Unlock()
					for c := range r.server.conns {
						c.mu.Lock()
						out := !c.busy
						c.mu.Unlock()
						return out
					}
					return true
				})
				for range 3 { // the first byte after a close is answered by a reset
					io.WriteString(c, "more\r\n")
					time.Sleep(20 * time.Millisecond)
				}
				if got := r.expectStatus(c, 200); got != body {
					t.Errorf("%d bytes of %d", len(got), len(body))
				}
				c.Close()
				r.waitFor("an end of its lingering", func() bool { return r.server.ConnCount() == 0 })
			})
		}
	}
}

// A client that has its last answer and stays: it lingers for a second at most, and a new client gets its place at once.
func TestClientThatStaysOpenAfterAClose(t *testing.T) {
	r := newTestbed(t, &gatedEnv{}, true, 1)
	c := r.sendRequest("segment", "Connection: close\r\n")
	r.nextReceived().Hit(time.Now(), "hit", "ok")
	r.expectStatus(c, 200)
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("not ended on this side: %v", err)
	}
	began := time.Now()
	next := r.sendRequest("segment")
	r.nextReceived().Hit(time.Now(), "hit", "ok")
	r.expectStatus(next, 200)
	if took := time.Since(began); took > responseWriteSlack/2 {
		t.Errorf("the next client waited %v", took)
	}
	next.Close()
	r.waitFor("an end of the next one", func() bool { return r.server.ConnCount() == 0 }) // not the matter here: else it may be in the way of the last
	last := r.sendRequest("segment", "Connection: close\r\n")
	r.nextReceived().Hit(time.Now(), "hit", "ok")
	r.expectStatus(last, 200)
	r.waitFor("an end of its lingering", func() bool { return r.server.ConnCount() == 0 })
}
