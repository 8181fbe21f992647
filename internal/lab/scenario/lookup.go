package scenario

import "time"

// lookup is a client's lookup at one gateway, as the checker tracks it.
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
	receivedAt   time.Duration // when its last byte reached the gateway's host; 0: not yet
	ended        bool          // it was answered, or no answer is owed any more
	clientGone   bool
	clientGoneAt time.Duration // when its client closed or reset the connection
	attempts     []*attempt
	lastInFlight time.Duration // when an attempt was last in flight
	repeats      int           // number of rejected lookups that it repeats
	firstSentAt  time.Duration // when it, or the first lookup that it repeats, was sent
	onAnswer     func(status int, retryAfter time.Duration)
	routeSides   *[2]bool // by side: whether it was active at arrival and allows all attempts so far; nil: no attempt yet
}

func (l *lookup) kindSettings() *lookupKind { return &lookupKinds[l.kind] }

func (l *lookup) key() string { return partKey(l.object, l.part) }

// objective returns the lookup's latency objective, which depends on the kind and on the part's size.
func (l *lookup) objective() time.Duration {
	kind := l.kindSettings()
	stretch := time.Duration(kind.objectiveStretch * float64(partWork(l.object, l.part)))
	return min(kind.objective+stretch, kind.deadline)
}

// answerStartedAt returns when the gateway wrote the first byte of the answer that it has just completed.
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

// isHeldBack reports whether the gateway held the lookup without an attempt before rejecting or failing it now.
// lastBusy is when the gateway last had a reason to wait.
func (l *lookup) isHeldBack(now, lastBusy time.Duration) bool {
	elapsed := now - l.receivedAt
	return !l.hasAwaitedAttempt() && now-lastBusy > 400*time.Millisecond && elapsed > l.objective()+300*time.Millisecond && elapsed > l.deadline/2
}

// attempt is an attempt as the checker saw it on a gateway's wire.
type attempt struct {
	lookup      *lookup
	conn        *cacheConn
	firstByteAt time.Duration
	inFlight    bool
	awaited     bool          // its outcome has not reached the gateway, and the gateway has not cancelled it
	answers     []*cachedCopy // copies with which the cache answered it
	notModified bool          // one of the answers was "not modified", without a body
}
