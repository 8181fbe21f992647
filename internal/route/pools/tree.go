package pools

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// node is a node of the radix tree. It holds the bytes that lead to
// it from the node above, and the routes whose patterns end at it.
type node struct {
	prefix       string
	children     []*node  // in ascending order of the first byte of their prefixes
	prefixRoutes []*route // routes whose pattern ends in a star or is empty
	exactRoutes  []*route // routes whose pattern is a complete object name
}

// insert returns the node of a pattern, which it creates if needed.
func (n *node) insert(pattern string) *node {
	if pattern == "" {
		return n
	}
	i, isFound := n.childIndex(pattern[0])
	if !isFound {
		leaf := &node{prefix: pattern}
		n.children = slices.Insert(n.children, i, leaf)
		return leaf
	}
	child := n.children[i]
	common := commonPrefix(child.prefix, pattern)
	if common < len(child.prefix) {
		child = splitNode(child, common)
		n.children[i] = child
	}
	return child.insert(pattern[common:])
}

// splitNode returns a new node above n and moves the first bytes of n's prefix to it.
func splitNode(n *node, length int) *node {
	above := &node{prefix: n.prefix[:length], children: []*node{n}}
	n.prefix = n.prefix[length:]
	return above
}

func commonPrefix(a, b string) (length int) {
	for length < len(a) && length < len(b) && a[length] == b[length] {
		length++
	}
	return length
}

func (n *node) childIndex(first byte) (index int, isFound bool) {
	return slices.BinarySearchFunc(n.children, first, func(child *node, first byte) int { return cmp.Compare(child.prefix[0], first) })
}

// sort orders the routes of each node by precedence.
func (n *node) sort() {
	slices.SortStableFunc(n.prefixRoutes, compareRoutes)
	slices.SortStableFunc(n.exactRoutes, compareRoutes)
	for _, child := range n.children {
		child.sort()
	}
}

// compareRoutes orders the routes of one pattern by precedence: more
// specific routes first, then routes with a share, then by index.
func compareRoutes(a, b *route) int {
	if order := cmp.Compare(b.specificity(), a.specificity()); order != 0 {
		return order
	}
	if a.hasShare() != b.hasShare() {
		if a.hasShare() {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.index, b.index)
}

// find returns the route of a lookup, or nil if no route matches. Such a lookup may be sent to any cache.
func (t *Table) find(kind, group int, object string, hash uint64) *route {
	var best *route
	n, rest := t.root, object
	for {
		if r := firstMatch(n.prefixRoutes, kind, group, hash); r != nil {
			best = r
		}
		if rest == "" {
			if r := firstMatch(n.exactRoutes, kind, group, hash); r != nil {
				best = r
			}
			return best
		}
		i, isFound := n.childIndex(rest[0])
		if !isFound || !strings.HasPrefix(rest, n.children[i].prefix) {
			return best
		}
		n = n.children[i]
		rest = rest[len(n.prefix):]
	}
}

func firstMatch(routes []*route, kind, group int, hash uint64) *route {
	for _, r := range routes {
		if (r.kind < 0 || r.kind == kind) && (r.group < 0 || r.group == group) {
			if at := fraction(hash); r.hashFrom <= at && at < r.hashTo {
				return r
			}
		}
	}
	return nil
}

// choosePool returns the pool of a route for an object by weighted rendezvous hashing. Adding or
// removing a pool or changing its weight moves only the objects that this pool gains or loses.
func (r *route) choosePool(hash uint64) *pool {
	if len(r.pools) == 1 {
		return r.pools[0]
	}
	var best *pool
	highest := math.Inf(-1)
	for i, p := range r.pools {
		weight := r.Targets[i].Weight
		if weight == 0 {
			weight = 1
		}
		u := (float64(mix(hash, p.hash)>>11) + 0.5) / (1 << 53)
		if score := -weight / math.Log(u); score > highest {
			best = p
			highest = score
		}
	}
	return best
}

// Hash returns the hash of an object's name. It is the object's position in all
// shares, so two configurations with the same share select the same objects.
func Hash(object string) uint64 { return xxhash.Sum64String(object) }

// fraction maps a hash to [0, 1).
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// mix combines two hashes into one.
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
