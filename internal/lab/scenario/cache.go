package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"foldslip/internal/lab/simenv"
)

const (
	edgeCapacity   = 120 // places for copies
	parentCapacity = 600
	edgeMaxFills   = 8 // fills at once
	parentMaxFills = 24
	maxQueue       = 30 // sends that wait at a cache before it turns more away
	maxBody        = 100000
)

// cache is an edge cache, a parent or the origin.
type cache struct {
	scenario      *Scenario
	id, zone      string
	flavor        string
	host          *simenv.Host
	size          float64
	cell          int
	startedAt     time.Duration // a late start; 0: long ago
	up            bool
	phase         string // as published
	hung          bool   // takes everything and answers nothing
	failsAll      bool   // answers everything with an error
	stopsReading  bool   // reads nothing on its connections
	slowdown      float64
	copies        map[string]*cachedCopy
	uses          uint64
	conns         []*cacheConn
	running       int
	filling       int
	fills         map[string]*pendingFill
	recentWork    []timedWork // sends lately, for rule 4
	effects       map[string]int
	startEvent    int     // number of the event that tells its late start
	appliedPurges []purge // purges that it has carried out itself
}

type timedWork struct {
	at   time.Duration
	work time.Duration
}

// cachedCopy is a copy of a part that the origin gave out at born.
type cachedCopy struct {
	version   string
	createdAt time.Time
	size      int
	lastUse   uint64
	rank      int
}

type pendingFill struct {
	waiters []func(c *cachedCopy, note string)
}

func (d *Scenario) newCache(flavor, zone, ip string, size float64) *cache {
	d.lastCacheID++
	c := &cache{scenario: d, id: fmt.Sprintf("%s-%d", flavor, d.lastCacheID), zone: zone, flavor: flavor, size: size, cell: d.lastCacheID, slowdown: 1,
		host: d.sim.Host(ip, flavor+"s"), copies: map[string]*cachedCopy{}, fills: map[string]*pendingFill{}, effects: map[string]int{},
		phase: "up"}
	d.byID[c.id] = c
	c.start(0)
	return c
}

func (c *cache) addr() string { return c.host.IP + ":10080" }

func (c *cache) endpoint(phase string) endpoint {
	since := int64(0)
	if c.startedAt > 0 {
		since = simenv.Epoch.Add(c.startedAt).UnixMilli()
	}
	return endpoint{ID: c.id, HostPort: c.addr(), Locality: c.zone, Flavor: c.flavor, Cell: c.cell, Phase: phase, Size: c.size,
		UpSince: since}
}

// start starts the machine, cold where at is above 0.
func (c *cache) start(at time.Duration) {
	c.up, c.hung, c.startedAt, c.startEvent = true, false, at, 0
	c.host.Vanished = false
	clear(c.copies)
	c.recentWork, c.running, c.filling = nil, 0, 0
	c.fills = map[string]*pendingFill{}
	c.host.Serve("10080", func(e *simenv.End) simenv.Handler {
		k := &cacheConn{cache: c, end: e}
		e.OnArrived = k.arrived
		if c.stopsReading {
			e.Stalled, e.Window = true, 150
		}
		for _, g := range c.scenario.gateways {
			if g.host == e.Peer {
				k.process = g.current
			}
		}
		if k.process != nil {
			k.process.conns[k] = true
		}
		c.conns = append(c.conns, k)
		return k
	})
}

// stop ends the machine: its connections are reset, or go silent with it.
func (c *cache) stop(silent bool) {
	if !c.up {
		return
	}
	c.up = false
	c.host.StopServing("10080")
	c.host.Vanished = silent
	conns := slices.Clone(c.conns)
	if c.scenario.sim.Lockstep { // a gateway hears of the sends on one connection by their ids
		slices.SortStableFunc(conns, func(a, b *cacheConn) int { return strings.Compare(a.attemptID, b.attemptID) })
	}
	if s := c.scenario.hooks.script; s != nil {
		open := 0
		for _, k := range conns {
			open += len(k.requests)
		}
		if open > 1 { // in which order they are told is nobody's promise
			s.mayDiverge(c.scenario.sim.Now(), "broken together")
		}
	}
	for _, k := range conns {
		if !silent {
			k.reset()
		}
		if k.deliver != nil {
			k.detach()
			continue
		}
		k.endAtCache(silent)
	}
}

