package pools

import (
	"encoding/json"
	"fmt"
	"testing"

	"foldslip/internal/lab/cost"
)

var costs = cost.Flags("./route/pools")

// The table of routes: its heap, and what compiling it takes, as each change does.
func TestCostTable(t *testing.T) {
	sizes := []int{10, 100, 1000, 5000}
	table := func(n int) *Table {
		made, faults := Compile(manyRoutes(n), kinds)
		if made == nil {
			t.Fatal(faults)
		}
		return made
	}
	costs.Take(t, cost.Figure{Name: "routes-heap", Title: "route/pools: heap of a table", X: "routes", Y: "bytes", Budget: 4 << 20, Of: "a table, 4 MB of 128", At: 1000}, sizes,
		func(n int) float64 { return cost.Heap(func() any { return table(n) }) })
	costs.Take(t, cost.Figure{Name: "routes-compile", Title: "route/pools: processor time of compiling a table", X: "routes", Y: "us of a core", Budget: 12400,
		Of: "a change, 0.2% of a core at one in 6.2 s", At: 1000}, sizes, func(n int) float64 { return costs.Micros(func(int) { table(n) }) })
}

// A new list of caches under a table of 1,000 routes and 100 pools.
func TestCostView(t *testing.T) {
	costs.Take(t, cost.Figure{Name: "routes-see", Title: "route/pools: processor time of a view for a new list, 100 pools", X: "caches in the list", Y: "us of a core", Budget: 2000,
		Of: "a change, 0.2% of a core at one a second", At: 1800}, []int{225, 450, 900, 1800, 3600}, func(n int) float64 {
		c := manyRoutes(1000)
		c.Pools = map[string]Pool{}
		for i := range 100 {
			c.Pools[fmt.Sprint("p", i)] = Pool{Locations: []string{fmt.Sprint("l", i%25)}, Labels: []string{fmt.Sprint("x", i%3)}}
		}
		for i := range c.Routes {
			c.Routes[i].Targets = targets(fmt.Sprint("p", i%100))
		}
		var caches []Cache
		for i := range n {
			caches = append(caches, Cache{Name: fmt.Sprint("c", i), Location: fmt.Sprint("l", i%25), Labels: []string{fmt.Sprint("x", i%3)}})
		}
		table, faults := Compile(c, kinds)
		if table == nil {
			t.Fatal(faults)
		}
		return costs.Micros(func(int) { table.View(1, caches) })
	})
}

// Bytes of a configuration as JSON: what a change is if the whole text is told.
func TestCostCompile(t *testing.T) {
	costs.Take(t, cost.Figure{Name: "routes-text", Title: "route/pools: bytes of a configuration as JSON", X: "routes", Y: "bytes", Budget: 6200,
		Of: "a change, 1 KB/s at one in 6.2 s", At: 1000}, []int{10, 100, 1000, 5000}, func(n int) float64 {
		text, err := json.Marshal(manyRoutes(n))
		if err != nil {
			t.Fatal(err)
		}
		return float64(len(text))
	})
}
