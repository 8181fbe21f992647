package scale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Watcher is a Node that hears the discovery watch: events come to it in order, each once.
type Watcher interface {
	// Told brings the events numbered first to last.
	Told(now time.Duration, first, last int64)
}

// ControlOptions are of the control machines on a Net.
type ControlOptions struct {
	Gateways int           // nodes 0 up to it; the machines are the nodes after
	Machines int           // 14 if 0
	Most     int           // watches that one machine takes; a third more than an even share if 0
	Line     int           // bytes of an event; 72 if 0
	List     int           // bytes of the whole list that a start hears; 270,000 if 0
	CatchUp  int           // bytes a second at which one watch is told what it missed; 0: at once
	Batch    time.Duration // a machine tells its watches so often, all there is then; 0: each event at once
	Silent   time.Duration // without a line a gateway asks elsewhere; 2.5 s if 0, as package wire has it
	Watch    func(gateway int) bool
	Seed     uint64
}

// Controls are the control machines of a fleet on a Net, as a model of TCP watches: what a machine holds comes to each of its gateways in
// order, a loss delays it by 200 ms, a cut or a dead machine is noticed by silence, and a gateway then asks the next machine after the
// number of the last event that it holds. An event is told to the first machine that is up and reaches the others as cuts allow; one
// that is behind asks for the rest every second.
//
// Machines and gateways are started and killed through the Net; a gateway that starts hears the whole list first.
type Controls struct {
	net    *Net
	o      ControlOptions
	chance *rand.Rand
	held   []int64         // by machine: the last event
	load   []int           // by machine: its watches
	free   []time.Duration // by machine: when what it was told before is there
	batch  []bool          // by machine: its watches are to be told
	by     []watch
	told   []time.Duration // by event, from 1
	last   []time.Duration // by event: when it came to a gateway latest
	Moves  int64           // watches that went to another machine
	Denied int64           // asked a machine that was full
}

// watch is one gateway's.
type watch struct {
	starts          int // of the gateway, for which it was set up
	its             int // starts of the machine
	listed          bool
	machine         int // -1: none
	epoch           int // of the connection; what is under way of an earlier one is lost
	sent            int64
	held            int64
	free            time.Duration // when what was sent before is over
	heard           time.Duration // when a line came last
	dialing, awaits bool          // machines are asked one after the other; a silence runs out
	busy            bool          // a turn of catching up is under way
	tries           int
	waiting         []func() // what has come to a gateway that stands still, in its socket
}

const (
	segmentHead  = 52 // bytes of IPv4 and TCP with timestamps
	numberLine   = 12 // bytes of a line with the last number alone
	retransmit   = 200 * time.Millisecond
	lookEvery    = time.Second
	dialWithin   = 500 * time.Millisecond
	backoffFirst = 50 * time.Millisecond
	backoffMost  = 800 * time.Millisecond
	catchUpMost  = 64 << 10 // bytes at once
)

// ControlMachine is the program of a control machine's node: all it does is in Controls.
type ControlMachine struct{}

func (ControlMachine) Datagram(time.Duration, int, []byte) {}
func (ControlMachine) Wake(time.Duration)                  {}

// WithControls adds places of control machines, spread over the zones, to those of gateways.
func WithControls(places []Place, machines int) []Place {
	var zones []Place
	for _, p := range places {
		if len(zones) == 0 || zones[len(zones)-1].Zone != p.Zone {
			zones = append(zones, p)
		}
	}
	site := places[len(places)-1].Site + 1
	out := slices.Clone(places)
	for j := range machines {
		p := zones[j*len(zones)/machines]
		p.Site = site + j
		out = append(out, p)
	}
	return out
}

// NewControls puts control machines on a Net whose last nodes they are. It looks after all gateways from then on.
func NewControls(n *Net, o ControlOptions) *Controls {
	if o.Machines == 0 {
		o.Machines = FullControls
	}
	if o.Gateways < 1 || o.Machines < 1 || n.Nodes() < o.Gateways+o.Machines {
		panic(fmt.Sprintf("scale.NewControls: %d gateways and %d machines on %d nodes", o.Gateways, o.Machines, n.Nodes()))
	}
	usual := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	usual(&o.Most, o.Gateways*4/(3*o.Machines)+1)
	usual(&o.Line, 72)
	usual(&o.List, 270_000)
	if o.Silent == 0 {
		o.Silent = 2500 * time.Millisecond
	}
	c := &Controls{net: n, o: o, chance: rand.New(rand.NewPCG(o.Seed, 0x636f6e74)), held: make([]int64, o.Machines), load: make([]int, o.Machines), free: make([]time.Duration, o.Machines), batch: make([]bool, o.Machines),
		by: make([]watch, o.Gateways), told: []time.Duration{0}, last: []time.Duration{0}}
	for g := range c.by {
		c.by[g].machine = -1
	}
	for j := range o.Machines {
		n.Start(o.Gateways + j)
		c.every(time.Duration(c.chance.Int64N(int64(lookEvery))), func() { c.lookMachine(j) })
	}
	for g := range c.by {
		if o.Watch == nil || o.Watch(g) {
			c.every(time.Duration(c.chance.Int64N(int64(lookEvery))), func() { c.look(g) })
		}
	}
	return c
}

