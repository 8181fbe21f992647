package simenv

import "time"

const (
	retransmitAfter     = 120 * time.Millisecond // of a message into a split, as TCP does
	bytesPerMicrosecond = 100
)

// segment is a part of a stream on its way: bytes, an end or a reset.
type segment struct {
	arrivesAt  time.Duration
	data       []byte
	fin, reset bool
}

// direction is one direction of a connection.
type direction struct {
	sim         *Simulation
	from, to    *Host
	queue       []segment
	lastArrival time.Duration
	delivery    *Event // nil: none is due
	arrive      func(s segment)
	dropped     bool // an end vanished: nothing arrives any more
}

// send puts a segment on its way, after all that was sent before.
func (d *direction) send(s segment) {
	if d.dropped {
		return
	}
	now := d.sim.now
	latency := d.sim.latency(d.from, d.to) + time.Duration(len(s.data)/bytesPerMicrosecond)*time.Microsecond
	s.arrivesAt = max(d.lastArrival+1, now+latency)
	if d.sim.Lockstep {
		s.arrivesAt = now
	}
	d.lastArrival = s.arrivesAt
	d.queue = append(d.queue, s)
	if d.delivery == nil {
		d.delivery = d.sim.After(s.arrivesAt-now, d.deliver)
	}
}

// dropUndeliverable drops what waits for a split network, which a sender stops to repeat once it has reset the connection. What is on its way
// through a whole one arrives.
func (d *direction) dropUndeliverable() {
	if !d.sim.isReachable(d.from, d.to) {
		d.queue = nil
	}
}

// deliver has segments that are due arrive, or tries again later where the network is split.
func (d *direction) deliver() {
	d.delivery = nil
	if !d.sim.isReachable(d.from, d.to) {
		if d.to.Vanished || d.from.Vanished {
			d.dropped = true
			d.queue = nil
			return
		}
		d.delivery = d.sim.After(retransmitAfter, d.deliver)
		return
	}
	for len(d.queue) > 0 && d.queue[0].arrivesAt <= d.sim.now {
		s := d.queue[0]
		d.queue = d.queue[1:]
		d.arrive(s)
	}
	if len(d.queue) > 0 && d.delivery == nil && !d.dropped {
		d.delivery = d.sim.After(d.queue[0].arrivesAt-d.sim.now, d.deliver)
	}
}

// inFlightBytes is how many bytes are on their way.
func (d *direction) inFlightBytes() (n int) {
	for _, s := range d.queue {
		n += len(s.data)
	}
	return n
}
