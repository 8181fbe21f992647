package scenario

import (
	"fmt"
	"strconv"
	"time"

	"foldslip/internal/lab/simenv"
)

// checker sees the wires and the true state of every party, never the gateway's own view but for its counts, which
// must agree with its sockets. It checks after each step.
type checker struct {
	scenario     *Scenario
	violations   []Violation
	lookups      map[string]*lookup // by id, until some time after their end
	lookupCount  int
	outcomes     map[string]int
	versions     map[string]int  // of objects and groups: purges so far
	deduplicated map[string]bool // deduplicated lookups by zone and id
	purges       []purge
	idleCount    uint64
	drainEvents  map[string]int // by cache: number of the event that says it drains or is gone
}

// lookup is a lookup of a usual client at one gateway.
type lookup struct {
	id, object   string
	kind, part   int
	group        int
	etag, body   string
	deadline     time.Duration
	process      *gatewayProcess
	conn         *clientConn
	sentAt       time.Duration
	receivedAt   time.Duration // its last byte reached the gateway's machine; 0: not yet
	ended        bool          // answered, or nothing is owed any more
	clientGone   bool
	clientGoneAt time.Duration // its client closed or reset the connection
	attempts     []*attempt
	lastInFlight time.Duration // when a send was last out
	repeats      int
	firstSentAt  time.Duration // of it, or of the lookup that it repeats
	onAnswer     func(status int, wait time.Duration)
	routeSides   *[2]bool // configurations of the routes that all its sends so far may have been decided under
}

func newChecker(d *Scenario) *checker {
	return &checker{scenario: d, lookups: map[string]*lookup{}, outcomes: map[string]int{}, versions: map[string]int{}, deduplicated: map[string]bool{},
		drainEvents: map[string]int{}}
}

// violated notes a broken rule; the first one ends the day.
func (r *checker) violated(rule, format string, a ...any) {
	b := Violation{rule, r.scenario.sim.Now(), fmt.Sprintf(format, a...)}
	r.violations = append(r.violations, b)
	r.scenario.record("BROKEN %s: %s", rule, b.Detail)
	r.scenario.sim.Halt()
}

// answerStartedAt is when the answer that a gateway has just finished began.
func (a *lookup) answerStartedAt() time.Duration {
	if a.conn == nil || a.conn.firstByteAt == 0 {
		return a.process.actor.scenario.sim.Now()
	}
	return a.conn.firstByteAt
}

// lookupSent opens a lookup.
func (r *checker) lookupSent(a *lookup) {
	r.lookupCount++
	if a.repeats == 0 {
		a.firstSentAt = r.scenario.sim.Now()
		if a.firstSentAt < warmup+earlyPeriod {
			r.scenario.earlyLookups.Sent++
		}
	}
	r.lookups[a.id] = a
	r.scenario.sim.Note(simenv.StepLookup, a.id, "", 0)
}

// lookupReceived notes that a lookup has reached its gateway whole, and looks after its time.
func (r *checker) lookupReceived(a *lookup) {
	a.receivedAt = r.scenario.sim.Now()
	if r.scenario.hooks.onReceived != nil {
		r.scenario.hooks.onReceived(r.scenario, a)
	}
	r.scenario.after(a.deadline+socketSlack+time.Millisecond, func() {
		if a.ended || a.process.ended || a.conn.split {
			return
		}
		if a.process.terminatedAt > 0 && a.receivedAt > a.process.terminatedAt+700*time.Millisecond || !a.conn.end.IsAccepted() || a.conn.end.Stalled || a.conn.misbehaves {
			return
		}
		if a.conn.isAnswering() { // it has begun, and its client is slow to take it
			return
		}
		r.violated("rule 1", "lookup %s (%s) taken by %s has no answer after %v of %v", a.id, lookupKinds[a.kind].name, a.process.process.Name,
			r.scenario.sim.Now()-a.receivedAt, a.deadline)
	})
}

// lookupEnded ends what is owed for a lookup.
func (r *checker) lookupEnded(a *lookup, end string) {
	if a.ended {
		return
	}
	a.ended = true
	r.outcomes[end]++
	if (end == "200" || end == "304") && a.firstSentAt < warmup+earlyPeriod {
		r.scenario.earlyLookups.Satisfied++
	}
	r.scenario.after(15*time.Second, func() { delete(r.lookups, a.id) })
}

