package frontend

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/linebuffer"
)

const (
	// idleTimeout bounds the time that a connection stays open without a request.
	idleTimeout = 20 * time.Second
	// requestTimeout bounds the time from the first byte of a request to its last.
	requestTimeout = 2 * time.Second
	// firstRequestTimeout bounds the time from accepting a connection to the last byte of its first request.
	firstRequestTimeout = 2500 * time.Millisecond
	// finalReadTimeout bounds the last read before the server closes a connection. A request that has just arrived is
	// still read.
	finalReadTimeout = 5 * time.Millisecond
	// evictionReadTimeout replaces finalReadTimeout while a new connection waits for the slot of this one.
	evictionReadTimeout = 200 * time.Microsecond
	// lingerTimeout bounds the lingering close after a rejected request.
	lingerTimeout = 200 * time.Millisecond
	// maxLingerBytes bounds the bytes that a lingering close reads and discards.
	maxLingerBytes = 256 << 10
)

// Reasons for closing a connection, as the log event client_closed reports them. The first three are also the values of
// clientConn.endReason.
const (
	reasonDraining         = "stopping"  // the gateway drains
	reasonEvicted          = "displaced" // evicted to free its slot or its descriptor
	reasonEvictionDeferred = "made_room" // a request arrived during the eviction; closed after its response
	reasonStopped          = "stopped"   // closed by Server.Close
	reasonFull             = "full"      // the server has no free slot
	reasonBadRequest       = "bad_request"
	reasonNoCapacity       = "no_room" // admission has no bytes left for a request's body
	reasonLastResponse     = "asked"   // closed after a response with "Connection: close"
	reasonClientClosed     = "closed_by_client"
	reasonReset            = "reset"
	reasonIdle             = "idle"
	reasonWriteTimeout     = "answer_not_taken" // the write deadline of a response passed
)

// clientConn is a client's connection. The goroutine of run reads requests and owns the fields from input to isFinalRead.
// While a lookup is open, a second goroutine runs respond, which writes the response. The field writeNow belongs to the
// goroutine that writes: that of respond while a lookup is open, otherwise that of run. The fields below mu are guarded by
// it.
type clientConn struct {
	server *Server
	conn   net.Conn
	number int64 // sequence number in the order of accepting

	address string // of the client, without the port

	responded env.Notifier         // holds a notification while no request is being answered
	writeNow  env.NonBlockingWrite // set by the first writeLimited

	input    linebuffer.Buffer
	headScan headScan   // of the head at the front of input
	arrivals arrivalLog // of the bytes in input

	inputReserved int // bytes of input that are reserved with the server's inputBudget
	unsent        unsentResponses
	mayBeGone     bool // the client may have disconnected behind input that has not been read yet
	isFinalRead   bool // the read deadline has passed once, and one more short read is allowed

	mu                 sync.Mutex
	isBusy             bool    // from the last byte of a request to the last byte of its response
	lookup             *lookup // the open lookup; nil: none
	requestBegun       bool    // bytes of the next request have been read
	inputClosed        bool    // no further request is accepted, after an invalid request or the last response
	isPipelined        bool    // the next request has arrived while one is being answered
	endReason          string  // why the server closes the connection once it is idle; "": it does not
	closeReason        string  // why the connection was closed; "": it is open
	idleSince          time.Time
	responses          int  // number of responses written
	hadSatisfiedLookup bool // a lookup on this connection was satisfied
}

func newClientConn(s *Server, conn net.Conn) *clientConn {
	c := &clientConn{server: s, conn: conn, address: clientAddress(conn), idleSince: s.env.Now(), responded: s.env.NewNotifier()}
	c.responded.Notify()
	return c
}

// run reads requests until the connection closes. It keeps reading while a lookup is open, to notice when the client
// disconnects. If isFull is set, the server has no slot for the connection, and run only responds that it has too many
// connections.
func (c *clientConn) run(isFull bool) {
	startedAt := c.server.env.Now()
	if isFull {
		c.writeText(textResponse{status: statusServiceUnavailable, text: "too many connections", closes: true})
		c.close(reasonFull)
	} else {
		c.readRequests()
	}
	c.server.mu.Lock()
	delete(c.server.conns, c)
	if c.endReason == reasonEvicted {
		c.server.evicting--
		c.server.evicted.Notify()
	}
	c.server.mu.Unlock()
	c.responded.Wait(-1) // until the goroutine that responds has ended
	c.releaseInput(c.inputReserved)
	c.server.env.Log().Info("client_closed", "addr", c.conn.RemoteAddr().String(), "reason", c.closeReason, "answers", c.responses,
		"age_ms", c.server.env.Now().Sub(startedAt).Milliseconds())
}

// close closes the connection. Only the reason of the first call is kept.
func (c *clientConn) close(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked(reason)
}

// closeLocked is close for a caller that holds c.mu.
func (c *clientConn) closeLocked(reason string) {
	if c.closeReason == "" {
		c.closeReason = reason
		c.conn.Close()
	}
}

// endWhenIdle closes the connection once it is idle and no further request is pending. It sets the read deadline so
// that the reader reads once more. Closing the connection here would drop a request that has arrived in full and has
// not been read yet. The caller holds c.mu.
func (c *clientConn) endWhenIdle(reason string) {
	if c.closeReason != "" || c.endReason != "" {
		return
	}
	c.endReason = reason
	if !c.isBusy && !c.inputClosed { // a connection whose input is closed closes by itself
		c.conn.SetReadDeadline(c.server.env.Now())
	}
}

// isLastRequest reports whether the server wants to close the connection and no further request has arrived on it. A
// request that has arrived is still answered: the client may have sent it before it could know of the close.
func (c *clientConn) isLastRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endReason != "" && !c.isPipelined
}

// closeInput makes the reader close the connection after the last response, once the client has had time to read it. If
// the server closed the connection while the client still sends, the kernel would reset it and drop response bytes that
// the client has not read.
func (c *clientConn) closeInput() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inputClosed = true
}

func (c *clientConn) isInputClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inputClosed
}

// lingeringClose closes the connection for writing and discards up to maxLingerBytes of input until the timeout. Bytes
// that the client still sends then do not reset the connection before the client has read the response. The caller
// closes the connection afterwards. The connection may be evicted meanwhile, or closed at the end of a drain.
func (c *clientConn) lingeringClose(timeout time.Duration) {
	if conn, ok := c.conn.(env.Conn); ok && conn.CloseWrite() == nil {
		conn.SetReadDeadline(c.server.env.Now().Add(timeout))
		io.CopyN(io.Discard, conn, maxLingerBytes)
	}
}

// readFailed closes the connection after a failed read and cancels its open lookup. A read fails if the client has
// disconnected, was silent until the read deadline or sent too many bytes, or if the server wants to close the
// connection.
func (c *clientConn) readFailed(err error) {
	isTimeout := errors.Is(err, os.ErrDeadlineExceeded)
	if isTimeout && c.isInputClosed() {
		c.lingeringClose(responseWriteSlack)
		c.close(reasonLastResponse)
		return
	}
	reason := reasonReset
	switch {
	case errors.Is(err, io.EOF):
		reason = reasonClientClosed
	case errors.Is(err, linebuffer.ErrTooLong):
		reason = reasonBadRequest
	case isTimeout:
		reason = reasonIdle
	}
	c.mu.Lock()
	openLookup := c.lookup
	if isTimeout && c.endReason != "" {
		reason = c.endReason
	}
	c.closeLocked(reason)
	c.mu.Unlock()
	if openLookup != nil {
		c.server.dispatcher.ClientGone(openLookup.Dispatched)
	}
}
