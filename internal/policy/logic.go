// Package policy decides for one router: which cache, which source, which rank, how long, what is given up.
// The front end (an adapter or a gateway) makes a Router with Start, caches with NewCache, and tells it what
// happens and when; it answers through Host (host.go; plain types in state.go). One call at a time. A lookup
// goes down the chain intake > copies > edge > parent > dispatch as the draft of a send. A stage
// passes it on, keeps it (held) or ends it; what comes back runs the same stages in reverse.
// Choice of the edge: edge.go; of the source, and fills: fills.go; slow start of cold caches: slowstart.go;
// outlier ejection: outlier.go; load shedding: shedding.go. Sums and hashes without a decision: measure.go.
package policy

import (
	"maps"
	"math"
	"slices"
)

const (
	millisecond Micros = 1000
	second             = 1000 * millisecond

	sweepInterval                = 10 * millisecond
	timerSweep, timerResubscribe = 0, 1        // timers
	countDecayInterval           = 60 * second // LRU-SP's counts halve
	maxCounts                    = 60000       // of counts
	topSizeBand                  = 6           // of ranks: holds size over count up to 2^topBand KB

	measurementHalfLife = 1 * second // of what is measured over time
	overdueShare        = 0.75       // a send is overdue after this part of its latency budget
	silenceShare        = 0.5        // and its connection in doubt after this one, with nothing heard on it
	maxErrorAttempts    = 3          // a plain error on this send of a lookup, or a later one, is its last
)

// NewRouter makes a router. The list follows by Listed.
func NewRouter(now Micros, seed uint64, its *Settings, host Executor) *Router {
	r := &Router{executor: host, settings: its, now: now, random: randomSource{uint32(seed) | 1, uint32(seed>>32)%698769068 + 1},
		fillLimit: initialLimit, nextDecayAt: now + countDecayInterval, lookupCounts: map[uint64]float64{}, purges: map[uint64]Micros{}}
	for _, k := range its.Kinds {
		r.kinds = append(r.kinds, kindState{ObjectKind: k})
	}
	r.stages = []stage{
		{(*Router).checkTime, (*Router).decideNext},
		{(*Router).chooseCaching, nil},
		{(*Router).chooseEdge, (*Router).noteEdgeOutcome},
		{(*Router).chooseSource, (*Router).noteSourceOutcome},
		{(*Router).startAttempt, (*Router).closeAttempt},
	}
	if its.SubscribesToEndpoints {
		host.SubscribeEndpoints(true)
	}
	host.SetTimer(sweepInterval, timerSweep)
	return r
}

// InheritFrom takes over, at a move to settings of another shape, what still means the same: purges (rule 5),
// counts, and of each cache listed in both by name its warming (rule 4) and whether it is out. Limits, times
// and fills start afresh: what they were measured against may have changed. Call it after the first list.
func (r *Router) InheritFrom(from *Router) {
	maps.Copy(r.lookupCounts, from.lookupCounts)
	for key, at := range from.purges {
		r.purges[key] = max(r.purges[key], at)
	}
	was := map[string]*Cache{}
	for _, c := range from.caches {
		was[c.Name] = c
	}
	for _, c := range r.caches {
		if o := was[c.Name]; o != nil && o != c {
			c.warmingSince = max(c.warmingSince, o.warmingSince)
			if o.warmingSince != 0 { // else it has learned nothing of this start
				c.slowStartSent, c.slowStartScale, c.scaleUpdatedAt = o.slowStartSent, o.slowStartScale, o.scaleUpdatedAt
			}
			c.ejected, c.ejectedAt, c.nextProbeAt, c.restartsCold, c.isOnlySlow = o.ejected, o.ejectedAt, o.nextProbeAt, o.restartsCold, o.isOnlySlow
		}
	}
	r.logf("carried: %d counts, %d purges, %d caches", len(from.lookupCounts), len(from.purges), len(was))
}

// UpdateEndpoints takes a list of caches or changes to it.
func (r *Router) UpdateEndpoints(now Micros, what UpdateKind, rows []Endpoint) {
	r.now = now
	if what == UpdateFailed {
		r.executor.SetTimer(probeInterval, timerResubscribe)
		return
	}
	named := map[*Cache]bool{}
	for _, row := range rows {
		c := row.Cache
		if c.State == Gone && !named[c] { // only those in the list are not
			r.caches = append(r.caches, c)
		}
		named[c] = true
		if row.StartedAt > c.StartedAt || c.Confidence+row.Confidence > Confirmed && row.StartedAt != c.StartedAt {
			c.beginSlowStart(row.StartedAt, now)
		}
		if row.Confidence == Suspect && c.Confidence != Suspect && !c.ejected {
			c.ejected, c.ejectedAt, c.nextProbeAt = true, now, now // trials at once
		}
		c.Endpoint = row
	}
	r.caches = slices.DeleteFunc(r.caches, func(c *Cache) bool {
		if what != UpdateDelta && !named[c] {
			c.State = Gone
		}
		return c.State == Gone
	})
	r.groupCaches()
}

