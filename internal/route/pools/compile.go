package pools

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"foldslip/internal/config"
	"foldslip/internal/limit"
)

const (
	maxRoutes       = 5000
	maxPools        = 1000
	maxNamesPerPool = 2000
	maxWordBytes    = 200
	maxWeight       = 1e6
	maxOpenLimit    = 1e6
	maxRetryRatio   = 100
	shareTolerance  = 1e-9 // of sums of shares
)

// Compile checks and compiles a configuration. Kinds are the object kinds of the platform's settings; with none, kinds are not checked. With an
// error among the problems there is no table.
func Compile(routes config.RouteConfig, kinds []string) (*Table, []Problem) {
	c := &compiler{config: routes, kinds: kinds, table: &Table{root: &node{}, limits: map[string]limit.Spec{}}, poolsByName: map[string]*pool{},
		routeIndex: map[string]int{}, assignedShares: map[matchKey]float64{}, fullRoute: map[matchKey]int{}}
	c.compile()
	if slices.ContainsFunc(c.problems, func(p Problem) bool { return p.IsError }) {
		return nil, c.problems
	}
	c.table.buildTree()
	return c.table, c.problems
}

// compiler is what a compilation holds on its way.
type compiler struct {
	config   config.RouteConfig
	kinds    []string
	table    *Table
	problems []Problem

	poolsByName    map[string]*pool
	routeIndex     map[string]int // by name, of the first of that name
	assignedShares map[matchKey]float64
	fullRoute      map[matchKey]int // index of the first route that takes all objects of a place
}

// matchKey is what routes compete for.
type matchKey struct {
	pattern     string
	kind, group int
}

// reject adds an error.
func (c *compiler) reject(path, text, remedy string) {
	c.problems = append(c.problems, Problem{true, path, text, remedy})
}

// warn adds a problem that is no error.
func (c *compiler) warn(path, text, remedy string) {
	c.problems = append(c.problems, Problem{false, path, text, remedy})
}

func (c *compiler) compile() {
	if n := len(c.config.Routes); n > maxRoutes {
		c.reject("routes", fmt.Sprintf("%d routes", n), fmt.Sprintf("at most %d", maxRoutes))
		return
	}
	if n := len(c.config.Pools); n > maxPools {
		c.reject("pools", fmt.Sprintf("%d pools", n), fmt.Sprintf("at most %d", maxPools))
		return
	}
	for _, name := range sortedKeys(c.config.Pools) {
		c.addPool(name, c.config.Pools[name])
	}
	for _, name := range sortedKeys(c.config.Tenants) {
		limits := c.config.Tenants[name]
		c.addLimits("tenants."+name, "tenant "+name, &limits)
	}
	for i, r := range c.config.Routes {
		c.addRoute(i, r)
	}
}

func (c *compiler) addPool(name string, written config.Pool) {
	p := &pool{Pool: written, name: name, index: len(c.table.pools), hash: xxhash.Sum64String(name), names: toSet(written.Names),
		excluded: toSet(written.ExcludedNames)}
	path := "pools." + name
	switch {
	case !isWord(name):
		c.reject(path, "its name cannot be used", fmt.Sprintf("1 to %d bytes without spaces", maxWordBytes))
	case len(p.Names)+len(p.ExcludedNames)+len(p.Sources) > maxNamesPerPool:
		c.reject(path, "it names too many caches", fmt.Sprintf("at most %d; name locations or labels", maxNamesPerPool))
	case len(p.Names) == 0 && len(p.Locations) == 0 && len(p.Labels) == 0:
		c.reject(path, "it says of no cache that it is in it", "name locations, labels or names")
	}
	for n := range p.names {
		if p.excluded[n] {
			c.reject(path+".without", n+" is in names too", "leave it out of one")
		}
	}
	c.addLimits(path, "pool "+name, p.Limits)
	c.table.pools = append(c.table.pools, p)
	c.poolsByName[name] = p
}

func (c *compiler) addLimits(path, name string, l *config.Limits) {
	if l == nil {
		return
	}
	if l.LookupsPerSecond < 0 || l.BytesPerSecond < 0 || l.MaxOpen < 0 || l.RetryRatio < -1 || l.RetryRatio > maxRetryRatio || l.MaxOpen > maxOpenLimit {
		c.reject(path+".limits", "a figure is out of bounds", "from 0; further -1 (none) to 100")
	}
	if l.Adaptive && l.MaxOpen == 0 {
		c.reject(path+".limits.adaptive", "open is not told", "open is the ceiling of an adaptive limit")
	}
	if l.FleetWide && (l.Adaptive || l.LookupsPerSecond == 0 && l.BytesPerSecond == 0 && l.MaxOpen == 0) {
		c.reject(path+".limits.fleet", "what of it is the fleet's is not told", "lookups_a_second, bytes_a_second or open, and not adaptive, which is of one gateway")
	}
	c.table.limits[name] = specOf(l)
}

