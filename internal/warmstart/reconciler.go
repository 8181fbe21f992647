// Package warmstart starts the gateway from the endpoint list stored on disk while discovery does not respond, and
// reconciles that list with discovery's list. At the start it passes the stored endpoints to the dispatcher, each with a
// confidence from package freshness. It updates the confidence from the outcomes of attempts and drops the stored list
// when discovery has reported a complete one. It passes updates from discovery to the snapshotter. While a discovery
// service is behind the stored list, the drains in the stored list remain in effect.
//
// Lock order: listMu, then the dispatcher's lock, then mu. The dispatcher reports outcomes under its own lock, so mu is
// never held during a call to the dispatcher.
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
	// A parent that is not confirmed as warm is treated as if it started this long after this process. A cold parent can
	// bear only a low load for longer than other caches, and it is affected most if every gateway reserves one large
	// fill at the same time.
	parentStartDelay = 2 * time.Second
	// For this long after the start, or after discovery has restarted its event numbers, a drain in the stored list takes
	// precedence over what discovery reports. After that, discovery takes precedence.
	drainHold = 10 * time.Minute
	// After this many consecutive event numbers below the last known one, the discovery service is assumed to have
	// restarted its event numbers.
	maxRegressions = 3
)

// Reconciler reconciles the stored list with discovery. It lives as long as the process. Its size is bounded by the list.
// It is safe for concurrent use. KeepDraining, Apply and ObserveEventNumber do nothing on a nil Reconciler, which a
// gateway without a configured list uses.
type Reconciler struct {
	env         env.Environment
	settings    *settings.Settings
	dispatcher  *dispatch.Dispatcher
	caches      *cacheregistry.Registry
	snapshotter *snapshot.Snapshotter
	startedAt   time.Time

	listMu sync.Mutex // held while changes of the stored list are passed to the dispatcher and while the list is dropped

	mu          sync.Mutex // guards the fields below
	tracker     *freshness.Tracker
	stored      map[string]policy.Endpoint // by id; nil, like tracker, after discovery has reported a complete list
	knownDrains map[string]*knownDrain     // by id
	drainsSince time.Time                  // when knownDrains was read from the stored list
	lastEvent   int64                      // number of the last discovery event in the stored list then
	regressions int                        // consecutive event numbers below the last known one
}

// knownDrain is a cache that the stored list records as draining or removed.
type knownDrain struct {
	tombstone endpoints.Tombstone
	latest    *policy.Endpoint   // what discovery reported last while the drain was in effect; nil if nothing
	reported  endpoints.Endpoint // the same for the stored list
}

// New returns a reconciler for an open list.
func New(e env.Environment, s *settings.Settings, dispatcher *dispatch.Dispatcher, caches *cacheregistry.Registry, snapshotter *snapshot.Snapshotter) *Reconciler {
	r := &Reconciler{env: e, settings: s, dispatcher: dispatcher, caches: caches, snapshotter: snapshotter, startedAt: e.Now()}
	r.readKnownDrains()
	return r
}

// readKnownDrains reads the drains and removals of the stored list. They take precedence over what discovery reports from
// now on, as far as KeepDraining says.
func (r *Reconciler) readKnownDrains() {
	list := r.snapshotter.State()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainsSince = r.env.Now()
	r.lastEvent = list.LastEvent
	r.knownDrains = map[string]*knownDrain{}
	for _, t := range list.SortedTombstones() {
		r.knownDrains[t.ID] = &knownDrain{tombstone: t}
	}
}

// Run works until the lifetime ends. It passes changes in the confidence of the stored endpoints to the dispatcher,
// releases the known drains after drainHold, and updates the stored list with the health of the caches.
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

// publishChanges passes the stored endpoints whose confidence has changed to the dispatcher.
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

// releaseDrains ends the known drains after drainHold. It passes the endpoints that were set back to draining to the
// dispatcher and to the stored list, as discovery reported them last.
func (r *Reconciler) releaseDrains() {
	r.mu.Lock()
	var released []policy.Endpoint
	var reported []endpoints.Endpoint
	if r.drainsExpired() {
		for _, drain := range r.knownDrains {
			if drain.latest != nil {
				released = append(released, *drain.latest)
			}
			if drain.reported.ID != "" {
				reported = append(reported, drain.reported)
			}
		}
		r.knownDrains = nil
	}
	r.mu.Unlock()
	if len(released) > 0 {
		slices.SortFunc(released, func(a, b policy.Endpoint) int { return cmp.Compare(a.Cache.Name, b.Cache.Name) })
		r.dispatcher.Tick(released, false, nil)
	}
	if len(reported) > 0 {
		r.snapshotter.Apply(endpoints.Update{Endpoints: reported})
	}
}

func (r *Reconciler) drainsExpired() bool { return r.env.Now().Sub(r.drainsSince) >= drainHold }
