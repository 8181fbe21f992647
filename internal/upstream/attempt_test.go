package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"foldslip/internal/lab/testbed"
	"foldslip/internal/policy"
	"foldslip/internal/upstream"
)

// A send waits for its connection to come up while something ends. Nothing of it has gone out, so nothing of it goes out any more,
// also where the settings allow no giving up.
func TestAttemptsWaitingForTheirConnection(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		t.Run(fmt.Sprint("their client leaves, cancelling ", cancelling), func(t *testing.T) {
			h := &testbed.GatedEnv{DialGate: make(chan bool)}
			r := testbed.New(t, h, cancelling, 50)
			c := r.SendRequest("segment")
			r.WaitOpenAttempts(1)
			c.Close()
			r.WaitOpenLookups(0)
			close(h.DialGate)
			r.ExpectNothingReceived()
		})
	}
	t.Run("their time runs out: nacked, also a side-effecting one, as it has not run", func(t *testing.T) {
		h := &testbed.GatedEnv{DialGate: make(chan bool)}
		r := testbed.New(t, h, false, 50)
		c := r.SendRequest("order", "X-Allow-Ms: 150\r\n")
		r.ExpectStatus(c, 503)
		close(h.DialGate)
		r.ExpectNothingReceived()
	})
	t.Run("their cache is told draining: sent to the other", func(t *testing.T) {
		h := &testbed.GatedEnv{DialGate: make(chan bool)}
		r := testbed.New(t, h, true, 50)
		c := r.SendRequest("segment")
		r.WaitOpenAttempts(1)
		home, other := homeEdge(t, r)
		r.SetEndpointState(home, policy.Draining)
		close(h.DialGate)
		d := r.NextReceived()
		if at := d.Conn.LocalAddr().String(); at != r.Registry.Find(other).Addr {
			t.Errorf("sent to %s, told draining", at)
		}
		d.Hit(time.Now(), "hit", "ok")
		r.ExpectStatus(c, 200)
	})
	t.Run("their source is told gone: not named", func(t *testing.T) {
		h := &testbed.GatedEnv{DialGate: make(chan bool)}
		r := testbed.New(t, h, true, 50)
		c := r.SendRequest("segment")
		r.WaitOpenAttempts(1)
		r.SetEndpointState("origin", policy.Gone)
		close(h.DialGate)
		d := r.NextReceived()
		if d.Fields["from"] != "" {
			t.Errorf("filled from %q, told gone", d.Fields["from"])
		}
		d.Hit(time.Now(), "hit", "ok")
		r.ExpectStatus(c, 200)
	})
	t.Run("what is left is told when it goes out, not when it was decided", func(t *testing.T) {
		h := &testbed.GatedEnv{DialGate: make(chan bool)}
		r := testbed.New(t, h, true, 50)
		c := r.SendRequest("segment", "X-Allow-Ms: 5000\r\n")
		r.WaitOpenAttempts(1)
		time.Sleep(60 * time.Millisecond)
		close(h.DialGate)
		d := r.NextReceived()
		if w := d.Fields["w"]; len(w) > 4 || w > "4945" {
			t.Errorf("w=%s, sent at least 60 ms into 5000", w)
		}
		d.Hit(time.Now(), "hit", "ok")
		r.ExpectStatus(c, 200)
	})
}

// A deduplicated lookup that may have run is sent again inside its window of 2 s, and the connection for that is late to come up. Past
// the window its repeat would have its effect a second time: it does not go out, and as repeats of the client would not be known
// either, the lookup fails. Inside the window it goes out.
func TestRetryWaitingPastItsDedupWindow(t *testing.T) {
	for _, late := range []bool{true, false} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			h := &testbed.GatedEnv{DialGate: make(chan bool)}
			r := testbed.New(t, h, true, 50)
			c := r.SendRequest("berth")
			h.DialGate <- true
			first := r.NextReceived()
			began := time.Now() // the first send was decided before
			first.Reset()
			r.WaitFor("a second send", func() bool {
				out, queued := r.Dispatcher.InFlight()
				return out == 1 && queued == 0 && r.Pool.AttemptsWithoutConn() == 1
			})
			if late {
				time.Sleep(2*time.Second - time.Since(began))
				close(h.DialGate)
				r.ExpectStatus(c, 502)
				r.ExpectNothingReceived()
				return
			}
			close(h.DialGate)
			r.NextReceived().Hit(time.Now(), "hit", "ok")
			r.ExpectStatus(c, 200)
		})
	}
}

