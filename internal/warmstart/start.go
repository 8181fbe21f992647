package warmstart

import (
	"slices"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/freshness"
	"foldslip/internal/policy"
	"foldslip/internal/purgelog"
	"foldslip/internal/store/endpoints"
)

// groupCount is the number of groups of objects. A request names its group by a number of 8 bits.
const groupCount = 256

// Start passes the stored endpoints with their confidence to the dispatcher, and restores the purges that are still
// within their retention. It returns the number of endpoints, which is 0 if there is no list to start from.
func (r *Reconciler) Start(purges *purgelog.Log) int {
	list := r.snapshotter.State()
	now := r.env.Now()
	tracker, stored := r.assessList(list, now)
	r.restorePurges(list, purges, now)
	if len(stored) == 0 {
		return 0
	}
	r.mu.Lock()
	r.tracker = tracker
	r.stored = stored
	assessed := r.assessedEndpoints(tracker.Changes())
	counts := tracker.Counts().ByConfidence
	r.mu.Unlock()
	r.dispatcher.RestoreEndpoints(assessed)
	r.dispatcher.ObserveOutcomes(r.observe)
	r.env.Log().Warn("started_from_stored_list", "caches", len(stored), "age_ms", listAge(list, now).Milliseconds(),
		"confirmed", counts[freshness.Confirmed], "on_probation", counts[freshness.OnProbation], "suspect", counts[freshness.Suspect],
		"excluded", counts[freshness.Excluded], "discovery", list.DiscoveryAddr, "last_event", list.LastEvent)
	return len(stored)
}

// listAge returns the time since discovery last confirmed a list. If discovery has never confirmed it, as for a list from
// an operator's file alone, listAge returns the time since ChangedAt.
func listAge(list *endpoints.State, now time.Time) time.Duration {
	if list.CurrentAsOf == 0 {
		return now.Sub(time.UnixMilli(list.ChangedAt))
	}
	return now.Sub(time.UnixMilli(list.CurrentAsOf))
}

// assessList returns a tracker of the stored endpoints, and the same endpoints by id in the policy's form. It omits
// endpoints whose zone or machine type is not in the platform settings.
func (r *Reconciler) assessList(list *endpoints.State, now time.Time) (*freshness.Tracker, map[string]policy.Endpoint) {
	tracker := freshness.NewTracker(freshness.History{CacheHours: list.CacheHours, Departures: list.Departures}, now)
	stored := map[string]policy.Endpoint{}
	age := listAge(list, now)
	for _, e := range list.Sorted() {
		row := policy.Endpoint{Cell: e.Cell, Weight: e.Size, Zone: slices.Index(r.settings.Zones, e.Zone),
			Kind: slices.Index(r.settings.MachineTypes, e.MachineType)}
		if row.Zone < 0 || row.Kind < 0 {
			continue
		}
		row.Cache = r.caches.RegisterStart(e.ID, e.Addr, e.StartedAt).Policy
		stored[e.ID] = row
		tracker.Add(e.ID, row.Kind == r.settings.Router.ParentKind, freshness.Evidence{Age: age, Imported: e.Source == endpoints.Imported,
			Ejected: e.EjectedAt > 0, Withdrawn: e.Phase != endpoints.Up || list.Tombstones[e.ID].ID != ""})
	}
	return tracker, stored
}

// restorePurges records the stored purges that are still within their retention. Discovery reports the later ones. If
// some of them were dropped from the list, it records a purge of all groups in their place.
func (r *Reconciler) restorePurges(list *endpoints.State, purges *purgelog.Log, now time.Time) {
	for _, p := range list.Purges {
		issuedAt := time.UnixMilli(p.IssuedAt)
		if purges.Retention > now.Sub(issuedAt) {
			receivedAt := time.UnixMilli(max(p.IssuedAt, p.ReceivedAt))
			purges.Restore(p.Object, p.Group, issuedAt, receivedAt)
			r.dispatcher.Tick(nil, false, []dispatch.Purge{{Object: p.Object, Group: p.Group, IssuedAt: issuedAt}})
		}
	}
	droppedAt := time.UnixMilli(min(list.DroppedPurgesAt, now.UnixMilli())) // a clock ahead must not outdate later copies
	if purges.Retention > now.Sub(droppedAt) {
		r.env.Log().Warn("stored_purges_incomplete", "stored", len(list.Purges), "all_purged_ms_ago", now.Sub(droppedAt).Milliseconds())
		r.purgeAllGroups(purges, droppedAt)
	}
}

