package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// handleSessionLines lets a watch handle lines and returns the reasons of the sessions that
// ended. After each end a new session begins.
func handleSessionLines(w *Watch, lines ...string) (reasons []string) {
	current := newTestSession(w)
	for _, line := range lines {
		if reason := w.handleSessionLine(current, []byte(line)); reason != "" {
			reasons = append(reasons, reason)
			current = newTestSession(w)
		}
	}
	return reasons
}

func purgeLine(number int64) string {
	return fmt.Sprintf(`{"no":%d,"recall":{"item":"o%d","issued":%d}}`, number, number, time.Now().UnixMilli())
}

// TestDamagedLinesLoseNoEvent guards against the loss of a purge or a drain. The fault was that a
// second damaged line, which is not an event, counted as an event. The next event then had a number
// that counted as applied, and was skipped.
func TestDamagedLinesLoseNoEvent(t *testing.T) {
	for name, damaged := range map[string][]string{
		"two different lines":   {"\x00\x00", "}"},
		"a line twice":          {"}", "}"},
		"a line four times":     {"}", "}", "}", "}"},
		"the event was damaged": {`{"no":41,"recal`, `{"no":41,"re}all`},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestWatch(t)
			handleSessionLines(w, damaged...)
			if w.LastEvent != 40 {
				t.Errorf("last event %d, expected 40, as no event was received", w.LastEvent)
			}
			if reasons := handleSessionLines(w, purgeLine(41), "41"); len(reasons) > 0 || w.LastEvent != 41 {
				t.Errorf("sessions ended with %v, last event %d, expected no end and last event 41", reasons, w.LastEvent)
			}
			if issuedAt, _ := w.purges.InForce("o41", 0); issuedAt.IsZero() {
				t.Error("the purge of event 41 was not applied")
			}
		})
	}
}

// TestUnusableEventsDoNotHoldUpOthers guards against a watch that requests an invalid event again and
// again and never reaches the events after it.
func TestUnusableEventsDoNotHoldUpOthers(t *testing.T) {
	const first, second = `{"no":41,"roster":{"members":[{"id":"","phase":"up"}]}}`, `{"no":42,"roster":"none"}`
	w := newTestWatch(t)
	if reasons := handleSessionLines(w, first, first, second, first, second, purgeLine(43)); len(reasons) != 2 || w.LastEvent != 43 {
		t.Errorf("sessions ended with %v, last event %d, expected two ends and last event 43", reasons, w.LastEvent)
	}
	w = newTestWatch(t)
	if reasons := handleSessionLines(w, first, first, "41"); len(reasons) != 1 || w.LastEvent != 41 {
		t.Errorf("number line after an invalid event: sessions ended with %v, last event %d, expected one end and last event 41",
			reasons, w.LastEvent)
	}
	w = newTestWatch(t)
	if reasons := handleSessionLines(w, first, first, purgeLine(43)); len(reasons) != 2 || reasons[1] != "gap" || w.LastEvent != 40 {
		t.Errorf("event 43 without event 42: sessions ended with %v, last event %d, expected a gap and last event 40",
			reasons, w.LastEvent)
	}
}

// TestValidPartsOfAnInvalidEventAreApplied guards against a purge or a drain that is missed because the same event
// contains an endpoint that this gateway cannot use. The line counts as damaged until it is received again.
func TestValidPartsOfAnInvalidEventAreApplied(t *testing.T) {
	const valid = `{"id":"s-1","host_port":"10.1.0.9:10080","locality":"east","flavor":"std","cell":2,"phase":"draining","size":4}`
	const purge = `"recall":{"item":"o41","issued":1764576000123}`
	for name, c := range map[string]struct {
		line           string
		purged, listed bool
	}{
		"a purge and a drain beside an unknown machine type": {`{"no":41,"roster":{"members":[` + strings.Replace(valid, "std", "new", 1) + `,` + valid + `]},` + purge + `}`, true, true},
		"a purge beside a field of another type":             {`{"no":41,"roster":{"members":[{"id":7}]},` + purge + `}`, true, false},
		"a purge beside a list that is none":                 {`{"no":41,"roster":"none",` + purge + `}`, true, false},
		"a list beside an invalid purge":                     {`{"no":41,"roster":{"complete":true,"members":[` + valid + `]},"recall":{}}`, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestWatch(t)
			if reasons := handleSessionLines(w, c.line); len(reasons) != 1 || w.LastEvent != 40 || w.registry.Find("s-1") != nil {
				t.Errorf("received once: sessions ended with %v, last event %d; expected one end, last event 40 and no cache", reasons, w.LastEvent)
			}
			if reasons := handleSessionLines(w, c.line, "41"); len(reasons) > 0 || w.LastEvent != 41 {
				t.Errorf("received again: sessions ended with %v, last event %d; expected no end and last event 41", reasons, w.LastEvent)
			}
			if issuedAt, _ := w.purges.InForce("o41", 0); issuedAt.IsZero() == c.purged {
				t.Errorf("the purge was issued at %v, expected it to be applied: %v", issuedAt, c.purged)
			}
			if isListed := w.registry.Find("s-1") != nil; isListed != c.listed {
				t.Errorf("the cache is registered: %v, expected %v", isListed, c.listed)
			}
			if reasons := handleSessionLines(w, purgeLine(42)); len(reasons) > 0 || w.LastEvent != 42 {
				t.Errorf("the next event: sessions ended with %v, last event %d; expected no end and last event 42", reasons, w.LastEvent)
			}
		})
	}
	t.Run("after an invalid event without valid parts, both numbers are passed over", func(t *testing.T) {
		const invalid = `{"no":41,"roster":{"members":[{"id":"","phase":"up"}]}}`
		partly := `{"no":42,"roster":"none",` + purge + `}`
		w := newTestWatch(t)
		if reasons := handleSessionLines(w, invalid, invalid, partly, invalid, partly, purgeLine(43)); len(reasons) != 2 || w.LastEvent != 43 {
			t.Errorf("sessions ended with %v, last event %d; expected two ends and last event 43", reasons, w.LastEvent)
		}
		w = newTestWatch(t)
		handleSessionLines(w, partly)
		if handleSessionLines(w, partly); w.LastEvent != 40 {
			t.Errorf("last event %d after event 42 without event 41, expected 40", w.LastEvent)
		}
	})
}

// TestRejectedLinesPastTheirBound checks that a further line counts as repeated, so that a source whose invalid event
// has another form each time does not hold up the events after it.
func TestRejectedLinesPastTheirBound(t *testing.T) {
	var lines unusableLines
	now := time.Unix(0, 0)
	s := &session{startedAt: now}
	for i := range maxRejectedLines {
		if lines.add(fmt.Append(nil, "line ", i), 7, s, now) || lines.allowedGap(7, s) != 0 {
			t.Fatalf("line %d counts as repeated, want %d different ones", i, maxRejectedLines)
		}
	}
	if !lines.add([]byte("another"), 7, s, now) || lines.allowedGap(7, s) != 1 {
		t.Error("a line past the bound does not count as repeated")
	}
	if lines.add([]byte("another"), 8, s, now) || lines.allowedGap(8, s) != 0 {
		t.Error("the lines after one event count for the next one")
	}
}
