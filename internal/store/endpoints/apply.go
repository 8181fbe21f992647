package endpoints

import (
	"cmp"
	"maps"
	"slices"
)

const hourMS = 3_600_000

// Apply applies an update. An update that is older than the state adds no cache-hours, and neither ChangedAt nor
// CurrentAsOf ever decreases.
func (s *State) Apply(u Update) {
	if u.DiscoveryAddr != "" {
		s.DiscoveryAddr = u.DiscoveryAddr
	}
	if u.LastEvent != 0 {
		s.LastEvent = u.LastEvent
	}
	isFromDiscovery := u.StillCurrent || u.Complete || len(u.Endpoints) > 0
	if isFromDiscovery && s.ChangedAt > 0 && u.At > s.ChangedAt {
		// At most one hour is added, because the gateway did not watch the list during a longer gap.
		watchedMS := min(u.At-s.ChangedAt, hourMS)
		s.CacheHours += float64(watchedMS) / hourMS * float64(len(s.Endpoints))
	}
	s.ChangedAt = max(s.ChangedAt, u.At)
	if u.Complete {
		s.removeUnlisted(u)
	}
	for _, e := range u.Endpoints {
		s.applyEndpoint(e, u.At)
	}
	if isFromDiscovery {
		s.CurrentAsOf = max(s.CurrentAsOf, u.At)
	}
	if u.HasHealth {
		s.applyHealth(u)
	}
	s.Purges = append(s.Purges, u.Purges...)
	s.dropOldestPurges()
	s.enforceLimits()
}

// dropOldestPurges drops the oldest purges above MaxPurges.
func (s *State) dropOldestPurges() {
	excess := len(s.Purges) - MaxPurges
	if excess <= 0 {
		return
	}
	for _, p := range s.Purges[:excess] {
		s.DroppedPurgesAt = max(s.DroppedPurgesAt, p.IssuedAt)
	}
	s.Purges = slices.Clone(s.Purges[excess:])
}

// Import adds endpoints from an operator's file. It changes neither CurrentAsOf nor CacheHours, because the file does
// not show until when the list was current.
func (s *State) Import(u Update) {
	for _, e := range u.Endpoints {
		e.Source = Imported
		s.applyEndpoint(e, u.At)
	}
	s.enforceLimits()
}

// removeUnlisted removes the endpoints that are missing from a complete list.
func (s *State) removeUnlisted(u Update) {
	listed := idSet(u.Endpoints)
	for id := range s.Endpoints {
		if !listed[id] {
			s.remove(id, u.At)
		}
	}
}

func idSet(list []Endpoint) map[string]bool {
	ids := map[string]bool{}
	for _, e := range list {
		ids[e.ID] = true
	}
	return ids
}

// applyEndpoint adds, updates or removes one endpoint. Only discovery can bring back a cache that is draining or was
// removed. An imported endpoint is ignored if its cache has a tombstone or was reported by discovery.
func (s *State) applyEndpoint(e Endpoint, at int64) {
	before, isKnown := s.Endpoints[e.ID]
	tombstone := s.Tombstones[e.ID]
	switch {
	case e.Phase == Removed:
		s.remove(e.ID, at)
		return
	case e.Source == Imported && tombstone.ID != "":
		return
	case e.Source == Imported && isKnown && before.Source == Discovered:
		return
	}
	// The cache had not left: it is listed again because discovery read its list from the beginning.
	if tombstone.Removed && e.Source == Discovered {
		s.Departures = max(0, s.Departures-1)
	}
	if e.Phase == Draining {
		s.Tombstones[e.ID] = Tombstone{ID: e.ID, At: drainedAt(e, tombstone, at)}
	} else {
		delete(s.Tombstones, e.ID)
	}
	s.claimAddr(e, before.Addr)
	e.ListedAt = at
	e.LastResponseAt = 0
	e.EjectedAt = 0
	if isSameIncarnation := isKnown && before.Addr == e.Addr && before.StartedAt == e.StartedAt; isSameIncarnation {
		e.ListedAt = before.ListedAt
		e.LastResponseAt = before.LastResponseAt
		e.EjectedAt = before.EjectedAt
	}
	s.Endpoints[e.ID] = e
}

// drainedAt returns when a cache that is draining now began to drain. A cache that was reported before as draining or
// removed has done so since then, unless it has started again.
func drainedAt(e Endpoint, before Tombstone, at int64) int64 {
	if before.ID != "" && e.StartedAt <= before.At {
		return before.At
	}
	return at
}

// claimAddr assigns an address to the endpoint that was listed with it last. A draining endpoint that had the address
// is removed.
func (s *State) claimAddr(e Endpoint, addrBefore string) {
	if id := s.drainingByAddr[e.Addr]; id != "" && id != e.ID {
		delete(s.Endpoints, id)
	}
	delete(s.drainingByAddr, addrBefore)
	if e.Phase == Draining {
		s.drainingByAddr[e.Addr] = e.ID
	} else {
		delete(s.drainingByAddr, e.Addr)
	}
}

func (s *State) remove(id string, at int64) {
	if before, isKnown := s.Endpoints[id]; isKnown {
		delete(s.Endpoints, id)
		delete(s.drainingByAddr, before.Addr)
		s.Departures++
	}
	s.Tombstones[id] = Tombstone{ID: id, At: at, Removed: true}
}

// applyHealth updates the ejection times and the last response times of the endpoints.
func (s *State) applyHealth(u Update) {
	isEjected := map[string]bool{}
	for _, id := range u.Ejected {
		isEjected[id] = true
	}
	for id, e := range s.Endpoints {
		if !isEjected[id] {
			e.EjectedAt = 0
		} else if e.EjectedAt == 0 {
			e.EjectedAt = u.At
		}
		s.Endpoints[id] = e
	}
	for _, id := range u.Responded {
		if e, isKnown := s.Endpoints[id]; isKnown {
			e.LastResponseAt = max(e.LastResponseAt, u.At)
			s.Endpoints[id] = e
		}
	}
}

// enforceLimits drops the oldest tombstones and endpoints above the limits. Imported endpoints are dropped before those
// that discovery reported.
func (s *State) enforceLimits() {
	// One sort drops many tombstones, so that the average cost of an update stays low.
	if n := len(s.Tombstones) - MaxTombstones; n > tombstoneSlack {
		oldest := slices.SortedFunc(maps.Values(s.Tombstones), func(a, b Tombstone) int {
			return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID))
		})
		for _, t := range oldest[:n] {
			delete(s.Tombstones, t.ID)
		}
	}
	if n := len(s.Endpoints) - MaxEndpoints; n > 0 {
		importedThenOldest := slices.SortedFunc(maps.Values(s.Endpoints), func(a, b Endpoint) int {
			return cmp.Or(cmp.Compare(b.Source, a.Source), cmp.Compare(a.ListedAt, b.ListedAt), cmp.Compare(a.ID, b.ID))
		})
		for _, e := range importedThenOldest[:n] {
			delete(s.Endpoints, e.ID)
		}
	}
}
