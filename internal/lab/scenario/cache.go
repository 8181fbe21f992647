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
	edgeCapacity   = 120 // stored copies
	parentCapacity = 600
	edgeMaxFills   = 8 // fills at once
	parentMaxFills = 24
	maxQueue       = 30 // requests in service before a cache sheds more
	maxBody        = 100000
)

// cache is an edge cache, a parent or the origin.
type cache struct {
	scenario       *Scenario
	id, zone       string
	flavor         string
	host           *simenv.Host
	size           float64
	cell           int
	startedAt      time.Duration // 0: long before the scenario
	up             bool
	phase          string // as published
	hung           bool   // accepts everything and answers nothing
	failsAll       bool   // answers everything with an error
	stopsReading   bool   // reads nothing on its connections
	slowdown       float64
	stored         map[string]*cachedCopy
	uses           uint64
	conns          []*cacheConn
	activeRequests int
	activeFills    int
	fills          map[string]*pendingFill
	recentWork     []timedWork // in overloadWindow, for rule 4
	effectRuns     map[string]int
	startEvent     int     // number of the event that publishes its start
	appliedPurges  []purge // that it knows by itself
}

type timedWork struct {
	at   time.Duration
	work time.Duration
}

// cachedCopy is a copy of a part that the origin served at createdAt.
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

// start starts the machine; it is cold if at is above 0.
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

// stop ends the machine: its connections are reset, or go silent with it.
func (c *cache) stop(silent bool) {
	if !c.up {
		return
	}
	c.up = false
	c.host.StopServing("10080")
	c.host.Vanished = silent
	conns := slices.Clone(c.conns)
	if c.scenario.sim.Lockstep { // a gateway sees the attempts on one connection end in the order of their ids
		slices.SortStableFunc(conns, func(a, b *cacheConn) int { return strings.Compare(a.attemptID, b.attemptID) })
	}
	if script := c.scenario.hooks.script; script != nil {
		open := 0
		for _, conn := range conns {
			open += len(conn.requests)
		}
		if open > 1 { // their order is not promised
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

// publishPhase publishes the cache's phase after a lag.
func (c *cache) publishPhase(phase string, lag time.Duration) {
	c.scenario.after(lag, func() {
		c.phase = phase
		if phase == "up" {
			c.startEvent = len(c.scenario.events) + 1
		}
		c.scenario.publish(discoveryEvent{Endpoints: &endpointUpdate{Revision: len(c.scenario.events) + 1, Endpoints: []endpoint{c.endpoint(phase)}}})
	})
}

// handle answers a request.
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

// fill gets a copy from the source that the request names.
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
	s.after(6*time.Second, func() { end(nil, "src_broke") }) // the source does not answer
	if from == nil {                                         // the gateway has an old list
		s.after(3*time.Millisecond, func() { end(nil, "src_refused") })
		return
	}
	from.serveFill(c, request, func(got *cachedCopy, note string) {
		if got == nil {
			end(nil, note)
			return
		}
		s.after(time.Duration(float64(request.work)*from.slowdown/4), func() { end(got, note) }) // fills are faster than answers to gateways
	})
}

// serveFill serves a copy to another cache. If the request or the answer is lost, done is not called.
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

// passThrough runs a lookup that is never cached at the origin; all caches of a zone know the deduplicated ones that ran.
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

// applyPurge drops the copies that a purge makes stale, as every cache does within the time that the settings promise.
func (c *cache) applyPurge(p purge) {
	c.appliedPurges = append(c.appliedPurges, p)
	for key, got := range c.stored { // each by itself: the order does not matter
		if p.coversKey(key) && got.createdAt.Before(p.issued) {
			delete(c.stored, key)
		}
	}
}

// store stores a copy; past the capacity it evicts the lowest rank, and within it the least recently used.
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
	for k, o := range c.stored { // exactly one is least: lastUse is unique
		if victim == nil || o.rank < victim.rank || o.rank == victim.rank && o.lastUse < victim.lastUse {
			victim, victimKey = o, k
		}
	}
	delete(c.stored, victimKey)
}

// serve answers a request with a copy, after a time that depends on the cache's load.
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
		if request.kindSettings().passesThrough && request.conn.deliver == nil { // the answer of an effect is not a copy
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

// respond answers with a status word and no body.
func (c *cache) respond(request *attemptRequest, word, fields string) {
	if request.ended || !c.up || c.hung {
		return
	}
	request.ended = true
	request.conn.send(request, fmt.Sprintf("%s %s %s 0\r\n\r\n", request.id, word, fields))
}

// body is the bytes of a copy: its key and version, padded to its size.
func (got *cachedCopy) body(key string) string {
	head := key + " " + got.version + " " + strconv.FormatInt(got.createdAt.UnixMilli(), 10) + "|"
	return head + strings.Repeat("x", max(0, got.size-len(head)))
}

// originCopy is the copy that the origin serves now.
func (s *Scenario) originCopy(request *attemptRequest) *cachedCopy {
	return &cachedCopy{version: fmt.Sprintf("v%d-%s-%d", request.part, request.object, s.checker.version(request.object)),
		createdAt: s.sim.Unix().Truncate(time.Millisecond), size: partBytes(request.object, request.part)}
}
