package fleet

import (
	"strings"
	"testing"
	"time"
)

// testTopology is that of three gateways that can all reach each other, from a second on. running and watching are names.
func testTopology(second int, running, watching string) topology {
	at := time.Duration(second) * time.Second
	return topology{
		from:       at,
		completeAt: at,
		running:    nameSet(strings.Fields(running)),
		watching:   nameSet(strings.Fields(watching)),
		side:       map[string]int{"n1": 0, "n2": 0, "n3": 0},
	}
}

// appliedAfterOneSecond are the purges a, b and c, announced at 10, 20 and 30 s, applied a second later each; an empty object is none.
func appliedAfterOneSecond(objects ...string) *appliedPurges {
	applied := &appliedPurges{reported: true, current: map[string]bool{}, firstAt: map[string]time.Duration{}}
	for i, object := range objects {
		if object != "" {
			applied.current[object] = true
			applied.firstAt[object] = time.Duration(10+10*i)*time.Second + time.Second
		}
	}
	return applied
}

// TestRigReportsBroadcastOfPurges: the rig judges by what it did. It counts a purge that arrived late and one that did not arrive, and
// leaves out gateways that could not receive it.
func TestRigReportsBroadcastOfPurges(t *testing.T) {
	run := &broadcastRun{
		purges:     []publishedPurge{{"a", 10 * time.Second}, {"b", 20 * time.Second}, {"c", 30 * time.Second}},
		topologies: []topology{testTopology(0, "n1 n2 n3", "n1"), testTopology(15, "n1 n2", "n1"), testTopology(25, "n1 n2 n3", "n1")},
		applied: map[string]*appliedPurges{
			"n1": appliedAfterOneSecond("a", "b", "c"),
			"n2": appliedAfterOneSecond("a", "b", "c"),
			"n3": appliedAfterOneSecond("a", "", "c"),
		},
	}
	agreed := []viewState{{at: 0, agreed: true}, {at: 15 * time.Second}, {at: 28 * time.Second, agreed: true}}
	if r := run.report(agreed); r.Pairs != 5 || r.InTime != 5 || r.ByWatch != 3 || r.MissingPairs != 1 || r.FinalPairs != 9 || r.Max != 1000 {
		t.Errorf("one was down for the second purge: %+v", r)
	}
	if r := run.report(agreed[:2]); r.Pairs != 4 {
		t.Errorf("the views never agreed again: %+v", r)
	}
	run.applied["n2"].firstAt["a"] = 15 * time.Second
	if r := run.report(agreed); r.InTime != 4 || r.Share != 0.8 || r.Max != 5000 {
		t.Errorf("one arrived late: %+v", r)
	}
	delete(run.applied["n2"].firstAt, "a")
	if r := run.report(agreed); r.InTime != 4 || r.Pairs != 5 {
		t.Errorf("one did not arrive: %+v", r)
	}
	run.topologies[2].watching["n2"] = true
	if r := run.report(agreed); r.Pairs != 4 || r.ByWatch != 3 {
		t.Errorf("a watch that has just come back is neither: %+v", r)
	}
	run.topologies[1].side = map[string]int{"n1": 0, "n2": 1}
	if r := run.report(agreed); r.Pairs != 3 {
		t.Errorf("a gateway that is cut off need not receive it: %+v", r)
	}
}

// TestBroadcastReportNamesEachViolation: lost purges, a share that is too small or of nothing, and gateways without report.
func TestBroadcastReportNamesEachViolation(t *testing.T) {
	for name, c := range map[string]struct {
		report BroadcastReport
		want   int
	}{
		"lost, late and unreported": {BroadcastReport{MissingPairs: 1, FinalPairs: 9, Pairs: 100, Share: 0.98, Unreported: 1}, 3},
		"no pairs":                  {BroadcastReport{}, 2},
		"none":                      {BroadcastReport{Share: 1, Pairs: 1}, 0},
	} {
		if got := c.report.violations(&PurgeLoad{MinShare: 0.99}); len(got) != c.want {
			t.Errorf("%s: %q", name, got)
		}
	}
}
