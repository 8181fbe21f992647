package pools

import (
	"fmt"
	"foldslip/internal/config"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var kinds = []string{"segment", "page"}

func groupNumber(n int64) *int64 { return &n }

// targets returns targets of equal weight for the named pools.
func targets(pools ...string) (targets []config.Target) {
	for _, p := range pools {
		targets = append(targets, config.Target{Pool: p})
	}
	return targets
}

var testPools = map[string]config.Pool{"a": {Locations: []string{"town"}}, "b": {Names: []string{"c9"}}, "old": {Locations: []string{"town"}, Labels: []string{"big"}, ExcludedNames: []string{"c1"}}}

var testCaches = []Cache{{Name: "c1", Location: "town", Labels: []string{"big"}}, {Name: "c2", Location: "town", Labels: []string{"big", "new"}}, {Name: "c3", Location: "town"},
	{Name: "c9", Location: "hill"}, {Name: "p1", Location: "hub", IsSource: true}}

// compileView compiles a configuration and resolves it against testCaches.
func compileView(t testing.TB, c config.RouteConfig) *View {
	t.Helper()
	table, problems := Compile(c, kinds)
	if table == nil {
		t.Fatal(problems)
	}
	return table.View(7, testCaches)
}

func TestRoutes(t *testing.T) {
	v := compileView(t, config.RouteConfig{Pools: testPools, Tenants: map[string]config.Limits{"kiosks": {MaxOpen: 5}}, Routes: []config.Route{
		{Name: "rest", Targets: targets("a"), Tenant: "kiosks"},
		{Name: "videos", Object: "video-*", Targets: targets("old"), MaxAgeMS: 500},
		{Name: "pages-of-videos", Kind: "page", Object: "video-*", Targets: targets("b")},
		{Name: "one-video", Object: "video-7", Targets: targets("a")},
		{Name: "a-group", Group: groupNumber(4), Targets: targets("b")},
	}})
	for _, test := range []struct {
		kind, group   int
		object, route string
		caches        string
	}{{0, 0, "x", "rest", "c1 c2 c3"}, {0, 0, "video-1", "videos", "c2"}, {1, 0, "video-1", "pages-of-videos", "c9"}, {1, 0, "video-7", "one-video", "c1 c2 c3"},
		{0, 0, "video-77", "videos", "c2"}, {0, 4, "x", "a-group", "c9"}, {0, 4, "video-1", "videos", "c2"}, {0, 0, "video", "rest", "c1 c2 c3"}} {
		d := v.Route(test.kind, test.group, test.object)
		if d.Route != test.route || strings.Join(sortedKeys(d.Scope.Caches), " ") != test.caches {
			t.Errorf("%+v: got route %s with caches %v", test, d.Route, d.Scope.Caches)
		}
	}
	if decision := v.Route(0, 0, "video-1"); decision.MaxAgeMS != 500 || decision.Tenant != "" {
		t.Errorf("%+v, want a maximum age of 500 ms and no tenant", decision)
	}
	if d := compileView(t, config.RouteConfig{Pools: testPools, Routes: []config.Route{{Name: "v", Object: "v*", Targets: targets("a")}}}).Route(0, 0, "x"); d.Scope != nil || d.Route != "" {
		t.Errorf("no route matches the lookup, but the decision is %+v", d)
	}
}

func TestCompileReportsProblems(t *testing.T) {
	valid := func() config.RouteConfig {
		return config.RouteConfig{Pools: map[string]config.Pool{"a": {Locations: []string{"town"}}}, Routes: []config.Route{{Name: "r", Targets: targets("a")}}}
	}
	for _, test := range []struct {
		name, path, text string
		change           func(c *config.RouteConfig)
	}{
		{"an unknown pool", "routes[0].to[0]", "is not a pool", func(c *config.RouteConfig) { c.Routes[0].Targets = targets("x") }},
		{"a route without a pool", "routes[0].to", "no pools", func(c *config.RouteConfig) { c.Routes[0].Targets = nil }},
		{"an unknown kind", "routes[0].kind", "is not an object kind", func(c *config.RouteConfig) { c.Routes[0].Kind = "film" }},
		{"a star inside a pattern", "routes[0].object", "a*b", func(c *config.RouteConfig) { c.Routes[0].Object = "a*b" }},
		{"two routes with one name", "routes[1].name", "routes[0]", func(c *config.RouteConfig) { c.Routes = append(c.Routes, c.Routes[0]) }},
		{"shares with a sum above 1", "routes[1].share", "1.2", func(c *config.RouteConfig) {
			c.Routes[0].Share = 0.6
			c.Routes = append(c.Routes, config.Route{Name: "s", Share: 0.6, Targets: targets("a")})
		}},
		{"a pool without a condition", "pools.z", "selects no caches", func(c *config.RouteConfig) { c.Pools["z"] = config.Pool{} }},
		{"a cache named and excluded", "pools.z.without", "in names and in without", func(c *config.RouteConfig) {
			c.Pools["z"] = config.Pool{Names: []string{"c"}, ExcludedNames: []string{"c"}}
		}},
		{"an unknown tenant", "routes[0].tenant", "is not a tenant", func(c *config.RouteConfig) { c.Routes[0].Tenant = "x" }},
		{"an adaptive limit without a ceiling", "pools.a.limits.adaptive", "open is not set", func(c *config.RouteConfig) {
			c.Pools["a"] = config.Pool{Locations: []string{"town"}, Limits: &config.Limits{Adaptive: true}}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := valid()
			test.change(&c)
			table, problems := Compile(c, kinds)
			if table != nil || len(problems) == 0 || problems[0].Path != test.path || !strings.Contains(problems[0].Text, test.text) || problems[0].Remedy == "" {
				t.Errorf("problems %+v, the first does not have the expected path, text and a remedy", problems)
			}
		})
	}
	t.Run("a route that is never reached is a warning", func(t *testing.T) {
		c := valid()
		c.Routes = append(c.Routes, config.Route{Name: "s", Targets: targets("a")})
		if table, problems := Compile(c, kinds); table == nil || len(problems) != 1 || problems[0].IsError || !strings.Contains(problems[0].Text, "never reached") {
			t.Errorf("problems %+v, want one warning", problems)
		}
	})
}

func TestCheckAgainstTheList(t *testing.T) {
	check := func(t *testing.T, p config.Pool, caches []Cache) []Problem {
		t.Helper()
		table, problems := Compile(config.RouteConfig{Pools: map[string]config.Pool{"a": p}, Routes: []config.Route{{Name: "r", Targets: targets("a")}}}, kinds)
		if table == nil {
			t.Fatal(problems)
		}
		return table.Check(caches)
	}
	draining := []Cache{{Name: "c1", Location: "town", IsDraining: true}, {Name: "c2", Location: "town"}, {Name: "p1", IsSource: true}}
	for _, test := range []struct {
		name, text string
		isError    bool
		pool       config.Pool
		caches     []Cache
	}{
		{"names a draining cache", "c1 is draining", true, config.Pool{Names: []string{"c1"}}, draining},
		{"names a cache that is not listed", "c7 is not in the list", true, config.Pool{Names: []string{"c7"}}, draining},
		{"is empty", "no cache", true, config.Pool{Locations: []string{"hill"}}, draining},
		{"all its caches are draining", "all its caches are draining", true, config.Pool{Locations: []string{"town"}}, draining[:1]},
		{"some of its caches are draining", "1 of its 2", false, config.Pool{Locations: []string{"town"}}, draining},
		{"names a parent as a cache", "wrong type of machine", true, config.Pool{Names: []string{"p1"}}, draining},
	} {
		t.Run(test.name, func(t *testing.T) {
			problems := check(t, test.pool, test.caches)
			if len(problems) == 0 || !strings.Contains(problems[0].Text, test.text) || problems[0].IsError != test.isError {
				t.Errorf("problems %+v, the first does not have the expected text and severity", problems)
			}
		})
	}
	if problems := check(t, config.Pool{Locations: []string{"town"}}, draining[1:]); len(problems) != 0 {
		t.Errorf("problems of a valid pool: %+v", problems)
	}
}

// rank returns the precedence of a route among those that match a lookup. The highest has the longest
// pattern, then is the most specific, then has a share, then is the first in the configuration.
func rank(r *route) []int {
	pattern, isPrefix := strings.CutSuffix(r.Object, "*")
	length := 2 * len(pattern)
	if !isPrefix && r.Object != "" {
		length++
	}
	share := 0
	if r.hasShare() {
		share = 1
	}
	return []int{length, r.specificity(), share, -r.index}
}

// scanRoutes finds the route of a lookup by trying each route. It is the reference for Table.find.
func (t *Table) scanRoutes(kind, group int, object string, hash uint64) (best *route) {
	at := fraction(hash)
	for _, r := range t.routes {
		pattern, isPrefix := strings.CutSuffix(r.Object, "*")
		matchesObject := r.Object == "" || isPrefix && strings.HasPrefix(object, pattern) || object == r.Object
		matchesKind := r.kind < 0 || r.kind == kind
		matchesGroup := r.group < 0 || r.group == group
		if !matchesObject || !matchesKind || !matchesGroup || at < r.hashFrom || at >= r.hashTo {
			continue
		}
		if best == nil || slices.Compare(rank(r), rank(best)) > 0 {
			best = r
		}
	}
	return best
}

// randomRoutes returns up to 30 routes whose patterns are short enough to overlap.
func randomRoutes(t *rapid.T) (routes []config.Route) {
	object := rapid.StringMatching(`[ab]{0,4}`)
	for i := range rapid.IntRange(1, 30).Draw(t, "routes") {
		r := config.Route{Name: fmt.Sprint(i), Kind: rapid.SampledFrom([]string{"", "segment", "page"}).Draw(t, "kind"), Targets: targets("a")}
		if rapid.Bool().Draw(t, "hasGroup") {
			r.Group = groupNumber(rapid.Int64Range(0, 2).Draw(t, "group"))
		}
		if r.Object = object.Draw(t, "pattern"); rapid.Bool().Draw(t, "star") {
			r.Object += "*"
		}
		if rapid.IntRange(0, 3).Draw(t, "share") == 0 {
			r.Share = 0.05
		}
		routes = append(routes, r)
	}
	return routes
}

func TestTheTreeFindsWhatAScanFinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, problems := Compile(config.RouteConfig{Pools: testPools, Routes: randomRoutes(t)}, kinds)
		if table == nil {
			t.Skip(problems)
		}
		for range 30 {
			kind := rapid.IntRange(0, 1).Draw(t, "kind")
			group := rapid.IntRange(0, 3).Draw(t, "group")
			object := rapid.StringMatching(`[abc]{0,6}`).Draw(t, "object")
			hash := rapid.Uint64().Draw(t, "hash")
			if got, want := table.find(kind, group, object, hash), table.scanRoutes(kind, group, object, hash); got != want {
				t.Fatalf("kind %d, group %d, object %q: the tree finds %v, a scan finds %v", kind, group, object, got, want)
			}
		}
	})
}

