package cli

import (
	"time"

	"foldslip/internal/freshness"
	"foldslip/internal/store/endpoints"
)

// listView is the form in which a stored endpoint list is printed, exported and imported.
type listView struct {
	DiscoveryAddr string          `json:"bulletin,omitempty"`
	LastEvent     int64           `json:"last"`
	CurrentAsOf   string          `json:"stood,omitempty"` // when discovery last confirmed the list
	Caches        []endpointView  `json:"caches"`
	Tombstones    []tombstoneView `json:"left"`
	Purges        int             `json:"purges"`
}

type endpointView struct {
	ID         string  `json:"id"`
	Addr       string  `json:"host_port"`
	Zone       string  `json:"locality"`
	Machine    string  `json:"flavor"`
	Cell       int     `json:"cell"`
	Size       float64 `json:"size"`
	UpSince    int64   `json:"up_since_ms"`
	Phase      string  `json:"phase"`
	Imported   bool    `json:"imported,omitempty"`
	Ejected    bool    `json:"ill,omitempty"`
	Confidence string  `json:"standing,omitempty"`
	Budget     float64 `json:"budget,omitempty"`
}

type tombstoneView struct {
	ID      string `json:"id"`
	At      string `json:"at"`
	Removed bool   `json:"gone"`
}

// phaseNames are the values of endpointView.Phase, indexed by endpoints.Phase.
var phaseNames = [...]string{"up", "draining", "removed"}

// newListView returns the view of a state, with the confidence that a gateway that
// starts at now would have in each cache.
func newListView(state *endpoints.State, now time.Time) listView {
	view := listView{
		DiscoveryAddr: state.DiscoveryAddr,
		LastEvent:     state.LastEvent,
		CurrentAsOf:   formatInstant(state.CurrentAsOf),
		Caches:        []endpointView{},
		Tombstones:    []tombstoneView{},
		Purges:        len(state.Purges),
	}
	for _, endpoint := range state.Sorted() {
		view.Caches = append(view.Caches, newEndpointView(state, endpoint, now))
	}
	for _, tombstone := range state.SortedTombstones() {
		view.Tombstones = append(view.Tombstones, tombstoneView{ID: tombstone.ID, At: formatInstant(tombstone.At), Removed: tombstone.Removed})
	}
	return view
}

func newEndpointView(state *endpoints.State, endpoint endpoints.Endpoint, now time.Time) endpointView {
	isImported := endpoint.Source == endpoints.Imported
	isEjected := endpoint.EjectedAt > 0
	history := freshness.History{CacheHours: state.CacheHours, Departures: state.Departures}
	confidence, budget := freshness.Assess(history, freshness.Evidence{
		Age:       now.Sub(time.UnixMilli(state.CurrentAsOf)),
		Imported:  isImported,
		Ejected:   isEjected,
		Withdrawn: endpoint.Phase != endpoints.Up || state.Tombstones[endpoint.ID].ID != "",
	})
	return endpointView{
		ID:         endpoint.ID,
		Addr:       endpoint.Addr,
		Zone:       endpoint.Zone,
		Machine:    endpoint.MachineType,
		Cell:       endpoint.Cell,
		Size:       endpoint.Size,
		UpSince:    endpoint.StartedAt,
		Phase:      phaseNames[endpoint.Phase],
		Imported:   isImported,
		Ejected:    isEjected,
		Confidence: confidence.String(),
		Budget:     budget,
	}
}

// formatInstant formats a time in milliseconds since 1970. It returns "" for 0, which means never.
func formatInstant(milliseconds int64) string {
	if milliseconds == 0 {
		return ""
	}
	return time.UnixMilli(milliseconds).UTC().Format(time.RFC3339)
}
