package discovery

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxRejectedLines bounds the number of different lines that are remembered. Further lines count as repeated.
const maxRejectedLines = 16

// unusableLines tracks the invalid lines that were received after the last applied event. A line that is received for
// the first time may have been damaged in transit, or may not be an event at all. The session ends, and a new session
// delivers the event again. If an identical line is received again, it may be an event that is invalid at its source.
// It is skipped but for its valid parts and its number may be missing, so that it does not block the events after it.
type unusableLines struct {
	after    int64 // number of the last applied event when the lines were received
	rejected []rejectedLine
}

// rejectedLine is a line that ended a session.
type rejectedLine struct {
	hash uint64
	at   time.Time
}

// repeatedLines counts the unusable lines that one session has received again after an event.
type repeatedLines struct {
	after int64 // number of the last applied event when the lines were received
	count int
}

// add records an invalid line of a session and reports whether it was received before. A session that began before the
// line was rejected does not receive it again: discovery may have written the line to several sessions at once.
func (u *unusableLines) add(line []byte, lastEvent int64, from *session, now time.Time) (seenBefore bool) {
	if u.after != lastEvent {
		*u = unusableLines{after: lastEvent}
	}
	hash := xxhash.Sum64(line)
	index := slices.IndexFunc(u.rejected, func(r rejectedLine) bool { return r.hash == hash })
	if index < 0 && len(u.rejected) < maxRejectedLines {
		u.rejected = append(u.rejected, rejectedLine{hash, now})
		return false
	}
	if index >= 0 && from.startedAt.Before(u.rejected[index].at) {
		return false
	}
	if from.repeated.after != lastEvent {
		from.repeated = repeatedLines{after: lastEvent}
	}
	from.repeated.count++
	return true
}

// allowedGap returns how many event numbers may be missing in a session after the last applied event.
func (u *unusableLines) allowedGap(lastEvent int64, from *session) int64 {
	if u.after != lastEvent || from.repeated.after != lastEvent {
		return 0
	}
	return int64(from.repeated.count)
}