// every calls f each second from a time on.
func (c *Controls) every(from time.Duration, f func()) {
	at := c.net.Now() + from
	var again func()
	again = func() {
		f()
		at += lookEvery
		c.net.At(at, again)
	}
	c.net.At(at, again)
}

func (c *Controls) node(machine int) int { return c.o.Gateways + machine }

// Tell tells one more event and returns its number.
func (c *Controls) Tell() int64 {
	now := c.net.Now()
	c.told, c.last = append(c.told, now), append(c.last, 0)
	no := int64(len(c.told) - 1)
	from := c.source()
	for j := range c.held {
		if j == from {
			c.hold(j, no)
		} else if from >= 0 && c.reaches(c.node(from), c.node(j)) {
			c.free[j] = max(c.free[j], now+c.net.Lag(c.node(from), c.node(j)))
			c.net.At(c.free[j], func() {
				if c.net.Up(c.node(j)) && c.held[j] == no-1 {
					c.hold(j, no)
				}
			})
		}
	}
	return no
}

// Last is the number of the last event told.
func (c *Controls) Last() int64 { return int64(len(c.told) - 1) }

// ToldAt is when an event was told.
func (c *Controls) ToldAt(no int64) time.Duration { return c.told[no] }

// LastAt is when an event came to a gateway by its watch latest, so far.
func (c *Controls) LastAt(no int64) time.Duration { return c.last[no] }

// Held is the last event that a gateway holds by its watch.
func (c *Controls) Held(gateway int) int64 { return c.by[gateway].held }

// Machine is the one that a gateway watches; -1: none.
func (c *Controls) Machine(gateway int) int { return c.by[gateway].machine }

// Watches is how many gateways watch each machine.
func (c *Controls) Watches() []int { return slices.Clone(c.load) }

// source is the machine that events are told to: the first that runs; -1: none does.
func (c *Controls) source() int {
	for j := range c.held {
		if c.net.Up(c.node(j)) {
			return j
		}
	}
	return -1
}

func (c *Controls) reaches(a, b int) bool { return c.net.Up(a) && c.net.Up(b) && c.net.Open(a, b) }

// hold has a machine hold events up to a number, and tells its watches.
func (c *Controls) hold(j int, no int64) {
	c.held[j] = max(c.held[j], no)
	push := func() {
		c.batch[j] = false
		for g := range c.by {
			if c.by[g].machine == j {
				c.push(g)
			}
		}
	}
	if c.o.Batch <= 0 {
		push()
	} else if !c.batch[j] {
		c.batch[j] = true
		c.net.At(c.net.now+c.o.Batch, push)
	}
}

// lookMachine has a machine that is behind ask the others for the rest.
func (c *Controls) lookMachine(j int) {
	if !c.net.Up(c.node(j)) {
		return
	}
	for k := range c.held {
		if c.held[k] > c.held[j] && c.reaches(c.node(k), c.node(j)) && c.net.now-c.told[c.held[j]+1] > 2*lookEvery {
			c.hold(j, c.held[k])
		}
	}
}

// push sends a gateway what its machine holds and it was not sent.
func (c *Controls) push(g int) {
	w := &c.by[g]
	if w.busy || w.sent >= c.held[w.machine] || !c.stands(g) {
		return
	}
	now := c.net.now
	first, last := w.sent+1, c.held[w.machine]
	behind := last-first >= 64 // more than what was told just now
	if most := int64(catchUpMost / c.o.Line); behind && last-first >= most {
		last = first + most - 1
	}
	w.sent = last
	bytes := (last - first + 1) * int64(c.o.Line)
	c.send(g, bytes, func() {
		w.held = last
		for no := first; no <= last; no++ {
			c.last[no] = max(c.last[no], c.net.now)
		}
		if its, ok := c.net.nodes[g].its.(Watcher); ok {
			its.Told(c.net.now, first, last)
		}
	})
	if behind {
		epoch := w.epoch
		pause := time.Duration(0)
		if c.o.CatchUp > 0 {
			pause = time.Duration(float64(bytes) / float64(c.o.CatchUp) * float64(time.Second))
		}
		w.busy = true
		c.net.At(now+pause, func() {
			if w.epoch == epoch {
				w.busy = false
				c.push(g)
			}
		})
	}
}

