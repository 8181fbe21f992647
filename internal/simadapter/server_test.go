package simadapter

import (
	"strings"
	"testing"
)

// startInput is the input that starts a gateway with one edge cache and one origin.
const startInput = `UP gateway/0 77 {"classes":[{"aim":400000,"deadline":5000000,"effect":"idempotent"}],"novel":[1],` +
	`"ceilings":{"try_limit":6,"cancelling":true},` +
	`"specifics":{"parent_kind":1,"source_kind":2,"flow_kb_per_s":1000}}` +
	"\nVIEW gateway/0 0 cached 2\nCACHE cache.a 0 0 0 ready 1 -\nCACHE cache.o 0 2 0 ready 1 -\n"

// serve passes the batches to Serve and returns the output.
func serve(batches ...string) (string, error) {
	var out strings.Builder
	err := Serve(strings.NewReader(strings.Join(batches, "")), &out)
	return out.String(), err
}

// TestValidInput checks the output for batches that a simulator may send.
func TestValidInput(t *testing.T) {
	for name, test := range map[string]struct{ in, want string }{
		"an empty batch": {"MARK 5\nFLUSH\n", "YIELD\n"},
		"an attempt of a lookup": {"MARK 5\n" + startInput + "ASK gateway/0 0a 0 1 900000 0 0 f-x 64 - 0\nFLUSH\n",
			"SERVE_OR_FILL gateway/0 0a 1 0 cache.o cache.a 899995 0"},
		"unknown ids, as of lookups that have ended": {"MARK 5\n" + startInput + "ABANDONED gateway/0 0b\n" +
			"RESULT gateway/0 0b 1 1 5 0 - 1 cache.a -\nFLUSH\n", "WAKE_ME gateway/0 10000 0\nYIELD\n"},
		"a gateway stopped and started in one batch": {"MARK 5\n" + startInput + "FLUSH\nMARK 9\nSTOP gateway/0\n" + startInput + "FLUSH\n",
			"YIELD\nWAKE_ME gateway/0 10000 0\nYIELD\n"},
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := serve(test.in); err != nil || !strings.Contains(got, test.want) {
				t.Errorf("got error %v and output\n%s", err, got)
			}
		})
	}
}

// TestInvalidInput checks that invalid input is rejected with an error that names the line and the field.
func TestInvalidInput(t *testing.T) {
	for name, test := range map[string]struct{ in, want string }{
		"no batch":           {"HELLO\n", "line 1: message \"HELLO\", expected MARK"},
		"an invalid clock":   {"MARK soon\n", "line 1: MARK: clock is \"soon\", expected a whole number"},
		"too few values":     {"MARK 5\n" + startInput + "ELAPSED gateway/0\n", "line 6: ELAPSED: mark is missing"},
		"too many values":    {"MARK 5\n" + startInput + "ELAPSED gateway/0 1 2\n", "left over"},
		"a truncated line":   {"MARK 5\nFLU", "line 2: the line is cut short"},
		"a truncated batch":  {"MARK 5\n", "input ends within a batch"},
		"an unknown gateway": {"MARK 5\nELAPSED gateway/9 1\n", "has not been started"},
		"invalid settings":   {"MARK 5\nUP gateway/0 1 {\"classes\":3}\n", "line 2: UP: boot_info"},
		"an invalid outcome": {"MARK 5\n" + startInput + "RESULT gateway/0 0b 12 0 5 0 - 1 cache.a -\n", "from 1 to 9"},
		"an unknown class":   {"MARK 5\n" + startInput + "ASK gateway/0 0a 0 1 900000 4 0 f-x 64 - 0\n", "profile 4"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := serve(test.in); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want one that contains %q", err, test.want)
			}
		})
	}
}
