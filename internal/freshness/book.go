package freshness

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A cache that answers may have started anew since the list was kept. Hits tell a warm one: it finds what is asked for
	// about two and a half times as often as one that has just started and holds what was filled since, and so it misses
	// less than half as often. A parent is asked by many caches: one that has started anew soon finds half, a warm one
	// nearly all, so that a miss says most.
	hitFactor, missFactor             = 2.5, 0.4
	parentHitFactor, parentMissFactor = 1.5, 0.1

	hitEvidenceWindow = 6 * time.Second // hits from later on say nothing

	maxInitialOdds       = 3.0  // before its first answer no entry is taken for warm by more than 3 to 1, however young the list
	confirmedOdds        = 99.0 // from here on it is warm
	clearlyWarmOdds      = 10.0 // from here on it counts as one that was found warm, below 1/likeCold as one that started anew:
	clearlyRestartedOdds = 5.0  // what happened to some has most likely happened to others
	maxPeerFactor        = 9.0  // how far they count, either way
	failuresUntilFailed  = 2    // so many broken sends in a row, with no answer before, prove an entry wrong
)

// Observation is what was seen of an entry by one send.
type Observation int

const (
	Hit      Observation = iota // answered from a copy it held
	Miss                        // answered, and had no copy
	Response                    // answered otherwise: it is there
	Failure                     // refused, reset, spoilt or silent
)

// Assessment is how far an entry is relied on from now on.
type Assessment struct {
	ID         string
	Confidence Confidence // one that is not Trusted counts as started when this process was
}

// Tracker follows the entries of one list from the start until the bulletin comes. Its owner is the goroutine that asks for
// verdicts; whoever calls it holds that owner's lock. It is bounded by the list.
type Tracker struct {
	history   History
	entries   []*entry // by id
	byID      map[string]*entry
	startedAt time.Time
}

type entry struct {
	id         string
	evidence   Evidence
	parent     bool
	odds       float64 // that it is warm, once it has answered
	failures   int     // in a row, before the first answer
	reported   Assessment
	isReported bool
}

// NewTracker opens a book on a list; the entries' ages are as of now.
func NewTracker(list History, now time.Time) *Tracker {
	return &Tracker{history: list, byID: map[string]*entry{}, startedAt: now}
}

// Add adds an entry, of an edge or a parent.
func (b *Tracker) Add(id string, parent bool, its Evidence) {
	if b.byID[id] != nil {
		return
	}
	e := &entry{id: id, parent: parent, evidence: its}
	p := ValidProbability(b.history, its.Age)
	e.odds = min(maxInitialOdds, p/max(1e-9, 1-p))
	b.byID[id] = e
	at, _ := slices.BinarySearchFunc(b.entries, e, func(a, b *entry) int { return cmp.Compare(a.id, b.id) })
	b.entries = slices.Insert(b.entries, at, e)
}

// Observe takes what a send showed of an entry.
func (b *Tracker) Observe(id string, what Observation, now time.Time) {
	e := b.byID[id]
	if e == nil {
		return
	}
	if what == Failure {
		if e.failures++; e.failures >= failuresUntilFailed && !e.evidence.Responded && !e.evidence.Failed {
			e.evidence.Failed = true
			b.history.Failed++
		}
		return
	}
	if e.failures = 0; !e.evidence.Responded {
		e.evidence.Responded = true
		if b.history.Responded++; e.evidence.Failed { // it was slow to come
			e.evidence.Failed = false
			b.history.Failed--
		}
	}
	switch {
	case what == Hit && e.parent:
		e.odds *= b.fadedFactor(parentHitFactor, now)
	case what == Hit:
		e.odds *= b.fadedFactor(hitFactor, now)
	case what == Miss && e.parent:
		e.odds *= parentMissFactor
	case what == Miss:
		e.odds *= missFactor
	}
}

// fadedFactor is what a hit says by now: less and less, since a cache that started anew fills up meanwhile.
func (b *Tracker) fadedFactor(says float64, now time.Time) float64 {
	return 1 + (says-1)*max(0, 1-now.Sub(b.startedAt).Seconds()/hitEvidenceWindow.Seconds())
}

// Count is how many entries are relied on how far, and how many proved right and wrong.
func (b *Tracker) Count() (by [4]int, right, wrong int) {
	for _, e := range b.entries {
		by[e.reported.Confidence]++
	}
	return by, b.history.Responded, b.history.Failed
}

// Changes gives those that have changed since they were last asked for, by id; at first all. What a list says of one
// entry is worth less the more of its others proved wrong.
func (b *Tracker) Changes() (changed []Assessment) {
	warm, cold := 1.0, 1.0
	for _, e := range b.entries {
		if e.odds >= clearlyWarmOdds {
			warm++
		} else if e.evidence.Responded && e.odds <= 1/clearlyRestartedOdds {
			cold++
		}
	}
	like := max(1/maxPeerFactor, min(maxPeerFactor, warm/cold))
	for _, e := range b.entries {
		v := Assessment{ID: e.id}
		v.Confidence, _ = Assess(b.history, e.evidence)
		if v.Confidence == OnProbation && e.evidence.Responded && (e.odds*like >= confirmedOdds || e.reported.Confidence == Confirmed && e.isReported) {
			v.Confidence = Confirmed // and stays so
		}
		if e.isReported && v == e.reported {
			continue
		}
		e.reported, e.isReported = v, true
		changed = append(changed, v)
	}
	return changed
}
