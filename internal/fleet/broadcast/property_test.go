package broadcast

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawMembers draws random members at up to 12 sites, with 3 sites per zone and 6 per region.
func drawMembers(t *rapid.T) []Member {
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9]{1,6}`), 1, 120, rapid.ID[string]).Draw(t, "names")
	letter := func(i int) string { return string(rune('a' + i)) }
	members := make([]Member, len(names))
	for i, name := range names {
		site := rapid.IntRange(0, 11).Draw(t, "site")
		members[i] = Member{name, Locality{Region: letter(site / 6), Zone: letter(site / 3), Site: letter(site)}}
	}
	return members
}

// TestTree checks that the members form one tree, in which each has at most fanOut children, and that parents and
// children agree about it. Each region, zone and site must be entered by at most one edge. The tree must not depend
// on the order of the members.
func TestTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		shuffled := rapid.Permutation(members).Draw(t, "shuffled")
		trees := map[string]tree{}
		localities := map[string]Locality{}
		for _, m := range members {
			n := New(DefaultSettings, m, 1, rand.New(rand.NewPCG(1, 1)), 0)
			n.SetMembers(shuffled, 0)
			trees[m.Name] = n.tree
			localities[m.Name] = m.Locality
			fromSorted := buildTree(sortedMembers(members), m)
			if fromSorted.parent != n.tree.parent || !slices.Equal(fromSorted.children, n.tree.children) {
				t.Fatal("the tree depends on the order of the members")
			}
		}
		roots := 0
		entries := map[string]int{}
		for name, tree := range trees {
			checkChildren(t, trees, name)
			if tree.parent == "" {
				roots++
				continue
			}
			countEntries(entries, localities[tree.parent], localities[name])
			depth := 0
			for ancestor := name; trees[ancestor].parent != ""; ancestor = trees[ancestor].parent {
				if depth++; depth > len(members) {
					t.Fatal("the tree has a cycle")
				}
			}
		}
		if roots != 1 {
			t.Fatalf("the tree has %d roots, want 1", roots)
		}
		for locality, times := range entries {
			if times > 1 {
				t.Fatalf("%s is entered by %d edges, want at most 1", locality, times)
			}
		}
	})
}

// checkChildren checks that a member and its children compute the same relations to each other.
func checkChildren(t *rapid.T, trees map[string]tree, name string) {
	parent := trees[name]
	if len(parent.children) > fanOut {
		t.Fatalf("%s has %d children, want at most fanOut", name, len(parent.children))
	}
	for i, child := range parent.children {
		if trees[child].parent != name || trees[child].grandparent != parent.parent || !slices.Equal(trees[child].siblings, parent.children) {
			t.Fatalf("%s and its child %s disagree about parent, grandparent or siblings", name, child)
		}
		if !slices.Equal(parent.grandchildren[i], trees[child].children) {
			t.Fatalf("%s computes other children of %s than that member does", name, child)
		}
	}
}

// countEntries counts the region, zone and site that an edge from a parent to a child enters.
func countEntries(entries map[string]int, parent, child Locality) {
	if parent.Region != child.Region {
		entries["region "+child.Region]++
	}
	if parent.Zone != child.Zone {
		entries["zone "+child.Zone]++
	}
	if parent.Site != child.Site {
		entries["site "+child.Site]++
	}
}

// TestDepth checks that no member of a fleet of the users' size is more than 11 edges from the root.
func TestDepth(t *testing.T) {
	members := testMembers(3900, 300, 25, 12)
	SortMembers(members)
	var depthOf func(list []Member) (depth int)
	depthOf = func(list []Member) (depth int) {
		if len(list) == 0 {
			return 0
		}
		bounds := split(list)
		for i := range len(bounds) - 1 {
			depth = max(depth, depthOf(list[1+bounds[i]:1+bounds[i+1]]))
		}
		return depth + 1
	}
	depth := depthOf(members) - 1
	t.Logf("the deepest member is %d edges from the root", depth)
	if depth > 11 {
		t.Errorf("the deepest member is %d edges from the root, want at most 11", depth)
	}
}

// deliveryRun is a small fleet whose frames are delivered in any order, several times or not at all.
type deliveryRun struct {
	t        *rapid.T
	members  []Member
	nodes    map[string]*Node
	received map[string]map[Purge]bool // by gateway, from its own watch and from peers
	union    map[Purge]bool            // of the purges of all watches
	inFlight []frameInFlight
	now      int64
}

type frameInFlight struct {
	from string
	Message
}

func newDeliveryRun(t *rapid.T) *deliveryRun {
	r := &deliveryRun{t: t, members: testMembers(rapid.IntRange(2, 7).Draw(t, "gateways"), 2, 1, 1), nodes: map[string]*Node{},
		received: map[string]map[Purge]bool{}, union: map[Purge]bool{}}
	SortMembers(r.members)
	for i, m := range r.members {
		r.nodes[m.Name] = New(testSettings(), m, uint64(i), rand.New(rand.NewPCG(1, uint64(i))), 0)
		r.nodes[m.Name].SetMembers(r.members, 0)
		r.received[m.Name] = map[Purge]bool{}
	}
	return r
}

func (r *deliveryRun) recordOwn(m Member, p Purge) {
	r.union[p] = true
	r.received[m.Name][p] = true
	r.nodes[m.Name].RecordOwn([]Purge{p}, r.now)
}

func (r *deliveryRun) step(m Member) {
	n := r.nodes[m.Name]
	n.Step(r.now)
	for _, message := range n.TakeMessages() {
		r.inFlight = append(r.inFlight, frameInFlight{m.Name, message})
	}
	checkBounds(r.t, n)
}

// deliver delivers a frame. It checks that all purges learned from the frame are new to the node, and that the node
// still keeps all purges that it has received.
func (r *deliveryRun) deliver(f frameInFlight) {
	n, received := r.nodes[f.To], r.received[f.To]
	learned, err := n.HandleFrame(f.from, f.Frame, r.now)
	if err != nil {
		r.t.Fatalf("the frame could not be read: %x", f.Frame)
	}
	for _, p := range learned {
		if received[p] {
			r.t.Fatalf("%s learned %v, which it had received before", f.To, p)
		}
		if !r.union[p] {
			r.t.Fatalf("learned %v, which no watch brought", p)
		}
		received[p] = true
	}
	for p := range received {
		if n.kept.add(p) {
			r.t.Fatalf("%s no longer keeps %v", f.To, p)
		}
	}
}

// act performs one random action: a purge of a gateway's own watch, a step of a node, the delivery of a frame, or the
// loss of a frame.
func (r *deliveryRun) act() {
	t := r.t
	r.now += rapid.Int64Range(0, 300_000).Draw(t, "elapsed")
	m := rapid.SampledFrom(r.members).Draw(t, "gateway")
	switch rapid.IntRange(0, 4).Draw(t, "action") {
	case 0:
		p := drawPurge(t)
		p.Issued = epoch + r.now/1000 + rapid.Int64Range(-3000, 3000).Draw(t, "skew")
		r.recordOwn(m, p)
	case 1, 2:
		r.step(m)
	case 3:
		if len(r.inFlight) == 0 {
			return
		}
		i := rapid.IntRange(0, len(r.inFlight)-1).Draw(t, "frame")
		r.deliver(r.inFlight[i])
		if rapid.Bool().Draw(t, "once") {
			r.inFlight = slices.Delete(r.inFlight, i, i+1)
		}
	case 4:
		if len(r.inFlight) > 0 {
			r.inFlight = r.inFlight[1:]
		}
	}
}

// TestDeliveryInAnyOrderConverges delivers frames in any order, several times or not at all. The set of purges that a
// node has received must only grow, a node must learn each purge from peers at most once, and in the end all nodes
// must have received the union of all purges.
func TestDeliveryInAnyOrderConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newDeliveryRun(t)
		for range rapid.IntRange(1, 60).Draw(t, "actions") {
			r.act()
		}
		r.inFlight = nil // all frames in flight are lost
		for end := r.now + 90_000_000; r.now < end; r.now += 50_000 {
			for _, m := range r.members {
				r.step(m)
			}
			for _, f := range r.inFlight {
				r.deliver(f)
			}
			r.inFlight = r.inFlight[:0]
		}
		for _, m := range r.members {
			if len(r.received[m.Name]) != len(r.union) {
				t.Fatalf("%s received %d of %d purges", m.Name, len(r.received[m.Name]), len(r.union))
			}
		}
	})
}

// nodePair returns the two nodes of a site. The first one is the root.
func nodePair() (a, b *Node) {
	members := testMembers(2, 1, 1, 1)
	SortMembers(members)
	a = New(testSettings(), members[0], 1, rand.New(rand.NewPCG(1, 1)), 0)
	b = New(testSettings(), members[1], 2, rand.New(rand.NewPCG(1, 2)), 0)
	a.SetMembers(members, 0)
	b.SetMembers(members, 0)
	return a, b
}

// deliverAll runs two nodes between two times, delivers all frames without delay, and returns what each node learned.
func deliverAll(t *testing.T, a, b *Node, from, to int64) (learnedA, learnedB []Purge) {
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
				t.Fatal("the nodes still answer each other after 19 rounds")
			}
			learnedB = append(learnedB, handleMessages(t, b, a.self.Name, out[0], now)...)
			learnedA = append(learnedA, handleMessages(t, a, b.self.Name, out[1], now)...)
		}
	}
	return learnedA, learnedB
}

func handleMessages(t *testing.T, n *Node, from string, messages []Message, now int64) (learned []Purge) {
	t.Helper()
	for _, m := range messages {
		purges, err := n.HandleFrame(from, m.Frame, now)
		if err != nil {
			t.Fatal(err)
		}
		learned = append(learned, purges...)
	}
	return learned
}

// TestIdentity checks when two purges are the same. Purges of one object at two times, or with and without a group,
// are different purges. A purge that the watches of both nodes bring is one purge.
func TestIdentity(t *testing.T) {
	a, b := nodePair()
	purges := []Purge{{"00000000000000aa", 0, epoch + 1}, {"00000000000000aa", 0, epoch + 2}, {"00000000000000aa", 7, epoch + 1}, {"", 7, epoch + 1}}
	a.RecordOwn(purges, 0)
	b.RecordOwn(purges[:1], 0)
	_, learned := deliverAll(t, a, b, 0, 3_000_000)
	sortByIssue(learned)
	if want := []Purge{purges[3], purges[2], purges[1]}; !slices.Equal(learned, want) {
		t.Errorf("learned %v, want all purges but the first", learned)
	}
	if learned, _ = deliverAll(t, a, b, 3_000_000, 9_000_000); len(learned) > 0 || a.kept.count != 4 || b.kept.count != 4 {
		t.Errorf("learned %v again, want none; the nodes keep %d and %d purges, want 4", learned, a.kept.count, b.kept.count)
	}
}

// TestRestart checks that a gateway that restarts empty under a new stamp gets the purges that it missed, and that
// its peer accepts its batches from the first one on.
func TestRestart(t *testing.T) {
	a, b := nodePair()
	a.RecordOwn([]Purge{{"one", 0, epoch + 1}}, 0)
	b.RecordOwn([]Purge{{"two", 0, epoch + 2}}, 0)
	deliverAll(t, a, b, 0, 8_000_000)
	restarted := New(testSettings(), a.self, 99, rand.New(rand.NewPCG(9, 9)), 8_000_000)
	restarted.SetMembers(b.tree.members, 8_000_000)
	afterRestart := Purge{"three", 0, epoch + 8001}
	restarted.RecordOwn([]Purge{afterRestart}, 8_000_000)
	learnedA, learnedB := deliverAll(t, restarted, b, 8_000_000, 20_000_000)
	if len(learnedA) != 2 || !slices.Equal(learnedB, []Purge{afterRestart}) {
		t.Errorf("the restarted node learned %v, want 2 purges; its peer learned %v, want the new purge", learnedA, learnedB)
	}
}

// TestLongNames checks that purges with names of up to maxObjectNameBytes are sent. Purges with longer names and
// purges with an impossible issue time must be counted and not sent.
func TestLongNames(t *testing.T) {
	a, b := nodePair()
	longest := Purge{strings.Repeat("x", maxObjectNameBytes), 0, epoch}
	a.RecordOwn([]Purge{longest, {strings.Repeat("y", maxObjectNameBytes+1), 0, epoch}, {"", 0, 0}, {"z", 0, maxIssued}}, 0)
	_, learned := deliverAll(t, a, b, 0, 3_000_000)
	if s := a.Stats(); !slices.Equal(learned, []Purge{longest}) || s.LongNames != 1 || s.ImplausiblePurges != 2 {
		t.Errorf("learned %d purges, want 1; counted %d long names, want 1, and %d implausible purges, want 2", len(learned), s.LongNames, s.ImplausiblePurges)
	}
}

// TestWrongClocks checks that a clock that is wrong by an hour or a day holds no new purge back, and that no expired
// purge is learned twice.
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
		_, learned := deliverAll(t, a, b, 0, 60_000_000)
		if !slices.Contains(learned, fresh) {
			t.Errorf("with a clock that is off by %d ms, the new purge was not learned", off)
		}
		times := map[Purge]int{}
		for _, p := range learned {
			if times[p]++; times[p] > 1 {
				t.Errorf("with a clock that is off by %d ms, %v was learned more than once", off, p)
			}
		}
		own := Purge{"own", 0, epoch + 60_001}
		b.RecordOwn([]Purge{own}, 60_000_000)
		if learned, _ := deliverAll(t, a, b, 60_000_000, 70_000_000); !slices.Contains(learned, own) {
			t.Errorf("with a clock that is off by %d ms, a purge of the node's own watch did not reach the peer", off)
		}
	}
}

// TestKeptPurgesAreBounded checks that purges beyond Settings.MaxKept displace the oldest ones, that the displaced
// purges are counted, and that the sums stay right.
func TestKeptPurgesAreBounded(t *testing.T) {
	settings := testSettings()
	settings.MaxKept = 500
	members := testMembers(2, 1, 1, 1)
	n := New(settings, members[0], 1, rand.New(rand.NewPCG(1, 1)), 0)
	n.SetMembers(members, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 5_000 {
		p := Purge{Object: hexString(rng.Uint64()), Issued: epoch - rng.Int64N(100_000)}
		if rng.IntN(3) == 0 {
			p.Object += "x"
		}
		n.RecordOwn([]Purge{p}, 0)
	}
	checkBounds(t, n)
	if s := n.Stats(); s.Dropped == 0 || uint64(s.Kept)+s.Dropped != 5_000 {
		t.Errorf("kept %d purges and dropped %d, want some dropped and 5,000 in total", s.Kept, s.Dropped)
	}
}

// TestFalseFramesHoldNoPurgeBack checks that a peer cannot hold a purge back with a false batch under another
// gateway's id, with sequences far ahead, or with false announcements.
func TestFalseFramesHoldNoPurgeBack(t *testing.T) {
	a, b := nodePair()
	falseBatch, _ := encodeBatch(batchID{a.originID, 1}, root, []Purge{{"a lie", 0, epoch}})
	farBatch, _ := encodeBatch(batchID{a.originID, maxSeq}, root, []Purge{{"another", 0, maxIssued - 1}})
	for _, frame := range [][]byte{falseBatch, farBatch, encodeLazyPush([]originProgress{{a.originID, maxSeq, 1<<64 - 1}, {1, 5, 1 << 63}})} {
		if _, err := b.HandleFrame("who", frame, 0); err != nil {
			t.Fatal(err)
		}
	}
	genuine := Purge{"the truth", 0, epoch + 1}
	a.RecordOwn([]Purge{genuine}, 0)
	if _, learned := deliverAll(t, a, b, 0, 3_000_000); !slices.Contains(learned, genuine) {
		t.Error("the purge of the genuine origin was not learned")
	}
	checkBounds(t, b)
}

// TestLag checks that a node that knows of missing batches reports how many they are and since when, and that it
// stops reporting them once it has received them.
func TestLag(t *testing.T) {
	a, b := nodePair()
	for i := range 3 {
		at := int64(i) * 300_000
		a.RecordOwn([]Purge{{Group: int64(i), Issued: epoch + int64(i)}}, at)
		a.Step(at + 200_000)
		for _, m := range a.TakeMessages() {
			if m.Frame[1] == frameBatch && i != 1 {
				if _, err := b.HandleFrame(a.self.Name, m.Frame, at+200_000); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	if lag := b.Stats().Behind; lag != (Lag{MissingBatches: 1, Since: 800_000}) {
		t.Errorf("the node reports the lag %+v, want 1 missing batch since 800,000 us", lag)
	}
	if _, learned := deliverAll(t, a, b, 900_000, 1_500_000); len(learned) != 1 || b.Stats().Behind != (Lag{}) {
		t.Errorf("learned %v, want 1 purge; the node reports the lag %+v, want none", learned, b.Stats().Behind)
	}
}

// TestSessionWithEndlessPeerEnds checks that a session of reconciliation ends after a bounded number of requests if
// the peer answers each pull with only a part of the purges.
func TestSessionWithEndlessPeerEnds(t *testing.T) {
	members := testMembers(2, 1, 1, 1)
	n := New(testSettings(), members[0], 1, rand.New(rand.NewPCG(1, 1)), 0)
	n.settings.RateLimit = 1 << 40
	n.SetMembers(members, 0)
	second := int64(epoch / 1000 / minute * minute)
	pulls := 0
	for now := int64(0); now < 20_000_000 && n.Stats().ReconcilePasses < 3; now += 100_000 {
		n.Step(now)
		for out := n.TakeMessages(); len(out) > 0; out = n.TakeMessages() {
			for _, m := range out {
				r := frameReader{rest: m.Frame[frameHeaderSize:]}
				var answer []byte
				switch m.Frame[1] {
				case frameSum:
					answer = encodeSums(sums{second, minute, []purgeSum{{1, 1}}})
				case frameSumsRequest:
					answer = encodeSums(sums{second, 1, []purgeSum{{1, 1}}})
				case framePullRequest:
					pulls++
					answer, _ = encodePurges(r.pullRequest(), false, nil)
				default:
					continue
				}
				if _, err := n.HandleFrame(members[1].Name, answer, now); err != nil {
					t.Fatal(err)
				}
				checkBounds(t, n)
			}
			if pulls > 4*maxSessionRequests {
				t.Fatal("the node pulls without end")
			}
		}
	}
	if s := n.Stats(); s.ReconcilePasses < 2 || s.UnfinishedPasses == 0 {
		t.Errorf("%d passes of which %d are unfinished, with %d pulls; want at least 2 passes and 1 unfinished", s.ReconcilePasses, s.UnfinishedPasses, pulls)
	}
}

// TestNext checks that Next does not make Step due again and again at the same time. A node needs at most 2,000 steps
// in 60 s.
func TestNext(t *testing.T) {
	for _, n := range []*Node{twoNodeSite(), New(DefaultSettings, Member{Name: "not a member"}, 1, rand.New(rand.NewPCG(1, 1)), 0)} {
		n.RecordOwn([]Purge{{"x", 0, epoch}}, 0)
		now := int64(0)
		for steps := 0; now < 60_000_000; steps++ {
			if steps > 2_000 {
				t.Fatalf("more than 2,000 steps in the first %d us", now)
			}
			now = max(now, n.Next())
			n.Step(now)
			n.TakeMessages()
		}
	}
}
