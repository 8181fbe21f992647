package scenario

import (
	"fmt"
	"strings"
	"time"
)

// Kinds are the kinds of faults. A kind's begin does at once what it does and arranges for its own end; two faults of a
// kind may overlap.
var FaultKinds []FaultKind

func init() {
	FaultKinds = []FaultKind{
		{"gateway_kill", "a gateway is killed and started again after the span", 500, 5000, 3, false, (*Scenario).gatewayKill},
		{"gateway_half", "nearly half of the gateways are killed at one instant", 500, 4000, 2, false, (*Scenario).gatewayHalf},
		{"gateway_restart", "gateways are restarted one after another by SIGTERM", 1000, 1000, 2, false, (*Scenario).gatewayRestart},
		{"reload_good", "SIGHUP with a file that names the other bulletin", 1000, 1000, 2, false, (*Scenario).reloadGood},
		{"reload_half", "SIGHUP while the file is half written, and again with the whole of it after the span", 20, 800, 1, false, (*Scenario).reloadHalf},
		{"reload_bad", "SIGHUP with a file that cannot be used", 1000, 1000, 1, false, (*Scenario).reloadBad},
		{"clock_step", "clocks step by seconds: gateways started from then on have another time of day", 2000, 9000, 1, false, (*Scenario).clockStep},
		{"cache_kill", "a cache dies, is told gone later and a new one takes its place", 500, 3000, 3, false, ofUndisturbedCache((*Scenario).cacheKill)},
		{"cache_back", "a cache dies and comes back cold under its id", 800, 6000, 2, false, ofUndisturbedCache((*Scenario).cacheBack)},
		{"cache_vanish", "a cache vanishes in silence and comes back cold", 1500, 6000, 2, false, ofUndisturbedCache((*Scenario).cacheVanish)},
		{"cache_hang", "a cache takes lookups and answers none", 1000, 6000, 2, false, ofUndisturbedCache((*Scenario).cacheHang)},
		{"cache_drain", "a cache drains, goes and is replaced", 800, 5000, 3, false, ofUndisturbedCache((*Scenario).cacheDrain)},
		{"cache_replace", "a cache is replaced under a new id at its old address", 300, 3000, 2, false, ofUndisturbedCache((*Scenario).cacheReplace)},
		{"cache_slow", "a cache is slow", 2000, 8000, 2, false, (*Scenario).cacheSlow},
		{"cache_errors", "a cache answers everything with an error", 1000, 6000, 2, false, (*Scenario).cacheErrors},
		{"cold_mass", "half of the caches start cold at once", 1000, 1000, 1, false, (*Scenario).coldMass},
		{"parent_kill", "a parent dies and comes back cold", 1000, 8000, 2, false, (*Scenario).parentKill},
		{"parent_slow", "a parent is slow", 2000, 8000, 1, false, (*Scenario).parentSlow},
		{"parent_hang", "a parent takes fills and gives none", 2000, 6000, 1, false, (*Scenario).parentHang},
		{"origin_slow", "the origin is slow", 2000, 8000, 2, false, (*Scenario).originSlow},
		{"origin_gone", "the origin is gone", 500, 4000, 1, false, (*Scenario).originGone},
		{"split_caches", "the network splits gateways from caches", 200, 4000, 2, false, split("gateways", "edges")},
		{"split_clients", "the network splits clients from gateways", 200, 3000, 1, false, split("clients", "gateways")},
		{"split_bulletin", "the network splits gateways from the bulletin", 200, 4000, 1, false, split("gateways", "bulletin")},
		{"cache_deaf", "a cache reads nothing on its connections", 1000, 4000, 1, false, ofUndisturbedCache((*Scenario).cacheStopsReading)},
		{"close_cache", "caches close connections in order, with sends open on them or not", 500, 4000, 2, false, (*Scenario).closeCache},
		{"reset_cache", "connections to caches are reset at any byte, in either direction", 500, 4000, 3, false, (*Scenario).resetCache},
		{"reset_client", "connections of clients are reset at any byte, in either direction", 500, 4000, 2, false, (*Scenario).resetClient},
		{"spoilt_noise", "answers of caches come as noise", 500, 4000, 1, false, corrupting("noise")},
		{"spoilt_endless", "answers of caches say a length that never comes", 500, 4000, 1, false, corrupting("endless")},
		{"spoilt_short", "answers of caches stop short", 500, 4000, 1, false, corrupting("short")},
		{"spoilt_double", "answers of caches come twice", 500, 4000, 1, false, corrupting("double")},
		{"spoilt_late", "answers of caches come after their time", 500, 4000, 1, false, corrupting("late")},
		{"spoilt_stray", "answers to nothing come before answers", 500, 4000, 1, false, corrupting("stray")},
		{"spoilt_fault", "one answer in four is an error, at every cache", 500, 4000, 1, false, corrupting("fault")},
		{"bulletin_lag", "the bulletin tells late", 2000, 8000, 2, false, (*Scenario).discoveryLag},
		{"bulletin_break", "the bulletin breaks off in an event", 100, 100, 2, false, (*Scenario).discoveryBreak},
		{"bulletin_stop", "the bulletin says nothing and stays open", 1000, 3500, 1, false, (*Scenario).discoveryStall},
		{"bulletin_double", "the bulletin tells every event twice", 3000, 20000, 1, false, (*Scenario).discoveryDuplicate},
		{"bulletin_spoilt", "the bulletin tells a line that cannot be read", 100, 100, 1, false, (*Scenario).discoveryGarbage},
		{"bulletin_gap", "the bulletin leaves an event out", 500, 4000, 1, false, (*Scenario).discoveryGap},
		{"bulletin_gone", "the bulletin is gone", 200, 3000, 1, false, (*Scenario).discoveryGone},
		{"purge_object", "a popular object is purged", 100, 100, 3, false, (*Scenario).purgeObject},
		{"purge_group", "a group is purged", 100, 100, 2, false, (*Scenario).purgeGroup},
		{"purge_overlap", "objects and their groups are purged over and over", 500, 3000, 2, false, (*Scenario).purgeOverlap},
		{"burst", "eight times as many lookups", 1000, 4000, 2, false, (*Scenario).burst},
		{"hot_object", "half of the large lookups are for one object", 3000, 15000, 1, false, (*Scenario).hotObject},
		{"bad_flood", "clients send what no client should, by the hundred", 500, 3000, 2, false, (*Scenario).badFlood},
		{"clients_leave", "one client in three leaves before its answer", 2000, 8000, 2, false, (*Scenario).clientsCancel},
		{"clients_greedy", "clients hold as many connections as they can get, while caches are slow", 2000, 6000, 1, false, (*Scenario).clientsGreedy},
		{"clients_mute", "one client in six stops reading", 1000, 5000, 1, false, (*Scenario).clientsStall},
		{"caller_leaves", "callers break one stream in three off", 2000, 8000, 2, false, atCallers(func(p *extprocCaller, n int) { p.cancelOneIn = 3 * n })},
		{"caller_mute", "callers do not report one send in four", 2000, 6000, 2, false, atCallers(func(p *extprocCaller, n int) { p.silentOneIn = 4 * n })},
		{"caller_twice", "callers ask for one lookup in three a second time on another stream", 2000, 8000, 2, false, atCallers(func(p *extprocCaller, n int) { p.duplicateOneIn = 3 * n })},
		{"caller_lies", "callers report one send in four as something else", 2000, 6000, 2, false, atCallers(func(p *extprocCaller, n int) { p.misreportOneIn = 4 * n })},
		{"caller_late", "callers keep one send in three back", 2000, 6000, 1, false, atCallers(func(p *extprocCaller, n int) { p.delayOneIn = 3 * n })},
		{"caller_odd", "callers send phases out of order, twice, unknown or far too long", 2000, 6000, 2, false, atCallers(func(p *extprocCaller, n int) { p.malformedOneIn = 4 * n })},
		{"caller_slow", "callers ask again after their time, one time in two", 2000, 6000, 1, false, atCallers(func(p *extprocCaller, n int) { p.lateRetryOneIn = 2 * n })},
		{"caller_deaf", "callers do not read one stream in five", 2000, 6000, 1, false, atCallers(func(p *extprocCaller, n int) { p.stallOneIn = 5 * n })},
		{"caller_dies", "a caller dies and comes back", 100, 100, 2, false, func(d *Scenario, f Fault) {
			if p := d.callers[pick(d.gateways, f.Target)]; p != nil {
				p.restart()
			}
		}},
		{"caller_flood", "another caller asks 250 times a second", 1000, 4000, 2, false, func(d *Scenario, f Fault) {
			if p := d.callers[pick(d.gateways, f.Target)]; p != nil {
				p.flood(f.DurationMS / 4)
			}
		}},
		{"route_change", "an operator changes the routes of a gateway, and confirms, undoes or forgets it", 50, 2000, 4, false, (*Scenario).routeChange},
		{"little_memory", "gateways are told of 8 MB", 1, 1, 1, true, func(d *Scenario, _ Fault) {
			for _, g := range d.gateways {
				g.memoryMB = 8
			}
		}},
		{"few_descriptors", "gateways have 48 descriptors", 1, 1, 1, true, func(d *Scenario, _ Fault) {
			for _, g := range d.gateways {
				g.descriptors = 48
			}
		}},
	}
}

