package simenv

import "time"

// Event is a function that runs at a time; Simulation.Cancel takes it off the queue.
type Event struct {
	at       time.Duration
	tieBreak uint32 // among events of one instant
	sequence uint64 // among those of equal tieBreak
	index    int    // in the queue; -1: not in it
	run      func()
}

// eventQueue is a heap of events by time.
type eventQueue struct {
	list     []*Event
	sequence uint64 // of the last event
}

// Len is the number of events; with the methods below it makes the queue a heap.Interface.
func (q *eventQueue) Len() int { return len(q.list) }

// Less orders events by time, then by chance, then by age.
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

// Push adds an event at the end.
func (q *eventQueue) Push(x any) {
	e := x.(*Event)
	e.index = len(q.list)
	q.list = append(q.list, e)
}

// Pop removes the last event.
func (q *eventQueue) Pop() any {
	last := len(q.list) - 1
	e := q.list[last]
	q.list[last] = nil
	q.list = q.list[:last]
	e.index = -1
	return e
}
