package limit

import "time"

// Set holds the limits of a configuration by name.
type Set struct {
	byName map[string]*Limit
	// draining holds limits that a change removed while lookups were open under them. They reject nothing, but they
	// count their open lookups until these have ended. If the change is undone, the open lookups are still counted.
	// There are at most as many draining limits as open lookups.
	draining map[string]*Limit
}

// NewSet returns the limits of the first configuration.
func NewSet(now time.Time, specs map[string]Spec) *Set { return (&Set{}).Carry(now, specs) }

// Carry returns the limits of the next configuration. A name that both configurations have keeps its Limit, so a permit
// from the previous set can be released at any time. An open lookup stays counted across any number of changes.
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

// findOrDraining returns the limit with the given name, active or draining, or nil if there is none.
func (s *Set) findOrDraining(name string) *Limit {
	if l := s.byName[name]; l != nil {
		return l
	}
	return s.draining[name]
}

// drain adds to the draining limits those of the previous set that this set does not have and that still have open
// lookups. It removes their limits.
func (s *Set) drain(now time.Time, before map[string]*Limit) {
	for name, l := range before {
		if s.byName[name] == nil && l.Open() > 0 {
			l.setSpec(now, Spec{})
			s.draining[name] = l
		}
	}
}

// EachFleetWide calls visit for each fleet-wide limit, in no particular order.
func (s *Set) EachFleetWide(visit func(name string, l *Limit)) {
	for name, l := range s.byName {
		if l.spec.FleetWide {
			visit(name, l)
		}
	}
}

// Find returns the limit with the given name, or nil if there is none. It does not find draining limits.
func (s *Set) Find(name string) *Limit { return s.byName[name] }
