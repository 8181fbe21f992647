package fleet

import (
	"time"
)

const (
	// watchRecoveryTime bounds how long after a link to discovery is healed a gateway has its watch back: a silence timeout and a pause.
	watchRecoveryTime = 12 * time.Second
	// observationDelay is how long an observation of the views may still show what was before a step.
	observationDelay = 5 * viewInterval
)

// topology is which gateways run and which links are open, from the begin of a step until the next.
type topology struct {
	from       time.Duration   // the step's begin, since the run's start
	completeAt time.Duration   // the step's end
	running    map[string]bool // gateways
	watching   map[string]bool // gateways with open links to discovery
	side       map[string]int  // of the running gateways: equal for two that can reach each other
}

// topology is that of now, of a step that began at a time.
func (r *Rig) topology(from time.Duration) topology {
	running := r.running()
	current := topology{from: from, completeAt: r.elapsed(), running: nameSet(running), watching: map[string]bool{}, side: map[string]int{}}
	for _, name := range running {
		current.watching[name] = r.links.IsOpen(DiscoveryName, name)
	}
	for i, side := range r.links.Partitions(running) {
		for _, name := range side {
			current.side[name] = i
		}
	}
	return current
}

func (t topology) isWatching(name string) bool { return t.running[name] && t.watching[name] }

func (t topology) areConnected(a, b string) bool {
	return t.running[a] && t.running[b] && t.side[a] == t.side[b]
}

// recordTopology records what a step that began at a time made of the fleet.
func (b *broadcastRun) recordTopology(from time.Duration) {
	current := b.rig.topology(from)
	b.mu.Lock()
	b.topologies = append(b.topologies, current)
	b.mu.Unlock()
}

// topologySpan are the topologies in force from when a purge was announced until it must have been received.
type topologySpan struct {
	at     time.Duration // when the purge was announced
	first  int           // index of during[0] in broadcastRun.topologies
	during []topology
}

// spanOf is the span of a purge; mu is held.
func (b *broadcastRun) spanOf(purge publishedPurge) topologySpan {
	end := purge.at + broadcastDeadline
	first, last := 0, 0
	for i, t := range b.topologies {
		if t.from <= purge.at {
			first = i
		}
		if t.from <= end {
			last = i
		}
	}
	return topologySpan{at: purge.at, first: first, during: b.topologies[first : last+1]}
}

// watchedThroughout reports whether a gateway has a discovery watch during the span, and had it for long enough before; mu is held.
func (b *broadcastRun) watchedThroughout(name string, span topologySpan) bool {
	for _, t := range span.during {
		if !t.isWatching(name) {
			return false
		}
	}
	for i := span.first; i > 0; i-- {
		if !b.topologies[i-1].isWatching(name) {
			return span.at-b.topologies[i].completeAt >= watchRecoveryTime
		}
	}
	return true
}

// reachableThroughout reports whether two gateways can reach each other during the span, and, if they could not before, whether all
// views agreed since then; mu is held.
func (b *broadcastRun) reachableThroughout(name, peer string, span topologySpan, states []viewState) bool {
	for _, t := range span.during {
		if !t.areConnected(name, peer) {
			return false
		}
	}
	for i := span.first; i > 0; i-- {
		if !b.topologies[i-1].areConnected(name, peer) {
			return agreedBetween(states, b.topologies[i].completeAt+observationDelay, span.at)
		}
	}
	return true
}

// agreedBetween reports whether all views agreed at any time between two. A state holds until the next one.
func agreedBetween(states []viewState, from, to time.Duration) bool {
	for i, state := range states {
		end := to
		if i+1 < len(states) {
			end = min(to, states[i+1].at)
		}
		if state.agreed && end > from {
			return true
		}
	}
	return false
}
