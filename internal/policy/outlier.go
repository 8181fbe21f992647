// Outlier ejection: which cache is out of use, its probes, and when it is readmitted.

package policy

import (
	"fmt"
	"slices"
)

const (
	errorsToAvoid = 3  // so many plain errors of a cache in a row move lookups on, so many put it out:
	errorsToEject = 10 // chance alone does not make them where one in four ends so everywhere

	latencyWindow                                     = 10                         // of a cache or parent, over which its mean is taken
	probeInterval                                     = 1 * second                 // between trials of a cache or parent that is out
	slowMultiple, slowFirstByteFloor, slowBudgetShare = 3.0, 250 * millisecond, .1 // of others' mean; past it, of first bytes; of a budget
)

// noteSuccess notes a good answer; a good probe readmits a cache; one that died warms up as if started then.
func (r *Router) noteSuccess(c *Cache, s *Attempt) {
	c.lastSuccessAt, c.failuresInRow, c.errorsInRow = r.now, 0, 0
	if c.ejected && c.probe == s {
		if c.restartsCold || c.warmingSince == 0 && c.Kind == r.settings.ParentKind && r.now-c.ejectedAt > coldAfterOutage {
			c.beginSlowStart(r.now, r.now)
		}
		c.ejected, c.latencySamples = false, 0
		r.logf("%s back after %d us", c.Name, r.now-c.ejectedAt)
	}
	c.restartsCold = c.restartsCold && c.ejected
}

// countFailures weighs one account: so many in a row eject the cache, a failed probe puts the next one off.
func (r *Router) countFailures(c *Cache, n, most int, why string) {
	if c.ejected {
		c.nextProbeAt, c.isOnlySlow = r.now+probeInterval, false
	} else if n >= most {
		r.eject(c, fmt.Sprintf("%s, %d in a row", why, n))
	}
}

func (r *Router) eject(c *Cache, why string) {
	c.ejected, c.ejectedAt, c.isOnlySlow = true, r.now, false
	c.nextProbeAt = r.now + probeInterval/2 + Micros(r.random.next()%uint32(probeInterval/2))
	r.logf("%s out: %s", c.Name, why)
}

// mayReceive tells whether a cache may have the lookup: one that is out gets one at a time, of no unusual size,
// or any, where it only lags and routes leave no other edge that is in (a panic threshold).
func (r *Router) mayReceive(c *Cache, lk *Lookup) bool {
	in := func(o *Cache) bool { return !o.ejected && o.State == Ready && lk.scope.allowsEdge(o) }
	return !c.ejected || c.isOnlySlow && c.overdueCount == 0 && !slices.ContainsFunc(r.edges, in) ||
		c.probe == nil && r.now >= c.nextProbeAt && float64(lk.work) <= 1.5*lk.kind.meanWork(r.now)
}

// measuresLatency tells whether a send's time tells of where it went: it was answered, or ended overdue unanswered
// (a slow cache's sends end so, and would else not count against it).
func (r *Router) measuresLatency(s *Attempt, got *attemptReport) bool {
	return got.outcome == OutcomeSatisfied || r.now >= s.overdueAt && (got.outcome == OutcomeTimeout || got.outcome == OutcomeCancelled)
}

// recordLatency keeps recent times and puts out one that lags behind its group's others, while half are in.
func (r *Router) recordLatency(p *Cache, group []*Cache, took, n, floor float64) {
	i := p.latencySamples % latencyWindow
	p.recentLatency[i], p.recentSize[i] = took, n
	if p.latencySamples++; p.latencySamples < latencyWindow || p.ejected {
		return
	}
	mine, others, heard, out := p.meanLatency(), 0.0, 0.0, 1 // the unheard count as average
	for _, o := range group {
		if o.ejected {
			out++
		}
		if o != p && o.latencySamples > 0 {
			others, heard = others+o.meanLatency(), heard+1
		}
	}
	others /= max(heard, 1)
	if heard > 0 && 2*out <= len(group) && mine > max(slowMultiple*others, others+floor/n) {
		r.eject(p, fmt.Sprintf("lags, mean %.0f against %.0f", mine, others))
		p.isOnlySlow = p.Kind != r.settings.ParentKind
	}
}

// ejectSilent tells silent from slow. A full link makes fills late: while a cache owes one lookups look first,
// and two looks unanswered put it out; a parent three fills, while others are heard and owe few.
func (r *Router) ejectSilent() {
	newest, mute := Micros(0), 0 // mute: fills that all parents owe
	for _, c := range r.caches {
		if c.overdueCount, c.overdueNoFill = 0, 0; c.Kind == r.settings.ParentKind {
			newest = max(newest, c.lastSuccessAt)
		}
	}
	for _, s := range r.openAttempts {
		p := s.source
		switch {
		case r.now < s.overdueAt:
		case s.edge.lastSuccessAt < s.startedAt:
			s.edge.overdueCount++
			if p == s.edge || s.lookup.passThrough {
				s.edge.overdueNoFill++
			}
		case p.Kind == r.settings.ParentKind && p.lastSuccessAt < s.startedAt && r.now > s.overdueAt+200*millisecond:
			if mute++; newest >= s.startedAt {
				p.overdueCount++
			}
		}
	}
	for _, c := range r.caches {
		if !c.ejected && (c.overdueNoFill >= 2 || c.Kind == r.settings.ParentKind && c.overdueCount >= 3 && 3*c.overdueCount > 2*mute) {
			r.eject(c, fmt.Sprintf("silent, %d overdue", c.overdueCount))
		}
	}
	for _, s := range r.openAttempts {
		lk := s.lookup
		stuck := s.edge.ejected && s.edge.lastSuccessAt < s.startedAt || s.source.ejected && s.source.lastSuccessAt < s.startedAt
		if stuck && r.now >= s.overdueAt && lk.deadline-r.now > lk.work && len(lk.attempts) < r.settings.MaxAttempts &&
			lk.kind.Effect == Idempotent {
			r.cancelAttempt(s)
		}
	}
}
