package upstream

import (
	"errors"
	"net"
	"os"
	"time"

	"foldslip/internal/policy"
)

const (
	// stalledResponseTimeout is the maximum pause within a response. A response that stops in the middle
	// would block all other attempts on its connection.
	stalledResponseTimeout = 250 * time.Millisecond
	// idleTimeoutTenths is the part of the caches' own idle timeout, in tenths, after which the gateway closes an
	// idle connection. The gateway closes first, so that no attempt is sent while the cache closes the connection.
	idleTimeoutTenths = 8
)

const (
	errNoVersion   = invalidResponseError("copy without field ver or born")
	errUnknownCopy = invalidResponseError("VALID response for a copy that the client does not hold")
)

// readResponses reads responses until the connection ends, and returns the reason why it ended.
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

// readMore reads once from the connection. It returns a reason if the connection ends. An idle
// connection without open attempts ends.
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
	case errors.Is(err, os.ErrDeadlineExceeded) && !c.markClosedIfIdle():
		return ""
	}
	return c.closeReason(err)
}

// handleResponse delivers a response to its lookup. It returns a reason if the connection must be
// closed. A response to no open attempt (the attempt was given up or already answered, or the id is
// unknown) is ignored. Such a response is complete, so the other attempts on the connection go on.
func (c *cacheConn) handleResponse(r response, invalid error) (closeReason string) {
	a := c.attemptFor(r.id)
	if a == nil {
		c.pool.strays.Acquire() // a cache that sends them without a pause must not hold up the attempts at others
		c.pool.strays.Release()
		return ""
	}
	// An object without a version or a creation time is not a copy. Only a lookup that runs at the origin may get it.
	if invalid == nil && r.hasNoVersion && !a.lookup.PassThrough {
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
		return "" // the attempt was given up in the meantime
	}
	if r.notModified && r.etag != a.lookup.ETag {
		r.outcome = policy.OutcomeError // the response does not confirm the copy that the client holds
		c.logInvalidResponse(errUnknownCopy)
	}
	c.rejectOutdated(a, &r)
	if r.outcome == policy.OutcomeSatisfied {
		storeObject(a, &r)
	}
	c.pool.reportOutcome(a, r.outcome, r.detail, r.sourceWait)
	return ""
}

// attemptFor counts a response and returns the open attempt that it belongs to, or nil if there is none.
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

// rejectOutdated changes the outcome of a copy that is older than a purge in force to a timeout, no
// matter when its attempt was sent. It enforces rule 5, which forbids copies that are older than a
// purge. To the policy this is the same as no response: if the object kind allows it, the policy sends
// another attempt that takes the purge into account. The attempt has run and must not be reported as not
// sent. Otherwise a lookup with side effects would run a second time, which rule 2 forbids.
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

// storeObject stores the object of a response in its lookup, and changes the outcome if that is not possible.
func storeObject(a *attempt, r *response) {
	switch stored, ended := a.lookup.store(a.step.Attempt, *r); {
	case ended:
		r.outcome = policy.OutcomeTimeout // the lookup has just ended; this is not a fault of the cache
	case !stored:
		r.outcome = policy.OutcomeError // objects that clients read slowly use up the byte capacity; the attempt may have run
	}
}

func (c *cacheConn) logInvalidResponse(err error) {
	c.pool.env.Log().Warn("cache_fault", "cache", c.cache.ID, "error", err.Error())
}
