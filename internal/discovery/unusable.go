package discovery

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRejectedLines is how many different lines are remembered. One more counts as one of them.
const maxRejectedLines = 16

// unusableLines are the lines after the last event held that could not be used. One that comes for the first time may have been damaged on
// its way, or be no event at all: the session ends, and a new one brings the event whole. One that comes again alike may be an event that
// cannot be used, whose number may then be missing: the events after it matter more.
type unusableLines struct {
	after    int64    // the last event held when they came
	rejected []uint64 // hashes of those that ended a session
	repeated int      // in this session, of those that came again
}

// add takes a line and reports whether it came before.
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

// allowedGap is how many numbers may be missing after the last event held.
func (u *unusableLines) allowedGap(lastEvent int64) int64 {
	if u.after != lastEvent {
		return 0
	}
	return int64(u.repeated)
}

// beginSession forgets what came again in the session before.
func (u *unusableLines) beginSession() { u.repeated = 0 }
