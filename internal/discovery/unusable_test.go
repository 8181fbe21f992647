package discovery

import (
	"fmt"
	"testing"
	"time"
)

// handleSessionLines gives a watch lines of sessions, and returns the reasons why sessions ended. After each a new one begins.
func handleSessionLines(w *Watch, lines ...string) (reasons []string) {
	for _, line := range lines {
		if reason := w.handleSessionLine([]byte(line)); reason != "" {
			reasons = append(reasons, reason)
			w.unusable.beginSession()
		}
	}
	return reasons
}

func purgeLine(number int64) string {
	return fmt.Sprintf(`{"no":%d,"recall":{"item":"o%d","issued":%d}}`, number, number, time.Now().UnixMilli())
}

// TestDamagedLinesLoseNoEvent guards against a purge or a drain that is taken for one already held, as a second damaged line, which was no
// event, had counted as one.
func TestDamagedLinesLoseNoEvent(t *testing.T) {
	for name, damaged := range map[string][]string{
		"two that differ":           {"\x00\x00", "}"},
		"the same, twice":           {"}", "}"},
		"the same, often":           {"}", "}", "}", "}"},
		"the event itself, damaged": {`{"no":41,"recal`, `{"no":41,"re}all`},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestWatch(t)
			handleSessionLines(w, damaged...)
			if w.LastEvent != 40 {
				t.Errorf("event %d counts as held, and none came", w.LastEvent)
			}
			if reasons := handleSessionLines(w, purgeLine(41), "41"); len(reasons) > 0 || w.LastEvent != 41 {
				t.Errorf("sessions ended: %v, last event %d", reasons, w.LastEvent)
			}
			if issuedAt, _ := w.purges.InForce("o41", 0); issuedAt.IsZero() {
				t.Error("the purge is lost")
			}
		})
	}
}

// TestUnusableEventsDoNotHoldUpOthers guards against a watch that asks for an event that cannot be used again and again.
func TestUnusableEventsDoNotHoldUpOthers(t *testing.T) {
	const first, second = `{"no":41,"roster":{"members":[{"id":"","phase":"up"}]}}`, `{"no":42,"roster":"none"}`
	w := newTestWatch(t)
	if reasons := handleSessionLines(w, first, first, second, first, second, purgeLine(43)); len(reasons) != 2 || w.LastEvent != 43 {
		t.Errorf("sessions ended: %v, last event %d", reasons, w.LastEvent)
	}
	w = newTestWatch(t)
	if reasons := handleSessionLines(w, first, first, "41"); len(reasons) != 1 || w.LastEvent != 41 {
		t.Errorf("the number of the last event there is: sessions ended: %v, last event %d", reasons, w.LastEvent)
	}
	w = newTestWatch(t)
	if reasons := handleSessionLines(w, first, first, purgeLine(43)); len(reasons) != 2 || reasons[1] != "gap" || w.LastEvent != 40 {
		t.Errorf("an event after one that is missing: sessions ended: %v, last event %d", reasons, w.LastEvent)
	}
}
