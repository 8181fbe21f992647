package discovery

import (
	"encoding/json"
	"log/slog"
)

// rawEvent is an event whose parts are decoded one by one, so that an invalid part leaves the others usable.
type rawEvent struct {
	Number    *int64          `json:"no"`
	Endpoints json.RawMessage `json:"roster"`
	Purge     json.RawMessage `json:"recall"`
}

// rawEndpointList is an endpointList whose endpoints are decoded one by one.
type rawEndpointList struct {
	Revision  int64             `json:"revision"`
	Complete  bool              `json:"complete"`
	Endpoints []json.RawMessage `json:"members"`
}

// applyUsableParts applies the purge and the valid endpoints of an event that is invalid at its source. Otherwise one
// endpoint that this gateway cannot use, for example of a machine type that its settings do not have, would keep it from
// the purge and from the drains and removals of the same event. A cache that a complete list names only in an invalid
// endpoint gets no further attempts. It does nothing if no part is valid or if the event is not the next one.
func (w *Watch) applyUsableParts(line []byte, from *session) {
	var raw rawEvent
	if json.Unmarshal(line, &raw) != nil || raw.Number == nil {
		return
	}
	e := &event{Number: raw.Number, Endpoints: w.usableEndpoints(raw.Endpoints), Purge: usablePurge(raw.Purge)}
	if e.Endpoints == nil && e.Purge == nil {
		return
	}
	others := w.unusable.allowedGap(w.LastEvent, from) - 1 // invalid events of this session before this one
	if isNext, err := e.checkNumber(w.LastEvent, others); !isNext || err != nil {
		return
	}
	if err := w.apply(e, from); err != nil {
		return
	}
	endpoints := 0
	if e.Endpoints != nil {
		endpoints = len(e.Endpoints.Endpoints)
	}
	w.logLater(slog.LevelWarn, "discovery_event_partly_applied", "last", w.LastEvent, "endpoints", endpoints, "purge", e.Purge != nil)
}

// usableEndpoints decodes an endpoint list without its invalid endpoints. It returns nil if no endpoint is valid.
func (w *Watch) usableEndpoints(text json.RawMessage) *endpointList {
	var raw rawEndpointList
	if text == nil || json.Unmarshal(text, &raw) != nil {
		return nil
	}
	list := &endpointList{Revision: raw.Revision, Complete: raw.Complete}
	for _, text := range raw.Endpoints {
		var m endpoint
		if json.Unmarshal(text, &m) != nil {
			continue
		}
		if _, err := m.parse(w.settings.Zones, w.settings.MachineTypes); err == nil {
			list.Endpoints = append(list.Endpoints, m)
		}
	}
	if len(list.Endpoints) == 0 {
		return nil
	}
	return list
}

// usablePurge decodes a purge. It returns nil if the purge is invalid.
func usablePurge(text json.RawMessage) *purge {
	var p purge
	if text == nil || json.Unmarshal(text, &p) != nil {
		return nil
	}
	if _, err := p.parse(); err != nil {
		return nil
	}
	return &p
}
