package settings

import (
	"strings"
	"testing"

	"foldslip/internal/policy"
)

func TestRead(t *testing.T) {
	text := `{"classes":[{"name":"a","aim":400000,"deadline":900000,"effect":"deduplicated","group":"zone"},{"name":"b","aim":1,"deadline":2,"effect":"idempotent"}],` +
		`"areas":["x"],"ceilings":{"max_retry_after":2000000,"retry_after":true},` +
		`"specifics":{"max_age":[8000000],"parent_kind":2}}`
	got, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	c := got.Router
	if a := c.Kinds[0]; a.Effect != policy.Deduplicated || a.DedupScope != policy.SameZone || a.LatencyBudget != 400000 ||
		a.MaxAge != 8000000 || c.Kinds[1].MaxAge != 0 || c.Kinds[1].Effect != policy.Idempotent {
		t.Errorf("%+v", c.Kinds)
	}
	if c.MaxAttempts != defaultMaxAttempts || got.DrainGrace != 0 {
		t.Errorf("%+v", got)
	}
	if c.ParentKind != 2 || c.OriginKind != -1 || c.MaxRetryAfter != 2000000 || c.CanCancel {
		t.Errorf("%+v", c)
	}
	if got.Kinds[1] != "b" || got.Zones[0] != "x" || got.ConnectTimeout != defaultConnectTimeout || got.MaxStreams != defaultMaxStreams {
		t.Errorf("%+v", got)
	}
	for name, bad := range map[string]string{
		"no deadline":           strings.Replace(text, `"deadline":2,`, "", 1),
		"a deadline of 0":       strings.Replace(text, `"deadline":2`, `"deadline":0`, 1),
		"no aim":                strings.Replace(text, `"aim":1,`, "", 1),
		"no effect":             strings.Replace(text, `,"effect":"idempotent"`, "", 1),
		"the protocol's word":   strings.Replace(text, "idempotent", "safe", 1),
		"no group":              strings.Replace(text, `,"group":"zone"`, "", 1),
		"one name twice":        strings.Replace(text, `"b"`, `"a"`, 1),
		"answers that stream":   strings.Replace(text, `"name":"b"`, `"name":"b","stream":true`, 1),
		"a zone that is none":   strings.Replace(text, `"areas"`, `"az":1,"areas"`, 1),
		"a parent that is none": strings.Replace(text, `"areas"`, `"machine_types":["edge"],"areas"`, 1),
		"a list by other means": strings.Replace(text, `"areas"`, `"discovery":"gossip","areas"`, 1),
		"sends below none":      strings.Replace(text, `"retry_after"`, `"try_limit":-1,"retry_after"`, 1),
		"a grace below none":    strings.Replace(text, `"areas"`, `"rules":{"stop_sending_within":-1},"areas"`, 1),
		"a purge's below none":  strings.Replace(text, `"max_age"`, `"obey_after":-1,"max_age"`, 1),
	} {
		if bad == text {
			t.Fatal(name)
		}
		if _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("%s: read", name)
		}
	}
	for _, bad := range []string{"", "[]", "{}", strings.Replace(text, "deduplicated", "odd", 1),
		strings.Replace(text, "zone", "odd", 1), strings.Replace(text, `"retry_after"`, `"max_streams":-1,"x"`, 1)} {
		if _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("%q is read", bad)
		}
	}
}

const one = `{"name":"a","aim":400000,"deadline":900000,"effect":"idempotent"}`

// Rough sizes weigh the hash of homes, as nominal ones do; only nominal ones stand for a link's transfers.
func TestWeights(t *testing.T) {
	for weights, want := range map[string][2]bool{"nominal": {true, true}, "rough": {true, false},
		"none": {false, false}, "live": {false, false}} {
		got, err := Parse([]byte(`{"classes":[` + one + `],"weights":"` + weights + `"}`))
		if err != nil {
			t.Fatal(err)
		}
		if c := got.Router; c.WeightIsSize != want[0] || c.WeightIsCapacity != want[1] {
			t.Errorf("%s: sized %v, weighted %v", weights, c.WeightIsSize, c.WeightIsCapacity)
		}
	}
}

// Hits are told apart from fills where answers tell all or hits; first bytes only where they tell all.
func TestTells(t *testing.T) {
	for tells, want := range map[string][2]bool{"all": {true, true}, "hit": {true, false}, "off": {false, false},
		"": {true, false}} {
		got, err := Parse([]byte(`{"classes":[` + one + `],"specifics":{"tells":"` + tells + `"}}`))
		if err != nil {
			t.Fatal(err)
		}
		if c := got.Router; c.ReportsHits != want[0] || c.ReportsFirstByte != want[1] {
			t.Errorf("%s: hits %v, first bytes %v", tells, c.ReportsHits, c.ReportsFirstByte)
		}
	}
}

// A word for what caches tell or what weights mean that is not known is an error, not a signal turned off.
func TestUnknownWords(t *testing.T) {
	for _, bad := range []string{`"specifics":{"tells":"some"}`, `"weights":"exact"`} {
		if _, err := Parse([]byte(`{"classes":[` + one + `],` + bad + `}`)); err == nil {
			t.Errorf("%s is read", bad)
		}
	}
}