// weightedPools returns the View of one route to n pools. The first pool has the given weight, the others weight 1.
func weightedPools(t *testing.T, n int, firstWeight float64) *View {
	t.Helper()
	c := config.RouteConfig{Pools: map[string]config.Pool{}, Routes: []config.Route{{Name: "r"}}}
	for i := range n {
		name := fmt.Sprint("p", i)
		c.Pools[name] = config.Pool{Names: []string{fmt.Sprint("c", i)}}
		weight := 1.0
		if i == 0 {
			weight = firstWeight
		}
		c.Routes[0].Targets = append(c.Routes[0].Targets, config.Target{Pool: name, Weight: weight})
	}
	return compileView(t, c)
}

const movedObjectsSample = 20000

// countMoved returns the share of objects whose pool differs between two views, and the
// number of them for which isExpected, called with the pools before and after, returns false.
func countMoved(before, after *View, isExpected func(from, to string) bool) (share float64, unexpected int) {
	moved := 0
	for i := range movedObjectsSample {
		object := fmt.Sprint("o", i)
		from, to := before.Route(0, 0, object).Scope.Pool, after.Route(0, 0, object).Scope.Pool
		if from == to {
			continue
		}
		moved++
		if !isExpected(from, to) {
			unexpected++
		}
	}
	return float64(moved) / movedObjectsSample, unexpected
}

