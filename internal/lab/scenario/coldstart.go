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

const (
	configPath      = "/etc/foldslip.jsonnet"
	listDir         = "/var/lib/foldslip"
	startedAtBegin  = time.Duration(1) // the start of what is cold when the day begins
	syncedAfter     = 2 * time.Second  // what a gateway received this long before its end is on its disk
	overloadRestart = 3 * time.Second  // a cache that was pushed over, until it starts anew
	earlyPeriod     = 30 * time.Second // from the first lookup; the share satisfied meanwhile is what a list is for
)

// EarlyLookups is what became of the lookups of a day's first 30 s; repeats count with the lookup they repeat.
type EarlyLookups struct {
	Sent      int `json:"Asked"`
	Satisfied int `json:"Satisfied"`
	Overloads int `json:"Pushed"` // times that a cold cache or parent was sent more than it bears
}

func (m *ColdStart) validate() error {
	switch {
	case !slices.Contains([]string{"list", "wait", "trust", "true"}, m.StartFrom):
		return fmt.Errorf("morning.from %q is unknown, expected list, wait, trust or true", m.StartFrom)
	case m.AgeSeconds < 0 || m.AwayMS < 0 || m.WrongShare < 0 || m.WrongShare > 1:
		return fmt.Errorf("morning: age_s and away_ms from 0, wrong 0 to 1")
	}
	return nil
}

