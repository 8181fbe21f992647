// Package pools says which caches a lookup may be sent to: routes (by object kind, group, pattern of the object, share of objects) lead to
// pools (caches by location, label or name), and narrow what the decision module chooses from. Which of them gets a lookup, whether
// it is sent again and what is nacked stays the module's. It does no I/O.
//
// A Table is compiled from a configuration once and never changes. A View is a table with the list of caches of the moment; it is made
// anew when the list changes, and swapped by pointer with it. What a lookup is decided under is one View, whole.
//
// Patterns are an object's name, or its beginning and a star. They lie in a tree of their bytes (a radix tree), so that finding a
// lookup's route costs the length of its object's name, however many routes there are. The longest pattern wins, then a route that names
// kind and group, then kind, then group, then neither; among those of one place, the parts of objects go by their order.
package pools

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"foldslip/internal/limit"
)

const (
	mostRoutes = 5000
	mostPools  = 1000
	mostNames  = 2000 // caches that a pool names
	mostWord   = 200
)

// Limits are the limits of a pool, a route or a tenant, as the operator writes them.
type Limits struct {
	Lookups  float64 `json:"lookups_a_second,omitempty"`
	Bytes    float64 `json:"bytes_a_second,omitempty"`
	Open     int64   `json:"open,omitempty"`
	Adaptive bool    `json:"adaptive,omitempty"`
	Further  float64 `json:"further,omitempty"` // further sends, as a part of first ones; -1: none
	Fleet    bool    `json:"fleet,omitempty"`   // lookups, bytes and open are of all gateways together
}

func (l Limits) terms() limit.Terms {
	return limit.Terms{Lookups: l.Lookups, Bytes: l.Bytes, Open: int(l.Open), Adaptive: l.Adaptive, Further: l.Further, Fleet: l.Fleet}
}

// Pool is caches by what they are. Of several conditions all must hold; names are in any case.
type Pool struct {
	Locations []string `json:"locations,omitempty"`
	Labels    []string `json:"labels,omitempty"`
	Names     []string `json:"names,omitempty"`
	Without   []string `json:"without,omitempty"` // names that are not in it, whatever else holds
	Sources   []string `json:"sources,omitempty"` // parents by name that its fills may name; none: all
	Limits    *Limits  `json:"limits,omitempty"`
}

// To is a pool and its weight among those of a route.
type To struct {
	Pool   string  `json:"pool"`
	Weight float64 `json:"weight,omitempty"` // 0 is 1
}

// Route leads lookups to pools.
type Route struct {
	Name   string  `json:"name"`
	Kind   string  `json:"kind,omitempty"`   // "": any
	Group  *int64  `json:"group,omitempty"`  // absent: any
	Object string  `json:"object,omitempty"` // "": any; ending in a star: its beginning
	Share  float64 `json:"share,omitempty"`  // of the objects, by hash; 0: all
	To     []To    `json:"to"`
	Tenant string  `json:"tenant,omitempty"`
	Oldest int64   `json:"oldest_ms,omitempty"` // the oldest copy that will do; 0: as the kind has it
	Limits *Limits `json:"limits,omitempty"`
}

// Config is routes and pools as the operator writes them.
type Config struct {
	Pools   map[string]Pool   `json:"pools,omitempty"`
	Routes  []Route           `json:"routes,omitempty"`
	Tenants map[string]Limits `json:"tenants,omitempty"`
}

// Fault is what is wrong with a configuration: where, what, and what to do. Where Error is false it is a remark.
type Fault struct {
	Error  bool   `json:"Error"`
	Path   string `json:"Path"`
	Text   string `json:"Text"`
	Remedy string `json:"Remedy"`
}

type route struct {
	Route
	no          int
	kind, group int // -1: any
	to          []*pool
	from, till  float64 // of the hash's range, where Share is told
}

type pool struct {
	Pool
	name  string
	no    int
	hash  uint64
	names map[string]bool
	not   map[string]bool
}

// Table is a compiled configuration.
type Table struct {
	pools  []*pool
	routes []*route
	root   *node
	limits map[string]limit.Terms // by "pool NAME", "route NAME", "tenant NAME"
}

// node is a place in the radix tree: bytes that lead here from the node above, and the routes of patterns that end here.
type node struct {
	lead   string
	below  []*node  // by first byte, rising
	starts []*route // patterns with a star
	ends   []*route // whole names
}

