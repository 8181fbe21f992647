package rollout

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"foldslip/internal/config"
	"foldslip/internal/config/change"
	"foldslip/internal/env"
	"foldslip/internal/lab/simenv"
	"foldslip/internal/limit"
	"foldslip/internal/store/endpoints"
)

var kinds = []string{"segment", "page"}

// testEnv is the system environment with a clock that the test sets.
type testEnv struct {
	env.Environment
	now time.Time
}

func (e *testEnv) Now() time.Time { return e.now }

func newTestEnv() *testEnv {
	return &testEnv{env.NewSystem(io.Discard, slog.LevelInfo), time.Unix(9000, 0)}
}

var testEndpoints = endpoints.Update{Complete: true, Endpoints: []endpoints.Endpoint{{ID: "c1", Zone: "town", MachineType: "edge"}, {ID: "c2", Zone: "town", MachineType: "edge"},
	{ID: "c3", Zone: "hill", MachineType: "edge"}, {ID: "p1", Zone: "hub", MachineType: "parent"}}}

// These keys of routedLookups name a version and its caches. Version 1 has the routes to town, version 2 those to hill.
const (
	firstTown  = "1 c1+c2"
	secondHill = "2 c3"
)

func routesTo(location string) config.RouteConfig {
	return config.RouteConfig{Pools: map[string]config.Pool{"main": {Locations: []string{location}}}, Routes: []config.Route{{Name: "all", Targets: []config.Target{{Pool: "main"}}}}}
}

func openController(t *testing.T, e env.Environment, directory env.Directory, first config.RouteConfig) *Controller {
	t.Helper()
	c, err := Open(e, directory, first, kinds)
	if err != nil {
		t.Fatal(err)
	}
	c.UpdateEndpoints(testEndpoints)
	return c
}

const routedCount = 1000

// routedLookups admits routedCount lookups of different objects and
// counts them by their version and the caches that they may be sent to.
func routedLookups(t *testing.T, c *Controller) map[string]int {
	t.Helper()
	routed := map[string]int{}
	for i := range routedCount {
		ticket, reason, _ := c.Admit(0, 0, fmt.Sprint("o", i), 10)
		if reason != limit.Allowed {
			t.Fatal(reason)
		}
		names := slices.Sorted(maps.Keys(ticket.Scope().Caches))
		routed[fmt.Sprint(ticket.Version, " ", strings.Join(names, "+"))]++
		ticket.End(true, false, false)
	}
	return routed
}

// requireRouted checks that all lookups are decided under one version and may be sent to the same caches.
func requireRouted(t *testing.T, c *Controller, want string) {
	t.Helper()
	if got := routedLookups(t, c); got[want] != routedCount {
		t.Fatalf("lookups by version and caches: %v, want all at %s", got, want)
	}
}

// requireStep returns a function that checks that a call returned no error, and returns the call's step.
func requireStep(t *testing.T) func(change.Step, error) change.Step {
	return func(step change.Step, err error) change.Step {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return step
	}
}

func TestAChangeIsStagedAppliedAndRolledBack(t *testing.T) {
	c := openController(t, newTestEnv(), nil, routesTo("town"))
	if step := requireStep(t)(c.Propose(1, routesTo("hill"), "ada", "sale")); step.Stage != change.Checked {
		t.Fatal(step)
	}
	requireRouted(t, c, firstTown)
	requireStep(t)(c.Stage(2, 0.2, time.Minute))
	if got := routedLookups(t, c); got[firstTown]+got[secondHill] != routedCount || got[secondHill] < 150 || got[secondHill] > 250 {
		t.Fatal(got)
	}
	requireStep(t)(c.Apply(2, time.Minute))
	requireRouted(t, c, secondHill)
	requireStep(t)(c.RollBack(2, "no"))
	requireRouted(t, c, firstTown)
}

