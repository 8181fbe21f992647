package scenario

import (
	"time"

	"foldslip/internal/config"
	"foldslip/internal/config/change"
	"foldslip/internal/lab/simenv"
)

// Days on which operators change the routes of gateways at any time: two configurations, left and right, of which neither leads to the
// edges that the other has for itself. The referee knows when which was in force, and holds every send against it.

const routesDir = "/routes"

// routeSide is a configuration: left 0, right 1.
type routeSide int

// activeRoutes is what was in force from a time on: for all objects base, for some of them next too.
type activeRoutes struct {
	from   time.Duration // from here on, at the earliest
	seenAt time.Duration // when it was seen to be: what was before it counts up to here
	base   routeSide
	next   routeSide // -1: none
}

// routesExclude tells whether a configuration leads lookups to no such cache. Caches that come during the day are everybody's.
func (d *Scenario) routesExclude(s routeSide, id string) bool {
	for i, was := range d.firstEdges {
		if was == id {
			return i%3 == int(s)
		}
	}
	return false
}

func (d *Scenario) routesFor(s routeSide) config.RouteConfig {
	p := config.Pool{Locations: []string{"town", "hill"}}
	for _, id := range d.firstEdges {
		if d.routesExclude(s, id) {
			p.ExcludedNames = append(p.ExcludedNames, id)
		}
	}
	return config.RouteConfig{Pools: map[string]config.Pool{"some": p}, Routes: []config.Route{{Name: []string{"left", "right"}[s], Targets: []config.Target{{Pool: "some"}}}}}
}

// setUpRoutes sets a gateway's process up: its changes are kept on its disk.
func (g *gatewayActor) setUpRoutes(p *simenv.Process) {
	own := struct {
		Folder string              `json:"folder"`
		Guards *change.GuardLimits `json:"guards,omitempty"`
		config.RouteConfig
	}{routesDir, nil, g.scenario.routesFor(0)}
	if t := g.scenario.hooks.routeTrial; t != nil {
		own.RouteConfig = t.configBefore()
		if !t.Guarded {
			own.Guards = &change.GuardLimits{MinLookups: 1, Deviations: 1}
		}
	}
	p.Files[configPath] = mustMarshal(map[string]any{"routing": own})
	p.Variables["FOLDSLIP_SETTINGS"] = configPath
	p.Directories = map[string]*simenv.Directory{routesDir: g.directory}
}

// recordRoutes notes what is in force at a gateway from now on.
func (l *gatewayProcess) recordRoutes() {
	_, f := l.instance.Routes().History()
	now := activeRoutes{l.actor.scenario.sim.Now(), l.actor.scenario.sim.Now(), l.actor.routeSides[f.Base], -1}
	if f.Next != 0 {
		now.next = l.actor.routeSides[f.Next]
	}
	l.activeRoutes = append(l.activeRoutes, now)
}

// checkRoutes tells whether a lookup that reached its gateway at a time may be sent to a cache, whatever of the two it was decided under:
// one of those in force then or a moment later, the same for all its sends.
func (r *checker) checkRoutes(a *lookup, id string) {
	if r.scenario.hooks.routeTrial != nil {
		return
	}
	if a.receivedAt == 0 { // the network lost track of when it came
		return
	}
	if a.routeSides == nil {
		a.process.refreshRoutes()
		a.routeSides = &[2]bool{}
		in := a.receivedAt + 20*time.Millisecond
		for i, f := range a.process.activeRoutes {
			if f.from <= in && (i+1 == len(a.process.activeRoutes) || a.process.activeRoutes[i+1].seenAt >= a.receivedAt) {
				a.routeSides[f.base] = true
				if f.next >= 0 {
					a.routeSides[f.next] = true
				}
			}
		}
	}
	for s := range a.routeSides {
		if a.routeSides[s] && r.scenario.routesExclude(routeSide(s), id) {
			a.routeSides[s] = false
		}
	}
	if !a.routeSides[0] && !a.routeSides[1] {
		r.violated("routes", "%s sends %s to %s, to which no configuration leads all its sends that was in force when it came", a.process.process.Name, a.id, id)
	}
}

// routeChange is an operator who changes the routes of a gateway, and confirms, undoes or forgets it.
func (d *Scenario) routeChange(f Fault) {
	g := pick(d.gateways, f.Target)
	l := g.current
	if l == nil || l.ended || !l.ready || l.terminatedAt > 0 || l.instance.Routes() == nil {
		return
	}
	s := l.instance.Routes()
	_, now := s.History()
	to := 1 - g.routeSides[now.Base]
	took := func(step change.Step, err error) bool {
		if l.ended {
			return false
		}
		if step.Version != 0 && step.Stage == change.Checked {
			g.routeSides[step.Version] = to
		}
		l.recordRoutes()
		d.record("%s routes %d %s %v", l.process.Name, step.Version, step.Stage, err)
		return err == nil && step.Stage != change.RolledBack
	}
	step, err := s.Propose(now.Base, d.routesFor(to), "operator", "a day")
	if step.Version != 0 {
		g.routeSides[step.Version] = to
	}
	if !took(step, err) {
		return
	}
	within := time.Duration(1000+f.Variant%3000) * time.Millisecond
	rest := func(after time.Duration, do func() bool, then func()) {
		d.after(after, func() {
			if !l.ended && l.terminatedAt == 0 && do() && then != nil {
				then()
			}
		})
	}
	end := func() {
		rest(time.Duration(f.DurationMS)*time.Millisecond, func() bool {
			switch f.Variant % 3 {
			case 0:
				return took(s.Confirm(step.Version))
			case 1:
				return took(s.RollBack(step.Version, "a day"))
			}
			return false // forgotten: undone by itself
		}, nil)
	}
	apply := func() {
		rest(time.Duration(100+f.Variant%700)*time.Millisecond, func() bool { return took(s.Apply(step.Version, within)) }, end)
	}
	if f.Variant%2 == 0 {
		apply()
		return
	}
	rest(10*time.Millisecond, func() bool { return took(s.Stage(step.Version, 0.1+float64(f.Variant%7)/10, within)) }, apply)
}

// refreshRoutes notes what a gateway has put in force by itself since it was looked at.
func (l *gatewayProcess) refreshRoutes() {
	_, f := l.instance.Routes().History()
	last := l.activeRoutes[len(l.activeRoutes)-1]
	next := routeSide(-1)
	if f.Next != 0 {
		next = l.actor.routeSides[f.Next]
	}
	if l.actor.routeSides[f.Base] != last.base || next != last.next {
		l.recordRoutes()
		l.activeRoutes[len(l.activeRoutes)-1].from = l.routesCheckedAt
	}
	l.routesCheckedAt = l.actor.scenario.sim.Now()
}

// watchRoutes looks every few milliseconds.
func (l *gatewayProcess) watchRoutes() {
	if !l.ended {
		l.refreshRoutes()
		l.actor.scenario.after(5*time.Millisecond, l.watchRoutes)
	}
}

func (p Plan) changesRoutes() bool { return p.Profile == "routes" }
