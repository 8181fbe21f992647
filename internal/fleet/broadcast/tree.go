package broadcast

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The tree is computed alike by all who see the same list. The members are sorted by region, zone, site and a sum of the name; a list's head
// is its node, and the rest is split into at most fanOut lists that stand together, cut where a region begins, or a zone where all are of one
// region, or a site, or between any two. So whatever its place a gateway has at most fanOut children and one parent, and a region, zone or site
// is entered from outside once: a cut region costs one edge.
const fanOut = 3

// rank orders the members of a site: no name is first everywhere.
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

// SortMembers sorts as See needs them, so that one list can be held by many nodes of a process.
func SortMembers(members []Member) { slices.SortFunc(members, compareMembers) }

// distance is how far two places are from each other: 0 one site, 1 one zone, 2 one region, 3 further.
func distance(a, b Locality) int {
	switch {
	case a.Region != b.Region:
		return 3
	case a.Zone != b.Zone:
		return 2
	case a.Site != b.Site:
		return 1
	}
	return 0
}

// split gives the bounds of the lists below the head of one: rest[bounds[i]:bounds[i+1]], where rest is all but the head.
func split(list []Member) []int {
	rest := list[1:]
	n := len(rest)
	bounds := []int{0}
	if n == 0 {
		return bounds
	}
	// First and last differ most in a sorted list. Where all of rest is elsewhere than the head it is entered as one.
	level := max(distance(rest[0].Locality, rest[n-1].Locality), distance(list[0].Locality, rest[0].Locality))
	if level == 0 {
		for part := 1; part < fanOut; part++ {
			if cut := part * n / fanOut; cut > bounds[len(bounds)-1] {
				bounds = append(bounds, cut)
			}
		}
		return append(bounds, n)
	}
	for part := 1; part < fanOut; part++ {
		want := part * n / fanOut
		if cut := nearestCut(rest, level, want); cut > bounds[len(bounds)-1] {
			bounds = append(bounds, cut)
		}
	}
	return append(bounds, n)
}

// nearestCut is the place next to want where one of the level ends and another begins; the earlier of two as near.
func nearestCut(rest []Member, level, want int) int {
	is := func(i int) bool {
		return i > 0 && i < len(rest) && distance(rest[i-1].Locality, rest[i].Locality) >= level
	}
	for d := 0; d <= len(rest); d++ {
		if is(want - d) {
			return want - d
		}
		if is(want + d) {
			return want + d
		}
	}
	return 0
}

// tree is what one member has of it.
type tree struct {
	members    []Member // sorted; not written
	selfIndex  int      // -1: not among them
	siteBounds [2]int   // of the own site, as part of members
	parent     string
	children   []string

	// For those that are silent (graft.go): the parent's parent and children, and the children's children.
	grandparent   string
	siblings      []string // self among them
	grandchildren [][]string

	tier        tier
	regionIndex int // regions before the own one
}

type tier int

const (
	root tier = iota
	regionHead
	zoneHead
	siteHead
	other
)

// buildTree computes it. The members must be sorted.
func buildTree(members []Member, self Member) tree {
	t := tree{members: members, selfIndex: -1, tier: other}
	me, found := slices.BinarySearchFunc(members, self, compareMembers)
	if !found { // the view may have another place of it
		if me = slices.IndexFunc(members, func(m Member) bool { return m.Name == self.Name }); me < 0 {
			return t
		}
		self = members[me]
	}
	t.selfIndex = me
	t.siteBounds[0], t.siteBounds[1] = me, me+1
	for t.siteBounds[0] > 0 && members[t.siteBounds[0]-1].Locality == self.Locality {
		t.siteBounds[0]--
	}
	for t.siteBounds[1] < len(members) && members[t.siteBounds[1]].Locality == self.Locality {
		t.siteBounds[1]++
	}
	for i := 1; i <= me; i++ {
		if members[i].Locality.Region != members[i-1].Locality.Region {
			t.regionIndex++
		}
	}
	switch {
	case me == 0:
		t.tier = root
	default:
		t.tier = [...]tier{other, siteHead, zoneHead, regionHead}[distance(members[me-1].Locality, self.Locality)]
	}
	from, to := 0, len(members)
	for from != me {
		t.grandparent, t.parent = t.parent, members[from].Name
		bounds := split(members[from:to])
		t.siblings = firsts(members, from+1, bounds)
		for i := range len(bounds) - 1 {
			if low, high := from+1+bounds[i], from+1+bounds[i+1]; me >= low && me < high {
				from, to = low, high
				break
			}
		}
	}
	bounds := split(members[me:to])
	t.children = firsts(members, me+1, bounds)
	for i := range t.children {
		low, high := me+1+bounds[i], me+1+bounds[i+1]
		t.grandchildren = append(t.grandchildren, firsts(members, low+1, split(members[low:high])))
	}
	return t
}

// firsts are the heads of lists that begin at an offset.
func firsts(members []Member, offset int, bounds []int) (all []string) {
	for _, b := range bounds[:len(bounds)-1] {
		all = append(all, members[offset+b].Name)
	}
	return all
}

// sortedMembers gives the members in order, a copy if they are not.
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
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0] || slices.Equal(a, b))
}
