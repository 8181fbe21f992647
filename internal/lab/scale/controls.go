package scale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// EventReceiver is a Node that follows the discovery watch. Events are delivered to it in order, each once.
type EventReceiver interface {
	// EventsArrived delivers the events with the numbers first to last.
	EventsArrived(now time.Duration, first, last int64)
}

// ControlOptions configures the control machines of a Network.
type ControlOptions struct {
	Gateways              int                    // number of gateways, nodes 0 to Gateways-1; the control machines are the nodes after them
	Machines              int                    // number of control machines; 14 if 0
	MaxWatches            int                    // limit per machine; a third more than an even share if 0
	EventBytes            int                    // size of one event; 72 if 0
	ListBytes             int                    // size of the endpoint list, which a gateway receives when it starts; 270,000 if 0
	CatchUpBytesPerSecond int                    // rate limit per watch for missed events; 0: unlimited
	BatchInterval         time.Duration          // time for which a machine collects events before it sends them; 0: sends each at once
	SilenceTimeout        time.Duration          // silence after which a gateway dials another machine; 2.5 s if 0, as in package discovery
	HasWatch              func(gateway int) bool // reports whether a gateway has a watch; nil: all have one
	Seed                  uint64
}

// ControlMachines models the control machines of a fleet on a Network, and the TCP watches that gateways have on
// them. The events of a machine reach each of its gateways in order, and a loss delays them by retransmitAfter. A
// gateway detects a cut or a dead machine by the silence of its watch. It then connects to the next machine and
// requests the events after its last one. A gateway that starts receives the whole endpoint list first.
//
// An event is published to the first machine that is up, which forwards it to the other machines that it can reach.
// Each checkInterval, a machine that lacks events fetches them from the others.
//
// Machines and gateways are started and killed through the Network, whose goroutine owns this state.
type ControlMachines struct {
	net          *Network
	options      ControlOptions
	rng          *rand.Rand
	lastEvent    []int64         // by machine: number of the last event that it has
	watchCount   []int           // by machine: number of its watches
	syncedAt     []time.Duration // by machine: time at which all events forwarded to it have arrived
	batchPending []bool          // by machine: whether a batch for its watches is scheduled
	watches      []watch
	publishedAt  []time.Duration // by event number, from 1: time of publication
	lastArrival  []time.Duration // by event number: time of its latest arrival at a gateway
	Moves        int64           // silent watches that gateways ended to dial another machine
	Denied       int64           // requests that a machine denied because it had MaxWatches
}

// watch is one gateway's watch.
type watch struct {
	starts                   int           // start count of the gateway when the watch was set up
	machineStart             int           // start count of the machine when the connection was set up
	hasList                  bool          // the endpoint list has arrived since the gateway started
	machine                  int           // -1: no watch
	epoch                    int           // number of the connection; data in flight on an earlier one is lost
	sent                     int64         // number of the last event sent
	received                 int64         // number of the last event received
	sendingUntil             time.Duration // time at which all data sent so far has arrived
	lastLineAt               time.Duration // time at which the last line arrived
	dialing, silenceTimerSet bool          // a connection attempt is in progress; a check for silence is scheduled
	catchingUp               bool          // the next batch of missed events is scheduled
	attempts                 int           // connection attempts since the last connection
	waiting                  []func()      // deliveries in the socket buffer of a paused gateway
}

const (
	segmentHeaderBytes = 52 // IPv4 and TCP headers with timestamps
	heartbeatBytes     = 12 // a line with only the number of the last event
	retransmitAfter    = 200 * time.Millisecond
	checkInterval      = time.Second
	dialTimeout        = 500 * time.Millisecond
	minBackoff         = 50 * time.Millisecond
	maxBackoff         = 800 * time.Millisecond
	maxCatchUpBytes    = 64 << 10 // bytes of missed events sent at once
	catchUpThreshold   = 64       // a watch that lacks more events than this receives them in batches
)

// ControlMachine is the program of a control machine's node. It does nothing, since ControlMachines models all
// machines.
type ControlMachine struct{}

// Datagram drops the datagram, since watches are streams.
func (ControlMachine) Datagram(time.Duration, int, []byte) {}

// TimerFired does nothing.
func (ControlMachine) TimerFired(time.Duration) {}

