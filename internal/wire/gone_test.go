package wire

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
)

// Every path on which an attempt of a lookup can begin, with its client gone by then: none begins (docs/ending.md).

// waitNoConns waits until the front has no connection of a client any more: whoever left has been seen to.
func (r *testbed) waitNoConns() {
	r.t.Helper()
	r.waitFor("front without clients", func() bool { return r.server.ConnCount() == 0 })
}

// waitQueued waits until the module has that many lookups without a send.
func (r *testbed) waitQueued(n int) {
	r.t.Helper()
	r.waitOpenAttempts(0)
	r.waitOpenLookups(n)
}

// tickTimes brings the module its timers, which nobody else does in these stories, until it has nothing held.
func (r *testbed) tickTimes(n int) {
	for range n {
		r.dispatcher.Tick(nil, false, nil)
		time.Sleep(10 * time.Millisecond)
	}
}

// A lookup that the module holds, here after its cache turned it away (a backoff of 30 ms): sent on while its client waits, never after.
func TestQueuedLookupWhoseClientLeaves(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprint("leaves ", leaves), func(t *testing.T) {
			r := newTestbed(t, &gatedEnv{}, true, 50)
			c := r.sendRequest("segment")
			r.nextReceived().Respond("SHED", "-")
			r.waitQueued(1)
			if leaves {
				c.Close()
				r.waitOpenLookups(0)
				r.tickTimes(8)
				r.expectNothingReceived()
				return
			}
			go r.tickTimes(8)
			r.nextReceived().Hit(time.Now(), "hit", "ok")
			r.expectStatus(c, 200)
		})
	}
}

// An attempt ends after its client left, in a way that would have another one follow at once. Where the settings allow no giving up
// the cache goes on, with a fill too: its end is taken and nothing follows.
func TestAttemptEndingAfterItsClientLeft(t *testing.T) {
	for name, end := range map[string]func(d standin.Request, reset func()){
		"a miss":            func(d standin.Request, _ func()) { d.Respond("NONE", "-") },
		"an error":          func(d standin.Request, _ func()) { d.Respond("FAULT", "-") },
		"a fill that broke": func(d standin.Request, _ func()) { d.Respond("FAULT", "note=src_broke") },
		"a reset":           func(_ standin.Request, reset func()) { reset() },
	} {
		for _, leaves := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", leaves ", leaves), func(t *testing.T) {
				r := newTestbed(t, &gatedEnv{}, false, 50)
				c := r.sendRequest("segment")
				d := r.nextReceived()
				if leaves {
					c.Close()
					r.waitNoConns()
				}
				end(d, d.Reset)
				if leaves {
					r.waitOpenLookups(0)
					r.tickTimes(4)
					r.expectNothingReceived()
					return
				}
				go r.tickTimes(8)
				r.nextReceived().Hit(time.Now(), "hit", "ok")
				r.expectStatus(c, 200)
			})
		}
	}
}

// Two clients want one object, which the cache fills once for both: the first leaves, the second has its answer.
func TestLookupQueuedBehindOneWhoseClientLeaves(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		t.Run(fmt.Sprint("cancelling ", cancelling), func(t *testing.T) {
			r := newTestbed(t, &gatedEnv{}, cancelling, 50)
			first := r.sendRequest("segment")
			one := r.nextReceived()
			second := r.sendRequest("segment")
			two := r.nextReceived()
			first.Close()
			r.waitFor("one client", func() bool { return r.server.ConnCount() == 1 })
			if !cancelling {
				one.Hit(time.Now(), "filled", "ok")
			}
			two.Hit(time.Now(), "joined", "ok")
			if body := r.expectStatus(second, 200); body != "ok" {
				t.Errorf("got %q", body)
			}
			if len(r.received) > 0 {
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
			h := &gatedEnv{blocked: make(chan bool)}
			r := newTestbed(t, h, cancelling, 50)
			goes := r.sendRequest("segment")
			r.waitOpenAttempts(1)
			time.Sleep(20 * time.Millisecond) // for the connection to be up and its writers to have tried
			stays := r.sendRequest("segment") // behind it
			r.waitOpenAttempts(2)
			goes.Close()
			r.waitOpenLookups(1)
			close(h.blocked)
			d := r.nextReceived()
			if d.ID != fmt.Sprintf("%016x", r.lastID) {
				t.Fatalf("%s was sent, its client has gone", d.ID)
			}
			d.Hit(time.Now(), "hit", "ok")
			r.expectStatus(stays, 200)
			r.expectNothingReceived()
		})
	}
}

