package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// MostDatagram is the longest that goes over Net in one piece: an Ethernet frame of 1,500 bytes less IPv4 and UDP.
	MostDatagram = 1472
	// DatagramHead is what IPv4 and UDP add to each datagram, in bytes.
	DatagramHead = 28

	mostUnderWay = 1 << 21 // datagrams between nodes, about 20 s of 100,000 a second
	mostInbox    = 212992  // bytes that wait for a node that stands still: Linux's usual net.core.rmem_default
	mostCuts     = 64
	mostCalls    = 1 << 20 // of At that wait
	never        = time.Duration(math.MaxInt64)
)

// Node is the program of one node: a pure module and what feeds it. Its methods are called one at a time, by whoever runs the Net, and
// may call the Net's.
type Node interface {
	// Datagram brings bytes from another node; they are the Net's again after the call.
	Datagram(now time.Duration, from int, b []byte)
	// Wake is called at the time that WakeAt named last.
	Wake(now time.Duration)
}

// Latency is one way between two nodes, by the nearest thing they share. Regions stand on a ring. Each datagram takes up to Jitter
// (a part of 1) longer, so that those sent close together can change places. The users' pages tell no latencies: Usual is an
// assumption, in the range of what providers publish of their sites.
type Latency struct {
	Site, Zone, Region time.Duration
	Far, Hop           time.Duration // regions: Far, and Hop for each step on the ring after the first
	Jitter             float64
}

// Usual is the latency that runs take where they do not name another; 30 to 105 ms one way between regions.
var Usual = Latency{Site: 250 * time.Microsecond, Zone: time.Millisecond, Region: 4 * time.Millisecond, Far: 30 * time.Millisecond,
	Hop: 15 * time.Millisecond, Jitter: 0.2}

// Counters are of one node, since the Net began, over all its starts. Bytes are with DatagramHead each.
type Counters struct {
	Out, In           int64 // datagrams
	BytesOut, BytesIn int64
	MostOut, MostIn   int64 // bytes in the worst second of the virtual clock, of whole seconds
	StreamOut         int64 // of BytesOut and BytesIn: watches of control machines, with TCP's heads
	StreamIn          int64
	Lost              int64 // sent by this node and not delivered: loss, a cut, who was down, a full inbox
	Refused           int64 // longer than MostDatagram, or past what can be under way: a fault of the program or the scenario
}

// Net is a network on a virtual clock. Equal seeds, calls and nodes give equal runs. Its owner is one goroutine.
type Net struct {
	places  []Place
	lag     Latency
	regions int
	make    func(i int) Node
	nodes   []vertex
	now     time.Duration
	seq     uint64
	queue   eventHeap
	flying  []datagram // by slot
	free    []int32
	calls   []func()
	idle    []int32 // free slots of calls
	chance  *rand.PCG
	loss    uint64 // of 2^64
	twice   uint64
	cuts    []*Cut
	steps   int64
}

type vertex struct {
	its    Node // nil: down
	paused bool
	starts int
	due    time.Duration // asked for by WakeAt; never: not
	armed  time.Duration // of the event in the queue that counts; never: none
	inbox  []datagram
	held   int // bytes in the inbox
	count  Counters
	second int64 // the whole second that nowOut and nowIn are of
	nowOut int64
	nowIn  int64
}

type datagram struct {
	from, to int32
	b        []byte
}

type eventKind uint8

const (
	arrives eventKind = iota
	wakes
	called
)

type happening struct {
	at   time.Duration
	seq  uint64
	what eventKind
	who  int32 // slot of the datagram or call, or node
}

// NewNet makes a network; make gives the program of a node each time that the node starts. All nodes are down until Start.
func NewNet(seed uint64, places []Place, lag Latency, make func(i int) Node) *Net {
	n := &Net{places: places, lag: lag, make: make, chance: rand.NewPCG(seed, 0x7363616c65)}
	n.nodes = append(n.nodes, newVertices(len(places))...)
	for _, p := range places {
		n.regions = max(n.regions, p.Region+1)
	}
	return n
}

func newVertices(n int) []vertex {
	all := make([]vertex, n)
	for i := range all {
		all[i].due, all[i].armed = never, never
	}
	return all
}

// Now is the virtual time since the Net began.
func (n *Net) Now() time.Duration { return n.now }

// Nodes is how many there are, up or down.
func (n *Net) Nodes() int { return len(n.nodes) }

// Place is where a node stands.
func (n *Net) Place(i int) Place { return n.places[i] }

// Up tells whether a node runs; one that stands still does.
func (n *Net) Up(i int) bool { return n.nodes[i].its != nil }

// Count gives the counters of a node.
func (n *Net) Count(i int) Counters {
	v := &n.nodes[i]
	c := v.count
	c.MostOut, c.MostIn = max(c.MostOut, v.nowOut), max(c.MostIn, v.nowIn)
	return c
}

