package scale

import (
	"sync"
	"time"
)

// ArrivalLog keeps when each event came to the last of many gateways.
type ArrivalLog struct {
	mu       sync.Mutex
	entries  []Arrival // by position, from 1
	overflow int64     // arrivals of positions that are not kept
}

// Arrival is of one event: how many gateways it came to, and the Unix microseconds of the last.
type Arrival struct {
	Gateways   int32 `json:"n"`
	LastMicros int64 `json:"t"`
}

// Record keeps that an event counts at one gateway more; a zero time stands for a gateway that was down when it was told.
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

// Since gives the arrivals of positions from one on up to another; those that never came are zero.
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
