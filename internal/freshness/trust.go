// Package freshness weighs a list of caches that was kept on disk: how far each entry may be relied on, from its age, its
// source, how long entries of this list have lasted so far, and how many of them have proved right or wrong since the
// start. It does no I/O and keeps nothing but counts; which cache gets a lookup is decided by the module, which is told of
// a doubt by the inputs it has: a late start (it bears little and gains) and a doubt (it gets trials only).
package freshness

import (
	"math"
	"time"
)

// Standing is how far an entry is relied on, best first.
type Standing int

const (
	Trusted Standing = iota // as told now: what it answered shows that it has not started anew
	OnTrial                 // as one that has just started: little at first, more as it bears it
	Doubted                 // trials only, until one succeeds
	Barred                  // nothing
)

func (s Standing) String() string { return [...]string{"trusted", "on trial", "doubted", "barred"}[s] }

const (
	priorLeft  = 1.0                 // what is taken for seen of any list before its own changes tell more: so many departures
	priorHours = 400.0               // in so many cache-hours: a fleet replaced about every 17 days
	weight     = 4.0                 // the prior counts as so many entries among those that proved right or wrong
	trialFrom  = 0.5                 // the chance that an entry still holds from which it is on trial, and the one from which it is doubted;
	doubtFrom  = 0.05                // below it is barred
	unknownAge = 30 * 24 * time.Hour // what an age that cannot be told is taken for
	wrongClock = 10 * time.Second    // a list from so far in the future has a clock that cannot be relied on
)

// List is what is known of the list as a whole.
type List struct {
	Hours    float64 // cache-hours that it was watched
	Departed int     // caches that left it meanwhile
	Right    int     // entries that proved right since the start, and wrong
	Wrong    int
}

// Entry is what is known of one entry.
type Entry struct {
	Age      time.Duration // since the list last stood with it; below 0: it is from the future
	Imported bool          // by a file, with no word of a bulletin
	Ill      bool          // it was out when the list was kept
	Left     bool          // told that it drains or is gone
	Right    bool          // it has answered since the start
	Wrong    bool          // refused, silent or a stranger since the start
}

// Holds is the chance that an entry still holds: of a cache that leaves at the rate seen of this list, corrected by how
// many of the entries tried so far held.
func Holds(l List, age time.Duration) float64 {
	switch {
	case age < -wrongClock:
		age = unknownAge
	case age < 0:
		age = 0
	}
	rate := (priorLeft + float64(max(0, l.Departed))) / (priorHours + max(0, l.Hours))
	p := math.Exp(-rate * age.Hours())
	return (float64(l.Right) + weight*p) / (float64(l.Right+l.Wrong) + weight)
}

// Weigh gives an entry's standing and its budget: the part of a warm cache's work that it may be given at first.
func Weigh(l List, e Entry) (Standing, float64) {
	if e.Left {
		return Barred, 0
	}
	if e.Wrong {
		return Doubted, 0
	}
	p := Holds(l, e.Age)
	if e.Imported {
		p *= 0.8
	}
	if e.Right {
		// It answers under its address; whether it is warm is not known, since it may have started anew.
		return OnTrial, 1
	}
	switch {
	case e.Ill:
		return Doubted, 0
	case p >= trialFrom:
		return OnTrial, p
	case p >= doubtFrom:
		return Doubted, p
	}
	return Barred, 0
}