// StartLookup takes a lookup; the door may drop it when it comes back over.
func (r *Router) StartLookup(now Micros, door string, kind int, name string, part, group int, kb float64,
	deadline Micros, write, repeat bool) *Lookup {
	r.now = now
	k := &r.kinds[kind]
	lk := &Lookup{ID: door, kind: k, group: group, passThrough: write || k.PassThrough, isRepeat: repeat, sizeKB: kb,
		arrivedAt: now, deadline: deadline, scope: r.nextScope}
	r.nextScope = nil
	if r.settings.TransferKBPerSecond > 0 {
		lk.work = Micros(min(kb/r.settings.TransferKBPerSecond*float64(second), float64(k.Deadline))) // whatever size is claimed
	}
	lk.budgetEnd = now + min(lk.latencyBudget(), deadline-now)
	k.arrivedWork.add(now, float64(lk.work))
	k.arrivals.add(now, 1)
	lk.objectHash = hashString(name)
	lk.partHash = mixHash(lk.objectHash, uint64(part)+1)
	r.lookupCounts[lk.partHash]++
	r.routeLookup(lk)
	return lk
}

// AttemptEnded takes the ending of a send; closed tells that the client has its answer or has gone.
func (r *Router) AttemptEnded(now Micros, lk *Lookup, n int, e AttemptOutcome, remark OutcomeDetail, took, waited Micros,
	closed bool) {
	r.now = now
	if n < 0 || n >= len(lk.attempts) {
		return
	}
	s := lk.attempts[n]
	lk.ended = lk.ended || closed
	got := &attemptReport{e, remark, took, waited}
	for i := len(r.stages) - 1; i >= 0; i-- {
		if r.stages[i].observe != nil {
			r.stages[i].observe(r, s, got)
		}
	}
	r.sendQueued()
}

// ClientGone takes word that the client has gone.
func (r *Router) ClientGone(now Micros, lk *Lookup) {
	r.now = now
	r.finishLookup(lk)
}

// TimerFired is called when a timer comes due.
func (r *Router) TimerFired(now Micros, token int64) {
	r.now = now
	if token == timerResubscribe {
		r.executor.SubscribeEndpoints(true)
		return
	}
	r.executor.SetTimer(sweepInterval, timerSweep)
	r.observeCapacity(r.edges, &r.edgeCapacity)
	r.observeCapacity(r.parents, &r.parentCapacity)
	r.ejectSilent()
	r.sendQueued()
	if now >= r.nextDecayAt || len(r.lookupCounts) > maxCounts {
		r.decayCounts()
	}
}

// routeLookup sends a lookup down the chain.
func (r *Router) routeLookup(lk *Lookup) {
	s := &Attempt{lookup: lk, number: len(lk.attempts)}
	for _, st := range r.stages {
		switch st.decide(r, s) {
		case holdLookup:
			r.queued = append(r.queued, lk)
			return
		case endLookup:
			return
		}
	}
}

// checkTime ends what no send can help any more.
func (r *Router) checkTime(s *Attempt) stageResult {
	lk := s.lookup
	if len(lk.attempts) >= r.settings.MaxAttempts || lk.deadline-r.now <= max(lk.work, 0) {
		r.giveUp(lk)
		return endLookup
	}
	if r.now < lk.notBefore {
		return holdLookup
	}
	return proceed
}

// decideNext decides what follows an ending: nothing, another send, or a final answer.
func (r *Router) decideNext(s *Attempt, got *attemptReport) {
	lk := s.lookup
	for _, c := range []*Cache{s.edge, s.source} {
		if c.probe == s {
			c.probe = nil
		}
	}
	if !got.outcome.NeverRan() && lk.firstRunOn == nil {
		lk.firstRunAt, lk.firstRunOn = s.startedAt, s.edge
	}
	switch {
	case got.outcome == OutcomeSatisfied || lk.ended:
		r.finishLookup(lk)
	case lk.firstRunOn != nil && lk.kind.Effect == SideEffecting || lk.acceptsStale,
		got.outcome == OutcomeError && got.detail == DetailNone && len(lk.attempts) >= maxErrorAttempts: // no cache can use it
		r.giveUp(lk)
	case lk.openAttempts == 0:
		r.routeLookup(lk)
	}
}

