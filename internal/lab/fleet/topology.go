package fleet

import (
	"time"
)

// topology is who runs, who reaches whom and who hears the bulletin, from a step on; the step was over at done.
type topology struct {
	from, completeAt time.Duration
	running          map[string]bool
	watching         map[string]bool
	side             map[string]int
}

func (r *Rig) topology(at time.Duration) topology {
	running := r.running()
	w := topology{at, r.now(), map[string]bool{}, map[string]bool{}, map[string]int{}}
	for _, name := range running {
		w.running[name] = true
		w.watching[name] = r.links.IsOpen(DiscoveryName, name)
	}
	for i, side := range r.links.Partitions(running) {
		for _, name := range side {
			w.side[name] = i
		}
	}
	return w
}

// topologyChanged notes what a step that began then made of the fleet.
func (s *broadcastRun) topologyChanged(at time.Duration) {
	w := s.rig.topology(at)
	s.mu.Lock()
	s.topologies = append(s.topologies, w)
	s.mu.Unlock()
}

// topologiesDuring are the worlds of a time, and the index of the first.
func (s *broadcastRun) topologiesDuring(from, to time.Duration) (first int, some []topology) {
	last := 0
	for i, w := range s.topologies {
		if w.from <= from {
			first = i
		}
		if w.from <= to {
			last = i
		}
	}
	return first, s.topologies[first : last+1]
}

// watchedThroughout tells whether a gateway ran and heard the bulletin at a time and long enough before, and does in all these worlds.
func (s *broadcastRun) watchedThroughout(name string, at time.Duration, first int, some []topology) bool {
	for _, w := range some {
		if !w.running[name] || !w.watching[name] {
			return false
		}
	}
	for i := first; i > 0; i-- { // back to when it did not
		if w := s.topologies[i-1]; !w.running[name] || !w.watching[name] {
			return at-s.topologies[i].completeAt >= rewatchWithin
		}
	}
	return true
}

// reachableThroughout tells whether two run and reach each other in all these worlds, and if they had not before, whether all views agreed since.
func (s *broadcastRun) reachableThroughout(a, b string, at time.Duration, first int, some []topology, states []viewState) bool {
	together := func(w topology) bool { return w.running[a] && w.running[b] && w.side[a] == w.side[b] }
	for _, w := range some {
		if !together(w) {
			return false
		}
	}
	for i := first; i > 0; i-- {
		if together(s.topologies[i-1]) {
			continue
		}
		since := s.topologies[i].completeAt + 5*viewInterval // what was seen before the step is over by then
		for j, m := range states {
			over := at
			if j+1 < len(states) {
				over = min(at, states[j+1].at)
			}
			if m.agreed && over > since {
				return true
			}
		}
		return false
	}
	return true
}
