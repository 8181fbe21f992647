package broadcast

import (
	"maps"
	"slices"
)

// Graft. The view takes seconds to tell that a gateway is dead, and meanwhile its place parts the tree. Neighbours tell each other haves, so
// those of the dead one know within silence, and stand in a line for it: its parent, then its children in order. Each takes for an edge of the
// tree the next of the line on either side, and beyond it if that one is silent too. So each gets two edges more at most for a dead
// neighbour. Plumtree grafts by what is missing; here the order is known to all, so nobody has to ask.
const silenceTimeout = 1_500_000 // some five haves

func (n *Node) isSilent(peer string, now int64) bool {
	at, known := n.lastSeen[peer]
	if !known {
		n.lastSeen[peer] = now
	}
	return known && now-at > silenceTimeout
}

// graft finds the edges that stand for those of silent neighbours.
func (n *Node) graft(now int64) {
	t := &n.tree
	n.grafts = n.grafts[:0]
	add := func(line []string) {
		for _, peer := range line {
			if !n.isNeighbour(peer) {
				n.grafts = append(n.grafts, peer)
			}
			if !n.isSilent(peer, now) {
				return
			}
		}
	}
	if t.parent != "" && n.isSilent(t.parent, now) {
		me := slices.Index(t.siblings, n.self.Name)
		before := slices.Clone(t.siblings[:me])
		slices.Reverse(before)
		if t.grandparent != "" {
			before = append(before, t.grandparent)
		}
		add(before)
		add(t.siblings[me+1:])
	}
	for i, child := range t.children {
		if n.isSilent(child, now) {
			add(t.grandchildren[i])
		}
	}
}

// neighbours are those across an edge.
func (n *Node) neighbours() []string {
	all := make([]string, 0, 1+len(n.tree.children)+len(n.grafts))
	if n.tree.parent != "" {
		all = append(all, n.tree.parent)
	}
	return append(append(all, n.tree.children...), n.grafts...)
}

// isNeighbour tells whether a peer is across an edge.
func (n *Node) isNeighbour(peer string) bool {
	return peer == n.tree.parent || slices.Contains(n.tree.children, peer) || slices.Contains(n.grafts, peer)
}

// forgetDistant keeps of those heard only who has to do with the own place.
func (n *Node) forgetDistant() {
	t := &n.tree
	for peer := range n.lastSeen {
		near := peer == t.parent || peer == t.grandparent || slices.Contains(t.siblings, peer) || slices.Contains(t.children, peer)
		for _, below := range t.grandchildren {
			near = near || slices.Contains(below, peer)
		}
		if !near {
			delete(n.lastSeen, peer)
		}
	}
	maps.DeleteFunc(n.activeNeighbours, func(peer string, _ bool) bool { return !n.isNeighbour(peer) })
}
