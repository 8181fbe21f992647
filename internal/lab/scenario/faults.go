package scenario

import (
	"fmt"
	"strings"
	"time"
)

// Kinds are the kinds of faults. A kind's begin does at once what it does and arranges for its own end; two faults of a
// kind may overlap.
var Kinds []Kind

func init() {
	Kinds = []Kind{
		{"gateway_kill", "a gateway is killed and started again after the span", 500, 5000, 3, false, (*Day).gatewayKill},
		{"gateway_half", "nearly half of the gateways are killed at one instant", 500, 4000, 2, false, (*Day).gatewayHalf},
		{"gateway_restart", "gateways are restarted one after another by SIGTERM", 1000, 1000, 2, false, (*Day).gatewayRestart},
		{"reload_good", "SIGHUP with a file that names the other bulletin", 1000, 1000, 2, false, (*Day).reloadGood},
		{"reload_half", "SIGHUP while the file is half written, and again with the whole of it after the span", 20, 800, 1, false, (*Day).reloadHalf},
		{"reload_bad", "SIGHUP with a file that cannot be used", 1000, 1000, 1, false, (*Day).reloadBad},
		{"clock_step", "clocks step by seconds: gateways started from then on have another time of day", 2000, 9000, 1, false, (*Day).clockStep},
		{"cache_kill", "a cache dies, is told gone later and a new one takes its place", 500, 3000, 3, false, free((*Day).cacheKill)},
		{"cache_back", "a cache dies and comes back cold under its id", 800, 6000, 2, false, free((*Day).cacheBack)},
		{"cache_vanish", "a cache vanishes in silence and comes back cold", 1500, 6000, 2, false, free((*Day).cacheVanish)},
		{"cache_hang", "a cache takes lookups and answers none", 1000, 6000, 2, false, free((*Day).cacheHang)},
		{"cache_drain", "a cache drains, goes and is replaced", 800, 5000, 3, false, free((*Day).cacheDrain)},
		{"cache_replace", "a cache is replaced under a new id at its old address", 300, 3000, 2, false, free((*Day).cacheReplace)},
		{"cache_slow", "a cache is slow", 2000, 8000, 2, false, (*Day).cacheSlow},
		{"cache_errors", "a cache answers everything with an error", 1000, 6000, 2, false, (*Day).cacheErrors},
		{"cold_mass", "half of the caches start cold at once", 1000, 1000, 1, false, (*Day).coldMass},
		{"parent_kill", "a parent dies and comes back cold", 1000, 8000, 2, false, (*Day).parentKill},
		{"parent_slow", "a parent is slow", 2000, 8000, 1, false, (*Day).parentSlow},
		{"parent_hang", "a parent takes fills and gives none", 2000, 6000, 1, false, (*Day).parentHang},
		{"origin_slow", "the origin is slow", 2000, 8000, 2, false, (*Day).originSlow},
		{"origin_gone", "the origin is gone", 500, 4000, 1, false, (*Day).originGone},
		{"split_caches", "the network splits gateways from caches", 200, 4000, 2, false, split("gateways", "edges")},
		{"split_clients", "the network splits clients from gateways", 200, 3000, 1, false, split("clients", "gateways")},
		{"split_bulletin", "the network splits gateways from the bulletin", 200, 4000, 1, false, split("gateways", "bulletin")},
		{"cache_deaf", "a cache reads nothing on its connections", 1000, 4000, 1, false, free((*Day).cacheDeaf)},
		{"close_cache", "caches close connections in order, with sends open on them or not", 500, 4000, 2, false, (*Day).closeCache},
		{"reset_cache", "connections to caches are reset at any byte, in either direction", 500, 4000, 3, false, (*Day).resetCache},
		{"reset_client", "connections of clients are reset at any byte, in either direction", 500, 4000, 2, false, (*Day).resetClient},
		{"spoilt_noise", "answers of caches come as noise", 500, 4000, 1, false, spoiling("noise")},
		{"spoilt_endless", "answers of caches say a length that never comes", 500, 4000, 1, false, spoiling("endless")},
		{"spoilt_short", "answers of caches stop short", 500, 4000, 1, false, spoiling("short")},
		{"spoilt_double", "answers of caches come twice", 500, 4000, 1, false, spoiling("double")},
		{"spoilt_late", "answers of caches come after their time", 500, 4000, 1, false, spoiling("late")},
		{"spoilt_stray", "answers to nothing come before answers", 500, 4000, 1, false, spoiling("stray")},
		{"spoilt_fault", "one answer in four is an error, at every cache", 500, 4000, 1, false, spoiling("fault")},
		{"bulletin_lag", "the bulletin tells late", 2000, 8000, 2, false, (*Day).bulletinLag},
		{"bulletin_break", "the bulletin breaks off in an event", 100, 100, 2, false, (*Day).bulletinBreak},
		{"bulletin_stop", "the bulletin says nothing and stays open", 1000, 3500, 1, false, (*Day).bulletinStop},
		{"bulletin_double", "the bulletin tells every event twice", 3000, 20000, 1, false, (*Day).bulletinDouble},
		{"bulletin_spoilt", "the bulletin tells a line that cannot be read", 100, 100, 1, false, (*Day).bulletinSpoilt},
		{"bulletin_gap", "the bulletin leaves an event out", 500, 4000, 1, false, (*Day).bulletinGap},
		{"bulletin_gone", "the bulletin is gone", 200, 3000, 1, false, (*Day).bulletinGone},
		{"purge_object", "a popular object is purged", 100, 100, 3, false, (*Day).purgeObject},
		{"purge_group", "a group is purged", 100, 100, 2, false, (*Day).purgeGroup},
		{"purge_overlap", "objects and their groups are purged over and over", 500, 3000, 2, false, (*Day).purgeOverlap},
		{"burst", "eight times as many lookups", 1000, 4000, 2, false, (*Day).burst},
		{"hot_object", "half of the large lookups are for one object", 3000, 15000, 1, false, (*Day).hotObject},
		{"bad_flood", "clients send what no client should, by the hundred", 500, 3000, 2, false, (*Day).badFlood},
		{"clients_leave", "one client in three leaves before its answer", 2000, 8000, 2, false, (*Day).clientsLeave},
		{"clients_greedy", "clients hold as many connections as they can get, while caches are slow", 2000, 6000, 1, false, (*Day).clientsGreedy},
		{"clients_mute", "one client in six stops reading", 1000, 5000, 1, false, (*Day).clientsMute},
		{"caller_leaves", "callers break one stream in three off", 2000, 8000, 2, false, calling(func(p *proxy, n int) { p.leaves = 3 * n })},
		{"caller_mute", "callers do not report one send in four", 2000, 6000, 2, false, calling(func(p *proxy, n int) { p.mute = 4 * n })},
		{"caller_twice", "callers ask for one lookup in three a second time on another stream", 2000, 8000, 2, false, calling(func(p *proxy, n int) { p.twice = 3 * n })},
		{"caller_lies", "callers report one send in four as something else", 2000, 6000, 2, false, calling(func(p *proxy, n int) { p.lies = 4 * n })},
		{"caller_late", "callers keep one send in three back", 2000, 6000, 1, false, calling(func(p *proxy, n int) { p.late = 3 * n })},
		{"caller_odd", "callers send phases out of order, twice, unknown or far too long", 2000, 6000, 2, false, calling(func(p *proxy, n int) { p.odd = 4 * n })},
		{"caller_slow", "callers ask again after their time, one time in two", 2000, 6000, 1, false, calling(func(p *proxy, n int) { p.slow = 2 * n })},
		{"caller_deaf", "callers do not read one stream in five", 2000, 6000, 1, false, calling(func(p *proxy, n int) { p.deaf = 5 * n })},
		{"caller_dies", "a caller dies and comes back", 100, 100, 2, false, func(d *Day, f Fault) {
			if p := d.proxies[pick(d.gateways, f.Who)]; p != nil {
				p.restart()
			}
		}},
		{"caller_flood", "another caller asks 250 times a second", 1000, 4000, 2, false, func(d *Day, f Fault) {
			if p := d.proxies[pick(d.gateways, f.Who)]; p != nil {
				p.flood(f.For / 4)
			}
		}},
		{"route_change", "an operator changes the routes of a gateway, and confirms, undoes or forgets it", 50, 2000, 4, false, (*Day).routeChange},
		{"little_memory", "gateways are told of 8 MB", 1, 1, 1, true, func(d *Day, _ Fault) {
			for _, g := range d.gateways {
				g.memory = 8
			}
		}},
		{"few_descriptors", "gateways have 48 descriptors", 1, 1, 1, true, func(d *Day, _ Fault) {
			for _, g := range d.gateways {
				g.fds = 48
			}
		}},
	}
}

