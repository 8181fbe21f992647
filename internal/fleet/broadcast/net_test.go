package broadcast

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// fleet is a network in a test: nodes on one virtual clock, a latency by place, loss, cuts and kills. Equal seeds give equal runs.
type fleet struct {
	t             testing.TB
	rng           *rand.Rand
	members       []Member
	index         map[string]int
	nodes         []*Node
	armed         []int64
	receivedAt    []map[Purge]int64 // at each node: when
	issued        map[Purge]int64
	loss          float64
	cut           func(a, b Member) bool
	dead          []bool
	queue         eventQueue
	now           int64
	order         int
	kinds         [8][2]uint64 // frames and bytes by word
	measuredSince int64        // of the counters before
	statsBefore   []Stats
}

type event struct {
	at    int64
	order int
	to    int
	from  string
	frame []byte // nil: a step
	call  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// testMembers gives members of the users' shape: 13 a site, 12 sites a zone, two zones a region; smaller fleets have smaller sites.
func testMembers(gateways, sites, zones, regions int) []Member {
	all := make([]Member, gateways)
	for i := range all {
		site := i * sites / gateways
		zone := site * zones / sites
		all[i] = Member{fmt.Sprintf("gw-%04d", i), Locality{fmt.Sprintf("r%02d", zone*regions/zones), fmt.Sprintf("z%02d", zone), fmt.Sprintf("s%03d", site)}}
	}
	return all
}

const epoch = 1_764_576_000_000 // Unix ms at now = 0

func testSettings() Settings {
	set := DefaultSettings
	set.StartUnixMillis = epoch
	return set
}

func newFleet(t testing.TB, seed uint64, members []Member, set Settings) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), members: members, index: map[string]int{}, issued: map[Purge]int64{},
		cut: func(a, b Member) bool { return false }, dead: make([]bool, len(members)), armed: make([]int64, len(members))}
	SortMembers(f.members)
	for i, m := range members {
		f.index[m.Name] = i
		f.receivedAt = append(f.receivedAt, map[Purge]int64{})
		f.nodes = append(f.nodes, New(set, m, seed*10_000+uint64(i), rand.New(rand.NewPCG(seed, uint64(i)+2)), 0))
		f.nodes[i].SetMembers(f.members, 0)
		f.arm(i)
	}
	return f
}

func (f *fleet) push(e event) {
	f.order++
	e.order = f.order
	heap.Push(&f.queue, e)
}

func (f *fleet) latency(a, b Member) int64 {
	base := [...]int64{250, 1000, 4000, 60_000}[distance(a.Locality, b.Locality)]
	return base + f.rng.Int64N(base/5+1)
}

func (f *fleet) arm(i int) {
	for _, l := range f.nodes[i].TakeMessages() {
		if len(l.Frame) > maxFrameBytes {
			f.t.Fatalf("a frame of %d bytes", len(l.Frame))
		}
		f.kinds[l.Frame[1]][0]++
		f.kinds[l.Frame[1]][1] += uint64(len(l.Frame) + datagramOverhead)
		to := f.index[l.To]
		if f.loss > 0 && f.rng.Float64() < f.loss || f.cut(f.members[i], f.members[to]) {
			continue
		}
		f.push(event{at: f.now + f.latency(f.members[i], f.members[to]), to: to, from: f.members[i].Name, frame: l.Frame})
	}
	if next := max(f.now, f.nodes[i].Next()); next != f.armed[i] && next != never {
		f.armed[i] = next
		f.push(event{at: next, to: i})
	}
}

func (f *fleet) run(until int64) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		switch {
		case e.call != nil:
			e.call()
		case f.dead[e.to]:
		case e.frame != nil:
			heed, err := f.nodes[e.to].HandleFrame(e.from, e.frame, f.now)
			if err != nil {
				f.t.Fatalf("%s could not read a frame of %s: %x", f.members[e.to].Name, e.from, e.frame)
			}
			f.recordReceived(e.to, heed)
			f.arm(e.to)
		case f.armed[e.to] == e.at:
			f.armed[e.to] = -1
			f.nodes[e.to].Step(f.now)
			f.arm(e.to)
		}
	}
	f.now = until
}

