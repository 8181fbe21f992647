package scenario

import (
	"time"

	"foldslip/internal/config"
	"foldslip/internal/config/change"
	"foldslip/internal/lab/simenv"
)

// In scenarios of the profile "routes", operators change the routes of gateways at any time between two
// configurations, left and right. Each of them excludes some edges that the other one includes. The checker
// knows which configuration was active at which time, and checks every attempt against it.

const routesDir = "/routes"

// routeSide is one of the two configurations: 0 is left, 1 is right.
type routeSide int

// activeRoutes are the configurations that are active from a time on: base for all objects or, during a staged
// change, next for some of them.
type activeRoutes struct {
	from   time.Duration // earliest time at which they may have become active
	seenAt time.Duration // when they were seen to be active; until then, their predecessors may have been active
	base   routeSide
	next   routeSide // -1: none
}

// routesExclude reports whether a configuration excludes a cache. Both
// configurations include all caches that start during the scenario.
func (s *Scenario) routesExclude(side routeSide, id string) bool {
	for i, edgeID := range s.firstEdges {
		if edgeID == id {
			return i%3 == int(side)
		}
	}
	return false
}

// routesFor returns the configuration of a side.
func (s *Scenario) routesFor(side routeSide) config.RouteConfig {
	p := config.Pool{Locations: []string{"town", "hill"}}
	for _, id := range s.firstEdges {
		if s.routesExclude(side, id) {
			p.ExcludedNames = append(p.ExcludedNames, id)
		}
	}
	return config.RouteConfig{Pools: map[string]config.Pool{"some": p}, Routes: []config.Route{{Name: []string{"left", "right"}[side], Targets: []config.Target{{Pool: "some"}}}}}
}

// setUpRoutes gives a gateway's process a routing configuration, and a
// directory on the gateway's disk for its changes of routes.
func (g *gatewayActor) setUpRoutes(p *simenv.Process) {
	routing := struct {
		Folder string              `json:"folder"`
		Guards *change.GuardLimits `json:"guards,omitempty"`
		config.RouteConfig
	}{routesDir, nil, g.scenario.routesFor(0)}
	if run := g.scenario.hooks.routeChangeRun; run != nil {
		routing.RouteConfig = run.configBefore()
		if !run.Guarded {
			routing.Guards = &change.GuardLimits{MinLookups: 1, Deviations: 1}
		}
	}
	p.Files[configPath] = mustMarshal(map[string]any{"routing": routing})
	p.Variables["FOLDSLIP_SETTINGS"] = configPath
	p.Directories = map[string]*simenv.Directory{routesDir: g.directory}
}

// recordRoutes records the configurations that are active at a gateway from now on.
func (p *gatewayProcess) recordRoutes() {
	_, active := p.instance.Routes().History()
	now := activeRoutes{p.actor.scenario.sim.Now(), p.actor.scenario.sim.Now(), p.actor.routeSides[active.Base], -1}
	if active.Next != 0 {
		now.next = p.actor.routeSides[active.Next]
	}
	p.activeRoutes = append(p.activeRoutes, now)
}

// checkRoutes checks an attempt of a lookup at a cache against the routes. One configuration that was active when the
// lookup reached its gateway, or up to 20 ms later, must allow all attempts of the lookup, including this one.
func (c *checker) checkRoutes(l *lookup, id string) {
	if c.scenario.hooks.routeChangeRun != nil {
		return
	}
	if l.receivedAt == 0 { // unknown: a network partition hid the arrival
		return
	}
	if l.routeSides == nil {
		l.process.refreshRoutes()
		l.routeSides = &[2]bool{}
		latest := l.receivedAt + 20*time.Millisecond
		for i, f := range l.process.activeRoutes {
			if f.from <= latest && (i+1 == len(l.process.activeRoutes) || l.process.activeRoutes[i+1].seenAt >= l.receivedAt) {
				l.routeSides[f.base] = true
				if f.next >= 0 {
					l.routeSides[f.next] = true
				}
			}
		}
	}
	for side := range l.routeSides {
		if l.routeSides[side] && c.scenario.routesExclude(routeSide(side), id) {
			l.routeSides[side] = false
		}
	}
	if !l.routeSides[0] && !l.routeSides[1] {
		c.violated(ruleRoutes, "%s sent %s to %s, but no configuration active at the lookup's arrival allows all its attempts", l.process.name(), l.id, id)
	}
}

// routeChange changes the routes of a gateway like an operator. It then confirms the change, rolls it back, or leaves
// it to the gateway, which rolls back an unconfirmed change.
func (s *Scenario) routeChange(f Fault) {
	g := pick(s.gateways, f.Target)
	p := g.current
	if p == nil || p.ended || !p.ready || p.terminatedAt > 0 || p.instance.Routes() == nil {
		return
	}
	routes := p.instance.Routes()
	_, now := routes.History()
	to := 1 - g.routeSides[now.Base]
	recordStep := func(step change.Step, err error) bool {
		if p.ended {
			return false
		}
		if step.Version != 0 && step.Stage == change.Checked {
			g.routeSides[step.Version] = to
		}
		p.recordRoutes()
		s.record("%s routes %d %s %v", p.name(), step.Version, step.Stage, err)
		return err == nil && step.Stage != change.RolledBack
	}
	step, err := routes.Propose(now.Base, s.routesFor(to), "operator", "a day")
	if step.Version != 0 {
		g.routeSides[step.Version] = to
	}
	if !recordStep(step, err) {
		return
	}
	timeout := time.Duration(1000+f.Variant%3000) * time.Millisecond
	schedule := func(delay time.Duration, do func() bool, then func()) {
		s.after(delay, func() {
			if !p.ended && p.terminatedAt == 0 && do() && then != nil {
				then()
			}
		})
	}
	end := func() {
		schedule(time.Duration(f.DurationMS)*time.Millisecond, func() bool {
			switch f.Variant % 3 {
			case 0:
				return recordStep(routes.Confirm(step.Version))
			case 1:
				return recordStep(routes.RollBack(step.Version, "a day"))
			}
			return false // neither: the gateway rolls the change back after its timeout
		}, nil)
	}
	apply := func() {
		schedule(time.Duration(100+f.Variant%700)*time.Millisecond, func() bool { return recordStep(routes.Apply(step.Version, timeout)) }, end)
	}
	if f.Variant%2 == 0 {
		apply()
		return
	}
	schedule(10*time.Millisecond, func() bool { return recordStep(routes.Stage(step.Version, 0.1+float64(f.Variant%7)/10, timeout)) }, apply)
}

// refreshRoutes records the configurations if the gateway has changed them
// itself since the last check. They may have been active since that check.
func (p *gatewayProcess) refreshRoutes() {
	_, active := p.instance.Routes().History()
	last := p.activeRoutes[len(p.activeRoutes)-1]
	next := routeSide(-1)
	if active.Next != 0 {
		next = p.actor.routeSides[active.Next]
	}
	if p.actor.routeSides[active.Base] != last.base || next != last.next {
		p.recordRoutes()
		p.activeRoutes[len(p.activeRoutes)-1].from = p.routesCheckedAt
	}
	p.routesCheckedAt = p.actor.scenario.sim.Now()
}

// watchRoutes calls refreshRoutes every 5 ms until the process ends.
func (p *gatewayProcess) watchRoutes() {
	if !p.ended {
		p.refreshRoutes()
		p.actor.scenario.after(5*time.Millisecond, p.watchRoutes)
	}
}
