package scenario

import (
	"time"

	"foldslip/internal/config/change"
	"foldslip/internal/lab/simenv"
	"foldslip/internal/route/pools"
)

// Days on which operators change the routes of gateways at any time: two configurations, left and right, of which neither leads to the
// edges that the other has for itself. The referee knows when which was in force, and holds every send against it.

const routesAt = "/routes"

// side is a configuration: left 0, right 1.
type side int

// forced is what was in force from a time on: for all objects base, for some of them next too.
type forced struct {
	at   time.Duration // from here on, at the earliest
	seen time.Duration // when it was seen to be: what was before it counts up to here
	base side
	next side // -1: none
}

// barred tells whether a configuration leads lookups to no such cache. Caches that come during the day are everybody's.
func (d *Day) barred(s side, id string) bool {
	for i, was := range d.firstEdges {
		if was == id {
			return i%3 == int(s)
		}
	}
	return false
}

func (d *Day) routesOf(s side) pools.Config {
	p := pools.Pool{Locations: []string{"town", "hill"}}
	for _, id := range d.firstEdges {
		if d.barred(s, id) {
			p.ExcludedNames = append(p.ExcludedNames, id)
		}
	}
	return pools.Config{Pools: map[string]pools.Pool{"some": p}, Routes: []pools.Route{{Name: []string{"left", "right"}[s], Targets: []pools.Target{{Pool: "some"}}}}}
}

// routes sets a gateway's process up: its changes are kept on its disk.
func (g *gatewayActor) routes(p *simenv.Proc) {
	own := struct {
		Folder string              `json:"folder"`
		Guards *change.GuardLimits `json:"guards,omitempty"`
		pools.Config
	}{routesAt, nil, g.d.routesOf(0)}
	if t := g.d.look.trial; t != nil {
		own.Config = t.before()
		if !t.Guarded {
			own.Guards = &change.GuardLimits{MinLookups: 1, Deviations: 1}
		}
	}
	p.Files[settingsAt] = must(map[string]any{"routing": own})
	p.Env_["FOLDSLIP_SETTINGS"] = settingsAt
	p.Disks = map[string]*simenv.Disk{routesAt: g.disk}
}

// note notes what is in force at a gateway from now on.
func (l *life) note() {
	_, f := l.its.Routes().History()
	now := forced{l.g.d.w.Now(), l.g.d.w.Now(), l.g.sides[f.Base], -1}
	if f.Next != 0 {
		now.next = l.g.sides[f.Next]
	}
	l.forced = append(l.forced, now)
}

// routed tells whether a lookup that reached its gateway at a time may be sent to a cache, whatever of the two it was decided under:
// one of those in force then or a moment later, the same for all its sends.
func (r *referee) routed(a *ask, id string) {
	if r.d.look.trial != nil {
		return
	}
	if a.taken == 0 { // the network lost track of when it came
		return
	}
	if a.sides == nil {
		a.l.look()
		a.sides = &[2]bool{}
		in := a.taken + 20*time.Millisecond
		for i, f := range a.l.forced {
			if f.at <= in && (i+1 == len(a.l.forced) || a.l.forced[i+1].seen >= a.taken) {
				a.sides[f.base] = true
				if f.next >= 0 {
					a.sides[f.next] = true
				}
			}
		}
	}
	for s := range a.sides {
		if a.sides[s] && r.d.barred(side(s), id) {
			a.sides[s] = false
		}
	}
	if !a.sides[0] && !a.sides[1] {
		r.broken("routes", "%s sends %s to %s, to which no configuration leads all its sends that was in force when it came", a.l.p.Name, a.id, id)
	}
}

// routeChange is an operator who changes the routes of a gateway, and confirms, undoes or forgets it.
func (d *Day) routeChange(f Fault) {
	g := pick(d.gateways, f.Who)
	l := g.its
	if l == nil || l.over || !l.ready || l.term > 0 || l.its.Routes() == nil {
		return
	}
	s := l.its.Routes()
	_, now := s.History()
	to := 1 - g.sides[now.Base]
	took := func(step change.Step, err error) bool {
		if l.over {
			return false
		}
		if step.Version != 0 && step.Stage == change.Checked {
			g.sides[step.Version] = to
		}
		l.note()
		d.tell("%s routes %d %s %v", l.p.Name, step.Version, step.Stage, err)
		return err == nil && step.Stage != change.RolledBack
	}
	step, err := s.Propose(now.Base, d.routesOf(to), "operator", "a day")
	if step.Version != 0 {
		g.sides[step.Version] = to
	}
	if !took(step, err) {
		return
	}
	within := time.Duration(1000+f.More%3000) * time.Millisecond
	rest := func(after time.Duration, do func() bool, then func()) {
		d.after(after, func() {
			if !l.over && l.term == 0 && do() && then != nil {
				then()
			}
		})
	}
	end := func() {
		rest(time.Duration(f.For)*time.Millisecond, func() bool {
			switch f.More % 3 {
			case 0:
				return took(s.Confirm(step.Version))
			case 1:
				return took(s.RollBack(step.Version, "a day"))
			}
			return false // forgotten: undone by itself
		}, nil)
	}
	apply := func() {
		rest(time.Duration(100+f.More%700)*time.Millisecond, func() bool { return took(s.Apply(step.Version, within)) }, end)
	}
	if f.More%2 == 0 {
		apply()
		return
	}
	rest(10*time.Millisecond, func() bool { return took(s.Stage(step.Version, 0.1+float64(f.More%7)/10, within)) }, apply)
}

// look notes what a gateway has put in force by itself since it was looked at.
func (l *life) look() {
	_, f := l.its.Routes().History()
	last := l.forced[len(l.forced)-1]
	next := side(-1)
	if f.Next != 0 {
		next = l.g.sides[f.Next]
	}
	if l.g.sides[f.Base] != last.base || next != last.next {
		l.note()
		l.forced[len(l.forced)-1].at = l.looked
	}
	l.looked = l.g.d.w.Now()
}

// watchRoutes looks every few milliseconds.
func (l *life) watchRoutes() {
	if !l.over {
		l.look()
		l.g.d.after(5*time.Millisecond, l.watchRoutes)
	}
}

func (p Plan) routed() bool { return p.Days == "routes" }