// A change is rolled back if it names a cache that begins to drain between check and apply, or one that is draining.
func TestAChangeThatNamesADrainingCache(t *testing.T) {
	c := openController(t, newTestEnv(), nil, routesTo("town"))
	named := routesTo("town")
	named.Pools["main"] = config.Pool{Names: []string{"c3"}}
	requireStep(t)(c.Propose(1, named, "ada", "sale"))
	c.UpdateEndpoints(endpoints.Update{Endpoints: []endpoints.Endpoint{{ID: "c3", Zone: "hill", MachineType: "edge", Phase: endpoints.Draining}}})
	if step := requireStep(t)(c.Apply(2, time.Minute)); step.Stage != change.RolledBack || !strings.Contains(step.Reason, "c3 is draining") {
		t.Fatal(step)
	}
	if step := requireStep(t)(c.Propose(1, named, "ada", "sale")); step.Stage != change.RolledBack {
		t.Fatal(step)
	}
	requireRouted(t, c, firstTown)
}

func TestTheListChangesWhileAChangeIsStaged(t *testing.T) {
	c := openController(t, newTestEnv(), nil, routesTo("town"))
	requireStep(t)(c.Propose(1, routesTo("hill"), "ada", "sale"))
	requireStep(t)(c.Stage(2, 0.2, time.Minute))
	c.UpdateEndpoints(endpoints.Update{Endpoints: []endpoints.Endpoint{{ID: "c4", Zone: "hill", MachineType: "edge"}, {ID: "c1", Phase: endpoints.Removed}}})
	if got := routedLookups(t, c); got["1 c2"]+got["2 c3+c4"] != routedCount {
		t.Fatal(got)
	}
}

func TestAnUnconfirmedChangeIsRolledBackInTime(t *testing.T) {
	e := newTestEnv()
	c := openController(t, e, nil, routesTo("town"))
	requireStep(t)(c.Propose(1, routesTo("hill"), "ada", "sale"))
	requireStep(t)(c.Apply(2, time.Second))
	e.now = e.now.Add(999 * time.Millisecond)
	c.Tick()
	requireRouted(t, c, secondHill)
	e.now = e.now.Add(time.Millisecond)
	c.Tick()
	requireRouted(t, c, firstTown)
}

// The guard must roll a bad change back, whether staged or applied, and must not roll a good change back.
func TestTheGuardRollsBadChangesBack(t *testing.T) {
	for _, isBad := range []bool{true, false} {
		for _, isStaged := range []bool{true, false} {
			t.Run(fmt.Sprintf("bad %t, staged %t", isBad, isStaged), func(t *testing.T) {
				e := newTestEnv()
				c := openController(t, e, nil, routesTo("town"))
				random := rand.New(rand.NewPCG(1, 2))
				load := func(lookups int) {
					for i := range lookups {
						ticket, _, _ := c.Admit(0, 0, fmt.Sprint("o", random.IntN(500)), 10)
						isSatisfied := random.IntN(100) < 97 && !(isBad && ticket.Version == 2 && random.IntN(3) == 0)
						ticket.End(isSatisfied, !isSatisfied, false)
						if i%100 == 0 {
							e.now = e.now.Add(100 * time.Millisecond)
							c.Tick()
						}
					}
				}
				load(2000)
				requireStep(t)(c.Propose(1, routesTo("hill"), "ada", "sale"))
				if isStaged {
					requireStep(t)(c.Stage(2, 0.2, time.Hour))
				} else {
					requireStep(t)(c.Apply(2, time.Hour))
				}
				load(4000)
				if got := routedLookups(t, c); (got[firstTown] == routedCount) != isBad {
					t.Error(got)
				}
			})
		}
	}
}

func TestAChangeWhoseLimitsRejectMostIsRolledBack(t *testing.T) {
	e := newTestEnv()
	c := openController(t, e, nil, routesTo("town"))
	load := func() {
		for i := range 3000 {
			if ticket, reason, _ := c.Admit(0, 0, fmt.Sprint("o", i), 10); reason == limit.Allowed {
				ticket.End(true, false, false)
			}
			if i%100 == 0 {
				e.now = e.now.Add(100 * time.Millisecond)
				c.Tick()
			}
		}
	}
	load()
	tight := routesTo("town")
	tight.Routes[0].Limits = &config.Limits{LookupsPerSecond: 10}
	requireStep(t)(c.Propose(1, tight, "ada", "sale"))
	requireStep(t)(c.Apply(2, time.Hour))
	load()
	requireRouted(t, c, firstTown)
}

