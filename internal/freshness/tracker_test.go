package freshness

import (
	"testing"
	"time"
)

var startTime = time.Unix(1764576000, 0)

var youngEvidence = Evidence{Age: time.Minute}

// newTestTracker returns a tracker of the given number of edges, which are named a, b and so on, and of a parent p.
func newTestTracker(history History, edges int, evidence Evidence) *Tracker {
	tracker := NewTracker(history, startTime)
	for i := range edges {
		tracker.Add(string(rune('a'+i)), false, evidence)
	}
	tracker.Add("p", true, evidence)
	return tracker
}

// observe passes the same observation to the tracker several times, at the given time after the start.
func observe(tracker *Tracker, id string, observation Observation, times int, after time.Duration) {
	for range times {
		tracker.Observe(id, observation, startTime.Add(after))
	}
}

func requireConfidence(t *testing.T, tracker *Tracker, id string, want Confidence) {
	t.Helper()
	tracker.Changes()
	if got := tracker.byID[id].reported.Confidence; got != want {
		t.Errorf("confidence in %s is %v, want %v", id, got, want)
	}
}

func requireCounts(t *testing.T, tracker *Tracker, responded, failed int) {
	t.Helper()
	if counts := tracker.Counts(); counts.Responded != responded || counts.Failed != failed {
		t.Errorf("got counts %+v, want %d responded and %d failed", counts, responded, failed)
	}
}

func TestHitsConfirm(t *testing.T) {
	t.Run("an entry of a new list is not confirmed before it responds", func(t *testing.T) {
		tracker := newTestTracker(History{CacheHours: 1e6}, 3, Evidence{Age: time.Millisecond})
		requireConfidence(t, tracker, "a", OnProbation)
	})
	t.Run("hits without a miss confirm a cache, and later misses do not change that", func(t *testing.T) {
		tracker := newTestTracker(History{}, 3, youngEvidence)
		observe(tracker, "a", Hit, 5, time.Second)
		requireConfidence(t, tracker, "a", Confirmed)
		observe(tracker, "a", Miss, 5, time.Second)
		requireConfidence(t, tracker, "a", Confirmed)
	})
	t.Run("hits mixed with misses do not confirm a cache", func(t *testing.T) {
		tracker := newTestTracker(History{}, 3, youngEvidence)
		for range 10 {
			observe(tracker, "a", Hit, 1, time.Second)
			observe(tracker, "a", Miss, 1, time.Second)
		}
		requireConfidence(t, tracker, "a", OnProbation)
	})
	t.Run("late hits do not confirm a cache, since an empty one has filled by then", func(t *testing.T) {
		tracker := newTestTracker(History{}, 3, youngEvidence)
		observe(tracker, "a", Hit, 100, hitEvidenceWindow)
		requireConfidence(t, tracker, "a", OnProbation)
	})
	t.Run("a parent needs more hits, and one miss outweighs many", func(t *testing.T) {
		tracker := newTestTracker(History{}, 3, youngEvidence)
		observe(tracker, "p", Hit, 5, 0)
		requireConfidence(t, tracker, "p", OnProbation)
		observe(tracker, "p", Miss, 1, 0)
		observe(tracker, "p", Hit, 5, 0)
		requireConfidence(t, tracker, "p", OnProbation)
	})
	t.Run("clear evidence about some entries counts for the others", func(t *testing.T) {
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
	t.Run("two in a row make an entry suspect, and a response reverts that", func(t *testing.T) {
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
	t.Run("failures after a response do not mark an entry as failed", func(t *testing.T) {
		tracker := newTestTracker(History{}, 3, youngEvidence)
		observe(tracker, "a", Response, 1, 0)
		observe(tracker, "a", Failure, 9, 0)
		requireCounts(t, tracker, 1, 0)
	})
	t.Run("failures of many entries make the others suspect", func(t *testing.T) {
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
	tracker.Add("a", false, Evidence{Withdrawn: true}) // already known
	requireChanges(0)
}
