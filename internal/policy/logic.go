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
	ms     Micros = 1000
	second        = 1000 * ms

	sweepEvery    = 10 * ms
	sweep, relist = 0, 1        // timers
	halveEvery    = 60 * second // LRU-SP's counts halve
	tableBound    = 60000       // of counts
	topBand       = 6           // of ranks: holds size over count up to 2^topBand KB

	halfLife    = 1 * second // of what is measured over time
	overduePart = 0.75       // a send is overdue after this part of its latency budget
	hushPart    = 0.5        // and its connection in doubt after this one, with nothing heard on it
	errorsEnd   = 3          // a plain error on this send of a lookup, or a later one, is its last
)

// Start makes a router. The list follows by Listed.
func Start(now Micros, seed uint64, its *Charter, host Host) *Router {
	r := &Router{host: host, its: its, now: now, chance: mwc{uint32(seed) | 1, uint32(seed>>32)%698769068 + 1},
		fills: firstLimit, halveAt: now + halveEvery, counts: map[uint64]float64{}, purged: map[uint64]Micros{}}
	for _, k := range its.Kinds {
		r.kinds = append(r.kinds, kind{ObjectKind: k})
	}
	r.chain = []stage{
		{(*Router).intake, (*Router).settle},
		{(*Router).copies, nil},
		{(*Router).edge, (*Router).edgeBack},
		{(*Router).parent, (*Router).parentBack},
		{(*Router).dispatch, (*Router).dispatchBack},
	}
	if its.AsksForList {
		host.Subscribe(true)
	}
	host.Wake(sweepEvery, sweep)
	return r
}

// Carry takes over, at a move to settings of another shape, what still means the same: purges (rule 5),
// counts, and of each cache listed in both by name its warming (rule 4) and whether it is out. Limits, times
// and fills start afresh: what they were measured against may have changed. Call it after the first list.
func (r *Router) Carry(from *Router) {
	maps.Copy(r.counts, from.counts)
	for key, at := range from.purged {
		r.purged[key] = max(r.purged[key], at)
	}
	was := map[string]*Cache{}
	for _, c := range from.caches {
		was[c.Name] = c
	}
	for _, c := range r.caches {
		if o := was[c.Name]; o != nil && o != c {
			c.warmingSince = max(c.warmingSince, o.warmingSince)
			if o.warmingSince != 0 { // else it has learned nothing of this start
				c.sent, c.scale, c.scaleAt = o.sent, o.scale, o.scaleAt
			}
			c.ejected, c.ejectedAt, c.nextProbe, c.died, c.lags = o.ejected, o.ejectedAt, o.nextProbe, o.died, o.lags
		}
	}
	r.log("carried: %d counts, %d purges, %d caches", len(from.counts), len(from.purged), len(was))
}

// Listed takes a list of caches or changes to it.
func (r *Router) Listed(now Micros, what ListKind, rows []Row) {
	r.now = now
	if what == ListFailed {
		r.host.Wake(trialEvery, relist)
		return
	}
	named := map[*Cache]bool{}
	for _, row := range rows {
		c := row.Cache
		if c.State == Gone && !named[c] { // only those in the list are not
			r.caches = append(r.caches, c)
		}
		named[c] = true
		if row.Started > c.Started || c.Standing+row.Standing > Told && row.Started != c.Started {
			c.beginSlowStart(row.Started, now)
		}
		if row.Standing == Doubted && c.Standing != Doubted && !c.ejected {
			c.ejected, c.ejectedAt, c.nextProbe = true, now, now // trials at once
		}
		c.Row = row
	}
	r.caches = slices.DeleteFunc(r.caches, func(c *Cache) bool {
		if what != Changes && !named[c] {
			c.State = Gone
		}
		return c.State == Gone
	})
	r.group()
}

