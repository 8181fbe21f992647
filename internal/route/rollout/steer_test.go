package rollout

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"foldslip/internal/config/change"
	"foldslip/internal/env"
	"foldslip/internal/lab/simenv"
	"foldslip/internal/limit"
	"foldslip/internal/route/pools"
	"foldslip/internal/store/endpoints"
)

var kinds = []string{"segment", "page"}

// testEnv is the system's, with a clock that the test moves.
type testEnv struct {
	env.Environment
	now time.Time
}

func (g *testEnv) Now() time.Time { return g.now }

func newTestEnv() *testEnv {
	return &testEnv{env.NewSystem(io.Discard, slog.LevelInfo), time.Unix(9000, 0)}
}

var testEndpoints = endpoints.Update{Complete: true, Endpoints: []endpoints.Endpoint{{ID: "c1", Zone: "town", MachineType: "edge"}, {ID: "c2", Zone: "town", MachineType: "edge"},
	{ID: "c3", Zone: "hill", MachineType: "edge"}, {ID: "p1", Zone: "hub", MachineType: "parent"}}}

func routesTo(location string) pools.Config {
	return pools.Config{Pools: map[string]pools.Pool{"main": {Locations: []string{location}}}, Routes: []pools.Route{{Name: "all", Targets: []pools.Target{{Pool: "main"}}}}}
}

func openController(t *testing.T, g *testEnv, disk env.Directory, first pools.Config) *Controller {
	t.Helper()
	s, err := Open(g, disk, first, kinds)
	if err != nil {
		t.Fatal(err)
	}
	s.UpdateEndpoints(testEndpoints)
	return s
}

// routedLookups tells to which caches lookups of a hundred objects may go, by version.
func routedLookups(t *testing.T, s *Controller) map[string]int {
	t.Helper()
	all := map[string]int{}
	for i := range 1000 {
		p, why, _ := s.Admit(0, 0, fmt.Sprint("o", i), 10)
		if why != limit.Allowed {
			t.Fatal(why)
		}
		names := []string{}
		for n := range p.Scope().Caches {
			names = append(names, n)
		}
		slices.Sort(names)
		all[fmt.Sprint(p.Version, " ", strings.Join(names, "+"))]++
		p.End(true, false, false)
	}
	return all
}

