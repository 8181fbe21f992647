package broadcast

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func drawMembers(t *rapid.T) []Member {
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9]{1,6}`), 1, 120, rapid.ID[string]).Draw(t, "names")
	all := make([]Member, len(names))
	for i, name := range names {
		site := rapid.IntRange(0, 11).Draw(t, "site")
		all[i] = Member{name, Locality{string(rune('a' + site/6)), string(rune('a' + site/3)), string(rune('a' + site))}}
	}
	return all
}

// TestTree: every member once, at most three children, parent and children agree, each region, zone and site entered once, and the
// order of the list does not matter.
func TestTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawMembers(t)
		mixed := rapid.Permutation(all).Draw(t, "mixed")
		trees := map[string]tree{}
		for _, m := range all {
			n := New(DefaultSettings, m, 1, rand.New(rand.NewPCG(1, 1)), 0)
			n.SetMembers(mixed, 0)
			trees[m.Name] = n.tree
			if again := buildTree(sortedMembers(all), m); again.parent != n.tree.parent || !slices.Equal(again.children, n.tree.children) {
				t.Fatal("the order of the list matters")
			}
		}
		places := map[string]Locality{}
		for _, m := range all {
			places[m.Name] = m.Locality
		}
		roots := 0
		entered := map[string]int{}
		for name, its := range trees {
			if len(its.children) > fanOut {
				t.Fatalf("%s has %d children", name, len(its.children))
			}
			for _, c := range its.children {
				if trees[c].parent != name || trees[c].grandparent != its.parent || !slices.Equal(trees[c].siblings, its.children) {
					t.Fatalf("%s and its child %s do not agree", name, c)
				}
			}
			for i, c := range its.children {
				if !slices.Equal(its.grandchildren[i], trees[c].children) {
					t.Fatalf("%s does not know the children of %s", name, c)
				}
			}
			if its.parent == "" {
				roots++
				continue
			}
			a, b := places[its.parent], places[name]
			if a.Region != b.Region {
				entered["region "+b.Region]++
			}
			if a.Zone != b.Zone {
				entered["zone "+b.Zone]++
			}
			if a.Site != b.Site {
				entered["site "+b.Site]++
			}
			depth := 0
			for at := name; trees[at].parent != ""; at = trees[at].parent {
				if depth++; depth > len(all) {
					t.Fatal("a circle")
				}
			}
		}
		if roots != 1 {
			t.Fatalf("%d roots", roots)
		}
		for what, times := range entered {
			if times > 1 {
				t.Fatalf("%s is entered %d times", what, times)
			}
		}
	})
}

// TestDepth states how far the last of the users' fleet stands from the root.
func TestDepth(t *testing.T) {
	all := testMembers(3900, 300, 25, 12)
	SortMembers(all)
	var walk func(list []Member) (depth int)
	walk = func(list []Member) (depth int) {
		if len(list) == 0 {
			return 0
		}
		bounds := split(list)
		for i := range len(bounds) - 1 {
			depth = max(depth, walk(list[1+bounds[i]:1+bounds[i+1]]))
		}
		return depth + 1
	}
	if depth := walk(all) - 1; depth > 11 {
		t.Errorf("%d steps from the root", depth)
	} else {
		t.Logf("%d steps from the root at most", depth)
	}
}

// TestJoin plays frames of a small fleet in any order, again and not at all: what a node has heard only grows, each purge is heeded of
// peers once, and in the end all have the union.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := testMembers(rapid.IntRange(2, 7).Draw(t, "gateways"), 2, 1, 1)
		SortMembers(all)
		nodes := map[string]*Node{}
		heard := map[string]map[Purge]bool{}
		for i, m := range all {
			nodes[m.Name] = New(testSettings(), m, uint64(i), rand.New(rand.NewPCG(1, uint64(i))), 0)
			nodes[m.Name].SetMembers(all, 0)
			heard[m.Name] = map[Purge]bool{}
		}
		type flight struct {
			from string
			Message
		}
		var flying []flight
		union := map[Purge]bool{}
		now := int64(0)
		step := func(m Member) {
			n := nodes[m.Name]
			n.Step(now)
			for _, l := range n.TakeMessages() {
				flying = append(flying, flight{m.Name, l})
			}
			checkBounds(t, n)
		}
		deliver := func(l flight) {
			heed, err := nodes[l.To].HandleFrame(l.from, l.Frame, now)
			if err != nil {
				t.Fatalf("not read: %x", l.Frame)
			}
			for _, p := range heed {
				if heard[l.To][p] {
					t.Fatalf("%s heeds %v again", l.To, p)
				}
				if !union[p] {
					t.Fatalf("%v was told by nobody", p)
				}
				heard[l.To][p] = true
			}
			for p := range heard[l.To] {
				if !nodes[l.To].kept.add(p) {
					continue
				}
				t.Fatalf("%s lost %v", l.To, p)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 300_000).Draw(t, "later")
			switch m := rapid.SampledFrom(all).Draw(t, "who"); rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				p := drawPurge(t)
				p.Issued = epoch + now/1000 + rapid.Int64Range(-3000, 3000).Draw(t, "skew")
				union[p], heard[m.Name][p] = true, true
				nodes[m.Name].RecordOwn([]Purge{p}, now)
			case 1, 2:
				step(m)
			case 3:
				if len(flying) > 0 {
					i := rapid.IntRange(0, len(flying)-1).Draw(t, "which")
					deliver(flying[i])
					if rapid.Bool().Draw(t, "once") {
						flying = slices.Delete(flying, i, i+1)
					}
				}
			case 4:
				if len(flying) > 0 {
					flying = flying[1:]
				}
			}
		}
		flying = nil // all that was under way is lost
		for end := now + 90_000_000; now < end; now += 50_000 {
			for _, m := range all {
				step(m)
			}
			for _, l := range flying {
				deliver(l)
			}
			flying = flying[:0]
		}
		for _, m := range all {
			if len(heard[m.Name]) != len(union) {
				t.Fatalf("%s heard %d of %d", m.Name, len(heard[m.Name]), len(union))
			}
		}
	})
}

// nodePair is two nodes of a site; the first is the root.
func nodePair() (a, b *Node) {
	all := testMembers(2, 1, 1, 1)
	SortMembers(all)
	a, b = New(testSettings(), all[0], 1, rand.New(rand.NewPCG(1, 1)), 0), New(testSettings(), all[1], 2, rand.New(rand.NewPCG(1, 2)), 0)
	a.SetMembers(all, 0)
	b.SetMembers(all, 0)
	return a, b
}

// deliverAll plays some time between two, all frames delivered at once.
func deliverAll(t *testing.T, a, b *Node, from, to int64) (heedA, heedB []Purge) {
	t.Helper()
	for now := from; now < to; now += 10_000 {
		a.Step(now)
		b.Step(now)
		for i := range 20 {
			out := [2][]Message{a.TakeMessages(), b.TakeMessages()}
			if len(out[0])+len(out[1]) == 0 {
				break
			}
			if i == 19 {
				t.Fatal("they do not end")
			}
			for _, l := range out[0] {
				heed, err := b.HandleFrame(a.self.Name, l.Frame, now)
				if err != nil {
					t.Fatal(err)
				}
				heedB = append(heedB, heed...)
			}
			for _, l := range out[1] {
				heed, err := a.HandleFrame(b.self.Name, l.Frame, now)
				if err != nil {
					t.Fatal(err)
				}
				heedA = append(heedA, heed...)
			}
		}
	}
	return heedA, heedB
}

// TestIdentity: the same object purged at two times, in a group and without, are four purges, whatever any watch numbered them; and one
// told by both watches is one.
func TestIdentity(t *testing.T) {
	a, b := nodePair()
	four := []Purge{{"00000000000000aa", 0, epoch + 1}, {"00000000000000aa", 0, epoch + 2}, {"00000000000000aa", 7, epoch + 1}, {"", 7, epoch + 1}}
	a.RecordOwn(four, 0)
	b.RecordOwn(four[:1], 0)
	_, heard := deliverAll(t, a, b, 0, 3_000_000)
	sortByIssue(heard)
	if want := []Purge{four[3], four[2], four[1]}; !slices.Equal(heard, want) {
		t.Errorf("heard %v", heard)
	}
	if heard, _ = deliverAll(t, a, b, 3_000_000, 9_000_000); len(heard) > 0 || a.kept.count != 4 || b.kept.count != 4 {
		t.Errorf("heard %v again; kept %d and %d", heard, a.kept.count, b.kept.count)
	}
}

// TestRestart: a gateway that starts again with an empty set and a new stamp hears what it missed, and is heard from its first batch on.
func TestRestart(t *testing.T) {
	a, b := nodePair()
	a.RecordOwn([]Purge{{"one", 0, epoch + 1}}, 0)
	b.RecordOwn([]Purge{{"two", 0, epoch + 2}}, 0)
	deliverAll(t, a, b, 0, 8_000_000)
	again := New(testSettings(), a.self, 99, rand.New(rand.NewPCG(9, 9)), 8_000_000)
	again.SetMembers(b.tree.members, 8_000_000)
	three := Purge{"three", 0, epoch + 8001}
	again.RecordOwn([]Purge{three}, 8_000_000)
	heardA, heardB := deliverAll(t, again, b, 8_000_000, 20_000_000)
	if len(heardA) != 2 || !slices.Equal(heardB, []Purge{three}) {
		t.Errorf("heard %v and %v", heardA, heardB)
	}
}

// TestLongNames: up to 255 bytes they go; longer ones are counted and wait for the own watch.
func TestLongNames(t *testing.T) {
	a, b := nodePair()
	longest := Purge{strings.Repeat("x", maxObjectNameBytes), 0, epoch}
	a.RecordOwn([]Purge{longest, {strings.Repeat("y", maxObjectNameBytes+1), 0, epoch}, {"", 0, 0}, {"z", 0, maxIssued}}, 0)
	_, heard := deliverAll(t, a, b, 0, 3_000_000)
	if s := a.Stats(); !slices.Equal(heard, []Purge{longest}) || s.LongNames != 1 || s.ImplausiblePurges != 2 {
		t.Errorf("heard %d, long %d, wrong %d", len(heard), s.LongNames, s.ImplausiblePurges)
	}
}

// TestWrongClocks: a clock an hour off keeps no fresh purge back, and nothing that went is learnt again for ever.
func TestWrongClocks(t *testing.T) {
	for _, off := range []int64{-3_600_000, 3_600_000, 24 * 3_600_000, -24 * 3_600_000} {
		a, b := nodePair()
		b.settings.StartUnixMillis += off
		old := []Purge{}
		for i := range 90 {
			old = append(old, Purge{Group: int64(i), Issued: epoch - int64(i)*60_000})
		}
		a.RecordOwn(old, 0)
		fresh := Purge{"fresh", 0, epoch + 1}
		a.RecordOwn([]Purge{fresh}, 0)
		_, heard := deliverAll(t, a, b, 0, 60_000_000)
		if !slices.Contains(heard, fresh) {
			t.Errorf("off by %d ms: the fresh one was not heard", off)
		}
		seen := map[Purge]int{}
		for _, p := range heard {
			if seen[p]++; seen[p] > 1 {
				t.Errorf("off by %d ms: %v heard again", off, p)
			}
		}
		back := Purge{"back", 0, epoch + 60_001}
		b.RecordOwn([]Purge{back}, 60_000_000)
		if heard, _ := deliverAll(t, a, b, 60_000_000, 70_000_000); !slices.Contains(heard, back) {
			t.Errorf("off by %d ms: what its own watch told was not passed on", off)
		}
	}
}

// TestFull: more than there is room for drops the oldest, counted, and the sums stay right.
func TestFull(t *testing.T) {
	set := testSettings()
	set.MaxKept = 500
	all := testMembers(2, 1, 1, 1)
	n := New(set, all[0], 1, rand.New(rand.NewPCG(1, 1)), 0)
	n.SetMembers(all, 0)
	chance := rand.New(rand.NewPCG(1, 2))
	for range 5_000 {
		p := Purge{Object: hexString(chance.Uint64()), Issued: epoch - chance.Int64N(100_000)}
		if chance.IntN(3) == 0 {
			p.Object += "x"
		}
		n.RecordOwn([]Purge{p}, 0)
	}
	checkBounds(t, n)
	if s := n.Stats(); s.Dropped == 0 || uint64(s.Kept)+s.Dropped != 5_000 {
		t.Errorf("kept %d, dropped %d", s.Kept, s.Dropped)
	}
}

// TestLiar: a peer that tells a false batch under another's id, far sequences, and haves of what is not, keeps nothing back.
func TestLiar(t *testing.T) {
	a, b := nodePair()
	lie, _ := encodeBatch(batchID{a.originID, 1}, root, []Purge{{"a lie", 0, epoch}})
	far, _ := encodeBatch(batchID{a.originID, maxSeq}, root, []Purge{{"another", 0, maxIssued - 1}})
	for _, frame := range [][]byte{lie, far, encodeLazyPush([]originProgress{{a.originID, maxSeq, 1<<64 - 1}, {1, 5, 1 << 63}})} {
		if _, err := b.HandleFrame("who", frame, 0); err != nil {
			t.Fatal(err)
		}
	}
	truth := Purge{"the truth", 0, epoch + 1}
	a.RecordOwn([]Purge{truth}, 0)
	if _, heard := deliverAll(t, a, b, 0, 3_000_000); !slices.Contains(heard, truth) {
		t.Error("the truth was kept back")
	}
	checkBounds(t, b)
}

// TestBehind: who knows of batches that it lacks says so, since when, and no more when it has them.
func TestBehind(t *testing.T) {
	a, b := nodePair()
	for i := range 3 {
		at := int64(i) * 300_000
		a.RecordOwn([]Purge{{Group: int64(i), Issued: epoch + int64(i)}}, at)
		a.Step(at + 200_000)
		for _, l := range a.TakeMessages() {
			if l.Frame[1] == frameBatch && i != 1 {
				if _, err := b.HandleFrame(a.self.Name, l.Frame, at+200_000); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	if s := b.Stats().Behind; s != (Lag{MissingBatches: 1, Since: 800_000}) {
		t.Errorf("says %+v", s)
	}
	if _, heard := deliverAll(t, a, b, 900_000, 1_500_000); len(heard) != 1 || b.Stats().Behind != (Lag{}) {
		t.Errorf("heard %v, says %+v", heard, b.Stats().Behind)
	}
}

// TestNeverEnough: a peer that answers each pull with a part of it is left after a bounded number.
func TestNeverEnough(t *testing.T) {
	all := testMembers(2, 1, 1, 1)
	n := New(testSettings(), all[0], 1, rand.New(rand.NewPCG(1, 1)), 0)
	n.settings.RateLimit = 1 << 40
	n.SetMembers(all, 0)
	sec := int64(epoch / 1000 / 60 * 60)
	now, asked := int64(0), 0
	for ; now < 20_000_000 && n.Stats().ReconcilePasses < 3; now += 100_000 {
		n.Step(now)
		for out := n.TakeMessages(); len(out) > 0; out = n.TakeMessages() {
			for _, l := range out {
				r := frameReader{rest: l.Frame[2:]}
				var answer []byte
				switch l.Frame[1] {
				case frameSum:
					answer = encodeSums(sums{sec, minute, []purgeSum{{1, 1}}})
				case frameSumsRequest:
					answer = encodeSums(sums{sec, 1, []purgeSum{{1, 1}}})
				case framePullRequest:
					asked++
					answer, _ = encodePurges(r.pullRequest(), false, nil)
				default:
					continue
				}
				if _, err := n.HandleFrame(all[1].Name, answer, now); err != nil {
					t.Fatal(err)
				}
				checkBounds(t, n)
			}
			if asked > 4*maxSessionRequests {
				t.Fatal("it asks for ever")
			}
		}
	}
	if s := n.Stats(); s.ReconcilePasses < 2 || s.UnfinishedPasses == 0 {
		t.Errorf("%d passes, %d without their end, %d pulls", s.ReconcilePasses, s.UnfinishedPasses, asked)
	}
}

// TestNext: Step is never due at once for ever.
func TestNext(t *testing.T) {
	for _, n := range []*Node{twoNodeSite(), New(DefaultSettings, Member{Name: "not in the list"}, 1, rand.New(rand.NewPCG(1, 1)), 0)} {
		n.RecordOwn([]Purge{{"x", 0, epoch}}, 0)
		now := int64(0)
		for steps := 0; now < 60_000_000; steps++ {
			if steps > 2_000 {
				t.Fatalf("2,000 steps by %d us", now)
			}
			now = max(now, n.Next())
			n.Step(now)
			n.TakeMessages()
		}
	}
}