// A send waits behind one that its cache does not take, and the cache is told draining: what has begun goes on, what has not goes elsewhere.
func TestAttemptQueuedBehindABlockedCache(t *testing.T) {
	h := &testbed.GatedEnv{WriteGate: make(chan bool), WriteWaiting: make(chan bool, 99)}
	r := testbed.New(t, h, true, 50)
	first := r.SendRequest("segment")
	<-h.WriteWaiting
	second := r.SendRequest("segment")
	r.WaitOpenAttempts(2)
	home, other := homeEdge(t, r)
	r.SetEndpointState(home, policy.Draining)
	close(h.WriteGate)
	at := map[string]int{}
	for range 2 {
		d := r.NextReceived()
		at[d.Conn.LocalAddr().String()]++
		d.Hit(time.Now(), "hit", "ok")
	}
	r.ExpectStatus(first, 200)
	r.ExpectStatus(second, 200)
	if at[r.Registry.Find(home).Addr] != 1 || at[r.Registry.Find(other).Addr] != 1 {
		t.Errorf("sends by cache: %v", at)
	}
}

// An answer older than a purge that was told past its grace has run: a side-effecting lookup is not sent a second time for it.
func TestOutdatedResponseCountsAsRun(t *testing.T) {
	r := testbed.New(t, &testbed.GatedEnv{}, true, 50)
	c := r.SendRequest("order")
	d := r.NextReceived()
	r.Purges.Record("o", 0, time.Now())
	time.Sleep(2 * time.Millisecond) // the purge's grace is none
	d.Hit(time.Now().Add(-time.Minute), "hit", "old")
	r.ExpectStatus(c, 502)
	if len(r.Received) > 0 {
		t.Error("sent again")
	}
}

// Two clients want one object, which the cache fills once for both: the first leaves, the second has its answer.
func TestLookupQueuedBehindOneWhoseClientLeaves(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		t.Run(fmt.Sprint("cancelling ", cancelling), func(t *testing.T) {
			r := testbed.New(t, &testbed.GatedEnv{}, cancelling, 50)
			first := r.SendRequest("segment")
			one := r.NextReceived()
			second := r.SendRequest("segment")
			two := r.NextReceived()
			first.Close()
			r.WaitFor("one client", func() bool { return r.Server.ConnCount() == 1 })
			if !cancelling {
				one.Hit(time.Now(), "filled", "ok")
			}
			two.Hit(time.Now(), "joined", "ok")
			if body := r.ExpectStatus(second, 200); body != "ok" {
				t.Errorf("got %q", body)
			}
			if len(r.Received) > 0 {
				t.Error("sent again")
			}
		})
	}
}

// A line of which the connection has taken no byte has not begun: its client leaves, and it does not go out when the peer reads on.
// The one before it has nothing to do with that.
func TestAttemptOfWhichNothingWasWritten(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		t.Run(fmt.Sprint("cancelling ", cancelling), func(t *testing.T) {
			h := &testbed.GatedEnv{Unblock: make(chan bool)}
			r := testbed.New(t, h, cancelling, 50)
			goes := r.SendRequest("segment")
			r.WaitOpenAttempts(1)
			time.Sleep(20 * time.Millisecond) // for the connection to be up and its writers to have tried
			stays := r.SendRequest("segment") // behind it
			r.WaitOpenAttempts(2)
			goes.Close()
			r.WaitOpenLookups(1)
			close(h.Unblock)
			d := r.NextReceived()
			if d.ID != fmt.Sprintf("%016x", r.LastID) {
				t.Fatalf("%s was sent, its client has gone", d.ID)
			}
			d.Hit(time.Now(), "hit", "ok")
			r.ExpectStatus(stays, 200)
			r.ExpectNothingReceived()
		})
	}
}

// A peer that goes on taking nothing has its connection ended, as one that stops within a line.
func TestCacheThatStaysBlocked(t *testing.T) {
	h := &testbed.GatedEnv{Unblock: make(chan bool)}
	r := testbed.New(t, h, true, 50)
	c := r.SendRequest("segment")
	r.WaitOpenAttempts(1)
	began := time.Now()
	isClosed := r.Pool.FirstConnIsClosed()
	r.WaitFor("end of the connection", isClosed)
	if took := time.Since(began); took < upstream.WriteTimeout/2 || took > 3*upstream.WriteTimeout {
		t.Errorf("ended after %v", took)
	}
	close(h.Unblock)
	c.Close()
}

// homeEdge is the edge that the testbed's open lookup has an attempt at, and the other one.
func homeEdge(t *testing.T, r *testbed.Testbed) (home, other string) {
	t.Helper()
	switch home = r.Pool.FirstCache(); home {
	case "":
		t.Fatal("no attempt waits")
	case "edge0":
		return home, "edge1"
	}
	return home, "edge0"
}
