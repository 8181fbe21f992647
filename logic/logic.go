// Package logic decides for one router: which cache, which source, which rank, how long, what is given up.
// The door (an adapter or a gateway) makes a Router with Start and caches with NewCache, and tells it what
// happens and when; it answers through Host (host.go; plain types in state.go). One call at a time. A lookup
// goes down the chain intake > copies > edge > parent > dispatch as the draft of a send. A stage
// passes it on, keeps it (held) or ends it; what comes back runs the same stages in reverse.
package logic

import (
	"cmp"
	"fmt"
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
	overloadAt  = 40 * ms    // the oldest held lookup has waited this long: overload
	crowdedAt   = 0.4        // hits take this part of their latency budget: the cache is crowded
	firstLimit  = 16.0       // open sends at a cache before anything is known of it
	overduePart = 0.75       // a send is overdue after this part of its latency budget
	hushPart    = 0.5        // and its connection in doubt after this one, with nothing heard on it
	pressedFor  = 8 * second // after a fill came late or found no place
	latePart    = 0.1        // of fills of late beyond manyFills: fewer late ones are late by their way
	manyFills   = 40         // up to so many every late one counts
	leastOpen   = 2.0        // open sends, and fills, at one cache by all routers are not cut under this
	coldAfter   = 3 * second // a parent out for longer may have started anew
	coldRate    = 1.4        // of what a cold cache bears at least; the rule counts a multiple of it
	stakePart   = 0.35       // of what a parent bears by the rule, for one fill that the bucket is staked on
	coldBurst   = 0.4        // of the rule's multiple above 1, at once
	errorsMove  = 3          // so many plain errors of a cache in a row move lookups on, so many put it out:
	errorsOut   = 10         // chance alone does not make them where one in four ends so everywhere
	errorsEnd   = 3          // a plain error on this send of a lookup, or a later one, is its last
	roomToSpill = 0.7        // another cache takes a crowded one's lookup while under this part of its limit
	fullCut     = 0.75       // of a cache's limit of open sends, when it turns one away as full

	recentTimes                    = 10                // of a cache or parent, over which its mean is taken
	trialEvery                     = 1 * second        // between trials of a cache or parent that is out
	lagMultiple, lagFloor, lagPart = 3.0, 250 * ms, .1 // of others' mean; past it, of first bytes; of a budget
)

// NewCache makes the cache for a name at the door.
func NewCache(name string) *Cache {
	return &Cache{Name: name, hash: hashOf(name), limit: firstLimit, Row: Row{State: Gone}}
}

// Over tells whether the lookup has had its final answer.
func (lk *Lookup) Over() bool { return lk.over }

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
			c.coldFrom, c.tokens, c.tokensAt = max(c.coldFrom, o.coldFrom), min(c.tokens, o.tokens), o.tokensAt
			c.out, c.outAt, c.nextAt, c.died, c.lags = o.out, o.outAt, o.nextAt, o.died, o.lags
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
			c.coldFrom, c.tokens, c.tokensAt = row.Started, 0, now // its warming begins
		}
		if row.Standing == Doubted && c.Standing != Doubted && !c.out {
			c.out, c.outAt, c.nextAt = true, now, now // trials at once
		}
		c.Row = row
	}
	r.caches = slices.DeleteFunc(r.caches, func(c *Cache) bool {
		if what != Changes && !named[c] {
			c.State = Gone
		}
		return c.State == Gone
	})
	slices.SortFunc(r.caches, func(a, b *Cache) int { return cmp.Compare(a.hash, b.hash) })
	r.edges, r.parents, r.origin = nil, nil, nil
	for _, c := range r.caches {
		switch {
		case c.Kind == r.its.OriginKind:
			r.origin = c
		case c.Kind == r.its.ParentKind:
			r.parents = append(r.parents, c)
		case c.Zone == r.its.Zone:
			r.edges = append(r.edges, c)
		}
	}
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

// Purged takes word of a purge of an object, or of a group where name is empty, made that long ago.
func (r *Router) Purged(now Micros, name string, group int, ago Micros) {
	r.now = now
	key := uint64(group) // far below any hash
	if name != "" {
		key = hashOf(name)
	}
	r.purged[key] = max(r.purged[key], now-ago)
}

