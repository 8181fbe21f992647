package freshness

import (
	"testing"
	"time"
)

var startTime = time.Unix(1764576000, 0)

var youngEvidence = Evidence{Age: time.Minute}

// newTestTracker tracks so many edges, named from a on, and a parent p.
func newTestTracker(history History, edges int, evidence Evidence) *Tracker {
	tracker := NewTracker(history, startTime)
	for i := range edges {
		tracker.Add(string(rune('a'+i)), false, evidence)
	}
	tracker.Add("p", true, evidence)
	return tracker
}

// observe makes the same observation a number of times, so long after the start.
func observe(tracker *Tracker, id string, observation Observation, times int, after time.Duration) {
	for range times {
		tracker.Observe(id, observation, startTime.Add(after))
	}
}

func requireConfidence(t *testing.T, tracker *Tracker, id string, want Confidence) {
	t.Helper()
	tracker.Changes()
	if got := tracker.byID[id].reported.Confidence; got != want {
		t.Errorf("%s is %v, want %v", id, got, want)
	}
}

func requireCounts(t *testing.T, tracker *Tracker, responded, failed int) {
	t.Helper()
	if counts := tracker.Counts(); counts.Responded != responded || counts.Failed != failed {
		t.Errorf("%+v, want %d that responded and %d that failed", counts, responded, failed)
	}
}

func TestHitsConfirm(t *testing.T) {
	t.Run("however young the list, nothing is confirmed before it has responded", func(t *testing.T) {
		tracker := newTestTracker(History{CacheHours: 1e6}, 3, Evidence{Age: time.Millisecond})
		requireConfidence(t, tracker, "a", OnProbation)
	})
	t.Run("hits without a miss confirm a cache, and it stays so", func(t *testing.T) {
		tracker := newTestTracker(History{}, 3, youngEvidence)
		observe(tracker, "a", Hit, 5, time.Second)
		requireConfidence(t, tracker, "a", Confirmed)
		observe(tracker, "a", Miss, 5, time.Second)
		requireConfidence(t, tracker, "a", Confirmed)
	})
	t.Run("hits among misses do not", func(t *testing.T) {
		tracker := newTestTracker(History{}, 3, youngEvidence)
		for range 10 {
			observe(tracker, "a", Hit, 1, time.Second)
			observe(tracker, "a", Miss, 1, time.Second)
		}
		requireConfidence(t, tracker, "a", OnProbation)
	})
	t.Run("nor do late hits: an empty cache has filled by then", func(t *testing.T) {
		tracker := newTestTracker(History{}, 3, youngEvidence)
		observe(tracker, "a", Hit, 100, hitEvidenceWindow)
		requireConfidence(t, tracker, "a", OnProbation)
	})
	t.Run("a parent needs more hits, and one miss undoes many", func(t *testing.T) {
		tracker := newTestTracker(History{}, 3, youngEvidence)
		observe(tracker, "p", Hit, 5, 0)
		requireConfidence(t, tracker, "p", OnProbation)
		observe(tracker, "p", Miss, 1, 0)
		observe(tracker, "p", Hit, 5, 0)
		requireConfidence(t, tracker, "p", OnProbation)
	})
	t.Run("what some showed counts for others", func(t *testing.T) {
		warm, restarted := newTestTracker(History{}, 8, youngEvidence), newTestTracker(History{}, 8, youngEvidence)
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			observe(warm, id, Hit, 6, 0)
			observe(restarted, id, Miss, 4, 0)
		}
		observe(warm, "f", Hit, 3, 0)
		observe(restarted, "f", Hit, 4, 0)
		requireConfidence(t, warm, "f", Confirmed)
		requireConfidence(t, restarted, "f", OnProbation)
	})
}

func TestFailures(t *testing.T) {
	t.Run("two in a row make an entry suspect, a response takes that back", func(t *testing.T) {
		tracker := newTestTracker(History{}, 3, youngEvidence)
		observe(tracker, "a", Failure, 1, 0)
		requireConfidence(t, tracker, "a", OnProbation)
		observe(tracker, "a", Failure, 5, 0)
		requireConfidence(t, tracker, "a", Suspect)
		requireCounts(t, tracker, 0, 1)
		observe(tracker, "a", Response, 1, 0)
		requireConfidence(t, tracker, "a", OnProbation)
		requireCounts(t, tracker, 1, 0)
	})
	t.Run("those of an entry that has responded are the policy's to assess", func(t *testing.T) {
		tracker := newTestTracker(History{}, 3, youngEvidence)
		observe(tracker, "a", Response, 1, 0)
		observe(tracker, "a", Failure, 9, 0)
		requireCounts(t, tracker, 1, 0)
	})
	t.Run("of many entries make the others suspect", func(t *testing.T) {
		tracker := newTestTracker(History{}, 12, Evidence{Age: 200 * time.Hour})
		requireConfidence(t, tracker, "l", OnProbation)
		for i := range 10 {
			observe(tracker, string(rune('a'+i)), Failure, 2, 0)
		}
		requireConfidence(t, tracker, "l", Suspect)
	})
}

func TestChangesAreReportedOnce(t *testing.T) {
	tracker := newTestTracker(History{}, 3, youngEvidence)
	requireChanges := func(want int) {
		t.Helper()
		if n := len(tracker.Changes()); n != want {
			t.Errorf("%d changes, want %d", n, want)
		}
	}
	requireChanges(4)
	requireChanges(0)
	tracker.Observe("unknown", Hit, startTime)
	tracker.Add("a", false, Evidence{Withdrawn: true}) // it is known
	requireChanges(0)
}
