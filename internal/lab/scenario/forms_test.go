package scenario

import (
	"encoding/json"
	"testing"

	"foldslip/internal/lab/frozen"
)

// TestPlansKeepTheirForm guards against a change of the format of plan files. It reads one plan with every field set
// and one with only the required fields, and expects the same bytes when it writes them.
func TestPlansKeepTheirForm(t *testing.T) {
	for _, name := range []string{"plan.json", "plan-small.json"} {
		plan, err := ReadPlan(frozen.Read(t, name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		frozen.EqualIndented(t, name, plan)
	}
}

// TestReportsKeepTheirForm guards against a change of the JSON that the commands print, with all fields set.
func TestReportsKeepTheirForm(t *testing.T) {
	frozen.IndentedJSON(t, "result.json", &Result{})
	frozen.IndentedJSON(t, "pair.json", &DifferentialResult{})
	frozen.IndentedJSON(t, "trial.json", &RouteChangeRun{})
	frozen.IndentedJSON(t, "cells.json", &[]ColdStartCell{})
}

// TestDiscoveryAndSettingsKeepTheirForm guards against a change of the simulated platform's formats:
// discovery events and the text of the settings.
func TestDiscoveryAndSettingsKeepTheirForm(t *testing.T) {
	frozen.IndentedJSON(t, "events.json", &[]discoveryEvent{})
	s := &Scenario{Plan: Plan{Gateways: 3}, zoneCount: 2}
	frozen.EqualIndented(t, "settings.json", json.RawMessage(mustMarshal(s.settings(1))))
}