// A peer that goes on taking nothing has its connection ended, as one that stops within a line.
func TestCacheThatStaysBlocked(t *testing.T) {
	h := &gatedEnv{blocked: make(chan bool)}
	r := newTestbed(t, h, true, 50)
	c := r.sendRequest("segment")
	r.waitOpenAttempts(1)
	ls, began := r.server.pool, time.Now()
	ls.mu.Lock()
	var its *cacheConn
	for _, of := range ls.conns {
		its = of[0]
	}
	ls.mu.Unlock()
	r.waitFor("end of the connection", func() bool {
		its.mu.Lock()
		defer its.mu.Unlock()
		return its.closed
	})
	if took := time.Since(began); took < writeTimeout/2 || took > 3*writeTimeout {
		t.Errorf("ended after %v", took)
	}
	close(h.blocked)
	c.Close()
}

// A client sends more ahead than this side reads, and goes: its end is behind what nobody has read. None of its lookups begins.
func TestClientPipeliningPastTheLimitThatLeaves(t *testing.T) {
	h := &gatedEnv{idle: make(chan bool)}
	r := newTestbed(t, h, true, 50)
	c := r.connect()
	io.WriteString(c, r.requestText("segment"))
	d := r.nextReceived()
	far := strings.Builder{}
	for far.Len() < maxPipelinedBytes*3/2 {
		far.WriteString(r.requestText("segment"))
	}
	written := make(chan bool)
	go func() {
		io.WriteString(c, far.String())
		c.(*net.TCPConn).CloseWrite() // an end behind all that; a close with answers unread is a reset, which is seen at once
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("the socket does not take what is sent ahead")
	}
	// It has gone before any of that is read; after each read while a lookup is open that has time to begin.
	over, ended := make(chan bool), make(chan bool)
	go func() {
		defer close(ended)
		for {
			select {
			case h.idle <- true:
				time.Sleep(5 * time.Millisecond)
			case <-over:
				return
			}
		}
	}()
	r.waitNoConns()
	close(over)
	<-ended
	close(h.idle)
	r.waitOpenLookups(0)
	if len(r.received) > 0 {
		t.Errorf("%d were sent after %s", len(r.received), d.ID)
	}
	r.expectNothingReceived()
}

// The same client stays: what is past the bound is refused, each request has its answer, and once it has caught up it is served again.
func TestClientPipeliningPastTheLimitThatStays(t *testing.T) {
	r := newTestbed(t, &gatedEnv{}, true, 50)
	c := r.connect()
	io.WriteString(c, r.requestText("segment"))
	r.nextReceived()
	far, n := strings.Builder{}, 1
	for ; far.Len() < 3*maxPipelinedBytes; n++ {
		far.WriteString(r.requestText("segment"))
	}
	go io.WriteString(c, far.String())
	in := bufio.NewReader(c)
	done := make(chan bool)
	defer close(done)
	go func() {
		for {
			select {
			case d := <-r.received:
				d.Hit(time.Now(), "hit", "ok")
			case <-done:
				return
			}
		}
	}()
	status := func() int {
		got, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.ReadAll(got.Body)
		return got.StatusCode
	}
	by := map[int]int{}
	for range n {
		by[status()]++
	}
	if by[503] == 0 || by[503]+by[200] != n {
		t.Errorf("%d requests, answers %v", n, by)
	}
	time.Sleep(20 * time.Millisecond)
	io.WriteString(c, r.requestText("segment"))
	if got := status(); got != 200 {
		t.Errorf("once it has caught up: %d", got)
	}
}

// Clients wait to be accepted while there is no descriptor for them, send their request and go: none of it begins.
func TestClientsGoneBeforeTheyAreAccepted(t *testing.T) {
	h := &gatedEnv{accept: make(chan bool), idle: make(chan bool)}
	defer close(h.idle)
	r := newTestbed(t, h, true, 50)
	warm := r.sendRequest("segment") // its cache's connection is up, so that a send would go out at once
	h.accept <- true
	r.nextReceived().Hit(time.Now(), "hit", "ok")
	r.expectStatus(warm, 200)
	h.idle <- true
	var asked []net.Conn
	for range 20 {
		asked = append(asked, r.sendRequest("segment"))
	}
	for _, c := range asked {
		c.Close()
	}
	h.acceptFailures.Store(1)
	close(h.accept)
	warm.Close()
	r.waitFor("clients accepted", func() bool {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		return r.server.acceptedCount == 21
	})
	r.waitNoConns()
	r.waitOpenLookups(0)
	if len(r.received) > 0 {
		t.Errorf("%d were sent", len(r.received))
	}
}