// WithControlMachines returns the locations of gateways followed by those of control machines. The machines are
// spread evenly over the zones, each at a site of its own.
func WithControlMachines(places []Location, machines int) []Location {
	var zones []Location
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

// NewControlMachines starts the control machines on the nodes after the gateways, and from then on serves the watches
// of all gateways that have one. It panics if there is no gateway, no machine, or not a node for each.
func NewControlMachines(n *Network, o ControlOptions) *ControlMachines {
	if o.Machines == 0 {
		o.Machines = FullControls
	}
	if o.Gateways < 1 || o.Machines < 1 || n.Nodes() < o.Gateways+o.Machines {
		panic(fmt.Sprintf("scale.NewControlMachines: %d gateways and %d machines on %d nodes, expected one of each at least and a node for each", o.Gateways, o.Machines, n.Nodes()))
	}
	setDefault := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	setDefault(&o.MaxWatches, o.Gateways*4/(3*o.Machines)+1)
	setDefault(&o.EventBytes, 72)
	setDefault(&o.ListBytes, 270_000)
	if o.SilenceTimeout == 0 {
		o.SilenceTimeout = 2500 * time.Millisecond
	}
	c := &ControlMachines{net: n, options: o, rng: rand.New(rand.NewPCG(o.Seed, 0x636f6e74)), lastEvent: make([]int64, o.Machines), watchCount: make([]int, o.Machines), syncedAt: make([]time.Duration, o.Machines), batchPending: make([]bool, o.Machines),
		watches: make([]watch, o.Gateways), publishedAt: []time.Duration{0}, lastArrival: []time.Duration{0}}
	for g := range c.watches {
		c.watches[g].machine = -1
	}
	for j := range o.Machines {
		n.Start(o.Gateways + j)
		c.everySecond(time.Duration(c.rng.Int64N(int64(checkInterval))), func() { c.syncMachine(j) })
	}
	for g := range c.watches {
		if o.HasWatch == nil || o.HasWatch(g) {
			c.everySecond(time.Duration(c.rng.Int64N(int64(checkInterval))), func() { c.checkWatch(g) })
		}
	}
	return c
}

// everySecond calls f after a delay and each checkInterval from then on.
func (c *ControlMachines) everySecond(delay time.Duration, f func()) {
	at := c.net.Now() + delay
	var again func()
	again = func() {
		f()
		at += checkInterval
		c.net.Schedule(at, again)
	}
	c.net.Schedule(at, again)
}

// node returns the number of a machine's node.
func (c *ControlMachines) node(machine int) int { return c.options.Gateways + machine }

// Publish publishes an event and returns its number.
func (c *ControlMachines) Publish() int64 {
	now := c.net.Now()
	c.publishedAt, c.lastArrival = append(c.publishedAt, now), append(c.lastArrival, 0)
	number := int64(len(c.publishedAt) - 1)
	source := c.source()
	for j := range c.lastEvent {
		if j == source {
			c.storeEvents(j, number)
		} else if source >= 0 && c.canReach(c.node(source), c.node(j)) {
			c.syncedAt[j] = max(c.syncedAt[j], now+c.net.DrawLatency(c.node(source), c.node(j)))
			c.net.Schedule(c.syncedAt[j], func() {
				if c.net.IsUp(c.node(j)) && c.lastEvent[j] == number-1 {
					c.storeEvents(j, number)
				}
			})
		}
	}
	return number
}

// LastEvent returns the number of the last event published.
func (c *ControlMachines) LastEvent() int64 { return int64(len(c.publishedAt) - 1) }

// PublishedAt returns the time at which an event was published.
func (c *ControlMachines) PublishedAt(number int64) time.Duration { return c.publishedAt[number] }

// LastArrival returns the time at which an event last reached a gateway so far; 0: it has reached none.
func (c *ControlMachines) LastArrival(number int64) time.Duration { return c.lastArrival[number] }

// Received returns the number of the last event that a gateway has received.
func (c *ControlMachines) Received(gateway int) int64 { return c.watches[gateway].received }

// Machine returns the machine that serves a gateway's watch; -1: none.
func (c *ControlMachines) Machine(gateway int) int { return c.watches[gateway].machine }

// Watches returns the number of watches of each machine.
func (c *ControlMachines) Watches() []int { return slices.Clone(c.watchCount) }

// source returns the machine that events are published to, which is the first that is up; -1: none is up.
func (c *ControlMachines) source() int {
	for j := range c.lastEvent {
		if c.net.IsUp(c.node(j)) {
			return j
		}
	}
	return -1
}

// canReach reports whether two nodes are up and no cut separates them.
func (c *ControlMachines) canReach(a, b int) bool {
	return c.net.IsUp(a) && c.net.IsUp(b) && c.net.CanReach(a, b)
}

// storeEvents stores the events up to a number on a machine and sends them to its watches, at once or with the next
// batch.
func (c *ControlMachines) storeEvents(j int, number int64) {
	c.lastEvent[j] = max(c.lastEvent[j], number)
	push := func() {
		c.batchPending[j] = false
		for g := range c.watches {
			if c.watches[g].machine == j {
				c.push(g)
			}
		}
	}
	if c.options.BatchInterval <= 0 {
		push()
	} else if !c.batchPending[j] {
		c.batchPending[j] = true
		c.net.Schedule(c.net.now+c.options.BatchInterval, push)
	}
}

// syncMachine makes a machine fetch the events that it lacks from the others that it can reach, once the first of
// them was published more than 2*checkInterval ago.
func (c *ControlMachines) syncMachine(j int) {
	if !c.net.IsUp(c.node(j)) {
		return
	}
	for k := range c.lastEvent {
		if c.lastEvent[k] > c.lastEvent[j] && c.canReach(c.node(k), c.node(j)) && c.net.now-c.publishedAt[c.lastEvent[j]+1] > 2*checkInterval {
			c.storeEvents(j, c.lastEvent[k])
		}
	}
}

// push sends a gateway the events that its machine has stored but not sent yet. More than catchUpThreshold events are
// sent in batches of at most maxCatchUpBytes, at CatchUpBytesPerSecond.
func (c *ControlMachines) push(g int) {
	w := &c.watches[g]
	if w.catchingUp || w.sent >= c.lastEvent[w.machine] || !c.isConnected(g) {
		return
	}
	now := c.net.now
	first, last := w.sent+1, c.lastEvent[w.machine]
	behind := last-first >= catchUpThreshold // it has missed events and does not lack only the latest ones
	if limit := int64(maxCatchUpBytes / c.options.EventBytes); behind && last-first >= limit {
		last = first + limit - 1
	}
	w.sent = last
	bytes := (last - first + 1) * int64(c.options.EventBytes)
	c.send(g, bytes, func() {
		w.received = last
		for number := first; number <= last; number++ {
			c.lastArrival[number] = max(c.lastArrival[number], c.net.now)
		}
		if receiver, ok := c.net.nodes[g].program.(EventReceiver); ok {
			receiver.EventsArrived(c.net.now, first, last)
		}
	})
	if behind {
		epoch := w.epoch
		delay := time.Duration(0)
		if c.options.CatchUpBytesPerSecond > 0 {
			delay = time.Duration(float64(bytes) / float64(c.options.CatchUpBytesPerSecond) * float64(time.Second))
		}
		w.catchingUp = true
		c.net.Schedule(now+delay, func() {
			if w.epoch == epoch {
				w.catchingUp = false
				c.push(g)
			}
		})
	}
}

// send sends bytes on a gateway's watch and calls deliver when they arrive, after all bytes sent before. It does not
// call deliver if the connection has ended by then.
func (c *ControlMachines) send(g int, bytes int64, deliver func()) {
	w := &c.watches[g]
	m := c.node(w.machine)
	segments := (bytes + 1447) / 1448
	c.net.countStream(m, g, bytes+segmentHeaderBytes*segments, bytes+segmentHeaderBytes*segments)
	c.net.countStream(g, m, segmentHeaderBytes*((segments+1)/2), segmentHeaderBytes*((segments+1)/2))
	at := c.net.now + c.net.DrawLatency(m, g)
	if c.net.lossThreshold > 0 && c.net.rng.Uint64() < c.net.lossThreshold {
		at += retransmitAfter
	}
	w.sendingUntil = max(w.sendingUntil, at)
	epoch := w.epoch
	c.net.Schedule(w.sendingUntil, func() {
		if w.epoch != epoch || c.net.nodes[g].starts != w.starts || c.net.nodes[g].program == nil {
			return
		}
		if !c.isConnected(g) { // the data is lost with the connection; the gateway's next request names its last event
			c.endWatch(g)
			return
		}
		w.waiting = append(w.waiting, deliver)
		c.deliverWaiting(g)
	})
}

// deliverWaiting makes the deliveries that wait in a gateway's socket buffer, unless the gateway is paused.
func (c *ControlMachines) deliverWaiting(g int) {
	w := &c.watches[g]
	if len(w.waiting) == 0 || c.net.nodes[g].paused {
		return
	}
	deliveries := w.waiting
	w.waiting, w.lastLineAt = nil, c.net.now
	for _, deliver := range deliveries {
		deliver()
	}
}

// isConnected reports whether a gateway and its machine can reach each other and the machine has not restarted since
// they connected.
func (c *ControlMachines) isConnected(g int) bool {
	w := &c.watches[g]
	m := c.node(w.machine)
	return c.canReach(m, g) && c.net.nodes[m].starts == w.machineStart
}

// endWatch ends a gateway's watch, if it has one.
func (c *ControlMachines) endWatch(g int) {
	if w := &c.watches[g]; w.machine >= 0 {
		c.watchCount[w.machine]--
		w.machine = -1
		w.epoch++
		w.catchingUp, w.waiting = false, nil
	}
}

// checkWatch runs for each gateway each checkInterval. It dials a machine for a gateway that has started, counts the
// heartbeat of a connected watch, checks a disconnected one for silence, and ends the watch of a gateway that is
// down.
func (c *ControlMachines) checkWatch(g int) {
	w, v := &c.watches[g], &c.net.nodes[g]
	switch {
	case v.program == nil:
		c.endWatch(g)
		w.received = 0
	case v.paused:
	case w.starts != v.starts:
		c.endWatch(g)
		w.starts, w.hasList, w.received, w.sent, w.attempts = v.starts, false, 0, 0, 0
		c.dial(g, minBackoff)
	case w.machine < 0 || !c.isConnected(g):
		c.checkSilence(g)
	default:
		c.deliverWaiting(g)
		w.lastLineAt = c.net.now
		c.net.countStream(c.node(w.machine), g, heartbeatBytes+segmentHeaderBytes, heartbeatBytes+segmentHeaderBytes)
	}
}

// checkSilence makes a gateway dial another machine once its watch has been silent for SilenceTimeout.
func (c *ControlMachines) checkSilence(g int) {
	w, v := &c.watches[g], &c.net.nodes[g]
	if w.dialing || w.silenceTimerSet || w.starts != v.starts || v.program == nil || v.paused || w.machine >= 0 && c.isConnected(g) {
		return
	}
	if due := w.lastLineAt + c.options.SilenceTimeout; due > c.net.now {
		w.silenceTimerSet = true
		c.net.Schedule(due, func() {
			w.silenceTimerSet = false
			c.checkSilence(g)
		})
		return
	}
	c.endWatch(g)
	c.Moves++
	c.dial(g, minBackoff)
}

// dial connects a gateway to its next machine; each gateway tries the machines in an order of its own. After a
// failure it tries another machine after a random backoff, whose upper limit doubles up to maxBackoff.
func (c *ControlMachines) dial(g int, backoff time.Duration) {
	w := &c.watches[g]
	starts, epoch := w.starts, w.epoch
	obsolete := func() bool {
		return w.starts != starts || w.epoch != epoch || w.machine >= 0 || c.net.nodes[g].starts != starts || c.net.nodes[g].program == nil
	}
	j := (g*c.options.Machines/c.options.Gateways + w.attempts*(1+g%(c.options.Machines/2+1))) % c.options.Machines
	w.attempts++
	w.dialing = true
	m := c.node(j)
	retry := func(after time.Duration) {
		c.net.Schedule(c.net.now+after+time.Duration(c.rng.Int64N(int64(backoff)+1)), func() {
			if !obsolete() {
				c.dial(g, min(2*backoff, maxBackoff))
			}
		})
	}
	if !c.canReach(g, m) {
		retry(dialTimeout)
		return
	}
	c.net.Schedule(c.net.now+c.net.DrawLatency(g, m)+c.net.DrawLatency(m, g)+c.net.DrawLatency(g, m), func() { // the TCP handshake and the request
		switch {
		case obsolete():
		case !c.canReach(g, m):
			retry(dialTimeout)
		case c.watchCount[j] >= c.options.MaxWatches:
			c.Denied++
			retry(0)
		default:
			c.watchCount[j]++
			w.machine, w.machineStart, w.attempts, w.dialing, w.lastLineAt = j, c.net.nodes[m].starts, 0, false, c.net.now
			w.sendingUntil = c.net.now
			if !w.hasList { // after a start, the list replaces all earlier events
				upTo := c.lastEvent[j]
				w.sent = upTo
				c.send(g, int64(c.options.ListBytes), func() { w.received, w.hasList = upTo, true })
				return
			}
			w.sent = min(w.received, c.lastEvent[j])
			c.push(g)
		}
	})
}
