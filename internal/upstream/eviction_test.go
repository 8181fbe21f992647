package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"foldslip/internal/lab/testbed"
)

// With one connection to caches allowed, two edges get attempts in turn: the idle connection is closed.
func TestIdleCacheConnIsEvicted(t *testing.T) {
	bed := testbed.New(t, &testbed.GatedEnv{}, true, 9)
	bed.Pool.SetConnLimits(1, 9)
	bed.ReachEachEdge()
	bed.ReachEachEdge()
	if _, conns := bed.Pool.Load(); conns != 1 {
		t.Errorf("%d connections to caches of 1", conns)
	}
}

// With one connection to caches allowed and an attempt on it, an attempt to the other edge ends as rejected and proves nothing of that
// edge; one to the same edge shares the connection, also past its streams.
func TestNoIdleCacheConn(t *testing.T) {
	bed := testbed.New(t, &testbed.GatedEnv{}, true, 9)
	bed.Pool.SetConnLimits(1, 1)
	first := bed.SendRequest("segment")
	request := bed.NextReceived()
	busy := request.Conn.LocalAddr().String()
	for i, edge := range bed.Edges {
		hasConn := bed.Pool.CanPick(bed.Registry.Find(fmt.Sprint("edge", i)), "1")
		if (edge.Addr == busy) != hasConn {
			t.Errorf("edge %d, busy %v: connection %v", i, edge.Addr == busy, hasConn)
		}
	}
	if _, conns := bed.Pool.Load(); conns != 1 {
		t.Errorf("%d connections to caches of 1", conns)
	}
	for n := range 20 { // by their names some belong to the other edge
		client := bed.Connect()
		bed.LastID++
		fmt.Fprintf(client, "GET /call/segment/o%d HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\n\r\n", n, bed.LastID)
		bed.WaitFor("attempt of it", func() bool {
			bed.Dispatcher.Tick(nil, false, nil) // a rejected attempt is retried at a tick
			return len(bed.Received) > 0
		})
		next := bed.NextReceived()
		if next.Conn.LocalAddr().String() != busy {
			t.Fatal("a second connection")
		}
		next.Hit(time.Now(), "hit", "ok")
		bed.ExpectStatus(client, 200)
		client.Close()
	}
	request.Hit(time.Now(), "hit", "first")
	bed.ExpectStatus(first, 200)
	if _, ejected := bed.Dispatcher.Health(time.Now()); len(ejected) > 0 {
		t.Error("ejected:", ejected)
	}
}
