package scenario

import (
	"fmt"
	"strings"
	"time"
)

// answerCorruption holds, by kind of corruption, the time until which caches corrupt some of their answers.
type answerCorruption struct{ until map[string]time.Duration }

// corrupting returns the begin function of a fault that corrupts answers in one way.
func corrupting(kind string) func(*Scenario, Fault) {
	return func(s *Scenario, f Fault) {
		if s.corruption.until == nil {
			s.corruption.until = map[string]time.Duration{}
		}
		s.corruption.until[kind] = max(s.corruption.until[kind], s.sim.Now()+f.duration())
	}
}

// shouldCorrupt reports whether a corruption of a kind is active and a draw of one in oneIn selects the answer.
func (a answerCorruption) shouldCorrupt(s *Scenario, kind string, oneIn int) bool {
	return a.until[kind] > s.sim.Now() && s.randN(oneIn) == 0
}

// failsRequest reports whether an edge answers a request with an error because of the corruption "fault".
func (a answerCorruption) failsRequest(c *cache) bool {
	return c.flavor == "edge" && a.shouldCorrupt(c.scenario, "fault", 4)
}

// corrupt may write a corrupted answer instead of the correct one. It
// reports whether it did, so that the caller writes no answer.
func (a answerCorruption) corrupt(request *attemptRequest, got *cachedCopy, fields, body string) bool {
	s, conn := request.conn.cache.scenario, request.conn
	good := fmt.Sprintf("%s HIT %s %d\r\n%s\r\n", request.id, fields, len(body), body)
	finish := func(text string) bool {
		request.ended = true
		conn.send(request, text)
		return true
	}
	truncate := func(text string) bool { // the answer stays incomplete: the attempt is in flight until its gateway cancels it
		if conn.answerTruncated {
			return true
		}
		request.ended, conn.answerTruncated = true, true
		delete(conn.requests, request.id)
		conn.sentBytes += len(text)
		conn.end.Send([]byte(text))
		return true
	}
	switch {
	case a.until == nil:
		return false
	case conn.answerTruncated:
		return true
	case a.shouldCorrupt(s, "noise", 8):
		return truncate("\x01\x02 noise " + strings.Repeat("~", s.randN(200)) + "\r\n")
	case a.shouldCorrupt(s, "endless", 8):
		return truncate(fmt.Sprintf("%s HIT %s 239999\r\n%s", request.id, fields, body))
	case a.shouldCorrupt(s, "short", 8):
		return truncate(good[:s.randN(len(good))])
	case a.shouldCorrupt(s, "double", 4):
		s.checker.cacheAnswered(request, got, false)
		return finish(good + good)
	case a.shouldCorrupt(s, "late", 6):
		s.after(request.receivedAt+request.timeout-s.sim.Now()+time.Duration(s.randN(200))*time.Millisecond, func() {
			if !request.ended || conn.requests[request.id] == request {
				s.checker.cacheAnswered(request, got, false)
			}
			if !conn.end.IsClosed() && conn.cache.up {
				conn.send(request, good)
			}
		})
		return true
	case a.shouldCorrupt(s, "stray", 4):
		conn.sendStray("ffffffffffffffff HIT note=hit,waited=0,ver=x,born=1764576000000 2\r\nhi\r\n")
	}
	return false
}
