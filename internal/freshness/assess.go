// Package freshness assesses an endpoint list that was stored on disk: how far each entry may be relied on, from its age, its source, how
// long entries of this list have lasted so far, and how many of them responded or failed since the start. It does no I/O, keeps no clock and
// holds nothing but counts. Which cache gets a lookup is decided by the policy, which gets an entry's confidence with its row of the list.
package freshness

import (
	"math"
	"time"
)

// Confidence is how far an entry is relied on, best first.
type Confidence int

const (
	Confirmed   Confidence = iota // fully: its responses show that it has not restarted since the list was stored
	OnProbation                   // as a cache that has just started: little at first, more as it bears it
	Suspect                       // with probes only, until one succeeds
	Excluded                      // not at all
)

// String returns the word that the list command prints.
func (c Confidence) String() string {
	return [...]string{"trusted", "on trial", "doubted", "barred"}[c]
}

const (
	// Until a list's own history shows more, entries are taken to leave at the rate of priorDepartures in priorHours cache-hours: a fleet
	// that is replaced about every 17 days.
	priorDepartures = 1.0
	priorHours      = 400.0

	priorWeight = 4.0 // the prior counts as so many entries that responded or failed

	// Least probabilities that an entry is still valid. Below suspectThreshold it is excluded.
	probationThreshold = 0.5
	suspectThreshold   = 0.05

	importedFactor = 0.8                 // of the probability, for entries of an operator's file
	unknownAge     = 30 * 24 * time.Hour // assumed where the age cannot be known
	maxClockSkew   = 10 * time.Second    // a list from further in the future has a clock that cannot be relied on
)

// History is what is known of the complete list.
type History struct {
	CacheHours float64 // that it was watched
	Departures int     // caches that left it in these hours
	Responded  int     // entries that responded since the start
	Failed     int     // entries that failed since the start
}

// Evidence is what is known of one entry.
type Evidence struct {
	Age       time.Duration // since the list was last current with it; below 0: it is from the future
	Imported  bool          // from an operator's file, not confirmed by discovery
	Ejected   bool          // it was ejected when the list was stored
	Withdrawn bool          // discovery reported that it drains or was removed
	Responded bool          // it responded since the start
	Failed    bool          // it refused connections, was silent or was no cache of this list since the start
}

// ValidProbability estimates whether an entry is still valid: the probability that a cache lasts that long at this list's rate of departures,
// corrected by how many of the entries used so far were valid.
func ValidProbability(history History, age time.Duration) float64 {
	switch {
	case age < -maxClockSkew:
		age = unknownAge
	case age < 0:
		age = 0
	}
	departuresPerHour := (priorDepartures + float64(max(0, history.Departures))) / (priorHours + max(0, history.CacheHours))
	survival := math.Exp(-departuresPerHour * age.Hours())
	return (float64(history.Responded) + priorWeight*survival) / (float64(history.Responded+history.Failed) + priorWeight)
}

// Assess returns how far an entry is relied on, and the share of a warm cache's work that it may get at first.
func Assess(history History, evidence Evidence) (confidence Confidence, share float64) {
	if evidence.Withdrawn {
		return Excluded, 0
	}
	if evidence.Failed {
		return Suspect, 0
	}
	if evidence.Responded { // it is there, but it may have restarted and be empty
		return OnProbation, 1
	}
	if evidence.Ejected {
		return Suspect, 0
	}
	valid := ValidProbability(history, evidence.Age)
	if evidence.Imported {
		valid *= importedFactor
	}
	switch {
	case valid >= probationThreshold:
		return OnProbation, valid
	case valid >= suspectThreshold:
		return Suspect, valid
	}
	return Excluded, 0
}