// calling has a fault at all callers for its span; set is called with 1, and with 0 at its end.
func calling(set func(p *proxy, n int)) func(*Day, Fault) {
	return func(d *Day, f Fault) {
		all := func(n int) {
			for _, g := range d.gateways {
				if p := d.proxies[g]; p != nil {
					set(p, n)
				}
			}
		}
		all(1)
		d.after(f.span(), func() { all(0) })
	}
}

func (f Fault) span() time.Duration { return time.Duration(f.For) * time.Millisecond }

func pick[T any](list []T, who int) T { return list[who%len(list)] }

func (d *Day) gatewayKill(f Fault) {
	g := pick(d.gateways, f.Who)
	g.kill()
	d.after(f.span(), g.start)
}

func (d *Day) gatewayHalf(f Fault) {
	n := max(1, (len(d.gateways)*48+50)/100)
	for i := range n {
		g := d.gateways[(f.Who+i)%len(d.gateways)]
		g.kill()
		d.after(f.span()+time.Duration(i)*100*time.Millisecond, g.start)
	}
}

func (d *Day) gatewayRestart(f Fault) {
	for i, g := range d.gateways {
		d.after(time.Duration(i)*6500*time.Millisecond, func() {
			if d.w.Now() < warmup+time.Duration(d.Plan.Seconds)*time.Second {
				g.term(true)
			}
		})
	}
}

