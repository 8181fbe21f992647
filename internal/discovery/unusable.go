package discovery

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRejectedLines bounds the number of different lines that are remembered. Further lines count as repeated.
const maxRejectedLines = 16

// unusableLines tracks the invalid lines that were received after the last applied event. A line that is received for
// the first time may have been damaged in transit, or may not be an event at all. The session ends, and a new session
// delivers the event again. If an identical line is received again, it may be an event that is invalid at its source.
// It is skipped but for its valid parts and its number may be missing, so that it does not block the events after it.
type unusableLines struct {
	after    int64    // number of the last applied event when the lines were received
	rejected []uint64 // hashes of the lines that ended a session
	repeated int      // number of repeated lines in this session
}

// add records an invalid line and reports whether it was received before.
func (u *unusableLines) add(line []byte, lastEvent int64) (seenBefore bool) {
	if u.after != lastEvent {
		*u = unusableLines{after: lastEvent}
	}
	hash := xxhash.Sum64(line)
	if len(u.rejected) < maxRejectedLines && !slices.Contains(u.rejected, hash) {
		u.rejected = append(u.rejected, hash)
		return false
	}
	u.repeated++
	return true
}

// allowedGap returns how many event numbers may be missing after the last applied event.
func (u *unusableLines) allowedGap(lastEvent int64) int64 {
	if u.after != lastEvent {
		return 0
	}
	return int64(u.repeated)
}

// beginSession resets the number of repeated lines for a new session.
func (u *unusableLines) beginSession() { u.repeated = 0 }
