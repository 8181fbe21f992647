package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"foldslip/internal/lab/testbed"
	"foldslip/internal/policy"
	"foldslip/internal/upstream"
)

// An attempt waits for its connection to come up while something ends. Nothing of it has gone out, so nothing of it goes out any more,
// also where the settings allow no cancelling.
func TestAttemptsWaitingForTheirConnection(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		t.Run(fmt.Sprint("their client leaves, cancelling ", cancelling), func(t *testing.T) {
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
	t.Run("their time runs out: rejected, also one with side effects, as it has not run", func(t *testing.T) {
		gates := &testbed.GatedEnv{DialGate: make(chan bool)}
		bed := testbed.New(t, gates, false, 50)
		client := bed.SendRequest("order", "X-Allow-Ms: 150\r\n")
		bed.ExpectStatus(client, 503)
		close(gates.DialGate)
		bed.ExpectNothingReceived()
	})
	t.Run("their cache drains: sent to the other", func(t *testing.T) {
		gates := &testbed.GatedEnv{DialGate: make(chan bool)}
		bed := testbed.New(t, gates, true, 50)
		client := bed.SendRequest("segment")
		bed.WaitOpenAttempts(1)
		home, other := homeEdge(t, bed)
		bed.SetEndpointState(home, policy.Draining)
		close(gates.DialGate)
		request := bed.NextReceived()
		if at := request.Conn.LocalAddr().String(); at != bed.Registry.Find(other).Addr {
			t.Errorf("sent to %s, which drains", at)
		}
		request.Hit(time.Now(), "hit", "ok")
		bed.ExpectStatus(client, 200)
	})
	t.Run("their source is gone: not named", func(t *testing.T) {
		gates := &testbed.GatedEnv{DialGate: make(chan bool)}
		bed := testbed.New(t, gates, true, 50)
		client := bed.SendRequest("segment")
		bed.WaitOpenAttempts(1)
		bed.SetEndpointState("origin", policy.Gone)
		close(gates.DialGate)
		request := bed.NextReceived()
		if request.Fields["from"] != "" {
			t.Errorf("filled from %q, which is gone", request.Fields["from"])
		}
		request.Hit(time.Now(), "hit", "ok")
		bed.ExpectStatus(client, 200)
	})
	t.Run("the time left is that when it goes out, not when it was decided", func(t *testing.T) {
		gates := &testbed.GatedEnv{DialGate: make(chan bool)}
		bed := testbed.New(t, gates, true, 50)
		client := bed.SendRequest("segment", "X-Allow-Ms: 5000\r\n")
		bed.WaitOpenAttempts(1)
		time.Sleep(60 * time.Millisecond)
		close(gates.DialGate)
		request := bed.NextReceived()
		if w := request.Fields["w"]; len(w) > 4 || w > "4945" {
			t.Errorf("w=%s, sent at least 60 ms into 5000", w)
		}
		request.Hit(time.Now(), "hit", "ok")
		bed.ExpectStatus(client, 200)
	})
}

// A deduplicated lookup that may have run is retried inside its window of 2 s, and the connection for that is late to come up. Past the
// window the retry would have its effect a second time: it does not go out, and as repeats of the client would not be known either, the
// lookup fails. Inside the window it goes out.
func TestRetryWaitingPastItsDedupWindow(t *testing.T) {
	for _, late := range []bool{true, false} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			gates := &testbed.GatedEnv{DialGate: make(chan bool)}
			bed := testbed.New(t, gates, true, 50)
			client := bed.SendRequest("berth")
			gates.DialGate <- true
			first := bed.NextReceived()
			startedAt := time.Now() // the first attempt was decided before
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

// An attempt waits behind one that its cache does not take, and the cache drains: what has begun goes on, what has not goes elsewhere.
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
		t.Errorf("attempts by cache: %v", attempts)
	}
}

// A response older than a purge in force has run: a lookup with side effects is not sent a second time for it.
func TestOutdatedResponseCountsAsRun(t *testing.T) {
	bed := testbed.New(t, &testbed.GatedEnv{}, true, 50)
	client := bed.SendRequest("order")
	request := bed.NextReceived()
	bed.Purges.Record("o", 0, time.Now())
	time.Sleep(2 * time.Millisecond) // until the purge is in force
	request.Hit(time.Now().Add(-time.Minute), "hit", "old")
	bed.ExpectStatus(client, 502)
	if len(bed.Received) > 0 {
		t.Error("sent again")
	}
}

// Two clients want one object, which the cache fills once for both: the first leaves, the second gets its response.
func TestLookupQueuedBehindOneWhoseClientLeaves(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		t.Run(fmt.Sprint("cancelling ", cancelling), func(t *testing.T) {
			bed := testbed.New(t, &testbed.GatedEnv{}, cancelling, 50)
			first := bed.SendRequest("segment")
			firstRequest := bed.NextReceived()
			second := bed.SendRequest("segment")
			secondRequest := bed.NextReceived()
			first.Close()
			bed.WaitFor("one client", func() bool { return bed.Server.ConnCount() == 1 })
			if !cancelling {
				firstRequest.Hit(time.Now(), "filled", "ok")
			}
			secondRequest.Hit(time.Now(), "joined", "ok")
			if body := bed.ExpectStatus(second, 200); body != "ok" {
				t.Errorf("got %q", body)
			}
			if len(bed.Received) > 0 {
				t.Error("sent again")
			}
		})
	}
}

// A line of which the connection has taken no byte has not begun: its client leaves, and it does not go out when the cache reads on. The
// line behind it does.
func TestAttemptOfWhichNothingWasWritten(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		t.Run(fmt.Sprint("cancelling ", cancelling), func(t *testing.T) {
			gates := &testbed.GatedEnv{Unblock: make(chan bool)}
			bed := testbed.New(t, gates, cancelling, 50)
			leaving := bed.SendRequest("segment")
			bed.WaitOpenAttempts(1)
			time.Sleep(20 * time.Millisecond)     // for the connection to be up and its line to have been tried
			staying := bed.SendRequest("segment") // behind it
			bed.WaitOpenAttempts(2)
			leaving.Close()
			bed.WaitOpenLookups(1)
			close(gates.Unblock)
			request := bed.NextReceived()
			if request.ID != fmt.Sprintf("%016x", bed.LastID) {
				t.Fatalf("%s was sent, its client has gone", request.ID)
			}
			request.Hit(time.Now(), "hit", "ok")
			bed.ExpectStatus(staying, 200)
			bed.ExpectNothingReceived()
		})
	}
}

// A cache that goes on taking nothing has its connection ended, as one that stops within a line.
func TestCacheThatStaysBlocked(t *testing.T) {
	gates := &testbed.GatedEnv{Unblock: make(chan bool)}
	bed := testbed.New(t, gates, true, 50)
	client := bed.SendRequest("segment")
	bed.WaitOpenAttempts(1)
	startedAt := time.Now()
	isClosed := bed.Pool.FirstConnIsClosed()
	bed.WaitFor("end of the connection", isClosed)
	if elapsed := time.Since(startedAt); elapsed < upstream.WriteTimeout/2 || elapsed > 3*upstream.WriteTimeout {
		t.Errorf("ended after %v", elapsed)
	}
	close(gates.Unblock)
	client.Close()
}

// homeEdge is the edge that the testbed's open lookup has an attempt at, and the other one.
func homeEdge(t *testing.T, bed *testbed.Testbed) (home, other string) {
	t.Helper()
	switch home = bed.Pool.FirstCache(); home {
	case "":
		t.Fatal("no attempt waits")
	case "edge0":
		return home, "edge1"
	}
	return home, "edge0"
}
