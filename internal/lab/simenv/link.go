package simenv

import "time"

const (
	// retransmitAfter is the interval at which messages across a partition are sent again, as TCP retransmits them.
	retransmitAfter     = 120 * time.Millisecond
	bytesPerMicrosecond = 100 // bandwidth of one direction of a connection
)

// segment is a part of a stream in flight: bytes, an end of stream or a reset.
type segment struct {
	arrivesAt  time.Duration
	data       []byte
	fin, reset bool
}

// direction carries the segments of one direction of a connection.
type direction struct {
	sim         *Simulation
	from, to    *Host
	queue       []segment // in flight, in order
	lastArrival time.Duration
	delivery    *Event          // next delivery; nil if none is scheduled
	arrive      func(s segment) // called for each segment that arrives
	dropped     bool            // a host has vanished, and no further segment arrives
}

// send queues a segment, which arrives after all segments that were sent before it.
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

// dropUndeliverable drops all segments in flight if the hosts are partitioned. A sender that has reset
// the connection no longer retransmits them. Without a partition, segments in flight still arrive.
func (d *direction) dropUndeliverable() {
	if !d.sim.isReachable(d.from, d.to) {
		d.queue = nil
	}
}

// deliver delivers the segments that are due. If the hosts are partitioned,
// it tries again later. If one of them has vanished, it drops all segments.
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

// inFlightBytes returns the number of bytes in flight.
func (d *direction) inFlightBytes() (n int) {
	for _, s := range d.queue {
		n += len(s.data)
	}
	return n
}