// atCallers has a fault at all callers for its span; set is called with 1, and with 0 at its end.
func atCallers(set func(p *extprocCaller, n int)) func(*Scenario, Fault) {
	return func(d *Scenario, f Fault) {
		all := func(n int) {
			for _, g := range d.gateways {
				if p := d.callers[g]; p != nil {
					set(p, n)
				}
			}
		}
		all(1)
		d.after(f.duration(), func() { all(0) })
	}
}

func (f Fault) duration() time.Duration { return time.Duration(f.DurationMS) * time.Millisecond }

func pick[T any](list []T, who int) T { return list[who%len(list)] }

func (d *Scenario) gatewayKill(f Fault) {
	g := pick(d.gateways, f.Target)
	g.kill()
	d.after(f.duration(), g.start)
}

func (d *Scenario) gatewayHalf(f Fault) {
	n := max(1, (len(d.gateways)*48+50)/100)
	for i := range n {
		g := d.gateways[(f.Target+i)%len(d.gateways)]
		g.kill()
		d.after(f.duration()+time.Duration(i)*100*time.Millisecond, g.start)
	}
}

func (d *Scenario) gatewayRestart(f Fault) {
	for i, g := range d.gateways {
		d.after(time.Duration(i)*6500*time.Millisecond, func() {
			if d.sim.Now() < warmup+time.Duration(d.Plan.Seconds)*time.Second {
				g.terminate(true)
			}
		})
	}
}

