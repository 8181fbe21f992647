package fleet

import (
	"maps"
	"time"
)

// viewInterval is the longest time between two observations of the views.
const viewInterval = 20 * time.Millisecond

// viewState is what the rig saw at a time, if it differs from the moment before.
type viewState struct {
	at               time.Duration
	agreed, settled  bool
	minLive, maxLive int // live members in the views of running gateways
	running          int
}

// requestObservation asks for a look at once.
func (r *Rig) requestObservation() {
	select {
	case r.viewsChanged <- struct{}{}:
	default:
	}
}

func (r *Rig) currently(true func(viewState) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.viewStates) > 0 && true(r.viewStates[len(r.viewStates)-1])
}

// watchViews keeps whether the running gateways agree with what is, over time.
func (r *Rig) watchViews(stop chan struct{}) {
	every := time.NewTicker(viewInterval)
	defer every.Stop()
	for {
		select {
		case <-stop:
			return
		case <-r.viewsChanged:
		case <-every.C:
		}
		m := r.observeViews()
		r.mu.Lock()
		if n := len(r.viewStates); n == 0 || !m.sameViews(r.viewStates[n-1]) {
			r.viewStates = append(r.viewStates, m)
		}
		r.mu.Unlock()
	}
}

func (m viewState) sameViews(o viewState) bool {
	m.at = o.at
	return m == o
}

func (r *Rig) observeViews() viewState {
	running := r.running()
	m := viewState{at: r.now(), agreed: true, settled: true, minLive: len(r.processes), running: len(running)}
	if len(running) == 0 {
		return viewState{at: m.at}
	}
	for _, side := range r.links.Partitions(running) {
		want := map[string]bool{}
		for _, name := range side {
			want[name] = true
		}
		digest := ""
		for _, name := range side {
			p := r.byName[name]
			p.mu.Lock()
			sees := p.view
			agree := maps.Equal(sees.live, want)
			m.minLive, m.maxLive = min(m.minLive, len(sees.live)), max(m.maxLive, len(sees.live))
			p.mu.Unlock()
			if digest == "" {
				digest = sees.digest
			}
			m.agreed = m.agreed && agree
			m.settled = m.settled && agree && sees.settled && sees.digest == digest
		}
	}
	return m
}
