package retry

import (
	"sync"
	"time"
)

// EndedLookups remembers the ids of open and ended lookups of an entry point that makes the attempts itself, so that a
// lookup with side effects does not run again when its client sends it once more, as after a broken connection. Memory for
// an id is reserved when its lookup is opened. An id is never dropped before its time. EndedLookups is safe for concurrent
// use.
type EndedLookups struct {
	mu      sync.Mutex // guards the fields below
	records *lookupRecords
	open    map[string]bool // ids of open lookups
}

// OpenResult is the result of EndedLookups.Open.
type OpenResult int

// Results of EndedLookups.Open.
const (
	Opened      OpenResult = iota
	AlreadyOpen            // a lookup with the id is open
	AlreadyRan             // a lookup with the id has ended and is remembered
	NoMemory               // the client holds its share of the memory
)

// NewEndedLookups returns EndedLookups that remember each id for the retention time, and hold at most capacity ids.
func NewEndedLookups(retention time.Duration, capacity int) *EndedLookups {
	return &EndedLookups{records: newLookupRecords(retention, capacity), open: map[string]bool{}}
}

// Open opens a lookup of a client. A client may hold at most as many ids as are free. After Opened, the caller must call
// Close when the lookup has ended.
func (e *EndedLookups) Open(now time.Time, client, id string) OpenResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.records.expire(now)
	if e.open[id] {
		return AlreadyOpen
	}
	if _, hasRun := e.records.result(id); hasRun {
		return AlreadyRan
	}
	if !e.records.canReserve(client) {
		return NoMemory
	}
	e.records.reserve(client)
	e.open[id] = true
	return Opened
}

// Close ends a lookup of a client. Its id is remembered if it may have run.
func (e *EndedLookups) Close(now time.Time, client, id string, mayHaveRun bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.open, id)
	if !mayHaveRun {
		e.records.release(client)
		return
	}
	e.records.keep(now, client, id, newEndedResult(AnswerFail, 0))
}
