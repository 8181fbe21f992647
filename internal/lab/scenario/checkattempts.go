package scenario

import (
	"slices"
	"time"

	"foldslip/internal/lab/simenv"
)

// attempt is a send as it stood on a gateway's wire.
type attempt struct {
	lookup      *lookup
	conn        *cacheConn
	firstByteAt time.Duration // its first byte
	inFlight    bool
	awaited     bool // its answer has not reached the gateway, which has not given it up
	answers     []*cachedCopy
	notModified bool
}

// attemptSent is a send that a gateway has written whole.
func (r *checker) attemptSent(k *cacheConn, q *attemptRequest, first time.Duration) {
	d, l := r.scenario, k.process
	a := r.lookups[q.id]
	if l == nil || l.ended {
		return
	}
	if a == nil || a.process != l {
		r.violated("protocol", "%s sends %s, which no client asked of it", l.process.Name, q.id)
		return
	}
	if q.object != a.object || q.part != a.part || q.kind != lookupKinds[a.kind].name || q.etag != "" && q.etag != a.etag ||
		q.body != a.body {
		r.violated("protocol", "%s sends %s with other fields than its client's: %s %s/%d", l.process.Name, q.id, q.kind, q.object, q.part)
		return
	}
	if a.ended && !a.clientGone && first > a.conn.answeredAt {
		r.violated("rule 1", "%s sends %s to %s after its final answer", l.process.Name, q.id, k.cache.id)
	}
	// A client that left while its lookup waited: aim for never, and past this the users count it.
	if a.clientGone && a.clientGoneAt > 0 && !a.conn.split && first > a.clientGoneAt+cancelGrace {
		r.violated("gone client", "%s sends %s to %s %v after its client left", l.process.Name, q.id, k.cache.id, first-a.clientGoneAt)
	}
	for _, s := range a.attempts {
		if s.inFlight {
			r.violated("rule 2", "%s has %s out at %s and sends it to %s", l.process.Name, q.id, s.conn.cache.id, k.cache.id)
			return
		}
	}
	if len(a.attempts) >= maxAttempts {
		r.violated("protocol", "%s sends %s more than %d times", l.process.Name, q.id, maxAttempts)
	}
	for _, x := range [][2]string{{"sends to", k.cache.id}, {"names as source", q.source}} {
		what, id := x[0], x[1]
		if no := r.drainEvents[id]; no > 0 {
			if told := l.notifiedAt(no); told > 0 && first > told+drainGrace+socketSlack {
				r.violated("rule 3", "%s %s %s, told %v ago that it drains or is gone", l.process.Name, what, id, first-told)
				return
			}
		}
	}
	if m := d.Plan.ColdStart; m != nil && !m.Torn && (l.notifiedAt(1) == 0 || m.DrainUnannounced && l.notifiedAt(2) == 0) && (l.actor.knownDraining[k.cache.id] || l.actor.knownDraining[q.source]) {
		r.violated("rule 3", "%s sends to %s (source %q), of which its list on disk knows that it drains", l.process.Name, k.cache.id, q.source)
		return
	}
	if d.Plan.changesRoutes() {
		r.checkRoutes(a, k.cache.id)
	}
	if q.source != "" {
		from := d.byID[q.source]
		if from == nil && d.Plan.ColdStart == nil || from != nil && from.flavor == "edge" {
			r.violated("protocol", "%s names %q as a source", l.process.Name, q.source)
			return
		}
	}
	s := &attempt{lookup: a, conn: k, firstByteAt: first, inFlight: true, awaited: true}
	a.attempts = append(a.attempts, s)
	k.attempts = append(k.attempts, s)
	d.sim.Note(simenv.StepAttempt, q.id, "", int64(len(a.attempts)))
	if d.hooks.onAttempt != nil {
		d.hooks.onAttempt(d, k, q)
	}
}

func (r *checker) attemptEnded(s *attempt) {
	s.inFlight = false
	r.outcomeArrived(s)
}

// outcomeArrived is the end of a send as its gateway has it.
func (r *checker) outcomeArrived(s *attempt) {
	if s.awaited {
		s.awaited = false
		s.lookup.lastInFlight = r.scenario.sim.Now()
	}
}

// attemptCancelled is a send that its gateway gives up.
func (r *checker) attemptCancelled(k *cacheConn, id string) {
	k.attempts = slices.DeleteFunc(k.attempts, func(s *attempt) bool {
		if s.lookup.id == id {
			r.attemptEnded(s)
		}
		return s.lookup.id == id
	})
}

// answerWritten is a send whose end the cache is writing now; the gateway has it once so many bytes have arrived.
func (r *checker) answerWritten(q *attemptRequest, end int) {
	k := q.conn
	k.attempts = slices.DeleteFunc(k.attempts, func(s *attempt) bool {
		if s.lookup.id != q.id {
			return false
		}
		s.inFlight = false
		k.pendingAnswers = append(k.pendingAnswers, pendingAnswer{end, s})
		return true
	})
}

// connectionEnded is the end of a connection, at either side: all that is open on it is given up.
func (r *checker) connectionEnded(k *cacheConn) {
	for _, s := range k.attempts {
		r.attemptEnded(s)
	}
	for _, x := range k.pendingAnswers {
		r.outcomeArrived(x.attempt)
	}
	k.attempts, k.pendingAnswers = nil, nil
}

// cacheAnswered is a good answer that a cache makes for a send.
func (r *checker) cacheAnswered(q *attemptRequest, got *cachedCopy, same bool) {
	for _, s := range q.conn.attempts {
		if s.lookup.id == q.id {
			kept := *got
			s.answers = append(s.answers, &kept)
			s.notModified = s.notModified || same
		}
	}
}

// effectRan is a lookup that has run at the origin.
func (r *checker) effectRan(q *attemptRequest, times int) {
	if lookupKinds[q.kindIndex].effect != "idempotent" && times > 1 {
		r.violated("rule 2", "the effect of %s (%s, %s) has run %d times", q.object, q.kind, q.id, times)
	}
}
