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

// gone waits until the front has no connection of a client any more: whoever left has been seen to.
func (r *rig) gone() {
	r.t.Helper()
	r.until("front without clients", func() bool { return r.front.Load() == 0 })
}

// held waits until the module has that many lookups without a send.
func (r *rig) held(n int) {
	r.t.Helper()
	r.sent(0)
	r.open(n)
}

// tick brings the module its timers, which nobody else does in these stories, until it has nothing held.
func (r *rig) tick(n int) {
	for range n {
		r.router.Tick(nil, false, nil)
		time.Sleep(10 * time.Millisecond)
	}
}

// A lookup that the module holds, here after its cache turned it away (a backoff of 30 ms): sent on while its client waits, never after.
func TestAHeldLookupWhoseClientLeaves(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprint("leaves ", leaves), func(t *testing.T) {
			r := stand(t, &held{}, true, 50)
			c := r.ask("segment")
			r.take().End("SHED", "-")
			r.held(1)
			if leaves {
				c.Close()
				r.open(0)
				r.tick(8)
				r.nothingCame()
				return
			}
			go r.tick(8)
			r.take().Hit(time.Now(), "hit", "ok")
			r.status(c, 200)
		})
	}
}

// An attempt ends after its client left, in a way that would have another one follow at once. Where the settings allow no giving up
// the cache goes on, with a fill too: its end is taken and nothing follows.
func TestAnAttemptThatEndsAfterItsClientLeft(t *testing.T) {
	for name, end := range map[string]func(d standin.Do, reset func()){
		"a miss":            func(d standin.Do, _ func()) { d.End("NONE", "-") },
		"an error":          func(d standin.Do, _ func()) { d.End("FAULT", "-") },
		"a fill that broke": func(d standin.Do, _ func()) { d.End("FAULT", "note=src_broke") },
		"a reset":           func(_ standin.Do, reset func()) { reset() },
	} {
		for _, leaves := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", leaves ", leaves), func(t *testing.T) {
				r := stand(t, &held{}, false, 50)
				c := r.ask("segment")
				d := r.take()
				if leaves {
					c.Close()
					r.gone()
				}
				end(d, d.Reset)
				if leaves {
					r.open(0)
					r.tick(4)
					r.nothingCame()
					return
				}
				go r.tick(8)
				r.take().Hit(time.Now(), "hit", "ok")
				r.status(c, 200)
			})
		}
	}
}

// Two clients want one object, which the cache fills once for both: the first leaves, the second has its answer.
func TestALookupBehindAnothersWhoseClientLeaves(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		t.Run(fmt.Sprint("cancelling ", cancelling), func(t *testing.T) {
			r := stand(t, &held{}, cancelling, 50)
			first := r.ask("segment")
			one := r.take()
			second := r.ask("segment")
			two := r.take()
			first.Close()
			r.until("one client", func() bool { return r.front.Load() == 1 })
			if !cancelling {
				one.Hit(time.Now(), "filled", "ok")
			}
			two.Hit(time.Now(), "joined", "ok")
			if body := r.status(second, 200); body != "ok" {
				t.Errorf("got %q", body)
			}
			if len(r.came) > 0 {
				t.Error("sent again")
			}
		})
	}
}

// A line of which the connection has taken no byte has not begun: its client leaves, and it does not go out when the peer reads on.
// The one before it has nothing to do with that.
func TestASendOfWhichThePeerHasTakenNothing(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		t.Run(fmt.Sprint("cancelling ", cancelling), func(t *testing.T) {
			h := &held{deaf: make(chan bool)}
			r := stand(t, h, cancelling, 50)
			goes := r.ask("segment")
			r.sent(1)
			time.Sleep(20 * time.Millisecond) // for the connection to be up and its writers to have tried
			stays := r.ask("segment")         // behind it
			r.sent(2)
			goes.Close()
			r.open(1)
			close(h.deaf)
			d := r.take()
			if d.ID != fmt.Sprintf("%016x", r.ids) {
				t.Fatalf("%s was sent, its client has gone", d.ID)
			}
			d.Hit(time.Now(), "hit", "ok")
			r.status(stays, 200)
			r.nothingCame()
		})
	}
}

// A peer that goes on taking nothing has its connection ended, as one that stops within a line.
func TestAPeerThatGoesOnTakingNothing(t *testing.T) {
	h := &held{deaf: make(chan bool)}
	r := stand(t, h, true, 50)
	c := r.ask("segment")
	r.sent(1)
	ls, began := r.front.links, time.Now()
	ls.mu.Lock()
	var its *link
	for _, of := range ls.by {
		its = of[0]
	}
	ls.mu.Unlock()
	r.until("end of the connection", func() bool {
		its.mu.Lock()
		defer its.mu.Unlock()
		return its.dead
	})
	if took := time.Since(began); took < writeWithin/2 || took > 3*writeWithin {
		t.Errorf("ended after %v", took)
	}
	close(h.deaf)
	c.Close()
}

// A client sends more ahead than this side reads, and goes: its end is behind what nobody has read. None of its lookups begins.
func TestAClientThatSendsFarAheadAndGoes(t *testing.T) {
	h := &held{idle: make(chan bool)}
	r := stand(t, h, true, 50)
	c := r.connect()
	io.WriteString(c, r.text("segment"))
	d := r.take()
	far := strings.Builder{}
	for far.Len() < mostAhead*3/2 {
		far.WriteString(r.text("segment"))
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
	r.gone()
	close(over)
	<-ended
	close(h.idle)
	r.open(0)
	if len(r.came) > 0 {
		t.Errorf("%d were sent after %s", len(r.came), d.ID)
	}
	r.nothingCame()
}

// The same client stays: what is past the bound is refused, each request has its answer, and once it has caught up it is served again.
func TestAClientThatSendsFarAheadAndStays(t *testing.T) {
	r := stand(t, &held{}, true, 50)
	c := r.connect()
	io.WriteString(c, r.text("segment"))
	r.take()
	far, n := strings.Builder{}, 1
	for ; far.Len() < 3*mostAhead; n++ {
		far.WriteString(r.text("segment"))
	}
	go io.WriteString(c, far.String())
	in := bufio.NewReader(c)
	done := make(chan bool)
	defer close(done)
	go func() {
		for {
			select {
			case d := <-r.came:
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
	io.WriteString(c, r.text("segment"))
	if got := status(); got != 200 {
		t.Errorf("once it has caught up: %d", got)
	}
}

// Clients wait to be accepted while there is no descriptor for them, send their request and go: none of it begins.
func TestClientsThatGoBeforeTheyAreAccepted(t *testing.T) {
	h := &held{accept: make(chan bool), idle: make(chan bool)}
	defer close(h.idle)
	r := stand(t, h, true, 50)
	warm := r.ask("segment") // its cache's connection is up, so that a send would go out at once
	h.accept <- true
	r.take().Hit(time.Now(), "hit", "ok")
	r.status(warm, 200)
	h.idle <- true
	var asked []net.Conn
	for range 20 {
		asked = append(asked, r.ask("segment"))
	}
	for _, c := range asked {
		c.Close()
	}
	h.failed.Store(1)
	close(h.accept)
	warm.Close()
	r.until("clients accepted", func() bool {
		r.front.mu.Lock()
		defer r.front.mu.Unlock()
		return r.front.count == 21
	})
	r.gone()
	r.open(0)
	if len(r.came) > 0 {
		t.Errorf("%d were sent", len(r.came))
	}
}