// Weighted rendezvous hashing must move few objects. Removing one of n pools moves the 1/n of the objects
// that were in it. A change of a pool's weight moves only the objects that the pool gains or loses.
func TestAChangeOfPoolsMovesFewObjects(t *testing.T) {
	for _, n := range []int{3, 10, 50} {
		all := weightedPools(t, n, 1)
		removed := fmt.Sprint("p", n-1)
		lost, unexpectedLost := countMoved(all, weightedPools(t, n-1, 1), func(from, _ string) bool { return from == removed })
		gained, unexpectedGained := countMoved(all, weightedPools(t, n, 2), func(_, to string) bool { return to == "p0" })
		wantGained := 2/float64(n+1) - 1/float64(n)
		t.Logf("one of %d pools removed: %.4f of the objects move, expected 1/n = %.4f; one weight doubled: %.4f move, expected %.4f", n, lost, 1/float64(n), gained, wantGained)
		if unexpectedLost > 0 || unexpectedGained > 0 || math.Abs(lost*float64(n)-1) > 0.15 || math.Abs(gained-wantGained) > 0.15/float64(n) {
			t.Errorf("shares out of bounds or unexpected moves: %d objects between pools that stay, %d to other pools than the heavier", unexpectedLost, unexpectedGained)
		}
	}
}

