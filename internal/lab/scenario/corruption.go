package scenario

import (
	"fmt"
	"strings"
	"time"
)

// answerCorruption is until when caches corrupt their answers, by kind.
type answerCorruption struct{ until map[string]time.Duration }

func corrupting(kind string) func(*Scenario, Fault) {
	return func(s *Scenario, f Fault) {
		if s.corruption.until == nil {
			s.corruption.until = map[string]time.Duration{}
		}
		s.corruption.until[kind] = max(s.corruption.until[kind], s.sim.Now()+f.duration())
	}
}

func (a answerCorruption) hits(s *Scenario, kind string, one int) bool {
	return a.until[kind] > s.sim.Now() && s.randN(one) == 0
}

func (a answerCorruption) failsRequest(c *cache) bool {
	return c.flavor == "edge" && a.hits(c.scenario, "fault", 4)
}

// corrupt writes a corrupted answer in place of a good one, and reports whether it did.
func (a answerCorruption) corrupt(request *attemptRequest, got *cachedCopy, fields, body string) bool {
	s, conn := request.conn.cache.scenario, request.conn
	good := fmt.Sprintf("%s HIT %s %d\r\n%s\r\n", request.id, fields, len(body), body)
	last := func(text string) bool {
		request.ended = true
		conn.send(request, text)
		return true
	}
	torn := func(text string) bool { // not a complete answer: the attempt is in flight until its gateway cancels it
		if conn.torn {
			return true
		}
		request.ended, conn.torn = true, true
		delete(conn.requests, request.id)
		conn.sentBytes += len(text)
		conn.end.Send([]byte(text))
		return true
	}
	switch {
	case a.until == nil:
		return false
	case conn.torn:
		return true
	case a.hits(s, "noise", 8):
		return torn("\x01\x02 noise " + strings.Repeat("~", s.randN(200)) + "\r\n")
	case a.hits(s, "endless", 8):
		return torn(fmt.Sprintf("%s HIT %s 239999\r\n%s", request.id, fields, body))
	case a.hits(s, "short", 8):
		return torn(good[:s.randN(len(good))])
	case a.hits(s, "double", 4):
		s.checker.cacheAnswered(request, got, false)
		return last(good + good)
	case a.hits(s, "late", 6):
		s.after(request.receivedAt+request.timeout-s.sim.Now()+time.Duration(s.randN(200))*time.Millisecond, func() {
			if !request.ended || conn.requests[request.id] == request {
				s.checker.cacheAnswered(request, got, false)
			}
			if !conn.end.IsClosed() && conn.cache.up {
				conn.send(request, good)
			}
		})
		return true
	case a.hits(s, "stray", 4):
		conn.sendStray("ffffffffffffffff HIT note=hit,waited=0,ver=x,born=1764576000000 2\r\nhi\r\n")
	}
	return false
}