// drawStartState makes what is true and what the list says.
func (d *Scenario) drawStartState() {
	m := d.Plan.ColdStart
	var rows []kept.Endpoint
	var left []kept.Endpoint
	row := func(c *cache) kept.Endpoint {
		return kept.Endpoint{ID: c.id, Addr: c.addr(), Zone: c.zone, MachineType: c.flavor, Cell: c.cell, Size: c.size}
	}
	for i := range len(d.caches) + len(d.parents) {
		place := d.cacheSlot(i)
		c := *place
		rows = append(rows, row(c))
		if float64(d.randN(1000)) >= m.WrongShare*1000 {
			continue
		}
		n := d.randN(5)
		if m.Cold {
			n = 0
		}
		switch n {
		case 0: // the same machine, started anew and cold
			c.startedAt, c.startEvent = startedAtBegin, 1
		case 1: // another cache, just started, stands at its address
			d.replaceIdentity(c)
			c.startedAt, c.startEvent = startedAtBegin, 1
		default: // it is elsewhere under another id; its old address refuses, is silent, or takes all and answers nothing
			*place = d.newCache(c.flavor, c.zone, fmt.Sprintf("10.5.%d.%d", i/200, i%200+1), c.size)
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
	for i := range len(d.caches) + len(d.parents) {
		if c := *d.cacheSlot(i); c.startedAt == 0 {
			c.prefill()
		}
	}
	rows = append(rows, row(d.origin))
	if d.randN(2) == 0 && len(d.caches) > 3 { // one drains, and both know it
		c := d.caches[d.randN(len(d.caches))]
		if c.startEvent == 0 && rows[slices.Index(d.caches, c)].ID == c.id {
			c.phase = "draining"
			if m.DrainUnannounced {
				c.phase = "up"
				d.after(warmup+8*time.Second, func() { c.publishPhase("draining", 0) })
			}
			for _, g := range d.gateways {
				g.knownDraining[c.id] = true
			}
			gone := row(c)
			gone.Phase = kept.Draining
			left = append(left, gone)
		}
	}
	d.writeKeptLists(rows, left)
	d.keptList = rows
}

// prefill gives a cache what one holds that has been up for long: what is asked for most.
func (c *cache) prefill() {
	d, most := c.scenario, edgeCapacity
	if c.flavor == "parent" {
		most = parentCapacity
	}
	for i := range 60 {
		for part := range 5 {
			q := &attemptRequest{object: fmt.Sprintf("s%d", i), part: part}
			if part == 4 {
				q = &attemptRequest{object: fmt.Sprintf("p%d", i)}
			}
			if len(c.copies) >= most {
				return
			}
			got := d.originCopy(q)
			got.createdAt = got.createdAt.Add(-time.Duration(d.randN(8000)) * time.Millisecond)
			c.store(q.key(), got, 1, most)
		}
	}
}

// cacheSlot is where an edge or a parent stands in the day's lists.
func (d *Scenario) cacheSlot(i int) **cache {
	if i < len(d.caches) {
		return &d.caches[i]
	}
	return &d.parents[i-len(d.caches)]
}

// replaceIdentity makes a cache another one.
func (d *Scenario) replaceIdentity(c *cache) {
	delete(d.byID, c.id)
	d.lastCacheID++
	c.id = fmt.Sprintf("%s-%d", c.flavor, d.lastCacheID)
	c.cell = d.lastCacheID
	d.byID[c.id] = c
}

// writeKeptLists puts the list on each gateway's disk, as a gateway wrote it.
func (d *Scenario) writeKeptLists(rows, left []kept.Endpoint) {
	m := d.Plan.ColdStart
	if m.StartFrom != "list" {
		return
	}
	at := simenv.Epoch.Add(-time.Duration(m.AgeSeconds-m.SkewSeconds) * time.Second).UnixMilli()
	last := int64(1)
	if m.NumbersRestarted {
		last = 500
	}
	for _, g := range d.gateways {
		s := kept.New()
		s.Apply(kept.Update{At: at, DiscoveryAddr: d.discoveryServers[0].addr(), LastEvent: last, Complete: true, Endpoints: rows})
		s.Apply(kept.Update{At: at, Endpoints: left, LastEvent: last})
		s.CacheHours, s.Departures = 2000, 4
		snap, err := s.Snapshot()
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
		if m.Torn {
			names, _ := g.directory.Names()
			for _, n := range names {
				if size := g.directory.Size(n); size > 30 {
					g.directory.Corrupt(n, size-1-d.randN(10), d.randN(2) == 0)
				}
			}
		}
	}
}

// initialList is the list of caches that a gateway receives at its start, in place of the events so far.
func (d *Scenario) initialList() any {
	m := d.Plan.ColdStart
	members := []endpoint{}
	switch m.StartFrom {
	case "trust":
		for _, r := range d.keptList {
			members = append(members, endpoint{ID: r.ID, HostPort: r.Addr, Locality: r.Zone, Flavor: r.MachineType, Cell: r.Cell, Phase: "up",
				Size: r.Size})
		}
	case "true":
		for _, c := range slices.Concat(d.caches, d.parents, []*cache{d.origin}) {
			members = append(members, c.endpoint(c.phase))
		}
	default:
		return nil
	}
	return map[string]any{"no": 0, "items": []any{map[string]any{"no": 0, "roster": &endpointUpdate{Revision: 1, Complete: true, Endpoints: members}}}}
}

// setUpKeptList sets a gateway's process up.
func (g *gatewayActor) setUpKeptList(p *simenv.Process) {
	if g.scenario.Plan.ColdStart.StartFrom != "list" && g.scenario.Plan.ColdStart.StartFrom != "wait" {
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
	d := g.scenario
	if was == nil || g.directory == nil || d.Plan.ColdStart.StartFrom != "list" {
		return
	}
	if d.randN(2) == 0 {
		g.directory.Crash(d.sim.Rand)
	}
	for _, e := range d.events {
		told := was.notifiedAt(e.Number)
		if e.Endpoints == nil || told == 0 || told+syncedAfter > was.endedAt {
			continue
		}
		for _, m := range e.Endpoints.Endpoints {
			g.knownDraining[m.ID] = m.Phase != "up"
		}
	}
}

// stopDiscovery takes the bulletins away at the start.
func (d *Scenario) stopDiscovery() {
	span := time.Duration(d.Plan.ColdStart.AwayMS) * time.Millisecond
	if span == 0 {
		span = time.Hour
	}
	for _, b := range d.discoveryServers {
		b.stopFor(span)
	}
}
