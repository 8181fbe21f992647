// A gateway's connection to a stand-in cache.

package scenario

import (
	"bytes"
	"strings"
	"time"

	"foldslip/internal/lab/simenv"
)

// cacheConn is a gateway's connection to a cache, seen from the cache.
type cacheConn struct {
	cache          *cache
	end            *simenv.End
	process        *gatewayProcess
	in             []byte
	requests       map[string]*attemptRequest
	written        []byte // what the gateway has written and is not yet a whole line
	lineStartedAt  time.Duration
	sentBytes      int // bytes to the gateway, and how many have arrived
	arrivedBytes   int
	pendingAnswers []pendingAnswer
	attempts       []*attempt // sends that are out on it, as seen on the wire
	closed         bool
	torn           bool                                 // an answer broke off on it: it is of no more use
	deliver        func(q *attemptRequest, text string) // where a proxy's one send waits, without a connection of its own
	onReset        func()
	attemptID      string // of that send
}

// reset breaks it.
func (k *cacheConn) reset() {
	if k.deliver == nil {
		k.end.Reset()
		return
	}
	k.cache.scenario.after(k.cache.scenario.callerLatency(), k.onReset)
}

// detach takes a proxy's send off its cache.
func (k *cacheConn) detach() {
	for i, o := range k.cache.conns {
		if o == k {
			k.cache.conns = append(k.cache.conns[:i:i], k.cache.conns[i+1:]...)
			break
		}
	}
}

func (k *cacheConn) Opened() {}

// endAtCache is the end at the cache's side; where it is silent the gateway cannot know.
func (k *cacheConn) endAtCache(silent bool) {
	for i, o := range k.cache.conns {
		if o == k {
			k.cache.conns = append(k.cache.conns[:i:i], k.cache.conns[i+1:]...)
			break
		}
	}
	for _, q := range k.requests {
		q.ended = true
	}
	k.requests = nil
	if !silent {
		k.cache.scenario.checker.connectionEnded(k)
	}
	for _, s := range k.attempts {
		s.inFlight = false
	}
}

func (k *cacheConn) Closed(bool) {
	k.endAtCache(false)
	k.end.Close()
	if k.process != nil {
		delete(k.process.conns, k)
	}
}

// Data is what reaches the cache.
func (k *cacheConn) Data(b []byte) {
	k.in = append(k.in, b...)
	for {
		i := bytes.Index(k.in, []byte("\r\n"))
		if i < 0 {
			return
		}
		line := string(k.in[:i])
		if id, undo := strings.CutPrefix(line, "undo "); undo {
			k.in = k.in[i+2:]
			if q := k.requests[id]; q != nil {
				q.ended = true
				delete(k.requests, id)
			}
			continue
		}
		n := max(0, requestBodyLength(line))
		if len(k.in) < i+n+4 {
			return
		}
		text := string(k.in[i+2 : i+2+n])
		k.in = k.in[i+n+4:]
		q, err := parseRequest(line, text)
		if err != nil {
			k.cache.scenario.checker.violated("protocol", "%s reads: %v", k.cache.id, err)
			k.end.Reset()
			k.endAtCache(false)
			return
		}
		q.conn = k
		q.work = partWork(q.object, q.part)
		if k.requests == nil {
			k.requests = map[string]*attemptRequest{}
		}
		k.requests[q.id] = q
		k.cache.checkColdLoad(k.process, meanWork[q.kindIndex]) // what the rule counts for a send to a cold cache
		k.cache.handle(q)
		if k.end.IsClosed() {
			return
		}
	}
}

// send writes an answer, or what a fault makes of it.
func (k *cacheConn) send(q *attemptRequest, text string) {
	if k.torn {
		delete(k.requests, q.id)
		return
	}
	if k.requests[q.id] == q {
		delete(k.requests, q.id)
	}
	if k.deliver != nil {
		k.deliver(q, text)
		return
	}
	k.sentBytes += len(text)
	k.cache.scenario.checker.answerWritten(q, k.sentBytes)
	k.end.Send([]byte(text))
}

// pendingAnswer is a send whose answer has reached the gateway once so many bytes have.
type pendingAnswer struct {
	endByte int
	attempt *attempt
}

func (k *cacheConn) arrived(b []byte) {
	k.arrivedBytes += len(b)
	for len(k.pendingAnswers) > 0 && k.pendingAnswers[0].endByte <= k.arrivedBytes {
		k.cache.scenario.checker.outcomeArrived(k.pendingAnswers[0].attempt)
		k.pendingAnswers = k.pendingAnswers[1:]
	}
}

// Written is what the gateway has just written, on its wire.
func (k *cacheConn) Written(n int, b []byte) {
	if n < 0 {
		k.closed = true
		k.cache.scenario.checker.connectionEnded(k)
		return
	}
	if len(k.written) == 0 {
		k.lineStartedAt = k.cache.scenario.sim.Now()
	}
	k.written = append(k.written, b...)
	for {
		i := bytes.Index(k.written, []byte("\r\n"))
		if i < 0 {
			return
		}
		line := string(k.written[:i])
		if id, undo := strings.CutPrefix(line, "undo "); undo {
			k.written = k.written[i+2:]
			k.cache.scenario.checker.attemptCancelled(k, id)
			continue
		}
		n := max(0, requestBodyLength(line))
		if len(k.written) < i+n+4 {
			return
		}
		text := string(k.written[i+2 : i+2+n])
		k.written = k.written[i+n+4:]
		if q, err := parseRequest(line, text); err == nil {
			k.cache.scenario.checker.attemptSent(k, q, k.lineStartedAt)
		}
		k.lineStartedAt = k.cache.scenario.sim.Now()
	}
}

// sendStray writes an answer to nothing.
func (k *cacheConn) sendStray(text string) {
	k.sentBytes += len(text)
	k.end.Send([]byte(text))
}