// chooseCaching settles rank, age and manner: every fill is kept, ranked by size over count; purges bound the age.
func (r *Router) chooseCaching(s *Attempt) stageResult {
	lk := s.lookup
	if lk.passThrough {
		return proceed
	}
	s.rank = lk.cacheRank(r.lookupCounts[lk.partHash])
	if r.settings.CoalescesFills && !lk.avoidCoalescing {
		s.mode |= ModeCoalesce
	}
	if s.maxAge = lk.kind.MaxAge; s.maxAge > 0 {
		if s.mode |= ModeRevalidate; lk.acceptsStale {
			s.maxAge += lk.kind.StaleGrace
		}
	}
	s.maxAge = lk.scope.limitAge(s.maxAge)
	// Guards rule 5: heeded at once, not only after the grace, and kept until no older copy can be left.
	at := max(r.purges[lk.objectHash], r.purges[uint64(lk.group)])
	since := max(millisecond, r.now-at)
	if at > 0 && since < r.settings.PurgeSettleTime+second && (s.maxAge == 0 || since < s.maxAge) {
		s.maxAge = since
	}
	return proceed
}

// cacheRank is LRU-SP's group by log2 of size over recent count, folded into three.
func (lk *Lookup) cacheRank(n float64) int {
	switch {
	case n < 2:
		return 1
	case math.Floor(math.Log2(max(lk.sizeKB, 1)/n)) <= topSizeBand:
		return 3
	}
	return 2
}

// startAttempt sends the draft.
func (r *Router) startAttempt(s *Attempt) stageResult {
	lk, c := s.lookup, s.edge
	if len(lk.attempts) > 0 && !lk.scope.allowsRetry() {
		r.giveUp(lk)
		return endLookup
	}
	s.startedAt = r.now
	for _, t := range []*Cache{c, s.source} {
		if t.ejected {
			t.probe = s
		}
	}
	s.overdueAt = r.now + Micros(overdueShare*float64(lk.latencyBudget()))
	lk.attempts = append(lk.attempts, s)
	lk.openAttempts++
	c.openCount++
	r.openAttempts, c.attempts = append(r.openAttempts, s), append(c.attempts, s)
	hush := Micros(silenceShare * float64(lk.latencyBudget()))
	r.executor.Fetch(lk, c, s.source, s.rank, s.mode, lk.deadline-r.now, hush, s.maxAge)
	return proceed
}

func (r *Router) closeAttempt(s *Attempt, got *attemptReport) {
	s.lookup.openAttempts--
	its := func(o *Attempt) bool { return o == s }
	r.openAttempts, s.edge.attempts = slices.DeleteFunc(r.openAttempts, its), slices.DeleteFunc(s.edge.attempts, its)
	if got.outcome == OutcomeSatisfied {
		s.edge.carriedWork.add(r.now, float64(min(s.lookup.work, got.latency))) // less of a copy that the client holds
	}
}

// cancelAttempt stops waiting for a send; what follows is decided when its ending comes.
func (r *Router) cancelAttempt(s *Attempt) {
	if !s.cancelled && r.settings.CanCancel {
		s.cancelled = true
		r.executor.CancelAttempt(s.lookup, s.number)
	}
}

// giveUp ends a lookup at once: a nack where the rule on repeats allows it, else a failure.
func (r *Router) giveUp(lk *Lookup) {
	// Guards rule 2: a deduplicated lookup that may have run is nacked only while repeats fall in its window.
	if lk.kind.Effect == Idempotent || lk.firstRunOn == nil && lk.openAttempts == 0 || lk.kind.Effect == Deduplicated &&
		lk.kind.DedupScope == AllCaches && lk.arrivedAt+lk.kind.DedupWindow >= lk.deadline {
		r.executor.Reject(lk, r.settings.MaxRetryAfter)
	} else {
		r.executor.Fail(lk)
	}
	r.finishLookup(lk)
}

// finishLookup closes a lookup and stops what is still out for it.
func (r *Router) finishLookup(lk *Lookup) {
	lk.ended = true
	for _, s := range r.openAttempts {
		if s.lookup == lk {
			r.cancelAttempt(s)
		}
	}
	r.queued = slices.DeleteFunc(r.queued, func(o *Lookup) bool { return o == lk })
}

// mayRunOn guards rule 2: where may a further send of this lookup go, asked at the decision and at its first
// byte, which may wait for a connection; out counts it then. There are never two out at once.
func (r *Router) mayRunOn(lk *Lookup, to *Cache, out int) bool {
	k, at := lk.kind, lk.firstRunOn
	return lk.openAttempts <= out && (at == nil || k.Effect == Idempotent || k.Effect == Deduplicated &&
		r.now <= lk.firstRunAt+k.DedupWindow-50*millisecond && (k.DedupScope == AllCaches ||
		to.Zone == at.Zone && (k.DedupScope == SameZone || to.Cell == at.Cell)))
}