func (d *Scenario) reloadGood(f Fault) {
	for _, g := range d.gateways {
		was := d.discoveryServers[g.discoveryIndex]
		g.discoveryIndex = 1 - g.discoveryIndex
		l := g.current
		g.reload(g.config())
		if l != nil {
			l.cutOffAt = d.sim.Now()
		}
		d.after(1500*time.Millisecond, func() {
			for _, c := range append([]*watchConn(nil), was.conns...) {
				if c.process == l {
					c.end.Close()
				}
			}
		})
	}
}

func (d *Scenario) reloadHalf(f Fault) {
	g := pick(d.gateways, f.Target)
	text := g.config()
	g.reload(text[:f.Variant%len(text)])
	d.after(f.duration(), func() { g.reload(text) })
}

func (d *Scenario) reloadBad(f Fault) {
	g := pick(d.gateways, f.Target)
	bad := []string{"", "{}", "null", `{"listen":"x","bulletin":"y","known":{},"seed":"zz"}`,
		strings.Replace(string(g.config()), `"classes":[`, `"classes":[7,`, 1)}
	g.reload([]byte(pick(bad, f.Variant)))
	d.after(50*time.Millisecond, func() {
		if l := g.current; l != nil && !l.ended {
			l.process.Files["/config.json"] = g.config()
		}
	})
}

