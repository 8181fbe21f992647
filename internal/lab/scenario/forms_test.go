package scenario

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// TestPlansKeepTheirForm reads plans, one with every field set and one with those alone that every plan has, and writes the same bytes.
func TestPlansKeepTheirForm(t *testing.T) {
	for _, name := range []string{"plan.json", "plan-small.json"} {
		text, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		plan, err := ReadPlan(text)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		checkWritten(t, name, plan)
	}
}

// TestReportsKeepTheirForm does so with what the commands print, all fields set.
func TestReportsKeepTheirForm(t *testing.T) {
	readAndWrite(t, "result.json", &Result{})
	readAndWrite(t, "pair.json", &DifferentialResult{})
	readAndWrite(t, "trial.json", &RouteChangeRun{})
	readAndWrite(t, "cells.json", &[]ColdStartCell{})
}

// TestPlatformSideKeepsItsForm does so with what stands in for the platform: discovery events and the settings' text.
func TestPlatformSideKeepsItsForm(t *testing.T) {
	readAndWrite(t, "events.json", &[]discoveryEvent{})
	s := &Scenario{Plan: Plan{Gateways: 3}, zoneCount: 2}
	checkWritten(t, "settings.json", json.RawMessage(mustMarshal(s.settings(1))))
}

// readAndWrite reads a file of testdata into value, which must know every key of it, and checks that value is written as the same bytes.
func readAndWrite(t *testing.T, name string, value any) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(want))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	checkWritten(t, name, value)
}

// checkWritten checks that value is written as a file of testdata, byte for byte.
func checkWritten(t *testing.T, name string, value any) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	got, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if got = append(got, '\n'); !bytes.Equal(got, want) {
		t.Errorf("%s is written as\n%s", name, got)
	}
}
