package scale

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// MaxDatagram is the greatest length, in bytes, of a payload that a Network carries: an Ethernet frame of 1,500
	// bytes less the IPv4 and UDP headers.
	MaxDatagram = 1472
	// DatagramHeaderBytes is the length of the IPv4 and UDP headers of each datagram.
	DatagramHeaderBytes = 28

	maxInFlight   = 1 << 21                      // datagrams in flight, enough for about 20 s at 100,000 a second
	maxInboxBytes = 212992                       // bytes queued for a paused node; default of net.core.rmem_default on Linux
	maxCuts       = 64                           // cuts in force at the same time
	maxCalls      = 1 << 20                      // scheduled calls
	never         = time.Duration(math.MaxInt64) // time of a timer that is not set
)

// Node is the program of one node. It consists of a pure module and the code that feeds it. Its methods are called one
// at a time on the goroutine that runs the Network. They may call the Network's methods.
type Node interface {
	// Datagram delivers the payload of a datagram from another node. The bytes are valid only during the call.
	Datagram(now time.Duration, from int, b []byte)
	// TimerFired is called at the time that was last set, by SetTimer or by the start of the node.
	TimerFired(now time.Duration)
}

// Latency holds the one-way delays between two nodes, by the smallest location that they share. Regions form a ring.
// The delay between adjacent regions is AdjacentRegion, and each further step on the ring adds RegionHop. A datagram
// takes up to the fraction Jitter longer, so that datagrams sent close together can be reordered. The latencies of the
// users' fleet are not known. DefaultLatency is an assumption within the range that providers publish for their sites.
type Latency struct {
	Site, Zone, Region        time.Duration
	AdjacentRegion, RegionHop time.Duration
	Jitter                    float64
}

// DefaultLatency is the latency of runs that set no other. Between regions it is 30 to 105 ms one way, without jitter.
var DefaultLatency = Latency{Site: 250 * time.Microsecond, Zone: time.Millisecond, Region: 4 * time.Millisecond, AdjacentRegion: 30 * time.Millisecond,
	RegionHop: 15 * time.Millisecond, Jitter: 0.2}

// Counters counts the traffic of one node since the Network was created, over all starts of the node. Bytes include
// DatagramHeaderBytes for each datagram. Datagrams are Lost to random loss, to a cut, or because the receiver is down
// or has a full inbox. Datagrams are Refused if they are longer than MaxDatagram, exceed maxInFlight or are sent to an
// unknown node. That is a defect of the program or the scenario.
type Counters struct {
	Out, In                         int64 // datagrams
	BytesOut, BytesIn               int64
	MaxOutPerSecond, MaxInPerSecond int64 // bytes in the busiest whole second of the virtual clock
	StreamOut                       int64 // part of BytesOut that belongs to watches of control machines, with TCP headers
	StreamIn                        int64 // the same part of BytesIn
	Lost                            int64 // datagrams of this node that were not delivered
	Refused                         int64 // datagrams of this node that the Network did not carry
}

// Network is a simulated network on a virtual clock. Equal seeds, calls and nodes give equal runs. It is not safe for
// concurrent use. One goroutine owns it.
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
	lossThreshold      uint64 // probability times 2^64
	duplicateThreshold uint64 // probability times 2^64
	cuts               []*Cut
	steps              int64
}

type nodeState struct {
	program    Node // nil: the node is down
	paused     bool
	starts     int
	timerAt    time.Duration // time set by SetTimer; never: no timer is set
	queuedAt   time.Duration // time of the queued event that is to fire the timer; never: none is queued
	inbox      []datagram
	inboxBytes int // bytes in the inbox
	counters   Counters
	second     int64 // whole second of the virtual clock to which secondOut and secondIn belong
	secondOut  int64
	secondIn   int64
}

type datagram struct {
	from, to int32
	data     []byte
}

// NewNetwork creates a network with one node at each location. startProgram creates the program of a node each time the
// node starts. All nodes are down until Start is called.
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

// Now returns the virtual time since the Network was created.
func (n *Network) Now() time.Duration { return n.now }

// Nodes returns the number of nodes, both those that are up and those that are down.
func (n *Network) Nodes() int { return len(n.nodes) }

