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
	edgeCapacity   = 120    // copies that an edge stores
	parentCapacity = 600    // copies that a parent stores
	edgeMaxFills   = 8      // concurrent fills at an edge
	parentMaxFills = 24     // concurrent fills at a parent
	maxQueue       = 30     // requests in service from which a cache sheds further requests
	maxBody        = 100000 // bytes of the largest cached part
)

// cache simulates an edge cache, a parent cache or the origin.
type cache struct {
	scenario       *Scenario
	id, zone       string
	flavor         string
	host           *simenv.Host
	size           float64 // concurrent transfers at full capacity
	cell           int
	startedAt      time.Duration // 0: it started long before the scenario
	up             bool
	phase          string // lifecycle phase; a fault may set it before discovery publishes it
	hung           bool   // it accepts requests and does not answer them
	failsAll       bool   // it answers every request with an error
	stopsReading   bool   // it does not read from its connections
	slowdown       float64
	stored         map[string]*cachedCopy
	uses           uint64
	conns          []*cacheConn
	activeRequests int
	activeFills    int
	fills          map[string]*pendingFill
	recentWork     []timedWork    // received within overloadWindow, for rule 4, which limits the load on cold caches
	effectRuns     map[string]int // by object: how often the effect of its lookups ran at the origin
	startEvent     int            // number of the event that publishes the cache's start; 0: none
	appliedPurges  []purge        // purges that the cache has applied to its store
}

// timedWork is the service time of a request and when the request arrived.
type timedWork struct {
	at   time.Duration
	work time.Duration
}

// cachedCopy is a copy of a part. createdAt is when the origin served it.
type cachedCopy struct {
	version   string
	createdAt time.Time
	size      int
	lastUse   uint64 // value of the cache's use counter
	rank      int    // of the request that stored the copy or, at an edge, last used it
}

// pendingFill is a fill in progress. Its waiters are called when the fill ends, with a nil copy if it failed.
type pendingFill struct {
	waiters []func(c *cachedCopy, note string)
}