// Compile checks and compiles a configuration. Kinds are the settings' object kinds. With an error among the faults there is no table.
func Compile(c Config, kinds []string) (*Table, []Fault) {
	t := &Table{root: &node{}, limits: map[string]limit.Terms{}}
	var faults []Fault
	bad := func(path, text, remedy string) { faults = append(faults, Fault{true, path, text, remedy}) }
	if len(c.Routes) > mostRoutes {
		bad("routes", fmt.Sprintf("%d routes", len(c.Routes)), fmt.Sprintf("at most %d", mostRoutes))
		return nil, faults
	}
	if len(c.Pools) > mostPools {
		bad("pools", fmt.Sprintf("%d pools", len(c.Pools)), fmt.Sprintf("at most %d", mostPools))
		return nil, faults
	}
	byName := map[string]*pool{}
	for _, name := range sorted(c.Pools) {
		p := &pool{Pool: c.Pools[name], name: name, no: len(t.pools), hash: xxhash.Sum64String(name), names: set(c.Pools[name].Names), not: set(c.Pools[name].Without)}
		path := "pools." + name
		switch {
		case !word(name):
			bad(path, "its name cannot be used", fmt.Sprintf("1 to %d bytes without spaces", mostWord))
		case len(p.Names)+len(p.Without)+len(p.Sources) > mostNames:
			bad(path, "it names too many caches", fmt.Sprintf("at most %d; name locations or labels", mostNames))
		case len(p.Names) == 0 && len(p.Locations) == 0 && len(p.Labels) == 0:
			bad(path, "it says of no cache that it is in it", "name locations, labels or names")
		}
		for n := range p.names {
			if p.not[n] {
				bad(path+".without", n+" is in names too", "leave it out of one")
			}
		}
		t.limit(bad, path, "pool "+name, p.Limits)
		t.pools, byName[name] = append(t.pools, p), p
	}
	for _, name := range sorted(c.Tenants) {
		l := c.Tenants[name]
		t.limit(bad, "tenants."+name, "tenant "+name, &l)
	}
	seen := map[string]int{}
	type place struct {
		pattern     string
		kind, group int
	}
	ranges, whole := map[place]float64{}, map[place]int{}
	for i, r := range c.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		x := &route{Route: r, no: i, kind: -1, group: -1, till: 1}
		if !word(r.Name) {
			bad(path+".name", fmt.Sprintf("%q", r.Name), "each route has a name")
		} else if first, twice := seen[r.Name]; twice {
			bad(path+".name", fmt.Sprintf("%q is routes[%d]'s too", r.Name, first), "names are each route's own: its limits go by them")
		}
		seen[r.Name] = i
		if r.Kind != "" {
			if x.kind = slices.Index(kinds, r.Kind); x.kind < 0 && len(kinds) > 0 {
				bad(path+".kind", fmt.Sprintf("%q is no object kind", r.Kind), "one of "+strings.Join(kinds, ", "))
			}
		}
		if r.Group != nil {
			if x.group = int(*r.Group); x.group < 0 || x.group > math.MaxInt32 {
				bad(path+".group", fmt.Sprintf("%d", *r.Group), "a whole number from 0")
			}
		}
		if star := strings.IndexByte(r.Object, '*'); star >= 0 && star != len(r.Object)-1 || len(r.Object) > mostWord {
			bad(path+".object", fmt.Sprintf("%q", r.Object), fmt.Sprintf("a name, or its beginning and one star, in %d bytes", mostWord))
		}
		if r.Share < 0 || r.Share > 1 {
			bad(path+".share", fmt.Sprintf("%g", r.Share), "0 (all) to 1")
		}
		if r.Oldest < 0 {
			bad(path+".oldest_ms", fmt.Sprintf("%d", r.Oldest), "from 0")
		}
		if r.Tenant != "" {
			if _, known := c.Tenants[r.Tenant]; !known {
				bad(path+".tenant", fmt.Sprintf("%q is no tenant", r.Tenant), "name it under tenants")
			}
		}
		if len(r.To) == 0 {
			bad(path+".to", "leads nowhere", "name at least one pool")
		}
		for n, to := range r.To {
			p := byName[to.Pool]
			if p == nil {
				bad(fmt.Sprintf("%s.to[%d]", path, n), fmt.Sprintf("%q is no pool", to.Pool), "one of "+strings.Join(sorted(c.Pools), ", "))
				continue
			}
			if slices.Contains(x.to, p) {
				bad(fmt.Sprintf("%s.to[%d]", path, n), to.Pool+" stands there twice", "add the weights up")
			}
			if to.Weight < 0 || to.Weight > 1e6 {
				bad(fmt.Sprintf("%s.to[%d].weight", path, n), fmt.Sprintf("%g", to.Weight), "above 0")
			}
			x.to = append(x.to, p)
		}
		t.limit(bad, path, "route "+r.Name, r.Limits)
		at := place{r.Object, x.kind, x.group}
		if other, all := whole[at]; all {
			faults = append(faults, Fault{false, path, fmt.Sprintf("is never reached: routes[%d] takes all of the same", other), "leave one out, or give the first a share"})
		}
		if r.Share > 0 && r.Share < 1 {
			x.from, x.till = ranges[at], ranges[at]+r.Share
			if ranges[at] = x.till; x.till > 1+1e-9 {
				bad(path+".share", fmt.Sprintf("the shares of one pattern add up to %.3g", x.till), "1 at most")
			}
		} else if _, all := whole[at]; !all {
			whole[at] = i
		}
		t.routes = append(t.routes, x)
	}
	if slices.ContainsFunc(faults, func(f Fault) bool { return f.Error }) {
		return nil, faults
	}
	for _, r := range t.routes {
		pattern, star := strings.CutSuffix(r.Object, "*")
		if r.Object == "" {
			star = true
		}
		n := t.root.reach(pattern)
		if star {
			n.starts = append(n.starts, r)
		} else {
			n.ends = append(n.ends, r)
		}
	}
	t.root.sort()
	return t, faults
}

