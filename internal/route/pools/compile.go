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
	shareTolerance  = 1e-9 // rounding error allowed in a sum of shares
)

// Compile validates and compiles a configuration. Kinds are the object kinds of the platform's settings; if
// there are none, the kinds of routes are not checked. The table is nil if any of the problems is an error.
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

// compiler holds the state of one compilation.
type compiler struct {
	config   config.RouteConfig
	kinds    []string
	table    *Table
	problems []Problem

	poolsByName    map[string]*pool
	routeIndex     map[string]int       // index of the last route with each name
	assignedShares map[matchKey]float64 // sum of the shares assigned so far
	fullRoute      map[matchKey]int     // index of the first route without a share
}

// matchKey identifies the lookups that routes compete for.
type matchKey struct {
	pattern     string
	kind, group int
}

// reject adds a problem that is an error.
func (c *compiler) reject(path, text, remedy string) {
	c.problems = append(c.problems, Problem{true, path, text, remedy})
}

// warn adds a problem that is a warning.
func (c *compiler) warn(path, text, remedy string) {
	c.problems = append(c.problems, Problem{false, path, text, remedy})
}

func (c *compiler) compile() {
	if n := len(c.config.Routes); n > maxRoutes {
		c.reject("routes", fmt.Sprintf("there are %d routes", n), fmt.Sprintf("at most %d are allowed", maxRoutes))
		return
	}
	if n := len(c.config.Pools); n > maxPools {
		c.reject("pools", fmt.Sprintf("there are %d pools", n), fmt.Sprintf("at most %d are allowed", maxPools))
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
		c.reject(path, "the name of the pool is invalid", fmt.Sprintf("expected 1 to %d bytes without spaces", maxWordBytes))
	case len(p.Names)+len(p.ExcludedNames)+len(p.Sources) > maxNamesPerPool:
		c.reject(path, "the pool has too many names", fmt.Sprintf("at most %d in names, without and sources; use locations or labels", maxNamesPerPool))
	case len(p.Names) == 0 && len(p.Locations) == 0 && len(p.Labels) == 0:
		c.reject(path, "the pool selects no caches", "set locations, labels or names")
	}
	for n := range p.names {
		if p.excluded[n] {
			c.reject(path+".without", n+" is in names and in without", "remove it from one of them")
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
		c.reject(path+".limits", "a value is out of range", "expected 0 or more, open at most 1000000, further from -1 (no retries) to 100")
	}
	if l.Adaptive && l.MaxOpen == 0 {
		c.reject(path+".limits.adaptive", "open is not set", "set open, which is the ceiling of an adaptive limit")
	}
	if l.FleetWide && (l.Adaptive || l.LookupsPerSecond == 0 && l.BytesPerSecond == 0 && l.MaxOpen == 0) {
		c.reject(path+".limits.fleet", "a fleet-wide limit is adaptive or sets no value", "set lookups_a_second, bytes_a_second or open, and leave out adaptive, which applies to one gateway")
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
		c.reject(path+".name", fmt.Sprintf("%q is not a valid name", r.Name), "each route needs a name without spaces")
	} else if earlier, isTaken := c.routeIndex[r.Name]; isTaken {
		c.reject(path+".name", fmt.Sprintf("%q is the name of routes[%d] too", r.Name, earlier), "give each route a name of its own: its limits are found by that name")
	}
	c.routeIndex[r.Name] = r.index
}

// resolveMatch validates the kind, the group and the object pattern of the route, and resolves the kind and the group.
func (c *compiler) resolveMatch(path string, r *route) {
	if r.Kind != "" {
		if r.kind = slices.Index(c.kinds, r.Kind); r.kind < 0 && len(c.kinds) > 0 {
			c.reject(path+".kind", fmt.Sprintf("%q is not an object kind", r.Kind), "expected one of "+strings.Join(c.kinds, ", "))
		}
	}
	if r.Group != nil {
		if r.group = int(*r.Group); r.group < 0 || r.group > math.MaxInt32 {
			c.reject(path+".group", fmt.Sprintf("%d is out of range", *r.Group), "expected a whole number from 0")
		}
	}
	if star := strings.IndexByte(r.Object, '*'); star >= 0 && star != len(r.Object)-1 || len(r.Object) > maxWordBytes {
		c.reject(path+".object", fmt.Sprintf("%q is not an object pattern", r.Object), fmt.Sprintf("expected a name, or the beginning of a name and a star, in at most %d bytes", maxWordBytes))
	}
}

func (c *compiler) checkOptions(path string, r *route) {
	if r.Share < 0 || r.Share > 1 {
		c.reject(path+".share", fmt.Sprintf("%g is out of range", r.Share), "expected 0 (all objects) to 1")
	}
	if r.MaxAgeMS < 0 {
		c.reject(path+".oldest_ms", fmt.Sprintf("%d is negative", r.MaxAgeMS), "expected milliseconds from 0")
	}
	if r.Tenant != "" {
		if _, isKnown := c.config.Tenants[r.Tenant]; !isKnown {
			c.reject(path+".tenant", fmt.Sprintf("%q is not a tenant", r.Tenant), "define it under tenants")
		}
	}
}

// resolveTargets resolves the pools that the route leads to.
func (c *compiler) resolveTargets(path string, r *route) {
	if len(r.Targets) == 0 {
		c.reject(path+".to", "the route has no pools", "name at least one pool")
	}
	for i, target := range r.Targets {
		p := c.poolsByName[target.Pool]
		if p == nil {
			c.reject(fmt.Sprintf("%s.to[%d]", path, i), fmt.Sprintf("%q is not a pool", target.Pool), "expected one of "+strings.Join(sortedKeys(c.config.Pools), ", "))
			continue
		}
		if slices.Contains(r.pools, p) {
			c.reject(fmt.Sprintf("%s.to[%d]", path, i), target.Pool+" is listed twice", "list it once, with the sum of the weights")
		}
		if target.Weight < 0 || target.Weight > maxWeight {
			c.reject(fmt.Sprintf("%s.to[%d].weight", path, i), fmt.Sprintf("%g is out of range", target.Weight), "expected above 0 and at most 1000000")
		}
		r.pools = append(r.pools, p)
	}
}

// assignShare assigns the route its range of the objects, after
// those of earlier routes with the same pattern, kind and group.
func (c *compiler) assignShare(path string, r *route) {
	key := matchKey{r.Object, r.kind, r.group}
	other, isFull := c.fullRoute[key]
	if isFull {
		c.warn(path, fmt.Sprintf("is never reached: routes[%d] matches all of the same lookups", other), "remove one of them, or give the first a share")
	}
	switch {
	case r.hasShare():
		r.hashFrom = c.assignedShares[key]
		r.hashTo = c.assignedShares[key] + r.Share
		c.assignedShares[key] = r.hashTo
		if r.hashTo > 1+shareTolerance {
			c.reject(path+".share", fmt.Sprintf("the shares of one pattern add up to %.3g", r.hashTo), "expected a sum of at most 1")
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
