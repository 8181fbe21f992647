package broadcast

import (
	"maps"
	"slices"
)

// Grafts are additional edges that bypass silent neighbours. The view takes seconds to report that a gateway is dead,
// and until then the tree is broken at its place. Neighbours exchange lazy pushes, so the neighbours of a dead
// gateway detect its silence within silenceTimeout. They form a line that bypasses it: its parent, followed by its
// children in order. Each gateway of the line adds an edge to the next gateway on either side. If that gateway is
// silent too, it adds an edge to the one beyond as well. A single dead neighbour thus costs a gateway at most two
// additional edges. Plumtree grafts an edge when a message is missing. Here all gateways know the order of the line,
// so a graft needs no request.
const silenceTimeout = 1_500_000 // microseconds, about five lazy pushes

// isSilent reports whether a peer has sent nothing for silenceTimeout. For a peer that has not been seen yet, the
// time runs from the first call.
func (n *Node) isSilent(peer string, now int64) bool {
	lastSeen, isKnown := n.lastSeen[peer]
	if !isKnown {
		n.lastSeen[peer] = now
		return false
	}
	return now-lastSeen > silenceTimeout
}

// graft recomputes the edges that bypass silent neighbours.
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

// graftFirstAlive grafts the members of a line, up to and including the first one that is not silent.
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

// neighbours returns the members at the other end of an edge: the parent, the children and the grafts.
func (n *Node) neighbours() []string {
	all := make([]string, 0, 1+len(n.tree.children)+len(n.grafts))
	if n.tree.parent != "" {
		all = append(all, n.tree.parent)
	}
	all = append(all, n.tree.children...)
	return append(all, n.grafts...)
}

// isNeighbour reports whether a peer is at the other end of an edge.
func (n *Node) isNeighbour(peer string) bool {
	return peer == n.tree.parent || slices.Contains(n.tree.children, peer) || slices.Contains(n.grafts, peer)
}

// dropDistantPeers drops the state of peers that are no longer near in the tree.
func (n *Node) dropDistantPeers() {
	maps.DeleteFunc(n.lastSeen, func(peer string, _ int64) bool { return !n.tree.isNear(peer) })
	maps.DeleteFunc(n.activeNeighbours, func(peer string, _ bool) bool { return !n.isNeighbour(peer) })
}

// isNear reports whether a peer is a neighbour of this member in the tree, or a neighbour of such a neighbour to
// which a graft may lead.
func (t *tree) isNear(peer string) bool {
	if peer == t.parent || peer == t.grandparent || slices.Contains(t.siblings, peer) || slices.Contains(t.children, peer) {
		return true
	}
	return slices.ContainsFunc(t.grandchildren, func(below []string) bool { return slices.Contains(below, peer) })
}