func (t *Table) limit(bad func(path, text, remedy string), path, name string, l *Limits) {
	if l == nil {
		return
	}
	if l.Lookups < 0 || l.Bytes < 0 || l.Open < 0 || l.Further < -1 || l.Further > 100 || l.Open > 1e6 {
		bad(path+".limits", "a figure is out of bounds", "from 0; further -1 (none) to 100")
	}
	if l.Adaptive && l.Open == 0 {
		bad(path+".limits.adaptive", "open is not told", "open is the ceiling of an adaptive limit")
	}
	if l.Fleet && (l.Adaptive || l.Lookups == 0 && l.Bytes == 0 && l.Open == 0) {
		bad(path+".limits.fleet", "what of it is the fleet's is not told", "lookups_a_second, bytes_a_second or open, and not adaptive, which is of one gateway")
	}
	t.limits[name] = l.terms()
}

// Shared tells whether any limit is the fleet's.
func (t *Table) Shared() bool {
	for _, l := range t.limits {
		if l.Fleet {
			return true
		}
	}
	return false
}

// Limits are the limits by name, for limit.Set.
func (t *Table) Limits() map[string]limit.Terms { return t.limits }

// reach finds or makes the node of a pattern.
func (n *node) reach(pattern string) *node {
	if pattern == "" {
		return n
	}
	i, found := n.at(pattern[0])
	if !found {
		leaf := &node{lead: pattern}
		n.below = slices.Insert(n.below, i, leaf)
		return leaf
	}
	b := n.below[i]
	same := 0
	for same < len(b.lead) && same < len(pattern) && b.lead[same] == pattern[same] {
		same++
	}
	if same < len(b.lead) { // it parts here
		mid := &node{lead: b.lead[:same], below: []*node{b}}
		b.lead = b.lead[same:]
		n.below[i] = mid
		b = mid
	}
	return b.reach(pattern[same:])
}

func (n *node) at(first byte) (int, bool) {
	return slices.BinarySearchFunc(n.below, first, func(b *node, first byte) int { return cmp.Compare(b.lead[0], first) })
}

// sort puts the routes of a node in the order in which they are tried.
func (n *node) sort() {
	order := func(a, b *route) int {
		told := func(r *route) (n int) {
			if r.kind >= 0 {
				n += 2
			}
			if r.group >= 0 {
				n++
			}
			return n
		}
		part := func(r *route) int {
			if r.Share > 0 && r.Share < 1 {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(told(b), told(a)), cmp.Compare(part(a), part(b)), cmp.Compare(a.no, b.no))
	}
	slices.SortStableFunc(n.starts, order)
	slices.SortStableFunc(n.ends, order)
	for _, b := range n.below {
		b.sort()
	}
}

// Hash is an object's place in all shares: two configurations that give it the same part agree on it.
func Hash(object string) uint64 { return xxhash.Sum64String(object) }

func part(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// find gives the route of a lookup; nil: none, and it may go anywhere.
func (t *Table) find(kind, group int, object string, hash uint64) *route {
	var best *route
	fits := func(list []*route) *route {
		for _, r := range list {
			if (r.kind < 0 || r.kind == kind) && (r.group < 0 || r.group == group) {
				if p := part(hash); r.from <= p && p < r.till {
					return r
				}
			}
		}
		return nil
	}
	n, rest := t.root, object
	for {
		if r := fits(n.starts); r != nil {
			best = r
		}
		if rest == "" {
			if r := fits(n.ends); r != nil {
				best = r
			}
			return best
		}
		i, found := n.at(rest[0])
		if !found || !strings.HasPrefix(rest, n.below[i].lead) {
			return best
		}
		n = n.below[i]
		rest = rest[len(n.lead):]
	}
}

// choose gives the pool of a route for an object: the highest of weighted scores (rendezvous), so that a pool that comes or goes, or
// whose weight changes, moves only the objects that it gains or loses.
func (r *route) choose(hash uint64) *pool {
	if len(r.to) == 1 {
		return r.to[0]
	}
	var best *pool
	most := math.Inf(-1)
	for i, p := range r.to {
		w := r.To[i].Weight
		if w == 0 {
			w = 1
		}
		u := (float64(mix(hash, p.hash)>>11) + 0.5) / (1 << 53)
		if score := -w / math.Log(u); score > most {
			best, most = p, score
		}
	}
	return best
}

func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

func set(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}

func sorted[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func word(s string) bool {
	return s != "" && len(s) <= mostWord && !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c == 0x7f })
}
