// Package freshness assesses the entries of an endpoint list that was stored on disk. The confidence in an entry depends
// on its age, its source, the rate at which caches have left the list so far, and the number of entries that responded
// or failed since the start. The policy receives the confidence with each endpoint and decides which cache gets a
// lookup.
//
// The package does no I/O and reads no clock. Its only state is a Tracker, which holds counts and odds for the entries of
// one stored list until discovery has reported a list.
package freshness

import (
	"math"
	"time"
)

// Confidence is the degree to which an entry is relied on. The constants are in descending order.
type Confidence int

const (
	Confirmed   Confidence = iota // full load: its responses show that it has not restarted since the list was stored
	OnProbation                   // slow start: the load is low at first and rises as the cache handles it
	Suspect                       // probes only, until one succeeds
	Excluded                      // no load
)

// String returns the word that the list command prints.
func (c Confidence) String() string {
	return [...]string{"trusted", "on trial", "doubted", "barred"}[c]
}

const (
	// The departure rate assumed before the list's own history outweighs it is priorDepartures in priorHours
	// cache-hours. It corresponds to a fleet that is replaced about every 17 days.
	priorDepartures = 1.0
	priorHours      = 400.0

	priorWeight = 4.0 // weight of the estimate from the age, as a number of entries that responded or failed

	// Minimum probabilities that an entry is still valid, for OnProbation and for Suspect. Below suspectThreshold the
	// entry is excluded.
	probationThreshold = 0.5
	suspectThreshold   = 0.05

	importedFactor = 0.8                 // factor of the probability for entries from an operator's file
	unknownAge     = 30 * 24 * time.Hour // age assumed if the actual age is unknown
	maxClockSkew   = 10 * time.Second    // a list from further in the future was stored with an unreliable clock
)

// History holds the counts for the complete list.
type History struct {
	CacheHours float64 // sum over the caches of the hours for which the list was watched
	Departures int     // caches that left the list during CacheHours
	Responded  int     // entries that responded since the start
	Failed     int     // entries that failed since the start
}

// Evidence is the information about one entry.
type Evidence struct {
	Age       time.Duration // time since the list with the entry was last current; negative if that time is in the future
	Imported  bool          // read from an operator's file and not confirmed by discovery
	Ejected   bool          // ejected when the list was stored
	Withdrawn bool          // reported by discovery as draining or removed
	Responded bool          // responded since the start
	Failed    bool          // since the start refused connections, did not respond or was not a cache of this list
}

// ValidProbability returns the estimated probability that an entry is still valid. The estimate is the probability that
// a cache stays in the list for the given age at the list's departure rate, corrected by the share of the entries tried
// so far that responded.
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

// Assess returns the confidence in an entry and the share of a warm cache's load that may be admitted to it at first.
func Assess(history History, evidence Evidence) (confidence Confidence, share float64) {
	if evidence.Withdrawn {
		return Excluded, 0
	}
	if evidence.Failed {
		return Suspect, 0
	}
	if evidence.Responded { // the cache is up, but it may have restarted and be empty
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
