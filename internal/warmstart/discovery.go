package warmstart

import (
	"foldslip/internal/policy"
	"foldslip/internal/store/endpoints"
)

// KeepDraining changes endpoints that a discovery event reports as ready although the stored list knows that they drain: that list is newer than
// a discovery service that is behind it. Events past the last number in the list are taken as they are, and so does a later start of a cache. A
// complete list ends the use of the stored one before the dispatcher gets it, so that the stored one can't follow it. ids and list are in the
// same order.
func (r *Reconciler) KeepDraining(event int64, isComplete bool, ids []string, list []policy.Endpoint) {
	if r == nil {
		return
	}
	if isComplete {
		r.discardStored(ids)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, id := range ids {
		drain := r.knownDrains[id]
		if drain == nil {
			continue
		}
		isStarted := list[i].StartedAt > drain.tombstone.At*microsPerMilli
		if event > r.lastEvent || list[i].State != policy.Ready || isStarted || r.drainsExpired() {
			delete(r.knownDrains, id)
			continue
		}
		latest := list[i]
		drain.latest = &latest
		list[i].State = policy.Draining
	}
}

const microsPerMilli = 1000

// discardStored ends the use of the stored list, when discovery has reported a complete list of the given ids.
func (r *Reconciler) discardStored(ids []string) {
	r.listMu.Lock()
	defer r.listMu.Unlock()
	r.mu.Lock()
	tracker, stored := r.tracker, r.stored
	r.tracker = nil
	r.stored = nil
	r.mu.Unlock()
	if tracker == nil {
		return
	}
	r.dispatcher.ObserveOutcomes(nil)
	inBoth := 0
	for _, id := range ids {
		if _, isStored := stored[id]; isStored {
			inBoth++
		}
	}
	counts := tracker.Counts()
	r.env.Log().Warn("stored_list_replaced", "after_ms", r.env.Now().Sub(r.startedAt).Milliseconds(), "discovered", len(ids), "stored", len(stored),
		"in_both", inBoth, "responded", counts.Responded, "failed", counts.Failed)
}

// Apply passes what discovery has reported to the snapshotter, once the dispatcher has it.
func (r *Reconciler) Apply(update endpoints.Update) {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.regressions = 0
	r.mu.Unlock()
	r.snapshotter.Apply(update)
}

// ObserveEventNumber takes the number that discovery reports as its last, beside the last one known here. It reports whether discovery began
// anew: its events are to be read from the first.
func (r *Reconciler) ObserveEventNumber(reported, known int64) (hasRestarted bool) {
	if r == nil {
		return false
	}
	hasRestarted = r.countRegression(reported < known)
	if reported == known {
		r.snapshotter.MarkCurrent()
	}
	return hasRestarted
}

// countRegression counts numbers below the last one known and reports whether they are enough.
func (r *Reconciler) countRegression(isRegression bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !isRegression {
		r.regressions = 0
		return false
	}
	r.regressions++
	if r.regressions < maxRegressions {
		return false
	}
	r.regressions = 0
	return true
}
