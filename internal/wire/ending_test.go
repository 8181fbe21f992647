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
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/memory"
	"foldslip/internal/policy"
	"foldslip/internal/settings"
)

// The crossings of docs/ending.md on loopback: the real front and links, with stand-in caches, on a ground that holds the exact
// instant. What is held goes on by a step of the story, never by the passing of time.

// held is the system's ground with gates in it; a nil gate is open.
type held struct {
	*env.System
	dial   chan bool    // each connection to a cache waits for one
	read   chan bool    // each read of a client's connection waits for one
	asked  chan bool    // told of each read that waits
	accept chan bool    // each Accept waits for one
	write  chan bool    // each write to a cache waits for one
	stuck  chan bool    // told of each write that waits
	deaf   chan bool    // caches take nothing, not a byte, until it is closed
	failed atomic.Int32 // so many Accepts fail, as without a descriptor
	idle   chan bool    // each read of a client whose lookup is open waits for one
}

func (h *held) Dial(life *env.Life, addr string, within time.Duration) (net.Conn, error) {
	if h.dial != nil {
		<-h.dial
	}
	c, err := h.System.Dial(life, addr, within)
	if err == nil && h.write != nil {
		return &slowWriter{c, h}, nil
	}
	if err == nil && h.deaf != nil {
		return &deafWriter{c, h}, nil
	}
	return c, err
}

func (h *held) Direct(c net.Conn) env.Direct {
	if h.write != nil {
		return nil
	}
	if d, ok := c.(*deafWriter); ok {
		direct := h.System.Direct(d.Conn)
		return func(b []byte) int {
			select {
			case <-h.deaf:
				return direct(b)
			default:
				return 0
			}
		}
	}
	return h.System.Direct(c)
}

// deafWriter is a connection that takes nothing at once, and whose Write waits, until the gate is gone.
type deafWriter struct {
	net.Conn
	h *held
}

func (d *deafWriter) Write(b []byte) (int, error) {
	<-d.h.deaf
	return d.Conn.Write(b)
}

// slowWriter is a connection whose peer takes nothing until the gate opens.
type slowWriter struct {
	net.Conn
	h *held
}

func (s *slowWriter) Write(b []byte) (int, error) {
	s.h.stuck <- true
	<-s.h.write
	return s.Conn.Write(b)
}

type gated struct {
	*net.TCPListener
	h *held
}

func (g gated) Accept() (net.Conn, error) {
	if g.h.accept != nil {
		<-g.h.accept
	}
	if g.h.failed.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	c, err := g.TCPListener.Accept()
	if err == nil && g.h.idle != nil {
		c.(*net.TCPConn).SetReadBuffer(1 << 20)
		return &idleReader{TCPConn: c.(*net.TCPConn), h: g.h}, nil
	}
	if err == nil && g.h.read != nil {
		return &slowReader{c.(*net.TCPConn), g.h}, nil
	}
	return c, err
}

// idleReader is a connection whose reads without a deadline, as while a lookup is open, wait for the gate.
type idleReader struct {
	*net.TCPConn
	h     *held
	timed atomic.Bool
}

func (i *idleReader) SetReadDeadline(at time.Time) error {
	i.timed.Store(!at.IsZero())
	return i.TCPConn.SetReadDeadline(at)
}

func (i *idleReader) Read(b []byte) (int, error) {
	if !i.timed.Load() {
		<-i.h.idle
	}
	return i.TCPConn.Read(b)
}

type slowReader struct {
	*net.TCPConn
	h *held
}

func (s *slowReader) Read(b []byte) (int, error) {
	s.h.asked <- true
	<-s.h.read
	return s.TCPConn.Read(b)
}

// rig is a front and links before two edges and the origin.
type rig struct {
	t        *testing.T
	router   *dispatch.Dispatcher
	front    *Front
	links    *Links
	listener gated
	caches   *memory.Registry
	purges   *memory.Log
	edges    []*standin.Cache
	came     chan standin.Do
	ids      int
}

