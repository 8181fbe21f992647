package fleet

import (
	"time"
)

// maxEvents bounds the events that a run keeps; later ones are dropped.
const maxEvents = 20_000

// Values of Event.State beside those of a member's state.
const (
	eventPurge = "purge" // a purge that came from a peer first; Event.Name is the object
	eventDead  = "dead"
)

// Event is a change of a view, or a purge that was received, as a gateway logged it.
type Event struct {
	AtMS       int64  `json:"at_ms"` // since the run's start
	Observer   string `json:"on"`    // the gateway that logged it
	Name       string `json:"name"`  // the member that changed
	State      string `json:"state"`
	Source     string `json:"by,omitempty"`
	Reason     string `json:"why,omitempty"`
	FalseDeath bool   `json:"false,omitempty"` // the member was marked dead while it ran and could be reached in both directions
}

// handleLogEvent records a line of a gateway's log, by the line's fields.
func (r *Rig) handleLogEvent(observer string, fields map[string]string, at time.Time) {
	defer r.requestObservation()
	event := Event{AtMS: at.Sub(r.startedAt).Milliseconds(), Observer: observer}
	switch fields["event"] {
	case "fleet_purge":
		event.Name = fields["object"]
		event.State = eventPurge
	case "fleet_member":
		event.Name = fields["name"]
		event.State = fields["state"]
		event.Source = fields["by"]
		event.Reason = fields["why"]
		event.FalseDeath = event.State == eventDead && r.isReachable(observer, event.Name)
	default:
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if event.FalseDeath {
		r.falseDeaths++
	}
	if len(r.events) < maxEvents {
		r.events = append(r.events, event)
	}
}

// isReachable reports whether a gateway runs and its links with another one are open in both directions.
func (r *Rig) isReachable(from, name string) bool {
	p := r.byName[name]
	return p != nil && p.isRunning() && r.links.IsOpen(from, name)
}