func (d *Day) reloadGood(f Fault) {
	for _, g := range d.gateways {
		was := d.bulletins[g.bulletin]
		g.bulletin = 1 - g.bulletin
		l := g.its
		g.reread(g.config())
		if l != nil {
			l.sick = d.w.Now()
		}
		d.after(1500*time.Millisecond, func() {
			for _, c := range append([]*bulletinConn(nil), was.conns...) {
				if c.l == l {
					c.e.Close()
				}
			}
		})
	}
}

func (d *Day) reloadHalf(f Fault) {
	g := pick(d.gateways, f.Who)
	text := g.config()
	g.reread(text[:f.More%len(text)])
	d.after(f.span(), func() { g.reread(text) })
}

func (d *Day) reloadBad(f Fault) {
	g := pick(d.gateways, f.Who)
	bad := []string{"", "{}", "null", `{"listen":"x","bulletin":"y","known":{},"seed":"zz"}`,
		strings.Replace(string(g.config()), `"classes":[`, `"classes":[7,`, 1)}
	g.reread([]byte(pick(bad, f.More)))
	d.after(50*time.Millisecond, func() {
		if l := g.its; l != nil && !l.over {
			l.p.Files["/config.json"] = g.config()
		}
	})
}

func (d *Day) clockStep(f Fault) {
	step := time.Duration(f.More%10000-5000) * time.Millisecond
	for _, g := range d.gateways {
		g.skew += step
	}
	d.after(f.span(), func() {
		for _, g := range d.gateways {
			g.skew -= step
		}
	})
}

// successor is a new cache in the place of another, cold.
func (d *Day) successor(c *cache, ip string) *cache {
	n := d.newCache(c.flavor, c.zone, ip, c.size)
	n.rise(max(1, d.w.Now()))
	for i, o := range d.caches {
		if o == c {
			d.caches[i] = n
		}
	}
	n.say("up", 0)
	return n
}

func (d *Day) newIP(c *cache) string { return fmt.Sprintf("10.1.%d.%d", 2+d.ids/200, 1+d.ids%200) }

func (d *Day) drained(c *cache, phase string, lag time.Duration) {
	d.after(lag, func() {
		if d.ref.drained[c.id] == 0 {
			d.ref.drained[c.id] = len(d.events) + 1
		}
		c.say(phase, 0)
	})
}

