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
	Group        string // splits of the network separate groups from each other
	ExtraLatency time.Duration
	Vanished     bool // it sends nothing and receives nothing any more
	sim          *Simulation
	listeners    map[string]acceptor // by port
}

// acceptor takes connections at a port.
type acceptor interface {
	connect(e *End) connectResult
}

// connectResult is what becomes of an attempt to connect.
type connectResult int

const (
	refused connectResult = iota
	accepted
	unanswered
)

// Host returns the host of an address; it is made if it does not exist.
func (s *Simulation) Host(ip, group string) *Host {
	h := s.hosts[ip]
	if h == nil {
		h = &Host{IP: ip, Group: group, sim: s, listeners: map[string]acceptor{}}
		s.hosts[ip] = h
	}
	return h
}

// Split cuts two groups of hosts from each other until Heal.
func (s *Simulation) Split(a, b string) { s.splits = append(s.splits, [2]string{a, b}) }

// Heal ends all splits between two groups, in the order in which Split named them.
func (s *Simulation) Heal(a, b string) {
	left := s.splits[:0]
	for _, split := range s.splits {
		if split != [2]string{a, b} {
			left = append(left, split)
		}
	}
	s.splits = left
}

// IsSplit reports whether two groups are cut from each other.
func (s *Simulation) IsSplit(a, b string) bool {
	for _, split := range s.splits {
		if split == [2]string{a, b} || split == [2]string{b, a} {
			return true
		}
	}
	return false
}

// isReachable reports whether messages between two hosts arrive.
func (s *Simulation) isReachable(a, b *Host) bool {
	return !s.IsSplit(a.Group, b.Group) && !a.Vanished && !b.Vanished
}

// latency is the time that a message takes, with jitter.
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

// Serve has an actor listen at a port of the host; accept returns the handler of a connection, or nil to refuse it.
func (h *Host) Serve(port string, accept func(e *End) Handler) {
	h.listeners[port] = actorListener{accept}
}

// StopServing ends Serve: connections are refused.
func (h *Host) StopServing(port string) { delete(h.listeners, port) }

// actorListener takes connections for an actor.
type actorListener struct{ accept func(*End) Handler }

func (l actorListener) connect(e *End) connectResult {
	e.handler = l.accept(e)
	if e.handler == nil {
		return refused
	}
	return accepted
}
