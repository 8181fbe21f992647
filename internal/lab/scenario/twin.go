package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
)

// Twins: the same lookups and the same endings of their sends, at the same instants, once at a gateway and once at its door with a
// stand-in caller. Messages take no time, so that whatever the module is told it is told in the same microsecond, and its
// decisions can be compared one by one.

// script is what happens in place of clients and caches.
type script struct {
	seed     uint64
	door     bool
	told     []string // decisions, in the order in which they were made
	at       []time.Duration
	cut      time.Duration // from here on the two may differ, by a term of the contract; -1: never
	why      string
	lookups  int
	atCaches int
}

// play brings the lookups.
func (s *script) play(d *Day) {
	r := rand.New(rand.NewPCG(s.seed, 0x7477696e))
	at := warmup
	for n := 0; at < warmup+time.Duration(d.Plan.Seconds)*time.Second; n++ {
		at += time.Duration(1+r.IntN(60_000_000))*time.Nanosecond + time.Microsecond
		g, a := d.gateways[r.IntN(len(d.gateways))], &ask{kind: r.IntN(len(kinds)), part: r.IntN(3), id: fmt.Sprintf("%016x", r.Uint64())}
		a.object = fmt.Sprintf("%c%d", kinds[a.kind].name[0], r.IntN(40))
		if kinds[a.kind].passOn {
			a.object = fmt.Sprintf("%c%d", kinds[a.kind].name[0], n)
		}
		a.group, a.allow = groupOf(a.object), (kinds[a.kind].deadline / time.Duration(1+r.IntN(4))).Truncate(time.Millisecond)
		d.w.After(at, func() {
			a.l = g.its
			if a.l == nil || !a.l.ready || a.l.over {
				return
			}
			s.lookups++
			d.ref.ask(a)
			if p := d.proxies[g]; p != nil {
				p.ask(a)
				return
			}
			c := &clientConn{f: d.front, g: g, l: g.its, next: a}
			c.e = d.front.host.Connect(g.addr(), c)
		})
	}
}

// take ends a send as the script has it: by the lookup, the cache and how often it has been there.
func (s *script) take(c *cache, q *do) {
	s.atCaches++
	r := rand.New(rand.NewPCG(s.seed^sum(q.id), sum(c.id)))
	after := time.Duration(200+r.IntN(90_000)) * time.Microsecond
	note, waited := "hit", 0.0
	switch n := r.IntN(100); {
	case n < 2:
		return // never
	case n < 6:
		c.d.after(after, func() { c.end(q, "NONE", "-") })
		return
	case n < 10:
		c.d.after(after, func() { c.end(q, "SHED", "-") })
		return
	case n < 13:
		c.d.after(after, func() { c.end(q, "FAULT", "note="+[]string{"src_broke", "origin_failed", "src_refused"}[n-10]) })
		return
	case n < 30 && q.from != "":
		note = []string{"filled", "via_origin", "joined"}[n%3]
		after += time.Duration(r.IntN(300_000)) * time.Microsecond
		waited = float64(after.Microseconds()) / 1000
	}
	got := c.d.current(q)
	got.born = got.born.Add(-time.Duration(r.IntN(4000)) * time.Millisecond)
	c.d.after(after, func() {
		if q.over || !c.up || q.k.to == nil && q.k.open[q.id] != q {
			return
		}
		fields := fmt.Sprintf("note=%s,waited=%.3f,ver=%s,born=%d", note, waited, got.ver, got.born.UnixMilli())
		body := got.body(q.key())
		c.d.ref.answered(q, got, false)
		q.over = true
		q.k.say(q, fmt.Sprintf("%s HIT %s %d\r\n%s\r\n", q.id, fields, len(body), body))
	})
}

// between notes every decision of the module.
func (s *script) between(d *Day) dispatch.Interceptor {
	note := func(format string, a ...any) {
		s.told = append(s.told, fmt.Sprintf("%d us ", d.w.Now().Microseconds())+fmt.Sprintf(format, a...))
		s.at = append(s.at, d.w.Now())
	}
	return func(h policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
		return start(&decisions{Executor: h, s: s, d: d, note: note})
	}
}

// decisions stands before the facade.
type decisions struct {
	policy.Executor
	s    *script
	d    *Day
	note func(format string, a ...any)
}

