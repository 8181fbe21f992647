package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"foldslip/internal/lab/testbed"
	"foldslip/internal/policy"
	"foldslip/internal/upstream"
)

// These cases guard against attempts that are sent too late: while an attempt waits for its connection to come
// up, its client disconnects, its deadline passes, its cache drains or its source goes away. No byte of the
// attempt has been written, so it can be withdrawn or changed, even if the settings do not allow cancelling.
func TestAttemptsWaitingForTheirConnection(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		t.Run(fmt.Sprint("client disconnects, cancelling ", cancelling), func(t *testing.T) {
			gates := &testbed.GatedEnv{DialGate: make(chan bool)}
			bed := testbed.New(t, gates, cancelling, 50)
			client := bed.SendRequest("segment")
			bed.WaitOpenAttempts(1)
			client.Close()
			bed.WaitOpenLookups(0)
			close(gates.DialGate)
			bed.ExpectNothingReceived()
		})
	}
	t.Run("deadline passes: rejected, even with side effects, because it has not run", func(t *testing.T) {
		gates := &testbed.GatedEnv{DialGate: make(chan bool)}
		bed := testbed.New(t, gates, false, 50)
		client := bed.SendRequest("order", "X-Allow-Ms: 150\r\n")
		bed.ExpectStatus(client, 503)
		close(gates.DialGate)
		bed.ExpectNothingReceived()
	})
	t.Run("cache drains: sent to the other edge", func(t *testing.T) {
		gates := &testbed.GatedEnv{DialGate: make(chan bool)}
		bed := testbed.New(t, gates, true, 50)
		client := bed.SendRequest("segment")
		bed.WaitOpenAttempts(1)
		home, other := homeEdge(t, bed)
		bed.SetEndpointState(home, policy.Draining)
		close(gates.DialGate)
		request := bed.NextReceived()
		if at := request.Conn.LocalAddr().String(); at != bed.Registry.Find(other).Addr {
			t.Errorf("attempt was sent to %s, which is draining", at)
		}
		request.Hit(time.Now(), "hit", "ok")
		bed.ExpectStatus(client, 200)
	})
	t.Run("source is gone: not named in the request line", func(t *testing.T) {
		gates := &testbed.GatedEnv{DialGate: make(chan bool)}
		bed := testbed.New(t, gates, true, 50)
		client := bed.SendRequest("segment")
		bed.WaitOpenAttempts(1)
		bed.SetEndpointState("origin", policy.Gone)
		close(gates.DialGate)
		request := bed.NextReceived()
		if request.Fields["from"] != "" {
			t.Errorf("request line names source %q, which is gone", request.Fields["from"])
		}
		request.Hit(time.Now(), "hit", "ok")
		bed.ExpectStatus(client, 200)
	})
	t.Run("request line states the time left when it is written", func(t *testing.T) {
		gates := &testbed.GatedEnv{DialGate: make(chan bool)}
		bed := testbed.New(t, gates, true, 50)
		client := bed.SendRequest("segment", "X-Allow-Ms: 5000\r\n")
		bed.WaitOpenAttempts(1)
		time.Sleep(60 * time.Millisecond)
		close(gates.DialGate)
		request := bed.NextReceived()
		if w := request.Fields["w"]; len(w) > 4 || w > "4945" {
			t.Errorf("w=%s, expected less than 4945 ms, at least 60 ms after the start of 5000 ms", w)
		}
		request.Hit(time.Now(), "hit", "ok")
		bed.ExpectStatus(client, 200)
	})
}

// A deduplicated lookup that may have run is retried within its deduplication window of 2 s, and the
// connection for the retry comes up late. Past the window, a retry would have its effect a second time.
// It is not sent, and the lookup fails, because caches would not recognize a repeat by the client
// either. Within the window the retry is sent.
func TestRetryWaitingPastItsDedupWindow(t *testing.T) {
	for _, late := range []bool{true, false} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			gates := &testbed.GatedEnv{DialGate: make(chan bool)}
			bed := testbed.New(t, gates, true, 50)
			client := bed.SendRequest("berth")
			gates.DialGate <- true
			first := bed.NextReceived()
			startedAt := time.Now() // the first attempt was decided earlier
			first.Reset()
			bed.WaitFor("a retry", func() bool {
				open, queued := bed.Dispatcher.InFlight()
				return open == 1 && queued == 0 && bed.Pool.AttemptsWithoutConn() == 1
			})
			if late {
				time.Sleep(2*time.Second - time.Since(startedAt))
				close(gates.DialGate)
				bed.ExpectStatus(client, 502)
				bed.ExpectNothingReceived()
				return
			}
			close(gates.DialGate)
			bed.NextReceived().Hit(time.Now(), "hit", "ok")
			bed.ExpectStatus(client, 200)
		})
	}
}

