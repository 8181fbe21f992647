package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"foldslip/internal/lab/simenv"
	kept "foldslip/internal/store/endpoints"
	"foldslip/internal/store/snapshot"
	"foldslip/internal/store/wal"
)

// ColdStart is the part of a plan in which gateways start while discovery is away. Which entries of the kept list are
// wrong is drawn from the plan's seed.
type ColdStart struct {
	// StartFrom is what gateways start from: "list" (the one kept on disk), or for comparison "wait" (nothing: they
	// wait for discovery), "trust" (the kept list, taken as received this moment), "true" (the list as it really is).
	StartFrom        string  `json:"from"`
	AgeSeconds       int     `json:"age_s"`   // of the list
	WrongShare       float64 `json:"wrong"`   // share of its edges and parents that are no more what it says
	AwayMS           int     `json:"away_ms"` // how long discovery is away, from the start; 0: to the end
	Cold             bool    `json:"cold"`    // what is wrong is that they have just started, cold
	Torn             bool    `json:"torn"`    // the last bytes of the list are torn
	SkewSeconds      int     `json:"skew_s"`  // the clock that wrote it was wrong by
	DrainUnannounced bool    `json:"behind"`  // discovery announces the drain later than the list has it
	NumbersRestarted bool    `json:"spans"`   // the list's event numbers are beyond discovery's, which started again
}

// Values of ColdStart.StartFrom, as plans spell them.
const (
	startFromList  = "list"
	startFromWait  = "wait"
	startFromFresh = "trust"
	startFromTrue  = "true"
)

const (
	configPath      = "/etc/foldslip.jsonnet"
	listDir         = "/var/lib/foldslip"
	startedAtBegin  = time.Duration(1) // start of a cache that is cold when the scenario starts
	syncedAfter     = 2 * time.Second  // what a gateway received this long before its end is on its disk
	overloadRestart = 3 * time.Second  // from a cache's overload to its restart
	earlyPeriod     = 30 * time.Second // from the first lookup; what a kept list is for shows in the share satisfied meanwhile
)

// EarlyLookups counts the lookups of a scenario's first 30 s; a repeat counts with the lookup that it repeats.
type EarlyLookups struct {
	Sent      int `json:"Asked"`
	Satisfied int `json:"Satisfied"`
	Overloads int `json:"Pushed"` // times that a cold cache or parent was overloaded
}

func (cold *ColdStart) validate() error {
	switch {
	case !slices.Contains([]string{startFromList, startFromWait, startFromFresh, startFromTrue}, cold.StartFrom):
		return invalidPlan("morning.from %q is unknown, expected list, wait, trust or true", cold.StartFrom)
	case cold.AgeSeconds < 0 || cold.AwayMS < 0 || cold.WrongShare < 0 || cold.WrongShare > 1:
		return invalidPlan("morning: age_s and away_ms from 0, wrong 0 to 1")
	}
	return nil
}

// drawStartState draws the true state of the caches and what the kept list says of them.
func (s *Scenario) drawStartState() {
	cold := s.Plan.ColdStart
	var rows []kept.Endpoint
	var left []kept.Endpoint
	row := func(c *cache) kept.Endpoint {
		return kept.Endpoint{ID: c.id, Addr: c.addr(), Zone: c.zone, MachineType: c.flavor, Cell: c.cell, Size: c.size}
	}
	for i := range len(s.caches) + len(s.parents) {
		place := s.cacheSlot(i)
		c := *place
		rows = append(rows, row(c))
		if float64(s.randN(1000)) >= cold.WrongShare*1000 {
			continue
		}
		n := s.randN(5)
		if cold.Cold {
			n = 0
		}
		switch n {
		case 0: // the same machine, started anew and cold
			c.startedAt, c.startEvent = startedAtBegin, 1
		case 1: // another cache, just started, stands at its address
			s.replaceIdentity(c)
			c.startedAt, c.startEvent = startedAtBegin, 1
		default: // it is elsewhere under another id; its old address refuses, is silent, or takes all and answers nothing
			*place = s.newCache(c.flavor, c.zone, fmt.Sprintf("10.5.%d.%d", i/200, i%200+1), c.size)
			switch n {
			case 2:
				c.stop(false)
			case 3:
				c.stop(true)
			case 4:
				c.hung = true
			}
		}
	}
	for i := range len(s.caches) + len(s.parents) {
		if c := *s.cacheSlot(i); c.startedAt == 0 {
			c.prefill()
		}
	}
	rows = append(rows, row(s.origin))
	if s.randN(2) == 0 && len(s.caches) > 3 { // one drains, and both know it
		c := s.caches[s.randN(len(s.caches))]
		if c.startEvent == 0 && rows[slices.Index(s.caches, c)].ID == c.id {
			c.phase = "draining"
			if cold.DrainUnannounced {
				c.phase = "up"
				s.after(warmup+8*time.Second, func() { c.publishPhase("draining", 0) })
			}
			for _, g := range s.gateways {
				g.knownDraining[c.id] = true
			}
			gone := row(c)
			gone.Phase = kept.Draining
			left = append(left, gone)
		}
	}
	s.writeStoredLists(rows, left)
	s.storedList = rows
}

