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
	maxLimitedKB   = 1e6 // a larger size counts as this one
	microsPerMilli = 1000
)

// Ticket is a lookup that was admitted, with the version and the route that it was decided under. End must be called once.
type Ticket struct {
	Version uint64
	pools.Decision

	controller    *Controller
	permits       []*limit.Permit
	limits        []*limit.Limit // of the permits
	isUnderChange bool           // decided under the staged version
}

// Admit decides a lookup's route and admits it under the limits of its tenant, route and pool. If one of them rejects it there is no ticket,
// but a reason and the time after which to retry.
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

// reject gives back what a lookup has got before a limit rejected it. The guard gets it as rejected: a limit that is too small is a bad change
// too. The lock is held.
func (t *Ticket) reject(now time.Time) {
	for _, permit := range t.permits {
		permit.Release(now, false, false)
	}
	t.observe(now, change.Outcome{Rejected: true})
}

func (t *Ticket) observe(now time.Time, outcome change.Outcome) {
	t.controller.guard.Observe(now, t.isUnderChange || t.controller.isUnconfirmed(t.Version), outcome)
}

// isUnconfirmed reports whether a version is active for all and not confirmed.
func (c *Controller) isUnconfirmed(version uint64) bool {
	return c.active.Load().Base == version && c.versions.Confirmed() != version
}

// Scope returns what the policy may choose from, nil if it is anything.
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

// allowRetry asks each limit's retry budget for one more attempt. The policy calls it, under the dispatcher's lock.
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

// End ends the lookup: satisfied in time, rejected, or late or failed.
func (t *Ticket) End(isSatisfied, isRejected, isLate bool) {
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	now := t.controller.env.Now()
	for _, permit := range t.permits {
		permit.Release(now, isSatisfied, isRejected || isLate)
	}
	t.observe(now, change.Outcome{Satisfied: isSatisfied, Rejected: isRejected, Late: isLate})
}

// FleetLimits calls a function for each active limit of the fleet, under the lock.
func (c *Controller) FleetLimits(visit func(name string, spec limit.Spec, usage limit.Usage)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits.EachFleetWide(func(name string, l *limit.Limit) { visit(name, l.Spec(), l.Usage()) })
}

// ApplyLeases sets what this gateway may admit of the fleet's limits, by their names. Leases are in the machine's time, from which the
// environment's may differ.
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
