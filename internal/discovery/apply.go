package discovery

import (
	"encoding/json"
	"fmt"
	"strconv"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
	"foldslip/internal/store/endpoints"
)

// LoadKnown applies the events in the platform's configuration. Call it before Run.
func (w *Watch) LoadKnown(text json.RawMessage) error {
	var known struct {
		LastEvent int64             `json:"no"`
		Events    []json.RawMessage `json:"items"`
	}
	if err := json.Unmarshal(text, &known); err != nil {
		return fmt.Errorf("parse known events of the platform configuration: %w", err)
	}
	for _, event := range known.Events {
		if err := w.handleLine(event, nil); err != nil {
			return fmt.Errorf("apply known event of the platform configuration: %w", err)
		}
	}
	w.LastEvent = known.LastEvent
	return nil
}

// handleLine handles a line, which contains an event or only the number of discovery's last event. The session is nil for
// an event of the platform's configuration, whose number is not checked.
func (w *Watch) handleLine(line []byte, from *session) error {
	if number, err := strconv.ParseInt(string(line), 10, 64); err == nil {
		return w.handleNumber(number, from)
	}
	var e event
	if err := json.Unmarshal(line, &e); err != nil {
		return err
	}
	if e.Number == nil {
		return errNoNumber
	}
	if e.Endpoints == nil && e.Purge == nil {
		if *e.Number > w.LastEvent && from != nil {
			return numberError(errGap, *e.Number, w.LastEvent)
		}
		return nil
	}
	if from != nil {
		if isNext, err := e.checkNumber(w.LastEvent, w.unusable.allowedGap(w.LastEvent, from)); !isNext {
			from.advance(*e.Number)
			return err
		}
	}
	return w.apply(&e, from)
}

// handleNumber compares the number of discovery's last event with LastEvent. The number is lower than LastEvent without
// a restart of the numbers if another session is ahead of this one.
func (w *Watch) handleNumber(number int64, from *session) error {
	switch {
	case number > w.LastEvent+w.unusable.allowedGap(w.LastEvent, from):
		return numberError(errGap, number, w.LastEvent)
	case number > w.LastEvent: // the events up to this number are invalid and were skipped
		w.LastEvent = number
		from.advance(number)
		return nil
	case number < w.LastEvent && number >= from.position:
		from.advance(number)
		return nil
	}
	if w.Reconciler.ObserveEventNumber(number, w.LastEvent) {
		held := w.LastEvent
		w.LastEvent = 0
		w.endSessions("renumbered", func(other *session) bool { return other != from })
		return numberError(errRenumbered, number, held)
	}
	if number == w.LastEvent {
		w.caughtUp(from)
	}
	return nil
}

// apply applies an event to the purge log, the dispatcher, the registry and the stored list, and calls the callbacks.
// If its purge or one of its endpoints is invalid, no part of the event is applied.
func (w *Watch) apply(e *event, from *session) error {
	var purges []dispatch.Purge
	if e.Purge != nil {
		parsed, err := e.Purge.parse()
		if err != nil {
			return err
		}
		purges = append(purges, parsed)
	}
	list, removed, err := w.parseEndpoints(e.Endpoints)
	if err != nil {
		return err
	}
	for _, p := range purges {
		w.purges.Record(p.Object, p.Group, p.IssuedAt)
	}
	if w.OnUpdate != nil {
		w.OnUpdate(w.storedUpdate(e))
	}
	if e.Endpoints != nil {
		w.Reconciler.KeepDraining(*e.Number, e.isComplete(), e.Endpoints.ids(), list)
	}
	w.dispatcher.Tick(list, e.isComplete(), purges)
	w.forgetRemoved(e, removed)
	w.LastEvent = *e.Number
	from.advance(w.LastEvent)
	if w.OnEvent != nil {
		w.OnEvent(w.LastEvent, purges)
	}
	if w.Reconciler != nil {
		w.Reconciler.Apply(w.storedUpdate(e))
	}
	if e.isComplete() && w.OnFirstList != nil && from != nil {
		w.OnFirstList()
		w.OnFirstList = nil
	}
	return nil
}

// parseEndpoints returns the endpoints of an event and the ids of the removed ones. It registers the caches of the
// endpoints, but only after all endpoints have proved to be valid.
func (w *Watch) parseEndpoints(l *endpointList) (list []policy.Endpoint, removed []string, err error) {
	if l == nil {
		return nil, nil, nil
	}
	for i := range l.Endpoints {
		parsed, err := l.Endpoints[i].parse(w.settings.Zones, w.settings.MachineTypes)
		if err != nil {
			return nil, nil, err
		}
		if parsed.State == policy.Gone {
			removed = append(removed, l.Endpoints[i].ID)
		}
		list = append(list, parsed)
	}
	for i, m := range l.Endpoints {
		list[i].Cache = w.registry.RegisterStart(m.ID, m.Addr, int64(m.StartedAtMS)).Policy
	}
	return list, removed, nil
}

func (l *endpointList) ids() []string {
	ids := make([]string, len(l.Endpoints))
	for i, m := range l.Endpoints {
		ids[i] = m.ID
	}
	return ids
}

// forgetRemoved removes the caches from the registry that an event removed or that its complete list does not contain.
func (w *Watch) forgetRemoved(e *event, removed []string) {
	if e.isComplete() {
		named := map[string]bool{}
		for _, m := range e.Endpoints.Endpoints {
			named[m.ID] = true
		}
		w.registry.Retain(named)
	}
	for _, id := range removed {
		w.registry.Remove(id)
	}
}

// storedUpdate converts an event to an update of the stored list.
func (w *Watch) storedUpdate(e *event) endpoints.Update {
	update := endpoints.Update{LastEvent: w.LastEvent, DiscoveryAddr: w.addr}
	if e.Purge != nil {
		update.Purges = append(update.Purges, e.Purge.stored(w.env.Now()))
	}
	if e.Endpoints == nil {
		return update
	}
	update.Complete = e.Endpoints.Complete
	for i := range e.Endpoints.Endpoints {
		update.Endpoints = append(update.Endpoints, e.Endpoints.Endpoints[i].stored())
	}
	return update
}