// Arrive takes a lookup; the door may drop it when it comes back over.
func (r *Router) Arrive(now Micros, door string, kind int, name string, part, group int, kb float64,
	deadline Micros, write, repeat bool) *Lookup {
	r.now = now
	k := &r.kinds[kind]
	lk := &Lookup{Door: door, kind: k, group: group, write: write || k.PassThrough, repeat: repeat, kb: kb,
		arrived: now, deadline: deadline, scope: r.scope}
	r.scope = nil
	if r.its.FlowKB > 0 {
		lk.work = Micros(min(kb/r.its.FlowKB*float64(second), float64(k.GiveUp))) // whatever size is claimed
	}
	lk.budget = now + min(lk.span(), deadline-now)
	k.work.add(now, float64(lk.work))
	k.n.add(now, 1)
	lk.hash = hashOf(name)
	lk.part = mix(lk.hash, uint64(part)+1)
	r.counts[lk.part]++
	r.route(lk)
	return lk
}

// Ended takes the ending of a send; closed tells that the client has its answer or has gone.
func (r *Router) Ended(now Micros, lk *Lookup, n int, e Ending, remark Remark, took, waited Micros,
	closed bool) {
	r.now = now
	if n < 0 || n >= len(lk.sends) {
		return
	}
	s := lk.sends[n]
	lk.over = lk.over || closed
	got := &ending{e, remark, took, waited}
	for i := len(r.chain) - 1; i >= 0; i-- {
		if r.chain[i].back != nil {
			r.chain[i].back(r, s, got)
		}
	}
	r.pump()
}

// Departed takes word that the client has gone.
func (r *Router) Departed(now Micros, lk *Lookup) {
	r.now = now
	r.finish(lk)
}

// Woken is called when a timer comes due.
func (r *Router) Woken(now Micros, token int64) {
	r.now = now
	if token == relist {
		r.host.Subscribe(true)
		return
	}
	r.host.Wake(sweepEvery, sweep)
	r.observeCapacity(r.edges, &r.edgeCapacity)
	r.observeCapacity(r.parents, &r.parentCapacity)
	r.findSilent()
	r.pump()
	if now >= r.halveAt || len(r.counts) > tableBound {
		r.halve()
	}
}

// route sends a lookup down the chain.
func (r *Router) route(lk *Lookup) {
	s := &Send{lk: lk, n: len(lk.sends)}
	for _, st := range r.chain {
		switch st.down(r, s) {
		case keep:
			r.held = append(r.held, lk)
			return
		case end:
			return
		}
	}
}

// intake ends what no send can help any more.
func (r *Router) intake(s *Send) verdict {
	lk := s.lk
	if len(lk.sends) >= r.its.SendLimit || lk.deadline-r.now <= max(lk.work, 0) {
		r.giveUp(lk)
		return end
	}
	if r.now < lk.notBefore {
		return keep
	}
	return pass
}

// settle decides what follows an ending: nothing, another send, or a final answer.
func (r *Router) settle(s *Send, got *ending) {
	lk := s.lk
	for _, c := range []*Cache{s.to, s.source} {
		if c.probe == s {
			c.probe = nil
		}
	}
	if !got.end.NeverRan() && lk.ranTo == nil {
		lk.ranAt, lk.ranTo = s.at, s.to
	}
	switch {
	case got.end == Satisfied || lk.over:
		r.finish(lk)
	case lk.ranTo != nil && lk.kind.Effect == SideEffecting || lk.aged,
		got.end == Errored && got.remark == Untold && len(lk.sends) >= errorsEnd: // no cache can use it
		r.giveUp(lk)
	case lk.open == 0:
		r.route(lk)
	}
}

