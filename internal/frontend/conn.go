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
	// idleTimeout bounds a connection without a request.
	idleTimeout = 20 * time.Second
	// requestTimeout bounds a request from its first byte to its last.
	requestTimeout = 2 * time.Second
	// firstRequestTimeout bounds the time from connecting to the first request's last byte.
	firstRequestTimeout = 2500 * time.Millisecond
	// finalReadTimeout is for a request that came just before this side ends its connection.
	finalReadTimeout = 5 * time.Millisecond
	// evictionReadTimeout is the same, while a new connection waits for the place of this one.
	evictionReadTimeout = 200 * time.Microsecond
	// lingerTimeout and maxLingerBytes bound what is read, and dropped, after a last response.
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// Why a connection ended, for the log; the first two are also why this side wants it to end.
const (
	reasonStopping      = "stopping"  // the gateway drains
	reasonEvicted       = "displaced" // for a new connection
	reasonKept          = "made_room" // was to be evicted, but a request came
	reasonStopped       = "stopped"   // the gateway ends
	reasonFull          = "full"
	reasonBadRequest    = "bad_request"
	reasonNoCapacity    = "no_room" // for a request's body
	reasonClientAsked   = "asked"   // "Connection: close"
	reasonClientClosed  = "closed_by_client"
	reasonReset         = "reset"
	reasonIdle          = "idle"
	reasonResponseStuck = "answer_not_taken"
)

// clientConn is one connection of a client. Its goroutine (run) reads requests and owns input, mayBeGone and isFinalRead. While a lookup
// is open a second goroutine (respond) writes its response. What else changes is guarded by mu, but for responses, which belongs to the
// goroutine that has taken responded.
type clientConn struct {
	server *Server
	conn   net.Conn
	number int64 // in the order of accepting

	responded env.Notifier // pending while no request is being answered
	responses int

	input       linebuffer.Buffer
	mayBeGone   bool // the client's end may be behind what has not been read yet
	isFinalRead bool // the read deadline has passed once, and reading goes on for a moment

	mu           sync.Mutex
	isBusy       bool    // from a request's last byte to its response's
	lookup       *lookup // that it is busy with; nil: none
	requestBegun bool    // bytes of a request are there
	inputClosed  bool    // nothing it sends is taken any more, and it ends: it sent no request, or has its last response
	isPipelined  bool    // a next request is there while one is being answered
	endReason    string  // why this side ends it once nothing is there; "": it does not
	closeReason  string  // "": it is open
	idleSince    time.Time
	wasSatisfied bool // one of its lookups was
}

func newClientConn(s *Server, conn net.Conn) *clientConn {
	c := &clientConn{server: s, conn: conn, idleSince: s.env.Now(), responded: s.env.NewNotifier()}
	c.responded.Notify()
	return c
}

// run reads requests until the connection ends. While a lookup is open it goes on reading, to notice that the client leaves. isFull: the
// server has no place for the connection.
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
	c.responded.Wait(-1) // the goroutine that responds has ended
	c.server.env.Log().Info("client_closed", "addr", c.conn.RemoteAddr().String(), "reason", c.closeReason, "answers", c.responses,
		"age_ms", c.server.env.Now().Sub(startedAt).Milliseconds())
}

// close ends the connection; the first reason counts.
func (c *clientConn) close(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked(reason)
}

// closeLocked is close under the connection's lock.
func (c *clientConn) closeLocked(reason string) {
	if c.closeReason == "" {
		c.closeReason = reason
		c.conn.Close()
	}
}

// endWhenIdle ends the connection once nothing is open on it, unless a next request is there: its reader looks once more. To close it here
// would drop a request that has come completely and has not been read yet. Under the connection's lock.
func (c *clientConn) endWhenIdle(reason string) {
	if c.closeReason != "" || c.endReason != "" {
		return
	}
	c.endReason = reason
	if !c.isBusy && !c.inputClosed { // one whose input is closed ends by itself
		c.conn.SetReadDeadline(c.server.env.Now())
	}
}

// isEnding reports whether this side wants the connection to end.
func (c *clientConn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endReason != ""
}

// closeInput has the reader end the connection after the last response, once the client has had time to take it. To close it at once, over
// what the client still sends, would have the system reset the connection and drop what the client has not taken.
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

// lingeringClose ends this side's half of the connection and reads on for that long at most, so that what the client still sends does not
// undo the response it was sent. The connection may be evicted meanwhile, or closed at the end of a drain.
func (c *clientConn) lingeringClose(timeout time.Duration) {
	if conn, ok := c.conn.(env.Conn); ok && conn.CloseWrite() == nil {
		conn.SetReadDeadline(c.server.env.Now().Add(timeout))
		io.CopyN(io.Discard, conn, maxLingerBytes)
	}
}

// readFailed ends the connection after a failed read: the client has left or was silent, or this side ends it. An open lookup is cancelled.
func (c *clientConn) readFailed(err error) {
	isTimeout := errors.Is(err, os.ErrDeadlineExceeded)
	if isTimeout && c.isInputClosed() {
		c.lingeringClose(responseWriteSlack)
		c.close(reasonClientAsked)
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
	open := c.lookup
	if isTimeout && c.endReason != "" {
		reason = c.endReason
	}
	c.closeLocked(reason)
	c.mu.Unlock()
	if open != nil {
		c.server.dispatcher.ClientGone(open.Dispatched)
	}
}
