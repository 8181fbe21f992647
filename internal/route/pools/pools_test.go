package pools

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var kinds = []string{"segment", "page"}

func groupNumber(n int64) *int64 { return &n }

func targets(pools ...string) (to []Target) {
	for _, p := range pools {
		to = append(to, Target{Pool: p})
	}
	return to
}

var testPools = map[string]Pool{"a": {Locations: []string{"town"}}, "b": {Names: []string{"c9"}}, "old": {Locations: []string{"town"}, Labels: []string{"big"}, ExcludedNames: []string{"c1"}}}

var testCaches = []Cache{{Name: "c1", Location: "town", Labels: []string{"big"}}, {Name: "c2", Location: "town", Labels: []string{"big", "new"}}, {Name: "c3", Location: "town"},
	{Name: "c9", Location: "hill"}, {Name: "p1", Location: "hub", IsSource: true}}

func compileView(t testing.TB, c Config) *View {
	t.Helper()
	table, faults := Compile(c, kinds)
	if table == nil {
		t.Fatal(faults)
	}
	return table.View(7, testCaches)
}

func TestRoutes(t *testing.T) {
	v := compileView(t, Config{Pools: testPools, Tenants: map[string]Limits{"kiosks": {MaxOpen: 5}}, Routes: []Route{
		{Name: "rest", Targets: targets("a"), Tenant: "kiosks"},
		{Name: "videos", Object: "video-*", Targets: targets("old"), MaxAgeMS: 500},
		{Name: "pages-of-videos", Kind: "page", Object: "video-*", Targets: targets("b")},
		{Name: "one-video", Object: "video-7", Targets: targets("a")},
		{Name: "a-group", Group: groupNumber(4), Targets: targets("b")},
	}})
	for _, story := range []struct {
		kind, group   int
		object, route string
		caches        string
	}{{0, 0, "x", "rest", "c1 c2 c3"}, {0, 0, "video-1", "videos", "c2"}, {1, 0, "video-1", "pages-of-videos", "c9"}, {1, 0, "video-7", "one-video", "c1 c2 c3"},
		{0, 0, "video-77", "videos", "c2"}, {0, 4, "x", "a-group", "c9"}, {0, 4, "video-1", "videos", "c2"}, {0, 0, "video", "rest", "c1 c2 c3"}} {
		d := v.Route(story.kind, story.group, story.object)
		if d.Route != story.route || strings.Join(sortedKeys(d.Scope.Caches), " ") != story.caches {
			t.Errorf("%+v: %s, %v", story, d.Route, d.Scope.Caches)
		}
	}
	if d := v.Route(0, 0, "video-1"); d.MaxAgeMS != 500 || d.Tenant != "" {
		t.Errorf("%+v", d)
	}
	if d := compileView(t, Config{Pools: testPools, Routes: []Route{{Name: "v", Object: "v*", Targets: targets("a")}}}).Route(0, 0, "x"); d.Scope != nil || d.Route != "" {
		t.Errorf("no route leads there, but %+v", d)
	}
}

func TestCompileReportsProblems(t *testing.T) {
	good := func() Config {
		return Config{Pools: map[string]Pool{"a": {Locations: []string{"town"}}}, Routes: []Route{{Name: "r", Targets: targets("a")}}}
	}
	for _, story := range []struct {
		name, path, text string
		change           func(c *Config)
	}{
		{"a pool that nobody knows", "routes[0].to[0]", "no pool", func(c *Config) { c.Routes[0].Targets = targets("x") }},
		{"a route without a pool", "routes[0].to", "nowhere", func(c *Config) { c.Routes[0].Targets = nil }},
		{"a kind that is none", "routes[0].kind", "no object kind", func(c *Config) { c.Routes[0].Kind = "film" }},
		{"a star amid a pattern", "routes[0].object", "a*b", func(c *Config) { c.Routes[0].Object = "a*b" }},
		{"two routes of one name", "routes[1].name", "routes[0]", func(c *Config) { c.Routes = append(c.Routes, c.Routes[0]) }},
		{"shares past all", "routes[1].share", "1.2", func(c *Config) {
			c.Routes[0].Share = 0.6
			c.Routes = append(c.Routes, Route{Name: "s", Share: 0.6, Targets: targets("a")})
		}},
		{"a pool that is nothing", "pools.z", "of no cache", func(c *Config) { c.Pools["z"] = Pool{} }},
		{"a cache in and out", "pools.z.without", "names too", func(c *Config) { c.Pools["z"] = Pool{Names: []string{"c"}, ExcludedNames: []string{"c"}} }},
		{"a tenant that is none", "routes[0].tenant", "no tenant", func(c *Config) { c.Routes[0].Tenant = "x" }},
		{"an adaptive limit without a ceiling", "pools.a.limits.adaptive", "open", func(c *Config) {
			c.Pools["a"] = Pool{Locations: []string{"town"}, Limits: &Limits{Adaptive: true}}
		}},
	} {
		t.Run(story.name, func(t *testing.T) {
			c := good()
			story.change(&c)
			table, faults := Compile(c, kinds)
			if table != nil || len(faults) == 0 || faults[0].Path != story.path || !strings.Contains(faults[0].Text, story.text) || faults[0].Remedy == "" {
				t.Errorf("%+v", faults)
			}
		})
	}
	t.Run("a route that is never reached is a remark", func(t *testing.T) {
		c := good()
		c.Routes = append(c.Routes, Route{Name: "s", Targets: targets("a")})
		if table, faults := Compile(c, kinds); table == nil || len(faults) != 1 || faults[0].IsError || !strings.Contains(faults[0].Text, "never reached") {
			t.Errorf("%+v", faults)
		}
	})
}

