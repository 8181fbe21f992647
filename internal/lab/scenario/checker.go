package scenario

import (
	"fmt"
	"strconv"
	"time"

	"foldslip/internal/lab/simenv"
)

// Rules, as reports spell them. The numbered rules are the requirements of the users (docs/faults.md).
const (
	ruleOneAnswer  = "rule 1"      // each lookup gets exactly one correct answer before its deadline
	ruleOneAttempt = "rule 2"      // at most one attempt in flight, and no effect runs more often than its kind allows
	ruleDrained    = "rule 3"      // no attempt is sent to a cache that drains or has been removed
	ruleColdLoad   = "rule 4"      // a cold cache receives no more load than it can bear
	rulePurged     = "rule 5"      // no copy older than a purge is served
	ruleProtocol   = "protocol"    // messages are well-formed, and attempts match their lookups
	ruleHeldBack   = "held back"   // no lookup waits idly before it is rejected or failed; rejections say when to retry
	ruleClientGone = "gone client" // no attempt is sent for a client that has gone
	ruleInFlight   = "in flight"   // a gateway's counts of attempts agree with its connections
	ruleBounds     = "bounds"      // a gateway holds no more lookups and connections than its limits allow
	ruleLeak       = "leak"        // a gateway releases its goroutines, timers and descriptors
	ruleStop       = "stop"        // a terminated gateway ends in time
	ruleCrash      = "crash"       // a gateway does not panic or end by itself
	ruleRoutes     = "routes"      // the attempts of a lookup follow routes that were active when it arrived
)

const lookupRetention = 15 * time.Second // a lookup is removed this long after its end

