package freshness

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A cache that responds may have restarted since the list was stored. Hits show a warm one: it finds what is requested about two and a
	// half times as often as one that has just started, and so it misses less than half as often. Of a parent many caches request: one that
	// has restarted soon finds half, a warm one nearly all, so that a miss shows most. Each factor multiplies the odds that a cache is warm.
	hitFactor        = 2.5
	missFactor       = 0.4
	parentHitFactor  = 1.5
	parentMissFactor = 0.1

	hitEvidenceWindow = 6 * time.Second // after the start; a restarted cache has filled up by then, and hits show nothing

	maxInitialOdds = 3.0  // of an entry being warm before its first response, however young the list
	confirmedOdds  = 99.0 // from which an entry counts as warm

	// Entries that are clearly warm or clearly restarted change the odds of all others: what happened to some has most likely happened to
	// others. They do so by at most maxPeerFactor, either way.
	clearlyWarmOdds      = 10.0
	clearlyRestartedOdds = 1 / 5.0
	maxPeerFactor        = 9.0

	failuresUntilFailed = 2 // in a row, with no response before
)

// Observation is what one attempt showed of an entry.
type Observation int

const (
	Hit      Observation = iota // it responded from a copy that it had
	Miss                        // it responded and had no copy
	Response                    // it responded otherwise
	Failure                     // it refused the connection, broke it, sent what cannot be read, or was silent
)

// Assessment is how far an entry is relied on from now on.
type Assessment struct {
	ID         string
	Confidence Confidence
}

// Tracker follows the entries of one stored list from the start until discovery has reported its list. It is bounded by the list and not safe
// for concurrent use.
type Tracker struct {
	history   History
	entries   []*entry // by id
	byID      map[string]*entry
	startedAt time.Time
}

type entry struct {
	id         string
	evidence   Evidence
	isParent   bool
	odds       float64 // that it is warm, given that it is valid
	failures   int     // in a row
	reported   Assessment
	isReported bool
}

// NewTracker returns a tracker of a list. The entries' ages are as of now.
func NewTracker(history History, now time.Time) *Tracker {
	return &Tracker{history: history, byID: map[string]*entry{}, startedAt: now}
}

// Add adds an entry if its id is not known.
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

// Observe takes what an attempt showed of an entry. Unknown ids are ignored.
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

// recordFailure counts a failure. An entry that has responded stays so: what it does from then on is the policy's to assess.
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
	if e.evidence.Failed { // it was only slow
		e.evidence.Failed = false
		t.history.Failed--
	}
}

// decayedFactor lets a hit's factor fall to 1 over hitEvidenceWindow.
func (t *Tracker) decayedFactor(factor float64, now time.Time) float64 {
	return 1 + (factor-1)*max(0, 1-now.Sub(t.startedAt).Seconds()/hitEvidenceWindow.Seconds())
}

// Counts are the entries of a list by confidence, as last reported, and those that responded or failed.
type Counts struct {
	ByConfidence [Excluded + 1]int
	Responded    int
	Failed       int
}

// Counts returns the entries' counts.
func (t *Tracker) Counts() Counts {
	counts := Counts{Responded: t.history.Responded, Failed: t.history.Failed}
	for _, e := range t.entries {
		counts.ByConfidence[e.reported.Confidence]++
	}
	return counts
}

// Changes returns the assessments that have changed since the last call, by id; at first all.
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

// assess returns an entry's confidence. One that was confirmed stays so as long as it is valid.
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

// peerFactor returns the factor by which the entries that are clearly warm or clearly restarted change the odds of all.
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
