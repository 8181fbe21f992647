package warmstart

import (
	"foldslip/internal/policy"
	"foldslip/internal/store/endpoints"
)

// KeepDraining sets the state of endpoints back to draining if a discovery event reports them as ready but the stored
// list records a drain. The discovery service is then behind the stored list. A drain no longer applies if the event's
// number is above the last one in the stored list, if the cache has started after the drain, if discovery itself no
// longer reports the cache as ready, or after drainHold.
//
// If the list is complete, KeepDraining ends the use of the stored list. The caller calls it before it passes the list
// to the dispatcher, so that endpoints of the stored list cannot reach the dispatcher later. ids and list are in the
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

// discardStored ends the use of the stored list after discovery has reported a complete list with the given ids.
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

// Apply passes an update from discovery to the snapshotter. The caller calls it after it has passed the update to the
// dispatcher. The endpoints that KeepDraining has set back to draining are stored as draining, so that their drains
// outlive a further restart. Apply changes them in the update.
func (r *Reconciler) Apply(update endpoints.Update) {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.regressions = 0
	for i, e := range update.Endpoints {
		if drain := r.knownDrains[e.ID]; drain != nil && drain.latest != nil && e.Phase == endpoints.Up {
			drain.reported = e
			update.Endpoints[i].Phase = endpoints.Draining
		}
	}
	r.mu.Unlock()
	r.snapshotter.Apply(update)
}

// ObserveEventNumber compares the number that discovery reports for its last event with the last number known to the
// gateway. It reports whether the discovery service has restarted its event numbers. The caller must then read the
// events again from the first one. The drains that this process was told of hold against them, as after a restart.
func (r *Reconciler) ObserveEventNumber(reported, known int64) (hasRestarted bool) {
	if r == nil {
		return false
	}
	hasRestarted = r.countRegression(reported < known)
	if reported == known {
		r.snapshotter.MarkCurrent()
	}
	if hasRestarted {
		r.readKnownDrains()
	}
	return hasRestarted
}

// countRegression counts consecutive event numbers below the last known one. It reports whether there have been
// maxRegressions of them.
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
