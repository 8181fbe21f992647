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
	edgeCopies = 120 // places for copies
	parCopies  = 600
	edgeFills  = 8 // fills at once
	parFills   = 24
	mostQueue  = 30 // sends that wait at a cache before it turns more away
	mostBody   = 100000
)

// cache is an edge cache, a parent or the origin.
type cache struct {
	d        *Day
	id, zone string
	flavor   string
	host     *simenv.Host
	size     float64
	cell     int
	started  time.Duration // a late start; 0: long ago
	up       bool
	phase    string // as published
	hung     bool   // takes everything and answers nothing
	errs     bool   // answers everything with an error
	deaf     bool   // reads nothing on its connections
	slow     float64
	copies   map[string]*copied
	uses     uint64
	conns    []*cacheConn
	running  int
	filling  int
	fills    map[string]*fill
	work     []workAt // sends lately, for rule 4
	effects  map[string]int
	startNo  int     // number of the event that tells its late start
	cleared  []purge // purges that it has carried out itself
}

type workAt struct {
	at   time.Duration
	work time.Duration
}

// copied is a copy of a part that the origin gave out at born.
type copied struct {
	ver  string
	born time.Time
	size int
	used uint64
	rank int
}

type fill struct {
	wait []func(c *copied, note string)
}

func (d *Day) newCache(flavor, zone, ip string, size float64) *cache {
	d.ids++
	c := &cache{d: d, id: fmt.Sprintf("%s-%d", flavor, d.ids), zone: zone, flavor: flavor, size: size, cell: d.ids, slow: 1,
		host: d.w.Host(ip, flavor+"s"), copies: map[string]*copied{}, fills: map[string]*fill{}, effects: map[string]int{},
		phase: "up"}
	d.byID[c.id] = c
	c.rise(0)
	return c
}

func (c *cache) addr() string { return c.host.IP + ":10080" }

func (c *cache) member(phase string) member {
	since := int64(0)
	if c.started > 0 {
		since = simenv.Epoch.Add(c.started).UnixMilli()
	}
	return member{ID: c.id, HostPort: c.addr(), Locality: c.zone, Flavor: c.flavor, Cell: c.cell, Phase: phase, Size: c.size,
		UpSince: since}
}

// rise starts the machine, cold where at is above 0.
func (c *cache) rise(at time.Duration) {
	c.up, c.hung, c.started, c.startNo = true, false, at, 0
	c.host.Mute = false
	clear(c.copies)
	c.work, c.running, c.filling = nil, 0, 0
	c.fills = map[string]*fill{}
	c.host.Serve("10080", func(e *simenv.End) simenv.Handler {
		k := &cacheConn{c: c, e: e}
		e.Arrived = k.arrived
		if c.deaf {
			e.Stalled, e.Window = true, 150
		}
		for _, g := range c.d.gateways {
			if g.host == e.Peer {
				k.l = g.its
			}
		}
		if k.l != nil {
			k.l.conns[k] = true
		}
		c.conns = append(c.conns, k)
		return k
	})
}

// fall ends the machine: its connections are reset, or go silent with it.
func (c *cache) fall(silent bool) {
	if !c.up {
		return
	}
	c.up = false
	c.host.Unserve("10080")
	c.host.Mute = silent
	conns := slices.Clone(c.conns)
	if c.d.w.Even { // a gateway hears of the sends on one connection by their ids
		slices.SortStableFunc(conns, func(a, b *cacheConn) int { return strings.Compare(a.id, b.id) })
	}
	if s := c.d.look.script; s != nil {
		open := 0
		for _, k := range conns {
			open += len(k.open)
		}
		if open > 1 { // in which order they are told is nobody's promise
			s.differ(c.d.w.Now(), "broken together")
		}
	}
	for _, k := range conns {
		if !silent {
			k.reset()
		}
		if k.to != nil {
			k.drop()
			continue
		}
		k.over(silent)
	}
}

// say publishes the cache's phase after the time that the list lags.
func (c *cache) say(phase string, lag time.Duration) {
	c.d.after(lag, func() {
		c.phase = phase
		if phase == "up" {
			c.startNo = len(c.d.events) + 1
		}
		c.d.publish(event{Roster: &roster{Revision: len(c.d.events) + 1, Members: []member{c.member(phase)}}})
	})
}

// share is how much of its work a cold cache can do.
func (c *cache) share(now time.Duration) float64 {
	from, span := coldFrom, coldFor
	if c.flavor == "parent" {
		from, span = rampFrom, rampFor
	}
	if c.started == 0 || now >= c.started+span {
		return 1
	}
	return from + (1-from)*float64(now-c.started)/float64(span)
}

