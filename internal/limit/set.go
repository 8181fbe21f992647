package limit

import "time"

// Set is the limits of a configuration, by name.
type Set struct {
	byName map[string]*Limit
	// draining are limits that a change took away while lookups were open under them. They limit nothing, and count until the lookups have
	// ended, so that an undo of the change finds them open. There are at most as many as open lookups.
	draining map[string]*Limit
}

// NewSet returns the limits of the first configuration.
func NewSet(now time.Time, specs map[string]Spec) *Set { return (&Set{}).Carry(now, specs) }

// Carry returns the limits of the next configuration. A limit of the same name is the same one, so that a permit of the set before can be
// released at any time, and a lookup that is open stays counted whatever changes come before its end.
func (s *Set) Carry(now time.Time, specs map[string]Spec) *Set {
	next := &Set{byName: make(map[string]*Limit, len(specs)), draining: map[string]*Limit{}}
	for name, spec := range specs {
		if l := s.findOrDraining(name); l != nil {
			l.setSpec(now, spec)
			next.byName[name] = l
			continue
		}
		next.byName[name] = New(now, name, spec)
	}
	next.drain(now, s.byName)
	next.drain(now, s.draining)
	return next
}

// findOrDraining returns the limit of a name, also one that drains, nil if there is none.
func (s *Set) findOrDraining(name string) *Limit {
	if l := s.byName[name]; l != nil {
		return l
	}
	return s.draining[name]
}

// drain keeps those of the set before that this one does not have and that lookups are open under.
func (s *Set) drain(now time.Time, before map[string]*Limit) {
	for name, l := range before {
		if s.byName[name] == nil && l.Open() > 0 {
			l.setSpec(now, Spec{})
			s.draining[name] = l
		}
	}
}

// EachFleetWide calls a function for each limit of the whole fleet, in no order.
func (s *Set) EachFleetWide(visit func(name string, l *Limit)) {
	for name, l := range s.byName {
		if l.spec.FleetWide {
			visit(name, l)
		}
	}
}

// Find returns the limit of a name, nil if there is none.
func (s *Set) Find(name string) *Limit { return s.byName[name] }
