package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"foldslip/internal/lab/testbed"
)

// With one descriptor for caches, two edges have their sends in turn: the idle connection goes.
func TestIdleCacheConnIsEvicted(t *testing.T) {
	r := testbed.New(t, &testbed.GatedEnv{}, true, 9)
	r.Pool.SetConnLimits(1, 9)
	r.ReachEachEdge()
	r.ReachEachEdge()
	if _, conns := r.Pool.Load(); conns != 1 {
		t.Errorf("%d connections to caches of 1", conns)
	}
}

// With one descriptor for caches and a send out on it, a send to the other edge ends as turned away and proves nothing of that edge;
// one to the same edge shares the connection, also past its streams.
func TestNoIdleCacheConn(t *testing.T) {
	r := testbed.New(t, &testbed.GatedEnv{}, true, 9)
	r.Pool.SetConnLimits(1, 1)
	first := r.SendRequest("segment")
	d := r.NextReceived()
	busy := d.Conn.LocalAddr().String()
	for i, e := range r.Edges {
		hasConn := r.Pool.CanPick(r.Registry.Find(fmt.Sprint("edge", i)), "1")
		if (e.Addr == busy) != (hasConn) {
			t.Errorf("edge %d, busy %v: connection %v", i, e.Addr == busy, hasConn)
		}
	}
	if _, conns := r.Pool.Load(); conns != 1 {
		t.Errorf("%d connections to caches of 1", conns)
	}
	for n := range 20 { // by chance of their names some belong to the other edge
		c := r.Connect()
		r.LastID++
		fmt.Fprintf(c, "GET /call/segment/o%d HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\n\r\n", n, r.LastID)
		r.WaitFor("send of it", func() bool { r.Dispatcher.Tick(nil, false, nil); return len(r.Received) > 0 }) // turned away, it waits for a tick
		d := r.NextReceived()
		if d.Conn.LocalAddr().String() != busy {
			t.Fatal("a second connection")
		}
		d.Hit(time.Now(), "hit", "ok")
		r.ExpectStatus(c, 200)
		c.Close()
	}
	d.Hit(time.Now(), "hit", "first")
	r.ExpectStatus(first, 200)
	if _, out := r.Dispatcher.Health(time.Now()); len(out) > 0 {
		t.Error("held for dead:", out)
	}
}
