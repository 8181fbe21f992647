package simenv

import "time"

// Event is a function that is scheduled for a point in time. Simulation.Cancel removes it from the queue.
type Event struct {
	at       time.Duration
	tieBreak uint32 // random order of events with the same time
	sequence uint64 // order of events with the same time and tieBreak
	index    int    // position in the queue; -1 if the event is not queued
	run      func()
}

// eventQueue is a heap of events that are ordered by time. It implements heap.Interface.
type eventQueue struct {
	list     []*Event
	sequence uint64 // sequence of the event that was added last
}

// Len returns the number of events.
func (q *eventQueue) Len() int { return len(q.list) }

// Less orders events by time, then by tieBreak, then by sequence.
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.list[i], q.list[j]
	if a.at != b.at {
		return a.at < b.at
	}
	if a.tieBreak != b.tieBreak {
		return a.tieBreak < b.tieBreak
	}
	return a.sequence < b.sequence
}

// Swap swaps two events.
func (q *eventQueue) Swap(i, j int) {
	q.list[i], q.list[j] = q.list[j], q.list[i]
	q.list[i].index = i
	q.list[j].index = j
}

// Push appends an event.
func (q *eventQueue) Push(x any) {
	e := x.(*Event)
	e.index = len(q.list)
	q.list = append(q.list, e)
}

// Pop removes the last event and returns it.
func (q *eventQueue) Pop() any {
	last := len(q.list) - 1
	e := q.list[last]
	q.list[last] = nil
	q.list = q.list[:last]
	e.index = -1
	return e
}
