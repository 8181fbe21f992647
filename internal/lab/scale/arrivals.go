package scale

import (
	"sync"
	"time"
)

// ArrivalLog counts the gateways that each event has reached and records when it reached the last one. It is safe for
// concurrent use. It keeps the arrivals at the positions 1 to maxArrivals.
type ArrivalLog struct {
	mu       sync.Mutex
	entries  []Arrival // entries[0] is for position 1
	overflow int64     // arrivals at positions outside 1 to maxArrivals
}

// Arrival holds the number of gateways that one event has reached and the time, in Unix microseconds, at which it
// reached the last one.
type Arrival struct {
	Gateways   int32 `json:"n"`
	LastMicros int64 `json:"t"`
}

// Record counts the arrival of an event at one more gateway. A zero time marks a gateway that was down when the event
// was published. Such a gateway is counted, but the time of the last arrival stays as it is.
func (l *ArrivalLog) Record(position int64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if position < 1 || position > maxArrivals {
		l.overflow++
		return
	}
	for int64(len(l.entries)) < position {
		l.entries = append(l.entries, Arrival{})
	}
	e := &l.entries[position-1]
	e.Gateways++
	if !at.IsZero() {
		e.LastMicros = max(e.LastMicros, at.UnixMicro())
	}
}

// Since returns the arrivals at the positions from to to, both included. The arrival of an event that has reached no
// gateway is zero. Since returns ErrPositionNotKept if a position lies outside 1 to maxArrivals or if to is below from.
func (l *ArrivalLog) Since(from, to int64) ([]Arrival, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < 1 || to < from || to > maxArrivals {
		return nil, ErrPositionNotKept
	}
	out := make([]Arrival, to-from+1)
	if from <= int64(len(l.entries)) {
		copy(out, l.entries[from-1:])
	}
	return out, nil
}