const rigSettings = `{"areas":["town"],"machine_types":["edge","parent","origin"],"ceilings":{"cancelling":CANCEL,"try_limit":6,
"retry_after":true,"max_retry_after":2000000,"connect_timeout":8000000},"classes":[{"name":"segment","aim":4000000,"deadline":9000000,"points":1,"effect":"idempotent"},
{"name":"order","aim":4000000,"deadline":9000000,"points":1,"effect":"at_most_once"},
{"name":"berth","aim":4000000,"deadline":9000000,"points":1,"effect":"deduplicated","group":"all","window":2000000}],
"specifics":{"parent_kind":1,"source_kind":2,"flow_kb_per_s":100000,"max_age":[0,0,0],"grace_for":[0,0,0],"pass_on":[false,true,true],"seats_by_zone":[1],"cleared_within":6000000}}`

func stand(t *testing.T, h *held, cancelling bool, most int) *rig {
	terms, err := settings.Parse([]byte(strings.Replace(rigSettings, "CANCEL", fmt.Sprint(cancelling), 1)))
	if err != nil {
		t.Fatal(err)
	}
	h.System = env.NewSystem(io.Discard, 0)
	r := &rig{t: t, caches: &memory.Registry{}, came: make(chan standin.Do, 99), purges: &memory.Log{Clock: h, Retention: time.Minute}}
	r.router = dispatch.New(h, 1, terms.Router, nil)
	life := env.NewLife(nil)
	r.links = NewLinks(h, life, terms, r.router, r.caches, r.purges, 99)
	r.front = NewFront(h, terms, r.router, r.links, memory.NewController(h, 100, 1<<20), most)
	r.front.Ready()
	var rows []policy.Endpoint
	for i := range 2 {
		c, err := standin.NewCache("127.0.0.1:0", func(d standin.Do) { r.came <- d })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		r.edges = append(r.edges, c)
		rows = append(rows, policy.Endpoint{Cache: r.caches.Register(fmt.Sprint("edge", i), c.Addr).Policy})
	}
	rows = append(rows, policy.Endpoint{Cache: r.caches.Register("origin", "127.0.0.1:1").Policy, Kind: 2})
	r.router.Tick(rows, true, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.listener = gated{l.(*net.TCPListener), h}
	go r.front.Accept(life, r.listener)
	t.Cleanup(func() { life.End(); l.Close(); r.front.Cut() })
	return r
}

func (r *rig) connect() net.Conn {
	c, err := net.Dial("tcp", r.listener.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func (r *rig) text(kind string, more ...string) string {
	r.ids++
	return fmt.Sprintf("GET /call/%s/o HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\n%s\r\n", kind, r.ids, strings.Join(more, ""))
}

func (r *rig) ask(kind string, more ...string) net.Conn {
	c := r.connect()
	io.WriteString(c, r.text(kind, more...))
	return c
}

func (r *rig) until(what string, true func() bool) {
	r.t.Helper()
	for end := time.Now().Add(6 * time.Second); !true(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatal("no ", what)
		}
	}
}

func (r *rig) open(n int) {
	r.t.Helper()
	r.until(fmt.Sprint(n, " lookups open"), func() bool { return r.router.OpenLookups() == n })
}

// sent waits until the module counts so many sends and none waits to be picked.
func (r *rig) sent(n int) {
	r.t.Helper()
	r.until(fmt.Sprint(n, " sends out"), func() bool { out, queued := r.router.InFlight(); return out == n && queued == 0 })
}

func (r *rig) status(c net.Conn, want int) string {
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

func (r *rig) nothingCame() {
	r.t.Helper()
	// Whatever was written before is read before what follows on the same connection; a lookup of its own shows that.
	c := r.ask("segment")
	select {
	case d := <-r.came:
		if d.ID != fmt.Sprintf("%016x", r.ids) {
			r.t.Fatalf("%s was sent, expected only %016x", d.ID, r.ids)
		}
		d.Hit(time.Now(), "hit", "ok")
	case <-time.After(10 * time.Second):
		r.t.Fatal("the lookup after it was not sent")
	}
	r.status(c, 200)
}

// tell lists a cache in another state.
func (r *rig) tell(name string, state policy.EndpointState) {
	row := policy.Endpoint{Cache: r.caches.Find(name).Policy, State: state}
	if name == "origin" {
		row.Kind = 2
	}
	r.router.Tick([]policy.Endpoint{row}, false, nil)
}

// A send waits for its connection to come up while something ends. Nothing of it has gone out, so nothing of it goes out any more,
// also where the settings allow no giving up.
func TestSendsThatWaitForTheirConnection(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		t.Run(fmt.Sprint("their client leaves, cancelling ", cancelling), func(t *testing.T) {
			h := &held{dial: make(chan bool)}
			r := stand(t, h, cancelling, 50)
			c := r.ask("segment")
			r.sent(1)
			c.Close()
			r.open(0)
			close(h.dial)
			r.nothingCame()
		})
	}
	t.Run("their time runs out: nacked, also a side-effecting one, as it has not run", func(t *testing.T) {
		h := &held{dial: make(chan bool)}
		r := stand(t, h, false, 50)
		c := r.ask("order", "X-Allow-Ms: 150\r\n")
		r.status(c, 503)
		close(h.dial)
		r.nothingCame()
	})
	t.Run("their cache is told draining: sent to the other", func(t *testing.T) {
		h := &held{dial: make(chan bool)}
		r := stand(t, h, true, 50)
		c := r.ask("segment")
		r.sent(1)
		home, other := r.home()
		r.tell(home, policy.Draining)
		close(h.dial)
		d := r.take()
		if at := d.On.LocalAddr().String(); at != r.caches.Find(other).Addr {
			t.Errorf("sent to %s, told draining", at)
		}
		d.Hit(time.Now(), "hit", "ok")
		r.status(c, 200)
	})
	t.Run("their source is told gone: not named", func(t *testing.T) {
		h := &held{dial: make(chan bool)}
		r := stand(t, h, true, 50)
		c := r.ask("segment")
		r.sent(1)
		r.tell("origin", policy.Gone)
		close(h.dial)
		d := r.take()
		if d.Fields["from"] != "" {
			t.Errorf("filled from %q, told gone", d.Fields["from"])
		}
		d.Hit(time.Now(), "hit", "ok")
		r.status(c, 200)
	})
	t.Run("what is left is told when it goes out, not when it was decided", func(t *testing.T) {
		h := &held{dial: make(chan bool)}
		r := stand(t, h, true, 50)
		c := r.ask("segment", "X-Allow-Ms: 5000\r\n")
		r.sent(1)
		time.Sleep(60 * time.Millisecond)
		close(h.dial)
		d := r.take()
		if w := d.Fields["w"]; len(w) > 4 || w > "4945" {
			t.Errorf("w=%s, sent at least 60 ms into 5000", w)
		}
		d.Hit(time.Now(), "hit", "ok")
		r.status(c, 200)
	})
}

// A deduplicated lookup that may have run is sent again inside its window of 2 s, and the connection for that is late to come up. Past
// the window its repeat would have its effect a second time: it does not go out, and as repeats of the client would not be known
// either, the lookup fails. Inside the window it goes out.
func TestAFurtherSendWaitsPastItsWindow(t *testing.T) {
	for _, late := range []bool{true, false} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			h := &held{dial: make(chan bool)}
			r := stand(t, h, true, 50)
			c := r.ask("berth")
			h.dial <- true
			first := r.take()
			began := time.Now() // the first send was decided before
			first.Reset()
			r.until("a second send", func() bool {
				out, queued := r.router.InFlight()
				return out == 1 && queued == 0 && r.waiting() == 1
			})
			if late {
				time.Sleep(2*time.Second - time.Since(began))
				close(h.dial)
				r.status(c, 502)
				r.nothingCame()
				return
			}
			close(h.dial)
			r.take().Hit(time.Now(), "hit", "ok")
			r.status(c, 200)
		})
	}
}

