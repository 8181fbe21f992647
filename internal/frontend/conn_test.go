package frontend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"foldslip/internal/frontend"
	"foldslip/internal/lab/testbed"
)

// A client that has sent a next request ahead and goes: the lookup under way is given up at once, the next never begins.
func TestPipeliningClientThatLeaves(t *testing.T) {
	r := testbed.New(t, &testbed.GatedEnv{}, true, 50)
	c := r.Connect()
	io.WriteString(c, r.RequestText("segment")+r.RequestText("segment"))
	d := r.NextReceived()
	c.Close()
	for _, e := range r.Edges {
		if e.Addr != d.Conn.LocalAddr().String() {
			continue
		}
		select {
		case id := <-e.Cancelled:
			if id != d.ID {
				t.Errorf("%s undone, expected %s", id, d.ID)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("not undone")
		}
	}
	r.WaitOpenLookups(0)
	r.ExpectNothingReceived()
}

// Sent ahead and answered in turn, as long as the client stays.
func TestPipeliningClientThatStays(t *testing.T) {
	r := testbed.New(t, &testbed.GatedEnv{}, true, 50)
	c := r.Connect()
	io.WriteString(c, r.RequestText("segment")+r.RequestText("segment")+r.RequestText("segment"))
	in := bufio.NewReader(c)
	for i := range 3 {
		want := fmt.Sprint("answer ", i)
		r.NextReceived().Hit(time.Now(), "hit", want)
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
func TestRequestPendingWhenItsConnectionEnds(t *testing.T) {
	for name, end := range map[string]func(r *testbed.Testbed){
		"a drain":                 func(r *testbed.Testbed) { r.Server.Drain() },
		"a new one, at the bound": func(r *testbed.Testbed) { r.Connect() },
	} {
		t.Run(name, func(t *testing.T) {
			h := &testbed.GatedEnv{ReadGate: make(chan bool), ReadWaiting: make(chan bool, 99)}
			r := testbed.New(t, h, true, 1)
			c := r.Connect()
			<-h.ReadWaiting // its goroutine is about to read
			io.WriteString(c, r.RequestText("segment"))
			time.Sleep(20 * time.Millisecond) // for the bytes to be in the socket
			end(r)
			r.WaitFor("a connection that is to end", r.Server.HasEndingConn)
			close(h.ReadGate)
			r.NextReceived().Hit(time.Now(), "hit", "ok")
			if body := r.ExpectStatus(c, 200); body != "ok" {
				t.Errorf("got %q", body)
			}
			if _, err := c.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("the connection is left open: %v", err)
			}
		})
	}
}

// A drain between two requests of a connection, the first answered and the next read: that is answered too.
func TestDrainBetweenTwoRequestsOfAConnection(t *testing.T) {
	h := &testbed.GatedEnv{ReadGate: make(chan bool), ReadWaiting: make(chan bool, 99)}
	r := testbed.New(t, h, true, 50)
	c := r.Connect()
	io.WriteString(c, r.RequestText("segment")+r.RequestText("segment"))
	h.ReadGate <- true
	first := r.NextReceived()
	<-h.ReadWaiting
	<-h.ReadWaiting // with the next request read, its goroutine is about to read on
	first.Hit(time.Now(), "hit", "first")
	in := bufio.NewReader(c)
	got, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.ReadAll(got.Body)
	r.WaitOpenLookups(0)
	r.Server.Drain()
	close(h.ReadGate)
	r.NextReceived().Hit(time.Now(), "hit", "second")
	if got, err = http.ReadResponse(in, nil); err != nil {
		t.Fatal(err)
	}
	if body, _ := io.ReadAll(got.Body); string(body) != "second" || !got.Close {
		t.Errorf("got %q, closes %v", body, got.Close)
	}
}

// An answer with Connection: close to a client that reads it late and sends something more meanwhile: the answer comes whole. A close
// over what the client sends on would have the system reset the connection and drop what the client has not taken.
func TestResponseTailArrivesAfterAClose(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 15000)
	for _, drain := range []bool{false, true} {
		for _, ahead := range []bool{false, true} {
			t.Run(fmt.Sprint("a drain ", drain, ", bytes sent ahead ", ahead), func(t *testing.T) {
				r := testbed.New(t, &testbed.GatedEnv{}, true, 50)
				d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
					raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
					return err
				}}
				c, err := d.Dial("tcp", r.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(20 * time.Second))
				asks := "Connection: close\r\n"
				if drain {
					asks = ""
				}
				io.WriteString(c, r.RequestText("segment", asks))
				do := r.NextReceived()
				if drain {
					r.Server.Drain()
				}
				if ahead {
					io.WriteString(c, r.RequestText("segment")+"GET /call/")
					time.Sleep(20 * time.Millisecond)
				}
				do.Hit(time.Now(), "hit", body)
				r.WaitOpenLookups(0)
				r.WaitFor("an answer that is out", func() bool { return !r.Server.HasBusyConn() })
				for range 3 { // the first byte after a close is answered by a reset
					io.WriteString(c, "more\r\n")
					time.Sleep(20 * time.Millisecond)
				}
				if got := r.ExpectStatus(c, 200); got != body {
					t.Errorf("%d bytes of %d", len(got), len(body))
				}
				c.Close()
				r.WaitFor("an end of its lingering", func() bool { return r.Server.ConnCount() == 0 })
			})
		}
	}
}

