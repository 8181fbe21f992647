package scale

import (
	"fmt"
)

// Cut is a fault that separates two groups of nodes of a Network. No datagram passes between them in either direction.
type Cut struct {
	net  *Network
	side []uint8 // by node: 1 in the first group, 2 in the second, 3 in both, 0 in neither
}

// Cut separates two groups of nodes until Heal is called. Datagrams in flight between them are lost if they arrive
// before the heal. Cut panics if maxCuts cuts are in force.
func (n *Network) Cut(a, b []int) *Cut {
	if len(n.cuts) >= maxCuts {
		panic(fmt.Sprintf("scale.Network: more than %d cuts at once", maxCuts))
	}
	c := &Cut{net: n, side: make([]uint8, len(n.nodes))}
	for _, i := range a {
		c.side[i] |= 1
	}
	for _, i := range b {
		c.side[i] |= 2
	}
	n.cuts = append(n.cuts, c)
	return c
}

// Heal removes the cut. It does nothing if the cut is healed already.
func (c *Cut) Heal() {
	for i, o := range c.net.cuts {
		if o == c {
			c.net.cuts = append(c.net.cuts[:i:i], c.net.cuts[i+1:]...)
			return
		}
	}
}

// CanReach reports whether no cut separates two nodes.
func (n *Network) CanReach(from, to int) bool {
	for _, c := range n.cuts {
		f, t := c.side[from], c.side[to]
		if f&1 != 0 && t&2 != 0 || f&2 != 0 && t&1 != 0 {
			return false
		}
	}
	return true
}