// prefill stores in a cache what one has that has been up for long: the most popular objects.
func (c *cache) prefill() {
	s, most := c.scenario, edgeCapacity
	if c.flavor == flavorParent {
		most = parentCapacity
	}
	for i := range 60 {
		for part := range 5 {
			request := &attemptRequest{object: fmt.Sprintf("s%d", i), part: part}
			if part == 4 {
				request = &attemptRequest{object: fmt.Sprintf("p%d", i)}
			}
			if len(c.stored) >= most {
				return
			}
			got := s.originCopy(request)
			got.createdAt = got.createdAt.Add(-time.Duration(s.randN(8000)) * time.Millisecond)
			c.store(request.key(), got, 1, most)
		}
	}
}

// cacheSlot is the place of an edge or a parent in the scenario's lists.
func (s *Scenario) cacheSlot(i int) **cache {
	if i < len(s.caches) {
		return &s.caches[i]
	}
	return &s.parents[i-len(s.caches)]
}

// replaceIdentity makes a cache another one at the same address.
func (s *Scenario) replaceIdentity(c *cache) {
	delete(s.byID, c.id)
	s.lastCacheID++
	c.id = fmt.Sprintf("%s-%d", c.flavor, s.lastCacheID)
	c.cell = s.lastCacheID
	s.byID[c.id] = c
}

// writeStoredLists writes the list to each gateway's disk as a gateway does.
func (s *Scenario) writeStoredLists(rows, left []kept.Endpoint) {
	cold := s.Plan.ColdStart
	if cold.StartFrom != startFromList {
		return
	}
	at := simenv.Epoch.Add(-time.Duration(cold.AgeSeconds-cold.SkewSeconds) * time.Second).UnixMilli()
	last := int64(1)
	if cold.NumbersRestarted {
		last = 500
	}
	for _, g := range s.gateways {
		list := kept.New()
		list.Apply(kept.Update{At: at, DiscoveryAddr: s.discoveryServers[0].addr(), LastEvent: last, Complete: true, Endpoints: rows})
		list.Apply(kept.Update{At: at, Endpoints: left, LastEvent: last})
		list.CacheHours, list.Departures = 2000, 4
		snap, err := list.Snapshot()
		if err != nil {
			panic(err) // of our own plain types
		}
		rec, _, err := wal.Open(g.directory, snapshot.LogName)
		if err != nil {
			panic(err)
		}
		text, _ := kept.Update{At: at, StillCurrent: true}.Encode()
		if err := errors.Join(rec.WriteSnapshot(snap), rec.Append(text), rec.Close()); err != nil {
			panic(err)
		}
		if cold.Torn {
			names, _ := g.directory.Names()
			for _, n := range names {
				if size := g.directory.Size(n); size > 30 {
					g.directory.Corrupt(n, size-1-s.randN(10), s.randN(2) == 0)
				}
			}
		}
	}
}

// initialList is the list of caches that a gateway receives at its start, in place of the events so far.
func (s *Scenario) initialList() any {
	cold := s.Plan.ColdStart
	members := []endpoint{}
	switch cold.StartFrom {
	case startFromFresh:
		for _, r := range s.storedList {
			members = append(members, endpoint{ID: r.ID, HostPort: r.Addr, Locality: r.Zone, Flavor: r.MachineType, Cell: r.Cell, Phase: "up",
				Size: r.Size})
		}
	case startFromTrue:
		for _, c := range slices.Concat(s.caches, s.parents, []*cache{s.origin}) {
			members = append(members, c.endpoint(c.phase))
		}
	default:
		return nil
	}
	return map[string]any{"no": 0, "items": []any{map[string]any{"no": 0, "roster": &endpointUpdate{Revision: 1, Complete: true, Endpoints: members}}}}
}

// setUpStoredList configures a gateway's process to keep its list on its disk.
func (g *gatewayActor) setUpStoredList(p *simenv.Process) {
	if g.scenario.Plan.ColdStart.StartFrom != startFromList && g.scenario.Plan.ColdStart.StartFrom != startFromWait {
		return
	}
	text, _ := json.Marshal(map[string]any{"list": map[string]any{"folder": listDir}})
	p.Files[configPath] = append([]byte("// of this gateway\n"), text...)
	p.Variables["FOLDSLIP_SETTINGS"] = configPath
	p.Directories = map[string]*simenv.Directory{listDir: g.directory}
}

// restoreMachine brings a gateway's machine back; its power may have gone with the process. The drains that the previous
// process received syncedAfter before its end, or earlier, are on disk and bind the next one.
func (g *gatewayActor) restoreMachine(was *gatewayProcess) {
	s := g.scenario
	if was == nil || g.directory == nil || s.Plan.ColdStart.StartFrom != startFromList {
		return
	}
	if s.randN(2) == 0 {
		g.directory.Crash(s.sim.Rand)
	}
	for _, e := range s.events {
		told := was.notifiedAt(e.Number)
		if e.Endpoints == nil || told == 0 || told+syncedAfter > was.endedAt {
			continue
		}
		for _, m := range e.Endpoints.Endpoints {
			g.knownDraining[m.ID] = m.Phase != "up"
		}
	}
}

// stopDiscovery makes both discovery servers unreachable from the start.
func (s *Scenario) stopDiscovery() {
	span := time.Duration(s.Plan.ColdStart.AwayMS) * time.Millisecond
	if span == 0 {
		span = time.Hour
	}
	for _, d := range s.discoveryServers {
		d.stopFor(span)
	}
}

// isEarly reports whether a lookup was first sent in the time that EarlyLookups counts.
func (l *lookup) isEarly() bool { return l.firstSentAt < warmup+earlyPeriod }
