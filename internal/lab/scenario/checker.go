package scenario

import (
	"fmt"
	"strconv"
	"time"

	"foldslip/internal/lab/simenv"
)

// Rules, as reports spell them. The numbered ones are the users' own (docs/faults.md).
const (
	ruleOneAnswer  = "rule 1" // each lookup gets one right answer in time
	ruleOneAttempt = "rule 2" // no two attempts at once, and no effect twice
	ruleDrained    = "rule 3" // no attempt to a cache that drains or is gone
	ruleColdLoad   = "rule 4" // no more work to a cold cache than it bears
	rulePurged     = "rule 5" // no copy older than a purge
	ruleProtocol   = "protocol"
	ruleHeldBack   = "held back"
	ruleClientGone = "gone client"
	ruleInFlight   = "in flight"
	ruleBounds     = "bounds"
	ruleLeak       = "leak"
	ruleStop       = "stop"
	ruleCrash      = "crash"
	ruleRoutes     = "routes"
)

const lookupRetention = 15 * time.Second // after its end for which a lookup is remembered

// checker checks the rules after each step. It sees the wires and the true state of every actor, and of a gateway's own view only its
// counts, which must agree with its sockets.
type checker struct {
	scenario     *Scenario
	violations   []Violation
	lookups      map[string]*lookup // by id, until some time after their end
	lookupCount  int
	outcomes     map[string]int
	versions     map[string]int  // purges so far, of objects and of groups (see groupKey)
	deduplicated map[string]bool // ids of deduplicated lookups that ran, with their zone
	purges       []purge
	idleCount    uint64
	drainEvents  map[string]int // by cache: number of the event that says that it drains or is gone
}

func newChecker(s *Scenario) *checker {
	return &checker{
		scenario:     s,
		lookups:      map[string]*lookup{},
		outcomes:     map[string]int{},
		versions:     map[string]int{},
		deduplicated: map[string]bool{},
		drainEvents:  map[string]int{},
	}
}

func (c *checker) now() time.Duration { return c.scenario.now() }

// violated notes a violation and ends the run.
func (c *checker) violated(rule, format string, a ...any) {
	v := Violation{rule, c.now(), fmt.Sprintf(format, a...)}
	c.violations = append(c.violations, v)
	c.scenario.record("BROKEN %s: %s", rule, v.Detail)
	c.scenario.sim.Halt()
}

// lookupSent follows a lookup from now on.
func (c *checker) lookupSent(l *lookup) {
	c.lookupCount++
	if l.repeats == 0 {
		l.firstSentAt = c.now()
		if l.isEarly() {
			c.scenario.earlyLookups.Sent++
		}
	}
	c.lookups[l.id] = l
	c.scenario.sim.Note(simenv.StepLookup, l.id, "", 0)
}

// lookupReceived notes that all of a lookup has reached its gateway, and watches over its deadline.
func (c *checker) lookupReceived(l *lookup) {
	l.receivedAt = c.now()
	if c.scenario.hooks.onReceived != nil {
		c.scenario.hooks.onReceived(c.scenario, l)
	}
	c.scenario.after(l.deadline+socketSlack+time.Millisecond, func() {
		if l.ended || !l.conn.isOwedAnswer(l) || l.conn.isAnswering() { // an answer that its client is slow to read has begun
			return
		}
		c.violated(ruleOneAnswer, "lookup %s (%s) taken by %s has no answer after %v of %v", l.id, l.kindSettings().name, l.process.name(),
			c.now()-l.receivedAt, l.deadline)
	})
}

// lookupEnded notes that no answer is owed any more.
func (c *checker) lookupEnded(l *lookup, outcome string) {
	if l.ended {
		return
	}
	l.ended = true
	c.outcomes[outcome]++
	if isSatisfied(outcome) && l.isEarly() {
		c.scenario.earlyLookups.Satisfied++
	}
	c.scenario.after(lookupRetention, func() { delete(c.lookups, l.id) })
}

// isSatisfied reports whether an outcome is a status that satisfies a lookup.
func isSatisfied(outcome string) bool { return outcome == "200" || outcome == "304" }