func TestCheckAgainstTheList(t *testing.T) {
	check := func(p Pool, caches []Cache) []Problem {
		table, faults := Compile(Config{Pools: map[string]Pool{"a": p}, Routes: []Route{{Name: "r", Targets: targets("a")}}}, kinds)
		if table == nil {
			t.Fatal(faults)
		}
		return table.Check(caches)
	}
	draining := []Cache{{Name: "c1", Location: "town", IsDraining: true}, {Name: "c2", Location: "town"}, {Name: "p1", IsSource: true}}
	for _, story := range []struct {
		name, text string
		error      bool
		p          Pool
		caches     []Cache
	}{
		{"a cache that drains is named", "c1 drains", true, Pool{Names: []string{"c1"}}, draining},
		{"a cache that is not listed is named", "c7 is not in the list", true, Pool{Names: []string{"c7"}}, draining},
		{"an empty pool", "no cache", true, Pool{Locations: []string{"hill"}}, draining},
		{"all drain", "all its caches drain", true, Pool{Locations: []string{"town"}}, draining[:1]},
		{"some drain", "1 of its 2", false, Pool{Locations: []string{"town"}}, draining},
		{"a parent as a cache", "another kind", true, Pool{Names: []string{"p1"}}, draining},
	} {
		t.Run(story.name, func(t *testing.T) {
			faults := check(story.p, story.caches)
			if len(faults) == 0 || !strings.Contains(faults[0].Text, story.text) || faults[0].IsError != story.error {
				t.Errorf("%+v", faults)
			}
		})
	}
	if faults := check(Pool{Locations: []string{"town"}}, draining[1:]); len(faults) != 0 {
		t.Errorf("%+v", faults)
	}
}

// scanRoutes finds a route by trying each: what the tree is held against.
func (t *Table) scanRoutes(kind, group int, object string, hash uint64) (best *route) {
	rank := func(r *route) [4]int {
		pattern, star := strings.CutSuffix(r.Object, "*")
		depth, told, share := 2*len(pattern), 0, 0
		if !star && r.Object != "" {
			depth++
		}
		if r.kind >= 0 {
			told += 2
		}
		if r.group >= 0 {
			told++
		}
		if r.Share > 0 && r.Share < 1 {
			share = 1
		}
		return [4]int{depth, told, share, -r.index}
	}
	for _, r := range t.routes {
		pattern, star := strings.CutSuffix(r.Object, "*")
		fits := r.Object == "" || star && strings.HasPrefix(object, pattern) || object == r.Object
		p := fraction(hash)
		if !fits || r.kind >= 0 && r.kind != kind || r.group >= 0 && r.group != group || p < r.hashFrom || p >= r.hashTo {
			continue
		}
		if best == nil {
			best = r
			continue
		}
		a, b := rank(r), rank(best)
		for i := range a {
			if a[i] != b[i] {
				if a[i] > b[i] {
					best = r
				}
				break
			}
		}
	}
	return best
}

func TestTheTreeFindsWhatAScanFinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.StringMatching(`[ab]{0,4}`)
		var c Config
		c.Pools = testPools
		for i := range rapid.IntRange(1, 30).Draw(t, "routes") {
			r := Route{Name: fmt.Sprint(i), Kind: rapid.SampledFrom([]string{"", "segment", "page"}).Draw(t, "kind"), Targets: targets("a")}
			if rapid.Bool().Draw(t, "grouped") {
				r.Group = groupNumber(rapid.Int64Range(0, 2).Draw(t, "group"))
			}
			if r.Object = word.Draw(t, "pattern"); rapid.Bool().Draw(t, "star") {
				r.Object += "*"
			}
			if rapid.IntRange(0, 3).Draw(t, "shared") == 0 {
				r.Share = 0.05
			}
			c.Routes = append(c.Routes, r)
		}
		table, faults := Compile(c, kinds)
		if table == nil {
			t.Skip(faults)
		}
		for range 30 {
			kind, g, object := rapid.IntRange(0, 1).Draw(t, "kind"), rapid.IntRange(0, 3).Draw(t, "group"), rapid.StringMatching(`[abc]{0,6}`).Draw(t, "object")
			hash := rapid.Uint64().Draw(t, "hash")
			if a, b := table.find(kind, g, object, hash), table.scanRoutes(kind, g, object, hash); a != b {
				t.Fatalf("%d %d %q: %v in the tree, %v by trying each", kind, g, object, a, b)
			}
		}
	})
}

