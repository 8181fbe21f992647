// Package pools decides which caches a lookup may be sent to. A route selects lookups by object kind,
// group, object pattern and share of the objects, and leads them to pools. A pool selects caches by
// location, label or name. Routes only narrow the set of caches: the policy still decides which of
// them receives a lookup, whether the lookup is retried and what is rejected. The package does no I/O.
//
// A Table is compiled once from a configuration and is immutable. A View is a
// Table resolved against one list of caches; a new View is created when the list
// changes. Both are safe for concurrent use. A lookup is decided under one View.
//
// An object pattern is the name of an object, or the beginning of a name and a star. The patterns
// are held in a radix tree, so that the cost of finding a lookup's route depends on the length of
// the object's name and not on the number of routes. The longest matching pattern takes precedence.
// Among routes with the same pattern, a route that names kind and group comes first, then one that
// names the kind, then one that names the group, then one that names neither. Among routes that are
// equal in this respect, those with a share come first, in the order of the configuration.
package pools

import (
	"strings"

	"foldslip/internal/config"
	"foldslip/internal/limit"
)

// Problem describes a fault of a configuration: the path of the setting,
// the fault and its remedy. A Problem that is not an error is a warning.
type Problem struct {
	IsError bool   `json:"Error"`
	Path    string `json:"Path"`
	Text    string `json:"Text"`
	Remedy  string `json:"Remedy"`
}

// anyValue is the kind or the group of a route that matches every kind or every group.
const anyValue = -1

// Table is a compiled configuration of pools and routes.
type Table struct {
	pools  []*pool
	routes []*route
	root   *node
	limits map[string]limit.Spec // by "pool NAME", "route NAME" and "tenant NAME"
}

// HasFleetLimits reports whether any limit applies to the whole fleet.
func (t *Table) HasFleetLimits() bool {
	for _, l := range t.limits {
		if l.FleetWide {
			return true
		}
	}
	return false
}

// Limits returns the limits by name, for a limit.Set.
func (t *Table) Limits() map[string]limit.Spec { return t.limits }

type route struct {
	config.Route
	index            int
	kind, group      int // anyValue if the route matches all of them
	pools            []*pool
	hashFrom, hashTo float64 // range of the hash fractions of the route's objects: [hashFrom, hashTo) of [0, 1)
}

// hasShare reports whether the route matches only a share of the objects of its pattern.
func (r *route) hasShare() bool { return r.Share > 0 && r.Share < 1 }

// specificity returns the precedence of the route among the routes of one pattern.
// From the highest: a route that names kind and group, the kind, the group, neither.
func (r *route) specificity() (n int) {
	if r.kind >= 0 {
		n += 2
	}
	if r.group >= 0 {
		n++
	}
	return n
}

type pool struct {
	config.Pool
	name     string
	index    int
	hash     uint64
	names    map[string]bool
	excluded map[string]bool
}

// buildTree inserts the routes into the tree by their patterns.
func (t *Table) buildTree() {
	for _, r := range t.routes {
		pattern, isPrefix := strings.CutSuffix(r.Object, "*")
		if r.Object == "" {
			isPrefix = true
		}
		n := t.root.insert(pattern)
		if isPrefix {
			n.prefixRoutes = append(n.prefixRoutes, r)
		} else {
			n.exactRoutes = append(n.exactRoutes, r)
		}
	}
	t.root.sort()
}
