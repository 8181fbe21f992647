// Package pools decides which caches a lookup may be sent to: routes (by object kind, group, pattern of the object, share of objects) lead to
// pools (caches by location, label or name), and narrow what the policy chooses from. Which of them gets a lookup, whether it is retried and
// what is rejected stays the policy's decision. The package does no I/O.
//
// A Table is compiled from a configuration once and never changes. A View is a table with the present list of caches; another is made when the
// list changes. Both are safe for concurrent use. A lookup is decided under one View.
//
// Patterns are an object's name, or its beginning and a star. They are held in a radix tree, so that finding a lookup's route costs the length
// of its object's name, however many routes there are. The longest pattern wins, then a route that names kind and group, then kind, then group,
// then neither; among those of one place, those with a share go first, in their order.
package pools

import (
	"strings"

	"foldslip/internal/config"
	"foldslip/internal/limit"
)

// Problem is what is wrong with a configuration: where, what, and what to do. One that is no error is a warning.
type Problem struct {
	IsError bool   `json:"Error"`
	Path    string `json:"Path"`
	Text    string `json:"Text"`
	Remedy  string `json:"Remedy"`
}

// anyValue is the kind or group of a route that names none.
const anyValue = -1

// Table is a compiled configuration.
type Table struct {
	pools  []*pool
	routes []*route
	root   *node
	limits map[string]limit.Spec // by "pool NAME", "route NAME", "tenant NAME"
}

// HasFleetLimits reports whether any limit is the whole fleet's.
func (t *Table) HasFleetLimits() bool {
	for _, l := range t.limits {
		if l.FleetWide {
			return true
		}
	}
	return false
}

// Limits returns the limits by name, for limit.Set.
func (t *Table) Limits() map[string]limit.Spec { return t.limits }

type route struct {
	config.Route
	index            int
	kind, group      int // anyValue: any
	pools            []*pool
	hashFrom, hashTo float64 // the objects that it takes, by their place in [0, 1)
}

// hasShare reports whether the route takes only a part of its objects.
func (r *route) hasShare() bool { return r.Share > 0 && r.Share < 1 }

// specificity orders routes of one pattern: kind and group, kind, group, neither.
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

// buildTree puts the routes into the tree by their patterns.
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
