package frontend

import "time"

// maxArrivalMarks bounds the marks of a connection, which are kept while bytes wait in its buffer.
const maxArrivalMarks = 32

// arrivalLog records when the bytes in the buffer of a connection arrived. The time that a client allows counts from the
// last byte of its request, which may have waited behind the requests before it. The zero value is an empty log.
type arrivalLog struct {
	arrived  int64 // bytes that have arrived so far
	consumed int64 // bytes that have been consumed so far
	marks    []arrivalMark
}

// arrivalMark is the time at which the bytes up to end, and after the mark before, arrived.
type arrivalMark struct {
	end int64
	at  time.Time
}

// add records the arrival of n bytes. Past maxArrivalMarks it counts them as arrived with those before, so that no
// request is given more time than its client allows.
func (l *arrivalLog) add(n int, now time.Time) {
	l.arrived += int64(n)
	if last := len(l.marks) - 1; last+1 >= maxArrivalMarks {
		l.marks[last].end = l.arrived
		return
	}
	l.marks = append(l.marks, arrivalMark{end: l.arrived, at: now})
}

// consume removes the next n > 0 bytes, which have arrived, and returns when the last of them did.
func (l *arrivalLog) consume(n int) (at time.Time) {
	l.consumed += int64(n)
	first := 0
	for l.marks[first].end < l.consumed {
		first++
	}
	at = l.marks[first].at
	if l.marks[first].end == l.consumed {
		first++
	}
	l.marks = append(l.marks[:0], l.marks[first:]...)
	return at
}
