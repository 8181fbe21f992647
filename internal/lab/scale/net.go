package scale

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// MaxDatagram is the longest payload that a Network carries: an Ethernet frame of 1,500 bytes less the IPv4 and UDP headers.
	MaxDatagram = 1472
	// DatagramHeaderBytes is what IPv4 and UDP add to each datagram, in bytes.
	DatagramHeaderBytes = 28

	maxInFlight   = 1 << 21 // datagrams in flight, about 20 s of 100,000 a second
	maxInboxBytes = 212992  // bytes queued for a paused node: Linux's default of net.core.rmem_default
	maxCuts       = 64
	maxCalls      = 1 << 20 // scheduled calls
	never         = time.Duration(math.MaxInt64)
)

// Node is the program of one node: a pure module and what feeds it. Its methods are called one at a time, on the goroutine that runs
// the Network, and may call the Network's methods.
type Node interface {
	// Datagram delivers bytes from another node. They are valid during the call only.
	Datagram(now time.Duration, from int, b []byte)
	// TimerFired is called at the time that SetTimer set last.
	TimerFired(now time.Duration)
}

// Latency is the one-way delay between two nodes, by the smallest location they share. Regions stand on a ring. Each datagram takes up
// to Jitter (a fraction) longer, so that datagrams sent close together can be reordered. No latencies of the fleet are known:
// DefaultLatency is an assumption, in the range that providers publish of their sites.
type Latency struct {
	Site, Zone, Region        time.Duration
	AdjacentRegion, RegionHop time.Duration // regions: Far, and Hop for each step on the ring after the first
	Jitter                    float64
}

// DefaultLatency is used where a run sets no other; 30 to 105 ms one way between regions.
var DefaultLatency = Latency{Site: 250 * time.Microsecond, Zone: time.Millisecond, Region: 4 * time.Millisecond, AdjacentRegion: 30 * time.Millisecond,
	RegionHop: 15 * time.Millisecond, Jitter: 0.2}

// Counters are of one node since the Network was made, over all its starts. Bytes include DatagramHeaderBytes of each datagram.
type Counters struct {
	Out, In                         int64 // datagrams
	BytesOut, BytesIn               int64
	MaxOutPerSecond, MaxInPerSecond int64 // bytes in the busiest whole second of the virtual clock
	StreamOut                       int64 // the part of BytesOut and BytesIn that control machines' watches make up, with TCP headers
	StreamIn                        int64
	Lost                            int64 // sent by this node and not delivered: loss, a cut, a receiver that is down or whose inbox is full
	Refused                         int64 // longer than MaxDatagram, or beyond the bound of datagrams in flight: a defect of the program or the scenario
}

// Network is a network on a virtual clock. Equal seeds, calls and nodes give equal runs. It is not safe for concurrent use: one
// goroutine owns it.
type Network struct {
	locations          []Location
	latency            Latency
	regions            int
	startProgram       func(i int) Node
	nodes              []nodeState
	now                time.Duration
	sequence           uint64
	queue              eventHeap
	inFlight           []datagram // by slot
	freeSlots          []int32
	calls              []func()
	freeCalls          []int32 // free slots of calls
	rng                *rand.PCG
	lossThreshold      uint64 // of 2^64
	duplicateThreshold uint64
	cuts               []*Cut
	steps              int64
}

type nodeState struct {
	program    Node // nil: down
	paused     bool
	starts     int
	timerAt    time.Duration // set by SetTimer; never: no timer
	queuedAt   time.Duration // time of the queued event that may fire the timer; never: none
	inbox      []datagram
	inboxBytes int // bytes in the inbox
	counters   Counters
	second     int64 // the whole second that secondOut and secondIn count
	secondOut  int64
	secondIn   int64
}

type datagram struct {
	from, to int32
	data     []byte
}

// NewNetwork makes a network; startProgram makes the program of a node each time the node starts. All nodes are down until Start.
func NewNetwork(seed uint64, locations []Location, latency Latency, startProgram func(i int) Node) *Network {
	n := &Network{locations: locations, latency: latency, startProgram: startProgram, rng: rand.NewPCG(seed, 0x7363616c65)}
	n.nodes = append(n.nodes, newNodeStates(len(locations))...)
	for _, location := range locations {
		n.regions = max(n.regions, location.Region+1)
	}
	return n
}

func newNodeStates(n int) []nodeState {
	all := make([]nodeState, n)
	for i := range all {
		all[i].timerAt, all[i].queuedAt = never, never
	}
	return all
}

// Now is the virtual time since the Network was made.
func (n *Network) Now() time.Duration { return n.now }