// The permits of admitted lookups are released at their end, a rejection says
// when to retry, and a change of the configuration does not release permits.
func TestLimits(t *testing.T) {
	routes := routesTo("town")
	routes.Tenants = map[string]config.Limits{"kiosks": {LookupsPerSecond: 20}}
	routes.Routes[0].Tenant = "kiosks"
	routes.Pools["main"] = config.Pool{Locations: []string{"town"}, Limits: &config.Limits{MaxOpen: 4, RetryRatio: -1}}
	c := openController(t, newTestEnv(), nil, routes)
	var open []*Ticket
	for range 4 {
		ticket, reason, _ := c.Admit(0, 0, "o", 10)
		if reason != limit.Allowed {
			t.Fatal(reason)
		}
		open = append(open, ticket)
	}
	if _, reason, retryAfter := c.Admit(0, 0, "o", 10); reason != limit.OpenExceeded || retryAfter <= 0 {
		t.Fatal(reason, retryAfter)
	}
	if open[0].Scope().AllowRetry() {
		t.Error("a retry is allowed with a retry ratio of -1, which allows none")
	}
	routes.Routes[0].MaxAgeMS = 100
	requireStep(t)(c.Propose(1, routes, "ada", "ages"))
	requireStep(t)(c.Apply(2, time.Minute))
	if _, reason, _ := c.Admit(0, 0, "o", 10); reason != limit.OpenExceeded {
		t.Fatal("a change of the configuration released open lookups")
	}
	for _, ticket := range open {
		ticket.End(true, false, false)
	}
	admitted := 0
	for {
		if _, reason, _ := c.Admit(0, 0, "o", 10); reason != limit.Allowed {
			break
		}
		admitted++
	}
	if admitted > 4 {
		t.Errorf("%d lookups admitted, want at most 4", admitted)
	}
}

// changeUntilFailure proposes, applies and confirms or rolls back routes to hill and town in turn until a step fails.
// It returns the location that was confirmed last and, if a confirmation failed, the location that it was to confirm.
func changeUntilFailure(c *Controller, random *rand.Rand) (confirmed, confirming string) {
	confirmed = "town"
	head := uint64(1)
	for n := range 6 {
		location := []string{"hill", "town"}[n%2]
		step, err := c.Propose(head, routesTo(location), "ada", "sale")
		if err != nil {
			return confirmed, ""
		}
		if random.IntN(2) == 0 {
			if _, err := c.Stage(step.Version, 0.3, time.Minute); err != nil {
				return confirmed, ""
			}
		}
		if _, err := c.Apply(step.Version, time.Minute); err != nil {
			return confirmed, ""
		}
		if random.IntN(4) == 0 {
			if _, err := c.RollBack(step.Version, "no"); err != nil {
				return confirmed, ""
			}
			continue
		}
		if _, err := c.Confirm(step.Version); err != nil {
			return confirmed, location
		}
		confirmed = location
		head = step.Version
	}
	return confirmed, ""
}

// A process is killed at any write of any step. After its restart the routes of the last stored confirmation
// are active, completely and for all objects. The confirmation that was in progress may or may not be stored.
func TestAProcessKilledAtAnyStep(t *testing.T) {
	caches := map[string]string{"town": "c1+c2", "hill": "c3"}
	stored := 0
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 9))
		directory := simenv.NewDirectory()
		c := openController(t, newTestEnv(), directory, routesTo("town"))
		directory.OpsLeft = random.IntN(60)
		confirmed, confirming := changeUntilFailure(c, random)
		directory.Crash(random)
		restarted, err := Open(newTestEnv(), directory, routesTo("nowhere"), kinds)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		restarted.UpdateEndpoints(testEndpoints)
		got := routedLookups(t, restarted)
		for key := range got {
			_, names, _ := strings.Cut(key, " ")
			if len(got) != 1 || names != caches[confirmed] && names != caches[confirming] {
				t.Fatalf("seed %d: lookups %v, want all by the routes to %s, or to %q if their confirmation was stored", seed, got, confirmed, confirming)
			}
			if names != caches[confirmed] {
				stored++
			}
		}
		restarted.Close()
	}
	t.Logf("500 kills; the confirmation in progress was stored in %d of them", stored)
}
