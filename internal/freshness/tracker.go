package freshness

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A cache that responds may have restarted since the list was stored. Hits indicate a warm cache: its hit ratio is
	// about two and a half times that of a cache that has just started, and its miss ratio is less than half. A parent
	// gets requests from many caches. After a restart its hit ratio soon reaches a half, while that of a warm parent is
	// close to 1, so a miss is the strongest evidence. Each factor multiplies the odds that a cache is warm.
	hitFactor        = 2.5
	missFactor       = 0.4
	parentHitFactor  = 1.5
	parentMissFactor = 0.1

	hitEvidenceWindow = 6 * time.Second // after the start; later a restarted cache is full, and hits are no evidence

	maxInitialOdds = 3.0  // maximum odds that an entry is warm before its first response, even if the list is new
	confirmedOdds  = 99.0 // minimum odds at which an entry counts as warm

	// Entries that are clearly warm or clearly restarted change the odds of all entries, because an event that affected
	// some caches has most likely affected others. The change is at most maxPeerFactor in either direction.
	clearlyWarmOdds      = 10.0
	clearlyRestartedOdds = 1 / 5.0
	maxPeerFactor        = 9.0

	failuresUntilFailed = 2 // consecutive failures of an entry that has not responded
)

// Observation is the evidence that one attempt gives about an entry.
type Observation int

const (
	Hit      Observation = iota // it responded from its stored copy
	Miss                        // it responded but had no copy
	Response                    // it responded in any other way
	Failure                     // it refused or broke the connection, sent an unreadable response or did not respond
)

// Assessment is the current confidence in an entry.
type Assessment struct {
	ID         string
	Confidence Confidence
}

// Tracker assesses the entries of one stored list from the start until discovery has reported a list. Its size is
// bounded by the stored list. It is not safe for concurrent use.
type Tracker struct {
	history   History
	entries   []*entry // sorted by id
	byID      map[string]*entry
	startedAt time.Time
}

type entry struct {
	id         string
	evidence   Evidence
	isParent   bool
	odds       float64 // odds that the cache is warm, given that the entry is valid
	failures   int     // consecutive failures since the last response
	reported   Assessment
	isReported bool
}

// NewTracker returns a tracker without entries. now is the time at which the ages of its entries are measured.
func NewTracker(history History, now time.Time) *Tracker {
	return &Tracker{history: history, byID: map[string]*entry{}, startedAt: now}
}

// Add adds an entry unless its id is already known.
func (t *Tracker) Add(id string, isParent bool, evidence Evidence) {
	if t.byID[id] != nil {
		return
	}
	e := &entry{id: id, isParent: isParent, evidence: evidence}
	valid := ValidProbability(t.history, evidence.Age)
	e.odds = min(maxInitialOdds, valid/max(1e-9, 1-valid))
	t.byID[id] = e
	i, _ := slices.BinarySearchFunc(t.entries, e, func(a, b *entry) int { return cmp.Compare(a.id, b.id) })
	t.entries = slices.Insert(t.entries, i, e)
}

// Observe updates an entry with the observation of one attempt. It ignores unknown ids.
func (t *Tracker) Observe(id string, observation Observation, now time.Time) {
	e := t.byID[id]
	if e == nil {
		return
	}
	if observation == Failure {
		t.recordFailure(e)
		return
	}
	t.recordResponse(e)
	switch {
	case observation == Hit && e.isParent:
		e.odds *= t.decayedFactor(parentHitFactor, now)
	case observation == Hit:
		e.odds *= t.decayedFactor(hitFactor, now)
	case observation == Miss && e.isParent:
		e.odds *= parentMissFactor
	case observation == Miss:
		e.odds *= missFactor
	}
}

// recordFailure counts a failure. It never marks an entry as failed that has responded, because the policy assesses the
// entry from its first response on.
func (t *Tracker) recordFailure(e *entry) {
	e.failures++
	if e.failures >= failuresUntilFailed && !e.evidence.Responded && !e.evidence.Failed {
		e.evidence.Failed = true
		t.history.Failed++
	}
}

func (t *Tracker) recordResponse(e *entry) {
	e.failures = 0
	if e.evidence.Responded {
		return
	}
	e.evidence.Responded = true
	t.history.Responded++
	if e.evidence.Failed { // the cache was slow, not failed
		e.evidence.Failed = false
		t.history.Failed--
	}
}

// decayedFactor returns the factor of a hit, which decreases to 1 over hitEvidenceWindow.
func (t *Tracker) decayedFactor(factor float64, now time.Time) float64 {
	return 1 + (factor-1)*max(0, 1-now.Sub(t.startedAt).Seconds()/hitEvidenceWindow.Seconds())
}

// Counts holds the number of entries by their last reported confidence, and the numbers of entries that responded or
// failed.
type Counts struct {
	ByConfidence [Excluded + 1]int
	Responded    int
	Failed       int
}

// Counts returns the counts of the tracker's entries.
func (t *Tracker) Counts() Counts {
	counts := Counts{Responded: t.history.Responded, Failed: t.history.Failed}
	for _, e := range t.entries {
		counts.ByConfidence[e.reported.Confidence]++
	}
	return counts
}

// Changes returns the assessments that have changed since the last call, sorted by id. The first call returns all of
// them.
func (t *Tracker) Changes() (changed []Assessment) {
	factor := t.peerFactor()
	for _, e := range t.entries {
		assessment := Assessment{ID: e.id, Confidence: t.assess(e, factor)}
		if e.isReported && assessment == e.reported {
			continue
		}
		e.reported = assessment
		e.isReported = true
		changed = append(changed, assessment)
	}
	return changed
}

// assess returns the confidence in an entry. A confirmed entry stays confirmed as long as its evidence allows
// OnProbation, even if its odds decrease.
func (t *Tracker) assess(e *entry, peerFactor float64) Confidence {
	confidence, _ := Assess(t.history, e.evidence)
	if confidence != OnProbation || !e.evidence.Responded {
		return confidence
	}
	wasConfirmed := e.isReported && e.reported.Confidence == Confirmed
	if wasConfirmed || e.odds*peerFactor >= confirmedOdds {
		return Confirmed
	}
	return confidence
}

// peerFactor returns the factor by which the entries that are clearly warm or clearly restarted change the odds of all
// entries.
func (t *Tracker) peerFactor() float64 {
	warm, restarted := 1.0, 1.0
	for _, e := range t.entries {
		switch {
		case e.odds >= clearlyWarmOdds:
			warm++
		case e.evidence.Responded && e.odds <= clearlyRestartedOdds:
			restarted++
		}
	}
	return max(1/maxPeerFactor, min(maxPeerFactor, warm/restarted))
}
