package upstream

import (
	"errors"
	"net"
	"os"
	"time"

	"foldslip/internal/policy"
)

const (
	// stalledResponseTimeout bounds the pause within a response: one that stops short would hold up all other attempts on its connection.
	stalledResponseTimeout = 250 * time.Millisecond
	// This share of the caches' own idle timeout passes before the gateway closes an idle connection: no attempt then meets a cache that
	// closes at the same time.
	idleTimeoutTenths = 8
)

const (
	errNoVersion   = invalidResponseError("a copy without ver or born")
	errUnknownCopy = invalidResponseError("VALID for a copy that the client does not hold")
)

// readResponses reads responses until the connection ends, and returns why it did.
func (c *cacheConn) readResponses(conn net.Conn) (closeReason string) {
	for {
		r, size, err := parseResponse(c.input.Bytes())
		switch {
		case size > 0:
			closeReason = c.handleResponse(r, err)
			c.input.Discard(size)
		case errors.Is(err, errIncomplete):
			closeReason = c.readMore(conn)
		default:
			c.logInvalidResponse(err)
			closeReason = "bad_answer"
		}
		if closeReason != "" {
			return closeReason
		}
	}
}

// readMore reads once. It returns a reason if the connection ends, as an idle one without attempts does.
func (c *cacheConn) readMore(conn net.Conn) (closeReason string) {
	hasBegun := len(c.input.Bytes()) > 0
	timeout := time.Duration(c.pool.settings.IdleTimeout) * time.Microsecond * idleTimeoutTenths / 10
	if hasBegun {
		timeout = stalledResponseTimeout
	}
	conn.SetReadDeadline(c.pool.env.Now().Add(timeout))
	err := c.input.Fill(conn, maxResponseBytes)
	switch {
	case err == nil:
		return ""
	case errors.Is(err, os.ErrDeadlineExceeded) && hasBegun:
		return "stalled"
	case errors.Is(err, os.ErrDeadlineExceeded) && !c.closeToAttempts():
		return ""
	}
	return c.closeReason(err)
}

// handleResponse gives a response to its lookup. It returns a reason if the connection must end. A response to no open attempt (given up,
// answered already, or another's) is complete and harms nothing: the attempts around it go on.
func (c *cacheConn) handleResponse(r response, invalid error) (closeReason string) {
	a := c.attemptFor(r.id)
	if a == nil {
		return ""
	}
	if invalid == nil && r.hasNoVersion && !a.lookup.PassThrough { // guards clients against bytes that no cache vouches for
		invalid = errNoVersion
	}
	if invalid != nil {
		c.logInvalidResponse(invalid)
		return "bad_answer"
	}
	c.mu.Lock()
	removed := c.remove(a, false)
	c.mu.Unlock()
	if !removed {
		return "" // given up this moment
	}
	if r.notModified && r.etag != a.lookup.ETag {
		r.outcome = policy.OutcomeError // says nothing of the copy that the client holds
		c.logInvalidResponse(errUnknownCopy)
	}
	c.rejectOutdated(a, &r)
	if r.outcome == policy.OutcomeSatisfied {
		storeObject(a, &r)
	}
	c.pool.reportOutcome(a, r.outcome, r.detail, r.sourceWait)
	return ""
}

// attemptFor returns the open attempt that a response is for and counts the response; nil if there is none.
func (c *cacheConn) attemptFor(id string) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastResponseAt = c.pool.env.Now()
	a := c.attempts[id]
	if a == nil {
		delete(c.givenUpAt, id)
		c.strayResponses++
		return nil
	}
	c.responses++
	return a
}

// rejectOutdated gives a copy that is older than a purge in force the outcome of a timeout, whenever its attempt was sent (rule 5). To the
// policy it is as if no response had come: where the object kind allows it, it sends another attempt with the purge in mind. The attempt
// has run, so it must not count as not sent: a lookup with side effects would run a second time (rule 2).
func (c *cacheConn) rejectOutdated(a *attempt, r *response) {
	issuedAt, receivedAt := c.pool.purges.InForce(a.lookup.Object, a.lookup.Group)
	if r.outcome != policy.OutcomeSatisfied || r.hasNoVersion || !r.createdAt.Before(issuedAt) {
		return
	}
	now := c.pool.env.Now()
	c.pool.env.Log().Warn("outdated_copy", "cache", c.cache.ID, "older_ms", issuedAt.Sub(r.createdAt).Milliseconds(), "told_ms_ago",
		now.Sub(receivedAt).Milliseconds(), "sent_ms_ago", now.Sub(a.sentAt).Milliseconds())
	r.outcome = policy.OutcomeTimeout
	r.detail = policy.DetailNone
}

// storeObject keeps what a response brought for its lookup, and changes the outcome where it cannot.
func storeObject(a *attempt, r *response) {
	switch stored, ended := a.lookup.store(a.step.Attempt, *r); {
	case ended:
		r.outcome = policy.OutcomeTimeout // the lookup has just ended: no fault of the cache
	case !stored:
		r.outcome = policy.OutcomeError // objects that clients are slow to take fill the capacity; the attempt may have run
	}
}

func (c *cacheConn) logInvalidResponse(err error) {
	c.pool.env.Log().Warn("cache_fault", "cache", c.cache.ID, "error", err.Error())
}
