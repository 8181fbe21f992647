package rollout

import (
	"time"

	"foldslip/internal/config/change"
	"foldslip/internal/limit"
	"foldslip/internal/policy"
	"foldslip/internal/route/pools"
)

const (
	bytesPerKB     = 1000
	maxLimitedKB   = 1e6 // a larger object counts with this size
	microsPerMilli = 1000
)

// Ticket represents an admitted lookup, with the version and the
// route under which it was decided. End must be called exactly once.
type Ticket struct {
	Version uint64
	pools.Decision

	controller    *Controller
	permits       []*limit.Permit
	limits        []*limit.Limit // limits that granted the permits, in the same order
	isUnderChange bool           // the lookup was decided under the staged version
}

// Admit decides the route of a lookup and admits the lookup under the limits of its tenant, route and pool. If
// one of the limits rejects the lookup, Admit returns no ticket but the reason and the time after which to retry.
func (c *Controller) Admit(kind, group int, object string, kb float64) (*Ticket, limit.Reason, time.Duration) {
	views := c.active.Load()
	view := views.base
	if views.VersionFor(pools.Hash(object)) != views.Base {
		view = views.next
	}
	t := &Ticket{Version: view.Version, Decision: view.Route(kind, group, object), controller: c, isUnderChange: view != views.base}
	if t.Decision.Route == "" {
		return t, limit.Allowed, 0
	}
	now := c.env.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	bytes := int(min(kb, maxLimitedKB) * bytesPerKB)
	for _, name := range []string{"tenant " + t.Tenant, "route " + t.Decision.Route, "pool " + t.Decision.Scope.Pool} {
		l := c.limits.Find(name)
		if l == nil {
			continue
		}
		permit, reason, retryAfter := l.Admit(now, t.Tenant, 1, bytes)
		if reason != limit.Allowed {
			t.reject(now)
			return nil, reason, retryAfter
		}
		t.permits = append(t.permits, permit)
		t.limits = append(t.limits, l)
	}
	return t, limit.Allowed, 0
}

// reject releases the permits that a lookup was granted before a limit rejected it. The guard observes the lookup
// as rejected, because a change with too small a limit is a bad change too. The caller holds the controller's mu.
func (t *Ticket) reject(now time.Time) {
	for _, permit := range t.permits {
		permit.Release(now, false, false)
	}
	t.observe(now, change.Outcome{Rejected: true})
}

func (t *Ticket) observe(now time.Time, outcome change.Outcome) {
	t.controller.guard.Observe(now, t.isUnderChange || t.controller.isUnconfirmed(t.Version), outcome)
}

// isUnconfirmed reports whether a version is active for all objects and not confirmed.
func (c *Controller) isUnconfirmed(version uint64) bool {
	return c.active.Load().Base == version && c.versions.Confirmed() != version
}

// Scope returns the caches, the sources and the retries that the policy may
// choose, or nil if the lookup has no route and the choice is not limited.
func (t *Ticket) Scope() *policy.Scope {
	if t.Decision.Scope == nil {
		return nil
	}
	scope := &policy.Scope{Caches: t.Decision.Scope.Caches, Sources: t.Decision.Scope.Sources, MaxAge: t.MaxAgeMS * microsPerMilli}
	if len(t.limits) > 0 {
		scope.AllowRetry = t.allowRetry
	}
	return scope
}

// allowRetry asks the retry budget of each limit for one more attempt and
// reports whether all allow it. The policy calls it under the dispatcher's lock.
func (t *Ticket) allowRetry() bool {
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	now := t.controller.env.Now()
	for _, l := range t.limits {
		if l.AllowRetry(now) != limit.Allowed {
			return false
		}
	}
	return true
}

// End ends the lookup and releases its permits. The arguments say whether
// the lookup was satisfied in time, was rejected, or was late or failed.
func (t *Ticket) End(isSatisfied, isRejected, isLate bool) {
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	now := t.controller.env.Now()
	for _, permit := range t.permits {
		permit.Release(now, isSatisfied, isRejected || isLate)
	}
	t.observe(now, change.Outcome{Satisfied: isSatisfied, Rejected: isRejected, Late: isLate})
}

// FleetLimits calls visit for each active limit of the fleet. It holds the controller's lock during the calls.
func (c *Controller) FleetLimits(visit func(name string, spec limit.Spec, usage limit.Usage)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits.EachFleetWide(func(name string, l *limit.Limit) { visit(name, l.Spec(), l.Usage()) })
}

// ApplyLeases sets the leases of fleet-wide limits by the names of the limits. A lease
// is the part of a limit that this gateway may admit. A lease expires by the machine's
// time, from which the environment's time may differ, so ApplyLeases converts it.
func (c *Controller) ApplyLeases(leases map[string]limit.Lease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.env.Now()
	offset := time.Until(now)
	for name, lease := range leases {
		if l := c.limits.Find(name); l != nil {
			lease.ExpiresAt = lease.ExpiresAt.Add(offset)
			l.SetLease(now, lease)
		}
	}
}