// clientAnswer is an answer on a gateway's wire to a client.
type clientAnswer struct {
	status     int
	etag       string
	body       string
	retryAfter time.Duration
}

// clientAnswered checks a complete answer.
func (c *checker) clientAnswered(l *lookup, answer clientAnswer) {
	// An answer that began in time and that the network or its client is slow to take is not late: the gateway writes it at once.
	if late := l.answerStartedAt() - (l.receivedAt + l.deadline + socketSlack); late > 0 {
		c.violated(ruleOneAnswer, "answer %d to %s is %v late", answer.status, l.id, late)
	}
	switch answer.status {
	case 200, 304:
		c.checkSatisfied(l, answer)
	case 503, 429, 502:
		c.checkUnsatisfied(l, answer)
	default:
		c.violated(ruleOneAnswer, "%s was answered with status %d", l.id, answer.status)
	}
	c.lookupEnded(l, strconv.Itoa(answer.status))
}

// checkUnsatisfied checks an answer that rejects or fails a lookup.
func (c *checker) checkUnsatisfied(l *lookup, answer clientAnswer) {
	now := c.now()
	// An attempt may wait for its connection to come up, or behind a line that its cache does not read.
	lastBusy := max(l.lastInFlight, l.receivedAt, l.process.process.LastDialing(), l.process.process.LastBlocked())
	if l.isHeldBack(now, lastBusy) {
		c.violated(ruleHeldBack, "%s was answered %d after %v of %v, with nothing out for it for %v", l.id, answer.status, now-l.receivedAt, l.deadline,
			now-lastBusy)
	}
	if answer.status != 502 && answer.retryAfter <= 0 && len(l.attempts) > 0 {
		c.violated(ruleHeldBack, "%s was nacked without a time to come back", l.id)
	}
}

// checkSatisfied checks that a copy that is served came from an attempt, and is not too old.
func (c *checker) checkSatisfied(l *lookup, answer clientAnswer) {
	from, served := l.attemptOf(answer)
	if from == nil {
		c.violated(ruleOneAnswer, "%s was served with %d, tag %s and %d bytes that no cache made for it", l.id, answer.status, answer.etag, len(answer.body))
		return
	}
	for _, p := range c.purges {
		if !p.makesStale(l, served) {
			continue
		}
		if notified := l.process.notifiedAt(p.number); notified > 0 && from.firstByteAt > notified+purgeGrace+socketSlack {
			c.violated(rulePurged, "%s (%s) was served a copy %v older than a purge that %s was told of %v before the send", l.id, l.object,
				p.issued.Sub(served.createdAt), l.process.name(), from.firstByteAt-notified)
		}
	}
}

// attemptOf returns the attempt, and its copy, that an answer can have come from; nil where there is none.
func (l *lookup) attemptOf(answer clientAnswer) (from *attempt, served *cachedCopy) {
	for _, a := range l.attempts {
		for _, copied := range a.answers {
			hasNoTag := answer.etag == "" && l.kindSettings().passesThrough
			if copied.version != answer.etag && !hasNoTag {
				continue
			}
			isNotModified := answer.status == 304 && a.notModified
			isSameBody := answer.status == 200 && copied.body(l.key()) == answer.body
			if isNotModified || isSameBody {
				from, served = a, copied
			}
		}
	}
	return from, served
}

// checkForwardedAnswer checks an answer that a gateway lets a caller forward now: no copy older than a purge that the gateway was notified
// of past the grace, whenever the attempt was sent.
func (c *checker) checkForwardedAnswer(l *lookup, forwarded *cachedCopy) {
	for _, p := range c.purges {
		if !p.makesStale(l, forwarded) {
			continue
		}
		if notified := l.process.notifiedAt(p.number); notified > 0 && c.now() > notified+purgeGrace+socketSlack {
			c.violated(rulePurged, "%s (%s): an answer %v older than a purge that %s was told of %v ago is let pass", l.id, l.object,
				p.issued.Sub(forwarded.createdAt), l.process.name(), c.now()-notified)
		}
	}
}
