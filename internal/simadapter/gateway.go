package simadapter

import (
	"bufio"

	"foldslip/internal/policy"
	"foldslip/internal/settings"
)

// gateway is one simulated gateway: a router, and the caches and lookups that the simulator names by ids. Gateways share nothing. It is the
// executor of its router.
type gateway struct {
	name     string
	settings *policy.Settings
	router   *policy.Router
	caches   map[string]*policy.Cache
	lookups  map[string]*openLookup
	out      *bufio.Writer
}

// openLookup is a lookup that has not ended or has attempts whose end has not been reported.
type openLookup struct {
	lookup       *policy.Lookup // nil after a fault of the router
	openAttempts int
}

// newGateway makes a gateway, without its router, from a settings text.
func newGateway(name, text string, out *bufio.Writer) (*gateway, error) {
	read, err := settings.Parse([]byte(text))
	if err != nil {
		return nil, err
	}
	return &gateway{
		name:     name,
		settings: read.Router,
		caches:   map[string]*policy.Cache{},
		lookups:  map[string]*openLookup{},
		out:      out,
	}, nil
}

// run makes a call of the router. A panic there is reported as this gateway's fault.
func (g *gateway) run(call func()) {
	defer func() {
		if p := recover(); p != nil {
			g.reportFault(p)
		}
	}()
	call()
}

func (g *gateway) cacheNamed(name string) *policy.Cache {
	if g.caches[name] == nil {
		g.caches[name] = policy.NewCache(name)
	}
	return g.caches[name]
}

func (g *gateway) startLookup(now policy.Micros, f *fields) error {
	arrival := readArrival(f)
	if arrival.Kind >= len(g.settings.Kinds) {
		f.rejectKind(arrival.Kind)
	}
	if g.lookups[arrival.ID] != nil {
		f.rejectID(arrival.ID)
	}
	if err := f.finish(); err != nil {
		return err
	}
	g.run(func() {
		open := &openLookup{}
		g.lookups[arrival.ID] = open
		open.lookup = g.router.StartLookup(now, arrival)
		g.forgetEnded(arrival.ID, open)
	})
	return nil
}

func (g *gateway) endAttempt(now policy.Micros, f *fields) error {
	id, report := readReport(f)
	err := f.finish()
	open := g.lookups[id]
	if err != nil || open == nil {
		return err
	}
	g.run(func() {
		open.openAttempts--
		g.router.AttemptEnded(now, open.lookup, report)
		g.forgetEnded(id, open)
	})
	return nil
}

func (g *gateway) clientGone(now policy.Micros, f *fields) error {
	id := readClientGone(f)
	err := f.finish()
	open := g.lookups[id]
	if err != nil || open == nil {
		return err
	}
	g.run(func() {
		g.router.ClientGone(now, open.lookup)
		g.forgetEnded(id, open)
	})
	return nil
}

func (g *gateway) applyPurge(now policy.Micros, f *fields) error {
	object, group, age := readPurge(f)
	if err := f.finish(); err != nil {
		return err
	}
	g.run(func() { g.router.ApplyPurge(now, object, group, age) })
	return nil
}

func (g *gateway) fireTimer(now policy.Micros, f *fields) error {
	token := readTimer(f)
	if err := f.finish(); err != nil {
		return err
	}
	g.run(func() { g.router.TimerFired(now, token) })
	return nil
}

// forgetEnded removes a lookup that has ended and has no open attempts.
func (g *gateway) forgetEnded(id string, open *openLookup) {
	if open.lookup.Ended() && open.openAttempts <= 0 {
		delete(g.lookups, id)
	}
}