// free tells whether a cache is in its usual state, so that a fault can begin.
func (c *cache) free() bool { return c.up && c.phase == "up" && !c.hung }

// free makes a fault of a cache that begins only where the one drawn is in its usual state.
func free(begin func(*Day, *cache, Fault)) func(*Day, Fault) {
	return func(d *Day, f Fault) {
		if c := pick(d.caches, f.Who); c.free() {
			begin(d, c, f)
		}
	}
}

// back is a machine that starts again, cold, under its id.
func (c *cache) back() {
	c.rise(c.d.w.Now())
	c.say("up", 0)
}

func (d *Day) cacheKill(c *cache, f Fault) {
	c.phase = "going"
	c.fall(false)
	d.drained(c, "removed", f.span())
	d.after(f.span()+time.Second, func() { d.successor(c, d.newIP(c)) })
}

func (d *Day) cacheBack(c *cache, f Fault) {
	c.fall(false)
	d.after(f.span(), c.back)
}

func (d *Day) cacheVanish(c *cache, f Fault) {
	c.fall(true)
	d.after(f.span(), c.back)
}

func (d *Day) cacheHang(c *cache, f Fault) {
	c.hung = true
	d.after(f.span(), func() { c.hung = false })
}

func (d *Day) cacheDrain(c *cache, f Fault) {
	c.phase = "draining"
	d.drained(c, "draining", 0)
	d.after(f.span()+2500*time.Millisecond, func() {
		c.say("removed", 0)
		d.after(100*time.Millisecond, func() { c.fall(false) })
		d.after(400*time.Millisecond, func() { d.successor(c, d.newIP(c)) })
	})
}

func (d *Day) cacheReplace(c *cache, f Fault) {
	c.phase = "going"
	d.drained(c, "draining", 0)
	d.after(f.span(), func() {
		c.fall(false)
		c.say("removed", 0)
		d.after(200*time.Millisecond, func() { d.successor(c, c.host.IP) })
	})
}

func (d *Day) cacheSlow(f Fault) {
	c := pick(d.caches, f.Who)
	c.slow = float64(2 + f.More%10)
	d.after(f.span(), func() { c.slow = 1 })
}

func (d *Day) cacheErrors(f Fault) {
	c := pick(d.caches, f.Who)
	c.errs = true
	d.after(f.span(), func() { c.errs = false })
}

func (d *Day) coldMass(f Fault) {
	for i, c := range append([]*cache(nil), d.caches...) {
		if i%2 == f.Who%2 && c.free() {
			c.fall(false)
			d.after(time.Duration(500+f.More%1500)*time.Millisecond, c.back)
		}
	}
}

func (d *Day) parentKill(f Fault) {
	p := pick(d.parents, f.Who)
	if !p.up {
		return
	}
	p.fall(false)
	d.after(f.span(), p.back)
}

func (d *Day) parentSlow(f Fault) {
	p := pick(d.parents, f.Who)
	p.slow = float64(5 + f.More%60)
	d.after(f.span(), func() { p.slow = 1 })
}

func (d *Day) parentHang(f Fault) {
	p := pick(d.parents, f.Who)
	p.hung = true
	d.after(f.span(), func() { p.hung = false })
}

func (d *Day) originSlow(f Fault) {
	d.origin.slow = float64(5 + f.More%50)
	d.after(f.span(), func() { d.origin.slow = 1 })
}

func (d *Day) originGone(f Fault) {
	if !d.origin.up {
		return
	}
	d.origin.fall(false)
	d.after(f.span(), func() { d.origin.rise(0) })
}

func split(a, b string) func(*Day, Fault) {
	return func(d *Day, f Fault) {
		d.w.Split(a, b)
		if a == "clients" {
			d.front.torn()
		}
		d.after(f.span(), func() { d.w.Heal(a, b) })
	}
}

// split tells whether two groups cannot reach each other.
func (d *Day) split(a, b string) bool { return d.w.Cut(a, b) }

// torn marks all connections of clients: what is written on them may come late or not at all.
func (f *front) torn() {
	for _, g := range f.d.gateways {
		for _, c := range f.pool[g] {
			c.split = true
		}
	}
}

