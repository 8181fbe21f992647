package simenv

import "time"

const (
	latencyWithinGroup  = 200 * time.Microsecond
	latencyAcrossGroups = 2 * time.Millisecond
	latencyJitterMicros = 300
)

// Host is a machine with an address in the simulated network.
type Host struct {
	IP           string
	Group        string        // group of hosts for Split and Heal
	ExtraLatency time.Duration // added to each message from or to the host
	Vanished     bool          // the host neither sends nor receives any more
	sim          *Simulation
	listeners    map[string]acceptor // by port
}

// acceptor accepts connections at a port.
type acceptor interface {
	connect(e *End) connectResult
}

// connectResult is the result of a connection attempt.
type connectResult int

const (
	refused connectResult = iota
	accepted
	unanswered
)

// Host returns the host with an IP address. It creates the host in group if there is none.
func (s *Simulation) Host(ip, group string) *Host {
	h := s.hosts[ip]
	if h == nil {
		h = &Host{IP: ip, Group: group, sim: s, listeners: map[string]acceptor{}}
		s.hosts[ip] = h
	}
	return h
}

// Split partitions the network between two groups of hosts until Heal is called.
func (s *Simulation) Split(a, b string) { s.splits = append(s.splits, [2]string{a, b}) }

// Heal ends all partitions between two groups. The groups must be in the same order as in the call of Split.
func (s *Simulation) Heal(a, b string) {
	left := s.splits[:0]
	for _, split := range s.splits {
		if split != [2]string{a, b} {
			left = append(left, split)
		}
	}
	s.splits = left
}

// IsSplit reports whether the network is partitioned between two groups, which may be in either order.
func (s *Simulation) IsSplit(a, b string) bool {
	for _, split := range s.splits {
		if split == [2]string{a, b} || split == [2]string{b, a} {
			return true
		}
	}
	return false
}

// isReachable reports whether messages between two hosts can be delivered.
func (s *Simulation) isReachable(a, b *Host) bool {
	return !s.IsSplit(a.Group, b.Group) && !a.Vanished && !b.Vanished
}

// latency returns the time that a message between two hosts takes, with random jitter.
func (s *Simulation) latency(a, b *Host) time.Duration {
	if s.Lockstep {
		return 0
	}
	base := latencyWithinGroup
	if a.Group != b.Group {
		base = latencyAcrossGroups
	}
	return base + a.ExtraLatency + b.ExtraLatency + time.Duration(s.Rand.Uint32()%latencyJitterMicros)*time.Microsecond
}

// Serve makes an actor listen at a port of the host. accept returns
// the handler of a new connection, or nil to refuse the connection.
func (h *Host) Serve(port string, accept func(e *End) Handler) {
	h.listeners[port] = actorListener{accept}
}

// StopServing ends Serve. New connections are refused.
func (h *Host) StopServing(port string) { delete(h.listeners, port) }

// actorListener accepts connections for an actor.
type actorListener struct{ accept func(*End) Handler }

func (l actorListener) connect(e *End) connectResult {
	e.handler = l.accept(e)
	if e.handler == nil {
		return refused
	}
	return accepted
}
