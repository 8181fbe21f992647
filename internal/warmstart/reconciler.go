// Package warmstart starts the gateway from the endpoint list stored on disk while discovery does not answer, and reconciles that list with
// discovery's. At the start it gives the dispatcher the stored endpoints, each with a confidence (package freshness); it follows how they
// respond, and drops the stored list when discovery has reported a complete one. From then on it passes what discovery reports to the snapshotter,
// and holds drains that the stored list knows against a discovery service that is behind it.
//
// Lock order: listMu, then the dispatcher's lock, then mu. The dispatcher reports outcomes under its own lock, so mu is never held over a call
// to the dispatcher.
package warmstart

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"foldslip/internal/cacheregistry"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/freshness"
	"foldslip/internal/policy"
	"foldslip/internal/settings"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/store/snapshot"
)

const (
	reviewInterval = 100 * time.Millisecond // between reviews of the stored endpoints
	healthInterval = 5 * time.Second        // between updates of the stored list with ejections and responses
	// A parent that is not known to be warm counts as started so long after this process: it bears little for longest, and one large fill
	// reserved by each gateway at once weighs most there.
	parentStartDelay = 2 * time.Second
	// For so long from the start a drain in the stored list holds against discovery. Then discovery's word counts.
	drainHold = 10 * time.Minute
	// Event numbers reported so often in a row below the last one known are those of a discovery service that began anew.
	maxRegressions = 3
)

// Reconciler reconciles the stored list with discovery. It lives as long as the process, is bounded by the list and safe for concurrent use. A
// nil one does nothing, as where no list is configured.
type Reconciler struct {
	env         env.Environment
	settings    *settings.Settings
	dispatcher  *dispatch.Dispatcher
	caches      *cacheregistry.Registry
	snapshotter *snapshot.Snapshotter
	startedAt   time.Time

	listMu sync.Mutex // held while the stored list goes to the dispatcher or is dropped

	mu          sync.Mutex // of what follows
	tracker     *freshness.Tracker
	stored      map[string]policy.Endpoint // by id; nil, as tracker, once discovery has reported a complete list
	knownDrains map[string]*knownDrain     // by id
	lastEvent   int64                      // number of the last discovery event in the stored list
	regressions int                        // event numbers reported below the last one known, in a row
}

// knownDrain is a cache that the stored list knows to drain or to be removed.
type knownDrain struct {
	tombstone endpoints.Tombstone
	latest    *policy.Endpoint // as discovery has reported it since; nil: it has not
}

// New returns a reconciler over an open list.
func New(e env.Environment, s *settings.Settings, dispatcher *dispatch.Dispatcher, caches *cacheregistry.Registry, snapshotter *snapshot.Snapshotter) *Reconciler {
	r := &Reconciler{env: e, settings: s, dispatcher: dispatcher, caches: caches, snapshotter: snapshotter, startedAt: e.Now(),
		knownDrains: map[string]*knownDrain{}}
	list := snapshotter.State()
	r.lastEvent = list.LastEvent
	for _, t := range list.SortedTombstones() {
		r.knownDrains[t.ID] = &knownDrain{tombstone: t}
	}
	return r
}

// Run reviews the stored endpoints, releases the known drains when their time is over, and updates the stored list with the caches' health,
// until the lifetime ends.
func (r *Reconciler) Run(lifetime *env.Lifetime) error {
	ended := r.env.NewNotifier()
	defer lifetime.OnEnd(ended.Notify)()
	healthAt := r.env.Now()
	for !ended.Wait(r.reviewDelay()) {
		r.publishChanges()
		r.releaseDrains()
		if now := r.env.Now(); now.Sub(healthAt) >= healthInterval {
			r.snapshotter.UpdateHealth(r.dispatcher.Health(healthAt))
			healthAt = now
		}
	}
	return nil
}

func (r *Reconciler) reviewDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tracker != nil {
		return reviewInterval
	}
	return healthInterval
}

// publishChanges gives the dispatcher the stored endpoints whose confidence has changed.
func (r *Reconciler) publishChanges() {
	r.listMu.Lock()
	defer r.listMu.Unlock()
	r.mu.Lock()
	var changed []policy.Endpoint
	if r.tracker != nil {
		changed = r.assessedEndpoints(r.tracker.Changes())
	}
	r.mu.Unlock()
	if len(changed) > 0 {
		r.dispatcher.Tick(changed, false, nil)
	}
}

// releaseDrains gives the dispatcher the caches whose drains no longer hold, as discovery reported them last.
func (r *Reconciler) releaseDrains() {
	r.mu.Lock()
	var released []policy.Endpoint
	if r.drainsExpired() {
		for _, drain := range r.knownDrains {
			if drain.latest != nil {
				released = append(released, *drain.latest)
			}
		}
		r.knownDrains = nil
	}
	r.mu.Unlock()
	if len(released) > 0 {
		slices.SortFunc(released, func(a, b policy.Endpoint) int { return cmp.Compare(a.Cache.Name, b.Cache.Name) })
		r.dispatcher.Tick(released, false, nil)
	}
}

func (r *Reconciler) drainsExpired() bool { return r.env.Now().Sub(r.startedAt) >= drainHold }