func (d *Scenario) clockStep(f Fault) {
	step := time.Duration(f.Variant%10000-5000) * time.Millisecond
	for _, g := range d.gateways {
		g.skew += step
	}
	d.after(f.duration(), func() {
		for _, g := range d.gateways {
			g.skew -= step
		}
	})
}

// successor is a new cache in the place of another, cold.
func (d *Scenario) successor(c *cache, ip string) *cache {
	n := d.newCache(c.flavor, c.zone, ip, c.size)
	n.start(max(1, d.sim.Now()))
	for i, o := range d.caches {
		if o == c {
			d.caches[i] = n
		}
	}
	n.publishPhase("up", 0)
	return n
}

func (d *Scenario) newIP(c *cache) string {
	return fmt.Sprintf("10.1.%d.%d", 2+d.lastCacheID/200, 1+d.lastCacheID%200)
}

func (d *Scenario) publishDrain(c *cache, phase string, lag time.Duration) {
	d.after(lag, func() {
		if d.checker.drainEvents[c.id] == 0 {
			d.checker.drainEvents[c.id] = len(d.events) + 1
		}
		c.publishPhase(phase, 0)
	})
}

// isUndisturbed tells whether a cache is in its usual state, so that a fault can begin.
func (c *cache) isUndisturbed() bool { return c.up && c.phase == "up" && !c.hung }

// ofUndisturbedCache makes a fault of a cache that begins only where the one drawn is in its usual state.
func ofUndisturbedCache(begin func(*Scenario, *cache, Fault)) func(*Scenario, Fault) {
	return func(d *Scenario, f Fault) {
		if c := pick(d.caches, f.Target); c.isUndisturbed() {
			begin(d, c, f)
		}
	}
}

// restart is a machine that starts again, cold, under its id.
func (c *cache) restart() {
	c.start(c.scenario.sim.Now())
	c.publishPhase("up", 0)
}

func (d *Scenario) cacheKill(c *cache, f Fault) {
	c.phase = "going"
	c.stop(false)
	d.publishDrain(c, "removed", f.duration())
	d.after(f.duration()+time.Second, func() { d.successor(c, d.newIP(c)) })
}

func (d *Scenario) cacheBack(c *cache, f Fault) {
	c.stop(false)
	d.after(f.duration(), c.restart)
}

func (d *Scenario) cacheVanish(c *cache, f Fault) {
	c.stop(true)
	d.after(f.duration(), c.restart)
}

func (d *Scenario) cacheHang(c *cache, f Fault) {
	c.hung = true
	d.after(f.duration(), func() { c.hung = false })
}

func (d *Scenario) cacheDrain(c *cache, f Fault) {
	c.phase = "draining"
	d.publishDrain(c, "draining", 0)
	d.after(f.duration()+2500*time.Millisecond, func() {
		c.publishPhase("removed", 0)
		d.after(100*time.Millisecond, func() { c.stop(false) })
		d.after(400*time.Millisecond, func() { d.successor(c, d.newIP(c)) })
	})
}

func (d *Scenario) cacheReplace(c *cache, f Fault) {
	c.phase = "going"
	d.publishDrain(c, "draining", 0)
	d.after(f.duration(), func() {
		c.stop(false)
		c.publishPhase("removed", 0)
		d.after(200*time.Millisecond, func() { d.successor(c, c.host.IP) })
	})
}

