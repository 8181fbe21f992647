package wire

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"foldslip/internal/env"
)

// reachEachEdge asks for objects until each of the edges has had a send; it answers each at once.
func (r *testbed) reachEachEdge() {
	r.t.Helper()
	seen := map[string]bool{}
	for n := 0; len(seen) < len(r.edges); n++ {
		if n > 200 {
			r.t.Fatalf("%d of %d edges had a send", len(seen), len(r.edges))
		}
		c := r.connect()
		r.lastID++
		fmt.Fprintf(c, "GET /call/segment/o%d HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\nConnection: close\r\n\r\n", n, r.lastID)
		d := r.nextReceived()
		seen[d.Conn.LocalAddr().String()] = true
		d.Hit(time.Now(), "hit", "ok")
		r.expectStatus(c, 200)
	}
}

// setConnLimits leaves so many connections to caches, and sends on each before a second is wanted.
func (r *testbed) setConnLimits(conns, streams int) {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.pool.maxConns, r.pool.settings.MaxStreams = conns, streams
}

// With one descriptor for caches, two edges have their sends in turn: the idle connection goes.
func TestIdleCacheConnIsEvicted(t *testing.T) {
	r := newTestbed(t, &gatedEnv{}, true, 9)
	r.setConnLimits(1, 9)
	r.reachEachEdge()
	r.reachEachEdge()
	if _, conns := r.pool.Load(); conns != 1 {
		t.Errorf("%d connections to caches of 1", conns)
	}
}

// With one descriptor for caches and a send out on it, a send to the other edge ends as turned away and proves nothing of that edge;
// one to the same edge shares the connection, also past its streams.
func TestNoIdleCacheConn(t *testing.T) {
	r := newTestbed(t, &gatedEnv{}, true, 9)
	r.setConnLimits(1, 1)
	first := r.sendRequest("segment")
	d := r.nextReceived()
	busy := d.Conn.LocalAddr().String()
	for i, e := range r.edges {
		l := r.pool.pickConn(r.registry.Find(fmt.Sprint("edge", i)), "1")
		if (e.Addr == busy) != (l != nil) {
			t.Errorf("edge %d, busy %v: connection %v", i, e.Addr == busy, l != nil)
		}
	}
	if _, conns := r.pool.Load(); conns != 1 {
		t.Errorf("%d connections to caches of 1", conns)
	}
	for n := range 20 { // by chance of their names some belong to the other edge
		c := r.connect()
		r.lastID++
		fmt.Fprintf(c, "GET /call/segment/o%d HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\n\r\n", n, r.lastID)
		r.waitFor("send of it", func() bool { r.dispatcher.Tick(nil, false, nil); return len(r.received) > 0 }) // turned away, it waits for a tick
		d := r.nextReceived()
		if d.Conn.LocalAddr().String() != busy {
			t.Fatal("a second connection")
		}
		d.Hit(time.Now(), "hit", "ok")
		r.expectStatus(c, 200)
		c.Close()
	}
	d.Hit(time.Now(), "hit", "first")
	r.expectStatus(first, 200)
	if _, out := r.dispatcher.Health(time.Now()); len(out) > 0 {
		t.Error("held for dead:", out)
	}
}

// exhaustedListener is a listener that never has a descriptor for whoever comes: as with the kernel's, the one that waits is found again.
type exhaustedListener struct {
	net.Listener
	hasPending bool
}

func (s *exhaustedListener) Accept() (net.Conn, error) {
	if !s.hasPending {
		c, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c.Close()
		s.hasPending = true
	}
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
}

// An accept that finds no descriptor has the client go that waits longest for nothing; one with a lookup stays.
func TestAcceptWithoutDescriptors(t *testing.T) {
	h := &gatedEnv{}
	r := newTestbed(t, h, true, 9)
	busy := r.sendRequest("segment")
	d := r.nextReceived()
	idle := r.connect() // a client that may stay idle for 20 s
	fmt.Fprintf(idle, "GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
	in := bufio.NewReader(idle)
	if got, err := http.ReadResponse(in, nil); err != nil || got.StatusCode != 200 {
		t.Fatal(got, err)
	} else {
		io.Copy(io.Discard, got.Body)
	}
	idle.SetDeadline(time.Now().Add(8 * time.Second))
	r.waitFor("two clients", func() bool { return r.server.ConnCount() == 2 })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	life := env.NewLifetime(nil)
	t.Cleanup(func() { life.End(); l.Close() })
	go r.server.Serve(life, &exhaustedListener{Listener: l})
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.ReadAll(in); err != nil { // closed by the front, long before its time
		t.Error(err)
	}
	r.waitFor("client that stays alone", func() bool { return r.server.ConnCount() == 1 })
	d.Hit(time.Now(), "hit", "ok")
	r.expectStatus(busy, 200)
}
