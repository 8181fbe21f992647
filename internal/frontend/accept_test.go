package frontend_test

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
	"foldslip/internal/lab/testbed"
)

// Connections wait to be accepted, a request on each, when the gateway wants no more: they are accepted and answered, and then the
// listener closes.
func TestBacklogWhenTheListenerCloses(t *testing.T) {
	h := &testbed.GatedEnv{AcceptGate: make(chan bool)}
	r := testbed.New(t, h, true, 50)
	var asked []net.Conn
	for range 5 {
		asked = append(asked, r.SendRequest("segment"))
	}
	r.Server.Drain()
	r.Server.StopAccepting(r.Listener)
	close(h.AcceptGate)
	for range asked {
		r.NextReceived().Hit(time.Now(), "hit", "ok")
	}
	for _, c := range asked {
		r.ExpectStatus(c, 200)
	}
	r.Server.Wait()
	if c, err := net.Dial("tcp", r.Listener.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is still open")
	}
}

// Clients wait to be accepted while there is no descriptor for them, send their request and go: none of it begins.
func TestClientsGoneBeforeTheyAreAccepted(t *testing.T) {
	h := &testbed.GatedEnv{AcceptGate: make(chan bool), IdleReadGate: make(chan bool)}
	defer close(h.IdleReadGate)
	r := testbed.New(t, h, true, 50)
	warm := r.SendRequest("segment") // its cache's connection is up, so that a send would go out at once
	h.AcceptGate <- true
	r.NextReceived().Hit(time.Now(), "hit", "ok")
	r.ExpectStatus(warm, 200)
	h.IdleReadGate <- true
	var asked []net.Conn
	for range 20 {
		asked = append(asked, r.SendRequest("segment"))
	}
	for _, c := range asked {
		c.Close()
	}
	h.AcceptFailures.Store(1)
	close(h.AcceptGate)
	warm.Close()
	r.WaitFor("clients accepted", func() bool { return r.Server.AcceptedCount() == 21 })
	r.WaitNoConns()
	r.WaitOpenLookups(0)
	if len(r.Received) > 0 {
		t.Errorf("%d were sent", len(r.Received))
	}
}

// exhaustedListener is a listener that never has a descriptor for whoever comes: as with the kernel's, the one that waits is found again.
type exhaustedListener struct {
	net.Listener
	hasPending bool
}

func (s *exhaustedListener) Accept() (net.Conn, error) {
	if !s.hasPending {
		c, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c.Close()
		s.hasPending = true
	}
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
}

// An accept that finds no descriptor has the client go that waits longest for nothing; one with a lookup stays.
func TestAcceptWithoutDescriptors(t *testing.T) {
	h := &testbed.GatedEnv{}
	r := testbed.New(t, h, true, 9)
	busy := r.SendRequest("segment")
	d := r.NextReceived()
	idle := r.Connect() // a client that may stay idle for 20 s
	fmt.Fprintf(idle, "GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
	in := bufio.NewReader(idle)
	if got, err := http.ReadResponse(in, nil); err != nil || got.StatusCode != 200 {
		t.Fatal(got, err)
	} else {
		io.Copy(io.Discard, got.Body)
	}
	idle.SetDeadline(time.Now().Add(8 * time.Second))
	r.WaitFor("two clients", func() bool { return r.Server.ConnCount() == 2 })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	life := env.NewLifetime(nil)
	t.Cleanup(func() { life.End(); l.Close() })
	go r.Server.Serve(life, &exhaustedListener{Listener: l})
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.ReadAll(in); err != nil { // closed by the front, long before its time
		t.Error(err)
	}
	r.WaitFor("client that stays alone", func() bool { return r.Server.ConnCount() == 1 })
	d.Hit(time.Now(), "hit", "ok")
	r.ExpectStatus(busy, 200)
}