// Woken is called when a timer comes due.
func (r *Router) Woken(now Micros, token int64) {
	r.now = now
	if token == relist {
		r.host.Subscribe(true)
		return
	}
	r.host.Wake(sweepEvery, sweep)
	r.carries(r.edges, &r.edgeCarries)
	r.carries(r.parents, &r.parentCarries)
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
		if c.trial == s {
			c.trial = nil
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

// edge picks the first cache in the object's hash order that is up and has room for it.
func (r *Router) edge(s *Send) verdict {
	lk, wait, part := s.lk, false, 1.0
	for _, c := range r.order(lk.part, r.edges) {
		switch {
		case c.State != Ready || c == lk.failedAt || !r.mayRepeat(lk, c, 0) || !lk.scope.edge(c):
		case !r.trialDue(c, lk):
		case !r.warmEnough(c, lk.part) || !r.afford(c, lk.kind.mean(r.now)):
			wait = true
		case float64(c.open)-r.fillsOpen(c.sends) >= part*c.limit || r.now < c.pauseTill:
			if part < 1 {
				return keep // two homes are enough: a third would fill what they hold
			}
			wait, part = true, roomToSpill
		default:
			s.to = c
			return pass
		}
	}
	if wait || lk.failedAt != nil {
		lk.failedAt = nil // it may have room again
		return keep
	}
	r.giveUp(lk)
	return end
}

func (r *Router) edgeBack(s *Send, got *ending) {
	c, lk := s.to, s.lk
	c.open--
	// Guards against a cache that slows: its lookups move to the others of its location. Its hits are timed
	// where they are told (a fill's time is its source's), else all its sends.
	if r.timed(s, got) && (got.remark == Hit || got.remark == Aged || !r.its.HitsTold) {
		r.timeAmong(c, r.edges, float64(got.took), max(lk.kb, 1), lagPart*float64(lk.span()))
	}
	switch {
	case got.end == Satisfied || got.end == Missed || got.remark >= SourceRefused:
		r.hear(c, s)
		if got.remark == Hit || got.remark == Aged {
			c.took.add(r.now, float64(got.took))
			c.ideal.add(r.now, float64(lk.span()))
		}
		r.retune(c)
		c.pauseTill = r.turn(c.limit, got.took)
	case got.end == TurnedAway:
		if c.heard = r.now; lk.missed != c { // where it took the look, only the fill was turned away
			// Guards against a storm of sends where no hit times come: a cache that is full takes fewer.
			lk.failedAt, c.limit = c, max(leastOpen/r.seats(), fullCut*min(c.limit, float64(c.open+1)))
		}
	case got.end == Unconnected || got.end == Reset:
		// A reset alone is no death, and what is held there is worth a second send.
		if c.died = c.died || got.end == Unconnected; got.end == Unconnected || len(lk.sends) > 2 {
			lk.failedAt = c
		}
		if s.at >= c.struckAt { // a connection breaks under many sends at once: one strike
			c.struckAt = r.now
			c.strikes++
			r.strike(c, c.strikes, 2, "unreachable")
		}
	case got.end == Errored && got.remark == Untold:
		// Guards against a cache that fails all it gets, which is quick and would draw more. Errors have an account
		// of their own: one beside a reset says nothing of the way. Where all caches fail some, or lookups are at
		// fault, a move or an outage costs the copies held and helps nobody: hence so many in a row.
		if c.errors++; c.errors >= errorsMove {
			lk.failedAt = c
		}
		r.strike(c, c.errors, errorsOut, "errors")
	case got.end == Cancelled && c.trial == s:
		r.strike(c, 1, 1, "trial failed")
	}
}

// retune moves a cache's limit of open sends: down while its hits are slow, up while it is full.
func (r *Router) retune(c *Cache) {
	if r.now < c.limitAt+200*ms {
		return
	}
	c.limitAt = r.now
	// One slow hit says little: a usual one, at a quarter of its budget, is added.
	part := (c.took.read(r.now) + float64(40*ms)) / (c.ideal.read(r.now) + float64(160*ms))
	switch {
	case part > crowdedAt:
		c.limit = max(leastOpen/r.seats(), min(c.limit, float64(c.open+1)*crowdedAt/part))
	case float64(c.open+1) >= c.limit*roomToSpill:
		c.limit *= 1.1
	}
}

// parent names the source: the object's home among all listed parents, or the next that is up; the origin for
// what runs there, as parents hold nothing of it and would cost it time. While fills are pressed (slow, or
// without places) lookups look first, so that hits go on; misses fill a few at a time.
func (r *Router) parent(s *Send) verdict {
	lk, pressed := s.lk, r.pressedTill > r.now
	if (pressed || s.to.mute > 0 || lk.aged) && !lk.write {
		if lk.missed == nil || lk.aged {
			if s.source = s.to; !pressed {
				s.how &^= Join // a quick miss shows that a cache with overdue fills is alive
			}
			return pass
		}
		if pressed && (r.fillsOpen(r.open) >= r.fills || r.now < r.nextFill) {
			return keep
		}
	}
	straight := lk.write && r.origin != nil && r.origin.State == Ready && lk.scope.parent(r.origin)
	for _, p := range r.order(lk.hash, r.parents) {
		switch {
		case straight || p.State != Ready || p == lk.failedBy || !r.trialDue(p, lk) || !lk.scope.parent(p):
		case r.afford(p, float64(lk.work)):
			s.source = p
			return pass
		}
	}
	if s.source = r.origin; r.origin == nil || r.origin.State != Ready {
		s.source = s.to
	}
	return pass
}

// fillsOpen counts those sends that are fills or too long out for a hit.
func (r *Router) fillsOpen(sends []*Send) (n float64) {
	for _, s := range sends {
		if s.source != s.to && (s.lk.missed != nil || r.now-s.at > 50*ms+2*s.lk.work) {
			n++
		}
	}
	return n
}

// carries follows what a warm cache of a group bears for this router.
func (r *Router) carries(group []*Cache, mean *float64) {
	carried, n := 0.0, 0.0
	for _, c := range group {
		if c.coldFrom == 0 && !c.out {
			carried, n = carried+c.borne.rate(r.now), n+1
		}
	}
	if n > 0 {
		*mean += (carried/n - *mean) * float64(sweepEvery) / float64(2*second)
	}
}

// routers is how many there are: as told at the start, or more where a fleet that knows itself counts more.
func (r *Router) routers() float64 { return float64(max(r.its.Gateways, r.Fleet, 1)) }

// seats is how many routers share the location.
func (r *Router) seats() float64 {
	if r.its.Zone < len(r.its.Seats) {
		return float64(max(r.its.Seats[r.its.Zone], 1)) * (r.routers() / float64(max(r.its.Gateways, 1)))
	}
	return r.routers()
}

// turn is when the next may go where so many routers share a thing that the limit of each is under one.
func (r *Router) turn(limit float64, took Micros) Micros {
	return r.now + Micros(float64(took)*max(0, 1/limit-1))
}

// press notes that fills are too many for what is behind them.
func (r *Router) press() {
	if r.now >= r.fillsAt+200*ms {
		r.fillsAt = r.now
		share := leastOpen * float64(max(len(r.edges), 1)) / r.seats()
		share += math.Sqrt(share) * (1 - 1/r.seats()) // not all routers are busy at once
		r.fills = max(share, 0.9*min(r.fills, r.fillsOpen(r.open)+1))
	}
	if r.pressedTill < r.now {
		r.log("fills pressed, limit %.1f", r.fills)
	}
	r.pressedTill = r.now + pressedFor
}

func (r *Router) parentBack(s *Send, got *ending) {
	p, lk, c := s.source, s.lk, s.to
	filled := got.remark == Filled || got.remark == FilledFromOrigin
	if p == c {
		if got.end == Missed {
			lk.missed = c
		}
		return
	}
	r.nextFill = r.turn(r.fills, min(got.took, lk.span()))
	switch {
	case got.remark >= NoFillPlace, got.end == TurnedAway && lk.missed == c:
		r.press()
	case filled || !r.its.HitsTold && r.timed(s, got): // where fills are not told, any send may be one; a
		// late answer may be a hit's slow transfer: only a send that ends overdue unanswered is a late fill
		if filled {
			lk.kind.fillTook.add(r.now, float64(got.took))
			lk.kind.fillWork.add(r.now, float64(lk.work))
			lk.kind.fillWait.add(r.now, float64(got.waited))
			lk.kind.fillN.add(r.now, 1)
		}
		switch r.filled.add(r.now, 1); {
		case got.end == Satisfied && got.took <= lk.span():
			r.fills += 2 / r.fills / r.seats() / r.seats() // all together as one router would
		case got.end == Satisfied && !filled:
		default:
			if r.filledLate.add(r.now, 1); r.filledLate.v > latePart*(r.filled.v-manyFills) {
				r.press()
			}
		}
	}
	if got.end == TurnedAway {
		lk.notBefore = r.now + 30*ms
	}
	if p == r.origin {
		return
	}
	if got.remark == Hit || got.remark == Aged {
		p.tokens += float64(lk.work) // no fill reached it
	}
	// A parent's fills are timed to their first byte where that is told, else a KB; where nothing tells a fill,
	// all sends that named it are, hits that passed it by too.
	if r.timed(s, got) && (got.end == Satisfied && filled || !r.its.HitsTold) {
		took, n, floor := float64(got.took), max(lk.kb, 1), lagPart*float64(lk.span())
		if r.its.FirstByteTold {
			took, n, floor = float64(got.waited), 1, float64(lagFloor)
		}
		r.timeAmong(p, r.parents, took, n, floor)
	}
	switch {
	case got.end == Satisfied && filled:
		r.hear(p, s)
		p.borne.add(r.now, float64(lk.work))
	case got.remark == SourceRefused || got.remark == SourceLost:
		p.died = p.died || got.remark == SourceLost
		p.strikes++
		r.strike(p, p.strikes, 3, "fills fail")
		lk.failedBy, lk.noJoin = p, true
	case (got.end == TurnedAway || got.end == Errored) && got.remark == Untold || got.end == Missed ||
		got.end == Cancelled && p.out:
		// Where only hits are told it may be the cache or the parent: the next send changes both.
		lk.failedBy, lk.noJoin = p, true
		if p.trial == s && got.end == Cancelled {
			r.strike(p, 1, 1, "trial failed")
		}
	}
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
	if p.recents++; p.recents < recentTimes || p.out {
		return
	}
	mine, others, heard, out := p.mean(), 0.0, 0.0, 1 // the unheard count as average
	for _, o := range group {
		if o.out {
			out++
		}
		if o != p && o.recents > 0 {
			others, heard = others+o.mean(), heard+1
		}
	}
	others /= max(heard, 1)
	if heard > 0 && 2*out <= len(group) && mine > max(lagMultiple*others, others+floor/n) {
		r.putOut(p, fmt.Sprintf("lags, mean %.0f against %.0f", mine, others))
		p.lags = p.Kind != r.its.ParentKind
	}
}

func (c *Cache) mean() float64 {
	took, n := 0.0, 0.0
	for i := range c.recentN {
		took, n = took+c.recentTook[i], n+c.recentN[i]
	}
	return took / max(n, 1)
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
		if t.out {
			t.trial = s
		}
	}
	c.tokens -= lk.kind.mean(r.now)
	if s.source != c {
		s.source.tokens -= float64(lk.work)
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
		s.to.borne.add(r.now, float64(s.lk.work))
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
		if !c.out && (c.muteLooks >= 2 || c.Kind == r.its.ParentKind && c.mute >= 3 && 3*c.mute > 2*mute) {
			r.putOut(c, fmt.Sprintf("silent, %d overdue", c.mute))
		}
	}
	for _, s := range r.open {
		lk := s.lk
		stuck := s.to.out && s.to.heard < s.at || s.source.out && s.source.heard < s.at
		if stuck && r.now >= s.overdue && lk.deadline-r.now > lk.work && len(lk.sends) < r.its.SendLimit &&
			lk.kind.Effect == Idempotent {
			r.cancel(s)
		}
	}
}

// cancel stops waiting for a send; what follows is decided when its ending comes.
func (r *Router) cancel(s *Send) {
	if !s.cancelled && r.its.Cancelling {
		s.cancelled = true
		r.host.Cancel(s.lk, s.n)
	}
}

// pump sends on held lookups, most utility for their work first, and gives up at once those past helping.
func (r *Router) pump() {
	held, oldest, ahead, rate := r.held, Micros(0), 0.0, r.edgeCarries*float64(len(r.edges))
	r.held = nil
	for _, lk := range held {
		oldest = max(oldest, r.now-lk.arrived)
	}
	if !r.overload && oldest > overloadAt || r.overload && oldest < overloadAt/4 {
		r.overload = !r.overload
		r.log("overload %v: oldest of %d held waited %d us", r.overload, len(held), oldest)
	}
	slices.SortStableFunc(held, func(a, b *Lookup) int { return cmp.Compare(b.density(), a.density()) })
	for _, lk := range held {
		slack := lk.budget - r.now - 20*ms - lk.kind.expects(r.now, lk)
		late := slack < 0 || r.overload && ahead > max(1, rate)*float64(slack)
		// Guards against slow sources: before a miss is given up, a copy within its grace will do.
		if lk.aged = late && !lk.aged && lk.missed != nil && lk.kind.Grace > 0; late && !lk.aged {
			r.giveUp(lk)
		} else if r.route(lk); lk.open == 0 {
			ahead += float64(lk.work)
		}
	}
}

// span is the latency budget as a time to take.
func (lk *Lookup) span() Micros {
	return min(lk.kind.Budget+Micros(lk.kind.Stretch*float64(lk.work)), lk.kind.GiveUp)
}

// density is utility for work; a client's repeat most likely comes too late for more than the late share.
func (lk *Lookup) density() float64 {
	utility := lk.kind.Utility
	if lk.repeat {
		utility *= lk.kind.LateUtility
	}
	return utility / float64(lk.work+10*ms)
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

// strike weighs one account: so many failures in a row put the cache out, a failed trial puts the next off.
func (r *Router) strike(c *Cache, n, most int, why string) {
	if c.out {
		c.nextAt, c.lags = r.now+trialEvery, false
	} else if n >= most {
		r.putOut(c, fmt.Sprintf("%s, %d in a row", why, n))
	}
}

func (r *Router) putOut(c *Cache, why string) {
	c.out, c.outAt, c.lags = true, r.now, false
	c.nextAt = r.now + trialEvery/2 + Micros(r.chance.next()%uint32(trialEvery/2))
	r.log("%s out: %s", c.Name, why)
}

// trialDue tells whether a cache may have the lookup: one that is out gets one at a time, of no unusual size,
// or any, where it only lags and routes leave no other edge that is in (a panic threshold).
func (r *Router) trialDue(c *Cache, lk *Lookup) bool {
	in := func(o *Cache) bool { return !o.out && o.State == Ready && lk.scope.edge(o) }
	return !c.out || c.lags && c.mute == 0 && !slices.ContainsFunc(r.edges, in) ||
		c.trial == nil && r.now >= c.nextAt && float64(lk.work) <= 1.5*lk.kind.mean(r.now)
}

// hear notes a good answer; a good trial brings a cache back, and one that died warms up as if started then.
func (r *Router) hear(c *Cache, s *Send) {
	c.heard, c.strikes, c.errors = r.now, 0, 0
	if c.out && c.trial == s {
		if c.coldFrom == 0 && (c.died || c.Kind == r.its.ParentKind && r.now-c.outAt > coldAfter) {
			c.coldFrom, c.tokens, c.tokensAt = r.now, 0, r.now
		}
		c.out, c.recents = false, 0
		r.log("%s back after %d us", c.Name, r.now-c.outAt)
	}
	c.died = c.died && c.out
}

// share is how much of its link a cold cache surely has by now; 1 once warm.
func (r *Router) share(c *Cache) float64 {
	from, span := r.its.ColdShare, r.its.ColdFor
	if c.Kind == r.its.ParentKind {
		from, span = r.its.ParentColdShare, r.its.ParentColdFor
	}
	if c.coldFrom == 0 || r.now >= c.coldFrom+span {
		c.coldFrom = 0
		return 1
	}
	return from + (1-from)*float64(max(0, r.now-c.coldFrom))/float64(span)
}

// warmEnough lets a warming cache's objects come home bit by bit, always the same ones first.
func (r *Router) warmEnough(c *Cache, hash uint64) bool {
	return c.coldFrom == 0 || float64(mix(hash, c.hash+1)>>40)/(1<<24) < r.share(c)
}

// afford guards rule 4: this router's part of what a cold cache can bear, as a bucket that bounds any window.
// A link bears what is listed, else what warm ones carry times the routers, or one transfer.
func (r *Router) afford(c *Cache, work float64) bool {
	share := r.share(c)
	if c.coldFrom == 0 {
		return true
	}
	carried, multiple, routers := r.edgeCarries, r.its.FallMultiple, r.seats()
	if c.Kind == r.its.ParentKind {
		carried, multiple, routers = r.parentCarries, r.its.ParentFall, r.routers()
	}
	part := 1 / routers
	link := carried / part
	if r.its.Weighted {
		link = 0.8 * c.Weight
	}
	rate := coldRate * share * max(1, link) * part
	depth := rate * float64(max(r.its.FallFor, 100*ms)) * max(0.2, (multiple-1)*coldBurst)
	c.tokens, c.tokensAt = min(depth, c.tokens+rate*float64(r.now-c.tokensAt)), r.now
	if c.tokens < depth || c.tokens >= work {
		return c.tokens >= work
	}
	// A full bucket too small for this lookup is staked on it, so that many routers together keep the mean; at a
	// parent not on a fill that a few routers with luck at once would push it over with. An edge has no other in
	// its place for what it holds, and its lookups are counted by their kind's mean.
	bears := multiple * share * max(1, link) * float64(max(r.its.FallFor, 100*ms))
	lucky := float64(r.chance.next())/(1<<32) < depth/work &&
		(c.Kind != r.its.ParentKind || work < stakePart*bears)
	if c.tokens = 0; lucky {
		c.tokens = work
	}
	return lucky
}

// expects is how long the answer will take: for a fill the wait for the source, whatever the size, and as
// much more than its sending time as fills of late.
func (k *kind) expects(now Micros, lk *Lookup) Micros {
	if lk.missed == nil {
		return lk.work
	}
	took, work, waited := k.fillTook.read(now), k.fillWork.read(now), k.fillWait.read(now)
	stretch := max(1, (took-waited+float64(100*ms))/(work+float64(100*ms)))
	return Micros(waited/(k.fillN.read(now)+1) + float64(lk.work)*stretch)
}

// mean is the mean sending time of a kind: what the rule counts for a send to a cold cache.
func (k *kind) mean(now Micros) float64 { return k.work.read(now) / max(k.n.read(now), 1e-3) }

// order is the rendezvous order of caches for a hash: it moves only what a change of the list must move.
func (r *Router) order(hash uint64, caches []*Cache) []*Cache {
	far := func(c *Cache) float64 {
		u := (float64(mix(hash, c.hash)>>11) + 0.5) / (1 << 53)
		if r.its.Sized && c.Weight > 0 {
			return -math.Log(u) / c.Weight
		}
		return -math.Log(u)
	}
	nearer := func(a, b *Cache) int { return cmp.Compare(far(a), far(b)) }
	return slices.SortedStableFunc(slices.Values(caches), nearer)
}

// halve ages the counts and drops what has none left, and purges that no copy can be older than.
func (r *Router) halve() {
	r.halveAt = r.now + halveEvery
	for part, n := range r.counts {
		r.counts[part] = n / 2
	}
	maps.DeleteFunc(r.counts, func(_ uint64, n float64) bool { return n < 1 })
	maps.DeleteFunc(r.purged, func(_ uint64, at Micros) bool { return r.now > at+r.its.PurgeDone+second })
}

func (r *Router) log(format string, a ...any) { r.host.Log(fmt.Sprintf(format, a...)) }

func (s *sum) read(now Micros) float64 {
	if now > s.at {
		s.v *= math.Exp2(-float64(now-s.at) / float64(halfLife))
		s.at = now
	}
	return s.v
}

func (s *sum) add(now Micros, v float64) { s.v = s.read(now) + v }

// rate is the sum as an amount per microsecond.
func (s *sum) rate(now Micros) float64 { return s.read(now) * math.Ln2 / float64(halfLife) }

func (m *mwc) next() uint32 {
	t := uint64(698769069)*uint64(m.x) + uint64(m.c)
	m.x, m.c = uint32(t), uint32(t>>32)
	return m.x
}

// hashOf and mix are the shared hash: the same at every router.
func hashOf(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(name); i++ {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return mix(h, 0)
}

func mix(a, b uint64) uint64 {
	z := a ^ b*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
