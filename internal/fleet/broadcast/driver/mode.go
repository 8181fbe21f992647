package driver

import (
	"time"

	"foldslip/internal/fleet/broadcast"
)

const (
	behindThreshold    = 2 * time.Second // age of a gap that makes the mode behind: what is repaired at once is no news
	recoveredThreshold = 5 * time.Second // without such a gap, after which the mode is caught up: at most two log lines in that time
)

// Modes of the broadcast as the log and the operators' socket spell them.
const (
	modeBehind   = "behind"
	modeCaughtUp = "whole"
)

// lagDetector tells whether this gateway lacks purges for longer than repair usually takes. Under steady loss some gap is always open, each
// for a short time: that does not count. Times are in microseconds as Driver.now has them.
type lagDetector struct {
	isBehind       bool
	behindSince    int64 // when the gap began for which isBehind was set
	lastBehindAt   int64 // when a gap was last older than behindThreshold
	differingSince int64 // since when reconciliation knows of seconds that may lack purges; 0: it knows of none
}

// update takes the gaps that are open now and reports whether isBehind changed.
func (l *lagDetector) update(gaps broadcast.Lag, now int64) (changed bool) {
	since := l.openSince(gaps, now)
	hasOldGap := since != 0 && now-since > behindThreshold.Microseconds()
	if hasOldGap {
		l.lastBehindAt = now
	}
	switch {
	case hasOldGap && !l.isBehind:
		l.isBehind = true
		l.behindSince = since
		return true
	case l.isBehind && now-l.lastBehindAt > recoveredThreshold.Microseconds():
		l.isBehind = false
		return true
	}
	return false
}

// openSince is when the oldest gap began, 0 where there is none. The node dates missing batches; seconds of which a peer has more purges
// are dated here.
func (l *lagDetector) openSince(gaps broadcast.Lag, now int64) int64 {
	since := gaps.Since
	if gaps.DifferingSeconds == 0 {
		l.differingSince = 0
		return since
	}
	if l.differingSince == 0 {
		l.differingSince = now
	}
	if since == 0 || l.differingSince < since {
		since = l.differingSince
	}
	return since
}

// behindFor is how long the last period in mode behind was.
func (l *lagDetector) behindFor() time.Duration {
	return time.Duration(l.lastBehindAt-l.behindSince) * time.Microsecond
}

// updateMode returns the log line of a change of the mode, nil where there is none; mu is held.
func (d *Driver) updateMode(now int64) (logLine func()) {
	gaps := d.node.Stats().Behind
	if !d.lag.update(gaps, now) {
		return nil
	}
	if d.lag.isBehind {
		d.counts.BehindPeriods++
		return func() {
			d.log.Warn("fleet_broadcast", "mode", modeBehind, "batches", gaps.MissingBatches, "seconds", gaps.DifferingSeconds)
		}
	}
	behindFor := d.lag.behindFor()
	return func() { d.log.Info("fleet_broadcast", "mode", modeCaughtUp, "behind_ms", behindFor.Milliseconds()) }
}