// A pool of n that comes or goes moves 1/n of the objects; a pool whose weight changes moves what it gains or loses.
func TestAChangeOfPoolsMovesFewObjects(t *testing.T) {
	for _, n := range []int{3, 10, 50} {
		build := func(n int, heavy float64) *View {
			c := Config{Pools: map[string]Pool{}, Routes: []Route{{Name: "r"}}}
			for i := range n {
				name := fmt.Sprint("p", i)
				c.Pools[name] = Pool{Names: []string{fmt.Sprint("c", i)}}
				w := 1.0
				if i == 0 {
					w = heavy
				}
				c.Routes[0].Targets = append(c.Routes[0].Targets, Target{name, w})
			}
			return compileView(t, c)
		}
		full, fewer, heavy := build(n, 1), build(n-1, 1), build(n, 2)
		moved, strangers, gained, others := 0, 0, 0, 0
		const objects = 20000
		for i := range objects {
			o := fmt.Sprint("o", i)
			was := full.Route(0, 0, o).Scope.Pool
			if is := fewer.Route(0, 0, o).Scope.Pool; is != was {
				if moved++; was != fmt.Sprint("p", n-1) {
					strangers++
				}
			}
			if is := heavy.Route(0, 0, o).Scope.Pool; is != was {
				if gained++; is != "p0" {
					others++
				}
			}
		}
		part, gain := float64(moved)/objects, float64(gained)/objects
		want := 2/float64(n+1) - 1/float64(n)
		t.Logf("a pool of %d gone: %.4f of the objects move, 1/n is %.4f; a weight doubled: %.4f, least is %.4f", n, part, 1/float64(n), gain, want)
		if strangers > 0 || others > 0 || math.Abs(part*float64(n)-1) > 0.15 || math.Abs(gain-want) > 0.15/float64(n) {
			t.Errorf("%d moved between pools that stay, %d to others than the heavier", strangers, others)
		}
	}
}

func TestPlan(t *testing.T) {
	before := compileView(t, Config{Pools: testPools, Routes: []Route{{Name: "rest", Targets: targets("a")}}})
	after := compileView(t, Config{Pools: testPools, Routes: []Route{{Name: "rest", Targets: targets("a")}, {Name: "videos", Object: "v*", Targets: targets("b")}}})
	m := before.Plan(after, []LoadSample{{0, 0, "v1", 100}, {0, 0, "v1", 100}, {0, 0, "x", 50}, {0, 0, "v2", 10}})
	if m.Lookups != 4 || m.Objects != 3 || m.MovedObjects != 2 || m.Bytes != 160 || m.MovedBytes != 110 || m.ColdObjects != 2 || m.MovedByPool["b"] != 2 {
		t.Errorf("%+v", m)
	}
}

func manyRoutes(n int) Config {
	c := Config{Pools: testPools}
	for i := range n {
		c.Routes = append(c.Routes, Route{Name: fmt.Sprint(i), Object: fmt.Sprintf("aisle-%04d/%d*", i, i%7), Targets: targets("a")})
	}
	return c
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{10, 1000, 5000} {
		v := compileView(b, manyRoutes(n))
		r := rand.New(rand.NewPCG(1, 2))
		var objects []string
		for range 1024 {
			i := r.IntN(n)
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

func BenchmarkView(b *testing.B) { // 5,000 routes, 1,000 pools and 2,000 caches: what a change of the list costs
	c, caches := manyRoutes(5000), []Cache(nil)
	c.Pools = map[string]Pool{}
	for i := range 1000 {
		c.Pools[fmt.Sprint("p", i)] = Pool{Locations: []string{fmt.Sprint("l", i%50)}, Labels: []string{fmt.Sprint("x", i%3)}}
	}
	for i := range c.Routes {
		c.Routes[i].Targets = targets(fmt.Sprint("p", i%1000))
	}
	for i := range 2000 {
		caches = append(caches, Cache{Name: fmt.Sprint("c", i), Location: fmt.Sprint("l", i%50), Labels: []string{fmt.Sprint("x", i%3)}})
	}
	table, faults := Compile(c, kinds)
	if table == nil {
		b.Fatal(faults)
	}
	for b.Loop() {
		table.View(1, caches)
	}
}
