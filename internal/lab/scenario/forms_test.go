package scenario

import (
	"encoding/json"
	"testing"

	"foldslip/internal/lab/frozen"
)

// TestPlansKeepTheirForm reads plans, one with every field set and one with those alone that every plan has, and writes the same bytes.
func TestPlansKeepTheirForm(t *testing.T) {
	for _, name := range []string{"plan.json", "plan-small.json"} {
		plan, err := ReadPlan(frozen.Read(t, name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		frozen.EqualIndented(t, name, plan)
	}
}

// TestReportsKeepTheirForm does so with what the commands print, all fields set.
func TestReportsKeepTheirForm(t *testing.T) {
	frozen.IndentedJSON(t, "result.json", &Result{})
	frozen.IndentedJSON(t, "pair.json", &DifferentialResult{})
	frozen.IndentedJSON(t, "trial.json", &RouteChangeRun{})
	frozen.IndentedJSON(t, "cells.json", &[]ColdStartCell{})
}

// TestDiscoveryAndSettingsKeepTheirForm does so with what stands in for the platform: discovery events and the settings' text.
func TestDiscoveryAndSettingsKeepTheirForm(t *testing.T) {
	frozen.IndentedJSON(t, "events.json", &[]discoveryEvent{})
	s := &Scenario{Plan: Plan{Gateways: 3}, zoneCount: 2}
	frozen.EqualIndented(t, "settings.json", json.RawMessage(mustMarshal(s.settings(1))))
}