// publishPhase publishes the cache's phase after the time that the list lags.
func (c *cache) publishPhase(phase string, lag time.Duration) {
	c.scenario.after(lag, func() {
		c.phase = phase
		if phase == "up" {
			c.startEvent = len(c.scenario.events) + 1
		}
		c.scenario.publish(discoveryEvent{Endpoints: &endpointUpdate{Revision: len(c.scenario.events) + 1, Endpoints: []endpoint{c.endpoint(phase)}}})
	})
}

// capacityShare is how much of its work a cold cache can do.
func (c *cache) capacityShare(now time.Duration) float64 {
	from, span := edgeColdShare, edgeWarmup
	if c.flavor == "parent" {
		from, span = parentColdShare, parentWarmup
	}
	if c.startedAt == 0 || now >= c.startedAt+span {
		return 1
	}
	return from + (1-from)*float64(now-c.startedAt)/float64(span)
}

// checkColdLoad counts work that was sent to a cold cache; too much breaks rule 4.
// Only sends of gateways that were told of the start count: one that vanishes in silence and comes back under its id
// looks like one that hung, until the list says otherwise.
func (c *cache) checkColdLoad(l *gatewayProcess, work time.Duration) {
	now := c.scenario.sim.Now()
	if c.startEvent == 0 || l == nil || l.notifiedAt(c.startEvent) == 0 && c.startedAt != startedAtBegin {
		return
	}
	share := c.capacityShare(now)
	if share >= 1 || c.flavor == "origin" {
		c.recentWork = nil
		return
	}
	c.recentWork = append(c.recentWork, timedWork{now, work})
	sum := time.Duration(0)
	kept := c.recentWork[:0]
	for _, w := range c.recentWork {
		if now-w.at <= overloadWindow {
			kept = append(kept, w)
			sum += w.work
		}
	}
	c.recentWork = kept
	more := edgeOverloadFactor
	if c.flavor == "parent" {
		more = parentOverloadFactor
	}
	most := more * share * c.size * overloadWindow.Seconds()
	if sum.Seconds() > most && c.scenario.Plan.ColdStart != nil && c.scenario.Plan.ColdStart.StartFrom != "list" {
		c.scenario.earlyLookups.Overloads++ // it falls over, and comes back cold
		c.stop(false)
		c.scenario.after(overloadRestart, func() {
			if !c.up {
				c.start(c.scenario.sim.Now())
				c.startEvent = 1
			}
		})
		return
	}
	if sum.Seconds() > most {
		c.scenario.checker.violated("rule 4", "cold %s was sent %.2f s of work within %v, bears %.2f", c.id, sum.Seconds(), overloadWindow, most)
	}
}

// handle works on a send.
func (c *cache) handle(q *attemptRequest) {
	q.receivedAt = c.scenario.sim.Now()
	if c.scenario.hooks.script != nil {
		c.scenario.hooks.script.answerAttempt(c, q)
		return
	}
	switch {
	case c.hung:
		return
	case c.failsAll || c.scenario.corruption.failsRequest(c):
		c.scenario.after(2*time.Millisecond, func() { c.respond(q, "FAULT", "-") })
		return
	case c.running >= maxQueue:
		c.respond(q, "SHED", "-")
		return
	}
	if lookupKinds[q.kindIndex].passOn {
		c.passThrough(q)
		return
	}
	if held := c.copies[q.key()]; held != nil && c.isFresh(held, q) {
		c.uses++
		held.lastUse, held.rank = c.uses, q.rank
		note := "hit"
		if k := lookupKinds[q.kindIndex]; k.fresh > 0 && c.scenario.sim.Unix().Sub(held.createdAt) > k.fresh {
			note = "stale"
		}
		if strings.Contains(q.mode, "r") && note == "stale" && q.source != "" {
			c.fill(q, func(*cachedCopy, string) {})
		}
		c.serve(q, held, note, 0)
		return
	}
	if q.source == "" {
		c.scenario.after(500*time.Microsecond, func() { c.respond(q, "NONE", "-") })
		return
	}
	if f := c.fills[q.key()]; f != nil && strings.Contains(q.mode, "j") {
		began := c.scenario.sim.Now()
		f.waiters = append(f.waiters, func(got *cachedCopy, note string) {
			if note == "filled" || note == "via_origin" {
				note = "joined"
			}
			c.fillEnded(q, got, note, began)
		})
		return
	}
	if c.filling >= edgeMaxFills {
		c.respond(q, "SHED", "note=no_slot")
		return
	}
	began := c.scenario.sim.Now()
	c.fill(q, func(got *cachedCopy, note string) { c.fillEnded(q, got, note, began) })
}

