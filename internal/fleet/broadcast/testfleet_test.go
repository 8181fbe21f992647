package broadcast

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// fleet is a simulated network of nodes on one virtual clock. Latency depends on the localities. Frames can be lost,
// the network can be partitioned, and nodes can be killed. Runs with equal seeds are equal.
type fleet struct {
	t             testing.TB
	rng           *rand.Rand
	members       []Member
	index         map[string]int // of each member in members and nodes, by name
	nodes         []*Node
	armedAt       []int64                // of each node: time of its queued step, -1 while there is none
	receivedAt    []map[Purge]int64      // of each node: when it first received each purge
	issued        map[Purge]int64        // when each purge was issued
	loss          float64                // share of frames that are lost
	extraLatency  int64                  // of each frame
	isPartitioned func(a, b Member) bool // reports whether frames from a to b are dropped
	dead          []bool
	queue         eventQueue
	now           int64
	lastOrder     int
	byType        [8]frameCount // of frames sent, by frame type
	measuredSince int64
	statsBefore   []Stats // of each node at measuredSince
}

// frameCount counts frames and their bytes.
type frameCount struct{ frames, bytes uint64 }

// event is a call, the arrival of a frame at a node, or a node's step.
type event struct {
	at    int64
	order int // order of events that have the same time
	to    int
	from  string
	frame []byte // nil if no frame arrives
	call  func() // nil if the event is not a call
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

// testMembers returns members spread evenly over sites. Sites are spread evenly over zones, and zones over regions.
func testMembers(gateways, sites, zones, regions int) []Member {
	members := make([]Member, gateways)
	for i := range members {
		site := i * sites / gateways
		zone := site * zones / sites
		region := zone * regions / zones
		members[i] = Member{
			Name:     fmt.Sprintf("gw-%04d", i),
			Locality: Locality{Region: fmt.Sprintf("r%02d", region), Zone: fmt.Sprintf("z%02d", zone), Site: fmt.Sprintf("s%03d", site)},
		}
	}
	return members
}

const epoch = 1_764_576_000_000 // Unix milliseconds at virtual time 0

func testSettings() Settings {
	settings := DefaultSettings
	settings.StartUnixMillis = epoch
	return settings
}

// newFleet returns a fleet whose nodes all have all members in their views. It sorts members.
func newFleet(t testing.TB, seed uint64, members []Member, settings Settings) *fleet {
	t.Helper()
	f := &fleet{
		t:             t,
		rng:           rand.New(rand.NewPCG(seed, 1)),
		members:       members,
		index:         map[string]int{},
		issued:        map[Purge]int64{},
		isPartitioned: noPartition,
		dead:          make([]bool, len(members)),
		armedAt:       make([]int64, len(members)),
	}
	SortMembers(f.members)
	for i, m := range members {
		f.index[m.Name] = i
		f.receivedAt = append(f.receivedAt, map[Purge]int64{})
		f.nodes = append(f.nodes, New(settings, m, seed*10_000+uint64(i), rand.New(rand.NewPCG(seed, uint64(i)+2)), 0))
		f.nodes[i].SetMembers(f.members, 0)
		f.arm(i)
	}
	return f
}

func noPartition(a, b Member) bool { return false }

func (f *fleet) push(e event) {
	f.lastOrder++
	e.order = f.lastOrder
	heap.Push(&f.queue, e)
}

func (f *fleet) latency(a, b Member) int64 {
	base := [...]int64{withinSite: 250, withinZone: 1000, withinRegion: 4000, acrossRegions: 60_000}[distance(a.Locality, b.Locality)]
	return base + f.rng.Int64N(base/5+1) + f.extraLatency
}

// arm sends a node's messages and schedules its next step.
func (f *fleet) arm(i int) {
	for _, m := range f.nodes[i].TakeMessages() {
		if len(m.Frame) > maxFrameBytes {
			f.t.Fatalf("a node sent a frame of %d bytes, want at most maxFrameBytes", len(m.Frame))
		}
		count := &f.byType[m.Frame[1]]
		count.frames++
		count.bytes += uint64(len(m.Frame) + datagramOverhead)
		to := f.index[m.To]
		if f.loss > 0 && f.rng.Float64() < f.loss || f.isPartitioned(f.members[i], f.members[to]) {
			continue
		}
		f.push(event{at: f.now + f.latency(f.members[i], f.members[to]), to: to, from: f.members[i].Name, frame: m.Frame})
	}
	if next := max(f.now, f.nodes[i].Next()); next != f.armedAt[i] && next != never {
		f.armedAt[i] = next
		f.push(event{at: next, to: i})
	}
}

// run processes all events up to a time and advances the clock to it.
func (f *fleet) run(until int64) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		switch {
		case e.call != nil:
			e.call()
		case f.dead[e.to]:
		case e.frame != nil:
			learned, err := f.nodes[e.to].HandleFrame(e.from, e.frame, f.now)
			if err != nil {
				f.t.Fatalf("%s could not read a frame from %s: %x", f.members[e.to].Name, e.from, e.frame)
			}
			f.recordReceived(e.to, learned)
			f.arm(e.to)
		case f.armedAt[e.to] == e.at:
			f.armedAt[e.to] = -1
			f.nodes[e.to].Step(f.now)
			f.arm(e.to)
		}
	}
	f.now = until
}

