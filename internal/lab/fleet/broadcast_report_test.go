package fleet

import (
	"strings"
	"testing"
	"time"
)

// testTopology returns a topology that starts at the given second, in which the gateways n1, n2 and n3
// can all reach each other. running and watching are lists of gateway names separated by spaces.
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

// appliedAfterOneSecond returns the report of a gateway that applied each given purge one second after
// its announcement. The purges are announced at 10, 20 and 30 s. An empty object stands for a purge
// that the gateway did not apply.
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

// TestRigReportsBroadcastOfPurges guards against wrong counts in the broadcast report. The rig judges
// by its own actions: which gateways ran and which links were open. The report must count purges
// that arrived late or not at all. It must leave out gateways that could not receive a purge.
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
		t.Errorf("n3 did not run during the second purge: report is %+v", r)
	}
	if r := run.report(agreed[:2]); r.Pairs != 4 {
		t.Errorf("views did not agree again after n3 returned: report is %+v", r)
	}
	run.applied["n2"].firstAt["a"] = 15 * time.Second
	if r := run.report(agreed); r.InTime != 4 || r.Share != 0.8 || r.Max != 5000 {
		t.Errorf("n2 applied the first purge after 5 s: report is %+v", r)
	}
	delete(run.applied["n2"].firstAt, "a")
	if r := run.report(agreed); r.InTime != 4 || r.Pairs != 5 {
		t.Errorf("n2 did not apply the first purge: report is %+v", r)
	}
	run.topologies[2].watching["n2"] = true
	if r := run.report(agreed); r.Pairs != 4 || r.ByWatch != 3 {
		t.Errorf("n2 got a discovery watch 5 s before the third purge, so it counts neither as a pair nor as a watcher: report is %+v", r)
	}
	run.topologies[1].side = map[string]int{"n1": 0, "n2": 1}
	if r := run.report(agreed); r.Pairs != 3 {
		t.Errorf("n2 was cut off from the watcher, so the pair must not count: report is %+v", r)
	}
}

// TestBroadcastReportNamesEachViolation checks that violations lists lost purges, a share below the
// minimum, a share of no pairs, and gateways that gave no report.
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
			t.Errorf("%s: got violations %q", name, got)
		}
	}
}
