package retry

import (
	"hash/maphash"
	"math"
	"time"
)

// RecordBytes is the most that one of many records takes in memory, with its part of the index.
const RecordBytes = 56

// expiryInterval is the time between two passes in which records are dropped. A pass looks at all callers.
const expiryInterval = 50 * time.Millisecond

// lookupRecords remembers the results of ended lookups for a retention time, so that a repeated request is answered with
// the result and no attempt is made again. A record is reserved for a lookup when it is opened, so there is always one
// when it ends, and none is dropped before its time.
//
// A caller may reserve a record while it holds fewer records than are free (a dynamic threshold). So one caller holds at
// most half of the capacity, and n callers that request without limit leave a part of 1/(n+1) free for others.
//
// Lookups are told apart by a hash of 64 bits with a random seed. With a million records, one request in 10^13 is
// confused with another lookup and answered with its result.
type lookupRecords struct {
	retention time.Duration
	capacity  int // records of all callers, reserved and kept
	seed      maphash.Seed
	results   map[uint64]endedResult // results of ended lookups by the hash of Lookup.Key
	reserved  int                    // records of open lookups
	kept      int                    // records of ended lookups
	callers   map[string]*callerRecords
	startedAt time.Time // origin of the times in the records
	expireAt  time.Time // time of the next pass
}

// callerRecords holds the records of one caller. It exists while there are any.
type callerRecords struct {
	reserved int         // number of open lookups
	kept     recordQueue // records of ended lookups in the order in which they are dropped
}

// endedResult is the result of an ended lookup.
type endedResult struct {
	retryAfterMicros uint32
	kind             uint8 // an AnswerKind
}

func newEndedResult(kind AnswerKind, retryAfter time.Duration) endedResult {
	micros := min(max(0, retryAfter.Microseconds()), math.MaxUint32)
	return endedResult{retryAfterMicros: uint32(micros), kind: uint8(kind)}
}

func (r endedResult) answerKind() AnswerKind { return AnswerKind(r.kind) }

func (r endedResult) retryAfter() time.Duration {
	return time.Duration(r.retryAfterMicros) * time.Microsecond
}

func newLookupRecords(retention time.Duration, capacity int) *lookupRecords {
	return &lookupRecords{
		retention: retention,
		capacity:  capacity,
		seed:      maphash.MakeSeed(),
		results:   map[uint64]endedResult{},
		callers:   map[string]*callerRecords{},
	}
}

// result returns the result of a lookup that has ended and is remembered.
func (r *lookupRecords) result(key string) (result endedResult, ok bool) {
	result, ok = r.results[maphash.String(r.seed, key)]
	return result, ok
}

// reservedBy returns the number of open lookups of a caller.
func (r *lookupRecords) reservedBy(caller string) int {
	if c := r.callers[caller]; c != nil {
		return c.reserved
	}
	return 0
}

// canReserve reports whether a caller may reserve a further record.
func (r *lookupRecords) canReserve(caller string) bool {
	held := 0
	if c := r.callers[caller]; c != nil {
		held = c.reserved + c.kept.length
	}
	return held < r.capacity-r.reserved-r.kept
}

// reserve reserves a record for a lookup that is opened.
func (r *lookupRecords) reserve(caller string) {
	c := r.callers[caller]
	if c == nil {
		c = &callerRecords{}
		r.callers[caller] = c
	}
	c.reserved++
	r.reserved++
}

// release undoes reserve for a lookup that is discarded.
func (r *lookupRecords) release(caller string) {
	c := r.callers[caller]
	c.reserved--
	r.reserved--
	r.forgetIdle(caller, c)
}

// keep fills the reserved record of a lookup that ends.
func (r *lookupRecords) keep(now time.Time, caller, key string, result endedResult) {
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	c := r.callers[caller]
	c.reserved--
	r.reserved--
	r.kept++
	hash := maphash.String(r.seed, key)
	c.kept.push(keptRecord{hash: hash, forgetAt: now.Sub(r.startedAt) + r.retention})
	r.results[hash] = result
}

// expire drops the records whose retention time is over, unless the last pass was less than expiryInterval ago.
func (r *lookupRecords) expire(now time.Time) {
	if now.Before(r.expireAt) {
		return
	}
	r.expireAt = now.Add(expiryInterval)
	elapsed := now.Sub(r.startedAt)
	for caller, c := range r.callers {
		for c.kept.length > 0 && c.kept.oldest().forgetAt <= elapsed {
			delete(r.results, c.kept.pop().hash)
			r.kept--
		}
		r.forgetIdle(caller, c)
	}
}

// forgetIdle forgets a caller that has no records.
func (r *lookupRecords) forgetIdle(caller string, c *callerRecords) {
	if c.reserved == 0 && c.kept.length == 0 {
		delete(r.callers, caller)
	}
}
