package broadcast

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fanOut is the maximum number of children of a gateway in the tree.
//
// All gateways that see the same members compute the same tree. The members are sorted by region, zone, site and a
// hash of the name. The first member of a list is its head. The rest of the list is split into at most fanOut
// consecutive lists, and their heads are the children of the head. The list is split where a region begins. If all
// its members are of one region, it is split where a zone begins; within a zone, where a site begins; within a site,
// between any two members. As a result, every gateway has at most one parent and at most fanOut children, and one
// edge enters each region, zone or site from outside. A region that is cut off costs one edge.
const fanOut = 3

// rank returns the sort key of a member within its site. It is a hash, so that no name comes first at every site.
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

// SortMembers sorts members in the order in which Node.SetMembers holds them without a copy, so that many nodes of a
// process can share one list.
func SortMembers(members []Member) { slices.SortFunc(members, compareMembers) }

// Distances between two localities, in increasing order.
const (
	withinSite   = iota
	withinZone   // different sites
	withinRegion // different zones
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

// split splits a list behind its head and returns the bounds of the parts. Part i is rest[bounds[i]:bounds[i+1]],
// where rest is the list without its head.
func split(list []Member) []int {
	rest := list[1:]
	n := len(rest)
	bounds := []int{0}
	if n == 0 {
		return bounds
	}
	// In a sorted list, the first and the last member are the furthest apart. If the whole rest is of another
	// locality than the head, it stays in one part, so that one edge enters that locality.
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

// nearestBoundary returns the index nearest to the given one at which a new locality of the given level begins. Of
// two equally near indices it returns the lower one. It returns 0 if there is no such index.
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

// tree is the part of the tree that one member needs.
type tree struct {
	members    []Member // sorted; must not be modified
	selfIndex  int      // of this gateway in members; -1: not a member
	siteBounds [2]int   // index range of the own site in members
	parent     string   // "": none
	children   []string

	// For grafts.
	grandparent   string
	siblings      []string   // including this member
	grandchildren [][]string // children of each child

	tier        tier
	regionIndex int // number of regions before the own one
}

// tier is the widest locality that a member is the head of. Batches carry its numeric value.
type tier int

const (
	root tier = iota
	regionHead
	zoneHead
	siteHead
	siteMember // not the head of a locality
)

// buildTree computes the tree as one member needs it. The members must be sorted.
func buildTree(members []Member, self Member) tree {
	t := tree{members: members, selfIndex: -1, tier: siteMember}
	index, found := slices.BinarySearchFunc(members, self, compareMembers)
	if !found { // the view may list this gateway under another locality
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

// setBounds sets the bounds of the own site and the number of regions before the own one.
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
	t.tier = [...]tier{withinSite: siteMember, withinZone: siteHead, withinRegion: zoneHead, acrossRegions: regionHead}[distance(before.Locality, self.Locality)]
}

// setAncestors walks from the root to this member and sets its parent, grandparent and siblings. It returns the end
// of this member's subtree in members.
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

// heads returns the names of the first members of consecutive lists. The bounds are relative to the offset in
// members.
func heads(members []Member, offset int, bounds []int) (names []string) {
	for _, bound := range bounds[:len(bounds)-1] {
		names = append(names, members[offset+bound].Name)
	}
	return names
}

// sortedMembers returns the members sorted and without duplicates. It copies them only if they are not in that form.
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