// waiting counts the sends whose connection is not up.
func (r *rig) waiting() (n int) {
	r.links.mu.Lock()
	defer r.links.mu.Unlock()
	for _, of := range r.links.by {
		for _, l := range of {
			l.mu.Lock()
			if l.conn == nil {
				n += len(l.flights)
			}
			l.mu.Unlock()
		}
	}
	return n
}

// A send waits behind one that its cache does not take, and the cache is told draining: what has begun goes on, what has not goes elsewhere.
func TestASendBehindAPeerThatTakesNothing(t *testing.T) {
	h := &held{write: make(chan bool), stuck: make(chan bool, 99)}
	r := stand(t, h, true, 50)
	first := r.ask("segment")
	<-h.stuck
	second := r.ask("segment")
	r.sent(2)
	home, other := r.home()
	r.tell(home, policy.Draining)
	close(h.write)
	at := map[string]int{}
	for range 2 {
		d := r.take()
		at[d.On.LocalAddr().String()]++
		d.Hit(time.Now(), "hit", "ok")
	}
	r.status(first, 200)
	r.status(second, 200)
	if at[r.caches.Find(home).Addr] != 1 || at[r.caches.Find(other).Addr] != 1 {
		t.Errorf("sends by cache: %v", at)
	}
}

// home is the edge that the rig's open lookup has a send at, and the other one.
func (r *rig) home() (home, other string) {
	r.t.Helper()
	r.front.links.mu.Lock()
	defer r.front.links.mu.Unlock()
	for key := range r.front.links.by {
		if home = strings.Fields(key)[0]; home == "edge0" {
			return home, "edge1"
		}
		return home, "edge0"
	}
	r.t.Fatal("no send waits")
	return
}

