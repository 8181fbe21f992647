package fleet

import (
	"time"
)

const (
	// watchRecoveryTime bounds the time that a gateway needs to restore its discovery watch after the link is healed.
	// This takes a silence timeout and a retry delay.
	watchRecoveryTime = 12 * time.Second
	// observationDelay is how long after a step an observation of the views may still show the state before the step.
	observationDelay = 5 * viewInterval
)

// topology holds which gateways run and which links are open, from the start of one step to the start of the next.
type topology struct {
	from       time.Duration   // start of the step, since the start of the run
	completeAt time.Duration   // end of the step, since the start of the run
	running    map[string]bool // running gateways
	watching   map[string]bool // running gateways with open links to discovery
	side       map[string]int  // number of the side of each running gateway; gateways of one side can reach each other
}

// topology returns the current topology, for a step that began at the time from.
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

// recordTopology records the current topology, for a step that began at the time from.
func (b *broadcastRun) recordTopology(from time.Duration) {
	current := b.rig.topology(from)
	b.mu.Lock()
	b.topologies = append(b.topologies, current)
	b.mu.Unlock()
}

// topologySpan holds the topologies in force from the announcement of a purge until the purge must have been received.
type topologySpan struct {
	at     time.Duration // announcement of the purge, since the start of the run
	first  int           // index of during[0] in broadcastRun.topologies
	during []topology
}

// spanOf returns the span of a purge. The caller holds mu.
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

// watchedThroughout reports whether a gateway has a discovery watch during the whole span. After an earlier
// interruption, the gateway must have had watchRecoveryTime to restore the watch before the span. The caller holds mu.
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

// reachableThroughout reports whether two gateways can reach each other during the whole span. If they could not at an
// earlier time, all views must have agreed between then and the span. The caller holds mu.
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

// agreedBetween reports whether all views agreed at any time between from and to. A state holds until the next one.
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
