package pools

import (
	"encoding/json"
	"fmt"
	"foldslip/internal/config"
	"testing"

	"foldslip/internal/lab/cost"
)

var costs = cost.NewProbes("./internal/route/pools")

// TestCostTable measures the heap of a table and the processor time of compiling it, which every change does.
func TestCostTable(t *testing.T) {
	sizes := []int{10, 100, 1000, 5000}
	table := func(n int) *Table {
		made, problems := Compile(manyRoutes(n), kinds)
		if made == nil {
			t.Fatal(problems)
		}
		return made
	}
	costs.Measure(t, cost.Figure{Name: "routes-heap", Title: "route/pools: heap of a table", XLabel: "routes", YLabel: "bytes", Budget: 4 << 20, BudgetOf: "a table, 4 MB of 128", PlanSize: 1000}, sizes,
		func(n int) float64 { return cost.HeapBytes(func() any { return table(n) }) })
	costs.Measure(t, cost.Figure{Name: "routes-compile", Title: "route/pools: processor time of compiling a table", XLabel: "routes", YLabel: "us of a core", Budget: 12400,
		BudgetOf: "a change, 0.2% of a core at one in 6.2 s", PlanSize: 1000}, sizes, func(n int) float64 { return costs.MicrosPerCall(func(int) { table(n) }) })
}

// TestCostView measures the processor time of a View for a new list of caches, with 1,000 routes and 100 pools.
func TestCostView(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "routes-see", Title: "route/pools: processor time of a view for a new list, 100 pools", XLabel: "caches in the list", YLabel: "us of a core", Budget: 2000,
		BudgetOf: "a change, 0.2% of a core at one a second", PlanSize: 1800}, []int{225, 450, 900, 1800, 3600}, func(n int) float64 {
		c := manyRoutes(1000)
		c.Pools = map[string]config.Pool{}
		for i := range 100 {
			c.Pools[fmt.Sprint("p", i)] = config.Pool{Locations: []string{fmt.Sprint("l", i%25)}, Labels: []string{fmt.Sprint("x", i%3)}}
		}
		for i := range c.Routes {
			c.Routes[i].Targets = targets(fmt.Sprint("p", i%100))
		}
		var caches []Cache
		for i := range n {
			caches = append(caches, Cache{Name: fmt.Sprint("c", i), Location: fmt.Sprint("l", i%25), Labels: []string{fmt.Sprint("x", i%3)}})
		}
		table, problems := Compile(c, kinds)
		if table == nil {
			t.Fatal(problems)
		}
		return costs.MicrosPerCall(func(int) { table.View(1, caches) })
	})
}

// TestCostConfigText measures the size of a configuration as JSON, which is the cost of sending a change in full.
func TestCostConfigText(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "routes-text", Title: "route/pools: bytes of a configuration as JSON", XLabel: "routes", YLabel: "bytes", Budget: 6200,
		BudgetOf: "a change, 1 KB/s at one in 6.2 s", PlanSize: 1000}, []int{10, 100, 1000, 5000}, func(n int) float64 {
		text, err := json.Marshal(manyRoutes(n))
		if err != nil {
			t.Fatal(err)
		}
		return float64(len(text))
	})
}
