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
	maxRoutes       = 5000
	maxPools        = 1000
	maxNamesPerPool = 2000 // caches that a pool names
	maxWordBytes    = 200
)

// Limits are the limits of a pool, a route or a tenant, as the operator writes them.
type Limits struct {
	LookupsPerSecond float64 `json:"lookups_a_second,omitempty"`
	BytesPerSecond   float64 `json:"bytes_a_second,omitempty"`
	MaxOpen          int64   `json:"open,omitempty"`
	Adaptive         bool    `json:"adaptive,omitempty"`
	RetryRatio       float64 `json:"further,omitempty"` // further sends, as a part of first ones; -1: none
	FleetWide        bool    `json:"fleet,omitempty"`   // lookups, bytes and open are of all gateways together
}

func (l Limits) spec() limit.Spec {
	return limit.Spec{LookupsPerSecond: l.LookupsPerSecond, BytesPerSecond: l.BytesPerSecond, MaxOpen: int(l.MaxOpen), Adaptive: l.Adaptive, RetryRatio: l.RetryRatio, FleetWide: l.FleetWide}
}

// Pool is caches by what they are. Of several conditions all must hold; names are in any case.
type Pool struct {
	Locations     []string `json:"locations,omitempty"`
	Labels        []string `json:"labels,omitempty"`
	Names         []string `json:"names,omitempty"`
	ExcludedNames []string `json:"without,omitempty"` // names that are not in it, whatever else holds
	Sources       []string `json:"sources,omitempty"` // parents by name that its fills may name; none: all
	Limits        *Limits  `json:"limits,omitempty"`
}

// Target is a pool and its weight among those of a route.
type Target struct {
	Pool   string  `json:"pool"`
	Weight float64 `json:"weight,omitempty"` // 0 is 1
}

// Route leads lookups to pools.
type Route struct {
	Name     string   `json:"name"`
	Kind     string   `json:"kind,omitempty"`   // "": any
	Group    *int64   `json:"group,omitempty"`  // absent: any
	Object   string   `json:"object,omitempty"` // "": any; ending in a star: its beginning
	Share    float64  `json:"share,omitempty"`  // of the objects, by hash; 0: all
	Targets  []Target `json:"to"`
	Tenant   string   `json:"tenant,omitempty"`
	MaxAgeMS int64    `json:"oldest_ms,omitempty"` // the oldest copy that will do; 0: as the kind has it
	Limits   *Limits  `json:"limits,omitempty"`
}

// Config is routes and pools as the operator writes them.
type Config struct {
	Pools   map[string]Pool   `json:"pools,omitempty"`
	Routes  []Route           `json:"routes,omitempty"`
	Tenants map[string]Limits `json:"tenants,omitempty"`
}

// Problem is what is wrong with a configuration: where, what, and what to do. Where Error is false it is a remark.
type Problem struct {
	IsError bool   `json:"Error"`
	Path    string `json:"Path"`
	Text    string `json:"Text"`
	Remedy  string `json:"Remedy"`
}

type route struct {
	Route
	index            int
	kind, group      int // -1: any
	pools            []*pool
	hashFrom, hashTo float64 // of the hash's range, where Share is told
}

type pool struct {
	Pool
	name     string
	index    int
	hash     uint64
	names    map[string]bool
	excluded map[string]bool
}

// Table is a compiled configuration.
type Table struct {
	pools  []*pool
	routes []*route
	root   *node
	limits map[string]limit.Spec // by "pool NAME", "route NAME", "tenant NAME"
}

// node is a place in the radix tree: bytes that lead here from the node above, and the routes of patterns that end here.
type node struct {
	prefix       string
	children     []*node  // by first byte, rising
	prefixRoutes []*route // patterns with a star
	exactRoutes  []*route // whole names
}