// Nodes is the number of nodes, up or down.
func (n *Network) Nodes() int { return len(n.nodes) }

// Location is where a node runs.
func (n *Network) Location(i int) Location { return n.locations[i] }

// IsUp reports whether a node runs; a paused one does.
func (n *Network) IsUp(i int) bool { return n.nodes[i].program != nil }

// Counters returns the counters of a node.
func (n *Network) Counters(i int) Counters {
	v := &n.nodes[i]
	c := v.counters
	c.MaxOutPerSecond, c.MaxInPerSecond = max(c.MaxOutPerSecond, v.secondOut), max(c.MaxInPerSecond, v.secondIn)
	return c
}

// Steps is the number of events processed.
func (n *Network) Steps() int64 { return n.steps }

// Start starts a node that is down, with a new program.
func (n *Network) Start(i int) {
	if v := &n.nodes[i]; v.program == nil {
		v.program, v.paused = n.startProgram(i), false
		v.starts++
		n.SetTimer(i, n.now)
	}
}

// Kill ends a node at once. Its state is gone, and datagrams in flight to it are lost unless it starts before they arrive.
func (n *Network) Kill(i int) {
	v := &n.nodes[i]
	for _, d := range v.inbox {
		n.nodes[d.from].counters.Lost++
	}
	v.program, v.paused, v.timerAt, v.inbox, v.inboxBytes = nil, false, never, nil, 0
}

// Pause stops a node: datagrams that arrive are queued, up to the size of a socket's buffer.
func (n *Network) Pause(i int) { n.nodes[i].paused = n.nodes[i].program != nil }

// Resume continues a paused node and delivers its queued datagrams at once.
func (n *Network) Resume(i int) {
	v := &n.nodes[i]
	if !v.paused {
		return
	}
	v.paused = false
	waiting := v.inbox
	v.inbox, v.inboxBytes = nil, 0
	for _, d := range waiting {
		if v.program == nil {
			n.nodes[d.from].counters.Lost++
			continue
		}
		n.deliver(d)
	}
	if v.timerAt < never {
		n.SetTimer(i, max(v.timerAt, n.now))
	}
}

// SetTimer sets the time of a node's next TimerFired call, or now if that has passed, in place of the time set before. The greatest
// Duration means no call.
func (n *Network) SetTimer(i int, at time.Duration) {
	v := &n.nodes[i]
	if v.timerAt = max(at, n.now); at == never {
		v.timerAt = never
	}
	if v.timerAt < v.queuedAt {
		v.queuedAt = v.timerAt
		n.push(v.timerAt, timerFires, int32(i))
	}
}

// Schedule calls f at a time, for scenarios. It panics if more than maxCalls calls are scheduled.
func (n *Network) Schedule(at time.Duration, f func()) {
	slot := int32(len(n.calls))
	if k := len(n.freeCalls); k > 0 {
		slot, n.freeCalls = n.freeCalls[k-1], n.freeCalls[:k-1]
		n.calls[slot] = f
	} else if len(n.calls) >= maxCalls {
		panic("scale.Network: too many scheduled calls")
	} else {
		n.calls = append(n.calls, f)
	}
	n.push(max(at, n.now), callIsDue, slot)
}

// SetLoss sets the probability that a datagram is lost from now on, besides cuts.
func (n *Network) SetLoss(p float64) { n.lossThreshold = threshold(p) }

// SetDuplication sets the probability that a datagram is delivered twice from now on.
func (n *Network) SetDuplication(p float64) { n.duplicateThreshold = threshold(p) }

// threshold is a probability as a part of the generator's range.
func threshold(p float64) uint64 {
	if p >= 1 {
		return math.MaxUint64
	}
	return uint64(max(p, 0) * (1 << 32) * (1 << 32))
}

// DrawLatency draws the latency of a datagram between two nodes, jitter included.
func (n *Network) DrawLatency(from, to int) time.Duration {
	a, b, l := &n.locations[from], &n.locations[to], &n.latency
	var d time.Duration
	switch {
	case a.Site == b.Site:
		d = l.Site
	case a.Zone == b.Zone:
		d = l.Zone
	case a.Region == b.Region:
		d = l.Region
	default:
		hops := a.Region - b.Region
		if hops < 0 {
			hops = -hops
		}
		d = l.AdjacentRegion + time.Duration(min(hops, n.regions-hops)-1)*l.RegionHop
	}
	return d + time.Duration(float64(d)*l.Jitter*float64(n.rng.Uint64()>>11)/(1<<53))
}

