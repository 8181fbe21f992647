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

// A client that has sent a next request ahead and leaves: the open lookup is given up at once, the next never begins.
func TestPipeliningClientThatLeaves(t *testing.T) {
	bed := testbed.New(t, &testbed.GatedEnv{}, true, 50)
	client := bed.Connect()
	io.WriteString(client, bed.RequestText("segment")+bed.RequestText("segment"))
	request := bed.NextReceived()
	client.Close()
	for _, edge := range bed.Edges {
		if edge.Addr != request.Conn.LocalAddr().String() {
			continue
		}
		select {
		case id := <-edge.Cancelled:
			if id != request.ID {
				t.Errorf("%s cancelled, expected %s", id, request.ID)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("not cancelled")
		}
	}
	bed.WaitOpenLookups(0)
	bed.ExpectNothingReceived()
}

// Requests that are sent ahead are answered in turn, as long as the client stays.
func TestPipeliningClientThatStays(t *testing.T) {
	bed := testbed.New(t, &testbed.GatedEnv{}, true, 50)
	client := bed.Connect()
	io.WriteString(client, bed.RequestText("segment")+bed.RequestText("segment")+bed.RequestText("segment"))
	in := bufio.NewReader(client)
	for i := range 3 {
		want := fmt.Sprint("answer ", i)
		bed.NextReceived().Hit(time.Now(), "hit", want)
		got, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(got.Body); string(body) != want {
			t.Errorf("got %q, expected %q", body, want)
		}
	}
}

// A request has come completely and has not been read when this side wants to end the connection: it is read and answered.
func TestRequestPendingWhenItsConnectionEnds(t *testing.T) {
	for name, end := range map[string]func(bed *testbed.Testbed){
		"a drain":                 func(bed *testbed.Testbed) { bed.Server.Drain() },
		"a new one, at the bound": func(bed *testbed.Testbed) { bed.Connect() },
	} {
		t.Run(name, func(t *testing.T) {
			gates := &testbed.GatedEnv{ReadGate: make(chan bool), ReadWaiting: make(chan bool, 99)}
			bed := testbed.New(t, gates, true, 1)
			client := bed.Connect()
			<-gates.ReadWaiting // its goroutine is about to read
			io.WriteString(client, bed.RequestText("segment"))
			time.Sleep(20 * time.Millisecond) // for the bytes to be in the socket
			end(bed)
			bed.WaitFor("a connection that is to end", bed.Server.HasEndingConn)
			close(gates.ReadGate)
			bed.NextReceived().Hit(time.Now(), "hit", "ok")
			if body := bed.ExpectStatus(client, 200); body != "ok" {
				t.Errorf("got %q", body)
			}
			if _, err := client.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("the connection is left open: %v", err)
			}
		})
	}
}

// A drain between two requests of a connection, the first answered and the next read: that is answered too.
func TestDrainBetweenTwoRequestsOfAConnection(t *testing.T) {
	gates := &testbed.GatedEnv{ReadGate: make(chan bool), ReadWaiting: make(chan bool, 99)}
	bed := testbed.New(t, gates, true, 50)
	client := bed.Connect()
	io.WriteString(client, bed.RequestText("segment")+bed.RequestText("segment"))
	gates.ReadGate <- true
	first := bed.NextReceived()
	<-gates.ReadWaiting
	<-gates.ReadWaiting // with the next request read, its goroutine is about to read on
	first.Hit(time.Now(), "hit", "first")
	in := bufio.NewReader(client)
	got, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.ReadAll(got.Body)
	bed.WaitOpenLookups(0)
	bed.Server.Drain()
	close(gates.ReadGate)
	bed.NextReceived().Hit(time.Now(), "hit", "second")
	if got, err = http.ReadResponse(in, nil); err != nil {
		t.Fatal(err)
	}
	if body, _ := io.ReadAll(got.Body); string(body) != "second" || !got.Close {
		t.Errorf("got %q, closes %v", body, got.Close)
	}
}

// A response with Connection: close to a client that reads it late and sends something more meanwhile comes completely. A close over what
// the client still sends would have the system reset the connection and drop what the client has not taken.
func TestResponseTailArrivesAfterAClose(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 15000)
	for _, drains := range []bool{false, true} {
		for _, sendsAhead := range []bool{false, true} {
			t.Run(fmt.Sprint("a drain ", drains, ", bytes sent ahead ", sendsAhead), func(t *testing.T) {
				bed := testbed.New(t, &testbed.GatedEnv{}, true, 50)
				dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
					raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
					return err
				}}
				client, err := dialer.Dial("tcp", bed.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer client.Close()
				client.SetDeadline(time.Now().Add(20 * time.Second))
				closeField := "Connection: close\r\n"
				if drains {
					closeField = ""
				}
				io.WriteString(client, bed.RequestText("segment", closeField))
				request := bed.NextReceived()
				if drains {
					bed.Server.Drain()
				}
				if sendsAhead {
					io.WriteString(client, bed.RequestText("segment")+"GET /call/")
					time.Sleep(20 * time.Millisecond)
				}
				request.Hit(time.Now(), "hit", body)
				bed.WaitOpenLookups(0)
				bed.WaitFor("a response that is out", func() bool { return !bed.Server.HasBusyConn() })
				for range 3 { // the first byte after a close is answered by a reset
					io.WriteString(client, "more\r\n")
					time.Sleep(20 * time.Millisecond)
				}
				if got := bed.ExpectStatus(client, 200); got != body {
					t.Errorf("%d bytes of %d", len(got), len(body))
				}
				client.Close()
				bed.WaitFor("an end of its lingering close", func() bool { return bed.Server.ConnCount() == 0 })
			})
		}
	}
}