func (f *fleet) schedule(when int64, call func()) { f.push(event{at: when, call: call}) }

func (f *fleet) recordReceived(i int, purges []Purge) {
	for _, p := range purges {
		if _, had := f.receivedAt[i][p]; !had {
			f.receivedAt[i][p] = f.now
		}
	}
}

// recordOwn has a node's own watch tell purges.
func (f *fleet) recordOwn(i int, purges ...Purge) {
	if f.dead[i] {
		return
	}
	f.recordReceived(i, purges)
	f.nodes[i].RecordOwn(purges, f.now)
	f.arm(i)
}

func (f *fleet) newPurge() Purge {
	p := Purge{Issued: epoch + f.now/1000}
	if f.rng.IntN(10) == 0 {
		p.Group = f.rng.Int64N(256)
	} else {
		p.Object = hexString(f.rng.Uint64())
	}
	f.issued[p] = f.now
	return p
}

// stream issues purges a second for a while; told gives whom their watches tell, and how much later.
func (f *fleet) stream(from, to int64, rate int64, told func(p Purge)) {
	for at := from; at < to; at += 1_000_000 / rate {
		f.schedule(at, func() { told(f.newPurge()) })
	}
}

type result struct {
	missing          int
	worst            int64   // us, of those heard
	median           int64   // us, until the last node has it
	batchCopies      float64 // of a batch at a node, for each batch said
	busiest, typical float64 // bytes a second in and out
	batches          uint64
	repairs, wants   uint64
	shed, givenUp    uint64
	items            uint64
}

// measure begins a stretch that result counts bytes, copies and batches of.
func (f *fleet) measure() {
	f.measuredSince, f.statsBefore, f.kinds = f.now, nil, [8][2]uint64{}
	for _, n := range f.nodes {
		f.statsBefore = append(f.statsBefore, n.Stats())
	}
}

// traffic gives the counters of the stretch so far.
func (f *fleet) traffic() (r result) {
	copies := uint64(0)
	seconds := float64(f.now-f.measuredSince) / 1e6
	all := 0.0
	for i, n := range f.nodes {
		s, b := n.Stats(), f.statsBefore[i]
		bytes := float64(s.BytesIn+s.BytesOut-b.BytesIn-b.BytesOut) / seconds
		r.busiest = max(r.busiest, bytes)
		all += bytes
		copies += s.BatchesReceived - b.BatchesReceived
		r.batches += s.BatchesSent - b.BatchesSent
		r.repairs += s.Repairs - b.Repairs
		r.wants += s.RepairRequests - b.RepairRequests
		r.shed += s.Shed - b.Shed
		r.givenUp += s.GivenUp - b.GivenUp
		r.items += s.PurgesReceived - b.PurgesReceived
	}
	r.typical = all / float64(len(f.nodes))
	r.batchCopies = float64(copies) / float64(len(f.nodes)) / float64(max(1, r.batches))
	return r
}

// result adds what was heard, and when.
func (f *fleet) result() result {
	r := f.traffic()
	var lags []int64
	for p, at := range f.issued {
		last := int64(0)
		for i := range f.nodes {
			if f.dead[i] {
				continue
			}
			heard, ok := f.receivedAt[i][p]
			if !ok {
				r.missing++
				continue
			}
			last = max(last, heard-at)
		}
		lags = append(lags, last)
		r.worst = max(r.worst, last)
	}
	if len(lags) > 0 {
		slices.Sort(lags)
		r.median = lags[len(lags)/2]
	}
	return r
}

func (r result) String() string {
	return fmt.Sprintf("missing %d, all everywhere after %.2f s (median %.2f), %d batches, %.3f copies of each a node, %.0f B/s at the busiest, %.0f mean, repairs %d, wants %d, shed %d, given up %d, by reconciliation %d",
		r.missing, float64(r.worst)/1e6, float64(r.median)/1e6, r.batches, r.batchCopies, r.busiest, r.typical, r.repairs, r.wants, r.shed, r.givenUp, r.items)
}
