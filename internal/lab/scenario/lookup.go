package scenario

import "time"

// lookup is a lookup of a client at one gateway, as the checker follows it.
type lookup struct {
	id           string
	object       string
	kind         int
	part         int
	group        int
	etag         string
	body         string
	deadline     time.Duration // from receivedAt
	process      *gatewayProcess
	conn         *clientConn
	receivedAt   time.Duration // its last byte reached the gateway's machine; 0: not yet
	ended        bool          // answered, or no answer is owed any more
	clientGone   bool
	clientGoneAt time.Duration // its client closed or reset the connection
	attempts     []*attempt
	lastInFlight time.Duration // when an attempt was last in flight
	repeats      int           // of a lookup that was rejected
	firstSentAt  time.Duration // of it, or of the lookup that it repeats
	onAnswer     func(status int, retryAfter time.Duration)
	routeSides   *[2]bool // routes that all its attempts so far may have been decided under; nil: no attempt yet
}

func (l *lookup) kindSettings() *lookupKind { return &lookupKinds[l.kind] }

func (l *lookup) key() string { return partKey(l.object, l.part) }

// objective is the latency in which the gateway aims to answer.
func (l *lookup) objective() time.Duration {
	kind := l.kindSettings()
	stretch := time.Duration(kind.objectiveStretch * float64(partWork(l.object, l.part)))
	return min(kind.objective+stretch, kind.deadline)
}

// answerStartedAt is when the answer that the gateway has just finished began.
func (l *lookup) answerStartedAt() time.Duration {
	if l.conn == nil || l.conn.firstByteAt == 0 {
		return l.process.actor.scenario.now()
	}
	return l.conn.firstByteAt
}

// hasAwaitedAttempt reports whether the gateway waits for the outcome of an attempt.
func (l *lookup) hasAwaitedAttempt() bool {
	for _, a := range l.attempts {
		if a.awaited {
			return true
		}
	}
	return false
}

// isHeldBack reports whether the gateway, that rejects or fails the lookup now, let its time pass without an attempt. lastBusy is when it
// last had a reason to wait.
func (l *lookup) isHeldBack(now, lastBusy time.Duration) bool {
	elapsed := now - l.receivedAt
	return !l.hasAwaitedAttempt() && now-lastBusy > 400*time.Millisecond && elapsed > l.objective()+300*time.Millisecond && elapsed > l.deadline/2
}

// attempt is an attempt as it was on a gateway's wire.
type attempt struct {
	lookup      *lookup
	conn        *cacheConn
	firstByteAt time.Duration
	inFlight    bool
	awaited     bool          // its outcome has not reached the gateway, which has not given it up
	answers     []*cachedCopy // that the cache made for it
	notModified bool          // one of them said so without bytes
}