// checker checks the rules after each step. It sees every connection and the true state of every actor. Of the state of
// a gateway it reads only the counts, which must agree with the gateway's connections.
type checker struct {
	scenario     *Scenario
	violations   []Violation
	lookups      map[string]*lookup // by ID, until lookupRetention after their end
	lookupCount  int
	outcomes     map[string]int
	versions     map[string]int  // number of purges so far, by object or by groupKey
	deduplicated map[string]bool // zone followed by lookup ID, for deduplicated lookups that ran
	purges       []purge
	idleCount    uint64
	drainEvents  map[string]int // by cache ID: number of the event that announces its drain or removal
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

// violated records a violation and ends the run.
func (c *checker) violated(rule, format string, a ...any) {
	v := Violation{rule, c.now(), fmt.Sprintf(format, a...)}
	c.violations = append(c.violations, v)
	c.scenario.record("BROKEN %s: %s", rule, v.Detail)
	c.scenario.sim.Halt()
}

// lookupSent starts to track a lookup that its client sends now.
func (c *checker) lookupSent(l *lookup) {
	c.lookupCount++
	if l.repeats == 0 {
		l.firstSentAt = c.now()
		if l.isEarly() {
			c.scenario.earlyLookups.Sent++
		}
	}
	c.lookups[l.id] = l
	c.scenario.sim.RecordStep(simenv.StepLookup, l.id, "", 0)
}

// lookupReceived records that a lookup has reached its gateway completely, and schedules the check of its deadline.
func (c *checker) lookupReceived(l *lookup) {
	l.receivedAt = c.now()
	if c.scenario.hooks.onReceived != nil {
		c.scenario.hooks.onReceived(c.scenario, l)
	}
	c.scenario.after(l.deadline+socketSlack+time.Millisecond, func() {
		// An answer that has begun in time may wait for its client to read it.
		if l.ended || !l.conn.isOwedAnswer(l) || l.conn.isAnswering() {
			return
		}
		c.violated(ruleOneAnswer, "lookup %s (%s), received by %s, has no answer after %v; its deadline is %v", l.id, l.kindSettings().name,
			l.process.name(), c.now()-l.receivedAt, l.deadline)
	})
}

// lookupEnded records the outcome of a lookup, to which no answer is owed from now on.
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

// isSatisfied reports whether an outcome is a status that satisfies a lookup, 200 or 304.
func isSatisfied(outcome string) bool { return outcome == "200" || outcome == "304" }

// clientAnswer is a complete answer that a gateway wrote to a client.
type clientAnswer struct {
	status     int
	etag       string
	body       string
	retryAfter time.Duration
}

// clientAnswered checks a complete answer and ends its lookup.
func (c *checker) clientAnswered(l *lookup, answer clientAnswer) {
	// The first byte counts. The gateway writes the rest at once, so a slow network or client causes any further delay.
	if late := l.answerStartedAt() - (l.receivedAt + l.deadline + socketSlack); late > 0 {
		c.violated(ruleOneAnswer, "the answer %d to lookup %s is %v late", answer.status, l.id, late)
	}
	switch answer.status {
	case 200, 304:
		c.checkSatisfied(l, answer)
	case 503, 429, 502:
		c.checkUnsatisfied(l, answer)
	default:
		c.violated(ruleOneAnswer, "lookup %s was answered with status %d, expected 200, 304, 429, 502 or 503", l.id, answer.status)
	}
	c.lookupEnded(l, strconv.Itoa(answer.status))
}

// checkUnsatisfied checks an answer that rejects or fails a lookup: the gateway must not have let time pass without an
// attempt, and a rejection after an attempt must say when to retry.
func (c *checker) checkUnsatisfied(l *lookup, answer clientAnswer) {
	now := c.now()
	// An attempt may also wait for its connection to open, or behind a line that its cache does not read.
	lastBusy := max(l.lastInFlight, l.receivedAt, l.process.process.LastDialing(), l.process.process.LastBlocked())
	if l.isHeldBack(now, lastBusy) {
		c.violated(ruleHeldBack, "lookup %s was answered %d after %v of its deadline of %v, with no attempt in flight for %v", l.id, answer.status,
			now-l.receivedAt, l.deadline, now-lastBusy)
	}
	if answer.status != 502 && answer.retryAfter <= 0 && len(l.attempts) > 0 {
		c.violated(ruleHeldBack, "lookup %s was rejected without a time to retry", l.id)
	}
}

// checkSatisfied checks that a served copy came from an attempt of its lookup. The copy must not be older than a purge
// of which the gateway was notified more than purgeGrace before the attempt.
func (c *checker) checkSatisfied(l *lookup, answer clientAnswer) {
	from, served := l.attemptOf(answer)
	if from == nil {
		c.violated(ruleOneAnswer, "lookup %s was served status %d, tag %s and %d bytes, which no cache answered for it", l.id, answer.status,
			answer.etag, len(answer.body))
		return
	}
	for _, p := range c.purges {
		if !p.makesStale(l, served) {
			continue
		}
		if notified := l.process.notifiedAt(p.number); notified > 0 && from.firstByteAt > notified+purgeGrace+socketSlack {
			c.violated(rulePurged, "lookup %s (%s) was served a copy %v older than a purge of which %s was notified %v before the attempt", l.id, l.object,
				p.issued.Sub(served.createdAt), l.process.name(), from.firstByteAt-notified)
		}
	}
}

// attemptOf returns the attempt and the copy from which an answer can have come, nil if there are none.
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

// checkForwardedAnswer checks an answer that a gateway allows a caller to forward now. The copy must not be older than
// a purge of which the gateway was notified more than purgeGrace ago, whenever the attempt was sent.
func (c *checker) checkForwardedAnswer(l *lookup, forwarded *cachedCopy) {
	for _, p := range c.purges {
		if !p.makesStale(l, forwarded) {
			continue
		}
		if notified := l.process.notifiedAt(p.number); notified > 0 && c.now() > notified+purgeGrace+socketSlack {
			c.violated(rulePurged, "lookup %s (%s): an answer %v older than a purge is accepted; %s was notified of the purge %v ago", l.id, l.object,
				p.issued.Sub(forwarded.createdAt), l.process.name(), c.now()-notified)
		}
	}
}