// An attempt waits behind another one that its cache does not accept, and the cache begins to drain. The
// attempt whose line has begun to be written stays at the cache; the other one goes to the other edge.
func TestAttemptQueuedBehindABlockedCache(t *testing.T) {
	gates := &testbed.GatedEnv{WriteGate: make(chan bool), WriteWaiting: make(chan bool, 99)}
	bed := testbed.New(t, gates, true, 50)
	first := bed.SendRequest("segment")
	<-gates.WriteWaiting
	second := bed.SendRequest("segment")
	bed.WaitOpenAttempts(2)
	home, other := homeEdge(t, bed)
	bed.SetEndpointState(home, policy.Draining)
	close(gates.WriteGate)
	attempts := map[string]int{}
	for range 2 {
		request := bed.NextReceived()
		attempts[request.Conn.LocalAddr().String()]++
		request.Hit(time.Now(), "hit", "ok")
	}
	bed.ExpectStatus(first, 200)
	bed.ExpectStatus(second, 200)
	if attempts[bed.Registry.Find(home).Addr] != 1 || attempts[bed.Registry.Find(other).Addr] != 1 {
		t.Errorf("attempts by cache: %v, expected 1 at each", attempts)
	}
}

// An attempt whose response is older than a purge in force has run. A lookup with side effects must not
// be sent a second time because of it.
func TestOutdatedResponseCountsAsRun(t *testing.T) {
	bed := testbed.New(t, &testbed.GatedEnv{}, true, 50)
	client := bed.SendRequest("order")
	request := bed.NextReceived()
	bed.Purges.Record("o", 0, time.Now())
	time.Sleep(2 * time.Millisecond) // until the purge is in force
	request.Hit(time.Now().Add(-time.Minute), "hit", "old")
	bed.ExpectStatus(client, 502)
	if len(bed.Received) > 0 {
		t.Error("the lookup was sent a second time")
	}
}

// Two clients request one object, which the cache fills once for both. The first client disconnects. The
// second must still get its response.
func TestCoalescedLookupAfterFirstClientLeaves(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		t.Run(fmt.Sprint("cancelling ", cancelling), func(t *testing.T) {
			bed := testbed.New(t, &testbed.GatedEnv{}, cancelling, 50)
			first := bed.SendRequest("segment")
			firstRequest := bed.NextReceived()
			second := bed.SendRequest("segment")
			secondRequest := bed.NextReceived()
			first.Close()
			bed.WaitFor("disconnect of the first client", func() bool { return bed.Server.ConnCount() == 1 })
			if !cancelling {
				firstRequest.Hit(time.Now(), "filled", "ok")
			}
			secondRequest.Hit(time.Now(), "joined", "ok")
			if body := bed.ExpectStatus(second, 200); body != "ok" {
				t.Errorf("body %q, expected \"ok\"", body)
			}
			if len(bed.Received) > 0 {
				t.Error("the lookup was sent a second time")
			}
		})
	}
}

// A line of which the connection has accepted no byte has not begun to be written. If its client
// disconnects, the line must not be sent when the cache reads again. The line behind it is sent.
func TestUnwrittenAttemptIsWithdrawn(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		t.Run(fmt.Sprint("cancelling ", cancelling), func(t *testing.T) {
			gates := &testbed.GatedEnv{Unblock: make(chan bool)}
			bed := testbed.New(t, gates, cancelling, 50)
			leaving := bed.SendRequest("segment")
			bed.WaitOpenAttempts(1)
			time.Sleep(20 * time.Millisecond)     // until the connection is up and a first write of the line has been tried
			staying := bed.SendRequest("segment") // queued behind it
			bed.WaitOpenAttempts(2)
			leaving.Close()
			bed.WaitOpenLookups(1)
			close(gates.Unblock)
			request := bed.NextReceived()
			if request.ID != fmt.Sprintf("%016x", bed.LastID) {
				t.Fatalf("lookup %s was sent although its client has disconnected", request.ID)
			}
			request.Hit(time.Now(), "hit", "ok")
			bed.ExpectStatus(staying, 200)
			bed.ExpectNothingReceived()
		})
	}
}

// The connection to a cache that accepts no bytes of a line is closed after the write timeout, as is one
// whose cache stops accepting bytes within a line.
func TestCacheThatStaysBlocked(t *testing.T) {
	gates := &testbed.GatedEnv{Unblock: make(chan bool)}
	bed := testbed.New(t, gates, true, 50)
	client := bed.SendRequest("segment")
	bed.WaitOpenAttempts(1)
	startedAt := time.Now()
	isClosed := bed.Pool.FirstConnIsClosed()
	bed.WaitFor("closed connection", isClosed)
	if elapsed := time.Since(startedAt); elapsed < upstream.WriteTimeout/2 || elapsed > 3*upstream.WriteTimeout {
		t.Errorf("connection closed after %v, expected about the write timeout", elapsed)
	}
	close(gates.Unblock)
	client.Close()
}

// homeEdge returns the edge that has an attempt of the testbed's open lookup, and the other edge.
func homeEdge(t *testing.T, bed *testbed.Testbed) (home, other string) {
	t.Helper()
	switch home = bed.Pool.FirstCache(); home {
	case "":
		t.Fatal("there is no connection to any edge")
	case "edge0":
		return home, "edge1"
	}
	return home, "edge0"
}
