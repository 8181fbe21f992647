package simadapter

import (
	"strings"
	"testing"
)

const up = `UP gateway/0 77 {"classes":[{"aim":400000,"deadline":5000000,"effect":"idempotent"}],"novel":[1],` +
	`"ceilings":{"try_limit":6,"cancelling":true},` +
	`"specifics":{"parent_kind":1,"source_kind":2,"flow_kb_per_s":1000}}` +
	"\nVIEW gateway/0 0 cached 2\nCACHE cache.a 0 0 0 ready 1 -\nCACHE cache.o 0 2 0 ready 1 -\n"

func serve(batches ...string) (string, error) {
	var out strings.Builder
	err := Serve(strings.NewReader(strings.Join(batches, "")), &out)
	return out.String(), err
}

func TestLegalInput(t *testing.T) {
	for name, story := range map[string]struct{ in, want string }{
		"an empty batch": {"MARK 5\nFLUSH\n", "YIELD\n"},
		"a lookup is sent and filled": {"MARK 5\n" + up + "ASK gateway/0 0a 0 1 900000 0 0 f-x 64 - 0\nFLUSH\n",
			"SERVE_OR_FILL gateway/0 0a 1 0 cache.o cache.a 899995 0"},
		"unknown ids on endings and departures": {"MARK 5\n" + up + "ABANDONED gateway/0 0b\n" +
			"RESULT gateway/0 0b 1 1 5 0 - 1 cache.a -\nFLUSH\n", "WAKE_ME gateway/0 10000 0\nYIELD\n"},
		"killed and started in one batch": {"MARK 5\n" + up + "FLUSH\nMARK 9\nSTOP gateway/0\n" + up + "FLUSH\n",
			"YIELD\nWAKE_ME gateway/0 10000 0\nYIELD\n"},
	} {
		if got, err := serve(story.in); err != nil || !strings.Contains(got, story.want) {
			t.Errorf("%s: %v\n%s", name, err, got)
		}
	}
}

func TestBadInput(t *testing.T) {
	for name, story := range map[string]struct{ in, want string }{
		"no batch":         {"HELLO\n", "line 1: message \"HELLO\", expected MARK"},
		"a bad clock":      {"MARK soon\n", "line 1: MARK: clock is \"soon\", expected a whole number"},
		"too few values":   {"MARK 5\n" + up + "ELAPSED gateway/0\n", "line 6: ELAPSED: mark is missing"},
		"too many values":  {"MARK 5\n" + up + "ELAPSED gateway/0 1 2\n", "left over"},
		"a truncated line": {"MARK 5\nFLU", "line 2: the line is cut short"},
		"a cut batch":      {"MARK 5\n", "input ends within a batch"},
		"a stranger":       {"MARK 5\nELAPSED gateway/9 1\n", "has not been started"},
		"bad settings":     {"MARK 5\nUP gateway/0 1 {\"classes\":3}\n", "line 2: UP: boot_info"},
		"a bad outcome":    {"MARK 5\n" + up + "RESULT gateway/0 0b 12 0 5 0 - 1 cache.a -\n", "from 1 to 9"},
		"an unknown class": {"MARK 5\n" + up + "ASK gateway/0 0a 0 1 900000 4 0 f-x 64 - 0\n", "profile 4"},
	} {
		if _, err := serve(story.in); err == nil || !strings.Contains(err.Error(), story.want) {
			t.Errorf("%s: %v, expected %q", name, err, story.want)
		}
	}
}
