package scenario

import (
	"os"
	"path/filepath"
	"testing"
)

// TestFoundPlansKeepTheRules guards against the failures that the plans in testdata/regressions showed, each the smallest that broke a rule before its
// fault was mended. A file is named for the fault and the seed that found it (docs/incidents).
func TestFoundPlansKeepTheRules(t *testing.T) {
	paths, err := filepath.Glob("testdata/regressions/*.json")
	if err != nil || len(paths) == 0 {
		t.Fatalf("%v, %v", paths, err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) { checkPlan(t, path) })
	}
}

// TestColdParentKeepsItsLineAcrossACut guards against a cold parent that is sent more than it bears by attempts that were under way, at caches
// that a cut hid, before its start was known.
func TestColdParentKeepsItsLineAcrossACut(t *testing.T) {
	checkPlan(t, "testdata/open/cold-parent-3796.json")
}

// TestColdEdgeKeepsItsLineFromAStoredList guards against a cold edge that gateways which start from a stored list send more than it bears.
func TestColdEdgeKeepsItsLineFromAStoredList(t *testing.T) {
	checkPlan(t, "testdata/open/cold-edge-2408.json")
}

// checkPlan plays a plan and expects that it breaks no rule.
func checkPlan(t *testing.T, path string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	plan, err := ReadPlan(text)
	if err != nil {
		t.Fatal(err)
	}
	result, err := Run(plan, Hooks{})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range result.Violations {
		t.Error(violation)
	}
}
