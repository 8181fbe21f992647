package scenario

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"foldslip/internal/config"
)

// errRouteChange is returned if a gateway rejects the change of routes.
var errRouteChange = errors.New("route change failed")

// RouteChangeRun is the run of a scenario without faults in which the routes of all gateways are changed, for better
// or worse. It measures how soon the guards roll the change back and what share of lookups is satisfied.
type RouteChangeRun struct {
	Seed            uint64        `json:"seed"`
	Kind            string        `json:"kind"`
	Guarded         bool          `json:"guarded"`
	Staged          bool          `json:"staged"`    // for three tenths of the objects, during the first 10 s
	RolledBackAfter time.Duration `json:"undone_ns"` // time from the change to its rollback; 0: not rolled back
	Served          float64       `json:"served"`    // share of lookups that were satisfied, from the change to the end
	startedAt       time.Duration
	rng             *rand.Rand
	edgeIDs         []string
}

// RouteChangeKinds maps each kind of change to what is wrong with it. The text of a correct change is empty.
var RouteChangeKinds = map[string]string{"half": "half of the caches are left out", "one": "all goes to one cache", "tight": "limits tenfold too small",
	"renamed": "", "wide": "", "one_less": ""}

// configBefore returns the routes before the change.
func (r *RouteChangeRun) configBefore() config.RouteConfig {
	return config.RouteConfig{Pools: map[string]config.Pool{"all": {Locations: []string{"town", "hill"}, Limits: &config.Limits{MaxOpen: 60}}},
		Routes: []config.Route{{Name: "all", Targets: []config.Target{{Pool: "all"}}}}}
}

// configAfter returns the routes that the change proposes.
func (r *RouteChangeRun) configAfter() config.RouteConfig {
	c := r.configBefore()
	all := c.Pools["all"]
	switch r.Kind {
	case "half":
		all.ExcludedNames = r.edgeIDs[:len(r.edgeIDs)/2]
	case "one":
		all.ExcludedNames = r.edgeIDs[1:]
	case "tight":
		all.Limits = &config.Limits{MaxOpen: 2}
	case "renamed":
		delete(c.Pools, "all")
		c.Pools["every"], c.Routes[0].Targets[0].Pool = all, "every"
		return c
	case "wide":
		all.Limits = &config.Limits{MaxOpen: 600}
	case "one_less":
		all.ExcludedNames = r.edgeIDs[:1]
	}
	c.Pools["all"] = all
	return c
}

// RunRouteChange runs a scenario with a change of routes. With the kind "none" it makes no change. This is the
// reference result of an oracle that knows which changes are bad.
func RunRouteChange(seed uint64, kind string, guarded bool) (*RouteChangeRun, error) {
	r := rand.New(rand.NewPCG(seed, 0x747269616c))
	change := &RouteChangeRun{Seed: seed, Kind: kind, Guarded: guarded, Staged: r.IntN(2) == 0, rng: r}
	p := Plan{Form: PlanForm, Seed: seed, Profile: "routes", Seconds: 50, Gateways: 2, Caches: 6 + r.IntN(7), Parents: 2, Rate: 60 + 60*r.Float64(), MemoryMB: 64, Descriptors: 384}
	satisfied, sent := 0, 0
	hooks := Hooks{routeChangeRun: change, onStart: func(s *Scenario) {
		change.edgeIDs = s.firstEdges
		change.startedAt = warmup + 15*time.Second
		count := func() (ok, all int) {
			for outcome, n := range s.checker.outcomes {
				if all += n; isSatisfied(outcome) {
					ok += n
				}
			}
			return ok, all
		}
		s.after(change.startedAt, func() {
			ok, all := count()
			satisfied, sent = -ok, -all
			if kind == "none" {
				return
			}
			for _, g := range s.gateways {
				routes := g.current.instance.Routes()
				step, err := routes.Propose(1, change.configAfter(), "operator", "a trial")
				if err != nil {
					s.checker.violated(ruleRoutes, "cannot propose the route change: %v", err)
					return
				}
				if !change.Staged {
					routes.Apply(step.Version, time.Hour)
					continue
				}
				routes.Stage(step.Version, 0.3, time.Hour)
				s.after(10*time.Second, func() { routes.Apply(step.Version, time.Hour) })
			}
		})
		s.after(warmup+50*time.Second, func() {
			ok, all := count()
			satisfied, sent = satisfied+ok, sent+all
		})
	}}
	result, err := Run(p, hooks)
	if err == nil && len(result.Violations) > 0 && result.Violations[0].Rule == ruleRoutes {
		err = fmt.Errorf("%w: %s", errRouteChange, result.Violations[0])
	}
	change.Served = float64(satisfied) / float64(max(1, sent))
	return change, err
}
