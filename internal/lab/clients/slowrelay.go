package clients

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	relayBufferBytes = 4096
	relayPieces      = 1000 // pieces that wait for their time on a connection
)

// slowRelay forwards the connections of a gateway to discovery, from two addresses. Once it is slow, what discovery
// writes arrives late. It owns its listeners and its connections; close ends them.
type slowRelay struct {
	addrs     [2]string
	listeners [2]net.Listener
	target    string
	plan      slowPlan

	mu          sync.Mutex
	conns       []net.Conn
	isSlow      bool
	isClosed    bool
	openedAt    int // connections that were open when the relay became slow
	connections int
	listBytes   int // written by discovery
}

// delayedPiece is a part of what discovery wrote.
type delayedPiece struct {
	bytes []byte
	due   time.Time
}

func newSlowRelay(target string, plan slowPlan) (*slowRelay, error) {
	r := &slowRelay{target: target, plan: plan, isSlow: plan.isFromStart}
	for i := range r.listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.close()
			return nil, err
		}
		r.listeners[i], r.addrs[i] = listener, listener.Addr().String()
		go r.acceptAll(listener)
	}
	return r, nil
}

// becomeSlow delays what discovery writes from now on.
func (r *slowRelay) becomeSlow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isSlow {
		r.isSlow = true
		r.openedAt = r.connections
	}
}

// counts returns the number of connections so far and the bytes that discovery wrote to them.
func (r *slowRelay) counts() (connections, listBytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connections, r.listBytes
}

func (r *slowRelay) close() {
	for _, listener := range r.listeners {
		if listener != nil {
			listener.Close()
		}
	}
	r.mu.Lock()
	r.isClosed = true
	open := r.conns
	r.mu.Unlock()
	for _, conn := range open {
		conn.Close()
	}
}

func (r *slowRelay) acceptAll(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			conn.Close()
			continue
		}
		r.mu.Lock()
		number := r.connections
		r.connections++
		r.conns = append(r.conns, conn, server)
		isClosed := r.isClosed
		r.mu.Unlock()
		if isClosed {
			conn.Close()
			server.Close()
			return
		}
		go func() {
			io.Copy(server, conn)
			server.Close()
		}()
		pieces := make(chan delayedPiece, relayPieces)
		go r.readPieces(server, number, pieces)
		go writePieces(conn, pieces)
	}
}

// readPieces reads what discovery writes to a connection and passes it on as the plan says.
func (r *slowRelay) readPieces(server net.Conn, number int, pieces chan<- delayedPiece) {
	defer close(pieces)
	for {
		buffer := make([]byte, relayBufferBytes)
		n, err := server.Read(buffer)
		if err != nil {
			return
		}
		readAt := time.Now()
		r.mu.Lock()
		r.listBytes += n
		isSlow, isLost := r.isSlow, r.isSlow && r.plan.isOpenSilent && number < r.openedAt
		r.mu.Unlock()
		switch {
		case isLost:
		case !isSlow:
			pieces <- delayedPiece{buffer[:n], readAt}
		default:
			for i := range r.plan.pieces {
				part := buffer[i*n/r.plan.pieces : (i+1)*n/r.plan.pieces]
				pieces <- delayedPiece{part, readAt.Add(r.plan.delay * time.Duration(i+1) / time.Duration(r.plan.pieces))}
			}
		}
	}
}

// writePieces writes each piece at its time, in order.
func writePieces(conn net.Conn, pieces <-chan delayedPiece) {
	defer conn.Close()
	for piece := range pieces {
		time.Sleep(time.Until(piece.due))
		if _, err := conn.Write(piece.bytes); err != nil {
			break
		}
	}
	for range pieces { // the reader must not wait
	}
}
