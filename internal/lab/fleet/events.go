package fleet

import (
	"time"
)

// maxEvents bounds the events that a run keeps. Later events are dropped.
const maxEvents = 20_000

// Values of Event.State that the rig interprets. Any other value is a state of the member.
const (
	eventPurge = "purge" // a purge that the gateway received from a peer first; Event.Name is the object
	eventDead  = "dead"
)

// Event is a change in a gateway's view, or a purge that the gateway received, as the gateway logged it.
type Event struct {
	AtMS       int64  `json:"at_ms"` // since the start of the run
	Observer   string `json:"on"`    // the gateway that logged the event
	Name       string `json:"name"`  // the member that changed, or the purged object
	State      string `json:"state"`
	Source     string `json:"by,omitempty"`
	Reason     string `json:"why,omitempty"`
	FalseDeath bool   `json:"false,omitempty"` // dead while it ran and its links with the observer were open
}

// handleLogEvent records the event in a line of the observer's log, given as the fields of the line, and requests an
// observation of the views.
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

// isReachable reports whether the named gateway runs and its links with the gateway from are open in both directions.
func (r *Rig) isReachable(from, name string) bool {
	p := r.byName[name]
	return p != nil && p.isRunning() && r.links.IsOpen(from, name)
}