func (r *rig) take() standin.Do {
	r.t.Helper()
	select {
	case d := <-r.came:
		return d
	case <-time.After(10 * time.Second):
		r.t.Fatal("nothing was sent")
	}
	panic("not reached")
}

// A client that has sent a next request ahead and goes: the lookup under way is given up at once, the next never begins.
func TestAClientThatSendsAheadAndGoes(t *testing.T) {
	r := stand(t, &held{}, true, 50)
	c := r.connect()
	io.WriteString(c, r.text("segment")+r.text("segment"))
	d := r.take()
	c.Close()
	for _, e := range r.edges {
		if e.Addr != d.On.LocalAddr().String() {
			continue
		}
		select {
		case id := <-e.Undone:
			if id != d.ID {
				t.Errorf("%s undone, expected %s", id, d.ID)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("not undone")
		}
	}
	r.open(0)
	r.nothingCame()
}

// Sent ahead and answered in turn, as long as the client stays.
func TestAClientThatSendsAheadAndStays(t *testing.T) {
	r := stand(t, &held{}, true, 50)
	c := r.connect()
	io.WriteString(c, r.text("segment")+r.text("segment")+r.text("segment"))
	in := bufio.NewReader(c)
	for i := range 3 {
		want := fmt.Sprint("answer ", i)
		r.take().Hit(time.Now(), "hit", want)
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
func TestARequestThatIsThereWhenItsConnectionIsToEnd(t *testing.T) {
	for name, end := range map[string]func(r *rig){
		"a drain":                 func(r *rig) { r.front.Drain() },
		"a new one, at the bound": func(r *rig) { r.connect() },
	} {
		t.Run(name, func(t *testing.T) {
			h := &held{read: make(chan bool), asked: make(chan bool, 99)}
			r := stand(t, h, true, 1)
			c := r.connect()
			<-h.asked // its goroutine is about to read
			io.WriteString(c, r.text("segment"))
			time.Sleep(20 * time.Millisecond) // for the bytes to be in the socket
			end(r)
			r.until("a connection that is to end", func() bool {
				r.front.mu.Lock()
				defer r.front.mu.Unlock()
				for c := range r.front.clients {
					if c.ends() {
						return true
					}
				}
				return false
			})
			close(h.read)
			r.take().Hit(time.Now(), "hit", "ok")
			if body := r.status(c, 200); body != "ok" {
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
func TestConnectionsInTheBacklogWhenTheListenerCloses(t *testing.T) {
	h := &held{accept: make(chan bool)}
	r := stand(t, h, true, 50)
	var asked []net.Conn
	for range 5 {
		asked = append(asked, r.ask("segment"))
	}
	r.front.Drain()
	r.front.Shut(r.listener)
	close(h.accept)
	for range asked {
		r.take().Hit(time.Now(), "hit", "ok")
	}
	for _, c := range asked {
		r.status(c, 200)
	}
	r.front.Wait()
	if c, err := net.Dial("tcp", r.listener.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is still open")
	}
}

// A drain between two requests of a connection, the first answered and the next read: that is answered too.
func TestADrainBetweenTwoRequestsOfAConnection(t *testing.T) {
	h := &held{read: make(chan bool), asked: make(chan bool, 99)}
	r := stand(t, h, true, 50)
	c := r.connect()
	io.WriteString(c, r.text("segment")+r.text("segment"))
	h.read <- true
	first := r.take()
	<-h.asked
	<-h.asked // with the next request read, its goroutine is about to read on
	first.Hit(time.Now(), "hit", "first")
	in := bufio.NewReader(c)
	got, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.ReadAll(got.Body)
	r.open(0)
	r.front.Drain()
	close(h.read)
	r.take().Hit(time.Now(), "hit", "second")
	if got, err = http.ReadResponse(in, nil); err != nil {
		t.Fatal(err)
	}
	if body, _ := io.ReadAll(got.Body); string(body) != "second" || !got.Close {
		t.Errorf("got %q, closes %v", body, got.Close)
	}
}

// An answer older than a purge that was told past its grace has run: a side-effecting lookup is not sent a second time for it.
func TestAnOutdatedAnswerHasRun(t *testing.T) {
	r := stand(t, &held{}, true, 50)
	c := r.ask("order")
	d := r.take()
	r.purges.Record("o", 0, time.Now())
	time.Sleep(2 * time.Millisecond) // the purge's grace is none
	d.Hit(time.Now().Add(-time.Minute), "hit", "old")
	r.status(c, 502)
	if len(r.came) > 0 {
		t.Error("sent again")
	}
}

// A lookup with bytes: they go on whole and unchanged, what ran at the origin brings no tag, and the room it took is given back.
func TestALookupWithBytes(t *testing.T) {
	r := stand(t, &held{}, true, 50)
	bytes := strings.Repeat("\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\x00", 4000)
	head := strings.Replace(r.text("order", fmt.Sprintf("X-Unique: u7\r\nContent-Length: %d\r\n", len(bytes))), "GET", "PUT", 1)
	c := r.connect()
	for _, piece := range []string{head, bytes[:7], bytes[7:50000], bytes[50000:] + r.text("segment")[:20]} {
		io.WriteString(c, piece)
		time.Sleep(2 * time.Millisecond)
	}
	d := r.take()
	if string(d.Body) != bytes || d.Fields["rank"] != "" || d.Fields["i"] != "u7" {
		t.Fatalf("%d bytes of %d, %v", len(d.Body), len(bytes), d.Fields)
	}
	d.On.Say(d.ID + " HIT - 4\r\ndone\r\n")
	got, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, _ := io.ReadAll(got.Body); string(body) != "done" || got.Header.Get("ETag") != "" || got.StatusCode != 200 {
		t.Errorf("status %d, %q, tag %q", got.StatusCode, body, got.Header.Get("ETag"))
	}
	r.until("room given back", func() bool {
		if !r.front.room.ReserveBytes(1 << 20) {
			return false
		}
		r.front.room.ReleaseBytes(1 << 20)
		return true
	})
	t.Run("not for an object kind that is kept", func(t *testing.T) {
		c := r.connect()
		io.WriteString(c, strings.Replace(r.text("segment", "Content-Length: 2\r\n"), "GET", "PUT", 1)+"no")
		r.status(c, 405)
	})
	t.Run("past the room for bytes it is nacked", func(t *testing.T) {
		c := r.connect()
		r.front.room.ReserveBytes(1 << 20)
		defer r.front.room.ReleaseBytes(1 << 20)
		io.WriteString(c, strings.Replace(r.text("order", "Content-Length: 200000\r\n"), "GET", "PUT", 1))
		r.status(c, 503)
	})
	t.Run("half of them and the end: nothing is sent, the room is given back", func(t *testing.T) {
		c := r.connect()
		io.WriteString(c, strings.Replace(r.text("order", "Content-Length: 200000\r\n"), "GET", "PUT", 1)+"half")
		c.Close()
		r.until("room given back", func() bool {
			if !r.front.room.ReserveBytes(1 << 20) {
				return false
			}
			r.front.room.ReleaseBytes(1 << 20)
			return true
		})
		r.nothingCame()
	})
	t.Run("a copy that tells no tag is none for a kind that is kept", func(t *testing.T) {
		c := r.ask("segment")
		d := r.take()
		d.On.Say(d.ID + " HIT - 4\r\ndone\r\n")
		r.take().Hit(time.Now(), "hit", "whole")
		if body := r.status(c, 200); body != "whole" {
			t.Errorf("got %q", body)
		}
	})
}

// An answer with Connection: close to a client that reads it late and sends something more meanwhile: the answer comes whole. A close
// over what the client sends on would have the system reset the connection and drop what the client has not taken.
func TestTheTailOfAnAnswerBehindAClose(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 15000)
	for _, drain := range []bool{false, true} {
		for _, ahead := range []bool{false, true} {
			t.Run(fmt.Sprint("a drain ", drain, ", bytes sent ahead ", ahead), func(t *testing.T) {
				r := stand(t, &held{}, true, 50)
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
				io.WriteString(c, r.text("segment", asks))
				do := r.take()
				if drain {
					r.front.Drain()
				}
				if ahead {
					io.WriteString(c, r.text("segment")+"GET /call/")
					time.Sleep(20 * time.Millisecond)
				}
				do.Hit(time.Now(), "hit", body)
				r.open(0)
				r.until("an answer that is out", func() bool {
					r.front.mu.Lock()
					defer r.front.mu.Unlock()
					for c := range r.front.clients {
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
				if got := r.status(c, 200); got != body {
					t.Errorf("%d bytes of %d", len(got), len(body))
				}
				c.Close()
				r.until("an end of its lingering", func() bool { return r.front.Load() == 0 })
			})
		}
	}
}

// A client that has its last answer and stays: it lingers for a second at most, and a new client gets its place at once.
func TestAClientThatStaysBehindAClose(t *testing.T) {
	r := stand(t, &held{}, true, 1)
	c := r.ask("segment", "Connection: close\r\n")
	r.take().Hit(time.Now(), "hit", "ok")
	r.status(c, 200)
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("not ended on this side: %v", err)
	}
	began := time.Now()
	next := r.ask("segment")
	r.take().Hit(time.Now(), "hit", "ok")
	r.status(next, 200)
	if took := time.Since(began); took > slowAnswer/2 {
		t.Errorf("the next client waited %v", took)
	}
	next.Close()
	r.until("an end of the next one", func() bool { return r.front.Load() == 0 }) // not the matter here: else it may be in the way of the last
	last := r.ask("segment", "Connection: close\r\n")
	r.take().Hit(time.Now(), "hit", "ok")
	r.status(last, 200)
	r.until("an end of its lingering", func() bool { return r.front.Load() == 0 })
}