// A client that has its last answer and stays: it lingers for a second at most, and a new client gets its place at once.
func TestClientThatStaysOpenAfterAClose(t *testing.T) {
	r := testbed.New(t, &testbed.GatedEnv{}, true, 1)
	c := r.SendRequest("segment", "Connection: close\r\n")
	r.NextReceived().Hit(time.Now(), "hit", "ok")
	r.ExpectStatus(c, 200)
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("not ended on this side: %v", err)
	}
	began := time.Now()
	next := r.SendRequest("segment")
	r.NextReceived().Hit(time.Now(), "hit", "ok")
	r.ExpectStatus(next, 200)
	if took := time.Since(began); took > frontend.ResponseWriteSlack/2 {
		t.Errorf("the next client waited %v", took)
	}
	next.Close()
	r.WaitFor("an end of the next one", func() bool { return r.Server.ConnCount() == 0 }) // not the matter here: else it may be in the way of the last
	last := r.SendRequest("segment", "Connection: close\r\n")
	r.NextReceived().Hit(time.Now(), "hit", "ok")
	r.ExpectStatus(last, 200)
	r.WaitFor("an end of its lingering", func() bool { return r.Server.ConnCount() == 0 })
}

// A client sends more ahead than this side reads, and goes: its end is behind what nobody has read. None of its lookups begins.
func TestClientPipeliningPastTheLimitThatLeaves(t *testing.T) {
	h := &testbed.GatedEnv{IdleReadGate: make(chan bool)}
	r := testbed.New(t, h, true, 50)
	c := r.Connect()
	io.WriteString(c, r.RequestText("segment"))
	d := r.NextReceived()
	far := strings.Builder{}
	for far.Len() < frontend.MaxPipelinedBytes*3/2 {
		far.WriteString(r.RequestText("segment"))
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
			case h.IdleReadGate <- true:
				time.Sleep(5 * time.Millisecond)
			case <-over:
				return
			}
		}
	}()
	r.WaitNoConns()
	close(over)
	<-ended
	close(h.IdleReadGate)
	r.WaitOpenLookups(0)
	if len(r.Received) > 0 {
		t.Errorf("%d were sent after %s", len(r.Received), d.ID)
	}
	r.ExpectNothingReceived()
}

// The same client stays: what is past the bound is refused, each request has its answer, and once it has caught up it is served again.
func TestClientPipeliningPastTheLimitThatStays(t *testing.T) {
	r := testbed.New(t, &testbed.GatedEnv{}, true, 50)
	c := r.Connect()
	io.WriteString(c, r.RequestText("segment"))
	r.NextReceived()
	far, n := strings.Builder{}, 1
	for ; far.Len() < 3*frontend.MaxPipelinedBytes; n++ {
		far.WriteString(r.RequestText("segment"))
	}
	go io.WriteString(c, far.String())
	in := bufio.NewReader(c)
	done := make(chan bool)
	defer close(done)
	go func() {
		for {
			select {
			case d := <-r.Received:
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
	io.WriteString(c, r.RequestText("segment"))
	if got := status(); got != 200 {
		t.Errorf("once it has caught up: %d", got)
	}
}