func (n *decisions) Fetch(lk *policy.Lookup, request policy.FetchRequest) {
	n.note("send %s to %s from %s rank %d how %d for %d oldest %d", lk.ID, request.Cache.Name, request.Source.Name, request.Rank, request.Mode,
		request.Timeout, request.MaxAge)
	n.Executor.Fetch(lk, request)
}

func (n *decisions) Reject(lk *policy.Lookup, in policy.Micros) {
	n.note("nack %s, again in %d", lk.ID, in)
	n.Executor.Reject(lk, in)
}

func (n *decisions) Fail(lk *policy.Lookup) {
	n.note("fail %s", lk.ID)
	n.Executor.Fail(lk)
}

// CancelAttempt gives a send up. A gateway takes it back at its cache, a caller cannot be called back: the contract's term.
func (n *decisions) CancelAttempt(lk *policy.Lookup, send int) {
	n.s.differ(n.d.w.Now(), "cancelled")
	n.Executor.CancelAttempt(lk, send)
}

func (s *script) differ(at time.Duration, why string) {
	if s.cut < 0 {
		s.cut, s.why = at, why
	}
}

// Pair is what became of a pair of twins.
type Pair struct {
	Seed      uint64 `json:"seed"`
	Lookups   int    `json:"lookups"`
	Sends     int    `json:"sends"`
	Compared  int    `json:"compared"`            // decisions
	Term      string `json:"term,omitempty"`      // of the contract, from which on they may differ
	Different string `json:"different,omitempty"` // the first decision that differs before that
	Broken    string `json:"broken,omitempty"`
}

// Twins plays a seed at a gateway and at its door, and compares each decision of the module.
func Twins(seed uint64) (Pair, error) {
	r := rand.New(rand.NewPCG(seed, 0x7477696e73))
	p := Plan{Form: Form, Seed: seed, Days: "calm", Seconds: 20, Gateways: 1, Caches: 4 + r.IntN(5), Parents: 2, Rate: 1, MemoryMB: 64, FDs: 384}
	for range r.IntN(5) {
		kind := []string{"cache_drain", "cache_replace", "purge_object", "purge_group", "cache_kill", "bulletin_lag", "cold_mass"}[r.IntN(7)]
		p.Faults = append(p.Faults, Fault{At: 500 + r.IntN(18000), Kind: kind, Who: r.IntN(100), For: 500 + r.IntN(3000), More: r.IntN(100)})
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return a.At - b.At })
	var both [2]*script
	pair := Pair{Seed: seed}
	for i := range both {
		s := &script{seed: seed, door: i == 1, cut: -1}
		both[i] = s
		day, err := Play(p, Look{script: s})
		if err != nil {
			return pair, err
		}
		if len(day.Broken) > 0 {
			pair.Broken = day.Broken[0].String()
		}
		if n := day.Reasons["cache_closed silent"]; n > 0 { // a gateway tells a silent connection by several sends, a caller sees one
			pair.Term = "silent"
		}
	}
	a, b := both[0], both[1]
	pair.Lookups, pair.Sends = a.lookups, a.atCaches
	until := 1000 * time.Hour
	for _, s := range both {
		if s.cut >= 0 {
			until, pair.Term = min(until, s.cut), s.why
		}
	}
	for i := range max(len(a.told), len(b.told)) {
		if i < len(a.at) && a.at[i] >= until || i < len(b.at) && b.at[i] >= until {
			break
		}
		x, y := "nothing", "nothing"
		if i < len(a.told) {
			x = a.told[i]
		}
		if i < len(b.told) {
			y = b.told[i]
		}
		if !alike(x, y) {
			pair.Different = fmt.Sprintf("%s at the gateway, %s at the door", x, y)
			break
		}
		pair.Compared++
	}
	return pair, nil
}

// alike tells whether two decisions are the same, at instants at most 1 us apart: a door and a gateway round the
// instant of the same event each in its own way, and a sweep of one may so fall a microsecond before the other's.
func alike(x, y string) bool {
	var a, b int64
	var restA, restB string
	if x == y {
		return true
	}
	if i, j := strings.Index(x, " us "), strings.Index(y, " us "); i > 0 && j > 0 {
		restA, restB = x[i:], y[j:]
		if _, err := fmt.Sscan(x[:i], &a); err == nil {
			if _, err := fmt.Sscan(y[:j], &b); err == nil {
				return restA == restB && a-b <= 1 && b-a <= 1
			}
		}
	}
	return false
}