// Compile checks and compiles a configuration. Kinds are the settings' object kinds. With an error among the faults there is no table.
func Compile(c Config, kinds []string) (*Table, []Problem) {
	t := &Table{root: &node{}, limits: map[string]limit.Spec{}}
	var faults []Problem
	bad := func(path, text, remedy string) { faults = append(faults, Problem{true, path, text, remedy}) }
	if len(c.Routes) > maxRoutes {
		bad("routes", fmt.Sprintf("%d routes", len(c.Routes)), fmt.Sprintf("at most %d", maxRoutes))
		return nil, faults
	}
	if len(c.Pools) > maxPools {
		bad("pools", fmt.Sprintf("%d pools", len(c.Pools)), fmt.Sprintf("at most %d", maxPools))
		return nil, faults
	}
	byName := map[string]*pool{}
	for _, name := range sortedKeys(c.Pools) {
		p := &pool{Pool: c.Pools[name], name: name, index: len(t.pools), hash: xxhash.Sum64String(name), names: toSet(c.Pools[name].Names), excluded: toSet(c.Pools[name].ExcludedNames)}
		path := "pools." + name
		switch {
		case !isWord(name):
			bad(path, "its name cannot be used", fmt.Sprintf("1 to %d bytes without spaces", maxWordBytes))
		case len(p.Names)+len(p.ExcludedNames)+len(p.Sources) > maxNamesPerPool:
			bad(path, "it names too many caches", fmt.Sprintf("at most %d; name locations or labels", maxNamesPerPool))
		case len(p.Names) == 0 && len(p.Locations) == 0 && len(p.Labels) == 0:
			bad(path, "it says of no cache that it is in it", "name locations, labels or names")
		}
		for n := range p.names {
			if p.excluded[n] {
				bad(path+".without", n+" is in names too", "leave it out of one")
			}
		}
		t.addLimit(bad, path, "pool "+name, p.Limits)
		t.pools, byName[name] = append(t.pools, p), p
	}
	for _, name := range sortedKeys(c.Tenants) {
		l := c.Tenants[name]
		t.addLimit(bad, "tenants."+name, "tenant "+name, &l)
	}
	seen := map[string]int{}
	type place struct {
		pattern     string
		kind, group int
	}
	ranges, whole := map[place]float64{}, map[place]int{}
	for i, r := range c.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		x := &route{Route: r, index: i, kind: -1, group: -1, hashTo: 1}
		if !isWord(r.Name) {
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
		if star := strings.IndexByte(r.Object, '*'); star >= 0 && star != len(r.Object)-1 || len(r.Object) > maxWordBytes {
			bad(path+".object", fmt.Sprintf("%q", r.Object), fmt.Sprintf("a name, or its beginning and one star, in %d bytes", maxWordBytes))
		}
		if r.Share < 0 || r.Share > 1 {
			bad(path+".share", fmt.Sprintf("%g", r.Share), "0 (all) to 1")
		}
		if r.MaxAgeMS < 0 {
			bad(path+".oldest_ms", fmt.Sprintf("%d", r.MaxAgeMS), "from 0")
		}
		if r.Tenant != "" {
			if _, known := c.Tenants[r.Tenant]; !known {
				bad(path+".tenant", fmt.Sprintf("%q is no tenant", r.Tenant), "name it under tenants")
			}
		}
		if len(r.Targets) == 0 {
			bad(path+".to", "leads nowhere", "name at least one pool")
		}
		for n, to := range r.Targets {
			p := byName[to.Pool]
			if p == nil {
				bad(fmt.Sprintf("%s.to[%d]", path, n), fmt.Sprintf("%q is no pool", to.Pool), "one of "+strings.Join(sortedKeys(c.Pools), ", "))
				continue
			}
			if slices.Contains(x.pools, p) {
				bad(fmt.Sprintf("%s.to[%d]", path, n), to.Pool+" stands there twice", "add the weights up")
			}
			if to.Weight < 0 || to.Weight > 1e6 {
				bad(fmt.Sprintf("%s.to[%d].weight", path, n), fmt.Sprintf("%g", to.Weight), "above 0")
			}
			x.pools = append(x.pools, p)
		}
		t.addLimit(bad, path, "route "+r.Name, r.Limits)
		at := place{r.Object, x.kind, x.group}
		if other, all := whole[at]; all {
			faults = append(faults, Problem{false, path, fmt.Sprintf("is never reached: routes[%d] takes all of the same", other), "leave one out, or give the first a share"})
		}
		if r.Share > 0 && r.Share < 1 {
			x.hashFrom, x.hashTo = ranges[at], ranges[at]+r.Share
			if ranges[at] = x.hashTo; x.hashTo > 1+1e-9 {
				bad(path+".share", fmt.Sprintf("the shares of one pattern add up to %.3g", x.hashTo), "1 at most")
			}
		} else if _, all := whole[at]; !all {
			whole[at] = i
		}
		t.routes = append(t.routes, x)
	}
	if slices.ContainsFunc(faults, func(f Problem) bool { return f.IsError }) {
		return nil, faults
	}
	for _, r := range t.routes {
		pattern, star := strings.CutSuffix(r.Object, "*")
		if r.Object == "" {
			star = true
		}
		n := t.root.insert(pattern)
		if star {
			n.prefixRoutes = append(n.prefixRoutes, r)
		} else {
			n.exactRoutes = append(n.exactRoutes, r)
		}
	}
	t.root.sort()
	return t, faults
}

