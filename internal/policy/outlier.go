// Outlier ejection: which cache is out of use, its probes, and when it is readmitted.

package policy

import (
	"fmt"
	"slices"
)

const (
	errorsMove = 3  // so many plain errors of a cache in a row move lookups on, so many put it out:
	errorsOut  = 10 // chance alone does not make them where one in four ends so everywhere

	recentTimes                    = 10                // of a cache or parent, over which its mean is taken
	trialEvery                     = 1 * second        // between trials of a cache or parent that is out
	lagMultiple, lagFloor, lagPart = 3.0, 250 * ms, .1 // of others' mean; past it, of first bytes; of a budget
)

// noteAnswer notes a good answer; a good probe readmits a cache; one that died warms up as if started then.
func (r *Router) noteAnswer(c *Cache, s *Send) {
	c.heard, c.strikes, c.errors = r.now, 0, 0
	if c.ejected && c.probe == s {
		if c.died || c.warmingSince == 0 && c.Kind == r.its.ParentKind && r.now-c.ejectedAt > coldAfter {
			c.beginSlowStart(r.now, r.now)
		}
		c.ejected, c.recents = false, 0
		r.log("%s back after %d us", c.Name, r.now-c.ejectedAt)
	}
	c.died = c.died && c.ejected
}

// countFailures weighs one account: so many in a row eject the cache, a failed probe puts the next one off.
func (r *Router) countFailures(c *Cache, n, most int, why string) {
	if c.ejected {
		c.nextProbe, c.lags = r.now+trialEvery, false
	} else if n >= most {
		r.eject(c, fmt.Sprintf("%s, %d in a row", why, n))
	}
}

func (r *Router) eject(c *Cache, why string) {
	c.ejected, c.ejectedAt, c.lags = true, r.now, false
	c.nextProbe = r.now + trialEvery/2 + Micros(r.chance.next()%uint32(trialEvery/2))
	r.log("%s out: %s", c.Name, why)
}

// probeDue tells whether a cache may have the lookup: one that is out gets one at a time, of no unusual size,
// or any, where it only lags and routes leave no other edge that is in (a panic threshold).
func (r *Router) probeDue(c *Cache, lk *Lookup) bool {
	in := func(o *Cache) bool { return !o.ejected && o.State == Ready && lk.scope.edge(o) }
	return !c.ejected || c.lags && c.mute == 0 && !slices.ContainsFunc(r.edges, in) ||
		c.probe == nil && r.now >= c.nextProbe && float64(lk.work) <= 1.5*lk.kind.mean(r.now)
}

// timed tells whether a send's time tells of where it went: it was answered, or ended overdue unanswered
// (a slow cache's sends end so, and would else not count against it).
func (r *Router) timed(s *Send, got *ending) bool {
	return got.end == Satisfied || r.now >= s.overdue && (got.end == TimedOut || got.end == Cancelled)
}

// timeAmong keeps recent times and puts out one that lags behind its group's others, while half are in.
func (r *Router) timeAmong(p *Cache, group []*Cache, took, n, floor float64) {
	i := p.recents % recentTimes
	p.recentTook[i], p.recentN[i] = took, n
	if p.recents++; p.recents < recentTimes || p.ejected {
		return
	}
	mine, others, heard, out := p.mean(), 0.0, 0.0, 1 // the unheard count as average
	for _, o := range group {
		if o.ejected {
			out++
		}
		if o != p && o.recents > 0 {
			others, heard = others+o.mean(), heard+1
		}
	}
	others /= max(heard, 1)
	if heard > 0 && 2*out <= len(group) && mine > max(lagMultiple*others, others+floor/n) {
		r.eject(p, fmt.Sprintf("lags, mean %.0f against %.0f", mine, others))
		p.lags = p.Kind != r.its.ParentKind
	}
}

// findSilent tells silent from slow. A full link makes fills late: while a cache owes one lookups look first,
// and two looks unanswered put it out; a parent three fills, while others are heard and owe few.
func (r *Router) findSilent() {
	newest, mute := Micros(0), 0 // mute: fills that all parents owe
	for _, c := range r.caches {
		if c.mute, c.muteLooks = 0, 0; c.Kind == r.its.ParentKind {
			newest = max(newest, c.heard)
		}
	}
	for _, s := range r.open {
		p := s.source
		switch {
		case r.now < s.overdue:
		case s.to.heard < s.at:
			s.to.mute++
			if p == s.to || s.lk.write {
				s.to.muteLooks++
			}
		case p.Kind == r.its.ParentKind && p.heard < s.at && r.now > s.overdue+200*ms:
			if mute++; newest >= s.at {
				p.mute++
			}
		}
	}
	for _, c := range r.caches {
		if !c.ejected && (c.muteLooks >= 2 || c.Kind == r.its.ParentKind && c.mute >= 3 && 3*c.mute > 2*mute) {
			r.eject(c, fmt.Sprintf("silent, %d overdue", c.mute))
		}
	}
	for _, s := range r.open {
		lk := s.lk
		stuck := s.to.ejected && s.to.heard < s.at || s.source.ejected && s.source.heard < s.at
		if stuck && r.now >= s.overdue && lk.deadline-r.now > lk.work && len(lk.sends) < r.its.SendLimit &&
			lk.kind.Effect == Idempotent {
			r.cancel(s)
		}
	}
}
