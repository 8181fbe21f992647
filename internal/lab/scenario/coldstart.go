package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"foldslip/internal/lab/simenv"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/store/snapshot"
	"foldslip/internal/store/wal"
)

// ColdStart is the part of a plan that describes a start of gateways while discovery is unreachable. Which entries of
// the stored list are wrong is drawn from the plan's seed.
type ColdStart struct {
	// StartFrom is what gateways start from: "list", the list stored on disk. The other values
	// are for comparison: "wait" (no list; gateways wait for discovery), "trust" (the stored
	// list, taken as current), "true" (the true list).
	StartFrom        string  `json:"from"`
	AgeSeconds       int     `json:"age_s"`   // age of the list
	WrongShare       float64 `json:"wrong"`   // share of the edges and parents in the list whose state has changed since
	AwayMS           int     `json:"away_ms"` // time from the start for which discovery is unreachable; 0: to the end
	Cold             bool    `json:"cold"`    // the changed edges and parents have just started, cold, under the same IDs
	Torn             bool    `json:"torn"`    // the last bytes of the stored list are corrupted
	SkewSeconds      int     `json:"skew_s"`  // error of the clock with which the list was written
	DrainUnannounced bool    `json:"behind"`  // discovery announces a drain later than the list
	NumbersRestarted bool    `json:"spans"`   // discovery has restarted its event numbers, which are below the list's
}

// Values of ColdStart.StartFrom in plans.
const (
	startFromList  = "list"
	startFromWait  = "wait"
	startFromFresh = "trust"
	startFromTrue  = "true"
)

const (
	configPath      = "/etc/foldslip.jsonnet"
	listDir         = "/var/lib/foldslip"
	startedAtBegin  = time.Duration(1) // start time of a cache that is cold at the start of the scenario
	syncedAfter     = 2 * time.Second  // events that a gateway received this long before its end are on its disk
	overloadRestart = 3 * time.Second  // from the overload of a cache to its restart
	earlyPeriod     = 30 * time.Second // from the first lookup; the share satisfied in it shows the benefit of a stored list
)

// EarlyLookups counts the lookups of the first 30 s of a scenario. A lookup and its repeats count as one:
// Sent counts the first, and Satisfied whichever is satisfied.
type EarlyLookups struct {
	Sent      int `json:"Asked"`
	Satisfied int `json:"Satisfied"`
	Overloads int `json:"Pushed"` // number of times that a cold edge or parent was overloaded
}

func (cold *ColdStart) validate() error {
	switch {
	case !slices.Contains([]string{startFromList, startFromWait, startFromFresh, startFromTrue}, cold.StartFrom):
		return invalidPlan("morning.from %q is unknown, expected list, wait, trust or true", cold.StartFrom)
	case cold.AgeSeconds < 0 || cold.AwayMS < 0 || cold.WrongShare < 0 || cold.WrongShare > 1:
		return invalidPlan("morning: age_s %d and away_ms %d must be at least 0, wrong %g must be from 0 to 1", cold.AgeSeconds, cold.AwayMS, cold.WrongShare)
	}
	return nil
}

