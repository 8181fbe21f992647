package policy

import (
	"cmp"
	"maps"
	"slices"
)

// What the module remembers: plain types; all that is decided with them stands in the files that deploy/balancer.toml names
// under policy.

// Cache is a server in the list: an edge cache, a parent or the origin.
type Cache struct {
	Name string // the door's word for it
	hash uint64
	Row

	ejected, died        bool   // gets nothing but trials; died: will be cold when it returns
	lags                 bool   // out for nothing but its times
	ejectedAt, nextProbe Micros // since when; when the next trial may go
	probe                *Send
	strikes              int     // broken or refused connections (of a parent: failed fills) in a row
	errors               int     // plain errors in a row
	struckAt             Micros  // sends from before then tell no more by breaking
	heard                Micros  // last good answer (of a parent: last good fill)
	mute                 int     // overdue sends since it was last heard, counted anew at each sweep
	muteLooks            int     // those among them that asked for no fill
	warmingSince         Micros  // start of its warming; 0 once warm
	sent                 window  // while it warms: work sent to it, or staked
	scale                float64 // while it warms: what it bears, as a part of what warm ones of its group do
	scaleAt              Micros

	open                int
	sends               []*Send // these
	limit               float64 // of open sends
	limitAt             Micros
	pauseTill           Micros // where the limit is under one: nothing before this
	took, ideal         sum    // of hits: time taken, and their latency budgets
	carried             sum    // sending time carried for this router
	recents             int
	recentTook, recentN [recentTimes]float64 // a parent's recent times, and what each is counted over
}

// NewCache makes the cache for a name at the door.
func NewCache(name string) *Cache {
	return &Cache{Name: name, hash: hashOf(name), limit: firstLimit, Row: Row{State: Gone}}
}

// Over tells whether the lookup has had its final answer.
func (lk *Lookup) Over() bool { return lk.over }

// group puts the listed caches in hash order, and by what they are: edges of the own location, parents, the origin.
func (r *Router) group() {
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

// Lookup is a client's request while this router owes it an answer.
type Lookup struct {
	Door             string // the door's word for it
	kind             *kind
	hash, part       uint64 // of the object's name, and of it with the part
	group            int
	write, repeat    bool
	kb               float64
	work             Micros // its sending time at full pace
	arrived          Micros
	deadline, budget Micros // instants
	notBefore        Micros // of its next send
	sends            []*Send
	open             int
	failedAt         *Cache // the cache, and the parent, that failed it last
	failedBy         *Cache
	noJoin           bool   // a fill it joined or began may be stuck
	missed           *Cache // looked there: it needs a fill
	aged             bool   // past its time for a fill: a copy within its grace will do
	over             bool
	ranAt            Micros // a send that may have run, and where
	ranTo            *Cache
	scope            *Scope
}

// Send is one send of a lookup, from draft to ending.
type Send struct {
	lk          *Lookup
	n           int
	to, source  *Cache
	rank        int
	how         How
	oldest      Micros
	at, overdue Micros
	charge      float64 // work that the slow start of its source was charged with; 0 of a warm one
	cancelled   bool
}

// kind is the table's row of an object kind and what was measured of it.
type kind struct {
	ObjectKind
	work, n            sum
	fillTook, fillWork sum // of satisfied fills
	fillWait, fillN    sum
}

type ending struct {
	end          Ending
	remark       Remark
	took, waited Micros
}

type verdict int

const (
	pass verdict = iota
	keep
	end
)

type stage struct {
	down func(*Router, *Send) verdict
	back func(*Router, *Send, *ending)
}

// Router decides for one gateway.
type Router struct {
	host           Host
	its            *Charter
	Fleet          int // routers there are, as a fleet that knows itself counts them; 0: nobody says
	now            Micros
	chance         mwc
	caches         []*Cache // in hash order; edges are those of the own location
	edges, parents []*Cache
	origin         *Cache
	kinds          []kind
	counts         map[uint64]float64 // recent lookups by hash of object and part
	halveAt        Micros
	purged         map[uint64]Micros // by group or hash of the object
	open           []*Send
	held           []*Lookup
	overload       bool
	edgeCapacity   float64 // what a warm cache, a warm parent bears for this router, in transfers
	parentCapacity float64
	fills          float64 // limit of open fills, heeded while pressed
	fillsAt        Micros  // when it was last cut
	filled         sum     // fills of late, and those among them that were late
	filledLate     sum
	nextFill       Micros // where the limit is under one: not before this
	pressedTill    Micros
	chain          []stage
	scope          *Scope // of the lookup that arrives next
}

// sum is a sum that halves every halfLife, brought up to date when read.
type sum struct {
	v  float64
	at Micros
}

// mwc is a multiply-with-carry generator.
type mwc struct{ x, c uint32 }

// Purged takes word of a purge of an object, or of a group where name is empty, made that long ago.
func (r *Router) Purged(now Micros, name string, group int, ago Micros) {
	r.now = now
	key := uint64(group) // far below any hash
	if name != "" {
		key = hashOf(name)
	}
	r.purged[key] = max(r.purged[key], now-ago)
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