// Steps is how many events were played.
func (n *Net) Steps() int64 { return n.steps }

// Start starts a node that is down, with a new program.
func (n *Net) Start(i int) {
	if v := &n.nodes[i]; v.its == nil {
		v.its, v.paused = n.make(i), false
		v.starts++
		n.WakeAt(i, n.now)
	}
}

// Kill ends a node at once; nothing of it is kept, and what is under way to it is lost unless it starts before that arrives.
func (n *Net) Kill(i int) {
	v := &n.nodes[i]
	for _, d := range v.inbox {
		n.nodes[d.from].count.Lost++
	}
	v.its, v.paused, v.due, v.inbox, v.held = nil, false, never, nil, 0
}

// Pause has a node stand still: what comes waits, up to the bytes of a socket's buffer.
func (n *Net) Pause(i int) { n.nodes[i].paused = n.nodes[i].its != nil }

// Resume lets it go on, with all that waits at once.
func (n *Net) Resume(i int) {
	v := &n.nodes[i]
	if !v.paused {
		return
	}
	v.paused = false
	waiting := v.inbox
	v.inbox, v.held = nil, 0
	for _, d := range waiting {
		if v.its == nil {
			n.nodes[d.from].count.Lost++
			continue
		}
		n.deliver(d)
	}
	if v.due < never {
		n.WakeAt(i, max(v.due, n.now))
	}
}

// WakeAt has a node called at a time, or now if that has passed; it takes the place of what was asked before. A time of never (the
// greatest Duration) asks for nothing.
func (n *Net) WakeAt(i int, at time.Duration) {
	v := &n.nodes[i]
	if v.due = max(at, n.now); at == never {
		v.due = never
	}
	if v.due < v.armed {
		v.armed = v.due
		n.push(v.due, wakes, int32(i))
	}
}

// At calls f at a time, for scenarios. It panics past mostCalls that wait.
func (n *Net) At(at time.Duration, f func()) {
	slot := int32(len(n.calls))
	if k := len(n.idle); k > 0 {
		slot, n.idle = n.idle[k-1], n.idle[:k-1]
		n.calls[slot] = f
	} else if len(n.calls) >= mostCalls {
		panic("scale.Net: too many calls wait")
	} else {
		n.calls = append(n.calls, f)
	}
	n.push(max(at, n.now), called, slot)
}

// Loss has each datagram be lost with a chance from now on, beside cuts.
func (n *Net) Loss(p float64) { n.loss = part(p) }

// Twice has each datagram come twice with a chance from now on.
func (n *Net) Twice(p float64) { n.twice = part(p) }

// part is a chance as a share of what the generator gives.
func part(p float64) uint64 {
	if p >= 1 {
		return math.MaxUint64
	}
	return uint64(max(p, 0) * (1 << 32) * (1 << 32))
}

// Cut is a fault between two groups: nothing of one reaches the other, either way.
type Cut struct {
	net  *Net
	side []uint8 // by node: 1 in the first, 2 in the second
}