func TestPlan(t *testing.T) {
	before := compileView(t, config.RouteConfig{Pools: testPools, Routes: []config.Route{{Name: "rest", Targets: targets("a")}}})
	after := compileView(t, config.RouteConfig{Pools: testPools, Routes: []config.Route{{Name: "rest", Targets: targets("a")}, {Name: "videos", Object: "v*", Targets: targets("b")}}})
	impact := before.Plan(after, []LoadSample{{0, 0, "v1", 100}, {0, 0, "v1", 100}, {0, 0, "x", 50}, {0, 0, "v2", 10}})
	if impact.Lookups != 4 || impact.Objects != 3 || impact.MovedObjects != 2 || impact.Bytes != 160 || impact.MovedBytes != 110 || impact.ColdObjects != 2 ||
		impact.MovedByPool["b"] != 2 {
		t.Errorf("wrong impact: %+v", impact)
	}
}

func manyRoutes(n int) config.RouteConfig {
	c := config.RouteConfig{Pools: testPools}
	for i := range n {
		c.Routes = append(c.Routes, config.Route{Name: fmt.Sprint(i), Object: fmt.Sprintf("aisle-%04d/%d*", i, i%7), Targets: targets("a")})
	}
	return c
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{10, 1000, 5000} {
		v := compileView(b, manyRoutes(n))
		random := rand.New(rand.NewPCG(1, 2))
		var objects []string
		for range 1024 {
			i := random.IntN(n)
			objects = append(objects, fmt.Sprintf("aisle-%04d/%d-picture", i, i%7))
		}
		b.Run(fmt.Sprint("tree/", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				if v.Route(0, 0, objects[i&1023]).Scope == nil {
					b.Fatal("no route")
				}
			}
		})
		b.Run(fmt.Sprint("scan/", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				if v.table.scanRoutes(0, 0, objects[i&1023], Hash(objects[i&1023])) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}

// BenchmarkView measures the cost of a new cache list with 5,000 routes, 1,000 pools and 2,000 caches.
func BenchmarkView(b *testing.B) {
	c := manyRoutes(5000)
	var caches []Cache
	c.Pools = map[string]config.Pool{}
	for i := range 1000 {
		c.Pools[fmt.Sprint("p", i)] = config.Pool{Locations: []string{fmt.Sprint("l", i%50)}, Labels: []string{fmt.Sprint("x", i%3)}}
	}
	for i := range c.Routes {
		c.Routes[i].Targets = targets(fmt.Sprint("p", i%1000))
	}
	for i := range 2000 {
		caches = append(caches, Cache{Name: fmt.Sprint("c", i), Location: fmt.Sprint("l", i%50), Labels: []string{fmt.Sprint("x", i%3)}})
	}
	table, problems := Compile(c, kinds)
	if table == nil {
		b.Fatal(problems)
	}
	for b.Loop() {
		table.View(1, caches)
	}
}
