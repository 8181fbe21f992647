package scenario

import (
	"bytes"
	"strings"
	"time"

	"foldslip/internal/lab/simenv"
)

// cacheConn is a gateway's connection to a cache, seen from the cache.
type cacheConn struct {
	cache           *cache
	end             *simenv.End
	process         *gatewayProcess
	in              []byte
	requests        map[string]*attemptRequest
	written         []byte // written by the gateway and not yet a complete line
	lineStartedAt   time.Duration
	sentBytes       int // bytes to the gateway, and how many have arrived
	arrivedBytes    int
	pendingAnswers  []pendingAnswer
	attempts        []*attempt // in flight, as seen on the wire
	closed          bool
	answerTruncated bool                                 // an answer on it was cut off, so nothing more is sent
	deliver         func(q *attemptRequest, text string) // for the one request of a proxy, which has no simulated connection: takes its answer
	onReset         func()
	attemptID       string // of that request
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

// endAtCache ends the connection at the cache's side; if silent, the gateway cannot know.
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

// Data takes what reaches the cache.
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
			conn.cache.scenario.checker.violated("protocol", "%s reads: %v", conn.cache.id, err)
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
		conn.cache.checkColdLoad(conn.process, meanWork[request.kindIndex], request.firstByteAt()) // as rule 4 counts it
		conn.cache.handle(request)
		if conn.end.IsClosed() {
			return
		}
	}
}

// send writes an answer.
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

// pendingAnswer is an answer that has reached the gateway once endByte bytes have.
type pendingAnswer struct {
	endByte int
	attempt *attempt
}

func (conn *cacheConn) arrived(b []byte) {
	conn.arrivedBytes += len(b)
	for len(conn.pendingAnswers) > 0 && conn.pendingAnswers[0].endByte <= conn.arrivedBytes {
		conn.cache.scenario.checker.outcomeArrived(conn.pendingAnswers[0].attempt)
		conn.pendingAnswers = conn.pendingAnswers[1:]
	}
}

// Written follows what the gateway writes.
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

// sendStray writes an answer that no request asked for.
func (conn *cacheConn) sendStray(text string) {
	conn.sentBytes += len(text)
	conn.end.Send([]byte(text))
}
