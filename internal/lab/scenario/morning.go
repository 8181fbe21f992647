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

// Morning is a day that begins without the bulletin. What of the list is wrong is drawn from the day's seed.
type Morning struct {
	// From is what gateways start from: "list" (kept on disk), or for comparison "wait" (nothing, they wait for the bulletin),
	// "trust" (the same list, taken as told this moment), "true" (the list as it is, taken so).
	From   string  `json:"from"`
	Age    int     `json:"age_s"`   // of the list
	Wrong  float64 `json:"wrong"`   // share of its edges and parents that are no more what it says
	Away   int     `json:"away_ms"` // of the bulletin, from the start; 0: all day
	Cold   bool    `json:"cold"`    // what is wrong is that they have just started, cold
	Torn   bool    `json:"torn"`    // the last bytes of the list are torn
	Skew   int     `json:"skew_s"`  // the clock that wrote it was wrong by
	Behind bool    `json:"behind"`  // the bulletin tells of the drain later than the list
	Spans  bool    `json:"spans"`   // its numbers run beyond the bulletin's, which began anew
}

const (
	settingsAt = "/etc/foldslip.jsonnet"
	listAt     = "/var/lib/foldslip"
	atDawn     = time.Duration(1) // the start of what is cold when the day begins
	syncedBy   = 2 * time.Second  // what was told so long before a gateway's end is on its disk
	fallenFor  = 3 * time.Second  // a cache that was pushed over, until it starts anew
	earlyFor   = 30 * time.Second // from the first lookup; the share satisfied meanwhile is what a list is for
)

// Early is what became of the lookups of a day's first 30 s; repeats count with the lookup they repeat.
type Early struct {
	Asked     int `json:"Asked"`
	Satisfied int `json:"Satisfied"`
	Pushed    int `json:"Pushed"` // times that a cold cache or parent was sent more than it bears
}

func (m *Morning) check() error {
	switch {
	case !slices.Contains([]string{"list", "wait", "trust", "true"}, m.From):
		return fmt.Errorf("morning.from %q is unknown, expected list, wait, trust or true", m.From)
	case m.Age < 0 || m.Away < 0 || m.Wrong < 0 || m.Wrong > 1:
		return fmt.Errorf("morning: age_s and away_ms from 0, wrong 0 to 1")
	}
	return nil
}

// dawn makes what is true and what the list says.
func (d *Day) dawn() {
	m := d.Plan.Morning
	var rows []kept.Endpoint
	var left []kept.Endpoint
	row := func(c *cache) kept.Endpoint {
		return kept.Endpoint{ID: c.id, Addr: c.addr(), Zone: c.zone, MachineType: c.flavor, Cell: c.cell, Size: c.size}
	}
	for i := range len(d.caches) + len(d.parents) {
		place := d.place(i)
		c := *place
		rows = append(rows, row(c))
		if float64(d.chance(1000)) >= m.Wrong*1000 {
			continue
		}
		n := d.chance(5)
		if m.Cold {
			n = 0
		}
		switch n {
		case 0: // the same machine, started anew and cold
			c.started, c.startNo = atDawn, 1
		case 1: // another cache, just started, stands at its address
			d.rename(c)
			c.started, c.startNo = atDawn, 1
		default: // it is elsewhere under another id; its old address refuses, is silent, or takes all and answers nothing
			*place = d.newCache(c.flavor, c.zone, fmt.Sprintf("10.5.%d.%d", i/200, i%200+1), c.size)
			switch n {
			case 2:
				c.fall(false)
			case 3:
				c.fall(true)
			case 4:
				c.hung = true
			}
		}
	}
	for i := range len(d.caches) + len(d.parents) {
		if c := *d.place(i); c.started == 0 {
			c.warm()
		}
	}
	rows = append(rows, row(d.origin))
	if d.chance(2) == 0 && len(d.caches) > 3 { // one drains, and both know it
		c := d.caches[d.chance(len(d.caches))]
		if c.startNo == 0 && rows[slices.Index(d.caches, c)].ID == c.id {
			c.phase = "draining"
			if m.Behind {
				c.phase = "up"
				d.after(warmup+8*time.Second, func() { c.say("draining", 0) })
			}
			for _, g := range d.gateways {
				g.barred[c.id] = true
			}
			gone := row(c)
			gone.Phase = kept.Draining
			left = append(left, gone)
		}
	}
	d.keep(rows, left)
	d.yesterday = rows
}