// drawStartState draws how the true state of the caches differs from the stored list, and writes the stored lists.
func (s *Scenario) drawStartState() {
	cold := s.Plan.ColdStart
	var rows []endpoints.Endpoint
	var departed []endpoints.Endpoint
	row := func(c *cache) endpoints.Endpoint {
		return endpoints.Endpoint{ID: c.id, Addr: c.addr(), Zone: c.zone, MachineType: c.flavor, Cell: c.cell, Size: c.size}
	}
	for i := range len(s.caches) + len(s.parents) {
		slot := s.cacheSlot(i)
		c := *slot
		rows = append(rows, row(c))
		if float64(s.randN(1000)) >= cold.WrongShare*1000 {
			continue
		}
		n := s.randN(5)
		if cold.Cold {
			n = 0
		}
		switch n {
		case 0: // the same cache has restarted, cold
			c.startedAt, c.startEvent = startedAtBegin, 1
		case 1: // another cache has just started, cold, at its address
			s.replaceIdentity(c)
			c.startedAt, c.startEvent = startedAtBegin, 1
		default: // it has another address and ID; its old address refuses, is silent, or accepts everything and answers nothing
			*slot = s.newCache(c.flavor, c.zone, fmt.Sprintf("10.5.%d.%d", i/200, i%200+1), c.size)
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
	if s.randN(2) == 0 && len(s.caches) > 3 { // one edge drains, and both the list and discovery say so
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
			draining := row(c)
			draining.Phase = endpoints.Draining
			departed = append(departed, draining)
		}
	}
	s.writeStoredLists(rows, departed)
	s.storedList = rows
}

// prefill stores the most popular objects in a cache, as a cache that has long been up holds them.
func (c *cache) prefill() {
	s, capacity := c.scenario, edgeCapacity
	if c.flavor == flavorParent {
		capacity = parentCapacity
	}
	for i := range 60 {
		for part := range 5 {
			request := &attemptRequest{object: fmt.Sprintf("s%d", i), part: part}
			if part == 4 {
				request = &attemptRequest{object: fmt.Sprintf("p%d", i)}
			}
			if len(c.stored) >= capacity {
				return
			}
			copied := s.originCopy(request)
			copied.createdAt = copied.createdAt.Add(-time.Duration(s.randN(8000)) * time.Millisecond)
			c.store(request.key(), copied, 1, capacity)
		}
	}
}

// cacheSlot returns the element of the scenario's lists for the i-th cache, edges first and then parents.
func (s *Scenario) cacheSlot(i int) **cache {
	if i < len(s.caches) {
		return &s.caches[i]
	}
	return &s.parents[i-len(s.caches)]
}

// replaceIdentity gives a cache a new ID and a new cell, as if another cache had taken its address.
func (s *Scenario) replaceIdentity(c *cache) {
	delete(s.byID, c.id)
	s.lastCacheID++
	c.id = fmt.Sprintf("%s-%d", c.flavor, s.lastCacheID)
	c.cell = s.lastCacheID
	s.byID[c.id] = c
}

// writeStoredLists writes the list to the disk of each gateway in the files that a gateway writes.
func (s *Scenario) writeStoredLists(rows, departed []endpoints.Endpoint) {
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
		list := endpoints.New()
		list.Apply(endpoints.Update{At: at, DiscoveryAddr: s.discoveryServers[0].addr(), LastEvent: last, Complete: true, Endpoints: rows})
		list.Apply(endpoints.Update{At: at, Endpoints: departed, LastEvent: last})
		list.CacheHours, list.Departures = 2000, 4
		snap, err := list.Snapshot()
		if err != nil {
			panic(err) // cannot happen: the list holds plain types only
		}
		log, _, err := wal.Open(g.directory, snapshot.LogName)
		if err != nil {
			panic(err)
		}
		text, _ := endpoints.Update{At: at, StillCurrent: true}.Encode()
		if err := errors.Join(log.WriteSnapshot(snap), log.Append(text), log.Close()); err != nil {
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

// initialList returns the list of caches that the configuration gives to a gateway at its start, in place of the events
// so far. It is nil if the gateway starts from its disk or waits for discovery.
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

// setUpStoredList configures a gateway process to store its list on its disk.
func (g *gatewayActor) setUpStoredList(p *simenv.Process) {
	if g.scenario.Plan.ColdStart.StartFrom != startFromList && g.scenario.Plan.ColdStart.StartFrom != startFromWait {
		return
	}
	text, _ := json.Marshal(map[string]any{"list": map[string]any{"folder": listDir}})
	p.Files[configPath] = append([]byte("// of this gateway\n"), text...)
	p.Variables["FOLDSLIP_SETTINGS"] = configPath
	p.Directories = map[string]*simenv.Directory{listDir: g.directory}
}

// restoreMachine prepares the disk of a gateway's machine for the next process. With probability 1/2 the machine lost
// power with the previous process, so that writes that were not synced are lost. The drains that the previous process
// received at least syncedAfter before its end are on disk, and the next process must respect them.
func (g *gatewayActor) restoreMachine(was *gatewayProcess) {
	s := g.scenario
	if was == nil || g.directory == nil || s.Plan.ColdStart.StartFrom != startFromList {
		return
	}
	if s.randN(2) == 0 {
		g.directory.Crash(s.sim.Rand)
	}
	for _, e := range s.events {
		notified := was.notifiedAt(e.Number)
		if e.Endpoints == nil || notified == 0 || notified+syncedAfter > was.endedAt {
			continue
		}
		for _, m := range e.Endpoints.Endpoints {
			g.knownDraining[m.ID] = m.Phase != "up"
		}
	}
}

// stopDiscovery makes both discovery servers unreachable for the time that the plan says, from now on.
func (s *Scenario) stopDiscovery() {
	span := time.Duration(s.Plan.ColdStart.AwayMS) * time.Millisecond
	if span == 0 {
		span = time.Hour
	}
	for _, d := range s.discoveryServers {
		d.stopFor(span)
	}
}

// isEarly reports whether the lookup was first sent within earlyPeriod of the end
// of the warmup, so that EarlyLookups counts it.
func (l *lookup) isEarly() bool { return l.firstSentAt < warmup+earlyPeriod }
