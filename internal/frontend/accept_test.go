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

// Connections with a request wait in the accept backlog when the gateway stops accepting. They are accepted and
// answered before the listener closes.
func TestBacklogWhenTheListenerCloses(t *testing.T) {
	gates := &testbed.GatedEnv{AcceptGate: make(chan bool)}
	bed := testbed.New(t, gates, true, 50)
	var clients []net.Conn
	for range 5 {
		clients = append(clients, bed.SendRequest("segment"))
	}
	bed.Server.Drain()
	bed.Server.StopAccepting(bed.Listener)
	close(gates.AcceptGate)
	for range clients {
		bed.NextReceived().Hit(time.Now(), "hit", "ok")
	}
	for _, client := range clients {
		bed.ExpectStatus(client, 200)
	}
	bed.Server.Wait()
	if client, err := net.Dial("tcp", bed.Listener.Addr().String()); err == nil {
		client.Close()
		t.Error("the listener still accepts connections, expected it to be closed")
	}
}

// Clients connect, send a request and disconnect before they are accepted, because Accept first waits and then fails
// for lack of a descriptor. None of their lookups starts.
func TestClientsGoneBeforeTheyAreAccepted(t *testing.T) {
	gates := &testbed.GatedEnv{AcceptGate: make(chan bool), IdleReadGate: make(chan bool)}
	defer close(gates.IdleReadGate)
	bed := testbed.New(t, gates, true, 50)
	warm := bed.SendRequest("segment") // opens the connection to its cache, so that a later attempt would be sent at once
	gates.AcceptGate <- true
	bed.NextReceived().Hit(time.Now(), "hit", "ok")
	bed.ExpectStatus(warm, 200)
	gates.IdleReadGate <- true
	var clients []net.Conn
	for range 20 {
		clients = append(clients, bed.SendRequest("segment"))
	}
	for _, client := range clients {
		client.Close()
	}
	gates.AcceptFailures.Store(1)
	close(gates.AcceptGate)
	warm.Close()
	bed.WaitFor("clients accepted", func() bool { return bed.Server.AcceptedCount() == 21 })
	bed.WaitNoConns()
	bed.WaitOpenLookups(0)
	if len(bed.Received) > 0 {
		t.Errorf("%d lookups of disconnected clients were sent, expected none", len(bed.Received))
	}
}

// exhaustedListener is a listener whose Accept finds no descriptor for a new connection. As with the kernel's
// listeners, the connection stays pending and the next Accept finds it again.
type exhaustedListener struct {
	net.Listener
	hasPending bool
}

// Accept waits for a pending connection and fails with EMFILE, as accept4 does without a descriptor.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if !l.hasPending {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn.Close()
		l.hasPending = true
	}
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
}

// An Accept that finds no descriptor evicts the client that has been idle longest. A client with an open lookup keeps
// its connection.
func TestAcceptWithoutDescriptors(t *testing.T) {
	gates := &testbed.GatedEnv{}
	bed := testbed.New(t, gates, true, 9)
	busy := bed.SendRequest("segment")
	request := bed.NextReceived()
	idle := bed.Connect() // may stay idle for 20 s, the idle timeout
	fmt.Fprintf(idle, "GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
	in := bufio.NewReader(idle)
	pong, err := http.ReadResponse(in, nil)
	if err != nil || pong.StatusCode != 200 {
		t.Fatal(pong, err)
	}
	io.Copy(io.Discard, pong.Body)
	idle.SetDeadline(time.Now().Add(8 * time.Second))
	bed.WaitFor("two clients", func() bool { return bed.Server.ConnCount() == 2 })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lifetime := env.NewLifetime(nil)
	t.Cleanup(func() { lifetime.End(); listener.Close() })
	go bed.Server.Serve(lifetime, &exhaustedListener{Listener: listener})
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if _, err := io.ReadAll(in); err != nil { // the server closes the connection long before the idle timeout
		t.Error(err)
	}
	bed.WaitFor("eviction of the idle client", func() bool { return bed.Server.ConnCount() == 1 })
	request.Hit(time.Now(), "hit", "ok")
	bed.ExpectStatus(busy, 200)
}
