package driver

import (
	"time"

	"foldslip/internal/fleet/broadcast"
)

const (
	// behindThreshold is the age of a gap at which the mode changes to behind. A gap that is repaired sooner is not
	// worth a log line.
	behindThreshold = 2 * time.Second
	// recoveredThreshold is the time without such a gap after which the mode changes to caught up. It limits the log
	// to two lines within that time.
	recoveredThreshold = 5 * time.Second
)

// Modes of the broadcast as they are spelled in the log and on the operators' socket.
const (
	modeBehind   = "behind"
	modeCaughtUp = "whole"
)

// lagDetector detects that this gateway has lacked purges for longer than repair usually takes. Under steady packet
// loss some gap is always open, but each one only for a short time. Such gaps do not count as lag. Times are in
// microseconds on the clock of Driver.now.
type lagDetector struct {
	isBehind       bool
	behindSince    int64 // start of the gap that set isBehind
	lastBehindAt   int64 // last time at which a gap was older than behindThreshold
	differingSince int64 // since when reconciliation has known of seconds that may lack purges; 0 if it knows of none
}

// update updates isBehind from the gaps that are open at now. It reports whether isBehind changed.
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

// openSince returns when the oldest open gap began, or 0 if there is none. The node reports since when batches have
// been missing. openSince itself records since when a peer has had more purges of some seconds.
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

// behindFor returns how long the latest lag lasted. The lag begins with the gap that set isBehind and ends when a gap
// was last older than behindThreshold.
func (l *lagDetector) behindFor() time.Duration {
	return time.Duration(l.lastBehindAt-l.behindSince) * time.Microsecond
}

// updateMode updates the mode. It returns a function that logs the change, or nil if the mode did not change. The
// caller holds mu.
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