func (d *Day) resetCache(f Fault) {
	till := d.w.Now() + f.span()
	var next func()
	next = func() {
		if d.w.Now() > till {
			return
		}
		if c := pick(d.caches, d.chance(1<<16)); len(c.conns) > 0 {
			k := pick(c.conns, d.chance(1<<16))
			if d.chance(2) == 0 {
				k.e.CutIn = 1 + d.chance(9000)
			} else {
				k.e.CutOut = 1 + d.chance(400)
			}
		}
		d.after(time.Duration(20+d.chance(300))*time.Millisecond, next)
	}
	next()
}

func (d *Day) resetClient(f Fault) {
	till := d.w.Now() + f.span()
	var next func()
	next = func() {
		if d.w.Now() > till {
			return
		}
		if pool := d.front.pool[pick(d.gateways, d.chance(1<<16))]; len(pool) > 0 {
			if c := pick(pool, d.chance(1<<16)); c.up && !c.closed {
				c.wild = true
				if d.chance(2) == 0 {
					c.e.CutIn = 1 + d.chance(300)
				} else {
					c.e.CutOut = 1 + d.chance(9000)
				}
			}
		}
		d.after(time.Duration(20+d.chance(300))*time.Millisecond, next)
	}
	next()
}

// spoil is what caches make of good answers now, by kind: until when.
type spoil struct{ until map[string]time.Duration }

func spoiling(kind string) func(*Day, Fault) {
	return func(d *Day, f Fault) {
		if d.spoil.until == nil {
			d.spoil.until = map[string]time.Duration{}
		}
		d.spoil.until[kind] = max(d.spoil.until[kind], d.w.Now()+f.span())
	}
}

func (s spoil) on(d *Day, kind string, one int) bool {
	return s.until[kind] > d.w.Now() && d.chance(one) == 0
}

func (s spoil) fault(c *cache) bool { return c.flavor == "edge" && s.on(c.d, "fault", 4) }

// answer spoils a good answer, or passes.
func (s spoil) answer(q *do, got *copied, fields, body string) bool {
	d, k := q.k.c.d, q.k
	good := fmt.Sprintf("%s HIT %s %d\r\n%s\r\n", q.id, fields, len(body), body)
	last := func(text string) bool {
		q.over = true
		k.say(q, text)
		return true
	}
	torn := func(text string) bool { // no whole answer: the send stays out until its gateway gives it up
		if k.torn {
			return true
		}
		q.over, k.torn = true, true
		delete(k.open, q.id)
		k.sent += len(text)
		k.e.Send([]byte(text))
		return true
	}
	switch {
	case s.until == nil:
		return false
	case k.torn:
		return true
	case s.on(d, "noise", 8):
		return torn("\x01\x02 noise " + strings.Repeat("~", d.chance(200)) + "\r\n")
	case s.on(d, "endless", 8):
		return torn(fmt.Sprintf("%s HIT %s 239999\r\n%s", q.id, fields, body))
	case s.on(d, "short", 8):
		return torn(good[:d.chance(len(good))])
	case s.on(d, "double", 4):
		d.ref.answered(q, got, false)
		return last(good + good)
	case s.on(d, "late", 6):
		d.after(q.came+q.wait-d.w.Now()+time.Duration(d.chance(200))*time.Millisecond, func() {
			if !q.over || k.open[q.id] == q {
				d.ref.answered(q, got, false)
			}
			if !k.e.Gone() && k.c.up {
				k.say(q, good)
			}
		})
		return true
	case s.on(d, "stray", 4):
		k.stray("ffffffffffffffff HIT note=hit,waited=0,ver=x,born=1764576000000 2\r\nhi\r\n")
	}
	return false
}

func (d *Day) bulletinLag(f Fault) {
	b := d.bulletins[f.Who%2]
	b.lag = time.Duration(200+f.More%2500) * time.Millisecond
	d.after(f.span(), func() { b.lag = 0; b.stir() })
}

func (d *Day) bulletinBreak(f Fault) {
	for _, b := range d.bulletins {
		for _, c := range append([]*bulletinConn(nil), b.conns...) {
			if c.next > 0 {
				c.half()
			}
		}
	}
}

func (d *Day) bulletinStop(f Fault) {
	b := d.bulletins[f.Who%2]
	b.mute = true
	d.after(f.span(), func() { b.mute = false; b.stir() })
}

