package pools

import "slices"

// Cache is a cache of the endpoint list.
type Cache struct {
	Name       string
	Location   string
	Labels     []string
	IsSource   bool // a parent or the origin: no lookup is sent to it
	IsDraining bool
}

// Scope is what a lookup may be sent to, and filled from. A nil map allows all. Neither map changes.
type Scope struct {
	Pool    string
	Caches  map[string]bool
	Sources map[string]bool
}

// Decision is the route of a lookup, and what it brings.
type Decision struct {
	Route    string // "": none, and the lookup may go anywhere
	Tenant   string
	MaxAgeMS int64  // 0: as the kind has it
	Scope    *Scope // nil: all caches
}

// View is a table with the present caches.
type View struct {
	Version uint64 // of the configuration
	table   *Table
	scopes  []*Scope // by pool
}

// cacheIndex finds the caches of a list that may be in pools: a pool looks at few of them.
type cacheIndex struct {
	all        []Cache
	byLocation map[string][]Cache // without sources, as byName
	byName     map[string]Cache
}

func newCacheIndex(caches []Cache) *cacheIndex {
	index := &cacheIndex{all: caches, byLocation: map[string][]Cache{}, byName: make(map[string]Cache, len(caches))}
	for _, c := range caches {
		if !c.IsSource {
			index.byLocation[c.Location] = append(index.byLocation[c.Location], c)
			index.byName[c.Name] = c
		}
	}
	return index
}

// View returns a view with a list of caches. A cache that drains is still in its pools: what it is sent is the policy's to decide.
func (t *Table) View(version uint64, caches []Cache) *View {
	v := &View{Version: version, table: t}
	index := newCacheIndex(caches)
	for _, p := range t.pools {
		v.scopes = append(v.scopes, p.scope(index))
	}
	return v
}

// scope returns the scope of the pool with the present caches.
func (p *pool) scope(index *cacheIndex) *Scope {
	s := &Scope{Pool: p.name, Caches: map[string]bool{}}
	addFrom := func(caches []Cache) {
		for _, c := range caches {
			if p.contains(c) {
				s.Caches[c.Name] = true
			}
		}
	}
	for _, location := range p.Locations {
		addFrom(index.byLocation[location])
	}
	if len(p.Locations) == 0 && len(p.Labels) > 0 {
		addFrom(index.all)
	}
	for _, name := range p.Names {
		if c, isListed := index.byName[name]; isListed && !p.excluded[name] {
			s.Caches[c.Name] = true
		}
	}
	if len(p.Sources) > 0 {
		s.Sources = toSet(p.Sources)
	}
	return s
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
	return !slices.ContainsFunc(p.Labels, func(label string) bool { return !slices.Contains(c.Labels, label) })
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