// clientAnswered is a whole answer on a gateway's wire to the client.
func (r *checker) clientAnswered(a *lookup, status int, body string, tagged string, wait time.Duration) {
	now := r.scenario.sim.Now()
	// An answer that began in time and that the way or its client is slow to take is not late by its gateway, which writes it at once.
	late := a.answerStartedAt() - (a.receivedAt + a.deadline + socketSlack)
	if late > 0 {
		r.violated("rule 1", "answer %d to %s is %v late", status, a.id, late)
	}
	out := false
	for _, s := range a.attempts {
		out = out || s.awaited
	}
	switch status {
	case 200, 304:
		r.checkSatisfied(a, status, body, tagged)
	case 503, 429, 502:
		k := lookupKinds[a.kind]
		budget := min(k.aim+time.Duration(k.stretch*float64(partWork(a.object, a.part))), k.deadline)
		// A send may wait for its connection to come up, or behind a line that its cache does not take.
		idle := now - max(a.lastInFlight, a.receivedAt, a.process.process.LastDialing(), a.process.process.LastBlocked())
		if !out && idle > 400*time.Millisecond && now-a.receivedAt > budget+300*time.Millisecond && now-a.receivedAt > a.deadline/2 {
			r.violated("held back", "%s was answered %d after %v of %v, with nothing out for it for %v", a.id, status, now-a.receivedAt,
				a.deadline, idle)
		}
		if status != 502 && wait <= 0 && len(a.attempts) > 0 {
			r.violated("held back", "%s was nacked without a time to come back", a.id)
		}
	default:
		r.violated("rule 1", "%s was answered with status %d", a.id, status)
	}
	r.lookupEnded(a, strconv.Itoa(status))
}

// checkSatisfied checks that what was served came from a send, and is not too old.
func (r *checker) checkSatisfied(a *lookup, status int, body, tag string) {
	var by *attempt
	var got *cachedCopy
	for _, s := range a.attempts {
		for _, c := range s.answers {
			bare := tag == "" && lookupKinds[a.kind].passOn
			if (c.version == tag || bare) && (status == 304 && s.notModified || status == 200 && c.body(a.object+"/"+strconv.Itoa(a.part)) == body) {
				by, got = s, c
			}
		}
	}
	if by == nil {
		r.violated("rule 1", "%s was served with %d, tag %s and %d bytes that no cache made for it", a.id, status, tag, len(body))
		return
	}
	for _, p := range r.purges {
		if p.object != a.object && (p.object != "" || p.group != a.group) || !got.createdAt.Before(p.issued) {
			continue
		}
		if told := a.process.notifiedAt(p.number); told > 0 && by.firstByteAt > told+purgeGrace+socketSlack {
			r.violated("rule 5", "%s (%s) was served a copy %v older than a purge that %s was told of %v before the send", a.id,
				a.object, p.issued.Sub(got.createdAt), a.process.process.Name, by.firstByteAt-told)
		}
	}
}

// checkForwardedAnswer checks an answer that a gateway forwards now: its copy must not be older than a purge that the
// gateway was notified of more than purgeGrace ago, whenever the request went out.
func (r *checker) checkForwardedAnswer(a *lookup, got *cachedCopy) {
	for _, p := range r.purges {
		if p.object != a.object && (p.object != "" || p.group != a.group) || !got.createdAt.Before(p.issued) {
			continue
		}
		if told := a.process.notifiedAt(p.number); told > 0 && r.scenario.sim.Now() > told+purgeGrace+socketSlack {
			r.violated("rule 5", "%s (%s): an answer %v older than a purge that %s was told of %v ago is let pass", a.id, a.object,
				p.issued.Sub(got.createdAt), a.process.process.Name, r.scenario.sim.Now()-told)
		}
	}
}

// checkEnd checks what must hold at the day's end.
func (r *checker) checkEnd() {
	for _, g := range r.scenario.gateways {
		if g.current != nil && !g.current.ended {
			r.violated("stop", "%s has not ended", g.current.process.Name)
		}
	}
	open := 0
	for _, a := range r.lookups {
		if !a.ended && a.receivedAt > 0 {
			open++
		}
	}
	if open > 0 && len(r.violations) == 0 {
		r.violated("rule 1", "%d lookups were never answered", open)
	}
}