// warm gives a cache what one holds that has been up for long: what is asked for most.
func (c *cache) warm() {
	d, most := c.d, edgeCopies
	if c.flavor == "parent" {
		most = parCopies
	}
	for i := range 60 {
		for part := range 5 {
			q := &do{object: fmt.Sprintf("s%d", i), part: part}
			if part == 4 {
				q = &do{object: fmt.Sprintf("p%d", i)}
			}
			if len(c.copies) >= most {
				return
			}
			got := d.current(q)
			got.born = got.born.Add(-time.Duration(d.chance(8000)) * time.Millisecond)
			c.keep(q.key(), got, 1, most)
		}
	}
}

// place is where an edge or a parent stands in the day's lists.
func (d *Day) place(i int) **cache {
	if i < len(d.caches) {
		return &d.caches[i]
	}
	return &d.parents[i-len(d.caches)]
}

// rename makes a cache another one.
func (d *Day) rename(c *cache) {
	delete(d.byID, c.id)
	d.ids++
	c.id = fmt.Sprintf("%s-%d", c.flavor, d.ids)
	c.cell = d.ids
	d.byID[c.id] = c
}

// keep puts the list on each gateway's disk, as a gateway wrote it.
func (d *Day) keep(rows, left []kept.Endpoint) {
	m := d.Plan.Morning
	if m.From != "list" {
		return
	}
	at := simenv.Epoch.Add(-time.Duration(m.Age-m.Skew) * time.Second).UnixMilli()
	last := int64(1)
	if m.Spans {
		last = 500
	}
	for _, g := range d.gateways {
		s := kept.New()
		s.Apply(kept.Update{At: at, DiscoveryAddr: d.bulletins[0].addr(), LastEvent: last, Complete: true, Endpoints: rows})
		s.Apply(kept.Update{At: at, Endpoints: left, LastEvent: last})
		s.CacheHours, s.Departures = 2000, 4
		snap, err := s.Snapshot()
		if err != nil {
			panic(err) // of our own plain types
		}
		rec, _, err := wal.Open(g.disk, snapshot.LogName)
		if err != nil {
			panic(err)
		}
		text, _ := kept.Update{At: at, StillCurrent: true}.Encode()
		if err := errors.Join(rec.WriteSnapshot(snap), rec.Append(text), rec.Close()); err != nil {
			panic(err)
		}
		if m.Torn {
			names, _ := g.disk.Names()
			for _, n := range names {
				if size := g.disk.Size(n); size > 30 {
					g.disk.Spoil(n, size-1-d.chance(10), d.chance(2) == 0)
				}
			}
		}
	}
}

// known is what a gateway is told at its start of the list, in the place of the events so far.
func (d *Day) known() any {
	m := d.Plan.Morning
	members := []member{}
	switch m.From {
	case "trust":
		for _, r := range d.yesterday {
			members = append(members, member{ID: r.ID, HostPort: r.Addr, Locality: r.Zone, Flavor: r.MachineType, Cell: r.Cell, Phase: "up",
				Size: r.Size})
		}
	case "true":
		for _, c := range slices.Concat(d.caches, d.parents, []*cache{d.origin}) {
			members = append(members, c.member(c.phase))
		}
	default:
		return nil
	}
	return map[string]any{"no": 0, "items": []any{map[string]any{"no": 0, "roster": &roster{Revision: 1, Complete: true, Members: members}}}}
}

// morning sets a gateway's process up.
func (g *gatewayActor) morning(p *simenv.Proc) {
	if g.d.Plan.Morning.From != "list" && g.d.Plan.Morning.From != "wait" {
		return
	}
	text, _ := json.Marshal(map[string]any{"list": map[string]any{"folder": listAt}})
	p.Files[settingsAt] = append([]byte("// of this gateway\n"), text...)
	p.Env_["FOLDSLIP_SETTINGS"] = settingsAt
	p.Disks = map[string]*simenv.Disk{listAt: g.disk}
}

// wake takes a machine up again: its power may have gone with the process. What the life before was told of drains, long
// enough before its end to have it on disk, holds for the next one.
func (g *gatewayActor) wake(was *life) {
	d := g.d
	if was == nil || g.disk == nil || d.Plan.Morning.From != "list" {
		return
	}
	if d.chance(2) == 0 {
		g.disk.Crash(d.w.Chance)
	}
	for _, e := range d.events {
		told := was.toldOf(e.No)
		if e.Roster == nil || told == 0 || told+syncedBy > was.ended {
			continue
		}
		for _, m := range e.Roster.Members {
			g.barred[m.ID] = m.Phase != "up"
		}
	}
}

// away takes the bulletins away at the start.
func (d *Day) away() {
	span := time.Duration(d.Plan.Morning.Away) * time.Millisecond
	if span == 0 {
		span = time.Hour
	}
	for _, b := range d.bulletins {
		b.fall(span)
	}
}
