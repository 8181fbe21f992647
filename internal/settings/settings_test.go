package settings

import (
	"errors"
	"strings"
	"testing"

	"foldslip/internal/policy"
)

// validText has most of what a gateway reads.
const validText = `{"classes":[{"name":"a","aim":400000,"deadline":900000,"effect":"deduplicated","group":"zone"},{"name":"b","aim":1,"deadline":2,"effect":"idempotent"}],` +
	`"areas":["x"],"ceilings":{"max_retry_after":2000000,"retry_after":true},` +
	`"specifics":{"max_age":[8000000],"parent_kind":2}}`

// Values that are there, and defaults of those that are not.
func TestParse(t *testing.T) {
	got, err := Parse([]byte(validText))
	if err != nil {
		t.Fatal(err)
	}
	router := got.Router
	if a := router.Kinds[0]; a.Effect != policy.Deduplicated || a.DedupScope != policy.SameZone || a.LatencyBudget != 400000 ||
		a.MaxAge != 8000000 || router.Kinds[1].MaxAge != 0 || router.Kinds[1].Effect != policy.Idempotent {
		t.Errorf("%+v", router.Kinds)
	}
	if router.MaxAttempts != defaultMaxAttempts || got.DrainGrace != 0 {
		t.Errorf("%+v", got)
	}
	if router.ParentKind != 2 || router.OriginKind != -1 || router.MaxRetryAfter != 2000000 || router.CanCancel {
		t.Errorf("%+v", router)
	}
	if got.Kinds[1] != "b" || got.Zones[0] != "x" || got.ConnectTimeout != defaultConnectTimeout || got.MaxStreams != defaultMaxStreams {
		t.Errorf("%+v", got)
	}
}

// What is missing or not understood is refused, by its key.
func TestParseRefuses(t *testing.T) {
	for _, test := range []struct{ name, old, new string }{
		{"no deadline", `"deadline":2,`, ""},
		{"a deadline of 0", `"deadline":2`, `"deadline":0`},
		{"no aim", `"aim":1,`, ""},
		{"no effect", `,"effect":"idempotent"`, ""},
		{"an effect by another name", "idempotent", "safe"},
		{"no group", `,"group":"zone"`, ""},
		{"one name twice", `"b"`, `"a"`},
		{"answers that stream", `"name":"b"`, `"name":"b","stream":true`},
		{"a zone that is not listed", `"areas"`, `"az":1,"areas"`},
		{"a parent kind that is not listed", `"areas"`, `"machine_types":["edge"],"areas"`},
		{"an unknown discovery", `"areas"`, `"discovery":"gossip","areas"`},
		{"negative attempts", `"retry_after"`, `"try_limit":-1,"retry_after"`},
		{"a negative drain grace", `"areas"`, `"rules":{"stop_sending_within":-1},"areas"`},
		{"a negative purge grace", `"max_age"`, `"obey_after":-1,"max_age"`},
		{"an unknown effect", "deduplicated", "odd"},
		{"an unknown scope", "zone", "odd"},
		{"negative streams", `"retry_after"`, `"max_streams":-1,"x"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(validText, test.old, test.new, 1)
			if text == validText {
				t.Fatal("nothing was replaced")
			}
			var invalid *ValueError
			if _, err := Parse([]byte(text)); !errors.As(err, &invalid) || invalid.Key == "" {
				t.Error(err)
			}
		})
	}
	for _, text := range []string{"", "[]", "{}"} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}

// oneKind is an object kind.
const validKind = `{"name":"a","aim":400000,"deadline":900000,"effect":"idempotent"}`

// Rough sizes weigh the homes of objects, as nominal ones do; only nominal ones are capacities of links.
func TestWeights(t *testing.T) {
	for weights, want := range map[string][2]bool{"nominal": {true, true}, "rough": {true, false},
		"none": {false, false}, "live": {false, false}} {
		got, err := Parse([]byte(`{"classes":[` + validKind + `],"weights":"` + weights + `"}`))
		if err != nil {
			t.Fatal(err)
		}
		if c := got.Router; c.WeightIsSize != want[0] || c.WeightIsCapacity != want[1] {
			t.Errorf("%s: sized %v, weighted %v", weights, c.WeightIsSize, c.WeightIsCapacity)
		}
	}
}

// Hits are told from fills where reports are "all" or "hit", first bytes only where they are "all".
func TestReports(t *testing.T) {
	for tells, want := range map[string][2]bool{"all": {true, true}, "hit": {true, false}, "off": {false, false},
		"": {true, false}} {
		got, err := Parse([]byte(`{"classes":[` + validKind + `],"specifics":{"tells":"` + tells + `"}}`))
		if err != nil {
			t.Fatal(err)
		}
		if c := got.Router; c.ReportsHits != want[0] || c.ReportsFirstByte != want[1] {
			t.Errorf("%s: hits %v, first bytes %v", tells, c.ReportsHits, c.ReportsFirstByte)
		}
	}
}

// An unknown value for what caches report or what weights mean is an error, not a signal turned off.
func TestUnknownValues(t *testing.T) {
	for _, bad := range []string{`"specifics":{"tells":"some"}`, `"weights":"exact"`} {
		if _, err := Parse([]byte(`{"classes":[` + validKind + `],` + bad + `}`)); err == nil {
			t.Errorf("%s is accepted", bad)
		}
	}
}