// bear counts work that was sent to a cold cache; too much breaks rule 4.
// Only sends of gateways that were told of the start count: one that vanishes in silence and comes back under its id
// looks like one that hung, until the list says otherwise.
func (c *cache) bear(l *life, work time.Duration) {
	now := c.d.w.Now()
	if c.startNo == 0 || l == nil || l.toldOf(c.startNo) == 0 && c.started != atDawn {
		return
	}
	share := c.share(now)
	if share >= 1 || c.flavor == "origin" {
		c.work = nil
		return
	}
	c.work = append(c.work, workAt{now, work})
	sum := time.Duration(0)
	kept := c.work[:0]
	for _, w := range c.work {
		if now-w.at <= fallFor {
			kept = append(kept, w)
			sum += w.work
		}
	}
	c.work = kept
	more := fallMore
	if c.flavor == "parent" {
		more = rampMore
	}
	most := more * share * c.size * fallFor.Seconds()
	if sum.Seconds() > most && c.d.Plan.Morning != nil && c.d.Plan.Morning.From != "list" {
		c.d.early.Pushed++ // it falls over, and comes back cold
		c.fall(false)
		c.d.after(fallenFor, func() {
			if !c.up {
				c.rise(c.d.w.Now())
				c.startNo = 1
			}
		})
		return
	}
	if sum.Seconds() > most {
		c.d.ref.broken("rule 4", "cold %s was sent %.2f s of work within %v, bears %.2f", c.id, sum.Seconds(), fallFor, most)
	}
}

// take works on a send.
func (c *cache) take(q *do) {
	q.came = c.d.w.Now()
	if c.d.look.script != nil {
		c.d.look.script.take(c, q)
		return
	}
	switch {
	case c.hung:
		return
	case c.errs || c.d.spoil.fault(c):
		c.d.after(2*time.Millisecond, func() { c.end(q, "FAULT", "-") })
		return
	case c.running >= mostQueue:
		c.end(q, "SHED", "-")
		return
	}
	if kinds[q.kind_].passOn {
		c.passOn(q)
		return
	}
	if held := c.copies[q.key()]; held != nil && c.fresh(held, q) {
		c.uses++
		held.used, held.rank = c.uses, q.rank
		note := "hit"
		if k := kinds[q.kind_]; k.fresh > 0 && c.d.w.Unix().Sub(held.born) > k.fresh {
			note = "stale"
		}
		if strings.Contains(q.mode, "r") && note == "stale" && q.from != "" {
			c.fill(q, func(*copied, string) {})
		}
		c.serve(q, held, note, 0)
		return
	}
	if q.from == "" {
		c.d.after(500*time.Microsecond, func() { c.end(q, "NONE", "-") })
		return
	}
	if f := c.fills[q.key()]; f != nil && strings.Contains(q.mode, "j") {
		began := c.d.w.Now()
		f.wait = append(f.wait, func(got *copied, note string) {
			if note == "filled" || note == "via_origin" {
				note = "joined"
			}
			c.filled(q, got, note, began)
		})
		return
	}
	if c.filling >= edgeFills {
		c.end(q, "SHED", "note=no_slot")
		return
	}
	began := c.d.w.Now()
	c.fill(q, func(got *copied, note string) { c.filled(q, got, note, began) })
}

func (c *cache) filled(q *do, got *copied, note string, began time.Duration) {
	if got == nil {
		c.end(q, "FAULT", "note="+note)
		return
	}
	c.serve(q, got, note, c.d.w.Now()-began)
}

// fresh tells whether a copy will do.
func (c *cache) fresh(held *copied, q *do) bool {
	age := c.d.w.Unix().Sub(held.born)
	if q.oldest > 0 {
		return age <= q.oldest
	}
	k := kinds[q.kind_]
	return k.fresh == 0 || age <= k.fresh
}

// fill gets a copy from the source that the gateway named.
func (c *cache) fill(q *do, done func(*copied, string)) {
	d, from := c.d, c.d.byID[q.from]
	f := &fill{wait: []func(*copied, string){done}}
	key := q.key()
	if c.fills[key] == nil {
		c.fills[key] = f
	}
	c.filling++
	ended := false
	end := func(got *copied, note string) {
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
			c.keep(key, got, q.rank, edgeCopies)
		}
		for _, w := range f.wait {
			w(got, note)
		}
	}
	d.after(6*time.Second, func() { end(nil, "src_broke") }) // a source that says nothing
	if from == nil {                                         // of an old list
		d.after(3*time.Millisecond, func() { end(nil, "src_refused") })
		return
	}
	from.give(c, q, func(got *copied, note string) {
		if got == nil {
			end(nil, note)
			return
		}
		d.after(time.Duration(float64(q.work)*from.slow/4), func() { end(got, note) }) // fills run faster than sends to clients
	})
}