// Cut parts two groups of nodes until Heal; what is under way between them is lost. It panics past 64 cuts at once.
func (n *Net) Cut(a, b []int) *Cut {
	if len(n.cuts) >= mostCuts {
		panic(fmt.Sprintf("scale.Net: more than %d cuts at once", mostCuts))
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

// Heal takes a cut off.
func (c *Cut) Heal() {
	for i, o := range c.net.cuts {
		if o == c {
			c.net.cuts = append(c.net.cuts[:i:i], c.net.cuts[i+1:]...)
			return
		}
	}
}

// Open tells whether what one node sends can reach the other, as far as cuts go.
func (n *Net) Open(from, to int) bool {
	for _, c := range n.cuts {
		f, t := c.side[from], c.side[to]
		if f&1 != 0 && t&2 != 0 || f&2 != 0 && t&1 != 0 {
			return false
		}
	}
	return true
}

// Lag draws how long a datagram between two nodes takes.
func (n *Net) Lag(from, to int) time.Duration {
	a, b, l := &n.places[from], &n.places[to], &n.lag
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
		d = l.Far + time.Duration(min(hops, n.regions-hops)-1)*l.Hop
	}
	return d + time.Duration(float64(d)*l.Jitter*float64(n.chance.Uint64()>>11)/(1<<53))
}

// Send sends a datagram; b is copied. What a node that is down or stands still sends goes nowhere and does not count.
func (n *Net) Send(from, to int, b []byte) {
	v := &n.nodes[from]
	if v.its == nil || v.paused {
		return
	}
	if len(b) > MostDatagram || to < 0 || to >= len(n.nodes) {
		v.count.Refused++
		return
	}
	size := int64(len(b) + DatagramHead)
	v.count.Out++
	v.count.BytesOut += size
	v.turn(n.now)
	v.nowOut += size
	if n.loss > 0 && n.chance.Uint64() < n.loss || !n.Open(from, to) {
		v.count.Lost++
		return
	}
	n.fly(from, to, b)
	if n.twice > 0 && n.chance.Uint64() < n.twice {
		n.fly(from, to, b)
	}
}

func (n *Net) fly(from, to int, b []byte) {
	slot := int32(len(n.flying))
	if k := len(n.free); k > 0 {
		slot, n.free = n.free[k-1], n.free[:k-1]
	} else if len(n.flying) >= mostUnderWay {
		n.nodes[from].count.Refused++
		return
	} else {
		n.flying = append(n.flying, datagram{})
	}
	d := &n.flying[slot]
	d.from, d.to, d.b = int32(from), int32(to), append(d.b[:0], b...)
	n.push(n.now+n.Lag(from, to), arrives, slot)
}

// turn closes the second before, if another has begun.
func (v *vertex) turn(now time.Duration) {
	if s := int64(now / time.Second); s != v.second {
		v.count.MostOut, v.count.MostIn = max(v.count.MostOut, v.nowOut), max(v.count.MostIn, v.nowIn)
		v.second, v.nowOut, v.nowIn = s, 0, 0
	}
}

// stream counts bytes that go over a connection.
func (n *Net) stream(from, to int, out, in int64) {
	a, b := &n.nodes[from], &n.nodes[to]
	a.count.BytesOut += out
	a.count.StreamOut += out
	a.turn(n.now)
	a.nowOut += out
	b.count.BytesIn += in
	b.count.StreamIn += in
	b.turn(n.now)
	b.nowIn += in
}

// Run plays all that happens up to a time, which it then is.
func (n *Net) Run(until time.Duration) {
	for len(n.queue) > 0 && n.queue[0].at <= until {
		e := n.queue.pop()
		n.now = e.at
		n.steps++
		switch e.what {
		case arrives:
			n.arrive(e.who)
		case wakes:
			n.wake(int(e.who))
		case called:
			f := n.calls[e.who]
			n.calls[e.who] = nil
			n.idle = append(n.idle, e.who)
			f()
		}
	}
	n.now = max(n.now, until)
}

func (n *Net) arrive(slot int32) {
	d := n.flying[slot] // the slot stays taken while its bytes are looked at
	v := &n.nodes[d.to]
	switch {
	case v.its == nil || len(n.cuts) > 0 && !n.Open(int(d.from), int(d.to)):
		n.nodes[d.from].count.Lost++
	case v.paused:
		if v.held+len(d.b)+DatagramHead > mostInbox {
			n.nodes[d.from].count.Lost++
			break
		}
		v.held += len(d.b) + DatagramHead
		v.inbox = append(v.inbox, datagram{d.from, d.to, append([]byte(nil), d.b...)})
	default:
		n.deliver(d)
	}
	n.free = append(n.free, slot)
}

func (n *Net) deliver(d datagram) {
	v := &n.nodes[d.to]
	size := int64(len(d.b) + DatagramHead)
	v.count.In++
	v.count.BytesIn += size
	v.turn(n.now)
	v.nowIn += size
	v.its.Datagram(n.now, int(d.from), d.b)
}

func (n *Net) wake(i int) {
	v := &n.nodes[i]
	if v.armed != n.now { // an earlier one took its place
		return
	}
	v.armed = never
	switch {
	case v.due == never:
	case v.due > n.now:
		v.armed = v.due
		n.push(v.due, wakes, int32(i))
	case v.paused: // Resume looks at due
	default:
		v.due = never
		if v.its != nil {
			v.its.Wake(n.now)
		}
	}
}

func (n *Net) push(at time.Duration, what eventKind, who int32) {
	n.seq++
	n.queue.push(happening{at, n.seq, what, who})
}

// eventHeap is a heap of four children a node, by time and then by order of pushing: fewer levels than two children, and the four
// stand in two lines of the cache.
type eventHeap []happening

func (a *happening) before(b *happening) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

func (h *eventHeap) push(e happening) {
	q := append(*h, e)
	i := len(q) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&q[up]) {
			break
		}
		q[i] = q[up]
		i = up
	}
	q[i] = e
	*h = q
}

func (h *eventHeap) pop() happening {
	q := *h
	first, last := q[0], q[len(q)-1]
	q = q[:len(q)-1]
	*h = q
	if len(q) == 0 {
		return first
	}
	i := 0
	for {
		least := 4*i + 1
		if least >= len(q) {
			break
		}
		for c := least + 1; c < min(4*i+5, len(q)); c++ {
			if q[c].before(&q[least]) {
				least = c
			}
		}
		if !q[least].before(&last) {
			break
		}
		q[i] = q[least]
		i = least
	}
	q[i] = last
	return first
}
