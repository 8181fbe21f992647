package scenario

import (
	"fmt"
	"strings"
	"time"
)

// answerCorruption is what caches make of good answers now, by kind: until when.
type answerCorruption struct{ until map[string]time.Duration }

func corrupting(kind string) func(*Scenario, Fault) {
	return func(d *Scenario, f Fault) {
		if d.corruption.until == nil {
			d.corruption.until = map[string]time.Duration{}
		}
		d.corruption.until[kind] = max(d.corruption.until[kind], d.sim.Now()+f.duration())
	}
}

func (s answerCorruption) hits(d *Scenario, kind string, one int) bool {
	return s.until[kind] > d.sim.Now() && d.randN(one) == 0
}

func (s answerCorruption) failsRequest(c *cache) bool {
	return c.flavor == "edge" && s.hits(c.scenario, "fault", 4)
}

// corrupt spoils a good answer, or passes.
func (s answerCorruption) corrupt(q *attemptRequest, got *cachedCopy, fields, body string) bool {
	d, k := q.conn.cache.scenario, q.conn
	good := fmt.Sprintf("%s HIT %s %d\r\n%s\r\n", q.id, fields, len(body), body)
	last := func(text string) bool {
		q.ended = true
		k.send(q, text)
		return true
	}
	torn := func(text string) bool { // no whole answer: the send stays out until its gateway gives it up
		if k.torn {
			return true
		}
		q.ended, k.torn = true, true
		delete(k.requests, q.id)
		k.sentBytes += len(text)
		k.end.Send([]byte(text))
		return true
	}
	switch {
	case s.until == nil:
		return false
	case k.torn:
		return true
	case s.hits(d, "noise", 8):
		return torn("\x01\x02 noise " + strings.Repeat("~", d.randN(200)) + "\r\n")
	case s.hits(d, "endless", 8):
		return torn(fmt.Sprintf("%s HIT %s 239999\r\n%s", q.id, fields, body))
	case s.hits(d, "short", 8):
		return torn(good[:d.randN(len(good))])
	case s.hits(d, "double", 4):
		d.checker.cacheAnswered(q, got, false)
		return last(good + good)
	case s.hits(d, "late", 6):
		d.after(q.receivedAt+q.timeout-d.sim.Now()+time.Duration(d.randN(200))*time.Millisecond, func() {
			if !q.ended || k.requests[q.id] == q {
				d.checker.cacheAnswered(q, got, false)
			}
			if !k.end.IsClosed() && k.cache.up {
				k.send(q, good)
			}
		})
		return true
	case s.hits(d, "stray", 4):
		k.sendStray("ffffffffffffffff HIT note=hit,waited=0,ver=x,born=1764576000000 2\r\nhi\r\n")
	}
	return false
}