// give is a source giving a copy to a cache; what is lost gets no call.
func (c *cache) give(to *cache, q *do, done func(*copied, string)) {
	d := c.d
	if !c.up {
		if !c.host.Mute {
			d.after(3*time.Millisecond, func() { done(nil, "src_broke") })
		}
		return
	}
	if c.hung {
		return
	}
	if c.errs {
		d.after(3*time.Millisecond, func() { done(nil, "src_refused") })
		return
	}
	if c.flavor == "origin" {
		wait := time.Duration(float64(20*time.Millisecond)*c.slow) + time.Duration(d.chance(20))*time.Millisecond
		d.after(wait, func() {
			if !c.up {
				done(nil, "origin_failed")
				return
			}
			if kinds[q.kind_].passOn {
				c.effects[q.object]++
				d.ref.effect(q, c.effects[q.object])
			}
			done(d.current(q), "via_origin")
		})
		return
	}
	c.bear(q.k.l, q.work)
	if held := c.copies[q.key()]; held != nil && c.fresh(held, q) && !kinds[q.kind_].passOn {
		c.uses++
		held.used = c.uses
		d.after(time.Duration(float64(2*time.Millisecond)*c.slow), func() { done(held, "filled") })
		return
	}
	if c.filling >= parFills {
		d.after(time.Millisecond, func() { done(nil, "src_refused") })
		return
	}
	c.filling++
	d.origin.give(c, q, func(got *copied, note string) {
		c.filling--
		if got != nil && !kinds[q.kind_].passOn {
			c.keep(q.key(), got, q.rank, parCopies)
		}
		if got == nil && note == "src_broke" {
			note = "origin_failed"
		}
		done(got, note)
	})
}

// passOn runs a lookup that is never kept at the origin; a cache's circle knows the deduplicated ones that ran.
func (c *cache) passOn(q *do) {
	if kinds[q.kind_].effect == "deduplicated" {
		if c.d.ref.known[c.zone+q.id] {
			c.serve(q, c.d.current(q), "hit", 0)
			return
		}
		c.d.ref.known[c.zone+q.id] = true
	}
	from := c.d.byID[q.from]
	if from == nil {
		from = c.d.origin
	}
	began := c.d.w.Now()
	from.give(c, q, func(got *copied, note string) { c.filled(q, got, note, began) })
}

// clear drops what a purge makes old, as every cache does within the time that the settings promise.
func (c *cache) clear(p purge) {
	c.cleared = append(c.cleared, p)
	for key, got := range c.copies { // each by itself: the order does not matter
		if p.covers(key) && got.born.Before(p.issued) {
			delete(c.copies, key)
		}
	}
}

// keep keeps a copy; where places are out the lowest rank goes, within it the one used longest ago.
func (c *cache) keep(key string, got *copied, rank, most int) {
	for _, p := range c.cleared {
		if p.covers(key) && got.born.Before(p.issued) {
			return
		}
	}
	c.uses++
	kept := *got
	kept.used, kept.rank = c.uses, rank
	c.copies[key] = &kept
	if len(c.copies) <= most {
		return
	}
	var last *copied
	var lastKey string
	for k, o := range c.copies { // one and only one is least: uses are all different
		if last == nil || o.rank < last.rank || o.rank == last.rank && o.used < last.used {
			last, lastKey = o, k
		}
	}
	delete(c.copies, lastKey)
}

// serve sends a copy to the gateway, in the time that the cache's load makes of it.
func (c *cache) serve(q *do, got *copied, note string, waited time.Duration) {
	d := c.d
	c.running++
	able := c.size * c.share(d.w.Now())
	took := time.Duration(float64(q.work) * max(1, float64(c.running)/max(0.5, able)/3) * c.slow)
	if note == "joined" || note == "filled" || note == "via_origin" {
		took /= 4
	}
	same := q.seen != "" && q.seen == got.ver
	if same {
		took /= 20
	}
	d.after(took, func() {
		c.running--
		if q.over || !c.up || c.hung || d.w.Now() > q.came+q.wait {
			return
		}
		fields := fmt.Sprintf("note=%s,waited=%.3f,ver=%s,born=%d", note, float64(waited.Microseconds())/1000, got.ver,
			got.born.UnixMilli())
		if kinds[q.kind_].passOn && q.k.to == nil { // what ran at the origin is no copy
			fields = fmt.Sprintf("note=%s,waited=%.3f", note, float64(waited.Microseconds())/1000)
		}
		if same {
			d.ref.answered(q, got, true)
			c.end(q, "VALID", fields)
			return
		}
		body := got.body(q.key())
		if d.spoil.answer(q, got, fields, body) {
			return
		}
		if d.look.answering != nil {
			d.look.answering(d, q)
		}
		d.ref.answered(q, got, false)
		q.over = true
		q.k.say(q, fmt.Sprintf("%s HIT %s %d\r\n%s\r\n", q.id, fields, len(body), body))
	})
}

// end answers with a word that brings no bytes.
func (c *cache) end(q *do, word, fields string) {
	if q.over || !c.up || c.hung {
		return
	}
	q.over = true
	q.k.say(q, fmt.Sprintf("%s %s %s 0\r\n\r\n", q.id, word, fields))
}

// body is what a copy consists of: its name, its version, and as many bytes as it is long.
func (got *copied) body(key string) string {
	head := key + " " + got.ver + " " + strconv.FormatInt(got.born.UnixMilli(), 10) + "|"
	return head + strings.Repeat("x", max(0, got.size-len(head)))
}

// current is the copy that the origin gives out now.
func (d *Day) current(q *do) *copied {
	return &copied{ver: fmt.Sprintf("v%d-%s-%d", q.part, q.object, d.ref.version(q.object)),
		born: d.w.Unix().Truncate(time.Millisecond), size: sizeOf(q.object, q.part)}
}
