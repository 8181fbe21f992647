package limit

import "time"

// Set is the limits of a configuration, by name.
type Set struct{ byName map[string]*Limit }

// NewSet returns the limits of the first configuration.
func NewSet(now time.Time, specs map[string]Spec) *Set { return (&Set{}).Carry(now, specs) }

// Carry returns the limits of the next configuration. A limit of the same name is the same one, so that a permit of the set before can be
// released at any time.
func (s *Set) Carry(now time.Time, specs map[string]Spec) *Set {
	next := &Set{byName: make(map[string]*Limit, len(specs))}
	for name, spec := range specs {
		if l := s.byName[name]; l != nil {
			l.setSpec(now, spec)
			next.byName[name] = l
			continue
		}
		next.byName[name] = New(now, name, spec)
	}
	return next
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