// A client that has its last response and stays open: its connection ends within a second, and a new client gets its place at once.
func TestClientThatStaysOpenAfterAClose(t *testing.T) {
	bed := testbed.New(t, &testbed.GatedEnv{}, true, 1)
	client := bed.SendRequest("segment", "Connection: close\r\n")
	bed.NextReceived().Hit(time.Now(), "hit", "ok")
	bed.ExpectStatus(client, 200)
	if _, err := client.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("not ended on this side: %v", err)
	}
	startedAt := time.Now()
	next := bed.SendRequest("segment")
	bed.NextReceived().Hit(time.Now(), "hit", "ok")
	bed.ExpectStatus(next, 200)
	if elapsed := time.Since(startedAt); elapsed > frontend.ResponseWriteSlack/2 {
		t.Errorf("the next client waited %v", elapsed)
	}
	next.Close()
	bed.WaitFor("an end of the next one", func() bool { return bed.Server.ConnCount() == 0 }) // else it may be in the way of the last
	last := bed.SendRequest("segment", "Connection: close\r\n")
	bed.NextReceived().Hit(time.Now(), "hit", "ok")
	bed.ExpectStatus(last, 200)
	bed.WaitFor("an end of its lingering close", func() bool { return bed.Server.ConnCount() == 0 })
}

// A client sends more ahead than this side reads, and leaves: its end is behind what nobody has read. None of its lookups begins.
func TestClientPipeliningPastTheLimitThatLeaves(t *testing.T) {
	gates := &testbed.GatedEnv{IdleReadGate: make(chan bool)}
	bed := testbed.New(t, gates, true, 50)
	client := bed.Connect()
	io.WriteString(client, bed.RequestText("segment"))
	request := bed.NextReceived()
	pipelined := strings.Builder{}
	for pipelined.Len() < frontend.MaxPipelinedBytes*3/2 {
		pipelined.WriteString(bed.RequestText("segment"))
	}
	written := make(chan bool)
	go func() {
		io.WriteString(client, pipelined.String())
		client.(*net.TCPConn).CloseWrite() // an end behind all that; a close with responses unread is a reset, which is noticed at once
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("the socket does not take what is sent ahead")
	}
	// It has left before any of that is read; after each read while a lookup is open, a next one has time to begin.
	stop := make(chan bool)
	stopped := make(chan bool)
	go func() {
		defer close(stopped)
		for {
			select {
			case gates.IdleReadGate <- true:
				time.Sleep(5 * time.Millisecond)
			case <-stop:
				return
			}
		}
	}()
	bed.WaitNoConns()
	close(stop)
	<-stopped
	close(gates.IdleReadGate)
	bed.WaitOpenLookups(0)
	if len(bed.Received) > 0 {
		t.Errorf("%d were sent after %s", len(bed.Received), request.ID)
	}
	bed.ExpectNothingReceived()
}

// The same client stays: what is past the bound is refused, each request gets a response, and once it has caught up it is served again.
func TestClientPipeliningPastTheLimitThatStays(t *testing.T) {
	bed := testbed.New(t, &testbed.GatedEnv{}, true, 50)
	client := bed.Connect()
	io.WriteString(client, bed.RequestText("segment"))
	bed.NextReceived()
	pipelined := strings.Builder{}
	requests := 1
	for ; pipelined.Len() < 3*frontend.MaxPipelinedBytes; requests++ {
		pipelined.WriteString(bed.RequestText("segment"))
	}
	go io.WriteString(client, pipelined.String())
	in := bufio.NewReader(client)
	done := make(chan bool)
	defer close(done)
	go func() {
		for {
			select {
			case request := <-bed.Received:
				request.Hit(time.Now(), "hit", "ok")
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
	byStatus := map[int]int{}
	for range requests {
		byStatus[status()]++
	}
	if byStatus[503] == 0 || byStatus[503]+byStatus[200] != requests {
		t.Errorf("%d requests, responses %v", requests, byStatus)
	}
	time.Sleep(20 * time.Millisecond)
	io.WriteString(client, bed.RequestText("segment"))
	if got := status(); got != 200 {
		t.Errorf("once it has caught up: %d", got)
	}
}