// Send sends a datagram; b is copied. Datagrams of a node that is down or paused are dropped and not counted.
func (n *Network) Send(from, to int, b []byte) {
	v := &n.nodes[from]
	if v.program == nil || v.paused {
		return
	}
	if len(b) > MaxDatagram || to < 0 || to >= len(n.nodes) {
		v.counters.Refused++
		return
	}
	size := int64(len(b) + DatagramHeaderBytes)
	v.counters.Out++
	v.counters.BytesOut += size
	v.rollSecond(n.now)
	v.secondOut += size
	if n.lossThreshold > 0 && n.rng.Uint64() < n.lossThreshold || !n.CanReach(from, to) {
		v.counters.Lost++
		return
	}
	n.transmit(from, to, b)
	if n.duplicateThreshold > 0 && n.rng.Uint64() < n.duplicateThreshold {
		n.transmit(from, to, b)
	}
}

func (n *Network) transmit(from, to int, b []byte) {
	slot := int32(len(n.inFlight))
	if k := len(n.freeSlots); k > 0 {
		slot, n.freeSlots = n.freeSlots[k-1], n.freeSlots[:k-1]
	} else if len(n.inFlight) >= maxInFlight {
		n.nodes[from].counters.Refused++
		return
	} else {
		n.inFlight = append(n.inFlight, datagram{})
	}
	d := &n.inFlight[slot]
	d.from, d.to, d.data = int32(from), int32(to), append(d.data[:0], b...)
	n.push(n.now+n.DrawLatency(from, to), datagramArrives, slot)
}

// rollSecond closes the counters of the previous second if another has begun.
func (v *nodeState) rollSecond(now time.Duration) {
	if s := int64(now / time.Second); s != v.second {
		v.counters.MaxOutPerSecond, v.counters.MaxInPerSecond = max(v.counters.MaxOutPerSecond, v.secondOut), max(v.counters.MaxInPerSecond, v.secondIn)
		v.second, v.secondOut, v.secondIn = s, 0, 0
	}
}

// countStream counts bytes of a TCP connection.
func (n *Network) countStream(from, to int, out, in int64) {
	a, b := &n.nodes[from], &n.nodes[to]
	a.counters.BytesOut += out
	a.counters.StreamOut += out
	a.rollSecond(n.now)
	a.secondOut += out
	b.counters.BytesIn += in
	b.counters.StreamIn += in
	b.rollSecond(n.now)
	b.secondIn += in
}

// Run processes all events up to a time and sets the clock to it.
func (n *Network) Run(until time.Duration) {
	for len(n.queue) > 0 && n.queue[0].at <= until {
		e := n.queue.pop()
		n.now = e.at
		n.steps++
		switch e.kind {
		case datagramArrives:
			n.arrive(e.index)
		case timerFires:
			n.fireTimer(int(e.index))
		case callIsDue:
			f := n.calls[e.index]
			n.calls[e.index] = nil
			n.freeCalls = append(n.freeCalls, e.index)
			f()
		}
	}
	n.now = max(n.now, until)
}

func (n *Network) arrive(slot int32) {
	d := n.inFlight[slot] // the slot stays in use until its bytes have been handled
	v := &n.nodes[d.to]
	switch {
	case v.program == nil || len(n.cuts) > 0 && !n.CanReach(int(d.from), int(d.to)):
		n.nodes[d.from].counters.Lost++
	case v.paused:
		if v.inboxBytes+len(d.data)+DatagramHeaderBytes > maxInboxBytes {
			n.nodes[d.from].counters.Lost++
			break
		}
		v.inboxBytes += len(d.data) + DatagramHeaderBytes
		v.inbox = append(v.inbox, datagram{d.from, d.to, append([]byte(nil), d.data...)})
	default:
		n.deliver(d)
	}
	n.freeSlots = append(n.freeSlots, slot)
}

func (n *Network) deliver(d datagram) {
	v := &n.nodes[d.to]
	size := int64(len(d.data) + DatagramHeaderBytes)
	v.counters.In++
	v.counters.BytesIn += size
	v.rollSecond(n.now)
	v.secondIn += size
	v.program.Datagram(n.now, int(d.from), d.data)
}

func (n *Network) fireTimer(i int) {
	v := &n.nodes[i]
	if v.queuedAt != n.now { // replaced by an earlier one
		return
	}
	v.queuedAt = never
	switch {
	case v.timerAt == never:
	case v.timerAt > n.now:
		v.queuedAt = v.timerAt
		n.push(v.timerAt, timerFires, int32(i))
	case v.paused: // Resume sets it again
	default:
		v.timerAt = never
		if v.program != nil {
			v.program.TimerFired(n.now)
		}
	}
}
