// Package freshness weighs a list of caches that was kept on disk: how far each entry may be relied on, from its age, its
// source, how long entries of this list have lasted so far, and how many of them have proved right or wrong since the
// start. It does no I/O and keeps nothing but counts; which cache gets a lookup is decided by the module, which is told of
// a doubt by the inputs it has: a late start (it bears little and gains) and a doubt (it gets trials only).
package freshness

import (
	"math"
	"time"
)

// Confidence is how far an entry is relied on, best first.
type Confidence int

const (
	Confirmed   Confidence = iota // as told now: what it answered shows that it has not started anew
	OnProbation                   // as one that has just started: little at first, more as it bears it
	Suspect                       // trials only, until one succeeds
	Excluded                      // nothing
)

func (s Confidence) String() string {
	return [...]string{"trusted", "on trial", "doubted", "barred"}[s]
}

const (
	priorDepartures    = 1.0                 // what is taken for seen of any list before its own changes tell more: so many departures
	priorHours         = 400.0               // in so many cache-hours: a fleet replaced about every 17 days
	priorWeight        = 4.0                 // the prior counts as so many entries among those that proved right or wrong
	probationThreshold = 0.5                 // the chance that an entry still holds from which it is on trial, and the one from which it is doubted;
	suspectThreshold   = 0.05                // below it is barred
	unknownAge         = 30 * 24 * time.Hour // what an age that cannot be told is taken for
	maxClockSkew       = 10 * time.Second    // a list from so far in the future has a clock that cannot be relied on
)

// History is what is known of the list as a whole.
type History struct {
	CacheHours float64 // cache-hours that it was watched
	Departures int     // caches that left it meanwhile
	Responded  int     // entries that proved right since the start, and wrong
	Failed     int
}

// Evidence is what is known of one entry.
type Evidence struct {
	Age       time.Duration // since the list last stood with it; below 0: it is from the future
	Imported  bool          // by a file, with no word of a bulletin
	Ejected   bool          // it was out when the list was kept
	Withdrawn bool          // told that it drains or is gone
	Responded bool          // it has answered since the start
	Failed    bool          // refused, silent or a stranger since the start
}

// ValidProbability is the chance that an entry still holds: of a cache that leaves at the rate seen of this list, corrected by how
// many of the entries tried so far held.
func ValidProbability(l History, age time.Duration) float64 {
	switch {
	case age < -maxClockSkew:
		age = unknownAge
	case age < 0:
		age = 0
	}
	rate := (priorDepartures + float64(max(0, l.Departures))) / (priorHours + max(0, l.CacheHours))
	p := math.Exp(-rate * age.Hours())
	return (float64(l.Responded) + priorWeight*p) / (float64(l.Responded+l.Failed) + priorWeight)
}

// Assess gives an entry's standing and its budget: the part of a warm cache's work that it may be given at first.
func Assess(l History, e Evidence) (Confidence, float64) {
	if e.Withdrawn {
		return Excluded, 0
	}
	if e.Failed {
		return Suspect, 0
	}
	p := ValidProbability(l, e.Age)
	if e.Imported {
		p *= 0.8
	}
	if e.Responded {
		// It answers under its address; whether it is warm is not known, since it may have started anew.
		return OnProbation, 1
	}
	switch {
	case e.Ejected:
		return Suspect, 0
	case p >= probationThreshold:
		return OnProbation, p
	case p >= suspectThreshold:
		return Suspect, p
	}
	return Excluded, 0
}