func (c *cache) fillEnded(q *attemptRequest, got *cachedCopy, note string, began time.Duration) {
	if got == nil {
		c.respond(q, "FAULT", "note="+note)
		return
	}
	c.serve(q, got, note, c.scenario.sim.Now()-began)
}

// isFresh tells whether a copy will do.
func (c *cache) isFresh(held *cachedCopy, q *attemptRequest) bool {
	age := c.scenario.sim.Unix().Sub(held.createdAt)
	if q.maxAge > 0 {
		return age <= q.maxAge
	}
	k := lookupKinds[q.kindIndex]
	return k.fresh == 0 || age <= k.fresh
}

// fill gets a copy from the source that the gateway named.
func (c *cache) fill(q *attemptRequest, done func(*cachedCopy, string)) {
	d, from := c.scenario, c.scenario.byID[q.source]
	f := &pendingFill{waiters: []func(*cachedCopy, string){done}}
	key := q.key()
	if c.fills[key] == nil {
		c.fills[key] = f
	}
	c.filling++
	ended := false
	end := func(got *cachedCopy, note string) {
		if ended || c.fills == nil {
			return
		}
		ended = true
		c.filling--
		if c.fills[key] == f {
			delete(c.fills, key)
		}
		if !c.up {
			return
		}
		if got != nil {
			c.store(key, got, q.rank, edgeCapacity)
		}
		for _, w := range f.waiters {
			w(got, note)
		}
	}
	d.after(6*time.Second, func() { end(nil, "src_broke") }) // a source that says nothing
	if from == nil {                                         // of an old list
		d.after(3*time.Millisecond, func() { end(nil, "src_refused") })
		return
	}
	from.serveFill(c, q, func(got *cachedCopy, note string) {
		if got == nil {
			end(nil, note)
			return
		}
		d.after(time.Duration(float64(q.work)*from.slowdown/4), func() { end(got, note) }) // fills run faster than sends to clients
	})
}

// serveFill is a source giving a copy to a cache; what is lost gets no call.
func (c *cache) serveFill(to *cache, q *attemptRequest, done func(*cachedCopy, string)) {
	d := c.scenario
	if !c.up {
		if !c.host.Vanished {
			d.after(3*time.Millisecond, func() { done(nil, "src_broke") })
		}
		return
	}
	if c.hung {
		return
	}
	if c.failsAll {
		d.after(3*time.Millisecond, func() { done(nil, "src_refused") })
		return
	}
	if c.flavor == "origin" {
		wait := time.Duration(float64(20*time.Millisecond)*c.slowdown) + time.Duration(d.randN(20))*time.Millisecond
		d.after(wait, func() {
			if !c.up {
				done(nil, "origin_failed")
				return
			}
			if lookupKinds[q.kindIndex].passOn {
				c.effects[q.object]++
				d.checker.effectRan(q, c.effects[q.object])
			}
			done(d.originCopy(q), "via_origin")
		})
		return
	}
	c.checkColdLoad(q.conn.process, q.work)
	if held := c.copies[q.key()]; held != nil && c.isFresh(held, q) && !lookupKinds[q.kindIndex].passOn {
		c.uses++
		held.lastUse = c.uses
		d.after(time.Duration(float64(2*time.Millisecond)*c.slowdown), func() { done(held, "filled") })
		return
	}
	if c.filling >= parentMaxFills {
		d.after(time.Millisecond, func() { done(nil, "src_refused") })
		return
	}
	c.filling++
	d.origin.serveFill(c, q, func(got *cachedCopy, note string) {
		c.filling--
		if got != nil && !lookupKinds[q.kindIndex].passOn {
			c.store(q.key(), got, q.rank, parentCapacity)
		}
		if got == nil && note == "src_broke" {
			note = "origin_failed"
		}
		done(got, note)
	})
}

