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

// toEach asks for objects until each of the edges has had a send; it answers each at once.
func (r *rig) toEach() {
	r.t.Helper()
	seen := map[string]bool{}
	for n := 0; len(seen) < len(r.edges); n++ {
		if n > 200 {
			r.t.Fatalf("%d of %d edges had a send", len(seen), len(r.edges))
		}
		c := r.connect()
		r.ids++
		fmt.Fprintf(c, "GET /call/segment/o%d HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\nConnection: close\r\n\r\n", n, r.ids)
		d := r.take()
		seen[d.On.LocalAddr().String()] = true
		d.Hit(time.Now(), "hit", "ok")
		r.status(c, 200)
	}
}

// atMost leaves so many connections to caches, and sends on each before a second is wanted.
func (r *rig) atMost(conns, streams int) {
	r.links.mu.Lock()
	defer r.links.mu.Unlock()
	r.links.most, r.links.terms.MaxStreams = conns, streams
}

// With one descriptor for caches, two edges have their sends in turn: the idle connection goes.
func TestAnIdleConnectionToACacheGivesWay(t *testing.T) {
	r := stand(t, &held{}, true, 9)
	r.atMost(1, 9)
	r.toEach()
	r.toEach()
	if _, conns := r.links.Load(); conns != 1 {
		t.Errorf("%d connections to caches of 1", conns)
	}
}

// With one descriptor for caches and a send out on it, a send to the other edge ends as turned away and proves nothing of that edge;
// one to the same edge shares the connection, also past its streams.
func TestNoIdleConnectionToACache(t *testing.T) {
	r := stand(t, &held{}, true, 9)
	r.atMost(1, 1)
	first := r.ask("segment")
	d := r.take()
	busy := d.On.LocalAddr().String()
	for i, e := range r.edges {
		l := r.links.pick(r.caches.Find(fmt.Sprint("edge", i)), "1")
		if (e.Addr == busy) != (l != nil) {
			t.Errorf("edge %d, busy %v: connection %v", i, e.Addr == busy, l != nil)
		}
	}
	if _, conns := r.links.Load(); conns != 1 {
		t.Errorf("%d connections to caches of 1", conns)
	}
	for n := range 20 { // by chance of their names some belong to the other edge
		c := r.connect()
		r.ids++
		fmt.Fprintf(c, "GET /call/segment/o%d HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\n\r\n", n, r.ids)
		r.until("send of it", func() bool { r.router.Tick(nil, false, nil); return len(r.came) > 0 }) // turned away, it waits for a tick
		d := r.take()
		if d.On.LocalAddr().String() != busy {
			t.Fatal("a second connection")
		}
		d.Hit(time.Now(), "hit", "ok")
		r.status(c, 200)
		c.Close()
	}
	d.Hit(time.Now(), "hit", "first")
	r.status(first, 200)
	if _, out := r.router.Health(time.Now()); len(out) > 0 {
		t.Error("held for dead:", out)
	}
}

// short is a listener that never has a descriptor for whoever comes: as with the kernel's, the one that waits is found again.
type short struct {
	net.Listener
	waits bool
}

func (s *short) Accept() (net.Conn, error) {
	if !s.waits {
		c, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c.Close()
		s.waits = true
	}
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
}

// An accept that finds no descriptor has the client go that waits longest for nothing; one with a lookup stays.
func TestAcceptWithoutADescriptor(t *testing.T) {
	h := &held{}
	r := stand(t, h, true, 9)
	busy := r.ask("segment")
	d := r.take()
	idle := r.connect() // a client that may stay idle for 20 s
	fmt.Fprintf(idle, "GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
	in := bufio.NewReader(idle)
	if got, err := http.ReadResponse(in, nil); err != nil || got.StatusCode != 200 {
		t.Fatal(got, err)
	} else {
		io.Copy(io.Discard, got.Body)
	}
	idle.SetDeadline(time.Now().Add(8 * time.Second))
	r.until("two clients", func() bool { return r.front.Load() == 2 })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	life := env.NewLife(nil)
	t.Cleanup(func() { life.End(); l.Close() })
	go r.front.Accept(life, &short{Listener: l})
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.ReadAll(in); err != nil { // closed by the front, long before its time
		t.Error(err)
	}
	r.until("client that stays alone", func() bool { return r.front.Load() == 1 })
	d.Hit(time.Now(), "hit", "ok")
	r.status(busy, 200)
}
