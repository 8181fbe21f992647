package scenario

import (
	"os"
	"path/filepath"
	"testing"
)

// TestFoundPlansKeepTheRules guards against the return of faults that scenarios found. Each plan in
// testdata/regressions is the smallest that broke a rule before its fault was fixed. A file is named after the fault
// and the seed that found it (docs/incidents).
func TestFoundPlansKeepTheRules(t *testing.T) {
	paths, err := filepath.Glob("testdata/regressions/*.json")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no plans in testdata/regressions: %v, error %v", paths, err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) { checkPlan(t, path) })
	}
}

// TestColdParentKeepsItsLineAcrossACut guards against an overload of a cold parent. The load comes from attempts that
// were in flight, at caches behind a network split, before the gateways learned of the start of the parent.
func TestColdParentKeepsItsLineAcrossACut(t *testing.T) {
	checkPlan(t, "testdata/open/cold-parent-3796.json")
}

// TestColdEdgeKeepsItsLineFromAStoredList guards against an overload of a cold
// edge by gateways that start from a stored list.
func TestColdEdgeKeepsItsLineFromAStoredList(t *testing.T) {
	checkPlan(t, "testdata/open/cold-edge-2408.json")
}

// checkPlan runs a plan and reports each rule that it breaks as an error.
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