func (d *Day) bulletinDouble(f Fault) {
	for _, b := range d.bulletins {
		b.twice = true
		d.after(f.span(), func() { b.twice = false })
	}
}

func (d *Day) bulletinGone(f Fault) {
	if b := d.bulletins[f.Who%2]; !b.down {
		b.fall(f.span())
	}
}

func (d *Day) purgeObject(f Fault) { d.purge(pick([]string{"s0", "s1", "p0", "p1", "s2"}, f.More), 0) }

func (d *Day) purgeGroup(f Fault) { d.purge("", groupOf(pick([]string{"s0", "p0", "s1"}, f.More))) }

func (d *Day) purgeOverlap(f Fault) {
	for at := time.Duration(0); at < f.span(); at += 120 * time.Millisecond {
		d.after(at, func() {
			if d.chance(3) == 0 {
				d.purgeGroup(Fault{More: d.chance(100)})
			} else {
				d.purgeObject(Fault{More: d.chance(100)})
			}
		})
	}
}

func (d *Day) burst(f Fault) {
	d.front.rate = 8
	for _, g := range d.gateways { // a stream of their own, at once
		for i := range 12 {
			d.after(time.Duration(i)*10*time.Millisecond, func() {
				if d.front.on {
					d.front.lookup(g)
				}
			})
		}
	}
	d.after(f.span(), func() { d.front.rate = 1 })
}

func (d *Day) hotObject(f Fault) {
	d.front.hot = fmt.Sprintf("s%d", 100+f.More%50)
	d.after(f.span(), func() { d.front.hot = "" })
}

func (d *Day) badFlood(f Fault) {
	g := pick(d.gateways, f.Who)
	for at := time.Duration(0); at < f.span(); at += 100 * time.Millisecond {
		d.after(at, func() {
			for range 15 {
				d.front.bad(g, d.chance(100))
			}
		})
	}
}

func (d *Day) clientsLeave(f Fault) {
	d.front.leaving = 3
	d.after(f.span(), func() { d.front.leaving = 0 })
}

func (d *Day) clientsMute(f Fault) {
	d.front.muting = 6
	d.after(f.span(), func() { d.front.muting = 0 })
}

func (d *Day) cacheDeaf(c *cache, f Fault) {
	c.deaf = true
	for _, k := range c.conns {
		k.e.Stalled, k.e.Window = true, 150
	}
	d.after(f.span(), func() {
		c.deaf = false
		for _, k := range append([]*cacheConn(nil), c.conns...) {
			k.e.Window = 0
			k.e.Resume()
		}
	})
}

func (d *Day) closeCache(f Fault) {
	till := d.w.Now() + f.span()
	var next func()
	next = func() {
		if d.w.Now() > till {
			return
		}
		if c := pick(d.caches, d.chance(1<<16)); len(c.conns) > 0 {
			k := pick(c.conns, d.chance(1<<16))
			k.e.Close()
			k.over(false)
		}
		d.after(time.Duration(20+d.chance(300))*time.Millisecond, next)
	}
	next()
}

func (d *Day) bulletinSpoilt(f Fault) {
	for _, b := range d.bulletins {
		for _, c := range b.conns {
			if c.next > 0 && !b.mute {
				c.say(pick([]string{"{\"no\":}\n", "\x00\xff\n", "{\"no\":9999999,\"roster\":{}}\n", strings.Repeat("~", 3000) + "\n"}, f.More))
			}
		}
	}
}

func (d *Day) bulletinGap(f Fault) {
	for _, b := range d.bulletins {
		b.skip = true
	}
	d.after(f.span(), func() {
		for _, b := range d.bulletins {
			b.skip = false
		}
	})
}

func (d *Day) clientsGreedy(f Fault) {
	d.front.greedy = true
	for _, c := range d.caches {
		c.slow = 12
	}
	for i := range 200 {
		d.after(time.Duration(i)*f.span()/200, func() {
			if d.front.on {
				d.front.lookup(pick(d.gateways, i))
			}
		})
	}
	d.after(f.span(), func() {
		d.front.greedy = false
		for _, c := range d.caches {
			c.slow = 1
		}
	})
}