// Location returns the location of a node.
func (n *Network) Location(i int) Location { return n.locations[i] }

// IsUp reports whether a node is up. A paused node is up.
func (n *Network) IsUp(i int) bool { return n.nodes[i].program != nil }

// Counters returns the counters of a node.
func (n *Network) Counters(i int) Counters {
	v := &n.nodes[i]
	c := v.counters
	c.MaxOutPerSecond, c.MaxInPerSecond = max(c.MaxOutPerSecond, v.secondOut), max(c.MaxInPerSecond, v.secondIn)
	return c
}

// Steps returns the number of events processed so far.
func (n *Network) Steps() int64 { return n.steps }

// Start starts a node with a new program, whose timer fires at once. It does nothing if the node is up.
func (n *Network) Start(i int) {
	if v := &n.nodes[i]; v.program == nil {
		v.program, v.paused = n.startProgram(i), false
		v.starts++
		n.SetTimer(i, n.now)
	}
}

// Kill ends a node at once and discards its state and its inbox. Datagrams in flight to the node are lost unless it
// starts again before they arrive.
func (n *Network) Kill(i int) {
	v := &n.nodes[i]
	for _, d := range v.inbox {
		n.nodes[d.from].counters.Lost++
	}
	v.program, v.paused, v.timerAt, v.inbox, v.inboxBytes = nil, false, never, nil, 0
}

// Pause stops a node that is up. Datagrams that arrive for it are queued in its inbox, up to maxInboxBytes.
func (n *Network) Pause(i int) { n.nodes[i].paused = n.nodes[i].program != nil }

// Resume continues a paused node and delivers the datagrams of its inbox at once.
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

// SetTimer sets the time of the next call of a node's TimerFired, in place of the time set before. A time that has
// passed counts as now. The greatest Duration means that there is no call.
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

// Schedule calls f at a virtual time. Scenarios use it for faults and load. It panics if maxCalls calls are scheduled
// already.
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

// SetLoss sets the probability that a datagram sent from now on is lost. Cuts lose datagrams in addition.
func (n *Network) SetLoss(p float64) { n.lossThreshold = threshold(p) }

// SetDuplication sets the probability that a datagram sent from now on is delivered twice.
func (n *Network) SetDuplication(p float64) { n.duplicateThreshold = threshold(p) }

// threshold returns a probability as a fraction of the 64-bit range of the random generator.
func threshold(p float64) uint64 {
	if p >= 1 {
		return math.MaxUint64
	}
	return uint64(max(p, 0) * (1 << 32) * (1 << 32))
}

// DrawLatency draws the latency of a datagram between two nodes, including jitter.
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

// Send sends a copy of b as a datagram. A datagram from a node that is down or paused is dropped and not counted.
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

// transmit puts a datagram in flight.
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

// rollSecond ends the second of the per-second counters if another second has begun.
func (v *nodeState) rollSecond(now time.Duration) {
	if s := int64(now / time.Second); s != v.second {
		v.counters.MaxOutPerSecond, v.counters.MaxInPerSecond = max(v.counters.MaxOutPerSecond, v.secondOut), max(v.counters.MaxInPerSecond, v.secondIn)
		v.second, v.secondOut, v.secondIn = s, 0, 0
	}
}

// countStream counts the bytes of a TCP connection: out for the sender from, in for the receiver to.
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

// Run processes all events that are due up to the time until and then sets the clock to it.
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

// arrive delivers the datagram of a slot to its receiver, queues it or counts it as lost, and frees the slot.
func (n *Network) arrive(slot int32) {
	d := n.inFlight[slot] // the slot is not reused before the receiver has read the bytes
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
	if v.queuedAt != n.now { // a timer set later queued an earlier event in place of this one
		return
	}
	v.queuedAt = never
	switch {
	case v.timerAt == never:
	case v.timerAt > n.now:
		v.queuedAt = v.timerAt
		n.push(v.timerAt, timerFires, int32(i))
	case v.paused: // Resume sets the timer again
	default:
		v.timerAt = never
		if v.program != nil {
			v.program.TimerFired(n.now)
		}
	}
}
