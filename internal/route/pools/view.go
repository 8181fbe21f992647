package pools

import (
	"fmt"
	"slices"
)

// Cache is a cache of the list, as pools see it.
type Cache struct {
	Name, Location string
	Labels         []string
	Source         bool // a parent or the origin: no lookup is sent to it
	Draining       bool
}

// Scope is what a lookup may be sent to, and filled from. Nil maps allow all.
type Scope struct {
	Pool    string
	Caches  map[string]bool
	Sources map[string]bool
}

// Decided is the route of a lookup, and what it brings.
type Decided struct {
	Route, Tenant string
	OldestMS      int64
	Scope         *Scope // nil: all caches
}

// View is a table with the caches of the moment.
type View struct {
	Version uint64 // of the configuration
	table   *Table
	scopes  []*Scope // by pool
}

// See makes a view. A cache that drains is in its pools still: what it is sent is the module's to say.
func (t *Table) See(version uint64, caches []Cache) *View {
	v := &View{Version: version, table: t}
	at, by := map[string][]Cache{}, make(map[string]Cache, len(caches)) // by location, by name: a pool looks at few of them
	for _, c := range caches {
		if !c.Source {
			at[c.Location], by[c.Name] = append(at[c.Location], c), c
		}
	}
	for _, p := range t.pools {
		s := &Scope{Pool: p.name, Caches: map[string]bool{}}
		among := func(caches []Cache) {
			for _, c := range caches {
				if p.holds(c) {
					s.Caches[c.Name] = true
				}
			}
		}
		for _, l := range p.Locations {
			among(at[l])
		}
		if len(p.Locations) == 0 && len(p.Labels) > 0 {
			among(caches)
		}
		for _, n := range p.Names {
			if c, there := by[n]; there && !p.not[n] {
				s.Caches[c.Name] = true
			}
		}
		if len(p.Sources) > 0 {
			s.Sources = set(p.Sources)
		}
		v.scopes = append(v.scopes, s)
	}
	return v
}

func (p *pool) holds(c Cache) bool {
	switch {
	case c.Source || p.not[c.Name]:
		return false
	case p.names[c.Name]:
		return true
	case len(p.Locations) == 0 && len(p.Labels) == 0:
		return false
	case len(p.Locations) > 0 && !slices.Contains(p.Locations, c.Location):
		return false
	}
	return !slices.ContainsFunc(p.Labels, func(l string) bool { return !slices.Contains(c.Labels, l) })
}

// Route decides where a lookup may go.
func (v *View) Route(kind, group int, object string) Decided {
	hash := Hash(object)
	r := v.table.find(kind, group, object, hash)
	if r == nil {
		return Decided{}
	}
	return Decided{Route: r.Name, Tenant: r.Tenant, OldestMS: r.Oldest, Scope: v.scopes[r.choose(hash).no]}
}

// Check holds a table against the caches of the moment: pools that are empty or whose caches all drain, names that nobody has.
func (t *Table) Check(caches []Cache) (faults []Fault) {
	known := map[string]Cache{}
	for _, c := range caches {
		known[c.Name] = c
	}
	used := map[*pool]bool{}
	for _, r := range t.routes {
		for _, p := range r.to {
			used[p] = true
		}
	}
	for _, p := range t.pools {
		path := "pools." + p.name
		for _, n := range slices.Concat(p.Names, p.Sources) {
			switch c, there := known[n]; {
			case !there:
				faults = append(faults, Fault{true, path, n + " is not in the list", "leave it out, or wait until it is listed"})
			case c.Draining:
				faults = append(faults, Fault{true, path, n + " drains", "leave it out: it will get no lookups"})
			case c.Source != slices.Contains(p.Sources, n):
				faults = append(faults, Fault{true, path, n + " is of another kind than it is named for", "names are caches, sources are parents or the origin"})
			}
		}
		all, draining := 0, 0
		for _, c := range caches {
			if !c.Source && p.holds(c) {
				all++
				if c.Draining {
					draining++
				}
			}
		}
		switch {
		case !used[p]:
			faults = append(faults, Fault{false, path, "no route leads there", "leave it out"})
		case all == 0:
			faults = append(faults, Fault{true, path, "no cache is in it", "look at its locations and labels"})
		case all == draining:
			faults = append(faults, Fault{true, path, "all its caches drain", "wait for others, or name them"})
		case draining > 0:
			faults = append(faults, Fault{false, path, fmt.Sprintf("%d of its %d caches drain", draining, all), "see that the others bear it"})
		}
	}
	return faults
}

// Load is a lookup of a captured load.
type Load struct {
	Kind   int     `json:"Kind"`
	Group  int     `json:"Group"`
	Object string  `json:"Object"`
	Bytes  float64 `json:"Bytes"`
}

// Move is what a change does to a load.
type Move struct {
	Lookups    int            `json:"Lookups"`
	Objects    int            `json:"Objects"`
	Moved      int            `json:"Moved"`
	Bytes      float64        `json:"Bytes"`
	MovedBytes float64        `json:"MovedBytes"`
	Cold       int            `json:"Cold"` // objects that moved to caches none of which had them
	To         map[string]int `json:"To"`   // objects moved, by new pool
}

// Plan tells what a change from this view to another moves of a load, before it is applied.
func (v *View) Plan(next *View, load []Load) (m Move) {
	m.To = map[string]int{}
	type seen struct {
		moved bool
		bytes float64
	}
	objects := map[string]*seen{}
	for _, l := range load {
		m.Lookups++
		key := fmt.Sprintf("%d/%d/%s", l.Kind, l.Group, l.Object)
		o := objects[key]
		if o == nil {
			a, b := v.Route(l.Kind, l.Group, l.Object).Scope, next.Route(l.Kind, l.Group, l.Object).Scope
			o = &seen{moved: !same(a, b)}
			objects[key] = o
			if m.Objects++; o.moved {
				m.Moved++
				name := "all"
				if b != nil {
					name = b.Pool
				}
				m.To[name]++
				if apart(a, b) {
					m.Cold++
				}
			}
		}
		if l.Bytes > o.bytes {
			if m.Bytes += l.Bytes - o.bytes; o.moved {
				m.MovedBytes += l.Bytes - o.bytes
			}
			o.bytes = l.Bytes
		}
	}
	return m
}

func same(a, b *Scope) bool {
	if a == nil || b == nil {
		return a == b
	}
	if len(a.Caches) != len(b.Caches) {
		return false
	}
	for n := range a.Caches {
		if !b.Caches[n] {
			return false
		}
	}
	return true
}

func apart(a, b *Scope) bool {
	if a == nil || b == nil {
		return false
	}
	for n := range a.Caches {
		if b.Caches[n] {
			return false
		}
	}
	return true
}
