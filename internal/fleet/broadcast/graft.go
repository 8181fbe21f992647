package broadcast

import (
	"maps"
	"slices"
)

// Grafts. The view takes seconds to tell that a gateway is dead, and until then its place parts the tree. Neighbours send each other lazy
// pushes, so those of a dead gateway know it within silenceTimeout, and form a line that bypasses it: its parent, then its children in
// order. Each takes as an edge of the tree the next of the line on either side, and the one beyond it if that one is silent too. So each
// gets at most two more edges for a dead neighbour. Plumtree grafts by what is missing; here the order is known to all, so nobody has to
// ask.
const silenceTimeout = 1_500_000 // microseconds, some five lazy pushes

// isSilent reports whether a peer has sent nothing for silenceTimeout, counted from when it was first asked about.
func (n *Node) isSilent(peer string, now int64) bool {
	lastSeen, isKnown := n.lastSeen[peer]
	if !isKnown {
		n.lastSeen[peer] = now
		return false
	}
	return now-lastSeen > silenceTimeout
}

// graft finds the edges that bypass silent neighbours.
func (n *Node) graft(now int64) {
	n.grafts = n.grafts[:0]
	t := &n.tree
	if t.parent != "" && n.isSilent(t.parent, now) {
		self := slices.Index(t.siblings, n.self.Name)
		before := slices.Clone(t.siblings[:self])
		slices.Reverse(before)
		if t.grandparent != "" {
			before = append(before, t.grandparent)
		}
		n.graftFirstAlive(before, now)
		n.graftFirstAlive(t.siblings[self+1:], now)
	}
	for i, child := range t.children {
		if n.isSilent(child, now) {
			n.graftFirstAlive(t.grandchildren[i], now)
		}
	}
}

// graftFirstAlive grafts members of a line up to the first one that is not silent.
func (n *Node) graftFirstAlive(line []string, now int64) {
	for _, peer := range line {
		if !n.isNeighbour(peer) {
			n.grafts = append(n.grafts, peer)
		}
		if !n.isSilent(peer, now) {
			return
		}
	}
}

// neighbours are the members across an edge.
func (n *Node) neighbours() []string {
	all := make([]string, 0, 1+len(n.tree.children)+len(n.grafts))
	if n.tree.parent != "" {
		all = append(all, n.tree.parent)
	}
	all = append(all, n.tree.children...)
	return append(all, n.grafts...)
}

// isNeighbour reports whether a peer is across an edge.
func (n *Node) isNeighbour(peer string) bool {
	return peer == n.tree.parent || slices.Contains(n.tree.children, peer) || slices.Contains(n.grafts, peer)
}

// dropDistantPeers forgets what is known of peers that are no longer near in the tree.
func (n *Node) dropDistantPeers() {
	maps.DeleteFunc(n.lastSeen, func(peer string, _ int64) bool { return !n.tree.isNear(peer) })
	maps.DeleteFunc(n.activeNeighbours, func(peer string, _ bool) bool { return !n.isNeighbour(peer) })
}

// isNear reports whether a peer is a neighbour of this member, or of one of its neighbours as far as grafts go.
func (t *tree) isNear(peer string) bool {
	if peer == t.parent || peer == t.grandparent || slices.Contains(t.siblings, peer) || slices.Contains(t.children, peer) {
		return true
	}
	return slices.ContainsFunc(t.grandchildren, func(below []string) bool { return slices.Contains(below, peer) })
}