func (d *Scenario) cacheSlow(f Fault) {
	c := pick(d.caches, f.Target)
	c.slowdown = float64(2 + f.Variant%10)
	d.after(f.duration(), func() { c.slowdown = 1 })
}

func (d *Scenario) cacheErrors(f Fault) {
	c := pick(d.caches, f.Target)
	c.failsAll = true
	d.after(f.duration(), func() { c.failsAll = false })
}

func (d *Scenario) coldMass(f Fault) {
	for i, c := range append([]*cache(nil), d.caches...) {
		if i%2 == f.Target%2 && c.isUndisturbed() {
			c.stop(false)
			d.after(time.Duration(500+f.Variant%1500)*time.Millisecond, c.restart)
		}
	}
}

func (d *Scenario) parentKill(f Fault) {
	p := pick(d.parents, f.Target)
	if !p.up {
		return
	}
	p.stop(false)
	d.after(f.duration(), p.restart)
}

func (d *Scenario) parentSlow(f Fault) {
	p := pick(d.parents, f.Target)
	p.slowdown = float64(5 + f.Variant%60)
	d.after(f.duration(), func() { p.slowdown = 1 })
}

func (d *Scenario) parentHang(f Fault) {
	p := pick(d.parents, f.Target)
	p.hung = true
	d.after(f.duration(), func() { p.hung = false })
}

func (d *Scenario) originSlow(f Fault) {
	d.origin.slowdown = float64(5 + f.Variant%50)
	d.after(f.duration(), func() { d.origin.slowdown = 1 })
}

func (d *Scenario) originGone(f Fault) {
	if !d.origin.up {
		return
	}
	d.origin.stop(false)
	d.after(f.duration(), func() { d.origin.start(0) })
}

func split(a, b string) func(*Scenario, Fault) {
	return func(d *Scenario, f Fault) {
		d.sim.Split(a, b)
		if a == "clients" {
			d.clients.markSplit()
		}
		d.after(f.duration(), func() { d.sim.Heal(a, b) })
	}
}

// isSplit tells whether two groups cannot reach each other.
func (d *Scenario) isSplit(a, b string) bool { return d.sim.IsSplit(a, b) }

// markSplit marks all connections of clients: what is written on them may come late or not at all.
func (f *clientActor) markSplit() {
	for _, g := range f.scenario.gateways {
		for _, c := range f.pool[g] {
			c.split = true
		}
	}
}

func (d *Scenario) resetCache(f Fault) {
	till := d.sim.Now() + f.duration()
	var next func()
	next = func() {
		if d.sim.Now() > till {
			return
		}
		if c := pick(d.caches, d.randN(1<<16)); len(c.conns) > 0 {
			k := pick(c.conns, d.randN(1<<16))
			if d.randN(2) == 0 {
				k.end.ResetAfterIn = 1 + d.randN(9000)
			} else {
				k.end.ResetAfterOut = 1 + d.randN(400)
			}
		}
		d.after(time.Duration(20+d.randN(300))*time.Millisecond, next)
	}
	next()
}

func (d *Scenario) resetClient(f Fault) {
	till := d.sim.Now() + f.duration()
	var next func()
	next = func() {
		if d.sim.Now() > till {
			return
		}
		if pool := d.clients.pool[pick(d.gateways, d.randN(1<<16))]; len(pool) > 0 {
			if c := pick(pool, d.randN(1<<16)); c.up && !c.closed {
				c.misbehaves = true
				if d.randN(2) == 0 {
					c.end.ResetAfterIn = 1 + d.randN(300)
				} else {
					c.end.ResetAfterOut = 1 + d.randN(9000)
				}
			}
		}
		d.after(time.Duration(20+d.randN(300))*time.Millisecond, next)
	}
	next()
}

// answerCorruption is what caches make of good answers now, by kind: until when.
type answerCorruption struct{ until map[string]time.Duration }

