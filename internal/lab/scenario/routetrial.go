package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"foldslip/internal/route/pools"
)

// RouteTrial is one change of routes, good or bad, tried on all gateways of a calm day: how soon its guards undo it, and what it costs.
type RouteTrial struct {
	Seed            uint64        `json:"seed"`
	Kind            string        `json:"kind"`
	Guarded         bool          `json:"guarded"`
	Staged          bool          `json:"staged"`    // for three tenths of the objects at first
	RolledBackAfter time.Duration `json:"undone_ns"` // from its beginning; 0: never
	Served          float64       `json:"served"`    // share of lookups that were satisfied, from its beginning to the day's end
	startedAt       time.Duration
	rng             *rand.Rand
	edgeIDs         []string
}

// Trials are the kinds of changes: what is bad about them, or "" for good ones.
var RouteTrialKinds = map[string]string{"half": "half of the caches are left out", "one": "all goes to one cache", "tight": "limits tenfold too small",
	"renamed": "", "wide": "", "one_less": ""}

func (t *RouteTrial) configBefore() pools.Config {
	return pools.Config{Pools: map[string]pools.Pool{"all": {Locations: []string{"town", "hill"}, Limits: &pools.Limits{MaxOpen: 60}}},
		Routes: []pools.Route{{Name: "all", Targets: []pools.Target{{Pool: "all"}}}}}
}

func (t *RouteTrial) configAfter() pools.Config {
	c := t.configBefore()
	all := c.Pools["all"]
	switch t.Kind {
	case "half":
		all.ExcludedNames = t.edgeIDs[:len(t.edgeIDs)/2]
	case "one":
		all.ExcludedNames = t.edgeIDs[1:]
	case "tight":
		all.Limits = &pools.Limits{MaxOpen: 2}
	case "renamed":
		delete(c.Pools, "all")
		c.Pools["every"], c.Routes[0].Targets[0].Pool = all, "every"
		return c
	case "wide":
		all.Limits = &pools.Limits{MaxOpen: 600}
	case "one_less":
		all.ExcludedNames = t.edgeIDs[:1]
	}
	c.Pools["all"] = all
	return c
}

// RunRouteTrial plays a trial. An oracle that knows the change is bad never makes it: that is a trial of kind "none".
func RunRouteTrial(seed uint64, kind string, guarded bool) (*RouteTrial, error) {
	r := rand.New(rand.NewPCG(seed, 0x747269616c))
	t := &RouteTrial{Seed: seed, Kind: kind, Guarded: guarded, Staged: r.IntN(2) == 0, rng: r}
	p := Plan{Form: PlanForm, Seed: seed, Profile: "routes", Seconds: 50, Gateways: 2, Caches: 6 + r.IntN(7), Parents: 2, Rate: 60 + 60*r.Float64(), MemoryMB: 64, Descriptors: 384}
	served, asked := 0, 0
	look := Hooks{routeTrial: t, onStart: func(d *Scenario) {
		t.edgeIDs = d.firstEdges
		t.startedAt = warmup + 15*time.Second
		count := func() (ok, all int) {
			for end, n := range d.checker.outcomes {
				if all += n; end == "200" || end == "304" {
					ok += n
				}
			}
			return ok, all
		}
		d.after(t.startedAt, func() {
			ok, all := count()
			served, asked = -ok, -all
			if kind == "none" {
				return
			}
			for _, g := range d.gateways {
				s := g.current.instance.Routes()
				step, err := s.Propose(1, t.configAfter(), "operator", "a trial")
				if err != nil {
					d.checker.violated("routes", "the trial cannot be proposed: %v", err)
					return
				}
				if !t.Staged {
					s.Apply(step.Version, time.Hour)
					continue
				}
				s.Stage(step.Version, 0.3, time.Hour)
				d.after(10*time.Second, func() { s.Apply(step.Version, time.Hour) })
			}
		})
		d.after(warmup+50*time.Second, func() {
			ok, all := count()
			served, asked = served+ok, asked+all
		})
	}}
	day, err := Run(p, look)
	if err == nil && len(day.Violations) > 0 && day.Violations[0].Rule == "routes" {
		err = fmt.Errorf("%s", day.Violations[0])
	}
	t.Served = float64(served) / float64(max(1, asked))
	return t, err
}
