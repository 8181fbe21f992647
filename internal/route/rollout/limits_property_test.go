package rollout

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"foldslip/internal/config"
	"foldslip/internal/limit"
)

// drawLimits draws the limits of a pool, a route or a tenant. It returns nil for no limits.
func drawLimits(t *rapid.T, name string) *config.Limits {
	if rapid.Bool().Draw(t, name+" has no limits") {
		return nil
	}
	maxOpen := rapid.Int64Range(0, 4).Draw(t, name+" open")
	return &config.Limits{
		MaxOpen:    maxOpen,
		Adaptive:   maxOpen > 0 && rapid.Bool().Draw(t, name+" adaptive"),
		RetryRatio: rapid.SampledFrom([]float64{-1, 0, 0.5}).Draw(t, name+" retries"),
	}
}

// drawRoutes returns routes with one pool, one route and at most one tenant, and draws their limits.
func drawRoutes(t *rapid.T) config.RouteConfig {
	routes := routesTo("town")
	routes.Pools["main"] = config.Pool{Locations: []string{"town"}, Limits: drawLimits(t, "pool")}
	routes.Routes[0].Limits = drawLimits(t, "route")
	if limits := drawLimits(t, "tenant"); limits != nil {
		routes.Routes[0].Tenant = "kiosks"
		routes.Tenants = map[string]config.Limits{"kiosks": *limits}
	}
	return routes
}

// changeRoutes proposes and applies drawn routes, and then rolls
// them back or confirms them. It returns the confirmed version.
func changeRoutes(t *rapid.T, c *Controller, head uint64) (newHead uint64) {
	step, err := c.Propose(head, drawRoutes(t), "ada", "limits")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Apply(step.Version, time.Minute); err != nil {
		t.Fatal(err)
	}
	if rapid.Bool().Draw(t, "is rolled back") {
		if _, err := c.RollBack(step.Version, "no"); err != nil {
			t.Fatal(err)
		}
		return head
	}
	if _, err := c.Confirm(step.Version); err != nil {
		t.Fatal(err)
	}
	return step.Version
}

// checkOpenCounts checks that the number of open lookups of every active limit equals
// the number of held tickets that were admitted under it, and so is never below zero.
func checkOpenCounts(t *rapid.T, c *Controller, held []*Ticket) {
	for _, name := range []string{"tenant kiosks", "route all", "pool main"} {
		l := c.limits.Find(name)
		if l == nil {
			continue
		}
		permits := 0
		for _, ticket := range held {
			for _, under := range ticket.limits {
				if under == l {
					permits++
				}
			}
		}
		if l.Open() != permits {
			t.Fatalf("%s: %d open lookups, want the %d held tickets", name, l.Open(), permits)
		}
	}
}

// TestTicketsAreCountedUnderAnyChanges guards against a panic and against a count of open lookups below zero. Both can
// occur when the limits of a pool, a route or a tenant change and change back while lookups are open.
func TestTicketsAreCountedUnderAnyChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		testEnv := newTestEnv()
		c, err := Open(testEnv, nil, drawRoutes(t), kinds)
		if err != nil {
			t.Fatal(err)
		}
		c.UpdateEndpoints(testEndpoints)
		head := uint64(1)
		var held []*Ticket
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			testEnv.now = testEnv.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				if ticket, reason, _ := c.Admit(0, 0, "o", 10); reason == limit.Allowed {
					held = append(held, ticket)
				}
			case 2:
				if len(held) > 0 {
					held[0].End(true, false, false)
					held = held[1:]
				}
			case 3:
				head = changeRoutes(t, c, head)
			}
			checkOpenCounts(t, c, held)
		}
		for _, ticket := range held {
			ticket.End(true, false, false)
		}
		checkOpenCounts(t, c, nil)
	})
}
