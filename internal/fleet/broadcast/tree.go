package broadcast

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// All gateways that see the same members compute the same tree. The members are sorted by region, zone, site and a hash of the name. The
// first of a list is its head; the rest is split into at most fanOut lists of neighbours, the children, where a region begins, or a zone
// where all are of one region, or a site, or between any two. So whatever its place a gateway has at most fanOut children and one parent,
// and a region, zone or site is entered from outside once: a cut region costs one edge.
const fanOut = 3

// rank orders the members of a site, so that no name comes first everywhere.
func rank(name string) uint64 { return xxhash.Sum64String(name) }

func compareMembers(a, b Member) int {
	if c := compareLocalities(a.Locality, b.Locality); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(rank(a.Name), rank(b.Name)), cmp.Compare(a.Name, b.Name))
}

func compareLocalities(a, b Locality) int {
	return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Site, b.Site))
}

// SortMembers sorts members as Node.SetMembers holds them, so that many nodes of a process can share one list.
func SortMembers(members []Member) { slices.SortFunc(members, compareMembers) }

// Distances of two localities.
const (
	withinSite   = iota
	withinZone   // of different sites
	withinRegion // of different zones
	acrossRegions
)

func distance(a, b Locality) int {
	switch {
	case a.Region != b.Region:
		return acrossRegions
	case a.Zone != b.Zone:
		return withinRegion
	case a.Site != b.Site:
		return withinZone
	}
	return withinSite
}

// split returns the bounds of the lists below the head of one: rest[bounds[i]:bounds[i+1]], where rest is all but the head.
func split(list []Member) []int {
	rest := list[1:]
	n := len(rest)
	bounds := []int{0}
	if n == 0 {
		return bounds
	}
	// First and last differ most in a sorted list. Where all of the rest is elsewhere than the head it is entered as one.
	level := max(distance(rest[0].Locality, rest[n-1].Locality), distance(list[0].Locality, rest[0].Locality))
	for part := 1; part < fanOut; part++ {
		bound := part * n / fanOut
		if level > withinSite {
			bound = nearestBoundary(rest, level, bound)
		}
		if bound > bounds[len(bounds)-1] {
			bounds = append(bounds, bound)
		}
	}
	return append(bounds, n)
}

// nearestBoundary is the index next to one where a locality of a level ends and another begins, the earlier of two as near; 0 where there
// is none.
func nearestBoundary(rest []Member, level, index int) int {
	isBoundary := func(i int) bool {
		return i > 0 && i < len(rest) && distance(rest[i-1].Locality, rest[i].Locality) >= level
	}
	for offset := 0; offset <= len(rest); offset++ {
		if isBoundary(index - offset) {
			return index - offset
		}
		if isBoundary(index + offset) {
			return index + offset
		}
	}
	return 0
}

// tree is what one member has of the tree.
type tree struct {
	members    []Member // sorted; not written to
	selfIndex  int      // -1: not among them
	siteBounds [2]int   // of the own site in members
	parent     string   // "": none
	children   []string

	// For grafts.
	grandparent   string
	siblings      []string // this member among them
	grandchildren [][]string

	tier        tier
	regionIndex int // regions before the own one
}

// tier is how high a member stands. Its numbers are sent in batches.
type tier int

const (
	root tier = iota
	regionHead
	zoneHead
	siteHead
	other
)

// buildTree computes the tree of a member. The members must be sorted.
func buildTree(members []Member, self Member) tree {
	t := tree{members: members, selfIndex: -1, tier: other}
	index, found := slices.BinarySearchFunc(members, self, compareMembers)
	if !found { // the view may have another locality of it
		index = slices.IndexFunc(members, func(m Member) bool { return m.Name == self.Name })
		if index < 0 {
			return t
		}
	}
	t.selfIndex = index
	t.setBounds()
	t.setTier()
	subtreeEnd := t.setAncestors()
	t.setDescendants(subtreeEnd)
	return t
}

// setBounds finds the own site and counts the regions before the own one.
func (t *tree) setBounds() {
	locality := t.members[t.selfIndex].Locality
	first, end := t.selfIndex, t.selfIndex+1
	for first > 0 && t.members[first-1].Locality == locality {
		first--
	}
	for end < len(t.members) && t.members[end].Locality == locality {
		end++
	}
	t.siteBounds = [2]int{first, end}
	for i := 1; i <= t.selfIndex; i++ {
		if t.members[i].Locality.Region != t.members[i-1].Locality.Region {
			t.regionIndex++
		}
	}
}

func (t *tree) setTier() {
	if t.selfIndex == 0 {
		t.tier = root
		return
	}
	before, self := t.members[t.selfIndex-1], t.members[t.selfIndex]
	t.tier = [...]tier{withinSite: other, withinZone: siteHead, withinRegion: zoneHead, acrossRegions: regionHead}[distance(before.Locality, self.Locality)]
}

// setAncestors walks from the root to this member and returns the end of its subtree in members.
func (t *tree) setAncestors() (subtreeEnd int) {
	from, to := 0, len(t.members)
	for from != t.selfIndex {
		t.grandparent = t.parent
		t.parent = t.members[from].Name
		bounds := split(t.members[from:to])
		t.siblings = heads(t.members, from+1, bounds)
		for i := range len(bounds) - 1 {
			low, high := from+1+bounds[i], from+1+bounds[i+1]
			if t.selfIndex >= low && t.selfIndex < high {
				from, to = low, high
				break
			}
		}
	}
	return to
}

func (t *tree) setDescendants(subtreeEnd int) {
	first := t.selfIndex + 1
	bounds := split(t.members[t.selfIndex:subtreeEnd])
	t.children = heads(t.members, first, bounds)
	for i := range t.children {
		low, high := first+bounds[i], first+bounds[i+1]
		t.grandchildren = append(t.grandchildren, heads(t.members, low+1, split(t.members[low:high])))
	}
}

// heads are the first members of lists whose bounds begin at an offset.
func heads(members []Member, offset int, bounds []int) (names []string) {
	for _, bound := range bounds[:len(bounds)-1] {
		names = append(names, members[offset+bound].Name)
	}
	return names
}

// sortedMembers returns the members in order, without duplicates; a copy if they are not sorted.
func sortedMembers(members []Member) []Member {
	for i := 1; i < len(members); i++ {
		if compareMembers(members[i-1], members[i]) >= 0 {
			members = slices.Clone(members)
			SortMembers(members)
			return slices.Compact(members)
		}
	}
	return members
}

func sameMembers(a, b []Member) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0] || slices.Equal(a, b)
}