// purgeAllGroups records a purge of each group whose grace is over.
func (r *Reconciler) purgeAllGroups(purges *purgelog.Log, issuedAt time.Time) {
	var all []dispatch.Purge
	for group := range groupCount {
		purges.Restore("", group, issuedAt, issuedAt)
		all = append(all, dispatch.Purge{Group: group, IssuedAt: issuedAt})
	}
	r.dispatcher.Tick(nil, false, all)
}

// assessedEndpoints returns the endpoints of the given assessments in the policy's form. The caller holds r.mu.
func (r *Reconciler) assessedEndpoints(assessments []freshness.Assessment) (list []policy.Endpoint) {
	for _, a := range assessments {
		list = append(list, r.assessedEndpoint(a))
	}
	return list
}

func (r *Reconciler) assessedEndpoint(a freshness.Assessment) policy.Endpoint {
	row := r.stored[a.ID]
	switch {
	case a.Confidence == freshness.Excluded:
		row.State = policy.Gone
	case row.Kind == r.settings.Router.OriginKind: // stays Confirmed, because there is no other origin
	case a.Confidence == freshness.Suspect:
		row.Confidence = policy.Suspect
	default:
		row.Confidence = policy.OnProbation
	}
	if row.Confidence != policy.Confirmed && a.Confidence != freshness.Confirmed {
		row.StartedAt = r.startedAt.UnixMicro()
		if row.Kind == r.settings.Router.ParentKind {
			row.StartedAt += parentStartDelay.Microseconds()
		}
	}
	return row
}

// observe passes the outcome of an attempt to the tracker. The dispatcher calls it under its own lock.
func (r *Reconciler) observe(edge, source *policy.Cache, outcome policy.AttemptOutcome, detail policy.OutcomeDetail) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tracker == nil {
		return
	}
	now := r.env.Now()
	if observation, ok := edgeObservation(outcome, detail); ok {
		r.tracker.Observe(edge.Name, observation, now)
	}
	if source == edge {
		return
	}
	if observation, ok := sourceObservation(outcome, detail); ok {
		r.tracker.Observe(source.Name, observation, now)
	}
}

// edgeObservation returns the evidence that the outcome of an attempt gives about the edge. ok is false if there is none.
func edgeObservation(outcome policy.AttemptOutcome, detail policy.OutcomeDetail) (observation freshness.Observation, ok bool) {
	switch {
	case outcome == policy.OutcomeConnectFailed, outcome == policy.OutcomeReset:
		return freshness.Failure, true
	case outcome == policy.OutcomeSatisfied && (detail == policy.DetailHit || detail == policy.DetailStale):
		return freshness.Hit, true
	case outcome == policy.OutcomeSatisfied && detail != policy.DetailNone, outcome == policy.OutcomeMiss:
		return freshness.Miss, true
	case outcome == policy.OutcomeSatisfied, outcome == policy.OutcomeError, outcome == policy.OutcomeRejected:
		return freshness.Response, true
	}
	return 0, false
}

// sourceObservation returns the evidence that the outcome of an attempt gives about the source of its fill. ok is false
// if there is none.
func sourceObservation(outcome policy.AttemptOutcome, detail policy.OutcomeDetail) (observation freshness.Observation, ok bool) {
	switch {
	case outcome == policy.OutcomeSatisfied && detail == policy.DetailFilled:
		return freshness.Hit, true
	case outcome == policy.OutcomeSatisfied && detail == policy.DetailFilledFromOrigin:
		return freshness.Miss, true
	case detail == policy.DetailSourceRefused, detail == policy.DetailSourceBroke:
		return freshness.Failure, true
	}
	return 0, false
}
