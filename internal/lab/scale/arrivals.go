package scale

import (
	"sync"
	"time"
)

// ArrivalLog records when each event reached the last of many gateways. It is safe for concurrent use and keeps maxArrivals events.
type ArrivalLog struct {
	mu       sync.Mutex
	entries  []Arrival // by position, from 1
	overflow int64     // arrivals of positions that are not kept
}

// Arrival is of one event: how many gateways it reached, and when it reached the last, in Unix microseconds.
type Arrival struct {
	Gateways   int32 `json:"n"`
	LastMicros int64 `json:"t"`
}

// Record counts the arrival of an event at one more gateway. A zero time stands for a gateway that was down when the event was
// published.
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

// Since returns the arrivals of a range of positions; those of events that reached no gateway are zero. The error is ErrPositionNotKept.
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