// copies settles rank, age and manner: every fill is kept, ranked by size over count; purges bound the age.
func (r *Router) copies(s *Send) verdict {
	lk := s.lk
	if lk.write {
		return pass
	}
	s.rank = lk.rank(r.counts[lk.part])
	if r.its.Joins && !lk.noJoin {
		s.how |= Join
	}
	if s.oldest = lk.kind.Fresh; s.oldest > 0 {
		if s.how |= Renew; lk.aged {
			s.oldest += lk.kind.Grace
		}
	}
	s.oldest = lk.scope.age(s.oldest)
	// Guards rule 5: heeded at once, not only after the grace, and kept until no older copy can be left.
	at := max(r.purged[lk.hash], r.purged[uint64(lk.group)])
	since := max(ms, r.now-at)
	if at > 0 && since < r.its.PurgeDone+second && (s.oldest == 0 || since < s.oldest) {
		s.oldest = since
	}
	return pass
}

// rank is LRU-SP's group by log2 of size over recent count, folded into three.
func (lk *Lookup) rank(n float64) int {
	switch {
	case n < 2:
		return 1
	case math.Floor(math.Log2(max(lk.kb, 1)/n)) <= topBand:
		return 3
	}
	return 2
}

// dispatch sends the draft.
func (r *Router) dispatch(s *Send) verdict {
	lk, c := s.lk, s.to
	if len(lk.sends) > 0 && !lk.scope.again() {
		r.giveUp(lk)
		return end
	}
	s.at = r.now
	for _, t := range []*Cache{c, s.source} {
		if t.ejected {
			t.probe = s
		}
	}
	s.overdue = r.now + Micros(overduePart*float64(lk.span()))
	lk.sends = append(lk.sends, s)
	lk.open++
	c.open++
	r.open, c.sends = append(r.open, s), append(c.sends, s)
	hush := Micros(hushPart * float64(lk.span()))
	r.host.Fetch(lk, c, s.source, s.rank, s.how, lk.deadline-r.now, hush, s.oldest)
	return pass
}

func (r *Router) dispatchBack(s *Send, got *ending) {
	s.lk.open--
	its := func(o *Send) bool { return o == s }
	r.open, s.to.sends = slices.DeleteFunc(r.open, its), slices.DeleteFunc(s.to.sends, its)
	if got.end == Satisfied {
		s.to.carried.add(r.now, float64(min(s.lk.work, got.took))) // less of a copy that the client holds
	}
}

// cancel stops waiting for a send; what follows is decided when its ending comes.
func (r *Router) cancel(s *Send) {
	if !s.cancelled && r.its.Cancelling {
		s.cancelled = true
		r.host.Cancel(s.lk, s.n)
	}
}

// giveUp ends a lookup at once: a nack where the rule on repeats allows it, else a failure.
func (r *Router) giveUp(lk *Lookup) {
	// Guards rule 2: a deduplicated lookup that may have run is nacked only while repeats fall in its window.
	if lk.kind.Effect == Idempotent || lk.ranTo == nil && lk.open == 0 || lk.kind.Effect == Deduplicated &&
		lk.kind.Circle == Everywhere && lk.arrived+lk.kind.Memory >= lk.deadline {
		r.host.Nack(lk, r.its.MaxRetryIn)
	} else {
		r.host.Fail(lk)
	}
	r.finish(lk)
}

// finish closes a lookup and stops what is still out for it.
func (r *Router) finish(lk *Lookup) {
	lk.over = true
	for _, s := range r.open {
		if s.lk == lk {
			r.cancel(s)
		}
	}
	r.held = slices.DeleteFunc(r.held, func(o *Lookup) bool { return o == lk })
}

// mayRepeat guards rule 2: where may a further send of this lookup go, asked at the decision and at its first
// byte, which may wait for a connection; out counts it then. There are never two out at once.
func (r *Router) mayRepeat(lk *Lookup, to *Cache, out int) bool {
	k, at := lk.kind, lk.ranTo
	return lk.open <= out && (at == nil || k.Effect == Idempotent || k.Effect == Deduplicated &&
		r.now <= lk.ranAt+k.Memory-50*ms && (k.Circle == Everywhere ||
		to.Zone == at.Zone && (k.Circle == SameZone || to.Cell == at.Cell)))
}