// send has bytes come to a gateway after all that was sent before, if the connection still stands then.
func (c *Controls) send(g int, bytes int64, come func()) {
	w := &c.by[g]
	m := c.node(w.machine)
	segments := (bytes + 1447) / 1448
	c.net.stream(m, g, bytes+segmentHead*segments, bytes+segmentHead*segments)
	c.net.stream(g, m, segmentHead*((segments+1)/2), segmentHead*((segments+1)/2))
	at := c.net.now + c.net.Lag(m, g)
	if c.net.loss > 0 && c.net.chance.Uint64() < c.net.loss {
		at += retransmit
	}
	w.free = max(w.free, at)
	epoch := w.epoch
	c.net.At(w.free, func() {
		if w.epoch != epoch || c.net.nodes[g].starts != w.starts || c.net.nodes[g].its == nil {
			return
		}
		if !c.stands(g) { // lost with the connection; the number it holds says so when it asks anew
			c.part(g)
			return
		}
		w.waiting = append(w.waiting, come)
		c.take(g)
	})
}

// take brings a gateway what waits for it, unless it stands still.
func (c *Controls) take(g int) {
	w := &c.by[g]
	if len(w.waiting) == 0 || c.net.nodes[g].paused {
		return
	}
	some := w.waiting
	w.waiting, w.heard = nil, c.net.now
	for _, come := range some {
		come()
	}
}

// stands tells whether a gateway's connection can bring anything.
func (c *Controls) stands(g int) bool {
	w := &c.by[g]
	m := c.node(w.machine)
	return c.reaches(m, g) && c.net.nodes[m].starts == w.its
}

// part ends a watch.
func (c *Controls) part(g int) {
	if w := &c.by[g]; w.machine >= 0 {
		c.load[w.machine]--
		w.machine = -1
		w.epoch++
		w.busy, w.waiting = false, nil
	}
}

// look is a gateway's every second: it begins a watch, counts the line with the last number, and notices silence.
func (c *Controls) look(g int) {
	w, v := &c.by[g], &c.net.nodes[g]
	switch {
	case v.its == nil:
		c.part(g)
		w.held = 0
	case v.paused:
	case w.starts != v.starts:
		c.part(g)
		w.starts, w.listed, w.held, w.sent, w.tries = v.starts, false, 0, 0, 0
		c.dial(g, backoffFirst)
	case w.machine < 0 || !c.stands(g):
		c.silence(g)
	default:
		c.take(g)
		w.heard = c.net.now
		c.net.stream(c.node(w.machine), g, numberLine+segmentHead, numberLine+segmentHead)
	}
}

// silence has a gateway ask elsewhere once its watch has brought nothing for too long.
func (c *Controls) silence(g int) {
	w, v := &c.by[g], &c.net.nodes[g]
	if w.dialing || w.awaits || w.starts != v.starts || v.its == nil || v.paused || w.machine >= 0 && c.stands(g) {
		return
	}
	if due := w.heard + c.o.Silent; due > c.net.now {
		w.awaits = true
		c.net.At(due, func() {
			w.awaits = false
			c.silence(g)
		})
		return
	}
	c.part(g)
	c.Moves++
	c.dial(g, backoffFirst)
}

// dial asks machine after machine, each gateway in an order of its own.
func (c *Controls) dial(g int, pause time.Duration) {
	w := &c.by[g]
	starts, epoch := w.starts, w.epoch
	another := func() bool {
		return w.starts != starts || w.epoch != epoch || w.machine >= 0 || c.net.nodes[g].starts != starts || c.net.nodes[g].its == nil
	}
	j := (g*c.o.Machines/c.o.Gateways + w.tries*(1+g%(c.o.Machines/2+1))) % c.o.Machines
	w.tries++
	w.dialing = true
	m := c.node(j)
	again := func(after time.Duration) {
		c.net.At(c.net.now+after+time.Duration(c.chance.Int64N(int64(pause)+1)), func() {
			if !another() {
				c.dial(g, min(2*pause, backoffMost))
			}
		})
	}
	if !c.reaches(g, m) {
		again(dialWithin)
		return
	}
	c.net.At(c.net.now+c.net.Lag(g, m)+c.net.Lag(m, g)+c.net.Lag(g, m), func() { // the handshake, and the line that asks
		switch {
		case another():
		case !c.reaches(g, m):
			again(dialWithin)
		case c.load[j] >= c.o.Most:
			c.Denied++
			again(0)
		default:
			c.load[j]++
			w.machine, w.its, w.tries, w.dialing, w.heard = j, c.net.nodes[m].starts, 0, false, c.net.now
			w.free = c.net.now
			if !w.listed { // a start: the list stands for all that was told before
				upTo := c.held[j]
				w.sent = upTo
				c.send(g, int64(c.o.List), func() { w.held, w.listed = upTo, true })
				return
			}
			w.sent = min(w.held, c.held[j])
			c.push(g)
		}
	})
}
