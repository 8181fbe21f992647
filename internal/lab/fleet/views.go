package fleet

import (
	"maps"
	"time"
)

// viewInterval is the longest time between two observations of the views.
const viewInterval = 20 * time.Millisecond

// viewState is the state of the gateways' views as the rig observed it at a time.
type viewState struct {
	at               time.Duration // since the start of the run
	agreed           bool          // each view's live members are the running gateways on its side of the links
	settled          bool          // agreed, and all gateways of each side have logged that they settled on the same digest
	minLive, maxLive int           // lowest and highest number of live members in the view of a running gateway
	running          int           // number of running gateways
}

func (s viewState) isAgreed() bool  { return s.agreed }
func (s viewState) isSettled() bool { return s.settled }

// equalViews reports whether two states are equal, apart from their times.
func (s viewState) equalViews(other viewState) bool {
	s.at = other.at
	return s == other
}

// requestObservation makes watchViews observe the views at once.
func (r *Rig) requestObservation() {
	select {
	case r.viewsChanged <- struct{}{}:
	default:
	}
}

// isSettled reports whether all running gateways had settled at the last observation.
func (r *Rig) isSettled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := len(r.viewStates)
	return count > 0 && r.viewStates[count-1].settled
}

// watchViews observes the views on request, and at least every
// viewInterval, until stop is closed. It records each change.
func (r *Rig) watchViews(stop chan struct{}) {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-r.viewsChanged:
		case <-ticker.C:
		}
		state := r.observeViews()
		r.mu.Lock()
		count := len(r.viewStates)
		if count == 0 || !state.equalViews(r.viewStates[count-1]) {
			r.viewStates = append(r.viewStates, state)
		}
		r.mu.Unlock()
	}
}

// observeViews compares the running gateways' views with the links and with each other.
func (r *Rig) observeViews() viewState {
	running := r.running()
	state := viewState{at: r.elapsed(), agreed: true, settled: true, minLive: len(r.processes), running: len(running)}
	if len(running) == 0 {
		return viewState{at: state.at}
	}
	for _, side := range r.links.Partitions(running) {
		expected := nameSet(side)
		digest := ""
		for _, name := range side {
			p := r.byName[name]
			p.mu.Lock()
			view := p.view
			agrees := maps.Equal(view.live, expected)
			state.minLive = min(state.minLive, len(view.live))
			state.maxLive = max(state.maxLive, len(view.live))
			p.mu.Unlock()
			if digest == "" {
				digest = view.digest
			}
			state.agreed = state.agreed && agrees
			state.settled = state.settled && agrees && view.settled && view.digest == digest
		}
	}
	return state
}

func nameSet(names []string) map[string]bool {
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}
