package fleet

import (
	"time"
)

// Event is a change of a view, as a gateway logged it.
type Event struct {
	AtMS       int64  `json:"at_ms"`
	Observer   string `json:"on"`
	Name       string `json:"name"`
	State      string `json:"state"`
	Source     string `json:"by,omitempty"`
	Reason     string `json:"why,omitempty"`
	FalseDeath bool   `json:"false,omitempty"` // it was told dead while it ran, with ways open both ways
}

const maxEvents = 20_000

// handleLogEvent takes a line of a gateway's log.
func (r *Rig) handleLogEvent(on string, f map[string]string, at time.Time) {
	defer r.requestObservation()
	if f["event"] == "fleet_purge" {
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.events) < maxEvents {
			r.events = append(r.events, Event{AtMS: at.Sub(r.startedAt).Milliseconds(), Observer: on, Name: f["object"], State: "purge"})
		}
		return
	}
	if f["event"] != "fleet_member" {
		return
	}
	e := Event{AtMS: at.Sub(r.startedAt).Milliseconds(), Observer: on, Name: f["name"], State: f["state"], Source: f["by"], Reason: f["why"]}
	if e.State == "dead" && r.byName[e.Name] != nil && r.byName[e.Name].isRunning() && r.links.IsOpen(on, e.Name) {
		e.FalseDeath = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.FalseDeath {
		r.falseDeaths++
	}
	if len(r.events) < maxEvents {
		r.events = append(r.events, e)
	}
}