func requireStep(t *testing.T) func(change.Step, error) change.Step {
	return func(s change.Step, err error) change.Step {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
}

func TestController(t *testing.T) {
	t.Run("a share of the objects first, then all, and back as it was", func(t *testing.T) {
		g := newTestEnv()
		s := openController(t, g, nil, routesTo("town"))
		step := requireStep(t)(s.Propose(1, routesTo("hill"), "ada", "sale"))
		if got := routedLookups(t, s); got["1 c1+c2"] != 1000 || step.Stage != change.Checked {
			t.Fatal(got, step)
		}
		requireStep(t)(s.Stage(2, 0.2, time.Minute))
		if got := routedLookups(t, s); got["1 c1+c2"]+got["2 c3"] != 1000 || got["2 c3"] < 150 || got["2 c3"] > 250 {
			t.Fatal(got)
		}
		requireStep(t)(s.Apply(2, time.Minute))
		if got := routedLookups(t, s); got["2 c3"] != 1000 {
			t.Fatal(got)
		}
		requireStep(t)(s.RollBack(2, "no"))
		if got := routedLookups(t, s); got["1 c1+c2"] != 1000 {
			t.Fatal(got)
		}
	})
	t.Run("a change that names a cache which drains, or begins to drain between check and apply", func(t *testing.T) {
		s := openController(t, newTestEnv(), nil, routesTo("town"))
		named := routesTo("town")
		named.Pools["main"] = pools.Pool{Names: []string{"c3"}}
		requireStep(t)(s.Propose(1, named, "ada", "sale"))
		s.UpdateEndpoints(endpoints.Update{Endpoints: []endpoints.Endpoint{{ID: "c3", Zone: "hill", MachineType: "edge", Phase: endpoints.Draining}}})
		if step := requireStep(t)(s.Apply(2, time.Minute)); step.Stage != change.RolledBack || !strings.Contains(step.Reason, "c3 drains") {
			t.Fatal(step)
		}
		if step := requireStep(t)(s.Propose(1, named, "ada", "sale")); step.Stage != change.RolledBack {
			t.Fatal(step)
		}
		if got := routedLookups(t, s); got["1 c1+c2"] != 1000 {
			t.Fatal(got)
		}
	})
	t.Run("the list changes the pool amid a stage", func(t *testing.T) {
		s := openController(t, newTestEnv(), nil, routesTo("town"))
		requireStep(t)(s.Propose(1, routesTo("hill"), "ada", "sale"))
		requireStep(t)(s.Stage(2, 0.2, time.Minute))
		s.UpdateEndpoints(endpoints.Update{Endpoints: []endpoints.Endpoint{{ID: "c4", Zone: "hill", MachineType: "edge"}, {ID: "c1", Phase: endpoints.Removed}}})
		if got := routedLookups(t, s); got["1 c2"]+got["2 c3+c4"] != 1000 {
			t.Fatal(got)
		}
	})
	t.Run("nobody confirms: undone in time, whatever the time of day says", func(t *testing.T) {
		g := newTestEnv()
		s := openController(t, g, nil, routesTo("town"))
		requireStep(t)(s.Propose(1, routesTo("hill"), "ada", "sale"))
		requireStep(t)(s.Apply(2, time.Second))
		g.now = g.now.Add(999 * time.Millisecond)
		s.Tick()
		if got := routedLookups(t, s); got["2 c3"] != 1000 {
			t.Fatal(got)
		}
		g.now = g.now.Add(time.Millisecond)
		s.Tick()
		if got := routedLookups(t, s); got["1 c1+c2"] != 1000 {
			t.Fatal(got)
		}
	})
	t.Run("guards undo a bad change, staged or applied, and leave a good one", func(t *testing.T) {
		for _, bad := range []bool{true, false} {
			for _, stage := range []bool{true, false} {
				g := newTestEnv()
				s := openController(t, g, nil, routesTo("town"))
				r := rand.New(rand.NewPCG(1, 2))
				load := func(n int) {
					for i := range n {
						p, _, _ := s.Admit(0, 0, fmt.Sprint("o", r.IntN(500)), 10)
						ok := r.IntN(100) < 97 && !(bad && p.Version == 2 && r.IntN(3) == 0)
						p.End(ok, !ok, false)
						if i%100 == 0 {
							g.now = g.now.Add(100 * time.Millisecond)
							s.Tick()
						}
					}
				}
				load(2000)
				requireStep(t)(s.Propose(1, routesTo("hill"), "ada", "sale"))
				if stage {
					requireStep(t)(s.Stage(2, 0.2, time.Hour))
				} else {
					requireStep(t)(s.Apply(2, time.Hour))
				}
				load(4000)
				if got := routedLookups(t, s); (got["1 c1+c2"] == 1000) != bad {
					t.Errorf("bad %t, staged %t: %v", bad, stage, got)
				}
			}
		}
	})
	t.Run("a change whose limits refuse most is undone", func(t *testing.T) {
		g := newTestEnv()
		s := openController(t, g, nil, routesTo("town"))
		load := func() {
			for i := range 3000 {
				if p, why, _ := s.Admit(0, 0, fmt.Sprint("o", i), 10); why == limit.Allowed {
					p.End(true, false, false)
				}
				if i%100 == 0 {
					g.now = g.now.Add(100 * time.Millisecond)
					s.Tick()
				}
			}
		}
		load()
		tight := routesTo("town")
		tight.Routes[0].Limits = &pools.Limits{LookupsPerSecond: 10}
		requireStep(t)(s.Propose(1, tight, "ada", "sale"))
		requireStep(t)(s.Apply(2, time.Hour))
		load()
		if got := routedLookups(t, s); got["1 c1+c2"] != 1000 {
			t.Error(got)
		}
	})
	t.Run("limits: what is let in is let out, refusals say when to come back, and a change refills nothing", func(t *testing.T) {
		c := routesTo("town")
		c.Tenants = map[string]pools.Limits{"kiosks": {LookupsPerSecond: 20}}
		c.Routes[0].Tenant = "kiosks"
		c.Pools["main"] = pools.Pool{Locations: []string{"town"}, Limits: &pools.Limits{MaxOpen: 4, RetryRatio: -1}}
		s := openController(t, newTestEnv(), nil, c)
		var in []*Ticket
		for range 4 {
			p, why, _ := s.Admit(0, 0, "o", 10)
			if why != limit.Allowed {
				t.Fatal(why)
			}
			in = append(in, p)
		}
		if _, why, wait := s.Admit(0, 0, "o", 10); why != limit.OpenExceeded || wait <= 0 {
			t.Fatal(why, wait)
		}
		if in[0].Scope().AllowRetry() {
			t.Error("a further send, though there is to be none")
		}
		c.Routes[0].MaxAgeMS = 100
		requireStep(t)(s.Propose(1, c, "ada", "ages"))
		requireStep(t)(s.Apply(2, time.Minute))
		if _, why, _ := s.Admit(0, 0, "o", 10); why != limit.OpenExceeded {
			t.Fatal("a change frees what is held")
		}
		for _, p := range in {
			p.End(true, false, false)
		}
		n := 0
		for {
			if _, why, _ := s.Admit(0, 0, "o", 10); why != limit.Allowed {
				break
			}
			n++
		}
		if n > 4 {
			t.Errorf("%d more", n)
		}
	})
}

func TestApplyFile(t *testing.T) {
	file := func(t *testing.T, s *Controller, place string) change.Step {
		t.Helper()
		return requireStep(t)(s.ApplyFile(routesTo(place), time.Minute))
	}
	at := func(t *testing.T, s *Controller, want string) {
		t.Helper()
		if got := routedLookups(t, s); got[want] != 1000 {
			t.Errorf("%v, expected %s", got, want)
		}
	}
	t.Run("read anew it is applied, read once more confirmed, and after that nothing", func(t *testing.T) {
		g := newTestEnv()
		s := openController(t, g, nil, routesTo("town"))
		if step := file(t, s, "hill"); step.Stage != change.Applied {
			t.Fatal(step)
		}
		at(t, s, "2 c3")
		if step := file(t, s, "hill"); step.Stage != change.Confirmed {
			t.Fatal(step)
		}
		if step := file(t, s, "hill"); step.Version != 2 || step.Stage != change.Confirmed {
			t.Fatal(step)
		}
		g.now = g.now.Add(time.Hour)
		s.Tick()
		at(t, s, "2 c3")
	})
	t.Run("nobody confirms it, or the file is as before again: undone", func(t *testing.T) {
		g := newTestEnv()
		s := openController(t, g, nil, routesTo("town"))
		file(t, s, "hill")
		if step := file(t, s, "town"); step.Stage != change.RolledBack {
			t.Fatal(step)
		}
		at(t, s, "1 c1+c2")
		file(t, s, "hill")
		g.now = g.now.Add(time.Minute)
		s.Tick()
		at(t, s, "1 c1+c2")
	})
	t.Run("changed once more before it was confirmed: the first is undone, the second waits", func(t *testing.T) {
		s := openController(t, newTestEnv(), nil, routesTo("town"))
		file(t, s, "hill")
		other := routesTo("hill")
		other.Routes[0].MaxAgeMS = 5
		if step := requireStep(t)(s.ApplyFile(other, time.Minute)); step.Version != 3 || step.Stage != change.Applied {
			t.Fatal(step)
		}
	})
	t.Run("a change by hand is under way: told, and left alone", func(t *testing.T) {
		s := openController(t, newTestEnv(), nil, routesTo("town"))
		requireStep(t)(s.Propose(1, routesTo("hill"), "ada", "sale"))
		if _, err := s.ApplyFile(routesTo("hill"), time.Minute); err == nil || !strings.Contains(err.Error(), "ada") {
			t.Error(err)
		}
	})
	t.Run("routes that cannot be used change nothing", func(t *testing.T) {
		s := openController(t, newTestEnv(), nil, routesTo("town"))
		if step := file(t, s, "nowhere"); step.Stage != change.RolledBack || len(step.Findings) == 0 {
			t.Error(step)
		}
		at(t, s, "1 c1+c2")
	})
}

// Killed at any write of any step: what comes up is what was confirmed by the last step that was kept, whole.
func TestAProcessKilledAtAnyStep(t *testing.T) {
	never := 0
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 9))
		g, disk := newTestEnv(), simenv.NewDirectory()
		s := openController(t, g, disk, routesTo("town"))
		confirmed, after := "town", "" // after: what a step under way would confirm
		head := uint64(1)
		disk.OpsLeft = r.IntN(60)
		for n := range 6 {
			place := []string{"hill", "town"}[n%2]
			step, err := s.Propose(head, routesTo(place), "ada", "sale")
			if err != nil {
				break
			}
			if r.IntN(2) == 0 {
				if _, err = s.Stage(step.Version, 0.3, time.Minute); err != nil {
					break
				}
			}
			if _, err = s.Apply(step.Version, time.Minute); err != nil {
				break
			}
			if r.IntN(4) == 0 {
				if _, err = s.RollBack(step.Version, "no"); err != nil {
					break
				}
				continue
			}
			after = place
			if _, err = s.Confirm(step.Version); err != nil {
				break
			}
			confirmed, after, head = place, "", step.Version
		}
		disk.Crash(r)
		again, err := Open(newTestEnv(), disk, routesTo("nowhere"), kinds)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		again.UpdateEndpoints(testEndpoints)
		got := routedLookups(t, again)
		want := map[string]string{"town": "c1+c2", "hill": "c3"}
		whole := len(got) == 1
		for k := range got {
			_, names, _ := strings.Cut(k, " ")
			if !whole || names != want[confirmed] && names != want[after] {
				t.Fatalf("seed %d: %v, confirmed %s, maybe %q", seed, got, confirmed, after)
			}
			if names != want[confirmed] {
				never++
			}
		}
		again.Close()
	}
	t.Logf("500 kills; in %d the confirmation under way was kept", never)
}
