package scenario

import (
	"bytes"
	"strings"
	"time"

	"foldslip/internal/lab/simenv"
)

// cacheConn is the cache's side of a gateway's connection to it. A request that a proxy makes itself has a cacheConn
// of its own, without a simulated connection: deliver gets its answer and onReset reports a reset.
type cacheConn struct {
	cache           *cache
	end             *simenv.End
	process         *gatewayProcess
	in              []byte
	requests        map[string]*attemptRequest
	written         []byte // bytes of an incomplete line that the gateway has written
	lineStartedAt   time.Duration
	sentBytes       int // bytes sent to the gateway
	arrivedBytes    int // of sentBytes, those that have reached the gateway
	pendingAnswers  []pendingAnswer
	attempts        []*attempt // attempts in flight, as seen on the wire
	closed          bool
	answerTruncated bool                                 // an answer was cut off, so nothing more is sent
	deliver         func(q *attemptRequest, text string) // gets the answer to a proxy's request; nil: a simulated connection
	onReset         func()                               // reports the reset of a proxy's request
	attemptID       string                               // id of a proxy's request
}

// reset resets the connection.
func (conn *cacheConn) reset() {
	if conn.deliver == nil {
		conn.end.Reset()
		return
	}
	conn.cache.scenario.after(conn.cache.scenario.callerLatency(), conn.onReset)
}

// detach removes the connection from its cache's list.
func (conn *cacheConn) detach() {
	for i, o := range conn.cache.conns {
		if o == conn {
			conn.cache.conns = append(conn.cache.conns[:i:i], conn.cache.conns[i+1:]...)
			break
		}
	}
}

func (conn *cacheConn) Opened() {}

// endAtCache ends the connection at the cache's side, and all requests
// on it. If silent is set, the gateway is not notified.
func (conn *cacheConn) endAtCache(silent bool) {
	conn.detach()
	for _, request := range conn.requests {
		request.ended = true
	}
	conn.requests = nil
	if !silent {
		conn.cache.scenario.checker.connectionEndedAtCache(conn)
	}
	for _, a := range conn.attempts {
		a.inFlight = false
	}
}

func (conn *cacheConn) Closed(bool) {
	conn.endAtCache(false)
	conn.end.Close()
	if conn.process != nil {
		delete(conn.process.conns, conn)
	}
}

// Data handles bytes that reach the cache: requests, and cancellations ("undo").
func (conn *cacheConn) Data(b []byte) {
	conn.in = append(conn.in, b...)
	for {
		i := bytes.Index(conn.in, []byte("\r\n"))
		if i < 0 {
			return
		}
		line := string(conn.in[:i])
		if id, undo := strings.CutPrefix(line, "undo "); undo {
			conn.in = conn.in[i+2:]
			if request := conn.requests[id]; request != nil {
				request.ended = true
				delete(conn.requests, id)
			}
			continue
		}
		n := max(0, requestBodyLength(line))
		if len(conn.in) < i+n+4 {
			return
		}
		text := string(conn.in[i+2 : i+2+n])
		conn.in = conn.in[i+n+4:]
		request, err := parseRequest(line, text)
		if err != nil {
			conn.cache.scenario.checker.violated("protocol", "%s cannot parse a request: %v", conn.cache.id, err)
			conn.end.Reset()
			conn.endAtCache(false)
			return
		}
		request.conn = conn
		request.work = partWork(request.object, request.part)
		if conn.requests == nil {
			conn.requests = map[string]*attemptRequest{}
		}
		conn.requests[request.id] = request
		conn.cache.checkColdLoad(conn.process, meanWork[request.kindIndex], request.firstByteAt()) // rule 4 counts the mean work of the kind
		conn.cache.handle(request)
		if conn.end.IsClosed() {
			return
		}
	}
}

// send writes the answer to a request, unless an answer before it was cut off.
func (conn *cacheConn) send(request *attemptRequest, text string) {
	if conn.answerTruncated {
		delete(conn.requests, request.id)
		return
	}
	if conn.requests[request.id] == request {
		delete(conn.requests, request.id)
	}
	if conn.deliver != nil {
		conn.deliver(request, text)
		return
	}
	conn.sentBytes += len(text)
	conn.cache.scenario.checker.answerWritten(request, conn.sentBytes)
	conn.end.Send([]byte(text))
}

// pendingAnswer is an answer that the cache has written. It has reached the
// gateway when endByte bytes of the connection have arrived.
type pendingAnswer struct {
	endByte int
	attempt *attempt
}

// arrived is called with bytes that reach the gateway.
func (conn *cacheConn) arrived(b []byte) {
	conn.arrivedBytes += len(b)
	for len(conn.pendingAnswers) > 0 && conn.pendingAnswers[0].endByte <= conn.arrivedBytes {
		conn.cache.scenario.checker.outcomeArrived(conn.pendingAnswers[0].attempt)
		conn.pendingAnswers = conn.pendingAnswers[1:]
	}
}

// Written parses what the gateway writes and reports each attempt and
// cancellation to the checker. A negative n is the end of the connection.
func (conn *cacheConn) Written(n int, b []byte) {
	if n < 0 {
		conn.closed = true
		conn.cache.scenario.checker.connectionEnded(conn)
		return
	}
	if len(conn.written) == 0 {
		conn.lineStartedAt = conn.cache.scenario.sim.Now()
	}
	conn.written = append(conn.written, b...)
	for {
		i := bytes.Index(conn.written, []byte("\r\n"))
		if i < 0 {
			return
		}
		line := string(conn.written[:i])
		if id, undo := strings.CutPrefix(line, "undo "); undo {
			conn.written = conn.written[i+2:]
			conn.cache.scenario.checker.attemptCancelled(conn, id)
			continue
		}
		n := max(0, requestBodyLength(line))
		if len(conn.written) < i+n+4 {
			return
		}
		text := string(conn.written[i+2 : i+2+n])
		conn.written = conn.written[i+n+4:]
		if request, err := parseRequest(line, text); err == nil {
			conn.cache.scenario.checker.attemptSent(conn, request, conn.lineStartedAt)
		}
		conn.lineStartedAt = conn.cache.scenario.sim.Now()
	}
}

// sendStray writes an answer to which there is no request.
func (conn *cacheConn) sendStray(text string) {
	conn.sentBytes += len(text)
	conn.end.Send([]byte(text))
}
