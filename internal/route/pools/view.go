package pools

import (
	"fmt"
	"slices"
)

// Cache is a cache of the list, as pools see it.
type Cache struct {
	Name, Location string
	Labels         []string
	IsSource       bool // a parent or the origin: no lookup is sent to it
	IsDraining     bool
}

// Scope is what a lookup may be sent to, and filled from. Nil maps allow all.
type Scope struct {
	Pool    string
	Caches  map[string]bool
	Sources map[string]bool
}

// Decision is the route of a lookup, and what it brings.
type Decision struct {
	Route, Tenant string
	MaxAgeMS      int64
	Scope         *Scope // nil: all caches
}

// View is a table with the caches of the moment.
type View struct {
	Version uint64 // of the configuration
	table   *Table
	scopes  []*Scope // by pool
}

// View makes a view. A cache that drains is in its pools still: what it is sent is the module's to say.
func (t *Table) View(version uint64, caches []Cache) *View {
	v := &View{Version: version, table: t}
	at, by := map[string][]Cache{}, make(map[string]Cache, len(caches)) // by location, by name: a pool looks at few of them
	for _, c := range caches {
		if !c.IsSource {
			at[c.Location], by[c.Name] = append(at[c.Location], c), c
		}
	}
	for _, p := range t.pools {
		s := &Scope{Pool: p.name, Caches: map[string]bool{}}
		among := func(caches []Cache) {
			for _, c := range caches {
				if p.contains(c) {
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
			if c, there := by[n]; there && !p.excluded[n] {
				s.Caches[c.Name] = true
			}
		}
		if len(p.Sources) > 0 {
			s.Sources = toSet(p.Sources)
		}
		v.scopes = append(v.scopes, s)
	}
	return v
}

func (p *pool) contains(c Cache) bool {
	switch {
	case c.IsSource || p.excluded[c.Name]:
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
func (v *View) Route(kind, group int, object string) Decision {
	hash := Hash(object)
	r := v.table.find(kind, group, object, hash)
	if r == nil {
		return Decision{}
	}
	return Decision{Route: r.Name, Tenant: r.Tenant, MaxAgeMS: r.MaxAgeMS, Scope: v.scopes[r.choosePool(hash).index]}
}

// Check holds a table against the caches of the moment: pools that are empty or whose caches all drain, names that nobody has.
func (t *Table) Check(caches []Cache) (faults []Problem) {
	known := map[string]Cache{}
	for _, c := range caches {
		known[c.Name] = c
	}
	used := map[*pool]bool{}
	for _, r := range t.routes {
		for _, p := range r.pools {
			used[p] = true
		}
	}
	for _, p := range t.pools {
		path := "pools." + p.name
		for _, n := range slices.Concat(p.Names, p.Sources) {
			switch c, there := known[n]; {
			case !there:
				faults = append(faults, Problem{true, path, n + " is not in the list", "leave it out, or wait until it is listed"})
			case c.IsDraining:
				faults = append(faults, Problem{true, path, n + " drains", "leave it out: it will get no lookups"})
			case c.IsSource != slices.Contains(p.Sources, n):
				faults = append(faults, Problem{true, path, n + " is of another kind than it is named for", "names are caches, sources are parents or the origin"})
			}
		}
		all, draining := 0, 0
		for _, c := range caches {
			if !c.IsSource && p.contains(c) {
				all++
				if c.IsDraining {
					draining++
				}
			}
		}
		switch {
		case !used[p]:
			faults = append(faults, Problem{false, path, "no route leads there", "leave it out"})
		case all == 0:
			faults = append(faults, Problem{true, path, "no cache is in it", "look at its locations and labels"})
		case all == draining:
			faults = append(faults, Problem{true, path, "all its caches drain", "wait for others, or name them"})
		case draining > 0:
			faults = append(faults, Problem{false, path, fmt.Sprintf("%d of its %d caches drain", draining, all), "see that the others bear it"})
		}
	}
	return faults
}

// LoadSample is a lookup of a captured load.
type LoadSample struct {
	Kind   int     `json:"Kind"`
	Group  int     `json:"Group"`
	Object string  `json:"Object"`
	Bytes  float64 `json:"Bytes"`
}

// Impact is what a change does to a load.
type Impact struct {
	Lookups      int            `json:"Lookups"`
	Objects      int            `json:"Objects"`
	MovedObjects int            `json:"Moved"`
	Bytes        float64        `json:"Bytes"`
	MovedBytes   float64        `json:"MovedBytes"`
	ColdObjects  int            `json:"Cold"` // objects that moved to caches none of which had them
	MovedByPool  map[string]int `json:"To"`   // objects moved, by new pool
}

// Plan tells what a change from this view to another moves of a load, before it is applied.
func (v *View) Plan(next *View, load []LoadSample) (m Impact) {
	m.MovedByPool = map[string]int{}
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
			o = &seen{moved: !sameScope(a, b)}
			objects[key] = o
			if m.Objects++; o.moved {
				m.MovedObjects++
				name := "all"
				if b != nil {
					name = b.Pool
				}
				m.MovedByPool[name]++
				if disjointScopes(a, b) {
					m.ColdObjects++
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

func sameScope(a, b *Scope) bool {
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

func disjointScopes(a, b *Scope) bool {
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
