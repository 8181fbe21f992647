package pools

import "slices"

// Cache describes an endpoint of the endpoint list: an edge cache or a source.
type Cache struct {
	Name       string
	Location   string
	Labels     []string
	IsSource   bool // a parent or the origin, to which no lookup is sent
	IsDraining bool
}

// Scope limits the caches that a lookup may be sent to and the sources that
// it may be filled from. A nil map allows all. The maps are immutable.
type Scope struct {
	Pool    string
	Caches  map[string]bool
	Sources map[string]bool
}

// Decision is the result of routing a lookup.
type Decision struct {
	Route    string // name of the route; "" if no route matches
	Tenant   string
	MaxAgeMS int64  // largest age of a copy in milliseconds; 0 for the limit of the object kind
	Scope    *Scope // nil if the lookup may be sent to any cache, as without a route
}

// View is a Table resolved against a list of caches.
type View struct {
	Version uint64 // version of the configuration
	table   *Table
	scopes  []*Scope // by index of the pool
}

// cacheIndex indexes a list of caches by location and by name, so that
// a pool with locations or names need not examine the whole list.
type cacheIndex struct {
	all        []Cache
	byLocation map[string][]Cache // without sources
	byName     map[string]Cache   // without sources
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

// View resolves the table against a list of caches. A draining cache
// stays in its pools, because the policy decides what it is sent.
func (t *Table) View(version uint64, caches []Cache) *View {
	v := &View{Version: version, table: t}
	index := newCacheIndex(caches)
	for _, p := range t.pools {
		v.scopes = append(v.scopes, p.scope(index))
	}
	return v
}

// scope returns the scope of the pool for the caches of the index.
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

// Route returns the routing decision for a lookup.
func (v *View) Route(kind, group int, object string) Decision {
	hash := Hash(object)
	r := v.table.find(kind, group, object, hash)
	if r == nil {
		return Decision{}
	}
	return Decision{Route: r.Name, Tenant: r.Tenant, MaxAgeMS: r.MaxAgeMS, Scope: v.scopes[r.choosePool(hash).index]}
}