func corrupting(kind string) func(*Scenario, Fault) {
	return func(d *Scenario, f Fault) {
		if d.corruption.until == nil {
			d.corruption.until = map[string]time.Duration{}
		}
		d.corruption.until[kind] = max(d.corruption.until[kind], d.sim.Now()+f.duration())
	}
}

func (s answerCorruption) hits(d *Scenario, kind string, one int) bool {
	return s.until[kind] > d.sim.Now() && d.randN(one) == 0
}

func (s answerCorruption) failsRequest(c *cache) bool {
	return c.flavor == "edge" && s.hits(c.scenario, "fault", 4)
}

// corrupt spoils a good answer, or passes.
func (s answerCorruption) corrupt(q *attemptRequest, got *cachedCopy, fields, body string) bool {
	d, k := q.conn.cache.scenario, q.conn
	good := fmt.Sprintf("%s HIT %s %d\r\n%s\r\n", q.id, fields, len(body), body)
	last := func(text string) bool {
		q.ended = true
		k.send(q, text)
		return true
	}
	torn := func(text string) bool { // no whole answer: the send stays out until its gateway gives it up
		if k.torn {
			return true
		}
		q.ended, k.torn = true, true
		delete(k.requests, q.id)
		k.sentBytes += len(text)
		k.end.Send([]byte(text))
		return true
	}
	switch {
	case s.until == nil:
		return false
	case k.torn:
		return true
	case s.hits(d, "noise", 8):
		return torn("\x01\x02 noise " + strings.Repeat("~", d.randN(200)) + "\r\n")
	case s.hits(d, "endless", 8):
		return torn(fmt.Sprintf("%s HIT %s 239999\r\n%s", q.id, fields, body))
	case s.hits(d, "short", 8):
		return torn(good[:d.randN(len(good))])
	case s.hits(d, "double", 4):
		d.checker.cacheAnswered(q, got, false)
		return last(good + good)
	case s.hits(d, "late", 6):
		d.after(q.receivedAt+q.timeout-d.sim.Now()+time.Duration(d.randN(200))*time.Millisecond, func() {
			if !q.ended || k.requests[q.id] == q {
				d.checker.cacheAnswered(q, got, false)
			}
			if !k.end.IsClosed() && k.cache.up {
				k.send(q, good)
			}
		})
		return true
	case s.hits(d, "stray", 4):
		k.sendStray("ffffffffffffffff HIT note=hit,waited=0,ver=x,born=1764576000000 2\r\nhi\r\n")
	}
	return false
}

func (d *Scenario) discoveryLag(f Fault) {
	b := d.discoveryServers[f.Target%2]
	b.lag = time.Duration(200+f.Variant%2500) * time.Millisecond
	d.after(f.duration(), func() { b.lag = 0; b.notifyWatches() })
}

func (d *Scenario) discoveryBreak(f Fault) {
	for _, b := range d.discoveryServers {
		for _, c := range append([]*watchConn(nil), b.conns...) {
			if c.next > 0 {
				c.breakInEvent()
			}
		}
	}
}

func (d *Scenario) discoveryStall(f Fault) {
	b := d.discoveryServers[f.Target%2]
	b.silent = true
	d.after(f.duration(), func() { b.silent = false; b.notifyWatches() })
}

func (d *Scenario) discoveryDuplicate(f Fault) {
	for _, b := range d.discoveryServers {
		b.duplicates = true
		d.after(f.duration(), func() { b.duplicates = false })
	}
}

func (d *Scenario) discoveryGone(f Fault) {
	if b := d.discoveryServers[f.Target%2]; !b.down {
		b.stopFor(f.duration())
	}
}

func (d *Scenario) purgeObject(f Fault) {
	d.purge(pick([]string{"s0", "s1", "p0", "p1", "s2"}, f.Variant), 0)
}

func (d *Scenario) purgeGroup(f Fault) {
	d.purge("", groupOf(pick([]string{"s0", "p0", "s1"}, f.Variant)))
}