func (s *Scenario) newCache(flavor, zone, ip string, size float64) *cache {
	s.lastCacheID++
	c := &cache{scenario: s, id: fmt.Sprintf("%s-%d", flavor, s.lastCacheID), zone: zone, flavor: flavor, size: size, cell: s.lastCacheID, slowdown: 1,
		host: s.sim.Host(ip, flavor+"s"), stored: map[string]*cachedCopy{}, fills: map[string]*pendingFill{}, effectRuns: map[string]int{},
		phase: "up"}
	s.byID[c.id] = c
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

// start starts the cache with an empty store. The cache is cold if at is above 0.
func (c *cache) start(at time.Duration) {
	c.up, c.hung, c.startedAt, c.startEvent = true, false, at, 0
	c.host.Vanished = false
	clear(c.stored)
	c.recentWork, c.activeRequests, c.activeFills = nil, 0, 0
	c.fills = map[string]*pendingFill{}
	c.host.Serve("10080", func(e *simenv.End) simenv.Handler {
		conn := &cacheConn{cache: c, end: e}
		e.OnArrived = conn.arrived
		if c.stopsReading {
			e.Stalled, e.Window = true, 150
		}
		for _, g := range c.scenario.gateways {
			if g.host == e.Peer {
				conn.process = g.current
			}
		}
		if conn.process != nil {
			conn.process.conns[conn] = true
		}
		c.conns = append(c.conns, conn)
		return conn
	})
}

// stop stops the cache. Its connections are reset, or, if silent is set, end without notice to their gateways.
func (c *cache) stop(silent bool) {
	if !c.up {
		return
	}
	c.up = false
	c.host.StopServing("10080")
	c.host.Vanished = silent
	conns := slices.Clone(c.conns)
	if c.scenario.sim.Lockstep {
		// A gateway sees the attempts on one connection end in the order of
		// their ids. The requests of a proxy end in the same order.
		slices.SortStableFunc(conns, func(a, b *cacheConn) int { return strings.Compare(a.attemptID, b.attemptID) })
	}
	if script := c.scenario.hooks.script; script != nil {
		open := 0
		for _, conn := range conns {
			open += len(conn.requests)
		}
		if open > 1 { // the order in which these requests end is not guaranteed
			script.mayDiverge(c.scenario.sim.Now(), "broken together")
		}
	}
	for _, conn := range conns {
		if !silent {
			conn.reset()
		}
		if conn.deliver != nil {
			conn.detach()
			continue
		}
		conn.endAtCache(silent)
	}
}

// publishPhase sets the cache's phase and publishes it after a delay.
func (c *cache) publishPhase(phase string, lag time.Duration) {
	c.scenario.after(lag, func() {
		c.phase = phase
		if phase == "up" {
			c.startEvent = len(c.scenario.events) + 1
		}
		c.scenario.publish(discoveryEvent{Endpoints: &endpointUpdate{Revision: len(c.scenario.events) + 1, Endpoints: []endpoint{c.endpoint(phase)}}})
	})
}

// handle serves a request from the store, by a fill from the request's source, or by joining a fill in progress. It
// sheds the request if the cache is at its limits.
func (c *cache) handle(request *attemptRequest) {
	request.receivedAt = c.scenario.sim.Now()
	if c.scenario.hooks.script != nil {
		c.scenario.hooks.script.answerAttempt(c, request)
		return
	}
	switch {
	case c.hung:
		return
	case c.failsAll || c.scenario.corruption.failsRequest(c):
		c.scenario.after(2*time.Millisecond, func() { c.respond(request, "FAULT", "-") })
		return
	case c.activeRequests >= maxQueue:
		c.respond(request, "SHED", "-")
		return
	}
	if request.kindSettings().passesThrough {
		c.passThrough(request)
		return
	}
	if held := c.stored[request.key()]; held != nil && c.isFresh(held, request) {
		c.uses++
		held.lastUse, held.rank = c.uses, request.rank
		note := "hit"
		if k := request.kindSettings(); k.maxAge > 0 && c.scenario.sim.Unix().Sub(held.createdAt) > k.maxAge {
			note = "stale"
		}
		if strings.Contains(request.mode, "r") && note == "stale" && request.source != "" {
			c.fill(request, func(*cachedCopy, string) {})
		}
		c.serve(request, held, note, 0)
		return
	}
	if request.source == "" {
		c.scenario.after(500*time.Microsecond, func() { c.respond(request, "NONE", "-") })
		return
	}
	if f := c.fills[request.key()]; f != nil && strings.Contains(request.mode, "j") {
		began := c.scenario.sim.Now()
		f.waiters = append(f.waiters, func(got *cachedCopy, note string) {
			if note == "filled" || note == "via_origin" {
				note = "joined"
			}
			c.fillEnded(request, got, note, began)
		})
		return
	}
	if c.activeFills >= edgeMaxFills {
		c.respond(request, "SHED", "note=no_slot")
		return
	}
	began := c.scenario.sim.Now()
	c.fill(request, func(got *cachedCopy, note string) { c.fillEnded(request, got, note, began) })
}

func (c *cache) fillEnded(request *attemptRequest, got *cachedCopy, note string, began time.Duration) {
	if got == nil {
		c.respond(request, "FAULT", "note="+note)
		return
	}
	c.serve(request, got, note, c.scenario.sim.Now()-began)
}

// isFresh reports whether a copy is fresh enough for a request.
func (c *cache) isFresh(held *cachedCopy, request *attemptRequest) bool {
	age := c.scenario.sim.Unix().Sub(held.createdAt)
	if request.maxAge > 0 {
		return age <= request.maxAge
	}
	k := request.kindSettings()
	return k.maxAge == 0 || age <= k.maxAge
}

// fill fetches a copy from the source that the request names, and stores it. It calls done and the waiters of the
// fill with the copy, or with nil if the fill fails.
func (c *cache) fill(request *attemptRequest, done func(*cachedCopy, string)) {
	s, from := c.scenario, c.scenario.byID[request.source]
	f := &pendingFill{waiters: []func(*cachedCopy, string){done}}
	key := request.key()
	if c.fills[key] == nil {
		c.fills[key] = f
	}
	c.activeFills++
	ended := false
	end := func(got *cachedCopy, note string) {
		if ended || c.fills == nil {
			return
		}
		ended = true
		c.activeFills--
		if c.fills[key] == f {
			delete(c.fills, key)
		}
		if !c.up {
			return
		}
		if got != nil {
			c.store(key, got, request.rank, edgeCapacity)
		}
		for _, w := range f.waiters {
			w(got, note)
		}
	}
	s.after(6*time.Second, func() { end(nil, "src_broke") }) // the source did not answer within 6 s
	if from == nil {                                         // the gateway's endpoint list is outdated and names an unknown source
		s.after(3*time.Millisecond, func() { end(nil, "src_refused") })
		return
	}
	from.serveFill(c, request, func(got *cachedCopy, note string) {
		if got == nil {
			end(nil, note)
			return
		}
		// A fill transfers a copy four times as fast as an answer to a gateway.
		s.after(time.Duration(float64(request.work)*from.slowdown/4), func() { end(got, note) })
	})
}

// serveFill serves a copy to another cache. It calls done with nil if the fill fails. It does not call done if the
// request or the answer is lost.
func (c *cache) serveFill(to *cache, request *attemptRequest, done func(*cachedCopy, string)) {
	s := c.scenario
	if !c.up {
		if !c.host.Vanished {
			s.after(3*time.Millisecond, func() { done(nil, "src_broke") })
		}
		return
	}
	if c.hung {
		return
	}
	if c.failsAll {
		s.after(3*time.Millisecond, func() { done(nil, "src_refused") })
		return
	}
	if c.flavor == flavorOrigin {
		wait := time.Duration(float64(20*time.Millisecond)*c.slowdown) + time.Duration(s.randN(20))*time.Millisecond
		s.after(wait, func() {
			if !c.up {
				done(nil, "origin_failed")
				return
			}
			if request.kindSettings().passesThrough {
				c.effectRuns[request.object]++
				s.checker.effectRan(request, c.effectRuns[request.object])
			}
			done(s.originCopy(request), "via_origin")
		})
		return
	}
	c.checkColdLoad(request.conn.process, request.work, request.firstByteAt())
	if held := c.stored[request.key()]; held != nil && c.isFresh(held, request) && !request.kindSettings().passesThrough {
		c.uses++
		held.lastUse = c.uses
		s.after(time.Duration(float64(2*time.Millisecond)*c.slowdown), func() { done(held, "filled") })
		return
	}
	if c.activeFills >= parentMaxFills {
		s.after(time.Millisecond, func() { done(nil, "src_refused") })
		return
	}
	c.activeFills++
	s.origin.serveFill(c, request, func(got *cachedCopy, note string) {
		c.activeFills--
		if got != nil && !request.kindSettings().passesThrough {
			c.store(request.key(), got, request.rank, parentCapacity)
		}
		if got == nil && note == "src_broke" {
			note = "origin_failed"
		}
		done(got, note)
	})
}

// passThrough runs a lookup whose kind is never cached at the origin. The caches of a zone share the ids of the
// deduplicated lookups that have run, and answer a repeat without running it again.
func (c *cache) passThrough(request *attemptRequest) {
	if request.kindSettings().effect == effectDeduplicated {
		if c.scenario.checker.deduplicated[c.zone+request.id] {
			c.serve(request, c.scenario.originCopy(request), "hit", 0)
			return
		}
		c.scenario.checker.deduplicated[c.zone+request.id] = true
	}
	from := c.scenario.byID[request.source]
	if from == nil {
		from = c.scenario.origin
	}
	began := c.scenario.sim.Now()
	from.serveFill(c, request, func(got *cachedCopy, note string) { c.fillEnded(request, got, note, began) })
}

// applyPurge drops the copies that a purge makes stale. Each cache does so within the time that the settings promise.
func (c *cache) applyPurge(p purge) {
	c.appliedPurges = append(c.appliedPurges, p)
	for key, got := range c.stored { // each copy is checked on its own, so the order does not matter
		if p.coversKey(key) && got.createdAt.Before(p.issued) {
			delete(c.stored, key)
		}
	}
}

// store stores a copy, unless a purge that the cache has applied makes it stale. Above the capacity, it evicts the
// copy of the lowest rank, and among several of that rank the least recently used.
func (c *cache) store(key string, got *cachedCopy, rank, capacity int) {
	for _, p := range c.appliedPurges {
		if p.coversKey(key) && got.createdAt.Before(p.issued) {
			return
		}
	}
	c.uses++
	kept := *got
	kept.lastUse, kept.rank = c.uses, rank
	c.stored[key] = &kept
	if len(c.stored) <= capacity {
		return
	}
	var victim *cachedCopy
	var victimKey string
	for k, o := range c.stored { // lastUse is unique, so the victim does not depend on the order
		if victim == nil || o.rank < victim.rank || o.rank == victim.rank && o.lastUse < victim.lastUse {
			victim, victimKey = o, k
		}
	}
	delete(c.stored, victimKey)
}

// serve answers a request with a copy. The service time grows with the load on the cache.
func (c *cache) serve(request *attemptRequest, got *cachedCopy, note string, waited time.Duration) {
	s := c.scenario
	c.activeRequests++
	capacity := c.size * c.capacityShare(s.sim.Now())
	took := time.Duration(float64(request.work) * max(1, float64(c.activeRequests)/max(0.5, capacity)/3) * c.slowdown)
	if note == "joined" || note == "filled" || note == "via_origin" {
		took /= 4
	}
	notModified := request.etag != "" && request.etag == got.version
	if notModified {
		took /= 20
	}
	s.after(took, func() {
		c.activeRequests--
		if request.ended || !c.up || c.hung || s.sim.Now() > request.receivedAt+request.timeout {
			return
		}
		fields := fmt.Sprintf("note=%s,waited=%.3f,ver=%s,born=%d", note, float64(waited.Microseconds())/1000, got.version,
			got.createdAt.UnixMilli())
		if request.kindSettings().passesThrough && request.conn.deliver == nil { // not a cached copy: it has no version and no creation time
			fields = fmt.Sprintf("note=%s,waited=%.3f", note, float64(waited.Microseconds())/1000)
		}
		if notModified {
			s.checker.cacheAnswered(request, got, true)
			c.respond(request, "VALID", fields)
			return
		}
		body := got.body(request.key())
		if s.corruption.corrupt(request, got, fields, body) {
			return
		}
		if s.hooks.onAnswer != nil {
			s.hooks.onAnswer(s, request)
		}
		s.checker.cacheAnswered(request, got, false)
		request.ended = true
		request.conn.send(request, fmt.Sprintf("%s HIT %s %d\r\n%s\r\n", request.id, fields, len(body), body))
	})
}

// respond answers a request with a status word and no body.
func (c *cache) respond(request *attemptRequest, word, fields string) {
	if request.ended || !c.up || c.hung {
		return
	}
	request.ended = true
	request.conn.send(request, fmt.Sprintf("%s %s %s 0\r\n\r\n", request.id, word, fields))
}

// body returns the bytes of a copy: its key, version and creation time, padded to its size.
func (got *cachedCopy) body(key string) string {
	head := key + " " + got.version + " " + strconv.FormatInt(got.createdAt.UnixMilli(), 10) + "|"
	return head + strings.Repeat("x", max(0, got.size-len(head)))
}

// originCopy returns the copy that the origin serves at the current time.
func (s *Scenario) originCopy(request *attemptRequest) *cachedCopy {
	return &cachedCopy{version: fmt.Sprintf("v%d-%s-%d", request.part, request.object, s.checker.version(request.object)),
		createdAt: s.sim.Unix().Truncate(time.Millisecond), size: partBytes(request.object, request.part)}
}
