package settings

import (
	"errors"
	"strings"
	"testing"

	"foldslip/internal/policy"
)

// validText is a valid settings text with most of the keys that a gateway reads.
const validText = `{"classes":[{"name":"a","aim":400000,"deadline":900000,"effect":"deduplicated","group":"zone"},{"name":"b","aim":1,"deadline":2,"effect":"idempotent"}],` +
	`"areas":["x"],"ceilings":{"max_retry_after":2000000,"retry_after":true},` +
	`"specifics":{"max_age":[8000000],"parent_kind":2}}`

// TestParse checks values that the text contains and the defaults of values that it does not contain.
func TestParse(t *testing.T) {
	got, err := Parse([]byte(validText))
	if err != nil {
		t.Fatal(err)
	}
	router := got.Router
	if a := router.Kinds[0]; a.Effect != policy.Deduplicated || a.DedupScope != policy.SameZone || a.LatencyBudget != 400000 ||
		a.MaxAge != 8000000 || router.Kinds[1].MaxAge != 0 || router.Kinds[1].Effect != policy.Idempotent {
		t.Errorf("unexpected object kinds: %+v", router.Kinds)
	}
	if router.MaxAttempts != defaultMaxAttempts || got.DrainGrace != 0 {
		t.Errorf("unexpected default of MaxAttempts or DrainGrace: %+v", got)
	}
	if router.ParentKind != 2 || router.OriginKind != -1 || router.MaxRetryAfter != 2000000 || router.CanCancel {
		t.Errorf("unexpected router settings: %+v", router)
	}
	if got.Kinds[1] != "b" || got.Zones[0] != "x" || got.ConnectTimeout != defaultConnectTimeout || got.MaxStreams != defaultMaxStreams {
		t.Errorf("unexpected names or connection defaults: %+v", got)
	}
}

// TestParseRefuses checks that a missing or invalid value is an error that names the key.
func TestParseRefuses(t *testing.T) {
	for _, test := range []struct{ name, old, new string }{
		{"no deadline", `"deadline":2,`, ""},
		{"a deadline of 0", `"deadline":2`, `"deadline":0`},
		{"no latency budget", `"aim":1,`, ""},
		{"no effect", `,"effect":"idempotent"`, ""},
		{"an effect under another name", "idempotent", "safe"},
		{"no deduplication scope", `,"group":"zone"`, ""},
		{"a duplicate name", `"b"`, `"a"`},
		{"streamed answers", `"name":"b"`, `"name":"b","stream":true`},
		{"a zone that is not listed", `"areas"`, `"az":1,"areas"`},
		{"a parent kind that is not listed", `"areas"`, `"machine_types":["edge"],"areas"`},
		{"an unknown discovery", `"areas"`, `"discovery":"gossip","areas"`},
		{"negative attempts", `"retry_after"`, `"try_limit":-1,"retry_after"`},
		{"a negative drain grace", `"areas"`, `"rules":{"stop_sending_within":-1},"areas"`},
		{"a negative purge grace", `"max_age"`, `"obey_after":-1,"max_age"`},
		{"an unknown effect", "deduplicated", "odd"},
		{"an unknown deduplication scope", "zone", "odd"},
		{"negative streams", `"retry_after"`, `"max_streams":-1,"x"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(validText, test.old, test.new, 1)
			if text == validText {
				t.Fatal("the text to replace does not occur in validText")
			}
			var invalid *ValueError
			if _, err := Parse([]byte(text)); !errors.As(err, &invalid) || invalid.Key == "" {
				t.Error(err)
			}
		})
	}
	for _, text := range []string{"", "[]", "{}"} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("Parse accepts %q", text)
		}
	}
}

// validKind is the text of a valid object kind.
const validKind = `{"name":"a","aim":400000,"deadline":900000,"effect":"idempotent"}`

// TestWeights checks the meaning of weights. Nominal and rough weights are cache sizes, which weight the assignment of
// objects to caches. Only nominal weights are also link capacities.
func TestWeights(t *testing.T) {
	for weights, want := range map[string][2]bool{"nominal": {true, true}, "rough": {true, false},
		"none": {false, false}, "live": {false, false}} {
		got, err := Parse([]byte(`{"classes":[` + validKind + `],"weights":"` + weights + `"}`))
		if err != nil {
			t.Fatal(err)
		}
		if c := got.Router; c.WeightIsSize != want[0] || c.WeightIsCapacity != want[1] {
			t.Errorf("weights %s: WeightIsSize %v, WeightIsCapacity %v", weights, c.WeightIsSize, c.WeightIsCapacity)
		}
	}
}

// TestReports checks which signals caches report. With "all" and "hit", and by default, reports distinguish hits from
// fills. Only with "all" they contain the time to the first byte.
func TestReports(t *testing.T) {
	for tells, want := range map[string][2]bool{"all": {true, true}, "hit": {true, false}, "off": {false, false},
		"": {true, false}} {
		got, err := Parse([]byte(`{"classes":[` + validKind + `],"specifics":{"tells":"` + tells + `"}}`))
		if err != nil {
			t.Fatal(err)
		}
		if c := got.Router; c.ReportsHits != want[0] || c.ReportsFirstByte != want[1] {
			t.Errorf("tells %q: ReportsHits %v, ReportsFirstByte %v", tells, c.ReportsHits, c.ReportsFirstByte)
		}
	}
}

// TestUnknownValues checks that an unknown word for the reports of caches or the meaning of weights is an error. Parse
// must not accept it and turn the signals off.
func TestUnknownValues(t *testing.T) {
	for _, bad := range []string{`"specifics":{"tells":"some"}`, `"weights":"exact"`} {
		if _, err := Parse([]byte(`{"classes":[` + validKind + `],` + bad + `}`)); err == nil {
			t.Errorf("Parse accepts %s", bad)
		}
	}
}