// passThrough runs a lookup that is never kept at the origin; a cache's circle knows the deduplicated ones that ran.
func (c *cache) passThrough(q *attemptRequest) {
	if lookupKinds[q.kindIndex].effect == "deduplicated" {
		if c.scenario.checker.deduplicated[c.zone+q.id] {
			c.serve(q, c.scenario.originCopy(q), "hit", 0)
			return
		}
		c.scenario.checker.deduplicated[c.zone+q.id] = true
	}
	from := c.scenario.byID[q.source]
	if from == nil {
		from = c.scenario.origin
	}
	began := c.scenario.sim.Now()
	from.serveFill(c, q, func(got *cachedCopy, note string) { c.fillEnded(q, got, note, began) })
}

// applyPurge drops what a purge makes old, as every cache does within the time that the settings promise.
func (c *cache) applyPurge(p purge) {
	c.appliedPurges = append(c.appliedPurges, p)
	for key, got := range c.copies { // each by itself: the order does not matter
		if p.covers(key) && got.createdAt.Before(p.issued) {
			delete(c.copies, key)
		}
	}
}

// store keeps a copy; where places are out the lowest rank goes, within it the one used longest ago.
func (c *cache) store(key string, got *cachedCopy, rank, most int) {
	for _, p := range c.appliedPurges {
		if p.covers(key) && got.createdAt.Before(p.issued) {
			return
		}
	}
	c.uses++
	kept := *got
	kept.lastUse, kept.rank = c.uses, rank
	c.copies[key] = &kept
	if len(c.copies) <= most {
		return
	}
	var last *cachedCopy
	var lastKey string
	for k, o := range c.copies { // one and only one is least: uses are all different
		if last == nil || o.rank < last.rank || o.rank == last.rank && o.lastUse < last.lastUse {
			last, lastKey = o, k
		}
	}
	delete(c.copies, lastKey)
}

// serve sends a copy to the gateway, in the time that the cache's load makes of it.
func (c *cache) serve(q *attemptRequest, got *cachedCopy, note string, waited time.Duration) {
	d := c.scenario
	c.running++
	able := c.size * c.capacityShare(d.sim.Now())
	took := time.Duration(float64(q.work) * max(1, float64(c.running)/max(0.5, able)/3) * c.slowdown)
	if note == "joined" || note == "filled" || note == "via_origin" {
		took /= 4
	}
	same := q.etag != "" && q.etag == got.version
	if same {
		took /= 20
	}
	d.after(took, func() {
		c.running--
		if q.ended || !c.up || c.hung || d.sim.Now() > q.receivedAt+q.timeout {
			return
		}
		fields := fmt.Sprintf("note=%s,waited=%.3f,ver=%s,born=%d", note, float64(waited.Microseconds())/1000, got.version,
			got.createdAt.UnixMilli())
		if lookupKinds[q.kindIndex].passOn && q.conn.deliver == nil { // what ran at the origin is no copy
			fields = fmt.Sprintf("note=%s,waited=%.3f", note, float64(waited.Microseconds())/1000)
		}
		if same {
			d.checker.cacheAnswered(q, got, true)
			c.respond(q, "VALID", fields)
			return
		}
		body := got.body(q.key())
		if d.corruption.corrupt(q, got, fields, body) {
			return
		}
		if d.hooks.onAnswer != nil {
			d.hooks.onAnswer(d, q)
		}
		d.checker.cacheAnswered(q, got, false)
		q.ended = true
		q.conn.send(q, fmt.Sprintf("%s HIT %s %d\r\n%s\r\n", q.id, fields, len(body), body))
	})
}

// respond answers with a word that brings no bytes.
func (c *cache) respond(q *attemptRequest, word, fields string) {
	if q.ended || !c.up || c.hung {
		return
	}
	q.ended = true
	q.conn.send(q, fmt.Sprintf("%s %s %s 0\r\n\r\n", q.id, word, fields))
}

// body is what a copy consists of: its name, its version, and as many bytes as it is long.
func (got *cachedCopy) body(key string) string {
	head := key + " " + got.version + " " + strconv.FormatInt(got.createdAt.UnixMilli(), 10) + "|"
	return head + strings.Repeat("x", max(0, got.size-len(head)))
}

// originCopy is the copy that the origin gives out now.
func (d *Scenario) originCopy(q *attemptRequest) *cachedCopy {
	return &cachedCopy{version: fmt.Sprintf("v%d-%s-%d", q.part, q.object, d.checker.version(q.object)),
		createdAt: d.sim.Unix().Truncate(time.Millisecond), size: partBytes(q.object, q.part)}
}