func (f *fleet) schedule(at int64, call func()) { f.push(event{at: at, call: call}) }

func (f *fleet) recordReceived(i int, purges []Purge) {
	for _, p := range purges {
		if _, received := f.receivedAt[i][p]; !received {
			f.receivedAt[i][p] = f.now
		}
	}
}

// recordOwn lets the discovery watch of a node bring purges, unless the node is dead.
func (f *fleet) recordOwn(i int, purges ...Purge) {
	if f.dead[i] {
		return
	}
	f.recordReceived(i, purges)
	f.nodes[i].RecordOwn(purges, f.now)
	f.arm(i)
}

// newPurge issues a purge now. One in ten is the purge of a group.
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

// stream schedules purges at a rate per second between two times. publish passes each of them to discovery watches.
func (f *fleet) stream(from, to int64, rate int64, publish func(p Purge)) {
	for at := from; at < to; at += microsPerSecond / rate {
		f.schedule(at, func() { publish(f.newPurge()) })
	}
}

// result is the outcome of a run. Times are in microseconds.
type result struct {
	missing        int     // pairs of a purge and a live node that did not receive it
	maxLatency     int64   // longest time from the issue of a purge until a node received it
	medianLatency  int64   // median over the purges of the time until the last node received one
	batchCopies    float64 // mean number of copies of an injected batch that a node received
	busiest        float64 // bytes per second sent and received by the busiest node
	mean           float64 // bytes per second sent and received, mean over the nodes
	batches        uint64
	repairs        uint64
	repairRequests uint64
	shed           uint64
	givenUp        uint64
	reconciled     uint64
}

// measure begins the period for which traffic counts bytes, copies and batches.
func (f *fleet) measure() {
	f.measuredSince = f.now
	f.statsBefore = nil
	f.byType = [8]frameCount{}
	for _, n := range f.nodes {
		f.statsBefore = append(f.statsBefore, n.Stats())
	}
}

// traffic returns the counters since the last call of measure.
func (f *fleet) traffic() (r result) {
	copies := uint64(0)
	seconds := float64(f.now-f.measuredSince) / 1e6
	sum := 0.0
	for i, n := range f.nodes {
		after, before := n.Stats(), f.statsBefore[i]
		bytesPerSecond := float64(after.BytesIn+after.BytesOut-before.BytesIn-before.BytesOut) / seconds
		r.busiest = max(r.busiest, bytesPerSecond)
		sum += bytesPerSecond
		copies += after.BatchesReceived - before.BatchesReceived
		r.batches += after.BatchesSent - before.BatchesSent
		r.repairs += after.Repairs - before.Repairs
		r.repairRequests += after.RepairRequests - before.RepairRequests
		r.shed += after.Shed - before.Shed
		r.givenUp += after.GivenUp - before.GivenUp
		r.reconciled += after.PurgesReceived - before.PurgesReceived
	}
	r.mean = sum / float64(len(f.nodes))
	r.batchCopies = float64(copies) / float64(len(f.nodes)) / float64(max(1, r.batches))
	return r
}

// result returns the counters since the last call of measure, and how the nodes received all purges issued.
func (f *fleet) result() result {
	r := f.traffic()
	var latencies []int64
	for p, issuedAt := range f.issued {
		last := int64(0)
		for i := range f.nodes {
			if f.dead[i] {
				continue
			}
			receivedAt, ok := f.receivedAt[i][p]
			if !ok {
				r.missing++
				continue
			}
			last = max(last, receivedAt-issuedAt)
		}
		latencies = append(latencies, last)
		r.maxLatency = max(r.maxLatency, last)
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		r.medianLatency = latencies[len(latencies)/2]
	}
	return r
}

func (r result) String() string {
	return fmt.Sprintf("missing %d, received by all within %.2f s (median %.2f), %d batches, %.3f copies of each per node, %.0f B/s at the busiest node, %.0f mean, repairs %d, requests %d, shed %d, given up %d, by reconciliation %d",
		r.missing, float64(r.maxLatency)/1e6, float64(r.medianLatency)/1e6, r.batches, r.batchCopies, r.busiest, r.mean, r.repairs, r.repairRequests, r.shed, r.givenUp, r.reconciled)
}