func (d *Scenario) purgeOverlap(f Fault) {
	for at := time.Duration(0); at < f.duration(); at += 120 * time.Millisecond {
		d.after(at, func() {
			if d.randN(3) == 0 {
				d.purgeGroup(Fault{Variant: d.randN(100)})
			} else {
				d.purgeObject(Fault{Variant: d.randN(100)})
			}
		})
	}
}

func (d *Scenario) burst(f Fault) {
	d.clients.rateFactor = 8
	for _, g := range d.gateways { // a stream of their own, at once
		for i := range 12 {
			d.after(time.Duration(i)*10*time.Millisecond, func() {
				if d.clients.open {
					d.clients.drawLookup(g)
				}
			})
		}
	}
	d.after(f.duration(), func() { d.clients.rateFactor = 1 })
}

func (d *Scenario) hotObject(f Fault) {
	d.clients.hotObject = fmt.Sprintf("s%d", 100+f.Variant%50)
	d.after(f.duration(), func() { d.clients.hotObject = "" })
}

func (d *Scenario) badFlood(f Fault) {
	g := pick(d.gateways, f.Target)
	for at := time.Duration(0); at < f.duration(); at += 100 * time.Millisecond {
		d.after(at, func() {
			for range 15 {
				d.clients.sendInvalid(g, d.randN(100))
			}
		})
	}
}

func (d *Scenario) clientsCancel(f Fault) {
	d.clients.cancelOneIn = 3
	d.after(f.duration(), func() { d.clients.cancelOneIn = 0 })
}

func (d *Scenario) clientsStall(f Fault) {
	d.clients.stallOneIn = 6
	d.after(f.duration(), func() { d.clients.stallOneIn = 0 })
}

func (d *Scenario) cacheStopsReading(c *cache, f Fault) {
	c.stopsReading = true
	for _, k := range c.conns {
		k.end.Stalled, k.end.Window = true, 150
	}
	d.after(f.duration(), func() {
		c.stopsReading = false
		for _, k := range append([]*cacheConn(nil), c.conns...) {
			k.end.Window = 0
			k.end.Resume()
		}
	})
}

func (d *Scenario) closeCache(f Fault) {
	till := d.sim.Now() + f.duration()
	var next func()
	next = func() {
		if d.sim.Now() > till {
			return
		}
		if c := pick(d.caches, d.randN(1<<16)); len(c.conns) > 0 {
			k := pick(c.conns, d.randN(1<<16))
			k.end.Close()
			k.endAtCache(false)
		}
		d.after(time.Duration(20+d.randN(300))*time.Millisecond, next)
	}
	next()
}

func (d *Scenario) discoveryGarbage(f Fault) {
	for _, b := range d.discoveryServers {
		for _, c := range b.conns {
			if c.next > 0 && !b.silent {
				c.send(pick([]string{"{\"no\":}\n", "\x00\xff\n", "{\"no\":9999999,\"roster\":{}}\n", strings.Repeat("~", 3000) + "\n"}, f.Variant))
			}
		}
	}
}

func (d *Scenario) discoveryGap(f Fault) {
	for _, b := range d.discoveryServers {
		b.skipsEvent = true
	}
	d.after(f.duration(), func() {
		for _, b := range d.discoveryServers {
			b.skipsEvent = false
		}
	})
}

func (d *Scenario) clientsGreedy(f Fault) {
	d.clients.keepsAll = true
	for _, c := range d.caches {
		c.slowdown = 12
	}
	for i := range 200 {
		d.after(time.Duration(i)*f.duration()/200, func() {
			if d.clients.open {
				d.clients.drawLookup(pick(d.gateways, i))
			}
		})
	}
	d.after(f.duration(), func() {
		d.clients.keepsAll = false
		for _, c := range d.caches {
			c.slowdown = 1
		}
	})
}
