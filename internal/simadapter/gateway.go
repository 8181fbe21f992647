package simadapter

import (
	"bufio"

	"foldslip/internal/policy"
	"foldslip/internal/settings"
)

// gateway is one simulated gateway. It owns a router, and the caches and lookups that the simulator
// identifies by their names and ids. Gateways share no state. A gateway is also the executor of its router.
type gateway struct {
	name     string
	settings *policy.Settings
	router   *policy.Router
	caches   map[string]*policy.Cache // by name
	lookups  map[string]*openLookup   // by id
	out      *bufio.Writer
}

// openLookup is a lookup that has not ended, or that has attempts whose end has not been reported.
type openLookup struct {
	lookup       *policy.Lookup // nil if the router panicked at the start of the lookup
	openAttempts int            // attempts whose end has not been reported
}

// newGateway returns a gateway with the settings in text. The gateway has no router yet.
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

// run calls the router. It recovers a panic of the router and reports it as a fault of this gateway.
func (g *gateway) run(call func()) {
	defer func() {
		if p := recover(); p != nil {
			g.reportFault(p)
		}
	}()
	call()
}

// cacheNamed returns the cache with a name. It creates the cache on first use.
func (g *gateway) cacheNamed(name string) *policy.Cache {
	if g.caches[name] == nil {
		g.caches[name] = policy.NewCache(name)
	}
	return g.caches[name]
}

// startLookup reads the arrival of a lookup and passes it to the router.
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

// endAttempt reads the end of an attempt and passes it to the router.
// It ignores unknown ids, such as those of lookups that have ended.
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

// clientGone reads the id of a lookup whose client has disconnected and passes the event
// to the router. It ignores unknown ids, such as those of lookups that have ended.
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