func specOf(l *config.Limits) limit.Spec {
	return limit.Spec{LookupsPerSecond: l.LookupsPerSecond, BytesPerSecond: l.BytesPerSecond, MaxOpen: int(l.MaxOpen), Adaptive: l.Adaptive,
		RetryRatio: l.RetryRatio, FleetWide: l.FleetWide}
}

func (c *compiler) addRoute(index int, written config.Route) {
	path := fmt.Sprintf("routes[%d]", index)
	r := &route{Route: written, index: index, kind: anyValue, group: anyValue, hashTo: 1}
	c.checkName(path, r)
	c.resolveMatch(path, r)
	c.checkOptions(path, r)
	c.resolveTargets(path, r)
	c.addLimits(path, "route "+r.Name, r.Limits)
	c.assignShare(path, r)
	c.table.routes = append(c.table.routes, r)
}

func (c *compiler) checkName(path string, r *route) {
	if !isWord(r.Name) {
		c.reject(path+".name", fmt.Sprintf("%q", r.Name), "each route has a name")
	} else if first, isTaken := c.routeIndex[r.Name]; isTaken {
		c.reject(path+".name", fmt.Sprintf("%q is routes[%d]'s too", r.Name, first), "names are each route's own: its limits go by them")
	}
	c.routeIndex[r.Name] = r.index
}

// resolveMatch checks what lookups the route takes.
func (c *compiler) resolveMatch(path string, r *route) {
	if r.Kind != "" {
		if r.kind = slices.Index(c.kinds, r.Kind); r.kind < 0 && len(c.kinds) > 0 {
			c.reject(path+".kind", fmt.Sprintf("%q is no object kind", r.Kind), "one of "+strings.Join(c.kinds, ", "))
		}
	}
	if r.Group != nil {
		if r.group = int(*r.Group); r.group < 0 || r.group > math.MaxInt32 {
			c.reject(path+".group", fmt.Sprintf("%d", *r.Group), "a whole number from 0")
		}
	}
	if star := strings.IndexByte(r.Object, '*'); star >= 0 && star != len(r.Object)-1 || len(r.Object) > maxWordBytes {
		c.reject(path+".object", fmt.Sprintf("%q", r.Object), fmt.Sprintf("a name, or its beginning and one star, in %d bytes", maxWordBytes))
	}
}

func (c *compiler) checkOptions(path string, r *route) {
	if r.Share < 0 || r.Share > 1 {
		c.reject(path+".share", fmt.Sprintf("%g", r.Share), "0 (all) to 1")
	}
	if r.MaxAgeMS < 0 {
		c.reject(path+".oldest_ms", fmt.Sprintf("%d", r.MaxAgeMS), "from 0")
	}
	if r.Tenant != "" {
		if _, isKnown := c.config.Tenants[r.Tenant]; !isKnown {
			c.reject(path+".tenant", fmt.Sprintf("%q is no tenant", r.Tenant), "name it under tenants")
		}
	}
}

// resolveTargets finds the pools that the route leads to.
func (c *compiler) resolveTargets(path string, r *route) {
	if len(r.Targets) == 0 {
		c.reject(path+".to", "leads nowhere", "name at least one pool")
	}
	for i, target := range r.Targets {
		p := c.poolsByName[target.Pool]
		if p == nil {
			c.reject(fmt.Sprintf("%s.to[%d]", path, i), fmt.Sprintf("%q is no pool", target.Pool), "one of "+strings.Join(sortedKeys(c.config.Pools), ", "))
			continue
		}
		if slices.Contains(r.pools, p) {
			c.reject(fmt.Sprintf("%s.to[%d]", path, i), target.Pool+" stands there twice", "add the weights up")
		}
		if target.Weight < 0 || target.Weight > maxWeight {
			c.reject(fmt.Sprintf("%s.to[%d].weight", path, i), fmt.Sprintf("%g", target.Weight), "above 0")
		}
		r.pools = append(r.pools, p)
	}
}

// assignShare gives the route its part of the objects of its place.
func (c *compiler) assignShare(path string, r *route) {
	key := matchKey{r.Object, r.kind, r.group}
	other, isFull := c.fullRoute[key]
	if isFull {
		c.warn(path, fmt.Sprintf("is never reached: routes[%d] takes all of the same", other), "leave one out, or give the first a share")
	}
	switch {
	case r.hasShare():
		r.hashFrom = c.assignedShares[key]
		r.hashTo = c.assignedShares[key] + r.Share
		c.assignedShares[key] = r.hashTo
		if r.hashTo > 1+shareTolerance {
			c.reject(path+".share", fmt.Sprintf("the shares of one pattern add up to %.3g", r.hashTo), "1 at most")
		}
	case !isFull:
		c.fullRoute[key] = r.index
	}
}

func toSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

func isWord(s string) bool {
	return s != "" && len(s) <= maxWordBytes && !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c == 0x7f })
}