func (t *Table) addLimit(bad func(path, text, remedy string), path, name string, l *Limits) {
	if l == nil {
		return
	}
	if l.LookupsPerSecond < 0 || l.BytesPerSecond < 0 || l.MaxOpen < 0 || l.RetryRatio < -1 || l.RetryRatio > 100 || l.MaxOpen > 1e6 {
		bad(path+".limits", "a figure is out of bounds", "from 0; further -1 (none) to 100")
	}
	if l.Adaptive && l.MaxOpen == 0 {
		bad(path+".limits.adaptive", "open is not told", "open is the ceiling of an adaptive limit")
	}
	if l.FleetWide && (l.Adaptive || l.LookupsPerSecond == 0 && l.BytesPerSecond == 0 && l.MaxOpen == 0) {
		bad(path+".limits.fleet", "what of it is the fleet's is not told", "lookups_a_second, bytes_a_second or open, and not adaptive, which is of one gateway")
	}
	t.limits[name] = l.spec()
}

// HasFleetLimits tells whether any limit is the fleet's.
func (t *Table) HasFleetLimits() bool {
	for _, l := range t.limits {
		if l.FleetWide {
			return true
		}
	}
	return false
}

// Limits are the limits by name, for limit.Set.
func (t *Table) Limits() map[string]limit.Spec { return t.limits }

// insert finds or makes the node of a pattern.
func (n *node) insert(pattern string) *node {
	if pattern == "" {
		return n
	}
	i, found := n.childIndex(pattern[0])
	if !found {
		leaf := &node{prefix: pattern}
		n.children = slices.Insert(n.children, i, leaf)
		return leaf
	}
	b := n.children[i]
	same := 0
	for same < len(b.prefix) && same < len(pattern) && b.prefix[same] == pattern[same] {
		same++
	}
	if same < len(b.prefix) { // it parts here
		mid := &node{prefix: b.prefix[:same], children: []*node{b}}
		b.prefix = b.prefix[same:]
		n.children[i] = mid
		b = mid
	}
	return b.insert(pattern[same:])
}

func (n *node) childIndex(first byte) (int, bool) {
	return slices.BinarySearchFunc(n.children, first, func(b *node, first byte) int { return cmp.Compare(b.prefix[0], first) })
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
		return cmp.Or(cmp.Compare(told(b), told(a)), cmp.Compare(part(a), part(b)), cmp.Compare(a.index, b.index))
	}
	slices.SortStableFunc(n.prefixRoutes, order)
	slices.SortStableFunc(n.exactRoutes, order)
	for _, b := range n.children {
		b.sort()
	}
}

// Hash is an object's place in all shares: two configurations that give it the same part agree on it.
func Hash(object string) uint64 { return xxhash.Sum64String(object) }

func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// find gives the route of a lookup; nil: none, and it may go anywhere.
func (t *Table) find(kind, group int, object string, hash uint64) *route {
	var best *route
	fits := func(list []*route) *route {
		for _, r := range list {
			if (r.kind < 0 || r.kind == kind) && (r.group < 0 || r.group == group) {
				if p := fraction(hash); r.hashFrom <= p && p < r.hashTo {
					return r
				}
			}
		}
		return nil
	}
	n, rest := t.root, object
	for {
		if r := fits(n.prefixRoutes); r != nil {
			best = r
		}
		if rest == "" {
			if r := fits(n.exactRoutes); r != nil {
				best = r
			}
			return best
		}
		i, found := n.childIndex(rest[0])
		if !found || !strings.HasPrefix(rest, n.children[i].prefix) {
			return best
		}
		n = n.children[i]
		rest = rest[len(n.prefix):]
	}
}

// choosePool gives the pool of a route for an object: the highest of weighted scores (rendezvous), so that a pool that comes or goes, or
// whose weight changes, moves only the objects that it gains or loses.
func (r *route) choosePool(hash uint64) *pool {
	if len(r.pools) == 1 {
		return r.pools[0]
	}
	var best *pool
	most := math.Inf(-1)
	for i, p := range r.pools {
		w := r.Targets[i].Weight
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

func toSet(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}

func sortedKeys[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func isWord(s string) bool {
	return s != "" && len(s) <= maxWordBytes && !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c == 0x7f })
}
